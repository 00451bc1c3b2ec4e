//! RPC connections between hosts.

use std::{cell::RefCell, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use futures::StreamExt as _;
use tarpc::{
    client, context, serde_transport,
    server::{self, BaseChannel, Channel as _},
    tokio_serde::formats::Bincode,
    tokio_util::codec::length_delimited::{self, LengthDelimitedCodec},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout},
};

use crate::serving::messages::{self, Peer, PeerClient};

/// Time-out of a sync request, including a connect if there is no connection.
///
/// The largest value of the store, 1 MB, takes 0.84 s over the users' slowest link of 10 Mbit/s.
/// With a shorter time-out hosts would request it again from the next host, until the links carry
/// nothing else.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time-out of a request for a permit, including a connect. A permit is of no use much later.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum size of a message, in bytes. A configuration and the entries of all upstreams must fit.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// A sync request with the channel for its response.
pub type Call = (messages::Request, oneshot::Sender<messages::Response>);

/// A request for a permit with the channel for its response.
pub type PermitCall = (messages::PermitRequest, oneshot::Sender<messages::PermitResponse>);

/// Time-out of a report of evidence, including a connect. It is repeated as long as it is news.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Mailboxes for the requests of other hosts.
#[derive(Debug, Clone)]
pub struct Mailboxes {
    /// Sync requests.
    pub calls: mpsc::Sender<Call>,
    /// Requests for permits.
    pub permits: mpsc::Sender<PermitCall>,
    /// Evidence about crashes.
    pub evidence: mpsc::Sender<messages::Evidence>,
    /// What upstreams reported of their load.
    pub reports: mpsc::Sender<messages::Prefix>,
}

/// Forwards the requests of other hosts to mailboxes and returns the responses.
#[derive(Debug, Clone)]
struct Server(Mailboxes);

impl Peer for Server {
    async fn sync(self, _: context::Context, request: messages::Request) -> messages::Response {
        let (reply, response) = oneshot::channel();
        // The mailbox is closed while the host stops; the response is then empty.
        if self.0.calls.send((request, reply)).await.is_err() {
            return messages::Response::default();
        }
        response.await.unwrap_or_default()
    }

    async fn permit(
        self,
        _: context::Context,
        request: messages::PermitRequest,
    ) -> messages::PermitResponse {
        let (reply, response) = oneshot::channel();
        // The mailbox is closed while the host stops; the response then grants nothing.
        if self.0.permits.send((request, reply)).await.is_err() {
            return messages::PermitResponse::default();
        }
        response.await.unwrap_or_default()
    }

    async fn report(self, _: context::Context, evidence: messages::Evidence) {
        // Fails only while the host stops, when it sends nothing any more.
        let _ = self.0.evidence.send(evidence).await;
    }

    async fn hear(self, _: context::Context, reports: messages::Prefix) {
        // Dropped while the host is busy or stops; they are news for a short time only.
        let _ = self.0.reports.try_send(reports);
    }
}

/// Accepts connections of other hosts and forwards their requests to the mailboxes. Does not return.
pub async fn serve(listener: TcpListener, mailboxes: Mailboxes) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection of another host: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("connection of another host closed right after it was accepted: {error}");
            continue;
        }
        let transport = serde_transport::new(framing().new_framed(stream), Bincode::default());
        let channel = BaseChannel::new(server::Config::default(), transport);
        let requests = channel.execute(Server(mailboxes.clone()).serve());
        tokio::spawn(async move {
            let mut requests = pin!(requests);
            while let Some(request) = requests.next().await {
                tokio::spawn(request);
            }
        });
    }
}

/// Connections to other hosts; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    /// Sorted by address.
    open: Rc<RefCell<Vec<(SocketAddr, PeerClient)>>>,
}

impl Peers {
    /// Sends a request to a host. `None` if it failed or timed out; its connection is then closed.
    pub async fn sync(
        &self,
        address: SocketAddr,
        request: messages::Request,
    ) -> Option<messages::Response> {
        self.exchange(address, SYNC_TIMEOUT, async move |client, context| {
            client.sync(context, request).await.ok()
        })
        .await
    }

    /// Asks a host for a permit. `None` if it failed or timed out; its connection is then closed.
    pub async fn permit(
        &self,
        address: SocketAddr,
        request: messages::PermitRequest,
    ) -> Option<messages::PermitResponse> {
        self.exchange(address, PERMIT_TIMEOUT, async move |client, context| {
            client.permit(context, request).await.ok()
        })
        .await
    }

    /// Reports evidence about crashes to a host. `None` if it failed or timed out; its connection is then closed.
    pub async fn report(&self, address: SocketAddr, evidence: messages::Evidence) -> Option<()> {
        self.exchange(address, REPORT_TIMEOUT, async move |client, context| {
            client.report(context, evidence).await.ok()
        })
        .await
    }

    /// Passes on to a host what upstreams reported of their load. `None` if it failed or timed out; its connection is then
    /// closed.
    pub async fn hear(&self, address: SocketAddr, reports: messages::Prefix) -> Option<()> {
        self.exchange(address, REPORT_TIMEOUT, async move |client, context| {
            client.hear(context, reports).await.ok()
        })
        .await
    }

    async fn exchange<T>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl AsyncFnOnce(PeerClient, context::Context) -> Option<T>,
    ) -> Option<T> {
        let exchange = async {
            let client = match self.get(address) {
                Some(client) => client,
                None => self.connect(address).await?,
            };
            let mut context = context::current();
            context.deadline = Instant::now().into_std() + limit;
            call(client, context).await
        };
        let response = timeout(limit, exchange).await.ok().flatten();
        if response.is_none() {
            self.close(address);
        }
        response
    }

    fn get(&self, address: SocketAddr) -> Option<PeerClient> {
        let open = self.open.borrow();
        let index = open.binary_search_by_key(&address, |it| it.0).ok()?;
        Some(open[index].1.clone())
    }

    async fn connect(&self, address: SocketAddr) -> Option<PeerClient> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let transport = serde_transport::new(framing().new_framed(stream), Bincode::default());
        let client = PeerClient::new(client::Config::default(), transport).spawn();
        let mut open = self.open.borrow_mut();
        match open.binary_search_by_key(&address, |it| it.0) {
            Ok(index) => open[index].1 = client.clone(),
            Err(index) => open.insert(index, (address, client.clone())),
        }
        Some(client)
    }

    fn close(&self, address: SocketAddr) {
        self.open.borrow_mut().retain(|it| it.0 != address);
    }
}

/// Frames messages by a length prefix.
fn framing() -> length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}
