//! The prefix cache and its events.

use std::collections::VecDeque;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use serde::Serialize;
use sha2::{Digest as _, Sha256};

/// Bytes of a prompt that make its prefix.
const PREFIX_BYTES: usize = 64;

/// Events kept for readers.
const MAX_EVENTS: usize = 10_000;

/// One change of the cache.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Event {
    prefix: String,
    kept: bool,
}

#[derive(Debug)]
struct Logged {
    number: u64,
    at_ms: u64,
    event: Event,
}

/// Prefixes in the order of their last use.
#[derive(Debug)]
pub(super) struct Cache {
    prefixes: VecDeque<String>,
    limit: usize,
    events: VecDeque<Logged>,
    next: u64,
    random: SmallRng,
}

impl Cache {
    pub(super) fn new(limit: usize, seed: u64) -> Cache {
        Cache {
            prefixes: VecDeque::new(),
            limit,
            events: VecDeque::new(),
            next: 1,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Uses a prompt's prefix; true if it was in the cache. A share of the events is left out.
    pub(super) fn hit(&mut self, prompt: &str, now_ms: u64, gap_per_mille: u32) -> bool {
        let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let prefix: String =
            Sha256::digest(start).iter().take(16).map(|it| format!("{it:02x}")).collect();
        let place = self.prefixes.iter().position(|it| *it == prefix);
        if let Some(place) = place {
            self.prefixes.remove(place);
        } else {
            self.log(Event { prefix: prefix.clone(), kept: true }, now_ms, gap_per_mille);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > self.limit
            && let Some(prefix) = self.prefixes.pop_front()
        {
            self.log(Event { prefix, kept: false }, now_ms, gap_per_mille);
        }
        place.is_some()
    }

    pub(super) fn clear(&mut self) {
        self.prefixes.clear();
    }

    fn log(&mut self, event: Event, at_ms: u64, gap_per_mille: u32) {
        let number = self.next;
        self.next += 1;
        if self.random.random_range(0..1_000) < gap_per_mille {
            return;
        }
        self.events.push_back(Logged { number, at_ms, event });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events after a number that happened up to a time, and the number to ask after next.
    pub(super) fn events(&self, after: u64, until_ms: u64) -> (u64, Vec<Event>) {
        let seen = self.events.iter().filter(|it| it.number > after && it.at_ms <= until_ms);
        let next = seen.clone().map(|it| it.number).max().unwrap_or(after);
        (next, seen.map(|it| it.event.clone()).collect())
    }
}
