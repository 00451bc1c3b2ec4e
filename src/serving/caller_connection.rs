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

use bytes::{Buf as _, Bytes};
use tokio::{
    io::Interest,
    net::TcpStream,
    sync::Notify,
    time::{sleep, timeout},
};
use xitca_io::io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut};
use xitca_service::Service;

use crate::{
    error::{Error, Kind},
    metrics::Metrics,
    serving::{
        handler,
        intake::{Full, Intake, Room, Stage},
        table::Limits,
    },
    time::{Span, Time},
};

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

/// Most bytes of a head that one read takes from a socket. Connections that wait for a request reserve as much.
const HEAD_READ_BYTES: usize = 4 << 10;

/// Bytes of a head that are passed on beyond the configured limit, which counts neither the request line's method nor
/// blanks. The handler checks heads that are whole.
const HEAD_SLACK_BYTES: usize = 4 << 10;

/// Bytes on the wire for a byte of a body: a chunk of one byte takes six.
const MAX_CHUNKED_RATIO: usize = 8;

/// Bytes of chunk sizes, extensions and trailers beyond that.
const CHUNKED_SLACK_BYTES: usize = 64 << 10;

/// Bytes that the connection to the upstream and the answer's frames take while the caller does not read.
const PAUSED_ANSWER_BYTES: usize = 64 << 10;

/// Time after which a blocked write counts as an answer that is not read.
const UNREAD_DELAY: Duration = Duration::from_millis(200);

/// Least time between two log lines on the same limit.
const MIN_LOG_INTERVAL: Span = Span::from_ms(1_000);

thread_local! {
    /// Bytes on their way from a socket to the HTTP server. One is enough, as they are copied before the next read.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUFFER_BYTES]);
}

/// A limit at which a caller is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// The head, or what precedes it, has more bytes than are taken.
    Head,
    /// A body has more bytes on the wire than its limit allows.
    BodyBytes,
    /// A body takes longer than its size allows.
    BodyTime,
    /// The callers hold as many bytes as there is room for.
    Memory,
    /// There are as many connections as there is room for.
    Connections,
    /// An answer was not read for too long.
    Unread,
}

impl Limit {
    /// Value of the `limit` label, and name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Limit::Head => "head",
            Limit::BodyBytes => "body_bytes",
            Limit::BodyTime => "body_time",
            Limit::Memory => "memory",
            Limit::Connections => "connections",
            Limit::Unread => "unread",
        }
    }
}

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
    /// What was passed to it, as far as the next bytes depend on it.
    scan: Cell<Scan>,
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
    /// Bytes on the wire of the head or body that is arriving.
    arrived: Cell<usize>,
    /// Bytes of the head of the request in progress for which there is room.
    held_head: Cell<usize>,
    /// Bytes of its body for which there is room.
    held_body: Cell<usize>,
    /// Whether the request's body is being read, so that it can be refused with an answer.
    is_reading_body: Cell<bool>,
    /// Whether the body had more bytes than it may.
    is_overrun: Cell<bool>,
    /// Notified when the body that is being read has to be refused.
    body_turned_away: Notify,
    /// Notified when the connection has to close at once.
    turned_away: Notify,
    /// Notified when a request begins or ends, and when the server starts to wait for bytes.
    state_changed: Notify,
    caller: SocketAddr,
    all: Connections,
}

/// Whether more of a head may be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    Granted,
    /// The refusal was written, and the connection closes.
    Refused,
}

/// The error of a request for which there is no room.
pub fn no_room() -> Error {
    let error = Error::new(Kind::Shed, "the host has no room for the request at the moment");
    error.with_retry_after_ms(NO_ROOM_RETRY_AFTER_MS)
}

/// `Retry-After` of a request for which there is no room, in milliseconds.
const NO_ROOM_RETRY_AFTER_MS: u64 = 100;

/// Marks a body as being read.
#[derive(Debug)]
pub struct BodyGuard<'a> {
    connection: &'a Connection,
    is_whole: bool,
}

impl BodyGuard<'_> {
    /// Notes that the body has arrived whole.
    pub fn finish(mut self) {
        self.is_whole = true;
    }
}

impl Drop for BodyGuard<'_> {
    fn drop(&mut self) {
        self.connection.shared.is_reading_body.set(false);
        if self.is_whole {
            self.connection.enter(Stage::Running);
        }
    }
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
        self.connection.shared.held_head.set(0);
        self.connection.shared.held_body.set(0);
        self.connection.shared.arrived.set(0);
        // Less is always granted.
        let _ = self.connection.hold(0);
        self.connection.enter(Stage::Idle);
        self.connection.shared.state_changed.notify_waiters();
    }
}

