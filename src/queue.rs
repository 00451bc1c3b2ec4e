//! Queue of one pool: priority tiers, weighted fair queueing between customers and a minimum share per class.
//!
//! Each class has a queue of its own. Within it the customer with the lowest virtual time is served next; a grant
//! advances that time by the request's work divided by the customer's weight. All orders are kept in trees, so that no
//! step scans the whole queue.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    dispatch::{Class, ClassKey, CustomerKey, Ticket, TicketKey},
    rate::Rate,
    time::{Span, Time},
};

/// Virtual time per work unit at weight one. Divisible by most weights.
const VIRTUAL_PER_WORK: u64 = 10_000;

/// Credit at which the floor of a class is due, and which a grant to the class costs.
///
/// Each grant adds the `floor_per_mille` of every other class with waiting tickets to the credit of that class.
const FLOOR_COST: u32 = 1_000;

/// Maximum credit of a class, so that a suspended floor does not cause a burst later.
const MAX_FLOOR_CREDIT: u32 = 4 * FLOOR_COST;

/// Maximum unused share that an idle customer retains, in work units at weight one.
const MAX_IDLE_CREDIT: u64 = 2_000;

/// A ticket is urgent in the last `1 / URGENT_DIVISOR` of the time within which it must be granted.
const URGENT_DIVISOR: u64 = 8;

/// Number of customers in a class that a search examines before it selects by memory alone.
const MAX_SCANNED_CUSTOMERS: usize = 8;

/// Service level of tickets whose class is not in the configuration.
const UNKNOWN_CLASS: Class =
    Class { tier: u8::MAX, first_token_ms: 30_000, floor_per_mille: 0, max_wait_ms: 30_000 };

/// A waiting ticket with its estimates.
#[derive(Debug)]
pub struct Waiting {
    /// The submitted ticket.
    pub ticket: Ticket,
    /// KV memory to reserve, in tokens.
    pub kv_tokens: u64,
    /// Estimated work, in work units.
    pub work: u64,
    /// Start of the queue time, by which the maximum wait is measured.
    pub since: Time,
}

/// Waiting tickets of one customer in one class, and its position in fair queueing.
#[derive(Debug)]
struct Flow {
    /// Virtual start time of the next ticket.
    tag: u64,
    /// Work of the waiting tickets, in work units.
    work: u64,
    /// Waiting tickets by time of acceptance.
    tickets: BTreeSet<(Time, TicketKey)>,
}

/// Waiting tickets of one class.
#[derive(Debug)]
struct ClassQueue {
    class: Class,
    /// Sorted by customer.
    flows: Vec<(CustomerKey, Flow)>,
    /// Flows with waiting tickets, by tag.
    by_tag: BTreeSet<(u64, CustomerKey)>,
    /// Flows with waiting tickets, by waiting work divided by weight.
    by_backlog: BTreeSet<(u64, CustomerKey)>,
    /// Tickets by memory; index 0 holds those that are not repeatable, index 1 the repeatable ones.
    by_kv_tokens: [BTreeSet<(u64, TicketKey)>; 2],
    /// Tickets by start of the queue time.
    by_age: BTreeSet<(Time, TicketKey)>,
    /// Tickets that are not urgent yet, by time of acceptance.
    not_urgent: BTreeSet<(Time, TicketKey)>,
    /// Tickets close to missing their target, by time of acceptance. Tickets that missed it are in neither set.
    urgent: BTreeSet<(Time, TicketKey)>,
    /// Virtual time of the class: the tag of the last grant or a lower tag of a waiting flow. Never decreases.
    virtual_time: u64,
    /// Credit towards a grant by the floor, at most `MAX_FLOOR_CREDIT`.
    credit: u32,
    /// Work of the waiting tickets, in work units.
    work: u64,
    /// Sum of the weights of the customers with waiting tickets.
    weight: u64,
    /// Arriving work, in work units per second.
    arrivals: Rate,
}

