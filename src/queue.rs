//! Queue of one pool: tiers, fair shares between customers and a floor per class.
//!
//! Each class has a lane. Within a lane the customer with the lowest virtual time goes next; a grant advances it by the
//! request's work over the customer's weight. All orders are kept in trees, so that no step looks at the whole queue.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    dispatch::{Class, ClassKey, CustomerKey, Ticket, TicketKey},
    rate::Rate,
    time::{Span, Time},
};

/// Virtual time per work unit at weight one. Divisible by most weights.
const VIRTUAL_PER_WORK: u64 = 10_000;

/// Credit at which a class is owed a dispatch.
const FLOOR_COST: u32 = 1_000;

/// Most credit that a class can hold, so that a suspended floor does not pile up.
const MAX_FLOOR_CREDIT: u32 = 4 * FLOOR_COST;

/// Share that a customer keeps while it does not use it, in work units at weight one.
const MAX_UNUSED_WORK: u64 = 2_000;

/// Part of the time to be granted in which a ticket is urgent, as a divisor.
const URGENT_PART: u64 = 8;

/// Customers of a lane that a search looks at before it goes by need alone.
const CANDIDATES: usize = 8;

/// Service level of tickets whose class is not known.
const UNKNOWN_CLASS: Class =
    Class { tier: u8::MAX, first_token_ms: 30_000, floor_per_mille: 0, max_wait_ms: 30_000 };

/// A ticket that waits.
#[derive(Debug)]
pub struct Waiting {
    /// The ticket.
    pub ticket: Ticket,
    /// KV memory to reserve, in tokens.
    pub need: u64,
    /// Estimated work, in work units.
    pub work: u64,
    /// Start of the queue time.
    pub since: Time,
}

/// One customer's tickets in a lane.
#[derive(Debug)]
struct Flow {
    /// Virtual time at which the next ticket starts.
    tag: u64,
    /// Work that waits, in work units.
    work: u64,
    /// Tickets by the time they were accepted.
    tickets: BTreeSet<(Time, TicketKey)>,
}

/// The tickets of one class.
#[derive(Debug)]
struct Lane {
    class: Class,
    /// Sorted by customer.
    flows: Vec<(CustomerKey, Flow)>,
    /// Flows that hold tickets, by tag.
    order: BTreeSet<(u64, CustomerKey)>,
    /// Flows that hold tickets, by the work that waits over their weight.
    backlogs: BTreeSet<(u64, CustomerKey)>,
    /// Tickets by need, those that may not be repeated first.
    needs: [BTreeSet<(u64, TicketKey)>; 2],
    /// Tickets by start of their queue time.
    ages: BTreeSet<(Time, TicketKey)>,
    /// Tickets that are in time, by acceptance.
    calm: BTreeSet<(Time, TicketKey)>,
    /// Tickets that would soon miss their target, by acceptance.
    urgent: BTreeSet<(Time, TicketKey)>,
    /// Tag of the newest grant. Never falls.
    virtual_time: u64,
    /// Credit towards a dispatch by the floor, at most `MAX_FLOOR_CREDIT`.
    credit: u32,
    /// Work that waits, in work units.
    work: u64,
    /// Weights of the customers that wait.
    weight: u64,
    /// Work that arrives, in work units.
    arrivals: Rate,
}

/// What is known of the backlog ahead of a ticket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// Work of higher tiers that waits, in work units.
    pub higher: u64,
    /// Work of the own tier that a fair order puts ahead, in work units.
    pub own: u64,
    /// Work of higher tiers that arrives, in work units per second.
    pub higher_rate: f64,
    /// Floor of the class, in thousandths.
    pub floor_per_mille: u32,
}

/// A class that may be granted next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The class.
    pub class: ClassKey,
    /// Whether its floor puts it ahead of higher tiers.
    pub by_floor: bool,
}

/// All tickets that wait in a pool.
#[derive(Debug, Default)]
pub struct Queue {
    /// Sorted by key.
    lanes: Vec<(ClassKey, Lane)>,
    waiting: BTreeMap<TicketKey, Waiting>,
    /// Sorted by key. Customers that are not listed have weight one.
    weights: Vec<(CustomerKey, u32)>,
}

