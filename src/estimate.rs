//! Estimates of output length, learned per customer and route.
//!
//! Quantiles are tracked by stochastic approximation on a logarithmic scale, so an estimate takes only a few words of
//! memory. The number of estimates is bounded by two generations: when the current one is full, it replaces the
//! previous one.

use std::collections::BTreeMap;

use crate::dispatch::{CustomerKey, RouteKey};

/// Maximum number of estimates per generation.
const GENERATION_LEN: usize = 32_768;

/// Output length assumed before the first sample, in tokens.
const INITIAL_OUTPUT_TOKENS: f32 = 128.0;

/// Minimum step of a quantile, as a logarithm to base two.
const MIN_STEP: f32 = 0.05;

/// Minimum weight of a new sample in the mean.
const MIN_GAIN: f32 = 0.02;

/// Quantile of the output length for which KV memory is reserved.
const UPPER_QUANTILE: f32 = 0.9;

/// Key of an estimate.
type Key = (RouteKey, CustomerKey);

/// Distribution of the output length of one customer's requests on one route, in tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Mean in tokens, used for work estimates and fair queueing.
    pub mean: f32,
    /// Median, as a logarithm to base two.
    median_log2: f32,
    /// Upper quantile, as a logarithm to base two. Never below the median.
    upper_log2: f32,
    /// Number of samples, saturating.
    samples: u16,
}

impl Default for Estimate {
    fn default() -> Estimate {
        let log2 = INITIAL_OUTPUT_TOKENS.log2();
        Estimate {
            mean: INITIAL_OUTPUT_TOKENS,
            median_log2: log2,
            upper_log2: log2 + 1.0,
            samples: 0,
        }
    }
}

impl Estimate {
    /// Returns the median in tokens.
    pub fn median(&self) -> f32 {
        self.median_log2.exp2()
    }

    /// Returns the upper quantile in tokens.
    pub fn upper(&self) -> f32 {
        self.upper_log2.exp2()
    }

    /// Returns the expected total output after `seen` generated tokens, at most `max_tokens` unless that is zero.
    pub fn expected_tokens(&self, seen: u32, max_tokens: u32) -> u32 {
        round_and_cap(self.mean.max(heavy_tail_total(seen)), max_tokens)
    }

    /// Returns the output to reserve memory for after `seen` generated tokens, at most `max_tokens` unless that is
    /// zero.
    pub fn reserved_tokens(&self, seen: u32, max_tokens: u32) -> u32 {
        round_and_cap(self.upper().max(heavy_tail_total(seen)), max_tokens)
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

/// Returns the expected total of an output that has reached `seen` tokens, assuming a heavy-tailed distribution.
fn heavy_tail_total(seen: u32) -> f32 {
    if seen == 0 { 1.0 } else { seen as f32 * 1.5 }
}

fn round_and_cap(tokens: f32, max_tokens: u32) -> u32 {
    let rounded = (tokens.ceil() as u32).max(1);
    if max_tokens == 0 { rounded } else { rounded.min(max_tokens) }
}

fn quantile_step(sample: f32, current: f32, quantile: f32, step: f32) -> f32 {
    if sample > current { step * quantile * 2.0 } else { -step * (1.0 - quantile) * 2.0 }
}

/// Estimates of all customers and routes.
#[derive(Debug, Default)]
pub struct Estimator {
    /// Estimates per route, for customers that are new to the route. Sorted by route.
    routes: Vec<(RouteKey, Estimate)>,
    /// Estimates in use. At most `GENERATION_LEN` entries.
    current: BTreeMap<Key, Estimate>,
    /// Previous generation, replaced by `current` when that is full. At most `GENERATION_LEN` entries.
    previous: BTreeMap<Key, Estimate>,
}

impl Estimator {
    /// Returns the estimate for a customer on a route, or that of the route if the customer is new to it.
    pub fn get(&self, customer: CustomerKey, route: RouteKey) -> Estimate {
        let key = (route, customer);
        let found = self.current.get(&key).or_else(|| self.previous.get(&key));
        found.copied().unwrap_or_else(|| self.route(route))
    }

    /// Records the length of a completed output.
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

    /// Returns the number of stored estimates, not counting those of routes.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Returns whether no customer's estimate is stored.
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
