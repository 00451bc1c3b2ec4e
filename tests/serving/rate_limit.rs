//! Rate limits that upstreams name.

use almondrack::{
    serving::rate_limit::{Ask, Change, Decision, Limit, Limiter, Named, Rate},
    time::{Span, Time},
};

use crate::fixture::at;

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("the rate is valid")
}

fn named(per_second: f64) -> Named {
    Named::Rate(rate(per_second))
}

#[test]
fn responses_that_overtake_each_other_do_not_raise_or_end_a_limit() {
    let mut limit = Limit::default();
    assert_eq!(limit.record(at(100), at(50), named(4.0)), Change::Changed(rate(4.0)));
    // Sent before the limit was heard of, so that the upstream may have answered before it named it.
    assert_eq!(limit.record(at(110), at(60), named(9.0)), Change::Unchanged);
    assert_eq!(limit.record(at(120), at(70), Named::Nothing), Change::Unchanged);
    assert_eq!(limit.rate(), Some(rate(4.0)));
    assert_eq!(limit.record(at(130), at(80), named(2.0)), Change::Changed(rate(2.0)));
    assert_eq!(limit.record(at(200), at(140), named(3.0)), Change::Changed(rate(3.0)));
    assert_eq!(limit.record(at(300), at(210), Named::Invalid), Change::Unchanged);
    assert_eq!(limit.rate(), Some(rate(3.0)));
    assert_eq!(limit.record(at(400), at(310), Named::Nothing), Change::Ended);
    assert_eq!(limit.rate(), None);
}

#[test]
fn only_finite_rates_that_are_not_negative_are_taken() {
    for per_second in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -0.1] {
        assert_eq!(Rate::new(per_second), None, "{per_second}");
    }
    assert!(Rate::new(0.0).is_some());
}

/// Windows of the users' rule.
const WINDOW: Span = Span::from_ms(4_000);

/// Requests that an upstream may get in a window.
fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * 4.0 + 5.0
}

/// Most grants in any window.
fn most_in_window(grants: &[Time]) -> usize {
    let in_window =
        |end: usize| grants[..=end].iter().filter(move |it| grants[end].since(**it) < WINDOW);
    (0..grants.len()).map(|end| in_window(end).count()).max().unwrap_or(0)
}

fn ask(per_second: f64, tier: usize) -> Ask {
    Ask { upstream: 1, limit: Limit::new(Rate::new(per_second), at(0)), tier, is_cold: false }
}

/// Grants to 295 hosts that ask all the time, each of them the given ranks.
fn grants(per_second: f64, ranks: &[usize]) -> Vec<Time> {
    let mut limiters: Vec<_> = ranks.iter().map(|_| Limiter::default()).collect();
    let mut grants = Vec::new();
    for step in 0..20_000 {
        let now = at(step);
        for (limiter, rank) in limiters.iter_mut().zip(ranks) {
            while limiter.ask(now, Some(*rank), ask(per_second, 4)) == Decision::Granted {
                grants.push(now);
            }
        }
    }
    grants
}

#[test]
fn a_rate_is_kept_and_used_however_many_hosts_ask() {
    for per_second in [0.5, 1.0, 1.3, 7.0, 60.0] {
        let grants = grants(per_second, &[0]);
        // Permits of one window may be used in the next.
        let most = most_in_window(&grants) as f64 + per_second * 0.3;
        assert!(most <= allowed(per_second), "{most} in 4 s at {per_second}");
        let expected = per_second * 20.0;
        assert!(grants.len() as f64 >= expected - 1.0, "{} of {expected}", grants.len());
    }
}

#[test]
fn hosts_that_ask_different_limiters_keep_the_rate_together() {
    for per_second in [0.0, 0.2, 1.0, 5.0, 50.0, 1_000.0] {
        let grants = grants(per_second, &[0, 1, 2]);
        let most = most_in_window(&grants) as f64 + per_second * 0.3 * 1.3;
        assert!(most <= allowed(per_second), "{most} in 4 s at {per_second}");
    }
}

#[test]
fn a_limiter_that_has_just_started_grants_no_burst() {
    let mut limiter = Limiter::default();
    assert_eq!(limiter.ask(at(0), Some(0), ask(2.0, 0)), Decision::Denied(Span::from_ms(500)));
    assert_eq!(limiter.ask(at(500), Some(0), ask(2.0, 0)), Decision::Granted);
}

#[test]
fn an_upstream_that_takes_nothing_is_still_tried_now_and_then() {
    assert_eq!(grants(0.0, &[0]).len(), 3);
}

#[test]
fn a_host_without_a_rank_grants_nothing() {
    let mut limiter = Limiter::default();
    assert!(matches!(limiter.ask(at(9_000), None, ask(2.0, 0)), Decision::Denied(_)));
}

#[test]
fn urgent_requests_go_first_and_starve_no_others() {
    let mut limiter = Limiter::default();
    let (mut urgent, mut others) = (0, 0);
    for step in 0..40_000 {
        // The less urgent one always asks first.
        others += u32::from(limiter.ask(at(step), Some(0), ask(2.0, 9)) == Decision::Granted);
        urgent += u32::from(limiter.ask(at(step), Some(0), ask(2.0, 1)) == Decision::Granted);
    }
    assert!((18..=22).contains(&others), "{others} of 80 permits for the less urgent");
    assert!((57..=61).contains(&urgent), "{urgent} of 80 permits for the urgent");
}

#[test]
fn the_newest_knowledge_of_a_limit_decides() {
    let mut limiter = Limiter::default();
    limiter.report(at(10), 1, Limit::new(Rate::new(2.0), at(10)));
    // Heard before, so that the limit has risen since.
    assert!(matches!(limiter.ask(at(20), Some(0), ask(1.0, 0)), Decision::Denied(_)));
    assert_eq!(limiter.limit(1).rate(), Rate::new(2.0));
    limiter.report(at(30), 1, Limit::new(None, at(30)));
    assert_eq!(limiter.ask(at(40), Some(0), ask(1.0, 0)), Decision::Granted);
}

#[test]
fn a_denied_request_for_a_cold_upstream_keeps_no_permit_from_others() {
    let mut limiter = Limiter::default();
    let mut ask = |ms, tier| limiter.ask(at(ms), Some(0), Ask { is_cold: true, ..ask(2.0, tier) });
    assert_eq!(ask(0, 0), Decision::Granted, "a new one begins with one permit");
    assert_eq!(ask(0, 0), Decision::Denied(Span::from_ms(500)));
    assert_eq!(ask(510, 9), Decision::Granted, "the urgent one went elsewhere");
    assert!(matches!(ask(520, 0), Decision::Denied(_)));
}
