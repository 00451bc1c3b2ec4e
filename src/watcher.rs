//! Task that keeps the configuration of a host up to date.
//!
//! Two hosts of each availability zone wait for changes at the store. The others ask these two, and the watchers of
//! the zones ask each other, so that a zone that is cut off from the platform still hears of changes.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use serde::Serialize;
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{MissedTickBehavior, interval, sleep_until},
};

use crate::{
    config::Snapshot,
    content::{Content, PREFIX, Pages},
    member::{Member, View},
    peer::{ConfigCall, Peers, within},
    platform::{Cause, Client, Failure},
    rendezvous, wire,
};

/// Hosts of an availability zone that wait for changes at the store.
const WATCHERS: usize = 2;

/// Longest wait of one call for changes, in milliseconds.
const WAIT_MS: u64 = 1_000;

/// Time after the wait in which the store must have answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Entries of one page of a listing.
const PAGE_ENTRIES: u32 = 1_000;

/// Calls for changes after a listing until its pages are of one revision.
const MAX_CATCH_UPS: usize = 16;

/// Time between two rounds of questions to peers.
const ROUND: Duration = Duration::from_millis(1_000);

/// Time for a peer to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for a peer to answer when the host starts.
const START_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest wait for other hosts to appear in the view when the host starts.
const VIEW_WAIT: Duration = Duration::from_millis(1_000);

/// Time that a starting host waits for the watchers before it lists the store itself.
const FALLBACK: Duration = Duration::from_millis(3_000);

/// Silence of the zone's watchers after which other hosts are asked.
const SILENCE: Duration = Duration::from_millis(3_000);

/// Pause after changes, so that many in a row are taken together.
const SETTLE: Duration = Duration::from_millis(100);

/// First pause after a failed call to the store, in milliseconds.
const FIRST_PAUSE_MS: u64 = 200;

/// Longest pause after failed calls to the store, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_000;

/// Answers that may wait for the task.
const QUEUE: usize = 1_024;

/// Role under which the watchers of a zone are picked.
const ROLE: &str = "config";

/// What the task needs.
#[derive(Debug)]
pub struct Options {
    /// Platform with the store.
    pub platform: Client,
    /// Connections to the other hosts.
    pub peers: Peers,
    /// Hosts as this host sees them.
    pub view: watch::Receiver<Arc<View>>,
    /// Id of this host.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Questions of peers.
    pub mailbox: mpsc::Receiver<ConfigCall>,
}

/// How the configuration is kept up to date.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Whether the host has the newest configuration that it could reach when it started.
    pub serving: bool,
    /// Revision of the last change in force.
    pub revision: u64,
    /// Whether this host waits for changes at the store.
    pub watching: bool,
    /// Whether the last call to the store succeeded; absent before the first.
    pub store_reachable: Option<bool>,
    /// Calls to the store to list the configuration or to ask for its revision.
    pub list_calls: u64,
    /// Calls to the store to wait for changes.
    pub watch_calls: u64,
    /// Questions to peers.
    pub peer_calls: u64,
    /// Answers of the store and of peers that were refused.
    pub refused: u64,
    /// Why the last of them was refused.
    pub last_refusal: Option<String>,
}

