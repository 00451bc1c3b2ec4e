//! Selection of an upstream for a request.
//!
//! Upstreams with a free slot are indexed in ordered groups by price and by the latency targets that they meet, so a
//! selection examines a few entries instead of all upstreams. Within a group, the score depends mainly on this
//! dispatcher's own measurements: requests in flight, time to first token and work rate. Load reports are secondary,
//! and their weight decreases with their age.

use std::collections::BTreeSet;

use crate::{
    dispatch::{Class, Load, Ticket, Upstream, UpstreamKey},
    health::{self, Fault, Health},
    prefix,
    time::{Span, Time},
};

/// Age at which a load report no longer counts.
const LOAD_REPORT_TTL: Span = Span::from_ms(5_000);

/// Entries of a group that are examined by score before the selection falls back to free memory alone.
const CANDIDATES: usize = 8;

/// Highest load at which an upstream is selected for its prefix cache, in thousandths of the mean load.
const AFFINITY_LOAD_PER_MILLE: u64 = 1_250;

/// Prompt tokens whose prefill takes as long as the fixed part of the time to first token.
const PREFILL_OVERHEAD_TOKENS: f64 = 256.0;

/// Ratio of an upstream's prefill time per token to the pool's mean from which the upstream is a straggler.
const STRAGGLER_RATIO: f64 = 2.0;

/// Work rate of a slot assumed before any measurement, in thousandths of a work unit per second.
const INITIAL_RATE: u64 = 30_000;

/// Time to first token assumed before any measurement, in microseconds.
const INITIAL_FIRST_TOKEN_US: f64 = 200_000.0;

/// Work of a request that is assumed when upstreams are compared, in work units.
const TYPICAL_WORK: f64 = 200.0;

/// An upstream with its attempts, measurements and index entry.
#[derive(Debug)]
struct UpstreamState {
    upstream: Upstream,
    /// Attempts that run on the upstream, including adopted ones. Only adoption can make them exceed the slots.
    busy: u32,
    /// KV memory reserved by these attempts, in tokens.
    kv_reserved: u64,
    /// Those of the attempts whose request fingerprint is suspected of crashing upstreams.
    suspects: u32,
    /// Time to first token, in microseconds.
    first_token: health::Mean,
    /// Time to first token per prompt token, in microseconds, so that long prompts do not make an upstream a straggler.
    prefill: health::Mean,
    work_rate: health::Rate,
    health: Health,
    load: Option<Load>,
    /// Contribution to the indices and totals of [`Placement`].
    index: IndexEntry,
}

/// Index entries of an upstream, kept so that they can be removed.
#[derive(Debug, Default, Clone, Copy)]
struct IndexEntry {
    /// Group of the upstream while it serves.
    group: Option<usize>,
    /// Score and free memory while the upstream has a free slot.
    available: Option<(u64, u64)>,
    /// Slots counted in the total of all upstreams.
    slots: u64,
    /// Work rate counted in the total, in thousandths of a work unit per second.
    rate: u64,
}

/// Upstreams of one price that meet the same latency targets.
#[derive(Debug, Default)]
struct Group {
    /// Number of upstreams that serve, with or without a free slot.
    serving: usize,
    /// Upstreams with a free slot, by score, best first.
    by_score: BTreeSet<(u64, UpstreamKey)>,
    /// The same upstreams, by free memory, least first.
    by_memory: BTreeSet<(u64, UpstreamKey)>,
}

/// Constraints of a request on the upstream that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requirements {
    /// Time-to-first-token target of the class, in milliseconds.
    pub first_token_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

impl Requirements {
    /// Returns the requirements of a request of the given class.
    pub fn of(class: &Class, repeatable: bool) -> Requirements {
        Requirements { first_token_ms: class.first_token_ms, repeatable }
    }
}

