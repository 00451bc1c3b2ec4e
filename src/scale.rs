//! How many upstreams each pool of a zone should have, and the orders that lead there.
//!
//! The core does no input or output. It takes the dispatchers' demand and the platform's list, and says which orders
//! are due. It never stops an upstream that it has not drained.

use std::mem;

use serde::{Deserialize, Serialize};

use crate::{
    platform::{State, Upstream},
    record::{self, Protocol},
    time::{Span, Time},
};

/// Longest pause after a refused start, as a multiple of the first.
const MAX_PAUSES: u64 = 16;

/// Most starts of one pool in one step.
const MAX_STARTS: u32 = 8;

/// What a pool's record asks for in this zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// Pool name.
    pub pool: String,
    /// Requests that one upstream runs at once, at least 1.
    pub slots: u32,
    /// Fewest upstreams.
    pub min: u32,
    /// Most upstreams, at least `min`.
    pub max: u32,
    /// Largest share of reclaimable upstreams, in thousandths.
    pub cheap_per_mille: u32,
    /// Models that every upstream loads; empty for plain services. Sorted.
    pub models: Vec<String>,
}

impl Policy {
    /// The policy of a pool record.
    pub fn new(pool: &record::Pool) -> Policy {
        let mut models = match pool.protocol {
            Protocol::Engine => pool.models.clone(),
            Protocol::Plain => Vec::new(),
        };
        models.sort();
        models.dedup();
        Policy {
            pool: pool.name.clone(),
            slots: pool.slots.max(1),
            min: pool.min_per_zone,
            max: pool.max_per_zone.max(pool.min_per_zone),
            cheap_per_mille: pool.cheap_per_mille.min(1_000),
            models,
        }
    }

    fn cheap_limit(&self, upstreams: u32) -> u32 {
        (u64::from(upstreams) * u64::from(self.cheap_per_mille) / 1_000) as u32
    }
}

/// How a class fares in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassAttainment {
    /// Share of requests that must meet the class's targets, in thousandths.
    pub target_per_mille: u32,
    /// Share of recent requests that met them, in thousandths.
    pub in_time_per_mille: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// An upstream as the pool's dispatcher sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Name of the upstream.
    pub upstream: String,
    /// Attempts that are granted and have not ended.
    pub running: u32,
    /// Whether the dispatcher grants nothing more on it.
    pub leaving: bool,
}

/// What the dispatcher of a pool reports to the zone's controller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Pool name.
    pub pool: String,
    /// Requests that wait for a grant.
    pub queued: u32,
    /// Attempts in progress.
    pub running: u32,
    /// Time that the first of the waiting requests has waited, in milliseconds.
    pub longest_wait_ms: u64,
    /// One entry for each class with recent requests.
    pub classes: Vec<ClassAttainment>,
    /// All upstreams of the pool that the dispatcher knows.
    pub upstreams: Vec<UpstreamLoad>,
}

/// Limits of the scaling, the same for all pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Share of slots in use above which a pool grows, in thousandths.
    pub grow_per_mille: u32,
    /// Share of slots in use that a smaller pool must not exceed, in thousandths. Below `grow_per_mille`.
    pub shrink_per_mille: u32,
    /// Time for which the demand must exceed a pool before it grows.
    pub grow_after: Span,
    /// Time for which the demand must stay below a smaller pool before it shrinks.
    pub shrink_after: Span,
    /// Wait of a request that counts as pressure, in milliseconds.
    pub long_wait_ms: u64,
    /// Time after which a start or a stop is held to have failed.
    pub start_timeout: Span,
    /// Time after which an upstream that is not idle is stopped all the same.
    pub drain_timeout: Span,
    /// Pause after cheap upstreams were unavailable or reclaimed; doubled with each refusal.
    pub cheap_backoff: Span,
    /// Pause after the start of a regular upstream was refused; doubled with each refusal.
    pub regular_backoff: Span,
    /// Age at which a report of demand no longer counts.
    pub demand_ttl: Span,
    /// Models that the weight store can serve per minute.
    pub loads_per_minute: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            grow_per_mille: 850,
            shrink_per_mille: 700,
            grow_after: Span::from_ms(2_000),
            shrink_after: Span::from_ms(60_000),
            long_wait_ms: 1_000,
            start_timeout: Span::from_ms(120_000),
            drain_timeout: Span::from_ms(600_000),
            cheap_backoff: Span::from_ms(30_000),
            regular_backoff: Span::from_ms(2_000),
            demand_ttl: Span::from_ms(15_000),
            loads_per_minute: 30,
        }
    }
}

