//! How often a change has been passed on, and the quarantined fingerprints that are passed on with the membership.

use crate::time::{Span, Time};

/// Most quarantined fingerprints that are kept.
pub const MAX_QUARANTINED: usize = 256;

/// Longest quarantine, in milliseconds.
const MAX_QUARANTINE_MS: u64 = 3_600_000;

/// Difference by which a quarantine must outlast the known one to replace it, in milliseconds.
const EXTENSION_MS: u64 = 2_000;

/// Most fingerprints in one message.
const MAX_IN_MESSAGE: usize = 8;

/// Where a change stands in the order of this host's changes, and how often it was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Broadcast {
    sequence: u64,
    sends: u32,
}

impl Broadcast {
    /// Most changes in one message.
    pub(crate) const MAX_CHANGES: usize = 10;

    pub(crate) fn new(sequence: u64) -> Broadcast {
        Broadcast { sequence, sends: 0 }
    }

    /// How often a change is sent by each host, so that with near certainty all of them hear it.
    pub(crate) fn limit(hosts: usize) -> u32 {
        hosts.max(2).ilog2() + 2
    }

    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(crate) fn is_pending(&self, limit: u32) -> bool {
        self.sends < limit
    }

    /// Least sent first, then newest first.
    pub(crate) fn order(&self) -> (u32, std::cmp::Reverse<u64>) {
        (self.sends, std::cmp::Reverse(self.sequence))
    }

    pub(crate) fn sent(&mut self) {
        self.sends += 1;
    }

    /// Sends it again from the start.
    pub(crate) fn renew(&mut self) {
        self.sends = 0;
    }
}

/// The last change that another zone is known to have.
#[derive(Debug, Default)]
pub(crate) struct Cursor(u64);

impl Cursor {
    pub(crate) fn position(&self) -> u64 {
        self.0
    }

    pub(crate) fn advance(&mut self, reached: u64) {
        self.0 = self.0.max(reached);
    }

    /// Starts over, so that the zone is sent everything.
    pub(crate) fn reset(&mut self) {
        self.0 = 0;
    }
}

#[derive(Debug)]
struct Fingerprint {
    value: u64,
    until: Time,
    broadcast: Broadcast,
}

/// Quarantined fingerprints, sorted by value; at most `MAX_QUARANTINED`.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    entries: Vec<Fingerprint>,
}

impl Quarantine {
    /// Takes entries in and returns those that are new or last longer than known.
    pub(crate) fn merge(
        &mut self,
        now: Time,
        sequence: u64,
        entries: &[(u64, u64)],
    ) -> Vec<(u64, u64)> {
        let mut fresh = Vec::new();
        for &(value, left_ms) in entries.iter().take(MAX_QUARANTINED) {
            let left_ms = left_ms.min(MAX_QUARANTINE_MS);
            if left_ms > 0 && self.accept(now, sequence, value, left_ms) {
                fresh.push((value, left_ms));
            }
        }
        fresh
    }

    fn accept(&mut self, now: Time, sequence: u64, value: u64, left_ms: u64) -> bool {
        let until = now + Span::from_ms(left_ms);
        let broadcast = Broadcast::new(sequence);
        match self.entries.binary_search_by_key(&value, |it| it.value) {
            Ok(found) => {
                let entry = &mut self.entries[found];
                if until <= entry.until + Span::from_ms(EXTENSION_MS) {
                    return false;
                }
                *entry = Fingerprint { value, until, broadcast };
                true
            }
            Err(position) => {
                self.entries.insert(position, Fingerprint { value, until, broadcast });
                self.make_room(value)
            }
        }
    }

    /// Drops the entry that ends first if there are too many; false if that is the given one.
    fn make_room(&mut self, value: u64) -> bool {
        if self.entries.len() <= MAX_QUARANTINED {
            return true;
        }
        let first = (0..self.entries.len()).min_by_key(|it| self.entries[*it].until);
        let removed = first.map(|it| self.entries.remove(it).value);
        removed != Some(value)
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.entries.retain(|it| it.until > now);
    }

    /// The entries that were sent least, and counts them as sent.
    pub(crate) fn take(&mut self, now: Time, limit: u32) -> Vec<(u64, u64)> {
        let mut waiting: Vec<usize> = (0..self.entries.len())
            .filter(|it| self.entries[*it].broadcast.is_pending(limit))
            .collect();
        waiting.sort_by_key(|it| self.entries[*it].broadcast.order());
        waiting.truncate(MAX_IN_MESSAGE);
        let mut taken = Vec::new();
        for index in waiting {
            self.entries[index].broadcast.sent();
            taken.push(self.entries[index].left(now));
        }
        taken
    }

    /// The entries that changed after a sequence number.
    pub(crate) fn after(&self, now: Time, sequence: u64) -> Vec<(u64, u64)> {
        let newer = self.entries.iter().filter(|it| it.broadcast.sequence() > sequence);
        newer.map(|it| it.left(now)).collect()
    }
}

impl Fingerprint {
    fn left(&self, now: Time) -> (u64, u64) {
        (self.value, self.until.since(now).as_ms())
    }
}
