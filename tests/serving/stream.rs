//! Reassembly of a stream's events over one or two attempts.

use almondrack::{
    error::Kind,
    serving::{buffer_memory, stream, table::RetryPolicy},
};
use quickcheck::{TestResult, quickcheck};
use tokio::task::LocalSet;

use crate::{
    exchange::{Continuation, Script, routed_request, run_script},
    unframed::{Got, read},
};

fn events(from: u64, to: u64) -> String {
    (from..=to).map(|it| format!("id: {it}\ndata: text {it}\n\n")).collect()
}

/// Pushes a text in pieces of the given lengths and returns the bytes that are forwarded.
fn push(events: &mut stream::Buffer, text: &str, lengths: &[u8]) -> String {
    let mut out = String::new();
    let mut rest = text.as_bytes();
    let mut lengths = lengths.iter().copied().cycle();
    while !rest.is_empty() {
        let length = usize::from(lengths.next().unwrap_or(7)).clamp(1, rest.len());
        let (piece, remaining) = rest.split_at(length);
        events.push(piece);
        let forwarded = events.take().expect("the events are valid");
        out += std::str::from_utf8(&forwarded).expect("the events are text");
        rest = remaining;
    }
    out
}

quickcheck! {
    fn events_are_passed_on_whole_however_they_arrive(count: u8, lengths: Vec<u8>) -> bool {
        let text = events(1, u64::from(count));
        push(&mut stream::Buffer::default(), &text, &lengths) == text
    }

    fn a_second_run_repeats_and_omits_nothing(count: u8, cut: u16, overlap: u8) -> bool {
        let count = u64::from(count) + 1;
        let text = events(1, count);
        let cut = usize::from(cut) % text.len();
        let mut stream = stream::Buffer::default();
        let mut out = push(&mut stream, &text[..cut], &[]);
        stream.discard_partial();
        // The second attempt may begin before the last event that was forwarded.
        let start = (stream.last_id().unwrap_or(0) + 1).saturating_sub(u64::from(overlap)).max(1);
        out += &push(&mut stream, &events(start, count), &[]);
        out == text
    }
}

/// How the id of an event is spoilt.
fn spoilt(number: u64, how: u8) -> String {
    let data = format!("data: text {number}\n\n");
    match how % 6 {
        0 => format!("id: {}\n{data}", number + 50),
        1 => format!("id: {}\n{data}", number - 1),
        2 => format!("id: {}\n{data}", number / 2),
        3 => format!("id: x{number}\n{data}"),
        4 => format!("ie: {number}\n{data}"),
        _ => format!("id: \n{data}"),
    }
}

/// Passes pieces of an attempt on as they arrive. Returns false if the response is not complete.
fn forward(stream: &mut stream::Buffer, text: &str, lengths: &[u8], out: &mut String) -> bool {
    let mut rest = text.as_bytes();
    let mut lengths = lengths.iter().copied().cycle();
    let mut add = |bytes: &[u8]| *out += std::str::from_utf8(bytes).expect("the events are text");
    while !rest.is_empty() {
        let length = usize::from(lengths.next().unwrap_or(7)).clamp(1, rest.len());
        let (piece, remaining) = rest.split_at(length);
        stream.push(piece);
        loop {
            match stream.take() {
                Ok(events) if events.is_empty() => break,
                Ok(events) => add(&events),
                Err(_) => return false,
            }
        }
        rest = remaining;
    }
    stream.finish().map(|rest| add(&rest)).is_ok()
}

quickcheck! {
    // Events before a spoilt one were lost, and a spoilt last one was missing in a stream that ended as complete.
    fn a_stream_with_a_spoilt_event_goes_on_whole(count: u8, at: u8, how: u8, lengths: Vec<u8>) -> TestResult {
        let count = u64::from(count) + 2;
        let at = u64::from(at) % count + 1;
        let text = events(1, count);
        let is_first_of_stream = at == 1;
        let first = events(1, at - 1) + &spoilt(at, how) + &events(at + 1, count);
        let mut stream = stream::Buffer::default();
        let mut out = String::new();
        if forward(&mut stream, &first, &lengths, &mut out) {
            // Without the first id nothing tells the number of the event; no event is missing.
            return TestResult::from_bool(is_first_of_stream && out == first);
        }
        stream.discard_partial();
        let next = stream.last_id().unwrap_or(0) + 1;
        let is_whole = forward(&mut stream, &events(next, count), &lengths, &mut out);
        TestResult::from_bool(is_whole && out == text)
    }
}

/// Plays a response of a stream that is sent at most once.
async fn play(first: &'static str) -> Got {
    let script = Script { first, then: Continuation::Close };
    let play = async {
        let request = routed_request(true, RetryPolicy::Never);
        read(run_script(request, script, buffer_memory::Memory::new(1 << 20)).await.response).await
    };
    LocalSet::new().run_until(play).await
}

#[tokio::test]
// Sound events in the frame of a spoilt one counted as forwarded and never were.
async fn events_before_a_spoilt_one_in_the_same_frame_reach_the_caller() {
    let first = "HTTP/1.1 200 OK\r\ncontent-length: 49\r\n\r\n\
                 id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 9\ndata: 9\n\n";
    let got = Got::Cut("id: 1\ndata: one\n\nid: 2\ndata: two\n\n".into(), Kind::UpstreamInvalid);
    assert_eq!(play(first).await, got);
}

#[tokio::test]
// A last event with a lower id, or one that was cut, was dropped or passed on in a stream that ended as complete.
async fn a_stream_without_its_last_event_does_not_end_as_complete() {
    let responses = [
        "HTTP/1.1 200 OK\r\ncontent-length: 34\r\n\r\nid: 1\ndata: one\n\nid: 1\ndata: two\n\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 34\r\n\r\nid: 1\ndata: one\n\nid: y\ndata: two\n\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\nid: 1\ndata: one\n\nid: 2\ndata: t",
    ];
    for response in responses {
        let got = Got::Cut("id: 1\ndata: one\n\n".to_owned(), Kind::UpstreamInvalid);
        assert_eq!(play(response).await, got, "{response}");
    }
}

#[test]
// A first event that waits for the next one does not make an end inside that one an end of the stream.
fn a_stream_that_ends_inside_the_event_after_an_unusual_first_id_is_not_complete() {
    let mut stream = stream::Buffer::default();
    stream.push(b"id: 51\ndata: one\n\nid: 2\nda");
    assert_eq!(stream.take().as_deref(), Ok(&b""[..]));
    assert_eq!(stream.finish(), Err(stream::InvalidEvent::Unfinished));
    let mut stream = stream::Buffer::default();
    stream.push(b"id: 51\ndata: all of it\n\n");
    assert_eq!(stream.take().as_deref(), Ok(&b""[..]));
    assert_eq!(stream.finish().as_deref(), Ok(&b"id: 51\ndata: all of it\n\n"[..]));
}

#[test]
fn a_gap_between_runs_is_an_error() {
    let mut stream = stream::Buffer::resuming_after(Some(3));
    stream.push(events(5, 5).as_bytes());
    assert!(stream.take().is_err());
}
