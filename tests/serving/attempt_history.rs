//! Attempts of a request, and when it may be sent again.

use almondrack::{
    error::{Error, Kind, Run},
    serving::{
        attempt_history::{self, RetryRules},
        key::UpstreamKey,
        table::RetryPolicy,
    },
};
use quickcheck::quickcheck;

use crate::fixture::at;

fn failure(kind: u8) -> attempt_history::Failure {
    match kind % 3 {
        0 => attempt_history::Failure::unsent(Kind::UpstreamConnect),
        1 => attempt_history::Failure::refused(Kind::NoUpstream),
        _ => attempt_history::Failure::sent(Kind::UpstreamCut),
    }
}

/// Sends a request as long as the rules permit. Returns the attempts that an upstream may have run.
fn runs(
    retry_policy: RetryPolicy,
    max_attempts: u32,
    failures: &[u8],
) -> (u32, attempt_history::History) {
    let rules = RetryRules { retry_policy, max_attempts, deadline: at(1_000) };
    let mut history = attempt_history::History::default();
    let mut runs = 0;
    for (index, kind) in failures.iter().enumerate() {
        history.record_send(UpstreamKey(index as u32));
        let failure = failure(*kind);
        runs += u32::from(failure.run != Run::No);
        history.record_failure(failure);
        if !history.may_retry(at(0), rules) {
            break;
        }
    }
    (runs, history)
}

quickcheck! {
    fn a_request_that_may_not_be_repeated_runs_at_most_once(failures: Vec<u8>) -> bool {
        runs(RetryPolicy::Never, 5, &failures).0 <= 1
    }

    fn a_request_runs_no_more_often_than_its_route_allows(attempts: u8, failures: Vec<u8>) -> bool {
        let attempts = u32::from(attempts % 5) + 1;
        runs(RetryPolicy::Always, attempts, &failures).0 <= attempts
    }

    fn run_status_is_no_only_if_no_upstream_may_have_run_it(failures: Vec<u8>) -> bool {
        let (runs, history) = runs(RetryPolicy::Always, 3, &failures);
        (history.run_status() == Run::No) == (runs == 0)
    }
}

#[test]
fn a_request_near_its_deadline_is_not_sent_again() {
    let rules =
        RetryRules { retry_policy: RetryPolicy::Always, max_attempts: 3, deadline: at(1_000) };
    let mut history = attempt_history::History::default();
    history.record_send(UpstreamKey(0));
    history.record_failure(attempt_history::Failure::refused(Kind::NoUpstream));
    assert!(history.may_retry(at(900), rules));
    assert!(!history.may_retry(at(990), rules));
}

#[test]
fn a_refusal_after_an_attempt_that_may_have_run_does_not_say_that_nothing_ran() {
    let refusal = || Error::new(Kind::Shed, "no room").with_retry_after_ms(100);
    let mut history = attempt_history::History::default();
    history.record_failure(attempt_history::Failure::refused(Kind::Shed));
    assert_eq!(history.caller_error(refusal()), refusal());
    history.record_failure(attempt_history::Failure::sent(Kind::UpstreamTimeout));
    history.record_failure(attempt_history::Failure::unsent(Kind::UpstreamConnect));
    let error = history.caller_error(refusal());
    assert_eq!((error.kind, error.run), (Kind::UpstreamTimeout, Run::Unknown));
    assert_eq!((error.kind.answer().status, error.retry_after_ms), (504, None));
}