impl Queue {
    /// Adds or changes a class.
    pub fn set_class(&mut self, key: ClassKey, class: Class) {
        self.lane_mut(key).class = class;
    }

    /// Sets the weight of a customer for tickets that come later.
    pub fn set_weight(&mut self, customer: CustomerKey, weight: u32) {
        if self.lanes.iter().any(|(_, lane)| lane.holds(customer)) {
            // The orders hold the old weight until the customer has drained.
            self.reweigh(customer, weight);
            return;
        }
        self.store_weight(customer, weight);
    }

    /// Service level of a class.
    pub fn class(&self, key: ClassKey) -> Class {
        self.lane(key).map_or(UNKNOWN_CLASS, |lane| lane.class)
    }

    /// All classes, in the order of keys.
    pub fn classes(&self) -> impl Iterator<Item = (ClassKey, Class)> {
        self.lanes.iter().map(|(key, lane)| (*key, lane.class))
    }

    /// Adds a ticket.
    pub fn push(&mut self, now: Time, waiting: Waiting) {
        let weight = self.weight(waiting.ticket.customer);
        let (class, work) = (waiting.ticket.class, waiting.work);
        let lane = self.lane_mut(class);
        lane.arrivals.add(now, work as f64);
        lane.add(&waiting, weight);
        self.waiting.insert(waiting.ticket.key, waiting);
    }

    /// Removes a ticket without a grant.
    pub fn remove(&mut self, key: TicketKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(&key)?;
        let weight = self.weight(waiting.ticket.customer);
        self.lane_mut(waiting.ticket.class).take(&waiting, weight);
        Some(waiting)
    }

    /// Removes a ticket that is granted, charges its customer and settles the floors.
    pub fn grant(&mut self, key: TicketKey) -> Option<Waiting> {
        let waiting = self.remove(key)?;
        let class = waiting.ticket.class;
        let weight = self.weight(waiting.ticket.customer);
        for (other, lane) in &mut self.lanes {
            if *other == class {
                lane.credit = lane.credit.saturating_sub(FLOOR_COST);
            } else if !lane.order.is_empty() {
                lane.credit = (lane.credit + lane.class.floor_per_mille).min(MAX_FLOOR_CREDIT);
            }
        }
        let lane = self.lane_mut(class);
        lane.advance(waiting.ticket.customer);
        lane.charge(waiting.ticket.customer, work_over(waiting.work, weight));
        Some(waiting)
    }

    /// Charges a customer for work beyond the estimate.
    pub fn charge(&mut self, class: ClassKey, customer: CustomerKey, work: u64) {
        let weight = self.weight(customer);
        self.lane_mut(class).charge(customer, work_over(work, weight));
    }

    /// Credits a customer for work that was charged and not done.
    pub fn credit(&mut self, class: ClassKey, customer: CustomerKey, work: u64) {
        let weight = self.weight(customer);
        self.lane_mut(class).credit(customer, work_over(work, weight));
    }

    /// Writes the classes with waiting tickets in the order in which they are to be tried.
    ///
    /// Classes that are owed a dispatch by their floor come first, then tiers, then the oldest deadline.
    pub fn candidates(&self, now: Time, out: &mut Vec<Candidate>) {
        out.clear();
        for (class, lane) in &self.lanes {
            if !lane.order.is_empty() {
                out.push(Candidate { class: *class, by_floor: self.is_owed(now, lane) });
            }
        }
        out.sort_by_key(|it| {
            let lane = self.lane(it.class);
            let deadline = lane.and_then(Lane::first_deadline);
            (!it.by_floor, lane.map(|lane| lane.class.tier), deadline)
        });
    }

