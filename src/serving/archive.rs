//! Task that owns what a host knows: copies of the store's keys, the fleet's loads and counts.
//!
//! The hub of a group of hosts follows the store; the others of the group ask the hub several times a second. A host
//! whose hub is silent or behind follows the store itself, and a host that the store turns away asks others.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task,
    time::{MissedTickBehavior, sleep, timeout},
};

use crate::{
    serving::{
        dispatcher::{Dispatcher, Sent},
        leadership::LEADER_KEY,
        loads::Loads,
        mirror::{Mirror, News},
        news::{Answer, Knowledge, Line, Question, Update},
        peers::{Call, Peers},
        placed,
        registry::{Entry, Fault},
        roll::Roll,
        roster::{self, Roster},
        table::Table,
        usage::Meter,
    },
    store::{Change, Failure, Item, Store, Watch},
    time::{Span, Time},
};

/// Keys that the fleet keeps about itself: its hosts and its leader.
pub const FLEET_PREFIX: &str = "almondrack/fleet/";

/// Interval of the questions to the hub of a small fleet.
const INTERVAL: Duration = Duration::from_millis(100);

/// Questions of a host in a large fleet are sent at each so many intervals.
const LARGE_FLEET_STRIDE: usize = 2;

/// Age of the best proof beyond which other sources are asked: longer than two watches of the store and a question take.
const STALE: Span = Span::from_ms(2_600);

/// Hosts of a group that follow the store; the others ask them in turns, so that the loss of one delays nothing.
const HUBS: usize = 2;

/// Time for which a host that did not answer is passed over.
const SHUN_TIME: Span = Span::from_ms(1_000);

/// Time for which a host that does not follow the store is passed over as a hub.
const BEHIND_TIME: Span = Span::from_ms(300);

/// Time since the store's last answer after which a host no longer follows it: longer than a watch.
const TOUCH_TIME: Span = Span::from_ms(1_400);

/// Time for which a starting host asks others before it follows the store itself.
const START_TIME: Span = Span::from_ms(250);

/// Longest wait of a watch of the configuration or the upstreams, in milliseconds. A connection that fell silent is noticed
/// after it, and the last answer but one proves that the configuration is the newest.
const WAIT_MS: u64 = 1_000;

/// Pause of the first hub between watches that returned changes: each upstream writes its entry again as a beat, and hosts
/// are restarted in series, so that a large list changes all the time, and calls are paid for.
const BEAT_PAUSE: Duration = Duration::from_millis(200);

/// The same for other hosts, from which the group hears of little first.
const OTHER_BEAT_PAUSE: Duration = Duration::from_millis(600);

/// Longest wait of a watch of the fleet's own keys, in milliseconds.
const FLEET_WAIT_MS: u64 = 5_000;

/// First pause after a failed call to the store.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause of a hub after failed calls to the store.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause of other hosts, all of which ask the store when their hubs are behind.
const MEMBER_MAX_PAUSE: Duration = Duration::from_millis(1_600);

/// Messages that may wait at the task.
const QUEUE: usize = 1_024;

/// Place of a host among the hubs of its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// The hub that writes the group's counts.
    First,
    /// Another hub.
    Other,
    /// No hub.
    Member,
}

/// A followed prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Topic {
    Configuration,
    Upstreams,
    Fleet,
}

impl Topic {
    const ALL: [Topic; 3] = [Topic::Configuration, Topic::Upstreams, Topic::Fleet];
}

/// How values of the store are read.
#[derive(Debug, Clone, Copy)]
pub struct Decoding {
    /// Key of the configuration.
    pub configuration_key: &'static str,
    /// Start of the keys of upstreams.
    pub upstreams_prefix: &'static str,
    /// Reads a configuration.
    pub table: fn(&[u8]) -> Result<Table, Fault>,
    /// Reads the entry of an upstream under a key.
    pub entry: fn(&str, &[u8]) -> Result<Entry, Fault>,
}

