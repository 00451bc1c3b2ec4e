//! What a host knows of one upstream.

use std::{cell::Cell, rc::Rc};

use crate::{
    rendezvous,
    serving::{
        dialect::Prompt,
        messages,
        registry::{Entry, State},
        tier::TIERS,
    },
    time::{Span, Time},
};

/// Prompt tokens that an engine reads in a millisecond; the users' engines read 38 to 41.
const PREFILL_RATE: f64 = 40.0;

/// Time for which an engine is taken to keep a part of a prompt after its last use.
const PART_LIFETIME: Span = Span::from_ms(60_000);

/// Parts of prompts that are remembered of one engine.
const MAX_PARTS: usize = 1_024;

/// Time that a running request takes from others at an engine, in microseconds.
const RUNNING_US: u64 = 300;

/// Time that a request of a plain service takes, in microseconds, before others are known.
const SERVICE_US: u64 = 20_000;

/// Silence in the middle of answers after which an upstream is taken to be away; an engine that reads prompts sends an
/// event each 0.3 s at the latest.
const SILENCE: Span = Span::from_ms(700);

/// First time for which an upstream that failed gets no request.
const FIRST_EJECTION: Span = Span::from_ms(500);

/// Longest time for which an upstream that failed gets no request.
const MAX_EJECTION: Span = Span::from_ms(4_000);

/// Most doublings of the ejection.
const MAX_DOUBLINGS: u32 = 8;

/// Time after which half of what was measured of an upstream's pace is forgotten.
const PACE_HALF_LIFE: Span = Span::from_ms(3_000);

/// Share of a new sample in the pace; larger ones follow single prompts that had to wait.
const PACE_GAIN: f64 = 0.05;

/// Time that is added to expected times, so that short ones do not make an upstream look slow.
const PACE_FLOOR: f64 = 40_000.0;

/// Bounds of a sample of the pace.
const PACE_BOUNDS: (f64, f64) = (0.5, 10.0);

/// Identity of an upstream's life for other hosts.
pub fn incarnation_id(entry: &Entry) -> u64 {
    rendezvous::hash(&[entry.id.as_bytes(), &entry.started_ms.to_be_bytes()])
}

/// Time to read tokens of prompts.
pub fn prefill(tokens: u64) -> Span {
    Span((tokens as f64 / PREFILL_RATE * 1_000.0) as u64)
}

/// An upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// What it says of itself.
    pub entry: Entry,
    /// Identity of its life for other hosts.
    pub tag: u64,
    /// Tokens of prompts that this host sent and that have no first event yet, by priority.
    pub pending: [u64; TIERS],
    /// Attempts of this host without an end.
    pub running: u32,
    /// Attempts of them whose answer has begun.
    pub answering: u32,
    /// When it was last heard of.
    pub heard: Rc<Cell<Time>>,
    /// Its failures.
    pub health: Health,
    /// How slow it is.
    pub pace: Pace,
    foreign: Foreign,
    /// Parts of prompts that were sent there, with the last use. Sorted by part.
    parts: Vec<(u64, Time)>,
}

/// Load from other hosts.
#[derive(Debug, Default, Clone, Copy)]
struct Foreign {
    pending: [u64; TIERS],
    running: u32,
    told: Time,
    shunned_until: Time,
}

impl UpstreamState {
    /// An upstream of which only its entry is known.
    pub fn new(entry: Entry) -> UpstreamState {
        UpstreamState {
            tag: incarnation_id(&entry),
            entry,
            pending: [0; TIERS],
            running: 0,
            answering: 0,
            heard: Rc::new(Cell::new(Time(0))),
            health: Health::default(),
            pace: Pace::default(),
            foreign: Foreign::default(),
            parts: Vec::new(),
        }
    }

    /// Whether it takes requests for a pool.
    pub fn serves(&self, pool: &str) -> bool {
        *self.entry.pool == *pool && self.entry.state == State::Ready
    }

    /// Whether it gets no request now, as it failed or fell silent in the middle of answers.
    pub fn is_shunned(&self, now: Time) -> bool {
        now < self.health.until || (self.answering > 0 && now.since(self.heard.get()) > SILENCE)
    }

    /// Load of this host, if there is anything to tell.
    pub fn load(&self, now: Time) -> Option<messages::Load> {
        let silent = if self.is_shunned(now) { SILENCE } else { Span(0) };
        let shunned = self.health.until.since(now).max(silent).as_ms();
        let load = messages::Load {
            upstream: self.tag,
            pending: self.pending.map(|it| it.min(u64::from(u32::MAX)) as u32),
            running: self.running.min(u32::from(u16::MAX)) as u16,
            ejected_ms: shunned.min(u64::from(u16::MAX)) as u16,
        };
        (self.running > 0 || shunned > 0).then_some(load)
    }

