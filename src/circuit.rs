//! Call budgets, a circuit breaker and a backoff for calls to the platform. This module does no I/O.

use crate::time::{Span, Time};

/// Consecutive calls without a valid answer that open the circuit.
pub const FAILURE_THRESHOLD: u32 = 5;

/// Initial backoff of an open circuit.
const INITIAL_BACKOFF: Span = Span::from_ms(500);

/// Maximum backoff of an open circuit.
pub const MAX_BACKOFF: Span = Span::from_ms(5_000);

/// Rate limit of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// Time in which the budget for one call is replenished.
    pub period: Span,
    /// Calls that may be made back to back from a full budget. Zero counts as one.
    pub burst: u32,
}

/// Call budget that is replenished at a constant rate.
#[derive(Debug, Clone)]
pub struct CallBudget {
    rate: Rate,
    /// Time at which the budget is full again.
    full_at: Time,
}

impl CallBudget {
    /// Creates a full budget.
    pub fn new(rate: Rate) -> CallBudget {
        CallBudget { rate, full_at: Time(0) }
    }

    /// Takes one call from the budget.
    ///
    /// # Errors
    /// Returns the time until the budget has a call again.
    pub fn take(&mut self, now: Time) -> Result<(), Span> {
        let burst = u64::from(self.rate.burst.max(1));
        let tolerance = Span(self.rate.period.0.saturating_mul(burst - 1));
        let earliest = self.full_at - tolerance;
        if now < earliest {
            return Err(earliest.since(now));
        }
        self.full_at = self.full_at.max(now) + self.rate.period;
        Ok(())
    }

    /// Empties the budget, so that a whole burst has to be replenished.
    pub fn exhaust(&mut self, now: Time) {
        let burst = u64::from(self.rate.burst.max(1));
        let refill_time = Span(self.rate.period.0.saturating_mul(burst));
        self.full_at = self.full_at.max(now + refill_time);
    }

    /// Changes the rate. Calls that were already taken stay counted.
    pub fn set_rate(&mut self, rate: Rate) {
        self.rate = rate;
    }
}

/// Exponential backoff with jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Span,
    max: Span,
    doublings: u32,
}

impl Backoff {
    /// Creates a backoff whose upper bound doubles from `initial` to `max`.
    pub const fn new(initial: Span, max: Span) -> Backoff {
        Backoff { initial, max, doublings: 0 }
    }

    /// Returns the next delay, between half of the current upper bound and the bound, selected by `random`.
    pub fn next(&mut self, random: u64) -> Span {
        let factor = 1_u64.checked_shl(self.doublings).unwrap_or(u64::MAX);
        let bound = self.initial.0.saturating_mul(factor).min(self.max.0);
        self.doublings = self.doublings.saturating_add(1);
        let half = bound / 2;
        Span(bound - half + random % (half + 1))
    }

    /// Resets the upper bound to the initial delay.
    pub fn reset(&mut self) {
        self.doublings = 0;
    }
}

/// Whether the platform answers calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The platform answers; calls are made.
    Good,
    /// The platform does not answer; calls are refused except for single trials.
    Degraded,
}

/// Result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The platform returned a valid answer, which may be a refusal.
    Answered,
    /// The platform returned no valid answer.
    Failed,
    /// The platform rejected the call because of its rate.
    Throttled,
    /// The caller dropped the call before it ended.
    Cancelled,
}

/// Permission to make one call, to be returned with [`Circuit::record`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPermit {
    /// Generation of the circuit in which the call was admitted.
    generation: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Calls are made; consecutive failures are counted.
    Closed { failures: u32 },
    /// Calls are refused until the given time.
    Open { until: Time },
    /// A single call tests whether the platform answers again.
    HalfOpen,
}

/// Circuit breaker: refuses calls while the platform does not answer.
#[derive(Debug)]
pub struct Circuit {
    state: State,
    /// Incremented by each state transition, so that calls admitted before it are ignored.
    generation: u64,
    backoff: Backoff,
}

impl Default for Circuit {
    fn default() -> Circuit {
        let backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        Circuit { state: State::Closed { failures: 0 }, generation: 0, backoff }
    }
}

impl Circuit {
    /// Admits a call. Returns `None` while the circuit is open or a trial call is in progress.
    pub fn acquire(&mut self, now: Time) -> Option<CallPermit> {
        match self.state {
            State::Closed { .. } => {}
            State::Open { until } if now >= until => self.transition(State::HalfOpen),
            State::Open { .. } | State::HalfOpen => return None,
        }
        Some(CallPermit { generation: self.generation })
    }

    /// Records the result of an admitted call. `random` selects the jitter if the circuit opens.
    pub fn record(&mut self, now: Time, permit: CallPermit, outcome: Outcome, random: u64) {
        if permit.generation != self.generation {
            return;
        }
        match (self.state, outcome) {
            (State::Closed { .. }, Outcome::Answered | Outcome::Throttled) => {
                self.state = State::Closed { failures: 0 };
            }
            (State::Closed { failures }, Outcome::Failed) if failures + 1 < FAILURE_THRESHOLD => {
                self.state = State::Closed { failures: failures + 1 };
            }
            (State::HalfOpen, Outcome::Answered | Outcome::Throttled) => {
                self.backoff.reset();
                self.transition(State::Closed { failures: 0 });
            }
            (State::Closed { .. } | State::HalfOpen, Outcome::Failed) => {
                let until = now + self.backoff.next(random);
                self.transition(State::Open { until });
            }
            // The next call may be the trial.
            (State::HalfOpen, Outcome::Cancelled) => self.transition(State::Open { until: now }),
            (State::Closed { .. }, Outcome::Cancelled) | (State::Open { .. }, _) => {}
        }
    }

    /// Returns whether the platform answers calls.
    pub fn health(&self) -> Health {
        match self.state {
            State::Closed { .. } => Health::Good,
            State::Open { .. } | State::HalfOpen => Health::Degraded,
        }
    }

    /// Returns the time at which an open circuit admits the next call; `None` if the circuit is not open.
    pub fn retry_at(&self) -> Option<Time> {
        match self.state {
            State::Open { until } => Some(until),
            State::Closed { .. } | State::HalfOpen => None,
        }
    }

    fn transition(&mut self, state: State) {
        self.state = state;
        self.generation += 1;
    }
}
