//! Choice of an upstream for a request.
//!
//! Upstreams that could take a request now stand in ordered groups by price and pace, so that a choice looks at a few
//! entries and never at all upstreams. The score inside a group comes from own measurements first: requests in flight,
//! time to the first token and work rate. Load reports come second and lose weight with their age.

use std::collections::BTreeSet;

use crate::{
    dispatch::{Class, Load, Ticket, Upstream, UpstreamKey},
    health::{Fault, Health, MovingMean, WorkRate},
    prefix::PrefixTable,
    time::{Span, Time},
};

/// Age at which a load report has lost all weight.
const REPORT_LIFETIME: Span = Span::from_ms(5_000);

/// Entries of a group that a choice looks at before it goes by free memory alone.
const CANDIDATES: usize = 8;

/// Largest load of an upstream chosen for its cache, in thousandths of the mean load.
const AFFINITY_LOAD_PER_MILLE: u64 = 1_250;

/// Prompt tokens that take as long as the fixed part of the time to the first token.
const PREFILL_OVERHEAD_TOKENS: f64 = 256.0;

/// Ratio to the pool's mean time to the first token beyond which an upstream is a straggler.
const STRAGGLER_RATIO: f64 = 2.0;

/// Work rate of a slot before any measurement, in thousandths of a work unit per second.
const FIRST_RATE: u64 = 30_000;

/// Time to the first token before any measurement, in microseconds.
const FIRST_TOKEN_US: f64 = 200_000.0;

/// Work that a request is taken to have when upstreams are compared, in work units.
const TYPICAL_WORK: f64 = 200.0;

/// An upstream with what is known of it.
#[derive(Debug)]
struct Site {
    upstream: Upstream,
    /// Attempts that run there, adopted ones included. May exceed the slots by adoption only.
    busy: u32,
    /// KV memory reserved by these attempts, in tokens.
    kv: u64,
    /// Attempts among them whose fingerprint is a suspect.
    suspects: u32,
    /// Time to the first token, in microseconds.
    first_token: MovingMean,
    /// The same for each token of the prompt, so that long prompts do not make an upstream a straggler.
    prefill: MovingMean,
    pace: WorkRate,
    health: Health,
    load: Option<Load>,
    /// Where the site stands in the indices.
    place: Place,
}

/// The index entries of a site, kept to remove them again.
#[derive(Debug, Default, Clone, Copy)]
struct Place {
    /// Group in which the site serves.
    serving: Option<usize>,
    /// Score and free memory while the site has a free slot.
    open: Option<(u64, u64)>,
    /// Slots counted in the total.
    slots: u64,
    /// Work rate counted in the total, in thousandths of a unit per second.
    rate: u64,
}

/// Upstreams of one price and pace.
#[derive(Debug, Default)]
struct Group {
    /// Upstreams that serve, with or without a free slot.
    serving: usize,
    /// Upstreams with a free slot by score, best first.
    by_score: BTreeSet<(u64, UpstreamKey)>,
    /// The same upstreams by free memory, least first.
    by_memory: BTreeSet<(u64, UpstreamKey)>,
}

/// What a class and a request allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requirements {
    /// Target of the class for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

impl Requirements {
    /// Demand of a request of a class.
    pub fn of(class: &Class, repeatable: bool) -> Requirements {
        Requirements { first_token_ms: class.first_token_ms, repeatable }
    }
}

/// State of an upstream as seen from outside.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamStatus {
    /// The upstream.
    pub key: UpstreamKey,
    /// Attempts that run there.
    pub busy: u32,
    /// Slots that may be used now; fewer than it has while it is ejected or re-enters.
    pub limit: u32,
    /// KV memory reserved, in tokens.
    pub kv_reserved: u64,
    /// Mean time to the first token in microseconds, once measured.
    pub first_token_us: Option<f64>,
    /// Work units per second and slot, once measured.
    pub rate: Option<f64>,
    /// Number of class targets that the upstream is too slow for.
    pub missed_targets: usize,
    /// End of the ejection in force.
    pub ejected_until: Option<Time>,
    /// When it stops.
    pub leaving: Option<Time>,
}

