//! Handles callers' HTTP requests: validates and routes each one, runs it through the exchange and writes the response.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version, header};
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
        caller_connection::{self, BodyGuard, Connection, Limit, RequestGuard, no_room},
        dialect::{CallerHeaders, Dialect},
        exchange::{self, Body, CallerResponse, Exchange, RoutedRequest},
        relay::Relay,
        request_metrics,
        table::{Customer, Limits, Route, Table},
        tier,
    },
    time::{Span, Time},
};

/// Hop-by-hop request headers, which are not forwarded to upstreams.
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

/// Bytes of a body that a caller sends at least in a millisecond, after the time that it may pause.
const MIN_BODY_RATE: usize = 8;

/// Idle time-outs that the pauses of a body may take together.
const MAX_BODY_PAUSES: u32 = 4;

/// Longest time that a request waits for the first configuration of a host that has just started.
const FIRST_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(300);

/// Retry delay for a request that only a newer configuration may allow, in milliseconds. Other hosts may know one, and this
/// host asks several times a second.
const OUT_OF_DATE_RETRY_AFTER_MS: u64 = 300;

/// State shared by all connections of a host.
pub struct Handler<D> {
    /// Reads and writes the headers of callers and upstreams.
    pub dialect: Rc<D>,
    /// Current configuration; `None` until the first one has been read.
    pub table: watch::Receiver<Option<Arc<Table>>>,
    /// Time until which keys are accepted; moves forward each time the configuration is verified to be the newest.
    pub keys_valid_until: watch::Receiver<Time>,
    /// Time until which the configuration is known to be the one in force; moves forward with each verification.
    pub current_until: watch::Receiver<Time>,
    /// Sends requests to upstreams.
    pub exchange: Exchange<D>,
    /// Open connections of callers.
    pub connections: caller_connection::Connections,
    /// Metrics of the host.
    pub metrics: Metrics,
    /// Whether each response closes its connection.
    pub draining: watch::Receiver<bool>,
    /// Time from which new requests are refused because the host is stopping and might not finish them.
    pub reject_from: Rc<Cell<Time>>,
}

impl<D> std::fmt::Debug for Handler<D> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handler").finish_non_exhaustive()
    }
}

/// The handler as application state of the HTTP server.
pub type State<D> = SendWrapper<Rc<Handler<D>>>;

/// Serves one request.
pub async fn handle<D: Dialect>(context: &WebContext<'_, State<D>>) -> WebResponse {
    let handler = context.state();
    let caller = *context.req().body().socket_addr();
    let connection = handler.connections.get(caller);
    let request_guard = connection.as_ref().map(|it| it.begin_request());
    let mut metrics = request_metrics::Recorder::start(handler.metrics.clone(), Time::now());
    let mut closes = asks_to_close(context.req().headers(), context.req().version());
    let has_body = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING]
        .iter()
        .any(|it| context.req().headers().contains_key(it));
    let result = match &connection {
        Some(it) if it.is_closing() => Err(Rejection {
            error: Error::new(Kind::Draining, "the connection closes"),
            close: true,
        }),
        _ => serve(context, handler, connection.as_ref(), &mut metrics).await,
    };
    let mut response = match result {
        Ok(response) => {
            metrics.first_byte(Time::now());
            caller_response(response, request_guard, metrics)
        }
        Err(rejection) => {
            metrics.end(Outcome::Failed(rejection.error.kind));
            closes |= rejection.close;
            if let Some(connection) = connection.as_ref().filter(|_| rejection.close && has_body) {
                connection.abandon_body();
            }
            error_response(&*handler.dialect, &rejection.error)
        }
    };
    closes |= connection.as_ref().is_some_and(Connection::is_crowded);
    if closes || *handler.draining.borrow() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        if let Some(connection) = connection {
            connection.close_after_answer();
        }
    }
    response
}

