//! What the hosts of the fleet have sent to each upstream, as they told one another.

use std::collections::BTreeMap;

use crate::{
    serving::messages::Load,
    time::{Span, Time},
};

/// Age at which loads that a host told count no more; a host tells them several times a second.
const LIFETIME: Span = Span::from_ms(1_000);

/// Loads with the time at which they were told.
type Told = (Time, Vec<Load>);

/// Loads by who told them.
#[derive(Debug, Default)]
pub struct Loads {
    own: Vec<Load>,
    /// Loads of hosts that ask this one.
    members: BTreeMap<String, Told>,
    /// Loads of all other hosts, as this host's hub told.
    others: Option<Told>,
    /// Loads of other groups.
    groups: BTreeMap<String, Told>,
}

impl Loads {
    /// Sets the loads of this host.
    pub fn set_own(&mut self, loads: Vec<Load>) {
        self.own = loads;
    }

    /// Sets the loads of a host that asks this one.
    pub fn set_member(&mut self, now: Time, host: &str, loads: Vec<Load>) {
        self.members.insert(host.to_owned(), (now, loads));
    }

    /// Sets the loads of all other hosts.
    pub fn set_others(&mut self, now: Time, loads: Vec<Load>) {
        self.others = Some((now, loads));
    }

    /// Sets the loads of another group.
    pub fn set_group(&mut self, now: Time, group: &str, loads: Vec<Load>) {
        self.groups.insert(group.to_owned(), (now, loads));
    }

    /// Loads of all hosts but this one. A hub knows them from those that ask it, another host from its hub.
    pub fn remote(&self, now: Time, is_hub: bool) -> Vec<Load> {
        let members = self.members.values().filter(|_| is_hub);
        let others = self.others.iter().filter(|_| !is_hub);
        let groups = self.groups.values().filter(|_| is_hub);
        let told = members.chain(others).chain(groups).filter(|it| now.since(it.0) < LIFETIME);
        sum(told.map(|it| it.1.as_slice()))
    }

    /// Loads of all hosts but one that asks.
    pub fn all_but(&self, now: Time, host: &str) -> Vec<Load> {
        let members = self.members.iter().filter(|it| it.0 != host).map(|it| it.1);
        let told = members.chain(self.groups.values()).filter(|it| now.since(it.0) < LIFETIME);
        sum(std::iter::once(self.own.as_slice()).chain(told.map(|it| it.1.as_slice())))
    }

    /// Loads of this host's group, if it is its hub.
    pub fn own_group(&self, now: Time) -> Vec<Load> {
        let members = self.members.values().filter(|it| now.since(it.0) < LIFETIME);
        sum(std::iter::once(self.own.as_slice()).chain(members.map(|it| it.1.as_slice())))
    }
}

/// Adds loads up, sorted by upstream.
fn sum<'a>(parts: impl Iterator<Item = &'a [Load]>) -> Vec<Load> {
    let mut all: Vec<Load> = parts.flatten().copied().collect();
    all.sort_unstable_by_key(|it| it.upstream);
    all.dedup_by(|next, first| {
        let same = next.upstream == first.upstream;
        if same {
            for (sum, it) in first.pending.iter_mut().zip(next.pending) {
                *sum = sum.saturating_add(it);
            }
            first.running = first.running.saturating_add(next.running);
            first.ejected_ms = first.ejected_ms.max(next.ejected_ms);
        }
        same
    });
    all
}
