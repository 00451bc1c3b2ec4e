//! The port to the platform: typed requests and answers (docs/PLATFORM.md) and one HTTP adapter.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::future::FutureExt as _;
use http::{Method, Request, StatusCode, header::HeaderMap};
use http_body_util::Full;
use hyper_util::{
    client::legacy::{Client as Http, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::sync::watch;

use crate::{
    body,
    circuit::{Health, Outcome},
    gate::{Counts, Gate},
    upstream,
};

/// Largest value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Largest listing or list of changes that is read, in bytes.
const MAX_LIST_BYTES: usize = 64 << 20;

/// Largest other answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = MAX_VALUE_BYTES;

/// Longest key or prefix, in bytes.
const MAX_KEY_BYTES: usize = 1_024;

/// Key that is read to see whether the platform answers.
const TRIAL_KEY: &str = "almondrack/trial";

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
    /// Sealing and reporting of usage windows.
    Report,
}

impl Cause {
    /// All causes, in the order of declaration.
    pub const ALL: [Cause; 9] = [
        Cause::Config,
        Cause::Watch,
        Cause::Lease,
        Cause::Usage,
        Cause::Claim,
        Cause::Hosts,
        Cause::Upstreams,
        Cause::Order,
        Cause::Report,
    ];

    /// Position in `ALL`.
    pub(crate) fn index(self) -> usize {
        self as usize
    }

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
    /// Refused without effect, for the moment. The status is zero if the call was not made, for want of budget or
    /// because the platform did not answer earlier calls.
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
            Failure::Busy(0) => f.write_str("the call to the platform was not made"),
            Failure::Busy(status) => write!(f, "the platform is unavailable (status {status})"),
            Failure::Refused(status, why) => write!(f, "the platform refused ({status}): {why}"),
            Failure::Invalid(why) => write!(f, "invalid answer from the platform: {why}"),
        }
    }
}

impl std::error::Error for Failure {}

/// Handle to the platform's HTTP interface; clones share connections, budgets and the circuit.
#[derive(Debug, Clone)]
pub struct Client {
    adapter: Adapter,
    gate: Gate,
}

/// Makes calls without asking whether they may be made.
#[derive(Debug, Clone)]
struct Adapter {
    http: Http<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    host: String,
}

/// One call.
#[derive(Debug)]
struct Call<'a> {
    cause: Cause,
    method: Method,
    path: String,
    headers: Vec<(&'a str, &'a str)>,
    body: Bytes,
    timeout_ms: u64,
    max_bytes: usize,
}

impl Call<'_> {
    fn new(cause: Cause, method: Method, path: String) -> Call<'static> {
        Call {
            cause,
            method,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
            timeout_ms: CALL_TIMEOUT_MS,
            max_bytes: MAX_ANSWER_BYTES,
        }
    }
}

struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// Whether the body has a length or chunks, so that it is known to be complete.
    is_framed: bool,
}

