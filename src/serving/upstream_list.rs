//! List of the upstreams that may be used, from their entries in the store.
//!
//! During an outage of the store, entries expire with their leases. Upstreams that still run write
//! them again soon after the outage. Expired entries are kept until then, so that the list is not
//! empty when the store recovers.
//!
//! A store that comes back from an older copy lists upstreams that have left since, and lacks those
//! that have come.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    serving::registry::{DecodeError, Entry, State},
    time::{Span, Time},
};

/// Time after an outage in which running upstreams write their entries again; two seconds according
/// to the platform. An upstream that has left must get no request after about the same time.
const GRACE_PERIOD: Span = Span::from_ms(1_900);

/// Time before the end of the grace period from which a removed upstream gets no new request while others of its pool are
/// ready, so that the last one has arrived by the end.
const PLACEMENT_MARGIN: Span = Span::from_ms(300);

/// Time for which an upstream that was removed is not used again because an older copy of the store
/// still lists it. The store removes the entry after three missed heartbeats if the upstream is gone.
const RETURN_DELAY: Span = Span::from_ms(5_000);

/// Time for which a removed upstream is remembered; longer than a copy of the store is old.
const REMOVED_LIFETIME: Span = Span::from_ms(120_000);

/// Most removed upstreams that are remembered.
const MAX_REMOVED: usize = 1_024;

/// An upstream that was removed, and when.
#[derive(Debug)]
struct RemovedUpstream {
    key: String,
    started_ms: u64,
    at: Time,
}

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
    /// Oldest first.
    removed: VecDeque<RemovedUpstream>,
    /// Entries of removed upstreams in an older copy of the store, each with the time from which the
    /// upstream is used unless its entry is removed again.
    returning: Vec<(String, Entry, Time)>,
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

    /// Records that the store came back from an older copy. Upstreams that are missing in it write
    /// their entries again within the grace period.
    pub fn store_restored(&mut self, now: Time) {
        self.grace_end = self.grace_end.max(now + GRACE_PERIOD);
    }

    /// Records an entry in an older copy of the store. An upstream that was removed since is not used
    /// at once.
    pub fn put_restored(&mut self, now: Time, key: &str, entry: Result<Entry, DecodeError>) {
        let was_removed = |it: &Entry| {
            let same = |removed: &&RemovedUpstream| {
                removed.key == key && removed.started_ms == it.started_ms
            };
            self.removed
                .iter()
                .any(|removed| same(&removed) && now.since(removed.at) < REMOVED_LIFETIME)
        };
        match entry {
            Ok(entry) if !self.entries.contains_key(key) && was_removed(&entry) => {
                log::info!(
                    "upstream entry {key} is of an older copy of the store; the upstream has left"
                );
                self.returning.push((key.to_owned(), entry, now + RETURN_DELAY));
            }
            entry => self.put(key, entry),
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
        self.returning.retain(|it| it.0 != key);
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
        self.delete_by(key, now, now + self.grace_left(now));
    }

    /// Records that an entry was removed from the store after the list was verified at `verified_at`.
    ///
    /// Hosts that the store turns away report an outage too, so that the removal may be one of an
    /// upstream that has left. The upstream is then not kept beyond the time for which it serves
    /// after a removal just after the verification.
    pub fn delete_since(&mut self, now: Time, key: &str, verified_at: Time) {
        let grace_end = now + self.grace_left(now);
        let served_until = verified_at + GRACE_PERIOD;
        // A longer time without verification is an outage.
        let is_outage = served_until <= now;
        self.delete_by(key, now, if is_outage { grace_end } else { grace_end.min(served_until) });
    }

    /// Records a removal; the upstream is kept until `remove_at`.
    fn delete_by(&mut self, key: &str, now: Time, remove_at: Time) {
        self.returning.retain(|it| it.0 != key);
        if let Some(listed) = self.entries.get(key) {
            let started_ms = listed.entry.started_ms;
            self.removed.push_back(RemovedUpstream { key: key.to_owned(), started_ms, at: now });
            let excess = self.removed.len().saturating_sub(MAX_REMOVED);
            self.removed.drain(..excess);
        }
        if remove_at <= now {
            self.entries.remove(key);
        } else if let Some(listed) = self.entries.get_mut(key) {
            log::info!(
                "upstream entry {key} is gone, perhaps as the store was away; the upstream is kept for {} ms",
                remove_at.since(now).as_ms()
            );
            listed.remove_at.get_or_insert(remove_at);
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

    /// Removes upstreams whose entries were not written again in time, marks those as draining that
    /// are about to be removed, and adds those that an older copy of the store still lists although
    /// they were removed.
    pub fn apply_due(&mut self, now: Time) {
        self.entries.retain(|_, it| it.remove_at.is_none_or(|until| now < until));
        let closing: Vec<_> =
            self.closing().filter(|it| it.1 <= now).map(|it| it.0.to_owned()).collect();
        for key in closing {
            if let Some(listed) = self.entries.get_mut(&key) {
                listed.entry.state = State::Draining;
            }
        }
        let due: Vec<_> = self.returning.extract_if(.., |it| it.2 <= now).collect();
        for (key, entry, _) in due {
            log::info!(
                "upstream entry {key} of an older copy of the store remains; using the upstream"
            );
            self.put(&key, Ok(entry));
        }
    }

    /// Returns when [`List::apply_due`] has to be called, if at all.
    pub fn next_due(&self) -> Option<Time> {
        let removals = self.entries.values().filter_map(|it| it.remove_at);
        let closing = self.closing().map(|it| it.1);
        removals.chain(closing).chain(self.returning.iter().map(|it| it.2)).min()
    }

    /// Returns the ready upstreams that will be removed although others of their pools remain, and
    /// when each is marked as draining.
    fn closing(&self) -> impl Iterator<Item = (&str, Time)> {
        let is_ready = |it: &ListedUpstream| it.entry.state == State::Ready;
        let remains = move |pool: &str| {
            let mut others = self.entries.values().filter(|it| it.remove_at.is_none());
            others.any(|it| is_ready(it) && *it.entry.pool == *pool)
        };
        self.entries.iter().filter_map(move |(key, it)| {
            let at = it.remove_at? - PLACEMENT_MARGIN;
            (is_ready(it) && remains(&it.entry.pool)).then_some((key.as_str(), at))
        })
    }

    /// Returns the upstreams that may be used, sorted by key.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|it| &it.entry)
    }
}
