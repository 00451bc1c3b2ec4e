//! Metrics of one request.

use crate::{
    metrics::{Metrics, Outcome},
    serving::hedge,
    time::Time,
};

/// Records the metrics of a request. Dropped without an end, it records that the caller
/// disconnected.
#[derive(Debug)]
pub struct Recorder {
    metrics: Metrics,
    accepted: Time,
    /// Label of the priority class, `none` until the route is known.
    class: String,
    /// Time by which the first byte should arrive.
    target: Option<Time>,
    in_time: bool,
    ended: bool,
}

impl Recorder {
    /// Starts with a request that was accepted at this time.
    pub fn start(metrics: Metrics, accepted: Time) -> Recorder {
        metrics.in_flight.inc();
        let class = "none".to_owned();
        Recorder { metrics, accepted, class, target: None, in_time: false, ended: false }
    }

    /// Sets the priority class and the time by which the first byte should arrive.
    pub fn classify(&mut self, tier: u8, target: Time) {
        self.class = format!("tier-{tier}");
        self.target = Some(target);
    }

    /// Records the first byte of the upstream's response.
    pub fn first_byte(&mut self, now: Time) {
        self.in_time = self.target.is_some_and(|it| now <= it);
        self.metrics.first_token(&self.class, now.since(self.accepted).into());
    }

    /// Records the outcome. Calls after the first one have no effect.
    pub fn end(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.ended, true) {
            let in_time = self.in_time && outcome == Outcome::Whole;
            self.metrics.ended(&self.class, outcome, in_time, 0);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.end(Outcome::Abandoned);
        self.metrics.in_flight.dec();
    }
}

/// Records the metrics of a request that was sent to a second upstream. Dropped without an end, it records that the caller
/// disconnected.
#[derive(Debug)]
pub struct Hedge {
    metrics: Metrics,
    sent_at: Time,
    outcome: hedge::Outcome,
}

impl Hedge {
    /// Starts when the second upstream gets the request.
    pub fn start(metrics: Metrics, now: Time) -> Hedge {
        Hedge { metrics, sent_at: now, outcome: hedge::Outcome::Abandoned }
    }

    /// Records the outcome.
    pub fn end(mut self, outcome: hedge::Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Hedge {
    fn drop(&mut self) {
        let extra = Time::now().since(self.sent_at);
        self.metrics.hedge_ended(self.outcome.as_str(), extra.into());
    }
}