/// Backlog ahead of a ticket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// Waiting work of higher tiers, in work units.
    pub higher: u64,
    /// Waiting work of the same tier that fair queueing serves before the ticket, in work units.
    pub own: u64,
    /// Arriving work of higher tiers, in work units per second.
    pub higher_rate: f64,
    /// Floor of the ticket's class, in thousandths.
    pub floor_per_mille: u32,
}

/// A class with waiting tickets that may receive the next grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Class to take a ticket from.
    pub class: ClassKey,
    /// Whether the class goes ahead of higher tiers because its floor is due.
    pub by_floor: bool,
}

/// All waiting tickets of a pool.
#[derive(Debug, Default)]
pub struct Queue {
    /// Sorted by key.
    queues: Vec<(ClassKey, ClassQueue)>,
    waiting: BTreeMap<TicketKey, Waiting>,
    /// Sorted by key. Customers without an entry have weight one.
    weights: Vec<(CustomerKey, u32)>,
}

impl Queue {
    /// Adds or changes a class.
    pub fn set_class(&mut self, key: ClassKey, class: Class) {
        self.class_queue_mut(key).class = class;
    }

    /// Sets the weight of a customer. Its waiting tickets are ordered by the new weight.
    pub fn set_weight(&mut self, customer: CustomerKey, weight: u32) {
        if self.queues.iter().any(|(_, queue)| queue.has_tickets(customer)) {
            // The ordered sets contain keys computed with the old weight, so the tickets must be inserted again.
            self.change_weight(customer, weight);
            return;
        }
        self.store_weight(customer, weight);
    }

    /// Returns the service level of a class.
    pub fn class(&self, key: ClassKey) -> Class {
        self.class_queue(key).map_or(UNKNOWN_CLASS, |queue| queue.class)
    }

    /// Returns all classes, sorted by key.
    pub fn classes(&self) -> impl Iterator<Item = (ClassKey, Class)> {
        self.queues.iter().map(|(key, queue)| (*key, queue.class))
    }

    /// Adds a ticket and counts its work as arriving.
    pub fn push(&mut self, now: Time, waiting: Waiting) {
        let weight = self.weight(waiting.ticket.customer);
        let (class, work) = (waiting.ticket.class, waiting.work);
        let queue = self.class_queue_mut(class);
        queue.arrivals.add(now, work as f64);
        queue.insert(&waiting, weight);
        self.waiting.insert(waiting.ticket.key, waiting);
    }

    /// Removes a ticket without a grant.
    pub fn remove(&mut self, key: TicketKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(&key)?;
        let weight = self.weight(waiting.ticket.customer);
        self.class_queue_mut(waiting.ticket.class).remove(&waiting, weight);
        Some(waiting)
    }

    /// Removes a ticket because it is granted, charges its customer and updates the floor credits of all classes.
    pub fn grant(&mut self, key: TicketKey) -> Option<Waiting> {
        let waiting = self.remove(key)?;
        let class = waiting.ticket.class;
        let weight = self.weight(waiting.ticket.customer);
        for (other, queue) in &mut self.queues {
            if *other == class {
                queue.credit = queue.credit.saturating_sub(FLOOR_COST);
            } else if !queue.by_tag.is_empty() {
                queue.credit = (queue.credit + queue.class.floor_per_mille).min(MAX_FLOOR_CREDIT);
            }
        }
        let queue = self.class_queue_mut(class);
        queue.advance_virtual_time(waiting.ticket.customer);
        queue.charge(waiting.ticket.customer, virtual_time_of(waiting.work, weight));
        Some(waiting)
    }

    /// Charges a customer for work beyond the estimate.
    pub fn charge(&mut self, class: ClassKey, customer: CustomerKey, work: u64) {
        let weight = self.weight(customer);
        self.class_queue_mut(class).charge(customer, virtual_time_of(work, weight));
    }

    /// Credits a customer for work that was charged but not done.
    pub fn credit(&mut self, class: ClassKey, customer: CustomerKey, work: u64) {
        let weight = self.weight(customer);
        self.class_queue_mut(class).credit(customer, virtual_time_of(work, weight));
    }

