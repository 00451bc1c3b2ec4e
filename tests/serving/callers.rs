//! Callers on loopback sockets that stall, pipeline requests or end connections.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use almondrack::{
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
    time::{Instant, sleep, timeout},
};

use crate::{
    exchange::{ID, TestDialect, open_with, routed_request},
    fixture::{POOL, engine},
};

/// Time that the upstream takes for a request to `/slow`.
const SLOW: Duration = Duration::from_millis(800);

/// Time within which an answer is certainly there if nothing holds it back.
const SOON: Duration = Duration::from_millis(400);

/// Limits with short time-outs.
const LIMITS: Limits = Limits {
    max_head_bytes: 16 << 10,
    max_body_bytes: 64 << 10,
    head_timeout_ms: 200,
    idle_timeout_ms: 300,
};

/// Ids of the requests that the upstream has received, in order.
type Received = Rc<RefCell<Vec<String>>>;

async fn upstream(received: Received) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let mut entry = engine(0);
    entry.address = listener.local_addr().expect("the socket is bound");
    tokio::task::spawn_local(async move {
        while let Ok((router, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(router, received.clone()));
        }
    });
    entry
}

async fn serve(mut router: TcpStream, received: Received) {
    let mut bytes = Vec::new();
    loop {
        let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") else {
            let mut buffer = [0; 4_096];
            match router.read(&mut buffer).await {
                Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
                _ => return,
            }
            continue;
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        // A request with a body is the last one of these tests on its connection.
        bytes.drain(..end + 4);
        let id = head.lines().find_map(|it| it.strip_prefix("x-id: ")).unwrap_or_default();
        received.borrow_mut().push(id.to_owned());
        if head.starts_with("GET /slow") {
            sleep(SLOW).await;
        }
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\nto {id}.", id.len() + 4);
        if router.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A host with one upstream.
struct Fixture {
    address: SocketAddr,
    table: watch::Sender<Option<Arc<Table>>>,
    received: Received,
    draining: watch::Sender<bool>,
    reject_from: Rc<Cell<Time>>,
    listener: Listener,
}

async fn open() -> Fixture {
    open_host(intake::Room { connections: 100, bytes: 1 << 20 }, true).await
}

/// Opens a host with so much room for callers, and with or without a configuration.
async fn open_host(room: intake::Room, is_configured: bool) -> Fixture {
    let received = Received::default();
    let entries = vec![upstream(received.clone()).await];
    let meter = Meter::new(Span::from_ms(60_000), "host-1");
    let route = (*routed_request(false, RetryPolicy::Never).route).clone();
    let pool =
        Pool { name: POOL.into(), connections: 100, engine: None, scaling: None, cold_rate: None };
    let parts = Parts {
        version: 1,
        limits: LIMITS,
        routes: vec![route],
        pools: vec![pool],
        customers: None,
    };
    let (draining, draining_seen) = watch::channel(false);
    let reject_from = Rc::new(Cell::new(Time(u64::MAX)));
    let metrics = Metrics::open().expect("the names of the counters are unique");
    let table = is_configured.then(|| Arc::new(Table::build(parts)));
    let (table, table_seen) = watch::channel(table);
    let handler = Handler {
        dialect: Rc::new(TestDialect),
        table: table_seen,
        keys_valid_until: watch::channel(Time(u64::MAX)).1,
        current_until: watch::channel(Time(u64::MAX)).1,
        exchange: open_with(entries, buffer_memory::Memory::new(1 << 20), meter),
        connections: caller_connection::Connections::new(room, metrics.clone()),
        metrics,
        draining: draining_seen,
        reject_from: reject_from.clone(),
    };
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    let listener = Listener::bind(address, Rc::new(handler)).await.expect("a port is free");
    Fixture { address: listener.address, table, received, draining, reject_from, listener }
}

fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: example\r\n{}: {id}\r\n\r\n", ID.as_str())
}

async fn connect(fixture: &Fixture, text: &str) -> TcpStream {
    let mut caller = TcpStream::connect(fixture.address).await.expect("the host listens");
    caller.write_all(text.as_bytes()).await.expect("the host reads");
    caller
}

/// Reads until the end of the connection, at most for a time. Returns the bytes, and whether the connection has ended.
async fn read_for(caller: &mut TcpStream, limit: Duration) -> (String, bool) {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4_096]);
    let end = Instant::now() + limit;
    let has_ended = loop {
        match tokio::time::timeout_at(end, caller.read(&mut buffer)).await {
            Ok(Ok(length)) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            Ok(_) => break true,
            Err(_) => break false,
        }
    };
    (String::from_utf8_lossy(&bytes).into_owned(), has_ended)
}

