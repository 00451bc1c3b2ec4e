//! Charges: crashes of upstreams while a request or a part of its prompt was running there.

use crate::time::{Span, Time};

/// Identifies a crash of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashKey(pub u64);

/// How far an answer had come, by the binary order of magnitude of its number of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Progress(u8);

impl Progress {
    /// The head without an event.
    pub const HEAD: Progress = Progress(0);

    /// One event.
    pub const FIRST: Progress = Progress(1);

    /// As far as an answer can come.
    pub const WHOLE: Progress = Progress(7);

    /// Progress of an answer with a number of events.
    pub fn of(events: u32) -> Progress {
        let magnitude = u32::BITS - events.leading_zeros();
        Progress::WHOLE.min(Progress(magnitude as u8))
    }

    /// The furthest progress that an answer has left behind for certain with a number of events, which is at least twice as
    /// many. `None` below two events.
    pub fn passed_with(events: u32) -> Option<Progress> {
        if events < 2 {
            return None;
        }
        let magnitude = events.saturating_add(2).ilog2() - 1;
        Some(Progress((magnitude as u8).min(Progress::WHOLE.0 - 1)))
    }

    /// All values in ascending order.
    pub fn all() -> impl Iterator<Item = Progress> {
        (0..=Progress::WHOLE.0).map(Progress)
    }

    /// Number from zero to seven.
    pub const fn index(self) -> usize {
        self.0 as usize
    }

    /// The progress with a number, that of a whole answer if it is greater.
    pub fn from_index(index: u64) -> Progress {
        Progress(index.min(u64::from(Progress::WHOLE.0)) as u8)
    }
}

/// A crash for which a suspect may be the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// The crash.
    pub crash: CrashKey,
    /// When it was noticed.
    pub at: Time,
    /// How far the answer to the suspect had come, `None` without its head.
    pub progress: Option<Progress>,
}

/// Selects between the progress of two answers under one crash.
pub type Merge = fn(Progress, Progress) -> Progress;

/// How charges are counted and kept.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Crashes that follow each other more closely count as one, as upstreams also fail together.
    pub min_interval: Span,
    /// Age from which a charge no longer counts.
    pub lifetime: Span,
    /// Most suspects that are kept. The ones with the fewest charges are dropped first.
    pub max_suspects: usize,
}

/// Most charges that are kept for one suspect; the latest ones.
const MAX_CHARGES: usize = 16;

/// Suspects with the charges against them.
#[derive(Debug)]
pub struct Suspects<K> {
    rules: Rules,
    /// Sorted by suspect; charges are sorted by time and never empty.
    entries: Vec<(K, Vec<Charge>)>,
}

impl<K: Copy + Ord> Suspects<K> {
    /// Creates an empty list.
    pub fn new(rules: Rules) -> Suspects<K> {
        Suspects { rules, entries: Vec::new() }
    }

    /// Charges a suspect with a crash. If it is charged with it already, `merge` selects the progress. Returns false if the
    /// charge says nothing new or is too old.
    pub fn charge(&mut self, now: Time, suspect: K, charge: Charge, merge: Merge) -> bool {
        if now.since(charge.at) >= self.rules.lifetime {
            return false;
        }
        let found = self.find(suspect);
        if let Ok(at) = found
            && let Some(known) = self.entries[at].1.iter_mut().find(|it| it.crash == charge.crash)
        {
            let merged = match (known.progress, charge.progress) {
                (Some(known), Some(new)) => Some(merge(known, new)),
                (known, new) => known.or(new),
            };
            return std::mem::replace(&mut known.progress, merged) != merged;
        }
        let at = match found {
            Ok(found) => found,
            Err(at) => {
                self.entries.insert(at, (suspect, Vec::new()));
                at
            }
        };
        let charges = &mut self.entries[at].1;
        let position = charges.partition_point(|it| it.at <= charge.at);
        charges.insert(position, charge);
        let excess = charges.len().saturating_sub(MAX_CHARGES);
        charges.drain(..excess);
        self.evict(now);
        true
    }

    /// Returns the charges against a suspect in the order of their times.
    pub fn charges(&self, suspect: K) -> &[Charge] {
        self.find(suspect).map_or(&[], |at| &self.entries[at].1)
    }

    /// Returns the number of separate crashes with which a suspect is charged.
    pub fn crashes(&self, now: Time, suspect: K) -> usize {
        self.separate(now, self.charges(suspect))
    }

    /// Returns the number of separate crashes among charges in the order of their times.
    pub fn separate(&self, now: Time, charges: &[Charge]) -> usize {
        let valid = |it: &&Charge| now.since(it.at) < self.rules.lifetime;
        let mut last: Option<Time> = None;
        let mut count = 0;
        for charge in charges.iter().filter(valid) {
            if last.is_none_or(|it| charge.at.since(it) >= self.rules.min_interval) {
                last = Some(charge.at);
                count += 1;
            }
        }
        count
    }

    /// Returns all suspects with the charges against each, in the order of their times.
    pub fn iter(&self) -> impl Iterator<Item = (K, &[Charge])> {
        self.entries.iter().map(|it| (it.0, it.1.as_slice()))
    }

    /// Drops the charges against a suspect up to a time with at most the given progress. Returns whether there were any.
    pub fn clear(&mut self, suspect: K, until: Time, progress: Progress) -> bool {
        let Ok(at) = self.find(suspect) else { return false };
        let charges = &mut self.entries[at].1;
        let count = charges.len();
        charges.retain(|it| it.at > until || it.progress.unwrap_or(Progress::HEAD) > progress);
        let is_changed = charges.len() < count;
        if charges.is_empty() {
            self.entries.remove(at);
        }
        is_changed
    }

    /// Drops the charges with a crash after `since` and up to `until` against all suspects, and returns these.
    pub fn withdraw(&mut self, crash: CrashKey, (since, until): (Time, Time)) -> Vec<K> {
        let mut affected = Vec::new();
        self.entries.retain_mut(|(suspect, charges)| {
            let count = charges.len();
            charges.retain(|it| it.crash != crash || it.at <= since || it.at > until);
            if charges.len() < count {
                affected.push(*suspect);
            }
            !charges.is_empty()
        });
        affected
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops suspects whose charges no longer count.
    pub fn remove_expired(&mut self, now: Time) {
        let lifetime = self.rules.lifetime;
        let is_valid = |it: &Charge| now.since(it.at) < lifetime;
        self.entries.retain(|it| it.1.last().is_some_and(is_valid));
    }

    fn evict(&mut self, now: Time) {
        if self.entries.len() > self.rules.max_suspects {
            self.remove_expired(now);
        }
        while self.entries.len() > self.rules.max_suspects {
            let weight = |it: &(K, Vec<Charge>)| (it.1.len(), it.1.last().map(|last| last.at));
            let least = (0..self.entries.len()).min_by_key(|at| weight(&self.entries[*at]));
            let Some(least) = least else { return };
            self.entries.remove(least);
        }
    }

    fn find(&self, suspect: K) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&suspect, |it| it.0)
    }
}
