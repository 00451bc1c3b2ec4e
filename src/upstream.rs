//! Requests to upstreams.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Http, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// Time after which an idle connection is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(15);

/// Idle connections kept for one upstream.
const IDLE_CONNECTIONS: usize = 256;

/// Why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be made; no byte was sent.
    Unsent,
    /// The connection failed after bytes may have been sent.
    MaybeSent,
}

/// Whether a request may use a connection that served an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any connection. A connection that closes at the same moment leaves the run unknown.
    Allowed,
    /// A new connection, so that a failure to connect is told apart from a failure to answer.
    Never,
}

/// Connections to upstreams; clones share them.
#[derive(Debug, Clone)]
pub struct Client {
    pooled: Http<HttpConnector, Full<Bytes>>,
    single: Http<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Opens a client; connections are made on use.
    pub fn open(connect_timeout: Duration) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let build = |idle| {
            Http::builder(TokioExecutor::new())
                // A repeat on another connection would run the request twice.
                .retry_canceled_requests(false)
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
                .pool_max_idle_per_host(idle)
                .build(connector.clone())
        };
        Client { pooled: build(IDLE_CONNECTIONS), single: build(0) }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// `Unsent` only if no connection could be made.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Response<Incoming>, Failure> {
        let http = match reuse {
            Reuse::Allowed => &self.pooled,
            Reuse::Never => &self.single,
        };
        http.request(request)
            .await
            .map_err(|error| if error.is_connect() { Failure::Unsent } else { Failure::MaybeSent })
    }
}