/// Snapshot of an upstream's state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamStatus {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Attempts that run on the upstream.
    pub busy: u32,
    /// Slots that may be used now: zero during an ejection, reduced during re-entry.
    pub limit: u32,
    /// KV memory reserved, in tokens.
    pub kv_reserved: u64,
    /// Mean time to first token in microseconds; `None` until enough attempts were measured.
    pub first_token_us: Option<f64>,
    /// Work units per second and slot; `None` until enough attempts were measured.
    pub rate: Option<f64>,
    /// Number of class targets that the upstream is too slow for, counted from the tightest.
    pub missed_targets: usize,
    /// End of the current ejection, if any.
    pub ejected_until: Option<Time>,
    /// Time at which the upstream stops, if it is leaving.
    pub leaving: Option<Time>,
}

/// Upstreams of a pool and the indices over them.
#[derive(Debug)]
pub struct Placement {
    /// Sorted by key.
    upstreams: Vec<(UpstreamKey, UpstreamState)>,
    /// Two groups per level, paid before cheap. Level n holds the upstreams that are too slow for the n tightest
    /// targets.
    groups: Vec<Group>,
    /// Distinct time-to-first-token targets of the classes in milliseconds, ascending.
    targets: Vec<u64>,
    /// Ejected upstreams by end of their ejection.
    readmissions: BTreeSet<(Time, UpstreamKey)>,
    /// Time to first token over all upstreams, in microseconds.
    first_token: health::Mean,
    /// Time to first token per prompt token over all upstreams, in microseconds.
    prefill: health::Mean,
    /// Work rate per slot over all upstreams.
    work_rate: health::Rate,
    prefixes: prefix::Table,
    /// Attempts that run on all upstreams.
    busy: u64,
    /// Sum over the serving upstreams.
    slots: u64,
    /// Sum over the serving upstreams, in thousandths of a work unit per second.
    capacity: u64,
    /// Number of upstreams with a free slot.
    available: usize,
    /// Largest memory of an upstream, cached so that a submission does not examine all upstreams.
    largest_memory: Option<u64>,
}

impl Default for Placement {
    fn default() -> Placement {
        Placement {
            upstreams: Vec::new(),
            groups: Vec::new(),
            targets: Vec::new(),
            readmissions: BTreeSet::new(),
            first_token: health::Mean::of_pool(),
            prefill: health::Mean::of_pool(),
            work_rate: health::Rate::of_pool(),
            prefixes: prefix::Table::default(),
            busy: 0,
            slots: 0,
            capacity: 0,
            available: 0,
            largest_memory: None,
        }
    }
}

impl Placement {
    /// Sets the time-to-first-token targets of the classes in milliseconds and rebuilds the index.
    pub fn set_targets(&mut self, now: Time, mut targets: Vec<u64>) {
        targets.sort_unstable();
        targets.dedup();
        if targets == self.targets {
            return;
        }
        let keys: Vec<_> = self.upstreams.iter().map(|it| it.0).collect();
        for key in &keys {
            self.unindex(*key);
        }
        self.groups = std::iter::repeat_with(Group::default).take(targets.len() * 2).collect();
        self.targets = targets;
        for key in keys {
            self.reindex(now, key);
        }
    }

    /// Adds or updates an upstream. Returns whether it is new.
    pub fn set(&mut self, now: Time, key: UpstreamKey, upstream: Upstream) -> bool {
        let found = self.find(key);
        match found {
            Ok(found) => self.upstreams[found].1.upstream = upstream,
            Err(at) => self.upstreams.insert(at, (key, UpstreamState::new(upstream))),
        }
        self.largest_memory = self.upstreams.iter().map(|it| it.1.memory()).max();
        self.reindex(now, key);
        found.is_err()
    }

    /// Removes an upstream. Its running attempts no longer count.
    pub fn remove(&mut self, key: UpstreamKey) {
        self.unindex(key);
        let Ok(found) = self.find(key) else { return };
        let (_, state) = self.upstreams.remove(found);
        self.busy -= u64::from(state.busy);
        self.largest_memory = self.upstreams.iter().map(|it| it.1.memory()).max();
        if let Some(until) = state.health.ejected_until() {
            self.readmissions.remove(&(until, key));
        }
    }

