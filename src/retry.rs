//! Retry budgets: retries are paid from a share of the successes, per customer and for the whole pool.

use crate::dispatch::CustomerKey;

/// Cost of a retry, in thousandths.
const RETRY_COST: u32 = 1_000;

/// Credit from a success, in thousandths of a retry.
const SUCCESS_CREDIT: u32 = 100;

/// Most credit that a customer can hold.
const MAX_CUSTOMER_CREDIT: u32 = 10 * RETRY_COST;

/// Most credit that the pool can hold.
const MAX_POOL_CREDIT: u32 = 50 * RETRY_COST;

/// Credits of the customers and of the pool.
#[derive(Debug)]
pub struct RetryBudget {
    /// Never above `MAX_POOL_CREDIT`.
    pool: u32,
    /// Sorted by key. Customers that are not listed hold the largest credit.
    customers: Vec<(CustomerKey, u32)>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { pool: MAX_POOL_CREDIT, customers: Vec::new() }
    }
}

impl RetryBudget {
    /// Pays for a retry, if both credits suffice.
    pub fn take(&mut self, customer: CustomerKey) -> bool {
        let pool = self.pool;
        let credit = self.credit(customer);
        if pool < RETRY_COST || *credit < RETRY_COST {
            return false;
        }
        *credit -= RETRY_COST;
        self.pool -= RETRY_COST;
        true
    }

    /// Adds the share that a success earns.
    pub fn record_success(&mut self, customer: CustomerKey) {
        self.add(customer, SUCCESS_CREDIT);
    }

    /// Adds a whole retry, for an attempt that the dispatcher itself stopped.
    pub fn refund(&mut self, customer: CustomerKey) {
        self.add(customer, RETRY_COST);
    }

    fn add(&mut self, customer: CustomerKey, credit: u32) {
        let held = self.credit(customer);
        *held = (*held + credit).min(MAX_CUSTOMER_CREDIT);
        self.pool = (self.pool + credit).min(MAX_POOL_CREDIT);
    }

    fn credit(&mut self, customer: CustomerKey) -> &mut u32 {
        let at = match self.customers.binary_search_by_key(&customer, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                self.customers.insert(at, (customer, MAX_CUSTOMER_CREDIT));
                at
            }
        };
        &mut self.customers[at].1
    }
}
