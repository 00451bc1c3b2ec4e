//! Autoscaling of the pools of a zone: target numbers of upstreams, and the orders that reach them.
//!
//! [`Scaler`] does no I/O. It takes the demand that dispatchers report and the platform's list of upstreams, and
//! returns the orders that are due. It never stops an upstream that it has not drained.

use std::mem;

use serde::{Deserialize, Serialize};

use crate::{
    platform::{State, Upstream},
    record::{self, Protocol},
    time::{Span, Time},
};

/// Maximum backoff after a refused start, as a multiple of the initial one.
const MAX_BACKOFF_FACTOR: u64 = 16;

/// Maximum number of starts of one pool per step.
const MAX_STARTS: u32 = 8;

/// Scaling policy of a pool in this zone, from its record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// Name of the pool.
    pub pool: String,
    /// Requests that one upstream runs at the same time, at least 1.
    pub slots: u32,
    /// Minimum number of upstreams.
    pub min: u32,
    /// Maximum number of upstreams, at least `min`.
    pub max: u32,
    /// Maximum share of upstreams that the platform may reclaim, in thousandths.
    pub cheap_per_mille: u32,
    /// Models that every upstream loads, sorted; empty for plain services.
    pub models: Vec<String>,
}

impl Policy {
    /// Returns the policy of a pool record.
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

/// Attainment of a class in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassAttainment {
    /// Share of requests that must meet the latency target of the class, in thousandths.
    pub target_per_mille: u32,
    /// Share of recent requests that met the target, in thousandths.
    pub in_time_per_mille: u32,
    /// Queued requests of the class.
    pub queued: u32,
}

/// Load of an upstream, as the pool's dispatcher reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Name of the upstream.
    pub upstream: String,
    /// Attempts that were granted and have not ended.
    pub running: u32,
    /// Whether the dispatcher has stopped granting attempts on it.
    pub leaving: bool,
}

/// Demand of a pool, which its dispatcher reports to the zone's controller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Name of the pool.
    pub pool: String,
    /// Requests in the queue.
    pub queued: u32,
    /// Attempts in progress.
    pub running: u32,
    /// Waiting time of the oldest queued request, in milliseconds.
    pub longest_wait_ms: u64,
    /// One entry for each class with recent requests.
    pub classes: Vec<ClassAttainment>,
    /// All upstreams in the dispatcher's list for the pool.
    pub upstreams: Vec<UpstreamLoad>,
}

/// Settings of the autoscaler, the same for all pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Share of slots in use above which a pool grows, in thousandths.
    pub grow_per_mille: u32,
    /// Share of slots in use that a pool must not exceed after it shrinks, in thousandths. Less than `grow_per_mille`.
    pub shrink_per_mille: u32,
    /// Time for which the demand must exceed the capacity of a pool before the pool grows.
    pub grow_after: Span,
    /// Time for which the demand must fit a smaller pool before the pool shrinks.
    pub shrink_after: Span,
    /// Waiting time of a request from which a pool counts as overloaded, in milliseconds.
    pub long_wait_ms: u64,
    /// Time after which a start or a stop without effect counts as failed.
    pub start_timeout: Span,
    /// Time after which a draining upstream is stopped even if it is not idle.
    pub drain_timeout: Span,
    /// Initial backoff after cheap upstreams were unavailable or reclaimed. Doubles with each consecutive refusal.
    pub cheap_backoff: Span,
    /// Initial backoff after the start of a regular upstream was refused. Doubles with each consecutive refusal.
    pub regular_backoff: Span,
    /// Age at which a demand report expires.
    pub demand_ttl: Span,
    /// Model loads per minute that the weight store can serve.
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
        /// Whether to start an upstream that the platform may reclaim.
        cheap: bool,
    },
    /// Stop granting attempts on an upstream.
    Drain {
        /// Name of the upstream.
        upstream: String,
    },
    /// Stop a drained upstream.
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
    /// Unload a model that is no longer in the pool's record.
    Unload {
        /// Name of the upstream.
        upstream: String,
        /// Name of the model, adapter or version.
        model: String,
    },
}

