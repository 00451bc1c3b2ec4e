//! Task of the attempts in progress on an entry host: tells dispatchers of them and stops them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot, watch},
    time::MissedTickBehavior,
};

use crate::{
    config::Snapshot,
    credential::Digest,
    dispatch_client,
    peer::AttemptCall,
    rendezvous,
    time::wall_ms,
    wire::{Ending, Handover, Progress, Running},
};

/// Interval of progress messages, and so the age of what a dispatcher knows of a running attempt.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// Messages that may wait at the task.
const QUEUE: usize = 65_536;

/// Why an attempt must stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// A higher tier needs the slot, or the upstream leaves.
    Preempted,
    /// The key is no longer valid.
    Withdrawn,
}

/// Identity of an attempt among those of all dispatchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Hash of the host and incarnation of the dispatcher that granted the attempt.
    pub dispatcher: u64,
    /// Number of the attempt at that dispatcher.
    pub attempt: u64,
}

impl Key {
    /// Returns the key of an attempt that a dispatcher grants. Processes that start in the same millisecond have the same
    /// incarnation, so that it does not identify a dispatcher by itself.
    pub fn new(host: &str, incarnation: u64, attempt: u64) -> Key {
        let dispatcher = rendezvous::hash(&[host.as_bytes(), &incarnation.to_be_bytes()]);
        Key { dispatcher, attempt }
    }
}

/// A granted attempt that is about to start.
#[derive(Debug)]
pub struct Start {
    /// The ticket, the grant and no progress.
    pub running: Running,
    /// Zone of the dispatcher.
    pub zone: String,
    /// Host of the dispatcher.
    pub dispatcher: String,
    /// Digest of the caller's key, if one came.
    pub key: Option<Digest>,
}

#[derive(Debug)]
enum Message {
    Begin { start: Box<Start>, stop: oneshot::Sender<Stop>, answer: oneshot::Sender<bool> },
    Progress { key: Key, first_token_us: Option<u64>, tokens: u32 },
    End { key: Key, ending: Ending, tokens: u32 },
    Unsent { zone: String, pool: String, batch: Vec<Progress> },
}

/// Handle to the task.
#[derive(Debug, Clone)]
pub struct Attempts {
    messages: mpsc::Sender<Message>,
}

/// Inputs of the task.
#[derive(Debug)]
pub struct Options {
    /// Dispatchers.
    pub dispatchers: dispatch_client::Client,
    /// Configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Calls of dispatchers.
    pub calls: mpsc::Receiver<AttemptCall>,
}

/// Reports the end of an attempt, also when its future is dropped.
#[derive(Debug)]
pub struct Guard {
    attempts: Attempts,
    key: Key,
    tokens: u32,
    /// What is reported when the guard is dropped.
    ending: Ending,
}

impl Attempts {
    /// Spawns the task.
    pub fn spawn(options: Options) -> Attempts {
        let (messages, mailbox) = mpsc::channel(QUEUE);
        let attempts = Attempts { messages };
        let task = Task {
            options,
            own: attempts.clone(),
            running: BTreeMap::new(),
            ended: Vec::new(),
            accepted: Vec::new(),
        };
        tokio::spawn(task.run(mailbox));
        attempts
    }

    /// Registers a granted attempt. `None` if its dispatcher has been replaced in the meantime.
    pub async fn begin(&self, start: Start) -> Option<(Guard, oneshot::Receiver<Stop>)> {
        let grant = &start.running.grant;
        let key = Key { dispatcher: grant.dispatcher, attempt: grant.attempt };
        let (stop, stopped) = oneshot::channel();
        let (answer, accepted) = oneshot::channel();
        self.messages.send(Message::Begin { start: Box::new(start), stop, answer }).await.ok()?;
        let guard = Guard { attempts: self.clone(), key, tokens: 0, ending: Ending::Cancelled };
        if accepted.await.ok()? { Some((guard, stopped)) } else { None }
    }
}

