//! Core of the configuration: the store's entries at one revision and the records of them that are in force.
//!
//! Content only moves forward. It takes listings and changes from the store and from peers in any order; what is
//! older than itself changes nothing, and what leaves a gap is refused.

use std::{collections::VecDeque, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    config::Snapshot,
    credential::Digest,
    platform::{Changes, Entry},
    record::{Key, Record},
    resolve::{Candidate, place, resolve},
    schema::{self, Fault},
    wire,
};

/// Prefix of the configuration in the platform's store.
pub const PREFIX: &str = "config/";

/// Prefix of the digests of withdrawn keys in the platform's store.
pub const WITHDRAWN: &str = "config/withdrawn/";

/// Deletions that are kept to answer peers with changes.
const MAX_DELETIONS: usize = 4_096;

/// Why an answer of the store or of a peer is not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The changes start after a newer revision than that of the content.
    Gap,
    /// A key stands at an older version than one that was already seen.
    Older(String),
    /// The answer contradicts itself.
    Invalid(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Gap => f.write_str("the changes start after a newer revision"),
            Refusal::Older(key) => write!(f, "{key} stands at an older version than before"),
            Refusal::Invalid(why) => write!(f, "the answer contradicts itself: {why}"),
        }
    }
}

impl std::error::Error for Refusal {}

/// A record whose newest version is not in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Aside {
    /// Kind and name of the record, joined by `/`.
    pub record: String,
    /// Version that was set aside.
    pub version: u64,
    /// Version in force instead, if there is one.
    pub in_force: Option<u64>,
    /// What is wrong with it. Not empty.
    pub faults: Vec<Fault>,
}

/// One version of a record that is valid by itself.
#[derive(Debug, Clone)]
struct Version {
    number: u64,
    schema: u32,
    text: Arc<str>,
    record: Arc<Record>,
}

/// Which version of a record is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Choice {
    Newest,
    LastGood,
    Absent,
}

/// One key of the store.
#[derive(Debug, Clone)]
struct Slot {
    key: Arc<str>,
    /// Revision of the newest write. Never falls.
    version: u64,
    text: Arc<str>,
    /// The newest version, or what is wrong with it.
    newest: Result<Version, Arc<[Fault]>>,
    /// The last version that was in force, also while none is.
    good: Option<Version>,
    choice: Choice,
    /// Faults of the newest version as a part of the whole.
    faults: Vec<Fault>,
}

/// A record as the store holds it.
#[derive(Debug, Clone, Copy)]
pub struct Stored<'a> {
    /// Key in the store.
    pub key: &'a str,
    /// Revision of the newest write.
    pub version: u64,
    /// Newest text, valid or not.
    pub text: &'a str,
    /// Schema version of the text, if it is valid by itself.
    pub schema: Option<u32>,
    /// Whether the newest version is in force.
    pub in_force: bool,
}

/// The entries of the store at one revision. Its clones share the records.
#[derive(Debug, Clone, Default)]
pub struct Content {
    /// Never falls; all changes up to it are contained.
    revision: u64,
    /// Revision of the last change that is contained, at most `revision`. Never falls.
    changed: u64,
    /// Sorted by key.
    slots: Vec<Slot>,
    /// Digests of withdrawn keys and when that was seen, sorted by digest. Never shrinks.
    withdrawn: Vec<(Digest, u64)>,
    /// Deleted keys by revision, oldest first.
    deletions: VecDeque<(u64, Arc<str>)>,
    /// Deletions after this revision are all in `deletions`.
    floor: u64,
}

impl From<(u64, Changes)> for wire::Snapshot {
    fn from((after, changes): (u64, Changes)) -> wire::Snapshot {
        wire::Snapshot { after, revision: changes.revision, entries: changes.entries }
    }
}

