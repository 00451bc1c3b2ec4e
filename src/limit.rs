//! Per-customer limits on request rate, token rate and concurrency.
//!
//! One limiter per availability zone decides for all hosts of the zone, which makes the limits exact within the zone.
//! In any interval of t seconds a customer:
//!
//! - starts at most max(1, `requests_per_second` × share × (t + 1)) requests;
//! - uses at most `tokens_per_minute` × share × (t + 10) / 60 tokens, not counting the tokens of its last request;
//! - has at most max(1, `concurrency` × share) requests in flight.
//!
//! The share is the fraction of each limit that is assigned to the zone. While the shares of all zones add up to one,
//! the limits hold across zones even if the zones cannot reach each other: a partitioned zone keeps its share, and the
//! part that it does not use is not reassigned. If the shares of partitioned zones add up to more than one, a customer
//! gets at most that multiple of its limits. Concurrency is rounded up to one request in each zone, so a limit smaller
//! than the number of zones can be exceeded by up to the number of zones minus one.
//!
//! A limiter that replaces a lost one starts with full buckets, so each replacement can admit one additional second of
//! requests and ten additional seconds of tokens. Permits that hosts report through [`Limiter::restore`] count from the
//! time of the report.

use std::collections::BTreeMap;

use crate::{
    dispatch::CustomerKey,
    error::Kind,
    time::{Span, Time},
};

/// Share of a zone that may use the whole of every limit, in thousandths.
const FULL_SHARE: u32 = 1_000;

/// Capacity of the request bucket, as the time in which it fills, in microseconds.
const REQUEST_BURST_US: i128 = 1_000_000;

/// Capacity of the token bucket, as the time in which it fills, in microseconds.
const TOKEN_BURST_US: i128 = 10_000_000;

/// Bucket level that one request takes: a limit of one request per second at full share refills it in one second.
const REQUEST_COST: i128 = 1_000_000 * FULL_SHARE as i128;

/// Bucket level that one token takes: a limit of one token per minute at full share refills it in one minute.
const TOKEN_COST: i128 = 60_000_000 * FULL_SHARE as i128;

/// Time without a sign of life from a host after which its permits expire.
pub const HOST_TIMEOUT: Span = Span::from_ms(10_000);

/// Retry delay returned when the concurrency limit is reached, in milliseconds.
const CONCURRENCY_RETRY_MS: u64 = 500;

/// Key of an entry host, unique per incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostKey(pub u64);

/// Number of a permit. A limiter never issues the same number twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permit(pub u64);

/// Limits from a customer's record; a limit that is `None` does not apply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limits {
    /// Requests that may start per second.
    pub requests_per_second: Option<u32>,
    /// Prompt and generated tokens per minute.
    pub tokens_per_minute: Option<u64>,
    /// Requests that may be in flight at the same time.
    pub concurrency: Option<u32>,
}

/// Reason why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// `RequestLimit`, `TokenLimit` or `ConcurrencyLimit`.
    pub kind: Kind,
    /// Delay after which a retry may succeed, in milliseconds.
    pub retry_after_ms: u64,
}

/// Token bucket: a level that rises with time.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Negative after a request that used more tokens than were available.
    level: i128,
    /// Time at which the level was computed.
    updated_at: Time,
}

/// Buckets and requests in flight of a customer.
#[derive(Debug)]
struct CustomerState {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    in_flight: u32,
}

/// Permit of a request in flight.
#[derive(Debug)]
struct ActivePermit {
    customer: CustomerKey,
    host: HostKey,
    /// Tokens taken from the bucket; `None` if no token limit applied.
    tokens: Option<u64>,
}

/// Admits the requests of a zone within the limits of their customers.
#[derive(Debug)]
pub struct Limiter {
    /// Share of each limit that is assigned to this zone, in thousandths.
    share: u32,
    /// Sorted by customer.
    customers: Vec<(CustomerKey, CustomerState)>,
    permits: BTreeMap<Permit, ActivePermit>,
    /// Time of the last sign of life of each host. Sorted by host.
    hosts: Vec<(HostKey, Time)>,
    /// Number of the permit issued last.
    last_permit: u64,
}

impl Default for Limiter {
    fn default() -> Limiter {
        Limiter {
            share: FULL_SHARE,
            customers: Vec::new(),
            permits: BTreeMap::new(),
            hosts: Vec::new(),
            last_permit: 0,
        }
    }
}

impl Limiter {
    /// Sets the share of each limit that is assigned to this zone, in thousandths. Applies from the next admission on.
    pub fn set_share(&mut self, per_mille: u32) {
        self.share = per_mille.min(FULL_SHARE);
    }

    /// Admits a request that `host` received, or returns the limit that it exceeds.
    ///
    /// # Errors
    /// Returns the limit that is exhausted and the delay after which it may admit the request. A request that is not
    /// admitted is not counted.
    pub fn admit(
        &mut self,
        now: Time,
        host: HostKey,
        customer: CustomerKey,
        limits: &Limits,
        estimated_tokens: u64,
    ) -> Result<Permit, Refusal> {
        self.mark_alive(now, host);
        let share = i128::from(self.share);
        let state = self.customer_state(customer);
        if limits.concurrency.is_some_and(|it| state.in_flight >= concurrency_share(it, share)) {
            let retry_after_ms = CONCURRENCY_RETRY_MS;
            return Err(Refusal { kind: Kind::ConcurrencyLimit, retry_after_ms });
        }
        let requests = limits.requests_per_second.map(|it| Refill {
            rate: i128::from(it) * share,
            capacity: (i128::from(it) * share * REQUEST_BURST_US).max(REQUEST_COST),
        });
        let tokens = limits.tokens_per_minute.map(|it| Refill {
            rate: i128::from(it) * share,
            capacity: i128::from(it) * share * TOKEN_BURST_US,
        });
        let cost = i128::from(estimated_tokens) * TOKEN_COST;
        state.requests = requests.map(|it| it.apply(state.requests, now));
        state.tokens = tokens.map(|it| it.apply(state.tokens, now));
        if let Some(refusal) =
            check_bucket(Kind::RequestLimit, requests, state.requests, REQUEST_COST)
                .or_else(|| check_bucket(Kind::TokenLimit, tokens, state.tokens, cost))
        {
            return Err(refusal);
        }
        take(&mut state.requests, REQUEST_COST);
        take(&mut state.tokens, cost);
        let counted = state.tokens.map(|_| estimated_tokens);
        Ok(self.insert_permit(customer, host, counted))
    }

