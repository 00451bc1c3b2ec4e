//! Copies of slow requests: when they are sent under the load patterns that they are designed for and not for, and what
//! becomes of the two attempts.

use std::{
    cell::RefCell,
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use almondrack::{
    error::{Error, Kind, Run},
    rendezvous,
    serving::{
        buffer_memory,
        crash_evidence::Content,
        exchange::{Body, CallerResponse, RoutedRequest},
        hedge::{Denial, Hedger, Outcome, Path},
        key::{AttemptKey, TicketKey, UpstreamKey},
        placement::{Action, Grant, Placement, Ticket},
        rate_limit,
        registry::Entry,
        settings::Settings,
        table::RetryPolicy,
        usage::Meter,
    },
    suspicion::Progress,
    time::{Span, Time},
    wire::Ending,
};
use expect_test::expect;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::LocalSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    exchange::{open_hedged, routed_request},
    fixture::{POOL, at, engine, engines, grant, host, prompt, ticket},
};

/// Upstreams of a replay, with six slots each.
const UPSTREAMS: usize = 6;

/// Requests a second of a replay without a burst.
const RATE: u64 = 100;

/// Time after which the load pattern of a replay begins.
const PATTERN_START_MS: u64 = 20_000;

/// Length of a replay.
const REPLAY_MS: u64 = 120_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pattern {
    /// One upstream takes six times as long for a sixth of its requests.
    Pauses,
    /// One upstream takes six times as long for all requests.
    Slow,
    /// All upstreams take four times as long.
    AllSlow,
    /// Each upstream takes 2.5 times as long for 15% of the time.
    Noise,
    /// Six times as many requests for five seconds.
    Burst,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Due(usize),
    Answer(usize, AttemptKey),
}

struct Replayed {
    arrived_at: Time,
    /// Attempts in flight, the first one first.
    attempts: Vec<(Grant, Time)>,
    took: Option<Span>,
    copied_at: Option<Time>,
}

#[derive(Debug)]
struct Summary {
    /// Requests from the start of the pattern on.
    requests: usize,
    copies: usize,
    /// Copies from the time at which a burst is felt until it ends.
    copies_in_burst: usize,
    p99: Span,
}

/// Returns a number from 0 to 1 that the given ones determine.
fn draw(seeds: [u64; 3]) -> f64 {
    let seeds = seeds.map(u64::to_be_bytes);
    rendezvous::hash(&seeds.each_ref().map(|it| it.as_slice())) as f64 / u64::MAX as f64
}

fn slowness(pattern: Pattern, now: Time, upstream: UpstreamKey, number: u64) -> f64 {
    let ms = now.since(at(0)).as_ms();
    let key = u64::from(upstream.0);
    match pattern {
        _ if ms < PATTERN_START_MS => 1.0,
        Pattern::Pauses if key == 1 && draw([3, number, 0]) < 1.0 / 6.0 => 6.0,
        Pattern::Slow if key == 1 => 6.0,
        Pattern::AllSlow => 4.0,
        Pattern::Noise if draw([7, key, ms / 1_500]) < 0.15 => 2.5,
        _ => 1.0,
    }
}

