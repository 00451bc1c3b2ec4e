//! Limits per customer on requests, tokens and concurrency.
//!
//! One limiter per availability zone decides for all hosts of the zone, so that its answers are exact there: in any span
//! of t seconds a customer starts at most `requests_per_second` × share × (t + 1) requests, or one where that is less,
//! takes at most `tokens_per_minute` × share × (t + 10) / 60 tokens beyond the last request's own, and never has more
//! than `concurrency` × share requests in flight, or one where that is less.
//!
//! The share is the part of a limit that the zone may give out. As long as the shares of all zones add up to one, the
//! limits hold over all zones together, whether or not the zones can reach each other; a zone that is cut off keeps its
//! share, and what it does not use is not given out elsewhere. Where the shares of cut-off zones add up to more, a
//! customer gets at most that multiple of its limits. Requests in flight are rounded up to one in each zone, so that a
//! limit smaller than the number of zones can be exceeded by up to that number less one.
//!
//! A limiter that takes over from a lost one starts with full buckets. Each such change can add one second's requests
//! and ten seconds' tokens. Permits that hosts report with [`Limiter::restore`] count from then on.

use std::collections::BTreeMap;

use crate::{
    dispatch::CustomerKey,
    error::Kind,
    time::{Span, Time},
};

/// Whole of a limit, in thousandths.
const WHOLE: u32 = 1_000;

/// Time that a bucket of requests covers, in microseconds.
const REQUEST_BURST_US: i128 = 1_000_000;

/// Time that a bucket of tokens covers, in microseconds.
const TOKEN_BURST_US: i128 = 10_000_000;

/// Level of a request: one request per second and share fills it in a second.
const REQUEST_COST: i128 = 1_000_000 * WHOLE as i128;

/// Level of a token: one token per minute and share fills it in a minute.
const TOKEN_COST: i128 = 60_000_000 * WHOLE as i128;

/// Time after which a silent host's permits are void.
pub const HOST_TIMEOUT: Span = Span::from_ms(10_000);

/// Delay stated when the concurrency is used up, in milliseconds.
const CONCURRENCY_AFTER_MS: u64 = 500;

/// Key of an entry host, one for each incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostKey(pub u64);

/// Number of a permit. Never given twice by one limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permit(pub u64);

/// Limits of a customer, as in its record; no limit where absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limits {
    /// Requests that start in a second.
    pub requests_per_second: Option<u32>,
    /// Prompt and generated tokens in a minute.
    pub tokens_per_minute: Option<u64>,
    /// Requests in flight at once.
    pub concurrency: Option<u32>,
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// `RequestLimit`, `TokenLimit` or `ConcurrencyLimit`.
    pub kind: Kind,
    /// Delay after which a repeat may succeed, in milliseconds.
    pub retry_after_ms: u64,
}

/// A level that fills with time.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Below zero after a request that took more than there was.
    level: i128,
    /// When the level was true.
    at: Time,
}

/// What a customer has used.
#[derive(Debug)]
struct Account {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
    in_flight: u32,
}

/// A request in flight.
#[derive(Debug)]
struct Held {
    customer: CustomerKey,
    host: HostKey,
    /// Tokens taken from the bucket, `None` if there was no limit.
    tokens: Option<u64>,
}

/// Decides which requests of a zone may start.
#[derive(Debug)]
pub struct Limiter {
    /// Part of each limit that may be given out, in thousandths.
    share: u32,
    /// Sorted by customer.
    accounts: Vec<(CustomerKey, Account)>,
    permits: BTreeMap<Permit, Held>,
    /// When each host was last heard. Sorted by host.
    hosts: Vec<(HostKey, Time)>,
    /// Number of the newest permit.
    last: u64,
}

impl Default for Limiter {
    fn default() -> Limiter {
        Limiter {
            share: WHOLE,
            accounts: Vec::new(),
            permits: BTreeMap::new(),
            hosts: Vec::new(),
            last: 0,
        }
    }
}

impl Limiter {
    /// Sets the part of each limit that may be given out, in thousandths. Holds from the next admission on.
    pub fn set_share(&mut self, per_mille: u32) {
        self.share = per_mille.min(WHOLE);
    }

