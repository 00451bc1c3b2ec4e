//! Opens connections to upstreams: direct ones, or through other hosts while this host is cut off from the upstreams.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{
    net::TcpStream,
    sync::watch,
    task,
    time::{sleep, timeout},
};

use crate::{
    metrics::Metrics,
    serving::{
        key::UpstreamKey,
        outbound_connection::{Connection, Path},
        placement::Grant,
        reach::Reach,
        registry::{Entry, State},
        tunnel,
        upstream_state::incarnation_id,
    },
    time::{Span, Time},
    witness,
};

/// Timeout for a connection to an upstream. TCP retransmits a lost SYN only after a second; another upstream is tried
/// before.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which a connection that is not open is compared with one to another upstream.
const SLOW_CONNECT: Duration = Duration::from_millis(80);

/// Timeout for that other connection, and for those of a host that is cut off.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);

/// Time without a response after which the path of a request is checked, if no other response arrives either.
const SILENCE: Span = Span::from_ms(400);

/// Time that a response on a direct connection may take from the beginning of a cut before the connection counts as dead.
const DEAD_AFTER: Span = Span::from_ms(500);

/// An incarnation of an upstream to connect to.
#[derive(Debug, Clone, Copy)]
pub struct Target {
    /// Key of the upstream on this host.
    pub upstream: UpstreamKey,
    /// Id of the incarnation, the same on all hosts.
    pub incarnation: u64,
    /// Address of the upstream.
    pub address: SocketAddr,
}

impl From<&Grant> for Target {
    fn from(grant: &Grant) -> Target {
        let Grant { upstream, incarnation, address, .. } = *grant;
        Target { upstream, incarnation, address }
    }
}

/// What a dialer needs to go through other hosts.
#[derive(Debug)]
pub struct Detour {
    /// Opens tunnels through other hosts.
    pub tunnels: tunnel::Client,
    /// Listed upstreams, to compare one with another.
    pub upstreams: watch::Receiver<Rc<Vec<Entry>>>,
    /// Metrics of the host.
    pub metrics: Metrics,
}

/// Result of a connection that only tests the path.
#[derive(Debug)]
struct Probe {
    incarnation: u64,
    is_open: bool,
}

/// Opens connections to upstreams.
#[derive(Debug)]
pub struct Dialer {
    /// `None` if there are no other hosts to go through.
    detour: Option<Detour>,
    reach: RefCell<Reach>,
    /// Since when this host is cut off from upstreams.
    cut_since: watch::Sender<Option<Time>>,
    /// When bytes of a response last arrived on a direct connection.
    heard_at: Cell<Time>,
    /// Incarnations of upstreams that want no requests of this host before a time.
    held: RefCell<Vec<(u64, Time)>>,
}

impl Default for Dialer {
    fn default() -> Dialer {
        Dialer::new(None)
    }
}

impl Dialer {
    /// Creates a dialer; without a detour it opens direct connections only.
    pub fn new(detour: Option<Detour>) -> Dialer {
        Dialer {
            detour,
            reach: RefCell::default(),
            cut_since: watch::channel(None).0,
            heard_at: Cell::new(Time(0)),
            held: RefCell::default(),
        }
    }

    /// Since when this host is cut off from upstreams, `None` while it is not.
    pub fn cut_since(&self) -> Option<Time> {
        *self.cut_since.borrow()
    }

    /// Whether this host is cut off from upstreams.
    pub fn is_cut_off(&self) -> bool {
        self.cut_since().is_some()
    }

    /// Records that bytes of a response arrived on a connection.
    pub fn record_response(&self, path: Path) {
        if path == Path::Direct {
            self.heard_at.set(Time::now());
        }
    }

    /// Records that an upstream wants no requests of this host for a time.
    pub fn hold(&self, incarnation: u64, time: Span) {
        let now = Time::now();
        let until = now + time;
        let mut held = self.held.borrow_mut();
        let later = held.iter().filter(|it| it.0 == incarnation).map(|it| it.1).max();
        held.retain(|it| it.0 != incarnation && now < it.1);
        held.push((incarnation, later.map_or(until, |it| it.max(until))));
    }

    /// Returns the end of the time in which an upstream wants no requests of this host, if it has not passed.
    pub fn held_until(&self, incarnation: u64) -> Option<Time> {
        let held = self.held.borrow();
        held.iter().find(|it| it.0 == incarnation).map(|it| it.1).filter(|it| Time::now() < *it)
    }

    /// Passes on that an upstream wants no requests of the host from which a request reached it. Must be called on the
    /// thread of the host.
    pub fn pass_on_hold(self: &Rc<Dialer>, path: Path, incarnation: u64, time: Span) {
        let Path::Tunnel(host) = path else {
            self.hold(incarnation, time);
            return;
        };
        let dialer = self.clone();
        task::spawn_local(async move {
            if let Some(detour) = &dialer.detour {
                detour.tunnels.hold(host, incarnation, time).await;
            }
        });
    }

    /// Opens a connection to an upstream.
    ///
    /// # Errors
    /// If the upstream accepts no connection in time, neither from this host nor from another one.
    pub async fn connect(&self, target: Target) -> io::Result<Connection> {
        let Some(detour) = self.detour.as_ref().filter(|it| it.tunnels.is_available()) else {
            return Connection::connect(target.address, CONNECT_TIMEOUT).await;
        };
        if !self.is_cut_off() {
            let connected = tokio::select! {
                biased;
                connected = Connection::connect(target.address, CONNECT_TIMEOUT) => connected,
                () = self.cut_off_while_connecting(detour, target) =>
                    Err(io::ErrorKind::HostUnreachable.into()),
            };
            let error = match connected {
                Ok(connection) => {
                    self.record_opened(detour);
                    return Ok(connection);
                }
                Err(error) => error,
            };
            self.record_failed(detour, target.incarnation);
            if self.reach.borrow().needs_comparison(Time::now()) {
                self.probe_other(detour, &[target.incarnation]).await;
            }
            if !self.is_cut_off() {
                return Err(error);
            }
        }
        self.connect_through_others(detour, target).await
    }