/// An order that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start one upstream.
    Start {
        /// Pool of the upstream.
        pool: String,
        /// Whether a reclaimable one is wanted.
        cheap: bool,
    },
    /// Grant nothing more on an upstream.
    Drain {
        /// Name of the upstream.
        upstream: String,
    },
    /// Stop an upstream that was drained.
    Stop {
        /// Name of the upstream.
        upstream: String,
    },
    /// Load a model on an engine.
    Load {
        /// Name of the upstream.
        upstream: String,
        /// Name of the model, adapter or version.
        model: String,
    },
    /// Unload a model that no record asks for any more.
    Unload {
        /// Name of the upstream.
        upstream: String,
        /// Name of the model, adapter or version.
        model: String,
    },
}

/// What a pool needs at one time.
#[derive(Debug, Clone, Copy)]
struct Need {
    at: Time,
    /// Upstreams below which the pool should grow.
    grow: u32,
    /// Upstreams above which the pool may shrink. At least `grow`.
    shrink: u32,
}

/// A start that the platform's list does not show yet.
#[derive(Debug)]
struct Start {
    at: Time,
    cheap: bool,
    /// Known once the platform has answered.
    upstream: Option<String>,
}

#[derive(Debug)]
struct Pool {
    policy: Policy,
    demand: Option<(Time, Demand)>,
    /// In order of time, not older than `shrink_after`.
    needs: Vec<Need>,
    /// Upstreams that the pool should have, once it has been seen.
    target: Option<u32>,
    starts: Vec<Start>,
    /// Last change of the target or of the upstreams.
    changed: Time,
    cheap: Pause,
    regular: Pause,
}

/// A pause in the starts of one kind of upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Pause {
    until: Time,
    /// Refusals in a row.
    refusals: u32,
}

impl Pause {
    fn extend(&mut self, now: Time, first: Span) {
        let factor = (1 << self.refusals.min(8)).min(MAX_PAUSES);
        self.refusals += 1;
        self.until = now + Span(first.0 * factor);
    }
}

/// An upstream on which nothing more is granted.
#[derive(Debug)]
struct Drain {
    upstream: String,
    pool: String,
    since: Time,
    /// Whether the dispatcher has said since then that nothing runs and nothing more is granted.
    idle: bool,
    stopped: Option<Time>,
}

/// Counts of a pool's upstreams in the platform's list.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    /// Ready, not draining and not about to be reclaimed.
    ready: u32,
    /// Ordered and not ready yet, in the list or not.
    starting: u32,
    /// Those of both that are cheap.
    cheap: u32,
    /// Draining.
    draining: u32,
}

impl Count {
    fn available(self) -> u32 {
        self.ready + self.starting
    }

    fn total(self) -> u32 {
        self.available() + self.draining
    }
}

/// Bucket of the weight store's rate, in millionths of a load.
#[derive(Debug, Default)]
struct Bucket {
    level: u64,
    filled: Time,
}

impl Bucket {
    const LOAD: u64 = 1_000_000;

    fn fill(&mut self, now: Time, per_minute: u32) {
        let gained = now.since(self.filled).0.saturating_mul(u64::from(per_minute)) / 60;
        self.level = self.level.saturating_add(gained).min(Bucket::LOAD);
        self.filled = now;
    }

    fn take(&mut self) -> bool {
        let enough = self.level >= Bucket::LOAD;
        if enough {
            self.level -= Bucket::LOAD;
        }
        enough
    }
}

/// State of a zone's scaling.
#[derive(Debug)]
pub struct Scaler {
    settings: Settings,
    /// Sorted by name.
    pools: Vec<Pool>,
    /// Sorted by upstream.
    drains: Vec<Drain>,
    /// Models whose loading was ordered, by upstream. Sorted.
    loads: Vec<(String, String)>,
    /// First sight of upstreams that are not ready. Sorted.
    starting: Vec<(String, Time)>,
    bucket: Bucket,
}

impl Scaler {
    /// A zone without pools.
    pub fn new(settings: Settings) -> Scaler {
        Scaler {
            settings,
            pools: Vec::new(),
            drains: Vec::new(),
            loads: Vec::new(),
            starting: Vec::new(),
            bucket: Bucket::default(),
        }
    }

