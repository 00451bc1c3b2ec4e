//! Share of a pool's recent requests that met their class's target.

use crate::{dispatch::ClassKey, scale};

/// Share of the counts that is kept from one report to the next.
const KEPT_PER_REPORT: f64 = 0.8;

/// Fewest requests, weighted by age, for which a share is stated.
const MIN_REQUESTS: f64 = 0.5;

/// Aged counts per class.
#[derive(Debug, Default)]
pub(crate) struct AttainmentTracker {
    /// Class, requests in time and all requests, sorted by class.
    counts: Vec<(ClassKey, f64, f64)>,
}

impl AttainmentTracker {
    /// Notes whether a request had its first token in time.
    pub(crate) fn record(&mut self, class: ClassKey, in_time: bool) {
        let at = match self.counts.binary_search_by_key(&class, |it| it.0) {
            Ok(at) => at,
            Err(at) => {
                self.counts.insert(at, (class, 0.0, 0.0));
                at
            }
        };
        self.counts[at].1 += f64::from(u8::from(in_time));
        self.counts[at].2 += 1.0;
    }

    /// How a class fares, or `None` without recent requests.
    pub(crate) fn report(
        &self,
        class: ClassKey,
        target_per_mille: u32,
        queued: u32,
    ) -> Option<scale::ClassAttainment> {
        let found = self.counts.binary_search_by_key(&class, |it| it.0).ok()?;
        let (_, in_time, all) = self.counts[found];
        if all < MIN_REQUESTS {
            return None;
        }
        let in_time_per_mille = (1_000.0 * in_time / all) as u32;
        Some(scale::ClassAttainment { target_per_mille, in_time_per_mille, queued })
    }

    /// Ages the counts.
    pub(crate) fn decay(&mut self) {
        for (_, in_time, all) in &mut self.counts {
            *in_time *= KEPT_PER_REPORT;
            *all *= KEPT_PER_REPORT;
        }
    }
}