    /// Fills `out` with the classes that have waiting tickets, in the order in which to try them.
    ///
    /// Classes whose floor is due come first, then higher tiers, then the earliest deadline.
    pub fn candidates(&self, now: Time, out: &mut Vec<Candidate>) {
        out.clear();
        for (class, queue) in &self.queues {
            if !queue.by_tag.is_empty() {
                out.push(Candidate { class: *class, by_floor: self.is_floor_due(now, queue) });
            }
        }
        out.sort_by_key(|it| {
            let queue = self.class_queue(it.class);
            let deadline = queue.and_then(ClassQueue::first_deadline);
            (!it.by_floor, queue.map(|queue| queue.class.tier), deadline)
        });
    }

    /// Returns the next ticket of a class among those that fit the free memory.
    ///
    /// `room` is the largest free memory of an upstream with a free slot, in tokens, for tickets that are not repeatable
    /// (index 0) and for repeatable ones (index 1). `None` stands for no free slot.
    pub fn next_fitting(&self, class: ClassKey, room: [Option<u64>; 2]) -> Option<&Waiting> {
        let queue = self.class_queue(class)?;
        let fits = |it: &&Waiting| {
            room[usize::from(it.ticket.repeatable)].is_some_and(|free| it.kv_tokens <= free)
        };
        let heads = queue.by_tag.iter().take(MAX_SCANNED_CUSTOMERS);
        let heads = heads.filter_map(|(_, customer)| queue.flow(*customer)?.tickets.first());
        let mut heads = heads.filter_map(|(_, key)| self.waiting.get(key));
        if let Some(found) = heads.find(fits) {
            return Some(found);
        }
        let smallest = queue.by_kv_tokens.iter().filter_map(|set| set.first());
        smallest.filter_map(|(_, key)| self.waiting.get(key)).find(fits)
    }

    /// Returns a ticket that has reached the maximum queue time of its class.
    pub fn expired(&self, now: Time) -> Option<TicketKey> {
        self.queues.iter().find_map(|(_, queue)| {
            let (since, key) = queue.by_age.first()?;
            let bound = Span::from_ms(queue.class.max_wait_ms);
            (now.since(*since) >= bound).then_some(*key)
        })
    }

    /// Marks tickets that would soon miss their target as urgent, and no longer counts those that have missed it.
    ///
    /// `lead_ms` is how long before its target a ticket must be granted, in milliseconds.
    pub fn update_urgency(&mut self, now: Time, lead_ms: u64) {
        for (_, queue) in &mut self.queues {
            let urgent_after = urgent_after(&queue.class, lead_ms);
            while let Some((accepted, key)) = queue.not_urgent.first().copied()
                && now.since(accepted) >= urgent_after
            {
                queue.not_urgent.pop_first();
                queue.urgent.insert((accepted, key));
            }
            let target = Span::from_ms(queue.class.first_token_ms);
            while let Some((accepted, _)) = queue.urgent.first()
                && now.since(*accepted) >= target
            {
                queue.urgent.pop_first();
            }
        }
    }

    /// Returns the next time at which [`Queue::update_urgency`] or [`Queue::expired`] has an effect.
    pub fn next_alarm(&self, lead_ms: u64) -> Option<Time> {
        let alarms = self.queues.iter().flat_map(|(_, queue)| {
            let class = &queue.class;
            let expired = queue.by_age.first().map(|it| it.0 + Span::from_ms(class.max_wait_ms));
            let urgent = queue.not_urgent.first().map(|it| it.0 + urgent_after(class, lead_ms));
            let missed = queue.urgent.first().map(|it| it.0 + Span::from_ms(class.first_token_ms));
            [expired, urgent, missed]
        });
        alarms.flatten().min()
    }

