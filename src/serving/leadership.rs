//! Leadership of the fleet: which host alone acts towards the platform, as a key of the store under a lease.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::{sync::watch, task, time::sleep};

use crate::{
    serving::roster::Roster,
    store::{Commit, Committed, Failure, Item, LeaseId, Put, Store},
    time::{Span, Time},
};

/// Key that the leader holds under its lease.
pub const LEADER_KEY: &str = "almondrack/fleet/leader";

/// Key with the last host that led. It stays when a lease ends.
const LAST_KEY: &str = "almondrack/last-leader";

/// Part of a lease by which its holder stops early, for clocks of different pace, in thousandths.
const MARGIN_PER_MILLE: u64 = 70;

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(200);

/// Delay of a host's attempt to lead after a vacancy, for each host that ranks before it.
const RANK_DELAY_MS: u64 = 120;

/// Longest delay of an attempt to lead.
const MAX_DELAY_MS: u64 = 3_000;

/// Time after a failed attempt in which a leader's key is heard of.
const HEARSAY_TIME: Duration = Duration::from_millis(800);

/// A term of leadership as its holder may count on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Grows with each new holder.
    pub number: u64,
    /// When the first act is allowed, so that holders do not act in turns within one lease.
    pub from: Time,
    /// When another host may lead. CountedStore from before the last renewal was sent.
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

/// What the task needs.
pub struct Options<S> {
    /// The platform's store.
    pub store: S,
    /// Id of this host.
    pub host: String,
    /// Length of the lease.
    pub lease: Span,
    /// The leader's key as far as this host knows.
    pub leader: watch::Receiver<Option<Item>>,
    /// The hosts that are registered.
    pub roster: watch::Receiver<Rc<Roster>>,
}

/// Spawns the task on the current thread.
pub fn spawn<S: Store>(options: Options<S>) -> Leadership {
    let (sender, term) = watch::channel(None);
    let (stop, stopped) = watch::channel(false);
    let candidate = Candidate { options, term: sender };
    task::spawn_local(candidate.run(stopped));
    Leadership { term, stop: Rc::new(stop) }
}

struct Candidate<S> {
    options: Options<S>,
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
            if let Err(failure) = self.options.store.end_lease(lease).await {
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
        let Options { store, host, lease, .. } = &self.options;
        let mut leader = self.options.leader.clone();
        // The sender lives as long as the host.
        let _ = leader.wait_for(Option::is_none).await;
        sleep(self.delay()).await;
        if !self.options.roster.borrow().contains(host) || leader.borrow().is_some() {
            sleep(PAUSE).await;
            return Ok(None);
        }
        let last = store.get(LAST_KEY).await?;
        let asked = Time::now();
        let id = store.open_lease(lease.as_ms()).await?;
        let Some(number) = self.claim(id).await? else {
            store.end_lease(id).await?;
            sleep(HEARSAY_TIME).await;
            return Ok(None);
        };
        let own = last.as_ref().is_none_or(|it| *it.value == *host.as_bytes());
        let wait = if own { Span(0) } else { Span(lease.0 * 6 / 10) };
        Ok(Some(Held { lease: id, number, from: Time::now() + wait, until: self.end(asked) }))
    }

    /// How long this host leaves the lead to those that rank before it.
    fn delay(&self) -> Duration {
        let roster = self.options.roster.borrow();
        let ranked = roster.ranked("");
        let rank = ranked.iter().position(|it| it.id == self.options.host).unwrap_or(0) as u64;
        Duration::from_millis((rank * RANK_DELAY_MS).min(MAX_DELAY_MS))
    }

    /// Writes the leader's key; its revision if this host leads now.
    async fn claim(&self, lease: LeaseId) -> Result<Option<u64>, Failure> {
        // The lease is named, so that a claim whose answer was lost is told from one of an earlier life.
        let claim = format!("{} {}", self.options.host, lease.0);
        let put = |key: &str, value: &str, lease| Put {
            key: key.to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
            lease,
        };
        let commit = Commit {
            expect: vec![(LEADER_KEY.to_owned(), 0)],
            put: vec![
                put(LEADER_KEY, &claim, Some(lease)),
                put(LAST_KEY, &self.options.host, None),
            ],
            delete: Vec::new(),
        };
        match self.options.store.commit(&commit).await {
            Ok(Committed::Done(revision)) => Ok(Some(revision)),
            Ok(Committed::Conflict | Committed::LeaseEnded) => Ok(None),
            Err(Failure::Refused(status)) => Err(Failure::Refused(status)),
            Err(Failure::Unknown(_) | Failure::Invalid(_)) => {
                let leader = self.options.store.get(LEADER_KEY).await?;
                let own = leader.filter(|it| *it.value == *claim.as_bytes());
                Ok(own.map(|it| it.revision))
            }
        }
    }

    fn end(&self, asked: Time) -> Time {
        asked + Span(self.options.lease.0 - self.options.lease.0 * MARGIN_PER_MILLE / 1_000)
    }

    /// Renews the lease until it has ended.
    async fn hold(&self, held: Held) {
        let Held { lease, number, from, mut until } = held;
        let interval = Duration::from(Span(self.options.lease.0 / 3));
        loop {
            self.term.send_replace(Some(Term { number, from, until }));
            let asked = Time::now();
            match self.options.store.renew_lease(lease).await {
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
