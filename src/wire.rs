//! Messages between the hosts, and the service in which they are sent.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{error::Error, member::Member, platform::Entry, scale::Demand, tally::Batch};

/// Identity of a ticket: entry host, its incarnation and a sequence number.
///
/// A ticket that is submitted to another dispatcher gets a new number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TicketId {
    /// Entry host, which has the caller's connection.
    pub host: String,
    /// Incarnation of the entry host.
    pub incarnation: u64,
    /// Sequence number, unique within the incarnation.
    pub number: u64,
}

/// A request for permission to start one attempt. Does not contain the body of the customer's request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// Identity, by which the dispatcher tells tickets apart.
    pub id: TicketId,
    /// Pool that is to run the request.
    pub pool: String,
    /// Name of the customer, empty on open routes.
    pub customer: String,
    /// Weight of the customer in fair queueing.
    pub weight: u32,
    /// Name of the class.
    pub class: String,
    /// Name of the route, used for estimates.
    pub route: String,
    /// Length of the prompt in tokens, or of the body in bytes for plain services.
    pub prompt_tokens: u32,
    /// Largest output in tokens, zero if the request states none.
    pub max_tokens: u32,
    /// Time from the acceptance of the request to this ticket, in milliseconds.
    pub waited_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Hash of the prompt's first block, for cache affinity; zero if unknown.
    pub prefix: u64,
    /// Hash of customer, route and body, by which requests are quarantined.
    pub fingerprint: u64,
    /// Names of the upstreams on which earlier attempts failed.
    pub avoid: Vec<String>,
    /// Whether the dispatcher of another zone passed the request on to this one.
    pub overflow: bool,
    /// Whether the ticket is a retry after a failed attempt.
    pub retry: bool,
}

/// Permission to start one attempt on one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the attempt, unique within the dispatcher's incarnation.
    pub attempt: u64,
    /// Identifies the dispatcher, see [`crate::attempts::Key`].
    pub dispatcher: u64,
    /// Name of the upstream.
    pub upstream: String,
    /// IP address and port of the upstream.
    pub address: String,
    /// Time within which the first byte must be sent, in milliseconds from the grant's receipt.
    pub start_within_ms: u64,
    /// Priority for the engine's queue; lower values run first.
    pub priority: u8,
}

/// Answer to a ticket.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// The attempt may start.
    Granted(Grant),
    /// The request fails with this error.
    Refused(Error),
    /// The host is not the dispatcher of the pool.
    NotDispatcher,
    /// The ticket is to be submitted to the dispatcher of another zone.
    Overflow {
        /// Name of that zone.
        zone: String,
    },
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The whole answer was delivered.
    Done,
    /// The caller closed its connection.
    Cancelled,
    /// The attempt never started.
    Unused,
    /// The upstream refused the connection.
    Refused,
    /// The connection to the upstream broke after bytes were sent.
    Failed,
    /// The upstream sent an invalid answer.
    Invalid,
    /// The upstream exceeded the deadline.
    TimedOut,
    /// The attempt was stopped in favour of a higher tier.
    Preempted,
}

/// State of an attempt, sent while it runs and at its end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Number of the attempt, from the grant.
    pub attempt: u64,
    /// Identifies the dispatcher, from the grant.
    pub dispatcher: u64,
    /// Time from sending the request to the first token, in microseconds; absent before that token.
    pub first_token_us: Option<u64>,
    /// Tokens received so far.
    pub tokens: u32,
    /// How the attempt ended; set only in its last message.
    pub ending: Option<Ending>,
}

/// A running attempt that an entry host reports to a new dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The ticket for which the attempt was granted.
    pub ticket: Ticket,
    /// The grant of the attempt.
    pub grant: Grant,
    /// Progress so far.
    pub progress: Progress,
}

/// Answer of an entry host to a new dispatcher that takes over a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// Whether the entry host accepts the requesting host as the dispatcher of the pool.
    pub accepted: bool,
    /// Running attempts in the pool.
    pub running: Vec<Running>,
}

/// Request or answer by which two hosts exchange members, the configuration revision and quarantined fingerprints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sending process.
    pub from: Member,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Members that changed recently at the sender.
    pub changes: Vec<Member>,
    /// Quarantined fingerprints, each with the time left in milliseconds.
    pub quarantine: Vec<(u64, u64)>,
    /// In a request, whether all members are requested; in an answer, whether `changes` contains all members.
    pub full: bool,
}

