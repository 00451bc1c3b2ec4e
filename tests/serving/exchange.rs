//! Requests through the exchange to an upstream on a loopback socket.

use std::{cell::Cell, rc::Rc, sync::Arc};

use almondrack::{
    error::{Error, Kind},
    serving::{
        buffer_memory::BufferMemory,
        connection_cache::ConnectionCache,
        dialect::{CallerHeaders, Dialect, RouterHeaders, Verdict},
        dispatcher::Dispatcher,
        exchange::{Body, CallerResponse, Exchange, RoutedRequest},
        registry::Entry,
        retry_budget::{RetryBudget, RetryBudgetConfig},
        table::{Customer, Destination, RetryPolicy, Route},
        usage::Meter,
    },
    time::{Span, Time},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, response};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::LocalSet,
};

use crate::fixture::{POOL, engine};

/// A dialect in which every answer is the upstream's own, and 503 says that it did not run the request.
struct Plain;

impl Dialect for Plain {
    fn read_headers(&self, _: &HeaderMap) -> Result<CallerHeaders, Error> {
        Err(Error::new(Kind::BadRequest, "requests of these tests are not read from headers"))
    }

    fn is_reserved(&self, _: &HeaderName) -> bool {
        false
    }

    fn add_router_headers(&self, _: &mut HeaderMap, _: &RouterHeaders<'_>) {}

    fn verdict(&self, _: &HeaderValue, head: &response::Parts) -> Verdict {
        match head.status {
            StatusCode::SERVICE_UNAVAILABLE => Verdict::NotRun,
            _ => Verdict::Valid,
        }
    }

    fn status(&self, kind: Kind) -> StatusCode {
        StatusCode::from_u16(kind.answer().status).expect("the status is valid")
    }
}

pub(crate) fn job(stream: bool, repeat: RetryPolicy) -> RoutedRequest {
    let share = Destination { pool: POOL.into(), weight: 1 };
    let route = Route {
        name: "route".into(),
        host: "example".into(),
        prefix: "/".into(),
        retry_policy: repeat,
        stream,
        timeout_ms: 2_000,
        target_ms: 500,
        max_gap_ms: None,
        priority: 0,
        max_attempts: 2,
        public: false,
        destinations: vec![share],
    };
    let now = Time::now();
    RoutedRequest {
        id: HeaderValue::from_static("1"),
        method: Method::POST,
        path: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        last_event_id: None,
        prompt: None,
        tier: 0,
        customer: Some(Arc::new(Customer { name: "customer".into(), priority: None })),
        route: Arc::new(route),
        accepted_at: now,
        deadline: now + Span::from_ms(2_000),
        caller_timeout: Span::from_ms(2_000),
    }
}

/// What came of a request.
pub(crate) struct Seen {
    pub(crate) answer: Result<CallerResponse, Error>,
    /// Requests that were counted for the customer.
    billed: u64,
    /// Requests that came to the upstreams.
    pub(crate) sent: Rc<Cell<u32>>,
    /// Bytes that the upstreams could write.
    pub(crate) written: Rc<Cell<usize>>,
    /// CallerConnections that the upstreams serve.
    pub(crate) open: Rc<Cell<u32>>,
}

/// What an upstream sends to each request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Script {
    /// Sent first.
    pub(crate) first: &'static str,
    /// What follows.
    pub(crate) then: Then,
}

/// How an upstream goes on after its first bytes.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Then {
    /// It closes the connection.
    Close,
    /// It sends nothing more.
    Stall,
    /// It sends the same bytes again and again until the router closes.
    Repeat(&'static str),
}

/// An upstream that follows a script and closes the connection.
async fn upstream(
    index: usize,
    script: Script,
    seen: (Counter<u32>, Bytecount, Counter<u32>),
) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let mut entry = engine(index);
    entry.address = listener.local_addr().expect("the socket is bound");
    tokio::task::spawn_local(async move {
        while let Ok((router, _)) = listener.accept().await {
            let (sent, written, open) = seen.clone();
            tokio::task::spawn_local(async move {
                open.set(open.get() + 1);
                serve(router, script, &sent, &written).await;
                open.set(open.get() - 1);
            });
        }
    });
    entry
}

type Counter<T> = Rc<Cell<T>>;
type Bytecount = Counter<usize>;

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
            Then::Close => return,
            Then::Stall => {
                // Ends when the router closes.
                let _ = router.read(&mut request).await;
                return;
            }
            Then::Repeat(again) => bytes = again,
        }
        tokio::task::yield_now().await;
    }
}

/// Runs a request on four upstreams that all send the same bytes.
async fn run(job: RoutedRequest, bytes: &'static str) -> Seen {
    play(job, Script { first: bytes, then: Then::Close }, BufferMemory::new(1 << 20)).await
}

/// Runs a request on four upstreams that follow the same script.
pub(crate) async fn play(job: RoutedRequest, script: Script, room: BufferMemory) -> Seen {
    let (sent, written, open) = (Counter::default(), Bytecount::default(), Counter::default());
    let mut entries = Vec::new();
    for index in 0..4 {
        let seen = (sent.clone(), written.clone(), open.clone());
        entries.push(upstream(index, script, seen).await);
    }
    let (_entries, upstreams) = watch::channel(Rc::new(entries));
    let dispatcher = Dispatcher::spawn("host".into(), "a".into(), upstreams);
    let terms = RetryBudgetConfig { window: Span::from_ms(10_000), ratio: 0.2, allowance: 1_000.0 };
    let meter = Meter::new(Span::from_ms(60_000), "host-1");
    let links = ConnectionCache::default();
    let budget = RetryBudget::new(terms);
    let exchange = Exchange::new(Rc::new(Plain), dispatcher, links, budget, meter.clone(), room);
    let answer = exchange.run(job).await;
    let counts = meter.take_changed(false).into_iter().flat_map(|it| it.counts);
    let billed = counts.filter(|it| it.0 == "customer").map(|it| it.1).sum();
    Seen { answer, billed, sent, written, open }
}

const EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 18\r\n\r\n\
                      id: 1\ndata: one\n\n";
const CUT_EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 90\r\n\r\n\
                          id: 1\ndata: one\n\n";
const FAILURE: &str = "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n";

#[tokio::test]
async fn a_generation_is_billed_once() {
    let seen = LocalSet::new().run_until(run(job(true, RetryPolicy::Never), EVENTS)).await;
    assert_eq!(seen.answer.expect("the stream begins").status, StatusCode::OK);
    assert_eq!((seen.billed, seen.sent.get()), (1, 1));
}

#[tokio::test]
async fn a_request_that_fails_on_several_upstreams_is_billed_once() {
    for job in [job(false, RetryPolicy::Always), job(true, RetryPolicy::Resume)] {
        let seen = LocalSet::new().run_until(run(job, FAILURE)).await;
        let status = seen.answer.expect("the failure is passed on").status;
        assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!((seen.billed, seen.sent.get()), (1, 2));
    }
}

#[tokio::test]
async fn a_stream_that_is_cut_again_and_again_runs_no_more_often_than_its_route_allows() {
    let run = async {
        let seen = run(job(true, RetryPolicy::Resume), CUT_EVENTS).await;
        let Ok(CallerResponse { body: Body::Stream(mut relay), .. }) = seen.answer else {
            panic!("no stream began");
        };
        while let Ok(Some(_)) = relay.next().await {}
        seen.sent.get()
    };
    assert_eq!(LocalSet::new().run_until(run).await, 2);
}