/// Sends requests to six upstreams as the exchange does, with service times that are drawn by request and attempt.
fn replay(pattern: Pattern, share: f64) -> Summary {
    let mut entries = engines(UPSTREAMS);
    entries.iter_mut().for_each(|it| it.slots = 6);
    let mut placement = host("host", &entries);
    let mut hedger = Hedger::new(share);
    let (pool, route): (Arc<str>, Arc<str>) = (POOL.into(), "route".into());
    let path = Path { pool: &pool, route: &route };
    let mut requests: Vec<Replayed> = Vec::new();
    let mut in_flight = BTreeMap::<UpstreamKey, u32>::new();
    let mut events = BinaryHeap::from([Reverse((at(0), Event::Arrival))]);
    let end = at(REPLAY_MS);
    let (deadline, new_ticket) = (Span::from_ms(1_500), |number: usize, now: Time| Ticket {
        prompt: None,
        deadline: now + Span::from_ms(1_500),
        target: now + Span::from_ms(300),
        ..ticket(number as u64, prompt(&[], 0, 0))
    });
    while let Some(Reverse((now, event))) = events.pop() {
        let sent = match event {
            Event::Arrival => {
                let ms = now.since(at(0)).as_ms();
                let is_burst = pattern == Pattern::Burst && (40_000..45_000).contains(&ms);
                let rate = RATE * if is_burst { 6 } else { 1 };
                let gap = -draw([1, requests.len() as u64, 0]).max(1e-9).ln() * 1e6 / rate as f64;
                if now + Span(gap as u64) < end {
                    events.push(Reverse((now + Span(gap as u64), Event::Arrival)));
                }
                let number = requests.len();
                let grant = grant(&mut placement, now, &new_ticket(number, now));
                hedger.record_request(&pool);
                let delay = hedger.delay(now, path, grant.expected_first_byte, deadline);
                if let Some(delay) = delay {
                    events.push(Reverse((now + delay, Event::Due(number))));
                }
                let attempts = vec![(grant, now)];
                requests.push(Replayed { arrived_at: now, attempts, took: None, copied_at: None });
                Some(number)
            }
            Event::Due(number) => {
                let request = &mut requests[number];
                let may_copy = request.took.is_none() && hedger.check(&pool).is_ok();
                let first = request.attempts.first().map(|it| it.0.upstream);
                let ticket = Ticket {
                    is_hedge: true,
                    tried: first.into_iter().collect(),
                    ..new_ticket(number, now)
                };
                let mut actions = Vec::new();
                if may_copy {
                    placement.submit(now, &ticket, &mut actions);
                }
                match actions.pop() {
                    Some(Action::Grant(_, grant)) => {
                        assert_ne!(Some(grant.upstream), first, "a copy goes elsewhere");
                        hedger.record_copy(&pool);
                        request.copied_at = Some(now);
                        request.attempts.push((grant, now));
                        Some(number)
                    }
                    _ => None,
                }
            }
            Event::Answer(number, key) => {
                let request = &mut requests[number];
                if request.took.is_some() {
                    continue;
                }
                request.took = Some(now.since(request.arrived_at));
                let is_hedged = request.attempts.len() > 1;
                for (place, (grant, sent_at)) in request.attempts.drain(..).enumerate() {
                    *in_flight.entry(grant.upstream).or_default() -= 1;
                    let is_winner = grant.attempt == key;
                    let took = now.since(sent_at);
                    if is_winner {
                        placement.attempt_answered(now, grant.attempt);
                    } else if place == 0 {
                        placement.attempt_overtaken(now, grant.attempt);
                    }
                    let ending = if is_winner { Ending::Done } else { Ending::Cancelled };
                    placement.attempt_ended(now, grant.attempt, ending);
                    if is_winner || place == 0 {
                        hedger.record_first_byte(now, path, grant.expected_first_byte, took);
                    }
                    if is_hedged && is_winner {
                        let outcome = if place == 0 { Outcome::Lost } else { Outcome::Won };
                        hedger.record_outcome(&pool, outcome);
                    }
                }
                None
            }
        };
        if let Some(number) = sent
            && let Some((grant, _)) = requests[number].attempts.last()
        {
            let company = in_flight.entry(grant.upstream).or_default();
            *company += 1;
            let crowding = (f64::from(*company) / 6.0).max(1.0);
            let attempt = requests[number].attempts.len() as u64;
            let variation = 0.8 + 0.5 * draw([2, number as u64, attempt]);
            let factor =
                slowness(pattern, now, grant.upstream, number as u64) * variation * crowding;
            let answer_at = now + Span((60_000.0 * factor) as u64);
            events.push(Reverse((answer_at, Event::Answer(number, grant.attempt))));
        }
    }
    summary(&requests)
}

fn summary(requests: &[Replayed]) -> Summary {
    let counted: Vec<_> =
        requests.iter().filter(|it| it.arrived_at >= at(PATTERN_START_MS)).collect();
    let mut times: Vec<_> = counted.iter().filter_map(|it| it.took).collect();
    times.sort_unstable();
    let copied_at = |it: &&Replayed| it.copied_at.map(|it| it.since(at(0)).as_ms());
    let copies: Vec<_> = counted.iter().filter_map(copied_at).collect();
    Summary {
        requests: counted.len(),
        copies: copies.len(),
        copies_in_burst: copies.iter().filter(|it| (40_100..45_000).contains(*it)).count(),
        p99: times[times.len() * 99 / 100],
    }
}

