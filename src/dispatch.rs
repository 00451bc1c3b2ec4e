//! State machine of the dispatcher of one pool in one availability zone: queue, slots and placement.
//!
//! The dispatcher does no I/O. It receives events together with the time at which they happened and appends the
//! resulting actions. Each call takes logarithmic time in the queue's length and in the number of upstreams; only
//! configuration changes and a new quarantine scan all of them.

use std::collections::BTreeSet;

use crate::{
    error::Kind,
    estimate::Estimator,
    health::Fault,
    placement::{Placement, Requirements, UpstreamStatus},
    quarantine::Quarantine,
    queue::{Candidate, Queue, Waiting},
    rate::Rate,
    retry,
    running::{self, Attempt},
    time::{Span, Time},
};

/// Index of a customer, assigned by the task that drives the dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CustomerKey(pub u32);

/// Index of a class, assigned by the task that drives the dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassKey(pub u32);

/// Index of a route, by which output lengths are estimated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey(pub u32);

/// Index of an upstream. Never reused for another upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// Number of a ticket, assigned by the task that drives the dispatcher. Never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketKey(pub u64);

/// Number of an attempt. Never reused by the same dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey(pub u64);

/// A request that waits for permission to start one attempt.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// Identifies the ticket in actions and in [`Event::Cancel`].
    pub key: TicketKey,
    /// Customer that the request is charged to.
    pub customer: CustomerKey,
    /// Class whose service level applies.
    pub class: ClassKey,
    /// Route that the request arrived on.
    pub route: RouteKey,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum output in tokens, or zero if the request states none.
    pub max_tokens: u32,
    /// When the request was accepted from its caller.
    pub accepted: Time,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// Whether the request had an earlier attempt, so that this one draws on the retry budget.
    pub retry: bool,
    /// Hash of the prompt's first block, or zero if unknown.
    pub prefix: u64,
    /// Hash of customer, route and body, by which requests are quarantined.
    pub fingerprint: u64,
    /// Upstreams on which earlier attempts failed. They are used only if no other upstream fits.
    pub avoid: Vec<UpstreamKey>,
}

/// Properties of an upstream from the platform and from the pool's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Upstream {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// KV memory in tokens, or zero if memory is not accounted for.
    pub kv_tokens: u64,
    /// Whether the platform may reclaim the upstream at short notice.
    pub cheap: bool,
    /// When the upstream stops. Once this is set, no attempt is granted on it.
    pub leaving: Option<Time>,
}

/// Load that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of requests being executed.
    pub running: u32,
    /// Number of requests in the upstream's own queue.
    pub waiting: u32,
    /// KV memory in use, in tokens.
    pub kv_used: u64,
    /// When the load was measured, on this host's clock.
    pub at: Time,
}

/// Service level of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// Priority tier; 1 is the highest.
    pub tier: u8,
    /// Target for the time from acceptance to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Minimum share of the grants under contention, in thousandths.
    pub floor_per_mille: u32,
    /// Maximum queue time, in milliseconds.
    pub max_wait_ms: u64,
}

/// How an attempt ended, in the distinctions that the dispatcher makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The answer was received completely.
    Done,
    /// The caller disconnected or the attempt was never started.
    Cancelled,
    /// The upstream refused the connection; nothing was executed.
    Refused,
    /// The upstream crashed or broke off the answer.
    Failed,
    /// The upstream did not answer in time or sent an invalid answer.
    TimedOut,
    /// The attempt was stopped by [`Action::Preempt`].
    Preempted,
}

/// A running attempt that another dispatcher granted before this one took over.
#[derive(Debug, Clone)]
pub struct Adopted {
    /// Number of the attempt at this dispatcher. Ignored if an attempt with this number is running.
    pub attempt: AttemptKey,
    /// Ticket for which the attempt was granted.
    pub ticket: Ticket,
    /// Upstream that the attempt runs on.
    pub upstream: UpstreamKey,
    /// Tokens received so far.
    pub tokens: u32,
}

