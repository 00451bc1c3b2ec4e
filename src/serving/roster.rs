//! The hosts of the fleet as they register in the store, and whom a host turns to.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::rendezvous;

/// Start of the keys of hosts.
pub const PREFIX: &str = "almondrack/fleet/hosts/";

/// Most hosts of which all turn to one of them, whatever their zones.
const SMALL_FLEET: usize = 12;

/// What a host says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Host id.
    #[serde(skip)]
    pub id: String,
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Share of a processor that the host has, in thousandths.
    pub cpu_per_mille: u32,
}

/// The hosts that are registered.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Roster {
    /// Sorted by id.
    hosts: Vec<HostRecord>,
}

impl Roster {
    /// Adds or replaces a host.
    pub fn insert(&mut self, host: HostRecord) {
        match self.hosts.binary_search_by(|it| it.id.cmp(&host.id)) {
            Ok(at) => self.hosts[at] = host,
            Err(at) => self.hosts.insert(at, host),
        }
    }

    /// Removes a host.
    pub fn remove(&mut self, id: &str) {
        if let Ok(at) = self.hosts.binary_search_by(|it| it.id.as_str().cmp(id)) {
            self.hosts.remove(at);
        }
    }

    /// Whether a host is registered.
    pub fn contains(&self, id: &str) -> bool {
        self.hosts.binary_search_by(|it| it.id.as_str().cmp(id)).is_ok()
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
    pub fn iter(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts.iter()
    }

    /// Group of a zone's hosts: all hosts of a small fleet, otherwise those of the zone.
    pub fn group<'a>(&self, zone: &'a str) -> &'a str {
        if self.hosts.len() <= SMALL_FLEET { "" } else { zone }
    }

    /// Hosts of a group in the order in which the group turns to them; the first ones are its hubs.
    pub fn ranked(&self, group: &str) -> Vec<&HostRecord> {
        let hosts = self.hosts.iter().filter(|it| group.is_empty() || it.zone == group);
        let mut ranked: Vec<_> = hosts.collect();
        ranked.sort_by_key(|it| {
            (std::cmp::Reverse(it.cpu_per_mille), rendezvous::hash(&[b"hub", it.id.as_bytes()]))
        });
        ranked
    }

    /// All hosts in the order in which they follow the store for the fleet: the first hub of each zone before all others, so that
    /// the loss of a zone leaves one that follows.
    pub fn followers(&self) -> Vec<&HostRecord> {
        let ranked = self.ranked("");
        let is_first = |at: usize| ranked[..at].iter().all(|it| it.zone != ranked[at].zone);
        let (first, rest): (Vec<usize>, Vec<usize>) =
            (0..ranked.len()).partition(|it| is_first(*it));
        first.into_iter().chain(rest).map(|it| ranked[it]).collect()
    }

    /// Availability zones of the hosts, sorted.
    pub fn zones(&self) -> Vec<&str> {
        let mut zones: Vec<_> = self.hosts.iter().map(|it| it.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }
}
