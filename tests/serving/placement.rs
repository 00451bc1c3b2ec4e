//! Placement of requests under the load patterns that it is designed for.

use std::{collections::BTreeMap, rc::Rc};

use almondrack::{
    error::Kind,
    serving::{
        crash_evidence::Content,
        key::{TicketKey, UpstreamKey},
        loads::Loads,
        messages::{Change, Evidence, Load, Prefix, Suspicion, Value},
        placement::{Action, Grant, Placement, Ticket},
        rate_limit::{Decision, Limit, Named, Rate},
        registry::State,
        scaling::Capacity,
        tier::{self, TIERS},
        upstream_state::incarnation_id,
    },
    suspicion::Progress,
    time::{Span, Time},
    wire::Ending,
};
use expect_test::expect;
use tokio::sync::watch;

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

/// A host whose first request taught it that the only two engines take two requests a second.
fn host_before_limited_engines() -> Placement {
    let mut host = host("host", &engines(2));
    let mut actions = Vec::new();
    for number in 1..=2 {
        let mut ticket = ticket(number, prompt(&[], 0, 100));
        ticket.tried = vec![UpstreamKey(3 - number as u32)];
        let (_, attempt) = place(&mut host, at(0), &ticket);
        let named = Named::Rate(Rate::new(2.0).expect("the rate is valid"));
        host.limit_named(at(10), (attempt, at(0)), named, &mut actions);
        host.attempt_ended(at(10), attempt, Ending::Done);
    }
    assert!(actions.is_empty(), "{actions:?}");
    host
}

/// Submits a request with a target of 1,000 ms and returns the upstream of which it needs a permit.
fn ask(host: &mut Placement, now: Time, number: u64) -> UpstreamKey {
    let mut actions = Vec::new();
    host.submit(now, &limited_ticket(number), &mut actions);
    match actions.pop() {
        Some(Action::Ask(key, upstream, _)) if key == TicketKey(number) => upstream,
        other => panic!("no permit was requested: {other:?}"),
    }
}

fn limited_ticket(number: u64) -> Ticket {
    Ticket { target: at(1_000), ..ticket(number, prompt(&[], 0, 100)) }
}

/// Answers the request for a permit and returns what follows.
fn answer(
    host: &mut Placement,
    (now, asked_at): (Time, Time),
    (number, upstream): (u64, UpstreamKey),
    decision: Decision,
) -> Vec<Action> {
    let mut actions = Vec::new();
    let ids = (TicketKey(number), upstream);
    host.permit_answered(now, ids, asked_at, (decision, Limit::default()), &mut actions);
    actions
}

#[test]
fn a_limited_engine_gets_a_request_only_with_a_permit_that_is_fresh() {
    let mut host = host_before_limited_engines();
    let upstream = ask(&mut host, at(100), 3);
    let granted = answer(&mut host, (at(110), at(100)), (3, upstream), Decision::Granted);
    let [Action::Grant(_, grant)] = granted.as_slice() else { panic!("{granted:?}") };
    assert_eq!((grant.upstream, grant.send_by), (upstream, Some(at(400))));
    // The host stood still between the question and the answer.
    let upstream = ask(&mut host, at(500), 4);
    let late = answer(&mut host, (at(900), at(500)), (4, upstream), Decision::Granted);
    assert!(matches!(late.as_slice(), [Action::Ask(..)]), "{late:?}");
}