/// Sample of the number of upstreams that a pool needs.
#[derive(Debug, Clone, Copy)]
struct NeedSample {
    at: Time,
    /// Number of upstreams below which the pool should grow.
    grow: u32,
    /// Number of upstreams above which the pool may shrink. At least `grow`.
    shrink: u32,
}

/// Ordered start whose upstream is not in the platform's list yet.
#[derive(Debug)]
struct PendingStart {
    at: Time,
    cheap: bool,
    /// Name of the upstream, once the platform has answered.
    upstream: Option<String>,
}

#[derive(Debug)]
struct Pool {
    policy: Policy,
    demand: Option<(Time, Demand)>,
    /// In order of time. Samples older than `shrink_after` are dropped.
    needs: Vec<NeedSample>,
    /// Number of upstreams that the pool should have; `None` before the first step.
    target: Option<u32>,
    starts: Vec<PendingStart>,
    /// Time of the last change of the target, or of the last start or scale-down.
    changed: Time,
    cheap_backoff: StartBackoff,
    regular_backoff: StartBackoff,
}

/// Backoff for starts of cheap or of regular upstreams.
#[derive(Debug, Clone, Copy, Default)]
struct StartBackoff {
    until: Time,
    /// Consecutive refusals.
    refusals: u32,
}

impl StartBackoff {
    fn record_refusal(&mut self, now: Time, initial: Span) {
        let factor = (1 << self.refusals.min(8)).min(MAX_BACKOFF_FACTOR);
        self.refusals += 1;
        self.until = now + Span(initial.0 * factor);
    }
}

/// An upstream that is being drained.
#[derive(Debug)]
struct Drain {
    upstream: String,
    pool: String,
    since: Time,
    /// Whether the last report since then shows that nothing runs and that the dispatcher grants nothing more.
    idle: bool,
    /// Time of the last order to stop it.
    stopped: Option<Time>,
}

/// Numbers of a pool's upstreams by state.
#[derive(Debug, Clone, Copy, Default)]
struct UpstreamCounts {
    /// Running, not draining and not being reclaimed.
    ready: u32,
    /// Ordered and not yet running, whether or not the platform lists them.
    starting: u32,
    /// Cheap ones among the ready and the starting upstreams.
    cheap: u32,
    draining: u32,
}

impl UpstreamCounts {
    fn available(self) -> u32 {
        self.ready + self.starting
    }

    fn total(self) -> u32 {
        self.available() + self.draining
    }
}

/// Token bucket for the rate of the weight store, in millionths of a load.
#[derive(Debug, Default)]
struct Bucket {
    level: u64,
    updated_at: Time,
}

impl Bucket {
    /// Cost of one load, and capacity of the bucket.
    const LOAD_COST: u64 = 1_000_000;

    fn fill(&mut self, now: Time, per_minute: u32) {
        let gained = now.since(self.updated_at).0.saturating_mul(u64::from(per_minute)) / 60;
        self.level = self.level.saturating_add(gained).min(Bucket::LOAD_COST);
        self.updated_at = now;
    }

    fn take(&mut self) -> bool {
        let enough = self.level >= Bucket::LOAD_COST;
        if enough {
            self.level -= Bucket::LOAD_COST;
        }
        enough
    }
}

/// Autoscaler of a zone.
#[derive(Debug)]
pub struct Scaler {
    settings: Settings,
    /// Sorted by name.
    pools: Vec<Pool>,
    /// Sorted by upstream.
    drains: Vec<Drain>,
    /// Upstream and model of each load that was ordered. Sorted.
    loads: Vec<(String, String)>,
    /// Starting upstreams and the time at which the platform first listed them. Sorted.
    starting: Vec<(String, Time)>,
    bucket: Bucket,
}

impl Scaler {
    /// Creates an autoscaler without pools.
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

    /// Sets the pools of the zone. Upstreams of pools without a policy are left as they are.
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

    /// Stores the demand report of a pool's dispatcher. Returns the upstreams of the pool that are being drained, on
    /// which the dispatcher must not grant further attempts.
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

    /// Records that the platform accepted a start, and the name of the new upstream.
    pub fn start_accepted(&mut self, pool: &str, cheap: bool, upstream: &str) {
        let Ok(found) = self.pool_index(pool) else { return };
        let pool = &mut self.pools[found];
        let backoff = if cheap { &mut pool.cheap_backoff } else { &mut pool.regular_backoff };
        backoff.refusals = 0;
        let start = pool.starts.iter_mut().find(|it| it.cheap == cheap && it.upstream.is_none());
        if let Some(start) = start {
            start.upstream = Some(upstream.to_owned());
        }
    }

