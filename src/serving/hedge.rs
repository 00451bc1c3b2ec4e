//! Decides when a request that may run more than once is also sent to a second upstream, and limits these copies.
//!
//! Hedging is designed for a few upstreams that answer late while the others do not. Where all are slow alike, copies do
//! not help, and most of them cease.

use std::{collections::VecDeque, sync::Arc};

use crate::time::{Span, Time};

/// Samples that a time is derived from, at least.
const MIN_SAMPLES: usize = 20;

/// Samples that are kept for one route or pool.
const MAX_SAMPLES: usize = 256;

/// Age after which a sample is forgotten.
const MAX_SAMPLE_AGE: Span = Span::from_ms(60_000);

/// Routes, and pools, that are tracked.
const MAX_TRACKED: usize = 256;

/// Time that is added to both the measured and the expected time, so that short requests differ by no large factors.
const OFFSET: Span = Span::from_ms(10);

/// Copies that may follow each other at once.
const MAX_CREDIT: f64 = 10.0;

/// Credit that a copy takes while copies do not help, so that a tenth of the share is left to find out when they do.
const PROBE_COST: f64 = MAX_CREDIT;

/// Assumed share of copies that answer first, before any was sent.
const INITIAL_BENEFIT: f64 = 0.5;

/// Weight of one copy in the measured share.
const BENEFIT_GAIN: f64 = 0.2;

/// Share of copies that answer first below which copies do not help.
const MIN_BENEFIT: f64 = 0.15;

/// Why a request that waits for its answer is not sent to a second upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The share of extra attempts is used up.
    Share,
    /// Recent copies did not help, and it is too early for another trial.
    NoBenefit,
    /// The retry budget is used up.
    RetryBudget,
    /// Requests wait, or no other upstream has room to spare.
    Busy,
    /// The content may crash upstreams.
    Content,
    /// No other upstream can take the request.
    NoUpstream,
    /// The host is stopping.
    Draining,
}

impl Denial {
    /// Returns the label of metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Denial::Share => "share",
            Denial::NoBenefit => "no_benefit",
            Denial::RetryBudget => "retry_budget",
            Denial::Busy => "busy",
            Denial::Content => "content",
            Denial::NoUpstream => "no_upstream",
            Denial::Draining => "draining",
        }
    }
}

/// How a request ended that was sent to two upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The copy's answer is passed on.
    Won,
    /// The first attempt's answer is passed on.
    Lost,
    /// Neither has an answer.
    Failed,
    /// The caller left before.
    Abandoned,
}

impl Outcome {
    /// Returns the label of metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Won => "won",
            Outcome::Lost => "lost",
            Outcome::Failed => "failed",
            Outcome::Abandoned => "abandoned",
        }
    }
}

/// Pool and route of a request.
#[derive(Debug, Clone, Copy)]
pub struct Path<'a> {
    /// Name of the pool.
    pub pool: &'a Arc<str>,
    /// Name of the route.
    pub route: &'a Arc<str>,
}

/// Measured times to the first byte as multiples of the expected ones.
#[derive(Debug, Default)]
struct Samples {
    /// Oldest first.
    recent: VecDeque<(Time, u32)>,
    /// The ratios of `recent` in thousandths, in ascending order.
    sorted: Vec<u32>,
}

impl Samples {
    fn record(&mut self, now: Time, ratio: u32) {
        self.remove_expired(now);
        if self.recent.len() == MAX_SAMPLES {
            self.remove_oldest();
        }
        self.recent.push_back((now, ratio));
        let at = self.sorted.partition_point(|it| *it < ratio);
        self.sorted.insert(at, ratio);
    }

    fn remove_expired(&mut self, now: Time) {
        while self.recent.front().is_some_and(|it| now.since(it.0) > MAX_SAMPLE_AGE) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, ratio)) = self.recent.pop_front()
            && let Ok(at) = self.sorted.binary_search(&ratio)
        {
            self.sorted.remove(at);
        }
    }

    /// Returns the ratio that the given share of the samples does not exceed, `None` with too few samples.
    fn quantile(&self, share: f64) -> Option<u32> {
        if self.sorted.len() < MIN_SAMPLES {
            return None;
        }
        let at = (share * self.sorted.len() as f64) as usize;
        self.sorted.get(at.min(self.sorted.len() - 1)).copied()
    }

    /// Returns the mean of the ratios above the given one.
    fn mean_above(&self, ratio: u32) -> Option<u32> {
        let above = &self.sorted[self.sorted.partition_point(|it| *it <= ratio)..];
        let sum: u64 = above.iter().map(|it| u64::from(*it)).sum();
        sum.checked_div(above.len() as u64).map(|it| it as u32)
    }
}

#[derive(Debug)]
struct Pool {
    /// Samples of all routes that lead to the pool.
    samples: Samples,
    /// Smoothed share of copies that answered first.
    benefit: f64,
    /// Copies that may be sent now, at most `MAX_CREDIT`.
    credit: f64,
}

impl Default for Pool {
    fn default() -> Pool {
        Pool { samples: Samples::default(), benefit: INITIAL_BENEFIT, credit: 0.0 }
    }
}

impl Pool {
    /// Whether recent copies helped.
    fn is_useful(&self) -> bool {
        self.benefit >= MIN_BENEFIT
    }

    /// Returns the credit that a copy takes.
    fn cost(&self) -> f64 {
        if self.is_useful() { 1.0 } else { PROBE_COST }
    }
}

