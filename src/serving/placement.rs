//! Selects an upstream for each request from this host's own attempts and the loads that other
//! hosts report.
//!
//! Every host selects independently. Placement is designed for many prompts that share prefixes,
//! some of them long, on engines that prefill one prompt after the other, where a badly placed
//! prompt delays every prompt behind it.

use std::{cell::Cell, cmp::Reverse, collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc};

use crate::{
    error::Kind,
    rendezvous,
    serving::{
        admission,
        backoff::{Backoff, Gate},
        crash_evidence::{Content, Evidence, Reason, Verdict},
        demand,
        dialect::Prompt,
        evacuation::Zones,
        key::{AttemptKey, TicketKey, UpstreamKey},
        messages, pace,
        rate_limit::{self, Rate},
        registry::Entry,
        reported_load,
        tier::TIERS,
        upstream_state::{self, prefill},
        waiting,
    },
    suspicion::Progress,
    time::{Span, Time},
    wire::Ending,
};

/// Cost of sending a request to another availability zone, as traffic between zones is billed.
const ZONE_PENALTY: Span = Span::from_ms(10);

/// Weight of prefill time relative to queueing time. Prefill also delays later requests on the
/// engine, and is repeated wherever the same parts are needed again.
const PREFILL_WEIGHT: u64 = 8;

/// Upstreams of a large pool that one request considers by default.
const SUBSET_SIZE: usize = 24;

/// Engines that a pool needs before some are reserved for latency-sensitive streams.
const MIN_ENGINES_TO_RESERVE: usize = 3;

/// Cost of sending a request to the wrong side of the split between reserved and other engines.
const RESERVATION_PENALTY: Span = Span::from_ms(150);

/// Cost of sending a request to an upstream that another host has ejected.
const REMOTE_EJECTION_PENALTY: Span = Span::from_ms(300);

/// Cost of each request beside which a request is placed whose content may crash the upstream.
const SUSPECT_COMPANY_PENALTY: Span = Span::from_ms(50);

/// Difference of the estimates of two upstreams that says nothing, as each is that far off. Hosts that know the same spread
/// their requests over such upstreams.
const NEAR_EQUAL: Span = Span::from_ms(25);

/// Time until hosts know what another one sent, so that requests with the same parts meet no news of each other.
const NEWS_DELAY: Span = Span::from_ms(400);

/// Upstreams outside the subset of a request that it considers too if upstreams report their load; a part that is asked for
/// more often than its subset bears goes there.
const SPILL_SIZE: usize = 4;

/// Shared parts of which the rate of requests is kept.
const MAX_HOT_PARTS: usize = 512;

/// Cost of a request that would begin after its target, so that it goes where it is in time at the price of a longer
/// prompt to read.
const LATE_PENALTY: Span = Span::from_ms(2_000);

/// Share of an engine's memory up to which it is filled; requests grow beyond what is expected, and it preempts some when it
/// is full.
const MEMORY_SHARE: f64 = 0.9;

/// Cost of sending a request to an engine that is expected to be full.
const MEMORY_PENALTY: Span = Span::from_ms(3_000);

/// Weight of an upstream without a free slot among plain services, against that of one with a free slot.
const FULL_WEIGHT: f64 = 0.01;

/// Weight from which a plain service counts as having a free slot: one slot of a service of half the usual speed.
const FREE_SLOT_WEIGHT: f64 = 0.5;

/// Longest additional retry delay after a refusal for the upstreams' rate limits and back-offs, as a multiple of the delay
/// itself.
/// Callers return spread over this time.
const RETRY_SPREAD: f64 = 1.0;

/// Longest time for which bytes of an upstream that has ended may lie unread on this host.
const MAX_READ_DELAY: Span = Span::from_ms(250);

/// Time after a closed connection for which the other connections of its upstream are looked at.
const CUT_MEMORY: Span = Span::from_ms(2_000);

/// Share of a pool's slots in use above which copies of requests are not sent.
const MAX_HEDGED_LOAD: f64 = 0.75;

/// Limits and back-offs that are kept of incarnations which are not listed.
const MAX_UNLISTED: usize = 1_024;

/// Shortest retry delay where it is not known when there is room.
const MIN_RETRY_AFTER: Span = Span::from_ms(100);

/// Longest retry delay before it is spread. Other upstreams may be ready long before the end of a back-off.
const MAX_RETRY_AFTER: Span = Span::from_ms(30_000);

/// Incarnations that are not listed of which is kept that they leave.
const MAX_UNLISTED_LEAVING: usize = 1_024;

/// Requests of a pool that find no room in one round, after which the less urgent ones are not looked at.
const MAX_MISSES: usize = 4;

/// Retry delay returned when no upstream is ready; one usually returns within this time.
const NO_UPSTREAM_RETRY_AFTER: Span = Span::from_ms(500);

/// One request for an upstream; every attempt of a caller's request submits its own.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// Identifies the ticket in the actions that answer it.
    pub key: TicketKey,
    /// Pool whose upstreams may run the request.
    pub pool: Arc<str>,
    /// Priority tier, zero first.
    pub tier: u8,
    /// Customer of the request, between whom waiting requests share the upstreams; `None` without one.
    pub customer: Option<Arc<str>>,
    /// Name of the route, by which demand is measured.
    pub route: Arc<str>,
    /// Target for the longest gap between events of a stream, in milliseconds; `None` without one.
    pub max_gap_ms: Option<u64>,
    /// `None` if the request is not for an inference engine.
    pub prompt: Option<Prompt>,
    /// Target time of the first byte.
    pub target: Time,
    /// Time after which the answer is of no use.
    pub deadline: Time,
    /// Upstreams of earlier attempts, which are not selected again.
    pub tried: Vec<UpstreamKey>,
    /// What in the request may crash upstreams.
    pub contents: Vec<Content>,
    /// Version of the upstreams that may run the request, `None` if all may. A stream goes on only at the version that
    /// began it.
    pub version: Option<Arc<str>>,
    /// Versions whose upstreams are not selected while others serve.
    pub avoided: Vec<Option<Arc<str>>>,
    /// Whether this is the copy of a request that runs on another upstream. It never waits, and is granted only where
    /// there is room to spare.
    pub is_hedge: bool,
}

/// What is done in pools whose upstreams report how long work takes at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Features {
    /// Whether upstreams are selected by their reports.
    pub reported_load: bool,
    /// Whether requests wait for places and are refused for want of room. Needs the reports.
    pub admission: bool,
}

/// Permission to send a request to an upstream.
#[derive(Debug, Clone)]
pub struct Grant {
    /// Identifies the attempt in the calls that report its progress.
    pub attempt: AttemptKey,
    /// The selected upstream.
    pub upstream: UpstreamKey,
    /// Id of the upstream's incarnation, the same on all hosts.
    pub incarnation: u64,
    /// Instance that must run the request; another instance at the address refuses it.
    pub instance: Arc<str>,
    /// Address for the request.
    pub address: SocketAddr,
    /// Version of the upstream's software, if stated.
    pub version: Option<Arc<str>>,
    /// Estimated time to the first byte.
    pub expected_first_byte: Span,
    /// Estimated time to the end of the answer of an engine.
    pub expected_end: Option<Span>,
    /// Time of the last bytes from the upstream, shared by all its connections.
    pub last_activity: Rc<Cell<Time>>,
    /// Time of the first connection that the upstream closed during an answer, until its other connections show whether it
    /// lives.
    pub cut_at: Rc<Cell<Option<Time>>>,
    /// Time of the last bytes since then from the process that closed it.
    pub alive_at: Rc<Cell<Time>>,
    /// Whether the upstream leaves, so that the request must not be sent any more.
    pub leaves: Rc<Cell<bool>>,
    /// Whether the upstream's availability zone is evacuated, so that the request must not be sent any more.
    pub evacuated: Rc<Cell<bool>>,
    /// Time until which the upstream is cold, so that a request without a permit must not be sent.
    pub cold_until: Rc<Cell<Time>>,
    /// Closed while this host backs off from the upstream.
    pub gate: Gate,
    /// Rate limit that the upstream names, if any.
    pub limit: Option<Rate>,
    /// Time until which the request must be sent if there is a limit, as the permit expires.
    pub send_by: Option<Time>,
}

/// Decision about a ticket.
#[derive(Debug)]
pub enum Action {
    /// The request may be sent.
    Grant(TicketKey, Grant),
    /// The ticket waits for a permit to send to an upstream that names a rate limit.
    Ask(TicketKey, UpstreamKey, rate_limit::Ask),
    /// The limit of an upstream ended, which the hosts that grant permits need to know.
    Report(rate_limit::Ask),
    /// The request is refused, with the delay after which a retry may succeed.
    Refuse(TicketKey, Kind, Option<Span>),
    /// The request is refused as it cannot be served in time.
    Deny(TicketKey, admission::Refusal),
    /// The request is refused as its content crashes upstreams.
    Quarantine(TicketKey, Reason),
}

