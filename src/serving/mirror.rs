//! A copy of the keys under one prefix of the store, updated from the store or from other hosts.

use std::collections::{BTreeMap, VecDeque};

use crate::store::{self, Change, Item};

/// Largest size of the log from which other hosts are updated, in bytes. Hosts that are further
/// behind receive a listing.
const MAX_LOG_BYTES: usize = 64 << 10;

/// An update of the keys under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// All items as of a revision.
    Listing(Vec<Item>, u64),
    /// Every change after the requested revision, up to this one.
    Changes(Vec<Change>, u64),
}

impl Update {
    /// Whether there are no changes. False for a listing without items.
    pub fn is_empty(&self) -> bool {
        matches!(self, Update::Changes(changes, _) if changes.is_empty())
    }

    /// Revision up to which it goes.
    pub fn revision(&self) -> u64 {
        match self {
            Update::Listing(_, revision) | Update::Changes(_, revision) => *revision,
        }
    }

    /// Whether it lists all items.
    pub fn is_listing(&self) -> bool {
        matches!(self, Update::Listing(..))
    }

    /// Size of its keys and values, in bytes.
    pub fn size(&self) -> u64 {
        let item = |it: &Item| it.key.len() + it.value.len();
        let size: usize = match self {
            Update::Listing(items, _) => items.iter().map(item).sum(),
            Update::Changes(changes, _) => changes
                .iter()
                .map(|it| match it {
                    Change::Put(written) => item(written),
                    Change::Deleted(key, _) => key.len(),
                })
                .sum(),
        };
        size as u64
    }

    /// Applies a function to each item that was written.
    #[must_use]
    pub fn map_items(mut self, mut change: impl FnMut(&mut Item)) -> Update {
        match &mut self {
            Update::Listing(items, _) => items.iter_mut().for_each(change),
            Update::Changes(changes, _) => changes.iter_mut().for_each(|it| {
                if let Change::Put(item) = it {
                    change(item);
                }
            }),
        }
        self
    }

    /// Drops heartbeats, i.e. writes that `is_repeat` finds equal to the stored item.
    ///
    /// A write that follows another change of the same key is kept, as it reverts that change.
    #[must_use]
    pub fn without_repeats(self, is_repeat: impl Fn(&Item) -> bool) -> Update {
        let Update::Changes(changes, revision) = self else { return self };
        let mut kept: Vec<Change> = Vec::new();
        for change in changes {
            let has_earlier = kept.iter().any(|it| key_of(it) == key_of(&change));
            let is_heartbeat = matches!(&change, Change::Put(item) if is_repeat(item));
            if has_earlier || !is_heartbeat {
                kept.push(change);
            }
        }
        Update::Changes(kept, revision)
    }
}

/// The last change of a key. Values are kept in the items alone, so that the log does not grow with
/// the values that were replaced.
#[derive(Debug)]
struct Logged {
    revision: u64,
    key: String,
}

impl Logged {
    fn size(&self) -> usize {
        size_of::<Logged>() + self.key.len()
    }
}

/// A copy of a prefix with a log of its recent changes.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Revision up to which every change is applied; zero before the first listing. Never
    /// decreases, as revisions of later eras are greater.
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Keys that changed, each once, with their last revisions. Sorted by revision. A key without
    /// an item was deleted.
    log: VecDeque<Logged>,
    /// Size of the log, at most `MAX_LOG_BYTES`.
    log_bytes: usize,
    /// Revision after which the last change of every key is in the log.
    log_start: u64,
}

