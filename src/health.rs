//! Measurements of an upstream: moving means, work rate, and ejection after failures.

use crate::time::{Span, Time};

/// Duration of the first ejection of an upstream. Each further one before recovery lasts twice as long.
const FIRST_EJECTION: Span = Span::from_ms(1_000);

/// Maximum duration of an ejection.
const MAX_EJECTION: Span = Span::from_ms(60_000);

/// Number of consecutive timeouts after which an upstream is ejected.
const MAX_TIMEOUTS: u32 = 3;

/// Weight of a new sample in the moving mean of an upstream.
const GAIN: f64 = 0.0625;

/// Weight of a new sample in the moving mean of a pool.
const POOL_GAIN: f64 = 0.004;

/// Number of samples from which a mean is used.
const MIN_SAMPLES: u32 = 8;

/// Exponential moving mean and mean absolute deviation.
///
/// The first samples are weighted equally.
#[derive(Debug, Clone, Copy)]
pub struct Mean {
    /// Minimum weight of a new sample.
    gain: f64,
    value: f64,
    deviation: f64,
    samples: u32,
}

impl Default for Mean {
    fn default() -> Mean {
        Mean { gain: GAIN, value: 0.0, deviation: 0.0, samples: 0 }
    }
}

impl Mean {
    /// Creates a mean over the samples of all upstreams of a pool.
    pub fn of_pool() -> Mean {
        Mean { gain: POOL_GAIN, ..Mean::default() }
    }

    /// Adds a sample.
    pub fn observe(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value = sample;
            self.deviation = sample / 2.0;
            return;
        }
        let error = sample - self.value;
        let gain = self.gain.max(f64::from(self.samples).recip());
        self.value += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
    }

    /// Returns the mean, or `None` with fewer than `MIN_SAMPLES` samples.
    pub fn get(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.value)
    }

    /// Returns the mean plus two deviations, or `None` with fewer than `MIN_SAMPLES` samples.
    pub fn upper(&self) -> Option<f64> {
        self.get().map(|mean| mean + 2.0 * self.deviation)
    }
}

/// Work rate of a slot.
///
/// It is the ratio of the mean work to the mean duration, so that short requests are not overrepresented.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    work: Mean,
    seconds: Mean,
}

impl Rate {
    /// Creates a work rate over the requests of all upstreams of a pool.
    pub fn of_pool() -> Rate {
        Rate { work: Mean::of_pool(), seconds: Mean::of_pool() }
    }

    /// Adds a request with its work in work units and the time that it occupied the slot.
    pub fn observe(&mut self, work: u64, duration: Span) {
        self.work.observe(work as f64);
        self.seconds.observe(duration.0.max(1) as f64 / 1e6);
    }

    /// Returns work units per second, or `None` with fewer than `MIN_SAMPLES` requests.
    pub fn rate(&self) -> Option<f64> {
        Some(self.work.get()? / self.seconds.get()?)
    }
}

/// Kinds of failures that may eject an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The upstream refused a connection, crashed or broke off an answer. Ejects immediately.
    Hard,
    /// The upstream did not answer in time or sent an invalid answer. Ejects after `MAX_TIMEOUTS` in succession.
    Timeout,
}

/// Failures of an upstream, its ejection and its gradual re-admission.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Number of ejections since the upstream last had all of its slots.
    ejections: u32,
    /// Timeouts since the last success.
    timeouts: u32,
    /// Start of the last ejection.
    ejected_at: Option<Time>,
    /// End of the current ejection.
    ejected_until: Option<Time>,
    /// Number of usable slots while the upstream is being re-admitted. Grows by one with each success.
    ramp_slots: Option<u32>,
}

impl Health {
    /// Records a failed attempt and returns the end of the ejection if the failure causes one.
    ///
    /// Failures during an ejection, and of attempts that were granted before the last one, are ignored.
    pub fn record_failure(&mut self, now: Time, granted: Time, fault: Fault) -> Option<Time> {
        if self.ejected_until.is_some()
            || self.ejected_at.is_some_and(|ejected_at| granted <= ejected_at)
        {
            return None;
        }
        if fault == Fault::Timeout {
            self.timeouts += 1;
            if self.timeouts < MAX_TIMEOUTS {
                return None;
            }
        }
        let doublings = self.ejections.min(16);
        let period = Span((FIRST_EJECTION.0 << doublings).min(MAX_EJECTION.0));
        self.ejections += 1;
        self.timeouts = 0;
        self.ejected_at = Some(now);
        self.ejected_until = Some(now + period);
        self.ejected_until
    }

    /// Records a success, which adds a usable slot during re-admission.
    ///
    /// Re-admission is complete when `slots` are usable.
    pub fn record_success(&mut self, slots: u32) {
        self.timeouts = 0;
        let Some(ramp_slots) = self.ramp_slots else { return };
        if ramp_slots + 1 >= slots {
            self.ramp_slots = None;
            self.ejections = 0;
        } else {
            self.ramp_slots = Some(ramp_slots + 1);
        }
    }

    /// Ends the ejection and re-admits the upstream with one slot.
    pub fn readmit(&mut self) {
        self.ejected_until = None;
        self.ramp_slots = Some(1);
    }

    /// Returns the end of the current ejection.
    pub fn ejected_until(&self) -> Option<Time> {
        self.ejected_until
    }

    /// Returns how many of an upstream's `slots` are usable now.
    pub fn limit(&self, slots: u32) -> u32 {
        match (self.ejected_until, self.ramp_slots) {
            (Some(_), _) => 0,
            (None, Some(ramp_slots)) => ramp_slots.min(slots),
            (None, None) => slots,
        }
    }
}