impl Content {
    /// Revision up to which changes are contained; zero before the first listing.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the last change that is contained.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Takes a listing or changes. Returns whether the revision moved forward.
    ///
    /// # Errors
    /// A `Refusal`, and the content stays as it is.
    pub fn apply(&mut self, mut update: wire::Snapshot) -> Result<bool, Refusal> {
        check(&update)?;
        update.entries.sort_by(|a, b| (&a.key, a.version).cmp(&(&b.key, b.version)));
        if update.revision <= self.revision {
            return Ok(false);
        }
        if update.after > self.revision {
            return Err(Refusal::Gap);
        }
        if update.after == 0 && self.revision > 0 {
            self.check_versions(&update)?;
        }
        let before = self.changed;
        let full = update.after == 0;
        let revision = update.revision;
        let groups = group(update.entries);
        if full {
            self.delete_absent(&groups, revision);
        }
        for group in groups {
            // What is absent from changes was contained and has been deleted since.
            let absent = if full { 0 } else { self.revision };
            self.put(group, absent);
        }
        if full {
            // Deletions before a listing are not known.
            self.floor = revision;
        }
        self.revision = revision;
        if self.changed > before {
            self.choose();
        }
        Ok(true)
    }

    /// What a peer at a revision lacks; `None` if it lacks nothing.
    pub fn newer_than(&self, revision: u64) -> Option<wire::Snapshot> {
        let lacks = self.changed > revision || revision < self.floor;
        if revision >= self.revision || !lacks {
            return None;
        }
        let after = if revision >= self.floor { revision } else { 0 };
        let mut entries = Vec::new();
        for slot in self.slots.iter().filter(|it| it.version > after) {
            if let Some(good) = slot.good.as_ref().filter(|it| it.number < slot.version) {
                entries.push(entry(&slot.key, good.number, Some(&good.text)));
            }
            entries.push(entry(&slot.key, slot.version, Some(&slot.text)));
        }
        for (digest, version) in self.withdrawn.iter().filter(|it| it.1 > after) {
            let key = format!("{WITHDRAWN}{}", digest.to_hex());
            entries.push(entry(&key, *version, Some("{}")));
        }
        for (version, key) in self.deletions.iter().filter(|it| it.0 > after) {
            // A key that was written again stands among the records.
            if self.record(key).is_none() {
                entries.push(entry(key, *version, None));
            }
        }
        entries.sort_by(|a, b| (&a.key, a.version).cmp(&(&b.key, b.version)));
        Some(wire::Snapshot { after, revision: self.revision, entries })
    }

    /// Compiles the records in force.
    pub fn snapshot(&self) -> Snapshot {
        let records = self.slots.iter().filter_map(Slot::chosen).map(|it| match &*it.record {
            Record::Key(key) => Record::Key(self.with_withdrawal(key)),
            record => record.clone(),
        });
        let mut snapshot = Snapshot::build(self.changed, records);
        snapshot.aside = self.aside();
        snapshot
    }