impl Decoding {
    fn prefix(&self, topic: Topic) -> &'static str {
        match topic {
            Topic::Configuration => self.configuration_key,
            Topic::Upstreams => self.upstreams_prefix,
            Topic::Fleet => FLEET_PREFIX,
        }
    }
}

/// Handle to what a host knows.
#[derive(Debug, Clone)]
pub struct Archive {
    /// Configuration in force, `None` before the first one.
    pub table: watch::Receiver<Option<Arc<Table>>>,
    /// When the store was last known to hold no newer configuration.
    pub proven: watch::Receiver<Option<Time>>,
    /// Whether the upstreams were listed at all.
    pub listed: watch::Receiver<bool>,
    /// The hosts that are registered.
    pub roster: watch::Receiver<Rc<Roster>>,
    /// The leader's key, if it is held.
    pub leader: watch::Receiver<Option<Item>>,
    /// Whether this host writes the counts of its group.
    pub collects: watch::Receiver<bool>,
}

/// What the task needs.
pub struct Options<S> {
    /// The platform's store.
    pub store: S,
    /// How its values are read.
    pub decoding: Decoding,
    /// Id of this host.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Address of this host for others.
    pub address: SocketAddr,
    /// Addresses of some hosts.
    pub seeds: Vec<SocketAddr>,
    /// Takes the entries of all upstreams, sorted by key.
    pub upstreams: watch::Sender<Rc<Vec<Entry>>>,
    /// Questions of other hosts.
    pub calls: mpsc::Receiver<Call>,
    /// Counter of this host, and of its group if it is a hub.
    pub meter: Meter,
}

#[derive(Debug)]
enum Message {
    /// The store said something, or nothing new, when it was asked at a time.
    News(Topic, Time, Option<News>),
    /// The store does not answer.
    Failed(Topic),
    /// Another host answered a question of a time.
    Answered(Box<Answer>, Time, Option<String>),
    /// What this host has sent.
    Sent(Sent),
}

/// Publishes what the task knows.
struct Outputs {
    table: watch::Sender<Option<Arc<Table>>>,
    proven: watch::Sender<Option<Time>>,
    upstreams: watch::Sender<Rc<Vec<Entry>>>,
    listed: watch::Sender<bool>,
    roster: watch::Sender<Rc<Roster>>,
    leader: watch::Sender<Option<Item>>,
    collects: watch::Sender<bool>,
    /// Revisions of the copies, for the followers.
    revisions: watch::Sender<[u64; 3]>,
    /// Whether the store is followed.
    following: watch::Sender<bool>,
    /// Time of the newest proof of each topic.
    proofs: watch::Sender<[Option<Time>; 3]>,
}

/// Spawns the tasks on the current thread.
pub fn spawn<S: Store>(options: Options<S>, dispatcher: Dispatcher) -> Archive {
    let (table_sender, table) = watch::channel(None);
    let (proven_sender, proven) = watch::channel(None);
    let (listed_sender, listed) = watch::channel(false);
    let (roster_sender, roster) = watch::channel(Rc::default());
    let (leader_sender, leader) = watch::channel(None);
    let (collects_sender, collects) = watch::channel(true);
    let (revisions_sender, revisions) = watch::channel([0; 3]);
    let (following_sender, following) = watch::channel(false);
    let (proofs_sender, proofs) = watch::channel([None; 3]);
    let (messages, mailbox) = mpsc::channel(QUEUE);
    let place = Rc::new(watch::channel(Place::First).0);
    let reached = Rc::new(watch::channel(false).0);
    for topic in Topic::ALL {
        let follower = Follower {
            store: options.store.clone(),
            topic,
            prefix: options.decoding.prefix(topic),
            revisions: revisions.clone(),
            messages: messages.clone(),
            place: place.subscribe(),
            reached: reached.clone(),
            pause: FIRST_PAUSE,
        };
        task::spawn_local(follower.run(following.clone()));
    }
    let asker = || Asker {
        host: options.host.clone(),
        zone: options.zone.clone(),
        address: options.address,
        seeds: options.seeds.clone(),
        peers: Peers::default(),
        roster: roster.clone(),
        revisions: revisions.clone(),
        proofs: proofs.clone(),
        meter: options.meter.clone(),
        messages: messages.clone(),
        shunned: Vec::new(),
        place: place.clone(),
        counted: None,
        positions: Vec::new(),
    };
    task::spawn_local(asker().run(dispatcher.clone()));
    task::spawn_local(asker().run_as_hub());
    let outputs = Outputs {
        table: table_sender,
        proven: proven_sender,
        upstreams: options.upstreams,
        listed: listed_sender,
        roster: roster_sender,
        leader: leader_sender,
        collects: collects_sender,
        revisions: revisions_sender,
        following: following_sender,
        proofs: proofs_sender,
    };
    let task = Task {
        decoding: options.decoding,
        host: options.host,
        meter: options.meter,
        dispatcher,
        outputs,
        mirrors: Default::default(),
        proofs: [None; 3],
        peer_proof: None,
        roll: Roll::default(),
        loads: Loads::default(),
        placed: placed::Log::default(),
        place: place.subscribe(),
        touched: Time(0),
        started: Time::now(),
        has_seeds: options.seeds.iter().any(|it| *it != options.address),
    };
    task::spawn_local(task.run(mailbox, options.calls));
    Archive { table, proven, listed, roster, leader, collects }
}