impl Connection {
    /// Wraps an accepted socket.
    fn new(stream: TcpStream, caller: SocketAddr, all: Connections) -> Connection {
        let shared = Shared {
            stream,
            unread: RefCell::default(),
            scan: Cell::default(),
            busy: Cell::new(false),
            awaiting_bytes: Cell::new(false),
            is_closing: Cell::new(false),
            request_expected: Cell::new(true),
            has_partial_request: Cell::new(false),
            has_unread_body: Cell::new(false),
            arrived: Cell::new(0),
            held_head: Cell::new(0),
            held_body: Cell::new(0),
            is_reading_body: Cell::new(false),
            is_overrun: Cell::new(false),
            body_turned_away: Notify::new(),
            turned_away: Notify::new(),
            state_changed: Notify::new(),
            caller,
            all,
        };
        Connection { shared: Rc::new(shared) }
    }

    /// Marks the connection as busy with a request until the guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        self.shared.busy.set(true);
        self.shared.arrived.set(0);
        self.shared.is_overrun.set(false);
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

    /// Whether there is no room for further connections and nobody else could close, so that this one had better close
    /// after its answer. Requests that are pipelined behind each other would keep it for ever.
    pub fn is_crowded(&self) -> bool {
        self.shared.all.intake.borrow().is_crowded(self.shared.caller)
    }

    /// Whether the last answer has been given. The HTTP server still reads requests that were pipelined behind it, which
    /// the caller takes as not run.
    pub fn is_closing(&self) -> bool {
        self.shared.is_closing.get()
    }

