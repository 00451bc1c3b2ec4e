//! An inference engine with continuous batching, resumable streams and faults on demand.

mod batch;
mod cache;
mod state;
mod stream;
mod text;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, request::Parts};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use self::{
    state::Engine,
    stream::{Guard, Stream},
    text::Form,
};
use crate::{
    owner::Owner,
    server::{self, Body, Cut, Door, Recorder, Server},
};

/// Shortest time between two looks at the batch.
const TICK: Duration = Duration::from_millis(1);

/// What a garbage answer holds.
const GARBAGE: &str = "%%% not an answer";

/// Switches that can be set at any time.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor on all times of the batch.
    pub slow_factor: f64,
    /// While true, connections are closed and new ones refused.
    pub crash: bool,
    /// A prompt that contains this word crashes the engine when it starts to run.
    pub crash_on: String,
    /// Time after which a crash on a prompt ends, in milliseconds; zero: it lasts, and the program exits.
    pub crash_for_ms: u64,
    /// Cuts streams after this number of events, zero for never.
    pub cut_after_tokens: u32,
    /// Answers nonsense with status 200.
    pub garbage: bool,
    /// Closes the connection in the middle of a whole answer.
    pub half_answer: bool,
    /// Runs requests and never answers.
    pub no_answer: bool,
    /// Stops the refresh of load reports.
    pub stale_load: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            slow_factor: 1.0,
            crash: false,
            crash_on: String::new(),
            crash_for_ms: 0,
            cut_after_tokens: 0,
            garbage: false,
            half_answer: false,
            no_answer: false,
            stale_load: false,
        }
    }
}

/// Settings at start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address for requests.
    pub listen: SocketAddr,
    /// Address at which `/test/` paths are served also while crashed.
    pub control: SocketAddr,
    /// Streams that run at the same time.
    pub slots: usize,
    /// Memory for prompts and outputs, in tokens.
    pub kv_tokens: u64,
    /// Prefill time per token of the prompt, in microseconds.
    pub prefill_us_per_token: u64,
    /// Time between two tokens of a stream, in microseconds; zero: no pause.
    pub gap_us: u64,
    /// Age of load reports at their refresh, in milliseconds; zero: always fresh.
    pub load_lag_ms: u64,
    /// Time for which an unread stream goes on, in milliseconds.
    pub linger_ms: u64,
    /// Time for which an ended stream can be resumed, in milliseconds.
    pub keep_ms: u64,
    /// Prefixes in the cache.
    pub cache_prefixes: usize,
    /// Age at which cache events are shown, in milliseconds.
    pub cache_lag_ms: u64,
    /// Share of cache events that are left out.
    pub cache_gap_per_mille: u32,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Time to load a model, in milliseconds.
    pub load_model_ms: u64,
    /// Loaded models; empty: every model is served.
    pub models: Vec<String>,
    /// Seed of the choice of left-out cache events.
    pub seed: u64,
    /// Switches at start.
    pub faults: Faults,
}

impl Options {
    /// A fast engine with 64 slots on an address.
    pub fn new(listen: SocketAddr) -> Options {
        Options {
            listen,
            control: SocketAddr::new(listen.ip(), 0),
            slots: 64,
            kv_tokens: 1_000_000,
            prefill_us_per_token: 20,
            gap_us: 2_000,
            load_lag_ms: 0,
            linger_ms: 0,
            keep_ms: 10_000,
            cache_prefixes: 1_000,
            cache_lag_ms: 0,
            cache_gap_per_mille: 0,
            fencing: true,
            load_model_ms: 0,
            models: Vec::new(),
            seed: 1,
            faults: Faults::default(),
        }
    }
}

/// A running engine; dropping it stops the engine and closes its connections.
#[derive(Debug)]
pub struct Running {
    requests: Server,
    control: Server,
    fatal: watch::Receiver<bool>,
}

impl Running {
    /// Address for requests.
    pub fn address(&self) -> SocketAddr {
        self.requests.address()
    }

    /// Address at which `/test/` paths are served also while crashed.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Waits until a prompt crashed the engine for good.
    pub async fn crashed(&self) {
        // The engine ended, which is as final.
        let _ = self.fatal.clone().wait_for(|it| *it).await;
    }

    /// Stops listening and closes all connections.
    pub fn stop(self) {
        self.requests.stop();
        self.control.stop();
    }
}

#[derive(Debug, Clone)]
struct Link {
    owner: Owner<Engine>,
    recorder: Recorder,
}

