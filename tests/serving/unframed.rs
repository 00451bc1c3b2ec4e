//! Answers of upstreams with neither a length nor chunks, which end with their connection.

use std::{future::ready, time::Duration};

use almondrack::{
    error::{Error, Kind},
    serving::{
        buffer_memory,
        exchange::{Body, CallerResponse},
        registry::Entry,
        table::RetryPolicy,
        usage::Meter,
    },
    time::{Span, Time},
    wire::Ending,
    witness::Witness,
};
use http::Method;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
    task::{LocalSet, spawn_local, yield_now},
    time::sleep,
};

use crate::{
    exchange::{Continuation, RESUME_AFTER, Script, open_with, routed_request, run_script},
    fixture::engine,
};

/// What the caller got of an answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Got {
    Whole(String),
    /// Bytes, and why no more came.
    Cut(String, Kind),
    /// No answer.
    Nothing(Kind),
}

/// What the end of an answer means whose upstream has exited.
const EXITED: Result<(), (Kind, Ending)> = Err((Kind::UpstreamCut, Ending::Failed));

/// Time for a confirmation.
const LIMIT: Duration = Duration::from_secs(1);

const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

/// Runs a request before four upstreams that all answer alike. Returns what the caller got, and the requests that were
/// sent.
async fn run(stream: bool, policy: RetryPolicy, script: Script) -> (Got, u32) {
    let request = routed_request(stream, policy);
    let observed = run_script(request, script, buffer_memory::Memory::new(1 << 20)).await;
    (read(observed.response).await, observed.sent.get())
}

pub(crate) async fn read(response: Result<CallerResponse, Error>) -> Got {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("the answer is text");
    let mut relay = match response {
        Err(error) => return Got::Nothing(error.kind),
        Ok(CallerResponse { body: Body::Complete(bytes), .. }) => return Got::Whole(text(&bytes)),
        Ok(CallerResponse { body: Body::Stream(relay), .. }) => relay,
        Ok(other) => panic!("the answer is small: {other:?}"),
    };
    let mut all = String::new();
    loop {
        match relay.next().await {
            Ok(Some(bytes)) => all += &text(&bytes),
            Ok(None) => return Got::Whole(all),
            Err(kind) => {
                assert_eq!(
                    relay.next().await.err(),
                    Some(kind),
                    "the stream ends in order after all"
                );
                return Got::Cut(all, kind);
            }
        }
    }
}

/// Plays an answer to a stream that is sent at most once.
async fn stream(first: &'static str, then: Continuation) -> (Got, u32) {
    LocalSet::new().run_until(run(true, RetryPolicy::Never, Script { first, then })).await
}

#[tokio::test]
async fn a_stream_that_ends_after_an_event_is_complete() {
    let first = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: one\n\nid: 2\ndata: two\n\n";
    assert_eq!(stream(first, Continuation::Close).await, (Got::Whole(EVENTS.to_owned()), 1));
}

#[tokio::test]
async fn a_stream_whose_upstream_exits_between_two_events_is_broken_off() {
    let first = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: one\n\nid: 2\ndata: two\n\n";
    for then in [Continuation::Exit, Continuation::ExitBehindProxy] {
        let got = Got::Cut(EVENTS.to_owned(), Kind::UpstreamCut);
        assert_eq!(stream(first, then).await, (got, 1), "{then:?}");
    }
}

#[tokio::test]
async fn a_stream_whose_upstream_exits_between_two_events_goes_on_at_another_upstream() {
    let play = async {
        let entries = vec![half_stream(0).await, half_stream(1).await];
        let meter = Meter::new(Span::from_ms(60_000), "host-1");
        let exchange = open_with(entries, buffer_memory::Memory::new(1 << 20), meter);
        read(exchange.run(routed_request(true, RetryPolicy::Resume)).await).await
    };
    let rest = "id: 3\ndata: three\n\n";
    assert_eq!(LocalSet::new().run_until(play).await, Got::Whole(format!("{EVENTS}{rest}")));
}

/// Starts an upstream that exits after two events of a stream, and goes on with one that another upstream began.
async fn half_stream(index: usize) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    tokio::task::spawn_local(async move {
        while let Ok((mut router, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let length = router.read(&mut request).await.expect("the router sends a request");
            let resumed = format!("{RESUME_AFTER}: 2");
            let resumes = String::from_utf8_lossy(&request[..length]).contains(&resumed);
            let events = if resumes { "id: 3\ndata: three\n\n" } else { EVENTS };
            let answer = format!("HTTP/1.1 200 OK\r\n\r\n{events}");
            router.write_all(answer.as_bytes()).await.expect("the router reads the answer");
            if !resumes {
                return;
            }
        }
    });
    Entry { address, ..engine(index) }
}

