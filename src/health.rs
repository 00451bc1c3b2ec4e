//! What the dispatcher measures of an upstream: pace, failures and re-entry.

use crate::time::{Span, Time};

/// First ejection of an upstream.
const FIRST_EJECTION: Span = Span::from_ms(1_000);

/// Longest ejection of an upstream.
const MAX_EJECTION: Span = Span::from_ms(60_000);

/// Consecutive timeouts that eject an upstream.
const MAX_TIMEOUTS: u32 = 3;

/// Share of a new sample in the moving mean of an upstream.
const GAIN: f64 = 0.0625;

/// Share of a new sample in the moving mean of a pool.
const POOL_GAIN: f64 = 0.004;

/// Samples before a mean is used.
const MIN_SAMPLES: u32 = 8;

/// Moving mean and deviation.
#[derive(Debug, Clone, Copy)]
pub struct MovingMean {
    /// Smallest share of a new sample.
    gain: f64,
    value: f64,
    deviation: f64,
    samples: u32,
}

impl Default for MovingMean {
    fn default() -> MovingMean {
        MovingMean { gain: GAIN, value: 0.0, deviation: 0.0, samples: 0 }
    }
}

impl MovingMean {
    /// A mean over many upstreams.
    pub fn of_pool() -> MovingMean {
        MovingMean { gain: POOL_GAIN, ..MovingMean::default() }
    }

    /// Takes in a sample.
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

    /// The mean, once enough samples have come.
    pub fn get(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.value)
    }

    /// Two deviations above the mean, once enough samples have come.
    pub fn upper(&self) -> Option<f64> {
        self.get().map(|mean| mean + 2.0 * self.deviation)
    }
}

/// Work rate of a slot, as the ratio of two moving means, so that short requests do not count for more than they are.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkRate {
    work: MovingMean,
    seconds: MovingMean,
}

impl WorkRate {
    /// A rate over many upstreams.
    pub fn of_pool() -> WorkRate {
        WorkRate { work: MovingMean::of_pool(), seconds: MovingMean::of_pool() }
    }

    /// Takes in a request's work and its time in the slot.
    pub fn observe(&mut self, work: u64, duration: Span) {
        self.work.observe(work as f64);
        self.seconds.observe(duration.0.max(1) as f64 / 1e6);
    }

    /// Work units per second, once enough samples have come.
    pub fn rate(&self) -> Option<f64> {
        Some(self.work.get()? / self.seconds.get()?)
    }
}

/// Why an upstream is struck.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It refused a connection, crashed, cut an answer or answered garbage.
    Hard,
    /// It did not answer in time.
    Timeout,
}

/// Failures of an upstream and its way back.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    /// Ejections without a full recovery between them.
    strikes: u32,
    /// Timeouts since the last success.
    timeouts: u32,
    /// When the last ejection began.
    struck: Option<Time>,
    /// End of the ejection in force.
    until: Option<Time>,
    /// Slots usable during re-entry. Grows with each success.
    ramp: Option<u32>,
}

impl Health {
    /// Records a failure of an attempt and returns the end of the ejection if it causes one.
    ///
    /// Attempts granted before the last ejection tell nothing new.
    pub fn fail(&mut self, now: Time, granted: Time, fault: Fault) -> Option<Time> {
        if self.until.is_some() || self.struck.is_some_and(|struck| granted <= struck) {
            return None;
        }
        if fault == Fault::Timeout {
            self.timeouts += 1;
            if self.timeouts < MAX_TIMEOUTS {
                return None;
            }
        }
        let doublings = self.strikes.min(16);
        let period = Span((FIRST_EJECTION.0 << doublings).min(MAX_EJECTION.0));
        self.strikes += 1;
        self.timeouts = 0;
        self.struck = Some(now);
        self.until = Some(now + period);
        self.until
    }

    /// Records a success; re-entry gains a slot.
    pub fn succeed(&mut self, slots: u32) {
        self.timeouts = 0;
        let Some(ramp) = self.ramp else { return };
        if ramp + 1 >= slots {
            self.ramp = None;
            self.strikes = 0;
        } else {
            self.ramp = Some(ramp + 1);
        }
    }

    /// Ends the ejection; the upstream returns with one slot.
    pub fn readmit(&mut self) {
        self.until = None;
        self.ramp = Some(1);
    }

    /// End of the ejection in force.
    pub fn ejected_until(&self) -> Option<Time> {
        self.until
    }

    /// Slots usable of `slots`.
    pub fn limit(&self, slots: u32) -> u32 {
        match (self.until, self.ramp) {
            (Some(_), _) => 0,
            (None, Some(ramp)) => ramp.min(slots),
            (None, None) => slots,
        }
    }
}
