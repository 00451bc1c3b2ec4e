//! Requests that the exchange sends to upstreams on loopback sockets.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use almondrack::{
    error::{Error, Kind, Run},
    metrics::Metrics,
    serving::{
        backoff, buffer_memory, connection_cache,
        dialect::{CallerHeaders, Departure, Dialect, Echo, RouterHeaders, Verdict},
        dispatcher::Dispatcher,
        evacuation::Zones,
        exchange::{Body, CallerResponse, Exchange, Parts, RoutedRequest},
        fleet_state::Verification,
        hedge::Hedger,
        rate_limit,
        registry::Entry,
        reported_load, retry_budget, stream_records,
        table::{Customer, Destination, RetryPolicy, Route},
        usage::Meter,
    },
    time::{Span, Time},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header, response};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc, watch},
    task::{JoinSet, LocalSet},
};

use crate::fixture::{FEATURES, POOL, engine};

/// Header with the id of a request.
pub(crate) const ID: HeaderName = HeaderName::from_static("x-id");

/// Header with the last event that the caller has, if a stream goes on.
pub(crate) const RESUME_AFTER: HeaderName = HeaderName::from_static("x-resume-after");

/// A dialect in which every response is valid, and status 503 means that the upstream did not run the request.
pub(crate) struct TestDialect;

impl Dialect for TestDialect {
    fn read_headers(&self, headers: &HeaderMap) -> Result<CallerHeaders, Error> {
        let missing = || Error::new(Kind::BadRequest, "the request has no id");
        Ok(CallerHeaders {
            id: headers.get(ID).cloned().ok_or_else(missing)?,
            api_key: None,
            caller_timeout: None,
            prompt: None,
            last_event_id: None,
            resumes: None,
        })
    }

    fn is_reserved(&self, _: &HeaderName) -> bool {
        false
    }

    fn add_router_headers(&self, headers: &mut HeaderMap, router: &RouterHeaders<'_>) {
        if let Some(after) = router.resume_after.and_then(|it| it.parse().ok()) {
            headers.insert(RESUME_AFTER, after);
        }
    }

    fn verdict(&self, _: &HeaderValue, head: &response::Parts) -> Verdict {
        match head.status {
            _ if head.headers.contains_key("foreign") => Verdict::Foreign,
            StatusCode::SERVICE_UNAVAILABLE => Verdict::NotRun,
            _ => Verdict::Valid,
        }
    }

    fn echo(&self, _: &HeaderValue, _: &response::Parts) -> Echo {
        Echo::Own
    }

    fn named_limit(&self, _: &response::Parts) -> rate_limit::Named {
        rate_limit::Named::Nothing
    }

    fn departure(&self, head: &response::Parts) -> Departure {
        match head.headers.get("leaves") {
            Some(_) => Departure::Announced,
            None => Departure::Unannounced,
        }
    }

    fn named_backoff(&self, head: &response::Parts) -> backoff::Named {
        let seconds = head.headers.get(header::RETRY_AFTER).and_then(|it| it.to_str().ok());
        let seconds = seconds.and_then(|it| it.parse().ok());
        seconds.map_or(backoff::Named::Nothing, |it: u64| {
            backoff::Named::For(Span::from_ms(it * 1_000))
        })
    }

    fn reported_load(&self, _: &response::Parts) -> Option<reported_load::Report> {
        None
    }

    fn status(&self, kind: Kind) -> StatusCode {
        StatusCode::from_u16(kind.answer().status).expect("the status is valid")
    }
}

pub(crate) fn routed_request(stream: bool, retry_policy: RetryPolicy) -> RoutedRequest {
    let destination = Destination { pool: POOL.into(), weight: 1 };
    let route = Route {
        name: "route".into(),
        host: "example".into(),
        prefix: "/".into(),
        retry_policy,
        stream,
        timeout_ms: 2_000,
        target_ms: 500,
        max_gap_ms: None,
        priority: 0,
        max_attempts: 2,
        public: false,
        destinations: vec![destination],
    };
    let now = Time::now();
    RoutedRequest {
        id: HeaderValue::from_static("1"),
        method: Method::POST,
        path: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        last_event_id: None,
        resumes: None,
        prompt: None,
        contents: Vec::new(),
        tier: 0,
        customer: Some(Arc::new(Customer { name: "customer".into(), priority: None })),
        route: Arc::new(route),
        accepted_at: now,
        deadline: now + Span::from_ms(2_000),
        caller_timeout: Span::from_ms(2_000),
    }
}

