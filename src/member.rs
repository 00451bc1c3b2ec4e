//! Membership: which hosts are alive, by heartbeats and incarnations.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What is believed of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Answers heartbeats and takes roles.
    Alive,
    /// Answers heartbeats, finishes its requests and takes no role.
    Leaving,
    /// Has not answered and is given time to refute that.
    Suspect,
    /// Has not answered for the whole timeout, or has left.
    Dead,
}

/// One process of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host id.
    pub id: String,
    /// Region of the host.
    pub region: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Administration address.
    pub admin: SocketAddr,
    /// Start of the process in wall-clock milliseconds; a restarted host has a larger one.
    pub incarnation: u64,
    /// Raised by the host itself to refute a suspicion.
    pub version: u64,
    /// What is believed of the host.
    pub state: State,
}

/// The hosts as this host sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// Sorted by id; dead hosts are absent.
    pub members: Vec<Member>,
}

impl View {
    /// Member by id.
    pub fn get(&self, id: &str) -> Option<&Member> {
        let found = self.members.binary_search_by(|it| it.id.as_str().cmp(id)).ok()?;
        Some(&self.members[found])
    }

    /// Hosts of a zone that can take roles. A suspect keeps its roles until it is held to be dead.
    pub fn eligible<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a str> {
        self.members.iter().filter_map(move |it| {
            let takes_roles = match it.state {
                State::Alive | State::Suspect => true,
                State::Leaving | State::Dead => false,
            };
            (it.zone == zone && takes_roles).then_some(it.id.as_str())
        })
    }
}
