//! State of one upstream as one host sees it: load, cached prompt parts, health and slowdown.

use std::{cell::Cell, rc::Rc};

use crate::{
    rendezvous,
    serving::{
        backoff::Backoff,
        cold::{self, Ration},
        dialect::Prompt,
        messages, pace, rate_limit,
        registry::{self, Entry},
        reported_load,
        tier::TIERS,
    },
    time::{Span, Time},
};

/// Prompt tokens that an engine prefills per millisecond; the users' engines reach 38 to 41.
const PREFILL_RATE: f64 = 40.0;

/// Time after its last use for which an engine is assumed to cache a prompt part.
const PART_LIFETIME: Span = Span::from_ms(60_000);

/// Prompt parts that are tracked for one engine.
const MAX_PARTS: usize = 1_024;

/// Delay that each running request adds for a new one on an engine, in microseconds.
const RUNNING_REQUEST_US: u64 = 300;

/// Assumed time of a request to a plain service, in microseconds.
const SERVICE_TIME_US: u64 = 20_000;

/// Time without bytes during answers after which an upstream is assumed unreachable. An engine that
/// prefills prompts still sends an event at least every 0.3 s.
const MAX_SILENCE: Span = Span::from_ms(700);

/// Duration of the first ejection after a failure.
const FIRST_EJECTION: Span = Span::from_ms(500);

/// Longest duration of an ejection.
const MAX_EJECTION: Span = Span::from_ms(4_000);

/// Doublings of the first ejection, at most.
const MAX_DOUBLINGS: u32 = 8;

/// Half-life of the measured slowdown without new samples.
const SLOWDOWN_HALF_LIFE: Span = Span::from_ms(3_000);

/// Weight of a new sample in the slowdown; larger weights follow single prompts that had to wait.
const SLOWDOWN_GAIN: f64 = 0.05;

/// Time in microseconds that is added to both the measured and the expected time, so that short
/// requests do not make an upstream look slow.
const SLOWDOWN_OFFSET_US: f64 = 40_000.0;

/// Bounds of one sample of the slowdown ratio.
const SLOWDOWN_SAMPLE_BOUNDS: (f64, f64) = (0.5, 10.0);

/// Returns the id of an upstream's incarnation; the same on all hosts.
pub fn incarnation_id(entry: &Entry) -> u64 {
    rendezvous::hash(&[entry.id.as_bytes(), &entry.started_ms.to_be_bytes()])
}

/// Returns the time in which an engine prefills prompt tokens.
pub fn prefill(tokens: u64) -> Span {
    Span((tokens as f64 / PREFILL_RATE * 1_000.0) as u64)
}

/// One incarnation of an upstream with this host's attempts and what other hosts report of it.
#[derive(Debug)]
pub struct State {
    /// Its entry in the store.
    pub entry: Entry,
    /// Id of the incarnation, by which hosts exchange loads.
    pub incarnation: u64,
    /// Prompt tokens of this host's attempts without a first event, by tier.
    pub pending_tokens: [u64; TIERS],
    /// This host's attempts that have not ended.
    pub running: u32,
    /// Those of `running` whose answer has begun.
    pub answering: u32,
    /// Time of the last bytes on any of its connections.
    pub last_activity: Rc<Cell<Time>>,
    /// Time of the first connection that it closed during an answer, until its other connections show whether it lives.
    pub cut_at: Rc<Cell<Option<Time>>>,
    /// Time of the last bytes since then from the process that closed it.
    pub alive_at: Rc<Cell<Time>>,
    /// Ejection after failures.
    pub health: Health,
    /// How much slower it is than expected.
    pub slowdown: Slowdown,
    /// What it reports of its load; the estimates rest on it if it states how long work takes there.
    pub heard: reported_load::Heard,
    /// How much slower than others it is for good, if it reports its load.
    pub lasting: pace::Lasting,
    /// Prompt and expected output of this host's attempts, in tokens.
    pub held_tokens: u64,
    /// Rate limit that it names.
    pub limit: rate_limit::Limit,
    /// Time before which no permit to send within its limit is granted.
    pub no_permit_until: Time,
    /// Whether the answer to a request for a permit is outstanding.
    pub is_asking: bool,
    /// Whether its answers say that it leaves; never unset. Shared with the grants that are not sent yet.
    pub leaves: Rc<Cell<bool>>,
    /// Whether its availability zone is evacuated. Shared with the grants that are not sent yet.
    pub evacuated: Rc<Cell<bool>>,
    /// Cold phase after its start.
    pub cold: Ration,
    /// Back-off that it asked for.
    pub backoff: Backoff,
    remote: RemoteLoad,
    /// Prompt parts that were sent there, with the time of their last use. Sorted by part.
    cached_parts: Vec<(u64, Time)>,
}

