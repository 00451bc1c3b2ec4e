//! Retry budgets: every success earns a fraction of a retry, for its customer and for the whole pool.

use crate::dispatch::CustomerKey;

/// Credit that a retry costs, in thousandths of a retry.
const RETRY_COST: u32 = 1_000;

/// Credit that a success earns, in thousandths of a retry.
const SUCCESS_CREDIT: u32 = 100;

/// Maximum credit of a customer.
const MAX_CUSTOMER_CREDIT: u32 = 10 * RETRY_COST;

/// Maximum credit of the pool.
const MAX_POOL_CREDIT: u32 = 50 * RETRY_COST;

/// Retry credits of the customers and of the pool.
#[derive(Debug)]
pub struct Budget {
    /// Never above `MAX_POOL_CREDIT`.
    pool: u32,
    /// Sorted by key. A customer that is not listed has the maximum credit.
    customers: Vec<(CustomerKey, u32)>,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { pool: MAX_POOL_CREDIT, customers: Vec::new() }
    }
}

impl Budget {
    /// Takes the cost of a retry from both credits and returns true, or returns false if either is too low.
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

    /// Adds the credit that a success earns.
    pub fn record_success(&mut self, customer: CustomerKey) {
        self.add(customer, SUCCESS_CREDIT);
    }

    /// Adds the credit of one retry, for an attempt that the dispatcher itself stopped.
    pub fn refund(&mut self, customer: CustomerKey) {
        self.add(customer, RETRY_COST);
    }

    fn add(&mut self, customer: CustomerKey, credit: u32) {
        let balance = self.credit(customer);
        *balance = (*balance + credit).min(MAX_CUSTOMER_CREDIT);
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