    /// Sets the pools of the zone. Upstreams of a pool without policy are left alone.
    pub fn configure(&mut self, policies: Vec<Policy>) {
        let mut old = mem::take(&mut self.pools);
        for policy in policies {
            let known = old.iter().position(|it| it.policy.pool == policy.pool);
            let mut pool = known.map_or_else(|| Pool::new(&policy), |it| old.swap_remove(it));
            pool.policy = policy;
            self.pools.push(pool);
        }
        self.pools.sort_by(|a, b| a.policy.pool.cmp(&b.policy.pool));
    }

    /// Takes a report of a pool's dispatcher and returns the upstreams of the pool on which nothing more may be granted.
    pub fn record_demand(&mut self, now: Time, demand: Demand) -> Vec<String> {
        for load in demand.upstreams.iter().filter(|it| it.leaving && it.running == 0) {
            if let Ok(found) = self.drain_index(&load.upstream) {
                self.drains[found].idle = true;
            }
        }
        for load in demand.upstreams.iter().filter(|it| !it.leaving || it.running > 0) {
            if let Ok(found) = self.drain_index(&load.upstream) {
                self.drains[found].idle = false;
            }
        }
        let draining = self.drains.iter().filter(|it| it.pool == demand.pool);
        let draining = draining.map(|it| it.upstream.clone()).collect();
        if let Ok(found) = self.pool_index(&demand.pool) {
            self.pools[found].demand = Some((now, demand));
        }
        draining
    }

    /// The platform accepted a start and named the upstream.
    pub fn start_accepted(&mut self, pool: &str, cheap: bool, upstream: &str) {
        let Ok(found) = self.pool_index(pool) else { return };
        let pool = &mut self.pools[found];
        let pause = if cheap { &mut pool.cheap } else { &mut pool.regular };
        pause.refusals = 0;
        let start = pool.starts.iter_mut().find(|it| it.cheap == cheap && it.upstream.is_none());
        if let Some(start) = start {
            start.upstream = Some(upstream.to_owned());
        }
    }

    /// The platform refused a start. It is asked for such upstreams again after a pause.
    pub fn start_refused(&mut self, now: Time, pool: &str, cheap: bool) {
        let Settings { cheap_backoff, regular_backoff, .. } = self.settings;
        let Ok(found) = self.pool_index(pool) else { return };
        let pool = &mut self.pools[found];
        let start = pool.starts.iter().position(|it| it.cheap == cheap && it.upstream.is_none());
        if let Some(start) = start {
            pool.starts.remove(start);
        }
        if cheap {
            pool.cheap.extend(now, cheap_backoff);
        } else {
            pool.regular.extend(now, regular_backoff);
        }
    }

    /// A model is loaded, as an earlier controller ordered.
    pub fn mark_loaded(&mut self, upstream: &str, model: &str) {
        let load = (upstream.to_owned(), model.to_owned());
        if let Err(at) = self.loads.binary_search(&load) {
            self.loads.insert(at, load);
        }
    }

    /// A model could not be loaded; it is ordered again.
    pub fn mark_unloaded(&mut self, upstream: &str, model: &str) {
        self.loads.retain(|it| it.0 != upstream || it.1 != model);
    }

    /// A start that an earlier controller ordered is being sent again.
    pub fn adopt_start(&mut self, now: Time, pool: &str, cheap: bool) {
        if let Ok(found) = self.pool_index(pool) {
            self.pools[found].starts.push(Start { at: now, cheap, upstream: None });
        }
    }

    /// Upstreams that a pool should have, if it has been seen.
    pub fn target(&self, pool: &str) -> Option<u32> {
        let found = self.pool_index(pool).ok()?;
        self.pools[found].target
    }

    /// Compares the zone's upstreams with the demand and appends the orders that are due.
    pub fn step(&mut self, now: Time, upstreams: &[Upstream], actions: &mut Vec<Action>) {
        self.forget(upstreams);
        self.note_starting(now, upstreams);
        self.drain_lost(now, upstreams, actions);
        for index in 0..self.pools.len() {
            self.scale(index, now, upstreams, actions);
        }
        self.stop(now, actions);
        self.load(now, upstreams, actions);
    }

    fn pool_index(&self, pool: &str) -> Result<usize, usize> {
        self.pools.binary_search_by(|it| it.policy.pool.as_str().cmp(pool))
    }