/// Input of the dispatcher, passed to [`Dispatcher::handle`].
#[derive(Debug, Clone)]
pub enum Event {
    /// A class was added or changed.
    Class(ClassKey, Class),
    /// A customer was added or its weight changed.
    Customer(CustomerKey, u32),
    /// An upstream was added or changed.
    Upstream(UpstreamKey, Upstream),
    /// An upstream no longer exists.
    UpstreamRemoved(UpstreamKey),
    /// An upstream reported its load.
    Load(UpstreamKey, Load),
    /// An upstream's cache stored the prefix with this hash (`true`) or evicted it (`false`).
    Cache(UpstreamKey, u64, bool),
    /// A request asks for a grant. Ignored if a ticket with the same key is waiting.
    Submit(Ticket),
    /// The entry host withdrew a waiting ticket.
    Cancel(TicketKey),
    /// Takes over a running attempt from the previous dispatcher.
    Adopt(Adopted),
    /// An attempt received its first token, this many microseconds after the request was sent.
    FirstToken(AttemptKey, u64),
    /// Total number of tokens that an attempt has received.
    Tokens(AttemptKey, u32),
    /// An attempt ended.
    Ended(AttemptKey, Ending),
    /// Another dispatcher quarantined a fingerprint until this time.
    Quarantine(u64, Time),
    /// Advances time without another change.
    Tick,
}

/// Output of the dispatcher, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Starts an attempt for a ticket, which leaves the queue.
    Grant {
        /// Ticket that is granted.
        ticket: TicketKey,
        /// Number of the new attempt.
        attempt: AttemptKey,
        /// Upstream that the attempt must run on.
        upstream: UpstreamKey,
    },
    /// Rejects a ticket, which leaves the queue.
    Refuse {
        /// Ticket that is refused.
        ticket: TicketKey,
        /// Reason that the caller receives.
        kind: Kind,
        /// Delay after which a retry may succeed, in milliseconds. `None` where waiting does not help.
        retry_after_ms: Option<u64>,
    },
    /// Stops a running attempt, for a higher tier or because its upstream is leaving.
    Preempt(AttemptKey),
    /// Refuses a fingerprint until this time, at all dispatchers.
    Quarantine(u64, Time),
}

/// Default limit of the queue's length. A full queue takes about 10 MB.
const MAX_WAITING: usize = 20_000;

/// Number of prompt tokens that take as long to process as one output token to generate.
const PROMPT_TOKENS_PER_WORK: u64 = 256;

/// Time before an upstream stops at which its remaining repeatable attempts are preempted to run elsewhere.
const EVACUATION_LEAD: Span = Span::from_ms(2_000);

/// Share of the maximum queue time that a forecast may reach, in thousandths. The rest covers the floors of other
/// classes and forecast errors.
const FORECAST_PER_MILLE: u64 = 900;

/// Minimum share of the capacity that a forecast assumes to be available.
const MIN_SHARE: f64 = 0.01;

/// Minimum and maximum delay in a refusal, in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (100, 120_000);

/// Delay in a refusal for an exhausted retry budget, in milliseconds.
const RETRY_BUDGET_AFTER_MS: u64 = 1_000;

/// Returns the work of a request. One work unit is the time that an output token takes.
fn work_of(prompt_tokens: u32, output_tokens: u32) -> u64 {
    u64::from(prompt_tokens) / PROMPT_TOKENS_PER_WORK + u64::from(output_tokens).max(1)
}

/// Number of generated tokens, by whether they were of use.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct OutputTokens {
    /// Tokens of complete answers and of answers that their callers cancelled.
    pub used: u64,
    /// Tokens of attempts that failed, timed out or were preempted.
    pub wasted: u64,
}

/// Grants, refuses and preempts the requests of one pool.
#[derive(Debug)]
pub struct Dispatcher {
    /// Queue length above which tickets are shed.
    max_waiting: usize,
    queue: Queue,
    placement: Placement,
    running: running::Attempts,
    estimator: Estimator,
    quarantine: Quarantine,
    retry_budget: retry::Budget,
    /// Number of the last attempt granted by this dispatcher.
    last_attempt: u64,
    /// When to preempt the remaining attempts of each leaving upstream.
    evacuations: BTreeSet<(Time, UpstreamKey)>,
    output_tokens: OutputTokens,
    /// Attempts that end per second, for any reason.
    end_rate: Rate,
    /// Buffer that is reused between calls.
    candidates: Vec<Candidate>,
}