/// The upstreams of a pool and the indices over them.
#[derive(Debug)]
pub struct Placement {
    /// Sorted by key.
    sites: Vec<(UpstreamKey, Site)>,
    /// Two groups per level, the paid one first. Level n holds the upstreams too slow for the n tightest targets.
    groups: Vec<Group>,
    /// Distinct targets of the classes in milliseconds, ascending.
    targets: Vec<u64>,
    /// Ends of ejections.
    returns: BTreeSet<(Time, UpstreamKey)>,
    /// Time to the first token over all upstreams, in microseconds.
    first_token: MovingMean,
    /// The same for each token of the prompt.
    prefill: MovingMean,
    /// Work rate per slot over all upstreams.
    pace: WorkRate,
    prefixes: PrefixTable,
    /// Attempts on all upstreams.
    busy: u64,
    /// Sum over the serving upstreams.
    slots: u64,
    /// Sum over the serving upstreams, in thousandths of a unit per second.
    capacity: u64,
    /// Number of upstreams with a free slot.
    open: usize,
    /// Kept so that a submission need not look at all upstreams.
    largest_memory: Option<u64>,
}

impl Default for Placement {
    fn default() -> Placement {
        Placement {
            sites: Vec::new(),
            groups: Vec::new(),
            targets: Vec::new(),
            returns: BTreeSet::new(),
            first_token: MovingMean::of_pool(),
            prefill: MovingMean::of_pool(),
            pace: WorkRate::of_pool(),
            prefixes: PrefixTable::default(),
            busy: 0,
            slots: 0,
            capacity: 0,
            open: 0,
            largest_memory: None,
        }
    }
}

impl Placement {
    /// Sets the targets of the classes in milliseconds.
    pub fn set_targets(&mut self, now: Time, mut targets: Vec<u64>) {
        targets.sort_unstable();
        targets.dedup();
        if targets == self.targets {
            return;
        }
        let keys: Vec<_> = self.sites.iter().map(|it| it.0).collect();
        for key in &keys {
            self.unindex(*key);
        }
        self.groups = std::iter::repeat_with(Group::default).take(targets.len() * 2).collect();
        self.targets = targets;
        for key in keys {
            self.reindex(now, key);
        }
    }

    /// Adds or changes an upstream and returns whether it is new.
    pub fn set(&mut self, now: Time, key: UpstreamKey, upstream: Upstream) -> bool {
        let found = self.find(key);
        match found {
            Ok(found) => self.sites[found].1.upstream = upstream,
            Err(at) => self.sites.insert(at, (key, Site::new(upstream))),
        }
        self.largest_memory = self.sites.iter().map(|it| it.1.memory()).max();
        self.reindex(now, key);
        found.is_err()
    }

    /// Removes an upstream. Its attempts count until they end.
    pub fn remove(&mut self, key: UpstreamKey) {
        self.unindex(key);
        let Ok(found) = self.find(key) else { return };
        let (_, site) = self.sites.remove(found);
        self.busy -= u64::from(site.busy);
        self.largest_memory = self.sites.iter().map(|it| it.1.memory()).max();
        if let Some(until) = site.health.ejected_until() {
            self.returns.remove(&(until, key));
        }
    }

    /// Takes in a load report.
    pub fn record_load(&mut self, now: Time, key: UpstreamKey, load: Load) {
        self.update(now, key, |site| site.load = Some(load));
    }

    /// Takes in a cache event.
    pub fn record_cache_event(&mut self, now: Time, key: UpstreamKey, prefix: u64, kept: bool) {
        if self.find(key).is_ok() {
            self.prefixes.record_event(now, prefix, key, kept);
        }
    }

    /// Largest free memory among the upstreams that may take such a request now, in tokens.
    ///
    /// `None` if no upstream may take one, `u64::MAX` where memory is not counted.
    pub fn largest_free_memory(&self, demand: Requirements) -> Option<u64> {
        if self.open == 0 {
            return None;
        }
        let groups = self.permitted(demand);
        groups.filter_map(|it| self.groups[it].by_memory.last()).map(|it| it.0).max()
    }

