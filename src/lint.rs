//! Review of a configuration for entries that can never match and limits that contradict each other.
//!
//! Validation refuses records that cannot be served. A review reports records that are valid and can hardly be meant.

use serde::Serialize;

use crate::{
    config::permitted,
    record::{Class, Customer, Key, Pool, Record, Role, Route, Target},
};

/// Seconds in a minute.
const MINUTE_S: u64 = 60;

/// Thousandths in a whole.
const WHOLE_PER_MILLE: u32 = 1_000;

/// What is wrong with an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Category {
    /// No request can ever match or use the entry.
    Unreachable,
    /// Two limits cannot both take effect.
    Contradiction,
}

/// One entry that is valid and can hardly be meant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// What is wrong.
    pub category: Category,
    /// Kind and name of the record, joined by `/`.
    pub record: String,
    /// Field, empty if the record as a whole is meant.
    pub field: String,
    /// Why.
    pub reason: String,
}

/// Reviews the records of a valid configuration at a wall-clock time in milliseconds. Returns the findings sorted.
pub fn review<'a>(records: impl IntoIterator<Item = &'a Record>, now_ms: u64) -> Vec<Finding> {
    let mut review = Review { now_ms, ..Review::default() };
    for record in records {
        match record {
            Record::Customer(it) => review.customers.push(it),
            Record::Key(it) => review.keys.push(it),
            Record::Class(it) => review.classes.push(it),
            Record::Route(it) => review.routes.push(it),
            Record::Pool(it) => review.pools.push(it),
        }
    }
    review.classes.sort_by(|a, b| a.name.cmp(&b.name));
    review.pools.sort_by(|a, b| a.name.cmp(&b.name));
    review.check_routes();
    review.check_customers();
    review.check_keys();
    review.check_classes();
    review.check_pools();
    review.findings.sort();
    review.findings
}

#[derive(Debug, Default)]
struct Review<'a> {
    now_ms: u64,
    customers: Vec<&'a Customer>,
    keys: Vec<&'a Key>,
    /// Sorted by name.
    classes: Vec<&'a Class>,
    routes: Vec<&'a Route>,
    /// Sorted by name.
    pools: Vec<&'a Pool>,
    findings: Vec<Finding>,
}

impl<'a> Review<'a> {
    fn report(
        &mut self,
        category: Category,
        (kind, name): (&str, &str),
        field: &str,
        reason: String,
    ) {
        let record = format!("{kind}/{name}");
        self.findings.push(Finding { category, record, field: field.to_owned(), reason });
    }

    fn unreachable(&mut self, place: (&str, &str), field: &str, reason: impl Into<String>) {
        self.report(Category::Unreachable, place, field, reason.into());
    }

    fn contradiction(&mut self, place: (&str, &str), field: &str, reason: impl Into<String>) {
        self.report(Category::Contradiction, place, field, reason.into());
    }

