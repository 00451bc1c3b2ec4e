//! Availability zones that the operator evacuates.

use std::sync::Arc;

use almondrack::{
    error::Kind,
    serving::{
        evacuation::{Evacuations, Zones, split},
        mirror::Update,
        placement::{Action, Placement, Ticket},
        rate_limit::{Decision, Limit, Named, Rate},
        registry::Entry,
        scaling::Scaler,
        table::{Parts, Pool, Scaling, Table},
        upstream_state::incarnation_id,
    },
    store::{Change, Item, revision},
    time::Span,
};

use crate::fixture::{POOL, at, engine, grant, host, prompt, ticket};

const PREFIX: &str = "op/evacuate/";

fn zones(names: &[&str]) -> Zones {
    Zones::new(names.iter().map(|it| Arc::from(*it)).collect())
}

/// Even engines are in zone `a`, odd ones in zone `b`.
fn engines(count: usize) -> Vec<Entry> {
    let zone = |index| if index % 2 == 0 { "a" } else { "b" };
    (0..count).map(|it| Entry { zone: zone(it).into(), ..engine(it) }).collect()
}

fn is_refused(host: &mut Placement, ticket: &Ticket) -> bool {
    let mut actions = Vec::new();
    host.submit(at(0), ticket, &mut actions);
    match actions.as_slice() {
        [Action::Refuse(_, Kind::NoUpstream, Some(delay))] => *delay > Span(0),
        [Action::Grant(..)] => false,
        other => panic!("{other:?}"),
    }
}

#[test]
fn no_kind_of_request_is_placed_in_an_evacuated_zone() {
    let mut host = host("host", &engines(6));
    let waits =
        grant(&mut host, at(0), &Ticket { tried: Vec::new(), ..ticket(1, prompt(&[], 0, 9)) });
    host.set_evacuated(Some(zones(&["b"])));
    let kinds = |number: u64| {
        let new = ticket(number, prompt(&[number % 5], 50, 9));
        let repeat = Ticket { tried: vec![waits.upstream], ..new.clone() };
        let resumed = Ticket { version: Some("v1".into()), ..repeat.clone() };
        [new, repeat, resumed, Ticket { prompt: None, ..ticket(number, prompt(&[], 0, 9)) }]
    };
    for number in 0..200 {
        for ticket in kinds(number) {
            let placed = grant(&mut host, at(number), &ticket);
            let index: usize = placed.instance["engine-".len()..].parse().expect("a number");
            assert_eq!(index % 2, 0, "{ticket:?}");
        }
    }
    // Entries that are written again, and new ones, change nothing.
    host.set_upstreams(&engines(8));
    host.set_upstreams(&engines(8).split_off(7));
    assert!(is_refused(&mut host, &ticket(900, prompt(&[], 0, 9))));
    host.set_evacuated(Some(Zones::default()));
    assert!(!is_refused(&mut host, &ticket(901, prompt(&[], 0, 9))));
}

#[test]
fn grants_and_permits_that_are_under_way_are_void() {
    let engines = engines(2);
    let mut host = host("host", &engines);
    let limits: Vec<_> =
        engines.iter().map(|it| (incarnation_id(it), Limit::new(Rate::new(2.0), at(0)))).collect();
    let unsent = grant(&mut host, at(0), &ticket(1, prompt(&[], 0, 9)));
    host.merge_limits(&limits);
    let mut actions = Vec::new();
    host.submit(at(10), &ticket(2, prompt(&[], 0, 9)), &mut actions);
    let [Action::Ask(key, upstream, _)] = actions[..] else { panic!("{actions:?}") };
    assert!(!unsent.evacuated.get());
    host.set_evacuated(Some(zones(&["a", "b"])));
    assert!(unsent.evacuated.get(), "looked at before the request is written");
    actions.clear();
    let answer = (Decision::Granted, Limit::default());
    host.permit_answered(at(20), (key, upstream), at(10), answer, &mut actions);
    let [Action::Refuse(_, Kind::NoUpstream, Some(_))] = actions[..] else { panic!("{actions:?}") };
    // A running answer goes on.
    host.limit_named(at(30), (unsent.attempt, at(20)), Named::Nothing, &mut actions);
    host.attempt_answered(at(30), unsent.attempt);
}