    /// Chooses an upstream with a free slot and `need` tokens of free memory.
    pub fn choose(
        &self,
        ticket: &Ticket,
        demand: Requirements,
        need: u64,
        suspect: bool,
    ) -> Option<UpstreamKey> {
        let holder = self.prefixes.get(ticket.prefix).filter(|it| !ticket.avoid.contains(it));
        if let Some(key) = holder
            && !suspect
            && self.takes_prefix(key, demand, need)
        {
            return Some(key);
        }
        let mut fallback = None;
        for group in self.permitted(demand) {
            let group = &self.groups[group];
            for (_, key) in group.by_score.iter().take(CANDIDATES) {
                let Some(site) = self.site(*key) else { continue };
                if site.free_memory() < need {
                    continue;
                }
                let shares_suspect = suspect && site.suspects > 0;
                if !shares_suspect && !ticket.avoid.contains(key) {
                    return Some(*key);
                }
                fallback = fallback.or(Some(*key));
            }
            let roomiest = group.by_memory.last().filter(|it| it.0 >= need).map(|it| it.1);
            fallback = fallback.or(roomiest);
        }
        fallback
    }

    /// Whether an upstream may take such a request when it has a free slot.
    pub fn allows(&self, key: UpstreamKey, demand: Requirements) -> bool {
        let serving = self.site(key).and_then(|it| it.place.serving);
        serving.is_some_and(|group| self.permitted(demand).any(|it| it == group))
    }

    /// Whether such a request may go to cheap or to paid upstreams.
    pub fn allows_price(&self, cheap: bool, demand: Requirements) -> bool {
        self.prices(demand).iter().flatten().any(|price| (*price == 1) == cheap)
    }

    /// Whether the platform may reclaim an upstream at short notice.
    pub fn is_cheap(&self, key: UpstreamKey) -> bool {
        self.site(key).is_some_and(|it| it.upstream.cheap)
    }

    /// Counts an attempt that starts.
    pub fn start_attempt(&mut self, now: Time, key: UpstreamKey, need: u64, suspect: bool) {
        if self.find(key).is_err() {
            return;
        }
        self.busy += 1;
        self.update(now, key, |site| {
            site.busy += 1;
            site.kv += need;
            site.suspects += u32::from(suspect);
        });
    }

    /// Remembers which upstream took a prefix.
    pub fn assign_prefix(&mut self, now: Time, key: UpstreamKey, prefix: u64) {
        self.prefixes.assign(now, prefix, key);
    }

    /// Counts an attempt that ended.
    pub fn finish_attempt(&mut self, now: Time, key: UpstreamKey, need: u64, suspect: bool) {
        if self.find(key).is_err() {
            return;
        }
        self.busy -= 1;
        self.update(now, key, |site| {
            site.busy -= 1;
            site.kv -= need;
            site.suspects -= u32::from(suspect);
        });
    }

    /// Changes the memory reserved for an attempt.
    pub fn resize_reservation(&mut self, now: Time, key: UpstreamKey, from: u64, to: u64) {
        self.update(now, key, |site| site.kv = site.kv + to - from);
    }

    /// Takes in a measured time to the first token, in microseconds, after a prompt of so many tokens.
    pub fn record_first_token(&mut self, now: Time, key: UpstreamKey, us: u64, prompt_tokens: u32) {
        if self.find(key).is_err() {
            return;
        }
        let per_token = us as f64 / (f64::from(prompt_tokens) + PREFILL_OVERHEAD_TOKENS);
        self.first_token.observe(us as f64);
        self.prefill.observe(per_token);
        self.update(now, key, |site| {
            site.first_token.observe(us as f64);
            site.prefill.observe(per_token);
        });
    }

    /// Takes in a success with its work and, where known, its duration, before [`Placement::finish_attempt`].
    pub fn record_success(&mut self, key: UpstreamKey, work: u64, duration: Option<Span>) {
        if self.find(key).is_err() {
            return;
        }
        duration.inspect(|it| self.pace.observe(work, *it));
        if let Some(site) = self.site_mut(key) {
            duration.inspect(|it| site.pace.observe(work, *it));
            site.health.record_success(site.upstream.slots);
        }
    }

    /// Takes in a failure of an attempt granted at `granted`, before [`Placement::finish_attempt`].
    pub fn record_failure(&mut self, now: Time, key: UpstreamKey, granted: Time, fault: Fault) {
        let until = self.site_mut(key).and_then(|it| it.health.record_failure(now, granted, fault));
        if let Some(until) = until {
            self.returns.insert((until, key));
        }
    }

    /// Readmits upstreams whose ejection is over.
    pub fn readmit_due(&mut self, now: Time) {
        while let Some((until, key)) = self.returns.first().copied()
            && until <= now
        {
            self.returns.pop_first();
            self.update(now, key, |site| site.health.readmit());
        }
    }

