//! Back-off from upstreams that ask for it when they refuse a request.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use almondrack::{
    error::Kind,
    serving::{
        backoff::Backoff,
        key::{AttemptKey, TicketKey, UpstreamKey},
        messages,
        placement::{Action, Grant, Placement, Ticket},
        rate_limit::{Decision, Limit, Named, Rate},
    },
    time::{Span, Time},
    wire::Ending,
};

use crate::fixture::{at, engines, grant, host, place, prompt, ticket};

/// A request with a target of 500 ms after it is placed.
fn request(now: Time, number: u64) -> Ticket {
    let target = now + Span::from_ms(500);
    let deadline = now + Span::from_ms(4_000);
    Ticket { target, deadline, ..ticket(number, prompt(&[], 0, 10)) }
}

/// Refuses an attempt for a time.
fn refuse(host: &mut Placement, now: Time, attempt: AttemptKey, time: Span) {
    host.backoff_named(now, attempt, now + time);
    host.attempt_ended(now, attempt, Ending::Refused);
}

fn complete(host: &mut Placement, now: Time, attempt: AttemptKey) {
    host.attempt_answered(now, attempt);
    host.attempt_ended(now, attempt, Ending::Done);
}

/// A host whose only engine refused a request at 0 ms for a time.
fn host_after_refusal(time: Span) -> Placement {
    let mut host = host("host", &engines(1));
    let (_, attempt) = place(&mut host, at(0), &request(at(0), 1));
    refuse(&mut host, at(0), attempt, time);
    host
}

fn submit(host: &mut Placement, now: Time, number: u64) -> Vec<Action> {
    let mut actions = Vec::new();
    host.submit(now, &request(now, number), &mut actions);
    actions
}

fn granted(actions: &[Action]) -> Vec<&Grant> {
    let grants = actions.iter().filter_map(|it| match it {
        Action::Grant(_, grant) => Some(grant),
        _ => None,
    });
    grants.collect()
}

