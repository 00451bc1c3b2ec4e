//! What a request's error says about its run, with upstreams on loopback sockets that end connections at any moment.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use almondrack::{
    error::Kind,
    serving::{
        buffer_memory,
        exchange::{Body, CallerResponse},
        outbound_connection::{Connection, SendError},
        registry::Entry,
        table::RetryPolicy,
        usage::Meter,
    },
    time::{Span, Time},
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request};
use http_body_util::{BodyExt as _, Full};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::oneshot,
    task::LocalSet,
    time::{sleep, timeout},
};

use crate::{
    exchange::{ID, open_with, routed_request},
    fixture::engine,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sizes of request bodies, in bytes. The largest one does not fit into the socket buffers.
const BODY_SIZES: [usize; 4] = [0, 100, 64 << 10, 16 << 20];

/// Repetitions of each case, with growing pauses, so that the end of the connection crosses the request in some.
const REPETITIONS: u64 = 12;

/// Statuses by which callers take a request for one that has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// How a server ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It closes its sending side and goes on reading.
    Close,
    /// It sends bytes that nobody asked for and goes on reading.
    Unexpected,
    /// It resets the connection.
    Reset,
}

/// How much of the request a server reads before it ends the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    BeforeRequest,
    AfterFirstByte,
    AfterHead,
    AfterRequest,
}

/// Returns the index after the end of a head.
fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4)
}

/// Reads until the end of the head, and the body if its length is not `None`.
async fn read_request(router: &mut TcpStream, body: Option<usize>) -> usize {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        let wanted = head_end(&bytes).map(|it| it + body.unwrap_or(0));
        if wanted.is_some_and(|it| bytes.len() >= it) {
            return bytes.len();
        }
        match router.read(&mut buffer).await {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => return bytes.len(),
        }
    }
}

async fn read_to_end(router: &mut TcpStream) -> usize {
    let (mut buffer, mut total) = (vec![0; 64 << 10], 0);
    while let Ok(length) = router.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        total += length;
    }
    total
}

/// Serves one connection and returns how many bytes of the last request it has read. If `kept`, another request is
/// answered first. `ended` is sent when the server has ended the connection.
async fn serve_one(
    listener: TcpListener,
    kept: bool,
    (moment, end): (Moment, End),
    (body, pause): (usize, Duration),
    ended: oneshot::Sender<()>,
) -> usize {
    let (mut router, _) = listener.accept().await.expect("the client connects");
    if kept {
        read_request(&mut router, None).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        router.write_all(answer).await.expect("the client reads");
    }
    let mut read = match moment {
        Moment::BeforeRequest => 0,
        Moment::AfterFirstByte => router.read(&mut [0]).await.unwrap_or(0),
        Moment::AfterHead => read_request(&mut router, None).await,
        Moment::AfterRequest => read_request(&mut router, Some(body)).await,
    };
    sleep(pause).await;
    match end {
        End::Close => router.shutdown().await.expect("the socket is open"),
        End::Unexpected => router.write_all(b"unexpected").await.expect("the socket is open"),
        End::Reset => router.set_zero_linger().expect("the socket is open"),
    }
    if end != End::Reset {
        // The client may have gone on already.
        let _ = ended.send(());
        read += read_to_end(&mut router).await;
        return read;
    }
    drop(router);
    let _ = ended.send(());
    read
}

fn request(body: usize) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(vec![b'.'; body])));
    *request.method_mut() = Method::POST;
    request
}

/// Sends a request on a connection that the server ends. Returns the client's error, and the bytes of the request that
/// the server read. If `waits`, the request is sent after the end.
async fn send(
    (kept, waits): (bool, bool),
    ending: (Moment, End),
    (body, pause): (usize, Duration),
) -> (Option<SendError>, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let (ended, end) = oneshot::channel();
    let server = tokio::spawn(serve_one(listener, kept, ending, (body, pause), ended));
    let connected = Connection::connect(address, CONNECT_TIMEOUT).await;
    let mut connection = match connected {
        Ok(connection) => connection,
        // A reset can arrive while the connection is set up, before there is anything to send.
        Err(error) => {
            assert_eq!((kept, ending), (false, (Moment::BeforeRequest, End::Reset)), "{error}");
            return (Some(SendError::Unsent), server.await.expect("the server does not panic"));
        }
    };
    if kept {
        let response = connection.send(request(0)).await.expect("the server answers");
        response.into_body().collect().await.expect("the body is empty");
    }
    if waits {
        end.await.expect("the server ends the connection");
    }
    let sent = timeout(Duration::from_secs(5), connection.send(request(body))).await;
    let error = sent.expect("the connection ends").err();
    drop(connection);
    (error, server.await.expect("the server does not panic"))
}

