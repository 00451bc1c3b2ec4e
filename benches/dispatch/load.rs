//! Arrivals and upstreams of the simulation, which are the same for every policy.

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Simulated duration of a run, in seconds.
pub(crate) const RUN_S: f64 = 200.0;

/// Time from the start of a run whose requests are not counted, in seconds.
pub(crate) const WARM_UP_S: f64 = 20.0;

/// Number of upstreams in the pool; the last one is slow.
pub(crate) const UPSTREAMS: usize = 12;

/// Number of slots per upstream.
pub(crate) const SLOTS: usize = 8;

/// Factor by which the last upstream is slower.
pub(crate) const SLOW_FACTOR: f64 = 4.0;

/// Number of customers; the first sends ten times as many requests as each other one.
pub(crate) const CUSTOMERS: usize = 10;

/// Ratio of the first customer's requests to those of each other customer.
const BURST: usize = 10;

/// Seconds between two tokens.
const TOKEN_GAP_S: f64 = 0.034;

/// Targets for the first token per tier, in milliseconds.
pub(crate) const TARGETS_MS: [u64; 3] = [600, 3_000, 30_000];

/// Maximum queue time per tier, in milliseconds. The rest of the target is left for processing a usual prompt.
pub(crate) const BOUNDS_MS: [u64; 3] = [450, 2_850, 29_850];

/// Cumulative shares of the first two tiers in the arrivals.
const TIERS: [f64; 2] = [0.3, 0.7];

/// A simulated request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    /// Time of arrival, in seconds.
    pub(crate) at: f64,
    pub(crate) customer: usize,
    /// Zero is the highest.
    pub(crate) tier: usize,
    pub(crate) prompt: u32,
    pub(crate) output: u32,
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outcome {
    /// Time of the first token of the completed attempt, in seconds.
    pub(crate) first_token: Option<f64>,
    /// Time at which that attempt ended, in seconds.
    pub(crate) done: f64,
    /// Longest queue time, in seconds.
    pub(crate) wait: f64,
    /// Tokens of preempted attempts.
    pub(crate) stopped: u32,
}

/// Outcomes of a run in the order of the requests, and the utilisation of the slots.
#[derive(Debug, Default)]
pub(crate) struct Run {
    pub(crate) outcomes: Vec<Outcome>,
    /// Slot seconds in use while requests were waiting.
    pub(crate) busy: f64,
    /// Available slot seconds while requests were waiting.
    pub(crate) available: f64,
}

impl Request {
    /// Returns the seconds to the first token on an upstream.
    pub(crate) fn prefill_s(&self, upstream: usize) -> f64 {
        (0.02 + f64::from(self.prompt) / 8_000.0) * slow_factor(upstream)
    }

    /// Returns the seconds that the request occupies a slot of an upstream.
    pub(crate) fn service_s(&self, upstream: usize) -> f64 {
        let tokens = f64::from(self.output.saturating_sub(1));
        self.prefill_s(upstream) + tokens * TOKEN_GAP_S * slow_factor(upstream)
    }

    /// Returns the number of tokens generated `after` seconds from the start on an upstream.
    pub(crate) fn tokens_after(&self, upstream: usize, after: f64) -> u32 {
        let streaming = after - self.prefill_s(upstream);
        if streaming < 0.0 {
            return 0;
        }
        (1 + (streaming / (TOKEN_GAP_S * slow_factor(upstream))) as u32).min(self.output)
    }

    /// Returns whether the first token met the tier's target.
    pub(crate) fn is_in_time(&self, outcome: &Outcome) -> bool {
        let target = TARGETS_MS[self.tier] as f64 / 1_000.0;
        outcome.first_token.is_some_and(|it| it - self.at <= target)
    }
}

fn slow_factor(upstream: usize) -> f64 {
    if upstream == UPSTREAMS - 1 { SLOW_FACTOR } else { 1.0 }
}

/// Returns the requests per second that the pool can serve.
pub(crate) fn capacity(sample: &[Request]) -> f64 {
    let mean = sample.iter().map(|it| it.service_s(0)).sum::<f64>() / sample.len() as f64;
    fast_slots() / mean
}

/// Returns the number of slots of the pool, where a slow slot counts as the fraction of its speed.
pub(crate) fn fast_slots() -> f64 {
    ((UPSTREAMS - 1) * SLOTS) as f64 + SLOTS as f64 / SLOW_FACTOR
}

/// Generates Poisson arrivals at `rate` per second with log-normal prompts and heavy-tailed outputs.
pub(crate) fn arrivals(seed: u64, rate: f64, duration_s: f64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at > duration_s {
            return requests;
        }
        let customer = rng.random_range(0..CUSTOMERS - 1 + BURST);
        let class = rng.random::<f64>();
        requests.push(Request {
            at,
            customer: customer.saturating_sub(BURST - 1),
            tier: TIERS.iter().filter(|it| class >= **it).count(),
            prompt: log_normal(&mut rng, 400.0, 0.8, 8_000.0),
            output: log_normal(&mut rng, 60.0, 1.2, 4_000.0),
        });
    }
}

fn log_normal(rng: &mut SmallRng, median: f64, sigma: f64, max: f64) -> u32 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    (median * (sigma * normal).exp()).clamp(1.0, max) as u32
}