    /// Ticket of a class that goes next among those for which `fits` holds.
    ///
    /// `room` is the largest free memory for tickets that may not and that may be repeated.
    pub fn next(&self, class: ClassKey, room: [Option<u64>; 2]) -> Option<&Waiting> {
        let lane = self.lane(class)?;
        let fits = |it: &&Waiting| {
            room[usize::from(it.ticket.repeatable)].is_some_and(|free| it.need <= free)
        };
        let heads = lane.order.iter().take(CANDIDATES);
        let heads = heads.filter_map(|(_, customer)| lane.flow(*customer)?.tickets.first());
        let mut heads = heads.filter_map(|(_, key)| self.waiting.get(key));
        if let Some(found) = heads.find(fits) {
            return Some(found);
        }
        let smallest = lane.needs.iter().filter_map(|needs| needs.first());
        smallest.filter_map(|(_, key)| self.waiting.get(key)).find(fits)
    }

    /// A ticket whose queue time has reached its bound.
    pub fn expired(&self, now: Time) -> Option<TicketKey> {
        self.lanes.iter().find_map(|(_, lane)| {
            let (since, key) = lane.ages.first()?;
            let bound = Span::from_ms(lane.class.max_wait_ms);
            (now.since(*since) >= bound).then_some(*key)
        })
    }

    /// Marks tickets that would soon miss their target as urgent, and forgets those that have missed it.
    ///
    /// `lead_ms` is how long before its target a ticket must be granted.
    pub fn advance(&mut self, now: Time, lead_ms: u64) {
        for (_, lane) in &mut self.lanes {
            let urgent_after = urgent_after(&lane.class, lead_ms);
            while let Some((accepted, key)) = lane.calm.first().copied()
                && now.since(accepted) >= urgent_after
            {
                lane.calm.pop_first();
                lane.urgent.insert((accepted, key));
            }
            let target = Span::from_ms(lane.class.first_token_ms);
            while let Some((accepted, _)) = lane.urgent.first()
                && now.since(*accepted) >= target
            {
                lane.urgent.pop_first();
            }
        }
    }

    /// Next time at which [`Queue::advance`] or [`Queue::expired`] has something to do.
    pub fn next_alarm(&self, lead_ms: u64) -> Option<Time> {
        let alarms = self.lanes.iter().flat_map(|(_, lane)| {
            let class = &lane.class;
            let expired = lane.ages.first().map(|it| it.0 + Span::from_ms(class.max_wait_ms));
            let urgent = lane.calm.first().map(|it| it.0 + urgent_after(class, lead_ms));
            let late = lane.urgent.first().map(|it| it.0 + Span::from_ms(class.first_token_ms));
            [expired, urgent, late]
        });
        alarms.flatten().min()
    }

    /// The oldest urgent ticket of each class with the time that it has left, in seconds.
    pub fn urgent_heads(&self, now: Time, lead_ms: u64) -> impl Iterator<Item = (TicketKey, f64)> {
        self.lanes.iter().filter_map(move |(_, lane)| {
            let (accepted, key) = lane.urgent.first()?;
            let latest = *accepted + Span::from_ms(latest_ms(&lane.class, lead_ms));
            Some((*key, latest.since(now).0 as f64 / 1e6))
        })
    }

    /// Tickets of a tier and above that would soon miss their target.
    pub fn urgent(&self, tier: u8) -> usize {
        let lanes = self.lanes.iter().filter(|(_, lane)| lane.class.tier <= tier);
        lanes.map(|(_, lane)| lane.urgent.len()).sum()
    }

    /// Backlog ahead of a ticket of a customer that would be queued now.
    pub fn backlog(&self, now: Time, class: ClassKey, customer: CustomerKey) -> Backlog {
        let spec = self.class(class);
        let mut backlog =
            Backlog { higher: 0, own: 0, higher_rate: 0.0, floor_per_mille: spec.floor_per_mille };
        for (key, lane) in &self.lanes {
            if lane.class.tier < spec.tier {
                backlog.higher += lane.work;
                backlog.higher_rate += lane.arrivals.get(now);
            } else if *key == class {
                backlog.own += lane.ahead(customer, self.weight(customer));
            } else if lane.class.tier == spec.tier {
                backlog.own += lane.work;
            }
        }
        backlog
    }

