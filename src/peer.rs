//! Client connections to the peer service of other hosts, and the server of this host's peer service.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    pin::pin,
    time::{Duration, Instant},
};

use futures::{Stream, StreamExt as _};
use tarpc::{
    client, context, serde_transport,
    server::{self, BaseChannel, Channel as _},
    tokio_serde::formats::Bincode,
    tokio_util::codec::length_delimited::{self, LengthDelimitedCodec},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
};

use crate::{
    controller,
    error::{Error, Kind},
    scale::Demand,
    tally::Batch,
    wire::{self, Peer as _, PeerClient},
};

/// Timeout of a connection attempt to a peer, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Time after a failed connection attempt in which calls to the peer fail without another attempt, in milliseconds.
const RECONNECT_PAUSE_MS: u64 = 200;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Largest number of calls in flight on one connection.
const MAX_IN_FLIGHT: usize = 65_536;

/// Largest number of calls or answers that wait to be written to one connection.
const PENDING: usize = 4_096;

/// Largest message, in bytes. It must have room for a snapshot of the configuration.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Length of the queues of the task that owns the connections.
const QUEUE: usize = 1_024;

/// Why a call to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established, so the peer has not received the message.
    Connect,
    /// The connection broke or the deadline passed; the peer may have received the message.
    Unknown,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Connect => f.write_str("the peer cannot be reached"),
            Failure::Unknown => f.write_str("the peer did not answer"),
        }
    }
}

impl std::error::Error for Failure {}

/// Handle to the task that owns the connections to peers. The task ends when all handles are dropped.
#[derive(Debug, Clone)]
pub struct Peers {
    requests: mpsc::Sender<Request>,
}

#[derive(Debug)]
struct Request {
    address: SocketAddr,
    answer: oneshot::Sender<Option<PeerClient>>,
}

#[derive(Debug)]
enum Link {
    Open(PeerClient),
    Failed(Instant),
}

impl Peers {
    /// Spawns the task that owns the connections.
    pub fn spawn() -> Peers {
        let (requests, mailbox) = mpsc::channel(QUEUE);
        tokio::spawn(run(mailbox));
        Peers { requests }
    }

    /// Returns a connected client for the peer at an address, and connects first if necessary.
    ///
    /// # Errors
    /// Returns [`Failure::Connect`] if no connection is open and none can be established, or if an attempt to establish
    /// one has just failed.
    pub async fn client(&self, address: SocketAddr) -> Result<PeerClient, Failure> {
        let (answer, client) = oneshot::channel();
        let request = Request { address, answer };
        self.requests.send(request).await.map_err(|_| Failure::Connect)?;
        client.await.ok().flatten().ok_or(Failure::Connect)
    }
}

/// Returns the context of a call that must be answered within the given time.
pub fn within(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

async fn run(mut mailbox: mpsc::Receiver<Request>) {
    let mut links: BTreeMap<SocketAddr, Link> = BTreeMap::new();
    let mut waiting: BTreeMap<SocketAddr, Vec<oneshot::Sender<Option<PeerClient>>>> =
        BTreeMap::new();
    let (opened, mut connections) = mpsc::channel::<(SocketAddr, Option<PeerClient>)>(QUEUE);
    let (closed, mut closures) = mpsc::channel::<SocketAddr>(QUEUE);
    loop {
        tokio::select! {
            request = mailbox.recv() => {
                let Some(Request { address, answer }) = request else { return };
                match links.get(&address) {
                    Some(Link::Open(client)) => {
                        let _ = answer.send(Some(client.clone()));
                    }
                    Some(Link::Failed(at)) if at.elapsed().as_millis() < u128::from(RECONNECT_PAUSE_MS) => {
                        let _ = answer.send(None);
                    }
                    Some(Link::Failed(_)) | None => {
                        let queue = waiting.entry(address).or_default();
                        queue.push(answer);
                        if queue.len() == 1 {
                            tokio::spawn(connect(address, opened.clone(), closed.clone()));
                        }
                    }
                }
            }
            Some((address, client)) = connections.recv() => {
                for answer in waiting.remove(&address).unwrap_or_default() {
                    let _ = answer.send(client.clone());
                }
                let link = client.map_or_else(|| Link::Failed(Instant::now()), Link::Open);
                links.insert(address, link);
            }
            Some(address) = closures.recv() => {
                links.remove(&address);
            }
        }
    }
}

async fn connect(
    address: SocketAddr,
    opened: mpsc::Sender<(SocketAddr, Option<PeerClient>)>,
    closed: mpsc::Sender<SocketAddr>,
) {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let Ok(Ok(stream)) = tokio::time::timeout(timeout, TcpStream::connect(address)).await else {
        let _ = opened.send((address, None)).await;
        return;
    };
    // Nagle's algorithm would delay small messages until earlier ones are acknowledged.
    let _ = stream.set_nodelay(true);
    let transport = serde_transport::new(frames().new_framed(stream), Bincode::default());
    let mut config = client::Config::default();
    config.max_in_flight_requests = MAX_IN_FLIGHT;
    config.pending_request_buffer = PENDING;
    let client::NewClient { client, dispatch } = PeerClient::new(config, transport);
    let _ = opened.send((address, Some(client))).await;
    let _ = dispatch.await;
    let _ = closed.send(address).await;
}

/// Returns the framing of messages between hosts.
fn frames() -> length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}

