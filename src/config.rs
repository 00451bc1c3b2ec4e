//! The configuration in force: a validated set of records, compiled for look-ups.

use crate::{
    content::Aside,
    credential::Digest,
    error::{Error, Kind},
    record::{Class, Customer, Key, Pool, Protocol, Record, Role, Route, Target},
};

/// Index of a customer in a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CustomerIndex(pub u32);

/// Index of a class in a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassIndex(pub u32);

/// Index of a pool in a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolIndex(pub u32);

/// Index of a route in a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteIndex(pub u32);

/// A consistent configuration at one revision of the store.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Store revision of the last change that is contained. Never falls on a host.
    pub revision: u64,
    /// Sorted by name.
    pub customers: Vec<Customer>,
    /// Sorted by name.
    pub classes: Vec<Class>,
    /// Sorted by name.
    pub pools: Vec<Pool>,
    /// Sorted by name.
    pub routes: Vec<Route>,
    /// Sorted by digest.
    pub keys: Vec<(Digest, Key)>,
    /// Records whose newest version is not in force, sorted by record.
    pub aside: Vec<Aside>,
    /// Routes by model, sorted by model.
    models: Vec<(String, RouteIndex)>,
    /// Routes by path prefix, sorted by prefix.
    prefixes: Vec<(String, RouteIndex)>,
}

impl Snapshot {
    /// Compiles records into a snapshot.
    pub fn build(revision: u64, records: impl IntoIterator<Item = Record>) -> Snapshot {
        let mut it = Snapshot { revision, ..Snapshot::default() };
        for record in records {
            match record {
                Record::Customer(customer) => it.customers.push(customer),
                Record::Class(class) => it.classes.push(class),
                Record::Pool(pool) => it.pools.push(pool),
                Record::Route(route) => it.routes.push(route),
                Record::Key(key) => {
                    if let Some(digest) = Digest::parse(&key.digest) {
                        it.keys.push((digest, key));
                    }
                }
            }
        }
        it.customers.sort_by(|a, b| a.name.cmp(&b.name));
        it.classes.sort_by(|a, b| a.name.cmp(&b.name));
        it.pools.sort_by(|a, b| a.name.cmp(&b.name));
        it.routes.sort_by(|a, b| a.name.cmp(&b.name));
        it.keys.sort_by_key(|it| it.0);
        for (position, route) in it.routes.iter().enumerate() {
            let index = RouteIndex(position as u32);
            match &route.target {
                Target::Model(model) => it.models.push((model.clone(), index)),
                Target::Prefix(prefix) => it.prefixes.push((prefix.clone(), index)),
            }
        }
        it.models.sort();
        it.prefixes.sort();
        it
    }

    /// Finds the key of a secret. The digest is compared in constant time.
    ///
    /// # Errors
    /// `InvalidKey` if the key is unknown, withdrawn or past its end at `wall_ms`.
    pub fn authenticate(&self, secret: &str, wall_ms: u64) -> Result<&Key, Error> {
        let digest = Digest::of(secret);
        let invalid = || Error::new(Kind::InvalidKey, "the key is unknown, expired or withdrawn");
        let position = self.keys.partition_point(|(stored, _)| *stored < digest);
        let (stored, key) = self.keys.get(position).ok_or_else(invalid)?;
        let in_time = key.expires_ms.is_none_or(|end| wall_ms < end);
        if stored.matches(&digest) && !key.withdrawn && in_time { Ok(key) } else { Err(invalid()) }
    }

    /// Whether the key with a digest is valid at a wall-clock time.
    pub fn valid(&self, digest: &Digest, wall_ms: u64) -> bool {
        let found = self.keys.binary_search_by(|(stored, _)| stored.cmp(digest));
        found.is_ok_and(|at| {
            let key = &self.keys[at].1;
            !key.withdrawn && key.expires_ms.is_none_or(|end| wall_ms < end)
        })
    }

    /// Route of a model.
    pub fn model(&self, model: &str) -> Option<RouteIndex> {
        let found = self.models.binary_search_by(|(name, _)| name.as_str().cmp(model)).ok()?;
        Some(self.models[found].1)
    }

    /// Route of the longest prefix of a path.
    pub fn path(&self, path: &str) -> Option<RouteIndex> {
        let mut path = path.as_bytes();
        loop {
            // Every prefix of the path sorts at or before it, longer ones later.
            let later = self.prefixes.partition_point(|(prefix, _)| prefix.as_bytes() <= path);
            let (prefix, index) = self.prefixes.get(later.checked_sub(1)?)?;
            let prefix = prefix.as_bytes();
            let common = prefix.iter().zip(path).take_while(|(a, b)| a == b).count();
            if common == prefix.len() {
                return Some(*index);
            }
            path = &path[..common];
        }
    }

    /// Route at an index.
    pub fn route(&self, index: RouteIndex) -> &Route {
        &self.routes[index.0 as usize]
    }

    /// Class by name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        let found = self.classes.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        Some(&self.classes[found])
    }

    /// Pool by name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        let found = self.pools.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        Some(&self.pools[found])
    }

    /// Customer by name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        let found = self.customers.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        Some(&self.customers[found])
    }

    /// Models that a caller of the customer may use, sorted.
    pub fn models_of<'a>(&'a self, customer: Option<&'a str>) -> impl Iterator<Item = &'a str> {
        self.models.iter().filter_map(move |(model, index)| {
            let route = self.route(*index);
            permitted(route, customer).then_some(model.as_str())
        })
    }
}

/// Whether a customer may use a route.
pub fn permitted(route: &Route, customer: Option<&str>) -> bool {
    let Some(name) = customer else { return route.open };
    route.open || route.customers.is_empty() || route.customers.iter().any(|it| it == name)
}

/// Whether requests to a pool are measured in tokens.
pub fn counts_tokens(pool: &Pool) -> bool {
    pool.protocol == Protocol::Engine
}

/// Whether a role may read configuration and reports.
pub fn reads(role: Role) -> bool {
    match role {
        Role::Operator | Role::Auditor => true,
        Role::Caller => false,
    }
}
