//! Intents: orders that are written to the store before they are sent.
//!
//! Only an open intent can produce a fenced order, and an intent is open only once it is in the store. A controller
//! that takes over therefore finds every order that may have been sent.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    engine,
    lease::Permit,
    platform::{self, Cause, Client, Failure, Fenced, Write},
};

/// Schema version of intents.
const SCHEMA: u32 = 1;

/// Entries requested per page of a listing.
const PAGE_LEN: u32 = 200;

/// An order and its receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Order to the platform to start or stop an upstream of the zone.
    Zone(platform::Order),
    /// Order to the engine of an upstream, such as to load a model.
    Engine {
        /// Name of the upstream.
        upstream: String,
        /// Order to the engine.
        order: engine::Order,
    },
}

/// Intent in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Record {
    schema: u32,
    order: Order,
    /// Whether the receiver has accepted the order.
    done: bool,
}

/// State of an intent that is not known to be in the store.
#[derive(Debug, Clone)]
pub struct Draft;

/// State of an intent that is in the store.
#[derive(Debug, Clone)]
pub struct Open {
    version: u64,
}

/// An order and its key in the store.
#[derive(Debug, Clone)]
pub struct Intent<S> {
    key: String,
    /// Id by which the receiver deduplicates the order. It is the same for every holder that sends the order.
    id: String,
    order: Order,
    state: S,
}

/// Returns the key prefix of a zone's intents in the store.
fn prefix(zone: &str) -> String {
    format!("intent/{zone}/")
}

fn encode(order: &Order, done: bool) -> Result<Bytes, Failure> {
    let record = Record { schema: SCHEMA, order: order.clone(), done };
    let bytes = serde_json::to_vec(&record).map_err(|it| Failure::Invalid(it.to_string()))?;
    Ok(Bytes::from(bytes))
}

impl<S> Intent<S> {
    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }
}

impl Intent<Draft> {
    /// Creates an intent that is not written yet. `id` must be unique within the zone.
    pub fn new(zone: &str, id: String, order: Order) -> Intent<Draft> {
        Intent { key: format!("{}{id}", prefix(zone)), id, order, state: Draft }
    }

    /// Writes the intent, unless it is already in the store.
    ///
    /// # Errors
    /// `Refused` if another intent has the id, or any other `Failure` of the store. After `Unknown` the intent may be
    /// in the store.
    pub async fn write(&self, client: &Client) -> Result<Intent<Open>, Failure> {
        let content = encode(&self.order, false)?;
        match client.put(Cause::Order, &self.key, content.clone(), Some(0)).await {
            Ok(Write::Written(version)) => Ok(self.opened(version)),
            // An earlier write whose answer was lost may have succeeded.
            Ok(Write::Conflict(_)) | Err(Failure::Unknown(_)) => {
                self.read_back(client, &content).await
            }
            Err(failure) => Err(failure),
        }
    }

    async fn read_back(&self, client: &Client, content: &Bytes) -> Result<Intent<Open>, Failure> {
        match client.get(Cause::Order, &self.key).await? {
            Some(value) if value.bytes == *content => Ok(self.opened(value.version)),
            Some(_) => Err(Failure::Refused(
                409,
                "another intent with the same id is in the store".to_owned(),
            )),
            None => {
                Err(Failure::Unknown("the intent is not in the store after the write".to_owned()))
            }
        }
    }

    fn opened(&self, version: u64) -> Intent<Open> {
        Intent {
            key: self.key.clone(),
            id: self.id.clone(),
            order: self.order.clone(),
            state: Open { version },
        }
    }
}

impl Intent<Open> {
    /// Returns the order with the fencing number and the deadline of the current holder.
    pub fn fenced<T>(&self, lease: &str, permit: Permit, order: T) -> Fenced<T> {
        Fenced {
            id: self.id.clone(),
            lease: lease.to_owned(),
            number: permit.number,
            deadline_ms: permit.deadline_ms,
            order,
        }
    }

    /// Marks the intent as done and keeps it.
    ///
    /// # Errors
    /// Any `Failure` of the store; the call may be repeated.
    pub async fn mark_done(&self, client: &Client) -> Result<(), Failure> {
        let content = encode(&self.order, true)?;
        // A conflict means that an earlier call has already marked the intent.
        let write = client.put(Cause::Order, &self.key, content, Some(self.state.version));
        write.await.map(drop)
    }

    /// Removes the intent.
    ///
    /// # Errors
    /// Any `Failure` of the store; the call may be repeated.
    pub async fn remove(&self, client: &Client) -> Result<(), Failure> {
        client.delete(Cause::Order, &self.key, None).await.map(drop)
    }
}

/// Intents of a zone in the store.
#[derive(Debug, Default)]
pub struct StoredIntents {
    /// Intents whose order may not have been sent or answered.
    pub open: Vec<Intent<Open>>,
    /// Intents whose order was accepted and that are kept.
    pub done: Vec<Intent<Open>>,
    /// Keys of entries that cannot be decoded. They are not changed.
    pub unreadable: Vec<String>,
}

/// Reads the intents of a zone.
///
/// # Errors
/// Any `Failure` of the store.
pub async fn list(client: &Client, zone: &str) -> Result<StoredIntents, Failure> {
    let prefix = prefix(zone);
    let mut stored = StoredIntents::default();
    let mut after = String::new();
    loop {
        let page = client.list(Cause::Order, &prefix, &after, PAGE_LEN).await?;
        let Some(last) = page.entries.last() else { return Ok(stored) };
        after = last.key.clone();
        for entry in page.entries {
            stored.insert(&prefix, entry);
        }
        if !page.more {
            return Ok(stored);
        }
    }
}

impl StoredIntents {
    fn insert(&mut self, prefix: &str, entry: platform::Entry) {
        let Some(value) = entry.value else { return };
        let id = entry.key.strip_prefix(prefix).map(str::to_owned);
        let record = serde_json::from_str::<Record>(&value).ok();
        let (Some(id), Some(record)) = (id, record.filter(|it| it.schema == SCHEMA)) else {
            self.unreadable.push(entry.key);
            return;
        };
        let state = Open { version: entry.version };
        let intent = Intent { key: entry.key, id, order: record.order, state };
        if record.done { self.done.push(intent) } else { self.open.push(intent) }
    }
}