    /// Returns the oldest urgent ticket of each class with the time left to grant it, in seconds.
    pub fn urgent_heads(&self, now: Time, lead_ms: u64) -> impl Iterator<Item = (TicketKey, f64)> {
        self.queues.iter().filter_map(move |(_, queue)| {
            let (accepted, key) = queue.urgent.first()?;
            let latest = *accepted + Span::from_ms(grant_deadline_ms(&queue.class, lead_ms));
            Some((*key, latest.since(now).0 as f64 / 1e6))
        })
    }

    /// Returns the number of urgent tickets of a tier and of all higher ones.
    pub fn urgent_count(&self, tier: u8) -> usize {
        let queues = self.queues.iter().filter(|(_, queue)| queue.class.tier <= tier);
        queues.map(|(_, queue)| queue.urgent.len()).sum()
    }

    /// Returns the backlog ahead of a ticket that the customer would submit now.
    pub fn backlog(&self, now: Time, class: ClassKey, customer: CustomerKey) -> Backlog {
        let spec = self.class(class);
        let mut backlog =
            Backlog { higher: 0, own: 0, higher_rate: 0.0, floor_per_mille: spec.floor_per_mille };
        for (key, queue) in &self.queues {
            if queue.class.tier < spec.tier {
                backlog.higher += queue.work;
                backlog.higher_rate += queue.arrivals.get(now);
            } else if *key == class {
                backlog.own += queue.work_ahead(customer, self.weight(customer));
            } else if queue.class.tier == spec.tier {
                backlog.own += queue.work;
            }
        }
        backlog
    }

    /// Returns the ticket to shed first: the newest one of the customer with the largest backlog in the lowest tier.
    pub fn shed_candidate(&self) -> Option<TicketKey> {
        let filled = self.queues.iter().filter(|(_, queue)| !queue.by_tag.is_empty());
        let (_, queue) = filled.max_by_key(|(_, queue)| queue.class.tier)?;
        let (_, customer) = queue.by_backlog.last()?;
        queue.flow(*customer)?.tickets.last().map(|it| it.1)
    }

    /// Returns a waiting ticket.
    pub fn get(&self, key: TicketKey) -> Option<&Waiting> {
        self.waiting.get(&key)
    }

    /// Returns the waiting tickets of a fingerprint. Scans the whole queue.
    pub fn of_fingerprint(&self, fingerprint: u64) -> Vec<TicketKey> {
        let waiting = self.waiting.iter();
        let found = waiting.filter(|(_, it)| it.ticket.fingerprint == fingerprint);
        found.map(|(key, _)| *key).collect()
    }

    /// Returns the number of waiting tickets.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting tickets of a class.
    pub fn len_of(&self, class: ClassKey) -> usize {
        self.class_queue(class).map_or(0, |queue| queue.by_age.len())
    }

    /// Returns the work of all waiting tickets, in work units.
    pub fn work(&self) -> u64 {
        self.queues.iter().map(|(_, queue)| queue.work).sum()
    }

    /// Returns the arriving work, in work units per second.
    pub fn arrival_rate(&self, now: Time) -> f64 {
        self.queues.iter().map(|(_, queue)| queue.arrivals.get(now)).sum()
    }

    /// Returns whether the floor of a class entitles it to a grant ahead of higher tiers.
    ///
    /// The floor is suspended while a higher tier has urgent tickets, except for a class whose oldest ticket has waited
    /// for half of the maximum queue time.
    fn is_floor_due(&self, now: Time, queue: &ClassQueue) -> bool {
        if queue.credit < FLOOR_COST {
            return false;
        }
        let half = Span::from_ms(queue.class.max_wait_ms / 2);
        let old = queue.by_age.first().is_some_and(|it| now.since(it.0) >= half);
        old || queue.class.tier == 0 || self.urgent_count(queue.class.tier - 1) == 0
    }

    fn class_queue(&self, key: ClassKey) -> Option<&ClassQueue> {
        self.queues.binary_search_by_key(&key, |it| it.0).ok().map(|found| &self.queues[found].1)
    }