    fn class(&self, name: &str) -> Option<&'a Class> {
        let found = self.classes.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        Some(self.classes[found])
    }

    fn pool(&self, name: &str) -> Option<&'a Pool> {
        let found = self.pools.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        Some(self.pools[found])
    }

    fn is_usable(&self, key: &Key) -> bool {
        !key.withdrawn && key.expires_ms.is_none_or(|end| self.now_ms < end)
    }

    /// Whether a caller's key of one of the customers can be used.
    fn has_key(&self, mut is_customer: impl FnMut(&str) -> bool) -> bool {
        let mut keys = self.keys.iter().filter(|it| it.role == Role::Caller && self.is_usable(it));
        keys.any(|it| it.customer.as_deref().is_some_and(&mut is_customer))
    }

    fn check_routes(&mut self) {
        for route in std::mem::take(&mut self.routes) {
            self.check_reach(route);
            self.check_times(route);
            self.routes.push(route);
        }
    }

    fn check_reach(&mut self, route: &Route) {
        let place = ("route", route.name.as_str());
        if !route.open && !self.has_key(|it| permitted(route, Some(it))) {
            let who =
                if route.customers.is_empty() { "no customer" } else { "none of its customers" };
            self.unreachable(place, "customers", format!("{who} has a key that can be used"));
        }
        if self.pool(&route.pool).is_some_and(|it| it.max_per_zone == 0) {
            let reason = format!("pool/{} has no upstreams, as its max_per_zone is 0", route.pool);
            self.unreachable(place, "pool", reason);
        }
        if let Target::Prefix(prefix) = &route.target
            && prefix.split('/').any(|it| it == "." || it == "..")
        {
            let reason = "clients resolve the segments . and .. before they send a path";
            self.unreachable(place, "target", reason);
        }
    }

    fn check_times(&mut self, route: &Route) {
        let Some(class) = self.class(&route.class) else { return };
        let place = ("route", route.name.as_str());
        let timeout = route.timeout_ms;
        if timeout <= class.first_token_ms {
            let reason = format!(
                "a request ends at {timeout} ms, but class/{} has until {} ms for the first token",
                class.name, class.first_token_ms
            );
            self.contradiction(place, "timeout_ms", reason);
        }
        if timeout <= class.max_wait_ms {
            let reason = format!(
                "a request ends at {timeout} ms, but class/{} lets it wait for {} ms",
                class.name, class.max_wait_ms
            );
            self.contradiction(place, "timeout_ms", reason);
        }
    }

    fn check_customers(&mut self) {
        for customer in std::mem::take(&mut self.customers) {
            let place = ("customer", customer.name.as_str());
            if !self.has_key(|it| it == customer.name) {
                self.unreachable(place, "", "it has no key that can be used");
            } else if !self.routes.iter().any(|it| permitted(it, Some(&customer.name))) {
                self.unreachable(place, "", "no route admits it");
            }
            if let (Some(requests), Some(tokens)) =
                (customer.requests_per_second, customer.tokens_per_minute)
                && tokens < u64::from(requests) * MINUTE_S
            {
                let reason = format!(
                    "{tokens} tokens a minute do not suffice for {requests} requests a second of one token each"
                );
                self.contradiction(place, "tokens_per_minute", reason);
            }
        }
    }

    fn check_keys(&mut self) {
        for key in std::mem::take(&mut self.keys) {
            // A withdrawn key stays in the configuration on purpose.
            if !key.withdrawn && !self.is_usable(key) {
                self.unreachable(("key", &key.name), "expires_ms", "its validity has ended");
            }
        }
    }

    fn check_classes(&mut self) {
        for class in std::mem::take(&mut self.classes) {
            let place = ("class", class.name.as_str());
            if !self.routes.iter().any(|it| it.class == class.name) {
                self.unreachable(place, "", "no route has it");
            }
            if class.max_wait_ms > class.first_token_ms {
                let reason = format!(
                    "a request may wait for {} ms, longer than the target of {} ms for its first token",
                    class.max_wait_ms, class.first_token_ms
                );
                self.contradiction(place, "max_wait_ms", reason);
            }
        }
    }

    fn check_pools(&mut self) {
        for pool in std::mem::take(&mut self.pools) {
            let place = ("pool", pool.name.as_str());
            let routes: Vec<_> =
                self.routes.iter().copied().filter(|it| it.pool == pool.name).collect();
            if routes.is_empty() {
                self.unreachable(place, "", "no route leads to it");
            }
            let is_routed = |model: &str| {
                routes.iter().any(|it| matches!(&it.target, Target::Model(name) if name == model))
            };
            for model in pool.models.iter().filter(|it| !routes.is_empty() && !is_routed(it)) {
                self.unreachable(place, "models", format!("no route leads to its model {model}"));
            }
            if pool.kv_tokens > 0 && pool.kv_tokens < u64::from(pool.slots) {
                let reason = format!(
                    "{} tokens do not suffice for {} slots of one token each",
                    pool.kv_tokens, pool.slots
                );
                self.contradiction(place, "kv_tokens", reason);
            }
            if pool.min_per_zone > 0 && pool.cheap_per_mille == WHOLE_PER_MILLE {
                let reason = format!(
                    "all upstreams may be reclaimed at once, but {} a zone are to stay",
                    pool.min_per_zone
                );
                self.contradiction(place, "cheap_per_mille", reason);
            }
        }
    }
}