/// Handle to the running task; the task ends when the handle is dropped.
#[derive(Debug)]
pub struct Watcher {
    /// Configuration in force. Empty with revision zero until the host serves.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Entries of the store behind the configuration in force.
    pub content: watch::Receiver<Arc<Content>>,
    /// How the configuration is kept up to date.
    pub status: watch::Receiver<Status>,
    task: JoinHandle<()>,
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Spawns the task.
pub fn spawn(options: Options) -> Watcher {
    let (snapshot_sender, snapshot) = watch::channel(Arc::default());
    let (content_sender, content) = watch::channel(Arc::default());
    let (status_sender, status) = watch::channel(Status::default());
    let (events, answers) = mpsc::channel(QUEUE);
    let now = Instant::now();
    let mut rng = SmallRng::from_os_rng();
    let fallback = now + FALLBACK + FALLBACK.mul_f64(rng.random_range(0.0..1.0));
    let task = Task {
        platform: options.platform,
        peers: options.peers,
        view: options.view,
        host: options.host,
        zone: options.zone,
        content: Content::default(),
        status: Status::default(),
        phase: Phase::Joining,
        snapshot: snapshot_sender,
        published: content_sender,
        status_sender,
        events,
        asked: Vec::new(),
        round: 0,
        heard: now,
        store: Store { in_flight: false, failures: 0, due: now, list: true },
        fallback,
        rng,
    };
    let task = tokio::spawn(task.run(options.mailbox, answers));
    Watcher { snapshot, content, status, task }
}

/// Progress of the host's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Peers are asked for their configuration.
    Joining,
    /// The store is asked for what the peers did not have.
    Checking,
    /// The configuration is in force.
    Serving,
}

#[derive(Debug)]
enum Event {
    /// All peers were asked at the start.
    Joined(Vec<wire::Snapshot>),
    /// One peer answered or failed.
    Peer(SocketAddr, Result<Option<wire::Snapshot>, ()>),
    /// The store answered a listing or a wait for changes.
    Store(Result<Answer, Failure>),
}

#[derive(Debug)]
enum Answer {
    Update(wire::Snapshot),
    /// The store no longer has the changes after the revision.
    Reset,
}

#[derive(Debug)]
struct Store {
    in_flight: bool,
    /// Calls that failed in a row.
    failures: u32,
    /// No call is made before.
    due: Instant,
    /// Whether the next call is a listing.
    list: bool,
}

struct Task {
    platform: Client,
    peers: Peers,
    view: watch::Receiver<Arc<View>>,
    host: String,
    zone: String,
    content: Content,
    status: Status,
    phase: Phase,
    snapshot: watch::Sender<Arc<Snapshot>>,
    published: watch::Sender<Arc<Content>>,
    status_sender: watch::Sender<Status>,
    events: mpsc::Sender<Event>,
    /// Peers that have not answered yet.
    asked: Vec<SocketAddr>,
    /// Number of the round of questions.
    round: usize,
    /// Last answer of a watcher of the zone.
    heard: Instant,
    store: Store,
    /// When a starting host lists the store itself.
    fallback: Instant,
    rng: SmallRng,
}

