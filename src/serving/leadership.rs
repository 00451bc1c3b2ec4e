//! Leadership of the fleet: which host alone acts towards the platform, as a key of the store under a lease.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::{sync::watch, task, time::sleep};

use crate::{
    store::{Change, Commit, Committed, Failure, LeaseId, Put, Store, Watch},
    time::{Span, Time},
};

/// Key that the leader holds under its lease.
const LEADER_KEY: &str = "almondrack/leader";

/// Key with the last host that led. It stays when a lease ends.
const LAST_KEY: &str = "almondrack/last-leader";

/// Longest wait of one watch for a vacancy, in milliseconds.
const WAIT_MS: u64 = 10_000;

/// Part of a lease by which its holder stops early, for clocks of different pace, in thousandths.
const MARGIN_PER_MILLE: u64 = 70;

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(200);

/// Longest delay, drawn at random, of an attempt to lead after a vacancy.
const MAX_DELAY_MS: u64 = 300;

/// A term of leadership as its holder may count on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Grows with each new holder.
    pub number: u64,
    /// When the first act is allowed, so that holders do not act in turns within one lease.
    pub from: Time,
    /// When another host may lead. Counted from before the last renewal was sent.
    pub until: Time,
}

impl Term {
    /// Number under which an act may begin that takes at most `need`.
    pub fn permits(&self, now: Time, need: Span) -> Option<u64> {
        (self.from <= now && now + need < self.until).then_some(self.number)
    }
}

/// Handle to the task.
#[derive(Debug, Clone)]
pub struct Leadership {
    /// The term of this host, if it leads.
    pub term: watch::Receiver<Option<Term>>,
    stop: Rc<watch::Sender<bool>>,
}

impl Leadership {
    /// Gives the leadership up, also in future.
    pub fn resign(&self) {
        self.stop.send_replace(true);
    }
}

/// Spawns the task on the current thread.
pub fn spawn<S: Store>(store: S, host: &str, lease: Span) -> Leadership {
    let (sender, term) = watch::channel(None);
    let (stop, stopped) = watch::channel(false);
    let candidate = Candidate { store, host: host.to_owned(), lease, term: sender };
    task::spawn_local(candidate.run(stopped));
    Leadership { term, stop: Rc::new(stop) }
}

struct Candidate<S> {
    store: S,
    host: String,
    lease: Span,
    term: watch::Sender<Option<Term>>,
}

/// A lease that holds the leader's key.
struct Held {
    lease: LeaseId,
    number: u64,
    from: Time,
    until: Time,
}

impl<S: Store> Candidate<S> {
    async fn run(self, mut stopped: watch::Receiver<bool>) {
        loop {
            let held = tokio::select! {
                held = self.win() => held,
                // The sender lives as long as the host.
                _ = stopped.wait_for(|it| *it) => return,
            };
            log::info!("this host leads under number {}", held.number);
            let lease = held.lease;
            let lost = tokio::select! {
                () = self.hold(held) => true,
                _ = stopped.wait_for(|it| *it) => false,
            };
            self.term.send_replace(None);
            if lost {
                log::warn!("this host no longer leads");
                continue;
            }
            if let Err(failure) = self.store.end_lease(lease).await {
                log::info!("the leadership ends with its lease: {failure}");
            }
            return;
        }
    }

    /// Waits for a vacancy until this host leads.
    async fn win(&self) -> Held {
        loop {
            match self.try_win().await {
                Ok(Some(held)) => return held,
                Ok(None) => {}
                Err(failure) => {
                    log::debug!("the leadership cannot be looked at: {failure}");
                    sleep(PAUSE).await;
                }
            }
        }
    }

    async fn try_win(&self) -> Result<Option<Held>, Failure> {
        let page = self.store.list(LEADER_KEY, "").await?;
        if !page.items.is_empty() {
            self.wait_for_vacancy(page.revision).await?;
            sleep(Duration::from_millis(rand::random_range(0..MAX_DELAY_MS))).await;
            return Ok(None);
        }
        let last = self.store.get(LAST_KEY).await?;
        let asked = Time::now();
        let lease = self.store.open_lease(self.lease.as_ms()).await?;
        let number = match self.claim(lease).await? {
            Some(number) => number,
            None => {
                self.store.end_lease(lease).await?;
                return Ok(None);
            }
        };
        let own = last.as_ref().is_none_or(|it| *it.value == *self.host.as_bytes());
        let wait = if own { Span(0) } else { Span(self.lease.0 * 6 / 10) };
        Ok(Some(Held { lease, number, from: Time::now() + wait, until: self.end(asked) }))
    }

    /// Waits until the leader's key is removed or its history is gone.
    async fn wait_for_vacancy(&self, mut after: u64) -> Result<(), Failure> {
        loop {
            match self.store.watch(LEADER_KEY, after, WAIT_MS).await? {
                Watch::Changes(changes, revision) => {
                    if changes.iter().any(|it| matches!(it, Change::Deleted(..))) {
                        return Ok(());
                    }
                    after = revision;
                }
                Watch::Compacted => return Ok(()),
            }
        }
    }

    /// Writes the leader's key; its revision if this host leads now.
    async fn claim(&self, lease: LeaseId) -> Result<Option<u64>, Failure> {
        // The lease is named, so that a claim whose answer was lost is told from one of an earlier life.
        let claim = format!("{} {}", self.host, lease.0);
        let put = |key: &str, value: &str, lease| Put {
            key: key.to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
            lease,
        };
        let commit = Commit {
            expect: vec![(LEADER_KEY.to_owned(), 0)],
            put: vec![put(LEADER_KEY, &claim, Some(lease)), put(LAST_KEY, &self.host, None)],
            delete: Vec::new(),
        };
        match self.store.commit(&commit).await {
            Ok(Committed::Done(revision)) => Ok(Some(revision)),
            Ok(Committed::Conflict | Committed::LeaseEnded) => Ok(None),
            Err(Failure::Refused(status)) => Err(Failure::Refused(status)),
            Err(Failure::Unknown(_) | Failure::Invalid(_)) => {
                let leader = self.store.get(LEADER_KEY).await?;
                let own = leader.filter(|it| *it.value == *claim.as_bytes());
                Ok(own.map(|it| it.revision))
            }
        }
    }

    fn end(&self, asked: Time) -> Time {
        asked + Span(self.lease.0 - self.lease.0 * MARGIN_PER_MILLE / 1_000)
    }

    /// Renews the lease until it has ended.
    async fn hold(&self, held: Held) {
        let Held { lease, number, from, mut until } = held;
        let interval = Duration::from(Span(self.lease.0 / 3));
        loop {
            self.term.send_replace(Some(Term { number, from, until }));
            let asked = Time::now();
            match self.store.renew_lease(lease).await {
                Ok(true) => {
                    until = self.end(asked);
                    self.term.send_replace(Some(Term { number, from, until }));
                    sleep(interval).await;
                }
                Ok(false) => return,
                // The store may keep the lease through an outage; it alone says that it has ended.
                Err(failure) => {
                    log::info!("the leadership cannot be renewed: {failure}");
                    sleep(PAUSE).await;
                }
            }
        }
    }
}
