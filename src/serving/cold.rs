//! Pace of requests to upstreams that are cold after their start.
//!
//! Answers the load pattern of a zone that returns as a whole under full load: its upstreams are idle, so that all hosts
//! prefer them, and a cold upstream that gets too many requests crashes. Each request to a cold upstream needs a permit of
//! a host that counts for the fleet, as for upstreams that name a rate limit.

use std::{cell::Cell, rc::Rc};

use crate::{
    rendezvous,
    serving::{
        rate_limit::{Ask, Limit, Rate},
        registry::Entry,
    },
    time::{Span, Time},
};

/// Part of a cold upstream's pace that the first granting host gives out. All three ranks together give out 1.15 times
/// that, and permits of 1.3 s may arrive within one second, so that the sum stays near the pace.
const GRANTED_SHARE: f64 = 0.75;

/// Part of the permits that a granting host gives out while it does not know the fleet as of now. Others may have replaced
/// it, and all of them together must keep the pace.
const STALE_SHARE: f64 = 0.25;

/// Age of a host's last verification beyond which it does not know the fleet as of now.
const STALE_AGE: Span = Span::from_ms(3_000);

/// Cost of a request to a cold upstream, which is slow, compared with others.
const PENALTY: Span = Span::from_ms(100);

/// How much longer than known a cold phase may seem by entries that arrive late. A phase that ends later is a new one.
const LATE_ENTRY: Span = Span::from_ms(2_000);

/// Time after the cold phase in which that cost decreases to nothing, so that hosts do not all turn to the upstream at once.
const WARM_UP: Span = Span::from_ms(2_000);

/// Cold phase of one upstream as one host knows it.
#[derive(Debug, Default)]
pub struct Ration {
    /// Requests per second that it takes from all hosts together, `None` if its pool names no pace.
    rate: Option<Rate>,
    /// Sequence number and remaining time of the entry that was read last.
    seen: Option<(u64, u64)>,
    /// End of the cold phase. Not before its true end, as the remaining time counts from the arrival of the entry.
    warm_at: Time,
    /// The same if the pool names a pace, otherwise zero. Shared with the grants that are not sent yet.
    until: Rc<Cell<Time>>,
}

impl Ration {
    /// Reads the upstream's entry and its pool's pace. Returns whether the upstream has become cold.
    pub fn observe(&mut self, now: Time, rate: Option<Rate>, entry: &Entry) -> bool {
        let was_cold = now < self.until.get();
        let seen = Some((entry.sequence, entry.warmup_ms));
        if self.seen != seen {
            self.seen = seen;
            self.warm_at = match entry.warmup_ms {
                0 => self.warm_at.min(now),
                remaining => {
                    let end = now + Span::from_ms(remaining);
                    let is_same_phase = now < self.warm_at && end <= self.warm_at + LATE_ENTRY;
                    if is_same_phase { self.warm_at.min(end) } else { end }
                }
            };
        }
        self.rate = rate;
        self.until.set(if rate.is_some() { self.warm_at } else { Time(0) });
        !was_cold && now < self.until.get()
    }

    /// End of the cold phase, zero if there is none. Changes with later entries.
    pub fn until(&self) -> Rc<Cell<Time>> {
        self.until.clone()
    }

    /// Returns the rate at which permits are granted while the upstream is cold.
    pub fn rate(&self, now: Time) -> Option<Rate> {
        let rate = self.rate.filter(|_| now < self.until.get())?;
        Rate::new(rate.per_second() * GRANTED_SHARE)
    }

    /// Returns the cost to be added to that of a request.
    pub fn penalty(&self, now: Time) -> Span {
        let since_end = now.since(self.until.get());
        if self.until.get() == Time(0) || since_end >= WARM_UP {
            return Span(0);
        }
        Span(PENALTY.0 * (WARM_UP.0 - since_end.0) / WARM_UP.0)
    }
}

/// Returns the request for a permit to send to a cold upstream. Its permits are counted apart from those of a limit that the
/// upstream names.
pub fn ask(now: Time, incarnation: u64, rate: Rate, tier: usize) -> Ask {
    let upstream = rendezvous::hash(&[b"cold", &incarnation.to_be_bytes()]);
    Ask { upstream, limit: Limit::new(Some(rate), now), tier, is_cold: true }
}

/// Returns the rate that a host grants which last verified its state of the fleet at this time.
pub fn granted_rate(now: Time, verified_at: Option<Time>, rate: Rate) -> Rate {
    let is_stale = verified_at.is_none_or(|it| now.since(it) > STALE_AGE);
    let share = if is_stale { STALE_SHARE } else { 1.0 };
    // A share of a finite rate is finite.
    Rate::new(rate.per_second() * share).unwrap_or(rate)
}