    fn drain_index(&self, upstream: &str) -> Result<usize, usize> {
        self.drains.binary_search_by(|it| it.upstream.as_str().cmp(upstream))
    }

    fn drain(&mut self, now: Time, upstream: &Upstream, actions: &mut Vec<Action>) {
        let Err(at) = self.drain_index(&upstream.id) else { return };
        let drain = Drain {
            upstream: upstream.id.clone(),
            pool: upstream.pool.clone(),
            since: now,
            idle: false,
            stopped: None,
        };
        self.drains.insert(at, drain);
        actions.push(Action::Drain { upstream: upstream.id.clone() });
    }

    /// Drops what is known of upstreams that no longer exist.
    fn forget(&mut self, upstreams: &[Upstream]) {
        let exists = |id: &str| upstreams.iter().any(|it| it.id == id);
        self.drains.retain(|it| exists(&it.upstream));
        self.loads.retain(|it| exists(&it.0));
        for pool in &mut self.pools {
            pool.starts.retain(|it| it.upstream.as_deref().is_none_or(|it| !exists(it)));
        }
    }

    fn note_starting(&mut self, now: Time, upstreams: &[Upstream]) {
        let mut starting: Vec<_> = upstreams
            .iter()
            .filter(|it| it.state == State::Starting)
            .map(|it| {
                let known = self.starting.binary_search_by(|(id, _)| id.cmp(&it.id));
                (it.id.clone(), known.map_or(now, |found| self.starting[found].1))
            })
            .collect();
        starting.sort();
        self.starting = starting;
        let timeout = self.settings.start_timeout;
        for pool in &mut self.pools {
            pool.starts.retain(|it| now.since(it.at) < timeout);
        }
    }

    /// Drains upstreams that the platform reclaims or that do not become ready.
    fn drain_lost(&mut self, now: Time, upstreams: &[Upstream], actions: &mut Vec<Action>) {
        for upstream in upstreams {
            if self.pool_index(&upstream.pool).is_err() {
                continue;
            }
            if upstream.reclaim_ms.is_some() {
                if self.drain_index(&upstream.id).is_err() {
                    self.pause_cheap(now);
                }
                self.drain(now, upstream, actions);
            } else if self.is_stuck(now, upstream) {
                self.drain(now, upstream, actions);
            }
        }
    }

    fn is_stuck(&self, now: Time, upstream: &Upstream) -> bool {
        let known = self.starting.binary_search_by(|(id, _)| id.cmp(&upstream.id));
        known.is_ok_and(|it| now.since(self.starting[it].1) >= self.settings.start_timeout)
    }

    /// Reclaims come many at once, so that no pool asks for cheap upstreams for a while.
    fn pause_cheap(&mut self, now: Time) {
        for pool in &mut self.pools {
            pool.cheap.until = pool.cheap.until.max(now + self.settings.cheap_backoff);
        }
    }

    fn count(&self, pool: &Pool, upstreams: &[Upstream]) -> Count {
        let mut count = Count::default();
        for upstream in upstreams.iter().filter(|it| it.pool == pool.policy.pool) {
            if upstream.state == State::Leaving || upstream.reclaim_ms.is_some() {
                continue;
            }
            if self.drain_index(&upstream.id).is_ok() {
                count.draining += 1;
                continue;
            }
            match upstream.state {
                State::Running => count.ready += 1,
                State::Starting | State::Leaving => count.starting += 1,
            }
            count.cheap += u32::from(upstream.cheap);
        }
        count.starting += pool.starts.len() as u32;
        count.cheap += pool.starts.iter().filter(|it| it.cheap).count() as u32;
        count
    }

    fn scale(
        &mut self,
        index: usize,
        now: Time,
        upstreams: &[Upstream],
        actions: &mut Vec<Action>,
    ) {
        let count = self.count(&self.pools[index], upstreams);
        let settings = self.settings;
        let pool = &mut self.pools[index];
        pool.note_need(&settings, now, count);
        let target = pool.retarget(&settings, now, count);
        let started = pool.start(&settings, now, target, count, actions);
        let surplus = count.ready.saturating_sub(target);
        if surplus > 0 && !started {
            let victims = self.victims(index, upstreams, surplus, target, count);
            for victim in &victims {
                self.drain(now, victim, actions);
            }
            self.pools[index].changed = now;
        }
    }

