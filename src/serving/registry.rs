//! Entries in which upstreams describe themselves in the store.

use std::{fmt, net::SocketAddr, sync::Arc};

/// Reason why a value of the store cannot be decoded, as text for the log.
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
    /// Accepts requests.
    Ready,
    /// Will stop soon and must receive no new request.
    Draining,
}

/// The entry of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Id of the upstream. Identifies one run of it together with `started_ms`.
    pub id: Arc<str>,
    /// Name of its pool.
    pub pool: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Version of its software, `None` if it is not stated. Streams of different versions do not fit together.
    pub version: Option<Arc<str>>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: State,
    /// Remaining time for which it is slow after its start, in milliseconds.
    pub warmup_ms: u64,
    /// Whether it is a spot instance, which the platform may reclaim.
    pub spot: bool,
    /// Time until it stops, in milliseconds; `None` if not announced.
    pub stops_in_ms: Option<u64>,
    /// Unix time of its start in milliseconds, zero if it is not given. Distinguishes runs under
    /// one id.
    pub started_ms: u64,
    /// Number of this version of the entry within the run. A version with a lower number may be
    /// written later and is then outdated.
    pub sequence: u64,
}
