//! Retries of all hosts against the budget that they share.

use std::sync::Arc;

use almondrack::{serving::retry_budget, time::Span};

const CONFIG: retry_budget::Limits =
    retry_budget::Limits { window: Span::from_ms(10_000), ratio: 0.2, allowance: 160.0 };

/// Returns the retries granted in total to `hosts` hosts that retry as often as they can, each with
/// `known` registered hosts.
fn granted(hosts: usize, known: usize, requests: usize) -> usize {
    let pool: Arc<str> = "pool".into();
    let granted = (0..hosts).map(|_| {
        let budget = retry_budget::Budget::new(CONFIG);
        budget.set_hosts(known);
        (0..requests).for_each(|_| budget.record_request(&pool));
        (0..1_000).filter(|_| budget.try_retry(&pool)).count()
    });
    granted.sum()
}

#[test]
fn all_hosts_together_stay_within_the_budget() {
    for (hosts, requests) in [(1, 0), (6, 0), (6, 50), (60, 10), (83, 0)] {
        let bound = CONFIG.allowance + CONFIG.ratio * (hosts * requests) as f64;
        let granted = granted(hosts, hosts, requests) as f64;
        assert!(granted <= bound, "{granted} retries of {hosts} hosts, {bound} are allowed");
    }
}

#[test]
fn hosts_that_were_not_counted_yet_do_not_overrun_the_budget() {
    // A third more hosts than registered, as after several hosts have started.
    let granted = granted(8, 6, 0) as f64;
    assert!(granted <= CONFIG.allowance, "{granted} retries of 8 hosts exceed the allowance");
}

#[test]
fn budgets_of_pools_are_apart() {
    let budget = retry_budget::Budget::new(CONFIG);
    let (one, other): (Arc<str>, Arc<str>) = ("one".into(), "other".into());
    while budget.try_retry(&one) {}
    assert!(budget.try_retry(&other));
}
