//! Copies of the store's keys and of loads, as hosts exchange them.

use std::collections::BTreeMap;

use almondrack::{
    serving::{
        loads::Loads,
        messages::Load,
        mirror::{Mirror, Update},
        tier::TIERS,
    },
    store::{self, Change, Item},
};
use quickcheck::quickcheck;

use crate::fixture::at;

/// Reference model of a store with the complete history of its era.
#[derive(Default)]
struct Model {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// State at some time, from which the store can come back.
    copy: (u64, BTreeMap<String, Item>),
}

impl Model {
    fn write(&mut self, key: u8) {
        self.revision += 1;
        let (key, revision) = (format!("key-{}", key % 5), self.revision);
        // Each third write of a present key removes it.
        if revision.is_multiple_of(3) && self.items.remove(&key).is_some() {
            self.history.push(Change::Deleted(key, revision));
            return;
        }
        let item = Item { key: key.clone(), value: vec![revision as u8].into(), revision };
        self.items.insert(key, item.clone());
        self.history.push(Change::Put(item));
    }

    fn copy(&mut self) {
        self.copy = (self.revision, self.items.clone());
    }

    /// Comes back from the copy. Its items are then read as of the new era.
    fn restore(&mut self) {
        let era = store::era_of(self.revision) + 1;
        let as_of_era = |it: u64| store::revision(era, store::changes_of(it));
        let (revision, items) = self.copy.clone();
        self.revision = as_of_era(revision);
        self.items = items;
        self.items.values_mut().for_each(|it| it.revision = as_of_era(it.revision));
        self.history.clear();
    }

    /// Answer to a watch after a revision, a listing if the history does not reach back.
    fn watch(&self, after: u64) -> Update {
        match store::era_of(after) == store::era_of(self.revision) {
            true => self.since(after),
            false => self.listing(),
        }
    }

    fn listing(&self) -> Update {
        Update::Listing(self.items.values().cloned().collect(), self.revision)
    }

    /// A listing of which the second page is read after one more write.
    fn listing_in_pages(&mut self, key: u8) -> Update {
        let (revision, first) = (self.revision, self.items.clone());
        self.write(key);
        let is_first = |it: &str| it < "key-2";
        let mut items: Vec<_> =
            first.into_iter().filter(|it| is_first(&it.0)).map(|it| it.1).collect();
        items.extend(self.items.iter().filter(|it| !is_first(it.0)).map(|it| it.1.clone()));
        Update::Listing(items, revision)
    }

    fn since(&self, after: u64) -> Update {
        let newer = |it: &&Change| match it {
            Change::Put(item) => item.revision > after,
            Change::Deleted(_, revision) => *revision > after,
        };
        Update::Changes(self.history.iter().filter(newer).cloned().collect(), self.revision)
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put(item) => &item.key,
        Change::Deleted(key, _) => key,
    }
}

fn contents(mirror: &Mirror) -> Option<Update> {
    // From revision 0 the update is a listing of all keys.
    mirror.since(0)
}

quickcheck! {
    fn copies_agree_with_the_store_whoever_they_ask(steps: Vec<(u8, u8)>) -> bool {
        let mut store = Model::default();
        store.write(0);
        let (mut hub, mut member) = (Mirror::default(), Mirror::default());
        let mut old = store.listing();
        hub.apply(store.listing());
        for (step, key) in steps {
            match step % 6 {
                0 | 1 => store.write(key),
                2 => drop(hub.apply(store.since(hub.revision()))),
                3 => drop(hub.apply(store.listing())),
                4 => {
                    if let Some(update) = hub.since(member.revision()) {
                        member.apply(update);
                    }
                }
                // A delayed response with an old listing.
                _ => {
                    let update = std::mem::replace(&mut old, store.listing());
                    member.apply(update);
                }
            }
        }
        hub.apply(store.since(hub.revision()));
        if let Some(update) = hub.since(member.revision()) {
            member.apply(update);
        }
        contents(&hub) == Some(store.listing()) && contents(&member) == Some(store.listing())
    }
}

