//! The upstreams that may be used, from their entries in the store and the store's outages.
//!
//! Answers an outage of the store: entries end with their leases while it is away, and come back soon after it if
//! their upstreams live. They are kept meanwhile, so that the store's return does not empty the list.

use std::collections::BTreeMap;

use crate::{
    serving::registry::{DecodeError, Entry},
    time::{Span, Time},
};

/// Time after an outage in which upstreams that live write their entries again, two seconds by the platform's word.
/// An upstream that has left must get no request after about the same time.
const RETURN_TIME: Span = Span::from_ms(1_900);

/// An entry with its fate.
#[derive(Debug)]
struct Listed {
    entry: Entry,
    /// When it is removed, if it is gone from the store but may come back.
    until: Option<Time>,
}

/// The list of upstreams.
#[derive(Debug, Default)]
pub struct UpstreamList {
    /// By key in the store.
    entries: BTreeMap<String, Listed>,
    /// Whether the store did not answer last.
    is_away: bool,
    /// When upstreams that live have written their entries again after the last outage.
    settled: Time,
}

impl UpstreamList {
    /// The store does not answer.
    pub fn store_failed(&mut self) {
        self.is_away = true;
    }

    /// The store answers.
    pub fn store_recovered(&mut self, now: Time) {
        if std::mem::take(&mut self.is_away) {
            self.settled = now + RETURN_TIME;
        }
    }

    /// Another host says that the store has been away, and how long its upstreams have to write their entries again.
    pub fn outage_reported(&mut self, now: Time, left: Span) {
        self.settled = self.settled.max(now + left);
    }

    /// How long upstreams have to write their entries again after an outage; all of the time while the store is away.
    pub fn grace_left(&self, now: Time) -> Span {
        if self.is_away { RETURN_TIME } else { self.settled.since(now) }
    }

    /// An entry was written. One that cannot be read names no upstream to use.
    pub fn put(&mut self, key: &str, entry: Result<Entry, DecodeError>) {
        match entry {
            Ok(entry) if self.is_outdated(key, &entry) => {
                log::info!("an older statement of {key} is left out");
            }
            Ok(entry) => {
                self.entries.insert(key.to_owned(), Listed { entry, until: None });
            }
            Err(fault) => {
                log::warn!("the entry {key} cannot be read: {fault}");
                self.entries.remove(key);
            }
        }
    }

    /// Whether a later statement of the same life is known.
    fn is_outdated(&self, key: &str, entry: &Entry) -> bool {
        let known = self.entries.get(key).map(|it| &it.entry);
        known.is_some_and(|it| it.started_ms == entry.started_ms && entry.sequence < it.sequence)
    }

    /// An entry was removed.
    pub fn delete(&mut self, now: Time, key: &str) {
        let left = self.grace_left(now);
        if left == Span(0) {
            self.entries.remove(key);
        } else if let Some(listed) = self.entries.get_mut(key) {
            listed.until.get_or_insert(now + left);
        }
    }

    /// Only the given keys exist; all others were removed.
    pub fn retain_keys<'a>(&mut self, now: Time, keys: impl Iterator<Item = &'a str>) {
        let mut kept: Vec<_> = keys.collect();
        kept.sort_unstable();
        let gone: Vec<_> = self
            .entries
            .keys()
            .filter(|it| kept.binary_search(&it.as_str()).is_err())
            .cloned()
            .collect();
        for key in gone {
            self.delete(now, &key);
        }
    }

    /// Removes entries that did not come back.
    pub fn remove_expired(&mut self, now: Time) {
        self.entries.retain(|_, it| it.until.is_none_or(|until| now < until));
    }

    /// When [`Roll::advance`] has something to do.
    pub fn next_expiry(&self) -> Option<Time> {
        self.entries.values().filter_map(|it| it.until).min()
    }

    /// Entries to use, in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|it| &it.entry)
    }
}
