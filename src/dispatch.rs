//! The dispatcher of one pool in one availability zone: queue, slots and placement.
//!
//! The core does no input or output. It takes events with the time at which they happened and appends actions.

use crate::{error::Kind, time::Time};

/// Key of a customer in the dispatcher's arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CustomerKey(pub u32);

/// Key of a class in the dispatcher's arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassKey(pub u32);

/// Key of a route in the dispatcher's arena, for estimates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey(pub u32);

/// Key of an upstream in the dispatcher's arena. Never given to another upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// Number that the surrounding task gives a ticket. Never given twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketKey(pub u64);

/// Number of an attempt. Never given twice by one dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey(pub u64);

/// A request that waits for a grant.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// Number of the ticket.
    pub key: TicketKey,
    /// Customer that the request runs for.
    pub customer: CustomerKey,
    /// Class of the request.
    pub class: ClassKey,
    /// Route of the request.
    pub route: RouteKey,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Largest output in tokens, zero if not stated.
    pub max_tokens: u32,
    /// When the request was accepted from its caller.
    pub accepted: Time,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether this is a repeat after a failed attempt.
    pub retry: bool,
    /// Hash of the prompt's first block, zero if unknown.
    pub prefix: u64,
    /// Hash of customer, route and body.
    pub fingerprint: u64,
    /// Upstreams on which earlier attempts failed.
    pub avoid: Vec<UpstreamKey>,
}

/// What the platform and the pool's record say of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Upstream {
    /// Requests that it runs at once.
    pub slots: u32,
    /// KV memory in tokens, zero if it has none to count.
    pub kv_tokens: u64,
    /// Whether the platform may reclaim it at short notice.
    pub cheap: bool,
    /// When it stops; nothing new is granted once this is set.
    pub leaving: Option<Time>,
}

/// An upstream's report of its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that it holds in its own queue.
    pub waiting: u32,
    /// KV memory in use, in tokens.
    pub kv_used: u64,
    /// When the report was true, on this host's clock.
    pub at: Time,
}

/// Service level of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// Priority tier, 1 first.
    pub tier: u8,
    /// Target for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Share of dispatches under contention, in thousandths.
    pub floor_per_mille: u32,
    /// Longest queue time, in milliseconds.
    pub max_wait_ms: u64,
}

/// How an attempt ended, as far as the dispatcher needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer came.
    Done,
    /// The caller left or the attempt was never started.
    Cancelled,
    /// The upstream refused the connection; nothing ran.
    Refused,
    /// The upstream crashed, cut the answer or answered garbage.
    Failed,
    /// The upstream did not answer in time.
    TimedOut,
    /// The attempt was stopped for a higher tier.
    Preempted,
}

/// An attempt that a former dispatcher granted.
#[derive(Debug, Clone)]
pub struct Adopted {
    /// Number under which the attempt is known here.
    pub attempt: AttemptKey,
    /// The ticket that was granted.
    pub ticket: Ticket,
    /// Where it runs.
    pub upstream: UpstreamKey,
    /// Tokens received so far.
    pub tokens: u32,
}

/// Input of the dispatcher.
#[derive(Debug, Clone)]
pub enum Event {
    /// A class is new or changed.
    Class(ClassKey, Class),
    /// A customer's weight is new or changed.
    Customer(CustomerKey, u32),
    /// An upstream is new or changed.
    Upstream(UpstreamKey, Upstream),
    /// An upstream no longer exists.
    Gone(UpstreamKey),
    /// An upstream reported its load.
    Load(UpstreamKey, Load),
    /// An upstream's cache reported a prefix as kept or dropped.
    Cache(UpstreamKey, u64, bool),
    /// A request asks for a grant.
    Submit(Ticket),
    /// A waiting request is withdrawn by its entry host.
    Cancel(TicketKey),
    /// A running attempt of a former dispatcher is taken over.
    Adopt(Adopted),
    /// The first token of an attempt came, after this many microseconds.
    FirstToken(AttemptKey, u64),
    /// An attempt has received this many tokens in total.
    Tokens(AttemptKey, u32),
    /// An attempt ended.
    Ended(AttemptKey, Ending),
    /// Another dispatcher quarantined a fingerprint until this time.
    Quarantine(u64, Time),
    /// Time passed.
    Tick,
}

/// Output of the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The ticket may run as this attempt on this upstream.
    Grant {
        /// The ticket that is granted.
        ticket: TicketKey,
        /// The attempt that the grant starts.
        attempt: AttemptKey,
        /// Where it runs.
        upstream: UpstreamKey,
    },
    /// The ticket is given up.
    Refuse {
        /// The ticket that is refused.
        ticket: TicketKey,
        /// Why.
        kind: Kind,
        /// Delay after which a repeat may succeed, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The attempt must stop, for a higher tier or because its upstream leaves.
    Preempt(AttemptKey),
    /// The fingerprint is refused until this time, here and elsewhere.
    Quarantine(u64, Time),
}

/// State of the dispatcher.
#[derive(Debug, Default)]
pub struct Dispatcher {
    queue: std::collections::VecDeque<Ticket>,
    upstreams: Vec<(UpstreamKey, Upstream, u32)>,
    running: Vec<(AttemptKey, UpstreamKey)>,
    attempts: u64,
}

impl Dispatcher {
    /// Handles one event and appends the actions that follow from it.
    pub fn handle(&mut self, _now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Upstream(key, upstream) => {
                match self.upstreams.binary_search_by_key(&key, |it| it.0) {
                    Ok(found) => self.upstreams[found].1 = upstream,
                    Err(at) => self.upstreams.insert(at, (key, upstream, 0)),
                }
            }
            Event::Gone(key) => self.upstreams.retain(|it| it.0 != key),
            Event::Submit(ticket) => self.queue.push_back(ticket),
            Event::Cancel(key) => self.queue.retain(|it| it.key != key),
            Event::Ended(attempt, _) => self.end(attempt),
            Event::Adopt(it) => self.running.push((it.attempt, it.upstream)),
            Event::Class(..)
            | Event::Customer(..)
            | Event::Load(..)
            | Event::Cache(..)
            | Event::FirstToken(..)
            | Event::Tokens(..)
            | Event::Quarantine(..)
            | Event::Tick => {}
        }
        self.grant(actions);
    }

    fn end(&mut self, attempt: AttemptKey) {
        let Some(found) = self.running.iter().position(|it| it.0 == attempt) else { return };
        let (_, upstream) = self.running.swap_remove(found);
        if let Some(it) = self.upstreams.iter_mut().find(|it| it.0 == upstream) {
            it.2 = it.2.saturating_sub(1);
        }
    }

    fn grant(&mut self, actions: &mut Vec<Action>) {
        while let Some(ticket) = self.queue.front() {
            let free = self
                .upstreams
                .iter_mut()
                .filter(|it| it.1.leaving.is_none() && it.2 < it.1.slots)
                .min_by_key(|it| it.2);
            let Some(free) = free else { return };
            free.2 += 1;
            self.attempts += 1;
            let attempt = AttemptKey(self.attempts);
            self.running.push((attempt, free.0));
            actions.push(Action::Grant { ticket: ticket.key, attempt, upstream: free.0 });
            self.queue.pop_front();
        }
    }
}
