//! Leader election: one host holds a key of the store under a lease and performs the leader's
//! duties.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::{sync::watch, task, time::sleep};

use crate::{
    serving::roster::Roster,
    store::{self, Commit, Committed, Failure, Item, LeaseId, Put, Store},
    time::{Span, Time},
};

/// Key that the leader holds under its lease.
pub const LEADER_KEY: &str = "almondrack/fleet/leader";

/// Key with the id of the last leader and the era of its claim. It has no lease and outlives the leader's key.
const LAST_LEADER_KEY: &str = "almondrack/last-leader";

/// Part of a lease by which its holder stops early, for clock drift, in thousandths.
const DRIFT_MARGIN_PER_MILLE: u64 = 70;

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Delay of a host's claim after the leader's key was removed, for each host that ranks before it.
const RANK_DELAY_MS: u64 = 120;

/// Maximum delay of a claim.
const MAX_CLAIM_DELAY_MS: u64 = 3_000;

/// Pause after a failed claim, in which the key of the other leader arrives.
const LOST_CLAIM_PAUSE: Duration = Duration::from_millis(800);

/// A term of leadership within the bounds on which its holder can rely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Fencing number: the revision of the claim, which increases with each new holder, also after the store came back
    /// from an older copy.
    pub number: u64,
    /// Time of the first permitted action. Later than the claim if another host held the last term,
    /// so that holders do not alternate within one lease.
    pub from: Time,
    /// Time from which another host may lead. Measured from before the last renewal was sent.
    pub until: Time,
}

impl Term {
    /// Returns the term's number if an action that takes at most `need` may start, otherwise
    /// `None`.
    pub fn permits(&self, now: Time, need: Span) -> Option<u64> {
        (self.from <= now && now + need < self.until).then_some(self.number)
    }
}

/// Handle to the election task.
#[derive(Debug, Clone)]
pub struct Leadership {
    /// The term of this host, `None` while it does not lead.
    pub term: watch::Receiver<Option<Term>>,
    stop: Rc<watch::Sender<bool>>,
}

impl Leadership {
    /// Releases the leadership and does not claim it again.
    pub fn resign(&self) {
        self.stop.send_replace(true);
    }
}

/// Dependencies and settings of the task.
pub struct Options<S> {
    /// The platform's store.
    pub store: S,
    /// Id of this host.
    pub host: String,
    /// Length of the lease.
    pub lease: Span,
    /// This host's copy of the leader's key.
    pub leader: watch::Receiver<Option<Item>>,
    /// Registered hosts.
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

/// Record of the last leader. In the first era it holds the host alone, as hosts of earlier versions write it.
fn last_leader(host: &str, era: u64) -> String {
    match era {
        0 => host.to_owned(),
        era => format!("{host} {era}"),
    }
}

struct Candidate<S> {
    options: Options<S>,
    term: watch::Sender<Option<Term>>,
}

/// A lease under which the leader's key was written, with the bounds of the term.
struct HeldLease {
    lease: LeaseId,
    number: u64,
    from: Time,
    until: Time,
}

impl<S: Store> Candidate<S> {
    async fn run(self, mut stopped: watch::Receiver<bool>) {
        loop {
            let held = tokio::select! {
                held = self.campaign() => held,
                // The sender is dropped only with the host.
                _ = stopped.wait_for(|it| *it) => return,
            };
            log::info!("host leads, term {}", held.number);
            let lease = held.lease;
            let lost = tokio::select! {
                () = self.renew_until_lost(held) => true,
                _ = stopped.wait_for(|it| *it) => false,
            };
            self.term.send_replace(None);
            if lost {
                log::warn!("leadership lost");
                continue;
            }
            if let Err(failure) = self.options.store.end_lease(lease).await {
                log::info!("leader lease could not be ended and will expire: {failure}");
            }
            return;
        }
    }

