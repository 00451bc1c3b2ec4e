//! Attempts of one request so far, and whether it may be sent again.

use crate::{
    error::{Error, Kind, Run},
    serving::{key::UpstreamKey, table::RetryPolicy},
    time::{Span, Time},
};

/// Minimum time before the deadline for another send to be useful.
const MIN_TIME_LEFT: Span = Span::from_ms(20);

/// Maximum sends of one request. Sends that upstreams refuse do not count as runs, but each takes
/// time.
const MAX_SENDS: u32 = 4;

/// Failure of an attempt that has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Kind of the error for the caller.
    pub kind: Kind,
    /// Whether the upstream may have run the request.
    pub run: Run,
    /// Whether the request reached the upstream, so that another send uses the retry budget.
    pub reached_upstream: bool,
}

impl Failure {
    /// Failure of a request that did not reach the upstream.
    pub fn unsent(kind: Kind) -> Failure {
        Failure { kind, run: Run::No, reached_upstream: false }
    }

    /// Refusal by an upstream that has not run the request.
    pub fn refused(kind: Kind) -> Failure {
        Failure { kind, run: Run::No, reached_upstream: true }
    }

    /// Failure after which the upstream may have run the request.
    pub fn sent(kind: Kind) -> Failure {
        Failure { kind, run: Run::Unknown, reached_upstream: true }
    }
}

/// Limits of a route on the retries of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRules {
    /// How often upstreams may run one request.
    pub retry_policy: RetryPolicy,
    /// Upstreams that may run one request, including the first.
    pub max_attempts: u32,
    /// Time after which the answer is of no use.
    pub deadline: Time,
}

/// Attempts of one request so far.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Attempts that an upstream has run or may have run.
    runs: u32,
    /// Kind of the last failure of an attempt that an upstream has run or may have run.
    run_failure: Option<Kind>,
    /// Sends so far, whether or not they reached an upstream.
    sends: u32,
    /// Upstreams to which the request was sent.
    pub tried: Vec<UpstreamKey>,
    /// Whether the request was counted in its customer's usage.
    counted: bool,
}

impl History {
    /// Records a send to an upstream.
    pub fn record_send(&mut self, upstream: UpstreamKey) {
        self.sends += 1;
        self.tried.push(upstream);
    }

    /// Marks the request as counted in its customer's usage. Returns false if it already was.
    pub fn mark_counted(&mut self) -> bool {
        !std::mem::replace(&mut self.counted, true)
    }

    /// Records an answer by an upstream.
    pub fn record_answer(&mut self) {
        self.runs += 1;
    }

    /// Records the failure of an attempt.
    pub fn record_failure(&mut self, failure: Failure) {
        if failure.run != Run::No {
            self.runs += 1;
            self.run_failure = Some(failure.kind);
        }
    }

    /// Records an attempt that was cancelled. Its upstream may have run the request.
    pub fn record_cancelled(&mut self) {
        self.runs += 1;
        self.run_failure.get_or_insert(Kind::UpstreamTimeout);
    }

    /// Returns the error for the caller. The kind of a refusal says that the request did not run; if an upstream may
    /// have run it, the kind of that attempt's failure takes its place.
    pub fn caller_error(&self, error: Error) -> Error {
        if self.run_status() == Run::No {
            return error;
        }
        let kind = self.run_failure.unwrap_or(Kind::UpstreamCut);
        Error::new(kind, error.message).with_run(self.run_status())
    }

    /// Returns whether any upstream may have run the request.
    pub fn run_status(&self) -> Run {
        if self.runs == 0 { Run::No } else { Run::Unknown }
    }

    /// Returns whether the rules permit to send the request again. The retry budget is checked
    /// separately.
    pub fn may_retry(&self, now: Time, rules: RetryRules) -> bool {
        let may_run = match rules.retry_policy {
            RetryPolicy::Never => self.runs == 0,
            RetryPolicy::Always | RetryPolicy::Resume => self.runs < rules.max_attempts,
        };
        may_run && self.can_send(now, rules)
    }

    /// Returns whether the rules permit a second attempt while one is in flight. The limits on such copies are checked
    /// separately.
    pub fn may_hedge(&self, now: Time, rules: RetryRules) -> bool {
        let is_repeatable = rules.retry_policy == RetryPolicy::Always;
        is_repeatable && self.runs + 1 < rules.max_attempts && self.can_send(now, rules)
    }

    /// Whether the sends so far and the time left permit another send.
    fn can_send(&self, now: Time, rules: RetryRules) -> bool {
        self.sends < MAX_SENDS && now + MIN_TIME_LEFT < rules.deadline
    }
}