/// Returns a replay without copies and one with at most one for 20 requests.
fn with_and_without(pattern: Pattern) -> (Summary, Summary) {
    let (without, with) = (replay(pattern, 0.0), replay(pattern, 0.05));
    assert_eq!((without.copies, without.requests), (0, with.requests));
    assert!(with.copies * 20 <= with.requests, "{with:?}");
    (without, with)
}

#[test]
fn copies_cut_the_slowest_answers_where_one_of_six_upstreams_pauses() {
    let (without, with) = with_and_without(Pattern::Pauses);
    assert!(with.p99.0 * 3 <= without.p99.0 * 2, "{with:?} instead of {without:?}");
}

#[test]
fn copies_cut_the_slowest_answers_where_one_of_six_upstreams_is_always_slow() {
    let (without, with) = with_and_without(Pattern::Slow);
    assert!(with.p99.0 * 3 <= without.p99.0 * 2, "{with:?} instead of {without:?}");
}

#[test]
fn few_copies_are_sent_where_all_upstreams_are_slow_alike() {
    let (without, with) = with_and_without(Pattern::AllSlow);
    assert!(with.copies * 200 <= with.requests, "{with:?}");
    assert!(with.p99.0 * 100 <= without.p99.0 * 102, "{with:?} instead of {without:?}");
}

#[test]
fn noise_on_more_requests_than_may_be_copied_takes_few_copies() {
    let (without, with) = with_and_without(Pattern::Noise);
    assert!(with.copies * 50 <= with.requests, "{with:?}");
    assert!(with.p99.0 * 100 <= without.p99.0 * 102, "{with:?} instead of {without:?}");
}

#[test]
fn no_copies_are_sent_in_a_burst() {
    let (without, with) = with_and_without(Pattern::Burst);
    assert_eq!(with.copies_in_burst, 0, "{with:?}");
    assert!(with.p99.0 * 100 <= without.p99.0 * 102, "{with:?} instead of {without:?}");
}

#[test]
fn all_hosts_together_keep_to_the_share() {
    let pool: Arc<str> = POOL.into();
    let mut copies = 0;
    for _ in 0..80 {
        let mut hedger = Hedger::new(0.05);
        for number in 0..100 {
            hedger.record_request(&pool);
            if number >= 50 && hedger.check(&pool).is_ok() {
                hedger.record_copy(&pool);
                hedger.record_outcome(&pool, Outcome::Won);
                copies += 1;
            }
        }
        assert_eq!(hedger.check(&pool), Err(Denial::Share));
    }
    assert!((300..=400).contains(&copies), "{copies} copies of 8,000 requests");
}

#[test]
fn a_copy_is_not_due_when_the_deadline_leaves_no_time_for_it() {
    let mut hedger = hedger();
    let path = Path { pool: &POOL.into(), route: &"other".into() };
    // The pool's samples stand in for those of a new route.
    let mut due = |ms| {
        let expected = Span::from_ms(20);
        hedger.delay(Time::now(), path, expected, Span::from_ms(ms)).map(Span::as_ms)
    };
    assert_eq!([due(40), due(59), due(100)], [None, None, Some(30)]);
    let mut unused = Hedger::new(0.2);
    assert_eq!(unused.delay(at(0), path, Span::from_ms(20), Span::from_ms(1_000)), None);
}

fn submit_copy(host: &mut Placement, now: Time, first: &Grant, contents: &[Content]) -> Action {
    let copy = Ticket {
        is_hedge: true,
        tried: vec![first.upstream],
        contents: contents.to_vec(),
        ..ticket(9, prompt(&[], 0, 100))
    };
    let mut actions = Vec::new();
    host.submit(now, &copy, &mut actions);
    actions.pop().expect("a copy never waits")
}

