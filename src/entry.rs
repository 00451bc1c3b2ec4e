//! Callers' interface: authentication, routing and streaming.

use std::{
    cell::RefCell,
    convert::Infallible,
    fmt, io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};
use tokio_util::task::TaskTracker;
use xitca_http::{HttpServiceBuilder, config::HttpServiceConfig};
use xitca_io::net::Stream;
use xitca_server::ServerHandle;
use xitca_web::{
    App, WebContext,
    body::{BodyExt as _, RequestBody, ResponseBody, StreamDataBody},
    handler::handler_service,
    http::WebResponse,
    service::{Service, ServiceExt as _},
};

use crate::{
    attempts::Attempts,
    body::{Room, Roomed},
    config::{Snapshot, permitted},
    credential::{self, Digest},
    disconnect::{Registration, disconnected},
    dispatch_client,
    error::{Error, Kind, Run},
    exchange::{self, Exchange, Job, Reply},
    ledger::Served,
    limits::{self, AdmissionGuard, Admissions},
    metrics::Metrics,
    platform,
    record::{Key, Protocol, Role, Route},
    request,
    tally::Ended,
    time::wall_ms,
    upstream,
};

/// Header with the statement about the run.
pub const RUN_HEADER: &str = "almondrack-run";

/// Header with the request id.
pub const ID_HEADER: &str = "x-request-id";

/// Most tokens of output that are counted before they are generated.
const ESTIMATED_OUTPUT: u32 = 256;

/// Largest body of a completion request, in bytes, before its route is known.
const MAX_COMPLETION_BYTES: usize = 8 << 20;

/// What every worker of the callers' interface uses.
#[derive(Debug, Clone)]
pub struct Options {
    /// Id of this host.
    pub host: Arc<str>,
    /// Incarnation of this host.
    pub incarnation: u64,
    /// Availability zone of this host.
    pub zone: Arc<str>,
    /// Configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Dispatchers.
    pub dispatchers: dispatch_client::Client,
    /// Attempts in progress.
    pub attempts: Attempts,
    /// Whether the host is stopping.
    pub draining: watch::Receiver<bool>,
    /// Requests in progress.
    pub tracker: TaskTracker,
    /// Counters.
    pub metrics: Metrics,
    /// Takes what is billed.
    pub served: mpsc::Sender<Served>,
    /// Takes each request that ended.
    pub ended: mpsc::Sender<Ended>,
    /// Time for a caller to send its request.
    pub read_timeout: Duration,
    /// Memory for bodies of callers.
    pub bodies: Room,
    /// Longest silence of an upstream.
    pub idle_timeout: Duration,
    /// Time to connect to an upstream.
    pub connect_timeout: Duration,
    /// The platform, for claims of idempotency keys.
    pub platform: platform::Client,
    /// Limits of customers.
    pub admissions: Admissions,
    /// Numbers of requests.
    pub numbers: Arc<AtomicU64>,
}

/// Handle to the callers' interface.
pub struct Entry {
    /// Bound address.
    pub address: SocketAddr,
    server: ServerHandle,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry").field("address", &self.address).finish_non_exhaustive()
    }
}

/// State of one worker.
#[derive(Debug)]
struct Worker {
    options: Options,
    exchange: Exchange,
}

impl Entry {
    /// Binds the callers' interface and serves it.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn bind(address: SocketAddr, workers: usize, options: Options) -> io::Result<Entry> {
        let listener = TcpListener::bind(address)?;
        // Accepted connections inherit the option; chunks must not wait for acknowledgements.
        rustix::net::sockopt::set_tcp_nodelay(&listener, true)?;
        let address = listener.local_addr()?;
        let read_timeout = options.read_timeout;
        let state = move || {
            let options = options.clone();
            async move { Ok::<_, Infallible>(Worker::open(options)) }
        };
        let app = App::new()
            .with_async_state(state)
            .at("/", handler_service(handle))
            .at("/{*path}", handler_service(handle))
            .finish();
        let config = HttpServiceConfig::new().request_head_timeout(read_timeout);
        let http = HttpServiceBuilder::with_config(config);
        let mut server = xitca_server::Builder::new()
            .worker_threads(workers)
            .disable_signal()
            .listen("callers", listener, app.enclosed(http).enclosed_fn(connection))
            .build();
        let handle = server.handle()?;
        // The server owns a runtime, which must not be dropped within another one.
        thread::Builder::new().name("callers".to_owned()).spawn(move || server.wait())?;
        Ok(Entry { address, server: handle })
    }

    /// Stops accepting and ends idle connections. Requests in progress must have ended.
    pub fn stop(&self) {
        self.server.stop(true);
    }
}