/// How well the first byte of an attempt was predicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prediction {
    /// Estimated time to the first byte.
    pub expected: Span,
    /// Measured time.
    pub took: Span,
    /// Whether the upstream reports how long work takes there.
    pub is_reported: bool,
}

/// What is known of the engines of a pool.
#[derive(Debug, Default)]
struct Engines {
    output: pace::Output,
    /// Memory of an engine in tokens, `None` if it is not known.
    capacity: Option<u64>,
}

#[derive(Debug)]
struct RunningAttempt {
    upstream: UpstreamKey,
    incarnation: u64,
    pool: Arc<str>,
    contents: Vec<Content>,
    /// How far the answer had come when the attempt failed, `None` without its head.
    progress: Option<Progress>,
    /// Whether its answer has been recorded for its pool.
    went_on: bool,
    tier: usize,
    /// Prompt tokens that the engine still has to prefill; zero after the first event.
    pending_tokens: u64,
    /// Estimated time from `started` to the first byte.
    expected_first_byte: Span,
    /// The same on an upstream of usual speed under the same load of its machine.
    usual_first_byte: Span,
    /// Tokens of the prompt and the expected output.
    held_tokens: u64,
    /// Tokens of the expected output.
    output_tokens: u32,
    started: Time,
    answered: bool,
    answered_at: Time,
    /// Whether its upstream reported in the response that all its slots are taken.
    is_full: bool,
    /// Prompt tokens that the engine had to prefill.
    uncached_tokens: u64,
}

/// Work on an attempt that ended without serving its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waste {
    /// Pool of the upstream.
    pub pool: Arc<str>,
    /// Tier of the request.
    pub tier: usize,
    /// How it ended.
    pub ending: Ending,
    /// Prompt tokens that the engine is estimated to have prefilled.
    pub tokens: u64,
}

/// A ticket that waits for room within the rate limits and back-offs of the upstreams.
#[derive(Debug)]
struct WaitingTicket {
    ticket: Ticket,
    /// Time after which the request would be late and is refused; `None` before the first attempt to place it.
    start_by: Option<Time>,
    /// Time from which it waited for a place before; `None` if it did not.
    held: Option<Time>,
    /// Whether the answer to a request for a permit is outstanding.
    is_asking: bool,
}

/// Where a ticket goes.
#[derive(Debug, Clone, Copy)]
enum Choice {
    /// To this upstream.
    Upstream(Candidate),
    /// Nowhere for now, or not at all, as it could not be served in time. With the predicted time to the end, if any.
    Held(admission::Decision, Option<Span>),
    /// Nowhere before this time, as rate limits and back-offs leave no room.
    Later(Time),
    /// Nowhere.
    Nothing,
}

/// An upstream with its estimates for one ticket.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: UpstreamKey,
    /// Estimated time to the first byte.
    expected_first_byte: Span,
    /// The same on an upstream of usual speed under the same load of its machine.
    usual_first_byte: Span,
    /// Estimated time to the end of the answer, `None` if the upstream is no engine.
    expected_end: Option<Span>,
    /// Id of the incarnation.
    id: u64,
    /// Weight among near-equal upstreams that report their load: its speed, of plain services times free slots.
    weight: f64,
    /// Whether the upstream reports how long work takes there.
    is_reported: bool,
    /// Whether it is in the host's availability zone.
    is_local: bool,
    /// Time by which upstreams are compared: the estimate with weights and penalties.
    cost: Span,
    /// Breaks ties in cost; the same on all hosts for prompts with shared parts.
    rank: Reverse<u64>,
}

/// Upstreams and running attempts of one host, from which requests are placed.
#[derive(Debug)]
pub struct Placement {
    host: Arc<str>,
    zone: Arc<str>,
    /// Sorted by key.
    upstreams: Vec<(UpstreamKey, upstream_state::State)>,
    running: BTreeMap<AttemptKey, RunningAttempt>,
    /// Number of the last attempt.
    last_attempt: u64,
    /// Number of the last upstream.
    last_upstream: u32,
    /// Demand by pool, sorted by pool name.
    demands: Vec<(Arc<str>, demand::Demand)>,
    /// What is known of the engines of each pool, sorted by pool name.
    engines: Vec<(Arc<str>, Engines)>,
    /// Requests a second of all hosts for shared parts, as far as this host knows. Sorted by part.
    hot_parts: Vec<(u64, crate::rate::Rate)>,
    /// Reports of upstreams since the last [`Placement::take_reports`].
    reports: Vec<(u64, reported_load::Dated)>,
    /// Prompt parts sent since the last [`Placement::take_placed`].
    placed: Vec<messages::Placement>,
    /// Sorted by tier, then in the order of arrival.
    waiting: Vec<WaitingTicket>,
    /// Limits of incarnations that are not listed now, as an entry can lapse while its upstream goes on.
    unlisted_limits: Vec<(u64, rate_limit::Limit)>,
    /// Incarnations that leave and are not listed now, oldest knowledge first.
    unlisted_leaving: Vec<u64>,
    /// Back-offs from such incarnations.
    unlisted_backoffs: Vec<(u64, Backoff)>,
    /// Evacuated availability zones; `None` while they are not known, so that nothing is sent.
    evacuated: Option<Zones>,
    /// Requests per second that a cold upstream takes, by pool, sorted.
    cold_rates: Vec<(Arc<str>, Rate)>,
    evidence: Evidence,
    /// Whether what upstreams report of their load is read.
    reads_reports: bool,
    /// Whether requests wait for places and are refused for want of room, in pools whose upstreams report their load.
    admits: bool,
    /// Requests that wait for a place, and the shares of their customers.
    held: waiting::Queue,
}

impl Placement {
    /// Creates the placement of a host in an availability zone, without upstreams.
    pub fn new(host: Arc<str>, zone: Arc<str>) -> Placement {
        Placement {
            evidence: Evidence::new(rendezvous::hash(&[host.as_bytes()])),
            host,
            zone,
            upstreams: Vec::new(),
            running: BTreeMap::new(),
            last_attempt: 0,
            last_upstream: 0,
            demands: Vec::new(),
            engines: Vec::new(),
            hot_parts: Vec::new(),
            reports: Vec::new(),
            placed: Vec::new(),
            waiting: Vec::new(),
            unlisted_limits: Vec::new(),
            unlisted_leaving: Vec::new(),
            unlisted_backoffs: Vec::new(),
            evacuated: Some(Zones::default()),
            cold_rates: Vec::new(),
            reads_reports: true,
            admits: true,
            held: waiting::Queue::default(),
        }
    }

    /// Sets what is done in pools whose upstreams report their load.
    pub fn set_features(&mut self, features: Features) {
        self.reads_reports = features.reported_load;
        self.admits = features.admission;
    }

    /// Sets whether requests wait for places and are refused for want of room.
    pub fn set_admission(&mut self, admits: bool) {
        self.admits = admits;
    }

    /// Returns how many requests wait for a place, and for how long the oldest one has.
    pub fn held(&self, now: Time) -> (usize, Span) {
        (self.held.len(), self.held.age(now))
    }

    /// Whether requests to a pool wait for places and are refused for want of room.
    fn admits(&self, pool: &str) -> bool {
        self.admits && self.serving(pool).any(|(_, it)| it.heard.last().is_some())
    }

    /// Whether a request may wait for a place. A stream that has begun goes on wherever it can.
    fn may_hold(&self, ticket: &Ticket) -> bool {
        ticket.prompt.is_some() && ticket.version.is_none() && self.admits(&ticket.pool)
    }

    /// Replaces the list of upstreams. Those that remain keep their state.
    pub fn set_upstreams(&mut self, entries: &[Entry]) {
        let mut listed: BTreeMap<_, _> = entries.iter().map(|it| (incarnation(it), it)).collect();
        self.upstreams.retain_mut(|(_, state)| match listed.remove(&incarnation(&state.entry)) {
            Some(entry) => {
                state.entry = entry.clone();
                true
            }
            None => {
                if state.limit.rate().is_some() {
                    self.unlisted_limits.push((state.incarnation, state.limit));
                }
                if state.leaves.get() {
                    self.unlisted_leaving.push(state.incarnation);
                }
                if state.backoff.is_active() {
                    let backoff = std::mem::take(&mut state.backoff);
                    self.unlisted_backoffs.push((state.incarnation, backoff));
                }
                false
            }
        });
        for entry in listed.into_values() {
            self.last_upstream += 1;
            let mut state = upstream_state::State::new(entry.clone());
            if let Some(at) = self.unlisted_limits.iter().position(|it| it.0 == state.incarnation) {
                state.limit = self.unlisted_limits.swap_remove(at).1;
            }
            if let Some(at) = self.unlisted_leaving.iter().position(|it| *it == state.incarnation) {
                self.unlisted_leaving.remove(at);
                state.leaves.set(true);
                log::info!("upstream {} is listed again and still leaves", state.entry.id);
            }
            if let Some(at) = self.unlisted_backoffs.iter().position(|it| it.0 == state.incarnation)
            {
                state.backoff = self.unlisted_backoffs.remove(at).1;
                state.backoff.restart_recovery();
            }
            self.upstreams.push((UpstreamKey(self.last_upstream), state));
        }
        let excess = self.unlisted_limits.len().saturating_sub(MAX_UNLISTED);
        self.unlisted_limits.drain(..excess);
        self.bound_unlisted_leaving();
        let excess = self.unlisted_backoffs.len().saturating_sub(MAX_UNLISTED);
        self.unlisted_backoffs.drain(..excess);
        self.apply_evacuated();
    }

