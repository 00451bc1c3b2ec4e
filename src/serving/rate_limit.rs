//! Rate limits that upstreams name in their responses, and their division among the hosts of the fleet.

use crate::{
    serving::tier::TIERS,
    time::{Span, Time},
};

/// Requests per second that an upstream takes from all hosts together.
///
/// Invariant: finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate, or returns `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Rate> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Rate(per_second))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What a response says about its upstream's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Named {
    /// The upstream takes this rate.
    Rate(Rate),
    /// The upstream names no limit.
    Nothing,
    /// The limit cannot be read.
    Invalid,
}

/// Rate limit of one incarnation of an upstream as this host knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limit {
    rate: Option<Rate>,
    /// When the last response that set or ended the limit arrived.
    heard_at: Time,
}

/// Effect of a response on a known limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The limit stays as it was.
    Unchanged,
    /// The limit has another value, or is the first one.
    Changed(Rate),
    /// The upstream no longer names a limit.
    Ended,
}

impl Limit {
    /// Rate in force, `None` without a limit.
    pub fn rate(self) -> Option<Rate> {
        self.rate
    }

    /// Creates what another host knows: a rate or the end of a limit, heard at this time.
    pub fn new(rate: Option<Rate>, heard_at: Time) -> Limit {
        Limit { rate, heard_at }
    }

    /// Whether other hosts need to know of it: a limit, or the end of one that was heard not long ago.
    pub fn is_news(self, now: Time) -> bool {
        self.rate.is_some() || (self.heard_at > Time(0) && self.age(now) < ENDED_LIFETIME)
    }

    /// Time since the limit was heard of.
    pub fn age(self, now: Time) -> Span {
        now.since(self.heard_at)
    }

    /// Takes over the limit as another host knows it if it was heard later.
    pub fn merge(&mut self, other: Limit) -> Change {
        if other.heard_at <= self.heard_at {
            return Change::Unchanged;
        }
        let previous = std::mem::replace(self, other).rate;
        Change::between(previous, other.rate)
    }

    /// Records what a response says to a request that was sent at `sent_at`.
    ///
    /// Responses on different connections can overtake each other. A lower limit applies at once; a higher one and the
    /// end of a limit only if the request was sent after the last response that set the limit.
    pub fn record(&mut self, now: Time, sent_at: Time, named: Named) -> Change {
        let is_newer = sent_at >= self.heard_at;
        let rate = match named {
            Named::Invalid => return Change::Unchanged,
            Named::Nothing => None,
            Named::Rate(rate) => Some(rate),
        };
        let is_lower = rate.is_some_and(|rate| self.rate.is_none_or(|known| rate < known));
        if !is_newer && !is_lower {
            return Change::Unchanged;
        }
        let previous = std::mem::replace(&mut self.rate, rate);
        if rate.is_some() || previous.is_some() {
            self.heard_at = now;
        }
        Change::between(previous, rate)
    }
}

impl Change {
    fn between(previous: Option<Rate>, rate: Option<Rate>) -> Change {
        match rate {
            _ if rate == previous => Change::Unchanged,
            Some(rate) => Change::Changed(rate),
            None => Change::Ended,
        }
    }
}

/// Divides the rates of limited upstreams among the hosts of the fleet, one permit for each request.
///
/// The roster ranks a few hosts for each upstream, and each of them grants its own part of the rate, so that hosts
/// which ask different ones, as some do not answer, still keep the limit together. In any span of `t` seconds the hosts
/// of one roster grant at most 1.3 × rate × t permits and one burst for each rank.
#[derive(Debug, Default)]
pub struct Limiter {
    /// Sorted by the id of the upstream's incarnation.
    buckets: Vec<(u64, Bucket)>,
}

/// Time for which hosts tell each other that a limit has ended.
const ENDED_LIFETIME: Span = Span::from_ms(30_000);

/// Part of a rate that each rank grants. All hosts ask the first rank while it answers.
const RANK_SHARES: [f64; RANKS] = [1.0, 0.2, 0.1];

/// The same for the pace of a cold upstream.
const COLD_RANK_SHARES: [f64; RANKS] = [1.0, 0.1, 0.05];

/// Hosts that grant permits for one upstream.
pub const RANKS: usize = 3;

/// Time from the request for a permit within which it must be used.
pub const PERMIT_LIFETIME: Span = Span::from_ms(300);

/// Time in which the largest burst is refilled, in seconds.
const BURST_S: f64 = 0.25;

/// Rate at which an upstream that takes less is tried, in requests per second. Only its answers say that its limit has
/// risen or ended.
const MIN_RATE: f64 = 0.2;

/// Time for which a permit is kept for a more urgent request that has to ask again.
const CLAIM_MARGIN: Span = Span::from_ms(100);

/// One of this many permits goes to the first request that asks, whatever its tier, so that none is starved.
const OPEN_TURN: u32 = 4;

