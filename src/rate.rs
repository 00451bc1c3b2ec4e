//! Amount per second, averaged over the last seconds.

use crate::time::Time;

/// Time over which a rate is averaged, in seconds.
const WINDOW_S: f64 = 10.0;

/// Exponentially averaged rate.
#[derive(Debug, Default)]
pub struct Rate {
    /// Amount per second at `at`.
    value: f64,
    at: Time,
}

impl Rate {
    /// Counts an amount.
    pub fn add(&mut self, now: Time, amount: f64) {
        self.value = self.get(now) + amount / WINDOW_S;
        self.at = now;
    }

    /// Amount per second.
    pub fn get(&self, now: Time) -> f64 {
        let age_s = now.since(self.at).0 as f64 / 1e6;
        self.value * (-age_s / WINDOW_S).exp()
    }
}