    /// The ticket to give up first: the newest of the customer with the largest backlog in the lowest tier.
    pub fn victim(&self) -> Option<TicketKey> {
        let filled = self.lanes.iter().filter(|(_, lane)| !lane.order.is_empty());
        let (_, lane) = filled.max_by_key(|(_, lane)| lane.class.tier)?;
        let (_, customer) = lane.backlogs.last()?;
        lane.flow(*customer)?.tickets.last().map(|it| it.1)
    }

    /// The ticket.
    pub fn get(&self, key: TicketKey) -> Option<&Waiting> {
        self.waiting.get(&key)
    }

    /// Tickets of a fingerprint.
    pub fn of_fingerprint(&self, fingerprint: u64) -> Vec<TicketKey> {
        let waiting = self.waiting.iter();
        let found = waiting.filter(|(_, it)| it.ticket.fingerprint == fingerprint);
        found.map(|(key, _)| *key).collect()
    }

    /// Number of tickets.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of tickets of a class.
    pub fn len_of(&self, class: ClassKey) -> usize {
        self.lane(class).map_or(0, |lane| lane.ages.len())
    }

    /// Work that waits, in work units.
    pub fn work(&self) -> u64 {
        self.lanes.iter().map(|(_, lane)| lane.work).sum()
    }

    /// Work that arrives, in work units per second.
    pub fn arrival_rate(&self, now: Time) -> f64 {
        self.lanes.iter().map(|(_, lane)| lane.arrivals.get(now)).sum()
    }

    /// Whether a class has earned a dispatch ahead of higher tiers.
    ///
    /// The floor is suspended while a higher tier would soon miss its target, but not for a class whose oldest ticket
    /// has waited for half of its bound.
    fn is_owed(&self, now: Time, lane: &Lane) -> bool {
        if lane.credit < FLOOR_COST {
            return false;
        }
        let half = Span::from_ms(lane.class.max_wait_ms / 2);
        let old = lane.ages.first().is_some_and(|it| now.since(it.0) >= half);
        old || lane.class.tier == 0 || self.urgent(lane.class.tier - 1) == 0
    }

    fn lane(&self, key: ClassKey) -> Option<&Lane> {
        self.lanes.binary_search_by_key(&key, |it| it.0).ok().map(|found| &self.lanes[found].1)
    }

    fn lane_mut(&mut self, key: ClassKey) -> &mut Lane {
        let at = match self.lanes.binary_search_by_key(&key, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                self.lanes.insert(at, (key, Lane::new()));
                at
            }
        };
        &mut self.lanes[at].1
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

    fn reweigh(&mut self, customer: CustomerKey, weight: u32) {
        let lanes = self.lanes.iter();
        let flows = lanes.filter_map(|(_, lane)| lane.flow(customer));
        let keys: Vec<_> = flows.flat_map(|it| it.tickets.iter().map(|it| it.1)).collect();
        let moved: Vec<_> = keys.into_iter().filter_map(|key| self.remove(key)).collect();
        self.store_weight(customer, weight);
        let weight = self.weight(customer);
        for waiting in moved {
            self.lane_mut(waiting.ticket.class).add(&waiting, weight);
            self.waiting.insert(waiting.ticket.key, waiting);
        }
    }
}

impl Lane {
    fn new() -> Lane {
        Lane {
            class: UNKNOWN_CLASS,
            flows: Vec::new(),
            order: BTreeSet::new(),
            backlogs: BTreeSet::new(),
            needs: [BTreeSet::new(), BTreeSet::new()],
            ages: BTreeSet::new(),
            calm: BTreeSet::new(),
            urgent: BTreeSet::new(),
            virtual_time: 0,
            credit: 0,
            work: 0,
            weight: 0,
            arrivals: Rate::default(),
        }
    }