#[test]
fn a_copy_goes_neither_beside_waiting_requests_nor_to_a_limited_upstream() {
    let mut host = host("host", &engines(2));
    let first = grant(&mut host, at(0), &ticket(1, prompt(&[], 0, 100)));
    assert!(matches!(submit_copy(&mut host, at(1), &first, &[]), Action::Grant(_, it)
        if it.upstream != first.upstream));
    let named = rate_limit::Named::Rate(rate_limit::Rate::new(2.0).expect("the rate is valid"));
    let mut actions = Vec::new();
    host.limit_named(at(10), (first.attempt, at(0)), named, &mut actions);
    let other = Ticket { tried: vec![first.upstream], ..ticket(2, prompt(&[], 0, 100)) };
    let other = grant(&mut host, at(20), &other);
    // The other attempt's copy could only go to the upstream with the limit.
    let refusal = submit_copy(&mut host, at(30), &other, &[]);
    assert!(matches!(refusal, Action::Refuse(_, Kind::Shed, None)), "{refusal:?}");
    let waiting = Ticket { tried: vec![other.upstream], ..ticket(3, prompt(&[], 0, 100)) };
    host.submit(at(40), &waiting, &mut actions);
    assert!(matches!(actions.as_slice(), [Action::Ask(TicketKey(3), ..)]), "{actions:?}");
    let refusal = submit_copy(&mut host, at(50), &first, &[]);
    assert!(matches!(refusal, Action::Refuse(_, Kind::Shed, None)), "{refusal:?}");
    host.withdraw(TicketKey(3));
    assert!(matches!(submit_copy(&mut host, at(60), &first, &[]), Action::Grant(..)));
}

#[test]
fn content_that_may_crash_upstreams_is_not_copied() {
    let mut host = host("host", &engines(6));
    let contents = [Content::Request(7)];
    let send = |host: &mut Placement, number, ms| {
        let ticket = Ticket { contents: contents.to_vec(), ..ticket(number, prompt(&[], 0, 100)) };
        grant(host, at(ms), &ticket)
    };
    let first = send(&mut host, 1, 0);
    assert!(matches!(submit_copy(&mut host, at(1), &first, &contents), Action::Grant(..)));
    for number in 2..4 {
        let sent_ms = 1_000 * number;
        let attempt = send(&mut host, number, sent_ms).attempt;
        host.attempt_broken_off(attempt, Progress::HEAD);
        host.attempt_ended(at(sent_ms + 50), attempt, Ending::Failed);
    }
    let refusal = submit_copy(&mut host, at(4_000), &first, &contents);
    assert!(matches!(refusal, Action::Refuse(_, Kind::Quarantined, None)), "{refusal:?}");
}

#[test]
fn the_share_is_zero_unless_set_and_has_limits() {
    let settings = |line: &str| {
        let text = "host-id = h\nzone = a\nzones = a\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n\
                    peers = 127.0.0.1:3\nstore = 127.0.0.1:4\ngrace-s = 8\nretry-window-s = 10\n\
                    retry-ratio = 0.2\nretry-allowance = 52\n";
        match Settings::parse(&format!("{text}{line}")) {
            Ok(it) => it.hedge_share.to_string(),
            Err(faults) => faults.iter().map(ToString::to_string).collect(),
        }
    };
    let lines =
        ["", "hedge-share = 0.05", "hedge-share = 5%", "hedge-share = 0.5", "hedge-share = NaN"];
    expect![[r#"
        0
        0.05
        hedge-share: '5%' is not valid; expected a share from 0 to 0.2, as in 0.05
        hedge-share: '0.5' is not valid; expected a share from 0 to 0.2, as in 0.05
        hedge-share: 'NaN' is not valid; expected a share from 0 to 0.2, as in 0.05"#]]
    .assert_eq(&lines.map(settings).join("\n"));
}

/// What an upstream does with a request.
#[derive(Debug, Clone, Copy)]
struct Script {
    after: Duration,
    /// Empty to close the connection.
    answer: &'static str,
}

const fn script(after_ms: u64, answer: &'static str) -> Script {
    Script { after: Duration::from_millis(after_ms), answer }
}

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none";
const OTHER_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ntwo";
const FAILURE: &str = "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n";
const CUT: &str = "";

/// A request that an upstream received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Received {
    upstream: usize,
    /// Whether the router closed the connection before the answer.
    is_cancelled: bool,
}

type Scripts = Rc<[Script]>;
type Log = Rc<RefCell<Vec<Received>>>;

/// Starts an upstream that treats the requests of all upstreams as the scripts say, in the order of their arrival.
async fn upstream(index: usize, scripts: Scripts, log: Log) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let mut entry = engine(index);
    entry.address = listener.local_addr().expect("the socket is bound");
    tokio::task::spawn_local(async move {
        while let Ok((router, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(router, index, scripts.clone(), log.clone()));
        }
    });
    entry
}

