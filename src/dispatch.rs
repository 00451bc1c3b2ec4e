//! The dispatcher of one pool in one availability zone: queue, slots and placement.
//!
//! The core does no input or output. It takes events with the time at which they happened and appends actions.
//! Each call costs a logarithm of the queue's length and of the number of upstreams; only changes of configuration and
//! a quarantine look at all of them.

use std::collections::BTreeSet;

use crate::{
    error::Kind,
    estimate::Estimator,
    health::Fault,
    placement::{Placement, Requirements, UpstreamStatus},
    quarantine::Quarantine,
    queue::{Candidate, Queue, Waiting},
    rate::Rate,
    retry::RetryBudget,
    running::{Attempt, RunningAttempts},
    time::{Span, Time},
};

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
    UpstreamRemoved(UpstreamKey),
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

/// Largest number of tickets that wait by default; about 10 MB.
const MAX_WAITING: usize = 20_000;

/// Prompt tokens that take as long as one output token.
const PROMPT_PER_WORK: u64 = 256;

/// Time before an upstream stops at which its repeatable attempts are moved.
const EVACUATION: Span = Span::from_ms(2_000);

/// Part of the queue time that the forecast may fill, in thousandths. The rest covers floors and errors.
const FORECAST_PER_MILLE: u64 = 900;

/// Smallest share of the capacity that a forecast counts on.
const MIN_SHARE: f64 = 0.01;

/// Bounds of the delay that a refusal states, in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (100, 120_000);

/// Delay stated when the retry budget is used up, in milliseconds.
const RETRY_BUDGET_AFTER_MS: u64 = 1_000;

/// Work of a request in work units: the time of one output token.
fn work_of(prompt_tokens: u32, output_tokens: u32) -> u64 {
    u64::from(prompt_tokens) / PROMPT_PER_WORK + u64::from(output_tokens).max(1)
}

/// Tokens that were generated, by what became of them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Output {
    /// Tokens of whole answers and of answers that their callers left.
    pub used: u64,
    /// Tokens of attempts that failed or were stopped.
    pub wasted: u64,
}

/// State of the dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    /// Largest number of tickets that wait.
    max_waiting: usize,
    queue: Queue,
    placement: Placement,
    running: RunningAttempts,
    estimator: Estimator,
    quarantine: Quarantine,
    budget: RetryBudget,
    /// Number of the newest attempt that was granted here.
    attempts: u64,
    /// When the attempts of leaving upstreams are moved at the latest.
    evacuations: BTreeSet<(Time, UpstreamKey)>,
    output: Output,
    /// Attempts that end.
    endings: Rate,
    /// Kept between calls to save its allocation.
    candidates: Vec<Candidate>,
}

impl Default for Dispatcher {
    fn default() -> Dispatcher {
        Dispatcher::bounded(MAX_WAITING)
    }
}

impl Dispatcher {
    /// A dispatcher that sheds beyond `max_waiting` tickets.
    pub fn bounded(max_waiting: usize) -> Dispatcher {
        Dispatcher {
            max_waiting,
            queue: Queue::default(),
            placement: Placement::default(),
            running: RunningAttempts::default(),
            estimator: Estimator::default(),
            quarantine: Quarantine::default(),
            budget: RetryBudget::default(),
            attempts: 0,
            evacuations: BTreeSet::new(),
            output: Output::default(),
            endings: Rate::default(),
            candidates: Vec::new(),
        }
    }

