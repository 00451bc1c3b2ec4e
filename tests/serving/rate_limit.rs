//! Rate limits that upstreams name.

use almondrack::serving::rate_limit::{Change, Limit, Named, Rate};

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
