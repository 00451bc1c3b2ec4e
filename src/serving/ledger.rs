//! Counts of requests by window, host and customer.
//!
//! A host's counts never fall within a window, so that the same counts may come over several ways and in any order:
//! the largest ones stand.

use std::{collections::BTreeMap, sync::Arc};

use crate::serving::{duties::Counts, messages::WindowCounts};

/// Windows that are kept after their end, for a hub that is new.
const KEPT_WINDOWS: u64 = 4;

/// Counts of one host in a window.
#[derive(Debug, Default)]
struct Sheet {
    counts: BTreeMap<Arc<str>, u64>,
    ended: bool,
    /// Whether the hub has not been told of the last change.
    untold: bool,
}

/// Counts of this host and of others.
#[derive(Debug)]
pub struct Ledger {
    writer: String,
    own: BTreeMap<u64, Sheet>,
    /// Counts of other hosts by window and writer.
    others: BTreeMap<(u64, String), WindowCounts>,
    /// Windows with counts that are not in the store.
    unwritten: Vec<u64>,
    /// Whether this host counts no more.
    closed: bool,
}

impl Ledger {
    /// A ledger of a host under a name that no earlier process of the host had.
    pub fn new(writer: &str) -> Ledger {
        Ledger {
            writer: writer.to_owned(),
            own: BTreeMap::new(),
            others: BTreeMap::new(),
            unwritten: Vec::new(),
            closed: false,
        }
    }

    /// Counts a request of a customer.
    pub fn count(&mut self, window: u64, customer: &Arc<str>) {
        let sheet = self.own.entry(window).or_default();
        *sheet.counts.entry(customer.clone()).or_default() += 1;
        sheet.untold = true;
        self.mark_unwritten(window);
    }

    /// This host counts no more, so that all its windows have ended.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Takes in counts of other hosts.
    pub fn merge(&mut self, counts: Vec<WindowCounts>) {
        for count in counts {
            let (window, key) = (count.window, (count.window, count.writer.clone()));
            let changed = match self.others.get_mut(&key) {
                Some(known) => merge(known, count),
                None => self.others.insert(key, count).is_none(),
            };
            if changed {
                self.mark_unwritten(window);
            }
        }
    }

    /// Counts of this host that its hub was not told, or all of them. `open` is the first window that has not ended.
    ///
    /// A host that stops also tells the counts of others, as it may be the last one that holds them.
    pub fn take_changed(&mut self, open: u64, only_new: bool) -> Vec<WindowCounts> {
        self.advance(open);
        let mut out = Vec::new();
        for (window, sheet) in &mut self.own {
            if std::mem::take(&mut sheet.untold) || !only_new {
                out.push(write(&self.writer, *window, sheet));
            }
        }
        if self.closed {
            out.extend(self.others.values().cloned());
        }
        out
    }

    /// All counts of each window in which some are not in the store.
    pub fn take_unwritten(&mut self, open: u64) -> Vec<(u64, Vec<WindowCounts>)> {
        self.advance(open);
        let windows = std::mem::take(&mut self.unwritten);
        windows.into_iter().map(|it| (it, self.all(it))).collect()
    }

    /// Notes that the counts of a window are not in the store.
    pub fn mark_unwritten(&mut self, window: u64) {
        if let Err(at) = self.unwritten.binary_search(&window) {
            self.unwritten.insert(at, window);
        }
    }

    /// Number of the hosts that have not ended a window, and of all others that counted in it and have not.
    pub fn missing_hosts<'a>(&self, window: u64, hosts: impl Iterator<Item = &'a str>) -> usize {
        let counts = self.all(window);
        let ended = |host: &str| {
            // Names of writers are those of their hosts with a number.
            let own =
                |it: &&WindowCounts| it.writer.rsplit_once('-').is_some_and(|it| it.0 == host);
            counts.iter().filter(own).any(|it| it.ended)
        };
        let silent = hosts.filter(|it| !ended(it)).count();
        silent.max(counts.iter().filter(|it| !it.ended).count())
    }

    /// Sums of a window by customer, sorted by name.
    pub fn sum(&self, window: u64) -> Counts {
        let mut sums: BTreeMap<String, u64> = BTreeMap::new();
        for (customer, count) in self.all(window).into_iter().flat_map(|it| it.counts) {
            *sums.entry(customer).or_default() += count;
        }
        sums.into_iter().collect()
    }

    /// Ends windows and forgets old ones. A host without requests in a window says so too.
    fn advance(&mut self, open: u64) {
        if !self.writer.is_empty() && !self.closed {
            self.own.entry(open).or_default();
        }
        for (window, sheet) in &mut self.own {
            if (*window < open || self.closed) && !sheet.ended {
                sheet.ended = true;
                sheet.untold = true;
                if let Err(at) = self.unwritten.binary_search(window) {
                    self.unwritten.insert(at, *window);
                }
            }
        }
        self.own.retain(|it, _| it + KEPT_WINDOWS >= open);
        self.others.retain(|it, _| it.0 + KEPT_WINDOWS >= open);
    }

    fn all(&self, window: u64) -> Vec<WindowCounts> {
        let own = self.own.get(&window).map(|it| write(&self.writer, window, it));
        let others = self.others.range((window, String::new())..(window + 1, String::new()));
        own.into_iter().chain(others.map(|it| it.1.clone())).collect()
    }
}

fn write(writer: &str, window: u64, sheet: &Sheet) -> WindowCounts {
    let counts = sheet.counts.iter().map(|(name, count)| (name.to_string(), *count));
    WindowCounts { writer: writer.to_owned(), window, ended: sheet.ended, counts: counts.collect() }
}

/// Takes in counts of the same host and window. True if they tell something new.
fn merge(known: &mut WindowCounts, told: WindowCounts) -> bool {
    let mut changed = told.ended && !known.ended;
    known.ended |= told.ended;
    for (customer, count) in told.counts {
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