    fn add(&mut self, waiting: &Waiting, weight: u32) {
        let ticket = &waiting.ticket;
        let (key, customer) = (ticket.key, ticket.customer);
        self.needs[usize::from(ticket.repeatable)].insert((waiting.need, key));
        self.ages.insert((waiting.since, key));
        self.calm.insert((ticket.accepted, key));
        self.work += waiting.work;
        let virtual_time = self.virtual_time;
        let at = self.flow_at(customer);
        let flow = &mut self.flows[at].1;
        if flow.tickets.is_empty() {
            let earliest = virtual_time.saturating_sub(MAX_UNUSED_WORK * VIRTUAL_PER_WORK);
            flow.tag = flow.tag.max(earliest);
            self.order.insert((flow.tag, customer));
            self.weight += u64::from(weight);
        } else {
            self.backlogs.remove(&(work_over(flow.work, weight), customer));
        }
        flow.tickets.insert((ticket.accepted, key));
        flow.work += waiting.work;
        self.backlogs.insert((work_over(flow.work, weight), customer));
    }

    fn take(&mut self, waiting: &Waiting, weight: u32) {
        let ticket = &waiting.ticket;
        let (key, customer) = (ticket.key, ticket.customer);
        self.needs[usize::from(ticket.repeatable)].remove(&(waiting.need, key));
        self.ages.remove(&(waiting.since, key));
        self.calm.remove(&(ticket.accepted, key));
        self.urgent.remove(&(ticket.accepted, key));
        self.work -= waiting.work;
        let at = self.flow_at(customer);
        let flow = &mut self.flows[at].1;
        self.backlogs.remove(&(work_over(flow.work, weight), customer));
        flow.tickets.remove(&(ticket.accepted, key));
        flow.work -= waiting.work;
        if flow.tickets.is_empty() {
            self.order.remove(&(flow.tag, customer));
            self.weight -= u64::from(weight);
        } else {
            self.backlogs.insert((work_over(flow.work, weight), customer));
        }
    }

    /// Moves the lane's virtual time up to the customer's tag, but not past customers that still wait.
    fn advance(&mut self, customer: CustomerKey) {
        let at = self.flow_at(customer);
        let granted = self.flows[at].1.tag;
        let first = self.order.first().map_or(granted, |it| it.0.min(granted));
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
        if self.order.remove(&(flow.tag, customer)) {
            self.order.insert((tag, customer));
        }
        flow.tag = tag;
    }

    /// Work ahead of a new ticket of a customer: its own, and as much of each other's as fair shares allow.
    fn ahead(&self, customer: CustomerKey, weight: u32) -> u64 {
        let flow = self.flow(customer);
        let own = flow.map_or(0, |it| it.work);
        let waits = flow.is_some_and(|it| !it.tickets.is_empty());
        let others = if waits { self.weight - u64::from(weight) } else { self.weight };
        // Virtual time from the lane's to the end of the customer's tickets.
        let tag = flow.map_or(self.virtual_time, |it| it.tag);
        let end = tag.saturating_add(work_over(own, weight));
        let distance = end.saturating_sub(self.virtual_time);
        let fair = distance.saturating_mul(others + u64::from(weight)) / VIRTUAL_PER_WORK;
        fair.min(self.work)
    }

    fn first_deadline(&self) -> Option<Time> {
        let calm = self.calm.first().map(|it| it.0);
        let urgent = self.urgent.first().map(|it| it.0);
        let first = calm.into_iter().chain(urgent).min();
        first.map(|it| it + Span::from_ms(self.class.first_token_ms))
    }

    fn holds(&self, customer: CustomerKey) -> bool {
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

/// Time from acceptance until which a ticket of a class must be granted, in milliseconds.
fn latest_ms(class: &Class, lead_ms: u64) -> u64 {
    class.first_token_ms.saturating_sub(lead_ms).min(class.max_wait_ms)
}

/// Time from acceptance after which a ticket of a class is urgent.
fn urgent_after(class: &Class, lead_ms: u64) -> Span {
    let latest_ms = latest_ms(class, lead_ms);
    Span::from_ms(latest_ms - latest_ms / URGENT_PART)
}

fn work_over(work: u64, weight: u32) -> u64 {
    work.saturating_mul(VIRTUAL_PER_WORK) / u64::from(weight)
}
