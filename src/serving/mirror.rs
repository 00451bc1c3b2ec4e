//! A copy of the keys under one prefix of the store, fed by the store itself or by other hosts.

use std::collections::{BTreeMap, VecDeque};

use crate::store::{Change, Item};

/// Changes that are kept for hosts that ask for them.
const KEPT_CHANGES: usize = 512;

/// What happened under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// All items as of a revision.
    Listing(Vec<Item>, u64),
    /// Every change after the revision that was asked for, up to this one.
    Changes(Vec<Change>, u64),
}

impl Update {
    /// Whether nothing happened.
    pub fn is_empty(&self) -> bool {
        matches!(self, Update::Changes(changes, _) if changes.is_empty())
    }

    /// Leaves out items that say the same as the known ones, as their writers repeat themselves to show that they live.
    ///
    /// Not after another change of the same key, which the item then takes back.
    #[must_use]
    pub fn without_repeats(self, is_repeat: impl Fn(&Item) -> bool) -> Update {
        let Update::Changes(changes, revision) = self else { return self };
        let mut kept: Vec<Change> = Vec::new();
        for change in changes {
            let touched = kept.iter().any(|it| key_of(it) == key_of(&change));
            let repeats = matches!(&change, Change::Put(item) if is_repeat(item));
            if touched || !repeats {
                kept.push(change);
            }
        }
        Update::Changes(kept, revision)
    }
}

/// A copy with its recent changes.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Revision up to which every change is contained; zero before the first listing. Never falls.
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The last changes in the order of their revisions.
    log: VecDeque<Change>,
    /// Revision after which every change is in the log.
    log_start: u64,
}

impl Mirror {
    /// Revision up to which every change is contained; zero before the first listing.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The item under a key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Takes in what a source says and returns what is new in it.
    pub fn apply(&mut self, news: Update) -> Vec<Change> {
        match news {
            Update::Listing(items, revision) => self.apply_listing(items, revision),
            Update::Changes(changes, revision) => self.apply_changes(changes, revision),
        }
    }

    /// What happened after a revision.
    pub fn since(&self, after: u64) -> Option<Update> {
        if self.revision == 0 || after >= self.revision {
            return None;
        }
        if after < self.log_start || after == 0 {
            return Some(Update::Listing(self.items.values().cloned().collect(), self.revision));
        }
        let changes = self.log.iter().filter(|it| revision_of(it) > after).cloned().collect();
        Some(Update::Changes(changes, self.revision))
    }

    /// An older listing than the last one tells nothing new.
    fn apply_listing(&mut self, items: Vec<Item>, revision: u64) -> Vec<Change> {
        if revision < self.revision || revision == 0 {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let listed: BTreeMap<_, _> = items.into_iter().map(|it| (it.key.clone(), it)).collect();
        let gone = self.items.keys().filter(|it| !listed.contains_key(*it));
        changes.extend(gone.map(|it| Change::Deleted(it.clone(), revision)));
        let newer = listed.into_values().filter(|it| self.is_newer(&it.key, it.revision));
        changes.extend(newer.map(Change::Put));
        changes.iter().for_each(|it| self.apply_change(it));
        // The revisions of the changes in between are not known, so that the log begins anew.
        self.log.clear();
        self.log_start = revision;
        self.revision = revision;
        changes
    }

    fn apply_changes(&mut self, changes: Vec<Change>, revision: u64) -> Vec<Change> {
        let mut fresh = Vec::new();
        for change in changes {
            let (key, at) = (key_of(&change), revision_of(&change));
            if at <= self.revision || !self.is_newer(key, at) {
                continue;
            }
            self.apply_change(&change);
            self.log.push_back(change.clone());
            fresh.push(change);
        }
        while self.log.len() > KEPT_CHANGES {
            if let Some(dropped) = self.log.pop_front() {
                self.log_start = self.log_start.max(revision_of(&dropped));
            }
        }
        self.revision = self.revision.max(revision);
        fresh
    }

    /// Items of later pages of a listing may be newer than the revision of its first page.
    fn is_newer(&self, key: &str, revision: u64) -> bool {
        self.items.get(key).is_none_or(|it| it.revision < revision)
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Put(item) => {
                self.items.insert(item.key.clone(), item.clone());
            }
            Change::Deleted(key, _) => {
                self.items.remove(key);
            }
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