    fn class_queue_mut(&mut self, key: ClassKey) -> &mut ClassQueue {
        let at = match self.queues.binary_search_by_key(&key, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                self.queues.insert(at, (key, ClassQueue::new()));
                at
            }
        };
        &mut self.queues[at].1
    }

    fn weight(&self, customer: CustomerKey) -> u32 {
        let found = self.weights.binary_search_by_key(&customer, |it| it.0);
        found.map_or(1, |found| self.weights[found].1)
    }

    fn store_weight(&mut self, customer: CustomerKey, weight: u32) {
        let weight = weight.max(1);
        match self.weights.binary_search_by_key(&customer, |it| it.0) {
            Ok(found) => self.weights[found].1 = weight,
            Err(at) => self.weights.insert(at, (customer, weight)),
        }
    }

    fn change_weight(&mut self, customer: CustomerKey, weight: u32) {
        let queues = self.queues.iter();
        let flows = queues.filter_map(|(_, queue)| queue.flow(customer));
        let keys: Vec<_> = flows.flat_map(|it| it.tickets.iter().map(|it| it.1)).collect();
        let moved: Vec<_> = keys.into_iter().filter_map(|key| self.remove(key)).collect();
        self.store_weight(customer, weight);
        let weight = self.weight(customer);
        for waiting in moved {
            self.class_queue_mut(waiting.ticket.class).insert(&waiting, weight);
            self.waiting.insert(waiting.ticket.key, waiting);
        }
    }
}

impl ClassQueue {
    fn new() -> ClassQueue {
        ClassQueue {
            class: UNKNOWN_CLASS,
            flows: Vec::new(),
            by_tag: BTreeSet::new(),
            by_backlog: BTreeSet::new(),
            by_kv_tokens: [BTreeSet::new(), BTreeSet::new()],
            by_age: BTreeSet::new(),
            not_urgent: BTreeSet::new(),
            urgent: BTreeSet::new(),
            virtual_time: 0,
            credit: 0,
            work: 0,
            weight: 0,
            arrivals: Rate::default(),
        }
    }

    fn insert(&mut self, waiting: &Waiting, weight: u32) {
        let ticket = &waiting.ticket;
        let (key, customer) = (ticket.key, ticket.customer);
        self.by_kv_tokens[usize::from(ticket.repeatable)].insert((waiting.kv_tokens, key));
        self.by_age.insert((waiting.since, key));
        self.not_urgent.insert((ticket.accepted, key));
        self.work += waiting.work;
        let virtual_time = self.virtual_time;
        let at = self.flow_at(customer);
        let flow = &mut self.flows[at].1;
        if flow.tickets.is_empty() {
            let earliest = virtual_time.saturating_sub(MAX_IDLE_CREDIT * VIRTUAL_PER_WORK);
            flow.tag = flow.tag.max(earliest);
            self.by_tag.insert((flow.tag, customer));
            self.weight += u64::from(weight);
        } else {
            self.by_backlog.remove(&(virtual_time_of(flow.work, weight), customer));
        }
        flow.tickets.insert((ticket.accepted, key));
        flow.work += waiting.work;
        self.by_backlog.insert((virtual_time_of(flow.work, weight), customer));
    }

    fn remove(&mut self, waiting: &Waiting, weight: u32) {
        let ticket = &waiting.ticket;
        let (key, customer) = (ticket.key, ticket.customer);
        self.by_kv_tokens[usize::from(ticket.repeatable)].remove(&(waiting.kv_tokens, key));
        self.by_age.remove(&(waiting.since, key));
        self.not_urgent.remove(&(ticket.accepted, key));
        self.urgent.remove(&(ticket.accepted, key));
        self.work -= waiting.work;
        let at = self.flow_at(customer);
        let flow = &mut self.flows[at].1;
        self.by_backlog.remove(&(virtual_time_of(flow.work, weight), customer));
        flow.tickets.remove(&(ticket.accepted, key));
        flow.work -= waiting.work;
        if flow.tickets.is_empty() {
            self.by_tag.remove(&(flow.tag, customer));
            self.weight -= u64::from(weight);
        } else {
            self.by_backlog.insert((virtual_time_of(flow.work, weight), customer));
        }
    }

