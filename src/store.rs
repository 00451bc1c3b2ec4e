//! Interface to the platform's store, a key-value store with revisions, watches, conditional writes and leases.

use std::fmt;

use bytes::Bytes;

/// Bits of a revision that count the changes within an era.
const CHANGE_BITS: u32 = 40;

/// Returns the revision after a number of changes in an era of the store.
///
/// A store that comes back from an older copy counts from the copy's revision again. Revisions of later eras are greater
/// than all earlier ones, so that they grow for ever and none is given out twice.
pub fn revision(era: u64, changes: u64) -> u64 {
    (era << CHANGE_BITS) | (changes & ((1 << CHANGE_BITS) - 1))
}

/// Returns the era of a revision.
pub fn era_of(revision: u64) -> u64 {
    revision >> CHANGE_BITS
}

/// Returns the number of changes that the store itself counts at a revision.
pub fn changes_of(revision: u64) -> u64 {
    revision & ((1 << CHANGE_BITS) - 1)
}

/// Returns a revision for log lines: the store's own count, and the era unless it is the first one.
pub fn display(revision: u64) -> String {
    match era_of(revision) {
        0 => changes_of(revision).to_string(),
        era => format!("{} of era {era}", changes_of(revision)),
    }
}

/// Identity of a lease. A store that comes back from an older copy may give out an id again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId {
    /// Id that the store gave out, never zero.
    pub id: u64,
    /// Era of the store in which the lease was opened.
    pub era: u64,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key in the store.
    pub key: String,
    /// Value that was written last.
    pub value: Bytes,
    /// Revision of the store at which the key was written last, in the era in which it was read.
    pub revision: u64,
}

/// One page of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether further items follow the last one.
    pub more: bool,
    /// Revision of the store at which the page was read. It may differ between the pages of one listing.
    pub revision: u64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key was deleted at this revision.
    Deleted(String, u64),
}

/// Answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watch {
    /// Changes in the order of their revisions, none if the wait timed out, and the revision for the next watch.
    Changes(Vec<Change>, u64),
    /// The store no longer has all changes after the revision, or it is of another era; the keys must be listed again.
    Compacted,
}

/// A value to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// Key in the store.
    pub key: String,
    /// New value of the key.
    pub value: Bytes,
    /// Lease with whose end the key is deleted; without one the key persists.
    pub lease: Option<LeaseId>,
}

/// An atomic write of several keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Commit {
    /// Conditions: keys and the revisions at which they were last written; zero if a key must not exist. A revision of an
    /// earlier era is never met.
    pub expect: Vec<(String, u64)>,
    /// Keys to write, with their values.
    pub put: Vec<Put>,
    /// Keys to delete.
    pub delete: Vec<String>,
}

/// Answer to a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Committed {
    /// The commit took effect at this revision.
    Done(u64),
    /// A key has another revision than expected; nothing was written.
    Conflict,
    /// The lease of a key to write does not exist, has ended or is of an earlier era; nothing was written.
    LeaseEnded,
}

/// Why a call has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The store refused the call with this HTTP status. The call had no effect.
    Refused(u16),
    /// No answer arrived, for this reason. A write may have taken effect or may still take effect.
    Unknown(String),
    /// The answer is invalid, for this reason. A write may have taken effect.
    Invalid(String),
    /// The answer was given up, as it is too large or its transfer too long. The same call fails again as long as there is
    /// as much to answer. A write may have taken effect.
    Oversized(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused(status) => write!(f, "the store refused the call (status {status})"),
            Failure::Unknown(why) => write!(f, "no answer from the store: {why}"),
            Failure::Invalid(why) => write!(f, "invalid answer from the store: {why}"),
            Failure::Oversized(why) => write!(f, "answer of the store given up: {why}"),
        }
    }
}

impl std::error::Error for Failure {}

/// Calls to the store. Each may fail with any [`Failure`]. Clones share connections.
#[expect(async_fn_in_trait, reason = "every host runs its tasks on one thread")]
pub trait Store: Clone + 'static {
    /// Latest era that the store's answers name: the number of times that it came back from an older copy of its keys.
    /// What was written since the copy is then gone, leases too. Zero for a store that does not say.
    fn era(&self) -> u64;

    /// Reads a key. Returns `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Item>, Failure>;

    /// Reads a page of the items under a prefix whose keys follow `after`.
    async fn list(&self, prefix: &str, after: &str) -> Result<Page, Failure>;

    /// Waits at most `wait_ms` milliseconds for changes under a prefix after a revision. Fails with `Oversized` if there are
    /// so many that a listing is the smaller answer.
    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<Watch, Failure>;

    /// Writes and deletes keys if the conditions of the commit hold.
    async fn commit(&self, commit: &Commit) -> Result<Committed, Failure>;

    /// Opens a lease, which ends `ttl_ms` milliseconds after the call arrives unless it is renewed.
    async fn open_lease(&self, ttl_ms: u64) -> Result<LeaseId, Failure>;

    /// Renews a lease. Returns false if it has ended.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, Failure>;

    /// Ends a lease and deletes its keys.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), Failure>;
}
