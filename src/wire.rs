//! Messages between the hosts and the service that carries them.

use serde::{Deserialize, Serialize};

use crate::error::Error;

/// Identifies one ticket of an entry host: host, incarnation and sequence number.
///
/// A ticket that is handed to another dispatcher gets a new number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TicketId {
    /// Host that holds the caller's connection.
    pub host: String,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Unique within the incarnation.
    pub number: u64,
}

/// A request for one attempt, without the body.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// Identity of the ticket.
    pub id: TicketId,
    /// Pool that is to run the request.
    pub pool: String,
    /// Customer, empty on open routes.
    pub customer: String,
    /// Weight of the customer in fair queueing.
    pub weight: u32,
    /// Name of the class.
    pub class: String,
    /// Name of the route, for estimates.
    pub route: String,
    /// Length of the prompt in tokens, or of the body in bytes for plain services.
    pub prompt_tokens: u32,
    /// Largest output in tokens, zero if not stated.
    pub max_tokens: u32,
    /// Time that the request has already waited since it was accepted, in milliseconds.
    pub waited_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Hash of the prompt's first block, for cache affinity. Zero if unknown.
    pub prefix: u64,
    /// Hash of customer, route and body, for the quarantine.
    pub fingerprint: u64,
    /// Upstreams on which earlier attempts failed.
    pub avoid: Vec<String>,
    /// Whether another zone's dispatcher sent the request here.
    pub overflow: bool,
    /// Whether the ticket is a retry after a failed attempt.
    pub retry: bool,
}

/// Permission to start one attempt on one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Unique at the dispatcher's incarnation.
    pub attempt: u64,
    /// Incarnation of the dispatcher.
    pub dispatcher: u64,
    /// Upstream's name.
    pub upstream: String,
    /// Upstream's address, IP and port.
    pub address: String,
    /// Time within which the first byte must be sent, in milliseconds from the grant's receipt.
    pub start_within_ms: u64,
    /// Priority that the engine is told; lower runs first.
    pub priority: u8,
}

/// Answer to a ticket.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// The attempt may start.
    Granted(Grant),
    /// The request is given up.
    Refused(Error),
    /// The host is not the dispatcher of the pool.
    NotDispatcher,
    /// Another zone's dispatcher is asked next.
    Overflow {
        /// The zone to ask.
        zone: String,
    },
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The whole answer was delivered.
    Done,
    /// The caller left.
    Cancelled,
    /// The attempt never started.
    Unused,
    /// The upstream refused the connection.
    Refused,
    /// The upstream failed after bytes were sent.
    Failed,
    /// The upstream exceeded the deadline.
    TimedOut,
    /// The attempt was stopped for a higher tier.
    Preempted,
}

/// State of a running attempt, sent while it runs and at its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Attempt that the grant named.
    pub attempt: u64,
    /// Dispatcher incarnation that the grant named.
    pub dispatcher: u64,
    /// Time from the sending to the first token, in microseconds.
    pub first_token_us: Option<u64>,
    /// Tokens received so far.
    pub tokens: u32,
    /// Set with the last message of the attempt.
    pub ending: Option<Ending>,
}

/// An attempt that an entry host reports to a new dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The ticket that was granted.
    pub ticket: Ticket,
    /// The grant in use.
    pub grant: Grant,
    /// Progress so far.
    pub progress: Progress,
}

/// Answer of an entry host to a new dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// Whether the entry host now holds the asking host to be the dispatcher.
    pub accepted: bool,
    /// Attempts in progress in the pool.
    pub running: Vec<Running>,
}
