//! Parts of prompts that hosts have sent to engines, passed on from each host to all others.

use std::collections::VecDeque;

use crate::serving::messages::PlacedPart;

/// Parts that are kept for hosts that ask; some seconds of a large fleet.
const KEPT: usize = 4_096;

/// Who sent a part.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Origin {
    /// This host.
    Own,
    /// A host that asks this one.
    Member(String),
    /// A host of another group, by its hub's address.
    Group,
}

/// The last parts with their origins.
#[derive(Debug, Default)]
pub struct PlacedLog {
    entries: VecDeque<(Origin, PlacedPart)>,
    /// Number of the first entry.
    start: u64,
}

impl PlacedLog {
    /// Adds parts that this host sent.
    pub fn add_own(&mut self, placed: Vec<PlacedPart>) {
        self.add(Origin::Own, placed);
    }

    /// Adds parts that a host told that asks this one.
    pub fn add_member(&mut self, host: &str, placed: Vec<PlacedPart>) {
        self.add(Origin::Member(host.to_owned()), placed);
    }

    /// Adds parts that another group's hub told.
    pub fn add_group(&mut self, placed: Vec<PlacedPart>) {
        self.add(Origin::Group, placed);
    }

    /// Parts after a position that a member has not sent itself, and the next position.
    pub fn for_member(&self, host: &str, after: u64) -> (Vec<PlacedPart>, u64) {
        self.since(after, |it| !matches!(it, Origin::Member(member) if member == host))
    }

    /// Parts after a position that hosts of this group sent, and the next position.
    pub fn for_group(&self, after: u64) -> (Vec<PlacedPart>, u64) {
        self.since(after, |it| *it != Origin::Group)
    }

    fn add(&mut self, origin: Origin, placed: Vec<PlacedPart>) {
        self.entries.extend(placed.into_iter().map(|it| (origin.clone(), it)));
        while self.entries.len() > KEPT {
            self.entries.pop_front();
            self.start += 1;
        }
    }

    fn since(&self, after: u64, wanted: impl Fn(&Origin) -> bool) -> (Vec<PlacedPart>, u64) {
        let end = self.start + self.entries.len() as u64;
        // A position beyond the end is one of an earlier process.
        let after = if after > end { self.start } else { after.max(self.start) };
        let skipped = (after - self.start) as usize;
        let entries = self.entries.iter().skip(skipped).filter(|it| wanted(&it.0));
        (entries.map(|it| it.1).collect(), end)
    }
}
