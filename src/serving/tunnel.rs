//! Tunnels: connections to upstreams through other hosts.
//!
//! A host that reaches no upstream opens a connection to another host and names an incarnation of an upstream. That host
//! connects to the upstream itself, never through a third one, and then forwards bytes both ways without reading them. The
//! request thus stays with the host that took it from its caller: placement, retries, limits and usage are decided there, as
//! for its own connections.
//!
//! An upstream that refuses a request with a time in which it wants no more of them means the host from which the request
//! reached it. The host that sent the request passes this on to the one that forwarded it.
//!
//! Request: the incarnation and the milliseconds of such a time, zero to open a tunnel, 8 and 4 bytes in network order.
//! Response: one byte, a [`Reply`].

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task,
    time::{sleep, timeout},
};

use crate::{
    metrics::Metrics,
    rendezvous,
    serving::{
        dialer::Dialer,
        registry::{Entry, State},
        roster::{Host, Roster},
        upstream_state::incarnation_id,
    },
    time::{Span, Time},
};

/// Time-out for opening a tunnel through one host, with its connection to the upstream.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Hosts that are asked for one tunnel.
const MAX_HOSTS: usize = 3;

/// Hosts of the own availability zone among them, if there are others.
const MAX_LOCAL_HOSTS: usize = 2;

/// Time for which a host that opened no tunnel is not asked again.
const SKIP_TIME: Span = Span::from_ms(1_000);

/// Time within which the other host must name the upstream.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time-out of a connection to the upstream for another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a host that has its whole response may go on with its upload. The bytes are discarded.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Bytes that are read at once in each direction; a tunnel holds no more.
const CHUNK_BYTES: usize = 8 << 10;

/// Share of a host's memory that the buffers of tunnels may take.
const MEMORY_DIVISOR: usize = 32;

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a host says to a request for a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// Bytes are forwarded from now on.
    Opened,
    /// The upstream is not listed, or gets no new requests.
    Unknown,
    /// The upstream refused the connection, or wants no requests of the host for now.
    Refused,
    /// The host reaches no upstream either.
    CutOff,
    /// The host forwards as many connections as it has room for, or it stops.
    Busy,
}

impl Reply {
    const ALL: [Reply; 5] =
        [Reply::Opened, Reply::Unknown, Reply::Refused, Reply::CutOff, Reply::Busy];

    fn to_byte(self) -> u8 {
        self as u8
    }

    fn from_byte(byte: u8) -> Option<Reply> {
        Reply::ALL.get(usize::from(byte)).copied()
    }

    /// Value of the `outcome` label of metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reply::Opened => "opened",
            Reply::Unknown => "unknown",
            Reply::Refused => "refused",
            Reply::CutOff => "cut_off",
            Reply::Busy => "busy",
        }
    }
}

/// Opens tunnels through the hosts of the roster.
#[derive(Debug)]
pub struct Client {
    /// Id of this host.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Registered hosts.
    pub roster: watch::Receiver<Rc<Roster>>,
    /// Metrics of this host.
    pub metrics: Metrics,
    skipped: RefCell<Vec<(SocketAddr, Time)>>,
    turn: Cell<usize>,
}

impl Client {
    /// Creates a client that has asked no host yet.
    pub fn new(
        host: &str,
        zone: &str,
        roster: watch::Receiver<Rc<Roster>>,
        metrics: Metrics,
    ) -> Client {
        let (host, zone) = (host.to_owned(), zone.to_owned());
        Client { host, zone, roster, metrics, skipped: RefCell::default(), turn: Cell::new(0) }
    }

    /// Whether another host is registered that opens tunnels.
    pub fn is_available(&self) -> bool {
        self.roster.borrow().iter().any(|it| it.id != self.host && it.tunnels.is_some())
    }

    /// Opens a tunnel to an incarnation of an upstream.
    ///
    /// # Errors
    /// If no host opens one. `ConnectionRefused` if the upstream refused a host that reached it.
    pub async fn open(&self, incarnation: u64) -> io::Result<(SocketAddr, TcpStream)> {
        let request = Request { incarnation, hold: Span(0) };
        for address in self.candidates() {
            let reply = timeout(OPEN_TIMEOUT, ask(address, request)).await;
            let outcome = match &reply {
                Ok(Ok((reply, _))) => reply.as_str(),
                Ok(Err(_)) => "failed",
                Err(_) => "timed_out",
            };
            self.metrics.tunnel_asked(outcome);
            match reply {
                Ok(Ok((Reply::Opened, stream))) => return Ok((address, stream)),
                Ok(Ok((Reply::Refused | Reply::Unknown, _))) => {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                }
                Ok(Ok((Reply::CutOff | Reply::Busy, _))) | Ok(Err(_)) | Err(_) => {
                    self.skipped.borrow_mut().push((address, Time::now() + SKIP_TIME));
                }
            }
        }
        Err(io::Error::new(io::ErrorKind::HostUnreachable, "no other host opens a tunnel"))
    }

