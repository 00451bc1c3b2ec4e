//! The task that runs the [`Membership`] of a host over the peer service.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Interval, MissedTickBehavior},
};

use crate::{
    member::{Action, Event, Member, Membership, Newest, Presence, TICK_MS, View},
    peer::{self, MemberCall, Peers},
    platform,
    time::Time,
    wire::Gossip,
};

/// Timeout of a call to a peer, in milliseconds. The timeouts in [`Membership`] are shorter.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Length of the queues of commands and of results of calls.
const QUEUE: usize = 1_024;

/// Inputs and outputs of the task.
#[derive(Debug)]
pub struct Options {
    /// The member to announce for this host, with the state `Alive` and version zero.
    pub own: Member,
    /// Addresses of peers to contact in addition to the platform's list of hosts.
    pub seeds: Vec<SocketAddr>,
    /// Client for the platform's list of hosts.
    pub platform: platform::Client,
    /// Connections to other hosts.
    pub peers: Peers,
    /// Receives the calls of other hosts, sent to `peer::Mailboxes::members`.
    pub inbound: mpsc::Receiver<MemberCall>,
    /// Receives the configuration revision in force on this host.
    pub revision: watch::Receiver<u64>,
    /// Receives fingerprints that this host has quarantined, with the time left in milliseconds.
    pub quarantine: mpsc::Receiver<Vec<(u64, u64)>>,
    /// Sends fingerprints that other hosts have quarantined, with the time left in milliseconds.
    pub quarantined: mpsc::Sender<Vec<(u64, u64)>>,
}

/// Counters of the task since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages sent, answers included.
    pub sent: u64,
    /// Bytes of these messages as encoded, without framing.
    pub sent_bytes: u64,
    /// Messages received, answers included.
    pub received: u64,
    /// Bytes of these messages as encoded, without framing.
    pub received_bytes: u64,
    /// Gossip calls without an answer.
    pub failed: u64,
    /// Requests for the platform's list of hosts, failed ones included.
    pub listed: u64,
    /// Number of times that this host was stopped for longer than the suspicion timeout or found its id in use twice.
    pub stalled: u64,
}

/// Handle to the task. The task ends when all handles are dropped.
#[derive(Debug, Clone)]
pub struct Directory {
    /// The hosts that this host considers present.
    pub view: watch::Receiver<Arc<View>>,
    /// The member that this host announces. Its incarnation is final only once the presence is `Joined`.
    pub own: watch::Receiver<Member>,
    /// Status of this host. Its other tasks may hold roles only while it is `Joined`.
    pub presence: watch::Receiver<Presence>,
    /// The newest configuration revision of all hosts that are not dead, and a host that has it.
    pub newest: watch::Receiver<Option<Newest>>,
    /// Counters, published with every tick.
    pub counters: watch::Receiver<Counters>,
    commands: mpsc::Sender<Command>,
}

#[derive(Debug)]
enum Command {
    Leave(oneshot::Sender<()>),
    Depart(oneshot::Sender<()>),
}

impl Directory {
    /// Announces that this host is leaving: it still answers probes, but takes no roles. Returns once the first
    /// messages are being sent.
    pub async fn leave(&self) {
        self.command(Command::Leave).await;
    }

    /// Announces that this process ends. Returns once the first messages are being sent.
    pub async fn depart(&self) {
        self.command(Command::Depart).await;
    }

    /// Waits until this host has joined. Returns false if the task has ended before.
    pub async fn joined(&self) -> bool {
        let mut presence = self.presence.clone();
        presence.wait_for(|it| *it == Presence::Joined).await.is_ok()
    }

    async fn command(&self, command: impl FnOnce(oneshot::Sender<()>) -> Command) {
        let (done, wait) = oneshot::channel();
        if self.commands.send(command(done)).await.is_ok() {
            let _ = wait.await;
        }
    }
}