/// Outcome of a request, as seen by the caller and by the upstreams.
pub(crate) struct Observation {
    pub(crate) response: Result<CallerResponse, Error>,
    /// Requests counted in the customer's usage.
    billed: u64,
    /// Requests that the upstreams received.
    pub(crate) sent: Rc<Cell<u32>>,
    /// Bytes that the upstreams have written to their sockets.
    pub(crate) written: Rc<Cell<usize>>,
    /// Connections that the upstreams have open.
    pub(crate) open: Rc<Cell<u32>>,
}

/// Bytes that an upstream sends in response to each request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Script {
    /// First bytes of the response.
    pub(crate) first: &'static str,
    /// What the upstream does next.
    pub(crate) then: Continuation,
}

/// What an upstream does after the first bytes of its response.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Continuation {
    /// Closes the connection.
    Close,
    /// Ends the process: closes the connection in order, and the socket on which it listens.
    Exit,
    /// Ends the process behind a proxy, which accepts further connections and closes them.
    ExitBehindProxy,
    /// Sends nothing more and keeps the connection open.
    Stall,
    /// Resets the connection, after the router had time to read the bytes.
    Reset,
    /// Sends the bytes repeatedly until the router closes the connection.
    Repeat(&'static str),
}

/// Starts an upstream that follows a script on each connection, and returns its entry.
async fn upstream(
    index: usize,
    script: Script,
    counters: (SharedCounter<u32>, ByteCounter, SharedCounter<u32>),
) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let mut entry = engine(index);
    entry.address = listener.local_addr().expect("the socket is bound");
    let exit = Rc::new(Notify::new());
    tokio::task::spawn_local(async move {
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = exit.notified() => return,
            };
            let Ok((router, _)) = accepted else { return };
            let has_exited = counters.0.get() > 0;
            if has_exited && matches!(script.then, Continuation::ExitBehindProxy) {
                continue;
            }
            let ((sent, written, open), exit) = (counters.clone(), exit.clone());
            connections.spawn_local(async move {
                open.set(open.get() + 1);
                serve(router, script, &sent, &written).await;
                open.set(open.get() - 1);
                if let Continuation::Exit = script.then {
                    exit.notify_one();
                }
            });
        }
    });
    entry
}

type SharedCounter<T> = Rc<Cell<T>>;
type ByteCounter = SharedCounter<usize>;

async fn serve(mut router: TcpStream, script: Script, sent: &Cell<u32>, written: &Cell<usize>) {
    let mut request = [0; 4_096];
    if !router.read(&mut request).await.is_ok_and(|it| it > 0) {
        return;
    }
    sent.set(sent.get() + 1);
    let mut bytes = script.first;
    while router.write_all(bytes.as_bytes()).await.is_ok() {
        written.set(written.get() + bytes.len());
        match script.then {
            Continuation::Close | Continuation::Exit | Continuation::ExitBehindProxy => return,
            Continuation::Reset => {
                tokio::time::sleep(Duration::from_millis(50)).await;
                // Closing the socket then discards what it holds and resets the connection.
                let reset = router.set_zero_linger();
                reset.expect("the socket is open");
                return;
            }
            Continuation::Stall => {
                // Returns when the router closes the connection.
                let _ = router.read(&mut request).await;
                return;
            }
            Continuation::Repeat(next) => bytes = next,
        }
        tokio::task::yield_now().await;
    }
}

/// Runs a request with four upstreams that all send the given bytes and close the connection.
async fn run(request: RoutedRequest, bytes: &'static str) -> Observation {
    run_script(
        request,
        Script { first: bytes, then: Continuation::Close },
        buffer_memory::Memory::new(1 << 20),
    )
    .await
}

/// Runs a request with four upstreams that follow the same script.
pub(crate) async fn run_script(
    request: RoutedRequest,
    script: Script,
    buffer_memory: buffer_memory::Memory,
) -> Observation {
    let counters =
        (SharedCounter::default(), ByteCounter::default(), SharedCounter::<u32>::default());
    let meter = Meter::new(Span::from_ms(60_000), "host-1");
    let exchange = open(script, buffer_memory, meter.clone(), counters.clone()).await;
    let response = exchange.run(request).await;
    let counts = meter.take_changed(false).into_iter().flat_map(|it| it.counts);
    let billed = counts.filter(|it| it.0 == "customer").map(|it| it.1).sum();
    let (sent, written, open) = counters;
    Observation { response, billed, sent, written, open }
}

