//! Which connections to an upstream are known to lead to the process that the list describes.

use almondrack::{
    serving::{contact::Log, fleet_state::Verification, key::UpstreamKey},
    time::Time,
};
use expect_test::expect;

const UPSTREAM: UpstreamKey = UpstreamKey(1);

fn at_ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

/// Connections opened at these times that are confirmed by a list verified at 10 s, with or without an outage since.
fn confirmed(log: &Log, is_current: bool) -> Vec<u64> {
    let verification = Verification { at: Some(at_ms(10_000)), is_current };
    let opened = [1_000, 8_000, 8_001, 10_500, 11_999, 12_000];
    let is_confirmed = |it: &u64| log.confirms(UPSTREAM, at_ms(*it), verification);
    opened.into_iter().filter(is_confirmed).collect()
}

#[test]
fn a_recent_list_confirms_connections_unless_the_store_is_away() {
    let log = Log::default();
    expect!["[1000, 8000, 8001, 10500, 11999]"].assert_eq(&format!("{:?}", confirmed(&log, true)));
    expect!["[1000, 8000]"].assert_eq(&format!("{:?}", confirmed(&log, false)));
    assert!(!log.confirms(UPSTREAM, at_ms(1_000), Verification::default()));
}

// An upstream that was down may have come back with other software before the list shows it.
#[test]
fn an_upstream_that_refused_a_connection_is_confirmed_once_the_list_shows_its_process() {
    let mut log = Log::default();
    log.record_refusal(at_ms(7_000), UPSTREAM);
    expect!["[1000, 8000]"].assert_eq(&format!("{:?}", confirmed(&log, true)));
    log.record_answer(UPSTREAM, at_ms(8_001), at_ms(8_100));
    expect!["[1000, 8000]"].assert_eq(&format!("{:?}", confirmed(&log, true)));
    log.record_refusal(at_ms(7_500), UPSTREAM);
    log.record_answer(UPSTREAM, at_ms(8_000), at_ms(8_100));
    expect!["[1000, 8000, 8001, 10500, 11999]"].assert_eq(&format!("{:?}", confirmed(&log, true)));
}

#[test]
fn an_answer_on_an_older_connection_shows_that_the_process_lives_on() {
    let mut log = Log::default();
    log.record_refusal(at_ms(9_000), UPSTREAM);
    log.record_answer(UPSTREAM, at_ms(5_000), at_ms(8_900));
    expect!["[1000, 8000]"].assert_eq(&format!("{:?}", confirmed(&log, true)));
    log.record_answer(UPSTREAM, at_ms(5_000), at_ms(9_100));
    expect!["[1000, 8000, 8001, 10500, 11999]"].assert_eq(&format!("{:?}", confirmed(&log, true)));
}