#[test]
fn nothing_is_sent_before_the_end_and_then_one_request() {
    let mut host = host_after_refusal(Span::from_ms(1_000));
    for number in 2..12 {
        let actions = submit(&mut host, at(100), number);
        assert!(matches!(actions[..], [Action::Refuse(_, Kind::Shed, Some(_))]), "{actions:?}");
    }
    // These wait, as the end comes before their target.
    let mut actions = Vec::new();
    for number in 12..22 {
        actions.extend(submit(&mut host, at(900), number));
    }
    host.place_waiting(at(999), &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    host.place_waiting(at(1_000), &mut actions);
    let [Action::Grant(TicketKey(12), grant)] = &actions[..] else { panic!("{actions:?}") };
    let probe = grant.attempt;
    actions.clear();
    host.place_waiting(at(1_100), &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    // Each answer lets one more request be outstanding.
    complete(&mut host, at(1_120), probe);
    host.place_waiting(at(1_120), &mut actions);
    assert_eq!(granted(&actions).len(), 2, "{actions:?}");
    let attempts: Vec<_> = granted(&actions).iter().map(|it| it.attempt).collect();
    attempts.into_iter().for_each(|it| complete(&mut host, at(1_150), it));
    actions.clear();
    host.place_waiting(at(1_150), &mut actions);
    assert_eq!(granted(&actions).len(), 4, "{actions:?}");
}

#[test]
fn the_later_end_applies_and_answers_to_earlier_requests_change_nothing() {
    let mut host = host("host", &engines(1));
    let attempts: Vec<_> =
        (1..=5).map(|it| place(&mut host, at(0), &request(at(0), it)).1).collect();
    refuse(&mut host, at(10), attempts[0], Span::from_ms(1_000));
    refuse(&mut host, at(20), attempts[1], Span::from_ms(100));
    refuse(&mut host, at(30), attempts[2], Span::from_ms(1_200));
    complete(&mut host, at(40), attempts[3]);
    assert!(granted(&submit(&mut host, at(1_229), 6)).is_empty());
    let mut actions = Vec::new();
    host.place_waiting(at(1_230), &mut actions);
    assert_eq!(granted(&actions).len(), 1, "{actions:?}");
    // The last of the earlier requests is answered only now.
    complete(&mut host, at(1_235), attempts[4]);
    assert!(granted(&submit(&mut host, at(1_240), 7)).is_empty());
}

#[test]
fn a_request_that_is_refused_at_the_end_begins_another_back_off() {
    let mut host = host_after_refusal(Span::from_ms(1_000));
    let probe = grant(&mut host, at(1_000), &request(at(1_000), 2));
    refuse(&mut host, at(1_010), probe.attempt, Span::from_ms(300));
    assert!(granted(&submit(&mut host, at(1_309), 3)).is_empty());
    let mut actions = Vec::new();
    host.place_waiting(at(1_310), &mut actions);
    assert_eq!(granted(&actions).len(), 1, "{actions:?}");
}

#[test]
fn a_request_without_an_answer_does_not_keep_others_out() {
    let mut host = host_after_refusal(Span::from_ms(1_000));
    grant(&mut host, at(1_000), &request(at(1_000), 2));
    assert!(granted(&submit(&mut host, at(1_100), 3)).is_empty());
    let mut actions = Vec::new();
    host.place_waiting(at(1_249), &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    host.place_waiting(at(1_250), &mut actions);
    assert_eq!(granted(&actions).len(), 1, "{actions:?}");
}

#[test]
fn a_cancelled_request_leaves_its_turn_to_the_next() {
    let mut host = host_after_refusal(Span::from_ms(1_000));
    let probe = grant(&mut host, at(1_000), &request(at(1_000), 2));
    host.attempt_ended(at(1_010), probe.attempt, Ending::Cancelled);
    grant(&mut host, at(1_010), &request(at(1_010), 3));
}

#[test]
fn requests_that_are_granted_already_see_the_back_off() {
    let mut host = host("host", &engines(1));
    let refused = grant(&mut host, at(0), &request(at(0), 1));
    let held = grant(&mut host, at(0), &request(at(0), 2));
    assert!(!held.gate.is_closed(at(0)));
    refuse(&mut host, at(10), refused.attempt, Span::from_ms(1_000));
    assert!(held.gate.is_closed(at(10)) && held.gate.is_closed(at(1_009)));
    assert!(!held.gate.is_closed(at(1_010)));
}

#[test]
fn a_restart_ends_a_back_off_and_a_lapsed_entry_does_not() {
    let mut engines = engines(1);
    let mut host = host("host", &engines);
    let (_, refused) = place(&mut host, at(0), &request(at(0), 1));
    let (_, in_flight) = place(&mut host, at(0), &request(at(0), 2));
    refuse(&mut host, at(10), refused, Span::from_ms(10_000));
    host.set_upstreams(&[]);
    // Its entry has lapsed when this answer arrives.
    refuse(&mut host, at(20), in_flight, Span::from_ms(20_000));
    host.set_upstreams(&engines);
    assert!(granted(&submit(&mut host, at(15_000), 3)).is_empty());
    engines[0].started_ms += 1;
    host.set_upstreams(&engines);
    grant(&mut host, at(15_010), &request(at(15_010), 4));
    grant(&mut host, at(15_010), &request(at(15_010), 5));
}

#[test]
fn a_refusal_that_arrives_after_the_entry_has_lapsed_counts() {
    let engines = engines(1);
    let mut host = host("host", &engines);
    let (_, in_flight) = place(&mut host, at(0), &request(at(0), 1));
    let (_, other) = place(&mut host, at(0), &request(at(0), 2));
    host.set_upstreams(&[]);
    refuse(&mut host, at(10), in_flight, Span::from_ms(2_000));
    host.set_upstreams(&engines);
    assert!(granted(&submit(&mut host, at(100), 3)).is_empty());
    // The entry is back when this one arrives.
    refuse(&mut host, at(200), other, Span::from_ms(5_000));
    assert!(granted(&submit(&mut host, at(5_100), 4)).is_empty());
}

#[test]
fn the_longest_times_neither_overflow_nor_reach_callers() {
    let mut host = host_after_refusal(Span(u64::MAX));
    let actions = submit(&mut host, at(100), 2);
    let [Action::Refuse(_, Kind::Shed, Some(delay))] = actions[..] else { panic!("{actions:?}") };
    assert!((30_000..=60_000).contains(&delay.as_ms()), "{delay:?}");
    // One more would say that the engine leaves for good.
    assert_eq!(host.local_loads(at(100))[0].ejected_ms, messages::Load::LEAVES - 1);
}

#[test]
fn callers_get_the_earliest_end_spread_over_them() {
    let mut host = host("host", &engines(2));
    for (number, ms) in [(1, 3_000), (2, 8_000)] {
        let ticket =
            Ticket { tried: vec![UpstreamKey(3 - number as u32)], ..request(at(0), number) };
        let (_, attempt) = place(&mut host, at(0), &ticket);
        refuse(&mut host, at(0), attempt, Span::from_ms(ms));
    }
    let mut delays = Vec::new();
    for number in 3..103 {
        let actions = submit(&mut host, at(1_000), number);
        let [Action::Refuse(_, Kind::Shed, Some(delay))] = actions[..] else {
            panic!("{actions:?}")
        };
        delays.push(delay.as_ms());
    }
    let (least, most) = (delays.iter().min(), delays.iter().max());
    assert!(least >= Some(&2_000) && most <= Some(&4_000), "{least:?} to {most:?}");
    assert!(least < Some(&2_200) && most > Some(&3_800), "{least:?} to {most:?}");
    // A request that both refused is told the same.
    let ticket = Ticket { tried: vec![UpstreamKey(1), UpstreamKey(2)], ..request(at(1_000), 200) };
    let mut actions = Vec::new();
    host.submit(at(1_000), &ticket, &mut actions);
    let [Action::Refuse(_, Kind::NoUpstream, Some(delay))] = actions[..] else {
        panic!("{actions:?}")
    };
    assert!((2_000..=4_000).contains(&delay.as_ms()), "{delay:?}");
}

#[test]
fn other_hosts_prefer_other_engines_and_may_use_this_one() {
    let engines = engines(2);
    let mut refused = host("refused", &engines);
    let (busy, attempt) = place(&mut refused, at(0), &request(at(0), 1));
    refuse(&mut refused, at(0), attempt, Span::from_ms(5_000));
    let mut other = host("other", &engines);
    other.set_remote_loads(at(100), &refused.local_loads(at(100)));
    let chosen = place(&mut other, at(100), &request(at(100), 1)).0;
    assert_ne!(chosen, busy);
    let only: Vec<_> = engines.into_iter().filter(|it| *it.id == *busy).collect();
    other.set_upstreams(&only);
    assert_eq!(place(&mut other, at(200), &request(at(200), 2)).0, busy);
}

#[test]
fn a_permit_is_not_used_during_a_back_off() {
    let mut host = host("host", &engines(1));
    let (_, first) = place(&mut host, at(0), &request(at(0), 1));
    let (_, second) = place(&mut host, at(0), &request(at(0), 2));
    let mut actions = Vec::new();
    let named = Named::Rate(Rate::new(5.0).expect("the rate is valid"));
    host.limit_named(at(10), (first, at(0)), named, &mut actions);
    complete(&mut host, at(10), first);
    host.submit(at(20), &request(at(20), 3), &mut actions);
    let [Action::Ask(ticket, upstream, _)] = actions[..] else { panic!("{actions:?}") };
    refuse(&mut host, at(30), second, Span::from_ms(1_000));
    actions.clear();
    let answer = (Decision::Granted, Limit::default());
    host.permit_answered(at(40), (ticket, upstream), at(20), answer, &mut actions);
    assert!(matches!(actions[..], [Action::Refuse(..)]), "{actions:?}");
}

#[test]
fn the_recovery_ends_with_as_many_answers_as_slots() {
    let mut backoff = Backoff::default();
    backoff.begin(at(0), at(100));
    for number in 0..4 {
        assert!(backoff.is_active());
        assert!(!backoff.may_send(at(99)) && backoff.may_send(at(200)));
        backoff.record_grant(at(200), AttemptKey(number));
        backoff.record_answer(AttemptKey(number), 4);
    }
    assert!(!backoff.is_active());
}

/// Requests that arrive each millisecond at a host whose engines all back off until 2,000 ms, and requests that are sent
/// to each engine in steps of 50 ms after that. An engine answers after 20 ms.
#[test]
fn requests_that_waited_for_the_end_come_one_after_the_other_at_first() {
    let mut host = host("host", &engines(3));
    for number in 1..=3 {
        let tried = (1..=3).filter(|it| *it != number as u32).map(UpstreamKey).collect();
        let (_, attempt) = place(&mut host, at(0), &Ticket { tried, ..request(at(0), number) });
        refuse(&mut host, at(0), attempt, Span::from_ms(2_000));
    }
    let mut actions = Vec::new();
    let mut running: Vec<(u64, AttemptKey)> = Vec::new();
    let mut sent: BTreeMap<u64, usize> = BTreeMap::new();
    let mut refused = 0;
    let began = Instant::now();
    for ms in 100..2_600 {
        let ended = running.partition_point(|it| it.0 <= ms);
        running.drain(..ended).for_each(|it| complete(&mut host, at(ms), it.1));
        for number in 0..2 {
            host.submit(at(ms), &request(at(ms), 10 + ms * 2 + number), &mut actions);
        }
        if ms.is_multiple_of(20) {
            host.place_waiting(at(ms), &mut actions);
        }
        for action in actions.drain(..) {
            match action {
                Action::Grant(_, grant) => {
                    *sent.entry(ms / 50 * 50).or_default() += 1;
                    running.push((ms + 20, grant.attempt));
                }
                Action::Refuse(_, Kind::Shed, Some(_)) => refused += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    let took = began.elapsed();
    let steps: Vec<_> = sent.range(..2_250).collect();
    assert!(sent.keys().all(|it| *it >= 2_000), "{steps:?}");
    // One request to each engine, two after the first answer and four after those.
    assert!(sent[&2_000] <= 3 * (1 + 2 + 4), "{steps:?}");
    let total: usize = sent.values().sum();
    assert!(total + refused >= 4_900, "{total} sent and {refused} refused");
    assert!(total >= 1_800, "{total} sent of about 2,000 that waited or came later: {steps:?}");
    assert!(took < Duration::from_secs(10), "placing took {took:?}");
}