    /// Replaces the evacuated availability zones; `None` while they are not known, so that nothing is sent.
    pub fn set_evacuated(&mut self, zones: Option<Zones>) {
        self.evacuated = zones;
        self.apply_evacuated();
    }

    fn apply_evacuated(&self) {
        for (_, state) in &self.upstreams {
            let zones = self.evacuated.as_ref();
            let is_open = zones.is_some_and(|it| !it.contains(&state.entry.zone));
            state.evacuated.set(!is_open);
        }
    }

    /// Replaces the requests per second that cold upstreams take, by pool. `rates` must be sorted.
    pub fn set_cold_rates(&mut self, now: Time, rates: Vec<(Arc<str>, Rate)>) {
        self.cold_rates = rates;
        self.observe_cold(now);
    }

    /// Reads from the entries of upstreams which of them are cold. To be called after [`Placement::set_upstreams`].
    pub fn observe_cold(&mut self, now: Time) {
        for (_, state) in &mut self.upstreams {
            let found = self.cold_rates.binary_search_by(|it| it.0.cmp(&state.entry.pool));
            let rate = found.ok().map(|at| self.cold_rates[at].1);
            if state.cold.observe(now, rate, &state.entry) {
                log::info!(
                    "upstream {} of {} is cold for {} ms and takes {} requests a second from all hosts",
                    state.entry.id,
                    state.entry.pool,
                    state.entry.warmup_ms,
                    rate.map_or(0.0, Rate::per_second)
                );
            }
        }
    }

    /// Places a ticket and appends the decision to `actions`.
    pub fn submit(&mut self, now: Time, ticket: &Ticket, actions: &mut Vec<Action>) {
        if ticket.is_hedge {
            actions.push(self.place_hedge(now, ticket));
            return;
        }
        self.demand_mut(&ticket.pool).observe(now, ticket);
        if self.held.precedes(&ticket.pool, ticket.tier) && self.may_hold(ticket) {
            // The next round, a few milliseconds from now, looks at the requests in their order.
            let until = need(ticket, now).wait_until();
            self.hold(now, waiting::Waiting { ticket: ticket.clone(), since: now, until }, actions);
            return;
        }
        let has_room = self.serving(&ticket.pool).any(|(_, it)| it.may_have_room(now));
        if self.waiting.is_empty() || !has_room {
            self.place(now, ticket, (None, None), actions);
        } else {
            self.wait(ticket, (None, None), false);
            self.place_limited(now, actions);
        }
    }

    /// Places the copy of a request, or refuses it: `Quarantined` if its content may crash upstreams, `Shed` if other
    /// requests need the room.
    fn place_hedge(&mut self, now: Time, ticket: &Ticket) -> Action {
        let refuse = |kind| Action::Refuse(ticket.key, kind, None);
        if self.evidence.judge(now, &ticket.contents, true) != Verdict::Clear {
            return refuse(Kind::Quarantined);
        }
        let is_awaited = self.waiting.iter().any(|it| it.ticket.pool == ticket.pool)
            || self.held.precedes(&ticket.pool, u8::MAX);
        if is_awaited || !self.has_spare_room(now, &ticket.pool) {
            return refuse(Kind::Shed);
        }
        let untried: Vec<_> = self.untried(ticket).collect();
        if untried.is_empty() {
            return refuse(Kind::NoUpstream);
        }
        let spare = untried.into_iter().filter(|(_, it)| it.has_spare_room(now)).collect();
        match self.best(now, ticket, spare, false) {
            Some(best) => Action::Grant(ticket.key, self.grant(now, ticket, best)),
            None => refuse(Kind::Shed),
        }
    }

    /// Whether the requests that run in a pool leave enough of its slots free.
    fn has_spare_room(&self, now: Time, pool: &str) -> bool {
        let (mut running, mut slots) = (0, 0);
        let is_used = |it: &upstream_state::State| {
            !it.is_ejected(now) && !it.is_ejected_elsewhere(now) && !it.backoff.is_active()
        };
        for (_, upstream) in self.serving(pool).filter(|it| is_used(&it.1)) {
            running += u64::from(upstream.company(now));
            slots += u64::from(upstream.entry.slots);
        }
        (running as f64) < slots as f64 * MAX_HEDGED_LOAD
    }

