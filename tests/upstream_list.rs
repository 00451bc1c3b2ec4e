//! The list of upstreams through outages of the store.

use almondrack::{
    serving::{
        registry::{DecodeError, Entry, State},
        upstream_list::UpstreamList,
    },
    time::{Span, Time},
};
use expect_test::expect;

fn entry(id: &str) -> Entry {
    Entry {
        id: id.into(),
        pool: "pool".into(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        zone: "zone".into(),
        slots: 4,
        state: State::Ready,
        warmup_ms: 0,
        spot: false,
        stops_in_ms: None,
        started_ms: 1,
        sequence: 1,
    }
}

fn at(ms: u64) -> Time {
    Time(0) + Span::from_ms(ms)
}

fn ids(roll: &UpstreamList) -> String {
    roll.entries().map(|it| &*it.id).collect::<Vec<_>>().join(" ")
}

#[test]
fn an_entry_that_is_removed_in_calm_times_goes_at_once() {
    let mut roll = UpstreamList::default();
    roll.store_recovered(at(0));
    roll.put("a", Ok(entry("a")));
    roll.put("b", Ok(entry("b")));
    roll.delete(at(10_000), "a");
    expect!["b"].assert_eq(&ids(&roll));
}

#[test]
fn entries_that_lapsed_in_an_outage_are_kept_until_their_upstreams_had_time_to_return() {
    let mut roll = UpstreamList::default();
    roll.put("a", Ok(entry("a")));
    roll.put("b", Ok(entry("b")));
    roll.store_failed();
    roll.store_recovered(at(5_000));
    roll.delete(at(5_010), "a");
    roll.delete(at(5_010), "b");
    expect!["a b"].assert_eq(&ids(&roll));
    roll.put("b", Ok(entry("b")));
    let alarm = roll.next_expiry().expect("the lapsed entry has an end");
    assert!(alarm <= at(7_000), "an upstream that has left must not be used for over two seconds");
    roll.remove_expired(alarm);
    expect!["b"].assert_eq(&ids(&roll));
    assert_eq!(roll.next_expiry(), None);
}

#[test]
fn a_listing_removes_what_it_does_not_hold() {
    let mut roll = UpstreamList::default();
    for id in ["a", "b", "c"] {
        roll.put(id, Ok(entry(id)));
    }
    roll.retain_keys(at(10_000), ["c", "a"].into_iter());
    expect!["a c"].assert_eq(&ids(&roll));
}

#[test]
fn an_entry_that_cannot_be_read_names_no_upstream_and_leaves_the_others() {
    let mut roll = UpstreamList::default();
    roll.put("a", Ok(entry("a")));
    roll.put("b", Ok(entry("b")));
    roll.put("a", Err(DecodeError("no address".to_owned())));
    expect!["b"].assert_eq(&ids(&roll));
}

#[test]
fn an_older_statement_does_not_bring_a_leaving_upstream_back() {
    let mut roll = UpstreamList::default();
    roll.put("a", Ok(Entry { state: State::Draining, sequence: 7, ..entry("a") }));
    roll.put("a", Ok(Entry { sequence: 6, ..entry("a") }));
    let states: Vec<_> = roll.entries().map(|it| it.state).collect();
    assert_eq!(states, [State::Draining]);
    roll.put("a", Ok(Entry { started_ms: 2, sequence: 1, ..entry("a") }));
    let states: Vec<_> = roll.entries().map(|it| it.state).collect();
    assert_eq!(states, [State::Ready], "a new life counts anew");
}

#[test]
fn a_host_that_only_hears_of_an_outage_keeps_lapsed_entries_too() {
    let mut roll = UpstreamList::default();
    roll.put("a", Ok(entry("a")));
    roll.put("b", Ok(entry("b")));
    // The host that it asks says that the store is back, and which entries are gone.
    roll.outage_reported(at(10_000), Span::from_ms(1_500));
    roll.delete(at(10_000), "a");
    roll.delete(at(10_000), "b");
    roll.put("b", Ok(entry("b")));
    roll.remove_expired(at(11_400));
    expect!["a b"].assert_eq(&ids(&roll));
    roll.remove_expired(at(11_600));
    expect!["b"].assert_eq(&ids(&roll));
}

#[test]
fn an_entry_that_goes_while_the_store_is_away_may_come_back() {
    let mut roll = UpstreamList::default();
    roll.put("a", Ok(entry("a")));
    roll.store_failed();
    roll.delete(at(0), "a");
    roll.remove_expired(at(1_000));
    expect!["a"].assert_eq(&ids(&roll));
    roll.remove_expired(at(2_000));
    expect![""].assert_eq(&ids(&roll));
}