    /// Next time at which [`Placement::readmit_due`] has something to do.
    pub fn next_readmission(&self) -> Option<Time> {
        self.returns.first().map(|it| it.0)
    }

    /// Work rate of all upstreams that serve, in work units per second.
    pub fn capacity(&self) -> f64 {
        self.capacity as f64 / 1_000.0
    }

    /// Slots of the upstreams that serve.
    pub fn slots(&self) -> u64 {
        self.slots
    }

    /// Attempts that run on upstreams of the pool.
    pub fn busy(&self) -> u64 {
        self.busy
    }

    /// Whether an upstream has a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.open > 0
    }

    /// Mean time to the first token in microseconds.
    pub fn first_token_us(&self) -> f64 {
        self.first_token.get().unwrap_or(FIRST_TOKEN_US)
    }

    /// Largest KV memory of an upstream, in tokens; `None` without upstreams, `u64::MAX` where it is not counted.
    pub fn largest_memory(&self) -> Option<u64> {
        self.largest_memory
    }

    /// When an upstream stops, if it leaves.
    pub fn leaving(&self, key: UpstreamKey) -> Option<Time> {
        self.site(key).and_then(|it| it.upstream.leaving)
    }

    /// Work rate of one slot of an upstream, in work units per second.
    pub fn rate_of(&self, key: UpstreamKey) -> f64 {
        let own = self.site(key).and_then(|it| it.pace.rate());
        own.or(self.pace.rate()).unwrap_or(FIRST_RATE as f64 / 1_000.0)
    }

    /// State of each upstream, in the order of keys.
    pub fn iter(&self) -> impl Iterator<Item = UpstreamStatus> {
        self.sites.iter().map(|(key, site)| UpstreamStatus {
            key: *key,
            busy: site.busy,
            limit: site.health.limit(site.upstream.slots),
            kv_reserved: site.kv,
            first_token_us: site.first_token.get(),
            rate: site.pace.rate(),
            missed_targets: self.slow_for(site),
            ejected_until: site.health.ejected_until(),
            leaving: site.upstream.leaving,
        })
    }

    fn find(&self, key: UpstreamKey) -> Result<usize, usize> {
        self.sites.binary_search_by_key(&key, |it| it.0)
    }

    fn site(&self, key: UpstreamKey) -> Option<&Site> {
        self.find(key).ok().map(|found| &self.sites[found].1)
    }

    fn site_mut(&mut self, key: UpstreamKey) -> Option<&mut Site> {
        self.find(key).ok().map(|found| &mut self.sites[found].1)
    }

    fn update(&mut self, now: Time, key: UpstreamKey, change: impl FnOnce(&mut Site)) {
        if let Ok(found) = self.find(key) {
            change(&mut self.sites[found].1);
            self.reindex(now, key);
        }
    }

    /// Groups that may take such a request, best first.
    ///
    /// Requests that may be repeated try cheap upstreams first. Others take a cheap one only while no paid one serves.
    /// Within a price the slowest upstreams that still meet the target come first and leave the fast ones to tighter
    /// targets. Where no upstream meets the target, all may be used.
    fn permitted(&self, demand: Requirements) -> impl Iterator<Item = usize> {
        let levels = self.targets.len();
        let at = self.targets.partition_point(|it| *it < demand.first_token_ms);
        let own = at.min(levels.saturating_sub(1));
        let serves = |level: usize, price: usize| self.groups[level * 2 + price].serving > 0;
        let prices = self.prices(demand);
        let meets = prices.iter().flatten().any(|price| (0..=own).any(|it| serves(it, *price)));
        let top = if meets { own + 1 } else { levels };
        let prices = prices.into_iter().flatten();
        prices.flat_map(move |price| (0..top).rev().map(move |level| level * 2 + price))
    }

    /// Prices that such a request may use, the first choice first; zero is paid, one is cheap.
    fn prices(&self, demand: Requirements) -> [Option<usize>; 2] {
        let paid = self.groups.iter().step_by(2).any(|it| it.serving > 0);
        match (demand.repeatable, paid) {
            (true, _) => [Some(1), Some(0)],
            (false, true) => [Some(0), None],
            (false, false) => [Some(1), None],
        }
    }

    fn takes_prefix(&self, key: UpstreamKey, demand: Requirements, need: u64) -> bool {
        let Some(site) = self.site(key) else { return false };
        if site.place.open.is_none() || site.free_memory() < need || !self.allows(key, demand) {
            return false;
        }
        let mean_load = (self.busy + 1) * u64::from(site.upstream.slots) * AFFINITY_LOAD_PER_MILLE;
        u64::from(site.busy) * self.slots * 1_000 <= mean_load
    }

    fn slow_for(&self, site: &Site) -> usize {
        let (Some(own), Some(pool)) = (site.prefill.get(), self.prefill.get()) else { return 0 };
        if own < pool * STRAGGLER_RATIO {
            return 0;
        }
        let upper = site.first_token.upper().unwrap_or_default();
        self.targets.partition_point(|target| (*target as f64) * 1_000.0 < upper)
    }

    fn unindex(&mut self, key: UpstreamKey) {
        let Ok(found) = self.find(key) else { return };
        let place = std::mem::take(&mut self.sites[found].1.place);
        self.slots -= place.slots;
        self.capacity -= place.rate;
        let Some(group) = place.serving else { return };
        let group = &mut self.groups[group];
        group.serving -= 1;
        let Some((score, free)) = place.open else { return };
        group.by_score.remove(&(score, key));
        group.by_memory.remove(&(free, key));
        self.open -= 1;
    }

    fn reindex(&mut self, now: Time, key: UpstreamKey) {
        self.unindex(key);
        let Ok(found) = self.find(key) else { return };
        let site = &self.sites[found].1;
        let slow_for = self.slow_for(site);
        let mut limit = site.health.limit(site.upstream.slots);
        if slow_for == self.targets.len() {
            // Too slow for every class: one attempt at a time keeps measuring it.
            limit = limit.min(1);
        }
        if limit == 0 || site.upstream.leaving.is_some() || self.targets.is_empty() {
            return;
        }
        let level = slow_for.min(self.targets.len() - 1);
        let serving = level * 2 + usize::from(site.upstream.cheap);
        let rate = (self.rate_of(key) * 1_000.0) as u64 * u64::from(limit);
        let open =
            (site.busy < limit).then(|| (self.score(now, key, site, limit), site.free_memory()));
        let place = Place { serving: Some(serving), open, slots: u64::from(limit), rate };
        self.slots += place.slots;
        self.capacity += place.rate;
        let group = &mut self.groups[serving];
        group.serving += 1;
        if let Some((score, free)) = open {
            group.by_score.insert((score, key));
            group.by_memory.insert((free, key));
            self.open += 1;
        }
        self.sites[found].1.place = place;
    }

    /// Expected time of a typical request there times the share of slots in use; lower is better.
    fn score(&self, now: Time, key: UpstreamKey, site: &Site, limit: u32) -> u64 {
        let first_token = site.first_token.get().unwrap_or(self.first_token_us());
        let request = first_token + TYPICAL_WORK * 1e6 / self.rate_of(key).max(0.001);
        let load = f64::from(site.busy) + site.foreign(now) + 1.0;
        (request * load / f64::from(limit)) as u64
    }
}

impl Site {
    fn new(upstream: Upstream) -> Site {
        Site {
            upstream,
            busy: 0,
            kv: 0,
            suspects: 0,
            first_token: MovingMean::default(),
            prefill: MovingMean::default(),
            pace: WorkRate::default(),
            health: Health::default(),
            load: None,
            place: Place::default(),
        }
    }

    fn memory(&self) -> u64 {
        if self.upstream.kv_tokens == 0 { u64::MAX } else { self.upstream.kv_tokens }
    }

    fn free_memory(&self) -> u64 {
        if self.upstream.kv_tokens == 0 {
            return u64::MAX;
        }
        self.upstream.kv_tokens.saturating_sub(self.kv)
    }

    /// Requests that the last report shows beyond own ones, weighted by the report's age.
    fn foreign(&self, now: Time) -> f64 {
        let Some(load) = self.load else { return 0.0 };
        let age = now.since(load.at).0 as f64 / REPORT_LIFETIME.0 as f64;
        let reported = load.running.saturating_add(load.waiting);
        f64::from(reported.saturating_sub(self.busy)) * (1.0 - age).max(0.0)
    }
}
