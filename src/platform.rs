//! The port to the platform: typed requests and answers (docs/PLATFORM.md) and one HTTP adapter.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header::HeaderMap};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{
    client::legacy::{Client as Http, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Largest value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Time for one call other than a watch, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Why a call to the platform is made; calls are counted by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Reads and writes of configuration records.
    Config,
    /// Waits for configuration changes.
    Watch,
    /// Acquisition and renewal of leases.
    Lease,
    /// Usage batches and sealed windows.
    Usage,
    /// Claims of idempotency keys.
    Claim,
    /// The list of hosts.
    Hosts,
    /// The list of a zone's upstreams.
    Upstreams,
    /// Orders to start and stop upstreams and their intents.
    Order,
    /// Reports of usage.
    Report,
}

impl Cause {
    /// Value of the `x-cause` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Config => "config",
            Cause::Watch => "watch",
            Cause::Lease => "lease",
            Cause::Usage => "usage",
            Cause::Claim => "claim",
            Cause::Hosts => "hosts",
            Cause::Upstreams => "upstreams",
            Cause::Order => "order",
            Cause::Report => "report",
        }
    }
}

/// A value with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// Revision of the last write of this key.
    pub version: u64,
    /// At most `MAX_VALUE_BYTES`.
    pub bytes: Bytes,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Write {
    /// The write took effect at this revision.
    Written(u64),
    /// The key stands at this version, zero if it does not exist.
    Conflict(u64),
}

/// One key of a listing or a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key in the store.
    pub key: String,
    /// Revision of the last write, or of the deletion.
    pub version: u64,
    /// Absent if the key was deleted.
    pub value: Option<String>,
}

/// One page of a listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision at which the listing was true.
    pub revision: u64,
    /// In key order.
    pub entries: Vec<Entry>,
    /// Whether entries follow after the last key.
    #[serde(default)]
    pub more: bool,
}

/// Answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision to watch after.
    pub revision: u64,
    /// Changed keys.
    pub entries: Vec<Entry>,
    /// Whether the history was too short and a listing is needed.
    #[serde(default)]
    pub reset: bool,
}

/// Outcome of an attempt to acquire or renew a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lease {
    /// Held by the caller under this fencing number.
    Held {
        /// Fencing number, grows with each new holder.
        number: u64,
    },
    /// Held by another host.
    Taken {
        /// The other host.
        holder: String,
        /// Its fencing number.
        number: u64,
        /// Time until the lease ends, in milliseconds.
        remaining_ms: u64,
    },
}

/// A host in the platform's lagging list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Host id.
    pub id: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Address for peers, IP and port.
    pub peer: SocketAddr,
    /// Administration address, IP and port.
    pub admin: SocketAddr,
    /// Whether the platform is about to remove the host.
    #[serde(default)]
    pub leaving: bool,
}

/// State of an upstream in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Ordered and not ready yet.
    Starting,
    /// Ready.
    Running,
    /// About to stop.
    Leaving,
}

/// An upstream in the platform's list of a zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Unique name.
    pub id: String,
    /// Pool that it was ordered for.
    pub pool: String,
    /// Address, IP and port.
    pub address: SocketAddr,
    /// Life-cycle state.
    pub state: State,
    /// Whether the platform may reclaim it.
    #[serde(default)]
    pub cheap: bool,
    /// Price in currency units per hour.
    #[serde(default)]
    pub cost_per_hour: f64,
    /// Time until it is reclaimed, in milliseconds, if that was announced.
    #[serde(default)]
    pub reclaim_ms: Option<u64>,
}

/// What a zone's platform is asked to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Start one upstream.
    Start {
        /// Pool of the upstream.
        pool: String,
        /// Whether a reclaimable one is wanted.
        cheap: bool,
    },
    /// Stop one upstream.
    Stop {
        /// Name of the upstream.
        upstream: String,
    },
}

/// An order with its authority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced<T> {
    /// Id under which the order is idempotent.
    pub id: String,
    /// Name of the lease that the sender holds.
    pub lease: String,
    /// Fencing number of the lease.
    pub number: u64,
    /// Wall-clock time after which the order must be refused, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// What is ordered.
    pub order: T,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No answer, or an answer without meaning. A write may have taken effect.
    Unknown(String),
    /// The platform refused without effect, for the moment.
    Busy(u16),
    /// The platform refused without effect, for good.
    Refused(u16, String),
    /// The answer is not valid.
    Invalid(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unknown(why) => write!(f, "no answer from the platform: {why}"),
            Failure::Busy(status) => write!(f, "the platform is unavailable (status {status})"),
            Failure::Refused(status, why) => write!(f, "the platform refused ({status}): {why}"),
            Failure::Invalid(why) => write!(f, "invalid answer from the platform: {why}"),
        }
    }
}

