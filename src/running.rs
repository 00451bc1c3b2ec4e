//! Attempts that run, and the order in which they are stopped for a higher tier.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    dispatch::{AttemptKey, ClassKey, Ticket, UpstreamKey},
    time::Time,
};

/// An attempt that was granted or adopted and has not ended.
#[derive(Debug)]
pub struct Attempt {
    /// The ticket that was granted.
    pub ticket: Ticket,
    /// Where it runs.
    pub upstream: UpstreamKey,
    /// Whether the upstream was cheap when the attempt started.
    pub cheap: bool,
    /// When it was granted or adopted.
    pub granted: Time,
    /// Whether a former dispatcher granted it.
    pub adopted: bool,
    /// KV memory reserved, in tokens.
    pub need: u64,
    /// Work charged to the customer, in work units.
    pub work: u64,
    /// Tokens received so far.
    pub tokens: u32,
    /// Whether it was told to stop.
    pub stopping: bool,
    /// Whether its fingerprint was a suspect when it was granted.
    pub suspect: bool,
}

/// An attempt that may be stopped, with the time at which it was granted.
pub type Victim = (Time, AttemptKey);

/// Attempts of one class.
#[derive(Debug, Default)]
struct Group {
    /// Attempts that were not told to stop.
    active: usize,
    /// Those among them that may be repeated, on paid and on cheap upstreams, oldest first.
    victims: [BTreeSet<Victim>; 2],
}

/// All attempts that run.
#[derive(Debug, Default)]
pub struct RunningAttempts {
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// Sorted by key.
    groups: Vec<(ClassKey, Group)>,
    /// The same attempts by upstream.
    by_upstream: BTreeSet<(UpstreamKey, AttemptKey)>,
    /// Attempts that were told to stop and have not ended.
    stopping: usize,
}

impl RunningAttempts {
    /// Adds an attempt.
    pub fn insert(&mut self, key: AttemptKey, attempt: Attempt) {
        let group = self.group(attempt.ticket.class);
        group.active += 1;
        if attempt.ticket.repeatable {
            group.victims[usize::from(attempt.cheap)].insert((attempt.granted, key));
        }
        self.by_upstream.insert((attempt.upstream, key));
        self.attempts.insert(key, attempt);
    }

    /// Removes an attempt.
    pub fn remove(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(&key)?;
        self.by_upstream.remove(&(attempt.upstream, key));
        if attempt.stopping {
            self.stopping -= 1;
        } else {
            let group = self.group(attempt.ticket.class);
            group.active -= 1;
            group.victims[usize::from(attempt.cheap)].remove(&(attempt.granted, key));
        }
        Some(attempt)
    }

    /// The attempt, to change what is measured of it.
    pub fn get_mut(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        self.attempts.get_mut(&key)
    }

    /// The attempt.
    pub fn get(&self, key: AttemptKey) -> Option<&Attempt> {
        self.attempts.get(&key)
    }

    /// Marks an attempt as told to stop. Returns whether it was not yet.
    pub fn stop(&mut self, key: AttemptKey) -> bool {
        let Some(attempt) = self.attempts.get_mut(&key) else { return false };
        if attempt.stopping {
            return false;
        }
        attempt.stopping = true;
        let (class, granted) = (attempt.ticket.class, attempt.granted);
        let price = usize::from(attempt.cheap);
        let group = self.group(class);
        group.active -= 1;
        group.victims[price].remove(&(granted, key));
        self.stopping += 1;
        true
    }

    /// Attempts of a class that were not told to stop.
    pub fn active(&self, class: ClassKey) -> usize {
        self.groups.binary_search_by_key(&class, |it| it.0).map_or(0, |at| self.groups[at].1.active)
    }

    /// Attempts of a class that may be stopped, on paid or on cheap upstreams, newest first.
    pub fn victims(&self, class: ClassKey, cheap: bool) -> impl Iterator<Item = &Victim> {
        let found = self.groups.binary_search_by_key(&class, |it| it.0).ok();
        let victims = found.map(|at| &self.groups[at].1.victims[usize::from(cheap)]);
        victims.into_iter().flat_map(|it| it.iter().rev())
    }

    /// Attempts on an upstream.
    pub fn on(&self, upstream: UpstreamKey) -> impl Iterator<Item = AttemptKey> {
        let first = (upstream, AttemptKey(0));
        self.by_upstream.range(first..=(upstream, AttemptKey(u64::MAX))).map(|it| it.1)
    }

    /// Attempts that were told to stop and have not ended.
    pub fn stopping(&self) -> usize {
        self.stopping
    }

    /// Number of attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether nothing runs.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    fn group(&mut self, class: ClassKey) -> &mut Group {
        let at = match self.groups.binary_search_by_key(&class, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                self.groups.insert(at, (class, Group::default()));
                at
            }
        };
        &mut self.groups[at].1
    }
}
