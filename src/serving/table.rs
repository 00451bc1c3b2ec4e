//! One version of the configuration in the form that the request path reads: routes, pools,
//! customers and limits.

use std::sync::Arc;

use crate::{
    credential::Digest,
    serving::{rate_limit::Rate, stream_origin::StreamKey},
};

/// How often upstreams may run one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// At most once; retries only while no upstream may have run it.
    Never,
    /// Up to the route's maximum of attempts.
    Always,
    /// As `Always`. A stream may also continue on another upstream after the last event that was
    /// passed on.
    Resume,
}

/// One destination of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Destination {
    /// Name of the pool that runs the requests.
    pub pool: Arc<str>,
    /// Share of the route's requests, relative to the weights of its other destinations.
    pub weight: u32,
}

/// Selects the pool of a stream among destinations, in proportion to their weights. Each host selects the same one for
/// the same key.
pub fn select(destinations: &[Destination], key: StreamKey) -> Option<&Arc<str>> {
    let total: u64 = destinations.iter().map(|it| u64::from(it.weight)).sum();
    let mut at = ((u128::from(key.0) * u128::from(total)) >> 64) as u64;
    for destination in destinations {
        let weight = u64::from(destination.weight);
        if at < weight {
            return Some(&destination.pool);
        }
        at -= weight;
    }
    destinations.last().map(|it| &it.pool)
}

/// Rules for requests to one host name with one path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Unique among the routes.
    pub name: Arc<str>,
    /// Host name of the requests, in lower case.
    pub host: String,
    /// Prefix of the path, compared by bytes.
    pub prefix: String,
    /// How often upstreams may run one request.
    pub retry_policy: RetryPolicy,
    /// Whether successful answers are streams of events.
    pub stream: bool,
    /// Timeout for the whole answer, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the time to the first byte or event, in milliseconds.
    pub target_ms: u64,
    /// Target for the longest gap between events of a stream, in milliseconds; `None` without one.
    pub max_gap_ms: Option<u64>,
    /// Priority, zero first.
    pub priority: u8,
    /// Upstreams that may run one request, including the first.
    pub max_attempts: u32,
    /// Whether requests need no key, even if customers have keys.
    pub public: bool,
    /// Pools between which requests are split by weight; at least one.
    pub destinations: Vec<Destination>,
}

/// Capacity of each inference engine of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Size of the KV cache in tokens.
    pub kv_tokens: u64,
}

/// Limits and prices for scaling a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Scaling {
    /// Minimum per availability zone, spot and regular upstreams together.
    pub min: u32,
    /// Maximum per availability zone, spot and regular upstreams together.
    pub max: u32,
    /// Time from an order to the first request, in milliseconds.
    pub boot_ms: u64,
    /// Price of a spot upstream, which the platform may reclaim, relative to a regular one.
    pub spot_price_ratio: f64,
    /// Price of an upstream per second by availability zone, sorted by zone.
    pub prices: Vec<(String, f64)>,
}

/// Interchangeable upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Unique among the pools.
    pub name: Arc<str>,
    /// Connections that one upstream accepts from all hosts together.
    pub connections: u32,
    /// `None` if the upstreams are not inference engines.
    pub engine: Option<Engine>,
    /// `None` if this system does not scale the pool.
    pub scaling: Option<Scaling>,
    /// Requests per second that an upstream takes from all hosts together while it is cold, `None` if it takes any number.
    pub cold_rate: Option<Rate>,
}

/// A customer, identified by the keys of its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Unique among the customers.
    pub name: Arc<str>,
    /// Priority of its requests, which takes precedence over that of their routes; zero first.
    pub priority: Option<u8>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a caller must send the head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout_ms: 10_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Index of a route in [`Table::routes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteIndex(u32);

/// One version of the configuration, sorted for look-ups.
#[derive(Debug, Default)]
pub struct Table {
    /// Version number that the operator assigned.
    pub version: u64,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Sorted by host and prefix.
    routes: Vec<Arc<Route>>,
    /// Sorted by name.
    pools: Vec<Arc<Pool>>,
    /// Customers by the digests of their keys, sorted by digest.
    keys: Vec<(Digest, Arc<Customer>)>,
    /// Whether the version has keys at all.
    keyed: bool,
}

/// Contents of a [`Table`] before it is built.
#[derive(Debug, Default)]
pub struct Parts {
    /// Version number that the operator assigned.
    pub version: u64,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Pools in any order.
    pub pools: Vec<Pool>,
    /// Customers with the digests of their keys; `None` if requests carry no keys.
    pub customers: Option<Vec<(Customer, Vec<Digest>)>>,
}

impl Table {
    /// Builds the table of a version.
    pub fn build(parts: Parts) -> Table {
        let Parts { version, limits, routes, pools, customers } = parts;
        let mut routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let mut pools: Vec<_> = pools.into_iter().map(Arc::new).collect();
        pools.sort_by(|a, b| a.name.cmp(&b.name));
        let keyed = customers.is_some();
        let mut keys = Vec::new();
        for (customer, digests) in customers.into_iter().flatten() {
            let customer = Arc::new(customer);
            keys.extend(digests.into_iter().map(|it| (it, customer.clone())));
        }
        keys.sort_by_key(|it| it.0);
        Table { version, limits, routes, pools, keys, keyed }
    }

    /// Returns the route of the host name with the longest prefix of the path, or `None` if no
    /// route has a prefix of it. `host` must be in lower case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let first = self.routes.partition_point(|it| it.host.as_str() < host);
        let count = self.routes[first..].partition_point(|it| it.host == host);
        let routes = &self.routes[first..first + count];
        let mut path = path.as_bytes();
        loop {
            // Prefixes of the path sort at or before it, the longest one last.
            let end = routes.partition_point(|it| it.prefix.as_bytes() <= path);
            let route = routes.get(end.checked_sub(1)?)?;
            let prefix = route.prefix.as_bytes();
            let common = prefix.iter().zip(path).take_while(|(a, b)| a == b).count();
            if common == prefix.len() {
                return Some(route);
            }
            path = &path[..common];
        }
    }

    /// Returns the pool with a name.
    pub fn pool(&self, name: &str) -> Option<&Arc<Pool>> {
        let found = self.pools.binary_search_by(|it| (*it.name).cmp(name)).ok()?;
        Some(&self.pools[found])
    }

    /// Returns all pools, sorted by name.
    pub fn pools(&self) -> &[Arc<Pool>] {
        &self.pools
    }

    /// Returns all routes, sorted by host name and prefix.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Returns the customer of a key by the digest of the key.
    pub fn customer(&self, key: &Digest) -> Option<&Arc<Customer>> {
        let found = self.keys.binary_search_by(|it| it.0.cmp(key)).ok()?;
        Some(&self.keys[found].1)
    }

    /// Returns whether requests on routes that are not public need a key.
    pub fn requires_keys(&self) -> bool {
        self.keyed
    }
}