impl Worker {
    fn open(options: Options) -> Worker {
        let exchange = Exchange {
            zone: options.zone.clone(),
            host: options.host.clone(),
            incarnation: options.incarnation,
            dispatchers: options.dispatchers.clone(),
            attempts: options.attempts.clone(),
            platform: options.platform.clone(),
            upstreams: upstream::Client::open(options.connect_timeout),
            idle_timeout: options.idle_timeout,
            metrics: options.metrics.clone(),
            served: options.served.clone(),
            ended: options.ended.clone(),
            numbers: options.numbers.clone(),
        };
        Worker { options, exchange }
    }
}

/// Serves one connection and keeps it registered meanwhile.
async fn connection<S>(service: &S, stream: Stream) -> Result<S::Response, S::Error>
where
    S: Service<Stream>,
{
    let registration = match &stream {
        Stream::Tcp(tcp, caller) => Registration::open(tcp, *caller).ok(),
        _ => None,
    };
    let result = service.call(stream).await;
    drop(registration);
    result
}

/// Runs a request until its answer begins or its caller leaves.
///
/// A request that may not be repeated runs on, since its answer is kept for a resend.
async fn run(
    context: &WebContext<'_, Worker>,
    worker: &Worker,
    job: Job,
    admitted: Option<AdmissionGuard>,
) -> Result<Reply, Error> {
    if !job.repeatable {
        return worker.exchange.run(job, admitted).await;
    }
    let caller = *context.req().body().socket_addr();
    tokio::select! {
        biased;
        reply = worker.exchange.run(job, admitted) => reply,
        () = disconnected(caller) => Err(Error::new(Kind::BadRequest, "the caller left").with_run(Run::Unknown)),
    }
}

async fn handle(context: &WebContext<'_, Worker>) -> WebResponse {
    let worker = context.state();
    let number = worker.options.numbers.fetch_add(1, Ordering::Relaxed);
    let id = format!("{}-{:x}-{number}", worker.options.host, worker.options.incarnation);
    let answer = match serve(context, worker, &id).await {
        Ok(answer) => answer,
        Err(error) => refusal(&error),
    };
    finish(answer, &id, *worker.options.draining.borrow())
}