    /// Tells a host that forwarded a request that the upstream wants no requests of it for a time.
    pub async fn hold(&self, address: SocketAddr, incarnation: u64, hold: Span) {
        let told = timeout(OPEN_TIMEOUT, ask(address, Request { incarnation, hold })).await;
        if !matches!(told, Ok(Ok(_))) {
            log::info!("the host at {address} cannot be told of a back-off");
        }
    }

    /// Returns the hosts to ask, in order. Hosts that are cut off together spread their tunnels, as each ranks the others
    /// differently and takes them in turns.
    fn candidates(&self) -> Vec<SocketAddr> {
        let now = Time::now();
        let mut skipped = self.skipped.borrow_mut();
        skipped.retain(|it| now < it.1);
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let roster = self.roster.borrow();
        let available = |it: &&Host| {
            let is_skipped = |address| skipped.iter().any(|skip| skip.0 == address);
            it.id != self.host && it.tunnels.is_some_and(|it| !is_skipped(it))
        };
        let (mut local, mut others): (Vec<&Host>, Vec<&Host>) =
            roster.iter().filter(available).partition(|it| it.zone == self.zone);
        for hosts in [&mut local, &mut others] {
            hosts.sort_by_cached_key(|it| {
                rendezvous::hash(&[b"tunnel", self.host.as_bytes(), it.id.as_bytes()])
            });
            let count = hosts.len().max(1);
            hosts.rotate_left(turn % count);
        }
        let local_count = if others.is_empty() { MAX_HOSTS } else { MAX_LOCAL_HOSTS };
        let chosen = local.into_iter().take(local_count).chain(others).take(MAX_HOSTS);
        chosen.filter_map(|it| it.tunnels).collect()
    }
}

/// A message to a host that opens tunnels.
#[derive(Debug, Clone, Copy)]
struct Request {
    incarnation: u64,
    /// Time in which the upstream wants no requests of that host; zero to open a tunnel.
    hold: Span,
}

impl Request {
    const LEN: usize = 12;

    fn to_bytes(self) -> [u8; Request::LEN] {
        let hold_ms = u32::try_from(self.hold.as_ms()).unwrap_or(u32::MAX);
        let mut bytes = [0; Request::LEN];
        bytes[..8].copy_from_slice(&self.incarnation.to_be_bytes());
        bytes[8..].copy_from_slice(&hold_ms.to_be_bytes());
        bytes
    }

    async fn read(stream: &mut TcpStream) -> io::Result<Request> {
        let incarnation = stream.read_u64().await?;
        let hold = Span::from_ms(u64::from(stream.read_u32().await?));
        Ok(Request { incarnation, hold })
    }
}

async fn ask(address: SocketAddr, request: Request) -> io::Result<(Reply, TcpStream)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(&request.to_bytes()).await?;
    let reply = Reply::from_byte(stream.read_u8().await?);
    reply.map(|it| (it, stream)).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// What a server of tunnels works with.
#[derive(Debug)]
pub struct Options {
    /// Listed upstreams.
    pub upstreams: watch::Receiver<Rc<Vec<Entry>>>,
    /// Incarnations of upstreams that leave, sorted.
    pub leaving: watch::Receiver<Rc<Vec<u64>>>,
    /// Opens connections to upstreams.
    pub dialer: Rc<Dialer>,
    /// Memory of the host, in bytes.
    pub memory_bytes: usize,
    /// Sockets that the host may have open.
    pub sockets: usize,
    /// Whether the host is stopping.
    pub draining: watch::Receiver<bool>,
    /// Metrics of the host.
    pub metrics: Metrics,
}

/// Handle to a running server of tunnels.
#[derive(Debug)]
pub struct Server {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    /// Most tunnels at a time.
    capacity: usize,
    open: Cell<usize>,
}