    /// Places a ticket, makes it wait or refuses it. `start_by` is set if it has waited already for rate limits, `held` is the
    /// time from which it waits for a place.
    fn place(
        &mut self,
        now: Time,
        ticket: &Ticket,
        (start_by, held): (Option<Time>, Option<Time>),
        actions: &mut Vec<Action>,
    ) {
        let verdict = self.evidence.judge(now, &ticket.contents, !ticket.tried.is_empty());
        if let Verdict::Quarantined(reason) = verdict {
            actions.push(Action::Quarantine(ticket.key, reason));
            return;
        }
        match self.choose(now, ticket, verdict == Verdict::Suspect, held) {
            Choice::Upstream(best) => {
                let Some(upstream) = self.upstream_mut(best.key) else {
                    unreachable!("a selected candidate is one of the listed upstreams")
                };
                let Some(ask) = upstream.ask(now, tier_index(ticket)) else {
                    let grant = self.grant(now, ticket, best);
                    actions.push(Action::Grant(ticket.key, grant));
                    return;
                };
                upstream.is_asking = true;
                actions.push(Action::Ask(ticket.key, best.key, ask));
                let start_by =
                    start_by.unwrap_or_else(|| latest_start(now, ticket, best.expected_first_byte));
                self.wait(ticket, (Some(start_by), held), true);
            }
            Choice::Held(admission::Decision::Refuse(reason, room), predicted) => {
                let time_left = ticket.deadline.since(now);
                let refusal = admission::Refusal {
                    reason,
                    retry_after: admission::retry_after(room, time_left, ticket.key.0),
                    tier: ticket.tier,
                    predicted,
                    time_left,
                    waited: held.map_or(Span(0), |it| now.since(it)),
                    waiting: self.held.len(),
                };
                actions.push(Action::Deny(ticket.key, refusal));
            }
            Choice::Held(decision, _) => {
                let admission::Decision::Wait(until) = decision else {
                    unreachable!("a request that begins is not held")
                };
                let since = held.unwrap_or(now);
                self.hold(now, waiting::Waiting { ticket: ticket.clone(), since, until }, actions);
            }
            Choice::Later(room_at) => {
                let start_by = start_by.unwrap_or_else(|| {
                    let best = self.best(now, ticket, self.untried(ticket).collect(), false);
                    latest_start(now, ticket, best.map_or(Span(0), |it| it.expected_first_byte))
                });
                if room_at.max(now) <= start_by {
                    self.wait(ticket, (Some(start_by), held), false);
                } else {
                    let delay =
                        spread(ticket, room_at.since(now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
                    actions.push(Action::Refuse(ticket.key, Kind::Shed, Some(delay)));
                }
            }
            Choice::Nothing => {
                let delay = self.retry_after(now, ticket);
                actions.push(Action::Refuse(ticket.key, Kind::NoUpstream, Some(delay)));
            }
        }
    }

    /// Makes a request wait for a place. Refuses the last one if too many wait.
    fn hold(&mut self, now: Time, waiting: waiting::Waiting, actions: &mut Vec<Action>) {
        let Some(last) = self.held.push(now, waiting) else { return };
        let time_left = last.ticket.deadline.since(now);
        let room = last.until.since(now);
        let refusal = admission::Refusal {
            reason: admission::Reason::QueueFull,
            retry_after: admission::retry_after(room, time_left, last.ticket.key.0),
            tier: last.ticket.tier,
            predicted: None,
            time_left,
            waited: now.since(last.since),
            waiting: self.held.len(),
        };
        actions.push(Action::Deny(last.ticket.key, refusal));
    }

    /// Places the requests that wait for a place, in their order.
    fn place_held(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut rest = self.held.take(now);
        // Pools with the number of requests in this round that found no room.
        let mut misses: Vec<(Arc<str>, usize)> = Vec::new();
        while let Some(it) = rest.pop() {
            let at = match misses.iter().position(|(pool, _)| *pool == it.ticket.pool) {
                Some(at) => at,
                None => {
                    misses.push((it.ticket.pool.clone(), 0));
                    misses.len() - 1
                }
            };
            if misses[at].1 >= MAX_MISSES && now < it.until {
                self.hold(now, it, actions);
                continue;
            }
            let held = self.held.len();
            self.place(now, &it.ticket, (None, Some(it.since)), actions);
            if self.held.len() > held {
                misses[at].1 += 1;
            } else if matches!(actions.last(), Some(Action::Grant(..))) {
                self.held.sort(now, &mut rest);
            }
        }
    }

    /// Returns the retry delay for a request that no upstream can take: the time until the first back-off ends if this
    /// host backs off from all upstreams of the pool.
    fn retry_after(&self, now: Time, ticket: &Ticket) -> Span {
        let ends = self.serving(&ticket.pool).map(|it| it.1.backoff.time_left(now));
        match ends.min() {
            Some(end) if end > NO_UPSTREAM_RETRY_AFTER => spread(ticket, end.min(MAX_RETRY_AFTER)),
            _ => NO_UPSTREAM_RETRY_AFTER,
        }
    }

    fn wait(
        &mut self,
        ticket: &Ticket,
        (start_by, held): (Option<Time>, Option<Time>),
        is_asking: bool,
    ) {
        let order = |it: &Ticket| (it.tier, it.key);
        let at = self.waiting.partition_point(|it| order(&it.ticket) < order(ticket));
        self.waiting
            .insert(at, WaitingTicket { ticket: ticket.clone(), start_by, held, is_asking });
    }

    /// Records the answer to a request for a permit that was sent at `asked_at`.
    pub fn permit_answered(
        &mut self,
        now: Time,
        (ticket, upstream): (TicketKey, UpstreamKey),
        asked_at: Time,
        (decision, limit): (rate_limit::Decision, rate_limit::Limit),
        actions: &mut Vec<Action>,
    ) {
        let is_in_time = now < asked_at + rate_limit::PERMIT_LIFETIME;
        let mut is_granted = decision == rate_limit::Decision::Granted && is_in_time;
        match self.upstream_mut(upstream) {
            Some(state) => {
                state.is_asking = false;
                let change = state.limit.merge(limit);
                log_change(&state.entry, change, "as another host reports");
                if let rate_limit::Decision::Denied(delay) = decision {
                    state.no_permit_until = now + delay;
                }
            }
            None => is_granted = false,
        }
        if let Some(at) = self.waiting.iter().position(|it| it.ticket.key == ticket) {
            let waiting = self.waiting.remove(at);
            let is_repeat = !waiting.ticket.tried.is_empty();
            let verdict = self.evidence.judge(now, &waiting.ticket.contents, is_repeat);
            is_granted &= !matches!(verdict, Verdict::Quarantined(_));
            let state = self.upstreams.binary_search_by_key(&upstream, |it| it.0);
            match state.map(|at| &self.upstreams[at].1) {
                Ok(state)
                    if is_granted
                        && state.serves(&waiting.ticket.pool)
                        && state.backoff.may_send(now) =>
                {
                    let best = self.candidate(now, &waiting.ticket, upstream, state);
                    let mut grant = self.grant(now, &waiting.ticket, best);
                    grant.send_by = Some(asked_at + rate_limit::PERMIT_LIFETIME);
                    actions.push(Action::Grant(ticket, grant));
                }
                _ => self.place(now, &waiting.ticket, (waiting.start_by, waiting.held), actions),
            }
        }
        self.place_waiting(now, actions);
    }

    /// Places the tickets that wait for room, most urgent first.
    pub fn place_waiting(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.place_limited(now, actions);
        self.place_held(now, actions);
    }

    /// Places the tickets that wait for room within rate limits and back-offs.
    fn place_limited(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (asking, ready) =
            std::mem::take(&mut self.waiting).into_iter().partition(|it| it.is_asking);
        self.waiting = asking;
        for it in ready {
            self.place(now, &it.ticket, (it.start_by, it.held), actions);
        }
    }

    /// Forgets a ticket whose caller has left.
    pub fn withdraw(&mut self, ticket: TicketKey) {
        self.waiting.retain(|it| it.ticket.key != ticket);
        self.held.remove(ticket);
    }

    /// Records what the response to an attempt reports of its upstream's load.
    pub fn report_heard(&mut self, attempt: AttemptKey, dated: reported_load::Dated) {
        let running = self.running.get_mut(&attempt).filter(|_| self.reads_reports);
        let Some(running) = running else { return };
        running.is_full = dated.report.work_percent.is_some() && dated.report.is_full();
        let (key, incarnation) = (running.upstream, running.incarnation);
        let Some(upstream) = self.upstream_mut(key) else { return };
        if upstream.heard.record(dated) {
            self.reports.retain(|it| it.0 != incarnation);
            self.reports.push((incarnation, dated));
        }
    }

    /// Returns what upstreams reported to this host since the last call, for other hosts.
    pub fn take_reports(&mut self) -> Vec<(u64, reported_load::Dated)> {
        let mut reports = std::mem::take(&mut self.reports);
        reported_load::newest(&mut reports);
        reports
    }

    /// Records what upstreams reported to other hosts.
    pub fn merge_reports(&mut self, reports: &[(u64, reported_load::Dated)]) {
        if !self.reads_reports {
            return;
        }
        let mut reports = reports.to_vec();
        reports.sort_unstable_by_key(|it| it.0);
        for (_, upstream) in &mut self.upstreams {
            if let Ok(at) = reports.binary_search_by_key(&upstream.incarnation, |it| it.0) {
                upstream.heard.record(reports[at].1);
            }
        }
    }

    /// Sets the memory of an engine in tokens, by pool.
    pub fn set_capacities(&mut self, capacities: Vec<(Arc<str>, u64)>) {
        self.engines.iter_mut().for_each(|it| it.1.capacity = None);
        for (pool, capacity) in capacities {
            self.engines_mut(&pool).capacity = Some(capacity);
        }
    }

    /// Records that an attempt is answered by a process that has been the upstream's at least since a time.
    pub fn attempt_alive(&mut self, now: Time, attempt: AttemptKey, since: Time) {
        if let Some(running) = self.running.get(&attempt) {
            self.evidence.record_alive(now, running.incarnation, (since, running.started));
        }
    }

    /// Records that the first byte or event of an attempt has arrived. Returns how well it was predicted, `None` for later
    /// bytes.
    pub fn attempt_answered(&mut self, now: Time, attempt: AttemptKey) -> Option<Prediction> {
        let running = self.running.get_mut(&attempt)?;
        let (key, tier) = (running.upstream, running.tier);
        let pending = std::mem::take(&mut running.pending_tokens);
        let (expected, took) = (running.expected_first_byte, now.since(running.started));
        let first = !std::mem::replace(&mut running.answered, true);
        if first {
            running.answered_at = now;
        }
        let usual = running.usual_first_byte;
        let upstream = self.upstream_mut(key)?;
        upstream.pending_tokens[tier] -= pending;
        upstream.health.record_success();
        upstream.backoff.record_answer(attempt, upstream.entry.slots);
        if first {
            upstream.answering += 1;
            upstream.slowdown.record(now, expected, took);
        }
        let is_reported = upstream.heard.last().is_some();
        if first && is_reported {
            upstream.lasting.record(now, usual, took);
        }
        first.then_some(Prediction { expected, took, is_reported })
    }

    /// Records that the copy of an attempt's request was answered first. The time until then counts as if the first byte had
    /// come, so that an upstream whose slow attempts are overtaken is still known to be slow. It is no failure.
    pub fn attempt_overtaken(&mut self, now: Time, attempt: AttemptKey) {
        let Some(running) = self.running.get(&attempt).filter(|it| !it.answered) else { return };
        let (key, took) = (running.upstream, now.since(running.started));
        let (expected, usual) = (running.expected_first_byte, running.usual_first_byte);
        let Some(upstream) = self.upstream_mut(key) else { return };
        upstream.slowdown.record(now, expected, took);
        if upstream.heard.last().is_some() {
            upstream.lasting.record(now, usual, took);
        }
    }

    /// Records how far the answer to an attempt had come when it failed.
    pub fn attempt_broken_off(&mut self, attempt: AttemptKey, progress: Progress) {
        if let Some(running) = self.running.get_mut(&attempt) {
            running.progress = Some(progress);
        }
    }

    /// Records that the answer to an attempt has left behind the given progress. It may still crash its upstream later on.
    pub fn attempt_proceeded(&mut self, now: Time, attempt: AttemptKey, passed: Progress) {
        let Some(running) = self.running.get_mut(&attempt) else { return };
        if !std::mem::replace(&mut running.went_on, true) {
            self.evidence.record_answer(now, pool_hash(&running.pool), &running.contents);
        }
        self.evidence.record_progress(now, &running.contents, passed);
    }

    /// Merges what another host knows of content that crashes upstreams. `sent_at` is a time at which it had not sent
    /// this yet.
    pub fn merge_evidence(&mut self, now: Time, sent_at: Time, news: &messages::Evidence) {
        self.evidence.merge(now, sent_at, news);
    }

    /// Returns what other hosts need to know of content that crashes upstreams.
    pub fn evidence_news(&mut self, now: Time) -> messages::Evidence {
        self.acquit_live_upstreams(now);
        self.evidence.review(now);
        self.evidence.news(now)
    }

    /// Withdraws crashes of upstreams that closed one connection and went on sending on others.
    fn acquit_live_upstreams(&mut self, now: Time) {
        for (_, upstream) in &mut self.upstreams {
            let Some(cut_at) = upstream.cut_at.get() else { continue };
            let alive_at = upstream.alive_at.get();
            if alive_at >= cut_at + MAX_READ_DELAY {
                upstream.cut_at.set(None);
                self.evidence.record_alive(now, upstream.incarnation, (Time(0), alive_at));
            } else if now.since(cut_at) >= CUT_MEMORY {
                upstream.cut_at.set(None);
            }
        }
    }

    /// Records what the response to an attempt says about its upstream's rate limit.
    pub fn limit_named(
        &mut self,
        now: Time,
        (attempt, sent_at): (AttemptKey, Time),
        named: rate_limit::Named,
        actions: &mut Vec<Action>,
    ) {
        let Some(running) = self.running.get(&attempt) else { return };
        let key = running.upstream;
        let Some(upstream) = self.upstream_mut(key) else { return };
        let change = upstream.limit.record(now, sent_at, named);
        log_change(&upstream.entry, change, "in a response");
        if change == rate_limit::Change::Ended {
            let ask = rate_limit::Ask {
                upstream: upstream.incarnation,
                limit: upstream.limit,
                tier: 0,
                is_cold: false,
            };
            actions.push(Action::Report(ask));
        }
    }

    /// Records that the upstream of an attempt wants no requests of this host before a time.
    pub fn backoff_named(&mut self, now: Time, attempt: AttemptKey, until: Time) {
        let Some(running) = self.running.get(&attempt) else { return };
        // Its entry can have lapsed or returned since the grant.
        let incarnation = running.incarnation;
        let listed = self.upstreams.iter_mut().find(|it| it.1.incarnation == incarnation);
        let unlisted = self.unlisted_backoffs.iter_mut().find(|it| it.0 == incarnation);
        match (listed, unlisted) {
            (Some((_, state)), _) => state.backoff.begin(now, until),
            (None, Some((_, backoff))) => backoff.begin(now, until),
            (None, None) => {
                let mut backoff = Backoff::default();
                backoff.begin(now, until);
                self.unlisted_backoffs.push((incarnation, backoff));
            }
        }
    }

    /// Returns the rate limits that other hosts need to know, by incarnation.
    pub fn limits(&self, now: Time) -> Vec<(u64, rate_limit::Limit)> {
        let limits = self.upstreams.iter().map(|(_, it)| (it.incarnation, it.limit));
        limits.filter(|it| it.1.is_news(now)).collect()
    }

    /// Records the rate limits that another host reports.
    pub fn merge_limits(&mut self, limits: &[(u64, rate_limit::Limit)]) {
        for (incarnation, limit) in limits {
            let known = self.upstreams.iter_mut().find(|it| it.1.incarnation == *incarnation);
            if let Some((_, upstream)) = known {
                let change = upstream.limit.merge(*limit);
                log_change(&upstream.entry, change, "as another host reports");
            }
        }
    }

    /// Records that the response to an attempt says that its upstream leaves. Returns whether this is news.
    pub fn departure_announced(&mut self, attempt: AttemptKey) -> bool {
        let Some(running) = self.running.get(&attempt) else { return false };
        let incarnation = running.incarnation;
        self.record_departure(incarnation, "its answer says")
    }

    /// Records which incarnations leave, as another host reports. Returns how many are news.
    pub fn merge_departures(&mut self, host: &str, incarnations: &[u64]) -> usize {
        let source = format!("host {host} reports");
        incarnations.iter().filter(|it| self.record_departure(**it, &source)).count()
    }

    /// Returns the listed incarnations that leave, sorted.
    pub fn leaving(&self) -> Vec<u64> {
        let listed = self.upstreams.iter().filter(|it| it.1.leaves.get());
        let mut leaving: Vec<_> = listed.map(|it| it.1.incarnation).collect();
        leaving.sort_unstable();
        leaving
    }

    /// Records that an incarnation leaves. An incarnation that is not listed may be listed later. Returns whether this is
    /// news.
    fn record_departure(&mut self, incarnation: u64, source: &str) -> bool {
        let mut is_news = false;
        let mut is_listed = false;
        for (_, state) in self.upstreams.iter().filter(|it| it.1.incarnation == incarnation) {
            is_listed = true;
            if !state.leaves.replace(true) {
                is_news = true;
                let entry = &state.entry;
                log::info!(
                    "upstream {} of {} leaves, {source}; it gets no further request from this host",
                    entry.id,
                    entry.pool
                );
            }
        }
        if !is_listed && !self.unlisted_leaving.contains(&incarnation) {
            is_news = true;
            self.unlisted_leaving.push(incarnation);
            self.bound_unlisted_leaving();
            log::info!(
                "an upstream that is not listed leaves, {source}; if incarnation {incarnation:016x} \
                 is listed, it gets no request from this host"
            );
        }
        is_news
    }

    fn bound_unlisted_leaving(&mut self) {
        let excess = self.unlisted_leaving.len().saturating_sub(MAX_UNLISTED_LEAVING);
        self.unlisted_leaving.drain(..excess);
    }

    /// Records the end of an attempt. Attempts that have already ended are ignored. Returns the work that was in vain.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        attempt: AttemptKey,
        ending: Ending,
    ) -> Option<Waste> {
        let running = self.running.remove(&attempt)?;
        let waste = running.waste(now, ending);
        let pool = pool_hash(&running.pool);
        match ending {
            Ending::Done => {
                if !running.went_on {
                    self.evidence.record_answer(now, pool, &running.contents);
                }
                self.evidence.record_progress(now, &running.contents, Progress::WHOLE);
            }
            Ending::Failed => {
                let crash = (running.incarnation, running.progress);
                self.evidence.record_crash(now, pool, crash, &running.contents);
            }
            _ => {}
        }
        self.record_pace(now, &running, ending);
        let Some(upstream) = self.upstream_mut(running.upstream) else { return waste };
        upstream.held_tokens -= running.held_tokens;
        upstream.heard.record_change(now, -1);
        if ending == Ending::Failed {
            upstream.cut_at.set(upstream.cut_at.get().or(Some(now)));
        }
        upstream.pending_tokens[running.tier] -= running.pending_tokens;
        upstream.running -= 1;
        upstream.answering -= u32::from(running.answered);
        match ending {
            Ending::Done => {
                upstream.backoff.record_answer(attempt, upstream.entry.slots);
                upstream.health.record_success();
                if !running.answered {
                    upstream.slowdown.record(
                        now,
                        running.expected_first_byte,
                        now.since(running.started),
                    );
                }
            }
            Ending::Cancelled | Ending::Unused | Ending::Preempted => {}
            // It is full, as its report says, and not at fault.
            Ending::Refused if running.is_full => {}
            Ending::Refused | Ending::Failed | Ending::Invalid | Ending::TimedOut => {
                upstream.health.record_failure(now, running.started);
            }
        }
        upstream.backoff.record_end(attempt);
        waste
    }

    /// Learns the pace of output from a whole answer of an engine that reports its load.
    fn record_pace(&mut self, now: Time, running: &RunningAttempt, ending: Ending) {
        if ending != Ending::Done || !running.answered || running.output_tokens == 0 {
            return;
        }
        let Some(upstream) = self.upstream_mut(running.upstream) else { return };
        if upstream.heard.last().is_none() {
            return;
        }
        let work = upstream.heard.mean_work();
        let slowness = upstream.lasting.factor(now) * work;
        let took = now.since(running.answered_at);
        let output = &mut self.engines_mut(&running.pool).output;
        let ratio = output.record(running.output_tokens, took, slowness);
        if let (Some(ratio), Some(upstream)) = (ratio, self.upstream_mut(running.upstream)) {
            upstream.lasting.record_ratio(now, ratio / work);
        }
    }

    /// Returns this host's running attempts by upstream, for other hosts.
    pub fn local_loads(&self, now: Time) -> Vec<messages::Load> {
        self.upstreams.iter().filter_map(|(_, upstream)| upstream.local_load(now)).collect()
    }

    /// Returns the prompt parts that this host sent since the last call, for other hosts.
    pub fn take_placed(&mut self) -> Vec<messages::Placement> {
        std::mem::take(&mut self.placed)
    }

    /// Replaces the load of all other hosts. `loads` must be sorted by upstream.
    pub fn set_remote_loads(&mut self, now: Time, loads: &[messages::Load]) {
        for (_, upstream) in &mut self.upstreams {
            let load = loads.binary_search_by_key(&upstream.incarnation, |it| it.upstream).ok();
            upstream.set_remote_load(now, load.map(|at| loads[at]));
        }
    }

    /// Records prompt parts that other hosts have sent to engines.
    pub fn record_placed(&mut self, now: Time, placed: &[messages::Placement]) {
        for it in placed {
            self.record_request(now, it.part);
            if let Some((_, upstream)) =
                self.upstreams.iter_mut().find(|(_, upstream)| upstream.incarnation == it.upstream)
            {
                upstream.record_part(now, it.part);
            }
        }
    }

    /// Counts a request with a shared part.
    fn record_request(&mut self, now: Time, part: u64) {
        if self.upstreams.iter().all(|it| it.1.heard.last().is_none()) {
            return;
        }
        let at = match self.hot_parts.binary_search_by_key(&part, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                self.hot_parts.insert(at, (part, crate::rate::Rate::default()));
                at
            }
        };
        self.hot_parts[at].1.add(now, 1.0);
        if self.hot_parts.len() > MAX_HOT_PARTS {
            self.hot_parts.sort_by(|a, b| b.1.get(now).total_cmp(&a.1.get(now)));
            self.hot_parts.truncate(MAX_HOT_PARTS / 2);
            self.hot_parts.sort_unstable_by_key(|it| it.0);
        }
    }