    /// Records that the platform refused a start. Starts of the same kind are ordered again after a backoff.
    pub fn start_refused(&mut self, now: Time, pool: &str, cheap: bool) {
        let Settings { cheap_backoff, regular_backoff, .. } = self.settings;
        let Ok(found) = self.pool_index(pool) else { return };
        let pool = &mut self.pools[found];
        let start = pool.starts.iter().position(|it| it.cheap == cheap && it.upstream.is_none());
        if let Some(start) = start {
            pool.starts.remove(start);
        }
        if cheap {
            pool.cheap_backoff.record_refusal(now, cheap_backoff);
        } else {
            pool.regular_backoff.record_refusal(now, regular_backoff);
        }
    }

    /// Records that a previous controller ordered a model to be loaded.
    pub fn mark_loaded(&mut self, upstream: &str, model: &str) {
        let load = (upstream.to_owned(), model.to_owned());
        if let Err(at) = self.loads.binary_search(&load) {
            self.loads.insert(at, load);
        }
    }

    /// Records that a model could not be loaded. The load is ordered again.
    pub fn mark_unloaded(&mut self, upstream: &str, model: &str) {
        self.loads.retain(|it| it.0 != upstream || it.1 != model);
    }

    /// Records a start that a previous controller ordered and that this one sends again.
    pub fn adopt_start(&mut self, now: Time, pool: &str, cheap: bool) {
        if let Ok(found) = self.pool_index(pool) {
            self.pools[found].starts.push(PendingStart { at: now, cheap, upstream: None });
        }
    }

    /// Returns the number of upstreams that a pool should have; `None` before the first step with the pool.
    pub fn target(&self, pool: &str) -> Option<u32> {
        let found = self.pool_index(pool).ok()?;
        self.pools[found].target
    }