/// A call to the dispatchers on this host.
#[derive(Debug)]
pub enum DispatchCall {
    /// Submits a ticket. The ticket is withdrawn when the receiver of the answer is dropped.
    Submit(wire::Ticket, oneshot::Sender<wire::Decision>),
    /// Reports the progress of attempts in the named pool.
    Progress(String, Vec<wire::Progress>),
}

/// A call to the task of the running attempts on this host.
#[derive(Debug)]
pub enum AttemptCall {
    /// Requests the running attempts in a pool for its new dispatcher.
    Handover {
        /// Name of the pool.
        pool: String,
        /// Id of the dispatcher's host.
        dispatcher: String,
        /// Incarnation of that host.
        incarnation: u64,
        /// Receives the attempts.
        answer: oneshot::Sender<wire::Handover>,
    },
    /// Stops an attempt.
    Preempt {
        /// Incarnation of the dispatcher that granted the attempt.
        dispatcher: u64,
        /// Number of the attempt, from the grant.
        attempt: u64,
    },
}

/// A call to the membership task of this host.
#[derive(Debug)]
pub enum MemberCall {
    /// Exchanges members, the configuration revision and quarantined fingerprints with another host.
    Gossip(wire::Gossip, oneshot::Sender<wire::Gossip>),
    /// Probes an address on behalf of another host. The answer is true if the host at the address answered.
    Probe(SocketAddr, oneshot::Sender<bool>),
}

/// A call to the configuration watcher of this host.
#[derive(Debug)]
pub enum ConfigCall {
    /// Requests the configuration if it is newer than a revision.
    Snapshot(u64, oneshot::Sender<Option<wire::Snapshot>>),
}

/// A call to the task that holds copies of usage batches on this host.
#[derive(Debug)]
pub enum UsageCall {
    /// Holds a copy of a batch; the answer is true if it is held. If the content is empty, the answer is instead
    /// whether the batch was written to the store.
    Hold(wire::Copy, oneshot::Sender<bool>),
}

/// A call to the limiters on this host.
#[derive(Debug)]
pub enum LimitCall {
    /// Requests the admission of a request.
    Admit(wire::Admission, oneshot::Sender<Result<(), Error>>),
    /// Reports the end of a request and the tokens that it used.
    Settle(wire::Admission),
}

/// A call to the aggregator on this host.
#[derive(Debug)]
pub enum TallyCall {
    /// Writes batches to the store; the answer is true once they are written.
    Write(Vec<Batch>, oneshot::Sender<bool>),
}

/// Sending ends of the queues of the tasks that answer peers.
#[derive(Debug, Clone)]
pub struct Mailboxes {
    /// Queue of the dispatchers.
    pub dispatch: mpsc::Sender<DispatchCall>,
    /// Queue of the running attempts.
    pub attempts: mpsc::Sender<AttemptCall>,
    /// Queue of the membership task.
    pub members: mpsc::Sender<MemberCall>,
    /// Queue of the configuration watcher.
    pub config: mpsc::Sender<ConfigCall>,
    /// Queue of the task that holds copies of usage batches.
    pub usage: mpsc::Sender<UsageCall>,
    /// Queue of the limiters.
    pub limits: mpsc::Sender<LimitCall>,
    /// Queue of the zone's controller.
    pub controller: mpsc::Sender<controller::Call>,
    /// Queue of the aggregator of counted requests.
    pub tally: mpsc::Sender<TallyCall>,
}

/// Receiving ends of the queues in [`Mailboxes`].
#[derive(Debug)]
pub struct Calls {
    /// Calls to the dispatchers.
    pub dispatch: mpsc::Receiver<DispatchCall>,
    /// Calls to the running attempts.
    pub attempts: mpsc::Receiver<AttemptCall>,
    /// Calls to the membership task.
    pub members: mpsc::Receiver<MemberCall>,
    /// Calls to the configuration watcher.
    pub config: mpsc::Receiver<ConfigCall>,
    /// Calls to the task that holds copies of usage batches.
    pub usage: mpsc::Receiver<UsageCall>,
    /// Calls to the limiters.
    pub limits: mpsc::Receiver<LimitCall>,
    /// Calls to the zone's controller.
    pub controller: mpsc::Receiver<controller::Call>,
    /// Calls to the aggregator.
    pub tally: mpsc::Receiver<TallyCall>,
}

