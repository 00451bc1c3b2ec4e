//! Connections of callers: a layer between the sockets and the HTTP server.
//!
//! The HTTP server reads from a connection only between requests, so this layer detects a caller that disconnects while
//! its request is in progress. The server also ignores body bytes that it has read already if the caller expects
//! `100 Continue`; this layer holds them back until the server reads the body.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    io,
    net::{Shutdown, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::{Buf as _, Bytes, BytesMut};
use tokio::{
    io::Interest,
    net::TcpStream,
    sync::Notify,
    time::{sleep, timeout},
};
use xitca_io::io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut};
use xitca_service::Service;

/// Most bytes that one read takes from a socket.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Interval at which a connection is checked for a disconnect while a pipelined request waits to be read. The socket is
/// always readable then, so that readiness cannot be awaited.
const PIPELINED_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time for a caller to close its side after the last response. Closing the socket earlier could reset the connection
/// before the caller has read the response.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time from bytes that are left unread to the reset of their connection. The caller reads the last response meanwhile; a
/// request that ends without an answer later than 200 ms counts as lost.
const RESET_DELAY: Duration = Duration::from_millis(100);

/// Time that a stopping host waits for the rest of a request that has begun to arrive, or for the first request of a
/// new connection, before it closes the connection. Callers leave a host that has not read their request after a
/// second.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connection of a caller. Clones share the socket.
#[derive(Debug, Clone)]
pub struct Connection {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    /// Bytes that were received and not yet passed to the HTTP server.
    unread: RefCell<Bytes>,
    /// Whether a request is in progress; the server serves one request at a time.
    busy: Cell<bool>,
    /// Whether the server is waiting for bytes.
    awaiting_bytes: Cell<bool>,
    /// Whether the last answer has been given, after which no request is run.
    is_closing: Cell<bool>,
    /// Whether a request may be arriving: none has been served yet, or bytes were received after the last one.
    request_expected: Cell<bool>,
    /// Whether bytes have arrived since the last request was served: an incomplete request, if the server closes now.
    has_partial_request: Cell<bool>,
    /// Whether the body of the last request was not read to its end.
    has_unread_body: Cell<bool>,
    /// Notified when a request begins or ends, and when the server starts to wait for bytes.
    state_changed: Notify,
}

/// Marks a connection as busy with a request. Dropping it ends the request.
#[derive(Debug)]
pub struct RequestGuard {
    connection: Connection,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.shared.busy.set(false);
        self.connection.shared.request_expected.set(false);
        self.connection.shared.has_partial_request.set(false);
        self.connection.shared.state_changed.notify_waiters();
    }
}

impl Connection {
    /// Wraps an accepted socket.
    pub fn new(stream: TcpStream) -> Connection {
        let shared = Shared {
            stream,
            unread: RefCell::default(),
            busy: Cell::new(false),
            awaiting_bytes: Cell::new(false),
            is_closing: Cell::new(false),
            request_expected: Cell::new(true),
            has_partial_request: Cell::new(false),
            has_unread_body: Cell::new(false),
            state_changed: Notify::new(),
        };
        Connection { shared: Rc::new(shared) }
    }

    /// Marks the connection as busy with a request until the guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        self.shared.busy.set(true);
        self.shared.state_changed.notify_waiters();
        RequestGuard { connection: self.clone() }
    }

    /// Marks the answer to the request in progress as the last one.
    pub fn close_after_answer(&self) {
        self.shared.is_closing.set(true);
    }

    /// Marks the body of the request in progress as not read to its end.
    pub fn abandon_body(&self) {
        self.shared.has_unread_body.set(true);
    }

    /// Whether the last answer has been given. The HTTP server still reads requests that were pipelined behind it, which
    /// the caller takes as not run.
    pub fn is_closing(&self) -> bool {
        self.shared.is_closing.get()
    }

    /// Whether a request is in progress.
    pub fn is_busy(&self) -> bool {
        self.shared.busy.get()
    }

    /// Waits until the caller disconnects during a request. Disconnects between requests are left to the HTTP server.
    pub async fn disconnected(&self) {
        loop {
            if !self.shared.busy.get() {
                self.shared.state_changed.notified().await;
                continue;
            }
            let ready = tokio::select! {
                ready = self.shared.stream.ready(Interest::READABLE) => ready,
                () = self.shared.state_changed.notified() => continue,
            };
            match ready {
                Ok(ready) if ready.is_read_closed() && self.shared.busy.get() => return,
                Ok(_) => sleep(PIPELINED_POLL_INTERVAL).await,
                Err(_) => return,
            }
        }
    }

    /// Waits until the connection is idle: every response has been written, the server is waiting for a request, and
    /// none is arriving.
    pub async fn wait_idle(&self) {
        loop {
            while self.shared.busy.get() || !self.shared.awaiting_bytes.get() {
                self.shared.state_changed.notified().await;
            }
            if !self.shared.request_expected.get() {
                return;
            }
            let next_change = timeout(REQUEST_TIMEOUT, self.shared.state_changed.notified()).await;
            if next_change.is_err() {
                return;
            }
        }
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            self.shared.stream.readable().await?;
            match self.shared.stream.try_read(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }
}

