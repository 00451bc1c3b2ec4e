//! Whether a call to the platform may be made now: budgets, a circuit breaker and pauses. No I/O.

use crate::time::{Span, Time};

/// Calls in a row without a valid answer that open the circuit.
pub const FAILURE_THRESHOLD: u32 = 5;

/// First pause of an open circuit.
const INITIAL_BACKOFF: Span = Span::from_ms(500);

/// Longest pause of an open circuit.
pub const MAX_BACKOFF: Span = Span::from_ms(5_000);

/// A rate of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// Time per call.
    pub period: Span,
    /// Calls that may follow each other at once after a rest; at least one.
    pub burst: u32,
}

/// A budget of calls that fills up with time.
#[derive(Debug, Clone)]
pub struct CallBudget {
    rate: Rate,
    /// When the budget is full again.
    full: Time,
}

impl CallBudget {
    /// A full budget.
    pub fn new(rate: Rate) -> CallBudget {
        CallBudget { rate, full: Time(0) }
    }

    /// Takes one call.
    ///
    /// # Errors
    /// The time until there is one.
    pub fn take(&mut self, now: Time) -> Result<(), Span> {
        let burst = u64::from(self.rate.burst.max(1));
        let rest = Span(self.rate.period.0.saturating_mul(burst - 1));
        let earliest = self.full - rest;
        if now < earliest {
            return Err(earliest.since(now));
        }
        self.full = self.full.max(now) + self.rate.period;
        Ok(())
    }

    /// Empties the budget.
    pub fn exhaust(&mut self, now: Time) {
        let burst = u64::from(self.rate.burst.max(1));
        let whole = Span(self.rate.period.0.saturating_mul(burst));
        self.full = self.full.max(now + whole);
    }

    /// Changes the rate; what was taken stays taken.
    pub fn set_rate(&mut self, rate: Rate) {
        self.rate = rate;
    }
}

/// Pauses between tries that double up to a bound, with jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Span,
    longest: Span,
    doublings: u32,
}

impl Backoff {
    /// Pauses from the first to the longest.
    pub const fn new(first: Span, longest: Span) -> Backoff {
        Backoff { first, longest, doublings: 0 }
    }

    /// The next pause: between half of its bound and the bound, as chosen by the random number.
    pub fn next(&mut self, random: u64) -> Span {
        let factor = 1_u64.checked_shl(self.doublings).unwrap_or(u64::MAX);
        let bound = self.first.0.saturating_mul(factor).min(self.longest.0);
        self.doublings = self.doublings.saturating_add(1);
        let half = bound / 2;
        Span(bound - half + random % (half + 1))
    }

    /// Starts over with the first pause.
    pub fn reset(&mut self) {
        self.doublings = 0;
    }
}

/// Whether the platform answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Calls are made.
    Good,
    /// The platform did not answer; calls are refused but for single trials.
    Degraded,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With a valid answer, be it a refusal.
    Answered,
    /// Without a valid answer.
    Failed,
    /// With the answer that the rate is too high.
    Throttled,
    /// The caller gave the call up.
    Cancelled,
}

/// Admits one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPermit {
    /// Period of the circuit in which the call was admitted.
    generation: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Calls are made; counts failures in a row.
    Closed { failures: u32 },
    /// No calls until a time.
    Open { until: Time },
    /// One call tries whether the platform answers again.
    Trial,
}

/// Refuses calls while the platform does not answer.
#[derive(Debug)]
pub struct Circuit {
    state: State,
    /// Grows with each change of state, so that calls from before do not count.
    generation: u64,
    pause: Backoff,
}

impl Default for Circuit {
    fn default() -> Circuit {
        let pause = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        Circuit { state: State::Closed { failures: 0 }, generation: 0, pause }
    }
}

impl Circuit {
    /// Admits a call, or `None`.
    pub fn acquire(&mut self, now: Time) -> Option<CallPermit> {
        match self.state {
            State::Closed { .. } => {}
            State::Open { until } if now >= until => self.change(State::Trial),
            State::Open { .. } | State::Trial => return None,
        }
        Some(CallPermit { generation: self.generation })
    }

    /// Notes how an admitted call ended.
    pub fn record(&mut self, now: Time, pass: CallPermit, outcome: Outcome, random: u64) {
        if pass.generation != self.generation {
            return;
        }
        match (self.state, outcome) {
            (State::Closed { .. }, Outcome::Answered | Outcome::Throttled) => {
                self.state = State::Closed { failures: 0 };
            }
            (State::Closed { failures }, Outcome::Failed) if failures + 1 < FAILURE_THRESHOLD => {
                self.state = State::Closed { failures: failures + 1 };
            }
            (State::Trial, Outcome::Answered | Outcome::Throttled) => {
                self.pause.reset();
                self.change(State::Closed { failures: 0 });
            }
            (State::Closed { .. } | State::Trial, Outcome::Failed) => {
                let until = now + self.pause.next(random);
                self.change(State::Open { until });
            }
            // Another call may try.
            (State::Trial, Outcome::Cancelled) => self.change(State::Open { until: now }),
            (State::Closed { .. }, Outcome::Cancelled) | (State::Open { .. }, _) => {}
        }
    }

    /// Whether calls are made.
    pub fn health(&self) -> Health {
        match self.state {
            State::Closed { .. } => Health::Good,
            State::Open { .. } | State::Trial => Health::Degraded,
        }
    }

    /// When an open circuit admits the next call.
    pub fn retry_at(&self) -> Option<Time> {
        match self.state {
            State::Open { until } => Some(until),
            State::Closed { .. } | State::Trial => None,
        }
    }

    fn change(&mut self, state: State) {
        self.state = state;
        self.generation += 1;
    }
}