    /// Counts a request that a previous limiter of the customer admitted and that is still in flight.
    pub fn restore(&mut self, now: Time, host: HostKey, customer: CustomerKey) -> Permit {
        self.mark_alive(now, host);
        self.insert_permit(customer, host, None)
    }

    /// Releases a permit and replaces its estimated tokens with the tokens that were used.
    pub fn settle(&mut self, permit: Permit, actual_tokens: u64) {
        let Some(active) = self.permits.remove(&permit) else { return };
        let state = self.customer_state(active.customer);
        state.in_flight -= 1;
        if let Some(estimated) = active.tokens {
            let difference = i128::from(actual_tokens) - i128::from(estimated);
            take(&mut state.tokens, difference * TOKEN_COST);
        }
    }

    /// Records a sign of life of a host.
    pub fn mark_alive(&mut self, now: Time, host: HostKey) {
        match self.hosts.binary_search_by_key(&host, |it| it.0) {
            Ok(found) => self.hosts[found].1 = now,
            Err(at) => self.hosts.insert(at, (host, now)),
        }
    }

    /// Releases the permits of hosts without a sign of life for [`HOST_TIMEOUT`]. Their tokens stay counted.
    pub fn expire(&mut self, now: Time) {
        let is_silent = |it: &(HostKey, Time)| now.since(it.1) >= HOST_TIMEOUT;
        let lost: Vec<_> = self.hosts.iter().filter(|it| is_silent(it)).map(|it| it.0).collect();
        for host in lost {
            self.remove_host(host);
        }
    }

    /// Releases the permits of a host that is known to have stopped. Their tokens stay counted.
    pub fn remove_host(&mut self, host: HostKey) {
        self.hosts.retain(|it| it.0 != host);
        let of_host = self.permits.iter().filter(|(_, it)| it.host == host);
        let lost: Vec<_> = of_host.map(|(permit, it)| (*permit, it.customer)).collect();
        for (permit, customer) in lost {
            self.permits.remove(&permit);
            self.customer_state(customer).in_flight -= 1;
        }
    }

    /// Returns the number of requests of a customer that are in flight.
    pub fn in_flight(&self, customer: CustomerKey) -> u32 {
        let found = self.customers.binary_search_by_key(&customer, |it| it.0);
        found.map_or(0, |at| self.customers[at].1.in_flight)
    }

    fn insert_permit(
        &mut self,
        customer: CustomerKey,
        host: HostKey,
        tokens: Option<u64>,
    ) -> Permit {
        self.customer_state(customer).in_flight += 1;
        self.last_permit += 1;
        let permit = Permit(self.last_permit);
        self.permits.insert(permit, ActivePermit { customer, host, tokens });
        permit
    }

    fn customer_state(&mut self, customer: CustomerKey) -> &mut CustomerState {
        let at = match self.customers.binary_search_by_key(&customer, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                let state = CustomerState { requests: None, tokens: None, in_flight: 0 };
                self.customers.insert(at, (customer, state));
                at
            }
        };
        &mut self.customers[at].1
    }
}

/// Refill rate and capacity of a bucket.
#[derive(Debug, Clone, Copy)]
struct Refill {
    /// Increase of the level per microsecond.
    rate: i128,
    capacity: i128,
}

impl Refill {
    /// Returns the bucket refilled up to `now`. A new bucket is full.
    fn apply(&self, bucket: Option<Bucket>, now: Time) -> Bucket {
        let Some(bucket) = bucket else { return Bucket { level: self.capacity, updated_at: now } };
        let elapsed_us = i128::from(now.since(bucket.updated_at).0);
        let level = (bucket.level + elapsed_us * self.rate).min(self.capacity);
        Bucket { level, updated_at: now.max(bucket.updated_at) }
    }
}

/// Returns a refusal if the bucket does not cover the cost. A cost above the capacity requires a full bucket.
fn check_bucket(
    kind: Kind,
    refill: Option<Refill>,
    bucket: Option<Bucket>,
    cost: i128,
) -> Option<Refusal> {
    let (refill, bucket) = (refill?, bucket?);
    let missing = cost.min(refill.capacity) - bucket.level;
    if missing <= 0 {
        return None;
    }
    let wait_us = missing.checked_div(refill.rate).unwrap_or(i128::from(u32::MAX));
    let retry_after_ms = u64::try_from(wait_us / 1_000 + 1).unwrap_or(u64::MAX);
    Some(Refusal { kind, retry_after_ms })
}

fn take(bucket: &mut Option<Bucket>, cost: i128) {
    if let Some(bucket) = bucket {
        bucket.level -= cost;
    }
}

/// Returns the zone's share of a concurrency limit, at least one unless the limit is zero.
fn concurrency_share(limit: u32, share: i128) -> u32 {
    let scaled = i128::from(limit) * share / i128::from(FULL_SHARE);
    u32::try_from(scaled).unwrap_or(u32::MAX).max(limit.min(1))
}
