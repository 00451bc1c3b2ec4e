//! Which upstream holds which prompt prefix in its cache.
//!
//! Own assignments come first: they are known at once and without gaps. Cache events are late, so a drop that arrives
//! shortly after an assignment describes the time before it and is ignored.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    dispatch::UpstreamKey,
    time::{Span, Time},
};

/// Largest number of prefixes remembered.
const MAX_PREFIXES: usize = 16_384;

/// Largest delay of cache events.
const EVENT_DELAY: Span = Span::from_ms(2_000);

/// The upstream that last took a prefix.
#[derive(Debug, Clone, Copy)]
struct Holder {
    upstream: UpstreamKey,
    at: Time,
}

/// Table from prefix to holder.
#[derive(Debug, Default)]
pub struct PrefixTable {
    /// At most `MAX_PREFIXES`.
    holders: BTreeMap<u64, Holder>,
    /// The same prefixes by age.
    ages: BTreeSet<(Time, u64)>,
}

impl PrefixTable {
    /// Upstream that most likely holds a prefix.
    pub fn get(&self, prefix: u64) -> Option<UpstreamKey> {
        self.holders.get(&prefix).map(|it| it.upstream)
    }

    /// Records an assignment.
    pub fn assign(&mut self, now: Time, prefix: u64, upstream: UpstreamKey) {
        if prefix == 0 {
            return;
        }
        if let Some(old) = self.holders.insert(prefix, Holder { upstream, at: now }) {
            self.ages.remove(&(old.at, prefix));
        }
        self.ages.insert((now, prefix));
        if self.holders.len() > MAX_PREFIXES
            && let Some((_, oldest)) = self.ages.pop_first()
        {
            self.holders.remove(&oldest);
        }
    }

    /// Takes in a cache event. It never replaces a newer assignment.
    pub fn report(&mut self, now: Time, prefix: u64, upstream: UpstreamKey, kept: bool) {
        let known = self.holders.get(&prefix).copied();
        match known {
            None if kept => self.assign(now, prefix, upstream),
            Some(it) if !kept && it.upstream == upstream && now.since(it.at) > EVENT_DELAY => {
                self.holders.remove(&prefix);
                self.ages.remove(&(it.at, prefix));
            }
            None | Some(_) => {}
        }
    }
}