/// Follows one prefix of the store while it is told to.
struct Follower<S> {
    store: S,
    topic: Topic,
    prefix: &'static str,
    revisions: watch::Receiver<[u64; 3]>,
    messages: mpsc::Sender<Message>,
    place: watch::Receiver<Place>,
    /// Whether the store answered the last call of any follower.
    reached: Rc<watch::Sender<bool>>,
    /// Pause after the next failed call.
    pause: Duration,
}

impl<S: Store> Follower<S> {
    async fn run(mut self, mut following: watch::Receiver<bool>) {
        let mut listed = false;
        loop {
            if following.wait_for(|it| *it).await.is_err() {
                return;
            }
            let asked = Time::now();
            let message = match self.ask(listed).await {
                Ok(news) => {
                    listed = news.is_some();
                    self.pause = FIRST_PAUSE;
                    self.reached.send_replace(true);
                    Message::News(self.topic, asked, news.flatten())
                }
                Err(failure) => {
                    log::info!("{} cannot be followed: {failure}", self.prefix);
                    if self.messages.send(Message::Failed(self.topic)).await.is_err() {
                        return;
                    }
                    self.wait_for_store().await;
                    continue;
                }
            };
            let changed = matches!(message, Message::News(_, _, Some(_)));
            if self.messages.send(message).await.is_err() {
                return;
            }
            if changed && self.topic != Topic::Configuration {
                let first = *self.place.borrow() == Place::First;
                sleep(if first { BEAT_PAUSE } else { OTHER_BEAT_PAUSE }).await;
            }
        }
    }

    /// Waits after a failed call. One follower tries for all of this host, as calls are paid for that a store in trouble
    /// turns away.
    async fn wait_for_store(&mut self) {
        self.reached.send_replace(false);
        let next = self.next_pause();
        let pause = std::mem::replace(&mut self.pause, next);
        // Hosts that lost the store together do not all return together.
        let pause = pause.mul_f64(rand::random_range(0.7..1.3));
        if self.topic == Topic::Configuration {
            sleep(pause).await;
            return;
        }
        let mut reached = self.reached.subscribe();
        // Without an answer to the others, this follower tries again by itself.
        let _ = timeout(MEMBER_MAX_PAUSE.max(pause), reached.wait_for(|it| *it)).await;
    }

    fn next_pause(&self) -> Duration {
        let longest = match *self.place.borrow() {
            Place::First | Place::Other => MAX_PAUSE,
            Place::Member => MEMBER_MAX_PAUSE,
        };
        (self.pause * 2).min(longest)
    }

