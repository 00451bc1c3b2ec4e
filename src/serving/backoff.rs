//! Back-off of one host from an upstream that asked for it when it refused a request.

use std::{cell::Cell, rc::Rc};

use crate::{
    serving::key::AttemptKey,
    time::{Span, Time},
};

/// Time without an answer after which a request counts as accepted; an upstream that is full refuses at once.
const PROBE_LIFETIME: Span = Span::from_ms(250);

/// Least extension of a back-off that is logged.
const MIN_LOGGED_EXTENSION: Span = Span::from_ms(1_000);

/// What a response says about the time for which its upstream wants no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Named {
    /// The upstream wants no requests for this time.
    For(Span),
    /// The upstream names no time.
    Nothing,
    /// The time cannot be read.
    Invalid,
}

/// Closed while a host backs off. Clones share the state, so that requests which are already granted see it too.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    closed_until: Rc<Cell<Time>>,
}

impl Gate {
    /// Whether no request may be sent.
    pub fn is_closed(&self, now: Time) -> bool {
        now < self.closed_until.get()
    }

    /// Closes the gate until this time, unless it stays closed for longer. Returns whether the change is worth a log
    /// line.
    pub fn close(&self, now: Time, until: Time) -> bool {
        let previous = self.closed_until.get();
        self.closed_until.set(previous.max(until));
        let begins = previous <= now && now < until;
        begins || until.since(previous) >= MIN_LOGGED_EXTENSION
    }
}

/// Back-off of one host from one incarnation of an upstream, and the recovery from it.
///
/// Nothing is sent while the gate is closed. The upstream then gets one request, and with each answer one more may be
/// outstanding, until there are as many as it has slots.
#[derive(Debug, Default)]
pub struct Backoff {
    /// Shared with the requests that are granted.
    pub gate: Gate,
    /// `None` before the first back-off and after the recovery from the last one.
    recovery: Option<Recovery>,
}

#[derive(Debug)]
struct Recovery {
    /// Requests that may be outstanding; at least one.
    window: usize,
    /// Attempts without an answer and when they were granted, in order.
    probes: Vec<(AttemptKey, Time)>,
}

impl Recovery {
    fn outstanding(&self, now: Time) -> usize {
        self.probes.iter().filter(|it| now < it.1 + PROBE_LIFETIME).count()
    }
}

impl Backoff {
    /// Backs off until this time, or longer if that was said before.
    pub fn begin(&mut self, now: Time, until: Time) {
        self.gate.close(now, until);
        self.recovery = Some(Recovery { window: 1, probes: Vec::new() });
    }

    /// Begins the recovery anew, as the answers to earlier attempts are no longer reported.
    pub fn restart_recovery(&mut self) {
        if let Some(recovery) = &mut self.recovery {
            *recovery = Recovery { window: 1, probes: Vec::new() };
        }
    }

    /// Whether the upstream is backed off from or recovers.
    pub fn is_active(&self) -> bool {
        self.recovery.is_some()
    }

    /// Time until the end of the back-off, zero without one.
    pub fn time_left(&self, now: Time) -> Span {
        self.end().since(now)
    }

    /// End of the back-off, in the past after it.
    pub fn end(&self) -> Time {
        self.gate.closed_until.get()
    }

    /// Whether a request may be sent now.
    pub fn may_send(&self, now: Time) -> bool {
        let has_room = self.recovery.as_ref().is_none_or(|it| it.outstanding(now) < it.window);
        !self.gate.is_closed(now) && has_room
    }

    /// Records that an attempt is granted.
    pub fn record_grant(&mut self, now: Time, attempt: AttemptKey) {
        if let Some(recovery) = &mut self.recovery {
            recovery.probes.push((attempt, now));
        }
    }

    /// Records an answer to an attempt. Those to attempts from before the end of the back-off are ignored.
    pub fn record_answer(&mut self, attempt: AttemptKey, slots: u32) {
        let Some(recovery) = &mut self.recovery else { return };
        let Some(at) = recovery.probes.iter().position(|it| it.0 == attempt) else { return };
        recovery.probes.remove(at);
        recovery.window += 1;
        if recovery.window > slots as usize {
            self.recovery = None;
        }
    }

    /// Records the end of an attempt without an answer.
    pub fn record_end(&mut self, attempt: AttemptKey) {
        if let Some(recovery) = &mut self.recovery {
            recovery.probes.retain(|it| it.0 != attempt);
        }
    }
}