/// Status lines of the answers in what a caller has read.
fn statuses(text: &str) -> Vec<&str> {
    text.match_indices("HTTP/1.1 ").map(|(at, _)| &text[at + 9..at + 12]).collect()
}

async fn play<T>(play: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(play).await
}

#[tokio::test]
async fn a_request_whose_body_stalls_is_refused_and_not_sent() {
    play(async {
        let fixture = open().await;
        let head = "POST / HTTP/1.1\r\nhost: example\r\nx-id: 1\r\ncontent-length: 10\r\n\r\nhalf.";
        let mut caller = connect(&fixture, head).await;
        let first = timeout(Duration::from_secs(2), caller.read_u8()).await;
        assert_eq!(first.expect("the host answers").expect("the connection is open"), b'H');
        // The rest of the body comes late, with another request behind it.
        let late = format!("half.{}", get("/", "2"));
        // The host may have closed its side.
        let _ = caller.write_all(late.as_bytes()).await;
        let (text, has_ended) = read_for(&mut caller, Duration::from_secs(2)).await;
        assert_eq!(statuses(&format!("H{text}")), ["408"]);
        assert!(has_ended, "the connection stays open");
        assert!(fixture.received.borrow().is_empty(), "{:?}", fixture.received);
    })
    .await;
}

#[tokio::test]
async fn a_head_that_stalls_behind_an_answer_is_refused_and_not_sent() {
    play(async {
        let fixture = open().await;
        let mut caller = connect(&fixture, &get("/", "1")).await;
        let (text, _) = read_for(&mut caller, Duration::from_millis(100)).await;
        assert_eq!(statuses(&text), ["200"]);
        let second = get("/", "2");
        let (begin, rest) = second.split_at(20);
        caller.write_all(begin.as_bytes()).await.expect("the host reads");
        let (text, _) = read_for(&mut caller, Duration::from_millis(3_000)).await;
        assert!(matches!(statuses(&text)[..], [] | ["408"]), "{text}");
        // The host may have closed the connection.
        let _ = caller.write_all(rest.as_bytes()).await;
        let (more, has_ended) = read_for(&mut caller, Duration::from_secs(2)).await;
        assert_eq!((statuses(&more).len(), has_ended), (0, true), "{text}{more}");
        assert_eq!(*fixture.received.borrow(), ["1"]);
    })
    .await;
}

#[tokio::test]
async fn the_server_sends_nothing_while_a_request_runs_longer_than_its_time_outs() {
    play(async {
        let fixture = open().await;
        let mut caller = connect(&fixture, &get("/slow", "1")).await;
        let (text, has_ended) = read_for(&mut caller, SLOW - Duration::from_millis(100)).await;
        assert_eq!((text.as_str(), has_ended), ("", false));
        let (text, _) = read_for(&mut caller, SOON).await;
        assert_eq!(statuses(&text), ["200"]);
    })
    .await;
}

#[tokio::test]
async fn a_request_behind_an_answer_that_closes_the_connection_is_not_run() {
    play(async {
        let fixture = open().await;
        fixture.draining.send_replace(true);
        let mut caller = connect(&fixture, &(get("/", "1") + &get("/", "2"))).await;
        let (text, has_ended) = read_for(&mut caller, SOON).await;
        assert!(text.contains("connection: close"), "{text}");
        // A caller that obeys the first answer does not read the second one, and may send its request again.
        assert_eq!(*fixture.received.borrow(), ["1"], "{text}");
        assert!(has_ended, "the connection stays open");
    })
    .await;
}