    /// `None` if the keys have to be listed again, an inner `None` if nothing changed.
    async fn ask(&self, listed: bool) -> Result<Option<Option<News>>, Failure> {
        let after = self.revisions.borrow()[self.topic as usize];
        if after == 0 || !listed {
            let (items, revision) = list(&self.store, self.prefix).await?;
            return Ok(Some(Some(News::Listing(items, revision))));
        }
        let wait_ms = match self.topic {
            Topic::Configuration | Topic::Upstreams => WAIT_MS,
            Topic::Fleet => FLEET_WAIT_MS,
        };
        Ok(match self.store.watch(self.prefix, after, wait_ms).await? {
            Watch::Changes(changes, revision) => Some(Some(News::Changes(changes, revision))),
            Watch::Compacted => None,
        })
    }
}

/// Reads all pages of a listing. They are not of one revision; what changed since the first one is followed.
async fn list<S: Store>(store: &S, prefix: &str) -> Result<(Vec<Item>, u64), Failure> {
    let mut items: Vec<Item> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map_or("", |it| it.key.as_str()).to_owned();
        let page = store.list(prefix, &after).await?;
        items.extend(page.items);
        let first = *revision.get_or_insert(page.revision);
        if !page.more {
            return Ok((items, first));
        }
    }
}

/// Asks other hosts.
struct Asker {
    host: String,
    zone: String,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    peers: Peers,
    roster: watch::Receiver<Rc<Roster>>,
    revisions: watch::Receiver<[u64; 3]>,
    proofs: watch::Receiver<[Option<Time>; 3]>,
    meter: Meter,
    messages: mpsc::Sender<Message>,
    /// Hosts that did not answer, and until when they are passed over.
    shunned: Vec<(SocketAddr, Time)>,
    /// Place of this host among the hubs of its group.
    place: Rc<watch::Sender<Place>>,
    /// Who has all of this host's counts so far.
    counted: Option<SocketAddr>,
    /// Positions in the parts of the hosts that were asked.
    positions: Vec<(SocketAddr, u64)>,
}