/// Adds the headers of every answer.
fn finish(mut answer: WebResponse, id: &str, draining: bool) -> WebResponse {
    if let Ok(value) = HeaderValue::from_str(id) {
        answer.headers_mut().insert(ID_HEADER, value);
    }
    if draining {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// The answer to an error.
pub(crate) fn refusal(error: &Error) -> WebResponse {
    let answer = error.kind.answer();
    let body = serde_json::json!({
        "error": {
            "kind": answer.name,
            "type": answer.name,
            "message": error.message,
            "run": error.run,
        }
    });
    let mut response = json(error.status(), &body);
    response.headers_mut().insert(RUN_HEADER, HeaderValue::from_static(error.run.as_str()));
    let delay = error.retry_after_ms.or(answer.later.then_some(DEFAULT_RETRY_AFTER_MS));
    if let Some(ms) = delay {
        let seconds = HeaderValue::from(ms.div_ceil(1_000).max(1));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Delay that a caller is told when the dispatcher gave none, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

fn json(status: u16, body: &serde_json::Value) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(body.to_string()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Who sends a request.
#[derive(Debug, Clone)]
struct Caller {
    secret: Option<String>,
    key: Option<Key>,
}

impl Caller {
    fn customer(&self) -> Option<&str> {
        self.key.as_ref()?.customer.as_deref()
    }
}

async fn serve(
    context: &WebContext<'_, Worker>,
    worker: &Worker,
    id: &str,
) -> Result<WebResponse, Error> {
    if *worker.options.draining.borrow() {
        return Err(Error::new(Kind::Draining, "the host is stopping; ask another one"));
    }
    // Held until the answer is complete, so that a planned stop waits for it.
    let token = worker.options.tracker.token();
    let snapshot = worker.options.snapshot.borrow().clone();
    let caller = authenticate(context.req().headers(), &snapshot)?;
    let method = context.req().method().clone();
    let path = context.req().uri().path().to_owned();
    let chat = match path.as_str() {
        "/v1/models" => return models(&method, &snapshot, &caller),
        "/v1/chat/completions" => true,
        "/v1/completions" => false,
        _ => {
            let job = plain_job(context, worker, id, &snapshot, &caller).await?;
            let admitted = admit(worker, &snapshot, &job).await?;
            return reply(run(context, worker, job, admitted).await?, token);
        }
    };
    if method != Method::POST {
        return Err(Error::new(Kind::MethodNotAllowed, "completions take POST"));
    }
    if caller.key.is_none() && !snapshot.routes.iter().any(|it| it.open) {
        return Err(missing_key());
    }
    let body = read_body(context, worker, MAX_COMPLETION_BYTES).await?;
    let job = completion_job(context, &snapshot, &caller, id, body, chat)?;
    let admitted = admit(worker, &snapshot, &job).await?;
    reply(run(context, worker, job, admitted).await?, token)
}

/// Asks for the customer's limits, if it has any.
async fn admit(
    worker: &Worker,
    snapshot: &Snapshot,
    job: &Job,
) -> Result<Option<AdmissionGuard>, Error> {
    let limited = snapshot.customer(&job.customer).is_some_and(limits::is_limited);
    if !limited {
        return Ok(None);
    }
    let number = worker.options.numbers.fetch_add(1, Ordering::Relaxed);
    let tokens = u64::from(job.prompt_tokens) + u64::from(job.max_tokens.min(ESTIMATED_OUTPUT));
    let admitted = worker.options.admissions.admit(&job.customer, number, tokens).await?;
    Ok(Some(admitted))
}

fn authenticate(headers: &HeaderMap, snapshot: &Snapshot) -> Result<Caller, Error> {
    let Some(value) = headers.get(header::AUTHORIZATION).or_else(|| headers.get("x-api-key"))
    else {
        return Ok(Caller { secret: None, key: None });
    };
    let text = value.to_str().ok();
    let secret = text.and_then(|it| credential::bearer(it).or((!it.contains(' ')).then_some(it)));
    let unreadable = || Error::new(Kind::InvalidKey, "the key is not a bearer token");
    let secret = secret.ok_or_else(unreadable)?;
    let key = snapshot.authenticate(secret, wall_ms())?;
    if key.role != Role::Caller {
        return Err(Error::new(Kind::Forbidden, "the key is not a caller's key"));
    }
    Ok(Caller { secret: Some(secret.to_owned()), key: Some(key.clone()) })
}

fn missing_key() -> Error {
    Error::new(Kind::MissingKey, "the route needs a key, sent as 'Authorization: Bearer KEY'")
}

/// Checks that a caller may use a route and returns its customer, empty on open routes without a key.
fn authorize(route: &Route, caller: &Caller) -> Result<String, Error> {
    if caller.key.is_none() && !route.open {
        return Err(missing_key());
    }
    if !permitted(route, caller.customer()) {
        return Err(Error::new(Kind::Forbidden, "the key's customer may not use the route"));
    }
    Ok(caller.customer().unwrap_or_default().to_owned())
}

fn models(method: &Method, snapshot: &Snapshot, caller: &Caller) -> Result<WebResponse, Error> {
    if method != Method::GET {
        return Err(Error::new(Kind::MethodNotAllowed, "the list of models takes GET"));
    }
    let data: Vec<_> = snapshot
        .models_of(caller.customer())
        .map(|id| serde_json::json!({ "id": id, "object": "model", "owned_by": "almondrack" }))
        .collect();
    Ok(json(200, &serde_json::json!({ "object": "list", "data": data })))
}

/// Reads a caller's body within its time and size.
async fn read_body(
    context: &WebContext<'_, Worker>,
    worker: &Worker,
    limit: usize,
) -> Result<Bytes, Error> {
    let body = std::mem::take(&mut *context.body_borrow_mut());
    let reading = collect(body, worker.options.bodies.body(), limit);
    let timeout = worker.options.read_timeout;
    let late = || Error::new(Kind::ReadTimeout, "the body was not sent in time");
    tokio::time::timeout(timeout, reading).await.map_err(|_| late())?
}

async fn collect(mut body: RequestBody, mut out: Roomed, limit: usize) -> Result<Bytes, Error> {
    while let Some(frame) = body.data().await {
        let data = frame.map_err(|_| Error::new(Kind::BadRequest, "the body could not be read"))?;
        if out.len() + data.len() > limit {
            let message = format!("the body exceeds the limit of {limit} bytes");
            return Err(Error::new(Kind::BodyTooLarge, message));
        }
        if !out.push(&data) {
            return Err(Error::new(Kind::Shed, "the host has no room for the body at the moment"));
        }
    }
    Ok(out.finish())
}

fn completion_job(
    context: &WebContext<'_, Worker>,
    snapshot: &Snapshot,
    caller: &Caller,
    id: &str,
    body: Bytes,
    chat: bool,
) -> Result<Job, Error> {
    let completion = request::completion(&body, chat)?;
    let unknown = || {
        let message = format!("no route serves the model '{}'", completion.model);
        Error::new(Kind::UnknownModel, message)
    };
    let route = snapshot.route(snapshot.model(&completion.model).ok_or_else(unknown)?);
    let customer = authorize(route, caller)?;
    check_size(route, &body)?;
    let path = if chat { "/v1/chat/completions" } else { "/v1/completions" };
    let headers = request::forwarded(context.req().headers(), caller.secret.as_deref());
    let job = job(snapshot, route, customer, caller, id, body)?;
    Ok(Job {
        method: Method::POST,
        path: path.to_owned(),
        headers,
        prompt_tokens: completion.prompt_tokens,
        max_tokens: completion.max_tokens,
        prefix: completion.prefix,
        stream: completion.stream,
        overrides: completion.overrides,
        model: completion.model,
        ..job
    })
}

async fn plain_job(
    context: &WebContext<'_, Worker>,
    worker: &Worker,
    id: &str,
    snapshot: &Snapshot,
    caller: &Caller,
) -> Result<Job, Error> {
    let uri = context.req().uri();
    let secret = caller.secret.as_deref();
    let path = request::percent_decode(uri.path());
    if request::mentions(&path, secret) {
        return Err(Error::new(Kind::BadRequest, "the path contains a key"));
    }
    let unknown = || Error::new(Kind::UnknownPath, "no route serves the path");
    let route = snapshot.route(snapshot.path(uri.path()).ok_or_else(unknown)?);
    let customer = authorize(route, caller)?;
    let body = read_body(context, worker, route.max_body_bytes as usize).await?;
    let mut path = uri.path().to_owned();
    let query = uri.query().map(|it| request::forwarded_query(it, secret)).unwrap_or_default();
    if !query.is_empty() {
        path = format!("{path}?{query}");
    }
    let headers = request::forwarded(context.req().headers(), secret);
    let method = context.req().method().clone();
    let job = job(snapshot, route, customer, caller, id, body)?;
    Ok(Job { method, path, headers, ..job })
}

fn check_size(route: &Route, body: &Bytes) -> Result<(), Error> {
    if body.len() as u64 <= route.max_body_bytes {
        return Ok(());
    }
    let message = format!("the body exceeds the route's limit of {} bytes", route.max_body_bytes);
    Err(Error::new(Kind::BodyTooLarge, message))
}

fn job(
    snapshot: &Snapshot,
    route: &Route,
    customer: String,
    caller: &Caller,
    id: &str,
    body: Bytes,
) -> Result<Job, Error> {
    if request::mentions(&body, caller.secret.as_deref()) {
        return Err(Error::new(Kind::BadRequest, "the body contains a key"));
    }
    let broken = || Error::new(Kind::Internal, "the route's class or pool is missing");
    let class = snapshot.class(&route.class).ok_or_else(broken)?;
    let pool = snapshot.pool(&route.pool).ok_or_else(broken)?;
    let accepted = Instant::now();
    Ok(Job {
        id: id.to_owned(),
        weight: snapshot.customer(&customer).map_or(1, |it| it.weight),
        fingerprint: request::fingerprint(&customer, &route.name, &body),
        customer,
        class: class.clone(),
        route: route.name.clone(),
        pool: pool.name.clone(),
        protocol: pool.protocol,
        repeatable: route.repeatable || pool.protocol == Protocol::Engine,
        key: caller.secret.as_deref().map(Digest::of),
        method: Method::GET,
        path: String::new(),
        headers: HeaderMap::new(),
        prompt_tokens: (body.len() as u32).max(1),
        max_tokens: 0,
        prefix: 0,
        stream: false,
        overrides: request::Overrides::default(),
        model: String::new(),
        body,
        accepted,
        deadline: accepted + Duration::from_millis(route.timeout_ms),
    })
}

/// Builds the answer to the caller.
fn reply(
    reply: Reply,
    token: tokio_util::task::task_tracker::TaskTrackerToken,
) -> Result<WebResponse, Error> {
    let Reply { status, headers, body, run } = reply;
    let body = match body {
        exchange::Body::Whole(bytes) => ResponseBody::bytes(bytes),
        exchange::Body::Stream(stream) => {
            let chunks = futures::stream::unfold(Some((stream, token)), next_chunk);
            let chunks = RefCell::new(Box::pin(chunks)).into_inner();
            ResponseBody::body(StreamDataBody::new(chunks)).into_boxed()
        }
    };
    let mut response = WebResponse::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response.headers_mut().insert(RUN_HEADER, HeaderValue::from_static(run.as_str()));
    Ok(response)
}

type Chunks = Option<(Box<exchange::Stream>, tokio_util::task::task_tracker::TaskTrackerToken)>;

/// The next chunk of a stream; an error closes the caller's connection, so that the answer is seen to be cut.
async fn next_chunk(state: Chunks) -> Option<(Result<Bytes, io::Error>, Chunks)> {
    let (mut stream, token) = state?;
    match stream.next().await {
        Ok(Some(bytes)) => Some((Ok(bytes), Some((stream, token)))),
        Ok(None) => None,
        Err(kind) => Some((Err(io::Error::other(kind.answer().name)), None)),
    }
}
