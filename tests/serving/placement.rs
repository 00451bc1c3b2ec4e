//! Placement of requests under the load patterns that it is designed for.

use std::collections::BTreeMap;

use almondrack::{
    error::Kind,
    serving::{
        key::TicketKey,
        messages::Load,
        placement::{Action, Placement},
        registry::State,
        tier::{self, TIERS},
        upstream_state::incarnation_id,
    },
    time::Span,
    wire::Ending,
};
use expect_test::expect;

use crate::fixture::{at, engines, grant, host, place, prompt, ticket};

fn counts(chosen: impl Iterator<Item = String>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    chosen.for_each(|it| *counts.entry(it).or_default() += 1);
    counts
}

#[test]
fn hosts_that_know_the_same_do_not_all_go_to_one_engine() {
    let engines = engines(60);
    // Each host places its first request and has no reports from the others.
    let chosen = (0..40).map(|it| {
        let mut host = host(&format!("host-{it}"), &engines);
        place(&mut host, at(0), &ticket(1, prompt(&[], 0, 3_000))).0
    });
    let most = counts(chosen).into_values().max().unwrap_or(0);
    assert!(most <= 10, "{most} of 40 hosts chose the same engine");
}

#[test]
fn a_session_finds_its_parts_from_any_host_of_a_large_fleet() {
    let engines = engines(140);
    let mut same_engine = 0;
    for session in 0..100 {
        let prompt = prompt(&[session % 4, 1_000 + session], 3_000, 200);
        let mut chosen = (0..2).map(|it| {
            let mut host = host(&format!("host-{it}"), &engines);
            place(&mut host, at(0), &ticket(session, prompt.clone())).0
        });
        same_engine += usize::from(chosen.next() == chosen.next());
    }
    assert!(same_engine >= 90, "{same_engine} of 100 sessions were placed on one engine");
}

#[test]
fn a_prompt_goes_where_its_parts_are_unless_the_wait_costs_more() {
    let mut host = host("host", &engines(4));
    let shared = prompt(&[1, 2], 2_000, 100);
    let (first, attempt) = place(&mut host, at(0), &ticket(1, shared.clone()));
    host.attempt_answered(at(200), attempt);
    host.attempt_ended(at(250), attempt, Ending::Done);
    // Without the cache the parts take 100 ms of prefill, which weighs more than waiting. The other
    // hosts' prompts on the engine take 200 ms.
    let caching_engine =
        engines(4).into_iter().find(|it| *it.id == *first).expect("the chosen engine is listed");
    let mut load = Load {
        upstream: incarnation_id(&caching_engine),
        pending: [0; TIERS],
        running: 1,
        ejected_ms: 0,
    };
    load.pending[0] = 8_000;
    host.set_remote_loads(at(300), &[load]);
    let (second, _) = place(&mut host, at(300), &ticket(2, shared.clone()));
    assert_eq!(first, second);
    let mut number = 3;
    let mut placed = 0;
    while place(&mut host, at(300), &ticket(number, shared.clone())).0 == first {
        // None of these requests ends, so the backlog grows.
        number += 1;
        placed += 1;
        assert!(
            placed < 2_000,
            "2,000 requests were all placed on the engine that caches the parts"
        );
    }
}

#[test]
fn an_urgent_prompt_does_not_avoid_an_engine_with_less_urgent_prompts() {
    let mut host = host("host", &engines(2));
    let mut low = ticket(1, prompt(&[], 0, 40_000));
    low.tier = 8;
    let (loaded, _) = place(&mut host, at(0), &low);
    let mut urgent = ticket(2, prompt(&[], 0, 2_000));
    urgent.tier = 0;
    let (idle, _) = place(&mut host, at(0), &urgent);
    assert_ne!(loaded, idle, "the other engine is idle");
    urgent.key = TicketKey(3);
    let (next, _) = place(&mut host, at(0), &urgent);
    assert_eq!(loaded, next, "the engine prefills the urgent prompt first");
}