/// Sends requests in all cases of an end and checks that only a request of which the server has read nothing counts as
/// unsent. Returns how many counted as unsent.
async fn check_unsent(kept: bool, waits: bool, moment: Moment) -> u32 {
    let mut unsent = 0;
    for end in [End::Close, End::Unexpected, End::Reset] {
        for body in BODY_SIZES {
            let repetitions = if body > 1 << 20 { 2 } else { REPETITIONS };
            for step in 0..repetitions {
                let pause = Duration::from_micros(step * step * 8);
                let (error, read) = send((kept, waits), (moment, end), (body, pause)).await;
                if matches!(error, Some(SendError::Unsent | SendError::Unsolicited)) {
                    unsent += 1;
                    assert_eq!(
                        read, 0,
                        "{end:?} {moment:?}, kept {kept}, waits {waits}, body {body}, {pause:?}"
                    );
                }
            }
        }
    }
    unsent
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_counts_as_unsent_only_if_the_server_has_read_no_byte_of_it() {
    for kept in [false, true] {
        for moment in
            [Moment::BeforeRequest, Moment::AfterFirstByte, Moment::AfterHead, Moment::AfterRequest]
        {
            let unsent = check_unsent(kept, false, moment).await;
            if moment != Moment::BeforeRequest {
                assert_eq!(
                    unsent, 0,
                    "{moment:?}, kept {kept}: the server has read of the request"
                );
            }
        }
    }
    let unsent = check_unsent(true, true, Moment::BeforeRequest).await;
    assert!(unsent > 0, "no case in which a request is certainly unsent");
}

/// What an upstream does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Conduct {
    Answer,
    AnswerAndClose,
    /// The answer comes before the body is read, which is read afterwards.
    AnswerEarly,
    AnswerWithoutBody,
    Refuse,
    RefuseAndClose,
    /// The refusal comes before the body is read, which is read afterwards.
    RefuseEarly,
    CloseUnread,
    CloseAfterHead,
    ResetAfterHead,
    CloseAfterRequest,
    ResetAfterRequest,
    Garbage,
    /// Informational answers, and no final one.
    Informational,
    HalfHead,
    HalfBody,
    Stall,
}

const CONDUCTS: [Conduct; 17] = [
    Conduct::Answer,
    Conduct::AnswerAndClose,
    Conduct::AnswerEarly,
    Conduct::AnswerWithoutBody,
    Conduct::Refuse,
    Conduct::RefuseAndClose,
    Conduct::RefuseEarly,
    Conduct::CloseUnread,
    Conduct::CloseAfterHead,
    Conduct::ResetAfterHead,
    Conduct::CloseAfterRequest,
    Conduct::ResetAfterRequest,
    Conduct::Garbage,
    Conduct::Informational,
    Conduct::HalfHead,
    Conduct::HalfBody,
    Conduct::Stall,
];

/// What upstreams have received, by the id of the request.
#[derive(Debug, Clone, Copy, Default)]
struct Receptions {
    /// Requests that an upstream may have run: it has read their head and has not refused them.
    runs: u32,
    refusals: u32,
}

/// Id under which a head without an id is logged, which the end of another request's body may be.
const GARBLED: &str = "garbled";

type Log = Rc<RefCell<BTreeMap<String, Receptions>>>;

/// Draws the conducts of all upstreams.
#[derive(Debug, Clone)]
struct Draws(Rc<Cell<u64>>);

impl Draws {
    fn next(&self) -> u64 {
        let mut state = self.0.get();
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.0.set(state);
        state >> 16
    }

    /// Half of the requests are answered, so that connections are kept and used again.
    fn conduct(&self) -> Conduct {
        let drawn = self.next() as usize % (2 * CONDUCTS.len());
        *CONDUCTS.get(drawn).unwrap_or(&Conduct::Answer)
    }
}