/// Opens an exchange with four upstreams that follow the same script.
pub(crate) async fn open_exchange(
    script: Script,
    buffer_memory: buffer_memory::Memory,
) -> Exchange<impl Dialect> {
    let meter = Meter::new(Span::from_ms(60_000), "host-1");
    open(script, buffer_memory, meter, Default::default()).await
}

async fn open(
    script: Script,
    buffer_memory: buffer_memory::Memory,
    meter: Meter,
    counters: (SharedCounter<u32>, ByteCounter, SharedCounter<u32>),
) -> Exchange<impl Dialect> {
    let mut entries = Vec::new();
    for index in 0..4 {
        entries.push(upstream(index, script, counters.clone()).await);
    }
    open_with(entries, buffer_memory, meter)
}

/// Opens an exchange with the given upstreams.
pub(crate) fn open_with(
    entries: Vec<Entry>,
    buffer_memory: buffer_memory::Memory,
    meter: Meter,
) -> Exchange<TestDialect> {
    let draining = watch::channel(false).1;
    open_hedged(entries, buffer_memory, meter, (Hedger::new(0.0), draining)).0
}

/// Opens an exchange with the given upstreams that may send copies of slow requests. Returns its metrics too.
pub(crate) fn open_hedged(
    entries: Vec<Entry>,
    buffer_memory: buffer_memory::Memory,
    meter: Meter,
    hedging: (Hedger, watch::Receiver<bool>),
) -> (Exchange<TestDialect>, Metrics) {
    let (exchange, metrics, _) = open_dispatched(entries, buffer_memory, meter, hedging);
    (exchange, metrics)
}

/// Opens an exchange with the given upstreams. Returns its dispatcher too.
fn open_dispatched(
    entries: Vec<Entry>,
    buffer_memory: buffer_memory::Memory,
    meter: Meter,
    (hedger, draining): (Hedger, watch::Receiver<bool>),
) -> (Exchange<TestDialect>, Metrics, Dispatcher) {
    let upstreams = watch::channel(Rc::new(entries)).1;
    let metrics = Metrics::open().expect("the names of the counters are unique");
    let limiter = mpsc::unbounded_channel().0;
    let dispatcher = Dispatcher::spawn(
        "host".into(),
        ("a".into(), FEATURES),
        upstreams,
        limiter,
        metrics.clone(),
    );
    let budget_config =
        retry_budget::Limits { window: Span::from_ms(10_000), ratio: 0.2, allowance: 1_000.0 };
    let verified = watch::channel(Verification { at: Some(Time::now()), is_current: true }).1;
    let exchange = Exchange::new(Parts {
        dialect: Rc::new(TestDialect),
        dispatcher: dispatcher.clone(),
        records: stream_records::Records::open(verified.clone()).0,
        upstreams_verified: verified,
        connections: connection_cache::Cache::default(),
        retry_budget: retry_budget::Budget::new(budget_config),
        meter,
        buffer_memory,
        metrics: metrics.clone(),
        hedger: RefCell::new(hedger),
        draining,
    });
    (exchange, metrics, dispatcher)
}

const EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 18\r\n\r\n\
                      id: 1\ndata: one\n\n";
const CUT_EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 90\r\n\r\n\
                          id: 1\ndata: one\n\n";
const FAILURE: &str = "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n";

#[tokio::test]
async fn a_generation_is_billed_once() {
    let observed =
        LocalSet::new().run_until(run(routed_request(true, RetryPolicy::Never), EVENTS)).await;
    assert_eq!(observed.response.expect("the stream begins").status, StatusCode::OK);
    assert_eq!((observed.billed, observed.sent.get()), (1, 1));
}

#[tokio::test]
async fn a_request_that_fails_on_several_upstreams_is_billed_once() {
    for request in
        [routed_request(false, RetryPolicy::Always), routed_request(true, RetryPolicy::Resume)]
    {
        let observed = LocalSet::new().run_until(run(request, FAILURE)).await;
        let status = observed.response.expect("the failed response is forwarded").status;
        assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!((observed.billed, observed.sent.get()), (1, 2));
    }
}

