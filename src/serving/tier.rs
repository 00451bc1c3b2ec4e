//! Order in which requests go first, from the priorities of their customers and routes.
//!
//! The load pattern it answers: most customers have the same priority, so that by it alone an engine without memory takes
//! back a short urgent answer and lets a long one run on that can wait.

/// Priorities that are told apart of customers, and of routes; lower ones count as the last.
const LEVELS: u8 = 3;

/// Places in the order.
pub const TIERS: usize = (LEVELS * LEVELS) as usize;

/// Place of a request in the order, zero first: the customer's priority stands before the route's, which orders requests
/// of like customers.
pub fn of(customer: Option<u8>, route: u8) -> u8 {
    let route = route.min(LEVELS - 1);
    customer.unwrap_or(route).min(LEVELS - 1) * LEVELS + route
}
