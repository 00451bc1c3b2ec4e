//! The demand of the routes that share the engines of a pool, and which of them have streams with tight gaps.
//!
//! The load pattern it answers: an engine that reads long prompts takes so long for each step that streams running
//! beside them miss their gaps. Streams with tight gaps therefore get engines of their own, by their share of the work.

use std::sync::Arc;

use crate::{rate::Rate, serving::placement::Ticket, time::Time};

/// Prompt tokens that an engine reads in a millisecond.
const PREFILL_RATE: f64 = 40.0;

/// Time of one step of an engine that reads no prompt, in milliseconds; the users' engines take 5.1 to 5.2 and more.
const STEP_MS: f64 = 5.3;

/// Streams that share a step.
const TYPICAL_BATCH: f64 = 40.0;

/// Demand by route.
#[derive(Debug, Default)]
pub struct PoolDemand {
    /// Sorted by route.
    routes: Vec<(Arc<str>, RouteDemand)>,
}

#[derive(Debug, Default)]
struct RouteDemand {
    gap_ms: Option<u64>,
    /// Time of engines that requests take, in milliseconds per second.
    time: Rate,
    /// Time of engines that their prompts take.
    prefill: Rate,
}

impl PoolDemand {
    /// Takes in a request.
    pub fn observe(&mut self, now: Time, ticket: &Ticket) {
        let Some(prompt) = &ticket.prompt else { return };
        let at = match self.routes.binary_search_by(|it| it.0.cmp(&ticket.route)) {
            Ok(found) => found,
            Err(at) => {
                self.routes.insert(at, (ticket.route.clone(), RouteDemand::default()));
                at
            }
        };
        let own = prompt.parts.last().map_or(prompt.tokens, |it| it.tokens);
        let read = f64::from(own) / PREFILL_RATE;
        let output = prompt.expected_output.unwrap_or(prompt.max_output / 2);
        let written = f64::from(output) * STEP_MS / TYPICAL_BATCH;
        let demand = &mut self.routes[at].1;
        demand.gap_ms = ticket.max_gap_ms;
        demand.time.add(now, read + written);
        demand.prefill.add(now, read);
    }

    /// Whether the streams of a route have the tightest gaps, and the others read more.
    pub fn is_tight(&self, now: Time, route: &str) -> bool {
        let Ok(found) = self.routes.binary_search_by(|it| (*it.0).cmp(route)) else { return false };
        let Some(gap) = self.routes[found].1.gap_ms else { return false };
        let tightest = self.routes.iter().filter_map(|it| it.1.gap_ms).min();
        let rest = self.routes.iter().filter(|it| it.1.gap_ms != Some(gap));
        let own = self.routes[found].1.prefill.get(now);
        let others: f64 = rest.map(|it| it.1.prefill.get(now)).sum();
        tightest == Some(gap) && others > own
    }

    /// Share of the engines' time that tight streams take.
    pub fn tight_share(&self, now: Time) -> f64 {
        let total: f64 = self.routes.iter().map(|it| it.1.time.get(now)).sum();
        let tight = self.routes.iter().filter(|it| self.is_tight(now, &it.0));
        let tight: f64 = tight.map(|it| it.1.time.get(now)).sum();
        if total > 0.0 { tight / total } else { 0.0 }
    }
}