    /// Compares the upstreams of the zone with the demand and appends the orders that are due to `actions`.
    pub fn step(&mut self, now: Time, upstreams: &[Upstream], actions: &mut Vec<Action>) {
        self.prune(upstreams);
        self.update_starting(now, upstreams);
        self.drain_unusable(now, upstreams, actions);
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

    /// Removes the state of upstreams that no longer exist, and pending starts whose upstream is now listed.
    fn prune(&mut self, upstreams: &[Upstream]) {
        let exists = |id: &str| upstreams.iter().any(|it| it.id == id);
        self.drains.retain(|it| exists(&it.upstream));
        self.loads.retain(|it| exists(&it.0));
        for pool in &mut self.pools {
            pool.starts.retain(|it| it.upstream.as_deref().is_none_or(|it| !exists(it)));
        }
    }

    fn update_starting(&mut self, now: Time, upstreams: &[Upstream]) {
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

    /// Drains upstreams that the platform reclaims or that did not become ready in time.
    fn drain_unusable(&mut self, now: Time, upstreams: &[Upstream], actions: &mut Vec<Action>) {
        for upstream in upstreams {
            if self.pool_index(&upstream.pool).is_err() {
                continue;
            }
            if upstream.reclaim_ms.is_some() {
                if self.drain_index(&upstream.id).is_err() {
                    self.back_off_cheap(now);
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

    /// Suspends cheap starts in all pools, because the platform reclaims many upstreams at the same time.
    fn back_off_cheap(&mut self, now: Time) {
        for pool in &mut self.pools {
            pool.cheap_backoff.until =
                pool.cheap_backoff.until.max(now + self.settings.cheap_backoff);
        }
    }

    fn count(&self, pool: &Pool, upstreams: &[Upstream]) -> UpstreamCounts {
        let mut counts = UpstreamCounts::default();
        for upstream in upstreams.iter().filter(|it| it.pool == pool.policy.pool) {
            if upstream.state == State::Leaving || upstream.reclaim_ms.is_some() {
                continue;
            }
            if self.drain_index(&upstream.id).is_ok() {
                counts.draining += 1;
                continue;
            }
            match upstream.state {
                State::Running => counts.ready += 1,
                State::Starting | State::Leaving => counts.starting += 1,
            }
            counts.cheap += u32::from(upstream.cheap);
        }
        counts.starting += pool.starts.len() as u32;
        counts.cheap += pool.starts.iter().filter(|it| it.cheap).count() as u32;
        counts
    }

    fn scale(
        &mut self,
        index: usize,
        now: Time,
        upstreams: &[Upstream],
        actions: &mut Vec<Action>,
    ) {
        let counts = self.count(&self.pools[index], upstreams);
        let settings = self.settings;
        let pool = &mut self.pools[index];
        pool.record_need(&settings, now, counts);
        let target = pool.retarget(&settings, now, counts);
        let started = pool.start(&settings, now, target, counts, actions);
        let surplus = counts.ready.saturating_sub(target);
        if surplus > 0 && !started {
            let removals = self.removals(index, upstreams, surplus, target, counts);
            for upstream in &removals {
                self.drain(now, upstream, actions);
            }
            self.pools[index].changed = now;
        }
    }

    /// Selects the upstreams to remove from a pool: cheap ones above their maximum share first, then regular before
    /// cheap, the most expensive and the least loaded first.
    fn removals<'a>(
        &self,
        index: usize,
        upstreams: &'a [Upstream],
        surplus: u32,
        target: u32,
        counts: UpstreamCounts,
    ) -> Vec<&'a Upstream> {
        let pool = &self.pools[index];
        let excess = counts.cheap.saturating_sub(pool.policy.cheap_limit(target));
        let mut candidates: Vec<_> = upstreams
            .iter()
            .filter(|it| it.pool == pool.policy.pool && it.state == State::Running)
            .filter(|it| it.reclaim_ms.is_none() && self.drain_index(&it.id).is_err())
            .collect();
        candidates.sort_by(|a, b| {
            let expensive = b.cost_per_hour.total_cmp(&a.cost_per_hour);
            let load = pool.running(&a.id).cmp(&pool.running(&b.id));
            a.cheap.cmp(&b.cheap).then(expensive).then(load).then(a.id.cmp(&b.id))
        });
        let cheap = candidates.iter().filter(|it| it.cheap).take(excess as usize);
        let mut removals: Vec<&Upstream> = cheap.copied().collect();
        let rest = candidates.into_iter().filter(|it| !removals.iter().any(|v| v.id == it.id));
        let rest: Vec<_> = rest.collect();
        removals.extend(rest);
        removals.truncate(surplus as usize);
        removals
    }

    /// Orders stops of draining upstreams that are idle or have exceeded `drain_timeout`.
    fn stop(&mut self, now: Time, actions: &mut Vec<Action>) {
        for drain in &mut self.drains {
            let expired = now.since(drain.since) >= self.settings.drain_timeout;
            let order_due =
                drain.stopped.is_none_or(|it| now.since(it) >= self.settings.start_timeout);
            if (drain.idle || expired) && order_due {
                drain.stopped = Some(now);
                actions.push(Action::Stop { upstream: drain.upstream.clone() });
            }
        }
    }

    /// Orders missing models to be loaded, pools with the longest queue first, and extra models to be unloaded.
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
            cheap_backoff: StartBackoff::default(),
            regular_backoff: StartBackoff::default(),
        }
    }

    fn queued(&self) -> u32 {
        self.demand.as_ref().map_or(0, |it| it.1.queued)
    }

    fn running(&self, upstream: &str) -> u32 {
        let loads = self.demand.iter().flat_map(|it| &it.1.upstreams);
        loads.filter(|it| it.upstream == upstream).map(|it| it.running).sum()
    }

    fn record_need(&mut self, settings: &Settings, now: Time, counts: UpstreamCounts) {
        let fresh = self.demand.as_ref().filter(|it| now.since(it.0) < settings.demand_ttl);
        let Some((_, demand)) = fresh else {
            // Without a recent report the need is unknown, and the windows must not span the gap.
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
        if is_overloaded(settings, demand) {
            // Upstreams that are already starting may end the overload.
            let more = u32::from(counts.starting == 0);
            grow = grow.max(counts.available() + more);
            shrink = shrink.max(counts.available());
        }
        self.needs.retain(|it| now.since(it.at) <= settings.shrink_after);
        self.needs.push(NeedSample { at: now, grow, shrink: shrink.max(grow) });
    }

    fn retarget(&mut self, settings: &Settings, now: Time, counts: UpstreamCounts) -> u32 {
        let Policy { min, max, .. } = self.policy;
        let before = self.target.unwrap_or(counts.available()).clamp(min, max);
        let mut target = before;
        if let Some(grow) = self.sustained_need(settings, now) {
            // The backlog shrinks while upstreams start, so one step at most doubles the pool (plus one).
            target = target.max(grow.min(before * 2 + 1)).min(max);
        }
        if let Some(peak) = self.peak_need(settings, now).filter(|it| *it < before) {
            target = (before - (before - peak).div_ceil(2)).max(min);
            self.needs.clear();
        }
        if self.target != Some(target) {
            self.changed = now;
        }
        self.target = Some(target);
        target
    }

    /// Returns the number of upstreams that was needed throughout `grow_after`.
    fn sustained_need(&self, settings: &Settings, now: Time) -> Option<u32> {
        let first = self.needs.first()?;
        if now.since(first.at) < settings.grow_after {
            return None;
        }
        let recent = self.needs.iter().filter(|it| now.since(it.at) <= settings.grow_after);
        recent.map(|it| it.grow).min()
    }

    /// Returns the maximum number of upstreams that was needed within `shrink_after`; `None` until samples span it.
    fn peak_need(&self, settings: &Settings, now: Time) -> Option<u32> {
        let first = self.needs.first()?;
        // Samples older than the window are dropped, so the remaining ones span slightly less than the window.
        let spanned = now.since(first.at).0 >= settings.shrink_after.0 / 10 * 9;
        let peak = self.needs.iter().map(|it| it.shrink).max()?;
        spanned.then_some(peak)
    }

    /// Orders the starts that the pool lacks, or one that replaces an upstream to correct the share of cheap ones.
    ///
    /// Returns true if something was ordered or a backoff delays a start.
    fn start(
        &mut self,
        settings: &Settings,
        now: Time,
        target: u32,
        counts: UpstreamCounts,
        actions: &mut Vec<Action>,
    ) -> bool {
        let room = self.policy.max.saturating_sub(counts.total());
        let lacking = target.saturating_sub(counts.available()).min(room).min(MAX_STARTS);
        let mut cheap = counts.cheap;
        for _ in 0..lacking {
            let wants_cheap =
                cheap < self.policy.cheap_limit(target) && self.cheap_backoff.until <= now;
            if !wants_cheap && now < self.regular_backoff.until {
                return true;
            }
            cheap += u32::from(wants_cheap);
            self.order(now, wants_cheap, actions);
        }
        if lacking == 0 && room > 0 && self.is_steady(settings, now, target, counts) {
            let limit = self.policy.cheap_limit(target);
            if counts.cheap > limit && self.regular_backoff.until <= now {
                self.order(now, false, actions);
            } else if counts.cheap < limit && self.cheap_backoff.until <= now {
                self.order(now, true, actions);
            } else {
                return false;
            }
            return true;
        }
        lacking > 0
    }

    /// Returns whether the pool has been stable for long enough to replace a regular upstream by a cheap one or vice
    /// versa.
    fn is_steady(
        &self,
        settings: &Settings,
        now: Time,
        target: u32,
        counts: UpstreamCounts,
    ) -> bool {
        let settled = counts.starting == 0 && counts.draining == 0 && counts.ready == target;
        settled && now.since(self.changed) >= settings.shrink_after
    }

    fn order(&mut self, now: Time, cheap: bool, actions: &mut Vec<Action>) {
        self.changed = now;
        self.starts.push(PendingStart { at: now, cheap, upstream: None });
        actions.push(Action::Start { pool: self.policy.pool.clone(), cheap });
    }
}

/// Returns whether requests have waited too long or wait in a class that misses its attainment target.
fn is_overloaded(settings: &Settings, demand: &Demand) -> bool {
    let misses = |it: &ClassAttainment| it.queued > 0 && it.in_time_per_mille < it.target_per_mille;
    let long_wait = demand.queued > 0 && demand.longest_wait_ms >= settings.long_wait_ms;
    long_wait || demand.classes.iter().any(misses)
}