async fn upstream(index: usize, draws: Draws, log: Log) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let mut entry = engine(index);
    entry.address = listener.local_addr().expect("the socket is bound");
    tokio::task::spawn_local(async move {
        while let Ok((router, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(router, draws.clone(), log.clone()));
        }
    });
    entry
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nyes";
const FULL: &[u8] = b"HTTP/1.1 503 Full\r\ncontent-length: 4\r\n\r\nfull";

async fn serve(mut router: TcpStream, draws: Draws, log: Log) {
    let mut bytes = Vec::new();
    loop {
        let conduct = draws.conduct();
        if conduct == Conduct::CloseUnread {
            // The next request may be on its way.
            sleep(Duration::from_micros(draws.next() % 500)).await;
            return;
        }
        let Some(head) = read_until(&mut router, &mut bytes, head_end).await else { return };
        let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
        let field = |name: &str| {
            let lines = text.lines().filter_map(|it| it.split_once(": "));
            lines.filter(|it| it.0 == name).map(|it| it.1.to_owned()).next()
        };
        let length: usize = field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let refused =
            matches!(conduct, Conduct::Refuse | Conduct::RefuseAndClose | Conduct::RefuseEarly);
        {
            let mut log = log.borrow_mut();
            let received =
                log.entry(field(ID.as_str()).expect("the request has an id")).or_default();
            received.refusals += u32::from(refused);
            received.runs += u32::from(!refused);
        }
        let early: &[u8] = match conduct {
            Conduct::CloseAfterHead => return,
            Conduct::ResetAfterHead => {
                router.set_zero_linger().expect("the socket is open");
                return;
            }
            Conduct::AnswerEarly => OK,
            Conduct::RefuseEarly => FULL,
            _ => b"",
        };
        if router.write_all(early).await.is_err() {
            return;
        }
        let whole = |it: &[u8]| (it.len() >= head + length).then_some(head + length);
        let Some(end) = read_until(&mut router, &mut bytes, whole).await else { return };
        bytes.drain(..end);
        let answer: &[u8] = match conduct {
            Conduct::Answer | Conduct::AnswerAndClose => OK,
            Conduct::Refuse | Conduct::RefuseAndClose => FULL,
            Conduct::AnswerWithoutBody => b"HTTP/1.1 204 No Content\r\n\r\n",
            Conduct::Garbage => b"garbage\r\n\r\n",
            Conduct::Informational => {
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
            }
            Conduct::HalfHead => b"HTTP/1.1 503 Fu",
            Conduct::HalfBody => b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
            _ => b"",
        };
        if router.write_all(answer).await.is_err() {
            return;
        }
        match conduct {
            Conduct::Answer
            | Conduct::AnswerEarly
            | Conduct::AnswerWithoutBody
            | Conduct::Refuse
            | Conduct::RefuseEarly => {}
            Conduct::Stall => {
                // Ends when the router closes the connection.
                read_to_end(&mut router).await;
                return;
            }
            Conduct::ResetAfterRequest => {
                router.set_zero_linger().expect("the socket is open");
                return;
            }
            _ => return,
        }
    }
}

/// Reads until `end` finds what it looks for; `None` if the connection ends before.
async fn read_until(
    router: &mut TcpStream,
    bytes: &mut Vec<u8>,
    end: impl Fn(&[u8]) -> Option<usize>,
) -> Option<usize> {
    let mut buffer = vec![0; 16 << 10];
    loop {
        if let Some(end) = end(bytes) {
            return Some(end);
        }
        match router.read(&mut buffer).await {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => return None,
        }
    }
}

/// Callers at the same time, and requests of each.
const CALLERS: u64 = 12;
const REQUESTS: u64 = 100;

/// Deadline of a request.
const DEADLINE: Span = Span::from_ms(400);

/// Status that the caller sees.
fn status(response: &Result<CallerResponse, Kind>) -> u16 {
    match response {
        Ok(response) => response.status.as_u16(),
        Err(kind) => kind.answer().status,
    }
}

