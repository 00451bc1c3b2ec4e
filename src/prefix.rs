//! Table of the upstreams that hold prompt prefixes in their caches.
//!
//! The dispatcher's own assignments take precedence because they are recorded immediately and completely. Cache events
//! arrive late, so an eviction that is reported shortly after an assignment happened before it and is ignored.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    dispatch::UpstreamKey,
    time::{Span, Time},
};

/// Maximum number of prefixes in the table.
const MAX_PREFIXES: usize = 16_384;

/// Maximum delay of cache events.
const EVENT_DELAY: Span = Span::from_ms(2_000);

/// Upstream to which a prefix was last assigned.
#[derive(Debug, Clone, Copy)]
struct Holder {
    upstream: UpstreamKey,
    at: Time,
}

/// Bounded map from prefixes to the upstreams that hold them.
#[derive(Debug, Default)]
pub struct Table {
    /// At most `MAX_PREFIXES`.
    holders: BTreeMap<u64, Holder>,
    /// Keys of `holders` by time of assignment, by which they are evicted.
    by_age: BTreeSet<(Time, u64)>,
}

impl Table {
    /// Returns the upstream that most likely holds a prefix.
    pub fn get(&self, prefix: u64) -> Option<UpstreamKey> {
        self.holders.get(&prefix).map(|it| it.upstream)
    }

    /// Records that a request with this prefix was assigned to an upstream. Zero stands for no prefix and is ignored.
    pub fn assign(&mut self, now: Time, prefix: u64, upstream: UpstreamKey) {
        if prefix == 0 {
            return;
        }
        if let Some(old) = self.holders.insert(prefix, Holder { upstream, at: now }) {
            self.by_age.remove(&(old.at, prefix));
        }
        self.by_age.insert((now, prefix));
        if self.holders.len() > MAX_PREFIXES
            && let Some((_, oldest)) = self.by_age.pop_first()
        {
            self.holders.remove(&oldest);
        }
    }

    /// Records a cache event: the upstream stored the prefix (`kept`) or evicted it.
    ///
    /// A stored prefix is recorded only if it is not in the table. An evicted one is removed only if the upstream is its
    /// holder and the assignment is older than `EVENT_DELAY`.
    pub fn record_event(&mut self, now: Time, prefix: u64, upstream: UpstreamKey, kept: bool) {
        let known = self.holders.get(&prefix).copied();
        match known {
            None if kept => self.assign(now, prefix, upstream),
            Some(it) if !kept && it.upstream == upstream && now.since(it.at) > EVENT_DELAY => {
                self.holders.remove(&prefix);
                self.by_age.remove(&(it.at, prefix));
            }
            None | Some(_) => {}
        }
    }
}
