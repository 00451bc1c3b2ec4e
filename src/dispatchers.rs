//! Task that forwards calls to the dispatchers on this host and starts and stops them as the host gains and loses
//! ownership of pools.

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

/// Range of attempt numbers reserved for each started dispatcher, so that those of one incarnation never collide.
const ATTEMPT_NUMBERS_PER_START: u64 = 1 << 40;

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
    /// Membership as seen by this host.
    pub view: watch::Receiver<Arc<View>>,
    /// Upstreams of the zone.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Set to whether a dispatcher runs on this host.
    pub dispatching: watch::Sender<bool>,
    /// Connections to other hosts.
    pub peers: Peers,
    /// Receives the fingerprints that local dispatchers quarantine, with the remaining time in milliseconds.
    pub quarantine: mpsc::Sender<Vec<(u64, u64)>>,
    /// Fingerprints that other hosts quarantine, with the remaining time in milliseconds.
    pub quarantined: mpsc::Receiver<Vec<(u64, u64)>>,
    /// Membership status of this host, which dispatches only while it is [`Presence::Joined`].
    pub presence: watch::Receiver<Presence>,
    /// Calls from entry hosts, including this host.
    pub calls: mpsc::Receiver<DispatchCall>,
}

#[derive(Debug)]
struct Task {
    options: Options,
    /// Sorted by pool.
    dispatchers: Vec<(String, mpsc::Sender<pool_dispatcher::Call>)>,
    /// Quarantined fingerprints and the end of their quarantine, passed to dispatchers that start later.
    quarantined: Vec<(u64, Time)>,
    /// Number of dispatchers started so far.
    starts: u64,
}

/// Spawns the task, which ends when the channel of calls is closed.
pub fn spawn(options: Options) {
    let task = Task { options, dispatchers: Vec::new(), quarantined: Vec::new(), starts: 0 };
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
                        if let Some(dispatcher) = self.dispatcher(&pool) {
                            let _ = dispatcher.send(pool_dispatcher::Call::Progress(batch)).await;
                        }
                    }
                    None => return,
                },
                Ok(()) = view.changed() => self.stop_disowned(),
                Ok(()) = presence.changed() => self.stop_disowned(),
                Some(batch) = self.options.quarantined.recv() => self.quarantine(batch).await,
            }
        }
    }

    async fn submit(&mut self, ticket: Ticket, answer: oneshot::Sender<Decision>) {
        if !self.is_owner(&ticket.pool) {
            let _ = answer.send(Decision::NotDispatcher);
            return;
        }
        let dispatcher = match self.dispatcher(&ticket.pool) {
            Some(dispatcher) => dispatcher,
            None => self.start(&ticket.pool),
        };
        let _ = dispatcher.send(pool_dispatcher::Call::Submit(Box::new(ticket), answer)).await;
    }

    async fn quarantine(&mut self, batch: Vec<(u64, u64)>) {
        let now = Time::now();
        self.quarantined.retain(|(_, until)| now < *until);
        for (fingerprint, left_ms) in batch {
            log::info!(
                "fingerprint {fingerprint:016x} quarantined by another host for {left_ms} ms"
            );
            let until = now + Span::from_ms(left_ms);
            self.quarantined.retain(|it| it.0 != fingerprint);
            self.quarantined.push((fingerprint, until));
            for (_, dispatcher) in &self.dispatchers {
                let _ =
                    dispatcher.send(pool_dispatcher::Call::Quarantine(fingerprint, until)).await;
            }
        }
    }

    fn is_owner(&self, pool: &str) -> bool {
        if *self.options.presence.borrow() != Presence::Joined {
            return false;
        }
        let owner = dispatch_client::owner(&self.options.view.borrow(), &self.options.zone, pool);
        owner.is_some_and(|it| it.host == self.options.host)
    }

    fn dispatcher(&self, pool: &str) -> Option<mpsc::Sender<pool_dispatcher::Call>> {
        let found = self.dispatchers.binary_search_by(|it| it.0.as_str().cmp(pool)).ok()?;
        Some(self.dispatchers[found].1.clone())
    }

    fn start(&mut self, pool: &str) -> mpsc::Sender<pool_dispatcher::Call> {
        let dispatcher = pool_dispatcher::spawn(pool_dispatcher::Options {
            host: self.options.host.clone(),
            incarnation: self.options.incarnation,
            pool: pool.to_owned(),
            snapshot: self.options.snapshot.clone(),
            view: self.options.view.clone(),
            fleet: self.options.fleet.clone(),
            peers: self.options.peers.clone(),
            quarantine: self.options.quarantine.clone(),
            first_attempt: self.starts * ATTEMPT_NUMBERS_PER_START,
            zone: self.options.zone.clone(),
            quarantined: self.quarantined.clone(),
        });
        self.starts += 1;
        let at = self.dispatchers.partition_point(|it| it.0.as_str() < pool);
        self.dispatchers.insert(at, (pool.to_owned(), dispatcher.clone()));
        self.publish_dispatching();
        dispatcher
    }

    /// Stops the dispatchers of pools that this host no longer owns.
    fn stop_disowned(&mut self) {
        let dispatchers = std::mem::take(&mut self.dispatchers);
        self.dispatchers =
            dispatchers.into_iter().filter(|(pool, _)| self.is_owner(pool)).collect();
        self.publish_dispatching();
    }

    fn publish_dispatching(&self) {
        let dispatching = !self.dispatchers.is_empty();
        self.options
            .dispatching
            .send_if_modified(|it| std::mem::replace(it, dispatching) != dispatching);
    }
}