    /// Returns over how many near-equal upstreams requests with the same shared parts are spread: as many as arrive before
    /// hosts know of each other's.
    fn spread_of(&self, now: Time, part: u64) -> usize {
        let found = self.hot_parts.binary_search_by_key(&part, |it| it.0);
        let rate = found.map_or(0.0, |at| self.hot_parts[at].1.get(now));
        1 + (rate * NEWS_DELAY.0 as f64 / 1e6) as usize
    }

    fn grant(&mut self, now: Time, ticket: &Ticket, best: Candidate) -> Grant {
        if let Some(prompt) = &ticket.prompt {
            let tokens = u64::from(prompt.tokens) + u64::from(output_tokens(prompt));
            self.engines_mut(&ticket.pool).output.record_size(tokens);
            for part in prompt.shared_parts() {
                self.record_request(now, part);
            }
        }
        if self.admits(&ticket.pool) {
            self.held.charge(now, ticket);
        }
        self.evidence.record_send(now, &ticket.contents);
        self.last_attempt += 1;
        let attempt = AttemptKey(self.last_attempt);
        let tier = tier_index(ticket);
        let Ok(at) = self.upstreams.binary_search_by_key(&best.key, |it| it.0) else {
            unreachable!("a selected candidate is one of the listed upstreams")
        };
        let upstream = &mut self.upstreams[at].1;
        let pending = ticket.prompt.as_ref().map_or(0, |it| upstream.uncached_tokens(now, it));
        upstream.pending_tokens[tier] += pending;
        upstream.running += 1;
        let output_tokens = ticket.prompt.as_ref().map_or(0, output_tokens);
        let prompt_tokens = ticket.prompt.as_ref().map_or(0, |it| it.tokens);
        let held_tokens = u64::from(prompt_tokens) + u64::from(output_tokens);
        upstream.held_tokens += held_tokens;
        log::debug!(
            "ticket {} of {} goes to {} in {}: first byte expected after {} ms, end after {} ms, {pending} of              {prompt_tokens} prompt tokens to read, company {}, slowness {:.2}, load {} ms old",
            ticket.key.0,
            ticket.route,
            upstream.entry.id,
            upstream.entry.zone,
            best.expected_first_byte.as_ms(),
            best.expected_end.map_or(0, Span::as_ms),
            upstream.company(now),
            upstream.slowness(now),
            upstream.heard.last().map_or(0, |it| now.since(it.at).as_ms()),
        );
        upstream.heard.record_change(now, 1);
        upstream.backoff.record_grant(now, attempt);
        if let Some(prompt) = &ticket.prompt {
            for part in prompt.shared_parts() {
                upstream.record_part(now, part);
                self.placed.push(messages::Placement { part, upstream: upstream.incarnation });
            }
        }
        let running = RunningAttempt {
            upstream: best.key,
            incarnation: upstream.incarnation,
            pool: ticket.pool.clone(),
            contents: ticket.contents.clone(),
            progress: None,
            went_on: false,
            tier,
            pending_tokens: pending,
            expected_first_byte: best.expected_first_byte,
            usual_first_byte: best.usual_first_byte,
            held_tokens,
            output_tokens,
            started: now,
            answered: false,
            answered_at: now,
            is_full: false,
            uncached_tokens: pending,
        };
        self.running.insert(attempt, running);
        Grant {
            attempt,
            upstream: best.key,
            incarnation: upstream.incarnation,
            instance: upstream.entry.id.clone(),
            address: upstream.entry.address,
            version: upstream.entry.version.clone(),
            expected_first_byte: best.expected_first_byte,
            expected_end: best.expected_end,
            last_activity: upstream.last_activity.clone(),
            cut_at: upstream.cut_at.clone(),
            alive_at: upstream.alive_at.clone(),
            leaves: upstream.leaves.clone(),
            evacuated: upstream.evacuated.clone(),
            cold_until: upstream.cold.until(),
            gate: upstream.backoff.gate.clone(),
            limit: upstream.limit.rate(),
            send_by: None,
        }
    }

