//! The upstreams as their entries in the store describe them.

use std::{fmt, net::SocketAddr, sync::Arc};

/// Why a value of the store cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DecodeError {}

/// Life-cycle state of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    Ready,
    /// Is about to stop and must get no new request.
    Draining,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Names one start of the upstream together with `started_ms`.
    pub id: Arc<str>,
    /// Pool that it serves.
    pub pool: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: State,
    /// Time for which it is still slow after its start, in milliseconds.
    pub warmup_ms: u64,
    /// Whether the platform may reclaim it.
    pub spot: bool,
    /// Time until it stops, in milliseconds, if that is known.
    pub stops_in_ms: Option<u64>,
    /// Unix time of its start in milliseconds, zero if it does not say. Tells lives under one id apart.
    pub started_ms: u64,
    /// Number of the statement within this life; an older one may be written later.
    pub sequence: u64,
}