impl Mirror {
    /// Revision up to which every change is applied; zero before the first listing.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the item under a key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns the keys of all items, sorted.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.items.keys().map(String::as_str)
    }

    /// Applies an update from any source and returns the changes that were new.
    pub fn apply(&mut self, update: Update) -> Vec<Change> {
        match update {
            Update::Listing(items, revision) => self.apply_listing(items, revision),
            Update::Changes(changes, revision) => self.apply_changes(changes, revision),
        }
    }

    /// Returns the last change of each key that changed after a revision, or a listing if the log
    /// does not reach back to it.
    ///
    /// `None` before the first listing, or if there are none.
    pub fn since(&self, after: u64) -> Option<Update> {
        if self.revision == 0 || after >= self.revision {
            return None;
        }
        if after < self.log_start || after == 0 {
            return Some(Update::Listing(self.items.values().cloned().collect(), self.revision));
        }
        let first = self.log.partition_point(|it| it.revision <= after);
        let change = |it: &Logged| match self.items.get(&it.key) {
            Some(item) => Change::Put(item.clone()),
            None => Change::Deleted(it.key.clone(), it.revision),
        };
        Some(Update::Changes(self.log.range(first..).map(change).collect(), self.revision))
    }

    /// Applies a listing. One that is older than the copy is ignored.
    fn apply_listing(&mut self, items: Vec<Item>, revision: u64) -> Vec<Change> {
        if revision < self.revision || revision == 0 {
            log::info!(
                "ignoring a listing as of revision {}: the copy is of revision {}",
                store::display(revision),
                store::display(self.revision)
            );
            return Vec::new();
        }
        let mut changes = Vec::new();
        let listed: BTreeMap<_, _> = items.into_iter().map(|it| (it.key.clone(), it)).collect();
        let removed = self.items.keys().filter(|it| !listed.contains_key(*it));
        changes.extend(removed.map(|it| Change::Deleted(it.clone(), revision)));
        let newer = listed.into_values().filter(|it| self.is_newer(&it.key, it.revision));
        changes.extend(newer.map(Change::Put));
        changes.iter().for_each(|it| self.apply_change(it));
        self.restart_log(revision);
        self.revision = revision;
        changes
    }

    fn apply_changes(&mut self, changes: Vec<Change>, revision: u64) -> Vec<Change> {
        let mut new = Vec::new();
        for change in changes {
            let (key, at) = (key_of(&change), revision_of(&change));
            if at <= self.revision || !self.is_newer(key, at) {
                continue;
            }
            self.apply_change(&change);
            new.push(change);
        }
        self.trim_log();
        self.revision = self.revision.max(revision);
        new
    }

    /// Compares with the stored item's revision, as later pages of a listing may hold items that
    /// are newer than the listing's revision.
    fn is_newer(&self, key: &str, revision: u64) -> bool {
        self.items.get(key).is_none_or(|it| it.revision < revision)
    }

    fn apply_change(&mut self, change: &Change) {
        let key = key_of(change);
        self.unlog(key);
        self.log_change(key, revision_of(change));
        match change {
            Change::Put(item) => {
                self.items.insert(item.key.clone(), item.clone());
            }
            Change::Deleted(key, _) => {
                self.items.remove(key);
            }
        }
    }

    /// Empties the log at the revision of a listing. Changes before it are unknown: a key may have
    /// been written and deleted. Items of later pages are newer, and the watch that follows returns
    /// them again as known ones.
    fn restart_log(&mut self, revision: u64) {
        self.log.clear();
        self.log_bytes = 0;
        self.log_start = revision;
        let later = self.items.values().filter(|it| it.revision > revision);
        let later: Vec<_> = later.map(|it| (it.key.clone(), it.revision)).collect();
        later.iter().for_each(|it| self.log_change(&it.0, it.1));
        self.trim_log();
    }

    /// Adds the last change of a key to the log.
    fn log_change(&mut self, key: &str, revision: u64) {
        // Items of later pages of a listing may be newer than the changes that follow.
        let at = self.log.partition_point(|it| it.revision <= revision);
        let logged = Logged { revision, key: key.to_owned() };
        self.log_bytes += logged.size();
        self.log.insert(at, logged);
    }

    /// Removes the change of a key that a later one replaces. The log stays complete.
    fn unlog(&mut self, key: &str) {
        let found = match self.items.get(key) {
            Some(item) => {
                let first = self.log.partition_point(|it| it.revision < item.revision);
                let same = self.log.range(first..).take_while(|it| it.revision == item.revision);
                same.enumerate().find(|(_, it)| it.key == key).map(|(at, _)| first + at)
            }
            None => self.log.iter().position(|it| it.key == key),
        };
        if let Some(replaced) = found.and_then(|it| self.log.remove(it)) {
            self.log_bytes -= replaced.size();
        }
    }

    /// Drops the oldest changes of a log that is too large.
    fn trim_log(&mut self) {
        while self.log_bytes > MAX_LOG_BYTES {
            let Some(dropped) = self.log.pop_front() else { return };
            self.log_bytes -= dropped.size();
            self.log_start = self.log_start.max(dropped.revision);
        }
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put(item) => &item.key,
        Change::Deleted(key, _) => key,
    }
}

fn revision_of(change: &Change) -> u64 {
    match change {
        Change::Put(item) => item.revision,
        Change::Deleted(_, revision) => *revision,
    }
}