    /// Sets the load of all other hosts.
    pub fn set_foreign(&mut self, now: Time, load: Option<messages::Load>) {
        self.foreign = load.map_or(Foreign::default(), |it| Foreign {
            pending: it.pending.map(u64::from),
            running: u32::from(it.running),
            told: now,
            shunned_until: now + Span::from_ms(u64::from(it.ejected_ms)),
        });
    }

    /// Whether another host shuns it.
    pub fn is_shunned_elsewhere(&self, now: Time) -> bool {
        now < self.foreign.shunned_until
    }

    /// Time until an engine has read what was sent before a new request of a priority.
    pub fn backlog(&self, now: Time, tier: usize) -> Span {
        let own: u64 = self.pending[..=tier].iter().sum();
        let told: u64 = self.foreign.pending[..=tier].iter().sum();
        // The engine goes on reading what others have told of.
        let read = now.since(self.foreign.told).0 as f64 / 1_000.0 * PREFILL_RATE;
        let running = u64::from(self.running + self.foreign.running);
        Span(prefill(own + told.saturating_sub(read as u64)).0 + running * RUNNING_US)
    }

    /// Time that requests of a plain service take from a new one.
    pub fn crowd(&self) -> Span {
        let running = self.running + self.foreign.running;
        let over = (running + 1).saturating_sub(self.entry.slots);
        Span(SERVICE_US + u64::from(running) * 1_000 + u64::from(over) * SERVICE_US)
    }

    /// Tokens of a prompt that the engine has to read.
    pub fn missing(&self, now: Time, prompt: &Prompt) -> u64 {
        let kept = prompt.parts.iter().take_while(|part| self.keeps(now, part.id));
        let kept: u64 = kept.map(|it| u64::from(it.tokens)).sum();
        u64::from(prompt.tokens).saturating_sub(kept)
    }

    /// Whether it keeps all parts of a prompt that other requests may have too, more than the first of them.
    pub fn keeps_shared(&self, now: Time, prompt: &Prompt) -> bool {
        let shared = prompt.parts.len().saturating_sub(1);
        shared > 1 && prompt.parts[..shared].iter().all(|it| self.keeps(now, it.id))
    }

    /// Notes that a part of a prompt was sent there.
    pub fn remember(&mut self, now: Time, part: u64) {
        match self.parts.binary_search_by_key(&part, |it| it.0) {
            Ok(at) => self.parts[at].1 = now,
            Err(at) => self.parts.insert(at, (part, now)),
        }
        if self.parts.len() > MAX_PARTS {
            let oldest = self.parts.iter().map(|it| it.1).min();
            self.parts.retain(|it| Some(it.1) != oldest);
        }
    }

    fn keeps(&self, now: Time, part: u64) -> bool {
        let found = self.parts.binary_search_by_key(&part, |it| it.0);
        found.is_ok_and(|at| now.since(self.parts[at].1) < PART_LIFETIME)
    }
}

/// Failures of an upstream and its way back.
#[derive(Debug, Default)]
pub struct Health {
    /// Failures since the last answer.
    strikes: u32,
    until: Time,
}

impl Health {
    /// Counts a failure of an attempt. Attempts from before the last ejection tell nothing new.
    pub fn fail(&mut self, now: Time, started: Time) {
        if started < self.until {
            return;
        }
        let doublings = self.strikes.min(MAX_DOUBLINGS);
        let period = Span((FIRST_EJECTION.0 << doublings).min(MAX_EJECTION.0));
        self.strikes += 1;
        self.until = now + period;
    }

    /// Counts an answer.
    pub fn succeed(&mut self) {
        self.strikes = 0;
    }
}

/// Ratio of the times that an upstream takes to the expected ones.
#[derive(Debug)]
pub struct Pace {
    /// Natural logarithm of the ratio at `at`.
    log: f64,
    at: Time,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { log: 0.0, at: Time(0) }
    }
}

impl Pace {
    /// Takes in the time to a first byte.
    pub fn observe(&mut self, now: Time, expected: Span, took: Span) {
        let ratio = (took.0 as f64 + PACE_FLOOR) / (expected.0 as f64 + PACE_FLOOR);
        let sample = ratio.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1).ln();
        let known = self.get(now);
        self.log = known + PACE_GAIN * (sample - known);
        self.at = now;
    }

    /// Factor by which times are longer than expected, at least one.
    pub fn factor(&self, now: Time) -> f64 {
        self.get(now).exp().max(1.0)
    }

    fn get(&self, now: Time) -> f64 {
        let age = now.since(self.at).0 as f64 / PACE_HALF_LIFE.0 as f64;
        self.log * (-age).exp2()
    }
}
