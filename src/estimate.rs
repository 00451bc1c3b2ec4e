//! Estimates of output length, learnt per customer and route.
//!
//! Quantiles are tracked by stochastic approximation on a logarithmic scale, so that an estimate takes a few words of
//! memory. Two generations bound the number of estimates: a full one replaces its predecessor.

use std::collections::BTreeMap;

use crate::dispatch::{CustomerKey, RouteKey};

/// Estimates per generation.
const GENERATION_LEN: usize = 32_768;

/// Output assumed before anything was learnt, in tokens.
const FIRST_GUESS_TOKENS: f32 = 128.0;

/// Smallest step of a quantile, in doublings.
const MIN_STEP: f32 = 0.05;

/// Smallest share of a new sample in the mean.
const MIN_GAIN: f32 = 0.02;

/// Quantile that KV memory is reserved for.
const UPPER_QUANTILE: f32 = 0.9;

/// Key of a customer's estimate.
type Key = (RouteKey, CustomerKey);

/// Distribution of the output length of one customer's requests on one route, in tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Mean, for work and fair shares.
    pub mean: f32,
    /// Logarithm to base two of the median.
    median_log2: f32,
    /// Logarithm to base two of the upper quantile. Not below the median's.
    upper_log2: f32,
    /// Samples seen, saturating.
    samples: u16,
}

impl Default for Estimate {
    fn default() -> Estimate {
        let log2 = FIRST_GUESS_TOKENS.log2();
        Estimate { mean: FIRST_GUESS_TOKENS, median_log2: log2, upper_log2: log2 + 1.0, samples: 0 }
    }
}

impl Estimate {
    /// Median in tokens.
    pub fn median(&self) -> f32 {
        self.median_log2.exp2()
    }

    /// Upper quantile in tokens.
    pub fn upper(&self) -> f32 {
        self.upper_log2.exp2()
    }

    /// Expected total output once `seen` tokens have come, at most `max_tokens` unless that is zero.
    pub fn expected_tokens(&self, seen: u32, max_tokens: u32) -> u32 {
        capped(self.mean.max(tail(seen)), max_tokens)
    }

    /// Output to reserve memory for once `seen` tokens have come, at most `max_tokens` unless that is zero.
    pub fn reserved_tokens(&self, seen: u32, max_tokens: u32) -> u32 {
        capped(self.upper().max(tail(seen)), max_tokens)
    }

    fn observe(&mut self, tokens: u32) {
        let sample = (tokens.max(1) as f32).log2();
        self.samples = self.samples.saturating_add(1);
        let count = f32::from(self.samples);
        let step = count.sqrt().recip().max(MIN_STEP);
        self.median_log2 += quantile_step(sample, self.median_log2, 0.5, step);
        self.upper_log2 += quantile_step(sample, self.upper_log2, UPPER_QUANTILE, step);
        self.upper_log2 = self.upper_log2.max(self.median_log2);
        self.mean += (tokens as f32 - self.mean) * count.recip().max(MIN_GAIN);
    }
}

/// Expected total of a heavy-tailed output that has reached `seen` tokens.
fn tail(seen: u32) -> f32 {
    if seen == 0 { 1.0 } else { seen as f32 * 1.5 }
}

fn capped(tokens: f32, max_tokens: u32) -> u32 {
    let whole = (tokens.ceil() as u32).max(1);
    if max_tokens == 0 { whole } else { whole.min(max_tokens) }
}

fn quantile_step(sample: f32, current: f32, quantile: f32, step: f32) -> f32 {
    if sample > current { step * quantile * 2.0 } else { -step * (1.0 - quantile) * 2.0 }
}

/// Estimates of all customers and routes.
#[derive(Debug, Default)]
pub struct Estimator {
    /// Sorted by route. For customers that are new to it.
    routes: Vec<(RouteKey, Estimate)>,
    /// At most `GENERATION_LEN` estimates.
    current: BTreeMap<Key, Estimate>,
    /// At most `GENERATION_LEN` estimates, replaced when `current` is full.
    previous: BTreeMap<Key, Estimate>,
}

impl Estimator {
    /// Estimate for a customer on a route, the route's own where the customer is new to it.
    pub fn get(&self, customer: CustomerKey, route: RouteKey) -> Estimate {
        let key = (route, customer);
        let known = self.current.get(&key).or_else(|| self.previous.get(&key));
        known.copied().unwrap_or_else(|| self.route(route))
    }

    /// Learns from a completed output.
    pub fn observe(&mut self, customer: CustomerKey, route: RouteKey, tokens: u32) {
        let key = (route, customer);
        let start = self.route(route);
        self.observe_route(route, tokens);
        if let Some(estimate) = self.current.get_mut(&key) {
            estimate.observe(tokens);
            return;
        }
        if self.current.len() == GENERATION_LEN {
            self.previous = std::mem::take(&mut self.current);
        }
        let new = Estimate { samples: 0, ..start };
        let mut estimate = self.previous.remove(&key).unwrap_or(new);
        estimate.observe(tokens);
        self.current.insert(key, estimate);
    }

    /// Number of estimates of customers held.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether nothing was learnt yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn route(&self, route: RouteKey) -> Estimate {
        let found = self.routes.binary_search_by_key(&route, |it| it.0);
        found.map(|at| self.routes[at].1).unwrap_or_default()
    }

    fn observe_route(&mut self, route: RouteKey, tokens: u32) {
        let at = match self.routes.binary_search_by_key(&route, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                self.routes.insert(at, (route, Estimate::default()));
                at
            }
        };
        self.routes[at].1.observe(tokens);
    }
}
