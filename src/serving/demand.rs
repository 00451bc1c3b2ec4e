//! Demand of the routes that share the engines of a pool, and which of them are latency-sensitive.
//!
//! An engine that prefills long prompts takes so long for each step that concurrent streams exceed
//! their maximum gap between events. Streams of the routes with the smallest maximum gap therefore
//! get engines of their own, in proportion to their share of the work.

use std::sync::Arc;

use crate::{
    rate::Rate,
    serving::placement::{Ticket, output_tokens},
    time::Time,
};

/// Prompt tokens that an engine prefills per millisecond.
const PREFILL_RATE: f64 = 40.0;

/// Time of one decoding step without prefill, in milliseconds; the users' engines take at least 5.1
/// to 5.2 ms.
pub const STEP_MS: f64 = 5.3;

/// Assumed streams per decoding step.
const TYPICAL_BATCH: f64 = 40.0;

/// Demand of one pool.
#[derive(Debug, Default)]
pub struct Demand {
    /// Sorted by route.
    routes: Vec<(Arc<str>, RouteDemand)>,
}

#[derive(Debug, Default)]
struct RouteDemand {
    max_gap_ms: Option<u64>,
    /// Engine time for prefill and decoding, in milliseconds per second.
    engine_time: Rate,
    /// Engine time for prefill alone, in the same unit.
    prefill: Rate,
}

impl Demand {
    /// Adds the estimated engine time of a request; requests without a prompt are ignored.
    pub fn observe(&mut self, now: Time, ticket: &Ticket) {
        let Some(prompt) = &ticket.prompt else { return };
        let at = match self.routes.binary_search_by(|it| it.0.cmp(&ticket.route)) {
            Ok(found) => found,
            Err(at) => {
                self.routes.insert(at, (ticket.route.clone(), RouteDemand::default()));
                at
            }
        };
        let own_tokens = prompt.parts.last().map_or(prompt.tokens, |it| it.tokens);
        let prefill = f64::from(own_tokens) / PREFILL_RATE;
        let output = output_tokens(prompt);
        let decode = f64::from(output) * STEP_MS / TYPICAL_BATCH;
        let demand = &mut self.routes[at].1;
        demand.max_gap_ms = ticket.max_gap_ms;
        demand.engine_time.add(now, prefill + decode);
        demand.prefill.add(now, prefill);
    }

    /// Returns whether a route has the smallest maximum gap of the pool, and the routes with larger
    /// or no maximum need more prefill time than it does.
    pub fn is_latency_sensitive(&self, now: Time, route: &str) -> bool {
        let Ok(found) = self.routes.binary_search_by(|it| (*it.0).cmp(route)) else { return false };
        let Some(gap) = self.routes[found].1.max_gap_ms else { return false };
        let smallest = self.routes.iter().filter_map(|it| it.1.max_gap_ms).min();
        let other_routes = self.routes.iter().filter(|it| it.1.max_gap_ms != Some(gap));
        let own = self.routes[found].1.prefill.get(now);
        let others: f64 = other_routes.map(|it| it.1.prefill.get(now)).sum();
        smallest == Some(gap) && others > own
    }

    /// Returns the share of the engine time that latency-sensitive routes need, zero to one.
    pub fn latency_sensitive_share(&self, now: Time) -> f64 {
        let total: f64 = self.routes.iter().map(|it| it.1.engine_time.get(now)).sum();
        let sensitive = self.routes.iter().filter(|it| self.is_latency_sensitive(now, &it.0));
        let sensitive: f64 = sensitive.map(|it| it.1.engine_time.get(now)).sum();
        if total > 0.0 { sensitive / total } else { 0.0 }
    }
}
