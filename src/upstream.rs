//! HTTP client for requests to upstreams.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper_util::{
    client::legacy::{
        Client as Http,
        connect::{HttpConnector, capture_connection},
    },
    rt::{TokioExecutor, TokioTimer},
};

/// Time after which an idle connection is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of idle connections per upstream.
const IDLE_CONNECTIONS: usize = 256;

/// Reason why a request received no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be established, so nothing was sent.
    Unsent,
    /// The connection failed after part of the request may have been sent, or what came is no response.
    MaybeSent,
}

/// Whether a request may reuse an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any connection may be used. If it closes at the same moment, it is unknown whether the request ran.
    Allowed,
    /// A new connection is used, which distinguishes a failure to connect from a failure to answer.
    Never,
}

/// Whether a status can end an exchange. Interim responses are skipped before, and no upgrade is ever asked for.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether the body of a response has neither a length nor chunks, so that only the end of the connection ends it.
pub fn ends_with_connection(response: &Response<Incoming>) -> bool {
    let mut encodings = response.headers().get_all(header::TRANSFER_ENCODING).iter();
    let last = encodings.next_back().and_then(|it| it.to_str().ok()?.rsplit(',').next());
    let is_chunked = last.is_some_and(|it| it.trim().eq_ignore_ascii_case("chunked"));
    !is_chunked && response.body().size_hint().exact().is_none()
}

/// Client for requests to upstreams. Clones share their connections.
#[derive(Debug, Clone)]
pub struct Client {
    pooled: Http<HttpConnector, Full<Bytes>>,
    unpooled: Http<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client. Connections are established on first use.
    pub fn open(connect_timeout: Duration) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let build = |idle| {
            Http::builder(TokioExecutor::new())
                // A retry on another connection could run the request twice.
                .retry_canceled_requests(false)
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
                .pool_max_idle_per_host(idle)
                .build(connector.clone())
        };
        Client { pooled: build(IDLE_CONNECTIONS), unpooled: build(0) }
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    /// Returns `Unsent` only if no connection could be established, and `MaybeSent` for every other failure.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Response<Incoming>, Failure> {
        let connection = capture_connection(&mut request);
        let http = match reuse {
            Reuse::Allowed => &self.pooled,
            Reuse::Never => &self.unpooled,
        };
        let response = http.request(request).await.map_err(|error| {
            if error.is_connect() { Failure::Unsent } else { Failure::MaybeSent }
        })?;
        if !is_final(response.status()) {
            if let Some(connection) = connection.connection_metadata().as_ref() {
                connection.poison();
            }
            return Err(Failure::MaybeSent);
        }
        Ok(response)
    }
}