impl Default for Dispatcher {
    fn default() -> Dispatcher {
        Dispatcher::bounded(MAX_WAITING)
    }
}

impl Dispatcher {
    /// Creates a dispatcher that sheds load when more than `max_waiting` tickets wait.
    pub fn bounded(max_waiting: usize) -> Dispatcher {
        Dispatcher {
            max_waiting,
            queue: Queue::default(),
            placement: Placement::default(),
            running: running::Attempts::default(),
            estimator: Estimator::default(),
            quarantine: Quarantine::default(),
            retry_budget: retry::Budget::default(),
            last_attempt: 0,
            evacuations: BTreeSet::new(),
            output_tokens: OutputTokens::default(),
            end_rate: Rate::default(),
            candidates: Vec::new(),
        }
    }

    /// Handles an event that happened at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.placement.readmit_due(now);
        match event {
            Event::Class(key, class) => self.set_class(now, key, class),
            Event::Customer(key, weight) => self.queue.set_weight(key, weight),
            Event::Upstream(key, upstream) => self.set_upstream(now, key, upstream, actions),
            Event::UpstreamRemoved(key) => {
                self.placement.remove(key);
                self.quarantine.remove_upstream(key);
            }
            Event::Load(key, load) => self.placement.record_load(now, key, load),
            Event::Cache(key, prefix, kept) => {
                self.placement.record_cache_event(now, key, prefix, kept)
            }
            Event::Submit(ticket) => self.submit(now, ticket, actions),
            Event::Cancel(key) => {
                self.queue.remove(key);
            }
            Event::Adopt(adopted) => self.adopt(now, adopted),
            Event::FirstToken(attempt, us) => self.record_first_token(now, attempt, us),
            Event::Tokens(attempt, tokens) => self.record_tokens(now, attempt, tokens),
            Event::Ended(attempt, ending) => self.end_attempt(now, attempt, ending, actions),
            Event::Quarantine(fingerprint, until) => {
                self.quarantine.insert(now, fingerprint, until);
                self.refuse_fingerprint(now, fingerprint, actions);
            }
            Event::Tick => {}
        }
        self.evacuate_due(now, actions);
        self.queue.update_urgency(now, self.lead_ms());
        self.expire(now, actions);
        self.grant_waiting(now, actions);
        self.preempt_for_urgent(now, actions);
    }

    /// Returns the number of waiting tickets.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of waiting tickets of a class.
    pub fn queued_of(&self, class: ClassKey) -> usize {
        self.queue.len_of(class)
    }

    /// Returns the maximum queue time of a class.
    ///
    /// Its tickets are granted or refused within that time, provided that [`Event::Tick`] arrives by
    /// [`Dispatcher::next_alarm`].
    pub fn wait_bound(&self, class: ClassKey) -> Span {
        Span::from_ms(self.queue.class(class).max_wait_ms)
    }

    /// Returns the number of slots that the floor of a class amounts to.
    ///
    /// So many attempts of the class are not preempted for a higher tier.
    pub fn floor_slots(&self, class: ClassKey) -> u64 {
        let floor = u64::from(self.queue.class(class).floor_per_mille);
        (self.placement.slots() * floor).div_ceil(1_000)
    }

    /// Returns the next time at which [`Event::Tick`] has an effect, or `None` if no timer is pending.
    pub fn next_alarm(&self) -> Option<Time> {
        let queue = self.queue.next_alarm(self.lead_ms());
        let evacuation = self.evacuations.first().map(|it| it.0);
        [queue, evacuation, self.placement.next_readmission()].into_iter().flatten().min()
    }

    /// Returns the number of running attempts, including those on removed upstreams.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of slots of all upstreams that may receive attempts.
    pub fn slots(&self) -> u64 {
        self.placement.slots()
    }

    /// Returns the number of slots in use.
    pub fn busy(&self) -> u64 {
        self.placement.busy()
    }

    /// Returns the number of slots that the current load needs, or `None` while no upstream serves.
    ///
    /// This is the arrival rate of the last seconds, converted to slots by the measured work rate and at least the
    /// slots in use, plus one slot for each queued ticket.
    pub fn demand(&self, now: Time) -> Option<f64> {
        if self.placement.slots() == 0 {
            return None;
        }
        let per_slot = self.placement.capacity() / self.placement.slots() as f64;
        let arriving = self.queue.arrival_rate(now) / per_slot;
        Some(arriving.max(self.placement.busy() as f64) + self.queue.len() as f64)
    }

    /// Returns the state of each upstream, sorted by key.
    pub fn upstreams(&self) -> impl Iterator<Item = UpstreamStatus> {
        self.placement.iter()
    }

    /// Returns the fingerprints in quarantine at `now` and when each one's quarantine ends.
    pub fn quarantined(&self, now: Time) -> impl Iterator<Item = (u64, Time)> {
        self.quarantine.iter().filter(move |it| now < it.1)
    }

    /// Returns the number of tokens generated by the attempts that have ended.
    pub fn output_tokens(&self) -> OutputTokens {
        self.output_tokens
    }

    fn set_class(&mut self, now: Time, key: ClassKey, class: Class) {
        self.queue.set_class(key, class);
        let targets = self.queue.classes().map(|it| it.1.first_token_ms).collect();
        self.placement.set_targets(now, targets);
    }

    fn set_upstream(
        &mut self,
        now: Time,
        key: UpstreamKey,
        upstream: Upstream,
        actions: &mut Vec<Action>,
    ) {
        if self.placement.set(now, key, upstream) {
            self.count_adopted(now, key);
        }
        if let Some(stop) = upstream.leaving {
            self.evacuations.insert((stop - EVACUATION_LEAD, key));
            self.evacuate(now, key, stop.since(now), actions);
        }
    }

    /// Counts the attempts that were adopted before their upstream was added.
    fn count_adopted(&mut self, now: Time, key: UpstreamKey) {
        for attempt in self.running.on_upstream(key) {
            if let Some(attempt) = self.running.get(attempt) {
                self.placement.start_attempt(now, key, attempt.kv_tokens, attempt.suspect);
            }
        }
    }

    fn submit(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        if self.queue.get(ticket.key).is_some() {
            return;
        }
        if self.quarantine.quarantined_until(now, ticket.fingerprint).is_some() {
            refuse(ticket.key, Kind::Quarantined, None, actions);
            return;
        }
        if ticket.retry && !self.retry_budget.take(ticket.customer) {
            let after = Some(RETRY_BUDGET_AFTER_MS);
            refuse(ticket.key, Kind::RetryBudget, after, actions);
            return;
        }
        let Some(waiting) = self.estimate(now, ticket, actions) else { return };
        if !self.fits_wait_bound(now, &waiting) && !self.preempt_for(&waiting.ticket, actions) {
            let ticket = &waiting.ticket;
            let after = self.retry_after_ms(now, ticket);
            refuse(ticket.key, Kind::DeadlineUnmeetable, Some(after), actions);
            return;
        }
        self.queue.push(now, waiting);
        if self.queue.len() > self.max_waiting {
            self.shed(now, actions);
        }
    }

    /// Estimates the work and memory of a ticket. Refuses a prompt that fits no upstream's memory.
    fn estimate(
        &mut self,
        now: Time,
        ticket: Ticket,
        actions: &mut Vec<Action>,
    ) -> Option<Waiting> {
        let memory = self.placement.largest_memory().unwrap_or(u64::MAX);
        let prompt = u64::from(ticket.prompt_tokens);
        if prompt >= memory {
            refuse(ticket.key, Kind::NoUpstream, None, actions);
            return None;
        }
        let estimate = self.estimator.get(ticket.customer, ticket.route);
        let reserve = estimate.reserved_tokens(0, ticket.max_tokens);
        let kv_tokens = (prompt + u64::from(reserve)).min(memory);
        let work = work_of(ticket.prompt_tokens, estimate.expected_tokens(0, ticket.max_tokens));
        let since = if ticket.retry { now } else { ticket.accepted.min(now) };
        Some(Waiting { ticket, kv_tokens, work, since })
    }

    /// Returns whether a ticket fits a free slot now or is forecast to get one within its maximum queue time.
    fn fits_wait_bound(&self, now: Time, waiting: &Waiting) -> bool {
        let ticket = &waiting.ticket;
        let class = self.queue.class(ticket.class);
        let room = self.placement.largest_free_memory(Requirements::of(&class, ticket.repeatable));
        if room.is_some_and(|free| waiting.kv_tokens <= free) {
            return true;
        }
        let bound_ms = class.max_wait_ms * FORECAST_PER_MILLE / 1_000;
        now.since(waiting.since).as_ms() + self.forecast_ms(now, ticket) <= bound_ms
    }

    /// Returns the expected queue time of a new ticket, in milliseconds.
    ///
    /// Only the backlog of its own and of higher tiers counts, so that lower tiers never cause a refusal. The ticket is
    /// granted either in turn, after the higher tiers and with the capacity that they leave, or by the floor of its
    /// class, whichever is earlier.
    fn forecast_ms(&self, now: Time, ticket: &Ticket) -> u64 {
        let capacity = self.placement.capacity();
        if capacity <= 0.0 {
            return 0;
        }
        let backlog = self.queue.backlog(now, ticket.class, ticket.customer);
        let share = (1.0 - backlog.higher_rate / capacity).max(MIN_SHARE);
        let in_turn_s = (backlog.higher + backlog.own) as f64 / (capacity * share);
        let floor = f64::from(backlog.floor_per_mille) / 1_000.0;
        let by_floor_s = backlog.own as f64 / (capacity * floor.max(MIN_SHARE));
        (in_turn_s.min(by_floor_s) * 1_000.0) as u64
    }

    /// Returns the delay after which the forecast is within the bound again, in milliseconds.
    fn retry_after_ms(&self, now: Time, ticket: &Ticket) -> u64 {
        let bound_ms = self.queue.class(ticket.class).max_wait_ms * FORECAST_PER_MILLE / 1_000;
        let excess = self.forecast_ms(now, ticket).saturating_sub(bound_ms);
        excess.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1)
    }

    /// Refuses a ticket of the lowest waiting tier, unless an attempt of a still lower tier can be preempted instead.
    fn shed(&mut self, now: Time, actions: &mut Vec<Action>) {
        let victim = self.queue.shed_candidate().and_then(|it| self.queue.get(it));
        let Some(ticket) = victim.map(|it| it.ticket.clone()) else { return };
        let excess = self.queue.len() - self.max_waiting;
        if excess <= self.running.preempted() + 1 && self.preempt_for(&ticket, actions) {
            return;
        }
        self.queue.remove(ticket.key);
        let after = self.retry_after_ms(now, &ticket);
        refuse(ticket.key, Kind::Shed, Some(after), actions);
    }

    /// Preempts the newest attempt of the lowest tier below the ticket's that exceeds its floor.
    ///
    /// Returns whether an attempt was preempted. Attempts that are not repeatable are never preempted.
    fn preempt_for(&mut self, ticket: &Ticket, actions: &mut Vec<Action>) -> bool {
        let class = self.queue.class(ticket.class);
        let requirements = Requirements::of(&class, ticket.repeatable);
        let mut lower: Vec<_> =
            self.queue.classes().filter(|(_, it)| it.tier > class.tier).collect();
        lower.sort_by_key(|(_, it)| std::cmp::Reverse(it.tier));
        let victim =
            lower.into_iter().find_map(|(key, _)| self.preemption_victim(key, requirements));
        let Some(victim) = victim else { return false };
        self.preempt(victim, actions);
        true
    }

    /// Returns the newest preemptible attempt of a class whose slot meets `requirements`.
    fn preemption_victim(&self, class: ClassKey, requirements: Requirements) -> Option<AttemptKey> {
        if self.running.active(class) as u64 <= self.floor_slots(class) {
            return None;
        }
        let prices =
            [false, true].into_iter().filter(|it| self.placement.allows_price(*it, requirements));
        let newest = prices.filter_map(|cheap| {
            // Skips attempts on stragglers, of which there are few.
            self.running.victims(class, cheap).find(|it| self.meets(it.1, requirements))
        });
        newest.max().map(|it| it.1)
    }

    /// Returns whether the slot of an attempt meets `requirements`.
    fn meets(&self, attempt: AttemptKey, requirements: Requirements) -> bool {
        let attempt = self.running.get(attempt);
        attempt.is_some_and(|it| self.placement.allows(it.upstream, requirements))
    }

    fn preempt(&mut self, attempt: AttemptKey, actions: &mut Vec<Action>) {
        if self.running.preempt(attempt) {
            actions.push(Action::Preempt(attempt));
        }
    }

    fn adopt(&mut self, now: Time, adopted: Adopted) {
        let Adopted { attempt: key, ticket, upstream, tokens } = adopted;
        if self.running.get(key).is_some() {
            return;
        }
        let estimate = self.estimator.get(ticket.customer, ticket.route);
        let reserve = estimate.reserved_tokens(tokens, ticket.max_tokens);
        let kv_tokens = u64::from(ticket.prompt_tokens) + u64::from(reserve);
        let work =
            work_of(ticket.prompt_tokens, estimate.expected_tokens(tokens, ticket.max_tokens));
        let suspect = self.quarantine.is_suspect(ticket.fingerprint);
        self.placement.start_attempt(now, upstream, kv_tokens, suspect);
        let attempt = Attempt {
            ticket,
            upstream,
            cheap: self.placement.is_cheap(upstream),
            granted: now,
            adopted: true,
            kv_tokens,
            work,
            tokens,
            preempted: false,
            suspect,
        };
        self.running.insert(key, attempt);
    }

    fn record_first_token(&mut self, now: Time, attempt: AttemptKey, us: u64) {
        if let Some(attempt) = self.running.get(attempt) {
            let prompt_tokens = attempt.ticket.prompt_tokens;
            self.placement.record_first_token(now, attempt.upstream, us, prompt_tokens);
        }
    }

    /// Charges the work of an attempt beyond its estimate and extends its memory reservation.
    fn record_tokens(&mut self, now: Time, attempt: AttemptKey, tokens: u32) {
        let Some(attempt) = self.running.get_mut(attempt) else { return };
        attempt.tokens = attempt.tokens.max(tokens);
        let ticket = &attempt.ticket;
        let work = work_of(ticket.prompt_tokens, attempt.tokens);
        if work > attempt.work {
            self.queue.charge(ticket.class, ticket.customer, work - attempt.work);
            attempt.work = work;
        }
        let prompt = u64::from(ticket.prompt_tokens);
        if prompt + u64::from(attempt.tokens) > attempt.kv_tokens {
            let estimate = self.estimator.get(ticket.customer, ticket.route);
            let reserve =
                estimate.reserved_tokens(attempt.tokens, ticket.max_tokens).max(attempt.tokens);
            let kv_tokens = prompt + u64::from(reserve);
            self.placement.resize_reservation(now, attempt.upstream, attempt.kv_tokens, kv_tokens);
            attempt.kv_tokens = kv_tokens;
        }
    }

    fn end_attempt(
        &mut self,
        now: Time,
        key: AttemptKey,
        ending: Ending,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.running.remove(key) else { return };
        self.end_rate.add(now, 1.0);
        let Attempt { ticket, upstream, granted, .. } = &attempt;
        let actual = work_of(ticket.prompt_tokens, attempt.tokens);
        let tokens = u64::from(attempt.tokens);
        match ending {
            Ending::Done => self.complete(now, &attempt, actual),
            Ending::Cancelled => {
                self.settle(&attempt, actual);
                self.output_tokens.used += tokens;
            }
            Ending::Refused => {
                self.settle(&attempt, 0);
                self.placement.record_failure(now, *upstream, *granted, Fault::Hard);
            }
            Ending::Failed => {
                self.settle(&attempt, actual);
                self.output_tokens.wasted += tokens;
                self.placement.record_failure(now, *upstream, *granted, Fault::Hard);
                self.record_crash(now, &attempt, actions);
            }
            Ending::TimedOut => {
                self.settle(&attempt, actual);
                self.output_tokens.wasted += tokens;
                self.placement.record_failure(now, *upstream, *granted, Fault::Timeout);
            }
            Ending::Preempted => {
                self.settle(&attempt, 0);
                self.output_tokens.wasted += tokens;
                self.retry_budget.refund(ticket.customer);
            }
        }
        self.placement.finish_attempt(now, *upstream, attempt.kv_tokens, attempt.suspect);
    }

    fn complete(&mut self, now: Time, attempt: &Attempt, actual: u64) {
        let ticket = &attempt.ticket;
        self.settle(attempt, actual);
        self.output_tokens.used += u64::from(attempt.tokens);
        self.estimator.observe(ticket.customer, ticket.route, attempt.tokens);
        self.quarantine.record_success(ticket.fingerprint);
        self.retry_budget.record_success(ticket.customer);
        let duration = (!attempt.adopted).then(|| now.since(attempt.granted));
        self.placement.record_success(attempt.upstream, actual, duration);
    }

    /// Replaces the charged estimate of an attempt's work by the actual work.
    fn settle(&mut self, attempt: &Attempt, actual: u64) {
        let (class, customer) = (attempt.ticket.class, attempt.ticket.customer);
        let charged = if attempt.adopted { 0 } else { attempt.work };
        if actual > charged {
            self.queue.charge(class, customer, actual - charged);
        } else {
            self.queue.credit(class, customer, charged - actual);
        }
    }

    fn record_crash(&mut self, now: Time, attempt: &Attempt, actions: &mut Vec<Action>) {
        let fingerprint = attempt.ticket.fingerprint;
        let until =
            self.quarantine.record_crash(now, attempt.upstream, attempt.granted, fingerprint);
        let Some(until) = until else { return };
        actions.push(Action::Quarantine(fingerprint, until));
        self.refuse_fingerprint(now, fingerprint, actions);
    }

    fn refuse_fingerprint(&mut self, now: Time, fingerprint: u64, actions: &mut Vec<Action>) {
        if self.quarantine.quarantined_until(now, fingerprint).is_none() {
            return;
        }
        for key in self.queue.of_fingerprint(fingerprint) {
            self.queue.remove(key);
            refuse(key, Kind::Quarantined, None, actions);
        }
    }

    fn evacuate_due(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some((due, key)) = self.evacuations.first().copied()
            && due <= now
        {
            self.evacuations.pop_first();
            if self.placement.leaving(key).is_some_and(|stop| stop - EVACUATION_LEAD <= now) {
                self.evacuate(now, key, Span(0), actions);
            }
        }
    }

    /// Preempts the repeatable attempts that an upstream will not finish within `remaining`, highest tier first.
    fn evacuate(
        &mut self,
        now: Time,
        key: UpstreamKey,
        remaining: Span,
        actions: &mut Vec<Action>,
    ) {
        let rate = self.placement.rate_of(key);
        let mut victims = Vec::new();
        for attempt_key in self.running.on_upstream(key) {
            let Some(attempt) = self.running.get(attempt_key) else { continue };
            let spent = now.since(attempt.granted).0 as f64 / 1e6;
            let total = attempt.work as f64 / rate;
            let unfinished = (total - spent).max(0.0) * 1e6 >= remaining.0 as f64;
            if attempt.ticket.repeatable && unfinished {
                victims.push((self.queue.class(attempt.ticket.class).tier, attempt_key));
            }
        }
        victims.sort_unstable();
        for (_, attempt) in victims {
            self.preempt(attempt, actions);
        }
    }

    /// Refuses the tickets that have reached their maximum queue time.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(key) = self.queue.expired(now) {
            let Some(waiting) = self.queue.remove(key) else { return };
            let after = self.retry_after_ms(now, &waiting.ticket);
            refuse(key, Kind::QueueTimeout, Some(after), actions);
        }
    }

    /// Preempts attempts of lower tiers for urgent tickets that would not get a slot in time otherwise.
    ///
    /// Slots that are expected to become free at the current rate of ending attempts are taken into account.
    fn preempt_for_urgent(&mut self, now: Time, actions: &mut Vec<Action>) {
        let heads: Vec<_> = self.queue.urgent_heads(now, self.lead_ms()).collect();
        for (key, left_s) in heads {
            let Some(waiting) = self.queue.get(key) else { continue };
            let ticket = waiting.ticket.clone();
            let urgent = self.queue.urgent_count(self.queue.class(ticket.class).tier);
            let expected_ends = (self.end_rate.get(now) * left_s) as usize;
            while self.running.preempted() + expected_ends < urgent
                && self.preempt_for(&ticket, actions)
            {}
        }
    }

    /// Grants waiting tickets as long as one fits a free slot.
    fn grant_waiting(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.placement.has_free_slot() && !self.queue.is_empty() {
            let mut candidates = std::mem::take(&mut self.candidates);
            self.queue.candidates(now, &mut candidates);
            let found = candidates.iter().find_map(|it| self.select(it.class));
            self.candidates = candidates;
            let Some((ticket, upstream)) = found else { return };
            self.grant(now, ticket, upstream, actions);
        }
    }

    /// Selects the next ticket of a class that fits a free slot, and the upstream of that slot.
    fn select(&self, class: ClassKey) -> Option<(TicketKey, UpstreamKey)> {
        let spec = self.queue.class(class);
        let room =
            [false, true].map(|it| self.placement.largest_free_memory(Requirements::of(&spec, it)));
        let waiting = self.queue.next_fitting(class, room)?;
        let ticket = &waiting.ticket;
        let requirements = Requirements::of(&spec, ticket.repeatable);
        let suspect = self.quarantine.is_suspect(ticket.fingerprint);
        let upstream = self.placement.choose(ticket, requirements, waiting.kv_tokens, suspect)?;
        Some((ticket.key, upstream))
    }

    fn grant(&mut self, now: Time, key: TicketKey, upstream: UpstreamKey, out: &mut Vec<Action>) {
        let Some(waiting) = self.queue.grant(key) else { return };
        let Waiting { ticket, kv_tokens, work, .. } = waiting;
        let suspect = self.quarantine.is_suspect(ticket.fingerprint);
        let attempt = self.next_attempt();
        self.placement.start_attempt(now, upstream, kv_tokens, suspect);
        self.placement.assign_prefix(now, upstream, ticket.prefix);
        out.push(Action::Grant { ticket: key, attempt, upstream });
        let granted = Attempt {
            ticket,
            upstream,
            cheap: self.placement.is_cheap(upstream),
            granted: now,
            adopted: false,
            kv_tokens,
            work,
            tokens: 0,
            preempted: false,
            suspect,
        };
        self.running.insert(attempt, granted);
    }

    /// Returns the next attempt number that is not used by an adopted attempt.
    fn next_attempt(&mut self) -> AttemptKey {
        loop {
            self.last_attempt += 1;
            let attempt = AttemptKey(self.last_attempt);
            if self.running.get(attempt).is_none() {
                return attempt;
            }
        }
    }

    /// Returns how long before its target a ticket must be granted: the mean time to the first token, in milliseconds.
    fn lead_ms(&self) -> u64 {
        (self.placement.first_token_us() / 1_000.0) as u64
    }
}

fn refuse(ticket: TicketKey, kind: Kind, retry_after_ms: Option<u64>, actions: &mut Vec<Action>) {
    actions.push(Action::Refuse { ticket, kind, retry_after_ms });
}
