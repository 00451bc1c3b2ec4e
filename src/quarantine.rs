//! Quarantine of requests that crash their upstreams.
//!
//! Every request that was running on a crashed upstream becomes a suspect, identified by its fingerprint. When a
//! suspect's upstream crashes again, the fingerprint is quarantined: it is refused for a period. A suspect that later
//! completes is cleared. The crash that led to a quarantine is attributed to that fingerprint, which clears the other
//! suspects of the same crash.

use std::collections::BTreeMap;

use crate::{
    dispatch::UpstreamKey,
    suspicion::{Charge, CrashKey, Progress, Rules, Suspects},
    time::{Span, Time},
};

/// Time for which a quarantined fingerprint is refused.
pub const QUARANTINE_PERIOD: Span = Span::from_ms(600_000);

/// Time after which a suspect's crash no longer counts.
const SUSPICION_TIMEOUT: Span = Span::from_ms(600_000);

/// Maximum number of suspects, and of quarantined fingerprints.
const MAX_ENTRIES: usize = 4_096;

/// The last crash of an upstream.
#[derive(Debug, Clone, Copy)]
struct Crash {
    key: CrashKey,
    at: Time,
    /// Whether a quarantined fingerprint caused the crash.
    attributed: bool,
}

/// Crashes after which a fingerprint is quarantined.
const MAX_CRASHES: usize = 2;

/// Suspected and quarantined fingerprints of a dispatcher.
#[derive(Debug)]
pub struct Quarantine {
    crashes: BTreeMap<UpstreamKey, Crash>,
    suspects: Suspects<u64>,
    /// End of each quarantine. At most `MAX_ENTRIES`.
    quarantined: BTreeMap<u64, Time>,
    next_crash: u64,
}

impl Default for Quarantine {
    fn default() -> Quarantine {
        let rules =
            Rules { min_interval: Span(0), lifetime: SUSPICION_TIMEOUT, max_suspects: MAX_ENTRIES };
        Quarantine {
            crashes: BTreeMap::new(),
            suspects: Suspects::new(rules),
            quarantined: BTreeMap::new(),
            next_crash: 0,
        }
    }
}

impl Quarantine {
    /// Records that an attempt granted at `granted` ended with a crash of its upstream.
    ///
    /// Returns the end of the quarantine if the fingerprint is quarantined for this crash.
    pub fn record_crash(
        &mut self,
        now: Time,
        upstream: UpstreamKey,
        granted: Time,
        fingerprint: u64,
    ) -> Option<Time> {
        let crash = self.crash_of(now, upstream, granted);
        if crash.attributed && self.suspects.crashes(now, fingerprint) == 0 {
            return None;
        }
        let charge = Charge { crash: crash.key, at: now, progress: None };
        self.suspects.charge(now, fingerprint, charge, Ord::min);
        if self.suspects.crashes(now, fingerprint) < MAX_CRASHES {
            return None;
        }
        self.attribute(now, upstream, crash.key);
        let until = now + QUARANTINE_PERIOD;
        self.insert(now, fingerprint, until);
        Some(until)
    }

    /// Clears a suspect whose request completed.
    pub fn record_success(&mut self, fingerprint: u64) {
        self.suspects.clear(fingerprint, Time(u64::MAX), Progress::WHOLE);
    }

    /// Quarantines a fingerprint until a time. An existing quarantine is never shortened.
    pub fn insert(&mut self, now: Time, fingerprint: u64, until: Time) {
        self.suspects.clear(fingerprint, Time(u64::MAX), Progress::WHOLE);
        self.evict(now);
        let end = self.quarantined.entry(fingerprint).or_insert(until);
        *end = until.max(*end);
    }

    /// Returns the end of a fingerprint's quarantine, or `None` if it is not quarantined at `now`.
    pub fn quarantined_until(&self, now: Time, fingerprint: u64) -> Option<Time> {
        self.quarantined.get(&fingerprint).copied().filter(|end| now < *end)
    }

    /// Returns whether a fingerprint ran on an upstream that crashed and has not completed since.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        !self.suspects.charges(fingerprint).is_empty()
    }

    /// Returns the quarantined fingerprints and the ends of their quarantine.
    ///
    /// Expired entries are included until they are evicted.
    pub fn iter(&self) -> impl Iterator<Item = (u64, Time)> {
        self.quarantined.iter().map(|(fingerprint, end)| (*fingerprint, *end))
    }

    /// Removes the crash record of an upstream that no longer exists.
    pub fn remove_upstream(&mut self, upstream: UpstreamKey) {
        self.crashes.remove(&upstream);
    }

    /// Returns the crash that an attempt ended with.
    ///
    /// An attempt that was granted after the last recorded crash ended with a new one.
    fn crash_of(&mut self, now: Time, upstream: UpstreamKey, granted: Time) -> Crash {
        if let Some(known) = self.crashes.get(&upstream)
            && granted <= known.at
        {
            return *known;
        }
        self.next_crash += 1;
        let crash = Crash { key: CrashKey(self.next_crash), at: now, attributed: false };
        self.crashes.insert(upstream, crash);
        crash
    }

    /// Attributes a crash to a quarantined fingerprint and clears the other suspects of that crash.
    fn attribute(&mut self, now: Time, upstream: UpstreamKey, key: CrashKey) {
        if let Some(crash) = self.crashes.get_mut(&upstream) {
            crash.attributed = true;
        }
        self.suspects.withdraw(key, (Time(0), now));
    }

    fn evict(&mut self, now: Time) {
        if self.quarantined.len() >= MAX_ENTRIES {
            self.quarantined.retain(|_, end| now < *end);
        }
        while self.quarantined.len() >= MAX_ENTRIES {
            self.quarantined.pop_first();
        }
    }
}