    /// Stores the latest load report of an upstream.
    pub fn record_load(&mut self, now: Time, key: UpstreamKey, load: Load) {
        self.update(now, key, |state| state.load = Some(load));
    }

    /// Records that an upstream cached a prefix (`kept`) or dropped it.
    pub fn record_cache_event(&mut self, now: Time, key: UpstreamKey, prefix: u64, kept: bool) {
        if self.find(key).is_ok() {
            self.prefixes.record_event(now, prefix, key, kept);
        }
    }

    /// Returns the largest free memory among the upstreams that may take such a request now, in tokens.
    ///
    /// `None` if no upstream may take one; `u64::MAX` if an upstream does not limit its memory.
    pub fn largest_free_memory(&self, requirements: Requirements) -> Option<u64> {
        if self.available == 0 {
            return None;
        }
        let groups = self.allowed_groups(requirements);
        groups.filter_map(|it| self.groups[it].by_memory.last()).map(|it| it.0).max()
    }

    /// Selects an upstream with a free slot and `need` tokens of free memory.
    ///
    /// Prefers the holder of the prefix, then the best score, and avoids the upstreams in `ticket.avoid`. A suspect
    /// request does not use the prefix and avoids upstreams that run another suspect. An upstream that should be
    /// avoided is returned only if no other examined upstream fits.
    pub fn choose(
        &self,
        ticket: &Ticket,
        requirements: Requirements,
        need: u64,
        suspect: bool,
    ) -> Option<UpstreamKey> {
        let holder = self.prefixes.get(ticket.prefix).filter(|it| !ticket.avoid.contains(it));
        if let Some(key) = holder
            && !suspect
            && self.accepts_prefix(key, requirements, need)
        {
            return Some(key);
        }
        let mut fallback = None;
        for group in self.allowed_groups(requirements) {
            let group = &self.groups[group];
            for (_, key) in group.by_score.iter().take(CANDIDATES) {
                let Some(state) = self.state(*key) else { continue };
                if state.free_memory() < need {
                    continue;
                }
                let has_suspect = suspect && state.suspects > 0;
                if !has_suspect && !ticket.avoid.contains(key) {
                    return Some(*key);
                }
                fallback = fallback.or(Some(*key));
            }
            let roomiest = group.by_memory.last().filter(|it| it.0 >= need).map(|it| it.1);
            fallback = fallback.or(roomiest);
        }
        fallback
    }

    /// Returns whether an upstream may take such a request once it has a free slot.
    pub fn allows(&self, key: UpstreamKey, requirements: Requirements) -> bool {
        let group = self.state(key).and_then(|it| it.index.group);
        group.is_some_and(|group| self.allowed_groups(requirements).any(|it| it == group))
    }

    /// Returns whether such a request may use cheap upstreams, or paid ones if `cheap` is false.
    pub fn allows_price(&self, cheap: bool, requirements: Requirements) -> bool {
        self.prices(requirements).iter().flatten().any(|price| (*price == 1) == cheap)
    }

    /// Returns whether the platform may reclaim an upstream at short notice.
    pub fn is_cheap(&self, key: UpstreamKey) -> bool {
        self.state(key).is_some_and(|it| it.upstream.cheap)
    }

    /// Counts an attempt that starts and reserves `need` tokens of memory for it.
    pub fn start_attempt(&mut self, now: Time, key: UpstreamKey, need: u64, suspect: bool) {
        if self.find(key).is_err() {
            return;
        }
        self.busy += 1;
        self.update(now, key, |state| {
            state.busy += 1;
            state.kv_reserved += need;
            state.suspects += u32::from(suspect);
        });
    }

    /// Records that a request with this prefix was assigned to an upstream.
    pub fn assign_prefix(&mut self, now: Time, key: UpstreamKey, prefix: u64) {
        self.prefixes.assign(now, prefix, key);
    }