/// Spawns the membership task of a host.
pub fn spawn(options: Options) -> Directory {
    let Options { own, seeds, platform, peers, inbound, revision, quarantine, quarantined } =
        options;
    let (command_sender, commands) = mpsc::channel(QUEUE);
    let (results, completed) = mpsc::channel(QUEUE);
    let core = Membership::new(Time::now(), own.clone(), &seeds, SmallRng::from_os_rng().random());
    let view_version = core.view_version();
    let (view, view_receiver) = watch::channel(Arc::new(core.view()));
    let (own_sender, own_receiver) = watch::channel(own);
    let (presence, presence_receiver) = watch::channel(core.presence());
    let (newest, newest_receiver) = watch::channel(None);
    let (counters, counters_receiver) = watch::channel(Counters::default());
    let published = Published { view, own: own_sender, presence, newest, counters };
    let task = Task {
        core,
        platform,
        peers,
        quarantined,
        results,
        published,
        counters: Counters::default(),
        answers: BTreeMap::new(),
        probe_answers: BTreeMap::new(),
        next_number: 0,
        view_version,
    };
    tokio::spawn(task.run(Inputs { inbound, revision, quarantine, commands, completed }));
    Directory {
        view: view_receiver,
        own: own_receiver,
        presence: presence_receiver,
        newest: newest_receiver,
        counters: counters_receiver,
        commands: command_sender,
    }
}

#[derive(Debug)]
struct Published {
    view: watch::Sender<Arc<View>>,
    own: watch::Sender<Member>,
    presence: watch::Sender<Presence>,
    newest: watch::Sender<Option<Newest>>,
    counters: watch::Sender<Counters>,
}

#[derive(Debug)]
struct Inputs {
    inbound: mpsc::Receiver<MemberCall>,
    revision: watch::Receiver<u64>,
    quarantine: mpsc::Receiver<Vec<(u64, u64)>>,
    commands: mpsc::Receiver<Command>,
    completed: mpsc::Receiver<Event>,
}

#[derive(Debug)]
struct Task {
    core: Membership,
    platform: platform::Client,
    peers: Peers,
    quarantined: mpsc::Sender<Vec<(u64, u64)>>,
    results: mpsc::Sender<Event>,
    published: Published,
    counters: Counters,
    answers: BTreeMap<u64, oneshot::Sender<Gossip>>,
    probe_answers: BTreeMap<u64, oneshot::Sender<bool>>,
    next_number: u64,
    /// Version of the published view.
    view_version: (u64, usize),
}