impl Client {
    /// Opens a client for the platform at an address; connections are made on use. Must be called in a runtime.
    pub fn open(address: SocketAddr, host: &str) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        let http = Http::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(Duration::from_secs(20))
            .build(connector);
        let adapter = Adapter { http, address, host: host.to_owned() };
        let trial = adapter.clone();
        let gate = Gate::spawn(move || {
            let adapter = trial.clone();
            async move { outcome(&adapter.get(Cause::Config, TRIAL_KEY).await) }.boxed()
        });
        Client { adapter, gate }
    }

    /// Whether the platform answers.
    pub fn health(&self) -> watch::Receiver<Health> {
        self.gate.health()
    }

    /// Calls by cause.
    pub fn counts(&self) -> watch::Receiver<Counts> {
        self.gate.counts()
    }

    /// Sets the number of hosts that share the zone's budgets.
    pub async fn set_zone_hosts(&self, hosts: usize) {
        self.gate.set_hosts(hosts as u64).await;
    }

    /// Reads a key.
    ///
    /// # Errors
    /// Any `Failure`.
    pub async fn get(&self, cause: Cause, key: &str) -> Result<Option<Value>, Failure> {
        self.guarded(cause, self.adapter.get(cause, key)).await
    }

    /// Writes a key if it stands at a version; zero means that it must not exist, `None` writes in any case.
    ///
    /// # Errors
    /// Any `Failure`. After `Unknown` or `Invalid` the write may have taken effect.
    pub async fn put(
        &self,
        cause: Cause,
        key: &str,
        value: Bytes,
        if_version: Option<u64>,
    ) -> Result<Write, Failure> {
        if value.len() > MAX_VALUE_BYTES {
            let why = format!("{} bytes, at most {MAX_VALUE_BYTES} are kept", value.len());
            return Err(Failure::Refused(413, why));
        }
        let call = self.adapter.write(cause, Method::PUT, key, value, if_version);
        self.guarded(cause, call).await
    }

    /// Deletes a key if it stands at a version.
    ///
    /// # Errors
    /// Any `Failure`. After `Unknown` or `Invalid` the deletion may have taken effect.
    pub async fn delete(
        &self,
        cause: Cause,
        key: &str,
        if_version: Option<u64>,
    ) -> Result<Write, Failure> {
        let call = self.adapter.write(cause, Method::DELETE, key, Bytes::new(), if_version);
        self.guarded(cause, call).await
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
        check(prefix)?;
        check(after)?;
        let path = format!("/v1/list?prefix={prefix}&after={after}&limit={limit}");
        let mut call = Call::new(cause, Method::GET, path);
        call.max_bytes = MAX_LIST_BYTES;
        self.guarded(cause, self.adapter.json(call)).await
    }

    /// Waits for changes under a prefix after a revision.
    ///
    /// # Errors
    /// Any `Failure`.
    pub async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<Changes, Failure> {
        check(prefix)?;
        let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let mut call = Call::new(Cause::Watch, Method::GET, path);
        call.timeout_ms = wait_ms.saturating_add(CALL_TIMEOUT_MS);
        call.max_bytes = MAX_LIST_BYTES;
        self.guarded(Cause::Watch, self.adapter.json(call)).await
    }

    /// Acquires or renews a lease.
    ///
    /// # Errors
    /// Any `Failure`. After `Unknown` or `Invalid` the lease may be held.
    pub async fn acquire(&self, name: &str, holder: &str, ttl_ms: u64) -> Result<Lease, Failure> {
        self.guarded(Cause::Lease, self.adapter.acquire(name, holder, ttl_ms)).await
    }

    /// Gives a lease up.
    ///
    /// # Errors
    /// Any `Failure`.
    pub async fn release(&self, name: &str, holder: &str) -> Result<(), Failure> {
        check(name)?;
        check(holder)?;
        let path = format!("/v1/lease/{name}?holder={holder}");
        let call = self.adapter.send(Call::new(Cause::Lease, Method::DELETE, path));
        let call = call.map(|answer| match answer?.ok() {
            Ok(_) | Err(Failure::Refused(404 | 409, _)) => Ok(()),
            Err(failure) => Err(failure),
        });
        self.guarded(Cause::Lease, call).await
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
        let call = Call::new(Cause::Hosts, Method::GET, "/v1/hosts".to_owned());
        let Body { hosts } = self.guarded(Cause::Hosts, self.adapter.json(call)).await?;
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
        check(zone)?;
        let path = format!("/v1/zones/{zone}/upstreams");
        let call = Call::new(Cause::Upstreams, Method::GET, path);
        let Body { upstreams } = self.guarded(Cause::Upstreams, self.adapter.json(call)).await?;
        Ok(upstreams)
    }

    /// Orders a start or stop in a zone and returns the upstream's name.
    ///
    /// # Errors
    /// Any `Failure`. After `Unknown` the order may have taken effect; it may be sent again under its id. `Busy` with 503
    /// if the zone has no such upstream at the moment.
    pub async fn order(&self, zone: &str, order: &Fenced<Order>) -> Result<String, Failure> {
        #[derive(Deserialize)]
        struct Body {
            upstream: String,
        }
        check(zone)?;
        let path = format!("/v1/zones/{zone}/orders");
        let mut call = Call::new(Cause::Order, Method::POST, path);
        call.body = encode(order);
        let call = self.adapter.send(call).map(|answer| match answer? {
            // The platform answers; the zone has none to give.
            answer if answer.names_reason() => Ok(Err(Failure::Busy(answer.status.as_u16()))),
            answer => Ok(Ok(decode::<Body>(&answer.ok()?.body)?.upstream)),
        });
        self.guarded(Cause::Order, call).await?
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
        check(window)?;
        let number = number.to_string();
        let path = format!("/v1/usage/{window}");
        let mut call = Call::new(Cause::Report, Method::POST, path);
        call.headers = vec![("x-lease", lease), ("x-number", number.as_str())];
        call.body = content;
        let call = self.adapter.send(call).map(|answer| answer?.ok().map(|_| ()));
        self.guarded(Cause::Report, call).await
    }

    /// Makes a call if budget and circuit admit it, and notes how it ended.
    async fn guarded<T>(
        &self,
        cause: Cause,
        call: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        let Some(ended) = self.gate.enter(cause).await else { return Err(Failure::Busy(0)) };
        let result = call.await;
        let _ = ended.send(outcome(&result));
        result
    }
}

fn outcome<T>(result: &Result<T, Failure>) -> Outcome {
    match result {
        Ok(_) | Err(Failure::Refused(..)) => Outcome::Answered,
        Err(Failure::Busy(429)) => Outcome::Throttled,
        Err(Failure::Busy(_) | Failure::Unknown(_) | Failure::Invalid(_)) => Outcome::Failed,
    }
}