#[tokio::test]
async fn a_stream_that_is_cut_again_and_again_runs_no_more_often_than_its_route_allows() {
    let run = async {
        let observed = run(routed_request(true, RetryPolicy::Resume), CUT_EVENTS).await;
        let Ok(CallerResponse { body: Body::Stream(mut relay), .. }) = observed.response else {
            panic!("the response is not a stream");
        };
        while let Ok(Some(_)) = relay.next().await {}
        observed.sent.get()
    };
    assert_eq!(LocalSet::new().run_until(run).await, 2);
}

#[tokio::test]
async fn a_status_that_ends_no_exchange_may_have_run_and_is_no_answer() {
    for answer in [
        "HTTP/1.1 000 \r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 101 \r\nconnection: upgrade\r\nupgrade: other\r\n\r\n",
        "HTTP/1.1 600 \r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 100 \r\n\r\nHTTP/1.1 999 \r\ncontent-length: 0\r\n\r\n",
    ] {
        let run = run_script(
            routed_request(false, RetryPolicy::Never),
            Script { first: answer, then: Continuation::Stall },
            buffer_memory::Memory::new(1 << 20),
        );
        let observed = LocalSet::new().run_until(run).await;
        let error = observed.response.expect_err(answer);
        assert_eq!((error.kind, error.run), (Kind::UpstreamCut, Run::Unknown), "{answer}");
        assert_eq!(observed.sent.get(), 1, "{answer}");
    }
}

#[tokio::test]
async fn interim_answers_without_end_last_no_longer_than_the_request() {
    const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
    let run = run_script(
        routed_request(false, RetryPolicy::Never),
        Script { first: INTERIM, then: Continuation::Repeat(INTERIM) },
        buffer_memory::Memory::new(1 << 20),
    );
    let began = Time::now();
    let observed = LocalSet::new().run_until(run).await;
    let error = observed.response.expect_err("no answer comes");
    assert_eq!((error.kind, error.run), (Kind::UpstreamTimeout, Run::Unknown));
    let took = Time::now().since(began);
    assert!((1_900..2_500).contains(&took.as_ms()), "{took:?}");
}

const LEAVING_FAILURE: &str = "HTTP/1.1 500 Failed\r\nleaves: 1\r\ncontent-length: 0\r\n\r\n";
const LEAVING_REFUSAL: &str = "HTTP/1.1 503 Full\r\nleaves: 1\r\ncontent-length: 0\r\n\r\n";
const LEAVING_EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 18\r\n\
                              leaves: 1\r\n\r\nid: 1\ndata: one\n\n";

#[tokio::test]
async fn every_answer_tells_that_its_upstream_leaves_and_a_pool_without_others_refuses() {
    for (response, sends) in [(LEAVING_FAILURE, 1), (LEAVING_REFUSAL, 4), (LEAVING_EVENTS, 1)] {
        let run = async {
            let counters =
                (SharedCounter::<u32>::default(), ByteCounter::default(), SharedCounter::default());
            let meter = Meter::new(Span::from_ms(60_000), "host-1");
            let script = Script { first: response, then: Continuation::Close };
            let memory = buffer_memory::Memory::new(1 << 20);
            let exchange = open(script, memory, meter, counters.clone()).await;
            let request = || routed_request(response == LEAVING_EVENTS, RetryPolicy::Never);
            let mut sent = Vec::new();
            for _ in 0..6 {
                let response = exchange.run(request()).await;
                sent.push(counters.0.get());
                if sent.last() == Some(&4) && sent.len() > 4 {
                    let error = response.expect_err("no upstream is left");
                    assert_eq!((error.kind, error.run), (Kind::NoUpstream, Run::No));
                    assert!(error.retry_after_ms.is_some_and(|it| it <= 1_000), "{error:?}");
                }
            }
            sent
        };
        let sent = LocalSet::new().run_until(run).await;
        assert_eq!((sent[0], sent[3..].to_vec()), (sends, vec![4; 3]), "{response}");
    }
}