    /// Selects the upstream with the least cost among those that may have room.
    fn choose(&self, now: Time, ticket: &Ticket, is_suspect: bool, held: Option<Time>) -> Choice {
        let (open, full): (Vec<_>, Vec<_>) =
            self.untried(ticket).partition(|(_, upstream)| upstream.may_have_room(now));
        if !open.is_empty() && self.may_hold(ticket) {
            return self.choose_admitted(now, ticket, open, is_suspect, held);
        }
        if let Some(best) = self.best(now, ticket, open, is_suspect) {
            return Choice::Upstream(best);
        }
        let room_at = full.iter().map(|it| it.1.room_at()).min();
        room_at.map_or(Choice::Nothing, Choice::Later)
    }

    /// Selects the upstream with the least cost among those with a place, if the request can be served there in time.
    fn choose_admitted(
        &self,
        now: Time,
        ticket: &Ticket,
        mut open: Vec<&(UpstreamKey, upstream_state::State)>,
        is_suspect: bool,
        held: Option<Time>,
    ) -> Choice {
        if open.iter().any(|(_, it)| !it.is_ejected(now)) {
            open.retain(|(_, it)| !it.is_ejected(now));
        }
        let need = need(ticket, held.unwrap_or(now));
        let mut free: Vec<_> = open.iter().copied().filter(|(_, it)| it.has_place(now)).collect();
        if free.is_empty() {
            if now < need.wait_until() {
                return Choice::Held(admission::Decision::Wait(need.wait_until()), None);
            }
            // The counts of other hosts are old, and the engine knows better.
            free = open;
        }
        let Some(best) = self.best(now, ticket, free.clone(), is_suspect) else {
            return Choice::Nothing;
        };
        let decide = |it: &Candidate| admission::decide(now, need, self.prospect(ticket, it));
        let decision = decide(&best);
        if decision == admission::Decision::Begin {
            return Choice::Upstream(best);
        }
        // The least cost is where parts are cached; elsewhere the request may still be in time. An engine with nothing to
        // read may be outside the subset.
        let tier = tier_index(ticket);
        let is_idle = |it: &upstream_state::State| {
            it.queue(tier) <= admission::EMPTY_QUEUEING && it.has_place(now)
        };
        let idle = free.iter().copied().filter(|(_, it)| is_idle(it)).collect();
        if let Some(best) = self.best(now, ticket, idle, is_suspect) {
            return Choice::Upstream(best);
        }
        let all: Vec<_> = free
            .into_iter()
            .map(|it| (it, self.candidate(now, ticket, it.0, &it.1)))
            .map(|(it, candidate)| (it, candidate, decide(&candidate)))
            .collect();
        // Hosts that hear the same news would all send to the soonest.
        let in_time = all.iter().filter(|it| it.2 == admission::Decision::Begin);
        if let Some(best) = self.best(now, ticket, in_time.map(|it| it.0).collect(), is_suspect) {
            return Choice::Upstream(best);
        }
        let end = |it: &Candidate| (it.expected_end, it.expected_first_byte, it.rank);
        let soonest = all.into_iter().min_by_key(|it| end(&it.1));
        soonest.map_or(Choice::Nothing, |(_, it, decision)| Choice::Held(decision, it.expected_end))
    }

