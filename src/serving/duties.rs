//! The port to what only the leader may do: report usage and order upstreams.

use std::fmt;

/// Why an act has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The platform has none to give at present.
    Unavailable,
    /// The platform refused, with this HTTP status.
    Refused(u16),
    /// No answer came; the act may have taken effect.
    Unknown(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unavailable => f.write_str("none can be had at present"),
            Failure::Refused(status) => write!(f, "the platform refused (status {status})"),
            Failure::Unknown(why) => write!(f, "no answer from the platform: {why}"),
        }
    }
}

impl std::error::Error for Failure {}

/// How many upstreams of a pool and kind an availability zone should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Name of the pool.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Whether reclaimable ones are meant.
    pub spot: bool,
    /// Number that should run.
    pub count: u32,
}

/// Requests of a window by customer, sorted by name.
pub type Counts = Vec<(String, u64)>;

/// Acts of the leader. Each carries the number of its term.
#[expect(async_fn_in_trait, reason = "every host runs its tasks on one thread")]
pub trait Duties: Clone + 'static {
    /// Reports a usage window.
    async fn report(&self, number: u64, window: u64, counts: &Counts) -> Result<(), Failure>;

    /// Orders upstreams.
    async fn order(&self, number: u64, order: &Order) -> Result<(), Failure>;
}
