//! Loads that the hosts of the fleet put on each upstream, as they report them to each other.

use std::collections::BTreeMap;

use crate::{
    serving::messages::Load,
    time::{Span, Time},
};

/// Age after which reported loads are ignored; hosts report several times per second.
const MAX_AGE: Span = Span::from_ms(1_000);

/// Loads with the time at which they were received, or at which the request was sent whose response held them.
type Report = (Time, Vec<Load>);

/// Loads by the host or hub that reported them.
#[derive(Debug, Default)]
pub struct Loads {
    own: Vec<Load>,
    /// Loads of hosts that sync with this one.
    members: BTreeMap<String, Report>,
    /// Loads of all other hosts, as this host's hub reported them.
    others: Option<Report>,
    /// Loads of other groups, as their hubs reported them.
    groups: BTreeMap<String, Report>,
}

impl Loads {
    /// Replaces the loads of this host.
    pub fn set_own(&mut self, loads: Vec<Load>) {
        self.own = loads;
    }

    /// Replaces the loads of a host that syncs with this one.
    pub fn set_member(&mut self, now: Time, host: &str, loads: Vec<Load>) {
        self.members.insert(host.to_owned(), (now, loads));
    }

    /// Replaces the loads of all other hosts by those that this host's hub stated in the response to a request that was sent
    /// at `sent_at`. Those of a response that was on its way for so long that a later one came before it are ignored.
    pub fn set_others(&mut self, sent_at: Time, loads: Vec<Load>) {
        if self.others.as_ref().is_none_or(|it| it.0 <= sent_at) {
            self.others = Some((sent_at, loads));
        }
    }

    /// The same for the loads of another group.
    pub fn set_group(&mut self, sent_at: Time, group: &str, loads: Vec<Load>) {
        if self.groups.get(group).is_none_or(|it| it.0 <= sent_at) {
            self.groups.insert(group.to_owned(), (sent_at, loads));
        }
    }

    /// Returns the loads of all hosts but this one. A hub has them from the hosts that sync with it
    /// and from other hubs, any other host from its hub.
    pub fn remote(&self, now: Time, is_hub: bool) -> Vec<Load> {
        let members = self.members.values().filter(|_| is_hub);
        let others = self.others.iter().filter(|_| !is_hub);
        let groups = self.groups.values().filter(|_| is_hub);
        let recent = members.chain(others).chain(groups).filter(|it| now.since(it.0) < MAX_AGE);
        sum(recent.map(|it| it.1.as_slice()))
    }

    /// Returns the loads of all hosts but `host`, as the response to its sync request.
    pub fn all_but(&self, now: Time, host: &str) -> Vec<Load> {
        let members = self.members.iter().filter(|it| it.0 != host).map(|it| it.1);
        let recent = members.chain(self.groups.values()).filter(|it| now.since(it.0) < MAX_AGE);
        sum(std::iter::once(self.own.as_slice()).chain(recent.map(|it| it.1.as_slice())))
    }

    /// Returns the loads of this host's group, whose hub it is.
    pub fn own_group(&self, now: Time) -> Vec<Load> {
        let members = self.members.values().filter(|it| now.since(it.0) < MAX_AGE);
        sum(std::iter::once(self.own.as_slice()).chain(members.map(|it| it.1.as_slice())))
    }
}

/// Returns the sums of the loads by upstream, sorted by upstream.
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
