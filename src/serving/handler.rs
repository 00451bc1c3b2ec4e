//! From a caller's HTTP request to a job of the exchange, and from its outcome to the answer.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Version, header};
use send_wrapper::SendWrapper;
use tokio::{sync::watch, time::timeout};
use xitca_web::{
    WebContext,
    body::{BodyExt as _, RequestBody, ResponseBody, StreamDataBody},
    http::WebResponse,
};

use crate::{
    credential::Digest,
    error::{Error, Kind},
    metrics::{Metrics, Outcome},
    serving::{
        buffered::LargeResponse,
        caller_connection::{CallerConnections, RequestGuard},
        dialect::{CallerHeaders, Dialect},
        exchange::{Body, CallerResponse, Exchange, RoutedRequest},
        relay::Relay,
        request_metrics::RequestMetrics,
        table::{Customer, Route, Table},
        tier,
    },
    time::{Span, Time},
};

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Time for which a request waits for the first configuration.
const FIRST_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(300);

/// What every connection uses.
pub struct Handler<D> {
    /// Reads and writes headers.
    pub dialect: Rc<D>,
    /// Configuration in force, `None` before the first one.
    pub table: watch::Receiver<Option<Arc<Table>>>,
    /// Until when requests with keys may be served, as far as the configuration is known to be the newest.
    pub keys_valid_until: watch::Receiver<Time>,
    /// Runs requests.
    pub exchange: Exchange<D>,
    /// Connections that are open.
    pub connections: CallerConnections,
    /// Counters of the host.
    pub metrics: Metrics,
    /// Whether answers close their connections.
    pub draining: watch::Receiver<bool>,
    /// From when requests are refused, as the host stops and they might not end.
    pub reject_from: Rc<Cell<Time>>,
}

impl<D> std::fmt::Debug for Handler<D> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handler").finish_non_exhaustive()
    }
}

/// State of the HTTP server's connections.
pub type State<D> = SendWrapper<Rc<Handler<D>>>;

/// Answers one request.
pub async fn handle<D: Dialect>(context: &WebContext<'_, State<D>>) -> WebResponse {
    let handler = context.state();
    let caller = *context.req().body().socket_addr();
    let busy = handler.connections.get(caller).map(|it| it.begin_request());
    let mut account = RequestMetrics::start(handler.metrics.clone(), Time::now());
    let mut answer = match serve(context, handler, &mut account).await {
        Ok(answer) => {
            account.first_byte(Time::now());
            respond(answer, busy, account)
        }
        Err(refusal) => {
            account.end(Outcome::Failed(refusal.error.kind));
            let mut answer = refuse(&*handler.dialect, &refusal.error);
            if refusal.close {
                close(&mut answer);
            }
            answer
        }
    };
    if *handler.draining.borrow() {
        close(&mut answer);
    }
    answer
}

fn close(answer: &mut WebResponse) {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// An error, and whether the rest of the connection cannot be read.
struct Refusal {
    error: Error,
    close: bool,
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Refusal {
        Refusal { error, close: false }
    }
}

async fn serve<D: Dialect>(
    context: &WebContext<'_, State<D>>,
    handler: &Handler<D>,
    account: &mut RequestMetrics,
) -> Result<CallerResponse, Refusal> {
    let accepted = Time::now();
    let request = context.req();
    if accepted >= handler.reject_from.get() {
        let error = Error::new(Kind::Draining, "the host stops").with_retry_after_ms(0);
        return Err(Refusal { error, close: true });
    }
    let framed = check_framing(request.headers(), request.version(), request.method());
    framed.map_err(|error| Refusal { error, close: true })?;
    let table = table(handler).await;
    let limits = table.as_ref().map(|it| it.limits).unwrap_or_default();
    let limit = limits.max_body_bytes;
    let body = std::mem::take(&mut *context.body_borrow_mut());
    let idle = Duration::from_millis(limits.idle_timeout_ms);
    let stated =
        request.headers().get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok()?.parse().ok());
    let body = read_body(body, limit, stated, idle).await;
    let body = body.map_err(|error| Refusal { error, close: true })?;
    let unknown = || Error::new(Kind::StoreUnavailable, "no configuration is known yet");
    let table = table.ok_or_else(unknown)?;
    let host = host(request.headers(), request.uri())?;
    let path = request.uri().path_and_query().map_or("/", |it| it.as_str());
    let no_route = || Error::new(Kind::UnknownPath, "no route takes the host and path");
    let route = table.route(&host, request.uri().path()).ok_or_else(no_route)?.clone();
    check_head(request.headers(), path, table.limits.max_head_bytes)?;
    let ask = handler.dialect.read_headers(request.headers())?;
    let customer = authenticate(handler, &table, &route, &ask, accepted).inspect_err(|error| {
        let id = ask.id.to_str().unwrap_or("?");
        let left = handler.keys_valid_until.borrow().since(accepted).as_ms();
        let version = table.version;
        log::info!(
            "request {id} is refused: {error}; configuration {version}, valid for {left} ms"
        );
    })?;
    let timeout = Span::from_ms(route.timeout_ms);
    let patience = ask.caller_timeout.map_or(timeout, |it| it.min(timeout));
    let headers = forwarded(&*handler.dialect, request.headers(), ask.secret.as_deref());
    let job = RoutedRequest {
        id: ask.id,
        method: request.method().clone(),
        path: path.to_owned(),
        headers,
        body,
        last_event_id: ask.last_event_id,
        prompt: ask.prompt,
        tier: tier::of(customer.as_ref().and_then(|it| it.priority), route.priority),
        customer,
        route,
        accepted_at: accepted,
        deadline: accepted + patience,
        caller_timeout: ask.caller_timeout.unwrap_or(timeout),
    };
    account.classify(job.tier, accepted + Span::from_ms(job.route.target_ms));
    let id = job.id.clone();
    let answer = handler.exchange.run(job).await;
    Ok(answer.inspect_err(|error| {
        let id = id.to_str().unwrap_or("?");
        let waited = Time::now().since(accepted).as_ms();
        log::info!(
            "request {id} is refused after {waited} ms: {error}, run {}",
            error.run.as_str()
        );
    })?)
}

