//! Validation of a configuration as a whole: references between records and conflicts among them.
//!
//! References go from keys to customers and from routes to pools, classes and customers, so there are no cycles.

use crate::{
    credential::Digest,
    record::{Pool, Protocol, Record, Route, Target},
    schema::Fault,
};

/// Largest sum of the floors of all classes, in thousandths.
const MAX_FLOORS: u32 = 1_000;

/// A record that is valid by itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    /// Revision of its last write; of two records in conflict the older one stands.
    pub(crate) version: u64,
    /// The record.
    pub(crate) record: &'a Record,
}

/// Finds the faults of each candidate. The candidates are in the order of `place`.
pub(crate) fn resolve(candidates: &[Candidate<'_>], withdrawn: &[Digest]) -> Vec<Vec<Fault>> {
    let mut resolver = Resolver { candidates, faults: vec![Vec::new(); candidates.len()] };
    resolver.classes();
    resolver.keys(withdrawn);
    resolver.routes();
    resolver.faults
}

/// Sorting key of records, the same order as that of their store keys.
pub(crate) fn place(record: &Record) -> (&'static str, &str) {
    (record.kind(), record.name())
}

struct Resolver<'a> {
    candidates: &'a [Candidate<'a>],
    /// Parallel to the candidates.
    faults: Vec<Vec<Fault>>,
}

impl<'a> Resolver<'a> {
    fn fault(&mut self, position: usize, field: &str, found: String, accepted: String) {
        let (kind, name) = place(self.candidates[position].record);
        let record = format!("{kind}/{name}");
        self.faults[position].push(Fault { record, field: field.to_owned(), found, accepted });
    }

    /// A record without faults.
    fn find(&self, kind: &str, name: &str) -> Option<&'a Record> {
        let found =
            self.candidates.binary_search_by(|it| place(it.record).cmp(&(kind, name))).ok()?;
        self.faults[found].is_empty().then(|| self.candidates[found].record)
    }

    fn classes(&mut self) {
        let mut classes = Vec::new();
        for (position, it) in self.candidates.iter().enumerate() {
            if let Record::Class(class) = it.record {
                classes.push((it.version, position, class.floor_per_mille));
            }
        }
        classes.sort_unstable();
        let mut sum = 0;
        for (_, position, floor) in classes {
            if sum + floor <= MAX_FLOORS {
                sum += floor;
                continue;
            }
            let accepted = format!("at most {}, what the other classes leave", MAX_FLOORS - sum);
            self.fault(position, "floor_per_mille", floor.to_string(), accepted);
        }
    }

    fn keys(&mut self, withdrawn: &[Digest]) {
        let candidates = self.candidates;
        let mut digests = Vec::new();
        for (position, it) in candidates.iter().enumerate() {
            let Record::Key(key) = it.record else { continue };
            if let Some(customer) = &key.customer
                && self.find("customer", customer).is_none()
            {
                let accepted = "the name of a valid customer".to_owned();
                self.fault(position, "customer", format!("{customer:?}"), accepted);
            }
            let Some(digest) = Digest::parse(&key.digest) else { continue };
            if !key.withdrawn && withdrawn.binary_search(&digest).is_ok() {
                let found = "false for a secret that was withdrawn".to_owned();
                self.fault(position, "withdrawn", found, "true, or another digest".to_owned());
            }
            digests.push((digest, it.version, position));
        }
        digests.sort_unstable();
        for group in digests.chunk_by(|a, b| a.0 == b.0) {
            let positions = group.iter().map(|it| it.2);
            self.keep_first(positions, "digest", "a digest that no other key has");
        }
    }

    fn routes(&mut self) {
        let candidates = self.candidates;
        let mut targets = Vec::new();
        for (position, it) in candidates.iter().enumerate() {
            let Record::Route(route) = it.record else { continue };
            self.references(position, route);
            targets.push((target(route), it.version, position));
        }
        targets.sort_unstable();
        for group in targets.chunk_by(|a, b| a.0 == b.0) {
            let positions = group.iter().map(|it| it.2);
            self.keep_first(positions, "target", "a target that no other route has");
        }
    }

    fn references(&mut self, position: usize, route: &Route) {
        match self.find("pool", &route.pool) {
            Some(Record::Pool(pool)) => self.serves(position, route, pool),
            _ => {
                let accepted = "the name of a valid pool, else the route is unreachable".to_owned();
                self.fault(position, "pool", format!("{:?}", route.pool), accepted);
            }
        }
        if self.find("class", &route.class).is_none() {
            let accepted = "the name of a valid class, else the route is unreachable".to_owned();
            self.fault(position, "class", format!("{:?}", route.class), accepted);
        }
        for (index, customer) in route.customers.iter().enumerate() {
            if self.find("customer", customer).is_none() {
                let accepted = "the name of a valid customer".to_owned();
                let field = format!("customers[{index}]");
                self.fault(position, &field, format!("{customer:?}"), accepted);
            }
        }
    }

    fn serves(&mut self, position: usize, route: &Route, pool: &Pool) {
        let Target::Model(model) = &route.target else { return };
        if pool.protocol != Protocol::Engine {
            let accepted = "a pool with protocol engine for a model".to_owned();
            self.fault(position, "pool", format!("plain pool {:?}", pool.name), accepted);
        } else if !pool.models.is_empty() && !pool.models.contains(model) {
            let accepted = format!("a model of pool {:?}", pool.name);
            self.fault(position, "target.model", format!("{model:?}"), accepted);
        }
    }

    /// Keeps the first record without faults and faults the others.
    fn keep_first(&mut self, positions: impl Iterator<Item = usize>, field: &str, accepted: &str) {
        let mut first: Option<usize> = None;
        for position in positions {
            if !self.faults[position].is_empty() {
                continue;
            }
            let Some(kept) = first else {
                first = Some(position);
                continue;
            };
            let (kind, name) = place(self.candidates[kept].record);
            self.fault(position, field, format!("the same as {kind}/{name}"), accepted.to_owned());
        }
    }
}

fn target(route: &Route) -> (bool, &str) {
    match &route.target {
        Target::Model(model) => (false, model),
        Target::Prefix(prefix) => (true, prefix),
    }
}
