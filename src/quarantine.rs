//! Requests that crash their upstreams and are refused for a period.
//!
//! Every request that was running on a crashed upstream is a suspect. A second crash convicts it. A suspect that later
//! completes is exonerated, and so are the others on an upstream whose crash is explained by a conviction.

use std::collections::BTreeMap;

use crate::{
    dispatch::UpstreamKey,
    time::{Span, Time},
};

/// Time for which a convicted fingerprint is refused.
pub const QUARANTINE: Span = Span::from_ms(600_000);

/// Time for which a crash is remembered against a fingerprint.
const MEMORY: Span = Span::from_ms(600_000);

/// Largest number of suspects and of convicted fingerprints.
const MAX_ENTRIES: usize = 4_096;

/// Number of a crash of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CrashKey(u64);

/// Newest crash of an upstream.
#[derive(Debug, Clone, Copy)]
struct Crash {
    key: CrashKey,
    at: Time,
    /// Whether a fingerprint was convicted of it.
    explained: bool,
}

/// A fingerprint that was running on an upstream that crashed.
#[derive(Debug, Clone, Copy)]
struct Suspect {
    crash: CrashKey,
    at: Time,
}

/// Suspected and convicted fingerprints.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: BTreeMap<UpstreamKey, Crash>,
    /// At most `MAX_ENTRIES`.
    suspects: BTreeMap<u64, Suspect>,
    /// End of each conviction. At most `MAX_ENTRIES`.
    convicted: BTreeMap<u64, Time>,
    next: u64,
}

impl Quarantine {
    /// Records that an attempt granted at `granted` ended with a crash of its upstream.
    ///
    /// Returns the end of the quarantine if this convicts the fingerprint.
    pub fn crash(
        &mut self,
        now: Time,
        upstream: UpstreamKey,
        granted: Time,
        fingerprint: u64,
    ) -> Option<Time> {
        let crash = self.crash_of(now, upstream, granted);
        let earlier = self.suspects.get(&fingerprint).copied();
        let earlier = earlier.filter(|it| now.since(it.at) < MEMORY);
        if let Some(earlier) = earlier {
            if earlier.crash == crash.key {
                return None;
            }
            self.explain(upstream, crash.key);
            let until = now + QUARANTINE;
            self.insert(now, fingerprint, until);
            return Some(until);
        }
        if !crash.explained {
            self.make_room(now);
            self.suspects.insert(fingerprint, Suspect { crash: crash.key, at: now });
        }
        None
    }

    /// Exonerates a fingerprint whose request completed.
    pub fn complete(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    /// Refuses a fingerprint until a time; a later end stays in force.
    pub fn insert(&mut self, now: Time, fingerprint: u64, until: Time) {
        self.suspects.remove(&fingerprint);
        self.make_room(now);
        let end = self.convicted.entry(fingerprint).or_insert(until);
        *end = until.max(*end);
    }

    /// End of a fingerprint's quarantine, if it is in force.
    pub fn end_of(&self, now: Time, fingerprint: u64) -> Option<Time> {
        self.convicted.get(&fingerprint).copied().filter(|end| now < *end)
    }

    /// Whether a fingerprint was on a crashed upstream and has not completed since.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Fingerprints with the ends of their quarantine, expired ones included until their room is needed.
    pub fn iter(&self) -> impl Iterator<Item = (u64, Time)> {
        self.convicted.iter().map(|(fingerprint, end)| (*fingerprint, *end))
    }

    /// Forgets an upstream that no longer exists.
    pub fn forget(&mut self, upstream: UpstreamKey) {
        self.crashes.remove(&upstream);
    }

    /// An attempt that was granted after the newest crash belongs to a new one.
    fn crash_of(&mut self, now: Time, upstream: UpstreamKey, granted: Time) -> Crash {
        if let Some(known) = self.crashes.get(&upstream)
            && granted <= known.at
        {
            return *known;
        }
        self.next += 1;
        let crash = Crash { key: CrashKey(self.next), at: now, explained: false };
        self.crashes.insert(upstream, crash);
        crash
    }

    /// Clears everybody whose only charge is a crash that another was convicted of.
    fn explain(&mut self, upstream: UpstreamKey, key: CrashKey) {
        if let Some(crash) = self.crashes.get_mut(&upstream) {
            crash.explained = true;
        }
        self.suspects.retain(|_, suspect| suspect.crash != key);
    }

    fn make_room(&mut self, now: Time) {
        if self.suspects.len() >= MAX_ENTRIES {
            self.suspects.retain(|_, suspect| now.since(suspect.at) < MEMORY);
        }
        if self.convicted.len() >= MAX_ENTRIES {
            self.convicted.retain(|_, end| now < *end);
        }
        while self.suspects.len() >= MAX_ENTRIES {
            self.suspects.pop_first();
        }
        while self.convicted.len() >= MAX_ENTRIES {
            self.convicted.pop_first();
        }
    }
}