/// Load of all other hosts together.
#[derive(Debug, Default, Clone, Copy)]
struct RemoteLoad {
    pending_tokens: [u64; TIERS],
    running: u32,
    received_at: Time,
    ejected_until: Time,
}

impl State {
    /// Creates the state of an upstream without load.
    pub fn new(entry: Entry) -> State {
        State {
            incarnation: incarnation_id(&entry),
            entry,
            pending_tokens: [0; TIERS],
            running: 0,
            answering: 0,
            last_activity: Rc::new(Cell::new(Time(0))),
            cut_at: Rc::new(Cell::new(None)),
            alive_at: Rc::new(Cell::new(Time(0))),
            health: Health::default(),
            slowdown: Slowdown::default(),
            heard: reported_load::Heard::default(),
            lasting: pace::Lasting::default(),
            held_tokens: 0,
            limit: rate_limit::Limit::default(),
            no_permit_until: Time(0),
            is_asking: false,
            leaves: Rc::new(Cell::new(false)),
            evacuated: Rc::new(Cell::new(false)),
            cold: Ration::default(),
            backoff: Backoff::default(),
            remote: RemoteLoad::default(),
            cached_parts: Vec::new(),
        }
    }

    /// Returns whether it accepts requests of a pool.
    pub fn serves(&self, pool: &str) -> bool {
        *self.entry.pool == *pool
            && self.entry.state == registry::State::Ready
            && !self.leaves.get()
            && !self.evacuated.get()
    }

    /// Returns whether it may have room for a request, by its rate limit and the back-off that it asked for.
    pub fn may_have_room(&self, now: Time) -> bool {
        let is_asking = self.is_asking && self.ask(now, 0).is_some();
        !is_asking && now >= self.room_at() && self.backoff.may_send(now)
    }

    /// Returns the request for a permit to send to it, `None` if that needs none. The lower of its limits counts.
    pub fn ask(&self, now: Time, tier: usize) -> Option<rate_limit::Ask> {
        let named = self.limit.rate();
        match self.cold.rate(now) {
            Some(rate) if named.is_none_or(|it| rate < it) => {
                Some(cold::ask(now, self.incarnation, rate, tier))
            }
            _ => named.map(|_| rate_limit::Ask {
                upstream: self.incarnation,
                limit: self.limit,
                tier,
                is_cold: false,
            }),
        }
    }

    /// Returns whether it can run the copy of a request and needs its room for nothing else: a slot is free, it is not cold,
    /// and it has neither a rate limit, a back-off nor an ejection.
    pub fn has_spare_room(&self, now: Time) -> bool {
        let is_limited = self.limit.rate().is_some() || self.cold.rate(now).is_some();
        let is_free = self.company(now) < self.entry.slots && !is_limited;
        let is_healthy = !self.is_ejected(now) && !self.is_ejected_elsewhere(now);
        is_free && is_healthy && !self.backoff.is_active()
    }

    /// Returns the earliest time at which it may have room for a request, which can be in the past.
    pub fn room_at(&self) -> Time {
        let cold_until = self.cold.until().get();
        let permit_at = match self.limit.rate() {
            Some(_) => self.no_permit_until,
            None => self.no_permit_until.min(cold_until),
        };
        self.backoff.end().max(permit_at)
    }

