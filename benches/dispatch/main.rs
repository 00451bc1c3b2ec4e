//! Compares the dispatcher with hosts that decide independently, and measures the cost of its decisions.
//!
//! `cargo bench -p almondrack --bench dispatch` prints all tables. Append `-- policy` or `-- cost` to print one part.

mod baseline;
mod cost;
mod dispatcher;
mod load;

use std::{
    collections::BTreeMap,
    io::{self, Write},
};

use load::{CUSTOMERS, RUN_S, Request, Run, WARM_UP_S};

const SEEDS: [u64; 3] = [1, 2, 3];

const LOADS: [f64; 4] = [0.7, 1.0, 1.5, 3.0];

/// Results of one policy at one load, over all seeds.
#[derive(Debug, Default)]
struct Row {
    requests: [u64; 3],
    in_time: [u64; 3],
    longest_wait_s: [f64; 3],
    tokens: u64,
    good_tokens: u64,
    stopped_tokens: u64,
    busy: f64,
    available: f64,
    /// Requests in time by customer and tier, with all customers and with this customer alone, over all seeds.
    ///
    /// Contains only the customers and tiers whose demand is within their fair share.
    pairs: BTreeMap<(usize, usize), (f64, f64)>,
    /// Smallest ratio of the two in a single seed.
    worst_of_seed: f64,
}

impl Row {
    fn add(&mut self, requests: &[Request], run: &Run) {
        for (request, outcome) in requests.iter().zip(&run.outcomes) {
            if request.at < WARM_UP_S {
                continue;
            }
            let tier = request.tier;
            let in_time = request.is_in_time(outcome);
            self.requests[tier] += 1;
            self.in_time[tier] += u64::from(in_time);
            self.longest_wait_s[tier] = self.longest_wait_s[tier].max(outcome.wait);
        }
        for (request, outcome) in requests.iter().zip(&run.outcomes) {
            let output = u64::from(request.output);
            self.stopped_tokens += u64::from(outcome.stopped);
            self.tokens += u64::from(outcome.stopped);
            if outcome.first_token.is_none() || !(WARM_UP_S..RUN_S).contains(&outcome.done) {
                continue;
            }
            self.tokens += output;
            if request.is_in_time(outcome) {
                self.good_tokens += output;
            }
        }
        self.busy += run.busy;
        self.available += run.available;
    }

    fn compare(&mut self, pairs: BTreeMap<(usize, usize), (f64, f64)>) {
        self.worst_of_seed = self.worst_of_seed.min(worst_ratio(&pairs));
        for (pair, (got, best)) in pairs {
            let sum = self.pairs.entry(pair).or_default();
            sum.0 += got;
            sum.1 += best;
        }
    }

    fn print(&self, out: &mut impl Write, load: f64, name: &str) -> io::Result<()> {
        let share = |tier: usize| self.in_time[tier] as f64 / self.requests[tier].max(1) as f64;
        let tokens = self.tokens.max(1) as f64;
        let wasted = self.tokens - self.good_tokens;
        let busy = if self.available > 0.0 { self.busy / self.available } else { f64::NAN };
        let goodput = self.good_tokens as f64 / ((RUN_S - WARM_UP_S) * SEEDS.len() as f64);
        writeln!(
            out,
            "| {load:.1} | {name} | {:.4} | {:.4} | {:.4} | {:.3} | {:.3} | {:.1} | {:.3} | {:.2}% | {:.2}% | {:.0} |",
            share(0),
            share(1),
            share(2),
            worst_ratio(&self.pairs),
            self.worst_of_seed,
            self.longest_wait_s[2],
            busy,
            100.0 * self.stopped_tokens as f64 / tokens,
            100.0 * wasted as f64 / tokens,
            goodput,
        )
    }
}

/// Counts the requests in time of a customer and tier.
fn in_time(requests: &[Request], run: &Run, customer: usize, tier: usize) -> f64 {
    let pairs = requests.iter().zip(&run.outcomes);
    let mine =
        pairs.filter(|(it, _)| it.customer == customer && it.tier == tier && it.at >= WARM_UP_S);
    mine.filter(|(it, outcome)| it.is_in_time(outcome)).count() as f64
}

/// Returns the customers and tiers whose work is within a fair share of the capacity that higher tiers leave.
fn within_share(requests: &[Request]) -> Vec<(usize, usize)> {
    let mut left_s = load::fast_slots() * RUN_S;
    let mut pairs = Vec::new();
    for tier in 0..3 {
        let mut demand_s = [0.0; CUSTOMERS];
        for request in requests.iter().filter(|it| it.tier == tier) {
            demand_s[request.customer] += request.service_s(0);
        }
        let share_s = left_s / CUSTOMERS as f64;
        pairs.extend((0..CUSTOMERS).filter(|it| demand_s[*it] <= share_s).map(|it| (it, tier)));
        left_s = (left_s - demand_s.iter().sum::<f64>()).max(0.0);
    }
    pairs
}

/// Counts the requests in time, with all customers and alone, of the customers and tiers within their fair share.
fn compare(
    requests: &[Request],
    shared: &Run,
    alone: impl Fn(&[Request]) -> Run,
) -> BTreeMap<(usize, usize), (f64, f64)> {
    let pairs = within_share(requests);
    let mut compared = BTreeMap::new();
    for customer in 0..CUSTOMERS {
        let own: Vec<_> = requests.iter().filter(|it| it.customer == customer).copied().collect();
        let run = alone(&own);
        for (_, tier) in pairs.iter().filter(|it| it.0 == customer) {
            let best = in_time(&own, &run, customer, *tier);
            let got = in_time(requests, shared, customer, *tier);
            compared.insert((customer, *tier), (got, best));
        }
    }
    compared
}

/// Returns the smallest ratio of requests in time with all customers to those alone.
fn worst_ratio(pairs: &BTreeMap<(usize, usize), (f64, f64)>) -> f64 {
    let ratios = pairs.values().filter(|it| it.1 > 0.0).map(|it| it.0 / it.1);
    ratios.fold(f64::INFINITY, f64::min)
}

fn policies(out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "| load | policy | tier 1 | tier 2 | tier 3 | worst customer | in one seed | longest wait of tier 3, s | busy | stopped | wasted | good tokens/s |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|---|---|---|")?;
    let rate = load::capacity(&load::arrivals(0, 1_000.0, 100.0));
    for load in LOADS {
        let mut dispatcher_row = Row { worst_of_seed: f64::INFINITY, ..Row::default() };
        let mut baseline_row = Row { worst_of_seed: f64::INFINITY, ..Row::default() };
        for seed in SEEDS {
            let requests = load::arrivals(seed, load * rate, RUN_S);
            let run = dispatcher::run(&requests);
            dispatcher_row.add(&requests, &run);
            dispatcher_row.compare(compare(&requests, &run, dispatcher::run));
            let run = baseline::run(seed, &requests);
            baseline_row.add(&requests, &run);
            let alone = |own: &[Request]| baseline::run(seed, own);
            baseline_row.compare(compare(&requests, &run, alone));
        }
        dispatcher_row.print(out, load, "dispatcher")?;
        baseline_row.print(out, load, "each host alone")?;
    }
    Ok(())
}

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    let part = std::env::args().nth(1).unwrap_or_default();
    if part != "cost" {
        policies(&mut out)?;
    }
    if part != "policy" {
        cost::decisions(&mut out)?;
        cost::hottest(&mut out)?;
    }
    Ok(())
}
