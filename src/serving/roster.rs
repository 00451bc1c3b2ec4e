//! The registered hosts of the fleet, their groups and hubs, and the followers of the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{rendezvous, serving::rate_limit};

/// Prefix of the keys that hold the records of hosts.
pub const PREFIX: &str = "almondrack/fleet/hosts/";

/// Maximum number of hosts that form a single group, regardless of their zones.
const MAX_SINGLE_GROUP: usize = 12;

/// Record that a host writes to the store as JSON when it registers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Host id, which is part of the key and not of the value.
    #[serde(skip)]
    pub id: String,
    /// Address on which the host accepts sync requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// CPU share of the host, in thousandths of a processor.
    pub cpu_per_mille: u32,
    /// Whether the host selects the pool of a stream by the request's id. Earlier builds draw one at random.
    #[serde(default)]
    pub selects_pool_by_id: bool,
    /// Address on which the host opens tunnels to upstreams for others, `None` if it opens none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tunnels: Option<SocketAddr>,
}

/// The registered hosts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Roster {
    /// Sorted by id.
    hosts: Vec<Host>,
}

impl Roster {
    /// Adds or replaces a host.
    pub fn insert(&mut self, host: Host) {
        match self.hosts.binary_search_by(|it| it.id.cmp(&host.id)) {
            Ok(index) => self.hosts[index] = host,
            Err(index) => self.hosts.insert(index, host),
        }
    }

    /// Removes a host.
    pub fn remove(&mut self, id: &str) {
        if let Ok(index) = self.hosts.binary_search_by(|it| it.id.as_str().cmp(id)) {
            self.hosts.remove(index);
        }
    }

    /// Whether a host is registered.
    pub fn contains(&self, id: &str) -> bool {
        self.hosts.binary_search_by(|it| it.id.as_str().cmp(id)).is_ok()
    }

    /// Whether all hosts select the pool of a stream by the request's id; `None` before any host is known.
    pub fn all_select_pool_by_id(&self) -> Option<bool> {
        (!self.hosts.is_empty()).then(|| self.hosts.iter().all(|it| it.selects_pool_by_id))
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is registered.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// All hosts, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter()
    }

    /// Returns the name of the group of a zone's hosts: empty in a small fleet, where all hosts
    /// form one group, otherwise the zone.
    pub fn group<'a>(&self, zone: &'a str) -> &'a str {
        if self.hosts.len() <= MAX_SINGLE_GROUP { "" } else { zone }
    }

    /// Returns the hosts of a group by rank: those with the largest CPU share first, then by a hash
    /// of the id. The first available ones are its hubs. The group with the empty name contains all
    /// hosts.
    pub fn ranked(&self, group: &str) -> Vec<&Host> {
        let hosts = self.hosts.iter().filter(|it| group.is_empty() || it.zone == group);
        let mut ranked: Vec<_> = hosts.collect();
        ranked.sort_by_key(|it| {
            (std::cmp::Reverse(it.cpu_per_mille), rendezvous::hash(&[b"hub", it.id.as_bytes()]))
        });
        ranked
    }

    /// Returns all hosts in the order in which they are selected to follow the store for the fleet:
    /// the highest-ranked host of each zone before all others, so that a follower remains when a
    /// zone is lost.
    pub fn followers(&self) -> Vec<&Host> {
        one_of_each_zone_first(&self.ranked(""))
    }

    /// Returns the hosts that grant permits for a rate-limited upstream, in the order in which they are asked: the first
    /// two in different zones, if there are several.
    pub fn limiters(&self, upstream: u64) -> Vec<&Host> {
        let mut ranked: Vec<_> = self.hosts.iter().collect();
        ranked.sort_by_cached_key(|it| {
            rendezvous::hash(&[b"limit", &upstream.to_be_bytes(), it.id.as_bytes()])
        });
        let mut limiters = one_of_each_zone_first(&ranked);
        limiters.truncate(rate_limit::RANKS);
        limiters
    }

    /// Returns the availability zones of the hosts, sorted and without duplicates.
    pub fn zones(&self) -> Vec<&str> {
        let mut zones: Vec<_> = self.hosts.iter().map(|it| it.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }
}

/// Returns ranked hosts with the highest-ranked host of each zone before all others.
fn one_of_each_zone_first<'a>(ranked: &[&'a Host]) -> Vec<&'a Host> {
    let is_first = |index: usize| ranked[..index].iter().all(|it| it.zone != ranked[index].zone);
    let (first, rest): (Vec<usize>, Vec<usize>) = (0..ranked.len()).partition(|it| is_first(*it));
    first.into_iter().chain(rest).map(|it| ranked[it]).collect()
}
