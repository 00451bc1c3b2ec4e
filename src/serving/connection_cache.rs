//! Connections to upstreams that are kept between requests.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use crate::{
    serving::{key::UpstreamKey, outbound_connection::OutboundConnection},
    time::{Span, Time},
};

/// Time to connect to an upstream. A lost packet is repeated after a second, so that another upstream is tried before.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Span = Span::from_ms(4_000);

/// Time for which an idle connection is taken to be open at the upstream's side too.
const FRESH_FOR: Span = Span::from_ms(800);

/// Idle connections kept for one upstream.
const MAX_IDLE: usize = 16;

/// Idle connections of all upstreams; clones share them.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCache {
    idle: Rc<RefCell<Idle>>,
}

/// Sorted by upstream; the newest connection of each last.
type Idle = Vec<(UpstreamKey, Vec<OutboundConnection>)>;

impl ConnectionCache {
    /// An idle connection, or a new one.
    ///
    /// Requests that may not be repeated need one that is certainly open.
    ///
    /// # Errors
    /// If the upstream does not accept a connection in time.
    pub async fn take(
        &self,
        upstream: UpstreamKey,
        address: SocketAddr,
        repeatable: bool,
    ) -> io::Result<OutboundConnection> {
        let limit = if repeatable { IDLE_TIMEOUT } else { FRESH_FOR };
        if let Some(link) = self.take_idle(upstream, limit) {
            return Ok(link);
        }
        OutboundConnection::connect(address, CONNECT_TIMEOUT).await
    }

    /// Keeps a connection whose answer has ended.
    pub fn keep(&self, upstream: UpstreamKey, mut link: OutboundConnection) {
        link.idle_since = Time::now();
        let mut idle = self.idle.borrow_mut();
        let at = match idle.binary_search_by_key(&upstream, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                idle.insert(at, (upstream, Vec::new()));
                at
            }
        };
        let links = &mut idle[at].1;
        if links.len() < MAX_IDLE {
            links.push(link);
        }
    }

    /// Closes connections that were idle for too long.
    pub fn evict_expired(&self) {
        let now = Time::now();
        self.idle.borrow_mut().retain_mut(|(_, links)| {
            links.retain(|it| it.is_idle() && now.since(it.idle_since) < IDLE_TIMEOUT);
            !links.is_empty()
        });
    }

    fn take_idle(&self, upstream: UpstreamKey, limit: Span) -> Option<OutboundConnection> {
        let now = Time::now();
        let mut idle = self.idle.borrow_mut();
        let found = idle.binary_search_by_key(&upstream, |it| it.0).ok()?;
        let links = &mut idle[found].1;
        while let Some(link) = links.pop() {
            if link.is_idle() && now.since(link.idle_since) < limit {
                return Some(link);
            }
        }
        None
    }
}