    /// Notes that the request's body is read from now on. Dropping the guard ends it.
    pub fn read_body(&self) -> BodyGuard<'_> {
        self.shared.is_reading_body.set(true);
        BodyGuard { connection: self, is_whole: false }
    }

    /// Waits until the body that is being read has to be refused for lack of room.
    pub async fn body_turned_away(&self) {
        self.shared.body_turned_away.notified().await;
    }

    /// Waits until the connection has to close at once for lack of room.
    pub async fn turned_away(&self) {
        self.shared.turned_away.notified().await;
    }

    /// Whether the body of the request in progress had more bytes on the wire than its limit allows.
    pub fn is_overrun(&self) -> bool {
        self.shared.is_overrun.get()
    }

    /// Notes that the request is refused at a limit.
    pub fn refuse_at(&self, limit: Limit) {
        self.shared.all.count(limit);
    }

    /// Makes room for the body of the request in progress, in addition to its head.
    ///
    /// # Errors
    /// `Full` if the request has to be refused.
    pub fn hold_body(&self, bytes: usize) -> Result<(), Full> {
        self.hold(self.shared.held_head.get() + bytes)?;
        self.shared.held_body.set(bytes);
        Ok(())
    }

    /// Bytes of the request in progress.
    fn held(&self) -> usize {
        self.shared.held_head.get() + self.shared.held_body.get()
    }

    fn hold(&self, bytes: usize) -> Result<(), Full> {
        self.shared.all.hold(self.shared.caller, bytes)
    }

    fn enter(&self, stage: Stage) {
        self.shared.all.intake.borrow_mut().enter(self.shared.caller, stage, Time::now());
    }

    /// Refuses a head that has not arrived whole, as the HTTP server would.
    async fn refuse_head(&self, error: &Error) {
        let response = handler::refusal_text(error);
        let mut rest = response.as_bytes();
        while !rest.is_empty() {
            let written = match timeout(CLOSE_TIMEOUT, self.shared.stream.writable()).await {
                Ok(Ok(())) => self.shared.stream.try_write(rest),
                _ => return,
            };
            match written {
                Ok(length) => rest.advance(length),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Makes room for the next bytes of a head or body that is arriving.
    async fn admit_bytes(&self, space: usize) -> io::Result<Admission> {
        let limits = self.shared.all.limits.get();
        let arrived = self.shared.arrived.get();
        if self.shared.busy.get() {
            let most = limits.max_body_bytes.saturating_mul(MAX_CHUNKED_RATIO);
            if arrived > most.saturating_add(CHUNKED_SLACK_BYTES) {
                self.shared.is_overrun.set(true);
                return Err(io::ErrorKind::InvalidData.into());
            }
            return Ok(Admission::Granted);
        }
        if arrived > limits.max_head_bytes.saturating_add(HEAD_SLACK_BYTES) {
            self.shared.all.count(Limit::Head);
            let message = format!("the head exceeds the limit of {} bytes", limits.max_head_bytes);
            self.refuse_head(&Error::new(Kind::HeadTooLarge, message)).await;
            return Ok(Admission::Refused);
        }
        // The server's buffer doubles as it grows.
        let held = (arrived + space).next_power_of_two();
        if self.hold(held).is_err() {
            self.shared.all.count(Limit::Memory);
            self.refuse_head(&no_room()).await;
            return Ok(Admission::Refused);
        }
        self.shared.held_head.set(held);
        Ok(Admission::Granted)
    }

    /// Makes room for an answer that the caller does not read at the moment.
    fn begin_unread(&self, length: usize) -> Result<(), Full> {
        let paused = if self.shared.busy.get() { PAUSED_ANSWER_BYTES } else { 0 };
        self.enter(Stage::Unread);
        self.hold(self.held() + length.next_power_of_two() + paused)
    }

    fn end_unread(&self) {
        // Less is always granted.
        let _ = self.hold(self.held());
        self.enter(if self.shared.busy.get() { Stage::Running } else { Stage::Idle });
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

    /// Passes the next received bytes on.
    async fn receive_with<T>(&self, most: usize, take: impl Fn(&[u8]) -> T) -> io::Result<T> {
        loop {
            self.shared.stream.readable().await?;
            let received = SCRATCH.with_borrow_mut(|scratch| {
                let length = self.shared.stream.try_read(&mut scratch[..most])?;
                Ok(take(&scratch[..length]))
            });
            match received {
                Err(error) if io::Error::kind(&error) == io::ErrorKind::WouldBlock => {}
                result => return result,
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

/// Start of the header by which a caller expects `100 Continue`, in lower case.
const EXPECT: u128 = bits(b"\r\nexpect:");

/// End of a head.
const HEAD_END: u32 = bits(b"\r\n\r\n") as u32;

/// Bytes as they are found in [`Scan::recent`].
const fn bits(bytes: &[u8]) -> u128 {
    let (mut out, mut at) = (0, 0);
    while at < bytes.len() {
        out = out << 8 | bytes[at] as u128;
        at += 1;
    }
    out
}

/// Finds the ends of heads whose callers expect `100 Continue`, which may come in several reads.
#[derive(Debug, Clone, Copy, Default)]
struct Scan {
    /// The last bytes that were passed to the HTTP server in lower case, the newest one lowest.
    recent: u128,
    /// Whether they contained the header since the last empty line.
    expects_continue: bool,
}

impl Scan {
    /// Returns how many of the next bytes may be passed to the HTTP server at once: all, or those up to the end of a head
    /// whose caller expects `100 Continue`.
    fn pass(&mut self, bytes: &[u8]) -> usize {
        for (at, byte) in bytes.iter().enumerate() {
            self.recent = self.recent << 8 | u128::from(byte.to_ascii_lowercase());
            if self.recent & ((1 << 72) - 1) == EXPECT {
                self.expects_continue = true;
            } else if self.recent as u32 == HEAD_END && std::mem::take(&mut self.expects_continue) {
                return at + 1;
            }
        }
        bytes.len()
    }
}

impl AsyncBufRead for Connection {
    async fn read<B>(&self, mut buf: B) -> (io::Result<usize>, B)
    where
        B: BoundedBufMut,
    {
        let space = buf.bytes_total() - buf.bytes_init();
        if self.shared.unread.borrow().is_empty() {
            let is_body = self.shared.busy.get();
            let most = space.min(if is_body { READ_BUFFER_BYTES } else { HEAD_READ_BYTES });
            match self.admit_bytes(most).await {
                Ok(Admission::Granted) => {}
                Ok(Admission::Refused) => return (Ok(0), buf),
                Err(error) => return (Err(error), buf),
            }
            self.shared.awaiting_bytes.set(true);
            self.shared.state_changed.notify_waiters();
            let received = self.receive_with(most, Bytes::copy_from_slice).await;
            self.shared.awaiting_bytes.set(false);
            match received {
                Ok(received) => {
                    self.shared.request_expected.set(true);
                    self.shared.has_partial_request.set(true);
                    self.shared.arrived.set(self.shared.arrived.get() + received.len());
                    if !received.is_empty() {
                        self.enter(Stage::Arriving);
                    }
                    *self.shared.unread.borrow_mut() = received;
                }
                Err(error) => return (Err(error), buf),
            }
        }
        let mut unread = self.shared.unread.borrow_mut();
        let mut scan = self.shared.scan.get();
        let length = scan.pass(&unread[..space.min(unread.len())]);
        self.shared.scan.set(scan);
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
        let mut is_unread = false;
        let limit = Duration::from_millis(self.shared.all.limits.get().idle_timeout_ms);
        let delay = UNREAD_DELAY.min(limit);
        loop {
            let wait = if is_unread { limit - delay } else { delay };
            match timeout(wait, self.shared.stream.writable()).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return (Err(error), buf),
                Err(_) if !is_unread => {
                    is_unread = true;
                    if self.begin_unread(buf.chunk().len()).is_err() {
                        self.shared.all.count(Limit::Memory);
                        return (Err(io::ErrorKind::OutOfMemory.into()), buf);
                    }
                    continue;
                }
                Err(_) => {
                    self.shared.all.count(Limit::Unread);
                    return (Err(io::ErrorKind::TimedOut.into()), buf);
                }
            }
            match self.shared.stream.try_write(buf.chunk()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    if is_unread {
                        self.end_unread();
                    }
                    return (result, buf);
                }
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
#[derive(Debug, Clone)]
pub struct Connections {
    /// Sorted by address.
    open: Rc<RefCell<Vec<(SocketAddr, Connection)>>>,
    /// What the callers hold, and who has to go.
    intake: Rc<RefCell<Intake>>,
    /// Limits of the configuration in force.
    limits: Rc<Cell<Limits>>,
    /// When a limit was last logged, with the callers turned away since.
    logged: Rc<RefCell<[(Time, u64); 6]>>,
    metrics: Metrics,
}

impl Connections {
    /// Creates an empty list with room for as much as stated.
    pub fn new(room: Room, metrics: Metrics) -> Connections {
        Connections {
            open: Rc::default(),
            intake: Rc::new(RefCell::new(Intake::new(room))),
            limits: Rc::default(),
            logged: Rc::default(),
            metrics,
        }
    }

    /// Changes the limits of callers' requests.
    pub fn set_limits(&self, limits: Limits) {
        self.limits.set(limits);
    }

    /// Makes room for a connection that was accepted; another one that is idle closes if need be.
    ///
    /// # Errors
    /// `Full` if all connections carry requests.
    pub fn admit(&self, caller: SocketAddr) -> Result<(), Full> {
        let admitted = self.intake.borrow_mut().open(caller, Time::now());
        if !matches!(admitted, Ok(None)) {
            self.count(Limit::Connections);
        }
        if let Some(victim) = admitted? {
            self.turn_away(victim);
        }
        Ok(())
    }

    fn hold(&self, caller: SocketAddr, bytes: usize) -> Result<(), Full> {
        let victims = self.intake.borrow_mut().hold(caller, bytes, Time::now())?;
        for victim in victims {
            self.count(Limit::Memory);
            self.turn_away(victim);
        }
        Ok(())
    }

    fn turn_away(&self, caller: SocketAddr) {
        if let Some(connection) = self.get(caller) {
            let shared = &connection.shared;
            let is_reading_body = shared.is_reading_body.get();
            if !is_reading_body {
                // A request that is read before the connection is cut is refused as not run.
                shared.is_closing.set(true);
            }
            let notice =
                if is_reading_body { &shared.body_turned_away } else { &shared.turned_away };
            notice.notify_one();
        }
    }

    /// Counts a caller that is turned away, and logs it from time to time.
    fn count(&self, limit: Limit) {
        self.metrics.turned_away(limit.as_str());
        let now = Time::now();
        let mut logged = self.logged.borrow_mut();
        let (last, count) = &mut logged[limit as usize];
        *count += 1;
        if now.since(*last) >= MIN_LOG_INTERVAL {
            let held = self.intake.borrow().held();
            log::warn!(
                "{count} callers turned away at the limit {}; callers hold {held} bytes, {} connections are open",
                limit.as_str(),
                self.len()
            );
            (*last, *count) = (now, 0);
        }
    }

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
        self.intake.borrow_mut().close(caller);
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
        let connection = Connection::new(stream, caller, self.connections.clone());
        self.connections.insert(caller, connection.clone());
        Ok(connection)
    }
}