impl Guard {
    /// Notes what has been received so far; messages that find the mailbox full are left out.
    pub fn progress(&mut self, first_token_us: Option<u64>, tokens: u32) {
        self.tokens = tokens;
        let message = Message::Progress { key: self.key, first_token_us, tokens };
        let _ = self.attempts.messages.try_send(message);
    }

    /// Ends the attempt.
    pub fn end(mut self, ending: Ending, tokens: u32) {
        self.ending = ending;
        self.tokens = tokens;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let message = Message::End { key: self.key, ending: self.ending, tokens: self.tokens };
        let Err(mpsc::error::TrySendError::Full(message)) =
            self.attempts.messages.try_send(message)
        else {
            return;
        };
        // An end that is lost would hold the upstream's slot, so it waits for room.
        let messages = self.attempts.messages.clone();
        tokio::spawn(async move { messages.send(message).await });
    }
}

#[derive(Debug)]
struct Entry {
    start: Start,
    stop: Option<oneshot::Sender<Stop>>,
}

impl Entry {
    fn stop_if_withdrawn(&mut self, snapshot: &Snapshot, wall_ms: u64) {
        if self.start.key.is_none_or(|it| snapshot.valid(&it, wall_ms)) {
            return;
        }
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(Stop::Withdrawn);
        }
    }
}