impl Task {
    async fn run(mut self, mut inputs: Inputs) {
        let mut ticks = ticks();
        let mut revision_open = true;
        let mut quarantine_open = true;
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => Event::Tick,
                Some(event) = inputs.completed.recv() => event,
                Some(call) = inputs.inbound.recv() => self.register(call),
                changed = inputs.revision.changed(), if revision_open => {
                    revision_open = changed.is_ok();
                    Event::Revision(*inputs.revision.borrow_and_update())
                }
                entries = inputs.quarantine.recv(), if quarantine_open => {
                    quarantine_open = entries.is_some();
                    Event::Quarantined(entries.unwrap_or_default())
                }
                command = inputs.commands.recv() => {
                    let Some(command) = command else { return };
                    self.command(command);
                    continue;
                }
            };
            let tick = matches!(event, Event::Tick);
            self.handle(event);
            if tick {
                self.publish();
            }
        }
    }

    /// Assigns a number to a call of another host and stores the channel for its answer.
    fn register(&mut self, call: MemberCall) -> Event {
        self.next_number += 1;
        let number = self.next_number;
        match call {
            MemberCall::Gossip(message, answer) => {
                self.counters.received += 1;
                self.counters.received_bytes += message.encoded_len();
                self.answers.insert(number, answer);
                Event::Received(number, message)
            }
            MemberCall::Probe(target, answer) => {
                self.probe_answers.insert(number, answer);
                Event::ProbeRequested(number, target)
            }
        }
    }

    fn command(&mut self, command: Command) {
        let (event, done) = match command {
            Command::Leave(done) => (Event::Leave, done),
            Command::Depart(done) => (Event::Depart, done),
        };
        self.handle(event);
        // The announcement is sent with a tick; this one avoids the wait for the next regular tick.
        self.handle(Event::Tick);
        self.publish();
        let _ = done.send(());
    }

    fn handle(&mut self, event: Event) {
        if let Event::Answered(_, answer) = &event {
            match answer {
                Some(message) => {
                    self.counters.received += 1;
                    self.counters.received_bytes += message.encoded_len();
                }
                None => self.counters.failed += 1,
            }
        }
        let mut actions = Vec::new();
        self.core.handle(Time::now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send(number, to, message) => self.send(number, to, message),
            Action::RequestProbe(number, via, target) => self.request_probe(number, via, target),
            Action::Answer(number, message) => {
                self.counters.sent += 1;
                self.counters.sent_bytes += message.encoded_len();
                if let Some(answer) = self.answers.remove(&number) {
                    let _ = answer.send(message);
                }
            }
            Action::AnswerProbe(number, alive) => {
                if let Some(answer) = self.probe_answers.remove(&number) {
                    let _ = answer.send(alive);
                }
            }
            Action::ListHosts => self.list_hosts(),
            Action::Quarantine(entries) => {
                // If the queue is full the entries are dropped; only an extension of the quarantine is sent again.
                let _ = self.quarantined.try_send(entries);
            }
            Action::Stalled => {
                self.counters.stalled += 1;
                log::warn!("stopped beyond the suspicion timeout, or host id in use twice");
                self.publish();
            }
            Action::Joined => self.publish(),
            Action::Replaced => {
                log::error!("another process with a larger incarnation uses the id of this host");
                self.publish();
            }
        }
    }

    fn send(&mut self, number: u64, to: SocketAddr, message: Gossip) {
        self.counters.sent += 1;
        self.counters.sent_bytes += message.encoded_len();
        let (peers, results) = (self.peers.clone(), self.results.clone());
        tokio::spawn(async move {
            let answer = gossip(&peers, to, message).await;
            let _ = results.send(Event::Answered(number, answer)).await;
        });
    }

    fn request_probe(&mut self, number: u64, via: SocketAddr, target: SocketAddr) {
        let (peers, results) = (self.peers.clone(), self.results.clone());
        tokio::spawn(async move {
            let alive = probe(&peers, via, target).await;
            let _ = results.send(Event::ProbeAnswered(number, alive)).await;
        });
    }

    fn list_hosts(&mut self) {
        self.counters.listed += 1;
        let (platform, results) = (self.platform.clone(), self.results.clone());
        tokio::spawn(async move {
            if let Ok(hosts) = platform.hosts().await {
                let _ = results.send(Event::HostsListed(hosts)).await;
            }
        });
    }

    fn publish(&mut self) {
        let version = self.core.view_version();
        if version != self.view_version {
            self.view_version = version;
            set_if_changed(&self.published.view, Arc::new(self.core.view()));
        }
        set_if_changed(&self.published.own, self.core.own().clone());
        set_if_changed(&self.published.presence, self.core.presence());
        set_if_changed(&self.published.newest, self.core.newest());
        self.published.counters.send_replace(self.counters);
    }
}

fn set_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|it| {
        let changed = *it != value;
        if changed {
            *it = value;
        }
        changed
    });
}

fn ticks() -> Interval {
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

async fn gossip(peers: &Peers, to: SocketAddr, message: Gossip) -> Option<Gossip> {
    let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
    let client = peers.client(to).await.ok()?;
    client.gossip(peer::within(timeout), message).await.ok().flatten()
}

async fn probe(peers: &Peers, via: SocketAddr, target: SocketAddr) -> bool {
    let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
    let Ok(client) = peers.client(via).await else { return false };
    client.probe(peer::within(timeout), target).await.unwrap_or(false)
}