    /// Opens a direct connection to an upstream that has closed one.
    ///
    /// # Errors
    /// If the upstream accepts no connection in time, or closes it at once.
    pub async fn reconnect(target: Target) -> io::Result<Connection> {
        let opened_at = Time::now();
        let stream = witness::reconnect(target.address).await?;
        stream.set_nodelay(true)?;
        let mut connection = Connection::handshake(stream).await?;
        connection.opened_at = opened_at;
        Ok(connection)
    }

    /// Opens a tunnel. A direct connection is tried beside it at intervals, which shows the end of the cut.
    async fn connect_through_others(
        &self,
        detour: &Detour,
        target: Target,
    ) -> io::Result<Connection> {
        let is_due = self.reach.borrow_mut().begin_probe(Time::now());
        let probe = async {
            if is_due {
                match Connection::connect(target.address, PROBE_TIMEOUT).await {
                    Ok(connection) => {
                        self.record_opened(detour);
                        return connection;
                    }
                    Err(_) => self.record_failed(detour, target.incarnation),
                }
            }
            std::future::pending().await
        };
        let tunnel = async {
            let (host, stream) = detour.tunnels.open(target.incarnation).await?;
            let mut connection = Connection::handshake(stream).await?;
            connection.path = Path::Tunnel(host);
            Ok(connection)
        };
        tokio::select! {
            biased;
            connection = probe => Ok(connection),
            connection = tunnel => connection,
        }
    }

    /// Returns once a direct connection takes so long that the path is in doubt, and a comparison with another upstream has
    /// shown that this host is cut off.
    async fn cut_off_while_connecting(&self, detour: &Detour, target: Target) {
        sleep(SLOW_CONNECT).await;
        if self.probe_other(detour, &[target.incarnation]).await.is_some_and(|it| !it.is_open) {
            self.record_failed(detour, target.incarnation);
        }
        if !self.is_cut_off() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until a direct connection on which a response is due counts as dead, as this host is cut off from upstreams and
    /// nothing has arrived on any direct connection since. Checks the path while no response arrives.
    pub async fn path_lost(&self, path: Path) {
        let detour = self.detour.as_ref().filter(|it| it.tunnels.is_available());
        let Some(detour) = detour.filter(|_| path == Path::Direct) else {
            return std::future::pending().await;
        };
        let mut cut_since = self.cut_since.subscribe();
        loop {
            let begins = tokio::select! {
                Ok(since) = cut_since.wait_for(Option::is_some) => *since,
                () = sleep(SILENCE.into()) => None,
            };
            let Some(since) = begins else {
                self.check_path(detour).await;
                continue;
            };
            sleep((since + DEAD_AFTER).since(Time::now()).into()).await;
            if self.cut_since() != Some(since) {
                continue;
            }
            if self.heard_at.get() >= since {
                // Open connections live on.
                sleep(SILENCE.into()).await;
                continue;
            }
            // Both upstreams that failed may be down, on a host whose other requests take their time.
            if self.probe_other(detour, &[]).await.is_none_or(|it| !it.is_open) {
                return;
            }
        }
    }

    /// Connects to one or two upstreams if no response has arrived for a while.
    async fn check_path(&self, detour: &Detour) {
        let now = Time::now();
        let is_silent = now.since(self.heard_at.get()) >= SILENCE;
        if !is_silent || !self.reach.borrow_mut().begin_probe(now) {
            return;
        }
        if let Some(first) = self.probe_other(detour, &[]).await.filter(|it| !it.is_open) {
            self.probe_other(detour, &[first.incarnation]).await;
        }
    }

    /// Opens a connection to a random upstream other than those given, and records whether it can be opened. `None` if there
    /// is no other one.
    async fn probe_other(&self, detour: &Detour, known: &[u64]) -> Option<Probe> {
        let (incarnation, address) = {
            let upstreams = detour.upstreams.borrow();
            let ready = upstreams.iter().filter(|it| it.state == State::Ready);
            let others: Vec<_> = ready
                .map(|it| (incarnation_id(it), it.address))
                .filter(|it| !known.contains(&it.0))
                .collect();
            let count = others.len();
            (count > 0).then(|| others[rand::random_range(0..count)])?
        };
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        let is_open = matches!(connected, Ok(Ok(_)));
        match is_open {
            true => self.record_opened(detour),
            false => self.record_failed(detour, incarnation),
        }
        Some(Probe { incarnation, is_open })
    }

    fn record_opened(&self, detour: &Detour) {
        let restored = self.reach.borrow_mut().record_opened(Time::now());
        if let Some(time) = restored {
            log::info!(
                "upstreams are within reach again after {} ms; new connections to them are direct",
                time.as_ms()
            );
            detour.metrics.cut_off.set(0);
            self.cut_since.send_replace(None);
        }
    }

    fn record_failed(&self, detour: &Detour, incarnation: u64) {
        let now = Time::now();
        let ready = |it: &&Entry| it.state == State::Ready;
        let known = detour.upstreams.borrow().iter().filter(ready).count();
        if self.reach.borrow_mut().record_failed(now, incarnation, known) {
            log::warn!(
                "this host reaches no upstream; new connections to them go through other hosts"
            );
            detour.metrics.cut_off.set(1);
            self.cut_since.send_replace(Some(now));
        }
    }
}