/// One host's recent times to the first byte and its limit on copies.
#[derive(Debug)]
pub struct Hedger {
    /// Copies per request that may be hedged.
    share: f64,
    /// Sorted by name, at most `MAX_TRACKED`.
    routes: Vec<(Arc<str>, Samples)>,
    /// Sorted by name, at most `MAX_TRACKED`.
    pools: Vec<(Arc<str>, Pool)>,
}

impl Hedger {
    /// Creates the state of a host that sends at most `share` copies for each request that may be hedged. As each host
    /// keeps to it, so do all hosts together.
    pub fn new(share: f64) -> Hedger {
        Hedger { share, routes: Vec::new(), pools: Vec::new() }
    }

    /// Returns whether any request may be hedged.
    pub fn is_active(&self) -> bool {
        self.share > 0.0
    }

    /// Records a request that may be hedged, which adds to the copies that may be sent to its pool.
    pub fn record_request(&mut self, pool: &Arc<str>) {
        if self.is_active() {
            let pool = tracked(&mut self.pools, pool);
            pool.credit = (pool.credit + self.share).min(MAX_CREDIT);
        }
    }

    /// Returns how long to wait for the first byte before a copy is due: longer than all but the share of recent requests
    /// that may be copied, relative to the expected times. `None` if there are too few of them, or if the deadline leaves
    /// no time for the usual answer to a copy.
    pub fn delay(
        &mut self,
        now: Time,
        path: Path,
        expected: Span,
        time_left: Span,
    ) -> Option<Span> {
        let late = 1.0 - self.share;
        let samples = self.samples(now, path);
        let delay = span(samples.quantile(late)?, expected);
        let usual = span(samples.quantile(0.5)?, expected);
        (delay.0 + usual.0 < time_left.0).then_some(delay)
    }

    /// Returns the samples of a route, or those of its pool while the route has too few.
    fn samples(&mut self, now: Time, path: Path) -> &Samples {
        let route = tracked(&mut self.routes, path.route);
        route.remove_expired(now);
        if route.recent.len() >= MIN_SAMPLES {
            return route;
        }
        let pool = tracked(&mut self.pools, path.pool);
        pool.samples.remove_expired(now);
        &pool.samples
    }

    /// Checks whether a copy may be sent to a pool.
    ///
    /// # Errors
    /// Returns why it may not.
    pub fn check(&mut self, pool: &Arc<str>) -> Result<(), Denial> {
        let pool = tracked(&mut self.pools, pool);
        if pool.credit >= pool.cost() {
            Ok(())
        } else {
            Err(if pool.is_useful() { Denial::Share } else { Denial::NoBenefit })
        }
    }

    /// Records that a copy is sent.
    pub fn record_copy(&mut self, pool: &Arc<str>) {
        let pool = tracked(&mut self.pools, pool);
        pool.credit -= pool.cost();
    }

    /// Records the time after which the first byte arrived, or after which an attempt without one was cancelled in favour
    /// of a copy. It then counts as one of the late ones, so that the measured times do not drift down.
    pub fn record_first_byte(&mut self, now: Time, path: Path, expected: Span, took: Span) {
        let ratio = ratio(took, expected);
        tracked(&mut self.routes, path.route).record(now, ratio);
        tracked(&mut self.pools, path.pool).samples.record(now, ratio);
    }

    /// Records how a request ended that was sent to two upstreams.
    pub fn record_outcome(&mut self, pool: &Arc<str>, outcome: Outcome) {
        let helped = match outcome {
            Outcome::Won => 1.0,
            Outcome::Lost | Outcome::Failed => 0.0,
            Outcome::Abandoned => return,
        };
        let pool = tracked(&mut self.pools, pool);
        pool.benefit += BENEFIT_GAIN * (helped - pool.benefit);
    }

    /// Estimates how much longer an attempt without an answer would have taken, from the recent attempts that took longer.
    /// As the times of cancelled ones are cut off, it is rather too low.
    pub fn time_gained(&mut self, now: Time, path: Path, expected: Span, elapsed: Span) -> Span {
        let mean = self.samples(now, path).mean_above(ratio(elapsed, expected));
        mean.map_or(Span(0), |it| Span(span(it, expected).0.saturating_sub(elapsed.0)))
    }
}

/// Returns a measured time as a multiple of the expected one, in thousandths.
fn ratio(took: Span, expected: Span) -> u32 {
    let ratio = (took.0 + OFFSET.0).saturating_mul(1_000) / (expected.0 + OFFSET.0);
    u32::try_from(ratio).unwrap_or(u32::MAX)
}

/// Returns the time that is the given multiple of the expected one.
fn span(ratio: u32, expected: Span) -> Span {
    let span = (expected.0 + OFFSET.0).saturating_mul(u64::from(ratio)) / 1_000;
    Span(span.saturating_sub(OFFSET.0))
}

/// Returns what is tracked under a name. Names that a new configuration no longer has make room for others.
fn tracked<'a, T: Default>(items: &'a mut Vec<(Arc<str>, T)>, name: &Arc<str>) -> &'a mut T {
    let at = match items.binary_search_by(|it| it.0.cmp(name)) {
        Ok(found) => found,
        Err(_) if items.len() == MAX_TRACKED => {
            items.clear();
            items.push((name.clone(), T::default()));
            0
        }
        Err(at) => {
            items.insert(at, (name.clone(), T::default()));
            at
        }
    };
    &mut items[at].1
}
