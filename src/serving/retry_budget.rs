//! How often requests may be sent again, by pool, so that all hosts together stay within the common budget.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
};

use crate::time::{Span, Time};

/// Bound on repeats that all hosts share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Length of the sliding window.
    pub window: Span,
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats beyond the ratio, of all hosts together.
    pub allowance: f64,
}

/// Repeats and requests of one pool at this host.
#[derive(Debug, Default)]
struct Ledger {
    /// Times within the window, the oldest first.
    requests: VecDeque<Time>,
    /// As `requests`.
    repeats: VecDeque<Time>,
}

impl Ledger {
    fn forget_until(&mut self, start: Time) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|it| *it <= start) {
                times.pop_front();
            }
        }
    }
}

/// The budget of one host; clones share it.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    terms: RetryBudgetConfig,
    /// Hosts that share the allowance.
    hosts: Rc<Cell<usize>>,
    ledgers: Rc<RefCell<Ledgers>>,
}

/// Sorted by pool.
type Ledgers = Vec<(Arc<str>, Ledger)>;

impl RetryBudget {
    /// A budget of which each of the hosts has the same part.
    pub fn new(terms: RetryBudgetConfig) -> RetryBudget {
        RetryBudget { terms, hosts: Rc::new(Cell::new(FEWEST_HOSTS)), ledgers: Rc::default() }
    }

    /// Sets the number of hosts that are registered.
    pub fn set_hosts(&self, hosts: usize) {
        // Hosts that left may have used their part within the window.
        let known = self.hosts.get().max(hosts);
        self.hosts.set(known);
    }

    /// Counts a request.
    pub fn record_request(&self, pool: &Arc<str>) {
        let now = Time::now();
        let start = now - self.terms.window;
        self.with(pool, |ledger| {
            ledger.forget_until(start);
            ledger.requests.push_back(now);
        });
    }

    /// Takes a repeat from the budget, if there is one left.
    pub fn try_retry(&self, pool: &Arc<str>) -> bool {
        let now = Time::now();
        let RetryBudgetConfig { window, ratio, allowance } = self.terms;
        let share = allowance / self.hosts.get() as f64;
        self.with(pool, |ledger| {
            let start = now - window;
            ledger.forget_until(start);
            let granted = ledger.repeats.len() as f64 + 1.0
                <= ledger.requests.len() as f64 * ratio * RATIO_PART + share * ALLOWANCE_PART;
            if granted {
                ledger.repeats.push_back(now);
            }
            granted
        })
    }

    fn with<T>(&self, pool: &Arc<str>, change: impl FnOnce(&mut Ledger) -> T) -> T {
        let mut ledgers = self.ledgers.borrow_mut();
        let at = match ledgers.binary_search_by(|it| it.0.cmp(pool)) {
            Ok(found) => found,
            Err(at) => {
                ledgers.insert(at, (pool.clone(), Ledger::default()));
                at
            }
        };
        change(&mut ledgers[at].1)
    }
}

/// Hosts among which the allowance is divided at least, until they are counted.
const FEWEST_HOSTS: usize = 6;

/// Part of the ratio that is used, as requests may be counted in another window than their repeats.
const RATIO_PART: f64 = 0.8;

/// Part of the allowance that is used, as hosts may come that are not known here.
const ALLOWANCE_PART: f64 = 0.7;
