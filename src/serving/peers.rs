//! RPC connections between hosts.

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use futures::StreamExt as _;
use tarpc::{
    client, context, serde_transport,
    server::{self, BaseChannel, Channel as _},
    tokio_serde::formats::Bincode,
    tokio_util::codec::length_delimited::{self, LengthDelimitedCodec},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    serving::messages::{self, Peer, PeerClient},
    time::Time,
};

/// Time-out of a sync request, including a connect if there is no connection.
///
/// The largest value of the store, 1 MB, takes 0.84 s over the users' slowest link of 10 Mbit/s.
/// With a shorter time-out hosts would request it again from the next host, until the links carry
/// nothing else.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Pause in a sync response that is under way after the time-out, after which it is given up. The rest of a large response
/// is worth more than the same response from the beginning.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// Time-out of a sync request whose response is under way.
const LONGEST_SYNC: Duration = Duration::from_millis(5_000);

/// Time-out of a request for a permit, including a connect. A permit is of no use much later.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum size of a message, in bytes. A configuration and the entries of all upstreams must fit.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Largest sync response after which a connection is used again, in bytes. The buffers of both ends stay as large as the
/// largest message, so that a hub would keep a copy of a large configuration for each member.
const MAX_KEPT_BYTES: u64 = 128 << 10;

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
    open: Rc<RefCell<Vec<(SocketAddr, Connection)>>>,
}

#[derive(Debug, Clone)]
struct Connection {
    client: PeerClient,
    /// When bytes last arrived.
    read_at: Arc<AtomicU64>,
}

impl Connection {
    fn read_at(&self) -> Time {
        Time(self.read_at.load(Ordering::Relaxed))
    }
}

/// A stream that notes when bytes arrive.
struct Observed {
    stream: TcpStream,
    read_at: Arc<AtomicU64>,
}

impl AsyncRead for Observed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.read_at.store(Time::now().0, Ordering::Relaxed);
        }
        result
    }
}

impl AsyncWrite for Observed {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Peers {
    /// Sends a request to a host. `None` if it failed or timed out; its connection is then closed. A response that is under
    /// way at the time-out is received as long as more of it arrives.
    pub async fn sync(
        &self,
        address: SocketAddr,
        request: messages::Request,
    ) -> Option<messages::Response> {
        let limits = (SYNC_TIMEOUT, LONGEST_SYNC);
        let response = self
            .exchange(address, limits, async move |client, context| {
                client.sync(context, request).await.ok()
            })
            .await?;
        if response.sizes().map(|it| it.1).sum::<u64>() > MAX_KEPT_BYTES {
            self.close(address);
        }
        Some(response)
    }

    /// Asks a host for a permit. `None` if it failed or timed out; its connection is then closed.
    pub async fn permit(
        &self,
        address: SocketAddr,
        request: messages::PermitRequest,
    ) -> Option<messages::PermitResponse> {
        self.exchange(address, (PERMIT_TIMEOUT, PERMIT_TIMEOUT), async move |client, context| {
            client.permit(context, request).await.ok()
        })
        .await
    }

    /// Reports evidence about crashes to a host. `None` if it failed or timed out; its connection is then closed.
    pub async fn report(&self, address: SocketAddr, evidence: messages::Evidence) -> Option<()> {
        self.exchange(address, (REPORT_TIMEOUT, REPORT_TIMEOUT), async move |client, context| {
            client.report(context, evidence).await.ok()
        })
        .await
    }

    /// Passes on to a host what upstreams reported of their load. `None` if it failed or timed out; its connection is then
    /// closed.
    pub async fn hear(&self, address: SocketAddr, reports: messages::Prefix) -> Option<()> {
        self.exchange(address, (REPORT_TIMEOUT, REPORT_TIMEOUT), async move |client, context| {
            client.hear(context, reports).await.ok()
        })
        .await
    }

    async fn exchange<T>(
        &self,
        address: SocketAddr,
        (limit, longest): (Duration, Duration),
        call: impl AsyncFnOnce(PeerClient, context::Context) -> Option<T>,
    ) -> Option<T> {
        let exchange = async {
            let connection = match self.get(address) {
                Some(connection) => connection,
                None => self.connect(address).await?,
            };
            let mut context = context::current();
            context.deadline = Instant::now().into_std() + longest;
            call(connection.client, context).await
        };
        let mut exchange = pin!(exchange);
        let (start, started_at) = (Instant::now(), Time::now());
        let mut end = start + limit;
        let response = loop {
            if let Ok(response) = timeout_at(end, &mut exchange).await {
                break response;
            }
            let read_at = self.get(address).map(|it| it.read_at()).filter(|it| *it > started_at);
            let pause = read_at.map(|it| Duration::from(Time::now().since(it)));
            match pause {
                Some(pause) if pause < MAX_PAUSE && end < start + longest => {
                    end = (Instant::now() + (MAX_PAUSE - pause)).min(start + longest);
                }
                _ => break None,
            }
        };
        if response.is_none() {
            self.close(address);
        }
        response
    }

    fn get(&self, address: SocketAddr) -> Option<Connection> {
        let open = self.open.borrow();
        let index = open.binary_search_by_key(&address, |it| it.0).ok()?;
        Some(open[index].1.clone())
    }

    async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let read_at = Arc::new(AtomicU64::new(0));
        let stream = Observed { stream, read_at: read_at.clone() };
        let transport = serde_transport::new(framing().new_framed(stream), Bincode::default());
        let client = PeerClient::new(client::Config::default(), transport).spawn();
        let connection = Connection { client, read_at };
        let mut open = self.open.borrow_mut();
        match open.binary_search_by_key(&address, |it| it.0) {
            Ok(index) => open[index].1 = connection.clone(),
            Err(index) => open.insert(index, (address, connection.clone())),
        }
        Some(connection)
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