    /// Records as the store holds them, in key order.
    pub fn records(&self) -> impl Iterator<Item = Stored<'_>> {
        self.slots.iter().map(Slot::stored)
    }

    /// Record under a store key.
    pub fn record(&self, key: &str) -> Option<Stored<'_>> {
        let found = self.slots.binary_search_by(|it| (*it.key).cmp(key)).ok()?;
        Some(self.slots[found].stored())
    }

    /// Whether a digest was withdrawn.
    pub fn is_withdrawn(&self, digest: &Digest) -> bool {
        self.withdrawn.binary_search_by_key(digest, |it| it.0).is_ok()
    }

    /// Records whose newest version is not in force.
    pub fn aside(&self) -> Vec<Aside> {
        self.slots.iter().filter_map(Slot::aside).collect()
    }

    fn with_withdrawal(&self, key: &Key) -> Key {
        let withdrawn = Digest::parse(&key.digest).is_some_and(|it| self.is_withdrawn(&it));
        Key { withdrawn: key.withdrawn || withdrawn, ..key.clone() }
    }

    fn check_versions(&self, update: &wire::Snapshot) -> Result<(), Refusal> {
        for group in update.entries.chunk_by(|a, b| a.key == b.key) {
            let newest = &group[group.len() - 1];
            if newest.version < self.seen(&newest.key) {
                return Err(Refusal::Older(newest.key.clone()));
            }
        }
        Ok(())
    }

    /// Version of the newest write or deletion of a key that was seen, zero if none is known.
    fn seen(&self, key: &str) -> u64 {
        if let Some(stored) = self.record(key) {
            return stored.version;
        }
        let deletion = self.deletions.iter().rev().find(|it| *it.1 == *key);
        deletion.map_or(0, |it| it.0)
    }

    fn delete_absent(&mut self, groups: &[Vec<Entry>], revision: u64) {
        let listed = |key: &str| groups.binary_search_by(|it| (*it[0].key).cmp(key)).is_ok();
        let absent: Vec<_> =
            self.slots.iter().filter(|it| !listed(&it.key)).map(|it| it.key.clone()).collect();
        for key in absent {
            self.delete(&key, revision);
        }
    }

    fn delete(&mut self, key: &str, revision: u64) {
        if let Ok(found) = self.slots.binary_search_by(|it| (*it.key).cmp(key)) {
            self.slots.remove(found);
        }
        self.changed = self.changed.max(revision);
        let later = self.deletions.partition_point(|it| it.0 <= revision);
        self.deletions.insert(later, (revision, key.into()));
        if self.deletions.len() > MAX_DELETIONS
            && let Some((oldest, _)) = self.deletions.pop_front()
        {
            self.floor = self.floor.max(oldest);
        }
    }

    /// Takes the versions of one key, oldest first. Of a key without a record, versions up to `absent` are old.
    fn put(&mut self, group: Vec<Entry>, absent: u64) {
        let Some(newest) = group.last() else { return };
        if let Some(digest) = newest.key.strip_prefix(WITHDRAWN) {
            if let (Some(digest), Some(_)) = (Digest::parse(digest), &newest.value) {
                self.withdraw(digest, newest.version);
            }
            return;
        }
        let held = self.record(&newest.key).map_or(absent, |it| it.version);
        if newest.version <= held {
            return;
        }
        let last = newest.version;
        for it in group {
            match it.value {
                Some(text) => self.write(&it.key, it.version, text),
                None if it.version > held => self.delete(&it.key, it.version),
                None => {}
            }
            if it.version < last {
                self.keep_good(&it.key);
            }
        }
    }

    /// Takes the newest version as the last good one; a peer sends that ahead of one that is not valid.
    fn keep_good(&mut self, key: &str) {
        let Ok(found) = self.slots.binary_search_by(|it| (*it.key).cmp(key)) else { return };
        let slot = &mut self.slots[found];
        if let Ok(version) = &slot.newest {
            slot.good = Some(version.clone());
        }
    }

    fn write(&mut self, key: &str, version: u64, text: String) {
        let text: Arc<str> = text.into();
        self.changed = self.changed.max(version);
        let newest = match schema::parse_at(key, text.as_bytes()) {
            Ok(parsed) => Ok(Version {
                number: version,
                schema: parsed.schema,
                text: text.clone(),
                record: Arc::new(parsed.record),
            }),
            Err(faults) => Err(faults.into()),
        };
        match self.slots.binary_search_by(|it| (*it.key).cmp(key)) {
            Ok(found) if self.slots[found].version < version => {
                self.slots[found].replace(version, text, newest);
            }
            Ok(_) => return,
            Err(place) => {
                let key: Arc<str> = key.into();
                self.slots.insert(place, Slot::new(key, version, text, newest));
            }
        }
        self.withdraw_key(key, version);
    }

    /// Takes over that the newest version of a key says that it is withdrawn.
    fn withdraw_key(&mut self, key: &str, version: u64) {
        let Ok(found) = self.slots.binary_search_by(|it| (*it.key).cmp(key)) else { return };
        let slot = &self.slots[found];
        let digest = match &slot.newest {
            Ok(newest) => newest.key().filter(|it| it.withdrawn),
            // The withdrawal holds for the secret in force until now, whatever else is wrong with the record.
            Err(_) if schema::says_withdrawn(&slot.text) => {
                slot.good.as_ref().and_then(Version::key)
            }
            Err(_) => None,
        };
        if let Some(digest) = digest.and_then(|it| Digest::parse(&it.digest)) {
            self.withdraw(digest, version);
        }
    }

    fn withdraw(&mut self, digest: Digest, version: u64) {
        if let Err(place) = self.withdrawn.binary_search_by_key(&digest, |it| it.0) {
            self.withdrawn.insert(place, (digest, version));
            self.changed = self.changed.max(version);
        }
    }

    /// Chooses the version of each record that is in force.
    ///
    /// A newest version with faults gives way to the last good one, which can bring others into conflict, so that
    /// the validation is repeated; each round takes at least one more version out.
    fn choose(&mut self) {
        for slot in &mut self.slots {
            slot.faults.clear();
            slot.choice = match (&slot.newest, &slot.good) {
                (Ok(_), _) => Choice::Newest,
                (Err(_), Some(_)) => Choice::LastGood,
                (Err(_), None) => Choice::Absent,
            };
        }
        while self.give_way() {}
        for slot in &mut self.slots {
            if slot.choice == Choice::Newest {
                slot.good = slot.newest.as_ref().ok().cloned();
            }
        }
    }

    /// One round of validation; returns whether a version was taken out.
    fn give_way(&mut self) -> bool {
        let faults = self.validate();
        let mut changed = false;
        for (position, faults) in faults {
            let slot = &mut self.slots[position];
            changed = true;
            slot.choice = match (slot.choice, &slot.good) {
                (Choice::Newest, Some(_)) => Choice::LastGood,
                (Choice::Newest | Choice::LastGood | Choice::Absent, _) => Choice::Absent,
            };
            if slot.faults.is_empty() {
                slot.faults = faults;
            }
        }
        changed
    }

    /// Faults of the chosen versions as a whole, by position.
    fn validate(&self) -> Vec<(usize, Vec<Fault>)> {
        let chosen = |(position, slot): (usize, &'_ Slot)| {
            let version = slot.chosen()?;
            Some((position, version.number, version.record.clone()))
        };
        let chosen: Vec<_> = self.slots.iter().enumerate().filter_map(chosen).collect();
        let candidates: Vec<_> = chosen
            .iter()
            .map(|(_, version, record)| Candidate { version: *version, record })
            .collect();
        let withdrawn: Vec<_> = self.withdrawn.iter().map(|it| it.0).collect();
        let faults = resolve(&candidates, &withdrawn);
        let positions = chosen.iter().map(|it| it.0);
        positions.zip(faults).filter(|(_, it)| !it.is_empty()).collect()
    }

    /// Records with faults if every newest version had to be in force, for the check of a change before it is written.
    ///
    /// The overlay is sorted by store key; `None` deletes.
    pub(crate) fn strict_faults(&self, overlay: &[(&str, Option<&Record>)]) -> Vec<Fault> {
        let replaced = |key: &str| overlay.binary_search_by(|it| it.0.cmp(key)).is_ok();
        let mut records: Vec<(u64, &Record)> = self
            .slots
            .iter()
            .filter(|it| !replaced(&it.key))
            .filter_map(|it| it.newest.as_ref().ok())
            .map(|it| (it.number, &*it.record))
            .collect();
        // A changed record is the newest, so that it has the fault in a conflict.
        let written = overlay.iter().filter_map(|it| it.1);
        records.extend(written.map(|it| (u64::MAX, it)));
        records.sort_by(|a, b| place(a.1).cmp(&place(b.1)));
        let candidates: Vec<_> = records
            .iter()
            .map(|(version, record)| Candidate { version: *version, record })
            .collect();
        let withdrawn: Vec<_> = self.withdrawn.iter().map(|it| it.0).collect();
        resolve(&candidates, &withdrawn).into_iter().flatten().collect()
    }
}