    /// Upstreams that a pool gives up: cheap ones beyond their share, then the dearest, then the least busy.
    fn victims<'a>(
        &self,
        index: usize,
        upstreams: &'a [Upstream],
        surplus: u32,
        target: u32,
        count: Count,
    ) -> Vec<&'a Upstream> {
        let pool = &self.pools[index];
        let excess = count.cheap.saturating_sub(pool.policy.cheap_limit(target));
        let mut candidates: Vec<_> = upstreams
            .iter()
            .filter(|it| it.pool == pool.policy.pool && it.state == State::Running)
            .filter(|it| it.reclaim_ms.is_none() && self.drain_index(&it.id).is_err())
            .collect();
        candidates.sort_by(|a, b| {
            let dearest = b.cost_per_hour.total_cmp(&a.cost_per_hour);
            let busy = pool.running(&a.id).cmp(&pool.running(&b.id));
            a.cheap.cmp(&b.cheap).then(dearest).then(busy).then(a.id.cmp(&b.id))
        });
        let cheap = candidates.iter().filter(|it| it.cheap).take(excess as usize);
        let mut victims: Vec<&Upstream> = cheap.copied().collect();
        let rest = candidates.into_iter().filter(|it| !victims.iter().any(|v| v.id == it.id));
        let rest: Vec<_> = rest.collect();
        victims.extend(rest);
        victims.truncate(surplus as usize);
        victims
    }

    /// Stops drained upstreams that are idle or out of time.
    fn stop(&mut self, now: Time, actions: &mut Vec<Action>) {
        for drain in &mut self.drains {
            let over = now.since(drain.since) >= self.settings.drain_timeout;
            let again = drain.stopped.is_none_or(|it| now.since(it) >= self.settings.start_timeout);
            if (drain.idle || over) && again {
                drain.stopped = Some(now);
                actions.push(Action::Stop { upstream: drain.upstream.clone() });
            }
        }
    }

    /// Orders models for upstreams that lack them, for pools with waiting requests first.
    fn load(&mut self, now: Time, upstreams: &[Upstream], actions: &mut Vec<Action>) {
        self.bucket.fill(now, self.settings.loads_per_minute);
        let mut order: Vec<usize> = (0..self.pools.len()).collect();
        order.sort_by_key(|it| std::cmp::Reverse(self.pools[*it].queued()));
        for index in order {
            let policy = &self.pools[index].policy;
            let of_pool = upstreams.iter().filter(|it| it.pool == policy.pool);
            for upstream in of_pool.filter(|it| it.state == State::Running) {
                if self.drain_index(&upstream.id).is_ok() {
                    continue;
                }
                for model in &policy.models {
                    let load = (upstream.id.clone(), model.clone());
                    let Err(at) = self.loads.binary_search(&load) else { continue };
                    if !self.bucket.take() {
                        break;
                    }
                    self.loads.insert(at, load.clone());
                    actions.push(Action::Load { upstream: load.0, model: load.1 });
                }
                let extra = |it: &mut (String, String)| {
                    it.0 == upstream.id && policy.models.binary_search(&it.1).is_err()
                };
                for (upstream, model) in self.loads.extract_if(.., extra) {
                    actions.push(Action::Unload { upstream, model });
                }
            }
        }
    }
}

impl Pool {
    fn new(policy: &Policy) -> Pool {
        Pool {
            policy: policy.clone(),
            demand: None,
            needs: Vec::new(),
            target: None,
            starts: Vec::new(),
            changed: Time(0),
            cheap: Pause::default(),
            regular: Pause::default(),
        }
    }

    fn queued(&self) -> u32 {
        self.demand.as_ref().map_or(0, |it| it.1.queued)
    }

    fn running(&self, upstream: &str) -> u32 {
        let loads = self.demand.iter().flat_map(|it| &it.1.upstreams);
        loads.filter(|it| it.upstream == upstream).map(|it| it.running).sum()
    }