#[test]
fn a_host_that_is_behind_gets_only_the_newest_of_several_configurations() {
    let item = |revision: u64| Item {
        key: "configuration".to_owned(),
        value: vec![revision as u8].into(),
        revision,
    };
    let mut hub = Mirror::default();
    hub.apply(Update::Listing(vec![item(1)], 1));
    for revision in 2..=4 {
        hub.apply(Update::Changes(vec![Change::Put(item(revision))], revision));
    }
    assert_eq!(hub.since(1), Some(Update::Changes(vec![Change::Put(item(4))], 4)));
    hub.apply(Update::Changes(vec![Change::Deleted("configuration".to_owned(), 5)], 5));
    let deleted = Change::Deleted("configuration".to_owned(), 5);
    assert_eq!(hub.since(1), Some(Update::Changes(vec![deleted], 5)));
}

quickcheck! {
    fn copies_agree_with_a_store_that_comes_back_from_older_copies(steps: Vec<(u8, u8)>) -> bool {
        let mut store = Model::default();
        store.write(0);
        store.copy();
        let (mut hub, mut member) = (Mirror::default(), Mirror::default());
        let mut late = store.listing();
        hub.apply(store.listing());
        for (step, key) in steps {
            match step % 8 {
                0 | 1 => store.write(key),
                2 => drop(hub.apply(store.watch(hub.revision()))),
                3 => drop(hub.apply(store.listing())),
                4 => {
                    if let Some(update) = hub.since(member.revision()) {
                        member.apply(update);
                    }
                }
                5 => store.copy(),
                6 => store.restore(),
                // An answer of an earlier era comes after one of a later era.
                _ => {
                    let update = std::mem::replace(&mut late, store.listing());
                    member.apply(update.clone());
                    hub.apply(update);
                }
            }
        }
        let revision = hub.revision();
        hub.apply(store.watch(hub.revision()));
        if let Some(update) = hub.since(member.revision()) {
            member.apply(update);
        }
        hub.revision() >= revision
            && contents(&hub) == Some(store.listing())
            && contents(&member) == Some(store.listing())
    }
}

#[test]
fn revisions_of_a_later_era_are_greater_and_keep_the_stores_count() {
    let (old, new) = (store::revision(1, u64::from(u32::MAX)), store::revision(2, 7));
    assert!(old < new);
    assert_eq!((store::era_of(new), store::changes_of(new)), (2, 7));
    assert_eq!(
        store::revision(0, 7),
        7,
        "hosts of earlier versions count the same in the first era"
    );
    assert_eq!(store::display(7), "7");
    assert_eq!(store::display(new), "7 of era 2");
}

fn load(upstream: u64, running: u16) -> Load {
    Load { upstream, pending: [0; TIERS], running, ejected_ms: 0 }
}

fn running(loads: Vec<Load>) -> Vec<(u64, u16)> {
    loads.into_iter().map(|it| (it.upstream, it.running)).collect()
}

#[test]
fn a_host_is_told_the_loads_of_all_others_and_not_its_own() {
    let mut hub = Loads::default();
    hub.set_own(vec![load(1, 1)]);
    hub.set_member(at(0), "one", vec![load(1, 10), load(2, 20)]);
    hub.set_member(at(0), "two", vec![load(1, 100)]);
    hub.set_group(at(0), "b", vec![load(2, 1_000)]);
    assert_eq!(running(hub.all_but(at(100), "one")), [(1, 101), (2, 1_000)]);
    assert_eq!(running(hub.remote(at(100), true)), [(1, 110), (2, 1_020)]);
    assert_eq!(running(hub.own_group(at(100))), [(1, 111), (2, 20)]);
}