#[test]
fn a_request_without_a_permit_goes_elsewhere_then_waits_then_is_refused_with_the_time_of_room() {
    let mut host = host_before_limited_engines();
    let first = ask(&mut host, at(100), 3);
    let denied = Decision::Denied(Span::from_ms(300));
    let actions = answer(&mut host, (at(110), at(100)), (3, first), denied);
    let [Action::Ask(_, second, _)] = actions.as_slice() else { panic!("{actions:?}") };
    assert_ne!(first, *second);
    let actions = answer(&mut host, (at(120), at(110)), (3, *second), denied);
    assert!(actions.is_empty(), "the request waits: {actions:?}");
    // A place comes at 410 ms.
    let mut actions = Vec::new();
    host.place_waiting(at(405), &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    host.place_waiting(at(410), &mut actions);
    let [Action::Ask(_, again, _)] = actions.as_slice() else { panic!("{actions:?}") };
    assert_eq!(*again, first);
    // No place comes in time.
    let long = Decision::Denied(Span::from_ms(5_000));
    let actions = answer(&mut host, (at(420), at(410)), (3, first), long);
    let [Action::Ask(_, second, _)] = actions.as_slice() else { panic!("{actions:?}") };
    let actions = answer(&mut host, (at(430), at(420)), (3, *second), long);
    let [Action::Refuse(_, Kind::Shed, Some(delay))] = actions.as_slice() else {
        panic!("{actions:?}")
    };
    assert!((4_990..=9_980).contains(&delay.as_ms()), "{delay:?}");
}

#[test]
fn waiting_requests_go_by_tier_and_not_after_their_callers_have_left() {
    let mut host = host_before_limited_engines();
    let denied = Decision::Denied(Span::from_ms(300));
    let first = ask(&mut host, at(100), 3);
    let actions = answer(&mut host, (at(100), at(100)), (3, first), denied);
    let [Action::Ask(_, second, _)] = actions.as_slice() else { panic!("{actions:?}") };
    answer(&mut host, (at(100), at(100)), (3, *second), denied);
    let mut actions = Vec::new();
    for (number, tier) in [(5, 7), (6, 1), (7, 3)] {
        host.submit(at(110), &Ticket { tier, ..limited_ticket(number) }, &mut actions);
    }
    host.withdraw(TicketKey(6));
    host.place_waiting(at(400), &mut actions);
    let asked = actions.iter().map(|it| match it {
        Action::Ask(ticket, ..) => ticket.0,
        other => panic!("{other:?}"),
    });
    assert_eq!(asked.collect::<Vec<_>>(), [7, 3]);
}

#[test]
fn a_request_that_arrives_when_there_is_room_does_not_pass_a_more_urgent_one_that_waits() {
    let mut host = host_before_limited_engines();
    let denied = Decision::Denied(Span::from_ms(300));
    let first = ask(&mut host, at(100), 3);
    let actions = answer(&mut host, (at(100), at(100)), (3, first), denied);
    let [Action::Ask(_, second, _)] = actions.as_slice() else { panic!("{actions:?}") };
    answer(&mut host, (at(100), at(100)), (3, *second), Decision::Denied(Span::from_ms(900)));
    let mut actions = Vec::new();
    host.submit(at(400), &Ticket { tier: 9, ..limited_ticket(4) }, &mut actions);
    assert!(matches!(actions.as_slice(), [Action::Ask(TicketKey(3), ..)]), "{actions:?}");
}

#[test]
fn an_engine_whose_limit_has_ended_needs_no_permit_and_the_limiters_hear_of_it() {
    let mut host = host_before_limited_engines();
    let upstream = ask(&mut host, at(100), 3);
    let granted = answer(&mut host, (at(110), at(100)), (3, upstream), Decision::Granted);
    let [Action::Grant(_, grant)] = granted.as_slice() else { panic!("{granted:?}") };
    let mut actions = Vec::new();
    host.limit_named(at(200), (grant.attempt, at(110)), Named::Nothing, &mut actions);
    assert!(matches!(actions.as_slice(), [Action::Report(it)] if it.limit.rate().is_none()));
    host.attempt_ended(at(200), grant.attempt, Ending::Done);
    let ticket = Ticket { tried: vec![UpstreamKey(3 - upstream.0)], ..limited_ticket(4) };
    assert_eq!(place(&mut host, at(300), &ticket).0, grant.instance.to_string());
}

#[test]
fn a_limit_reaches_hosts_that_did_not_hear_it_and_outlives_a_lapsed_entry() {
    let engines = engines(1);
    let incarnation = incarnation_id(&engines[0]);
    let rate = Rate::new(2.0);
    let news = Prefix::from_limits(at(1_000), &[(incarnation, Limit::new(rate, at(900)))]);
    let limits = news.limits(at(980));
    assert_eq!(limits, [(incarnation, Limit::new(rate, at(880)))]);
    let mut host = host("host", &engines);
    host.merge_limits(&limits);
    ask(&mut host, at(1_000), 1);
    host.set_upstreams(&[]);
    host.set_upstreams(&engines);
    ask(&mut host, at(1_100), 2);
    assert_eq!(host.limits(at(1_100)), limits);
}

#[test]
fn limits_that_cannot_be_decoded_are_left_out() {
    let mut news = Prefix::from_limits(at(1_000), &[(1, Limit::new(Rate::new(2.0), at(900)))]);
    let changes = &mut news.update.as_mut().expect("there are limits").changes;
    let bad = |value: Option<Vec<u8>>, key: &str| Change {
        value: value.map(Value::from),
        key: key.into(),
        revision: 1,
    };
    changes.push(bad(Some(vec![1, 2, 3]), "2"));
    changes.push(bad(Some(f64::NAN.to_le_bytes().to_vec()), "3"));
    changes.push(bad(None, "no number"));
    changes.push(bad(None, "4"));
    let upstreams: Vec<_> = news.limits(at(1_000)).into_iter().map(|it| it.0).collect();
    assert_eq!(upstreams, [1, 4]);
}

#[test]
fn requests_with_a_part_under_which_engines_crashed_are_refused_and_others_go_on() {
    let mut engines = engines(8);
    let mut host = host("host", &engines);
    let with_part = |number: u64, part: u64| {
        let mut ticket = ticket(number, prompt(&[part], 100, 100));
        ticket.contents = vec![Content::Part(part)];
        ticket
    };
    let mut ms = 0;
    for crash in 0..3 {
        let (crashed, attempt) = place(&mut host, at(ms), &with_part(100 + crash, 0xdead));
        host.attempt_broken_off(attempt, Progress::HEAD);
        host.attempt_ended(at(ms + 50), attempt, Ending::Failed);
        // It starts again under the same id.
        engines.iter_mut().filter(|it| *it.id == *crashed).for_each(|it| it.started_ms += 1);
        host.set_upstreams(&engines);
        for number in 0..6 {
            let (_, attempt) = place(&mut host, at(ms + 100), &with_part(200 + number, 0xa));
            host.attempt_answered(at(ms + 150), attempt);
            host.attempt_proceeded(at(ms + 160), attempt, Progress::FIRST);
            host.attempt_ended(at(ms + 200), attempt, Ending::Done);
        }
        ms += 1_000;
        host.evidence_news(at(ms));
    }
    let mut actions = Vec::new();
    host.submit(at(ms), &with_part(300, 0xdead), &mut actions);
    let refusal = actions.pop();
    assert!(matches!(refusal, Some(Action::Quarantine(TicketKey(300), _))), "{refusal:?}");
    place(&mut host, at(ms), &with_part(301, 0xa));
}

#[test]
fn a_suspect_goes_where_it_takes_the_fewest_requests_along() {
    let mut host = host("host", &engines(2));
    let mut suspect = ticket(1, prompt(&[7], 2_000, 100));
    suspect.contents = vec![Content::Part(7)];
    let (first, attempt) = place(&mut host, at(0), &suspect);
    host.attempt_ended(at(50), attempt, Ending::Cancelled);
    // The engine caches the part, and serves other requests.
    let running: Vec<_> =
        (10..22).map(|it| place(&mut host, at(60), &ticket(it, prompt(&[7], 2_000, 10)))).collect();
    assert!(running.iter().all(|it| it.0 == first), "{running:?}");
    let (same, _) = place(&mut host, at(70), &suspect);
    assert_eq!(same, first, "without a crash the cached part decides");
    let charges = [(1, 1_000_000, true), (2, 300_000, true)];
    let news = Evidence {
        suspicions: vec![Suspicion {
            content: Content::Part(7),
            pool: 1,
            charges: charges.to_vec(),
            is_quarantined: false,
            is_confirmed: false,
            cleared_age_us: None,
        }],
        survivors: Vec::new(),
    };
    host.merge_evidence(at(80), at(80), &news);
    let (other, _) = place(&mut host, at(90), &suspect);
    assert_ne!(other, first);
}

/// Places a request on the given one of two engines.
fn grant_on(host: &mut Placement, now: Time, number: u64, engine: u32) -> Grant {
    let tried = vec![UpstreamKey(3 - engine)];
    grant(host, now, &Ticket { tried, ..ticket(number, prompt(&[], 0, 100)) })
}

#[test]
fn an_engine_that_says_that_it_leaves_gets_nothing_new() {
    let mut host = host("host", &engines(2));
    let first = grant_on(&mut host, at(0), 1, 1);
    let second = grant_on(&mut host, at(0), 2, 1);
    assert!(host.departure_announced(first.attempt));
    assert!(!host.departure_announced(second.attempt), "it is counted once");
    assert!(first.leaves.get() && second.leaves.get(), "a grant that is not sent yet is void");
    for number in 3..40 {
        let other = grant(&mut host, at(10 * number), &ticket(number, prompt(&[], 0, 5_000)));
        assert_eq!((&*other.instance, other.leaves.get()), ("engine-1", false));
    }
    // The other one has failed this request already.
    let mut actions = Vec::new();
    let tried = vec![UpstreamKey(2)];
    host.submit(at(500), &Ticket { tried, ..ticket(40, prompt(&[], 0, 100)) }, &mut actions);
    match actions.as_slice() {
        [Action::Refuse(_, Kind::NoUpstream, Some(delay))] => assert!(delay.as_ms() <= 1_000),
        other => panic!("expected a refusal: {other:?}"),
    }
}

#[test]
fn a_permit_for_an_engine_that_leaves_meanwhile_is_not_used_and_waiting_requests_do_not_wait_on() {
    let mut host = host_before_limited_engines();
    let leaving = |index| incarnation_id(&engines(2)[index]);
    let first = ask(&mut host, at(100), 3);
    let first_index = first.0 as usize - 1;
    assert_eq!(host.merge_departures("host-2", &[leaving(first_index)]), 1);
    let actions = answer(&mut host, (at(110), at(100)), (3, first), Decision::Granted);
    let [Action::Ask(_, second, _)] = actions.as_slice() else { panic!("{actions:?}") };
    assert_ne!(first, *second);
    let denied = Decision::Denied(Span::from_ms(300));
    let actions = answer(&mut host, (at(120), at(110)), (3, *second), denied);
    assert!(actions.is_empty(), "the request waits: {actions:?}");
    assert_eq!(host.merge_departures("host-2", &[leaving(0), leaving(1)]), 1);
    let mut actions = Vec::new();
    host.place_waiting(at(140), &mut actions);
    assert!(
        matches!(actions.as_slice(), [Action::Refuse(TicketKey(3), Kind::NoUpstream, Some(_))]),
        "{actions:?}"
    );
}

#[test]
fn an_engine_leaves_for_the_rest_of_its_life_and_no_longer() {
    let mut entries = engines(2);
    let mut host = host("host", &entries);
    let leaving = grant_on(&mut host, at(0), 1, 1);
    assert!(host.departure_announced(leaving.attempt));
    let is_chosen = |host: &mut Placement, now: Time| {
        (0..20).any(|it| place(host, now, &ticket(100 + it, prompt(&[], 0, 5_000))).0 == "engine-0")
    };
    // Its entry is written again.
    entries[0].sequence = 2;
    host.set_upstreams(&entries);
    assert!(!is_chosen(&mut host, at(1_000)));
    // Its entry lapses and is written again at another address.
    host.set_upstreams(&entries[1..]);
    entries[0].address = "10.0.1.1:80".parse().expect("the address is valid");
    host.set_upstreams(&entries);
    assert!(!is_chosen(&mut host, at(2_000)));
    assert_eq!(host.leaving(), [incarnation_id(&entries[0])]);
    entries[0].started_ms += 1;
    host.set_upstreams(&entries);
    assert!(is_chosen(&mut host, at(3_000)));
    assert!(host.leaving().is_empty());
}

#[test]
fn an_engine_that_says_so_while_it_is_not_listed_leaves_once_it_is() {
    let entries = engines(2);
    let mut host = host("host", &entries);
    let leaving = grant_on(&mut host, at(0), 1, 1);
    host.set_upstreams(&entries[1..]);
    assert!(host.departure_announced(leaving.attempt));
    host.set_upstreams(&entries);
    assert_eq!(host.leaving(), [incarnation_id(&entries[0])]);
    // Many others of which another host reports do not use up the memory, and the last ones are kept.
    host.set_upstreams(&entries[..1]);
    let many: Vec<_> = (1..=5_000).chain([incarnation_id(&entries[1])]).collect();
    assert_eq!(host.merge_departures("host-2", &many), many.len());
    assert_eq!(host.merge_departures("host-2", &many[many.len() - 1_024..]), 0);
    assert_eq!(host.merge_departures("host-2", &[1]), 1, "the oldest ones are forgotten");
    host.set_upstreams(&entries);
    assert_eq!(host.leaving().len(), 2);
}

#[test]
fn hosts_hear_of_an_engine_that_leaves_with_the_loads_of_others() {
    let entries = engines(2);
    let mut host_1 = host("host-1", &entries);
    let leaving = grant_on(&mut host_1, at(0), 1, 1);
    host_1.departure_announced(leaving.attempt);
    host_1.attempt_ended(at(10), leaving.attempt, Ending::Done);
    let loads = host_1.local_loads(at(20));
    assert_eq!(loads.iter().map(|it| it.ejected_ms).collect::<Vec<_>>(), [Load::LEAVES]);
    // A hub of an earlier version adds loads up, and takes the upstream for ejected.
    let mut hub = Loads::default();
    let pending = [0; TIERS];
    let upstream = incarnation_id(&entries[0]);
    hub.set_own(vec![Load { upstream, pending, running: 3, ejected_ms: 4_000 }]);
    hub.set_member(at(30), "host-1", loads);
    let passed_on = hub.all_but(at(40), "host-2");
    assert_eq!(Load::leaving(&passed_on), [upstream]);
    let mut host_2 = host("host-2", &entries);
    assert_eq!(host_2.merge_departures("hub", &Load::leaving(&passed_on)), 1);
    assert_eq!(host_2.leaving(), [upstream]);
    // An ejection, however long, is no departure.
    let ejected = Load { upstream, pending, running: 0, ejected_ms: Load::LEAVES - 1 };
    assert!(Load::leaving(&[ejected]).is_empty());
}

#[test]
fn the_leader_takes_engines_that_leave_for_draining() {
    let entries = engines(2);
    let capacity = Capacity {
        evacuated: watch::channel(None).1,
        upstreams: watch::channel(Rc::new(entries.clone())).1,
        leaving: watch::channel(Rc::new(vec![incarnation_id(&entries[1])])).1,
    };
    let states: Vec<_> = capacity.entries().iter().map(|it| it.state).collect();
    assert_eq!(states, [State::Ready, State::Draining]);
}

// Engines that break answers off and go on with others, as after a fault of the network or of their own, have not crashed.
#[test]
fn engines_that_go_on_sending_after_a_cut_are_no_evidence_against_content() {
    let part = Content::Part(0xa);
    for (went_on, is_same_process) in [(false, true), (true, false), (true, true)] {
        let mut host = host("host", &engines(6));
        for round in 0..3_u64 {
            let now = at(round * 210);
            let ticket =
                |number| Ticket { contents: vec![part], ..ticket(number, prompt(&[0xa], 10, 10)) };
            let cut = grant(&mut host, now, &ticket(round * 2 + 1));
            host.attempt_broken_off(cut.attempt, Progress::HEAD);
            host.attempt_ended(now, cut.attempt, Ending::Failed);
            if went_on {
                cut.last_activity.set(now + Span::from_ms(260));
            }
            if went_on && is_same_process {
                cut.alive_at.set(now + Span::from_ms(260));
            }
            host.evidence_news(now + Span::from_ms(270));
        }
        host.evidence_news(at(1_000));
        let mut actions = Vec::new();
        let late = Ticket { contents: vec![part], ..ticket(100, prompt(&[0xa], 10, 10)) };
        host.submit(at(1_000), &late, &mut actions);
        let is_granted = matches!(actions.as_slice(), [Action::Grant(..)]);
        assert_eq!(is_granted, went_on && is_same_process, "{actions:?}");
    }
}