async fn serve(mut router: TcpStream, upstream: usize, scripts: Scripts, log: Log) {
    let mut bytes = [0; 4_096];
    while router.read(&mut bytes).await.is_ok_and(|it| it > 0) {
        let place = log.borrow().len();
        log.borrow_mut().push(Received { upstream, is_cancelled: false });
        let script = scripts[place.min(scripts.len() - 1)];
        if let Ok(end) = timeout(script.after, router.read(&mut bytes)).await {
            assert!(!end.is_ok_and(|it| it > 0), "a connection carries one request at a time");
            log.borrow_mut()[place].is_cancelled = true;
            return;
        }
        if script.answer == CUT || router.write_all(script.answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A hedger for which an answer is late after 30 ms.
fn hedger() -> Hedger {
    let mut hedger = Hedger::new(0.2);
    let pool = POOL.into();
    let path = Path { pool: &pool, route: &"route".into() };
    for _ in 0..40 {
        hedger.record_first_byte(Time::now(), path, Span::from_ms(20), Span::from_ms(30));
        hedger.record_request(&pool);
    }
    hedger
}

struct Observation {
    response: Option<Result<CallerResponse, Error>>,
    took: Duration,
    received: Vec<Received>,
    billed: u64,
    /// Lines of metrics on hedges.
    metrics: String,
}

/// Runs a request with three upstreams. The caller leaves after `patience`.
async fn run(
    request: RoutedRequest,
    scripts: &[Script],
    (patience, is_draining): (Duration, bool),
) -> Observation {
    let (log, scripts) = (Log::default(), Scripts::from(scripts));
    let mut entries = Vec::new();
    for index in 0..3 {
        entries.push(upstream(index, scripts.clone(), log.clone()).await);
    }
    let meter = Meter::new(Span::from_ms(60_000), "host-1");
    let memory = buffer_memory::Memory::new(1 << 20);
    let draining = watch::channel(is_draining).1;
    let (exchange, metrics) = open_hedged(entries, memory, meter.clone(), (hedger(), draining));
    let start = Instant::now();
    let response = timeout(patience, exchange.run(request)).await.ok();
    let took = start.elapsed();
    // The upstreams see closed connections by then.
    sleep(Duration::from_millis(50)).await;
    let counts = meter.take_changed(false).into_iter().flat_map(|it| it.counts);
    let text = metrics.render();
    let lines = text.lines().filter(|it| it.contains("hedge") && !it.starts_with('#'));
    let lines: Vec<_> = lines.filter(|it| !it.contains("seconds")).collect();
    let received = log.borrow().clone();
    let billed = counts.map(|it| it.1).sum();
    Observation { response, took, received, billed, metrics: lines.join("\n") }
}

const PATIENT: (Duration, bool) = (Duration::from_secs(5), false);

async fn run_locally(request: RoutedRequest, scripts: &[Script]) -> Observation {
    LocalSet::new().run_until(run(request, scripts, PATIENT)).await
}

fn repeatable() -> RoutedRequest {
    routed_request(false, RetryPolicy::Always)
}

fn body(observed: &Observation) -> &[u8] {
    match &observed.response {
        Some(Ok(CallerResponse { body: Body::Complete(body), .. })) => body,
        other => panic!("the response is not complete: {other:?}"),
    }
}

fn cancelled(observed: &Observation) -> Vec<bool> {
    observed.received.iter().map(|it| it.is_cancelled).collect()
}

#[tokio::test]
async fn the_copy_answers_first_and_the_first_attempt_is_cancelled() {
    let scripts = &[script(1_500, ANSWER), script(10, OTHER_ANSWER)];
    let observed = run_locally(repeatable(), scripts).await;
    assert_eq!(body(&observed), b"two");
    assert_eq!(cancelled(&observed), [true, false]);
    assert_ne!(observed.received[0].upstream, observed.received[1].upstream);
    assert!(observed.took < Duration::from_millis(500), "{:?}", observed.took);
    assert_eq!(observed.billed, 1);
    expect![[r#"almondrack_hedges_total{outcome="won"} 1"#]].assert_eq(&observed.metrics);
}

#[tokio::test]
async fn the_first_attempt_answers_first_and_the_copy_is_cancelled() {
    let scripts = &[script(250, ANSWER), script(1_500, OTHER_ANSWER)];
    let observed = run_locally(repeatable(), scripts).await;
    assert_eq!(body(&observed), b"one");
    assert_eq!(cancelled(&observed), [false, true]);
    assert_eq!(observed.billed, 1);
    expect![[r#"almondrack_hedges_total{outcome="lost"} 1"#]].assert_eq(&observed.metrics);
}

#[tokio::test]
async fn an_answer_without_delay_needs_no_copy() {
    let observed = run_locally(repeatable(), &[script(0, ANSWER)]).await;
    assert_eq!((observed.received.len(), observed.metrics.as_str()), (1, ""));
}

#[tokio::test]
async fn an_answer_is_better_than_a_failure_that_comes_first() {
    for scripts in [
        &[script(250, FAILURE), script(300, ANSWER)],
        &[script(300, ANSWER), script(10, FAILURE)],
        &[script(250, CUT), script(300, ANSWER)],
        &[script(300, ANSWER), script(10, REFUSAL)],
    ] {
        let observed = run_locally(repeatable(), scripts).await;
        assert_eq!(body(&observed), b"one", "{scripts:?}");
        assert_eq!((observed.received.len(), observed.billed), (2, 1), "{scripts:?}");
    }
}

#[tokio::test]
async fn a_request_has_not_run_only_if_neither_attempt_has_run() {
    for (scripts, run) in [
        (&[script(250, REFUSAL), script(300, REFUSAL), script(0, REFUSAL)], Run::No),
        (&[script(250, CUT), script(300, REFUSAL), script(0, REFUSAL)], Run::Unknown),
        (&[script(250, REFUSAL), script(10, CUT), script(0, REFUSAL)], Run::Unknown),
        (&[script(250, CUT), script(300, CUT), script(0, REFUSAL)], Run::Unknown),
    ] {
        let observed = run_locally(repeatable(), scripts).await;
        let error = observed.response.expect("the caller waits").expect_err("no attempt succeeds");
        assert_eq!(error.run, run, "{scripts:?}: {error:?}");
        assert_eq!(observed.metrics, r#"almondrack_hedges_total{outcome="failed"} 1"#);
    }
}

#[tokio::test]
async fn a_request_that_may_not_be_copied_is_sent_once() {
    let mut at_most_one = repeatable();
    Arc::make_mut(&mut at_most_one.route).max_attempts = 1;
    for request in [
        routed_request(false, RetryPolicy::Never),
        routed_request(false, RetryPolicy::Resume),
        routed_request(true, RetryPolicy::Resume),
        routed_request(true, RetryPolicy::Always),
        at_most_one,
    ] {
        let observed = run_locally(request, &[script(300, ANSWER)]).await;
        assert_eq!((observed.received.len(), observed.metrics.as_str()), (1, ""));
    }
}

#[tokio::test]
async fn a_host_that_is_stopping_sends_no_copy() {
    let scripts = [script(300, ANSWER)];
    let run = run(repeatable(), &scripts, (Duration::from_secs(5), true));
    let observed = LocalSet::new().run_until(run).await;
    assert_eq!(observed.received.len(), 1);
    expect![[r#"almondrack_denied_hedges_total{reason="draining"} 1"#]]
        .assert_eq(&observed.metrics);
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_both_attempts() {
    let patience = (Duration::from_millis(300), false);
    let scripts = [script(1_500, ANSWER)];
    let run = run(repeatable(), &scripts, patience);
    let observed = LocalSet::new().run_until(run).await;
    assert!(observed.response.is_none(), "the caller has left");
    assert_eq!(cancelled(&observed), [true, true]);
    expect![[r#"almondrack_hedges_total{outcome="abandoned"} 1"#]].assert_eq(&observed.metrics);
}