    /// Advances the virtual time to the customer's tag, but not past the tags of customers with waiting tickets.
    fn advance_virtual_time(&mut self, customer: CustomerKey) {
        let at = self.flow_at(customer);
        let granted = self.flows[at].1.tag;
        let first = self.by_tag.first().map_or(granted, |it| it.0.min(granted));
        self.virtual_time = self.virtual_time.max(first);
    }

    fn charge(&mut self, customer: CustomerKey, virtual_work: u64) {
        self.move_tag(customer, |tag| tag.saturating_add(virtual_work));
    }

    fn credit(&mut self, customer: CustomerKey, virtual_work: u64) {
        self.move_tag(customer, |tag| tag.saturating_sub(virtual_work));
    }

    fn move_tag(&mut self, customer: CustomerKey, change: impl FnOnce(u64) -> u64) {
        let at = self.flow_at(customer);
        let flow = &mut self.flows[at].1;
        let tag = change(flow.tag);
        if self.by_tag.remove(&(flow.tag, customer)) {
            self.by_tag.insert((tag, customer));
        }
        flow.tag = tag;
    }

    /// Returns the work ahead of a new ticket of a customer: its own, and that of the others within their fair share.
    fn work_ahead(&self, customer: CustomerKey, weight: u32) -> u64 {
        let flow = self.flow(customer);
        let own = flow.map_or(0, |it| it.work);
        let waits = flow.is_some_and(|it| !it.tickets.is_empty());
        let others = if waits { self.weight - u64::from(weight) } else { self.weight };
        // Virtual time until the customer's waiting tickets are served.
        let tag = flow.map_or(self.virtual_time, |it| it.tag);
        let end = tag.saturating_add(virtual_time_of(own, weight));
        let distance = end.saturating_sub(self.virtual_time);
        let fair = distance.saturating_mul(others + u64::from(weight)) / VIRTUAL_PER_WORK;
        fair.min(self.work)
    }

    fn first_deadline(&self) -> Option<Time> {
        let not_urgent = self.not_urgent.first().map(|it| it.0);
        let urgent = self.urgent.first().map(|it| it.0);
        let first = not_urgent.into_iter().chain(urgent).min();
        first.map(|it| it + Span::from_ms(self.class.first_token_ms))
    }

    fn has_tickets(&self, customer: CustomerKey) -> bool {
        self.flow(customer).is_some_and(|it| !it.tickets.is_empty())
    }

    fn flow(&self, customer: CustomerKey) -> Option<&Flow> {
        self.flows.binary_search_by_key(&customer, |it| it.0).ok().map(|at| &self.flows[at].1)
    }

    fn flow_at(&mut self, customer: CustomerKey) -> usize {
        match self.flows.binary_search_by_key(&customer, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                let flow = Flow { tag: self.virtual_time, work: 0, tickets: BTreeSet::new() };
                self.flows.insert(at, (customer, flow));
                at
            }
        }
    }
}

/// Returns the time from acceptance by which a ticket of a class must be granted, in milliseconds.
fn grant_deadline_ms(class: &Class, lead_ms: u64) -> u64 {
    class.first_token_ms.saturating_sub(lead_ms).min(class.max_wait_ms)
}

/// Returns the time from acceptance after which a ticket of a class is urgent.
fn urgent_after(class: &Class, lead_ms: u64) -> Span {
    let grant_deadline_ms = grant_deadline_ms(class, lead_ms);
    Span::from_ms(grant_deadline_ms - grant_deadline_ms / URGENT_DIVISOR)
}

/// Returns the virtual time that work takes at a weight.
fn virtual_time_of(work: u64, weight: u32) -> u64 {
    work.saturating_mul(VIRTUAL_PER_WORK) / u64::from(weight)
}
