//! Messages between hosts and the service that carries them.

use serde::{Deserialize, Serialize};

use crate::serving::tier::TIERS;

/// A change under a prefix of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// Key in the store.
    pub key: String,
    /// Revision of the write or removal.
    pub revision: u64,
    /// `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

/// What happened under a prefix after the revision that was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixUpdate {
    /// Whether the lines are all there are, rather than changes.
    pub is_listing: bool,
    /// In the order of their revisions.
    pub changes: Vec<KeyChange>,
    /// Revision up to which every change is contained.
    pub revision: u64,
}

/// What a host knows of one prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixState {
    /// Time since the store was last known to hold nothing newer, in microseconds.
    pub age_us: Option<u64>,
    /// What is new to the asking host.
    pub update: Option<PrefixUpdate>,
}

/// What hosts have sent to one upstream and that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Identity of the upstream's life.
    pub upstream: u64,
    /// Prompt tokens without a first event yet, by priority.
    pub pending: [u32; TIERS],
    /// Attempts.
    pub running: u16,
    /// Time for which the upstream is shunned after a failure, in milliseconds.
    pub ejected_ms: u16,
}

/// A part of a prompt that was sent to an engine, which keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedPart {
    /// Identity of the part.
    pub part: u64,
    /// Identity of the engine's life.
    pub upstream: u64,
}

/// Counts of a host in a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Host id with a number that no earlier process of the host had.
    pub writer: String,
    /// Number of the window.
    pub window: u64,
    /// Whether the host counts no more in the window.
    pub ended: bool,
    /// Requests by customer, sorted by name. They never fall.
    pub counts: Vec<(String, u64)>,
}

/// A question with what the asking host has to tell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Id of the asking host.
    pub host: String,
    /// Whether the asking host is a hub of another group, which tells no loads.
    pub is_hub: bool,
    /// Revisions up to which the asking host knows the followed prefixes.
    pub revisions: Vec<u64>,
    /// Loads of the asking host.
    pub loads: Vec<Load>,
    /// Parts that the asking host sent since the last question, none if it is a hub.
    pub placed: Vec<PlacedPart>,
    /// Position in the asked host's parts up to which they are known.
    pub placed_after: u64,
    /// Counts that changed since the last question that was answered.
    pub counts: Vec<WindowCounts>,
}

/// An answer with what the asked host knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// Id of the asked host.
    pub host: String,
    /// Whether the asked host knows the configuration to be the newest, as of a moment ago.
    pub is_current: bool,
    /// Whether the store has answered the asked host a moment ago.
    pub follows_store: bool,
    /// Time that upstreams have to write their entries again, as the store has been away, in microseconds.
    pub outage_grace_us: u64,
    /// One for each followed prefix.
    pub prefixes: Vec<PrefixState>,
    /// Loads of all other hosts, or of the asked host's group if the asking host is a hub.
    pub loads: Vec<Load>,
    /// Parts that the same hosts sent.
    pub placed: Vec<PlacedPart>,
    /// Position up to which they are contained.
    pub placed_next: u64,
}

/// Service between the hosts.
#[tarpc::service]
pub trait Peer {
    /// Exchanges what two hosts know.
    async fn sync(request: SyncRequest) -> SyncResponse;
}
