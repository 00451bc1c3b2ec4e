//! Baseline policy: each host decides independently by the power of two choices on load reports that are up to one
//! second old.
//!
//! Engines serve by priority and drop requests that have reached their maximum queue time. Nothing is preempted and
//! customers are not distinguished.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::load::{BOUNDS_MS, Outcome, RUN_S, Request, Run, SLOTS, UPSTREAMS};

/// Number of hosts that assign requests.
const HOSTS: usize = 6;

/// Interval of load reports, in microseconds.
const REPORT_US: u64 = 1_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Report(usize),
    Arrive(usize),
    Done(usize),
}

#[derive(Debug, Default)]
struct Engine {
    running: usize,
    /// Indices of requests by tier and arrival.
    waiting: BTreeSet<(usize, usize)>,
}

/// Simulates the requests under the baseline policy.
pub(crate) fn run(seed: u64, requests: &[Request]) -> Run {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut engines: Vec<Engine> =
        std::iter::repeat_with(Engine::default).take(UPSTREAMS).collect();
    let mut reports = vec![[0; UPSTREAMS]; HOSTS];
    let mut run = Run { outcomes: vec![Outcome::default(); requests.len()], ..Run::default() };
    let mut steps = BinaryHeap::new();
    for (index, request) in requests.iter().enumerate() {
        steps.push(Reverse((micros(request.at), Step::Arrive(index))));
    }
    for host in 0..HOSTS {
        let phase = REPORT_US * host as u64 / HOSTS as u64;
        steps.push(Reverse((phase, Step::Report(host))));
    }
    let mut last = 0;
    while let Some(Reverse((now, step))) = steps.pop() {
        if now < micros(RUN_S) && engines.iter().any(|it| !it.waiting.is_empty()) {
            let span = (now - last) as f64 / 1e6;
            run.busy += span * engines.iter().map(|it| it.running).sum::<usize>() as f64;
            run.available += span * (UPSTREAMS * SLOTS) as f64;
        }
        last = now;
        let changed = match step {
            Step::Report(host) => {
                if now < micros(RUN_S) {
                    steps.push(Reverse((now + REPORT_US, Step::Report(host))));
                }
                for (report, engine) in reports[host].iter_mut().zip(&engines) {
                    *report = engine.running + engine.waiting.len();
                }
                continue;
            }
            Step::Arrive(index) => {
                let report = &reports[rng.random_range(0..HOSTS)];
                let (a, b) = (rng.random_range(0..UPSTREAMS), rng.random_range(0..UPSTREAMS));
                let chosen = if report[a] <= report[b] { a } else { b };
                engines[chosen].waiting.insert((requests[index].tier, index));
                chosen
            }
            Step::Done(upstream) => {
                engines[upstream].running -= 1;
                upstream
            }
        };
        let engine = &mut engines[changed];
        while engine.running < SLOTS
            && let Some((tier, index)) = engine.waiting.pop_first()
        {
            let request = requests[index];
            let wait = now as f64 / 1e6 - request.at;
            run.outcomes[index].wait = wait;
            if wait * 1_000.0 > BOUNDS_MS[tier] as f64 {
                continue;
            }
            let start = now as f64 / 1e6;
            run.outcomes[index].first_token = Some(start + request.prefill_s(changed));
            run.outcomes[index].done = start + request.service_s(changed);
            engine.running += 1;
            let done = now + micros(request.service_s(changed));
            steps.push(Reverse((done, Step::Done(changed))));
        }
    }
    run
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