    /// Claims the leadership whenever it is vacant, until this host leads.
    async fn campaign(&self) -> HeldLease {
        loop {
            match self.try_lead().await {
                Ok(Some(held)) => return held,
                Ok(None) => {}
                Err(failure) => {
                    log::debug!("leadership claim failed: {failure}");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn try_lead(&self) -> Result<Option<HeldLease>, Failure> {
        let Options { store, host, lease, .. } = &self.options;
        let mut leader = self.options.leader.clone();
        // The sender is dropped only with the host.
        let _ = leader.wait_for(Option::is_none).await;
        sleep(self.claim_delay()).await;
        if !self.options.roster.borrow().contains(host) || leader.borrow().is_some() {
            sleep(RETRY_PAUSE).await;
            return Ok(None);
        }
        let last = store.get(LAST_LEADER_KEY).await?;
        let sent_at = Time::now();
        let id = store.open_lease(lease.as_ms()).await?;
        let Some(number) = self.claim(id).await? else {
            store.end_lease(id).await?;
            sleep(LOST_CLAIM_PAUSE).await;
            return Ok(None);
        };
        let wait = match (last, store::era_of(number)) {
            (Some(last), era) => self.wait_after(&last.value, era),
            (None, 0) => Span(0),
            (None, _) => *lease,
        };
        Ok(Some(HeldLease {
            lease: id,
            number,
            from: Time::now() + wait,
            until: self.term_end(sent_at),
        }))
    }

    /// Returns the time from a claim to the first action, so that holders do not alternate. `last` is the record of the
    /// last leader, and `era` that of the claim.
    ///
    /// If the store came back from an older copy, which has lost the last claim, its holder acts until it hears of that
    /// or its lease ends.
    fn wait_after(&self, last: &[u8], era: u64) -> Span {
        let Options { host, lease, .. } = &self.options;
        let last = String::from_utf8_lossy(last);
        let (last_host, last_era) = last.rsplit_once(' ').unwrap_or((&last, "0"));
        if last_era.parse() != Ok(era) {
            return *lease;
        }
        if last_host == host { Span(0) } else { Span(lease.0 * 6 / 10) }
    }

    /// Returns the delay of this host's claim, which gives precedence to hosts that rank before it.
    fn claim_delay(&self) -> Duration {
        let roster = self.options.roster.borrow();
        let ranked = roster.ranked("");
        let rank = ranked.iter().position(|it| it.id == self.options.host).unwrap_or(0) as u64;
        Duration::from_millis((rank * RANK_DELAY_MS).min(MAX_CLAIM_DELAY_MS))
    }

    /// Writes the leader's key. Returns its revision, `None` if another host holds it.
    async fn claim(&self, lease: LeaseId) -> Result<Option<u64>, Failure> {
        // Contains the lease, which distinguishes a claim whose answer was lost from one of an
        // earlier process of this host.
        let claim = format!("{} {} {}", self.options.host, lease.id, lease.era);
        let put = |key: &str, value: &str, lease| Put {
            key: key.to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
            lease,
        };
        let commit = Commit {
            expect: vec![(LEADER_KEY.to_owned(), 0)],
            put: vec![
                put(LEADER_KEY, &claim, Some(lease)),
                put(
                    LAST_LEADER_KEY,
                    &last_leader(&self.options.host, self.options.store.era()),
                    None,
                ),
            ],
            delete: Vec::new(),
        };
        match self.options.store.commit(&commit).await {
            Ok(Committed::Done(revision)) => Ok(Some(revision)),
            Ok(Committed::Conflict | Committed::LeaseEnded) => Ok(None),
            Err(Failure::Refused(status)) => Err(Failure::Refused(status)),
            Err(Failure::Unknown(_) | Failure::Invalid(_) | Failure::Oversized(_)) => {
                let leader = self.options.store.get(LEADER_KEY).await?;
                let own = leader.filter(|it| *it.value == *claim.as_bytes());
                Ok(own.map(|it| it.revision))
            }
        }
    }

    fn term_end(&self, sent_at: Time) -> Time {
        sent_at + Span(self.options.lease.0 - self.options.lease.0 * DRIFT_MARGIN_PER_MILLE / 1_000)
    }

    /// Renews the lease until the store reports that it has ended.
    async fn renew_until_lost(&self, held: HeldLease) {
        let HeldLease { lease, number, from, mut until } = held;
        let interval = Duration::from(Span(self.options.lease.0 / 3));
        loop {
            self.term.send_replace(Some(Term { number, from, until }));
            let sent_at = Time::now();
            match self.options.store.renew_lease(lease).await {
                Ok(true) => {
                    until = self.term_end(sent_at);
                    self.term.send_replace(Some(Term { number, from, until }));
                    sleep(interval).await;
                }
                Ok(false) => return,
                // The store may keep the lease through an outage, so that only its answer ends the
                // term.
                Err(failure) => {
                    log::info!("renewal of the leader lease failed: {failure}");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}