/// Sends requests before upstreams that answer, refuse and end connections at random, and checks what the callers got
/// against what the upstreams received.
async fn check_statuses(seed: u64, retry_policy: RetryPolicy) {
    let (draws, log) = (Draws(Rc::new(Cell::new(seed))), Log::default());
    let mut entries = Vec::new();
    // Few, so that some requests are refused by all.
    for index in 0..2 {
        entries.push(upstream(index, draws.clone(), log.clone()).await);
    }
    let meter = Meter::new(Span::from_ms(60_000), "host-1");
    let exchange = open_with(entries, buffer_memory::Memory::new(1 << 20), meter);
    let callers = (0..CALLERS).map(|caller| {
        let (exchange, draws) = (&exchange, draws.clone());
        async move {
            let mut statuses = Vec::new();
            for number in 0..REQUESTS {
                let id = format!("{caller}-{number}");
                let mut request = routed_request(false, retry_policy);
                let value = HeaderValue::from_str(&id).expect("the id is text");
                request.headers.insert(ID, value);
                request.body = vec![b'.'; BODY_SIZES[draws.next() as usize % 3]].into();
                request.deadline = Time::now() + DEADLINE;
                if draws.next().is_multiple_of(4) {
                    // The caller leaves.
                    let wait = Duration::from_micros(draws.next() % 5_000);
                    if timeout(wait, exchange.run(request)).await.is_err() {
                        statuses.push((id, 0));
                    }
                    continue;
                }
                let response = exchange.run(request).await.map_err(|it| it.kind);
                if let Ok(CallerResponse { body: Body::Complete(bytes), .. }) = &response {
                    assert!(bytes.is_empty() || &bytes[..] == b"yes", "{id}: {bytes:?}");
                }
                statuses.push((id, status(&response)));
            }
            statuses
        }
    });
    let statuses = futures::future::join_all(callers).await.concat();
    let log = log.borrow();
    assert!(!log.contains_key(GARBLED), "seed {seed}: an upstream got bytes that are no request");
    let mut refused = 0;
    for (id, status) in &statuses {
        let Receptions { runs, refusals } = log.get(id).copied().unwrap_or_default();
        let most = if retry_policy == RetryPolicy::Never { 1 } else { 2 };
        assert!(runs <= most, "seed {seed}: {id} ran {runs} times, status {status}");
        if NOT_RUN.contains(status) {
            refused += 1;
            assert_eq!(
                runs, 0,
                "seed {seed}: {id} got {status} and {refusals} refusals and has run"
            );
        }
        if *status == 200 {
            assert!(runs > 0, "seed {seed}: {id} got an answer and no upstream has run it");
        }
    }
    assert!(refused > 0, "seed {seed}: no request was refused");
}

#[tokio::test]
async fn a_status_that_says_not_run_is_true_whenever_upstreams_end_connections() {
    for seed in 1..=3 {
        LocalSet::new().run_until(check_statuses(seed, RetryPolicy::Never)).await;
        LocalSet::new().run_until(check_statuses(seed, RetryPolicy::Always)).await;
    }
}

/// Address to which no connection is made: its queue of connections is full.
async fn full_queue() -> (SocketAddr, Vec<TcpStream>, tokio::net::TcpListener) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket is free");
    socket.bind("127.0.0.1:0".parse().expect("the address is valid")).expect("a port is free");
    let listener = socket.listen(0).expect("the socket is bound");
    let address = listener.local_addr().expect("the socket is bound");
    let mut waiting = Vec::new();
    for _ in 0..4 {
        let connecting = timeout(Duration::from_millis(100), TcpStream::connect(address)).await;
        waiting.extend(connecting.ok().and_then(Result::ok));
    }
    (address, waiting, listener)
}

#[tokio::test]
async fn a_request_whose_connection_is_not_made_in_time_is_not_sent_when_it_is_made_later() {
    let play = async {
        let (address, waiting, listener) = full_queue().await;
        let mut entry = engine(0);
        entry.address = address;
        let meter = Meter::new(Span::from_ms(60_000), "host-1");
        let exchange = open_with(vec![entry], buffer_memory::Memory::new(1 << 20), meter);
        let error = exchange.run(routed_request(false, RetryPolicy::Never)).await;
        let error = error.expect_err("no connection is made");
        assert_eq!(error.kind.answer().status, 503, "{error}");
        drop(waiting);
        // The queue has room now, and the kernel repeats what it has begun.
        let mut received = 0;
        while let Ok(accepted) = timeout(Duration::from_millis(1_500), listener.accept()).await {
            let (mut router, _) = accepted.expect("the socket listens");
            received += read_to_end(&mut router).await;
        }
        assert_eq!(received, 0, "the request was sent after its refusal");
    };
    LocalSet::new().run_until(play).await;
}