impl Asker {
    async fn run(mut self, dispatcher: Dispatcher) {
        let mut interval = tokio::time::interval(INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut tick: usize = 0;
        loop {
            interval.tick().await;
            tick = tick.wrapping_add(1);
            let roster = self.roster.borrow().clone();
            let group = roster.group(&self.zone).to_owned();
            if !group.is_empty() && !tick.is_multiple_of(LARGE_FLEET_STRIDE) {
                continue;
            }
            let sent = dispatcher.sent().await;
            if self.messages.send(Message::Sent(sent.clone())).await.is_err() {
                return;
            }
            let hubs = self.hubs(&roster, &group);
            let place = match hubs.iter().position(|it| *it == self.address) {
                Some(0) => Place::First,
                Some(_) => Place::Other,
                None => Place::Member,
            };
            self.place.send_if_modified(|it| std::mem::replace(it, place) != place);
            let others: Vec<_> = hubs.into_iter().filter(|it| *it != self.address).collect();
            let turn = tick / LARGE_FLEET_STRIDE;
            if let Some(hub) = others.get(turn % others.len().max(1)) {
                self.ask(*hub, sent, None).await;
            } else if self.is_behind() {
                self.ask_anyone(&roster, sent).await;
            }
        }
    }

    /// The hubs of this host's group, as far as they answer and follow the store.
    fn hubs(&mut self, roster: &Roster, group: &str) -> Vec<SocketAddr> {
        let now = Time::now();
        self.shunned.retain(|it| now < it.1);
        let ranked = roster.ranked(group).into_iter().map(|it| it.address);
        let open = |it: &SocketAddr| self.shunned.iter().all(|shunned| shunned.0 != *it);
        ranked.filter(|it| open(it) || *it == self.address).take(HUBS).collect()
    }

    fn is_behind(&self) -> bool {
        let proof = self.proofs.borrow()[Topic::Configuration as usize];
        proof.is_none_or(|it| Time::now().since(it) >= STALE)
    }

    /// Asks any host, as neither the store nor a hub can be asked.
    async fn ask_anyone(&mut self, roster: &Roster, sent: Sent) {
        let known = roster.iter().map(|it| it.address).chain(self.seeds.iter().copied());
        let open = |it: &SocketAddr| self.shunned.iter().all(|shunned| shunned.0 != *it);
        let others: Vec<_> = known.filter(|it| *it != self.address && open(it)).collect();
        if let Some(other) = pick(&others) {
            self.ask(other, sent, None).await;
        }
    }

    /// Asks the hubs of the other groups while this host is a hub of its own.
    async fn run_as_hub(mut self) {
        let mut interval = tokio::time::interval(INTERVAL * LARGE_FLEET_STRIDE as u32);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.messages.is_closed() {
            interval.tick().await;
            let roster = self.roster.borrow().clone();
            let group = roster.group(&self.zone).to_owned();
            if group.is_empty() || *self.place.borrow() == Place::Member {
                continue;
            }
            for other in roster.zones().into_iter().filter(|it| *it != group) {
                if let Some(hub) = self.hubs(&roster, other).first() {
                    self.ask(*hub, Sent::default(), Some(other.to_owned())).await;
                }
            }
        }
    }

    /// Asks a host; a hub of another group if one is named.
    async fn ask(&mut self, address: SocketAddr, sent: Sent, group: Option<String>) {
        let counts = match group {
            None => self.meter.changed(self.counted == Some(address)),
            Some(_) => Vec::new(),
        };
        let question = Question {
            host: self.host.clone(),
            is_hub: group.is_some(),
            revisions: self.revisions.borrow().to_vec(),
            loads: sent.loads,
            placed: sent.placed,
            placed_after: self.position(address),
            counts,
        };
        let asked = Time::now();
        let Some(answer) = self.peers.ask(address, question).await else {
            log::info!("the host at {address} does not answer");
            if self.counted == Some(address) {
                self.counted = None;
            }
            self.shunned.push((address, Time::now() + SHUN_TIME));
            return;
        };
        if group.is_none() {
            self.counted = Some(address);
            if !answer.follows {
                self.shunned.push((address, Time::now() + BEHIND_TIME));
            }
        }
        self.set_position(address, answer.placed_next);
        let message = Message::Answered(Box::new(answer), asked, group);
        // The mailbox closes only when the host stops.
        let _ = self.messages.send(message).await;
    }

    /// Position in a host's parts up to which they are known.
    fn position(&self, address: SocketAddr) -> u64 {
        self.positions.iter().find(|it| it.0 == address).map_or(0, |it| it.1)
    }

    fn set_position(&mut self, address: SocketAddr, position: u64) {
        match self.positions.iter_mut().find(|it| it.0 == address) {
            Some(known) => known.1 = position,
            None => self.positions.push((address, position)),
        }
    }
}

fn pick(addresses: &[SocketAddr]) -> Option<SocketAddr> {
    let count = addresses.len();
    (count > 0).then(|| addresses[rand::random_range(0..count)])
}

struct Task {
    decoding: Decoding,
    host: String,
    meter: Meter,
    dispatcher: Dispatcher,
    outputs: Outputs,
    mirrors: [Mirror; 3],
    /// When the store was last known to hold nothing newer.
    proofs: [Option<Time>; 3],
    /// The same for the configuration, as other hosts told.
    peer_proof: Option<Time>,
    roll: Roll,
    loads: Loads,
    placed: placed::Log,
    /// Place of this host among the hubs of its group.
    place: watch::Receiver<Place>,
    /// When the store last answered.
    touched: Time,
    started: Time,
    has_seeds: bool,
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::Receiver<Message>, mut calls: mpsc::Receiver<Call>) {
        let mut interval = tokio::time::interval(INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = mailbox.recv() => {
                    let Some(message) = message else { return };
                    self.take(message);
                }
                Some((question, answer)) = calls.recv() => self.answer(question, answer),
                _ = interval.tick() => self.tick(),
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::News(topic, asked, news) => {
                let now = Time::now();
                self.touched = now;
                if topic == Topic::Upstreams {
                    self.roll.recover(now);
                }
                self.learn(topic, news, Some(asked));
            }
            Message::Failed(topic) => {
                self.touched = Time(0);
                if topic == Topic::Upstreams {
                    self.roll.fail();
                }
            }
            Message::Answered(answer, asked, group) => self.take_answer(*answer, asked, group),
            Message::Sent(sent) => {
                self.loads.set_own(sent.loads);
                self.placed.add_own(sent.placed);
                let loads = self.loads.foreign(Time::now(), *self.place.borrow() != Place::Member);
                self.dispatcher.set_foreign(loads);
            }
        }
    }

