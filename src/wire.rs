//! Messages between the hosts and the service that carries them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{error::Error, member::Member, platform::Entry, scale::Demand, tally::Batch};

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
    /// The upstream cut the connection after bytes were sent.
    Failed,
    /// The upstream answered something that is not valid.
    Invalid,
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

/// One exchange of membership, configuration revision and quarantine between two hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sending process.
    pub from: Member,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Members that changed recently at the sender.
    pub changes: Vec<Member>,
    /// Quarantined fingerprints with the time left, in milliseconds.
    pub quarantine: Vec<(u64, u64)>,
    /// In a request: whether all members are asked for. In an answer: whether `changes` holds all members.
    pub full: bool,
}

impl Gossip {
    /// Size of the message in the encoding of the peer service, in bytes.
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

/// Length of an integer in the variable-length encoding.
fn integer_len(value: u64) -> u64 {
    match value {
        0..251 => 1,
        251..0x1_0000 => 3,
        0x1_0000..0x1_0000_0000 => 5,
        0x1_0000_0000.. => 9,
    }
}

/// Configuration records of one revision, or the changes that lead to it, as they stand in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision after which the entries changed; zero if the entries are all there are.
    pub after: u64,
    /// Revision up to which changes are contained.
    pub revision: u64,
    /// Entries under the configuration prefix by key and version. Where the newest version of a key is
    /// not valid, the last valid version stands before it.
    pub entries: Vec<Entry>,
}

/// A usage batch that a peer holds until it is written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// Host that counted the usage.
    pub host: String,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Sequence number of the batch within the incarnation.
    pub sequence: u64,
    /// The batch as it is written to the store; empty to ask whether it was written.
    pub content: Vec<u8>,
}

/// A request for a customer's limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admission {
    /// Customer that the request runs for.
    pub customer: String,
    /// Host that holds the caller's connection.
    pub host: String,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Number of the request at that host.
    pub request: u64,
    /// Tokens that the request is estimated to use, or has used when it is settled.
    pub tokens: u64,
    /// Whether another limiter admitted the request before this one took over.
    pub restore: bool,
}

/// Service between the hosts.
#[tarpc::service]
pub trait Peer {
    /// Asks the dispatcher for a grant; answered when the ticket is granted or refused.
    async fn submit(ticket: Ticket) -> Decision;
    /// Tells the dispatcher of a pool how attempts go on.
    async fn progress(pool: String, batch: Vec<Progress>);
    /// A new dispatcher asks an entry host for its attempts in a pool.
    async fn handover(pool: String, dispatcher: String, incarnation: u64) -> Held;
    /// The dispatcher stops a running attempt.
    async fn preempt(dispatcher: u64, attempt: u64);
    /// Exchanges membership, revision and quarantine.
    async fn gossip(message: Gossip) -> Option<Gossip>;
    /// Asks another host to probe a third one; true if it answered.
    async fn probe(target: SocketAddr) -> bool;
    /// Configuration of the host if it is newer than a revision.
    async fn snapshot(newer_than: u64) -> Option<Snapshot>;
    /// Holds a usage batch, true if it is held; or says whether it was written, if the content is empty.
    async fn hold(batch: Copy) -> bool;
    /// Asks a customer's limiter to admit a request.
    async fn admit(request: Admission) -> Result<(), Error>;
    /// Reports a pool's demand to the zone's controller; the upstreams to drain, or `None` if the host is not it.
    async fn demand(demand: Demand) -> Option<Vec<String>>;
    /// Tells a customer's limiter that a request ended and the tokens that it used.
    async fn settle(request: Admission);
    /// Brings counted batches to the store; true once they are there.
    async fn tally(batches: Vec<Batch>) -> bool;
}
