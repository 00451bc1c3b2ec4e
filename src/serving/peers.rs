//! Connections between hosts.

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

use crate::serving::messages::{Peer, PeerClient, SyncRequest, SyncResponse};

/// Time for an answer, with the connection that it may need. A host that takes longer is passed over. The largest value of
/// the store, 1 MB, takes 0.84 s over the users' slowest link of 10 Mbit/s; hosts that gave up sooner would ask the next host for
/// it again, until the links carry nothing else.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Largest message, in bytes; a configuration with all upstreams must fit.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// A question with the place for its answer.
pub type Call = (SyncRequest, oneshot::Sender<SyncResponse>);

/// Answers the questions of other hosts through a mailbox.
#[derive(Debug, Clone)]
struct Server {
    calls: mpsc::Sender<Call>,
}

impl Peer for Server {
    async fn sync(self, _: context::Context, request: SyncRequest) -> SyncResponse {
        let (answer, answered) = oneshot::channel();
        // A host that stops has nothing to tell.
        if self.calls.send((request, answer)).await.is_err() {
            return SyncResponse::default();
        }
        answered.await.unwrap_or_default()
    }
}

/// Serves other hosts until the mailbox is closed.
pub async fn serve(listener: TcpListener, calls: mpsc::Sender<Call>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("another host's connection could not be accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("another host left at once: {error}");
            continue;
        }
        let transport = serde_transport::new(frames().new_framed(stream), Bincode::default());
        let channel = BaseChannel::new(server::Config::default(), transport);
        let requests = channel.execute(Server { calls: calls.clone() }.serve());
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
    /// Asks a host. `None` if it did not answer in time; its connection is then given up.
    pub async fn sync(&self, address: SocketAddr, question: SyncRequest) -> Option<SyncResponse> {
        let answer = timeout(ANSWER_TIMEOUT, self.exchange(address, question)).await.ok().flatten();
        if answer.is_none() {
            self.close(address);
        }
        answer
    }

    async fn exchange(&self, address: SocketAddr, question: SyncRequest) -> Option<SyncResponse> {
        let client = match self.get(address) {
            Some(client) => client,
            None => self.connect(address).await?,
        };
        let mut context = context::current();
        context.deadline = Instant::now().into_std() + ANSWER_TIMEOUT;
        client.sync(context, question).await.ok()
    }

    fn get(&self, address: SocketAddr) -> Option<PeerClient> {
        let open = self.open.borrow();
        let found = open.binary_search_by_key(&address, |it| it.0).ok()?;
        Some(open[found].1.clone())
    }

    async fn connect(&self, address: SocketAddr) -> Option<PeerClient> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let transport = serde_transport::new(frames().new_framed(stream), Bincode::default());
        let client = PeerClient::new(client::Config::default(), transport).spawn();
        let mut open = self.open.borrow_mut();
        match open.binary_search_by_key(&address, |it| it.0) {
            Ok(at) => open[at].1 = client.clone(),
            Err(at) => open.insert(at, (address, client.clone())),
        }
        Some(client)
    }

    fn close(&self, address: SocketAddr) {
        self.open.borrow_mut().retain(|it| it.0 != address);
    }
}

/// Framing of messages.
fn frames() -> length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}
