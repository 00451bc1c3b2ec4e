//! Connections of callers, between the sockets and the HTTP server.
//!
//! The HTTP server reads a connection only between requests. A caller that leaves while its request runs is therefore
//! noticed here. The server also does not look at body bytes that it holds already when a caller expects
//! `100 Continue`, so that these are held back here until it reads the body.

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

/// Bytes that are read at once.
const READ_BYTES: usize = 16 << 10;

/// Pause between looks at a connection on which a further request waits to be read.
const PIPELINED_PAUSE: Duration = Duration::from_millis(100);

/// Time for a caller to close its side after the last answer, so that the answer is not lost to a reset.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for the rest of a request that has begun to come, or the first one of a new connection, before a host that stops closes the
/// connection: callers leave a host that has not read their request after a second.
const REQUEST_TIME: Duration = Duration::from_millis(1_000);

/// A caller's connection. Clones share the socket.
#[derive(Debug, Clone)]
pub struct CallerConnection {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    /// Bytes that were read and not yet given to the HTTP server.
    held: RefCell<Bytes>,
    /// Whether a request is in progress; the server takes one after the other.
    busy: Cell<bool>,
    /// Whether the server waits for bytes.
    reading: Cell<bool>,
    /// Whether a request may be on its way: none was served yet, or bytes came after the last one.
    expects: Cell<bool>,
    changed: Notify,
}

/// Marks a connection as busy with a request until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    connection: CallerConnection,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.shared.busy.set(false);
        self.connection.shared.expects.set(false);
        self.connection.shared.changed.notify_waiters();
    }
}

impl CallerConnection {
    /// Takes over an accepted socket.
    pub fn new(stream: TcpStream) -> CallerConnection {
        let shared = Shared {
            stream,
            held: RefCell::default(),
            busy: Cell::new(false),
            reading: Cell::new(false),
            expects: Cell::new(true),
            changed: Notify::new(),
        };
        CallerConnection { shared: Rc::new(shared) }
    }

    /// Marks the connection as busy with a request.
    pub fn begin_request(&self) -> RequestGuard {
        self.shared.busy.set(true);
        self.shared.changed.notify_waiters();
        RequestGuard { connection: self.clone() }
    }

    /// Whether a request is in progress.
    pub fn is_busy(&self) -> bool {
        self.shared.busy.get()
    }

    /// Waits until the caller leaves while a request of it is in progress.
    pub async fn disconnected(&self) {
        loop {
            if !self.shared.busy.get() {
                self.shared.changed.notified().await;
                continue;
            }
            let ready = tokio::select! {
                ready = self.shared.stream.ready(Interest::READABLE) => ready,
                () = self.shared.changed.notified() => continue,
            };
            match ready {
                Ok(ready) if ready.is_read_closed() && self.shared.busy.get() => return,
                Ok(_) => sleep(PIPELINED_PAUSE).await,
                Err(_) => return,
            }
        }
    }

    /// Waits until the server waits for a request, with every earlier answer written, and none seems to be on its way.
    pub async fn wait_idle(&self) {
        loop {
            while self.shared.busy.get() || !self.shared.reading.get() {
                self.shared.changed.notified().await;
            }
            if !self.shared.expects.get() {
                return;
            }
            let came = timeout(REQUEST_TIME, self.shared.changed.notified()).await;
            if came.is_err() {
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

/// Length of what may be given to the HTTP server at once: all, or a head whose caller expects `100 Continue`.
fn unit(bytes: &[u8]) -> usize {
    let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") else { return bytes.len() };
    let head = &bytes[..end];
    let expects = head.windows(9).any(|it| it.eq_ignore_ascii_case(b"\r\nexpect:"));
    if expects { end + 4 } else { bytes.len() }
}

impl AsyncBufRead for CallerConnection {
    async fn read<B>(&self, mut buf: B) -> (io::Result<usize>, B)
    where
        B: BoundedBufMut,
    {
        let room = buf.bytes_total() - buf.bytes_init();
        if self.shared.held.borrow().is_empty() {
            let mut read = BytesMut::zeroed(room.min(READ_BYTES));
            self.shared.reading.set(true);
            self.shared.changed.notify_waiters();
            let received = self.receive(&mut read).await;
            self.shared.reading.set(false);
            match received {
                Ok(length) => {
                    self.shared.expects.set(true);
                    read.truncate(length);
                }
                Err(error) => return (Err(error), buf),
            }
            *self.shared.held.borrow_mut() = read.freeze();
        }
        let mut held = self.shared.held.borrow_mut();
        let length = unit(&held).min(room);
        buf.put_slice(&held[..length]);
        held.advance(length);
        (Ok(length), buf)
    }
}

impl AsyncBufWrite for CallerConnection {
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

    /// Ends the answers and waits for the caller's end; unread bytes would reset the connection.
    async fn shutdown(self, _: Shutdown) -> io::Result<()> {
        rustix::net::shutdown(&self.shared.stream, rustix::net::Shutdown::Write)?;
        let mut rest = [0; 1_024];
        let drained = async { while self.receive(&mut rest).await.is_ok_and(|it| it > 0) {} };
        // A caller that does not close in time has had its answer.
        let _ = timeout(CLOSE_TIMEOUT, drained).await;
        Ok(())
    }
}

/// The callers' connections that are open, by address. Clones share the list.
#[derive(Debug, Clone, Default)]
pub struct CallerConnections {
    /// Sorted by address.
    open: Rc<RefCell<Vec<(SocketAddr, CallerConnection)>>>,
}

impl CallerConnections {
    /// Registers a connection.
    pub fn insert(&self, caller: SocketAddr, connection: CallerConnection) {
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

    /// Connection of a caller.
    pub fn get(&self, caller: SocketAddr) -> Option<CallerConnection> {
        let open = self.open.borrow();
        let at = open.binary_search_by_key(&caller, |it| it.0).ok()?;
        Some(open[at].1.clone())
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }
}

/// Service that gives the HTTP server its connection in place of the bare socket.
#[derive(Debug, Clone)]
pub struct Acceptor {
    /// Takes each connection.
    pub connections: CallerConnections,
}

impl Service<()> for Acceptor {
    type Response = Acceptor;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<Acceptor, Infallible> {
        Ok(self.clone())
    }
}

impl Service<xitca_io::net::TcpStream> for Acceptor {
    type Response = CallerConnection;
    /// The caller has left already.
    type Error = ();

    async fn call(&self, stream: xitca_io::net::TcpStream) -> Result<CallerConnection, ()> {
        let stream = stream.into_std().and_then(TcpStream::from_std).map_err(|_| ())?;
        let caller = stream.peer_addr().map_err(|_| ())?;
        let connection = CallerConnection::new(stream);
        self.connections.insert(caller, connection.clone());
        Ok(connection)
    }
}