    /// Handles one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.placement.readmit_due(now);
        match event {
            Event::Class(key, class) => self.set_class(now, key, class),
            Event::Customer(key, weight) => self.queue.set_weight(key, weight),
            Event::Upstream(key, upstream) => self.set_upstream(now, key, upstream, actions),
            Event::UpstreamRemoved(key) => {
                self.placement.remove(key);
                self.quarantine.forget(key);
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
            Event::FirstToken(attempt, us) => self.first_token(now, attempt, us),
            Event::Tokens(attempt, tokens) => self.tokens(now, attempt, tokens),
            Event::Ended(attempt, ending) => self.end(now, attempt, ending, actions),
            Event::Quarantine(fingerprint, until) => {
                self.quarantine.insert(now, fingerprint, until);
                self.refuse_fingerprint(now, fingerprint, actions);
            }
            Event::Tick => {}
        }
        self.evacuate_due(now, actions);
        self.queue.advance(now, self.lead_ms());
        self.expire(now, actions);
        self.fill(now, actions);
        self.relieve_urgent(now, actions);
    }

    /// Number of tickets that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Number of tickets of a class that wait.
    pub fn queued_of(&self, class: ClassKey) -> usize {
        self.queue.len_of(class)
    }

    /// Longest queue time of a class. Its tickets are granted or refused by then, given a [`Event::Tick`] in time.
    pub fn wait_bound(&self, class: ClassKey) -> Span {
        Span::from_ms(self.queue.class(class).max_wait_ms)
    }

    /// Attempts of a class that are safe from being stopped for a higher tier: its floor in slots.
    pub fn protected(&self, class: ClassKey) -> u64 {
        let floor = u64::from(self.queue.class(class).floor_per_mille);
        (self.placement.slots() * floor).div_ceil(1_000)
    }

    /// Next time at which [`Event::Tick`] has an effect.
    pub fn next_alarm(&self) -> Option<Time> {
        let queue = self.queue.next_alarm(self.lead_ms());
        let evacuation = self.evacuations.first().map(|it| it.0);
        [queue, evacuation, self.placement.next_readmission()].into_iter().flatten().min()
    }

    /// Attempts that run, on upstreams that are gone too.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Slots of the upstreams that serve.
    pub fn slots(&self) -> u64 {
        self.placement.slots()
    }

    /// Slots in use.
    pub fn busy(&self) -> u64 {
        self.placement.busy()
    }

    /// Slots that the work of the last seconds and the backlog call for, at the measured work rate.
    ///
    /// `None` before there is an upstream to measure.
    pub fn demand(&self, now: Time) -> Option<f64> {
        if self.placement.slots() == 0 {
            return None;
        }
        let per_slot = self.placement.capacity() / self.placement.slots() as f64;
        let arriving = self.queue.arrival_rate(now) / per_slot;
        Some(arriving.max(self.placement.busy() as f64) + self.queue.len() as f64)
    }

    /// State of each upstream, in the order of keys.
    pub fn upstreams(&self) -> impl Iterator<Item = UpstreamStatus> {
        self.placement.iter()
    }

    /// Fingerprints that are refused at `now` and until when.
    pub fn quarantined(&self, now: Time) -> impl Iterator<Item = (u64, Time)> {
        self.quarantine.iter().filter(move |it| now < it.1)
    }

