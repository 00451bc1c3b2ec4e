//! Whether a host counts as cut off from upstreams, by the outcomes of its connections.

use almondrack::{serving::reach::Reach, time::Span};

use crate::fixture::at;

const UPSTREAMS: usize = 5;

#[test]
fn one_upstream_that_is_down_is_no_cut() {
    let mut reach = Reach::default();
    for ms in (0..5_000).step_by(100) {
        assert!(!reach.record_failed(at(ms), 1, UPSTREAMS));
    }
    assert_eq!(reach.cut_since(), None);
}

#[test]
fn failures_at_several_upstreams_are_no_cut_while_others_accept_connections() {
    let mut reach = Reach::default();
    for ms in (0..5_000).step_by(100) {
        assert!(!reach.record_failed(at(ms), ms % 5, UPSTREAMS));
        assert_eq!(reach.record_opened(at(ms + 10)), None);
    }
    assert!(!reach.needs_comparison(at(5_000)));
    assert!(reach.needs_comparison(at(6_000)), "nothing was opened for a second");
}

#[test]
fn two_upstreams_in_a_row_without_a_connection_are_a_cut_until_one_accepts() {
    let mut reach = Reach::default();
    assert!(!reach.record_failed(at(0), 1, UPSTREAMS));
    assert!(reach.record_failed(at(100), 2, UPSTREAMS));
    assert!(!reach.record_failed(at(200), 3, UPSTREAMS), "the cut has begun before");
    assert_eq!(reach.cut_since(), Some(at(100)));
    assert_eq!(reach.record_opened(at(4_100)), Some(Span::from_ms(4_000)));
    assert_eq!(reach.cut_since(), None);
}

#[test]
fn failures_that_lie_far_apart_are_no_cut() {
    let mut reach = Reach::default();
    for (number, ms) in (0..50_000).step_by(2_500).enumerate() {
        assert!(!reach.record_failed(at(ms), number as u64, UPSTREAMS));
    }
}

#[test]
fn the_only_upstream_decides_alone() {
    let mut reach = Reach::default();
    assert!(reach.record_failed(at(0), 1, 1));
}

#[test]
fn the_path_is_tested_a_few_times_a_second_only() {
    let mut reach = Reach::default();
    reach.record_failed(at(10_000), 1, UPSTREAMS);
    reach.record_failed(at(10_000), 2, UPSTREAMS);
    let probes = (10_000..13_000).step_by(20).filter(|ms| reach.begin_probe(at(*ms))).count();
    assert_eq!(probes, 5);
}