    /// Returns whether it is ejected after a failure, or has sent nothing during answers for too
    /// long.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.health.ejected_until
            || (self.answering > 0 && now.since(self.last_activity.get()) > MAX_SILENCE)
    }

    /// Returns this host's load, or `None` without attempts, ejection, back-off or departure. Other hosts see a back-off as
    /// an ejection, so that they prefer other upstreams and still try this one.
    pub fn local_load(&self, now: Time) -> Option<messages::Load> {
        let min_ejection = if self.is_ejected(now) { MAX_SILENCE } else { Span(0) };
        let ejected = self.health.ejected_until.since(now).max(min_ejection);
        let ejected = ejected.max(self.backoff.time_left(now)).as_ms();
        let load = messages::Load {
            upstream: self.incarnation,
            pending: self.pending_tokens.map(|it| it.min(u64::from(u32::MAX)) as u32),
            running: self.running.min(u32::from(u16::MAX)) as u16,
            ejected_ms: match self.leaves.get() {
                true => messages::Load::LEAVES,
                false => ejected.min(u64::from(messages::Load::LEAVES - 1)) as u16,
            },
        };
        (self.running > 0 || load.ejected_ms > 0).then_some(load)
    }

    /// Replaces the load of all other hosts; `None` means no load.
    pub fn set_remote_load(&mut self, now: Time, load: Option<messages::Load>) {
        self.remote = load.map_or(RemoteLoad::default(), |it| RemoteLoad {
            pending_tokens: it.pending.map(u64::from),
            running: u32::from(it.running),
            received_at: now,
            ejected_until: now + Span::from_ms(u64::from(it.ejected_ms)),
        });
    }

    /// Returns whether another host has ejected it.
    pub fn is_ejected_elsewhere(&self, now: Time) -> bool {
        now < self.remote.ejected_until
    }

    /// Returns the time until an engine can prefill a new request of a tier: the pending prompts of
    /// the same and more urgent tiers, and the delay by running requests.
    pub fn backlog(&self, now: Time, tier: usize) -> Span {
        let own: u64 = self.pending_tokens[..=tier].iter().sum();
        let remote: u64 = self.remote.pending_tokens[..=tier].iter().sum();
        // The engine has prefilled some of the other hosts' tokens since their report.
        let prefilled = now.since(self.remote.received_at).0 as f64 / 1_000.0 * PREFILL_RATE;
        let running = u64::from(self.company(now));
        Span(
            prefill(own + remote.saturating_sub(prefilled as u64)).0 + running * RUNNING_REQUEST_US,
        )
    }

    /// Returns the number of attempts of all hosts that run there, as they know from each other and as it reports.
    pub fn company(&self, now: Time) -> u32 {
        self.heard.company(now, self.running + self.remote.running, self.running)
    }

    /// Returns the slots that are expected to be free on a plain service.
    pub fn free_slots(&self, now: Time) -> f64 {
        let company = match self.heard.last() {
            Some(_) => self.heard.short_company(now),
            None => f64::from(self.company(now)),
        };
        f64::from(self.entry.slots) - company
    }

    /// Returns how many requests it would run beyond its slots with one more.
    pub fn over_slots(&self, now: Time) -> u32 {
        (self.company(now) + 1).saturating_sub(self.entry.slots)
    }

    /// Returns the factor by which times there are longer than expected.
    pub fn slowness(&self, now: Time) -> f64 {
        match self.heard.last() {
            Some(_) => self.lasting.factor(now) * self.heard.work(now),
            None => self.slowdown.factor(now),
        }
    }

    /// Returns the tokens that it is expected to hold for all hosts: this host's own, and those of the others' requests at
    /// the mean size of a request.
    pub fn expected_tokens(&self, now: Time, request_tokens: u64) -> u64 {
        let others = u64::from(self.company(now).saturating_sub(self.running));
        self.held_tokens + others * request_tokens
    }

    /// Returns the time to read the pending prompts of the same and more urgent tiers, as far as they are known to pend. What
    /// the engine has read since the other hosts' reports they may have sent anew.
    pub fn queue(&self, tier: usize) -> Span {
        let own: u64 = self.pending_tokens[..=tier].iter().sum();
        let remote: u64 = self.remote.pending_tokens[..=tier].iter().sum();
        prefill(own + remote)
    }

    /// Whether it runs fewer requests than it has slots, as far as this host knows.
    pub fn has_place(&self, now: Time) -> bool {
        self.company(now) < self.entry.slots
    }

    /// Returns the expected time of a new request to a plain service, by its load.
    pub fn service_wait(&self, now: Time) -> Span {
        let running = self.company(now);
        let over_slots = self.over_slots(now);
        Span(SERVICE_TIME_US + u64::from(running) * 1_000 + u64::from(over_slots) * SERVICE_TIME_US)
    }

    /// Returns the tokens of a prompt behind its cached prefix, which the engine has to prefill.
    pub fn uncached_tokens(&self, now: Time, prompt: &Prompt) -> u64 {
        let cached = prompt.parts.iter().take_while(|part| self.caches(now, part.id));
        let cached: u64 = cached.map(|it| u64::from(it.tokens)).sum();
        u64::from(prompt.tokens).saturating_sub(cached)
    }

    /// Returns whether it caches all parts of a prompt that other requests may share. False if
    /// there are fewer than two.
    pub fn caches_shared_parts(&self, now: Time, prompt: &Prompt) -> bool {
        let shared = prompt.parts.len().saturating_sub(1);
        shared > 1 && prompt.parts[..shared].iter().all(|it| self.caches(now, it.id))
    }

    /// Records that a prompt part was sent there, which the engine caches from then on.
    pub fn record_part(&mut self, now: Time, part: u64) {
        match self.cached_parts.binary_search_by_key(&part, |it| it.0) {
            Ok(at) => self.cached_parts[at].1 = now,
            Err(at) => self.cached_parts.insert(at, (part, now)),
        }
        if self.cached_parts.len() > MAX_PARTS {
            let oldest = self.cached_parts.iter().map(|it| it.1).min();
            self.cached_parts.retain(|it| Some(it.1) != oldest);
        }
    }

    fn caches(&self, now: Time, part: u64) -> bool {
        let found = self.cached_parts.binary_search_by_key(&part, |it| it.0);
        found.is_ok_and(|at| now.since(self.cached_parts[at].1) < PART_LIFETIME)
    }
}

