//! Measures the time that the dispatcher's decisions take.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    io::{self, Write},
    time::{Duration, Instant},
};

use almondrack::{
    dispatch::{
        Action, AttemptKey, Class, ClassKey, CustomerKey, Dispatcher, Ending, Event, Load,
        RouteKey, Ticket, TicketKey, Upstream, UpstreamKey,
    },
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rustix::time::{ClockId, clock_gettime};

use crate::load::{self, Request};

const CUSTOMERS: u32 = 780;

const ROUTES: u32 = 39;

/// Number of timed decisions for each size.
const DECISIONS: usize = 20_000;

/// Arrival rate over all models, in requests per second.
const PEAK_RATE: f64 = 3_000.0;

/// Simulated time of the most heavily loaded dispatcher, in seconds.
const HOTTEST_S: f64 = 60.0;

fn open(upstreams: u32, slots: u32, max_wait_ms: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    let mut actions = Vec::new();
    for tier in 0..3 {
        let class = Class {
            tier: tier + 1,
            first_token_ms: load::TARGETS_MS[usize::from(tier)],
            floor_per_mille: 20,
            max_wait_ms,
        };
        let event = Event::Class(ClassKey(u32::from(tier)), class);
        dispatcher.handle(Time(0), event, &mut actions);
    }
    for key in 0..upstreams {
        let cheap = key % 4 == 0;
        let spec = Upstream { slots, kv_tokens: 1_000_000, cheap, leaving: None };
        dispatcher.handle(Time(0), Event::Upstream(UpstreamKey(key), spec), &mut actions);
    }
    dispatcher
}

fn ticket(rng: &mut SmallRng, key: u64, now: Time) -> Ticket {
    let tier = [0, 0, 0, 1, 1, 1, 1, 2, 2, 2][rng.random_range(0..10)];
    Ticket {
        key: TicketKey(key),
        customer: CustomerKey(rng.random_range(0..CUSTOMERS)),
        class: ClassKey(tier),
        route: RouteKey(rng.random_range(0..ROUTES)),
        prompt_tokens: rng.random_range(50..2_000),
        max_tokens: 0,
        accepted: now,
        repeatable: rng.random_range(0..10) > 0,
        retry: false,
        prefix: rng.random_range(0..5_000),
        fingerprint: key,
        avoid: Vec::new(),
    }
}

/// Returns the median nanoseconds of a submission and of an ended attempt with the grant that follows it.
///
/// Medians exclude the samples in which other processes occupied the core.
fn decision(upstreams: u32, queued: u64) -> (u64, u64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut dispatcher = open(upstreams, 8, 100_000_000);
    let mut actions = Vec::new();
    let mut running = Vec::new();
    let mut now = Time(1_000_000);
    let slots = u64::from(upstreams) * 8;
    let mut next = 0;
    let (mut submit, mut end) = (Vec::new(), Vec::new());
    for step in 0..DECISIONS + (slots + queued) as usize {
        let timed = step >= (slots + queued) as usize;
        now = now + Span(500);
        next += 1;
        let event = Event::Submit(ticket(&mut rng, next, now));
        let start = Instant::now();
        dispatcher.handle(now, event, &mut actions);
        let elapsed = start.elapsed();
        if timed {
            submit.push(elapsed);
            let attempt: AttemptKey = running.swap_remove(rng.random_range(0..running.len()));
            let tokens = Event::Tokens(attempt, rng.random_range(10..400));
            dispatcher.handle(now, tokens, &mut actions);
            let event = Event::Ended(attempt, Ending::Done);
            let start = Instant::now();
            dispatcher.handle(now, event, &mut actions);
            end.push(start.elapsed());
        }
        for action in actions.drain(..) {
            match action {
                Action::Grant { attempt, .. } => running.push(attempt),
                Action::Preempt(_) | Action::Refuse { .. } | Action::Quarantine(..) => {}
            }
        }
    }
    (median_ns(submit), median_ns(end))
}

fn median_ns(mut samples: Vec<Duration>) -> u64 {
    let middle = samples.len() / 2;
    let (_, median, _) = samples.select_nth_unstable(middle);
    median.as_nanos() as u64
}

/// Returns the processor time used by this thread.
fn cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Prints the time of a decision for each size of pool and queue.
pub(crate) fn decisions(out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "| upstreams | queued | submission, ns | ending and grant, ns |")?;
    writeln!(out, "|---|---|---|---|")?;
    for upstreams in [10, 33, 130] {
        for queued in [100, 1_000, 10_000] {
            let (submit, end) = decision(upstreams, queued);
            writeln!(out, "| {upstreams} | {queued} | {submit} | {end} |")?;
        }
    }
    Ok(())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    FirstToken(AttemptKey, u64),
    Progress(AttemptKey, u32),
    Done(AttemptKey),
    Report(u32),
}

