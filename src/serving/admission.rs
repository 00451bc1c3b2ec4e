//! Decides whether a request begins now, waits at this host or is refused at once, from its predicted end.
//!
//! Load pattern: more work than the upstreams of a pool can finish in time. Without a decision every request goes to some
//! upstream at once, the prompts queue up there, and engines read prompts whose callers have left before the answer.

use crate::{
    error::Kind,
    rendezvous,
    serving::dialect::Prompt,
    time::{Span, Time},
};

/// Time of one token of output on the fastest engines with few requests beside it, in microseconds. Predictions are too
/// early rather than too late, so that nothing is refused that could end.
const MIN_TOKEN_US: u64 = 3_400;

/// Time before an engine reads a new prompt up to which its places count as empty.
pub(super) const EMPTY_QUEUEING: Span = Span::from_ms(20);

/// Factor by which predictions may be wrong. A request that can only be late begins if it ends in time even so, and is refused
/// at once if it ends too late even so.
const UNCERTAINTY: f64 = 1.5;

/// Parts of the time to the target, and to the deadline after it, in one of which a request may wait at a host.
const WAIT_DIVISORS: (u64, u64) = (2, 8);

/// Shortest delay after which a refused caller returns.
const MIN_RETRY_AFTER: Span = Span::from_ms(100);

/// Divisor of the time that a caller has left which gives the longest delay that it honours.
const HONOURED_DIVISOR: u64 = 3;

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Need {
    /// Time by which the answer should begin.
    pub target: Time,
    /// Time after which the answer is of no use.
    pub deadline: Time,
    /// Time from which it waits, or now.
    pub since: Time,
}

/// What a request can expect at the upstream where it would go.
#[derive(Debug, Clone, Copy)]
pub struct Prospect {
    /// Time until the upstream begins with it.
    pub queueing: Span,
    /// Time to the first byte.
    pub first_byte: Span,
    /// Time to the end of the answer.
    pub end: Span,
}

/// Why a request does not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It cannot end before its deadline at any upstream.
    CannotEnd,
    /// It waited for its time, and would be late or make others late.
    Late,
    /// Too many requests wait at this host.
    QueueFull,
}

impl Reason {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::CannotEnd => "cannot_end",
            Reason::Late => "late",
            Reason::QueueFull => "queue_full",
        }
    }

    /// Kind of the error for the caller.
    pub fn kind(self) -> Kind {
        match self {
            Reason::CannotEnd | Reason::Late => Kind::DeadlineUnmeetable,
            Reason::QueueFull => Kind::Shed,
        }
    }
}

/// Whether a request begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is sent now.
    Begin,
    /// It waits at this host up to this time.
    Wait(Time),
    /// It is refused. There may be room after this time.
    Refuse(Reason, Span),
}

/// A refused request with what a reader of the log needs.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Delay after which the caller may return.
    pub retry_after: Span,
    /// Tier of the request.
    pub tier: u8,
    /// Predicted time to the end, `None` if no upstream had a place.
    pub predicted: Option<Span>,
    /// Time to the deadline.
    pub time_left: Span,
    /// Time that the request waited at this host.
    pub waited: Span,
    /// Requests that wait at this host.
    pub waiting: usize,
}

/// Returns the time for the output of a prompt, rather too short than too long.
pub fn output_time(prompt: &Prompt) -> Span {
    Span(u64::from(prompt.expected_output.unwrap_or(prompt.max_output / 2)) * MIN_TOKEN_US)
}

impl Need {
    /// Returns the time for which the request may wait at the host; as long a queue may stand at an engine when it begins.
    /// What waits at hosts and at engines together still begins by the target.
    fn wait(&self) -> Span {
        let left = self.deadline.since(self.since).0 / WAIT_DIVISORS.1;
        let to_target = self.target.since(self.since).0 / WAIT_DIVISORS.0;
        Span(if to_target > 0 {
            to_target.min(left * WAIT_DIVISORS.1 / WAIT_DIVISORS.0)
        } else {
            left
        })
    }

    /// Returns the time up to which the request may wait at the host.
    pub fn wait_until(&self) -> Time {
        self.since + self.wait()
    }
}

/// Decides on a request with a prospect at the upstream where it would go.
pub fn decide(now: Time, need: Need, prospect: Prospect) -> Decision {
    let end = prospect.end;
    let left = need.deadline.since(now);
    // Without a queue neither waiting nor a repeat makes the end any earlier.
    if prospect.queueing <= EMPTY_QUEUEING {
        return Decision::Begin;
    }
    if end.0 as f64 > left.0 as f64 * UNCERTAINTY {
        return Decision::Refuse(Reason::CannotEnd, Span(end.0 - left.0));
    }
    let is_in_time = now + prospect.first_byte <= need.target;
    let certainty = if is_in_time { 1.0 } else { UNCERTAINTY };
    // A longer queue makes those late that come after it, and in the end all.
    if prospect.queueing <= need.wait() && end.0 as f64 * certainty <= left.0 as f64 {
        return Decision::Begin;
    }
    let until = need.wait_until();
    // What is read until then must leave a queue that is short enough.
    let passable = (need.wait().0 + until.since(now).0) as f64;
    if now < until && prospect.queueing.0 as f64 <= UNCERTAINTY * passable {
        return Decision::Wait(until);
    }
    Decision::Refuse(Reason::Late, Span(prospect.queueing.0.saturating_sub(need.wait().0)))
}

/// Returns the delay after which a refused caller may return: when room is expected, spread, and within what it honours.
pub fn retry_after(room: Span, time_left: Span, seed: u64) -> Span {
    let longest = time_left.0 / HONOURED_DIVISOR;
    let base = room.0.max(MIN_RETRY_AFTER.0).min(longest / 2);
    let drawn = rendezvous::hash(&[b"return", &seed.to_be_bytes()]) % 1_000;
    Span(base + base * drawn / 1_000)
}
