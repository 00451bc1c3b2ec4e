//! Share of a pool's recent requests that met the latency target of their class.

use crate::{dispatch::ClassKey, scale};

/// Factor by which the counts decay from one report to the next.
const DECAY_PER_REPORT: f64 = 0.8;

/// Minimum number of requests, weighted by age, for which a share is reported.
const MIN_REQUESTS: f64 = 0.5;

/// Request counts per class, weighted by age.
#[derive(Debug, Default)]
pub(crate) struct AttainmentTracker {
    /// Class, requests that met the target, and all requests. Sorted by class.
    counts: Vec<(ClassKey, f64, f64)>,
}

impl AttainmentTracker {
    /// Records whether a request received its first token in time.
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

    /// Returns the attainment of a class; `None` without recent requests.
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

    /// Decays the counts; called once after each report.
    pub(crate) fn decay(&mut self) {
        for (_, in_time, all) in &mut self.counts {
            *in_time *= DECAY_PER_REPORT;
            *all *= DECAY_PER_REPORT;
        }
    }
}