#[tokio::test]
async fn an_answer_whose_upstream_exits_is_not_complete() {
    for then in [Continuation::Exit, Continuation::ExitBehindProxy] {
        let script = Script { first: "HTTP/1.1 200 OK\r\n\r\nhalf of", then };
        let got = LocalSet::new().run_until(run(false, RetryPolicy::Never, script)).await;
        assert_eq!(got, (Got::Nothing(Kind::UpstreamCut), 1), "{then:?}");
    }
}

/// Confirms the end of an answer whose upstream exits on a host that stands still then. Another process listens at the
/// address afterwards.
async fn confirm_end() -> Result<(), (Kind, Ending)> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let witness = Witness::spawn("i-1".into(), listener.local_addr().expect("the socket is bound"));
    let (upstream, _) = listener.accept().await.expect("the host connects");
    sleep(Duration::from_millis(20)).await;
    let confirmed =
        spawn_local(async move { witness.confirm_end(Time::now(), LIMIT, ready(Ok(()))).await });
    yield_now().await;
    drop(upstream);
    std::thread::sleep(Duration::from_millis(100));
    confirmed.await.expect("the task ends")
}

#[tokio::test]
async fn an_upstream_that_exits_while_the_host_stands_still_confirms_no_end() {
    let confirmed = LocalSet::new().run_until(confirm_end()).await;
    assert_eq!(confirmed, EXITED);
}

#[tokio::test]
// A process with 4,000 connections took 29 ms to close them.
async fn an_upstream_that_closes_its_connections_within_40_ms_confirms_no_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let witness = Witness::spawn("i-1".into(), listener.local_addr().expect("the socket is bound"));
    let (upstream, _) = listener.accept().await.expect("the host connects");
    sleep(Duration::from_millis(20)).await;
    let exit = async {
        sleep(Duration::from_millis(40)).await;
        drop(upstream);
    };
    let (confirmed, ()) =
        tokio::join!(witness.confirm_end(Time::now(), LIMIT, ready(Ok(()))), exit);
    assert_eq!(confirmed, EXITED);
}

/// Confirms an end that the host reads late, after the upstream has exited and another process listens at its address, or has
/// only closed an idle connection.
async fn confirm_late_end(exits: bool) -> Result<(), (Kind, Ending)> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let witness = Witness::spawn("i-1".into(), address);
    let (upstream, _) = listener.accept().await.expect("the host connects");
    sleep(Duration::from_millis(600)).await;
    let mut listener = Some(listener);
    if exits {
        listener.take();
    }
    drop(upstream);
    sleep(Duration::from_millis(200)).await;
    let next = TcpListener::bind(address).await;
    assert_eq!(next.is_ok(), exits);
    witness.confirm_end(Time::now(), LIMIT, ready(Ok(()))).await
}

#[tokio::test]
// A caller that reads slowly delays the end. The upstream's process had ended, and the next one confirmed it.
async fn an_end_that_is_read_after_the_next_process_listens_is_not_confirmed() {
    assert_eq!(confirm_late_end(true).await, EXITED);
}

#[tokio::test]
async fn an_upstream_that_closes_an_idle_connection_confirms_an_end() {
    assert_eq!(confirm_late_end(false).await, Ok(()));
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_broken_off() {
    let first = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: one\n\nid: 2\ndata: t";
    let got = Got::Cut("id: 1\ndata: one\n\n".to_owned(), Kind::UpstreamCut);
    assert_eq!(stream(first, Continuation::Close).await, (got, 1));
}

#[tokio::test]
async fn a_stream_that_ends_before_its_first_event_is_no_answer() {
    for first in ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nid: 1\nda"] {
        assert_eq!(stream(first, Continuation::Close).await, (Got::Nothing(Kind::UpstreamCut), 1));
    }
}

