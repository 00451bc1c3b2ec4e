//! What a request has been through, and whether it may be sent again.

use crate::{
    error::{Kind, Run},
    serving::{key::UpstreamKey, table::RetryPolicy},
    time::{Span, Time},
};

/// Time that must be left for another send to be of use.
const LEAST_TIME: Span = Span::from_ms(20);

/// Sends that a request may take in all; refusals of upstreams are no runs, but each costs time.
const MAX_SENDS: u32 = 4;

/// Why an attempt has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Kind of the error.
    pub kind: Kind,
    /// Whether the upstream may have run the request.
    pub run: Run,
    /// Whether the request reached the upstream, so that another send is a repeat.
    pub reached_upstream: bool,
}

impl AttemptFailure {
    /// The request did not reach an upstream.
    pub fn unsent(kind: Kind) -> AttemptFailure {
        AttemptFailure { kind, run: Run::No, reached_upstream: false }
    }

    /// The upstream said that it has not run the request.
    pub fn refused(kind: Kind) -> AttemptFailure {
        AttemptFailure { kind, run: Run::No, reached_upstream: true }
    }

    /// The upstream may have run the request.
    pub fn sent(kind: Kind) -> AttemptFailure {
        AttemptFailure { kind, run: Run::Unknown, reached_upstream: true }
    }
}

/// What a route allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRules {
    /// Whether a request may run more than once.
    pub retry_policy: RetryPolicy,
    /// Upstreams that a request may run on.
    pub max_attempts: u32,
    /// When the answer is of no more use.
    pub deadline: Time,
}

/// What a request has been through.
#[derive(Debug, Clone, Default)]
pub struct AttemptHistory {
    /// Runs that began or may have begun.
    runs: u32,
    /// Sends that were tried.
    sends: u32,
    /// Upstreams that were tried.
    pub tried: Vec<UpstreamKey>,
    /// Whether the request was counted for its customer.
    billed: bool,
}

impl AttemptHistory {
    /// An upstream is tried.
    pub fn record_send(&mut self, upstream: UpstreamKey) {
        self.sends += 1;
        self.tried.push(upstream);
    }

    /// Whether the request is to be counted now; true once.
    pub fn mark_counted(&mut self) -> bool {
        !std::mem::replace(&mut self.billed, true)
    }

    /// An upstream answered.
    pub fn record_answer(&mut self) {
        self.runs += 1;
    }

    /// An attempt has no answer.
    pub fn record_failure(&mut self, loss: AttemptFailure) {
        self.runs += u32::from(loss.run != Run::No);
    }

    /// Whether any upstream may have run the request.
    pub fn run_status(&self) -> Run {
        if self.runs == 0 { Run::No } else { Run::Unknown }
    }

    /// Whether the request may be sent again, the budget of repeats aside.
    pub fn may_retry(&self, now: Time, rules: RetryRules) -> bool {
        let runs = match rules.retry_policy {
            RetryPolicy::Never => self.runs == 0,
            RetryPolicy::Always | RetryPolicy::Resume => self.runs < rules.max_attempts,
        };
        runs && self.sends < MAX_SENDS && now + LEAST_TIME < rules.deadline
    }
}
