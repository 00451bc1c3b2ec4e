//! Port to the leader's duties on the platform: usage reports and orders of upstreams.

use std::fmt;

/// Reason why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The platform has no upstreams of this kind available.
    Unavailable,
    /// The platform refused, with this HTTP status.
    Refused(u16),
    /// No answer arrived; the call may have taken effect.
    Unknown(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unavailable => f.write_str("no upstream is available at present"),
            Failure::Refused(status) => write!(f, "the platform refused (status {status})"),
            Failure::Unknown(why) => write!(f, "no answer from the platform: {why}"),
        }
    }
}

impl std::error::Error for Failure {}

/// Target number of upstreams of a pool and kind in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Name of the pool.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the order is for spot instances, which the platform may reclaim.
    pub spot: bool,
    /// Number of upstreams that should run.
    pub count: u32,
}

/// Requests in a usage window by customer, sorted by name.
pub type Counts = Vec<(String, u64)>;

/// Calls of the leader to the platform. Each carries the number of its term as fencing token.
#[expect(async_fn_in_trait, reason = "every host runs its tasks on one thread")]
pub trait Duties: Clone + 'static {
    /// Reports the counts of a usage window. A window may be reported several times.
    async fn report(&self, number: u64, window: u64, counts: &Counts) -> Result<(), Failure>;

    /// Sets the target number of upstreams.
    async fn order(&self, number: u64, order: &Order) -> Result<(), Failure>;
}