#[test]
fn loads_of_a_host_that_fell_silent_count_no_more() {
    let mut hub = Loads::default();
    hub.set_member(at(0), "one", vec![load(1, 10)]);
    hub.set_member(at(900), "two", vec![load(1, 100)]);
    assert_eq!(running(hub.remote(at(1_100), true)), [(1, 100)]);
}

#[test]
fn loads_that_were_under_way_for_long_do_not_replace_later_ones() {
    let mut member = Loads::default();
    // Two hubs are asked in turns; the first one responds later.
    member.set_others(at(1_200), vec![load(1, 100)]);
    member.set_others(at(0), vec![load(1, 10)]);
    assert_eq!(running(member.remote(at(1_300), false)), [(1, 100)]);
    let mut hub = Loads::default();
    hub.set_group(at(1_200), "b", vec![load(1, 100)]);
    hub.set_group(at(0), "b", vec![load(1, 10)]);
    assert_eq!(running(hub.remote(at(1_300), true)), [(1, 100)]);
    // A response that took a second states what is no longer so.
    hub.set_group(at(1_300), "c", vec![load(1, 1)]);
    assert_eq!(running(hub.remote(at(2_300), true)), []);
}

#[test]
fn a_listing_that_was_under_way_for_long_takes_nothing_back() {
    let mut store = Model::default();
    store.write(0);
    let old = store.listing();
    store.write(1);
    let mut copy = Mirror::default();
    copy.apply(store.listing());
    assert!(copy.apply(old).is_empty(), "an older listing changes nothing");
    assert_eq!(contents(&copy), Some(store.listing()));
}

fn put(key: &str, value: &str, revision: u64) -> Change {
    Change::Put(Item { key: key.to_owned(), value: value.to_owned().into(), revision })
}

#[test]
fn repeats_are_left_out_unless_something_else_came_between() {
    let changes = vec![
        put("a", "same", 2),
        put("b", "new", 3),
        put("b", "same", 4),
        Change::Deleted("c".to_owned(), 5),
        put("c", "same", 6),
    ];
    let kept = Update::Changes(changes.clone(), 9).without_repeats(|it| *it.value == *b"same");
    assert_eq!(kept, Update::Changes(changes[1..].to_vec(), 9));
    let listing = Update::Listing(Vec::new(), 9);
    assert_eq!(listing.clone().without_repeats(|_| true), listing);
}

/// A large value that changes all the time, as one version after the other, beside keys of which one is deleted.
fn hub_with_replaced_values(versions: u64, value: &[u8]) -> Mirror {
    let written = |key: &str, revision: u64| {
        let value = value.to_vec().into();
        Change::Put(Item { key: key.to_owned(), value, revision })
    };
    let mut hub = Mirror::default();
    hub.apply(Update::Listing(Vec::new(), 1));
    let first = vec![written("kept", 2), written("deleted", 3), written("changing", 4)];
    hub.apply(Update::Changes(first, 4));
    hub.apply(Update::Changes(vec![Change::Deleted("deleted".to_owned(), 5)], 5));
    for revision in 6..6 + versions {
        hub.apply(Update::Changes(vec![written("changing", revision)], revision));
    }
    hub
}

/// Guards against copies that keep each replaced version of a value, which ends hosts once a large configuration was
/// written some hundred times.
#[test]
fn values_that_were_replaced_are_not_kept() {
    let mut values = Vec::new();
    let mut hub = Mirror::default();
    for revision in 1..=200 {
        let value = bytes::Bytes::from(vec![0; 1_000]);
        values.push(value.clone());
        let item = Item { key: "configuration".to_owned(), value, revision };
        hub.apply(Update::Changes(vec![Change::Put(item)], revision));
    }
    let held = values.into_iter().filter(|it| !it.is_unique()).count();
    assert_eq!(held, 1, "versions of the value that the copy holds");
}

