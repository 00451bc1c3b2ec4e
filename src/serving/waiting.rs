//! Requests that wait at this host for a place, and the order in which they get one.
//!
//! Load pattern: more requests than places, from customers of which one sends many times its usual, and of sizes that
//! differ tenfold. The order is by tier; within a tier those go first whose time to wait nearly ends, then the customer that
//! got the least work of late, then the least time left, then the least work.

use std::sync::Arc;

use crate::{
    rate::Rate,
    serving::{key::TicketKey, placement::Ticket},
    time::{Span, Time},
};

/// Requests that wait at one host at most. Their bodies are kept meanwhile.
pub const MAX_WAITING: usize = 256;

/// Divisor of the time to wait which gives its last part, in which a request goes before others of its tier.
const AGED_DIVISOR: u64 = 4;

/// Customers of which the work is kept.
const MAX_CUSTOMERS: usize = 1_024;

/// Work per output token, in tokens of a prompt.
const OUTPUT_WEIGHT: u64 = 10;

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// Its ticket.
    pub ticket: Ticket,
    /// Time at which it began to wait.
    pub since: Time,
    /// Time up to which it waits.
    pub until: Time,
}

/// Customer of a pool, `None` for requests without one.
type Customer = (Arc<str>, Option<Arc<str>>);

/// Order of a request, least first.
type Rank = (u8, bool, u64, Time, u64, TicketKey);

/// The waiting requests of a host and the work that customers got of late.
#[derive(Debug, Default)]
pub struct Queue {
    entries: Vec<Waiting>,
    /// Granted work per second by customer, sorted.
    shares: Vec<(Customer, Rate)>,
}

/// Returns the estimated work of a request: tokens, or one for a request that is not for an engine.
pub fn work(ticket: &Ticket) -> u64 {
    ticket.prompt.as_ref().map_or(1, |it| {
        // Parts that others share are mostly cached.
        let own = it.parts.last().map_or(it.tokens, |part| part.tokens);
        let output = it.expected_output.unwrap_or(it.max_output / 2);
        u64::from(own) + u64::from(output) * OUTPUT_WEIGHT
    })
}

impl Queue {
    /// Adds a request. Returns the last one in the order if there are too many.
    pub fn push(&mut self, now: Time, waiting: Waiting) -> Option<Waiting> {
        self.entries.push(waiting);
        if self.entries.len() <= MAX_WAITING {
            return None;
        }
        let ranks = self.entries.iter().enumerate().map(|(at, it)| (self.rank(now, it), at));
        let (_, last) = ranks.max()?;
        Some(self.entries.swap_remove(last))
    }

    /// Removes a request whose caller has left.
    pub fn remove(&mut self, ticket: TicketKey) {
        self.entries.retain(|it| it.ticket.key != ticket);
    }

    /// Takes all requests, the first in the order last.
    pub fn take(&mut self, now: Time) -> Vec<Waiting> {
        let mut entries = std::mem::take(&mut self.entries);
        self.sort(now, &mut entries);
        entries
    }

    /// Sorts requests, the first in the order last.
    pub fn sort(&self, now: Time, entries: &mut [Waiting]) {
        entries.sort_by_cached_key(|it| std::cmp::Reverse(self.rank(now, it)));
    }

    /// Whether a request of the pool waits that is as urgent as the tier or more so.
    pub fn precedes(&self, pool: &str, tier: u8) -> bool {
        self.entries.iter().any(|it| *it.ticket.pool == *pool && it.ticket.tier <= tier)
    }

    /// Charges the customer of a request that begins.
    pub fn charge(&mut self, now: Time, ticket: &Ticket) {
        let customer = (ticket.pool.clone(), ticket.customer.clone());
        let at = match self.shares.binary_search_by(|it| it.0.cmp(&customer)) {
            Ok(found) => found,
            Err(at) => {
                self.shares.insert(at, (customer, Rate::default()));
                at
            }
        };
        self.shares[at].1.add(now, work(ticket) as f64);
        if self.shares.len() > MAX_CUSTOMERS {
            let rates = self.shares.iter().map(|it| it.1.get(now));
            let least = rates.min_by(f64::total_cmp).unwrap_or(0.0);
            self.shares.retain(|it| it.1.get(now) > least);
        }
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns for how long the oldest request has waited.
    pub fn age(&self, now: Time) -> Span {
        let since = self.entries.iter().map(|it| it.since).min();
        since.map_or(Span(0), |it| now.since(it))
    }

    fn rank(&self, now: Time, waiting: &Waiting) -> Rank {
        let Waiting { ticket, since, until } = waiting;
        let last_part = until.since(*since).0 / AGED_DIVISOR;
        let is_aged = until.since(now).0 <= last_part;
        let customer = |it: &Customer| (&it.0, &it.1).cmp(&(&ticket.pool, &ticket.customer));
        let share = self.shares.binary_search_by(|it| customer(&it.0));
        let share = share.map_or(0.0, |at| self.shares[at].1.get(now));
        (ticket.tier, !is_aged, share as u64, *until, work(ticket), ticket.key)
    }
}