    fn prospect(&self, ticket: &Ticket, candidate: &Candidate) -> admission::Prospect {
        let state = self.upstreams.binary_search_by_key(&candidate.key, |it| it.0);
        let queueing = state.map_or(Span(0), |at| self.upstreams[at].1.queue(tier_index(ticket)));
        let first_byte = candidate.expected_first_byte;
        let end = candidate.expected_end.unwrap_or(first_byte);
        admission::Prospect { queueing, first_byte, end }
    }

    /// Returns the upstreams of a ticket's pool that may run the request and to which it was not sent yet.
    fn untried<'a>(
        &'a self,
        ticket: &'a Ticket,
    ) -> impl Iterator<Item = &'a (UpstreamKey, upstream_state::State)> + 'a {
        let is_avoided = |it: &upstream_state::State| ticket.avoided.contains(&it.entry.version);
        let may_avoid = self.serving(&ticket.pool).any(|(_, it)| !is_avoided(it));
        let fits = move |it: &upstream_state::State| {
            let is_right = ticket.version.is_none() || ticket.version == it.entry.version;
            is_right && !(may_avoid && is_avoided(it))
        };
        self.serving(&ticket.pool).filter(move |(key, it)| !ticket.tried.contains(key) && fits(it))
    }

    /// Selects among upstreams. Ejected ones are considered only if all are. A request that may crash its upstream is
    /// placed where it takes the fewest others along.
    fn best<'a>(
        &'a self,
        now: Time,
        ticket: &Ticket,
        mut eligible: Vec<&'a (UpstreamKey, upstream_state::State)>,
        is_suspect: bool,
    ) -> Option<Candidate> {
        if eligible.iter().any(|(_, upstream)| !upstream.is_ejected(now)) {
            eligible.retain(|(_, upstream)| !upstream.is_ejected(now));
        }
        let eligible = self.subset(now, ticket, eligible);
        let demand = self.demand(&ticket.pool);
        let reserved = self.reserved(now, &ticket.pool);
        let latency_sensitive =
            demand.is_some_and(|it| it.is_latency_sensitive(now, &ticket.route));
        let candidates = eligible.into_iter().map(|(key, upstream)| {
            let mut candidate = self.candidate(now, ticket, *key, upstream);
            if !reserved.is_empty() && reserved.contains(key) != latency_sensitive {
                let prefill = if latency_sensitive { Span(0) } else { prompt_prefill_time(ticket) };
                candidate.cost.0 += RESERVATION_PENALTY.0 + prefill.0 * 2;
            }
            if is_suspect {
                candidate.cost.0 += SUSPECT_COMPANY_PENALTY.0 * u64::from(upstream.company(now));
            }
            candidate
        });
        self.select(now, ticket, candidates.collect())
    }

    /// Selects among candidates. Where upstreams report their load, every host hears the same news, and not all may follow
    /// them to the same upstream.
    fn select(&self, now: Time, ticket: &Ticket, candidates: Vec<Candidate>) -> Option<Candidate> {
        let best = *candidates.iter().min_by_key(|it| (it.cost, it.rank))?;
        if !candidates.iter().any(|it| it.is_reported) {
            return Some(best);
        }
        let shared = ticket.prompt.as_ref().and_then(|it| it.shared_parts().last());
        let spread = shared.map_or(1, |part| self.spread_of(now, part));
        let seed = match shared {
            Some(part) => part,
            None => rendezvous::hash(&[self.host.as_bytes(), &ticket.key.0.to_be_bytes()]),
        };
        // Sorted by exponentially distributed numbers, each upstream is first in proportion to its weight.
        let order = |it: &Candidate| {
            let hash = rendezvous::hash(&[b"near", &seed.to_be_bytes(), &it.id.to_be_bytes()]);
            let uniform = (hash >> 11) as f64 / (1_u64 << 53) as f64;
            -(1.0 - uniform).ln() / it.weight.max(f64::MIN_POSITIVE)
        };
        let limit = best.cost.0 + NEAR_EQUAL.0;
        let is_near = |it: &Candidate| ticket.prompt.is_none() || it.cost.0 <= limit;
        let mut near: Vec<_> = candidates.into_iter().filter(is_near).collect();
        // Traffic between zones is billed, and a near-equal upstream of another zone is no better for the caller.
        let has_room = |it: &Candidate| ticket.prompt.is_some() || it.weight >= FREE_SLOT_WEIGHT;
        if near.iter().any(|it| it.is_local && has_room(it)) {
            near.retain(|it| it.is_local);
        }
        // Numbers that are not negative are in the order of their bits.
        near.sort_by_cached_key(|it| order(it).to_bits());
        if spread > 1 {
            near.truncate(spread);
            let drawn = rendezvous::hash(&[self.host.as_bytes(), &ticket.key.0.to_be_bytes()]);
            return near.get(drawn as usize % near.len()).copied();
        }
        near.first().copied()
    }

    /// Selects the upstreams to consider: a subset of a large pool, and all that cache the shared
    /// parts of the prompt.
    ///
    /// Load reports arrive late, so many hosts that consider the whole pool would all send to the
    /// same free engine. Subsets differ by session, so that the session's next request considers
    /// the engines that cache its parts, whichever host receives it.
    fn subset<'a>(
        &self,
        now: Time,
        ticket: &Ticket,
        mut eligible: Vec<&'a (UpstreamKey, upstream_state::State)>,
    ) -> Vec<&'a (UpstreamKey, upstream_state::State)> {
        if eligible.len() <= SUBSET_SIZE {
            return eligible;
        }
        // Requests with the same shared parts consider the same upstreams on all hosts.
        let session = ticket.prompt.as_ref().and_then(|it| it.shared_parts().last());
        let session = session.map(u64::to_be_bytes);
        let is_reported = eligible.iter().any(|it| it.1.heard.last().is_some());
        let draw =
            rendezvous::hash(&[self.host.as_bytes(), &ticket.key.0.to_be_bytes()]).to_be_bytes();
        let seed = match &session {
            Some(session) => session.as_slice(),
            None if is_reported => draw.as_slice(),
            None => self.host.as_bytes(),
        };
        eligible
            .sort_by_cached_key(|(_, state)| rendezvous::hash(&[seed, state.entry.id.as_bytes()]));
        let (subset, rest) = eligible.split_at(SUBSET_SIZE);
        let caches_parts = |upstream: &upstream_state::State| {
            let prompt = ticket.prompt.as_ref();
            prompt.is_some_and(|it| upstream.caches_shared_parts(now, it))
        };
        let caching = rest.iter().copied().filter(|(_, upstream)| caches_parts(upstream));
        let mut chosen: Vec<_> = subset.iter().copied().chain(caching).collect();
        if is_reported {
            let first = u64::from_be_bytes(draw) as usize % rest.len();
            let spill = rest.iter().copied().cycle().skip(first).take(SPILL_SIZE.min(rest.len()));
            let new: Vec<_> = spill.filter(|it| chosen.iter().all(|at| at.0 != it.0)).collect();
            chosen.extend(new);
        }
        chosen
    }

    fn candidate(
        &self,
        now: Time,
        ticket: &Ticket,
        key: UpstreamKey,
        state: &upstream_state::State,
    ) -> Candidate {
        let zone_penalty = if state.entry.zone == self.zone { Span(0) } else { ZONE_PENALTY };
        let tier = tier_index(ticket);
        let (queueing, prefill) = match &ticket.prompt {
            Some(prompt) => (state.backlog(now, tier), prefill(state.uncached_tokens(now, prompt))),
            None => (state.service_wait(now), Span(0)),
        };
        let slowness = state.slowness(now);
        let slowed = |span: Span| Span((span.0 as f64 * slowness) as u64);
        let is_reported = state.heard.last().is_some();
        let output_us = ticket.prompt.as_ref().map(|it| self.output_us(ticket, it));
        let queueing = match output_us {
            // A slot becomes free each time that one of the answers ends.
            Some(output_us) if is_reported => {
                let over = f64::from(state.over_slots(now)) / f64::from(state.entry.slots.max(1));
                Span(queueing.0 + (over * output_us) as u64)
            }
            _ => queueing,
        };
        let expected_first_byte = Span(zone_penalty.0 + slowed(Span(queueing.0 + prefill.0)).0);
        let usual_first_byte =
            Span(((queueing.0 + prefill.0) as f64 * state.heard.work(now)) as u64);
        // The moment's load of the machine does not last as long as an answer.
        let lasting = if is_reported {
            state.lasting.factor(now) * state.heard.mean_work()
        } else {
            slowness
        };
        let expected_end = output_us.map(|it| Span(expected_first_byte.0 + (it * lasting) as u64));
        let mut cost = match is_reported {
            // Speed is a weight, as news are late: a fast upstream gets more, and not all.
            true => Span(zone_penalty.0 + slowed(queueing).0 + prefill.0 * PREFILL_WEIGHT),
            false => Span(zone_penalty.0 + slowed(Span(queueing.0 + prefill.0 * PREFILL_WEIGHT)).0),
        };
        if state.is_ejected_elsewhere(now) {
            cost.0 += REMOTE_EJECTION_PENALTY.0;
        }
        cost.0 += state.cold.penalty(now).0;
        if is_reported {
            let is_late = now < ticket.target && now + expected_first_byte > ticket.target;
            cost.0 += if is_late { LATE_PENALTY.0 } else { 0 };
            cost.0 += self.memory_cost(now, ticket, state).0;
        }
        let weight = match &ticket.prompt {
            Some(_) => 1.0 / lasting,
            None if state.is_ejected_elsewhere(now) => FULL_WEIGHT,
            None => state.free_slots(now).max(FULL_WEIGHT) / lasting,
        };
        // Upstreams of nearly the same cost are chosen by rank where they report their load, so that sessions which begin
        // alike must not agree on it.
        let part = match is_reported {
            true => ticket.prompt.as_ref().and_then(|it| it.shared_parts().last()),
            false => ticket.prompt.as_ref().and_then(affinity_part),
        };
        let rank = match part {
            Some(part) => rendezvous::hash(&[&part.to_be_bytes(), state.entry.id.as_bytes()]),
            // Hosts number their tickets independently, so the host has to be hashed too.
            None => rendezvous::hash(&[
                self.host.as_bytes(),
                &ticket.key.0.to_be_bytes(),
                state.entry.id.as_bytes(),
            ]),
        };
        Candidate {
            key,
            expected_first_byte,
            usual_first_byte,
            expected_end,
            id: state.incarnation,
            weight,
            is_reported,
            is_local: state.entry.zone == self.zone,
            cost,
            rank: Reverse(rank),
        }
    }

    /// Returns the expected time of a request's output on an engine of usual speed, in microseconds.
    fn output_us(&self, ticket: &Ticket, prompt: &Prompt) -> f64 {
        let engines = self.engines(&ticket.pool);
        let step_us = engines.and_then(|it| it.output.step_us()).unwrap_or(demand::STEP_MS * 1e3);
        f64::from(output_tokens(prompt)) * step_us
    }

    /// Returns the cost of a request by the memory that its engine is expected to need, which rises with it.
    fn memory_cost(&self, now: Time, ticket: &Ticket, state: &upstream_state::State) -> Span {
        let Some((prompt, engines)) = ticket.prompt.as_ref().zip(self.engines(&ticket.pool)) else {
            return Span(0);
        };
        let Some(capacity) = engines.capacity else { return Span(0) };
        let held = state.expected_tokens(now, engines.output.request_tokens());
        let needed = held + u64::from(prompt.tokens) + u64::from(output_tokens(prompt));
        let share = needed as f64 / capacity.max(1) as f64;
        let is_full = share > MEMORY_SHARE;
        Span(if is_full { (MEMORY_PENALTY.0 as f64 * share) as u64 } else { 0 })
    }

    fn engines(&self, pool: &str) -> Option<&Engines> {
        let found = self.engines.binary_search_by(|it| (*it.0).cmp(pool)).ok()?;
        Some(&self.engines[found].1)
    }

    fn engines_mut(&mut self, pool: &Arc<str>) -> &mut Engines {
        let at = match self.engines.binary_search_by(|it| it.0.cmp(pool)) {
            Ok(found) => found,
            Err(at) => {
                self.engines.insert(at, (pool.clone(), Engines::default()));
                at
            }
        };
        &mut self.engines[at].1
    }

    fn serving<'a>(
        &'a self,
        pool: &'a str,
    ) -> impl Iterator<Item = &'a (UpstreamKey, upstream_state::State)> + Clone + 'a {
        self.upstreams.iter().filter(move |(_, upstream)| upstream.serves(pool))
    }

    /// Returns the engines reserved for latency-sensitive streams; empty if none are. Hosts with
    /// the same list of upstreams rank them in the same order.
    fn reserved(&self, now: Time, pool: &str) -> Vec<UpstreamKey> {
        let share = self.demand(pool).map_or(0.0, |it| it.latency_sensitive_share(now));
        if share == 0.0 {
            return Vec::new();
        }
        let serving = self.serving(pool);
        let mut ranked: Vec<_> = serving
            .map(|(key, state)| (rendezvous::hash(&[b"quiet", state.entry.id.as_bytes()]), *key))
            .collect();
        if ranked.len() < MIN_ENGINES_TO_RESERVE {
            return Vec::new();
        }
        ranked.sort_unstable();
        let count = (share * ranked.len() as f64).round() as usize;
        ranked.truncate(count.clamp(1, ranked.len() - 1));
        ranked.into_iter().map(|it| it.1).collect()
    }

    fn demand(&self, pool: &str) -> Option<&demand::Demand> {
        let found = self.demands.binary_search_by(|it| (*it.0).cmp(pool)).ok()?;
        Some(&self.demands[found].1)
    }

    fn demand_mut(&mut self, pool: &Arc<str>) -> &mut demand::Demand {
        let at = match self.demands.binary_search_by(|it| it.0.cmp(pool)) {
            Ok(found) => found,
            Err(at) => {
                self.demands.insert(at, (pool.clone(), demand::Demand::default()));
                at
            }
        };
        &mut self.demands[at].1
    }

    fn upstream_mut(&mut self, key: UpstreamKey) -> Option<&mut upstream_state::State> {
        let found = self.upstreams.binary_search_by_key(&key, |it| it.0).ok()?;
        Some(&mut self.upstreams[found].1)
    }
}