impl Version {
    fn key(&self) -> Option<&Key> {
        match &*self.record {
            Record::Key(key) => Some(key),
            Record::Customer(_) | Record::Class(_) | Record::Route(_) | Record::Pool(_) => None,
        }
    }
}

impl Slot {
    fn new(
        key: Arc<str>,
        version: u64,
        text: Arc<str>,
        newest: Result<Version, Arc<[Fault]>>,
    ) -> Slot {
        let choice = Choice::Absent;
        Slot { key, version, text, newest, good: None, choice, faults: Vec::new() }
    }

    fn replace(&mut self, version: u64, text: Arc<str>, newest: Result<Version, Arc<[Fault]>>) {
        self.version = version;
        self.text = text;
        self.newest = newest;
    }

    /// The version in force.
    fn chosen(&self) -> Option<&Version> {
        match self.choice {
            Choice::Newest => self.newest.as_ref().ok(),
            Choice::LastGood => self.good.as_ref(),
            Choice::Absent => None,
        }
    }

    fn stored(&self) -> Stored<'_> {
        Stored {
            key: &self.key,
            version: self.version,
            text: &self.text,
            schema: self.newest.as_ref().ok().map(|it| it.schema),
            in_force: self.choice == Choice::Newest,
        }
    }

    fn aside(&self) -> Option<Aside> {
        if self.choice == Choice::Newest {
            return None;
        }
        let own = self.newest.as_ref().err().map(|it| it.to_vec());
        Some(Aside {
            record: self.key.strip_prefix(PREFIX).unwrap_or(&self.key).to_owned(),
            version: self.version,
            in_force: self.chosen().map(|it| it.number),
            faults: own.unwrap_or_else(|| self.faults.clone()),
        })
    }
}