#[test]
fn nothing_is_sent_while_evacuations_are_not_known_or_all_zones_are_evacuated() {
    let mut host = host("host", &engines(4));
    for unusable in [None, Some(zones(&["a", "b"]))] {
        host.set_evacuated(unusable);
        assert!(is_refused(&mut host, &ticket(1, prompt(&[], 0, 9))));
    }
    host.set_evacuated(Some(zones(&["a"])));
    assert!(!is_refused(&mut host, &ticket(2, prompt(&[], 0, 9))));
}

fn item(key: &str, era: u64, number: u64) -> Item {
    Item { key: key.to_owned(), value: (&b"{}"[..]).into(), revision: revision(era, number) }
}

fn listing(keys: &[&str], era: u64, number: u64) -> Option<Update> {
    let items = keys.iter().map(|it| item(it, era, number)).collect();
    Some(Update::Listing(items, revision(era, number)))
}

#[test]
fn evacuations_come_and_go_and_outlive_an_older_copy_of_the_store() {
    let mut known = Evacuations::new(PREFIX);
    assert_eq!(known.zones(at(0)), None, "before the first listing");
    known.apply(at(0), listing(&[], 0, 5), Some(at(0)));
    assert_eq!(known.zones(at(0)), Some(Zones::default()));
    let put = |zone: &str, number| Change::Put(item(&format!("{PREFIX}{zone}"), 0, number));
    let gone = |zone: &str, number| Change::Deleted(format!("{PREFIX}{zone}"), revision(0, number));
    let changes = |changes, number| Some(Update::Changes(changes, revision(0, number)));
    known.apply(at(0), changes(vec![put("a", 6), put("b", 7)], 8), None);
    assert_eq!(known.zones(at(0)), Some(zones(&["a", "b"])));
    known.apply(at(0), changes(vec![gone("a", 9)], 9), None);
    assert_eq!(known.zones(at(0)), Some(zones(&["b"])));
    // The older copy lists the one that was taken back and lacks the other.
    known.apply(at(1_000), listing(&["op/evacuate/a"], 1, 6), None);
    assert_eq!(known.zones(at(1_000)), Some(zones(&["a", "b"])));
    let late = at(12_000);
    assert!(known.next_due().is_some_and(|it| it < late));
    known.apply_due(late);
    assert_eq!(known.zones(late), Some(zones(&["a"])), "the operator has not written it again");
}

#[test]
fn the_operators_keys_are_told_apart() {
    let all = listing(&["op/config", "op/evacuate/a"], 0, 3).expect("a listing");
    let (rest, evacuations) = split(all, PREFIX);
    assert_eq!(Some(rest), listing(&["op/config"], 0, 3));
    assert_eq!(Some(evacuations), listing(&["op/evacuate/a"], 0, 3));
}

#[test]
fn the_other_zones_get_the_capacity_of_an_evacuated_one() {
    let scaling =
        Scaling { min: 1, max: 40, boot_ms: 4_000, spot_price_ratio: 0.5, prices: Vec::new() };
    let pool = Pool {
        name: POOL.into(),
        connections: 100,
        engine: None,
        scaling: Some(scaling),
        cold_rate: None,
    };
    let table = Table::build(Parts { pools: vec![pool], ..Parts::default() });
    let mut scaler = Scaler::new(vec!["a".to_owned(), "b".to_owned()]);
    let mut counts = |evacuated: &Zones, ms| {
        let mut orders = scaler.step(at(ms), &table, &engines(40), evacuated);
        orders.retain(|it| !it.spot);
        let counts = orders.iter().map(|it| (it.zone.clone(), it.count));
        let counts: Vec<_> = counts.collect();
        for order in orders {
            scaler.record_result(at(ms), &order, &Ok(()));
        }
        counts
    };
    assert_eq!(counts(&Zones::default(), 0), [], "20 run in each zone");
    assert_eq!(counts(&zones(&["b"]), 250), [("a".to_owned(), 40)]);
    assert_eq!(counts(&zones(&["b"]), 500), []);
    assert_eq!(counts(&Zones::default(), 750), [("a".to_owned(), 20)]);
}