/// Starts an engine.
///
/// # Errors
/// An address cannot be bound.
pub fn spawn(options: Options) -> io::Result<Running> {
    let (open, opened) = watch::channel(!options.faults.crash);
    let (fatal, crashed) = watch::channel(false);
    let (listen, control) = (options.listen, options.control);
    let lag = Duration::from_millis(options.load_lag_ms);
    let started = Arc::new(Notify::new());
    let link = Link {
        owner: Owner::spawn(Engine::new(options, started.clone(), open, fatal)),
        recorder: Recorder::spawn(),
    };
    let door = Door { listen, open: opened, recorder: Some(link.recorder.clone()) };
    let to_requests = link.clone();
    let requests = server::spawn(door, move |request| answer(to_requests.clone(), request))?;
    let (_, open) = watch::channel(true);
    let door = Door { listen: control, open, recorder: None };
    let to_control = link.clone();
    let control = server::spawn(door, move |request| answer(to_control.clone(), request))?;
    let ticker = tick(link.owner.clone(), started);
    tokio::spawn(requests.stopped().run_until_cancelled_owned(ticker));
    if !lag.is_zero() {
        let reports = report(link.owner, lag);
        tokio::spawn(requests.stopped().run_until_cancelled_owned(reports));
    }
    Ok(Running { requests, control, fatal: crashed })
}

/// Advances the batch while streams run.
async fn tick(owner: Owner<Engine>, started: Arc<Notify>) {
    loop {
        let Ok(wait) = owner.ask(Engine::advance).await else {
            return;
        };
        match wait {
            Some(wait) => {
                // Over time means that something is due.
                let _ = tokio::time::timeout(wait.max(TICK), started.notified()).await;
            }
            None => started.notified().await,
        }
    }
}

/// Refreshes the load report.
async fn report(owner: Owner<Engine>, lag: Duration) {
    while owner.ask(Engine::refresh).await.is_ok() {
        tokio::time::sleep(lag).await;
    }
}

async fn answer(link: Link, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
    let (head, body) = request.into_parts();
    let body = server::read(body).await?;
    let path = head.uri.path().to_owned();
    if path == "/test/bytes" {
        return Ok(server::raw(StatusCode::OK, link.recorder.bytes().await?));
    }
    if let Some(id) = path.strip_prefix("/v1/streams/") {
        return resume(&link, &head, id.to_owned()).await;
    }
    match (&head.method, path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => complete(&link, &head, body, Form::Chat).await,
        (&Method::POST, "/v1/completions") => complete(&link, &head, body, Form::Text).await,
        _ => {
            let query = head.uri.query().unwrap_or_default().to_owned();
            let method = head.method;
            link.owner.ask(move |it| it.route(&method, &path, &query, &body)).await
        }
    }
}

async fn complete(
    link: &Link,
    head: &Parts,
    body: Bytes,
    form: Form,
) -> Result<Response<Body>, Cut> {
    let given = server::header(&head.headers, "x-request-id");
    let received = (received_head(head), String::from_utf8_lossy(&body).into_owned());
    let stream = link.owner.ask(move |it| it.submit(form, given, received, &body)).await?;
    let (stream, faults) = match stream {
        Ok(stream) => stream,
        Err(refusal) => return Ok(refusal.answer()),
    };
    let guard = Guard::new(link.owner.clone(), stream.key);
    if faults.no_answer {
        std::future::pending::<()>().await;
    }
    if faults.garbage {
        return Ok(server::raw(StatusCode::OK, GARBAGE));
    }
    if stream.ask.stream {
        return stream::events(stream, guard, 0, faults.cut_after_tokens).await;
    }
    stream::whole(stream, guard, faults.half_answer).await
}

async fn resume(link: &Link, head: &Parts, id: String) -> Result<Response<Body>, Cut> {
    let from = server::query(head.uri.query().unwrap_or_default(), "from");
    let from = from.and_then(|it| it.parse().ok()).unwrap_or(0);
    if head.method == Method::DELETE {
        let known = link.owner.ask(move |it| it.cancel(&id)).await?;
        return Ok(server::raw(if known { StatusCode::OK } else { StatusCode::NOT_FOUND }, ""));
    }
    let found: Option<Stream> = link.owner.ask(move |it| it.resume(&id)).await?;
    match found {
        Some(stream) => {
            let guard = Guard::new(link.owner.clone(), stream.key);
            stream::events(stream, guard, from, 0).await
        }
        None => Ok(server::raw(StatusCode::NOT_FOUND, "no such stream")),
    }
}

/// A request's first line and headers as text.
fn received_head(head: &Parts) -> String {
    let mut text = format!("{} {} {:?}\r\n", head.method, head.uri, head.version);
    for (name, value) in &head.headers {
        let value = String::from_utf8_lossy(value.as_bytes());
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text
}