/// Whether the caller wants no further answer on its connection.
fn asks_to_close(headers: &HeaderMap, version: Version) -> bool {
    let has = |option: &str| connection_options(headers).any(|it| it.eq_ignore_ascii_case(option));
    has("close") || version < Version::HTTP_11 && !has("keep-alive")
}

/// Options of the `Connection` headers.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    values.flat_map(|it| it.split(',')).map(str::trim)
}

/// Error response to a caller. `close` is set if the connection cannot be reused, as the request was not read to its
/// end.
struct Rejection {
    error: Error,
    close: bool,
}

impl From<Error> for Rejection {
    fn from(error: Error) -> Rejection {
        Rejection { error, close: false }
    }
}

/// What the configuration says about a request. A request that waits holds these in place of the configuration, which may
/// be large and replaced many times meanwhile.
struct Rules {
    version: u64,
    limits: Limits,
    route: Option<Arc<Route>>,
    /// Whether requests on routes that are not public need a key.
    requires_keys: bool,
    /// Customer of the request's key, `None` if it has none or an unknown one.
    customer: Option<Arc<Customer>>,
}

impl Rules {
    fn select(table: &Table, (host, path): (&str, &str), api_key: Option<&str>) -> Rules {
        Rules {
            version: table.version,
            limits: table.limits,
            route: table.route(host, path).cloned(),
            requires_keys: table.requires_keys(),
            customer: api_key.and_then(|it| table.customer(&Digest::of(it))).cloned(),
        }
    }
}

async fn serve<D: Dialect>(
    context: &WebContext<'_, State<D>>,
    handler: &Handler<D>,
    connection: Option<&Connection>,
    metrics: &mut request_metrics::Recorder,
) -> Result<CallerResponse, Rejection> {
    let accepted_at = Time::now();
    let request = context.req();
    if accepted_at >= handler.reject_from.get() {
        let error = Error::new(Kind::Draining, "the host stops").with_retry_after_ms(0);
        return Err(Rejection { error, close: true });
    }
    let framing = check_framing(request.headers(), request.version(), request.method());
    framing.map_err(|error| Rejection { error, close: true })?;
    let host = host(request.headers(), request.uri());
    let caller_headers = handler.dialect.read_headers(request.headers());
    let rules = {
        let name = host.as_deref().unwrap_or_default();
        let api_key = caller_headers.as_ref().ok().and_then(|it| it.api_key.as_deref());
        let table = current_table(handler).await;
        table.map(|it| Rules::select(&it, (name, request.uri().path()), api_key))
    };
    let limits = rules.as_ref().map(|it| it.limits).unwrap_or_default();
    let limit = limits.max_body_bytes;
    let body = std::mem::take(&mut *context.body_borrow_mut());
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let declared_length =
        request.headers().get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok()?.parse().ok());
    let body = read_body(connection, body, (limit, declared_length), idle_timeout).await;
    let body = body.map_err(|error| Rejection { error, close: true })?;
    let no_configuration = || Error::new(Kind::StoreUnavailable, "no configuration is known yet");
    let rules = rules.ok_or_else(no_configuration)?;
    host?;
    let path = request.uri().path_and_query().map_or("/", |it| it.as_str());
    let unknown_route = || {
        out_of_date(handler, accepted_at)
            .unwrap_or_else(|| Error::new(Kind::UnknownPath, "no route takes the host and path"))
    };
    let route = rules.route.clone().ok_or_else(unknown_route)?;
    check_head_size(request.headers(), path, limits.max_head_bytes)?;
    let caller_headers = caller_headers?;
    let authenticated = authenticate(handler, &rules, &route, &caller_headers, accepted_at);
    let customer = authenticated.inspect_err(|error| {
        let id = caller_headers.id.to_str().unwrap_or("?");
        let left = handler.keys_valid_until.borrow().since(accepted_at).as_ms();
        let version = rules.version;
        log::info!(
            "request {id} refused: {error}; configuration version {version}, keys valid for {left} ms"
        );
    })?;
    if customer.is_some() {
        check_id(&caller_headers)?;
    }
    let timeout = Span::from_ms(route.timeout_ms);
    let time_limit = caller_headers.caller_timeout.map_or(timeout, |it| it.min(timeout));
    let headers =
        upstream_headers(&*handler.dialect, request.headers(), caller_headers.api_key.as_deref());
    let contents = exchange::contents(
        customer.as_ref().map(|it| &*it.name),
        path,
        &body,
        caller_headers.prompt.as_ref(),
    );
    let routed = RoutedRequest {
        contents,
        id: caller_headers.id,
        method: request.method().clone(),
        path: path.to_owned(),
        headers,
        body,
        last_event_id: caller_headers.last_event_id,
        resumes: caller_headers.resumes,
        prompt: caller_headers.prompt,
        tier: tier::of(customer.as_ref().and_then(|it| it.priority), route.priority),
        customer,
        route,
        accepted_at,
        deadline: accepted_at + time_limit,
        caller_timeout: caller_headers.caller_timeout.unwrap_or(timeout),
    };
    metrics.classify(routed.tier, accepted_at + Span::from_ms(routed.route.target_ms));
    let (id, route, tier) = (routed.id.clone(), routed.route.name.clone(), routed.tier);
    let response = handler.exchange.run(routed).await;
    Ok(response.inspect_err(|error| {
        let id = id.to_str().unwrap_or("?");
        let elapsed_ms = Time::now().since(accepted_at).as_ms();
        log::info!(
            "request {id} refused after {elapsed_ms} ms: {error}, run {}, route {route}, tier {tier}",
            error.run.as_str()
        );
    })?)
}

