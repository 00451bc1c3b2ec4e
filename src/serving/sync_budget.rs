//! Bytes that a host may send over its link in responses to sync requests.
//!
//! Load pattern: a host with a slow link becomes the hub of a zone at a moment when dozens of hosts need the same large
//! configuration and ask for what they missed. Without a limit all transfers take longer than their time-out, are lost and
//! start again, and the host's requests, connects and calls to the store wait behind them.
//!
//! A response that is not read yet takes memory. A configuration of 1 MB for each of 60 members takes more than a small host
//! has, so that few large updates are under way at the same time.

use crate::time::{Span, Time};

/// Share of the link that responses may take; the rest is for callers, upstreams and the store.
const LINK_SHARE: f64 = 0.5;

/// Time for which the share of an idle link can be saved up. What is sent at once delays a connect by this share of it, and
/// hosts give an upstream 250 ms for that.
const BURST: Span = Span::from_ms(200);

/// Time for which large content that found no room is left to the store. A host that still asks for it then does not get it
/// from there.
const STORE_TIME: Span = Span::from_ms(1_000);

/// Time that the transfer of an update takes at most if hosts wait for it. They ask again within some hundred milliseconds.
const MAX_WAIT: Span = Span::from_ms(100);

/// Time after which such an update is sent in any case.
const LATER_TIME: Span = Span::from_ms(250);

/// Time for which it is remembered that an update was not sent.
const DEFERRED_LIFETIME: Span = Span::from_ms(5_000);

/// Most bytes of large updates that are under way at the same time. Encoded and framed, each takes twice its size.
const MAX_UNDER_WAY: u64 = 8 << 20;

/// Time after which a host has given up a response that it has not received.
const RESPONSE_LIFETIME: Span = Span::from_ms(5_000);

/// When a large update is sent to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transmission {
    /// At once.
    Now,
    /// With a later response, as others are sent before it or too many are under way.
    Later,
    /// Not before the host had time to read it from the store, as it is large for the link. One that a host does not get
    /// there goes to one host after the other.
    Withheld,
}

/// Large content that was not sent to a host.
#[derive(Debug)]
struct Deferred {
    /// Id of the host and index of the prefix.
    content: (String, usize),
    since: Time,
}

/// A large update that was sent to a host.
#[derive(Debug)]
struct UnderWay {
    host: String,
    bytes: u64,
    sent_at: Time,
}

/// Token bucket of bytes, and the bytes that are under way.
#[derive(Debug)]
pub struct Budget {
    /// Bytes per second, `None` without a limit.
    rate: Option<f64>,
    /// Bytes that may be sent at `updated_at`. Negative after content that is sent in any case.
    available: f64,
    updated_at: Time,
    /// Sorted by content.
    deferred: Vec<Deferred>,
    /// Time before which no further update is sent that a host did not get from the store.
    next_long_at: Time,
    /// Large updates that may not have been received yet, in the order in which they were sent.
    under_way: Vec<UnderWay>,
}

impl Budget {
    /// Creates the budget of a host whose link carries `mbps` Mbit/s; it has no limit if that is not known.
    pub fn new(mbps: Option<f64>) -> Budget {
        let rate = mbps.map(|it| it * 1e6 / 8.0 * LINK_SHARE);
        Budget {
            rate,
            available: rate.map_or(0.0, burst),
            updated_at: Time(0),
            deferred: Vec::new(),
            next_long_at: Time(0),
            under_way: Vec::new(),
        }
    }

    /// Returns how many bytes may be sent now.
    pub fn available(&mut self, now: Time) -> u64 {
        let Some(rate) = self.rate else { return u64::MAX };
        let earned = rate * now.since(self.updated_at).0 as f64 / 1e6;
        self.available = (self.available + earned).min(burst(rate));
        self.updated_at = now;
        self.available.max(0.0) as u64
    }

    /// Records that a host asks again, which it does once it has received the last response or given it up.
    pub fn received(&mut self, host: &str) {
        self.under_way.retain(|it| it.host != host);
    }

    /// Decides about the large update of a prefix for a host.
    pub fn decide(&mut self, now: Time, (host, prefix): (&str, usize), bytes: u64) -> Transmission {
        self.under_way.retain(|it| now.since(it.sent_at) < RESPONSE_LIFETIME);
        let under_way: u64 = self.under_way.iter().map(|it| it.bytes).sum();
        // One that is larger than all may be goes alone.
        if under_way > 0 && under_way + bytes > MAX_UNDER_WAY {
            return Transmission::Later;
        }
        let transmission = self.decide_for_link(now, (host, prefix), bytes);
        if transmission == Transmission::Now {
            self.under_way.push(UnderWay { host: host.to_owned(), bytes, sent_at: now });
        }
        transmission
    }

    fn decide_for_link(
        &mut self,
        now: Time,
        (host, prefix): (&str, usize),
        bytes: u64,
    ) -> Transmission {
        let available = self.available(now);
        let Some(rate) = self.rate.filter(|_| bytes > available) else { return Transmission::Now };
        let transfer = Span((bytes as f64 / rate * 1e6) as u64);
        let is_short = transfer <= MAX_WAIT;
        let (transmission, patience) = match is_short {
            true => (Transmission::Later, LATER_TIME),
            false => (Transmission::Withheld, STORE_TIME),
        };
        self.deferred.retain(|it| now.since(it.since) < DEFERRED_LIFETIME);
        let find = |it: &Deferred| (it.content.0.as_str(), it.content.1).cmp(&(host, prefix));
        match self.deferred.binary_search_by(find) {
            Ok(at) if now.since(self.deferred[at].since) >= patience => {
                if !is_short && now < self.next_long_at {
                    return transmission;
                }
                self.deferred.remove(at);
                if !is_short {
                    self.next_long_at = now + transfer;
                }
                Transmission::Now
            }
            Ok(_) => transmission,
            Err(at) => {
                let content = (host.to_owned(), prefix);
                self.deferred.insert(at, Deferred { content, since: now });
                transmission
            }
        }
    }

    /// Counts bytes that are sent.
    pub fn charge(&mut self, bytes: u64) {
        self.available -= bytes as f64;
    }
}

fn burst(rate: f64) -> f64 {
    rate * BURST.0 as f64 / 1e6
}
