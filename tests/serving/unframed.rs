//! Answers of upstreams with neither a length nor chunks, which end with their connection.

use std::{io::ErrorKind, time::Duration};

use almondrack::{
    error::{Error, Kind},
    serving::{
        buffer_memory,
        exchange::{Body, CallerResponse},
        registry::Entry,
        table::RetryPolicy,
        usage::Meter,
    },
    time::Span,
    witness::Witness,
};
use http::Method;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
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
            Err(kind) => return Got::Cut(all, kind),
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
async fn confirm_end() -> Result<(), ErrorKind> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let witness = Witness::spawn(listener.local_addr().expect("the socket is bound"));
    let (upstream, _) = listener.accept().await.expect("the host connects");
    sleep(Duration::from_millis(20)).await;
    let confirmed =
        spawn_local(async move { witness.confirm_end(std::future::ready(Ok(()))).await });
    yield_now().await;
    drop(upstream);
    std::thread::sleep(Duration::from_millis(100));
    confirmed.await.expect("the task ends").map_err(|it| it.kind())
}

#[tokio::test]
async fn an_upstream_that_exits_while_the_host_stands_still_confirms_no_end() {
    let confirmed = LocalSet::new().run_until(confirm_end()).await;
    assert_eq!(confirmed, Err(ErrorKind::ConnectionAborted));
}

#[tokio::test]
// A process with 4,000 connections took 29 ms to close them.
async fn an_upstream_that_closes_its_connections_within_40_ms_confirms_no_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let witness = Witness::spawn(listener.local_addr().expect("the socket is bound"));
    let (upstream, _) = listener.accept().await.expect("the host connects");
    sleep(Duration::from_millis(20)).await;
    let exit = async {
        sleep(Duration::from_millis(40)).await;
        drop(upstream);
    };
    let (confirmed, ()) = tokio::join!(witness.confirm_end(std::future::ready(Ok(()))), exit);
    assert_eq!(confirmed.map_err(|it| it.kind()), Err(ErrorKind::ConnectionAborted));
}

/// Confirms an end that the host reads late, after the upstream has exited and another process listens at its address, or has
/// only closed an idle connection.
async fn confirm_late_end(exits: bool) -> Result<(), ErrorKind> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let witness = Witness::spawn(address);
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
    let confirmed = witness.confirm_end(std::future::ready(Ok(()))).await;
    confirmed.map_err(|it| it.kind())
}

#[tokio::test]
// A caller that reads slowly delays the end. The upstream's process had ended, and the next one confirmed it.
async fn an_end_that_is_read_after_the_next_process_listens_is_not_confirmed() {
    assert_eq!(confirm_late_end(true).await, Err(ErrorKind::ConnectionRefused));
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