impl Gossip {
    /// Returns the size of the message in the encoding of the peer service, in bytes.
    pub fn encoded_len(&self) -> u64 {
        let changes: u64 = self.changes.iter().map(member_len).sum();
        let pair = |it: &(u64, u64)| integer_len(it.0) + integer_len(it.1);
        let quarantine: u64 = self.quarantine.iter().map(pair).sum();
        let lengths =
            integer_len(self.changes.len() as u64) + integer_len(self.quarantine.len() as u64);
        member_len(&self.from) + integer_len(self.revision) + lengths + changes + quarantine + 1
    }
}

fn member_len(member: &Member) -> u64 {
    let names = text_len(&member.id) + text_len(&member.region) + text_len(&member.zone);
    let addresses = address_len(&member.peer) + address_len(&member.admin);
    names + addresses + integer_len(member.incarnation) + integer_len(member.version) + 1
}

fn text_len(text: &str) -> u64 {
    integer_len(text.len() as u64) + text.len() as u64
}

fn address_len(address: &SocketAddr) -> u64 {
    let ip = if address.is_ipv4() { 4 } else { 16 };
    1 + ip + integer_len(address.port().into())
}

/// Returns the size of an integer in bincode's variable-length encoding, in bytes.
fn integer_len(value: u64) -> u64 {
    match value {
        0..251 => 1,
        251..0x1_0000 => 3,
        0x1_0000..0x1_0000_0000 => 5,
        0x1_0000_0000.. => 9,
    }
}

/// The configuration records at one revision, or the changes between two revisions, as written in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision after which the entries changed; zero if `entries` contains all records.
    pub after: u64,
    /// Revision up to which changes are included.
    pub revision: u64,
    /// Entries under the configuration prefix, sorted by key and version. If the newest version of a key is invalid,
    /// its last valid version precedes it.
    pub entries: Vec<Entry>,
}

/// A copy of a usage batch, which a peer holds until the batch is written to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// Host that counted the usage.
    pub host: String,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Sequence number of the batch within the incarnation.
    pub sequence: u64,
    /// The batch as it is written to the store. Empty in a query whether the batch was written.
    pub content: Vec<u8>,
}

/// A request to a customer's limiter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admission {
    /// Name of the customer.
    pub customer: String,
    /// Entry host, which has the caller's connection.
    pub host: String,
    /// Incarnation of the entry host.
    pub incarnation: u64,
    /// Number of the request at the entry host.
    pub request: u64,
    /// Estimated tokens of the request for `admit`, used tokens for `settle`.
    pub tokens: u64,
    /// Whether the former limiter of the customer has already admitted the request.
    pub restore: bool,
}

/// The service that each host offers to its peers.
#[tarpc::service]
pub trait Peer {
    /// Submits a ticket to the dispatcher of its pool. The answer follows when the ticket is granted or refused.
    async fn submit(ticket: Ticket) -> Decision;
    /// Reports the progress of attempts to the dispatcher of their pool.
    async fn progress(pool: String, batch: Vec<Progress>);
    /// Requests the running attempts in a pool from an entry host, on behalf of a new dispatcher.
    async fn handover(pool: String, dispatcher: String, incarnation: u64) -> Handover;
    /// Stops a running attempt, on behalf of its dispatcher.
    async fn preempt(dispatcher: u64, attempt: u64);
    /// Exchanges members, the configuration revision and quarantined fingerprints. Returns `None` if the membership
    /// task of the host has ended.
    async fn gossip(message: Gossip) -> Option<Gossip>;
    /// Probes an address on behalf of a peer. True if the host at the address answered.
    async fn probe(target: SocketAddr) -> bool;
    /// Returns the configuration of the host if it is newer than a revision.
    async fn snapshot(newer_than: u64) -> Option<Snapshot>;
    /// Holds a copy of a usage batch and returns whether it is held. If the content is empty, returns instead whether
    /// the batch was written to the store.
    async fn hold(batch: Copy) -> bool;
    /// Requests the admission of a request from the limiter of its customer.
    async fn admit(request: Admission) -> Result<(), Error>;
    /// Reports the demand of a pool to the controller of the zone. Returns the upstreams to drain, or `None` if the
    /// host is not the controller.
    async fn demand(demand: Demand) -> Option<Vec<String>>;
    /// Reports the end of a request and the tokens that it used to the limiter of its customer.
    async fn settle(request: Admission);
    /// Writes counted batches to the store. True once they are written.
    async fn tally(batches: Vec<Batch>) -> bool;
}
