//! The list of upstreams during and after outages of the store.

use almondrack::{
    serving::{
        registry::{DecodeError, Entry, State},
        upstream_list,
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
        version: None,
        started_ms: 1,
        sequence: 1,
    }
}

fn at(ms: u64) -> Time {
    Time(0) + Span::from_ms(ms)
}

fn ids(list: &upstream_list::List) -> String {
    list.entries().map(|it| &*it.id).collect::<Vec<_>>().join(" ")
}

fn states(list: &upstream_list::List) -> String {
    list.entries().map(|it| format!("{} {:?}", it.id, it.state)).collect::<Vec<_>>().join(", ")
}

#[test]
fn without_an_outage_a_removed_entry_is_dropped_at_once() {
    let mut list = upstream_list::List::default();
    list.store_recovered(at(0));
    list.put("a", Ok(entry("a")));
    list.put("b", Ok(entry("b")));
    list.delete(at(10_000), "a");
    expect!["b"].assert_eq(&ids(&list));
}

#[test]
fn entries_that_lapsed_in_an_outage_are_kept_until_their_upstreams_had_time_to_return() {
    let mut list = upstream_list::List::default();
    list.put("a", Ok(entry("a")));
    list.put("b", Ok(entry("b")));
    list.store_failed();
    list.store_recovered(at(5_000));
    list.delete(at(5_010), "a");
    list.delete(at(5_010), "b");
    expect!["a b"].assert_eq(&ids(&list));
    list.put("b", Ok(entry("b")));
    // With another one ready, the upstream gets no new request for some time before it is removed.
    let closing = list.next_due().expect("the expired entry has a time of its last request");
    assert!(closing <= at(6_700), "a request that is sent last must arrive within two seconds");
    list.apply_due(closing);
    expect!["a Draining, b Ready"].assert_eq(&states(&list));
    let expiry = list.next_due().expect("the expired entry has a time of removal");
    assert!(
        expiry <= at(7_000),
        "an upstream that has left must not be used for more than two seconds"
    );
    list.apply_due(expiry);
    expect!["b"].assert_eq(&ids(&list));
    assert_eq!(list.next_due(), None);
}

#[test]
fn an_entry_removed_soon_after_a_verification_is_not_kept_for_a_whole_grace_period() {
    let mut list = upstream_list::List::default();
    list.put("a", Ok(entry("a")));
    list.put("b", Ok(entry("b")));
    // Another host reports an outage that this one does not see.
    list.outage_reported(at(5_000), Span::from_ms(1_900));
    list.delete_since(at(5_000), "a", at(4_400));
    let closing = list.next_due().expect("the entry has a time of its last request");
    assert!(closing <= at(4_400 + 1_700), "it may have been removed just after the verification");
    // In an outage the removal may be as old as the outage, and the upstream may return.
    list.outage_reported(at(8_000), Span::from_ms(1_900));
    list.delete_since(at(8_000), "b", at(3_000));
    expect!["a Ready, b Ready"].assert_eq(&states(&list));
    list.apply_due(at(8_000));
    expect!["b Ready"].assert_eq(&states(&list));
}