/// Guards against listings in place of changes, and against changes that are missed, from every position.
#[test]
fn a_log_without_replaced_values_reaches_as_far_back() {
    let hub = hub_with_replaced_values(2_000, b"value");
    for after in 1..hub.revision() {
        let Some(Update::Changes(changes, 2_005)) = hub.since(after) else {
            panic!("a host at {after} gets no changes");
        };
        let last = [("kept", 2), ("deleted", 5), ("changing", 2_005)];
        let expected: Vec<_> = last.iter().filter(|it| it.1 > after).map(|it| it.0).collect();
        let keys: Vec<_> = changes.iter().map(key_of).collect();
        assert_eq!(keys, expected, "after {after}");
        assert_eq!(changes.contains(&Change::Deleted("deleted".to_owned(), 5)), after < 5);
    }
}

quickcheck! {
    /// Guards against changes that a host misses or gets twice, whatever its position and the order of watches, listings
    /// and later pages of listings.
    fn a_host_gets_the_last_change_of_each_key_once_from_any_position(steps: Vec<(u8, u8)>) -> bool {
        let mut store = Model::default();
        store.write(0);
        let mut hub = Mirror::default();
        hub.apply(store.listing());
        // Copies of hosts that stopped asking at some position.
        let mut members = Vec::new();
        for (step, key) in steps {
            match step % 6 {
                0 | 1 => store.write(key),
                2 => drop(hub.apply(store.since(hub.revision()))),
                3 => drop(hub.apply(store.listing_in_pages(key))),
                4 => {
                    let mut member = Mirror::default();
                    member.apply(store.listing_in_pages(key));
                    members.push(member);
                }
                _ => {
                    let mut member = Mirror::default();
                    member.apply(hub.since(0).expect("the hub has a listing"));
                    members.push(member);
                }
            }
        }
        hub.apply(store.since(hub.revision()));
        members.into_iter().all(|mut member| {
            let update = hub.since(member.revision());
            let mut keys: Vec<_> = match &update {
                Some(Update::Changes(changes, _)) => changes.iter().map(key_of).collect(),
                Some(Update::Listing(items, _)) => items.iter().map(|it| it.key.as_str()).collect(),
                None => Vec::new(),
            };
            keys.sort_unstable();
            let is_each_once = keys.windows(2).all(|it| it[0] != it[1]);
            update.into_iter().for_each(|it| drop(member.apply(it)));
            is_each_once && contents(&member) == Some(store.listing())
        })
    }
}

/// Guards against a log that grows with the keys that are written, and against one that is cut without notice.
#[test]
fn the_log_is_bounded_in_bytes() {
    let key = |number: u64| format!("{number:0200}");
    let written = |number: u64| {
        Change::Put(Item { key: key(number), value: vec![0].into(), revision: number })
    };
    let mut hub = Mirror::default();
    hub.apply(Update::Listing(Vec::new(), 1));
    for number in 2..=1_000 {
        hub.apply(Update::Changes(vec![written(number)], number));
    }
    // 64 KiB hold some 270 keys of 200 bytes with their revisions.
    assert!(
        matches!(hub.since(1_000 - 200), Some(Update::Changes(changes, _)) if changes.len() == 200)
    );
    assert!(
        matches!(hub.since(1_000 - 400), Some(Update::Listing(items, _)) if items.len() == 999)
    );
}

/// Guards against an item of a later page of a listing, which hosts that ask from the revision of the listing never got.
#[test]
fn hosts_get_the_items_of_later_pages_of_a_listing() {
    let item = |key: &str, revision: u64| Item {
        key: key.to_owned(),
        value: vec![revision as u8].into(),
        revision,
    };
    let mut hub = Mirror::default();
    for _ in 0..2 {
        hub.apply(Update::Listing(vec![item("a", 2), item("b", 9)], 8));
    }
    // The watch that follows returns that item again.
    hub.apply(Update::Changes(vec![Change::Put(item("b", 9))], 10));
    assert_eq!(hub.since(8), Some(Update::Changes(vec![Change::Put(item("b", 9))], 10)));
    assert!(hub.since(7).is_some_and(|it| it.is_listing()));
}