#[test]
fn customers_go_before_routes_in_the_order_of_requests() {
    let mut lines = String::new();
    for customer in [None, Some(0), Some(1), Some(7)] {
        let tiers: Vec<_> = (0..4).map(|route| tier::of(customer, route).to_string()).collect();
        lines += &format!("{customer:?}: {}\n", tiers.join(" "));
    }
    expect![[r#"
        None: 0 4 8 8
        Some(0): 0 1 2 2
        Some(1): 3 4 5 5
        Some(7): 6 7 8 8
    "#]]
    .assert_eq(&lines);
    assert!(tier::of(Some(u8::MAX), u8::MAX) <= 9, "engines have ten priorities");
}

#[test]
fn loads_of_other_hosts_are_considered() {
    let engines = engines(3);
    let mut one = host("one", &engines);
    let (busy, _) = place(&mut one, at(0), &ticket(1, prompt(&[], 0, 20_000)));
    let mut other = host("other", &engines);
    other.set_remote_loads(at(10), &one.local_loads(at(10)));
    for number in 1..=2 {
        let (chosen, _) = place(&mut other, at(10), &ticket(number, prompt(&[], 0, 4_000)));
        assert_ne!(chosen, busy);
    }
}

#[test]
fn an_upstream_that_fails_is_left_out_and_tried_again() {
    let mut host = host("host", &engines(2));
    let (failing, attempt) = place(&mut host, at(0), &ticket(1, prompt(&[], 0, 100)));
    host.attempt_ended(at(10), attempt, Ending::Failed);
    let chosen = |host: &mut Placement, from: u64| {
        let placed = (0..20).map(|it| {
            let ms = from + it * 10;
            let (engine, attempt) = place(host, at(ms), &ticket(100 + it, prompt(&[], 0, 100)));
            if engine != failing {
                host.attempt_answered(at(ms + 5), attempt);
                host.attempt_ended(at(ms + 5), attempt, Ending::Done);
            }
            engine
        });
        counts(placed.collect::<Vec<_>>().into_iter())
    };
    assert!(
        !chosen(&mut host, 20).contains_key(&failing),
        "a failed upstream got a request right after its failure"
    );
    assert!(
        chosen(&mut host, 5_000).contains_key(&failing),
        "a failed upstream got no request 5 s after its failure"
    );
}

#[test]
fn tight_streams_and_long_prompts_use_different_engines() {
    let mut host = host("host", &engines(8));
    let mut engines_of = [BTreeMap::new(), BTreeMap::new()];
    for number in 0..400 {
        let now = at(number * 20);
        let tight = number % 2 == 0;
        let mut ticket = match tight {
            true => ticket(number, prompt(&[], 0, 200)),
            false => ticket(number, prompt(&[], 0, 6_000)),
        };
        ticket.max_gap_ms = Some(if tight { 250 } else { 1_000 });
        ticket.route = if tight { "tight" } else { "long" }.into();
        let (engine, attempt) = place(&mut host, now, &ticket);
        host.attempt_answered(now, attempt);
        host.attempt_ended(now + Span::from_ms(5), attempt, Ending::Done);
        // The demand is measured only after some seconds.
        if number >= 200 {
            *engines_of[usize::from(tight)].entry(engine).or_insert(0) += 1;
        }
    }
    let [long, tight] = engines_of;
    let both: Vec<_> = tight.keys().filter(|it| long.contains_key(*it)).collect();
    assert!(both.is_empty(), "tight streams and long prompts both ran on {both:?}");
}

#[test]
fn an_upstream_that_leaves_gets_nothing_new() {
    let mut entries = engines(2);
    let mut host = host("host", &entries);
    entries[0].state = State::Draining;
    host.set_upstreams(&entries);
    for number in 0..10 {
        let (chosen, _) = place(&mut host, at(number), &ticket(number, prompt(&[], 0, 5_000)));
        assert_eq!(chosen, "engine-1");
    }
}

#[test]
fn a_new_incarnation_under_an_old_id_starts_without_the_old_ones_load() {
    let mut entries = engines(1);
    let mut host = host("host", &entries);
    let first = grant(&mut host, at(0), &ticket(1, prompt(&[], 0, 5_000)));
    entries[0].started_ms = 2;
    host.set_upstreams(&entries);
    let second = grant(&mut host, at(10), &ticket(2, prompt(&[], 0, 100)));
    assert_ne!(first.upstream, second.upstream);
    // The end of an attempt on the old incarnation does not affect the new one.
    host.attempt_ended(at(20), first.attempt, Ending::Failed);
    let loads = host.local_loads(at(20));
    assert_eq!(loads.iter().map(|it| (it.running, it.ejected_ms)).collect::<Vec<_>>(), [(1, 0)]);
}

#[test]
fn without_upstreams_a_request_is_refused_with_a_retry_delay() {
    let mut host = host("host", &[]);
    let mut actions = Vec::new();
    host.submit(at(0), &ticket(1, prompt(&[], 0, 100)), &mut actions);
    match actions.as_slice() {
        [Action::Refuse(_, Kind::NoUpstream, Some(delay))] => assert!(delay.as_ms() > 0),
        other => panic!("expected a refusal: {other:?}"),
    }
}