impl Task {
    async fn run(
        mut self,
        mut mailbox: mpsc::Receiver<ConfigCall>,
        mut answers: mpsc::Receiver<Event>,
    ) {
        self.wait_for_view(&mut mailbox).await;
        self.join();
        let mut rounds = interval(ROUND);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.call_store();
            self.report();
            let due = self.wake();
            tokio::select! {
                call = mailbox.recv() => {
                    let Some(call) = call else { return };
                    self.answer(call);
                }
                Some(event) = answers.recv() => self.handle(event),
                _ = rounds.tick() => self.ask_peers(),
                () = sleep_until(due.into()) => {}
            }
        }
    }

    /// Waits until other hosts appear in the view, for a bounded time.
    async fn wait_for_view(&mut self, mailbox: &mut mpsc::Receiver<ConfigCall>) {
        let end = Instant::now() + VIEW_WAIT;
        while self.others().is_empty() {
            tokio::select! {
                changed = self.view.changed() => if changed.is_err() { return },
                Some(call) = mailbox.recv() => self.answer(call),
                () = sleep_until(end.into()) => return,
            }
        }
    }

    fn others(&self) -> Vec<Member> {
        let view = self.view.borrow();
        view.members.iter().filter(|it| it.id != self.host).cloned().collect()
    }

    /// Asks every host of the zone and the watchers of the other zones for their configuration.
    fn join(&mut self) {
        let view = self.view.borrow().clone();
        let mut addresses: Vec<_> =
            self.others().iter().filter(|it| it.zone == self.zone).map(|it| it.peer).collect();
        for zone in zones(&view).into_iter().filter(|it| *it != self.zone) {
            addresses.extend(watchers(&view, zone).iter().map(|it| it.peer));
        }
        self.status.peer_calls += addresses.len() as u64;
        let (peers, events) = (self.peers.clone(), self.events.clone());
        tokio::spawn(async move {
            let answers = join_peers(&peers, &addresses).await;
            let _ = events.send(Event::Joined(answers)).await;
        });
    }

    /// Answers a question of a peer.
    fn answer(&self, call: ConfigCall) {
        let ConfigCall::Snapshot(newer_than, answer) = call;
        let _ = answer.send(self.content.newer_than(newer_than));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Joined(updates) => {
                for update in updates {
                    self.take(update);
                }
                self.store.list = self.content.revision() == 0;
                self.phase = Phase::Checking;
            }
            Event::Peer(address, answer) => {
                self.asked.retain(|it| *it != address);
                let Ok(update) = answer else { return };
                let view = self.view.borrow().clone();
                if watchers(&view, &self.zone).iter().any(|it| it.peer == address) {
                    self.heard = Instant::now();
                }
                let empty = self.content.revision() == 0;
                if let Some(update) = update {
                    self.take(update);
                }
                if empty && self.content.revision() > 0 {
                    self.store.list = false;
                }
            }
            Event::Store(answer) => self.handle_store(answer),
        }
    }

    fn handle_store(&mut self, answer: Result<Answer, Failure>) {
        self.store.in_flight = false;
        let taken = match answer {
            Ok(Answer::Update(update)) => self.take_from_store(update),
            Ok(Answer::Reset) => {
                self.store.list = true;
                return;
            }
            Err(failure) => {
                if self.status.store_reachable != Some(false) {
                    log::warn!("the configuration cannot be read from the store: {failure}");
                }
                false
            }
        };
        if taken && self.status.store_reachable == Some(false) {
            log::info!("the configuration can be read from the store again");
        }
        self.status.store_reachable = Some(taken);
        if taken {
            self.store.failures = 0;
            self.store.list = false;
            self.store.due = Instant::now() + SETTLE;
        } else {
            let pause = pause_ms(self.store.failures, &mut self.rng);
            self.store.failures += 1;
            self.store.due = Instant::now() + Duration::from_millis(pause);
        }
        let known = taken || self.content.revision() > 0;
        if self.phase == Phase::Checking && known {
            self.phase = Phase::Serving;
            self.publish();
        }
    }

    /// Takes an answer of the store; false if it is refused or older than what peers told.
    fn take_from_store(&mut self, update: wire::Snapshot) -> bool {
        let (found, held) = (update.revision, self.content.revision());
        if found < held {
            self.status.refused += 1;
            let why = format!("the store stands at revision {found}, before {held}");
            self.status.last_refusal = Some(why);
            return false;
        }
        self.take(update)
    }

    /// Takes an answer of the store or of a peer; false if it is refused.
    fn take(&mut self, update: wire::Snapshot) -> bool {
        let before = self.content.changed();
        match self.content.apply(update) {
            Ok(_) => {
                if self.content.changed() > before && self.phase == Phase::Serving {
                    self.publish();
                }
                true
            }
            Err(refusal) => {
                self.status.refused += 1;
                self.status.last_refusal = Some(refusal.to_string());
                false
            }
        }
    }

    fn publish(&mut self) {
        let snapshot = self.content.snapshot();
        let before = self.snapshot.borrow().aside.len();
        if snapshot.aside.len() != before {
            log::warn!("{} configuration records are set aside", snapshot.aside.len());
        }
        self.snapshot.send_replace(Arc::new(snapshot));
        self.published.send_replace(Arc::new(self.content.clone()));
    }

    fn report(&mut self) {
        self.status.serving = self.phase == Phase::Serving;
        self.status.revision = self.snapshot.borrow().revision;
        self.status.watching = self.watches();
        let status = &self.status;
        self.status_sender.send_if_modified(|it| {
            let modified = it != status;
            if modified {
                it.clone_from(status);
            }
            modified
        });
    }

    /// Whether this host waits for changes at the store.
    fn watches(&self) -> bool {
        let view = self.view.borrow();
        let own = view.get(&self.host).is_none().then_some(self.host.as_str());
        let hosts = view.eligible(&self.zone).chain(own);
        rendezvous::owners(ROLE, hosts, WATCHERS).contains(&self.host.as_str())
    }

    /// Whether the store is to be called at all.
    fn needs_store(&self) -> bool {
        match self.phase {
            Phase::Joining => false,
            Phase::Checking => {
                self.content.revision() > 0 || self.watches() || Instant::now() >= self.fallback
            }
            Phase::Serving => self.watches(),
        }
    }

    /// When the task has to look at the store again without an event.
    fn wake(&self) -> Instant {
        let now = Instant::now();
        if !self.store.in_flight && self.store.due > now {
            return self.store.due;
        }
        if self.phase == Phase::Checking && self.fallback > now {
            return self.fallback;
        }
        now + ROUND
    }

    fn call_store(&mut self) {
        if self.store.in_flight || !self.needs_store() || Instant::now() < self.store.due {
            return;
        }
        self.store.in_flight = true;
        let (platform, events) = (self.platform.clone(), self.events.clone());
        let after = self.content.revision();
        if self.store.list {
            self.status.list_calls += 1;
            tokio::spawn(async move {
                let _ = events.send(Event::Store(list(&platform).await)).await;
            });
            return;
        }
        let wait = if self.phase == Phase::Checking { 0 } else { WAIT_MS };
        if wait == 0 {
            self.status.list_calls += 1;
        } else {
            self.status.watch_calls += 1;
        }
        tokio::spawn(async move {
            let _ = events.send(Event::Store(changes(&platform, after, wait).await)).await;
        });
    }

    /// Asks peers for what is newer than the configuration of this host.
    fn ask_peers(&mut self) {
        if self.phase == Phase::Joining {
            return;
        }
        self.round += 1;
        for address in self.targets() {
            if self.asked.contains(&address) {
                continue;
            }
            self.asked.push(address);
            self.status.peer_calls += 1;
            let (peers, events) = (self.peers.clone(), self.events.clone());
            let revision = self.content.revision();
            tokio::spawn(async move {
                let answer = ask(&peers, address, revision, PEER_TIMEOUT).await;
                let _ = events.send(Event::Peer(address, answer)).await;
            });
        }
    }

    /// Peers to ask in this round.
    fn targets(&mut self) -> Vec<SocketAddr> {
        let view = self.view.borrow().clone();
        let mut own = watchers(&view, &self.zone);
        own.retain(|it| it.id != self.host);
        let mut targets = Vec::new();
        if !own.is_empty() {
            targets.push(own[self.round % own.len()].peer);
        }
        if self.watches() {
            for zone in zones(&view).into_iter().filter(|it| *it != self.zone) {
                targets.extend(watchers(&view, zone).choose(&mut self.rng).map(|it| it.peer));
            }
        } else if self.heard.elapsed() >= SILENCE {
            targets.extend(self.others().choose(&mut self.rng).map(|it| it.peer));
        }
        targets
    }
}

