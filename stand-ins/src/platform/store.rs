//! Keys, the history of their changes, and leases.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use almondrack::platform::{Changes, Entry, Listing, MAX_VALUE_BYTES, Value};
use bytes::Bytes;

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Write {
    Done(u64),
    Conflict(u64),
    Missing,
    TooLarge,
}

/// Outcome of a call for a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Lease {
    Held { number: u64 },
    Taken { holder: String, number: u64, remaining_ms: u64 },
}

#[derive(Debug)]
struct Holding {
    holder: String,
    number: u64,
    ends: Instant,
}

/// The key-value store.
#[derive(Debug, Default)]
pub(super) struct Store {
    revision: u64,
    keys: BTreeMap<String, Value>,
    /// Number of changes kept.
    history: usize,
    /// Revision and key of each kept change, oldest first.
    changes: VecDeque<(u64, String)>,
    /// Revision of the newest change that is no longer kept.
    forgotten: u64,
    leases: BTreeMap<String, Holding>,
    /// Last fencing number given, over all leases.
    number: u64,
}

impl Store {
    /// An empty store that keeps a number of changes for watches.
    pub(super) fn new(history: usize) -> Store {
        Store { history, ..Store::default() }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, key: &str) -> Option<&Value> {
        self.keys.get(key)
    }

    pub(super) fn put(&mut self, key: &str, bytes: Bytes, if_version: Option<u64>) -> Write {
        if bytes.len() > MAX_VALUE_BYTES {
            return Write::TooLarge;
        }
        let stands = self.version(key);
        if if_version.is_some_and(|it| it != stands) {
            return Write::Conflict(stands);
        }
        let version = self.change(key);
        self.keys.insert(key.to_owned(), Value { version, bytes });
        Write::Done(version)
    }

    pub(super) fn delete(&mut self, key: &str, if_version: Option<u64>) -> Write {
        let stands = self.version(key);
        if if_version.is_some_and(|it| it != stands) {
            return Write::Conflict(stands);
        }
        if self.keys.remove(key).is_none() {
            return Write::Missing;
        }
        Write::Done(self.change(key))
    }

    fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |it| it.version)
    }

    fn change(&mut self, key: &str) -> u64 {
        self.revision += 1;
        self.changes.push_back((self.revision, key.to_owned()));
        if self.changes.len() > self.history
            && let Some((revision, _)) = self.changes.pop_front()
        {
            self.forgotten = revision;
        }
        self.revision
    }

    pub(super) fn list(&self, prefix: &str, after: &str, limit: usize) -> Listing {
        let start = if after > prefix { after } else { prefix };
        let mut found = self
            .keys
            .range(start.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let entries = found.by_ref().take(limit).map(|(key, value)| entry(key, value)).collect();
        Listing { revision: self.revision, entries, more: found.next().is_some() }
    }

    /// The newest state of each key under a prefix that changed after a revision.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Changes {
        let reset = after < self.forgotten || after > self.revision;
        let mut keys: Vec<&str> = Vec::new();
        if !reset {
            let first = self.changes.partition_point(|(revision, _)| *revision <= after);
            let changed = self.changes.range(first..).map(|(_, key)| key.as_str());
            keys = changed.filter(|key| key.starts_with(prefix)).collect();
            keys.sort_unstable();
            keys.dedup();
        }
        let entries = keys.into_iter().map(|key| self.changed(key)).collect();
        Changes { revision: self.revision, entries, reset }
    }

    fn changed(&self, key: &str) -> Entry {
        if let Some(value) = self.keys.get(key) {
            return entry(key, value);
        }
        let last = self.changes.iter().rev().find(|it| it.1 == key);
        Entry { key: key.to_owned(), version: last.map_or(0, |it| it.0), value: None }
    }

    pub(super) fn acquire(&mut self, name: &str, holder: &str, ttl_ms: u64, now: Instant) -> Lease {
        let ends = now + Duration::from_millis(ttl_ms);
        if let Some(held) = self.leases.get_mut(name).filter(|it| it.ends > now) {
            if held.holder != holder {
                return taken(held, now);
            }
            held.ends = ends;
            return Lease::Held { number: held.number };
        }
        self.number += 1;
        let number = self.number;
        self.leases.insert(name.to_owned(), Holding { holder: holder.to_owned(), number, ends });
        Lease::Held { number }
    }

    /// Gives a lease up; false if another holds it.
    pub(super) fn release(&mut self, name: &str, holder: &str, now: Instant) -> bool {
        if self.leases.get(name).is_some_and(|it| it.ends > now && it.holder != holder) {
            return false;
        }
        self.leases.remove(name);
        true
    }

    pub(super) fn lease(&self, name: &str, now: Instant) -> Option<Lease> {
        self.leases.get(name).filter(|it| it.ends > now).map(|it| taken(it, now))
    }
}

fn taken(held: &Holding, now: Instant) -> Lease {
    let remaining_ms = held.ends.saturating_duration_since(now).as_millis() as u64;
    Lease::Taken { holder: held.holder.clone(), number: held.number, remaining_ms }
}

fn entry(key: &str, value: &Value) -> Entry {
    let text = String::from_utf8_lossy(&value.bytes).into_owned();
    Entry { key: key.to_owned(), version: value.version, value: Some(text) }
}
