//! Log of the prompt parts that hosts have sent to engines, from which other hosts receive them.
//!
//! A part travels on one path: its host reports it to one hub, which tells the other members and one hub of each other
//! group, and that one tells its members. What a hub hears in any other response is not logged, so that no part returns to
//! a host that has passed it on.

use std::collections::VecDeque;

use crate::{
    serving::messages,
    time::{Span, Time},
};

/// Entries that are kept for hosts that sync with this one; some seconds of a large fleet.
const MAX_ENTRIES: usize = 4_096;

/// Age up to which hubs of other groups are told of a part. They ask several times a second; a host that has just become a
/// hub would otherwise pass on to its whole group what that has known for long.
const MAX_GROUP_AGE: Span = Span::from_ms(1_000);

/// From whom this host has a part.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Origin {
    /// This host sent it.
    Own,
    /// A host that syncs with this one reported that it sent it.
    Member(String),
    /// A hub of another group told it.
    Group,
}

#[derive(Debug)]
struct Entry {
    origin: Origin,
    added_at: Time,
    placement: messages::Placement,
}

/// The most recent parts with their origins.
#[derive(Debug, Default)]
pub struct Log {
    entries: VecDeque<Entry>,
    /// Position of the first entry that is kept.
    start: u64,
}

impl Log {
    /// Appends parts that this host sent.
    pub fn add_own(&mut self, now: Time, placed: Vec<messages::Placement>) {
        self.add(now, Origin::Own, placed);
    }

    /// Appends parts that a host which syncs with this one reports to have sent itself.
    pub fn add_member(&mut self, now: Time, host: &str, placed: Vec<messages::Placement>) {
        self.add(now, Origin::Member(host.to_owned()), placed);
    }

    /// Appends parts that another group's hub reported.
    pub fn add_group(&mut self, now: Time, placed: Vec<messages::Placement>) {
        self.add(now, Origin::Group, placed);
    }

    /// Returns the parts after a position, without those that the member sent itself, and the next
    /// position.
    pub fn for_member(&self, host: &str, after: u64) -> (Vec<messages::Placement>, u64) {
        self.since(after, |it| !matches!(&it.origin, Origin::Member(member) if member == host))
    }

    /// Returns the recent parts after a position that hosts of this group sent, and the next position.
    pub fn for_group(&self, now: Time, after: u64) -> (Vec<messages::Placement>, u64) {
        let is_recent = |it: &Entry| now.since(it.added_at) < MAX_GROUP_AGE;
        self.since(after, |it| it.origin != Origin::Group && is_recent(it))
    }

    fn add(&mut self, now: Time, origin: Origin, placed: Vec<messages::Placement>) {
        let entry = |placement| Entry { origin: origin.clone(), added_at: now, placement };
        self.entries.extend(placed.into_iter().map(entry));
        while self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
            self.start += 1;
        }
    }

    fn since(
        &self,
        after: u64,
        wanted: impl Fn(&Entry) -> bool,
    ) -> (Vec<messages::Placement>, u64) {
        let end = self.start + self.entries.len() as u64;
        // A position beyond the end is from an earlier process of this host.
        let after = if after > end { self.start } else { after.max(self.start) };
        let skipped = (after - self.start) as usize;
        let entries = self.entries.iter().skip(skipped).filter(|it| wanted(it));
        (entries.map(|it| it.placement).collect(), end)
    }
}
