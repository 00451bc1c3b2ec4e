//! Dissemination of membership changes and quarantined fingerprints, which each host sends a limited number of times.

use crate::time::{Span, Time};

/// Largest number of stored quarantined fingerprints.
pub const MAX_QUARANTINED: usize = 256;

/// Longest quarantine, in milliseconds; longer ones are shortened to it.
const MAX_QUARANTINE_MS: u64 = 3_600_000;

/// Time by which a quarantine must outlast the stored one to replace it, in milliseconds.
const EXTENSION_MS: u64 = 2_000;

/// Largest number of fingerprints in one message.
const MAX_IN_MESSAGE: usize = 8;

/// Position of a change in the sequence of this host's changes, and the number of times that it was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Broadcast {
    sequence: u64,
    sends: u32,
}

impl Broadcast {
    /// Largest number of changes in one message.
    pub(crate) const MAX_CHANGES: usize = 10;

    pub(crate) fn new(sequence: u64) -> Broadcast {
        Broadcast { sequence, sends: 0 }
    }

    /// Returns how often each host sends a change, so that it reaches all hosts with near certainty.
    pub(crate) fn limit(hosts: usize) -> u32 {
        hosts.max(2).ilog2() + 2
    }

    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(crate) fn is_pending(&self, limit: u32) -> bool {
        self.sends < limit
    }

    /// Returns the key by which changes are sent: least often sent first, then newest first.
    pub(crate) fn order(&self) -> (u32, std::cmp::Reverse<u64>) {
        (self.sends, std::cmp::Reverse(self.sequence))
    }

    pub(crate) fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Resets the number of sends, so that the change is sent again as often as a new one.
    pub(crate) fn renew(&mut self) {
        self.sends = 0;
    }
}

/// Sequence number up to which another zone has received the changes of this host.
#[derive(Debug, Default)]
pub(crate) struct Cursor(u64);

impl Cursor {
    pub(crate) fn position(&self) -> u64 {
        self.0
    }

    pub(crate) fn advance(&mut self, reached: u64) {
        self.0 = self.0.max(reached);
    }

    /// Returns to the start, so that all members and fingerprints are sent to the zone again.
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

/// The quarantined fingerprints, at most `MAX_QUARANTINED`.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    /// Sorted by value.
    entries: Vec<Fingerprint>,
}

impl Quarantine {
    /// Stores fingerprints, given with the time left in milliseconds, and returns those that are new or whose
    /// quarantine was extended.
    pub(crate) fn merge(
        &mut self,
        now: Time,
        sequence: u64,
        entries: &[(u64, u64)],
    ) -> Vec<(u64, u64)> {
        let mut fresh = Vec::new();
        for &(value, left_ms) in entries.iter().take(MAX_QUARANTINED) {
            let left_ms = left_ms.min(MAX_QUARANTINE_MS);
            if left_ms > 0 && self.store(now, sequence, value, left_ms) {
                fresh.push((value, left_ms));
            }
        }
        fresh
    }

    fn store(&mut self, now: Time, sequence: u64, value: u64, left_ms: u64) -> bool {
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
                self.evict(value)
            }
        }
    }

    /// Removes the entry that expires first if there are too many. Returns false if that is the entry of `value`.
    fn evict(&mut self, value: u64) -> bool {
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

    /// Returns the entries for one message, those that were sent least often first, and counts them as sent.
    pub(crate) fn take(&mut self, now: Time, limit: u32) -> Vec<(u64, u64)> {
        let mut waiting: Vec<usize> = (0..self.entries.len())
            .filter(|it| self.entries[*it].broadcast.is_pending(limit))
            .collect();
        waiting.sort_by_key(|it| self.entries[*it].broadcast.order());
        waiting.truncate(MAX_IN_MESSAGE);
        let mut taken = Vec::new();
        for index in waiting {
            self.entries[index].broadcast.record_send();
            taken.push(self.entries[index].with_time_left(now));
        }
        taken
    }

    /// Returns the entries that changed after a sequence number.
    pub(crate) fn after(&self, now: Time, sequence: u64) -> Vec<(u64, u64)> {
        let newer = self.entries.iter().filter(|it| it.broadcast.sequence() > sequence);
        newer.map(|it| it.with_time_left(now)).collect()
    }
}

impl Fingerprint {
    fn with_time_left(&self, now: Time) -> (u64, u64) {
        (self.value, self.until.since(now).as_ms())
    }
}