/// Time without requests after which a bucket is dropped. A new one is empty, or holds one
/// permit if it is for a cold upstream.
const BUCKET_LIFETIME: Span = Span::from_ms(60_000);

/// Retry delay from a host that has no part of the rate, as its roster differs from that of the asking host.
const NOT_RANKED_DELAY: Span = Span::from_ms(200);

/// Request for a permit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// Id of the upstream's incarnation.
    pub upstream: u64,
    /// The limit as the asking host knows it.
    pub limit: Limit,
    /// Priority tier of the request, zero first.
    pub tier: usize,
    /// Whether the limit is the pace of a cold upstream, which no response names.
    pub is_cold: bool,
}

/// Answer to the request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// One request may be sent.
    Granted,
    /// No request may be sent before the delay has passed.
    Denied(Span),
}

/// Token bucket of one upstream.
#[derive(Debug)]
struct Bucket {
    limit: Limit,
    /// At most `capacity`.
    tokens: f64,
    filled_at: Time,
    asked_at: Time,
    /// Until when each tier has precedence over less urgent ones, as it was denied a permit.
    claims: [Time; TIERS],
    /// Permits granted so far.
    granted: u32,
}

impl Limiter {
    /// Decides about a permit. `rank` is the rank of this host for the upstream, `None` if it has none.
    pub fn ask(&mut self, now: Time, rank: Option<usize>, ask: Ask) -> Decision {
        let bucket = self.bucket(now, ask.upstream, if ask.is_cold { 1.0 } else { 0.0 });
        bucket.limit.merge(ask.limit);
        let Some(limit) = bucket.limit.rate() else { return Decision::Granted };
        let shares = if ask.is_cold { COLD_RANK_SHARES } else { RANK_SHARES };
        let share = rank.and_then(|it| shares.get(it));
        let Some(share) = share else { return Decision::Denied(NOT_RANKED_DELAY) };
        let tier = (!ask.is_cold).then_some(ask.tier.min(TIERS - 1));
        bucket.take(now, limit.per_second().max(MIN_RATE) * share, tier)
    }

    /// Records a limit as another host knows it.
    pub fn report(&mut self, now: Time, upstream: u64, limit: Limit) {
        self.bucket(now, upstream, 0.0).limit.merge(limit);
    }

    /// Limit of an upstream as this host knows it from others.
    pub fn limit(&self, upstream: u64) -> Limit {
        let found = self.buckets.binary_search_by_key(&upstream, |it| it.0);
        found.map_or(Limit::default(), |at| self.buckets[at].1.limit)
    }

    /// Returns the bucket of an upstream. A new one holds the given tokens.
    fn bucket(&mut self, now: Time, upstream: u64, tokens: f64) -> &mut Bucket {
        self.buckets.retain(|it| it.0 == upstream || now.since(it.1.asked_at) < BUCKET_LIFETIME);
        let at = match self.buckets.binary_search_by_key(&upstream, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                self.buckets.insert(at, (upstream, Bucket::new(now, tokens)));
                at
            }
        };
        let bucket = &mut self.buckets[at].1;
        bucket.asked_at = now;
        bucket
    }
}

impl Bucket {
    fn new(now: Time, tokens: f64) -> Bucket {
        Bucket {
            limit: Limit::default(),
            tokens,
            filled_at: now,
            asked_at: now,
            claims: [Time(0); TIERS],
            granted: 0,
        }
    }

    /// Takes a token at a rate in requests per second. Without a tier none is kept for the request if it is denied, which
    /// goes elsewhere, and none is kept from it.
    fn take(&mut self, now: Time, rate: f64, tier: Option<usize>) -> Decision {
        let elapsed = now.since(self.filled_at).0 as f64 / 1e6;
        let capacity = (rate * BURST_S).max(1.0);
        self.tokens = (self.tokens + elapsed * rate).min(capacity);
        self.filled_at = now;
        let is_open_turn = self.granted % OPEN_TURN == OPEN_TURN - 1;
        let claims = &self.claims[..tier.unwrap_or(0)];
        let is_claimed = !is_open_turn && claims.iter().any(|until| now < *until);
        if self.tokens >= 1.0 && !is_claimed {
            self.tokens -= 1.0;
            self.granted = self.granted.wrapping_add(1);
            if let Some(tier) = tier {
                self.claims[tier] = Time(0);
            }
            return Decision::Granted;
        }
        // A claimed token is followed by another one after the time of a whole token.
        let missing = if self.tokens < 1.0 { 1.0 - self.tokens } else { 1.0 };
        let delay = Span((missing / rate * 1e6).ceil() as u64);
        if let Some(tier) = tier {
            self.claims[tier] = now + delay + CLAIM_MARGIN;
        }
        Decision::Denied(delay)
    }
}
