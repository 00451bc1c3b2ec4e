//! Whether this host reaches upstreams by itself, judged by its own connections.
//!
//! Answers the failure of a network path that cuts a host off from all upstreams, while callers and other hosts still reach
//! it. Connections to a single upstream that is down fail too, so that no one upstream decides.

use crate::time::{Span, Time};

/// Upstreams in a row to which no connection could be opened before a host counts as cut off, if there are as many.
const MIN_FAILED: usize = 2;

/// Time for which a failed connection counts.
const FAILURE_LIFETIME: Span = Span::from_ms(2_000);

/// Time for which an opened connection shows that upstreams are within reach.
const SUCCESS_LIFETIME: Span = Span::from_ms(300);

/// Shortest interval between direct connections that only test the path to upstreams.
const PROBE_INTERVAL: Span = Span::from_ms(500);

/// What a host's direct connections tell about its path to upstreams.
#[derive(Debug, Default)]
pub struct Reach {
    /// Incarnations of upstreams to which no connection could be opened since the last one that was, each with the time of
    /// its last failure.
    failed: Vec<(u64, Time)>,
    opened_at: Option<Time>,
    /// Since when the host is cut off; `None` while it is not.
    cut_since: Option<Time>,
    /// When a host that is cut off last tried a direct connection, or another host when its path was last checked.
    probed_at: Time,
}

impl Reach {
    /// Records that a direct connection was opened. Returns for how long the host was cut off, if it was.
    pub fn record_opened(&mut self, now: Time) -> Option<Span> {
        self.failed.clear();
        self.opened_at = Some(now);
        self.cut_since.take().map(|it| now.since(it))
    }

    /// Records that no direct connection to one of `known` upstreams could be opened. Returns true if the host counts as
    /// cut off from now on.
    pub fn record_failed(&mut self, now: Time, incarnation: u64, known: usize) -> bool {
        self.failed.retain(|it| it.0 != incarnation && now.since(it.1) < FAILURE_LIFETIME);
        self.failed.push((incarnation, now));
        let is_cut = self.failed.len() >= MIN_FAILED.min(known.max(1));
        let begins = is_cut && self.cut_since.is_none();
        if begins {
            self.cut_since = Some(now);
            self.probed_at = now;
        }
        begins
    }

    /// Since when the host is cut off, `None` while it is not.
    pub fn cut_since(&self) -> Option<Time> {
        self.cut_since
    }

    /// Whether a failure at one upstream should be compared with another upstream, as nothing shows that upstreams are
    /// within reach.
    pub fn needs_comparison(&self, now: Time) -> bool {
        self.cut_since.is_none()
            && self.opened_at.is_none_or(|it| now.since(it) >= SUCCESS_LIFETIME)
    }

    /// Whether a direct connection should be tried to find out whether upstreams are within reach: one that shows the end of
    /// a cut, or one that explains why no response arrives. Counts the attempt.
    pub fn begin_probe(&mut self, now: Time) -> bool {
        let is_in_doubt = self.cut_since.is_some() || self.needs_comparison(now);
        let is_due = is_in_doubt && now.since(self.probed_at) >= PROBE_INTERVAL;
        if is_due {
            self.probed_at = now;
        }
        is_due
    }
}