/// Prints the share of a core that the dispatcher of the most popular model uses.
pub(crate) fn hottest(out: &mut impl Write) -> io::Result<()> {
    let popularity: f64 = (1..=ROUTES).map(|rank| 1.0 / f64::from(rank)).sum();
    let rate = PEAK_RATE / popularity;
    let requests = load::arrivals(1, rate, HOTTEST_S);
    let (spent, events) = replay(&requests);
    let share = 100.0 * spent.as_secs_f64() / HOTTEST_S;
    writeln!(
        out,
        "hottest of {ROUTES} dispatchers: {rate:.0} requests/s, {:.0} events/s, {share:.2}% of a core",
        events as f64 / HOTTEST_S
    )
}

/// Returns the processor time spent in a dispatcher of 130 upstreams, and the number of events.
fn replay(requests: &[Request]) -> (Duration, u64) {
    const UPSTREAMS: u32 = 130;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut dispatcher = open(UPSTREAMS, 20, 30_000);
    let mut steps = BinaryHeap::new();
    let arrivals = requests.iter().enumerate();
    steps.extend(arrivals.map(|(index, it)| Reverse((micros(it.at), Step::Arrive(index)))));
    steps.extend((0..UPSTREAMS).map(|it| Reverse((u64::from(it) * 7_000, Step::Report(it)))));
    let (mut spent, mut events) = (Duration::ZERO, 0);
    let mut actions = Vec::new();
    while let Some(Reverse((at, step))) = steps.pop() {
        if at > micros(HOTTEST_S) {
            break;
        }
        let now = Time(at);
        let event = match step {
            Step::Arrive(index) => {
                let spec = ticket(&mut rng, index as u64, now);
                Event::Submit(Ticket { prompt_tokens: requests[index].prompt, ..spec })
            }
            Step::FirstToken(attempt, us) => Event::FirstToken(attempt, us),
            Step::Progress(attempt, tokens) => Event::Tokens(attempt, tokens),
            Step::Done(attempt) => Event::Ended(attempt, Ending::Done),
            Step::Report(key) => {
                steps.push(Reverse((at + 1_000_000, Step::Report(key))));
                let load = Load { running: 20, waiting: 0, kv_used: 10_000, at: now };
                Event::Load(UpstreamKey(key), load)
            }
        };
        events += 1;
        let start = cpu();
        dispatcher.handle(now, event, &mut actions);
        spent += cpu() - start;
        for action in actions.drain(..) {
            let Action::Grant { ticket, attempt, .. } = action else { continue };
            let request = requests[ticket.0 as usize];
            let first_us = micros(request.prefill_s(0));
            let service_us = micros(request.service_s(0));
            steps.push(Reverse((at + first_us, Step::FirstToken(attempt, first_us))));
            for second in 1..=service_us / 1_000_000 {
                let tokens = request.tokens_after(0, second as f64);
                let step = Step::Progress(attempt, tokens);
                steps.push(Reverse((at + second * 1_000_000, step)));
            }
            steps.push(Reverse((at + service_us, Step::Done(attempt))));
        }
    }
    (spent, events)
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
