//! The lasting speed of an upstream, learnt apart from the moment's load of its machine, and the pace of output.
//!
//! Load pattern: upstreams that differ in speed for good and are slowed down by others many times a second.

use crate::time::{Span, Time};

/// Weight of a new sample once there are many. The load of a machine changes within each sample, so that some tens of
/// them are needed.
const MIN_GAIN: f64 = 0.05;

/// Largest difference of one sample from the estimate that counts, as a natural logarithm: a request that had to wait, or a
/// pause of the host, says nothing more about the speed.
const MAX_RESIDUAL: f64 = 0.7;

/// Bounds of the lasting slowness as natural logarithms.
const BOUNDS: (f64, f64) = (-1.6, 2.3);

/// Time that is added to the measured and the expected time, so that short ones do not count as much as long ones.
const OFFSET_US: f64 = 5_000.0;

/// Output tokens until the learnt pace of a pool replaces the assumed one.
const MIN_TOKENS: f64 = 500.0;

/// Part of the earlier output that counts after one more answer.
const TOKENS_KEPT: f64 = 0.995;

/// Half-life of a lasting slowness without samples, after which the upstream is tried again.
const HALF_LIFE: Span = Span::from_ms(60_000);

/// Lasting slowness of one upstream: a mean of logarithms in which no single sample counts for much.
#[derive(Debug, Default)]
pub struct Lasting {
    /// Natural logarithm of the slowness at `updated_at`.
    log: f64,
    samples: u32,
    updated_at: Time,
}

impl Lasting {
    /// Adds a measured time with the time that it takes on an upstream of usual speed under the same load.
    pub fn record(&mut self, now: Time, usual: Span, took: Span) {
        let ratio = (took.0 as f64 + OFFSET_US) / (usual.0 as f64 + OFFSET_US);
        self.record_ratio(now, ratio);
    }

    /// Adds the ratio of a measured time to the usual one.
    pub fn record_ratio(&mut self, now: Time, ratio: f64) {
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        let before = self.current(now);
        let residual = (ratio.ln() - before).clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples + 1)).max(MIN_GAIN);
        self.log = (before + gain * residual).clamp(BOUNDS.0, BOUNDS.1);
        self.updated_at = now;
    }

    /// Returns the factor by which times are longer than usual.
    pub fn factor(&self, now: Time) -> f64 {
        self.current(now).exp()
    }

    fn current(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).0 as f64 / HALF_LIFE.0 as f64;
        self.log * (-age).exp2()
    }
}

/// Pace of output of the upstreams of a pool at usual speed.
#[derive(Debug, Default)]
pub struct Output {
    /// Times from the first event to the last one, in microseconds, as of usual speed, and the expected tokens of the same
    /// answers. The ratio of sums is right though single expectations are far off.
    time_us: f64,
    tokens: f64,
    /// Mean prompt and output of a request, in tokens.
    request_tokens: f64,
}

impl Output {
    /// Adds a whole answer: the tokens that were expected, and how long it took after its first event. `slowness` is the
    /// factor by which the upstream was slower than usual. Returns the ratio of the measured to the usual time, `None` as
    /// long as that is not known.
    pub fn record(&mut self, tokens: u32, took: Span, slowness: f64) -> Option<f64> {
        let (tokens, took) = (f64::from(tokens), took.0 as f64);
        let usual = self.step_us().map(|it| it * tokens);
        self.time_us = self.time_us * TOKENS_KEPT + took / slowness;
        self.tokens = self.tokens * TOKENS_KEPT + tokens;
        usual.map(|it| (took + OFFSET_US) / (it + OFFSET_US))
    }

    /// Adds the prompt and expected output of a request.
    pub fn record_size(&mut self, tokens: u64) {
        let tokens = tokens as f64;
        let before = if self.request_tokens > 0.0 { self.request_tokens } else { tokens };
        self.request_tokens = before + MIN_GAIN * (tokens - before);
    }

    /// Returns the usual time for one token of output in microseconds, `None` before some answers.
    pub fn step_us(&self) -> Option<f64> {
        (self.tokens >= MIN_TOKENS).then(|| self.time_us / self.tokens)
    }

    /// Returns the mean prompt and output of a request in tokens, zero before the first one.
    pub fn request_tokens(&self) -> u64 {
        self.request_tokens as u64
    }
}
