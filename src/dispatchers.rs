//! Task that passes calls to the dispatchers of this host and starts and ends them with the role.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    config::Snapshot,
    dispatch_client,
    fleet::Fleet,
    member::{Presence, View},
    peer::{DispatchCall, Peers},
    pool_dispatcher,
    time::{Span, Time},
    wire::{Decision, Ticket},
};

/// Numbers of attempts for one start of a dispatcher.
const ATTEMPTS_PER_START: u64 = 1 << 40;

/// Inputs of the task.
#[derive(Debug)]
pub struct Options {
    /// Id of this host.
    pub host: String,
    /// Incarnation of this host.
    pub incarnation: u64,
    /// Availability zone of this host.
    pub zone: String,
    /// Configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The hosts as this host sees them.
    pub view: watch::Receiver<Arc<View>>,
    /// The zone's upstreams.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Whether this host dispatches a pool.
    pub dispatching: watch::Sender<bool>,
    /// Connections to other hosts.
    pub peers: Peers,
    /// Takes fingerprints that a dispatcher quarantines, with the time left in milliseconds.
    pub quarantine: mpsc::Sender<Vec<(u64, u64)>>,
    /// Fingerprints that are quarantined elsewhere, with the time left in milliseconds.
    pub quarantined: mpsc::Receiver<Vec<(u64, u64)>>,
    /// How this host stands to the others; it dispatches only while it has joined.
    pub presence: watch::Receiver<Presence>,
    /// Calls of entry hosts, this one among them.
    pub calls: mpsc::Receiver<DispatchCall>,
}

#[derive(Debug)]
struct Task {
    options: Options,
    /// Sorted by pool.
    lanes: Vec<(String, mpsc::Sender<pool_dispatcher::Call>)>,
    /// Fingerprints in quarantine and its end, for dispatchers that start later.
    quarantined: Vec<(u64, Time)>,
    starts: u64,
}

/// Spawns the task; it ends when the mailbox is closed.
pub fn spawn(options: Options) {
    let task = Task { options, lanes: Vec::new(), quarantined: Vec::new(), starts: 0 };
    tokio::spawn(task.run());
}

impl Task {
    async fn run(mut self) {
        let mut view = self.options.view.clone();
        let mut presence = self.options.presence.clone();
        loop {
            tokio::select! {
                call = self.options.calls.recv() => match call {
                    Some(DispatchCall::Submit(ticket, answer)) => self.submit(ticket, answer).await,
                    Some(DispatchCall::Progress(pool, batch)) => {
                        if let Some(lane) = self.lane(&pool) {
                            let _ = lane.send(pool_dispatcher::Call::Progress(batch)).await;
                        }
                    }
                    None => return,
                },
                Ok(()) = view.changed() => self.review(),
                Ok(()) = presence.changed() => self.review(),
                Some(batch) = self.options.quarantined.recv() => self.quarantine(batch).await,
            }
        }
    }

    async fn submit(&mut self, ticket: Ticket, answer: oneshot::Sender<Decision>) {
        if !self.owns(&ticket.pool) {
            let _ = answer.send(Decision::NotDispatcher);
            return;
        }
        let lane = match self.lane(&ticket.pool) {
            Some(lane) => lane,
            None => self.start(&ticket.pool),
        };
        let _ = lane.send(pool_dispatcher::Call::Submit(Box::new(ticket), answer)).await;
    }

    async fn quarantine(&mut self, batch: Vec<(u64, u64)>) {
        let now = Time::now();
        self.quarantined.retain(|(_, until)| now < *until);
        for (fingerprint, left_ms) in batch {
            log::info!("fingerprint {fingerprint:016x} is quarantined elsewhere");
            let until = now + Span::from_ms(left_ms);
            self.quarantined.retain(|it| it.0 != fingerprint);
            self.quarantined.push((fingerprint, until));
            for (_, lane) in &self.lanes {
                let _ = lane.send(pool_dispatcher::Call::Quarantine(fingerprint, until)).await;
            }
        }
    }

    fn owns(&self, pool: &str) -> bool {
        if *self.options.presence.borrow() != Presence::Joined {
            return false;
        }
        let owner = dispatch_client::owner(&self.options.view.borrow(), &self.options.zone, pool);
        owner.is_some_and(|it| it.host == self.options.host)
    }

    fn lane(&self, pool: &str) -> Option<mpsc::Sender<pool_dispatcher::Call>> {
        let found = self.lanes.binary_search_by(|it| it.0.as_str().cmp(pool)).ok()?;
        Some(self.lanes[found].1.clone())
    }

    fn start(&mut self, pool: &str) -> mpsc::Sender<pool_dispatcher::Call> {
        let lane = pool_dispatcher::spawn(pool_dispatcher::Options {
            host: self.options.host.clone(),
            incarnation: self.options.incarnation,
            pool: pool.to_owned(),
            snapshot: self.options.snapshot.clone(),
            view: self.options.view.clone(),
            fleet: self.options.fleet.clone(),
            peers: self.options.peers.clone(),
            quarantine: self.options.quarantine.clone(),
            first_attempt: self.starts * ATTEMPTS_PER_START,
            zone: self.options.zone.clone(),
            quarantined: self.quarantined.clone(),
        });
        self.starts += 1;
        let at = self.lanes.partition_point(|it| it.0.as_str() < pool);
        self.lanes.insert(at, (pool.to_owned(), lane.clone()));
        self.note_dispatching();
        lane
    }

    /// Ends the dispatchers whose role went to another host.
    fn review(&mut self) {
        let lanes = std::mem::take(&mut self.lanes);
        self.lanes = lanes.into_iter().filter(|(pool, _)| self.owns(pool)).collect();
        self.note_dispatching();
    }

    fn note_dispatching(&self) {
        let dispatching = !self.lanes.is_empty();
        self.options
            .dispatching
            .send_if_modified(|it| std::mem::replace(it, dispatching) != dispatching);
    }
}
