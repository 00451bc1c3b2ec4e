//! Copies of the store's keys and of loads, as hosts exchange them.

use std::collections::BTreeMap;

use almondrack::{
    serving::{
        loads::Loads,
        messages::Load,
        mirror::{Mirror, Update},
        tier::TIERS,
    },
    store::{Change, Item},
};
use quickcheck::quickcheck;

use crate::fixture::at;

/// Reference model of a store with its complete history.
#[derive(Default)]
struct Model {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
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
