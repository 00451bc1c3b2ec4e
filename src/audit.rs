//! Who changed what: entries in the platform's store, written before a change and completed after it.

use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::{
    platform::{Cause, Client, Failure, Write},
    time::wall_ms,
    writer::{self, Doubt},
};

/// Prefix of the entries in the platform's store.
const PREFIX: &str = "audit/";

/// Most entries of one listing.
pub const MAX_ENTRIES: u32 = 1_000;

/// How far a change got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The change was about to be made. If this stays, the host ended meanwhile or the store did not answer.
    Intended,
    /// All of it took effect.
    Done,
    /// Nothing of it took effect.
    Refused,
    /// Some of it took effect, and the rest did not.
    Partial,
    /// The store did not say whether the last write took effect.
    Unknown,
}

/// A record that a change wrote or deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// Kind and name of the record, joined by `/`.
    pub record: String,
    /// Revision of the write.
    pub revision: u64,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Wall-clock time of the intent, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Host that made the change.
    pub host: String,
    /// Name of the operator's key.
    pub who: String,
    /// What was done.
    pub action: String,
    /// Records that were to be changed.
    pub records: Vec<String>,
    /// How far it got.
    pub outcome: Outcome,
    /// Records that were changed.
    pub written: Vec<Written>,
}

/// An entry whose change is being made.
#[derive(Debug)]
pub struct Intent {
    key: String,
    version: u64,
    entry: Entry,
}

/// An entry with its place in the listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Listed {
    /// Id of the entry; ids grow with time. A listing goes on after it.
    pub id: String,
    /// The entry.
    #[serde(flatten)]
    pub entry: Entry,
}

/// Writes the intent of a change.
///
/// # Errors
/// `Doubt` if the store does not answer; the change must not be made then.
pub async fn open(
    store: &Client,
    host: &str,
    who: &str,
    action: &str,
    records: Vec<String>,
) -> Result<Intent, Doubt> {
    let at_ms = wall_ms();
    // Two changes of one millisecond must not share a key.
    let number: u32 = SmallRng::from_os_rng().random();
    let key = format!("{PREFIX}{at_ms:015}-{host}-{number:08x}");
    let entry = Entry {
        at_ms,
        host: host.to_owned(),
        who: who.to_owned(),
        action: action.to_owned(),
        records,
        outcome: Outcome::Intended,
        written: Vec::new(),
    };
    match writer::put(store, Cause::Config, &key, text(&entry), 0).await? {
        Write::Written(version) => Ok(Intent { key, version, entry }),
        Write::Conflict(version) => {
            let why = format!("an audit entry of the same name stands at version {version}");
            Err(Doubt { effect: false, failure: Failure::Invalid(why) })
        }
    }
}

impl Intent {
    /// Completes the entry. If that fails the intent stays.
    pub async fn close(self, store: &Client, outcome: Outcome, written: Vec<Written>) {
        let entry = Entry { outcome, written, ..self.entry };
        let result = writer::put(store, Cause::Config, &self.key, text(&entry), self.version).await;
        if let Err(doubt) = result {
            log::warn!("the audit entry {} was not completed: {}", self.key, doubt.failure);
        }
    }
}

/// Lists entries after an id, oldest first, at most `limit`.
///
/// # Errors
/// Any `Failure`.
pub async fn list(store: &Client, after: &str, limit: u32) -> Result<Vec<Listed>, Failure> {
    let after = format!("{PREFIX}{after}");
    let limit = limit.clamp(1, MAX_ENTRIES);
    let listing = store.list(Cause::Config, PREFIX, &after, limit).await?;
    let entries = listing.entries.into_iter().filter_map(|it| {
        let entry = serde_json::from_str(&it.value?).ok()?;
        Some(Listed { id: it.key.strip_prefix(PREFIX)?.to_owned(), entry })
    });
    Ok(entries.collect())
}

fn text(entry: &Entry) -> Bytes {
    serde_json::to_vec(entry).map(Bytes::from).unwrap_or_default()
}