/// Zones in a view, sorted.
fn zones(view: &View) -> Vec<&str> {
    let mut zones: Vec<_> = view.members.iter().map(|it| it.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

/// Hosts of a zone that wait for changes at the store.
fn watchers<'a>(view: &'a View, zone: &'a str) -> Vec<&'a Member> {
    let owners = rendezvous::owners(ROLE, view.eligible(zone), WATCHERS);
    owners.into_iter().filter_map(|it| view.get(it)).collect()
}

/// Pause after failed calls to the store, in milliseconds: doubled by each failure, with jitter.
fn pause_ms(failures: u32, rng: &mut SmallRng) -> u64 {
    let most = FIRST_PAUSE_MS.saturating_mul(1 << failures.min(10)).min(MAX_PAUSE_MS);
    rng.random_range(most / 2..=most)
}

/// Asks all peers at once; those that answer with nothing newer than the best are left out.
async fn join_peers(peers: &Peers, addresses: &[SocketAddr]) -> Vec<wire::Snapshot> {
    // One or two peers send everything, the others only what these lacked.
    let (first, rest) = addresses.split_at(addresses.len().min(WATCHERS));
    let mut updates = Vec::new();
    let answers = join_all(first.iter().map(|it| ask(peers, *it, 0, START_TIMEOUT))).await;
    updates.extend(answers.into_iter().flatten().flatten());
    let newest = updates.iter().map(|it| it.revision).max().unwrap_or(0);
    let answers = join_all(rest.iter().map(|it| ask(peers, *it, newest, START_TIMEOUT))).await;
    updates.extend(answers.into_iter().flatten().flatten());
    // Changes must follow the listing that they were asked after.
    updates.sort_by_key(|it| (it.after, it.revision));
    updates
}

async fn ask(
    peers: &Peers,
    address: SocketAddr,
    newer_than: u64,
    timeout: Duration,
) -> Result<Option<wire::Snapshot>, ()> {
    let call = async {
        let client = peers.client(address).await.map_err(drop)?;
        client.snapshot(within(timeout), newer_than).await.map_err(drop)
    };
    tokio::time::timeout(timeout, call).await.map_err(drop)?
}

async fn changes(platform: &Client, after: u64, wait_ms: u64) -> Result<Answer, Failure> {
    let limit = Duration::from_millis(wait_ms) + ANSWER_TIMEOUT;
    let late = |_| Failure::Unknown("timeout".to_owned());
    let changes = tokio::time::timeout(limit, platform.watch(PREFIX, after, wait_ms))
        .await
        .map_err(late)??;
    if changes.reset {
        return Ok(Answer::Reset);
    }
    Ok(Answer::Update((after, changes).into()))
}

/// Brings content up to the store's present revision.
///
/// # Errors
/// Any `Failure`; `Invalid` if the store's answer is refused.
pub(crate) async fn catch_up(platform: &Client, content: &mut Content) -> Result<(), Failure> {
    let mut answer = changes(platform, content.revision(), 0).await?;
    if matches!(answer, Answer::Reset) {
        answer = list(platform).await?;
    }
    let Answer::Update(update) = answer else {
        return Err(Failure::Invalid("the listing did not settle".to_owned()));
    };
    content.apply(update).map(drop).map_err(|refusal| Failure::Invalid(refusal.to_string()))
}

/// Lists the configuration in pages and makes them of one revision.
async fn list(platform: &Client) -> Result<Answer, Failure> {
    let mut pages = Pages::default();
    let mut after = String::new();
    loop {
        let page = platform.list(Cause::Config, PREFIX, &after, PAGE_ENTRIES).await?;
        let last = page.entries.last().map(|it| it.key.clone());
        pages.add(page.revision, page.entries);
        let Some(last) = last.filter(|_| page.more) else { break };
        if last <= after {
            return Err(Failure::Invalid("the pages of the listing are out of order".to_owned()));
        }
        after = last;
    }
    for _ in 0..MAX_CATCH_UPS {
        if pages.is_whole() {
            break;
        }
        let changes = platform.watch(PREFIX, pages.after(), 0).await?;
        if changes.reset {
            return Ok(Answer::Reset);
        }
        pages.catch_up(changes.revision, changes.entries);
    }
    let unsettled =
        || Failure::Invalid("the pages of the listing are of different revisions".to_owned());
    pages.finish().map(Answer::Update).ok_or_else(unsettled)
}
