//! A second connection to an upstream whose response ends with its connection. If the process of the upstream ends, both
//! connections do.

use std::{
    io::{self, ErrorKind},
    sync::Arc,
    time::Duration,
};

use rustix::{io::Errno, net::RecvFlags};
use tokio::{
    net::{TcpStream, ToSocketAddrs},
    sync::watch,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::time::{Span, Time};

/// Timeout for a connection to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time in which a process that ends closes all its sockets. One with 4,000 connections took up to 29 ms.
const EXIT_TIME: Span = Span::from_ms(50);

/// Time in which a proxy closes a connection that it accepted for an upstream which it does not reach.
const REJECT_TIME: Duration = Duration::from_millis(10);

/// Time after which an upstream may close an idle connection. One that was open for so long is opened again, which shows that
/// the process lives on.
const MIN_IDLE_TIME: Span = Span::from_ms(500);

/// State of the second connection.
#[derive(Debug, Clone)]
enum State {
    /// It is not open yet, or cannot be opened.
    Absent,
    /// It was open when its task ran last. The one before, if any, was closed at this time.
    Open(Arc<TcpStream>, Option<Time>),
    /// The upstream closed it at this time.
    Closed(Time),
    /// The upstream closed it, and no other one could be opened. Another process may listen at the address later.
    Lost(ErrorKind),
}

/// Handle to the second connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct Witness {
    state: watch::Receiver<State>,
    task: JoinHandle<()>,
}

impl Witness {
    /// Opens the connection in the background.
    pub fn spawn(address: impl ToSocketAddrs + Send + Sync + 'static) -> Witness {
        let (sender, state) = watch::channel(State::Absent);
        Witness { state, task: tokio::spawn(observe(address, sender)) }
    }

    /// Confirms that the upstream has outlived a response that ended with its connection just now. If the second connection
    /// does not tell, a new one does, which `reconnect` opens.
    ///
    /// # Errors
    /// `ConnectionAborted` if both connections ended together, or the error of `reconnect`.
    pub async fn confirm_end(
        &self,
        reconnect: impl Future<Output = io::Result<()>>,
    ) -> io::Result<()> {
        let ended_at = Time::now();
        sleep(EXIT_TIME.into()).await;
        let state = self.state.borrow().clone();
        let closed_together = |at: Time| ended_at.since(at) < EXIT_TIME;
        match state {
            State::Open(_, Some(at)) | State::Closed(at) if closed_together(at) => {
                Err(ErrorKind::ConnectionAborted.into())
            }
            // The task may not have run since the connection was closed.
            State::Open(stream, _) if !is_open(&stream) => Err(ErrorKind::ConnectionAborted.into()),
            State::Open(..) => Ok(()),
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
        let _ = stream.peek(&mut [0]).await;
        let now = Time::now();
        closed_at = Some(now);
        state.send_replace(State::Closed(now));
        if now.since(opened_at) < MIN_IDLE_TIME {
            return;
        }
        sleep(EXIT_TIME.into()).await;
    }
}

/// Whether neither bytes nor the end have arrived on a connection.
fn is_open(stream: &TcpStream) -> bool {
    let received = rustix::net::recv(stream, &mut [0_u8; 1], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    matches!(received, Err(Errno::AGAIN | Errno::INTR))
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