/// Consecutive failures of an upstream and the ejection that follows from them.
#[derive(Debug, Default)]
pub struct Health {
    /// Failures since the last success.
    failures: u32,
    ejected_until: Time,
}

impl Health {
    /// Counts the failure of an attempt and ejects the upstream. Attempts that started before the
    /// end of the last ejection are ignored, as they belong to the failure that caused it.
    pub fn record_failure(&mut self, now: Time, started: Time) {
        if started < self.ejected_until {
            return;
        }
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let period = Span((FIRST_EJECTION.0 << doublings).min(MAX_EJECTION.0));
        self.failures += 1;
        self.ejected_until = now + period;
    }

    /// Resets the failures after an answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}

/// Smoothed ratio of the measured to the expected times to the first byte of an upstream.
#[derive(Debug)]
pub struct Slowdown {
    /// Natural logarithm of the ratio at `updated_at`.
    log_ratio: f64,
    updated_at: Time,
}

impl Default for Slowdown {
    fn default() -> Slowdown {
        Slowdown { log_ratio: 0.0, updated_at: Time(0) }
    }
}

impl Slowdown {
    /// Adds the time to a first byte as a sample.
    pub fn record(&mut self, now: Time, expected: Span, took: Span) {
        let ratio = (took.0 as f64 + SLOWDOWN_OFFSET_US) / (expected.0 as f64 + SLOWDOWN_OFFSET_US);
        let sample = ratio.clamp(SLOWDOWN_SAMPLE_BOUNDS.0, SLOWDOWN_SAMPLE_BOUNDS.1).ln();
        let previous = self.current(now);
        self.log_ratio = previous + SLOWDOWN_GAIN * (sample - previous);
        self.updated_at = now;
    }

    /// Returns the factor by which times are longer than expected; at least one.
    pub fn factor(&self, now: Time) -> f64 {
        self.current(now).exp().max(1.0)
    }

    fn current(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).0 as f64 / SLOWDOWN_HALF_LIFE.0 as f64;
        self.log_ratio * (-age).exp2()
    }
}