#[test]
fn upstreams_that_write_their_entries_late_in_the_grace_period_are_used_at_once() {
    let mut list = upstream_list::List::default();
    for id in ["a", "b", "c", "d"] {
        list.put(id, Ok(entry(id)));
    }
    list.store_failed();
    list.store_recovered(at(5_000));
    ["a", "b", "c", "d"].into_iter().for_each(|id| list.delete(at(5_000), id));
    // They come back one after the other, the last one does not.
    let mut seen = String::new();
    for (id, ms) in [("b", 5_900), ("c", 6_550), ("a", 6_800)] {
        while let Some(due) = list.next_due().filter(|it| *it <= at(ms)) {
            list.apply_due(due);
        }
        seen += &format!("{ms}: {}; ", states(&list));
        list.put(id, Ok(entry(id)));
    }
    seen += &states(&list);
    expect![[r#"5900: a Ready, b Ready, c Ready, d Ready; 6550: a Ready, b Ready, c Ready, d Ready; 6800: a Draining, b Ready, c Ready, d Draining; a Ready, b Ready, c Ready, d Draining"#]]
    .assert_eq(&seen);
    while let Some(due) = list.next_due() {
        assert!(due <= at(7_000), "the last one is used for more than two seconds");
        list.apply_due(due);
    }
    expect!["a b c"].assert_eq(&ids(&list));
}

#[test]
fn a_pool_whose_entries_all_lapsed_is_used_to_the_end_of_the_grace_period() {
    let mut list = upstream_list::List::default();
    list.put("a", Ok(entry("a")));
    list.put("b", Ok(entry("b")));
    list.put("c", Ok(Entry { pool: "other".into(), ..entry("c") }));
    list.store_failed();
    list.store_recovered(at(5_000));
    list.delete(at(5_000), "a");
    list.delete(at(5_000), "b");
    let due = list.next_due().expect("the expired entries have a time of removal");
    assert!(due >= at(6_800), "nothing is due before");
    list.apply_due(at(6_800));
    expect!["a Ready, b Ready, c Ready"].assert_eq(&states(&list));
    // An upstream of the pool that becomes ready takes over.
    list.put("d", Ok(entry("d")));
    list.apply_due(at(6_810));
    expect!["a Draining, b Draining, c Ready, d Ready"].assert_eq(&states(&list));
}

#[test]
fn a_listing_removes_what_it_does_not_hold() {
    let mut list = upstream_list::List::default();
    for id in ["a", "b", "c"] {
        list.put(id, Ok(entry(id)));
    }
    list.retain_keys(at(10_000), ["c", "a"].into_iter());
    expect!["a c"].assert_eq(&ids(&list));
}

#[test]
fn an_invalid_entry_removes_only_its_own_upstream() {
    let mut list = upstream_list::List::default();
    list.put("a", Ok(entry("a")));
    list.put("b", Ok(entry("b")));
    list.put("a", Err(DecodeError("no address".to_owned())));
    expect!["b"].assert_eq(&ids(&list));
}

#[test]
fn an_older_entry_does_not_make_a_draining_upstream_ready_again() {
    let mut list = upstream_list::List::default();
    list.put("a", Ok(Entry { state: State::Draining, sequence: 7, ..entry("a") }));
    list.put("a", Ok(Entry { sequence: 6, ..entry("a") }));
    let states: Vec<_> = list.entries().map(|it| it.state).collect();
    assert_eq!(states, [State::Draining]);
    list.put("a", Ok(Entry { started_ms: 2, sequence: 1, ..entry("a") }));
    let states: Vec<_> = list.entries().map(|it| it.state).collect();
    assert_eq!(states, [State::Ready], "a new incarnation starts with its own sequence");
}

#[test]
fn a_host_that_only_hears_of_an_outage_keeps_lapsed_entries_too() {
    let mut list = upstream_list::List::default();
    list.put("a", Ok(entry("a")));
    list.put("b", Ok(entry("b")));
    // Another host reports that the store has recovered, and which entries are removed.
    list.outage_reported(at(10_000), Span::from_ms(1_500));
    list.delete(at(10_000), "a");
    list.delete(at(10_000), "b");
    list.put("b", Ok(entry("b")));
    list.apply_due(at(11_400));
    expect!["a b"].assert_eq(&ids(&list));
    list.apply_due(at(11_600));
    expect!["b"].assert_eq(&ids(&list));
}

#[test]
fn an_entry_removed_while_the_store_is_down_is_kept_for_the_grace_period() {
    let mut list = upstream_list::List::default();
    list.put("a", Ok(entry("a")));
    list.store_failed();
    list.delete(at(0), "a");
    list.apply_due(at(1_000));
    expect!["a"].assert_eq(&ids(&list));
    list.apply_due(at(2_000));
    expect![""].assert_eq(&ids(&list));
}

#[test]
fn an_upstream_that_left_is_not_used_because_an_older_copy_of_the_store_lists_it() {
    let mut list = upstream_list::List::default();
    list.put("a", Ok(entry("a")));
    list.put("b", Ok(entry("b")));
    list.delete(at(1_000), "a");
    list.store_restored(at(2_000));
    list.put_restored(at(2_000), "a", Ok(entry("a")));
    list.put_restored(at(2_000), "b", Ok(entry("b")));
    expect!["b"].assert_eq(&ids(&list));
    // The store removes the entry, as the upstream does not renew it.
    list.delete(at(5_000), "a");
    list.apply_due(at(20_000));
    expect!["b"].assert_eq(&ids(&list));
    assert_eq!(list.next_due(), None);
}

#[test]
fn a_removed_upstream_whose_entry_remains_in_an_older_copy_is_used_later() {
    let mut list = upstream_list::List::default();
    list.put("a", Ok(entry("a")));
    list.delete(at(1_000), "a");
    list.store_restored(at(2_000));
    list.put_restored(at(2_000), "a", Ok(entry("a")));
    let due = list.next_due().expect("the entry waits");
    assert!(due >= at(2_000 + 3_600), "three heartbeats of 1.2 s must have passed");
    list.apply_due(due);
    expect!["a"].assert_eq(&ids(&list));
}

#[test]
fn a_removed_upstream_that_writes_its_entry_again_is_used_at_once() {
    let mut list = upstream_list::List::default();
    list.put("a", Ok(entry("a")));
    list.delete(at(1_000), "a");
    list.store_restored(at(2_000));
    list.put_restored(at(2_000), "a", Ok(entry("a")));
    list.put("a", Ok(Entry { sequence: 9, ..entry("a") }));
    expect!["a"].assert_eq(&ids(&list));
    // Another run under the same key is another upstream.
    list.delete(at(3_000), "a");
    list.put_restored(at(3_000), "a", Ok(Entry { started_ms: 2, ..entry("a") }));
    assert_eq!(list.entries().next().map(|it| it.started_ms), Some(2));
}

#[test]
fn an_upstream_that_an_older_copy_lacks_is_kept_until_it_had_time_to_write_its_entry() {
    let mut list = upstream_list::List::default();
    list.put("a", Ok(entry("a")));
    list.store_restored(at(2_000));
    list.delete(at(2_000), "a");
    expect!["a"].assert_eq(&ids(&list));
    list.apply_due(at(4_000));
    expect![""].assert_eq(&ids(&list));
}