#[derive(Debug)]
struct Task {
    options: Options,
    own: Attempts,
    running: BTreeMap<Key, Entry>,
    /// Ends that dispatchers have not been told, by zone and pool.
    ended: Vec<(String, String, Progress)>,
    /// Dispatcher that was accepted last for each zone and pool, sorted.
    accepted: Vec<((String, String), String)>,
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::Receiver<Message>) {
        let mut interval = tokio::time::interval(PROGRESS_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut snapshot = self.options.snapshot.clone();
        let mut calls_open = true;
        loop {
            tokio::select! {
                message = mailbox.recv() => {
                    let Some(message) = message else { return };
                    self.take(message);
                    while let Ok(message) = mailbox.try_recv() {
                        self.take(message);
                    }
                    self.tell_ends();
                }
                call = self.options.calls.recv(), if calls_open => match call {
                    Some(call) => self.answer(call),
                    None => calls_open = false,
                },
                Ok(()) = snapshot.changed() => {
                    self.stop_withdrawn();
                }
                _ = interval.tick() => {
                    self.stop_withdrawn();
                    self.tell_progress();
                }
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Begin { start, stop, answer } => self.begin(*start, stop, answer),
            Message::Progress { key, first_token_us, tokens } => {
                let Some(entry) = self.running.get_mut(&key) else { return };
                let progress = &mut entry.start.running.progress;
                progress.first_token_us = progress.first_token_us.or(first_token_us);
                progress.tokens = tokens;
            }
            Message::End { key, ending, tokens } => self.end(key, ending, tokens),
            Message::Unsent { zone, pool, batch } => {
                let ends = batch.into_iter().filter(|it| it.ending.is_some());
                self.ended.extend(ends.map(|it| (zone.clone(), pool.clone(), it)));
            }
        }
    }

    fn begin(&mut self, start: Start, stop: oneshot::Sender<Stop>, answer: oneshot::Sender<bool>) {
        let grant = &start.running.grant;
        let key = Key { dispatcher: grant.dispatcher, attempt: grant.attempt };
        let pool = &start.running.ticket.pool;
        let current = self.dispatcher(&start.zone, pool).is_some_and(|it| it == start.dispatcher);
        if answer.send(current).is_ok() && current {
            let mut entry = Entry { start, stop: Some(stop) };
            entry.stop_if_withdrawn(&self.options.snapshot.borrow(), wall_ms());
            self.running.insert(key, entry);
            return;
        }
        // The dispatcher that granted the attempt still counts it.
        let progress = Progress { ending: Some(Ending::Unused), ..start.running.progress };
        self.ended.push((start.zone, start.running.ticket.pool, progress));
    }

    /// Dispatcher from which grants are taken.
    fn dispatcher(&self, zone: &str, pool: &str) -> Option<String> {
        let wanted = (zone, pool);
        let found = self
            .accepted
            .binary_search_by(|((zone, pool), _)| (zone.as_str(), pool.as_str()).cmp(&wanted));
        match found {
            Ok(at) => Some(self.accepted[at].1.clone()),
            Err(_) => self.options.dispatchers.owner(zone, pool).map(|it| it.host),
        }
    }

    fn end(&mut self, key: Key, ending: Ending, tokens: u32) {
        let Some(entry) = self.running.remove(&key) else { return };
        let Start { running, zone, .. } = entry.start;
        let progress = Progress { tokens, ending: Some(ending), ..running.progress };
        self.ended.push((zone, running.ticket.pool, progress));
    }

    fn answer(&mut self, call: AttemptCall) {
        match call {
            AttemptCall::Handover { pool, dispatcher, incarnation, answer } => {
                let _ = answer.send(self.hand_over(pool, dispatcher, incarnation));
            }
            AttemptCall::Preempt { dispatcher, attempt } => {
                self.stop(Key { dispatcher, attempt }, Stop::Preempted);
            }
        }
    }

    fn hand_over(&mut self, pool: String, dispatcher: String, incarnation: u64) -> Handover {
        let view = self.options.dispatchers.view.borrow().clone();
        let zone = view.get(&dispatcher).map(|it| it.zone.clone()).unwrap_or_default();
        let owner = dispatch_client::owner(&view, &zone, &pool);
        let accepted =
            owner.is_some_and(|it| it.host == dispatcher && it.incarnation == incarnation);
        if !accepted {
            return Handover { accepted, running: Vec::new() };
        }
        let running = self
            .running
            .values()
            .map(|it| &it.start)
            .filter(|it| it.zone == zone && it.running.ticket.pool == pool)
            .map(|it| it.running.clone())
            .collect();
        let role = (zone, pool);
        match self.accepted.binary_search_by(|it| it.0.cmp(&role)) {
            Ok(at) => self.accepted[at].1 = dispatcher,
            Err(at) => self.accepted.insert(at, (role, dispatcher)),
        }
        Handover { accepted, running }
    }

    fn stop_withdrawn(&mut self) {
        let snapshot = self.options.snapshot.borrow().clone();
        let now = wall_ms();
        for entry in self.running.values_mut() {
            entry.stop_if_withdrawn(&snapshot, now);
        }
    }

    fn stop(&mut self, key: Key, stop: Stop) {
        let sender = self.running.get_mut(&key).and_then(|it| it.stop.take());
        if let Some(sender) = sender {
            let _ = sender.send(stop);
        }
    }

    fn tell_ends(&mut self) {
        for (zone, pool, progress) in std::mem::take(&mut self.ended) {
            self.tell(zone, pool, vec![progress]);
        }
    }

    fn tell_progress(&mut self) {
        let mut batches: BTreeMap<(String, String), Vec<Progress>> = BTreeMap::new();
        for entry in self.running.values() {
            let start = &entry.start;
            let role = (start.zone.clone(), start.running.ticket.pool.clone());
            batches.entry(role).or_default().push(start.running.progress.clone());
        }
        for (zone, pool, progress) in std::mem::take(&mut self.ended) {
            batches.entry((zone, pool)).or_default().push(progress);
        }
        for ((zone, pool), batch) in batches {
            self.tell(zone, pool, batch);
        }
    }

    fn tell(&self, zone: String, pool: String, batch: Vec<Progress>) {
        let dispatchers = self.options.dispatchers.clone();
        let own = self.own.clone();
        tokio::spawn(async move {
            let told = match dispatchers.owner(&zone, &pool) {
                Some(owner) => {
                    dispatchers.progress(&owner, pool.clone(), batch.clone()).await.is_ok()
                }
                None => false,
            };
            let ends = batch.iter().any(|it| it.ending.is_some());
            if !told && ends {
                tokio::time::sleep(PROGRESS_INTERVAL).await;
                let _ = own.messages.send(Message::Unsent { zone, pool, batch }).await;
            }
        });
    }
}
