//! A second connection to an upstream whose response ends with its connection. If the process of the upstream ends, both
//! connections do.

use std::{
    io::{self, ErrorKind},
    sync::Arc,
    time::Duration,
};

use rustix::net::RecvFlags;
use tokio::{
    net::{TcpStream, ToSocketAddrs},
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    error::Kind,
    time::{Span, Time},
    wire::Ending,
};

/// Timeout for a connection to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time in which a process that ends closes all its sockets.
const EXIT_TIME: Span = Span::from_ms(50);

/// Time in which a proxy closes a connection that it accepted for an upstream which it does not reach.
const REJECT_TIME: Duration = Duration::from_millis(10);

/// Time after which an upstream may close an idle connection. One that was open for so long is opened again, which shows that
/// the process lives on.
const MIN_IDLE_TIME: Span = Span::from_ms(500);

/// State of the second connection.
#[derive(Debug, Clone)]
enum State {
    /// It is not open yet, cannot be opened, or was reset at once, as by an upstream with too many connections.
    Absent,
    /// It was open when the task last ran. The one before, if any, was closed at this time.
    Open(Arc<TcpStream>, Option<Time>),
    /// The upstream closed it, or sent bytes, at this time.
    Closed(Time),
    /// The upstream closed it, and no other one could be opened. Another process may listen at the address later.
    Lost(ErrorKind),
}

/// Handle to the second connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct Witness {
    /// Id or address of the upstream, for log lines.
    upstream: Arc<str>,
    state: watch::Receiver<State>,
    task: JoinHandle<()>,
}

impl Witness {
    /// Opens the connection in the background. Must be called in a runtime.
    pub fn spawn(
        upstream: Arc<str>,
        address: impl ToSocketAddrs + Send + Sync + 'static,
    ) -> Witness {
        let (sender, state) = watch::channel(State::Absent);
        Witness { upstream, state, task: tokio::spawn(observe(address, sender)) }
    }

    /// Confirms that a response is complete that ended with its connection, which was last seen open at a time. The upstream
    /// must have outlived it. If the second connection does not tell, a new one does, which `reconnect` opens.
    ///
    /// # Errors
    /// `UpstreamCut` if the response may not be complete, `UpstreamTimeout` after `limit`. The ending is `Failed` only if the
    /// process of the upstream seems to have ended.
    pub async fn confirm_end(
        &self,
        last_open: Time,
        limit: Duration,
        reconnect: impl Future<Output = io::Result<()>>,
    ) -> Result<(), (Kind, Ending)> {
        let error = match timeout(limit, self.check_outlives(last_open, reconnect)).await {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(error)) => error,
            Err(_) => return Err((Kind::UpstreamTimeout, Ending::Unused)),
        };
        log::info!(
            "an answer of {} ends with its connection and may not be complete: {error}",
            self.upstream
        );
        let ending = match error.kind() {
            ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted => Ending::Failed,
            _ => Ending::Unused,
        };
        Err((Kind::UpstreamCut, ending))
    }

    async fn check_outlives(
        &self,
        last_open: Time,
        reconnect: impl Future<Output = io::Result<()>>,
    ) -> io::Result<()> {
        sleep(EXIT_TIME.into()).await;
        let state = self.state.borrow().clone();
        let closed_together = |at: Time| last_open.since(at) < EXIT_TIME;
        match state {
            State::Open(_, Some(at)) | State::Closed(at) if closed_together(at) => {
                Err(ErrorKind::ConnectionAborted.into())
            }
            State::Open(stream, _) if is_open(&stream) => Ok(()),
            State::Open(..) => Err(ErrorKind::ConnectionAborted.into()),
            State::Lost(kind) => Err(kind.into()),
            // The upstream may have closed an idle connection.
            State::Closed(_) | State::Absent => reconnect.await,
        }
    }
}

impl Drop for Witness {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn observe(address: impl ToSocketAddrs, state: watch::Sender<State>) {
    let mut closed_at = None;
    loop {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await;
        let stream = match connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
            Ok(stream) => Arc::new(stream),
            Err(error) if closed_at.is_some() => {
                state.send_replace(State::Lost(error.kind()));
                return;
            }
            Err(_) => return,
        };
        let opened_at = Time::now();
        state.send_replace(State::Open(stream.clone(), closed_at));
        // Nothing is sent on the connection, so that bytes from the upstream end it as well.
        let peeked = stream.peek(&mut [0]).await;
        let now = Time::now();
        let is_reset = peeked.is_err_and(|it| it.kind() == ErrorKind::ConnectionReset);
        if is_reset && closed_at.is_none() && now.since(opened_at) < EXIT_TIME {
            state.send_replace(State::Absent);
            return;
        }
        closed_at = Some(now);
        state.send_replace(State::Closed(now));
        if now.since(opened_at) < MIN_IDLE_TIME {
            return;
        }
        sleep(EXIT_TIME.into()).await;
    }
}

/// Whether a connection on which nothing arrives is open. The runtime may not have noticed its end yet.
fn is_open(stream: &TcpStream) -> bool {
    let peeked = rustix::net::recv(stream, &mut [0], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    matches!(peeked, Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR))
}

/// Opens a new connection to an upstream that has closed one.
///
/// # Errors
/// If the upstream accepts no connection in time, or closes it at once.
pub async fn reconnect(address: impl ToSocketAddrs) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    if timeout(REJECT_TIME, stream.peek(&mut [0])).await.is_ok() {
        return Err(ErrorKind::ConnectionAborted.into());
    }
    Ok(stream)
}
