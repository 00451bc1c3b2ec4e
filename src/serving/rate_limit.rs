//! Rate limits that upstreams name in their responses.

use crate::time::Time;

/// Requests per second that an upstream takes from all hosts together.
///
/// Invariant: finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate, or returns `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Rate> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Rate(per_second))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What a response says about its upstream's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Named {
    /// The upstream takes this rate.
    Rate(Rate),
    /// The upstream names no limit.
    Nothing,
    /// The limit cannot be read.
    Invalid,
}

/// Rate limit of one incarnation of an upstream as this host knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limit {
    rate: Option<Rate>,
    /// When the last response that set or ended the limit arrived.
    heard_at: Time,
}

/// Effect of a response on a known limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The limit stays as it was.
    Unchanged,
    /// The limit has another value, or is the first one.
    Changed(Rate),
    /// The upstream no longer names a limit.
    Ended,
}

impl Limit {
    /// Rate in force, `None` without a limit.
    pub fn rate(self) -> Option<Rate> {
        self.rate
    }

    /// Records what a response says to a request that was sent at `sent_at`.
    ///
    /// Responses on different connections can overtake each other. A lower limit applies at once; a higher one and the
    /// end of a limit only if the request was sent after the last response that set the limit.
    pub fn record(&mut self, now: Time, sent_at: Time, named: Named) -> Change {
        let is_newer = sent_at >= self.heard_at;
        let rate = match named {
            Named::Invalid => return Change::Unchanged,
            Named::Nothing => None,
            Named::Rate(rate) => Some(rate),
        };
        let is_lower = rate.is_some_and(|rate| self.rate.is_none_or(|known| rate < known));
        if !is_newer && !is_lower {
            return Change::Unchanged;
        }
        let previous = std::mem::replace(&mut self.rate, rate);
        if rate.is_some() || previous.is_some() {
            self.heard_at = now;
        }
        match rate {
            _ if rate == previous => Change::Unchanged,
            Some(rate) => Change::Changed(rate),
            None => Change::Ended,
        }
    }
}