/// Returns how many bytes may be passed to the HTTP server at once: all, or only the head if the caller expects
/// `100 Continue`.
fn deliverable_len(bytes: &[u8]) -> usize {
    let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") else { return bytes.len() };
    let head = &bytes[..end];
    let expects_continue = head.windows(9).any(|it| it.eq_ignore_ascii_case(b"\r\nexpect:"));
    if expects_continue { end + 4 } else { bytes.len() }
}

impl AsyncBufRead for Connection {
    async fn read<B>(&self, mut buf: B) -> (io::Result<usize>, B)
    where
        B: BoundedBufMut,
    {
        let space = buf.bytes_total() - buf.bytes_init();
        if self.shared.unread.borrow().is_empty() {
            let mut read = BytesMut::zeroed(space.min(READ_BUFFER_BYTES));
            self.shared.awaiting_bytes.set(true);
            self.shared.state_changed.notify_waiters();
            let received = self.receive(&mut read).await;
            self.shared.awaiting_bytes.set(false);
            match received {
                Ok(length) => {
                    self.shared.request_expected.set(true);
                    self.shared.has_partial_request.set(true);
                    read.truncate(length);
                }
                Err(error) => return (Err(error), buf),
            }
            *self.shared.unread.borrow_mut() = read.freeze();
        }
        let mut unread = self.shared.unread.borrow_mut();
        let length = deliverable_len(&unread).min(space);
        buf.put_slice(&unread[..length]);
        unread.advance(length);
        (Ok(length), buf)
    }
}

impl AsyncBufWrite for Connection {
    async fn write<B>(&self, buf: B) -> (io::Result<usize>, B)
    where
        B: BoundedBuf,
    {
        loop {
            if let Err(error) = self.shared.stream.writable().await {
                return (Err(error), buf);
            }
            match self.shared.stream.try_write(buf.chunk()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return (result, buf),
            }
        }
    }

    /// Closes the sending side and waits for the caller to close its side.
    ///
    /// The rest of an incomplete request is read, since unread bytes would reset the connection before the caller has read
    /// why it was refused. Anything else is left unread: the reset tells the caller that a request which crossed the close
    /// was not read.
    async fn shutdown(self, _: Shutdown) -> io::Result<()> {
        rustix::net::shutdown(&self.shared.stream, rustix::net::Shutdown::Write)?;
        if self.shared.has_partial_request.get() || self.shared.has_unread_body.get() {
            let mut rest = [0; 1_024];
            let drained = async { while self.receive(&mut rest).await.is_ok_and(|it| it > 0) {} };
            // On a timeout the socket is closed anyway; the caller had time to read the response.
            let _ = timeout(CLOSE_TIMEOUT, drained).await;
            return Ok(());
        }
        let mut byte = [0];
        // On a timeout the socket is closed anyway; the caller had time to read the response.
        let peeked = timeout(CLOSE_TIMEOUT, self.shared.stream.peek(&mut byte)).await;
        if matches!(peeked, Ok(Ok(length)) if length > 0) {
            log::info!(
                "a caller sent more after the last answer of its connection; it is not read, and the connection is reset"
            );
            sleep(RESET_DELAY).await;
        }
        Ok(())
    }
}

/// Open connections of callers, by address. Clones share the list.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    /// Sorted by address.
    open: Rc<RefCell<Vec<(SocketAddr, Connection)>>>,
}

impl Connections {
    /// Adds a connection that was accepted.
    pub fn insert(&self, caller: SocketAddr, connection: Connection) {
        let mut open = self.open.borrow_mut();
        let at = open.partition_point(|it| it.0 < caller);
        open.insert(at, (caller, connection));
    }

    /// Removes a connection that was closed.
    pub fn remove(&self, caller: SocketAddr) {
        let mut open = self.open.borrow_mut();
        if let Ok(at) = open.binary_search_by_key(&caller, |it| it.0) {
            open.remove(at);
        }
    }

    /// Returns the connection of a caller; `None` after it was closed.
    pub fn get(&self, caller: SocketAddr) -> Option<Connection> {
        let open = self.open.borrow();
        let at = open.binary_search_by_key(&caller, |it| it.0).ok()?;
        Some(open[at].1.clone())
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }
}

/// Service that wraps each accepted socket in a `Connection` for the HTTP server.
#[derive(Debug, Clone)]
pub struct Acceptor {
    /// List to which each accepted connection is added.
    pub connections: Connections,
}

impl Service<()> for Acceptor {
    type Response = Acceptor;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<Acceptor, Infallible> {
        Ok(self.clone())
    }
}

impl Service<xitca_io::net::TcpStream> for Acceptor {
    type Response = Connection;
    /// The caller has disconnected already.
    type Error = ();

    async fn call(&self, stream: xitca_io::net::TcpStream) -> Result<Connection, ()> {
        let stream = stream.into_std().and_then(TcpStream::from_std).map_err(|_| ())?;
        let caller = stream.peer_addr().map_err(|_| ())?;
        let connection = Connection::new(stream);
        self.connections.insert(caller, connection.clone());
        Ok(connection)
    }
}
