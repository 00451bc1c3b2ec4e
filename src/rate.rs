//! Amount per second, averaged over the last ten seconds.

use crate::time::Time;

/// Time constant of the average, in seconds.
const WINDOW_S: f64 = 10.0;

/// Exponential moving average of a rate.
#[derive(Debug, Default)]
pub struct Rate {
    /// Amount per second at `updated_at`.
    value: f64,
    updated_at: Time,
}

impl Rate {
    /// Adds an amount at a point in time.
    pub fn add(&mut self, now: Time, amount: f64) {
        self.value = self.get(now) + amount / WINDOW_S;
        self.updated_at = now;
    }

    /// Returns the amount per second; it decays while nothing is added.
    pub fn get(&self, now: Time) -> f64 {
        let age_s = now.since(self.updated_at).0 as f64 / 1e6;
        self.value * (-age_s / WINDOW_S).exp()
    }
}