/// Returns the current configuration. Waits briefly for the first one on a host that has just started.
async fn current_table<D>(handler: &Handler<D>) -> Option<Arc<Table>> {
    let mut tables = handler.table.clone();
    // On a timeout the table is still `None`, and the request fails with `StoreUnavailable`.
    let _ = timeout(FIRST_CONFIGURATION_TIMEOUT, tables.wait_for(Option::is_some)).await;
    handler.table.borrow().clone()
}

/// Rejects requests with ambiguous framing, which could be used for request smuggling.
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

fn check_head_size(headers: &HeaderMap, path: &str, limit: usize) -> Result<(), Error> {
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    if fields.sum::<usize>() + path.len() <= limit {
        return Ok(());
    }
    let message = format!("the head exceeds the limit of {limit} bytes");
    Err(Error::new(Kind::HeadTooLarge, message))
}

/// Returns the requested host name in lower case and without the port.
fn host(headers: &HeaderMap, uri: &http::Uri) -> Result<String, Error> {
    let mut names = headers.get_all(header::HOST).iter();
    let name = names.next().and_then(|it| it.to_str().ok());
    if names.next().is_some() {
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

/// Reads a body whole. Its buffer is reserved before it grows, and its time grows with what has arrived.
async fn read_body(
    connection: Option<&Connection>,
    mut body: RequestBody,
    (limit, declared_length): (usize, Option<usize>),
    idle_timeout: Duration,
) -> Result<Bytes, Error> {
    let refuse_at = |limit| connection.into_iter().for_each(|it| it.refuse_at(limit));
    let too_large = || {
        let message = format!("the body exceeds the limit of {limit} bytes");
        Error::new(Kind::BodyTooLarge, message)
    };
    let late = || {
        refuse_at(Limit::BodyTime);
        Error::new(Kind::ReadTimeout, "the body was not sent in time")
    };
    if declared_length.is_some_and(|it| it > limit) {
        return Err(too_large());
    }
    let guard = connection.map(Connection::read_body);
    let begin = Instant::now();
    let mut out = Vec::new();
    loop {
        let time_limit = idle_timeout * MAX_BODY_PAUSES
            + Duration::from_millis((out.len() / MIN_BODY_RATE) as u64);
        let time_left = time_limit.saturating_sub(begin.elapsed()).min(idle_timeout);
        let frame = tokio::select! {
            biased;
            () = turned_away(connection) => return Err(no_room()),
            frame = timeout(time_left, body.data()) => frame.map_err(|_| late())?,
        };
        let Some(frame) = frame else { break };
        let data = match frame {
            Ok(data) => data,
            Err(_) if connection.is_some_and(Connection::is_overrun) => {
                refuse_at(Limit::BodyBytes);
                return Err(too_large());
            }
            Err(_) => return Err(Error::new(Kind::BadRequest, "the body cannot be read")),
        };
        let length = out.len() + data.len();
        if length > limit {
            return Err(too_large());
        }
        if length > out.capacity() {
            let capacity = (length + length / 4).min(declared_length.unwrap_or(limit));
            let capacity = capacity.max(length);
            if connection.is_some_and(|it| it.hold_body(capacity).is_err()) {
                refuse_at(Limit::Memory);
                return Err(no_room());
            }
            out.reserve_exact(capacity - out.len());
        }
        out.extend_from_slice(&data);
    }
    if declared_length.is_some_and(|it| it != out.len()) {
        return Err(Error::new(Kind::BadRequest, "the body ended early"));
    }
    guard.into_iter().for_each(BodyGuard::finish);
    Ok(out.into())
}

/// Waits until the body that is being read has to be refused for lack of room.
async fn turned_away(connection: Option<&Connection>) {
    match connection {
        Some(connection) => connection.body_turned_away().await,
        None => std::future::pending().await,
    }
}

/// Returns the customer of the request's key. `None` if no keys are configured, or on a public route without a valid
/// key.
fn authenticate<D>(
    handler: &Handler<D>,
    rules: &Rules,
    route: &Route,
    caller_headers: &CallerHeaders,
    now: Time,
) -> Result<Option<Arc<Customer>>, Error> {
    if !rules.requires_keys {
        return Ok(None);
    }
    let known = rules.customer.as_ref();
    if route.public {
        return Ok(known.filter(|_| now < *handler.keys_valid_until.borrow()).cloned());
    }
    if now >= *handler.keys_valid_until.borrow() {
        let message = "the configuration may be out of date, so that keys cannot be checked";
        return Err(Error::new(Kind::StoreUnavailable, message));
    }
    match (&caller_headers.api_key, known) {
        (None, _) => Err(Error::new(Kind::MissingKey, "the route needs a key")),
        (Some(_), None) => Err(out_of_date(handler, now)
            .unwrap_or_else(|| Error::new(Kind::InvalidKey, "the key is unknown or withdrawn"))),
        (Some(_), Some(customer)) => Ok(Some(customer.clone())),
    }
}

/// Returns the refusal of a request that only a newer configuration may allow, if there may be one that should be in force.
fn out_of_date<D>(handler: &Handler<D>, now: Time) -> Option<Error> {
    if now < *handler.current_until.borrow() {
        return None;
    }
    let version = handler.table.borrow().as_ref().map_or(0, |it| it.version);
    let message = format!("configuration {version} may be out of date");
    log::info!("a request that it does not allow is refused for now: {message}");
    let error = Error::new(Kind::StoreUnavailable, message);
    Some(error.with_retry_after_ms(OUT_OF_DATE_RETRY_AFTER_MS))
}

/// Rejects a request whose id, which upstreams see, contains the caller's key.
fn check_id(caller_headers: &CallerHeaders) -> Result<(), Error> {
    let key = caller_headers.api_key.as_deref().unwrap_or_default().as_bytes();
    let id = caller_headers.id.as_bytes();
    match !key.is_empty() && id.windows(key.len()).any(|it| it == key) {
        true => Err(Error::new(Kind::BadRequest, "the id of the request contains the key")),
        false => Ok(()),
    }
}

/// Returns the headers that are forwarded to an upstream: neither hop-by-hop nor reserved ones, and none that holds the
/// caller's key.
fn upstream_headers<D: Dialect>(
    dialect: &D,
    headers: &HeaderMap,
    api_key: Option<&str>,
) -> HeaderMap {
    let listed: Vec<_> = connection_options(headers).map(str::to_ascii_lowercase).collect();
    let api_key = api_key.filter(|it| !it.is_empty()).map(str::as_bytes);
    let mut out = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let hop_by_hop = HOP_BY_HOP.contains(name) || listed.iter().any(|it| it == name.as_str());
        let contains_key =
            api_key.is_some_and(|it| value.as_bytes().windows(it.len()).any(|window| window == it));
        let framing = *name == header::CONTENT_LENGTH;
        if !hop_by_hop && !contains_key && !framing && !dialect.is_reserved(name) {
            out.append(name.clone(), value.clone());
        }
    }
    out
}

fn error_body(error: &Error) -> String {
    let answer = error.kind.answer();
    let body = serde_json::json!({
        "error": { "kind": answer.name, "message": error.message, "run": error.run }
    });
    body.to_string()
}

fn retry_after(ms: u64) -> String {
    format!("{:.3}", ms as f64 / 1_000.0)
}

/// A whole response that refuses a request whose head has not arrived, as bytes for the socket.
pub(crate) fn refusal_text(error: &Error) -> String {
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
    let body = error_body(error);
    let delay = error.retry_after_ms.map(|it| format!("retry-after: {}\r\n", retry_after(it)));
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n{}connection: close\r\n\r\n{body}",
        body.len(),
        delay.unwrap_or_default(),
    )
}