/// The configuration in force; a host that has just started waits a moment for its first one.
async fn table<D>(handler: &Handler<D>) -> Option<Arc<Table>> {
    let mut tables = handler.table.clone();
    // A host that still has none answers so.
    let _ = timeout(FIRST_CONFIGURATION_TIMEOUT, tables.wait_for(Option::is_some)).await;
    handler.table.borrow().clone()
}

/// Refuses requests whose end could be read in two ways.
fn check_framing(headers: &HeaderMap, version: Version, method: &Method) -> Result<(), Error> {
    let bad = |message: &str| Err(Error::new(Kind::BadRequest, message));
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let encoding = encodings.next();
    if lengths > 1 || encodings.next().is_some() || (lengths > 0 && encoding.is_some()) {
        return bad("the length of the body is stated twice");
    }
    if encoding.is_some_and(|it| !it.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        return bad("the only transfer encoding that is taken is chunked");
    }
    if encoding.is_some() && version != Version::HTTP_11 {
        return bad("transfer encodings need HTTP/1.1");
    }
    if headers.contains_key(header::UPGRADE) || *method == Method::CONNECT {
        return bad("connections cannot be upgraded");
    }
    Ok(())
}

fn check_head(headers: &HeaderMap, path: &str, limit: usize) -> Result<(), Error> {
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    if fields.sum::<usize>() + path.len() <= limit {
        return Ok(());
    }
    let message = format!("the head exceeds the limit of {limit} bytes");
    Err(Error::new(Kind::HeadTooLarge, message))
}

/// The host name that the caller asks for, without port and in lower case.
fn host(headers: &HeaderMap, uri: &http::Uri) -> Result<String, Error> {
    let mut stated = headers.get_all(header::HOST).iter();
    let name = stated.next().and_then(|it| it.to_str().ok());
    if stated.next().is_some() {
        return Err(Error::new(Kind::BadRequest, "the host is stated twice"));
    }
    let name = uri.host().or(name);
    let name = name.ok_or_else(|| Error::new(Kind::BadRequest, "the host is not stated"))?;
    let name = match name.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        _ => name,
    };
    Ok(name.to_ascii_lowercase())
}

async fn read_body(
    mut body: RequestBody,
    limit: usize,
    stated: Option<usize>,
    idle: Duration,
) -> Result<Bytes, Error> {
    let too_large = || {
        let message = format!("the body exceeds the limit of {limit} bytes");
        Error::new(Kind::BodyTooLarge, message)
    };
    if stated.is_some_and(|it| it > limit) {
        return Err(too_large());
    }
    let mut out = BytesMut::new();
    loop {
        let late = |_| Error::new(Kind::ReadTimeout, "the body was not sent in time");
        let Some(frame) = timeout(idle, body.data()).await.map_err(late)? else { break };
        let data = frame.map_err(|_| Error::new(Kind::BadRequest, "the body cannot be read"))?;
        if out.len() + data.len() > limit {
            return Err(too_large());
        }
        out.extend_from_slice(&data);
    }
    if stated.is_some_and(|it| it != out.len()) {
        return Err(Error::new(Kind::BadRequest, "the body ended early"));
    }
    Ok(out.freeze())
}