    fn take_answer(&mut self, answer: Answer, asked: Time, group: Option<String>) {
        let now = Time::now();
        for (topic, knowledge) in Topic::ALL.into_iter().zip(answer.knowledge) {
            let proof = knowledge.age_us.map(|it| asked - Span(it));
            if topic == Topic::Configuration {
                self.peer_proof = self.peer_proof.max(proof);
            }
            self.learn(topic, knowledge.update.map(read_update), proof);
        }
        match group {
            Some(group) => {
                self.placed.add_group(answer.placed.clone());
                self.loads.set_group(now, &group, answer.loads);
            }
            None => {
                self.placed.add_member(&answer.host, answer.placed.clone());
                self.loads.set_others(now, answer.loads);
            }
        }
        self.dispatcher.note_placed(answer.placed);
    }

    fn learn(&mut self, topic: Topic, news: Option<News>, proof: Option<Time>) {
        let changes = news.map(|it| self.mirrors[topic as usize].take(it)).unwrap_or_default();
        let index = topic as usize;
        if self.mirrors[index].revision() > 0 {
            self.proofs[index] = self.proofs[index].max(proof);
        }
        match topic {
            Topic::Configuration => {
                changes.iter().for_each(|it| self.configure(it));
                self.outputs.proven.send_replace(self.proofs[index]);
            }
            Topic::Upstreams => {
                changes.iter().for_each(|it| self.enrol(it));
                self.publish_upstreams();
                if self.mirrors[index].revision() > 0 {
                    self.outputs.listed.send_replace(true);
                }
            }
            Topic::Fleet => self.meet(&changes),
        }
        let revisions = [0, 1, 2].map(|it: usize| self.mirrors[it].revision());
        self.outputs.revisions.send_replace(revisions);
        self.outputs.proofs.send_replace(self.proofs);
    }

    fn configure(&mut self, change: &Change) {
        let item = match change {
            Change::Put(item) if item.key == self.decoding.configuration_key => item,
            Change::Put(_) => return,
            Change::Deleted(key, _) => {
                log::warn!("{key} was deleted; the last version stays");
                return;
            }
        };
        match (self.decoding.table)(&item.value) {
            Ok(table) => {
                log::info!(
                    "configuration {} is in force, revision {}",
                    table.version,
                    item.revision
                );
                self.outputs.table.send_replace(Some(Arc::new(table)));
            }
            Err(fault) => {
                log::error!(
                    "the configuration of revision {} cannot be read: {fault}",
                    item.revision
                );
            }
        }
    }

    fn enrol(&mut self, change: &Change) {
        match change {
            Change::Put(item) => {
                self.roll.put(&item.key, (self.decoding.entry)(&item.key, &item.value));
            }
            Change::Deleted(key, _) => self.roll.delete(Time::now(), key),
        }
    }

    fn publish_upstreams(&mut self) {
        let entries: Vec<_> = self.roll.entries().cloned().collect();
        self.outputs.upstreams.send_if_modified(|it| {
            let changed = **it != entries;
            if changed {
                *it = Rc::new(entries);
            }
            changed
        });
    }