#[tokio::test]
async fn upstreams_that_ask_for_a_back_off_get_no_further_request() {
    const REFUSAL: &str = "HTTP/1.1 503 Full\r\nretry-after: 20\r\ncontent-length: 0\r\n\r\n";
    let run = async {
        let script = Script { first: REFUSAL, then: Continuation::Stall };
        let counters =
            (SharedCounter::default(), ByteCounter::default(), SharedCounter::<u32>::default());
        let meter = Meter::new(Span::from_ms(60_000), "host-1");
        let memory = buffer_memory::Memory::new(1 << 20);
        let exchange = open(script, memory, meter, counters.clone()).await;
        let mut errors = Vec::new();
        for _ in 0..6 {
            let response = exchange.run(routed_request(false, RetryPolicy::Never)).await;
            errors.push(response.expect_err("all upstreams refuse requests"));
        }
        (errors, counters.0.get())
    };
    let (errors, sent) = LocalSet::new().run_until(run).await;
    assert_eq!(sent, 4, "each of the four upstreams refuses one request");
    for error in &errors[1..] {
        assert_eq!((error.kind, error.run), (Kind::Shed, Run::No));
        let seconds = error.retry_after_ms.expect("the refusal names a time") / 1_000;
        assert!((19..=40).contains(&seconds), "{error:?}");
    }
}

#[tokio::test]
async fn an_answer_to_another_request_says_nothing_of_its_upstream() {
    const FOREIGN: &str = "HTTP/1.1 503 Full\r\nforeign: 1\r\nretry-after: 20\r\nleaves: 1\r\ncontent-length: 0\r\n\r\n";
    let run = async {
        let script = Script { first: FOREIGN, then: Continuation::Stall };
        let counters =
            (SharedCounter::default(), ByteCounter::default(), SharedCounter::<u32>::default());
        let meter = Meter::new(Span::from_ms(60_000), "host-1");
        let memory = buffer_memory::Memory::new(1 << 20);
        let exchange = open(script, memory, meter, counters.clone()).await;
        for _ in 0..8 {
            let response = exchange.run(routed_request(false, RetryPolicy::Never)).await;
            let error = response.expect_err("the answer belongs to another request");
            assert_eq!((error.kind, error.run), (Kind::UpstreamInvalid, Run::Unknown));
        }
        counters.0.get()
    };
    assert_eq!(LocalSet::new().run_until(run).await, 8, "each request is sent once");
}

/// Runs a request for an upstream that is cold where its pool names a pace, and tells the dispatcher something right after
/// the request is submitted, so that its grant comes first. Returns how many requests the upstream got.
async fn sent_after(news: impl AsyncFnOnce(&Dispatcher)) -> u32 {
    let script = Script { first: EVENTS, then: Continuation::Close };
    let counters =
        (SharedCounter::default(), ByteCounter::default(), SharedCounter::<u32>::default());
    let entry = Entry { warmup_ms: 60_000, ..upstream(0, script, counters.clone()).await };
    let memory = buffer_memory::Memory::new(1 << 20);
    let meter = Meter::new(Span::from_ms(60_000), "host-1");
    let hedging = (Hedger::new(0.0), watch::channel(false).1);
    let (exchange, _, dispatcher) = open_dispatched(vec![entry], memory, meter, hedging);
    // The dispatcher has read the upstream.
    dispatcher.local_load().await;
    let run = exchange.run(routed_request(true, RetryPolicy::Never));
    // Submits the request; the future of the other branch is polled next.
    let (response, ()) = tokio::join!(biased; run, news(&dispatcher));
    assert_eq!(response.is_ok(), counters.0.get() == 1);
    counters.0.get()
}

#[tokio::test]
async fn nothing_is_written_to_an_upstream_that_was_evacuated_or_turned_cold_since_the_grant() {
    let evacuate = async |dispatcher: &Dispatcher| {
        dispatcher.set_evacuated(Some(Zones::new(vec!["a".into()])));
    };
    let name_pace = async |dispatcher: &Dispatcher| {
        let rate = rate_limit::Rate::new(1.0).expect("the rate is valid");
        dispatcher.set_cold_rates(vec![(POOL.into(), rate)]);
    };
    let local = LocalSet::new();
    let sent = async {
        [
            sent_after(async |_: &Dispatcher| {}).await,
            sent_after(evacuate).await,
            sent_after(name_pace).await,
        ]
    };
    assert_eq!(local.run_until(sent).await, [1, 0, 0], "no news, evacuated, cold without a permit");
}