#[tokio::test]
async fn a_request_behind_one_that_closes_the_connection_is_not_run() {
    play(async {
        let fixture = open().await;
        let first = "GET / HTTP/1.1\r\nhost: example\r\nx-id: 1\r\nconnection: close\r\n\r\n";
        let mut caller = connect(&fixture, &(first.to_owned() + &get("/", "2"))).await;
        let (text, has_ended) = read_for(&mut caller, SOON).await;
        assert_eq!(*fixture.received.borrow(), ["1"], "{text}");
        assert!(has_ended, "the connection stays open");
    })
    .await;
}

#[tokio::test]
async fn a_request_behind_a_refusal_of_a_stopping_host_is_not_run() {
    play(async {
        let fixture = open().await;
        fixture.draining.send_replace(true);
        fixture.reject_from.set(Time(0));
        let mut caller = connect(&fixture, &(get("/", "1") + &get("/", "2"))).await;
        let (text, _) = read_for(&mut caller, SOON).await;
        assert!(statuses(&text).iter().all(|it| *it == "503"), "{text}");
        assert!(fixture.received.borrow().is_empty(), "{:?}", fixture.received);
    })
    .await;
}

#[tokio::test]
async fn an_answer_does_not_wait_for_the_request_behind_it() {
    play(async {
        let fixture = open().await;
        let mut caller = connect(&fixture, &(get("/", "1") + &get("/slow", "2"))).await;
        let (text, _) = read_for(&mut caller, SOON).await;
        assert_eq!(statuses(&text), ["200"], "{text}");
        assert!(text.ends_with("to 1."), "{text}");
        let (text, _) = read_for(&mut caller, SLOW).await;
        assert!(text.ends_with("to 2."), "{text}");
    })
    .await;
}

#[tokio::test]
async fn a_caller_that_leaves_or_is_cut_gets_no_status() {
    play(async {
        for leaves in [true, false] {
            let fixture = open().await;
            let mut caller = connect(&fixture, &get("/slow", "1")).await;
            sleep(Duration::from_millis(100)).await;
            if leaves {
                caller.shutdown().await.expect("the connection is open");
            } else {
                fixture.listener.set_stage(Stage::Closed);
            }
            let (text, has_ended) = read_for(&mut caller, 2 * SLOW).await;
            assert_eq!((text.as_str(), has_ended), ("", true), "leaves {leaves}");
            assert_eq!(*fixture.received.borrow(), ["1"]);
        }
    })
    .await;
}

/// Time after a request from which a connection that ends without an answer counts as a lost request.
const LOSS_SLACK: Duration = Duration::from_millis(200);

#[tokio::test]
// The host read what came after its last answer for half a second and dropped it, requests included.
async fn a_request_that_crosses_the_close_is_not_read_and_its_connection_ends_soon() {
    play(async {
        let fixture = open().await;
        fixture.draining.send_replace(true);
        let mut caller = connect(&fixture, &get("/", "1")).await;
        let (text, has_ended) = read_for(&mut caller, SOON).await;
        assert!(has_ended && text.contains("connection: close"), "{text}");
        sleep(Duration::from_millis(80)).await;
        caller.write_all(get("/", "2").as_bytes()).await.expect("the connection is half open");
        let sent = Instant::now();
        // A reset, which tells that the request was not read, fails the next write.
        while caller.write_all(b" ").await.is_ok() && sent.elapsed() < SOON * 2 {
            sleep(Duration::from_millis(5)).await;
        }
        let elapsed = sent.elapsed();
        assert!(elapsed < LOSS_SLACK, "the connection ended {} ms later", elapsed.as_millis());
        assert_eq!(*fixture.received.borrow(), ["1"]);
    })
    .await;
}