#[tokio::test]
async fn a_stream_that_is_reset_after_an_event_is_broken_off() {
    let first = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: one\n\n";
    let got = Got::Cut("id: 1\ndata: one\n\n".to_owned(), Kind::UpstreamCut);
    assert_eq!(stream(first, Continuation::Reset).await, (got, 1));
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_goes_on_at_another_upstream() {
    let first = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: one\n\nid: 2\ndata: t";
    let script = Script { first, then: Continuation::Close };
    let (got, sent) = LocalSet::new().run_until(run(true, RetryPolicy::Resume, script)).await;
    // The second upstream breaks off in the same event.
    assert_eq!(got, Got::Cut("id: 1\ndata: one\n\n".to_owned(), Kind::UpstreamCut));
    assert_eq!(sent, 2);
}

#[tokio::test]
async fn an_end_inside_the_head_is_no_answer() {
    let first = "HTTP/1.1 200 OK\r\ncontent-ty";
    assert_eq!(stream(first, Continuation::Close).await, (Got::Nothing(Kind::UpstreamCut), 1));
}

#[tokio::test]
async fn a_whole_answer_ends_with_its_connection_but_not_with_a_reset() {
    let whole = |then| {
        let script = Script { first: "HTTP/1.1 200 OK\r\n\r\nall of it", then };
        run(false, RetryPolicy::Never, script)
    };
    let got = LocalSet::new().run_until(whole(Continuation::Close)).await;
    assert_eq!(got, (Got::Whole("all of it".to_owned()), 1));
    let got = LocalSet::new().run_until(whole(Continuation::Reset)).await;
    assert_eq!(got, (Got::Nothing(Kind::UpstreamCut), 1));
}

#[tokio::test]
async fn answers_without_a_body_do_not_wait_for_the_end_of_the_connection() {
    let play = async {
        let stall = |first| Script { first, then: Continuation::Stall };
        let memory = || buffer_memory::Memory::new(1 << 20);
        let no_content = stall("HTTP/1.1 204 No Content\r\n\r\n");
        let request = routed_request(false, RetryPolicy::Never);
        let observed = run_script(request, no_content, memory()).await;
        assert_eq!(read(observed.response).await, Got::Whole(String::new()));
        let mut request = routed_request(false, RetryPolicy::Never);
        request.method = Method::HEAD;
        let observed = run_script(request, stall("HTTP/1.1 200 OK\r\n\r\n"), memory()).await;
        assert_eq!(read(observed.response).await, Got::Whole(String::new()));
    };
    LocalSet::new().run_until(play).await;
}

#[tokio::test]
async fn the_connection_of_an_answer_that_ended_with_it_is_not_used_again() {
    let play = async {
        let script =
            Script { first: "HTTP/1.1 200 OK\r\n\r\nall of it", then: Continuation::Close };
        let memory = buffer_memory::Memory::new(1 << 20);
        let exchange = crate::exchange::open_exchange(script, memory).await;
        for _ in 0..8 {
            let response = exchange.run(routed_request(false, RetryPolicy::Never)).await;
            assert_eq!(read(response).await, Got::Whole("all of it".to_owned()));
        }
    };
    LocalSet::new().run_until(play).await;
}

/// Accepts a connection and begins an answer on it, then accepts the connection that watches it.
async fn begin(listener: &TcpListener, body: &[u8]) -> (TcpStream, TcpStream) {
    let (mut router, _) = listener.accept().await.expect("the router connects");
    let _ = router.read(&mut [0; 4_096]).await.expect("the router sends a request");
    router.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.expect("the router reads the head");
    let (second, _) = listener.accept().await.expect("the router connects again");
    router.write_all(body).await.expect("the router reads the answer");
    (router, second)
}

async fn response(entry: Entry) -> Result<CallerResponse, Error> {
    let meter = Meter::new(Span::from_ms(60_000), "host-1");
    let exchange = open_with(vec![entry], buffer_memory::Memory::new(8 << 20), meter);
    exchange.run(routed_request(false, RetryPolicy::Never)).await
}

#[tokio::test]
async fn half_a_large_answer_is_not_confirmed_by_the_process_that_starts_before_its_end_is_read() {
    const HALF: usize = 1_300_000;
    let play = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        tokio::task::spawn_local(async move {
            drop(begin(&listener, &vec![b'x'; HALF]).await);
            drop(listener);
            let socket = TcpSocket::new_v4().expect("a socket is free");
            socket.set_reuseaddr(true).expect("the socket is new");
            socket.bind(address).expect("the address is free again");
            let next = socket.listen(16).expect("the socket is bound");
            let mut open = Vec::new();
            while let Ok(connection) = next.accept().await {
                open.push(connection);
            }
        });
        let body = response(Entry { address, ..engine(0) }).await.expect("the answer begins").body;
        let Body::Large(mut large) = body else { panic!("the answer is large: {body:?}") };
        let mut length = 0;
        loop {
            match large.next().await {
                Ok(Some(bytes)) => length += bytes.len(),
                Ok(None) => return (length, None),
                Err(kind) => {
                    assert_eq!(large.next().await.err(), Some(kind), "the answer ends after all");
                    return (length, Some(kind));
                }
            }
            if length < 1 << 20 {
                sleep(Duration::from_millis(10)).await;
            }
        }
    };
    let got = LocalSet::new().run_until(play).await;
    assert_eq!(got, (HALF, Some(Kind::UpstreamCut)));
}

#[tokio::test]
async fn a_short_answer_of_an_upstream_that_resets_further_connections_is_complete() {
    let play = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        tokio::task::spawn_local(async move {
            let (router, second) = begin(&listener, b"all of it").await;
            sleep(Duration::from_millis(2)).await;
            second.set_zero_linger().expect("the socket is open");
            drop(second);
            sleep(Duration::from_millis(10)).await;
            drop(router);
            let _third = listener.accept().await.expect("the router connects again");
            sleep(Duration::from_secs(1)).await;
        });
        read(response(Entry { address, ..engine(0) }).await).await
    };
    assert_eq!(LocalSet::new().run_until(play).await, Got::Whole("all of it".to_owned()));
}