    /// Admits a request of a host's caller or says which limit it exceeds.
    ///
    /// # Errors
    /// The limit that is used up, and when it no longer will be. Nothing is counted then.
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
        let account = self.account(customer);
        if limits.concurrency.is_some_and(|it| account.in_flight >= part(it, share)) {
            let retry_after_ms = CONCURRENCY_AFTER_MS;
            return Err(Refusal { kind: Kind::ConcurrencyLimit, retry_after_ms });
        }
        let requests = limits.requests_per_second.map(|it| Flow {
            rate: i128::from(it) * share,
            capacity: (i128::from(it) * share * REQUEST_BURST_US).max(REQUEST_COST),
        });
        let tokens = limits.tokens_per_minute.map(|it| Flow {
            rate: i128::from(it) * share,
            capacity: i128::from(it) * share * TOKEN_BURST_US,
        });
        let cost = i128::from(estimated_tokens) * TOKEN_COST;
        account.requests = requests.map(|it| it.fill(account.requests, now));
        account.tokens = tokens.map(|it| it.fill(account.tokens, now));
        if let Some(refusal) =
            exceeded(Kind::RequestLimit, requests, account.requests, REQUEST_COST)
                .or_else(|| exceeded(Kind::TokenLimit, tokens, account.tokens, cost))
        {
            return Err(refusal);
        }
        take(&mut account.requests, REQUEST_COST);
        take(&mut account.tokens, cost);
        let counted = account.tokens.map(|_| estimated_tokens);
        Ok(self.hold(customer, host, counted))
    }

    /// Counts a request that is in flight since before this limiter took over.
    pub fn restore(&mut self, now: Time, host: HostKey, customer: CustomerKey) -> Permit {
        self.mark_alive(now, host);
        self.hold(customer, host, None)
    }

    /// Ends a permit and replaces its estimated tokens by the ones that were used.
    pub fn settle(&mut self, permit: Permit, actual_tokens: u64) {
        let Some(held) = self.permits.remove(&permit) else { return };
        let account = self.account(held.customer);
        account.in_flight -= 1;
        if let Some(estimated) = held.tokens {
            let difference = i128::from(actual_tokens) - i128::from(estimated);
            take(&mut account.tokens, difference * TOKEN_COST);
        }
    }

    /// Notes that a host is alive.
    pub fn mark_alive(&mut self, now: Time, host: HostKey) {
        match self.hosts.binary_search_by_key(&host, |it| it.0) {
            Ok(found) => self.hosts[found].1 = now,
            Err(at) => self.hosts.insert(at, (host, now)),
        }
    }

    /// Ends the permits of hosts that were not heard for [`HOST_TIMEOUT`]. Their tokens stay counted.
    pub fn expire(&mut self, now: Time) {
        let silent = |it: &(HostKey, Time)| now.since(it.1) >= HOST_TIMEOUT;
        let lost: Vec<_> = self.hosts.iter().filter(|it| silent(it)).map(|it| it.0).collect();
        for host in lost {
            self.remove_host(host);
        }
    }

    /// Ends the permits of a host that is known to have died. Their tokens stay counted.
    pub fn remove_host(&mut self, host: HostKey) {
        self.hosts.retain(|it| it.0 != host);
        let held = self.permits.iter().filter(|(_, it)| it.host == host);
        let lost: Vec<_> = held.map(|(permit, it)| (*permit, it.customer)).collect();
        for (permit, customer) in lost {
            self.permits.remove(&permit);
            self.account(customer).in_flight -= 1;
        }
    }

    /// Requests of a customer in flight.
    pub fn in_flight(&self, customer: CustomerKey) -> u32 {
        let found = self.accounts.binary_search_by_key(&customer, |it| it.0);
        found.map_or(0, |at| self.accounts[at].1.in_flight)
    }

    fn hold(&mut self, customer: CustomerKey, host: HostKey, tokens: Option<u64>) -> Permit {
        self.account(customer).in_flight += 1;
        self.last += 1;
        let permit = Permit(self.last);
        self.permits.insert(permit, Held { customer, host, tokens });
        permit
    }

    fn account(&mut self, customer: CustomerKey) -> &mut Account {
        let at = match self.accounts.binary_search_by_key(&customer, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                let account = Account { requests: None, tokens: None, in_flight: 0 };
                self.accounts.insert(at, (customer, account));
                at
            }
        };
        &mut self.accounts[at].1
    }
}

/// How a bucket fills.
#[derive(Debug, Clone, Copy)]
struct Flow {
    /// Level per microsecond.
    rate: i128,
    /// Highest level.
    capacity: i128,
}

impl Flow {
    /// The bucket at a later time; a new one is full.
    fn fill(&self, bucket: Option<Bucket>, now: Time) -> Bucket {
        let Some(bucket) = bucket else { return Bucket { level: self.capacity, at: now } };
        let elapsed_us = i128::from(now.since(bucket.at).0);
        let level = (bucket.level + elapsed_us * self.rate).min(self.capacity);
        Bucket { level, at: now.max(bucket.at) }
    }
}

/// Refusal of a cost that a bucket does not hold. A cost above the capacity needs a full bucket.
fn exceeded(kind: Kind, flow: Option<Flow>, bucket: Option<Bucket>, cost: i128) -> Option<Refusal> {
    let (flow, bucket) = (flow?, bucket?);
    let missing = cost.min(flow.capacity) - bucket.level;
    if missing <= 0 {
        return None;
    }
    let wait_us = missing.checked_div(flow.rate).unwrap_or(i128::from(u32::MAX));
    let retry_after_ms = u64::try_from(wait_us / 1_000 + 1).unwrap_or(u64::MAX);
    Some(Refusal { kind, retry_after_ms })
}

fn take(bucket: &mut Option<Bucket>, cost: i128) {
    if let Some(bucket) = bucket {
        bucket.level -= cost;
    }
}

/// Part of a limit on concurrency, at least one.
fn part(limit: u32, share: i128) -> u32 {
    let part = i128::from(limit) * share / i128::from(WHOLE);
    u32::try_from(part).unwrap_or(u32::MAX).max(limit.min(1))
}
