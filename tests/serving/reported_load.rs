//! Placement on upstreams of different speed that share their machines, and report their load to hosts that each see a small
//! part of the traffic. Each replay runs with the reports and with them withheld.

use std::{
    cell::Cell,
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    rc::Rc,
};

use almondrack::{
    serving::{
        dialect::Prompt,
        key::AttemptKey,
        loads::Loads,
        messages::{Change, Load, Prefix, Update},
        placement::{Placement, Ticket},
        reported_load::{Dated, Heard, MAX_NEWS, News, Report, Source},
        upstream_state,
    },
    time::{Span, Time},
    wire::Ending,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use crate::fixture::{at, engines, grant, host, prompt, ticket};

/// Interval at which hosts exchange what they know.
const EXCHANGE_MS: u64 = 200;

/// How a replay is played.
#[derive(Debug, Clone)]
struct Pattern {
    upstreams: usize,
    slots: u32,
    hosts: usize,
    per_second: u64,
    seconds: u64,
    /// Output tokens of each answer; the upstreams are plain services that turn away what they cannot run if it is zero.
    output: u32,
    /// Whether they state how long work takes.
    reports: bool,
}

/// An upstream of the replay: it reads prompts one after the other, or runs plain requests at once.
#[derive(Debug, Clone, Copy)]
struct Upstream {
    slowness: f64,
    /// Factor by its machine's other load, anew every 50 ms.
    work: f64,
    free_at: Time,
    running: u16,
    busy: Span,
}

/// What came of a replay.
#[derive(Debug, Default)]
struct Outcome {
    /// Busiest upstream against the mean, by the time that it worked.
    busiest: f64,
    sent: u32,
    turned_away: u32,
    /// Uncached tokens that were read of parts that had been read before.
    read_again: u64,
    /// Requests whose first byte came later than 500 ms.
    late: u32,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Answered,
    Ended,
}

/// An event with its time, host, upstream and attempt; the earliest is the greatest.
type Due = Reverse<(Time, Event, usize, usize, AttemptKey)>;

fn replay(pattern: &Pattern, next: impl Fn(&mut SmallRng) -> Prompt) -> Outcome {
    let mut random = SmallRng::seed_from_u64(7);
    let mut entries = engines(pattern.upstreams);
    entries.iter_mut().for_each(|it| it.slots = pattern.slots);
    let mut hosts: Vec<_> =
        (0..pattern.hosts).map(|it| host(&format!("host-{it}"), &entries)).collect();
    // Placement alone: every request goes to an upstream at once.
    hosts.iter_mut().for_each(|it| it.set_admission(false));
    let last = (pattern.upstreams - 1) as f64;
    let upstream = |it: usize| Upstream {
        slowness: 0.6 + it as f64 / last,
        work: 1.0,
        free_at: at(0),
        running: 0,
        busy: Span(0),
    };
    let mut upstreams: Vec<_> = (0..pattern.upstreams).map(upstream).collect();
    let mut events: BinaryHeap<Due> = BinaryHeap::new();
    let mut caches: Vec<BTreeMap<u64, ()>> = vec![BTreeMap::new(); pattern.upstreams];
    let mut known = BTreeMap::new();
    let mut outcome = Outcome::default();
    let mut activity = vec![Vec::new(); pattern.hosts];
    for step in 0..pattern.per_second * pattern.seconds {
        let now = Time(at(0).0 + step * 1_000_000 / pattern.per_second);
        let earlier = Time(at(0).0 + step.saturating_sub(1) * 1_000_000 / pattern.per_second);
        while events.peek().is_some_and(|Reverse((when, ..))| *when <= now) {
            let Some(Reverse((when, event, index, on, attempt))) = events.pop() else { break };
            end(pattern, &mut hosts[index], &mut upstreams[on], when, event, attempt);
        }
        let passes = |ms: u64| now.0 / (ms * 1_000) > earlier.0 / (ms * 1_000);
        if passes(50) {
            upstreams.iter_mut().for_each(|it| {
                it.work = if random.random_bool(0.3) { random.random_range(1.0..2.5) } else { 1.0 };
            });
        }
        if passes(EXCHANGE_MS) {
            exchange(now, &mut hosts);
        }
        let index = random.random_range(0..hosts.len());
        let mut ticket = ticket(step, next(&mut random));
        ticket.target = now + Span::from_ms(1_000);
        if pattern.output == 0 {
            ticket.prompt = None;
        }
        outcome.sent += 1;
        // Streams send events all the time.
        activity[index].iter().for_each(|it: &Rc<Cell<Time>>| it.set(now));
        let grant = grant(&mut hosts[index], now, &ticket);
        activity[index].push(grant.last_activity);
        let on = entries.iter().position(|it| it.id == grant.instance);
        let (on, attempt) = (on.expect("the chosen upstream is listed"), grant.attempt);
        let state = &mut upstreams[on];
        state.running += 1;
        let ms = match &ticket.prompt {
            None if state.running > pattern.slots as u16 => {
                outcome.turned_away += 1;
                let report = report(pattern, state);
                state.running -= 1;
                hosts[index].report_heard(attempt, Dated { at: now, report });
                hosts[index].attempt_ended(now, attempt, Ending::Refused);
                continue;
            }
            None => 60.0,
            Some(prompt) => {
                let mut tokens = prompt.tokens;
                let cached = prompt.parts.iter().take_while(|it| caches[on].contains_key(&it.id));
                tokens -= cached.map(|it| it.tokens).sum::<u32>();
                for part in &prompt.parts[..prompt.parts.len() - 1] {
                    let is_read = caches[on].insert(part.id, ()).is_none();
                    if is_read && known.insert(part.id, ()).is_some() {
                        outcome.read_again += u64::from(part.tokens);
                    }
                }
                f64::from(tokens) / 40.0
            }
        };
        let took = Span((ms * 1_000.0 * state.slowness * state.work) as u64);
        let first = if pattern.output == 0 { now + took } else { now.max(state.free_at) + took };
        state.free_at = first;
        state.busy.0 += took.0;
        outcome.late += u32::from(first.since(now) > Span::from_ms(500));
        let output = f64::from(pattern.output) * 5.3 * 1_000.0 * state.slowness;
        events.push(Reverse((first, Event::Answered, index, on, attempt)));
        events.push(Reverse((first + Span(output as u64), Event::Ended, index, on, attempt)));
    }
    let busy: Vec<_> = upstreams.iter().map(|it| it.busy.0 as f64).collect();
    outcome.busiest =
        busy.iter().copied().fold(0.0, f64::max) * busy.len() as f64 / busy.iter().sum::<f64>();
    outcome
}

fn report(pattern: &Pattern, upstream: &Upstream) -> Report {
    let slots = pattern.slots as u16;
    let (running, waiting) = (upstream.running.min(slots), upstream.running.saturating_sub(slots));
    let work = pattern.reports.then_some((upstream.work * 100.0) as u16);
    Report::new(running, waiting, slots, work).expect("the figures are true")
}

fn end(
    pattern: &Pattern,
    host: &mut Placement,
    upstream: &mut Upstream,
    now: Time,
    event: Event,
    attempt: AttemptKey,
) {
    match event {
        Event::Answered => {
            host.report_heard(attempt, Dated { at: now, report: report(pattern, upstream) });
            host.attempt_answered(now, attempt);
        }
        Event::Ended => {
            upstream.running -= 1;
            host.attempt_ended(now, attempt, Ending::Done);
        }
    }
}

/// Hosts tell each other what they sent and heard. The news arrive as late as the exchanges come.
fn exchange(now: Time, hosts: &mut [Placement]) {
    let mut hub = Loads::default();
    let mut news = News::default();
    let mut placed = Vec::new();
    for (index, host) in hosts.iter_mut().enumerate() {
        hub.set_member(now, &index.to_string(), host.local_loads(now));
        news.add(&host.take_reports(), Source::Group);
        placed.extend(host.take_placed());
    }
    let message = Prefix::from_reports(now, &news.recent(now, false));
    for (index, host) in hosts.iter_mut().enumerate() {
        host.set_remote_loads(now, &hub.all_but(now, &index.to_string()));
        host.merge_reports(&message.reports(now));
        host.record_placed(now, &placed);
    }
}

#[test]
fn uneven_engines_with_noise_get_work_by_their_speed_from_many_hosts_with_late_news() {
    let pattern = Pattern {
        upstreams: 40,
        slots: 64,
        hosts: 82,
        per_second: 380,
        seconds: 20,
        output: 60,
        reports: true,
    };
    let play = |reports| {
        let pattern = Pattern { reports, ..pattern.clone() };
        replay(&pattern, |random| prompt(&[], 0, random.random_range(1_000..4_000)))
    };
    let (with, without) = (play(true), play(false));
    assert!(with.busiest <= 1.2, "{with:?}");
    assert!(without.busiest > with.busiest, "{with:?} {without:?}");
    assert!(without.late * 5 > with.late * 6, "{with:?} {without:?}");
}

#[test]
fn a_hot_part_is_read_by_several_engines_and_not_by_all() {
    let pattern = Pattern {
        upstreams: 40,
        slots: 64,
        hosts: 60,
        per_second: 150,
        seconds: 20,
        output: 60,
        reports: true,
    };
    let play = |reports| {
        let pattern = Pattern { reports, ..pattern.clone() };
        replay(&pattern, |random| {
            let part = if random.random_bool(0.5) { 1 } else { random.random_range(2..200) };
            prompt(&[0, part], 1_500, 1_500)
        })
    };
    let (with, without) = (play(true), play(false));
    assert!(with.late * 20 <= with.sent, "{with:?}");
    assert!(without.late > with.late, "{without:?}");
    assert!(with.read_again <= without.read_again, "{with:?} {without:?}");
}

#[test]
fn full_plain_services_turn_few_requests_away() {
    let pattern = Pattern {
        upstreams: 6,
        slots: 6,
        hosts: 82,
        per_second: 220,
        seconds: 20,
        output: 0,
        reports: true,
    };
    let play = |reports| replay(&Pattern { reports, ..pattern.clone() }, |_| prompt(&[], 0, 1));
    let (with, without) = (play(true), play(false));
    assert!(with.turned_away * 20 <= with.sent, "{with:?}");
    assert!(without.turned_away > with.turned_away * 2, "{without:?}");
}

fn dated(ms: u64, running: u16, work: u16) -> Dated {
    let report = Report::new(running, 0, 24, Some(work)).expect("the figures are true");
    Dated { at: at(ms), report }
}

#[test]
fn old_news_lose_weight_and_older_news_are_ignored() {
    let mut heard = Heard::default();
    assert_eq!((heard.work(at(0)), heard.company(at(0), 7, 2)), (1.0, 7));
    assert!(heard.record(dated(0, 20, 100)));
    assert!(heard.record(dated(100, 20, 200)));
    assert!(!heard.record(dated(50, 0, 900)), "an older report comes later");
    assert!((1.99..=2.0).contains(&heard.work(at(100))));
    assert!(heard.work(at(1_500)) < 1.1, "the mean counts in the end: {}", heard.work(at(1_500)));
    heard.record_change(at(110), 1);
    assert_eq!(heard.company(at(110), 5, 1), 21);
    assert_eq!(heard.company(at(5_000), 5, 1), 5);
    assert_eq!(heard.company(at(5_000), 0, 1), 1, "its own attempts run there");
}

#[test]
fn reports_pass_between_hosts_in_bounded_messages_and_damaged_ones_count_as_none() {
    let mut news = News::default();
    let many: Vec<_> = (0..1_000).map(|it| (it, dated(it, 3, 150))).collect();
    news.add(&many, Source::Elsewhere);
    news.add(&[(5_000, dated(990, 4, 120))], Source::Group);
    let recent = news.recent(at(1_000), false);
    assert_eq!(recent.len(), MAX_NEWS);
    assert!(recent.iter().all(|it| it.1.at > at(700)), "the newest are passed on");
    let for_hub = news.recent(at(1_000), true);
    assert_eq!(for_hub, [(5_000, dated(990, 4, 120))]);
    let message = Prefix::from_reports(at(1_000), &for_hub);
    assert_eq!(message.reports(at(2_000)), [(5_000, dated(1_990, 4, 120))]);
    // A report without a work time, one that is cut short, and another message.
    let value = message.update.expect("it holds reports").changes[0].value.clone();
    let mut bytes = value.expect("it holds reports").0.to_vec();
    bytes[14] = 0;
    bytes.extend([1; 7]);
    for key in ["reported-load", "crash-evidence"] {
        let value = Some(bytes.clone().into());
        let changes = vec![Change { key: key.to_owned(), revision: 0, value }];
        let update = Some(Update { is_listing: true, changes, revision: 0 });
        assert!(Prefix { age_us: None, update }.reports(at(0)).is_empty());
    }
}

#[test]
fn an_engine_that_is_nearly_full_is_avoided() {
    let entries = engines(2);
    let mut host = host("host", &entries);
    host.set_capacities(vec![(crate::fixture::POOL.into(), 20_000)]);
    let mut number = 0;
    let mut place = |host: &mut Placement, ms, tokens| {
        number += 1;
        grant(host, at(ms), &ticket(number, prompt(&[], 0, tokens)))
    };
    let large = place(&mut host, 0, 15_000);
    host.report_heard(large.attempt, dated(10, 1, 100));
    host.attempt_answered(at(10), large.attempt);
    // The other engine has more to read, but memory for one more.
    let other = place(&mut host, 20, 5_000);
    assert_ne!(other.upstream, large.upstream);
    host.report_heard(other.attempt, dated(30, 1, 100));
    let next = place(&mut host, 40, 5_000);
    assert_eq!(next.upstream, other.upstream, "the other one holds 15,000 of 20,000 tokens");
}

#[test]
fn an_upstream_that_refuses_though_it_has_room_is_ejected() {
    let is_ejected = |running| {
        let mut host = host("host", &engines(1));
        let grant = grant(&mut host, at(0), &ticket(1, prompt(&[], 0, 100)));
        host.report_heard(grant.attempt, dated(1, running, 100));
        host.attempt_ended(at(1), grant.attempt, Ending::Refused);
        host.local_loads(at(2)).iter().any(|it| it.ejected_ms > 0)
    };
    assert!(is_ejected(3));
    assert!(!is_ejected(24), "it is full and not at fault");
}

#[test]
fn a_full_plain_service_without_a_report_gets_less_than_others_in_its_pool() {
    let entries = engines(2);
    let mut host = host("host", &entries);
    let [reports, silent] = [0, 1].map(|it| upstream_state::incarnation_id(&entries[it]));
    host.merge_reports(&[(reports, dated(0, 4, 100))]);
    let full = Load { upstream: silent, pending: Default::default(), running: 24, ejected_ms: 0 };
    host.set_remote_loads(at(0), &[full]);
    let to_full = (1..=20).filter(|it| {
        let plain = Ticket { prompt: None, ..ticket(*it, prompt(&[], 0, 1)) };
        &*grant(&mut host, at(1), &plain).instance == "engine-1"
    });
    assert_eq!(to_full.count(), 0);
}