    /// Removes an attempt that ended and releases its memory.
    pub fn finish_attempt(&mut self, now: Time, key: UpstreamKey, need: u64, suspect: bool) {
        if self.find(key).is_err() {
            return;
        }
        self.busy -= 1;
        self.update(now, key, |state| {
            state.busy -= 1;
            state.kv_reserved -= need;
            state.suspects -= u32::from(suspect);
        });
    }

    /// Changes the memory reserved for an attempt, in tokens.
    pub fn resize_reservation(&mut self, now: Time, key: UpstreamKey, from: u64, to: u64) {
        self.update(now, key, |state| state.kv_reserved = state.kv_reserved + to - from);
    }

    /// Records the time to first token of an attempt, in microseconds, and the length of its prompt.
    pub fn record_first_token(&mut self, now: Time, key: UpstreamKey, us: u64, prompt_tokens: u32) {
        if self.find(key).is_err() {
            return;
        }
        let per_token = us as f64 / (f64::from(prompt_tokens) + PREFILL_OVERHEAD_TOKENS);
        self.first_token.observe(us as f64);
        self.prefill.observe(per_token);
        self.update(now, key, |state| {
            state.first_token.observe(us as f64);
            state.prefill.observe(per_token);
        });
    }

    /// Records a successful attempt. Must be called before [`Placement::finish_attempt`].
    ///
    /// `work` is in work units; `duration` is `None` for an adopted attempt, whose start is unknown.
    pub fn record_success(&mut self, key: UpstreamKey, work: u64, duration: Option<Span>) {
        if self.find(key).is_err() {
            return;
        }
        duration.inspect(|it| self.work_rate.observe(work, *it));
        if let Some(state) = self.state_mut(key) {
            duration.inspect(|it| state.work_rate.observe(work, *it));
            state.health.record_success(state.upstream.slots);
        }
    }

    /// Records the failure of an attempt granted at `granted`. Must be called before [`Placement::finish_attempt`].
    pub fn record_failure(&mut self, now: Time, key: UpstreamKey, granted: Time, fault: Fault) {
        let until =
            self.state_mut(key).and_then(|it| it.health.record_failure(now, granted, fault));
        if let Some(until) = until {
            self.readmissions.insert((until, key));
        }
    }

    /// Readmits the upstreams whose ejection has ended.
    pub fn readmit_due(&mut self, now: Time) {
        while let Some((until, key)) = self.readmissions.first().copied()
            && until <= now
        {
            self.readmissions.pop_first();
            self.update(now, key, |state| state.health.readmit());
        }
    }

    /// Returns the next time at which [`Placement::readmit_due`] has an effect.
    pub fn next_readmission(&self) -> Option<Time> {
        self.readmissions.first().map(|it| it.0)
    }

    /// Returns the work rate of all serving upstreams, in work units per second.
    pub fn capacity(&self) -> f64 {
        self.capacity as f64 / 1_000.0
    }

    /// Returns the number of usable slots of all serving upstreams.
    pub fn slots(&self) -> u64 {
        self.slots
    }

    /// Returns the number of attempts that run on upstreams of the pool.
    pub fn busy(&self) -> u64 {
        self.busy
    }

