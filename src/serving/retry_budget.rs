//! Limits retries by pool, so that all hosts together stay within a shared budget.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
};

use crate::time::{Span, Time};

/// Limit on the retries of all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Length of the sliding window.
    pub window: Span,
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond the ratio, of all hosts together.
    pub allowance: f64,
}

/// Requests and retries of one pool on this host.
#[derive(Debug, Default)]
struct PoolHistory {
    /// Times within the window, oldest first.
    requests: VecDeque<Time>,
    /// Times within the window, oldest first.
    retries: VecDeque<Time>,
}

impl PoolHistory {
    fn remove_until(&mut self, start: Time) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|it| *it <= start) {
                times.pop_front();
            }
        }
    }
}

/// One host's part of the budget; clones share it.
#[derive(Debug, Clone)]
pub struct Budget {
    config: Limits,
    /// Hosts among which the allowance is divided.
    hosts: Rc<Cell<usize>>,
    histories: Rc<RefCell<PoolHistories>>,
}

/// Histories by pool, sorted by name.
type PoolHistories = Vec<(Arc<str>, PoolHistory)>;

impl Budget {
    /// Creates the budget of one host. All hosts have the same part of the allowance.
    pub fn new(config: Limits) -> Budget {
        Budget { config, hosts: Rc::new(Cell::new(MIN_HOSTS)), histories: Rc::default() }
    }

    /// Updates the number of registered hosts. Only increases have an effect.
    pub fn set_hosts(&self, hosts: usize) {
        // Hosts that have left may have used their part within the window.
        let known = self.hosts.get().max(hosts);
        self.hosts.set(known);
    }

    /// Records a request, which adds to the retries that the pool may use.
    pub fn record_request(&self, pool: &Arc<str>) {
        let now = Time::now();
        let start = now - self.config.window;
        self.update(pool, |history| {
            history.remove_until(start);
            history.requests.push_back(now);
        });
    }

    /// Takes a retry from the budget of a pool. Returns false if none is left.
    pub fn try_retry(&self, pool: &Arc<str>) -> bool {
        let now = Time::now();
        let Limits { window, ratio, allowance } = self.config;
        let share = allowance / self.hosts.get() as f64;
        self.update(pool, |history| {
            let start = now - window;
            history.remove_until(start);
            let granted = history.retries.len() as f64 + 1.0
                <= history.requests.len() as f64 * ratio * RATIO_MARGIN + share * ALLOWANCE_MARGIN;
            if granted {
                history.retries.push_back(now);
            }
            granted
        })
    }

    fn update<T>(&self, pool: &Arc<str>, change: impl FnOnce(&mut PoolHistory) -> T) -> T {
        let mut histories = self.histories.borrow_mut();
        let at = match histories.binary_search_by(|it| it.0.cmp(pool)) {
            Ok(found) => found,
            Err(at) => {
                histories.insert(at, (pool.clone(), PoolHistory::default()));
                at
            }
        };
        change(&mut histories[at].1)
    }
}

/// Minimum number of hosts among which the allowance is divided, as hosts may not be counted yet.
const MIN_HOSTS: usize = 6;

/// Used part of the ratio, as requests may fall into another window than their retries.
const RATIO_MARGIN: f64 = 0.8;

/// Used part of the allowance, as hosts may start that are not known here yet.
const ALLOWANCE_MARGIN: f64 = 0.7;