/// Customer of the request's key; `None` on open routes without one.
fn authenticate<D>(
    handler: &Handler<D>,
    table: &Table,
    route: &Route,
    ask: &CallerHeaders,
    now: Time,
) -> Result<Option<Arc<Customer>>, Error> {
    if !table.requires_keys() {
        return Ok(None);
    }
    let known = ask.secret.as_deref().and_then(|it| table.customer(&Digest::of(it)));
    if route.public {
        return Ok(known.filter(|_| now < *handler.keys_valid_until.borrow()).cloned());
    }
    if now >= *handler.keys_valid_until.borrow() {
        let message = "the configuration may be out of date, so that keys cannot be checked";
        return Err(Error::new(Kind::StoreUnavailable, message));
    }
    match (&ask.secret, known) {
        (None, _) => Err(Error::new(Kind::MissingKey, "the route needs a key")),
        (Some(_), None) => Err(Error::new(Kind::InvalidKey, "the key is unknown or withdrawn")),
        (Some(_), Some(customer)) => Ok(Some(customer.clone())),
    }
}

/// The headers that pass to an upstream.
fn forwarded<D: Dialect>(dialect: &D, headers: &HeaderMap, secret: Option<&str>) -> HeaderMap {
    let listed: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| it.trim().to_ascii_lowercase())
        .collect();
    let secret = secret.filter(|it| !it.is_empty()).map(str::as_bytes);
    let mut out = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let own = HOP_BY_HOP.contains(name) || listed.iter().any(|it| it == name.as_str());
        let holds_key =
            secret.is_some_and(|it| value.as_bytes().windows(it.len()).any(|window| window == it));
        let framing = *name == header::CONTENT_LENGTH;
        if !own && !holds_key && !framing && !dialect.is_reserved(name) {
            out.append(name.clone(), value.clone());
        }
    }
    out
}

fn refuse<D: Dialect>(dialect: &D, error: &Error) -> WebResponse {
    let answer = error.kind.answer();
    let body = serde_json::json!({
        "error": { "kind": answer.name, "message": error.message, "run": error.run }
    });
    let mut response = WebResponse::new(ResponseBody::bytes(body.to_string()));
    *response.status_mut() = dialect.status(error.kind);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(ms) = error.retry_after_ms
        && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", ms as f64 / 1_000.0))
    {
        headers.insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn respond(
    answer: CallerResponse,
    busy: Option<RequestGuard>,
    mut account: RequestMetrics,
) -> WebResponse {
    let CallerResponse { status, headers, body } = answer;
    let body = match body {
        Body::Complete(bytes) => {
            let failed = status.is_server_error();
            account.end(if failed { Outcome::Errored } else { Outcome::Whole });
            ResponseBody::bytes(bytes)
        }
        Body::Stream(relay) => pass_on(Flow::Events(relay), busy, account),
        Body::Large(large) => pass_on(Flow::Bytes(large), busy, account),
    };
    let mut response = WebResponse::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// An answer that is passed on as it comes.
enum Flow {
    Events(Box<Relay>),
    Bytes(Box<LargeResponse>),
}

impl Flow {
    async fn next(&mut self) -> Result<Option<Bytes>, Kind> {
        match self {
            Flow::Events(relay) => relay.next().await,
            Flow::Bytes(large) => large.next().await,
        }
    }
}

fn pass_on(flow: Flow, busy: Option<RequestGuard>, account: RequestMetrics) -> ResponseBody {
    let chunks = futures::stream::unfold(Some((flow, busy, account)), next_chunk);
    let chunks = RefCell::new(Box::pin(chunks)).into_inner();
    ResponseBody::body(StreamDataBody::new(chunks)).into_boxed()
}

type Chunks = Option<(Flow, Option<RequestGuard>, RequestMetrics)>;

/// The next chunk of a stream; an error closes the caller's connection, so that the answer is seen to be cut.
async fn next_chunk(state: Chunks) -> Option<(Result<Bytes, io::Error>, Chunks)> {
    let (mut flow, busy, mut account) = state?;
    match flow.next().await {
        Ok(Some(bytes)) => Some((Ok(bytes), Some((flow, busy, account)))),
        Ok(None) => {
            account.end(Outcome::Whole);
            None
        }
        Err(kind) => {
            account.end(Outcome::Failed(kind));
            Some((Err(io::Error::other(kind.answer().name)), None))
        }
    }
}