impl Adapter {
    async fn get(&self, cause: Cause, key: &str) -> Result<Option<Value>, Failure> {
        check(key)?;
        let call = Call::new(cause, Method::GET, format!("/v1/kv/{key}"));
        match self.send(call).await?.ok() {
            Ok(answer) if !answer.is_framed => {
                Err(Failure::Unknown("the value has neither a length nor chunks".to_owned()))
            }
            Ok(answer) => {
                let version = version(&answer.headers)?;
                Ok(Some(Value { version, bytes: answer.body }))
            }
            Err(Failure::Refused(404, _)) => Ok(None),
            Err(failure) => Err(failure),
        }
    }

    async fn write(
        &self,
        cause: Cause,
        method: Method,
        key: &str,
        value: Bytes,
        if_version: Option<u64>,
    ) -> Result<Write, Failure> {
        check(key)?;
        let condition = if_version.map(|it| it.to_string());
        let mut call = Call::new(cause, method, format!("/v1/kv/{key}"));
        call.headers = condition.iter().map(|it| ("if-version", it.as_str())).collect();
        call.body = value;
        let answer = self.send(call).await?;
        match answer.status {
            StatusCode::OK => Ok(Write::Written(version(&answer.headers)?)),
            StatusCode::CONFLICT => Ok(Write::Conflict(version(&answer.headers)?)),
            StatusCode::NOT_FOUND => Ok(Write::Conflict(0)),
            status => Err(refusal(status, &answer.body)),
        }
    }

    async fn acquire(&self, name: &str, holder: &str, ttl_ms: u64) -> Result<Lease, Failure> {
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
        check(name)?;
        let mut call = Call::new(Cause::Lease, Method::POST, format!("/v1/lease/{name}"));
        call.body = encode(&Body { holder, ttl_ms });
        let answer = self.send(call).await?;
        if answer.status != StatusCode::CONFLICT {
            let Held { number } = decode(&answer.ok()?.body)?;
            return Ok(Lease::Held { number });
        }
        let Taken { holder, number, remaining_ms } = decode(&answer.body)?;
        Ok(Lease::Taken { holder, number, remaining_ms })
    }

    async fn json<T: DeserializeOwned>(&self, call: Call<'_>) -> Result<T, Failure> {
        decode(&self.send(call).await?.ok()?.body)
    }

    async fn send(&self, call: Call<'_>) -> Result<Answer, Failure> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .header("x-cause", call.cause.as_str())
            .header("x-host", &self.host);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(call.body))
            .map_err(|error| Failure::Refused(400, error.to_string()))?;
        let timeout = Duration::from_millis(call.timeout_ms);
        tokio::time::timeout(timeout, self.exchange(request, call.max_bytes))
            .await
            .map_err(|_| Failure::Unknown("timeout".to_owned()))?
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<Answer, Failure> {
        let answer =
            self.http.request(request).await.map_err(|error| Failure::Unknown(chain(&error)))?;
        let is_framed = !upstream::ends_with_connection(&answer);
        let (head, body) = answer.into_parts();
        let body = body::read(body, max_bytes).await.map_err(|error| match error {
            body::Failure::TooLong(_) => Failure::Invalid(error.to_string()),
            body::Failure::Cut(_) | body::Failure::Stalled(_) => {
                Failure::Unknown(error.to_string())
            }
        })?;
        Ok(Answer { status: head.status, headers: head.headers, body, is_framed })
    }
}

impl Answer {
    /// The answer if its status is 200.
    fn ok(self) -> Result<Answer, Failure> {
        match self.status {
            StatusCode::OK => Ok(self),
            status => Err(refusal(status, &self.body)),
        }
    }

    /// Whether this is a refusal for the moment that names its reason, as opposed to an outage.
    fn names_reason(&self) -> bool {
        #[derive(Deserialize)]
        struct Body {
            reason: String,
        }
        let reason = decode::<Body>(&self.body).is_ok_and(|it| !it.reason.is_empty());
        self.status == StatusCode::SERVICE_UNAVAILABLE && reason
    }
}

/// Checks that text stands for itself in a path or a query.
fn check(text: &str) -> Result<(), Failure> {
    let plain = |it: u8| it.is_ascii_alphanumeric() || b"-_.~/:@=,".contains(&it);
    if text.len() <= MAX_KEY_BYTES && text.bytes().all(plain) {
        return Ok(());
    }
    let why = format!("keys and names have at most {MAX_KEY_BYTES} letters, digits and -_.~/:@=,");
    Err(Failure::Refused(400, why))
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
        status @ (..200 | 500..) => Failure::Unknown(format!("status {status}")),
        status => Failure::Refused(status, String::from_utf8_lossy(body).into_owned()),
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| Failure::Invalid(error.to_string()))
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
