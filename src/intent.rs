//! Intents: orders that are written to the store before they are sent.
//!
//! An order can only be made from an open intent, and an intent is open only once the store holds it.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    engine,
    lease::Permit,
    platform::{self, Cause, Client, Failure, Fenced, Write},
};

/// Schema version of intents.
const SCHEMA: u32 = 1;

/// Entries asked for in one page of a listing.
const PAGE: u32 = 200;

/// What is ordered, and of whom.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// The zone's platform starts or stops an upstream.
    Zone(platform::Order),
    /// An engine loads or unloads a model.
    Engine {
        /// Name of the upstream.
        upstream: String,
        /// What the engine is asked to do.
        order: engine::Order,
    },
}

/// An intent as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Record {
    schema: u32,
    order: Order,
    /// Whether the receiver has accepted the order.
    done: bool,
}

/// State of an intent that may not be in the store.
#[derive(Debug, Clone)]
pub struct Draft;

/// State of an intent that is in the store.
#[derive(Debug, Clone)]
pub struct Open {
    version: u64,
}

/// One order and its place in the store.
#[derive(Debug, Clone)]
pub struct Intent<S> {
    key: String,
    /// Id under which the receiver takes the order once. The same for every holder that sends it.
    id: String,
    order: Order,
    state: S,
}

/// Prefix of a zone's intents in the store.
fn prefix(zone: &str) -> String {
    format!("intent/{zone}/")
}

fn encode(order: &Order, done: bool) -> Result<Bytes, Failure> {
    let record = Record { schema: SCHEMA, order: order.clone(), done };
    let bytes = serde_json::to_vec(&record).map_err(|it| Failure::Invalid(it.to_string()))?;
    Ok(Bytes::from(bytes))
}

impl<S> Intent<S> {
    /// What is ordered.
    pub fn order(&self) -> &Order {
        &self.order
    }
}

impl Intent<Draft> {
    /// An intent that was not written yet.
    pub fn new(zone: &str, id: String, order: Order) -> Intent<Draft> {
        Intent { key: format!("{}{id}", prefix(zone)), id, order, state: Draft }
    }

    /// Writes the intent, unless it stands in the store already.
    ///
    /// # Errors
    /// Any `Failure`; `Refused` if another intent has the id. After `Unknown` the intent may be in the store.
    pub async fn write(&self, client: &Client) -> Result<Intent<Open>, Failure> {
        let content = encode(&self.order, false)?;
        match client.put(Cause::Order, &self.key, content.clone(), Some(0)).await {
            Ok(Write::Written(version)) => Ok(self.opened(version)),
            // An earlier attempt whose answer was lost may have written it.
            Ok(Write::Conflict(_)) | Err(Failure::Unknown(_)) => {
                self.read_back(client, &content).await
            }
            Err(failure) => Err(failure),
        }
    }

    async fn read_back(&self, client: &Client, content: &Bytes) -> Result<Intent<Open>, Failure> {
        match client.get(Cause::Order, &self.key).await? {
            Some(value) if value.bytes == *content => Ok(self.opened(value.version)),
            Some(_) => Err(Failure::Refused(409, "another intent has the id".to_owned())),
            None => Err(Failure::Unknown("the intent is not in the store".to_owned())),
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
    /// The order under the authority of the present holder.
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
    /// Any `Failure`; the mark may be made again.
    pub async fn mark_done(&self, client: &Client) -> Result<(), Failure> {
        let content = encode(&self.order, true)?;
        // A conflict means that an earlier mark took effect.
        let write = client.put(Cause::Order, &self.key, content, Some(self.state.version));
        write.await.map(drop)
    }

    /// Removes the intent.
    ///
    /// # Errors
    /// Any `Failure`; the removal may be made again.
    pub async fn remove(&self, client: &Client) -> Result<(), Failure> {
        client.delete(Cause::Order, &self.key, None).await.map(drop)
    }
}

/// What a zone's controllers have left in the store.
#[derive(Debug, Default)]
pub struct StoredIntents {
    /// Orders that may not have been sent or answered.
    pub open: Vec<Intent<Open>>,
    /// Orders that were accepted and are remembered.
    pub done: Vec<Intent<Open>>,
    /// Keys of entries that cannot be read; they are left as they are.
    pub unreadable: Vec<String>,
}

/// Reads the intents of a zone.
///
/// # Errors
/// Any `Failure`.
pub async fn list(client: &Client, zone: &str) -> Result<StoredIntents, Failure> {
    let prefix = prefix(zone);
    let mut ledger = StoredIntents::default();
    let mut after = String::new();
    loop {
        let page = client.list(Cause::Order, &prefix, &after, PAGE).await?;
        let Some(last) = page.entries.last() else { return Ok(ledger) };
        after = last.key.clone();
        for entry in page.entries {
            ledger.take(&prefix, entry);
        }
        if !page.more {
            return Ok(ledger);
        }
    }
}

impl StoredIntents {
    fn take(&mut self, prefix: &str, entry: platform::Entry) {
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