#[tokio::test]
async fn a_request_that_is_read_while_its_connection_has_to_go_is_refused_as_not_run() {
    play(async {
        let fixture = open_host(intake::Room { connections: 2, bytes: 1 << 20 }, true).await;
        let mut callers = Vec::new();
        for id in ["0", "1"] {
            callers.push(connect(&fixture, &get("/", id)).await);
            let (text, _) = read_for(&mut callers[0], Duration::from_millis(100)).await;
            assert!(id == "1" || statuses(&text) == ["200"], "{text}");
        }
        // The one that has been idle for longest has to go.
        let caller = &mut callers[0];
        assert!(caller.writable().await.is_ok());
        // The host does not run in between, and finds both at once.
        let next = std::net::TcpStream::connect(fixture.address).expect("the host listens");
        caller.try_write(get("/slow", "2").as_bytes()).expect("the connection is open");
        let (text, has_ended) = read_for(caller, SOON).await;
        assert_eq!((statuses(&text), has_ended), (vec!["503"], true), "{text}");
        assert_eq!(*fixture.received.borrow(), ["0", "1"]);
        drop(next);
    })
    .await;
}

#[tokio::test]
async fn a_body_with_several_legal_pauses_is_taken() {
    play(async {
        let fixture = open().await;
        let head = "POST / HTTP/1.1\r\nhost: example\r\nx-id: 1\r\ncontent-length: 4\r\n\r\n";
        let mut caller = connect(&fixture, head).await;
        for _ in 0..4 {
            sleep(Duration::from_millis(150)).await;
            caller.write_all(b"x").await.expect("the connection is open");
        }
        let (text, _) = read_for(&mut caller, SOON).await;
        assert_eq!(statuses(&text), ["200"], "{text}");
    })
    .await;
}

#[tokio::test]
async fn a_head_over_the_default_limit_is_not_refused_before_the_limit_is_known() {
    play(async {
        let room = intake::Room { connections: 100, bytes: 1 << 20 };
        let fixture = open_host(room, false).await;
        let long =
            format!("GET / HTTP/1.1\r\nhost: example\r\nlong: {}\r\n\r\n", "x".repeat(40_000));
        let mut caller = connect(&fixture, &long).await;
        let (text, _) = read_for(&mut caller, Duration::from_secs(1)).await;
        assert_eq!(statuses(&text), ["503"], "{text}");
    })
    .await;
}

#[tokio::test]
async fn a_body_behind_a_head_in_two_parts_that_expects_100_continue_is_read() {
    play(async {
        let fixture = open().await;
        let head = "POST / HTTP/1.1\r\nhost: example\r\nx-id: 1\r\nexpect: 100-continue\r\ncontent-length: 2\r\n";
        let mut caller = connect(&fixture, head).await;
        sleep(Duration::from_millis(100)).await;
        caller.write_all(b"\r\nxx").await.expect("the connection is open");
        let (text, _) = read_for(&mut caller, SOON).await;
        assert_eq!(statuses(&text), ["100", "200"], "{text}");
    })
    .await;
}

/// Guards against requests that keep the configuration they came with, whole, until their answers begin: a storm of large
/// ones then fills the memory.
#[tokio::test]
async fn requests_that_wait_do_not_keep_a_configuration_that_was_replaced() {
    play(async {
        let fixture = open().await;
        let mut waiting = connect(&fixture, &get("/slow", "a")).await;
        let upload = "POST / HTTP/1.1\r\nhost: example\r\nx-id: b\r\ncontent-length: 2\r\n\r\n{";
        let mut uploading = connect(&fixture, upload).await;
        sleep(Duration::from_millis(100)).await;
        let replaced = fixture.table.borrow().as_ref().map(Arc::downgrade).expect("there is one");
        fixture.table.send_replace(Some(Arc::default()));
        assert_eq!(replaced.strong_count(), 0, "copies of the configuration that was replaced");
        uploading.write_all(b"}").await.expect("the connection is open");
        for (caller, id) in [(&mut waiting, "a"), (&mut uploading, "b")] {
            let (text, _) = read_for(caller, SLOW + SOON).await;
            assert!(text.ends_with(&format!("to {id}.")), "its route holds: {text}");
        }
    })
    .await;
}
