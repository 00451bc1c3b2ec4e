//! Reassembly of a stream's events over one or two attempts.

use almondrack::serving::stream;
use quickcheck::quickcheck;

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
        let forwarded = events.push(piece).expect("the events are valid");
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

#[test]
fn a_gap_between_runs_is_an_error() {
    let mut stream = stream::Buffer::resuming_after(Some(3));
    assert!(stream.push(events(5, 5).as_bytes()).is_err());
}