/// Creates the queues, each of which has room for `capacity` calls.
pub fn mailboxes(capacity: usize) -> (Mailboxes, Calls) {
    let (dispatch, dispatch_calls) = mpsc::channel(capacity);
    let (attempts, attempt_calls) = mpsc::channel(capacity);
    let (members, member_calls) = mpsc::channel(capacity);
    let (config, config_calls) = mpsc::channel(capacity);
    let (usage, usage_calls) = mpsc::channel(capacity);
    let (limits, limit_calls) = mpsc::channel(capacity);
    let (controller, controller_calls) = mpsc::channel(capacity);
    let (tally, tally_calls) = mpsc::channel(capacity);
    let mailboxes =
        Mailboxes { dispatch, attempts, members, config, usage, limits, controller, tally };
    let calls = Calls {
        dispatch: dispatch_calls,
        attempts: attempt_calls,
        members: member_calls,
        config: config_calls,
        usage: usage_calls,
        limits: limit_calls,
        controller: controller_calls,
        tally: tally_calls,
    };
    (mailboxes, calls)
}

/// Accepts connections of peers and passes their calls to the mailboxes, until the task is aborted.
pub async fn serve(listener: TcpListener, mailboxes: Mailboxes) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // File descriptors may be exhausted; closed connections free some in the meantime.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let transport = serde_transport::new(frames().new_framed(stream), Bincode::default());
        let config = server::Config { pending_response_buffer: PENDING };
        let channel = BaseChannel::new(config, transport);
        tokio::spawn(answer(channel.execute(mailboxes.clone().serve())));
    }
}

async fn answer<F>(requests: impl Stream<Item = F>)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut requests = pin!(requests);
    while let Some(request) = requests.next().await {
        tokio::spawn(request);
    }
}

/// Sends a call with a channel for its answer and waits for the answer. Returns `None` if the task has ended or has
/// dropped the call.
async fn ask<C, A>(
    mailbox: &mpsc::Sender<C>,
    call: impl FnOnce(oneshot::Sender<A>) -> C,
) -> Option<A> {
    let (sender, answer) = oneshot::channel();
    mailbox.send(call(sender)).await.ok()?;
    answer.await.ok()
}

impl wire::Peer for Mailboxes {
    async fn submit(self, _: context::Context, ticket: wire::Ticket) -> wire::Decision {
        let call = |answer| DispatchCall::Submit(ticket, answer);
        ask(&self.dispatch, call).await.unwrap_or(wire::Decision::NotDispatcher)
    }

    async fn progress(self, _: context::Context, pool: String, batch: Vec<wire::Progress>) {
        let _ = self.dispatch.send(DispatchCall::Progress(pool, batch)).await;
    }

    async fn handover(
        self,
        _: context::Context,
        pool: String,
        dispatcher: String,
        incarnation: u64,
    ) -> wire::Handover {
        let call = |answer| AttemptCall::Handover { pool, dispatcher, incarnation, answer };
        let refused = wire::Handover { accepted: false, running: Vec::new() };
        ask(&self.attempts, call).await.unwrap_or(refused)
    }

    async fn preempt(self, _: context::Context, dispatcher: u64, attempt: u64) {
        let _ = self.attempts.send(AttemptCall::Preempt { dispatcher, attempt }).await;
    }

    async fn gossip(self, _: context::Context, message: wire::Gossip) -> Option<wire::Gossip> {
        ask(&self.members, |answer| MemberCall::Gossip(message, answer)).await
    }

    async fn probe(self, _: context::Context, target: SocketAddr) -> bool {
        ask(&self.members, |answer| MemberCall::Probe(target, answer)).await.unwrap_or(false)
    }

    async fn snapshot(self, _: context::Context, newer_than: u64) -> Option<wire::Snapshot> {
        ask(&self.config, |answer| ConfigCall::Snapshot(newer_than, answer)).await.flatten()
    }

    async fn hold(self, _: context::Context, batch: wire::Copy) -> bool {
        ask(&self.usage, |answer| UsageCall::Hold(batch, answer)).await.unwrap_or(false)
    }

    async fn admit(self, _: context::Context, request: wire::Admission) -> Result<(), Error> {
        let stopped = || Err(Error::new(Kind::Draining, "the customer's limiter is stopping"));
        let call = |answer| LimitCall::Admit(request, answer);
        ask(&self.limits, call).await.unwrap_or_else(stopped)
    }

    async fn demand(self, _: context::Context, demand: Demand) -> Option<Vec<String>> {
        ask(&self.controller, |answer| controller::Call { demand, answer }).await.flatten()
    }

    async fn settle(self, _: context::Context, request: wire::Admission) {
        let _ = self.limits.send(LimitCall::Settle(request)).await;
    }

    async fn tally(self, _: context::Context, batches: Vec<Batch>) -> bool {
        ask(&self.tally, |answer| TallyCall::Write(batches, answer)).await.unwrap_or(false)
    }
}
