//! What the counters are told of one request.

use crate::{
    metrics::{Metrics, Outcome},
    time::Time,
};

/// A request in progress; one that is dropped without an end was left by its caller.
#[derive(Debug)]
pub struct RequestMetrics {
    metrics: Metrics,
    accepted: Time,
    /// Name of the request's place in the order, once its route is known.
    class: String,
    /// When the first byte should be there.
    target: Option<Time>,
    in_time: bool,
    ended: bool,
}

impl RequestMetrics {
    /// Begins with a request that was accepted.
    pub fn start(metrics: Metrics, accepted: Time) -> RequestMetrics {
        metrics.in_flight.inc();
        let class = "none".to_owned();
        RequestMetrics { metrics, accepted, class, target: None, in_time: false, ended: false }
    }

    /// The request is in a place of the order and has a target for its first byte.
    pub fn classify(&mut self, tier: u8, target: Time) {
        self.class = format!("tier-{tier}");
        self.target = Some(target);
    }

    /// The first byte of an upstream's answer is there.
    pub fn first_byte(&mut self, now: Time) {
        self.in_time = self.target.is_some_and(|it| now <= it);
        self.metrics.first_token(&self.class, now.since(self.accepted).into());
    }

    /// The request has ended.
    pub fn end(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.ended, true) {
            let in_time = self.in_time && outcome == Outcome::Whole;
            self.metrics.ended(&self.class, outcome, in_time, 0);
        }
    }
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        self.end(Outcome::Abandoned);
        self.metrics.in_flight.dec();
    }
}
