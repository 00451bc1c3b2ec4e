//! List of the upstreams that may be used, from their entries in the store.
//!
//! During an outage of the store, entries expire with their leases. Upstreams that still run write
//! them again soon after the outage. Expired entries are kept until then, so that the list is not
//! empty when the store recovers.

use std::collections::BTreeMap;

use crate::{
    serving::registry::{DecodeError, Entry},
    time::{Span, Time},
};

/// Time after an outage in which running upstreams write their entries again; two seconds according
/// to the platform. An upstream that has left must get no request after about the same time.
const GRACE_PERIOD: Span = Span::from_ms(1_900);

/// An entry with the time of its removal.
#[derive(Debug)]
struct ListedUpstream {
    entry: Entry,
    /// When it is removed; `None` if it is in the store. Until then it may be written again.
    remove_at: Option<Time>,
}

/// The upstreams of the store, with those that an outage of the store has removed.
#[derive(Debug, Default)]
pub struct List {
    /// By key in the store.
    entries: BTreeMap<String, ListedUpstream>,
    /// Whether the last call to the store failed.
    store_is_down: bool,
    /// End of the grace period after the last outage.
    grace_end: Time,
}

impl List {
    /// Records that the store does not answer.
    pub fn store_failed(&mut self) {
        self.store_is_down = true;
    }

    /// Records that the store answers; after an outage the grace period begins.
    pub fn store_recovered(&mut self, now: Time) {
        if std::mem::take(&mut self.store_is_down) {
            self.grace_end = now + GRACE_PERIOD;
        }
    }

    /// Records an outage that another host reports, with the rest of its grace period.
    pub fn outage_reported(&mut self, now: Time, left: Span) {
        self.grace_end = self.grace_end.max(now + left);
    }

    /// Returns the rest of the grace period in which upstreams write their entries again after an
    /// outage; the whole period while the store is down.
    pub fn grace_left(&self, now: Time) -> Span {
        if self.store_is_down { GRACE_PERIOD } else { self.grace_end.since(now) }
    }

    /// Records that an entry was written. One that cannot be parsed removes the upstream.
    pub fn put(&mut self, key: &str, entry: Result<Entry, DecodeError>) {
        match entry {
            Ok(entry) if self.is_outdated(key, &entry) => {
                log::info!("ignoring an older version of upstream entry {key}");
            }
            Ok(entry) => {
                self.entries.insert(key.to_owned(), ListedUpstream { entry, remove_at: None });
            }
            Err(error) => {
                log::warn!("upstream entry {key} is invalid, not using the upstream: {error}");
                self.entries.remove(key);
            }
        }
    }

    /// Returns whether a later entry of the same incarnation is known.
    fn is_outdated(&self, key: &str, entry: &Entry) -> bool {
        let known = self.entries.get(key).map(|it| &it.entry);
        known.is_some_and(|it| it.started_ms == entry.started_ms && entry.sequence < it.sequence)
    }

    /// Records that an entry was removed from the store. During an outage and its grace period the
    /// upstream is kept for the rest of that period.
    pub fn delete(&mut self, now: Time, key: &str) {
        let left = self.grace_left(now);
        if left == Span(0) {
            self.entries.remove(key);
        } else if let Some(listed) = self.entries.get_mut(key) {
            listed.remove_at.get_or_insert(now + left);
        }
    }

    /// Records that only the given keys exist in the store; all others count as removed.
    pub fn retain_keys<'a>(&mut self, now: Time, keys: impl Iterator<Item = &'a str>) {
        let mut present: Vec<_> = keys.collect();
        present.sort_unstable();
        let removed: Vec<_> = self
            .entries
            .keys()
            .filter(|it| present.binary_search(&it.as_str()).is_err())
            .cloned()
            .collect();
        for key in removed {
            self.delete(now, &key);
        }
    }

    /// Removes upstreams whose entries were not written again in time.
    pub fn remove_expired(&mut self, now: Time) {
        self.entries.retain(|_, it| it.remove_at.is_none_or(|until| now < until));
    }

    /// Returns when [`List::remove_expired`] removes the next upstream, if any.
    pub fn next_expiry(&self) -> Option<Time> {
        self.entries.values().filter_map(|it| it.remove_at).min()
    }

    /// Returns the upstreams that may be used, sorted by key.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|it| &it.entry)
    }
}