    /// Takes in hosts that came and went, and the leader.
    fn meet(&mut self, changes: &[Change]) {
        let mut roster = (**self.outputs.roster.borrow()).clone();
        for change in changes {
            let (key, item) = match change {
                Change::Put(item) => (&item.key, Some(item)),
                Change::Deleted(key, _) => (key, None),
            };
            if key == LEADER_KEY {
                self.outputs.leader.send_replace(item.cloned());
                continue;
            }
            let Some(id) = key.strip_prefix(roster::PREFIX) else { continue };
            match item.map(|it| serde_json::from_slice::<roster::Host>(&it.value)) {
                Some(Ok(host)) => roster.insert(roster::Host { id: id.to_owned(), ..host }),
                Some(Err(error)) => log::warn!("the record of host {id} cannot be read: {error}"),
                None => roster.remove(id),
            }
        }
        if roster != **self.outputs.roster.borrow() {
            self.outputs.roster.send_replace(Rc::new(roster));
        }
    }

    fn answer(&mut self, question: Question, answer: oneshot::Sender<Answer>) {
        let now = Time::now();
        let mut knowledge = Vec::with_capacity(Topic::ALL.len());
        for topic in Topic::ALL {
            let index = topic as usize;
            let after = question.revisions.get(index).copied().unwrap_or(0);
            knowledge.push(Knowledge {
                age_us: self.proofs[index].map(|it| now.since(it).0),
                update: self.mirrors[index].since(after).map(write_update),
            });
        }
        let after = question.placed_after;
        let (loads, (placed, placed_next)) = match question.is_hub {
            // Each hub asks the others, so that a question tells nothing of loads.
            true => (self.loads.own_group(now), self.placed.for_group(after)),
            false => {
                self.loads.set_member(now, &question.host, question.loads);
                self.placed.add_member(&question.host, question.placed.clone());
                self.dispatcher.note_placed(question.placed);
                let loads = self.loads.all_but(now, &question.host);
                (loads, self.placed.for_member(&question.host, after))
            }
        };
        self.meter.collect(question.counts);
        // The asking host may have given up.
        let _ = answer.send(Answer {
            host: self.host.clone(),
            follows: now.since(self.touched) < TOUCH_TIME,
            knowledge,
            loads,
            placed,
            placed_next,
        });
    }

    fn tick(&mut self) {
        let now = Time::now();
        if self.roll.next_alarm().is_some_and(|it| it <= now) {
            self.roll.advance(now);
            self.publish_upstreams();
        }
        let place = *self.place.borrow();
        let is_hub = place != Place::Member;
        let served = self.peer_proof.is_some_and(|it| now.since(it) < STALE);
        let starting = self.has_seeds && now.since(self.started) < START_TIME;
        let known = self.proofs[Topic::Configuration as usize].is_some();
        let follow = if known { is_hub || !served } else { !starting };
        set(&self.outputs.following, follow);
        set(&self.outputs.collects, place == Place::First || !(is_hub || served));
    }
}

fn set(sender: &watch::Sender<bool>, value: bool) {
    sender.send_if_modified(|it| std::mem::replace(it, value) != value);
}

fn write_update(news: News) -> Update {
    match news {
        News::Listing(items, revision) => {
            let lines = items.into_iter().map(|it| write_change(Change::Put(it))).collect();
            Update { complete: true, lines, revision }
        }
        News::Changes(changes, revision) => {
            let lines = changes.into_iter().map(write_change).collect();
            Update { complete: false, lines, revision }
        }
    }
}

fn write_change(change: Change) -> Line {
    match change {
        Change::Put(Item { key, value, revision }) => {
            Line { key, revision, value: Some(value.to_vec()) }
        }
        Change::Deleted(key, revision) => Line { key, revision, value: None },
    }
}

fn read_update(update: Update) -> News {
    let changes = update.lines.into_iter().map(|Line { key, revision, value }| match value {
        Some(value) => Change::Put(Item { key, value: Bytes::from(value), revision }),
        None => Change::Deleted(key, revision),
    });
    if !update.complete {
        return News::Changes(changes.collect(), update.revision);
    }
    let items = changes.filter_map(|it| match it {
        Change::Put(item) => Some(item),
        Change::Deleted(..) => None,
    });
    News::Listing(items.collect(), update.revision)
}