fn error_response<D: Dialect>(dialect: &D, error: &Error) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::bytes(error_body(error)));
    *response.status_mut() = dialect.status(error.kind);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(ms) = error.retry_after_ms
        && let Ok(seconds) = HeaderValue::from_str(&retry_after(ms))
    {
        headers.insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn caller_response(
    response: CallerResponse,
    request_guard: Option<RequestGuard>,
    mut metrics: request_metrics::Recorder,
) -> WebResponse {
    let CallerResponse { status, headers, body } = response;
    let body = match body {
        Body::Complete(body) => {
            let failed = status.is_server_error();
            metrics.end(if failed { Outcome::Errored } else { Outcome::Whole });
            ResponseBody::boxed(body)
        }
        Body::Stream(relay) => stream_body(ResponseStream::Events(relay), request_guard, metrics),
        Body::Large(large) => stream_body(ResponseStream::Bytes(large), request_guard, metrics),
    };
    let mut response = WebResponse::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// A response body that is forwarded as it arrives.
enum ResponseStream {
    Events(Box<Relay>),
    Bytes(Box<LargeResponse>),
}

impl ResponseStream {
    async fn next(&mut self) -> Result<Option<Bytes>, Kind> {
        match self {
            ResponseStream::Events(relay) => relay.next().await,
            ResponseStream::Bytes(large) => large.next().await,
        }
    }
}

fn stream_body(
    stream: ResponseStream,
    request_guard: Option<RequestGuard>,
    metrics: request_metrics::Recorder,
) -> ResponseBody {
    let chunks = futures::stream::unfold(Some((stream, request_guard, metrics)), next_chunk);
    let chunks = RefCell::new(Box::pin(chunks)).into_inner();
    ResponseBody::body(StreamDataBody::new(chunks)).into_boxed()
}

type ChunkState = Option<(ResponseStream, Option<RequestGuard>, request_metrics::Recorder)>;

/// Returns the next chunk of a response. An error closes the caller's connection, so that the caller can see that the
/// response is incomplete.
async fn next_chunk(state: ChunkState) -> Option<(Result<Bytes, io::Error>, ChunkState)> {
    let (mut stream, request_guard, mut metrics) = state?;
    match stream.next().await {
        Ok(Some(bytes)) => Some((Ok(bytes), Some((stream, request_guard, metrics)))),
        Ok(None) => {
            metrics.end(Outcome::Whole);
            None
        }
        Err(kind) => {
            metrics.end(Outcome::Failed(kind));
            let why = kind.answer().name;
            log::info!("an answer ends early, and the caller's connection with it: {why}");
            Some((Err(io::Error::other(kind.answer().name)), None))
        }
    }
}
