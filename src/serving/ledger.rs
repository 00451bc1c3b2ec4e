//! Counts of requests by usage window, host and customer.
//!
//! A host's counts never decrease within a window. The same counts may therefore arrive several
//! times, over different hosts and in any order; the maximum is kept.

use std::{collections::BTreeMap, sync::Arc};

use crate::serving::{duties::Counts, messages};

/// Windows that are kept after their end, to be sent to a new hub.
const KEPT_WINDOWS: u64 = 4;

/// Counts of this host in one window.
#[derive(Debug, Default)]
struct OwnCounts {
    counts: BTreeMap<Arc<str>, u64>,
    /// Whether the counts are final.
    ended: bool,
    /// Whether the last change has not been sent to the hub.
    unsent: bool,
}

/// Counts of this host and of other hosts.
#[derive(Debug)]
pub struct Ledger {
    /// Name under which this process writes its counts; empty for a ledger that only sums up.
    writer: String,
    /// Counts of this host by window.
    own: BTreeMap<u64, OwnCounts>,
    /// Counts of other hosts by window and writer.
    others: BTreeMap<(u64, String), messages::Counts>,
    /// Windows with counts that are not in the store, ascending.
    unwritten: Vec<u64>,
    /// Whether this host has stopped counting.
    closed: bool,
}

impl Ledger {
    /// Creates the ledger of a host. No earlier process of the host may have used the writer name.
    /// An empty name makes a ledger that only holds the counts of others.
    pub fn new(writer: &str) -> Ledger {
        Ledger {
            writer: writer.to_owned(),
            own: BTreeMap::new(),
            others: BTreeMap::new(),
            unwritten: Vec::new(),
            closed: false,
        }
    }

    /// Counts one request of a customer.
    pub fn count(&mut self, window: u64, customer: &Arc<str>) {
        let own = self.own.entry(window).or_default();
        *own.counts.entry(customer.clone()).or_default() += 1;
        own.unsent = true;
        self.mark_unwritten(window);
    }

    /// Ends all of this host's windows, as it counts no further requests.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Merges counts of other hosts.
    pub fn merge(&mut self, counts: Vec<messages::Counts>) {
        for count in counts {
            let (window, key) = (count.window, (count.window, count.writer.clone()));
            let changed = match self.others.get_mut(&key) {
                Some(known) => merge_counts(known, count),
                None => self.others.insert(key, count).is_none(),
            };
            if changed {
                self.mark_unwritten(window);
            }
        }
    }

    /// Returns this host's counts to send to its hub: those that changed since the last call if
    /// `only_new`, otherwise all. `open_window` is the first window that has not ended.
    ///
    /// After [`Ledger::close`] the counts of other hosts are included, as this host may be the last
    /// one that holds them.
    pub fn take_changed(&mut self, open_window: u64, only_new: bool) -> Vec<messages::Counts> {
        self.end_windows(open_window);
        let mut out = Vec::new();
        for (window, own) in &mut self.own {
            if std::mem::take(&mut own.unsent) || !only_new {
                out.push(to_window_counts(&self.writer, *window, own));
            }
        }
        if self.closed {
            out.extend(self.others.values().cloned());
        }
        out
    }

    /// Returns all counts of each window that has counts to write to the store. The caller must
    /// mark those that it could not write.
    pub fn take_unwritten(&mut self, open_window: u64) -> Vec<(u64, Vec<messages::Counts>)> {
        self.end_windows(open_window);
        let windows = std::mem::take(&mut self.unwritten);
        windows.into_iter().map(|it| (it, self.all_counts(it))).collect()
    }

    /// Marks all windows as having counts that are not in the store.
    pub fn mark_all_unwritten(&mut self) {
        let windows: Vec<_> =
            self.own.keys().copied().chain(self.others.keys().map(|it| it.0)).collect();
        windows.into_iter().for_each(|it| self.mark_unwritten(it));
    }

    /// Marks a window as having counts that are not in the store.
    pub fn mark_unwritten(&mut self, window: u64) {
        if let Err(at) = self.unwritten.binary_search(&window) {
            self.unwritten.insert(at, window);
        }
    }

    /// Returns how many hosts have not ended a window: those among `hosts`, or the writers whose
    /// counts in the window are not final, whichever are more.
    pub fn missing_hosts<'a>(&self, window: u64, hosts: impl Iterator<Item = &'a str>) -> usize {
        let counts = self.all_counts(window);
        let ended = |host: &str| {
            // A writer name is the host id, a hyphen and a number.
            let own =
                |it: &&messages::Counts| it.writer.rsplit_once('-').is_some_and(|it| it.0 == host);
            counts.iter().filter(own).any(|it| it.ended)
        };
        let missing = hosts.filter(|it| !ended(it)).count();
        missing.max(counts.iter().filter(|it| !it.ended).count())
    }

    /// Returns the requests of a window by customer, sorted by name.
    pub fn sum(&self, window: u64) -> Counts {
        let mut sums: BTreeMap<String, u64> = BTreeMap::new();
        for (customer, count) in self.all_counts(window).into_iter().flat_map(|it| it.counts) {
            *sums.entry(customer).or_default() += count;
        }
        sums.into_iter().collect()
    }

    /// Ends the windows before `open_window` and removes old ones. A host without requests in a
    /// window also adds its empty counts, so that it is not missing.
    fn end_windows(&mut self, open_window: u64) {
        if !self.writer.is_empty() && !self.closed {
            self.own.entry(open_window).or_default();
        }
        for (window, own) in &mut self.own {
            if (*window < open_window || self.closed) && !own.ended {
                own.ended = true;
                own.unsent = true;
                if let Err(at) = self.unwritten.binary_search(window) {
                    self.unwritten.insert(at, *window);
                }
            }
        }
        self.own.retain(|it, _| it + KEPT_WINDOWS >= open_window);
        self.others.retain(|it, _| it.0 + KEPT_WINDOWS >= open_window);
    }

    fn all_counts(&self, window: u64) -> Vec<messages::Counts> {
        let own = self.own.get(&window).map(|it| to_window_counts(&self.writer, window, it));
        let others = self.others.range((window, String::new())..(window + 1, String::new()));
        own.into_iter().chain(others.map(|it| it.1.clone())).collect()
    }
}

fn to_window_counts(writer: &str, window: u64, own: &OwnCounts) -> messages::Counts {
    let counts = own.counts.iter().map(|(name, count)| (name.to_string(), *count));
    messages::Counts {
        writer: writer.to_owned(),
        window,
        ended: own.ended,
        counts: counts.collect(),
    }
}

/// Merges counts of the same host and window. Returns whether they changed the known ones.
fn merge_counts(known: &mut messages::Counts, received: messages::Counts) -> bool {
    let mut changed = received.ended && !known.ended;
    known.ended |= received.ended;
    for (customer, count) in received.counts {
        match known.counts.binary_search_by(|it| it.0.cmp(&customer)) {
            Ok(at) => {
                changed |= count > known.counts[at].1;
                known.counts[at].1 = known.counts[at].1.max(count);
            }
            Err(at) => {
                changed = true;
                known.counts.insert(at, (customer, count));
            }
        }
    }
    changed
}