    /// Tokens that were generated so far.
    pub fn output(&self) -> Output {
        self.output
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
            self.count_running(now, key);
        }
        if let Some(stop) = upstream.leaving {
            self.evacuations.insert((stop - EVACUATION, key));
            self.evacuate(now, key, stop.since(now), actions);
        }
    }

    /// Counts attempts that were adopted before their upstream was known.
    fn count_running(&mut self, now: Time, key: UpstreamKey) {
        for attempt in self.running.on(key) {
            if let Some(attempt) = self.running.get(attempt) {
                self.placement.start_attempt(now, key, attempt.need, attempt.suspect);
            }
        }
    }

    fn submit(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        if self.queue.get(ticket.key).is_some() {
            return;
        }
        if self.quarantine.end_of(now, ticket.fingerprint).is_some() {
            refuse(ticket.key, Kind::Quarantined, None, actions);
            return;
        }
        if ticket.retry && !self.budget.take(ticket.customer) {
            let after = Some(RETRY_BUDGET_AFTER_MS);
            refuse(ticket.key, Kind::RetryBudget, after, actions);
            return;
        }
        let Some(waiting) = self.measure(now, ticket, actions) else { return };
        if !self.has_time(now, &waiting) && !self.relieve(&waiting.ticket, actions) {
            let ticket = &waiting.ticket;
            let after = self.retry_after(now, ticket);
            refuse(ticket.key, Kind::DeadlineUnmeetable, Some(after), actions);
            return;
        }
        self.queue.push(now, waiting);
        if self.queue.len() > self.max_waiting {
            self.shed(now, actions);
        }
    }

    /// Estimates a ticket's work and memory. Refuses a prompt that no upstream can hold.
    fn measure(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) -> Option<Waiting> {
        let memory = self.placement.largest_memory().unwrap_or(u64::MAX);
        let prompt = u64::from(ticket.prompt_tokens);
        if prompt >= memory {
            refuse(ticket.key, Kind::NoUpstream, None, actions);
            return None;
        }
        let estimate = self.estimator.get(ticket.customer, ticket.route);
        let reserve = estimate.reserved_tokens(0, ticket.max_tokens);
        let need = (prompt + u64::from(reserve)).min(memory);
        let work = work_of(ticket.prompt_tokens, estimate.expected_tokens(0, ticket.max_tokens));
        let since = if ticket.retry { now } else { ticket.accepted.min(now) };
        Some(Waiting { ticket, need, work, since })
    }

    /// Whether the backlog of the own and higher tiers leaves time to grant a ticket.
    fn has_time(&self, now: Time, waiting: &Waiting) -> bool {
        let ticket = &waiting.ticket;
        let class = self.queue.class(ticket.class);
        let room = self.placement.largest_free_memory(Requirements::of(&class, ticket.repeatable));
        if room.is_some_and(|free| waiting.need <= free) {
            return true;
        }
        let bound_ms = class.max_wait_ms * FORECAST_PER_MILLE / 1_000;
        now.since(waiting.since).as_ms() + self.forecast_ms(now, ticket) <= bound_ms
    }

    /// Expected queue time of a new ticket, in milliseconds.
    ///
    /// Counts the backlog of the own and higher tiers alone, so that no lower tier ever causes a refusal. The ticket
    /// comes up in turn, after the higher tiers and in the time that they leave, or by its class's floor.
    fn forecast_ms(&self, now: Time, ticket: &Ticket) -> u64 {
        let capacity = self.placement.capacity();
        if capacity <= 0.0 {
            return 0;
        }
        let backlog = self.queue.backlog(now, ticket.class, ticket.customer);
        let left = (1.0 - backlog.higher_rate / capacity).max(MIN_SHARE);
        let in_turn_s = (backlog.higher + backlog.own) as f64 / (capacity * left);
        let floor = f64::from(backlog.floor_per_mille) / 1_000.0;
        let by_floor_s = backlog.own as f64 / (capacity * floor.max(MIN_SHARE));
        (in_turn_s.min(by_floor_s) * 1_000.0) as u64
    }

    /// Delay after which the backlog will have left time, in milliseconds.
    fn retry_after(&self, now: Time, ticket: &Ticket) -> u64 {
        let bound_ms = self.queue.class(ticket.class).max_wait_ms * FORECAST_PER_MILLE / 1_000;
        let excess = self.forecast_ms(now, ticket).saturating_sub(bound_ms);
        excess.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1)
    }

    /// Gives up a ticket of the lowest tier that waits, unless work of a lower tier than that can be stopped.
    fn shed(&mut self, now: Time, actions: &mut Vec<Action>) {
        let victim = self.queue.victim().and_then(|it| self.queue.get(it));
        let Some(ticket) = victim.map(|it| it.ticket.clone()) else { return };
        let excess = self.queue.len() - self.max_waiting;
        if excess <= self.running.stopping() + 1 && self.relieve(&ticket, actions) {
            return;
        }
        self.queue.remove(ticket.key);
        let after = self.retry_after(now, &ticket);
        refuse(ticket.key, Kind::Shed, Some(after), actions);
    }

    /// Stops the newest attempt of the lowest tier below the ticket's that runs more than its floor.
    ///
    /// Returns whether one was stopped. Attempts that may not be repeated are never stopped.
    fn relieve(&mut self, ticket: &Ticket, actions: &mut Vec<Action>) -> bool {
        let class = self.queue.class(ticket.class);
        let demand = Requirements::of(&class, ticket.repeatable);
        let mut lower: Vec<_> =
            self.queue.classes().filter(|(_, it)| it.tier > class.tier).collect();
        lower.sort_by_key(|(_, it)| std::cmp::Reverse(it.tier));
        let victim = lower.into_iter().find_map(|(key, _)| self.victim(key, demand));
        let Some(victim) = victim else { return false };
        self.stop(victim, actions);
        true
    }

    /// The newest attempt of a class that may be stopped and whose slot serves a demand.
    fn victim(&self, class: ClassKey, demand: Requirements) -> Option<AttemptKey> {
        if self.running.active(class) as u64 <= self.protected(class) {
            return None;
        }
        let prices =
            [false, true].into_iter().filter(|it| self.placement.allows_price(*it, demand));
        let newest = prices.filter_map(|cheap| {
            // Looks past attempts on stragglers, which are few.
            self.running.victims(class, cheap).find(|it| self.serves(it.1, demand))
        });
        newest.max().map(|it| it.1)
    }

    /// Whether the slot of an attempt serves a demand.
    fn serves(&self, attempt: AttemptKey, demand: Requirements) -> bool {
        let attempt = self.running.get(attempt);
        attempt.is_some_and(|it| self.placement.allows(it.upstream, demand))
    }

    fn stop(&mut self, attempt: AttemptKey, actions: &mut Vec<Action>) {
        if self.running.stop(attempt) {
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
        let need = u64::from(ticket.prompt_tokens) + u64::from(reserve);
        let work =
            work_of(ticket.prompt_tokens, estimate.expected_tokens(tokens, ticket.max_tokens));
        let suspect = self.quarantine.is_suspect(ticket.fingerprint);
        self.placement.start_attempt(now, upstream, need, suspect);
        let attempt = Attempt {
            ticket,
            upstream,
            cheap: self.placement.is_cheap(upstream),
            granted: now,
            adopted: true,
            need,
            work,
            tokens,
            stopping: false,
            suspect,
        };
        self.running.insert(key, attempt);
    }

    fn first_token(&mut self, now: Time, attempt: AttemptKey, us: u64) {
        if let Some(attempt) = self.running.get(attempt) {
            let prompt_tokens = attempt.ticket.prompt_tokens;
            self.placement.record_first_token(now, attempt.upstream, us, prompt_tokens);
        }
    }

    /// Charges an attempt that outgrows its estimate and reserves memory for what is still expected.
    fn tokens(&mut self, now: Time, attempt: AttemptKey, tokens: u32) {
        let Some(attempt) = self.running.get_mut(attempt) else { return };
        attempt.tokens = attempt.tokens.max(tokens);
        let ticket = &attempt.ticket;
        let work = work_of(ticket.prompt_tokens, attempt.tokens);
        if work > attempt.work {
            self.queue.charge(ticket.class, ticket.customer, work - attempt.work);
            attempt.work = work;
        }
        let prompt = u64::from(ticket.prompt_tokens);
        if prompt + u64::from(attempt.tokens) > attempt.need {
            let estimate = self.estimator.get(ticket.customer, ticket.route);
            let reserve =
                estimate.reserved_tokens(attempt.tokens, ticket.max_tokens).max(attempt.tokens);
            let need = prompt + u64::from(reserve);
            self.placement.resize_reservation(now, attempt.upstream, attempt.need, need);
            attempt.need = need;
        }
    }

    fn end(&mut self, now: Time, key: AttemptKey, ending: Ending, actions: &mut Vec<Action>) {
        let Some(attempt) = self.running.remove(key) else { return };
        self.endings.add(now, 1.0);
        let Attempt { ticket, upstream, granted, .. } = &attempt;
        let actual = work_of(ticket.prompt_tokens, attempt.tokens);
        let tokens = u64::from(attempt.tokens);
        match ending {
            Ending::Done => self.complete(now, &attempt, actual),
            Ending::Cancelled => {
                self.settle(&attempt, actual);
                self.output.used += tokens;
            }
            Ending::Refused => {
                self.settle(&attempt, 0);
                self.placement.record_failure(now, *upstream, *granted, Fault::Hard);
            }
            Ending::Failed => {
                self.settle(&attempt, actual);
                self.output.wasted += tokens;
                self.placement.record_failure(now, *upstream, *granted, Fault::Hard);
                self.crash(now, &attempt, actions);
            }
            Ending::TimedOut => {
                self.settle(&attempt, actual);
                self.output.wasted += tokens;
                self.placement.record_failure(now, *upstream, *granted, Fault::Timeout);
            }
            Ending::Preempted => {
                self.settle(&attempt, 0);
                self.output.wasted += tokens;
                self.budget.refund(ticket.customer);
            }
        }
        self.placement.finish_attempt(now, *upstream, attempt.need, attempt.suspect);
    }

    fn complete(&mut self, now: Time, attempt: &Attempt, actual: u64) {
        let ticket = &attempt.ticket;
        self.settle(attempt, actual);
        self.output.used += u64::from(attempt.tokens);
        self.estimator.observe(ticket.customer, ticket.route, attempt.tokens);
        self.quarantine.complete(ticket.fingerprint);
        self.budget.record_success(ticket.customer);
        let duration = (!attempt.adopted).then(|| now.since(attempt.granted));
        self.placement.record_success(attempt.upstream, actual, duration);
    }

    /// Replaces the work that was charged for an attempt by the work that it took.
    fn settle(&mut self, attempt: &Attempt, actual: u64) {
        let (class, customer) = (attempt.ticket.class, attempt.ticket.customer);
        let charged = if attempt.adopted { 0 } else { attempt.work };
        if actual > charged {
            self.queue.charge(class, customer, actual - charged);
        } else {
            self.queue.credit(class, customer, charged - actual);
        }
    }

    fn crash(&mut self, now: Time, attempt: &Attempt, actions: &mut Vec<Action>) {
        let fingerprint = attempt.ticket.fingerprint;
        let until = self.quarantine.crash(now, attempt.upstream, attempt.granted, fingerprint);
        let Some(until) = until else { return };
        actions.push(Action::Quarantine(fingerprint, until));
        self.refuse_fingerprint(now, fingerprint, actions);
    }

    fn refuse_fingerprint(&mut self, now: Time, fingerprint: u64, actions: &mut Vec<Action>) {
        if self.quarantine.end_of(now, fingerprint).is_none() {
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
            if self.placement.leaving(key).is_some_and(|stop| stop - EVACUATION <= now) {
                self.evacuate(now, key, Span(0), actions);
            }
        }
    }

    /// Moves the repeatable attempts that an upstream will not finish within `left`, highest tier first.
    fn evacuate(&mut self, now: Time, key: UpstreamKey, left: Span, actions: &mut Vec<Action>) {
        let rate = self.placement.rate_of(key);
        let mut moved = Vec::new();
        for attempt_key in self.running.on(key) {
            let Some(attempt) = self.running.get(attempt_key) else { continue };
            let spent = now.since(attempt.granted).0 as f64 / 1e6;
            let total = attempt.work as f64 / rate;
            let unfinished = (total - spent).max(0.0) * 1e6 >= left.0 as f64;
            if attempt.ticket.repeatable && unfinished {
                moved.push((self.queue.class(attempt.ticket.class).tier, attempt_key));
            }
        }
        moved.sort_unstable();
        for (_, attempt) in moved {
            self.stop(attempt, actions);
        }
    }

    /// Refuses tickets whose queue time has reached its bound.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(key) = self.queue.expired(now) {
            let Some(waiting) = self.queue.remove(key) else { return };
            let after = self.retry_after(now, &waiting.ticket);
            refuse(key, Kind::QueueTimeout, Some(after), actions);
        }
    }

    /// Stops attempts of lower tiers for urgent tickets that the usual endings will not serve in time.
    fn relieve_urgent(&mut self, now: Time, actions: &mut Vec<Action>) {
        let heads: Vec<_> = self.queue.urgent_heads(now, self.lead_ms()).collect();
        for (key, left_s) in heads {
            let Some(waiting) = self.queue.get(key) else { continue };
            let ticket = waiting.ticket.clone();
            let urgent = self.queue.urgent(self.queue.class(ticket.class).tier);
            let endings = (self.endings.get(now) * left_s) as usize;
            while self.running.stopping() + endings < urgent && self.relieve(&ticket, actions) {}
        }
    }

    /// Grants tickets while one fits a free slot.
    fn fill(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.placement.has_free_slot() && !self.queue.is_empty() {
            let mut candidates = std::mem::take(&mut self.candidates);
            self.queue.candidates(now, &mut candidates);
            let found = candidates.iter().find_map(|it| self.pick(it.class));
            self.candidates = candidates;
            let Some((ticket, upstream)) = found else { return };
            self.grant(now, ticket, upstream, actions);
        }
    }

    /// The next ticket of a class that fits a free slot, and the slot's upstream.
    fn pick(&self, class: ClassKey) -> Option<(TicketKey, UpstreamKey)> {
        let spec = self.queue.class(class);
        let room =
            [false, true].map(|it| self.placement.largest_free_memory(Requirements::of(&spec, it)));
        let waiting = self.queue.next(class, room)?;
        let ticket = &waiting.ticket;
        let demand = Requirements::of(&spec, ticket.repeatable);
        let suspect = self.quarantine.is_suspect(ticket.fingerprint);
        let upstream = self.placement.choose(ticket, demand, waiting.need, suspect)?;
        Some((ticket.key, upstream))
    }

    fn grant(&mut self, now: Time, key: TicketKey, upstream: UpstreamKey, out: &mut Vec<Action>) {
        let Some(waiting) = self.queue.grant(key) else { return };
        let Waiting { ticket, need, work, .. } = waiting;
        let suspect = self.quarantine.is_suspect(ticket.fingerprint);
        let attempt = self.next_attempt();
        self.placement.start_attempt(now, upstream, need, suspect);
        self.placement.assign_prefix(now, upstream, ticket.prefix);
        out.push(Action::Grant { ticket: key, attempt, upstream });
        let granted = Attempt {
            ticket,
            upstream,
            cheap: self.placement.is_cheap(upstream),
            granted: now,
            adopted: false,
            need,
            work,
            tokens: 0,
            stopping: false,
            suspect,
        };
        self.running.insert(attempt, granted);
    }

    /// The next number that no adopted attempt has.
    fn next_attempt(&mut self) -> AttemptKey {
        loop {
            self.attempts += 1;
            let attempt = AttemptKey(self.attempts);
            if self.running.get(attempt).is_none() {
                return attempt;
            }
        }
    }

    /// How long before its target a ticket must be granted, in milliseconds.
    fn lead_ms(&self) -> u64 {
        (self.placement.first_token_us() / 1_000.0) as u64
    }
}

fn refuse(ticket: TicketKey, kind: Kind, retry_after_ms: Option<u64>, actions: &mut Vec<Action>) {
    actions.push(Action::Refuse { ticket, kind, retry_after_ms });
}