    fn note_need(&mut self, settings: &Settings, now: Time, count: Count) {
        let fresh = self.demand.as_ref().filter(|it| now.since(it.0) < settings.demand_ttl);
        let Some((_, demand)) = fresh else {
            // Without a dispatcher's report nothing is known of the need, and a window must not span the gap.
            self.needs.clear();
            return;
        };
        let work = u64::from(demand.queued) + u64::from(demand.running);
        let fit = |per_mille: u32| {
            let capacity = u64::from(self.policy.slots) * u64::from(per_mille);
            (work * 1_000).div_ceil(capacity.max(1)).min(u64::from(self.policy.max)) as u32
        };
        let mut grow = fit(settings.grow_per_mille);
        let mut shrink = fit(settings.shrink_per_mille);
        if pressed(settings, demand) {
            // What is starting already may relieve the pressure.
            let more = u32::from(count.starting == 0);
            grow = grow.max(count.available() + more);
            shrink = shrink.max(count.available());
        }
        self.needs.retain(|it| now.since(it.at) <= settings.shrink_after);
        self.needs.push(Need { at: now, grow, shrink: shrink.max(grow) });
    }

    fn retarget(&mut self, settings: &Settings, now: Time, count: Count) -> u32 {
        let Policy { min, max, .. } = self.policy;
        let before = self.target.unwrap_or(count.available()).clamp(min, max);
        let mut target = before;
        if let Some(grow) = self.lasting_growth(settings, now) {
            // A backlog shrinks while upstreams start, so that one step at most doubles the pool.
            target = target.max(grow.min(before * 2 + 1)).min(max);
        }
        if let Some(peak) = self.peak(settings, now).filter(|it| *it < before) {
            target = (before - (before - peak).div_ceil(2)).max(min);
            self.needs.clear();
        }
        if self.target != Some(target) {
            self.changed = now;
        }
        self.target = Some(target);
        target
    }

    /// Upstreams that were needed during all of `grow_after`.
    fn lasting_growth(&self, settings: &Settings, now: Time) -> Option<u32> {
        let first = self.needs.first()?;
        if now.since(first.at) < settings.grow_after {
            return None;
        }
        let recent = self.needs.iter().filter(|it| now.since(it.at) <= settings.grow_after);
        recent.map(|it| it.grow).min()
    }

    /// Most upstreams that were needed at any time in `shrink_after`.
    fn peak(&self, settings: &Settings, now: Time) -> Option<u32> {
        let first = self.needs.first()?;
        // Samples are dropped at the window's end, so that it can only be spanned nearly.
        let spanned = now.since(first.at).0 >= settings.shrink_after.0 / 10 * 9;
        let peak = self.needs.iter().map(|it| it.shrink).max()?;
        spanned.then_some(peak)
    }

    /// Orders what the pool lacks; true if it ordered something.
    fn start(
        &mut self,
        settings: &Settings,
        now: Time,
        target: u32,
        count: Count,
        actions: &mut Vec<Action>,
    ) -> bool {
        let room = self.policy.max.saturating_sub(count.total());
        let lacking = target.saturating_sub(count.available()).min(room).min(MAX_STARTS);
        let mut cheap = count.cheap;
        for _ in 0..lacking {
            let wanted = cheap < self.policy.cheap_limit(target) && self.cheap.until <= now;
            if !wanted && now < self.regular.until {
                return true;
            }
            cheap += u32::from(wanted);
            self.order(now, wanted, actions);
        }
        if lacking == 0 && room > 0 && self.is_steady(settings, now, target, count) {
            let limit = self.policy.cheap_limit(target);
            if count.cheap > limit && self.regular.until <= now {
                self.order(now, false, actions);
            } else if count.cheap < limit && self.cheap.until <= now {
                self.order(now, true, actions);
            } else {
                return false;
            }
            return true;
        }
        lacking > 0
    }

    /// Whether nothing has changed for long enough to replace an upstream by one of the other kind.
    fn is_steady(&self, settings: &Settings, now: Time, target: u32, count: Count) -> bool {
        let settled = count.starting == 0 && count.draining == 0 && count.ready == target;
        settled && now.since(self.changed) >= settings.shrink_after
    }

    fn order(&mut self, now: Time, cheap: bool, actions: &mut Vec<Action>) {
        self.changed = now;
        self.starts.push(Start { at: now, cheap, upstream: None });
        actions.push(Action::Start { pool: self.policy.pool.clone(), cheap });
    }
}

/// Whether requests wait in a pool that misses a target of theirs.
fn pressed(settings: &Settings, demand: &Demand) -> bool {
    let misses = |it: &ClassAttainment| it.queued > 0 && it.in_time_per_mille < it.target_per_mille;
    let long = demand.queued > 0 && demand.longest_wait_ms >= settings.long_wait_ms;
    long || demand.classes.iter().any(misses)
}