/// The scaler's regular orders for each zone, fed back as upstreams that are ready at once.
struct Orders {
    scaler: Scaler,
    table: Table,
    entries: Vec<Entry>,
    now_ms: u64,
}

impl Orders {
    fn new(entries: Vec<Entry>, cold_rate: Option<Rate>) -> Orders {
        let scaling =
            Scaling { min: 0, max: 40, boot_ms: 4_000, spot_price_ratio: 0.5, prices: Vec::new() };
        let scaling = Some(scaling);
        let pool = Pool { name: POOL.into(), connections: 100, engine: None, scaling, cold_rate };
        let table = Table::build(Parts { pools: vec![pool], ..Parts::default() });
        let scaler = Scaler::new(vec!["a".to_owned(), "b".to_owned()]);
        Orders { scaler, table, entries, now_ms: 0 }
    }

    fn regular(&self, zone: &str) -> usize {
        self.entries.iter().filter(|it| !it.spot && *it.zone == *zone).count()
    }

    /// Returns the regular upstreams of each zone after some steps.
    fn settle(&mut self, evacuated: &Zones) -> [usize; 2] {
        for _ in 0..4 {
            self.now_ms += 250;
            let now = at(self.now_ms);
            for order in self.scaler.step(now, &self.table, &self.entries, evacuated) {
                self.scaler.record_result(now, &order, &Ok(()));
                if order.spot {
                    continue;
                }
                let mut present = 0;
                self.entries.retain(|it| {
                    let is_other = it.spot || *it.zone != *order.zone;
                    present += u32::from(!is_other);
                    is_other || present <= order.count
                });
                for _ in present.min(order.count)..order.count {
                    let zone = order.zone.as_str().into();
                    self.entries.push(Entry { zone, ..engine(self.entries.len() + 100) });
                }
            }
        }
        [self.regular("a"), self.regular("b")]
    }
}

#[test]
fn the_orders_after_an_evacuation_are_those_before_it() {
    let mut orders = Orders::new(engines(24), None);
    assert_eq!(orders.settle(&Zones::default()), [12, 12]);
    for _ in 0..3 {
        assert_eq!(orders.settle(&zones(&["b"])), [24, 12]);
        assert_eq!(orders.settle(&Zones::default()), [12, 12]);
    }
}

#[test]
fn upstreams_that_are_cold_replace_no_regular_ones() {
    let spot = |it: usize, warmup_ms| {
        let zone = if it.is_multiple_of(2) { "a" } else { "b" };
        Entry { spot: true, warmup_ms, zone: zone.into(), ..engine(it + 50) }
    };
    let rate = Rate::new(11.0);
    let mut orders = Orders::new(engines(24), rate);
    assert_eq!(orders.settle(&Zones::default()), [12, 12]);
    orders.entries.extend((0..24).map(|it| spot(it, 3_000)));
    assert_eq!(orders.settle(&Zones::default()), [12, 12], "the spot upstreams are cold");
    let warm = |orders: &mut Orders| orders.entries.iter_mut().for_each(|it| it.warmup_ms = 0);
    warm(&mut orders);
    assert_eq!(orders.settle(&Zones::default()), [0, 0]);
    // A zone that returns cold gets back its part when it is warm.
    let mut orders = Orders::new(engines(24), rate);
    assert_eq!(orders.settle(&Zones::default()), [12, 12]);
    assert_eq!(orders.settle(&zones(&["b"])), [24, 12]);
    let returned = orders.entries.iter_mut().filter(|it| *it.zone == *"b");
    returned.for_each(|it| it.warmup_ms = 3_000);
    assert_eq!(orders.settle(&Zones::default()), [24, 12], "the returned zone is cold");
    warm(&mut orders);
    assert_eq!(orders.settle(&Zones::default()), [12, 12]);
}