/// Returns the expected length of an answer in tokens.
pub(super) fn output_tokens(prompt: &Prompt) -> u32 {
    prompt.expected_output.unwrap_or(prompt.max_output / 2)
}

impl RunningAttempt {
    /// Returns the work on the attempt if it ends without serving its request.
    fn waste(&self, now: Time, ending: Ending) -> Option<Waste> {
        if !matches!(ending, Ending::TimedOut | Ending::Cancelled | Ending::Failed) {
            return None;
        }
        let tokens = if self.answered {
            self.uncached_tokens
        } else {
            let reading = prefill(self.uncached_tokens);
            let queueing = self.expected_first_byte.0.saturating_sub(reading.0);
            let read = now.since(self.started).0.saturating_sub(queueing).min(reading.0);
            self.uncached_tokens * read / reading.0.max(1)
        };
        Some(Waste { pool: self.pool.clone(), tier: self.tier, ending, tokens })
    }
}

fn need(ticket: &Ticket, since: Time) -> admission::Need {
    admission::Need { target: ticket.target, deadline: ticket.deadline, since }
}

fn pool_hash(pool: &str) -> u64 {
    rendezvous::hash(&[pool.as_bytes()])
}

fn tier_index(ticket: &Ticket) -> usize {
    usize::from(ticket.tier).min(TIERS - 1)
}

/// Returns the time by which a request must be sent to meet its target, or its deadline once the target has passed.
fn latest_start(now: Time, ticket: &Ticket, expected_first_byte: Span) -> Time {
    let end = if now < ticket.target { ticket.target } else { ticket.deadline };
    end - expected_first_byte
}

/// Returns a retry delay that differs by ticket, not below the given one.
fn spread(ticket: &Ticket, delay: Span) -> Span {
    let drawn = rendezvous::hash(&[b"retry", &ticket.key.0.to_be_bytes()]) % 1_000;
    Span((delay.0 as f64 * (1.0 + RETRY_SPREAD * drawn as f64 / 1_000.0)) as u64)
}

fn log_change(entry: &Entry, change: rate_limit::Change, source: &str) {
    match change {
        rate_limit::Change::Unchanged => {}
        rate_limit::Change::Changed(rate) => log::info!(
            "upstream {} takes {} requests a second from all hosts, {source}",
            entry.id,
            rate.per_second()
        ),
        rate_limit::Change::Ended => {
            log::info!("upstream {} has no rate limit any more, {source}", entry.id);
        }
    }
}

/// Returns what distinguishes the incarnations of upstreams.
fn incarnation(entry: &Entry) -> (Arc<str>, u64, SocketAddr) {
    (entry.id.clone(), entry.started_ms, entry.address)
}

/// Returns the first shared part; requests that have it in common prefer the same upstreams.
fn affinity_part(prompt: &Prompt) -> Option<u64> {
    prompt.shared_parts().next()
}

/// Returns the time to prefill a whole prompt without cached parts.
fn prompt_prefill_time(ticket: &Ticket) -> Span {
    prefill(ticket.prompt.as_ref().map_or(0, |it| u64::from(it.tokens)))
}
