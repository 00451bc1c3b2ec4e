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

    fn since(&self, after: u64) -> Update {
        let newer = |it: &&Change| match it {
            Change::Put(item) => item.revision > after,
            Change::Deleted(_, revision) => *revision > after,
        };
        Update::Changes(self.history.iter().filter(newer).cloned().collect(), self.revision)
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
