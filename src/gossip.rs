//! The task that runs the membership of a host over the peer service.

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

/// Time for which the task waits for an answer, in milliseconds; the core gives up earlier.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Results of calls that wait for the task.
const QUEUE: usize = 1_024;

/// What the task needs.
#[derive(Debug)]
pub struct Options {
    /// This host; state `Alive`, version zero.
    pub own: Member,
    /// Addresses of peers to try besides the platform's list.
    pub seeds: Vec<SocketAddr>,
    /// Gives the list of hosts.
    pub platform: platform::Client,
    /// Connections to other hosts.
    pub peers: Peers,
    /// Calls of other hosts, from `peer::Mailboxes::members`.
    pub inbound: mpsc::Receiver<MemberCall>,
    /// Configuration revision in force on this host.
    pub revision: watch::Receiver<u64>,
    /// Fingerprints that this host quarantines, with the time left in milliseconds.
    pub quarantine: mpsc::Receiver<Vec<(u64, u64)>>,
    /// Takes fingerprints that other hosts quarantined, with the time left in milliseconds.
    pub quarantined: mpsc::Sender<Vec<(u64, u64)>>,
}

/// What the task has sent and received since its start.
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
    /// Calls that brought no answer.
    pub failed: u64,
    /// Reads of the platform's list of hosts.
    pub listed: u64,
    /// Times that this host was away for longer than the suspicion timeout.
    pub stalled: u64,
}

/// Handle to the running task; the task ends when all handles are dropped.
#[derive(Debug, Clone)]
pub struct Directory {
    /// The hosts as this host sees them.
    pub view: watch::Receiver<Arc<View>>,
    /// This host. Its incarnation is settled once the presence is `Joined`.
    pub own: watch::Receiver<Member>,
    /// How this host stands to the others. Roles are taken only while it is `Joined`.
    pub presence: watch::Receiver<Presence>,
    /// The newest configuration revision seen, and a host that has it.
    pub newest: watch::Receiver<Option<Newest>>,
    /// Counters, brought up to date with every tick.
    pub counters: watch::Receiver<Counters>,
    commands: mpsc::Sender<Command>,
}

#[derive(Debug)]
enum Command {
    Leave(oneshot::Sender<()>),
    Depart(oneshot::Sender<()>),
}

impl Directory {
    /// Announces that this host is leaving; it keeps answering and takes no role. Returns once others are being told.
    pub async fn leave(&self) {
        self.command(Command::Leave).await;
    }

    /// Announces that this process ends. Returns once others are being told.
    pub async fn depart(&self) {
        self.command(Command::Depart).await;
    }

    /// Waits until this host has joined. False if the task has ended.
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

/// Spawns the membership of a host.
pub fn spawn(options: Options) -> Directory {
    let Options { own, seeds, platform, peers, inbound, revision, quarantine, quarantined } =
        options;
    let (command_sender, commands) = mpsc::channel(QUEUE);
    let (results, completed) = mpsc::channel(QUEUE);
    let core = Membership::new(Time::now(), own.clone(), &seeds, SmallRng::from_os_rng().random());
    let view_number = core.view_number();
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
        vouchers: BTreeMap::new(),
        next_request: 0,
        view_number,
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
    vouchers: BTreeMap<u64, oneshot::Sender<bool>>,
    next_request: u64,
    /// Number of the published view.
    view_number: (u64, usize),
}

impl Task {
    async fn run(mut self, mut inputs: Inputs) {
        let mut ticks = ticks();
        let mut revision_lives = true;
        let mut quarantine_lives = true;
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => Event::Tick,
                Some(event) = inputs.completed.recv() => event,
                Some(call) = inputs.inbound.recv() => self.request(call),
                changed = inputs.revision.changed(), if revision_lives => {
                    revision_lives = changed.is_ok();
                    Event::Revision(*inputs.revision.borrow_and_update())
                }
                entries = inputs.quarantine.recv(), if quarantine_lives => {
                    quarantine_lives = entries.is_some();
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

    /// Numbers a call of another host and keeps the way to answer it.
    fn request(&mut self, call: MemberCall) -> Event {
        self.next_request += 1;
        let number = self.next_request;
        match call {
            MemberCall::Gossip(message, answer) => {
                self.counters.received += 1;
                self.counters.received_bytes += message.encoded_len();
                self.answers.insert(number, answer);
                Event::Received(number, message)
            }
            MemberCall::Probe(target, answer) => {
                self.vouchers.insert(number, answer);
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
        // Sends the announcement without waiting for the next tick.
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
            Action::RequestProbe(number, via, target) => self.ask(number, via, target),
            Action::Answer(number, message) => {
                self.counters.sent += 1;
                self.counters.sent_bytes += message.encoded_len();
                if let Some(answer) = self.answers.remove(&number) {
                    let _ = answer.send(message);
                }
            }
            Action::AnswerProbe(number, alive) => {
                if let Some(answer) = self.vouchers.remove(&number) {
                    let _ = answer.send(alive);
                }
            }
            Action::ListHosts => self.list(),
            Action::Quarantine(entries) => {
                // A receiver that is this far behind hears of them again from others.
                let _ = self.quarantined.try_send(entries);
            }
            Action::Stalled => {
                self.counters.stalled += 1;
                log::warn!("this host was away for longer than the suspicion timeout");
                self.publish();
            }
            Action::Joined => self.publish(),
            Action::Replaced => {
                log::error!("another process has taken this host id");
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

    fn ask(&mut self, number: u64, via: SocketAddr, target: SocketAddr) {
        let (peers, results) = (self.peers.clone(), self.results.clone());
        tokio::spawn(async move {
            let alive = probe(&peers, via, target).await;
            let _ = results.send(Event::ProbeAnswered(number, alive)).await;
        });
    }

    fn list(&mut self) {
        self.counters.listed += 1;
        let (platform, results) = (self.platform.clone(), self.results.clone());
        tokio::spawn(async move {
            if let Ok(hosts) = platform.hosts().await {
                let _ = results.send(Event::HostsListed(hosts)).await;
            }
        });
    }

    fn publish(&mut self) {
        let number = self.core.view_number();
        if number != self.view_number {
            self.view_number = number;
            replace(&self.published.view, Arc::new(self.core.view()));
        }
        replace(&self.published.own, self.core.own().clone());
        replace(&self.published.presence, self.core.presence());
        replace(&self.published.newest, self.core.newest());
        self.published.counters.send_replace(self.counters);
    }
}

fn replace<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
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
