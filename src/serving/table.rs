//! The configuration as the request path uses it: routes, pools, customers and limits of one version.

use std::sync::Arc;

use crate::credential::Digest;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// At most once.
    Never,
    /// Any number of times.
    Always,
    /// A stream, which another upstream may continue after the last event that was passed on.
    Resume,
}

/// One destination of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Destination {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Share of the route's requests, relative to the other destinations.
    pub weight: u32,
}

/// Requests of one path prefix on one name.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Lower-case host name that callers ask for.
    pub host: String,
    /// Start of the paths that the route takes.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub retry_policy: RetryPolicy,
    /// Whether answers are streams of events.
    pub stream: bool,
    /// Longest time to the last byte, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the first byte or event, in milliseconds.
    pub target_ms: u64,
    /// Longest gap between events of a stream that is still on time, in milliseconds.
    pub max_gap_ms: Option<u64>,
    /// Priority, zero first.
    pub tier: u8,
    /// Upstreams that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// At least one destination.
    pub destinations: Vec<Destination>,
}

/// What inference engines of a pool have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// KV memory in tokens.
    pub kv_tokens: u64,
}

/// How many upstreams of a pool may be ordered.
#[derive(Debug, Clone, PartialEq)]
pub struct Scaling {
    /// Fewest per availability zone, of both kinds together.
    pub min: u32,
    /// Most per availability zone, of both kinds together.
    pub max: u32,
    /// Time from an order to the first request, in milliseconds.
    pub boot_ms: u64,
    /// Price of a reclaimable upstream relative to a regular one.
    pub spot_price_ratio: f64,
    /// Price of an upstream-second by availability zone, sorted by name.
    pub prices: Vec<(String, f64)>,
}

/// Upstreams that can stand in for each other.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Unique name.
    pub name: Arc<str>,
    /// Connections that one upstream accepts from all hosts together.
    pub connections: u32,
    /// Present if the upstreams are inference engines.
    pub engine: Option<Engine>,
    /// Present if upstreams are ordered by this system.
    pub scaling: Option<Scaling>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Unique name.
    pub name: Arc<str>,
    /// Priority of all its requests, in place of their routes'.
    pub tier: Option<u8>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Time to send the head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time for which a connection may be idle, in milliseconds.
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

/// Index of a route in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteIndex(u32);

/// One version of the configuration, compiled for look-ups.
#[derive(Debug, Default)]
pub struct Table {
    /// Number that the operator gave the version.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Sorted by host and prefix.
    routes: Vec<Arc<Route>>,
    /// Sorted by name.
    pools: Vec<Arc<Pool>>,
    /// Sorted by the key's digest.
    keys: Vec<(Digest, Arc<Customer>)>,
    /// Whether callers are told apart by keys at all.
    keyed: bool,
}

/// Parts of a table.
#[derive(Debug, Default)]
pub struct TableParts {
    /// Number of the version.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Pools in any order.
    pub pools: Vec<Pool>,
    /// Customers with the digests of their keys; `None` if requests carry no keys.
    pub customers: Option<Vec<(Customer, Vec<Digest>)>>,
}

impl Table {
    /// Compiles the parts of a version.
    pub fn build(parts: TableParts) -> Table {
        let TableParts { version, limits, routes, pools, customers } = parts;
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

    /// Route of a host name and path: the longest prefix of the path among the routes of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let first = self.routes.partition_point(|it| it.host.as_str() < host);
        let count = self.routes[first..].partition_point(|it| it.host == host);
        let routes = &self.routes[first..first + count];
        let mut path = path.as_bytes();
        loop {
            // Every prefix of the path sorts at or before it, longer ones later.
            let later = routes.partition_point(|it| it.prefix.as_bytes() <= path);
            let route = routes.get(later.checked_sub(1)?)?;
            let prefix = route.prefix.as_bytes();
            let common = prefix.iter().zip(path).take_while(|(a, b)| a == b).count();
            if common == prefix.len() {
                return Some(route);
            }
            path = &path[..common];
        }
    }

    /// Pool by name.
    pub fn pool(&self, name: &str) -> Option<&Arc<Pool>> {
        let found = self.pools.binary_search_by(|it| (*it.name).cmp(name)).ok()?;
        Some(&self.pools[found])
    }

    /// All pools, sorted by name.
    pub fn pools(&self) -> &[Arc<Pool>] {
        &self.pools
    }

    /// All routes.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Customer of a key.
    pub fn customer(&self, key: &Digest) -> Option<&Arc<Customer>> {
        let found = self.keys.binary_search_by(|it| it.0.cmp(key)).ok()?;
        Some(&self.keys[found].1)
    }

    /// Whether requests on routes that are not open need a key.
    pub fn requires_keys(&self) -> bool {
        self.keyed
    }
}
