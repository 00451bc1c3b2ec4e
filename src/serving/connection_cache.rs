//! Cache of idle connections to upstreams.

use std::{cell::RefCell, io, rc::Rc};

use crate::{
    serving::{
        dialer::{Dialer, Target},
        key::UpstreamKey,
        outbound_connection::{self, Path},
    },
    time::{Span, Time},
};

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Span = Span::from_ms(4_000);

/// Idle time up to which the upstream is assumed not to have closed the connection. Limits the reuse for requests that
/// may not be retried.
const MAX_IDLE_NOT_RETRYABLE: Span = Span::from_ms(800);

/// Time for which the connections of an upstream are not used again after it sent an answer that belongs to no request
/// where the answer to another one was due.
const REUSE_PAUSE: Span = Span::from_ms(10_000);

/// Most idle connections that are cached for one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Idle connections to all upstreams. Clones share the cache.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    idle: Rc<RefCell<IdleConnections>>,
    /// Upstreams whose connections are not used again before a time. Sorted by upstream.
    paused: Rc<RefCell<Vec<(UpstreamKey, Time)>>>,
    dialer: Rc<Dialer>,
}

/// Sorted by upstream; the most recently used connection of each upstream comes last.
type IdleConnections = Vec<(UpstreamKey, Vec<outbound_connection::Connection>)>;

impl Cache {
    /// Creates an empty cache that opens connections with the given dialer.
    pub fn new(dialer: Rc<Dialer>) -> Cache {
        Cache { dialer, ..Cache::default() }
    }

    /// Opens the connections.
    pub fn dialer(&self) -> &Rc<Dialer> {
        &self.dialer
    }

    /// Takes an idle connection out of the cache, or opens a new one.
    ///
    /// A request that may not be retried gets a connection that was used a short time ago or a new one, since one that
    /// the upstream closes meanwhile would make the request fail.
    ///
    /// # Errors
    /// Returns an error if the upstream does not accept a connection in time.
    pub async fn take(
        &self,
        target: Target,
        retryable: bool,
    ) -> io::Result<outbound_connection::Connection> {
        let max_idle_time = if retryable { IDLE_TIMEOUT } else { MAX_IDLE_NOT_RETRYABLE };
        if let Some(connection) = self.take_idle(target.upstream, max_idle_time) {
            return Ok(connection);
        }
        self.dialer.connect(target).await
    }

    /// Opens a connection to an upstream that has closed one, and caches it.
    ///
    /// # Errors
    /// If the process of the upstream may have ended; see [`Dialer::reconnect`].
    pub async fn reconnect(&self, target: Target) -> io::Result<()> {
        let connection = Dialer::reconnect(target).await?;
        self.put(target.upstream, connection);
        Ok(())
    }

    /// Closes the idle connections of an upstream that sent an answer which belongs to no request, and uses each of its
    /// connections only once for some time. The first answer on a new connection belongs to its request. Returns false
    /// if that was so already.
    pub fn pause_reuse(&self, upstream: UpstreamKey) -> bool {
        let was_paused = self.is_paused(upstream);
        let until = Time::now() + REUSE_PAUSE;
        let mut paused = self.paused.borrow_mut();
        match paused.binary_search_by_key(&upstream, |it| it.0) {
            Ok(found) => paused[found].1 = until,
            Err(at) => paused.insert(at, (upstream, until)),
        }
        let mut idle = self.idle.borrow_mut();
        if let Ok(found) = idle.binary_search_by_key(&upstream, |it| it.0) {
            idle.remove(found);
        }
        !was_paused
    }

    fn is_paused(&self, upstream: UpstreamKey) -> bool {
        let paused = self.paused.borrow();
        let found = paused.binary_search_by_key(&upstream, |it| it.0);
        found.is_ok_and(|at| Time::now() < paused[at].1)
    }

    /// Puts a connection back after its response has ended. Closes it if the upstream has enough idle connections, or if
    /// its connections are not used again. One through another host carries one request only: that host is rid of it when
    /// it stops, and can refuse the next one.
    pub fn put(&self, upstream: UpstreamKey, mut connection: outbound_connection::Connection) {
        if self.is_paused(upstream) || connection.path != Path::Direct {
            return;
        }
        connection.idle_since = Time::now();
        connection.was_cached = true;
        let mut idle = self.idle.borrow_mut();
        let at = match idle.binary_search_by_key(&upstream, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                idle.insert(at, (upstream, Vec::new()));
                at
            }
        };
        let connections = &mut idle[at].1;
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(connection);
        }
    }

    /// Closes connections that have been idle for too long or were closed by the upstream. Called at regular intervals.
    pub fn evict_expired(&self) {
        let now = Time::now();
        self.paused.borrow_mut().retain(|it| now < it.1);
        self.idle.borrow_mut().retain_mut(|(_, connections)| {
            connections.retain(|it| it.is_idle() && now.since(it.idle_since) < IDLE_TIMEOUT);
            !connections.is_empty()
        });
    }

    fn take_idle(
        &self,
        upstream: UpstreamKey,
        max_idle_time: Span,
    ) -> Option<outbound_connection::Connection> {
        let now = Time::now();
        let mut idle = self.idle.borrow_mut();
        let found = idle.binary_search_by_key(&upstream, |it| it.0).ok()?;
        let connections = &mut idle[found].1;
        while let Some(connection) = connections.pop() {
            let is_recent = now.since(connection.idle_since) < max_idle_time;
            if is_recent && connection.is_idle() && self.may_reuse(&connection) {
                return Some(connection);
            }
        }
        None
    }

    /// Whether nothing speaks against the path of a connection. During a cut it may be dead unless a response has arrived
    /// since the cut began.
    fn may_reuse(&self, connection: &outbound_connection::Connection) -> bool {
        self.dialer.cut_since().is_none_or(|it| connection.idle_since > it)
    }
}
