//! Ends of event streams, by their framing at the upstream and at the caller.

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use almondrack::{
    error::Kind,
    metrics::Metrics,
    serving::{
        buffer_memory, caller_connection,
        handler::Handler,
        intake,
        listener::{Listener, Stage},
        registry::Entry,
        table::{Limits, Parts, Pool, RetryPolicy, Table},
        usage::Meter,
    },
    time::{Span, Time},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::LocalSet,
    time::{sleep, timeout},
};

use crate::{
    exchange::{Continuation, Script, TestDialect, open_with, routed_request, run_script},
    fixture::{POOL, engine},
    unframed::{Got, read},
};

const EVENT: &str = "id: 1\ndata: one\n\n";

/// Plays the heads and bodies of answers to a stream that is sent at most once. The connection ends after each.
async fn play(answers: &[&'static str]) -> Vec<Got> {
    let play = async {
        let mut got = Vec::new();
        for first in answers {
            let request = routed_request(true, RetryPolicy::Never);
            let script = Script { first, then: Continuation::Close };
            let observed = run_script(request, script, buffer_memory::Memory::new(1 << 20)).await;
            got.push(read(observed.response).await);
        }
        got
    };
    LocalSet::new().run_until(play).await
}

#[tokio::test]
async fn a_stream_whose_frame_is_not_whole_is_broken_off() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: 34\r\n\r\nid: 1\ndata: one\n\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 17\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11;a=b\r\nid: 1\ndata: one\n\n\r\n",
        // Inside the size of the next chunk, and of the last one.
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n1",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0",
        // Before the empty line that ends the trailers.
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\nx: y\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\nextra",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n-1\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n11111111111111111\r\n",
    ];
    for (got, answer) in play(&answers).await.into_iter().zip(answers) {
        assert_eq!(got, Got::Cut(EVENT.to_owned(), Kind::UpstreamCut), "{answer}");
    }
}

#[tokio::test]
async fn a_stream_whose_frame_ends_is_whole() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\nid: 1\ndata: one\n\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n11;a=b\r\nid: 1\ndata: one\n\n\r\n0;a=b\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\nx: y\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\nid: 1\ndata: one\n\n",
        // These end with the connection.
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nid: 1\ndata: one\n\n",
        "HTTP/1.0 200 OK\r\n\r\nid: 1\ndata: one\n\n",
    ];
    for (got, answer) in play(&answers).await.into_iter().zip(answers) {
        assert_eq!(got, Got::Whole(EVENT.to_owned()), "{answer}");
    }
}

#[tokio::test]
async fn a_stream_whose_frame_is_ambiguous_is_no_answer() {
    let answers = [
        "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 17\r\ncontent-length: 34\r\n\r\nid: 1\ndata: one\n\n",
        "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nid: 1\ndata: one\n\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\r\n",
    ];
    for (got, answer) in play(&answers).await.into_iter().zip(answers) {
        assert_eq!(got, Got::Nothing(Kind::UpstreamCut), "{answer}");
    }
}

/// Starts two upstreams. The first request gets the first answer, the next ones the second; each ends with its connection.
async fn upstreams(first: &'static str, next: &'static str) -> (Vec<Entry>, Rc<Cell<u32>>) {
    let sent = Rc::new(Cell::new(0));
    let mut entries = Vec::new();
    for index in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        entries.push(Entry { address, ..engine(index) });
        let sent = sent.clone();
        tokio::task::spawn_local(async move {
            let mut request = [0; 4_096];
            while let Ok((mut router, _)) = listener.accept().await {
                if router.read(&mut request).await.is_ok_and(|it| it > 0) {
                    let answer = if sent.replace(sent.get() + 1) == 0 { first } else { next };
                    // The router may have closed the connection.
                    let _ = router.write_all(answer.as_bytes()).await;
                }
            }
        });
    }
    (entries, sent)
}

/// Plays a stream that is cut after its second event, and the answer with which it goes on.
async fn resume(next: &'static str) -> Got {
    const CUT: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                       22\r\nid: 1\ndata: one\n\nid: 2\ndata: two\n\n\r\n";
    let play = async {
        let (entries, sent) = upstreams(CUT, next).await;
        let meter = Meter::new(Span::from_ms(60_000), "host-1");
        let exchange = open_with(entries, buffer_memory::Memory::new(1 << 20), meter);
        let got = read(exchange.run(routed_request(true, RetryPolicy::Resume)).await).await;
        assert_eq!(sent.get(), 2, "{next}");
        got
    };
    LocalSet::new().run_until(play).await
}

const TWO_EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

#[tokio::test]
// Nothing else tells that the last event had come when the first upstream was cut.
async fn a_stream_that_goes_on_with_nothing_but_a_framed_end_is_whole() {
    for next in [
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    ] {
        assert_eq!(resume(next).await, Got::Whole(TWO_EVENTS.to_owned()), "{next}");
    }
    let comment = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n: ping\n\n";
    assert_eq!(resume(comment).await, Got::Whole(format!("{TWO_EVENTS}: ping\n\n")));
}