    /// Returns whether any upstream has a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.available > 0
    }

    /// Returns the mean time to first token of the pool in microseconds, or a default before enough samples.
    pub fn first_token_us(&self) -> f64 {
        self.first_token.get().unwrap_or(INITIAL_FIRST_TOKEN_US)
    }

    /// Returns the largest KV memory of an upstream, in tokens.
    ///
    /// `None` without upstreams; `u64::MAX` if an upstream does not limit its memory.
    pub fn largest_memory(&self) -> Option<u64> {
        self.largest_memory
    }

    /// Returns the time at which an upstream stops, if it is leaving.
    pub fn leaving(&self, key: UpstreamKey) -> Option<Time> {
        self.state(key).and_then(|it| it.upstream.leaving)
    }

    /// Returns the work rate of one slot of an upstream, in work units per second.
    ///
    /// Falls back to the rate of the pool and then to a default while there are too few samples.
    pub fn rate_of(&self, key: UpstreamKey) -> f64 {
        let own = self.state(key).and_then(|it| it.work_rate.rate());
        own.or(self.work_rate.rate()).unwrap_or(INITIAL_RATE as f64 / 1_000.0)
    }

    /// Returns the state of each upstream in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = UpstreamStatus> {
        self.upstreams.iter().map(|(key, state)| UpstreamStatus {
            key: *key,
            busy: state.busy,
            limit: state.health.limit(state.upstream.slots),
            kv_reserved: state.kv_reserved,
            first_token_us: state.first_token.get(),
            rate: state.work_rate.rate(),
            missed_targets: self.missed_targets(state),
            ejected_until: state.health.ejected_until(),
            leaving: state.upstream.leaving,
        })
    }

    fn find(&self, key: UpstreamKey) -> Result<usize, usize> {
        self.upstreams.binary_search_by_key(&key, |it| it.0)
    }

    fn state(&self, key: UpstreamKey) -> Option<&UpstreamState> {
        self.find(key).ok().map(|found| &self.upstreams[found].1)
    }

    fn state_mut(&mut self, key: UpstreamKey) -> Option<&mut UpstreamState> {
        self.find(key).ok().map(|found| &mut self.upstreams[found].1)
    }

    fn update(&mut self, now: Time, key: UpstreamKey, change: impl FnOnce(&mut UpstreamState)) {
        if let Ok(found) = self.find(key) {
            change(&mut self.upstreams[found].1);
            self.reindex(now, key);
        }
    }

    /// Returns the groups that may take such a request, best first.
    ///
    /// Repeatable requests prefer cheap upstreams. Other requests use a cheap upstream only while no paid one serves.
    /// Within a price, the slowest upstreams that still meet the target come first, which keeps the fast ones free for
    /// tighter targets. If no upstream meets the target, all of them may be used.
    fn allowed_groups(&self, requirements: Requirements) -> impl Iterator<Item = usize> {
        let levels = self.targets.len();
        let at = self.targets.partition_point(|it| *it < requirements.first_token_ms);
        let own = at.min(levels.saturating_sub(1));
        let serves = |level: usize, price: usize| self.groups[level * 2 + price].serving > 0;
        let prices = self.prices(requirements);
        let meets = prices.iter().flatten().any(|price| (0..=own).any(|it| serves(it, *price)));
        let top = if meets { own + 1 } else { levels };
        let prices = prices.into_iter().flatten();
        prices.flat_map(move |price| (0..top).rev().map(move |level| level * 2 + price))
    }

    /// Returns the prices that such a request may use in order of preference; zero is paid, one is cheap.
    fn prices(&self, requirements: Requirements) -> [Option<usize>; 2] {
        let paid = self.groups.iter().step_by(2).any(|it| it.serving > 0);
        match (requirements.repeatable, paid) {
            (true, _) => [Some(1), Some(0)],
            (false, true) => [Some(0), None],
            (false, false) => [Some(1), None],
        }
    }

    fn accepts_prefix(&self, key: UpstreamKey, requirements: Requirements, need: u64) -> bool {
        let Some(state) = self.state(key) else { return false };
        if state.index.available.is_none()
            || state.free_memory() < need
            || !self.allows(key, requirements)
        {
            return false;
        }
        let mean_load = (self.busy + 1) * u64::from(state.upstream.slots) * AFFINITY_LOAD_PER_MILLE;
        u64::from(state.busy) * self.slots * 1_000 <= mean_load
    }

    fn missed_targets(&self, state: &UpstreamState) -> usize {
        let (Some(own), Some(pool)) = (state.prefill.get(), self.prefill.get()) else { return 0 };
        if own < pool * STRAGGLER_RATIO {
            return 0;
        }
        let upper = state.first_token.upper().unwrap_or_default();
        self.targets.partition_point(|target| (*target as f64) * 1_000.0 < upper)
    }

    fn unindex(&mut self, key: UpstreamKey) {
        let Ok(found) = self.find(key) else { return };
        let entry = std::mem::take(&mut self.upstreams[found].1.index);
        self.slots -= entry.slots;
        self.capacity -= entry.rate;
        let Some(group) = entry.group else { return };
        let group = &mut self.groups[group];
        group.serving -= 1;
        let Some((score, free)) = entry.available else { return };
        group.by_score.remove(&(score, key));
        group.by_memory.remove(&(free, key));
        self.available -= 1;
    }

    fn reindex(&mut self, now: Time, key: UpstreamKey) {
        self.unindex(key);
        let Ok(found) = self.find(key) else { return };
        let state = &self.upstreams[found].1;
        let missed_targets = self.missed_targets(state);
        let mut limit = state.health.limit(state.upstream.slots);
        if missed_targets == self.targets.len() {
            // Too slow for every class: a single attempt at a time keeps its measurements up to date.
            limit = limit.min(1);
        }
        if limit == 0 || state.upstream.leaving.is_some() || self.targets.is_empty() {
            return;
        }
        let level = missed_targets.min(self.targets.len() - 1);
        let group_index = level * 2 + usize::from(state.upstream.cheap);
        let rate = (self.rate_of(key) * 1_000.0) as u64 * u64::from(limit);
        let available =
            (state.busy < limit).then(|| (self.score(now, key, state, limit), state.free_memory()));
        let entry =
            IndexEntry { group: Some(group_index), available, slots: u64::from(limit), rate };
        self.slots += entry.slots;
        self.capacity += entry.rate;
        let group = &mut self.groups[group_index];
        group.serving += 1;
        if let Some((score, free)) = available {
            group.by_score.insert((score, key));
            group.by_memory.insert((free, key));
            self.available += 1;
        }
        self.upstreams[found].1.index = entry;
    }

    /// Expected duration of a typical request on an upstream, times the share of its slots in use. Lower is better.
    fn score(&self, now: Time, key: UpstreamKey, state: &UpstreamState, limit: u32) -> u64 {
        let first_token = state.first_token.get().unwrap_or(self.first_token_us());
        let request = first_token + TYPICAL_WORK * 1e6 / self.rate_of(key).max(0.001);
        let load = f64::from(state.busy) + state.external_requests(now) + 1.0;
        (request * load / f64::from(limit)) as u64
    }
}

impl UpstreamState {
    fn new(upstream: Upstream) -> UpstreamState {
        UpstreamState {
            upstream,
            busy: 0,
            kv_reserved: 0,
            suspects: 0,
            first_token: health::Mean::default(),
            prefill: health::Mean::default(),
            work_rate: health::Rate::default(),
            health: Health::default(),
            load: None,
            index: IndexEntry::default(),
        }
    }

    fn memory(&self) -> u64 {
        if self.upstream.kv_tokens == 0 { u64::MAX } else { self.upstream.kv_tokens }
    }

    fn free_memory(&self) -> u64 {
        if self.upstream.kv_tokens == 0 {
            return u64::MAX;
        }
        self.upstream.kv_tokens.saturating_sub(self.kv_reserved)
    }

    /// Requests of other dispatchers: those that the last load report shows beyond this dispatcher's own, weighted by
    /// the age of the report.
    fn external_requests(&self, now: Time) -> f64 {
        let Some(load) = self.load else { return 0.0 };
        let age = now.since(load.at).0 as f64 / LOAD_REPORT_TTL.0 as f64;
        let reported = load.running.saturating_add(load.waiting);
        f64::from(reported.saturating_sub(self.busy)) * (1.0 - age).max(0.0)
    }
}