impl Server {
    /// Listens for other hosts, and spawns the accept loop on the current thread.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr, options: Options) -> io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        // Each tunnel has two sockets, so that all of them take an eighth.
        let by_sockets = options.sockets / 16;
        let by_memory = options.memory_bytes / MEMORY_DIVISOR / (2 * CHUNK_BYTES);
        let capacity = by_sockets.min(by_memory);
        let shared = Rc::new(Shared { options, capacity, open: Cell::new(0) });
        task::spawn_local(accept(listener, shared.clone()));
        Ok(Server { shared })
    }

    /// Number of open tunnels.
    pub fn len(&self) -> usize {
        self.shared.open.get()
    }

    /// Whether no tunnel is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(serve(stream, shared.clone()));
            }
            Err(error) => {
                log::warn!("cannot accept a tunnel of another host: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts an open tunnel while it lives.
struct Slot(Rc<Shared>);

impl Slot {
    fn take(shared: &Rc<Shared>) -> Option<Slot> {
        let open = shared.open.get();
        (open < shared.capacity).then(|| {
            shared.open.set(open + 1);
            Slot(shared.clone())
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

async fn serve(mut stream: TcpStream, shared: Rc<Shared>) {
    let request = timeout(REQUEST_TIMEOUT, Request::read(&mut stream)).await;
    let Ok(Ok(request)) = request else {
        shared.options.metrics.tunnel_served("no_request");
        return;
    };
    if request.hold > Span(0) {
        shared.options.dialer.hold(request.incarnation, request.hold);
        // The other host may have gone.
        let _ = stream.write_u8(Reply::Opened.to_byte()).await;
        return;
    }
    let slot = Slot::take(&shared);
    let result = match slot {
        Some(_) => shared.connect(request.incarnation).await,
        None => Err(Reply::Busy),
    };
    let reply = result.as_ref().err().copied().unwrap_or(Reply::Opened);
    shared.options.metrics.tunnel_served(reply.as_str());
    let replied = stream.write_u8(reply.to_byte()).await;
    if let (Ok(upstream), Ok(())) = (result, replied)
        && stream.set_nodelay(true).is_ok()
    {
        forward(stream, upstream).await;
    }
}

impl Shared {
    /// Opens a connection to an upstream for another host.
    ///
    /// # Errors
    /// Returns the reply to the other host if there is no connection.
    async fn connect(&self, incarnation: u64) -> Result<TcpStream, Reply> {
        let options = &self.options;
        if *options.draining.borrow() {
            return Err(Reply::Busy);
        }
        if options.dialer.is_cut_off() {
            return Err(Reply::CutOff);
        }
        if options.dialer.held_until(incarnation).is_some() {
            return Err(Reply::Refused);
        }
        let address = {
            let upstreams = options.upstreams.borrow();
            let listed = upstreams.iter().find(|it| incarnation_id(it) == incarnation);
            let leaves = options.leaving.borrow().binary_search(&incarnation).is_ok();
            let usable = listed.filter(|it| it.state == State::Ready && !leaves);
            usable.map(|it| it.address).ok_or(Reply::Unknown)?
        };
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| Reply::CutOff)?.map_err(|_| Reply::Refused)?;
        stream.set_nodelay(true).map_err(|_| Reply::Refused)?;
        Ok(stream)
    }
}

/// How one direction of a tunnel ended.
enum End {
    /// The sender closed its side after its last byte.
    Closed,
    /// The sender's connection was reset.
    Reset,
    /// The receiver's connection has ended, with this error.
    Undeliverable(io::ErrorKind),
}

/// Forwards bytes both ways until either end closes its connection. What the upstream sent before is passed on. A
/// connection that the upstream resets is reset at the other end as well, so that a response that ends early does not look
/// complete.
async fn forward(host: TcpStream, upstream: TcpStream) {
    let (from_host, to_host) = host.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    // A socket reports its reset once. The next read returns 0, as after an orderly end.
    let was_reset = Cell::new(false);
    let host_closes = async {
        if let End::Undeliverable(error) = pump(&from_host, &to_upstream).await {
            // A reset that follows the upstream's orderly end is reported as a broken pipe.
            was_reset.set(error != io::ErrorKind::BrokenPipe);
            // The upstream's response may still arrive.
            std::future::pending().await
        }
    };
    let end = tokio::select! {
        end = pump(&from_upstream, &to_host) => Some(end),
        // The caller may have left, which ends the work at the upstream.
        () = host_closes => None,
    };
    drop((from_upstream, to_upstream));
    if matches!(end, Some(End::Reset)) || was_reset.get() {
        // Fails only if the connection has ended already.
        let _ = to_host.as_ref().set_zero_linger();
        // Dropping it would first end the connection in order.
        to_host.forget();
    } else if matches!(end, Some(End::Closed)) {
        // Shuts down the connection in this direction.
        drop(to_host);
        // Unread bytes would reset the connection before the host has received the whole response.
        let _ = timeout(CLOSE_TIMEOUT, discard(&from_host)).await;
    }
}

/// Reads until the sender's connection ends.
async fn discard(from: &OwnedReadHalf) {
    let mut chunk = [0; CHUNK_BYTES];
    while from.readable().await.is_ok() {
        match from.try_read(&mut chunk) {
            Ok(0) => return,
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => return,
            _ => {}
        }
    }
}

async fn pump(from: &OwnedReadHalf, to: &OwnedWriteHalf) -> End {
    let mut chunk = [0; CHUNK_BYTES];
    loop {
        if from.readable().await.is_err() {
            return End::Reset;
        }
        let length = match from.try_read(&mut chunk) {
            Ok(0) => return End::Closed,
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => return End::Reset,
        };
        let mut rest = &chunk[..length];
        while !rest.is_empty() {
            if let Err(error) = to.writable().await {
                return End::Undeliverable(error.kind());
            }
            match to.try_write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return End::Undeliverable(error.kind()),
            }
        }
    }
}