#[tokio::test]
async fn a_stream_that_goes_on_with_an_unclear_end_is_broken_off() {
    for (next, kind) in [
        ("HTTP/1.1 200 OK\r\n\r\n", Kind::UpstreamCut),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", Kind::UpstreamCut),
        // Only events that the caller has.
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\nid: 1\ndata: one\n\n",
            Kind::UpstreamInvalid,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\nid: 2\ndata: two\n\n",
            Kind::UpstreamInvalid,
        ),
        ("HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: two\n\n", Kind::UpstreamCut),
        // Only the beginning of the next event.
        ("HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\nid: 3\ndata:", Kind::UpstreamInvalid),
    ] {
        assert_eq!(resume(next).await, Got::Cut(TWO_EVENTS.to_owned(), kind), "{next}");
    }
}

/// How a stream ends at a host after its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Early {
    UpstreamCut,
    HostStops,
    CallerReadsNothing,
}

/// Starts an upstream that sends an event in a chunk and then ends early, or sends without end to a caller that reads
/// nothing.
async fn early_upstream(early: Early) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    tokio::task::spawn_local(async move {
        while let Ok((mut router, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let mut request = [0; 4_096];
                let _ = router.read(&mut request).await;
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                let first = format!("{head}11\r\n{EVENT}\r\n");
                let mut written = router.write_all(first.as_bytes()).await;
                let mut id = 2;
                while early == Early::CallerReadsNothing && written.is_ok() {
                    let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(8_000));
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    written = router.write_all(chunk.as_bytes()).await;
                    id += 1;
                }
                sleep(Duration::from_millis(if early == Early::HostStops { 2_000 } else { 100 }))
                    .await;
            });
        }
    });
    Entry { address, ..engine(0) }
}

async fn open_host(entry: Entry) -> (SocketAddr, Listener) {
    let meter = Meter::new(Span::from_ms(60_000), "host-1");
    let pool =
        Pool { name: POOL.into(), connections: 100, engine: None, scaling: None, cold_rate: None };
    let limits = Limits {
        max_head_bytes: 16 << 10,
        max_body_bytes: 64 << 10,
        head_timeout_ms: 200,
        idle_timeout_ms: 300,
    };
    let parts = Parts {
        version: 1,
        limits,
        routes: vec![(*routed_request(true, RetryPolicy::Never).route).clone()],
        pools: vec![pool],
        customers: None,
    };
    let metrics = Metrics::open().expect("the names of the counters are unique");
    let room = intake::Room { connections: 100, bytes: 1 << 20 };
    let handler = Handler {
        dialect: Rc::new(TestDialect),
        table: watch::channel(Some(Arc::new(Table::build(parts)))).1,
        keys_valid_until: watch::channel(Time(u64::MAX)).1,
        current_until: watch::channel(Time(u64::MAX)).1,
        exchange: open_with(vec![entry], buffer_memory::Memory::new(1 << 20), meter),
        connections: caller_connection::Connections::new(room, metrics.clone()),
        metrics,
        draining: watch::channel(false).1,
        reject_from: Rc::new(Cell::new(Time(u64::MAX))),
    };
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    let listener = Listener::bind(address, Rc::new(handler)).await.expect("a port is free");
    (listener.address, listener)
}

#[tokio::test]
async fn a_stream_that_ends_early_never_ends_with_the_last_chunk_at_its_caller() {
    let play = async {
        for early in [Early::UpstreamCut, Early::HostStops, Early::CallerReadsNothing] {
            for line in [
                "POST / HTTP/1.1\r\n",
                "POST / HTTP/1.1\r\nconnection: close\r\n",
                "POST / HTTP/1.0\r\n",
                "POST / HTTP/1.0\r\nconnection: keep-alive\r\n",
            ] {
                let (address, listener) = open_host(early_upstream(early).await).await;
                let mut caller = TcpStream::connect(address).await.expect("the host listens");
                let request =
                    format!("{line}host: example\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n");
                caller.write_all(request.as_bytes()).await.expect("the host reads");
                sleep(Duration::from_millis(if early == Early::CallerReadsNothing {
                    1_200
                } else {
                    80
                }))
                .await;
                if early == Early::HostStops {
                    listener.set_stage(Stage::Closed);
                }
                let mut bytes = Vec::new();
                let end = timeout(Duration::from_secs(4), caller.read_to_end(&mut bytes)).await;
                let text = String::from_utf8_lossy(&bytes).into_owned();
                let (head, body) = text.split_once("\r\n\r\n").expect("the answer has a head");
                let case = format!(
                    "{early:?} {line:?}: {head:?}, {:?}",
                    &body[body.len().saturating_sub(60)..]
                );
                assert!(end.is_ok(), "{case}");
                assert!(body.contains(EVENT), "{case}");
                assert!(head.contains("transfer-encoding: chunked"), "{case}");
                assert!(!body.ends_with("0\r\n\r\n"), "{case}");
            }
        }
    };
    LocalSet::new().run_until(play).await;
}