impl std::error::Error for Failure {}

/// Handle to the platform's HTTP interface; clones share connections.
#[derive(Debug, Clone)]
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    host: String,
}

struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Client {
    /// Opens a client for the platform at an address; connections are made on use.
    pub fn open(address: SocketAddr, host: &str) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        let http = Http::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(Duration::from_secs(20))
            .build(connector);
        Client { http, address, host: host.to_owned() }
    }

    /// Reads a key.
    ///
    /// # Errors
    /// Any `Failure`.
    pub async fn get(&self, cause: Cause, key: &str) -> Result<Option<Value>, Failure> {
        let answer = self.call(cause, Method::GET, &format!("/v1/kv/{key}"), &[], None).await?;
        match answer.status {
            StatusCode::OK => {
                let version = version(&answer.headers)?;
                Ok(Some(Value { version, bytes: answer.body }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(refusal(status, &answer.body)),
        }
    }

    /// Writes a key if it stands at a version; zero means that it must not exist, `None` writes in any case.
    ///
    /// # Errors
    /// Any `Failure`. After `Unknown` the write may have taken effect.
    pub async fn put(
        &self,
        cause: Cause,
        key: &str,
        value: Bytes,
        if_version: Option<u64>,
    ) -> Result<Write, Failure> {
        self.write(cause, Method::PUT, key, Some(value), if_version).await
    }

    /// Deletes a key if it stands at a version.
    ///
    /// # Errors
    /// Any `Failure`. After `Unknown` the deletion may have taken effect.
    pub async fn delete(
        &self,
        cause: Cause,
        key: &str,
        if_version: Option<u64>,
    ) -> Result<Write, Failure> {
        self.write(cause, Method::DELETE, key, None, if_version).await
    }

    async fn write(
        &self,
        cause: Cause,
        method: Method,
        key: &str,
        value: Option<Bytes>,
        if_version: Option<u64>,
    ) -> Result<Write, Failure> {
        let condition = if_version.map(|it| it.to_string());
        let headers: Vec<_> = condition.iter().map(|it| ("if-version", it.as_str())).collect();
        let answer = self.call(cause, method, &format!("/v1/kv/{key}"), &headers, value).await?;
        match answer.status {
            StatusCode::OK => Ok(Write::Written(version(&answer.headers)?)),
            StatusCode::CONFLICT => Ok(Write::Conflict(version(&answer.headers)?)),
            StatusCode::NOT_FOUND => Ok(Write::Conflict(0)),
            status => Err(refusal(status, &answer.body)),
        }
    }

    /// Lists keys under a prefix, one page.
    ///
    /// # Errors
    /// Any `Failure`.
    pub async fn list(
        &self,
        cause: Cause,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Listing, Failure> {
        let path = format!("/v1/list?prefix={prefix}&after={after}&limit={limit}");
        self.json(cause, Method::GET, &path, None).await
    }

    /// Waits for changes under a prefix after a revision.
    ///
    /// # Errors
    /// Any `Failure`.
    pub async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<Changes, Failure> {
        let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let timeout = Duration::from_millis(wait_ms + CALL_TIMEOUT_MS);
        let answer = self.send(Cause::Watch, Method::GET, &path, &[], None, timeout).await?;
        parse(answer)
    }

    /// Acquires or renews a lease.
    ///
    /// # Errors
    /// Any `Failure`. After `Unknown` the lease may be held.
    pub async fn acquire(&self, name: &str, holder: &str, ttl_ms: u64) -> Result<Lease, Failure> {
        #[derive(Serialize)]
        struct Body<'a> {
            holder: &'a str,
            ttl_ms: u64,
        }
        #[derive(Deserialize)]
        struct Held {
            number: u64,
        }
        #[derive(Deserialize)]
        struct Taken {
            holder: String,
            number: u64,
            remaining_ms: u64,
        }
        let path = format!("/v1/lease/{name}");
        let body = encode(&Body { holder, ttl_ms });
        let answer = self.call(Cause::Lease, Method::POST, &path, &[], Some(body)).await?;
        if answer.status != StatusCode::CONFLICT {
            let Held { number } = parse(answer)?;
            return Ok(Lease::Held { number });
        }
        let Taken { holder, number, remaining_ms } = decode(&answer.body)?;
        Ok(Lease::Taken { holder, number, remaining_ms })
    }

    /// Gives a lease up.
    ///
    /// # Errors
    /// Any `Failure`.
    pub async fn release(&self, name: &str, holder: &str) -> Result<(), Failure> {
        let path = format!("/v1/lease/{name}?holder={holder}");
        let answer = self.call(Cause::Lease, Method::DELETE, &path, &[], None).await?;
        match answer.status {
            StatusCode::OK | StatusCode::NOT_FOUND | StatusCode::CONFLICT => Ok(()),
            status => Err(refusal(status, &answer.body)),
        }
    }

    /// Reads the lagging list of hosts.
    ///
    /// # Errors
    /// Any `Failure`.
    pub async fn hosts(&self) -> Result<Vec<Host>, Failure> {
        #[derive(Deserialize)]
        struct Body {
            hosts: Vec<Host>,
        }
        let Body { hosts } = self.json(Cause::Hosts, Method::GET, "/v1/hosts", None).await?;
        Ok(hosts)
    }

    /// Reads the list of a zone's upstreams.
    ///
    /// # Errors
    /// Any `Failure`.
    pub async fn upstreams(&self, zone: &str) -> Result<Vec<Upstream>, Failure> {
        #[derive(Deserialize)]
        struct Body {
            upstreams: Vec<Upstream>,
        }
        let path = format!("/v1/zones/{zone}/upstreams");
        let Body { upstreams } = self.json(Cause::Upstreams, Method::GET, &path, None).await?;
        Ok(upstreams)
    }

    /// Orders a start or stop in a zone and returns the upstream's name.
    ///
    /// # Errors
    /// Any `Failure`. After `Unknown` the order may have taken effect; it may be sent again under its id.
    pub async fn order(&self, zone: &str, order: &Fenced<Order>) -> Result<String, Failure> {
        #[derive(Deserialize)]
        struct Body {
            upstream: String,
        }
        let path = format!("/v1/zones/{zone}/orders");
        let body = Some(encode(order));
        let Body { upstream } = self.json(Cause::Order, Method::POST, &path, body).await?;
        Ok(upstream)
    }

    /// Reports the usage of a window.
    ///
    /// # Errors
    /// Any `Failure`; `Refused` with 409 if the window was reported with other content.
    pub async fn report(
        &self,
        window: &str,
        lease: &str,
        number: u64,
        content: Bytes,
    ) -> Result<(), Failure> {
        let number = number.to_string();
        let headers = [("x-lease", lease), ("x-number", number.as_str())];
        let path = format!("/v1/usage/{window}");
        let answer = self.call(Cause::Report, Method::POST, &path, &headers, Some(content)).await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            status => Err(refusal(status, &answer.body)),
        }
    }

    async fn json<T: DeserializeOwned>(
        &self,
        cause: Cause,
        method: Method,
        path: &str,
        body: Option<Bytes>,
    ) -> Result<T, Failure> {
        parse(self.call(cause, method, path, &[], body).await?)
    }

    async fn call(
        &self,
        cause: Cause,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<Bytes>,
    ) -> Result<Answer, Failure> {
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        self.send(cause, method, path, headers, body, timeout).await
    }

    async fn send(
        &self,
        cause: Cause,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<Bytes>,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("x-cause", cause.as_str())
            .header("x-host", &self.host);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.unwrap_or_default()))
            .map_err(|error| Failure::Refused(400, error.to_string()))?;
        tokio::time::timeout(timeout, self.exchange(request))
            .await
            .map_err(|_| Failure::Unknown("timeout".to_owned()))?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, Failure> {
        let answer =
            self.http.request(request).await.map_err(|error| Failure::Unknown(chain(&error)))?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| Failure::Unknown(error.to_string()))?;
        Ok(Answer { status: head.status, headers: head.headers, body: body.to_bytes() })
    }
}

fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}

fn version(headers: &HeaderMap) -> Result<u64, Failure> {
    let value = headers.get("x-version").and_then(|it| it.to_str().ok());
    value
        .and_then(|it| it.parse().ok())
        .ok_or_else(|| Failure::Invalid("x-version is missing or not a number".to_owned()))
}

fn refusal(status: StatusCode, body: &[u8]) -> Failure {
    match status.as_u16() {
        status @ (429 | 503) => Failure::Busy(status),
        status @ 500..=599 => Failure::Unknown(format!("status {status}")),
        status => Failure::Refused(status, String::from_utf8_lossy(body).into_owned()),
    }
}

fn parse<T: DeserializeOwned>(answer: Answer) -> Result<T, Failure> {
    match answer.status {
        StatusCode::OK => decode(&answer.body),
        status => Err(refusal(status, &answer.body)),
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| Failure::Invalid(error.to_string()))
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