fn entry(key: &str, version: u64, text: Option<&str>) -> Entry {
    Entry { key: key.to_owned(), version, value: text.map(str::to_owned) }
}

/// Collects the versions of each key from sorted entries.
fn group(entries: Vec<Entry>) -> Vec<Vec<Entry>> {
    let mut groups: Vec<Vec<Entry>> = Vec::new();
    for entry in entries {
        match groups.last_mut() {
            Some(group) if group[0].key == entry.key => group.push(entry),
            _ => groups.push(vec![entry]),
        }
    }
    groups
}

fn check(update: &wire::Snapshot) -> Result<(), Refusal> {
    if update.after > update.revision {
        let why = format!("revision {} after {}", update.revision, update.after);
        return Err(Refusal::Invalid(why));
    }
    for entry in &update.entries {
        if !entry.key.starts_with(PREFIX) {
            return Err(Refusal::Invalid(format!("key {:?} outside of {PREFIX}", entry.key)));
        }
        if entry.version > update.revision {
            let why =
                format!("{} at version {}, revision {}", entry.key, entry.version, update.revision);
            return Err(Refusal::Invalid(why));
        }
    }
    Ok(())
}

/// Pages of a listing, which may be of different revisions, and the changes that make them one.
#[derive(Debug, Default)]
pub struct Pages {
    /// Sorted by key, deletions included.
    entries: Vec<Entry>,
    /// Revision of the first page; changes after it may be missing.
    first: Option<u64>,
    /// Largest revision of a page; changes up to it may be contained.
    last: u64,
}

impl Pages {
    /// Adds the next page.
    pub fn add(&mut self, revision: u64, entries: Vec<Entry>) {
        self.first = Some(self.first.map_or(revision, |it| it.min(revision)));
        self.last = self.last.max(revision);
        for entry in entries {
            self.merge(entry);
        }
    }

    /// Adds changes after `after()`.
    pub fn catch_up(&mut self, revision: u64, entries: Vec<Entry>) {
        for entry in entries {
            self.merge(entry);
        }
        self.first = Some(self.after().max(revision));
    }

    /// Revision after which changes may be missing.
    pub fn after(&self) -> u64 {
        self.first.unwrap_or(0)
    }

    /// Whether the entries are those of one revision.
    pub fn is_whole(&self) -> bool {
        self.first.is_some_and(|it| it >= self.last)
    }

    /// The listing, if it is whole.
    pub fn finish(self) -> Option<wire::Snapshot> {
        let whole = self.is_whole();
        let entries = self.entries.into_iter().filter(|it| it.value.is_some()).collect();
        let revision = self.first.filter(|_| whole)?;
        Some(wire::Snapshot { after: 0, revision, entries })
    }

    fn merge(&mut self, entry: Entry) {
        match self.entries.binary_search_by(|it| it.key.cmp(&entry.key)) {
            Ok(found) if self.entries[found].version < entry.version => {
                self.entries[found] = entry;
            }
            Ok(_) => {}
            Err(place) => self.entries.insert(place, entry),
        }
    }
}
