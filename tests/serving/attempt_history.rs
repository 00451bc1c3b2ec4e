//! What a request has been through.

use almondrack::{
    error::{Kind, Run},
    serving::{
        attempt_history::{AttemptFailure, AttemptHistory, RetryRules},
        key::UpstreamKey,
        table::RetryPolicy,
    },
};
use quickcheck::quickcheck;

use crate::fixture::at;

fn loss(kind: u8) -> AttemptFailure {
    match kind % 3 {
        0 => AttemptFailure::unsent(Kind::UpstreamConnect),
        1 => AttemptFailure::refused(Kind::NoUpstream),
        _ => AttemptFailure::sent(Kind::UpstreamCut),
    }
}

/// Runs that an upstream may have begun, if a request is sent as long as that is allowed.
fn runs(repeat: RetryPolicy, attempts: u32, losses: &[u8]) -> (u32, AttemptHistory) {
    let rules = RetryRules { retry_policy: repeat, max_attempts: attempts, deadline: at(1_000) };
    let mut course = AttemptHistory::default();
    let mut runs = 0;
    for (index, kind) in losses.iter().enumerate() {
        course.record_send(UpstreamKey(index as u32));
        let loss = loss(*kind);
        runs += u32::from(loss.run != Run::No);
        course.record_failure(loss);
        if !course.may_retry(at(0), rules) {
            break;
        }
    }
    (runs, course)
}

quickcheck! {
    fn a_request_that_may_not_be_repeated_runs_at_most_once(losses: Vec<u8>) -> bool {
        runs(RetryPolicy::Never, 5, &losses).0 <= 1
    }

    fn a_request_runs_no_more_often_than_its_route_allows(attempts: u8, losses: Vec<u8>) -> bool {
        let attempts = u32::from(attempts % 5) + 1;
        runs(RetryPolicy::Always, attempts, &losses).0 <= attempts
    }

    fn not_run_is_said_only_if_no_upstream_may_have_run_it(losses: Vec<u8>) -> bool {
        let (runs, course) = runs(RetryPolicy::Always, 3, &losses);
        (course.run_status() == Run::No) == (runs == 0)
    }
}

#[test]
fn a_request_whose_time_is_up_is_not_sent_again() {
    let rules =
        RetryRules { retry_policy: RetryPolicy::Always, max_attempts: 3, deadline: at(1_000) };
    let mut course = AttemptHistory::default();
    course.record_send(UpstreamKey(0));
    course.record_failure(AttemptFailure::refused(Kind::NoUpstream));
    assert!(course.may_retry(at(900), rules));
    assert!(!course.may_retry(at(990), rules));
}
