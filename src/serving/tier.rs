//! Priority tiers of requests, from the priorities of their customers and routes.
//!
//! Most customers have the same priority. With customer priorities alone, an engine that runs out
//! of memory could preempt a short urgent answer and continue a long one that can wait.

/// Distinct priorities of customers, and of routes; less urgent ones count as the last of them.
const PRIORITIES: u8 = 3;

/// Number of tiers.
pub const TIERS: usize = (PRIORITIES * PRIORITIES) as usize;

/// Returns the tier of a request, zero first. Tiers are ordered by the customer's priority, then by
/// the route's. Requests without a customer's priority use the route's for both.
pub fn of(customer: Option<u8>, route: u8) -> u8 {
    let route = route.min(PRIORITIES - 1);
    customer.unwrap_or(route).min(PRIORITIES - 1) * PRIORITIES + route
}
