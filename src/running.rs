//! Running attempts of a dispatcher, and the order in which they are preempted.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    dispatch::{AttemptKey, ClassKey, Ticket, UpstreamKey},
    time::Time,
};

/// An attempt that has been granted or adopted and has not ended.
#[derive(Debug)]
pub struct Attempt {
    /// Ticket for which the attempt was granted.
    pub ticket: Ticket,
    /// Upstream that the attempt runs on.
    pub upstream: UpstreamKey,
    /// Whether the upstream was cheap when the attempt started.
    pub cheap: bool,
    /// When this dispatcher granted or adopted the attempt.
    pub granted: Time,
    /// Whether the previous dispatcher granted the attempt.
    pub adopted: bool,
    /// Reserved KV memory, in tokens.
    pub kv_tokens: u64,
    /// Work charged to the customer, in work units.
    pub work: u64,
    /// Tokens received so far.
    pub tokens: u32,
    /// Whether the attempt was preempted and its end is awaited.
    pub preempted: bool,
    /// Whether the fingerprint was under suspicion of a crash when the attempt was granted.
    pub suspect: bool,
}

/// An attempt that may be preempted, preceded by the time at which it was granted.
pub type Victim = (Time, AttemptKey);

/// Counters and preemption order of the attempts of one class.
#[derive(Debug, Default)]
struct ClassAttempts {
    /// Number of attempts that have not been preempted.
    active: usize,
    /// The repeatable ones among these, oldest first: index 0 on paid upstreams, index 1 on cheap ones.
    victims: [BTreeSet<Victim>; 2],
}

/// All running attempts of a dispatcher.
#[derive(Debug, Default)]
pub struct Attempts {
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// Sorted by key.
    classes: Vec<(ClassKey, ClassAttempts)>,
    /// Keys of `attempts` by upstream.
    by_upstream: BTreeSet<(UpstreamKey, AttemptKey)>,
    /// Number of attempts that were preempted and have not ended.
    preempted: usize,
}

impl Attempts {
    /// Adds an attempt that has not been preempted.
    pub fn insert(&mut self, key: AttemptKey, attempt: Attempt) {
        let class_attempts = self.class_attempts(attempt.ticket.class);
        class_attempts.active += 1;
        if attempt.ticket.repeatable {
            class_attempts.victims[usize::from(attempt.cheap)].insert((attempt.granted, key));
        }
        self.by_upstream.insert((attempt.upstream, key));
        self.attempts.insert(key, attempt);
    }

    /// Removes an attempt that ended.
    pub fn remove(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(&key)?;
        self.by_upstream.remove(&(attempt.upstream, key));
        if attempt.preempted {
            self.preempted -= 1;
        } else {
            let class_attempts = self.class_attempts(attempt.ticket.class);
            class_attempts.active -= 1;
            class_attempts.victims[usize::from(attempt.cheap)].remove(&(attempt.granted, key));
        }
        Some(attempt)
    }

    /// Returns an attempt to update its tokens, work and reserved memory.
    pub fn get_mut(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        self.attempts.get_mut(&key)
    }

    /// Returns an attempt.
    pub fn get(&self, key: AttemptKey) -> Option<&Attempt> {
        self.attempts.get(&key)
    }

    /// Marks an attempt as preempted. Returns `false` if it already was or does not run.
    pub fn preempt(&mut self, key: AttemptKey) -> bool {
        let Some(attempt) = self.attempts.get_mut(&key) else { return false };
        if attempt.preempted {
            return false;
        }
        attempt.preempted = true;
        let (class, granted) = (attempt.ticket.class, attempt.granted);
        let price = usize::from(attempt.cheap);
        let class_attempts = self.class_attempts(class);
        class_attempts.active -= 1;
        class_attempts.victims[price].remove(&(granted, key));
        self.preempted += 1;
        true
    }

    /// Returns the number of attempts of a class that have not been preempted.
    pub fn active(&self, class: ClassKey) -> usize {
        self.classes
            .binary_search_by_key(&class, |it| it.0)
            .map_or(0, |at| self.classes[at].1.active)
    }

    /// Returns the attempts of a class that may be preempted, on paid or on cheap upstreams, newest first.
    pub fn victims(&self, class: ClassKey, cheap: bool) -> impl Iterator<Item = &Victim> {
        let found = self.classes.binary_search_by_key(&class, |it| it.0).ok();
        let victims = found.map(|at| &self.classes[at].1.victims[usize::from(cheap)]);
        victims.into_iter().flat_map(|it| it.iter().rev())
    }

    /// Returns the attempts on an upstream, including preempted ones.
    pub fn on_upstream(&self, upstream: UpstreamKey) -> impl Iterator<Item = AttemptKey> {
        let first = (upstream, AttemptKey(0));
        self.by_upstream.range(first..=(upstream, AttemptKey(u64::MAX))).map(|it| it.1)
    }

    /// Returns the number of attempts that were preempted and have not ended.
    pub fn preempted(&self) -> usize {
        self.preempted
    }

    /// Returns the number of attempts, including preempted ones.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether no attempt runs.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    fn class_attempts(&mut self, class: ClassKey) -> &mut ClassAttempts {
        let at = match self.classes.binary_search_by_key(&class, |it| it.0) {
            Ok(found) => found,
            Err(at) => {
                self.classes.insert(at, (class, ClassAttempts::default()));
                at
            }
        };
        &mut self.classes[at].1
    }
}
