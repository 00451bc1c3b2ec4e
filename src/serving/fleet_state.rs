//! Task that owns what a host knows: copies of the store's keys, the fleet's loads and counts.
//!
//! Three hosts of the fleet, in different availability zones, follow the store. The hubs of each group of hosts ask them, and the
//! others of the group ask their hub, several times a second. A host that nobody serves follows the store itself, and
//! one that the store turns away asks others.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task,
    time::MissedTickBehavior,
};

use crate::{
    serving::{
        counted_store::{Cause, CountedStore},
        dispatcher::{Dispatcher, LocalLoad},
        follower::{self, Follower, Pace, Rank},
        leadership::LEADER_KEY,
        loads::Loads,
        messages::{KeyChange, PrefixState, PrefixUpdate, SyncRequest, SyncResponse},
        mirror::{Mirror, Update},
        peers::{Call, Peers},
        placed_log,
        registry::{DecodeError, Entry},
        roster::{self, Roster},
        sync_client::{self, SyncClient},
        table::Table,
        upstream_list::UpstreamList,
        usage::Meter,
    },
    store::{Change, Item, Store},
    time::{Span, Time},
};

/// Keys that the fleet keeps about itself: its hosts and its leader.
pub const FLEET_PREFIX: &str = "almondrack/fleet/";

/// Interval of the questions to the hub of a small fleet.
pub(super) const INTERVAL: Duration = Duration::from_millis(100);

/// Age of its best proof beyond which a hub follows the store itself: longer than two watches of a follower and a question take.
const HUB_STALE: Span = Span::from_ms(2_200);

/// The same for other hosts, whose hubs are given time to follow first.
const MEMBER_STALE: Span = Span::from_ms(2_800);

/// Age of a host's best proof beyond which others turn to another hub.
const CURRENT_TIME: Span = Span::from_ms(2_000);

/// Time since the store's last answer after which a host no longer follows it: longer than the wait of a watch.
const TOUCH_TIME: Span = Span::from_ms(1_000);

/// Time for which a starting host asks others before it follows the store itself.
const START_TIME: Span = Span::from_ms(300);

/// Most that is added to it by chance, so that a fleet that starts as a whole does not list everything at once.
const START_SPREAD_MS: u64 = 900;

/// Messages that may wait at the task.
const QUEUE: usize = 1_024;

/// Place of a host among the hubs of its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Place {
    /// The hub that writes the group's counts.
    First,
    /// Another hub.
    Other,
    /// No hub.
    Member,
}

/// What a host is to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Role {
    /// Its place in its group.
    pub(super) place: Place,
    /// Its place among those that follow the store for the fleet.
    pub(super) rank: Rank,
}

impl Role {
    /// Age of its best proof beyond which a host that is no hub follows the store itself.
    pub(super) const MEMBER_STALE: Span = MEMBER_STALE;

    pub(super) fn is_hub(self) -> bool {
        self.place != Place::Member
    }

    /// Age of the best proof of other hosts beyond which they do not serve this one.
    fn stale(self) -> Span {
        if self.is_hub() { HUB_STALE } else { MEMBER_STALE }
    }
}

/// How closely each prefix is followed.
///
/// Few hosts prove for all others that nothing is newer. Hubs hear of a new configuration from the store itself, so that
/// a large one does not come to all of them over the links of a few.
fn paces(role: Role, is_served: bool) -> [Pace; 3] {
    if role.rank != Rank::None || !is_served {
        [Pace::Prove; 3]
    } else if role.is_hub() {
        [Pace::Notice, Pace::Rest, Pace::Rest]
    } else {
        [Pace::Rest; 3]
    }
}

/// A followed prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Topic {
    Configuration,
    Upstreams,
    Fleet,
}

impl Topic {
    const ALL: [Topic; 3] = [Topic::Configuration, Topic::Upstreams, Topic::Fleet];

    fn cause(self) -> Cause {
        match self {
            Topic::Configuration => Cause::Configuration,
            Topic::Upstreams => Cause::Upstreams,
            Topic::Fleet => Cause::Fleet,
        }
    }
}

/// How values of the store are read.
#[derive(Debug, Clone, Copy)]
pub struct Decoding {
    /// Key of the configuration.
    pub configuration_key: &'static str,
    /// Start of the keys of upstreams.
    pub upstreams_prefix: &'static str,
    /// Reads a configuration.
    pub table: fn(&[u8]) -> Result<Table, DecodeError>,
    /// Reads the entry of an upstream under a key.
    pub entry: fn(&str, &[u8]) -> Result<Entry, DecodeError>,
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
pub struct FleetState {
    /// Configuration in force, `None` before the first one.
    pub table: watch::Receiver<Option<Arc<Table>>>,
    /// When the store was last known to hold no newer configuration.
    pub verified_at: watch::Receiver<Option<Time>>,
    /// Whether the upstreams were listed at all.
    pub upstreams_listed: watch::Receiver<bool>,
    /// The hosts that are registered.
    pub roster: watch::Receiver<Rc<Roster>>,
    /// The leader's key, if it is held.
    pub leader: watch::Receiver<Option<Item>>,
    /// Whether this host writes the counts of its group.
    pub writes_usage: watch::Receiver<bool>,
}

/// What the task needs.
pub struct Options<S> {
    /// The platform's store.
    pub store: CountedStore<S>,
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
pub(super) enum Message {
    /// The store answered when it was asked at a time; without news if the keys have to be listed again.
    Update(Topic, Time, Option<Update>),
    /// The store does not answer.
    Failed(Topic),
    /// Another host answered a question of a time.
    Answered(Box<SyncResponse>, Time, Option<String>),
    /// What this host has sent.
    Sent(LocalLoad),
}

/// Publishes what the task knows.
struct Outputs {
    table: watch::Sender<Option<Arc<Table>>>,
    verified_at: watch::Sender<Option<Time>>,
    upstreams: watch::Sender<Rc<Vec<Entry>>>,
    upstreams_listed: watch::Sender<bool>,
    roster: watch::Sender<Rc<Roster>>,
    leader: watch::Sender<Option<Item>>,
    writes_usage: watch::Sender<bool>,
    /// Revisions of the copies, for the followers.
    revisions: watch::Sender<[u64; 3]>,
    /// How closely the store is followed.
    paces: watch::Sender<[Pace; 3]>,
    /// Time of the newest proof of each topic.
    proofs: watch::Sender<[Option<Time>; 3]>,
}

/// Spawns the tasks on the current thread.
pub fn spawn<S: Store>(options: Options<S>, dispatcher: Dispatcher) -> FleetState {
    let (table_sender, table) = watch::channel(None);
    let (verified_sender, verified_at) = watch::channel(None);
    let (listed_sender, upstreams_listed) = watch::channel(false);
    let (roster_sender, roster) = watch::channel(Rc::default());
    let (leader_sender, leader) = watch::channel(None);
    let (writes_usage_sender, writes_usage) = watch::channel(true);
    let (revisions_sender, revisions) = watch::channel([0; 3]);
    let (paces_sender, paces) = watch::channel([Pace::Rest; 3]);
    let (proofs_sender, proofs) = watch::channel([None; 3]);
    let (messages, mailbox) = mpsc::channel(QUEUE);
    let alone = Role { place: Place::First, rank: Rank::First };
    let role = Rc::new(watch::channel(alone).0);
    let reached = Rc::new(watch::channel(false).0);
    for topic in Topic::ALL {
        let follower = Follower {
            store: options.store.for_cause(topic.cause()),
            topic,
            prefix: options.decoding.prefix(topic),
            revisions: revisions.clone(),
            messages: messages.clone(),
            role: role.subscribe(),
            roster: roster.clone(),
            reached: reached.clone(),
            pause: follower::FIRST_PAUSE,
        };
        task::spawn_local(follower.run(paces.clone()));
    }
    let memory = Rc::new(RefCell::new(sync_client::PeerMemory::default()));
    let client = || SyncClient {
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
        role: role.clone(),
        memory: memory.clone(),
    };
    task::spawn_local(client().run(dispatcher.clone()));
    task::spawn_local(client().run_as_hub());
    let outputs = Outputs {
        table: table_sender,
        verified_at: verified_sender,
        upstreams: options.upstreams,
        upstreams_listed: listed_sender,
        roster: roster_sender,
        leader: leader_sender,
        writes_usage: writes_usage_sender,
        revisions: revisions_sender,
        paces: paces_sender,
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
        roll: UpstreamList::default(),
        loads: Loads::default(),
        placed: placed_log::PlacedLog::default(),
        role: role.subscribe(),
        reached,
        touched: Time(0),
        start_ends: start_ends(&options.seeds, options.address),
    };
    task::spawn_local(task.run(mailbox, options.calls));
    FleetState { table, verified_at, upstreams_listed, roster, leader, writes_usage }
}

/// Until when a starting host asks others only. Seeds are asked by the others, and look for themselves.
fn start_ends(seeds: &[SocketAddr], own: SocketAddr) -> Time {
    let now = Time::now();
    if seeds.is_empty() || seeds.contains(&own) {
        return now;
    }
    now + START_TIME + Span::from_ms(rand::random_range(0..START_SPREAD_MS))
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
    roll: UpstreamList,
    loads: Loads,
    placed: placed_log::PlacedLog,
    /// What this host is to the others.
    role: watch::Receiver<Role>,
    /// Whether the store answered since this host was left alone.
    reached: Rc<watch::Sender<bool>>,
    /// When the store last answered, zero after a failed call.
    touched: Time,
    start_ends: Time,
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
            Message::Update(topic, asked, news) => {
                self.touched = Time::now();
                if topic == Topic::Upstreams {
                    self.roll.store_recovered(self.touched);
                }
                let news = news.map(|it| self.without_beats(topic, it));
                self.apply_update(topic, news, Some(asked));
            }
            Message::Failed(topic) => {
                self.touched = Time(0);
                if topic == Topic::Upstreams {
                    self.roll.store_failed();
                }
            }
            Message::Answered(answer, asked, group) => self.take_answer(*answer, asked, group),
            Message::Sent(sent) => {
                self.loads.set_own(sent.loads);
                self.placed.add_own(sent.placed);
                let loads = self.loads.remote(Time::now(), self.role.borrow().is_hub());
                self.dispatcher.set_remote_loads(loads);
            }
        }
    }

    /// Entries that say nothing new are not passed on: each upstream writes its own again each second or so, and news of
    /// all of them would go to every host.
    fn without_beats(&self, topic: Topic, news: Update) -> Update {
        if topic != Topic::Upstreams {
            return news;
        }
        let mirror = &self.mirrors[topic as usize];
        let entry = |it: &Item| {
            let entry = (self.decoding.entry)(&it.key, &it.value).ok()?;
            Some(Entry { sequence: 0, ..entry })
        };
        news.without_repeats(|item| {
            let known = mirror.get(&item.key).and_then(entry);
            known.is_some() && known == entry(item)
        })
    }

    fn take_answer(&mut self, answer: SyncResponse, asked: Time, group: Option<String>) {
        let now = Time::now();
        self.roll.outage_reported(now, Span(answer.outage_grace_us));
        for (topic, knowledge) in Topic::ALL.into_iter().zip(answer.prefixes) {
            let proof = knowledge.age_us.map(|it| asked - Span(it));
            if topic == Topic::Configuration {
                self.peer_proof = self.peer_proof.max(proof);
            }
            self.apply_update(topic, knowledge.update.map(read_update), proof);
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
        self.dispatcher.record_placed(answer.placed);
    }

    fn apply_update(&mut self, topic: Topic, news: Option<Update>, proof: Option<Time>) {
        let changes = news.map(|it| self.mirrors[topic as usize].apply(it)).unwrap_or_default();
        let index = topic as usize;
        if self.mirrors[index].revision() > 0 {
            self.proofs[index] = self.proofs[index].max(proof);
        }
        match topic {
            Topic::Configuration => {
                changes.iter().for_each(|it| self.configure(it));
                self.outputs.verified_at.send_replace(self.proofs[index]);
            }
            Topic::Upstreams => {
                if !changes.is_empty() {
                    changes.iter().for_each(|it| self.enrol(it));
                    self.publish_upstreams();
                }
                if self.mirrors[index].revision() > 0 {
                    self.outputs.upstreams_listed.send_replace(true);
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
            match item.map(|it| serde_json::from_slice::<roster::HostRecord>(&it.value)) {
                Some(Ok(host)) => roster.insert(roster::HostRecord { id: id.to_owned(), ..host }),
                Some(Err(error)) => log::warn!("the record of host {id} cannot be read: {error}"),
                None => roster.remove(id),
            }
        }
        if roster != **self.outputs.roster.borrow() {
            self.outputs.roster.send_replace(Rc::new(roster));
        }
    }

    fn answer(&mut self, question: SyncRequest, answer: oneshot::Sender<SyncResponse>) {
        let now = Time::now();
        let mut prefixes = Vec::with_capacity(Topic::ALL.len());
        for topic in Topic::ALL {
            let index = topic as usize;
            let after = question.revisions.get(index).copied().unwrap_or(0);
            prefixes.push(PrefixState {
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
                self.dispatcher.record_placed(question.placed);
                let loads = self.loads.all_but(now, &question.host);
                (loads, self.placed.for_member(&question.host, after))
            }
        };
        self.meter.merge(question.counts);
        // The asking host may have given up.
        let _ = answer.send(SyncResponse {
            host: self.host.clone(),
            is_current: self.is_current(now),
            follows_store: now.since(self.touched) < TOUCH_TIME,
            outage_grace_us: self.roll.grace_left(now).0,
            prefixes,
            loads,
            placed,
            placed_next,
        });
    }

    fn tick(&mut self) {
        let now = Time::now();
        if self.roll.next_expiry().is_some_and(|it| it <= now) {
            self.roll.remove_expired(now);
            self.publish_upstreams();
        }
        let role = *self.role.borrow();
        let served = self.peer_proof.is_some_and(|it| now.since(it) < role.stale());
        let known = self.proofs[Topic::Configuration as usize].is_some();
        let paces =
            if known || now >= self.start_ends { paces(role, served) } else { [Pace::Rest; 3] };
        let was_served = self.outputs.paces.borrow()[Topic::Upstreams as usize] == Pace::Rest;
        if was_served && paces != *self.outputs.paces.borrow() {
            self.reached.send_replace(false);
        }
        set(&self.outputs.paces, paces);
        // A host that nobody serves writes its counts itself, unless the store turns it away too.
        let alone = !(role.is_hub() || served) && *self.reached.borrow();
        let writes = role.place == Place::First || alone;
        set(&self.outputs.writes_usage, writes);
    }

    /// Whether the configuration is known to be the newest, as of a moment ago.
    fn is_current(&self, now: Time) -> bool {
        let proof = self.proofs[Topic::Configuration as usize];
        proof.is_some_and(|it| now.since(it) < CURRENT_TIME)
    }
}

fn set<T: Copy + PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|it| std::mem::replace(it, value) != value);
}

fn write_update(news: Update) -> PrefixUpdate {
    match news {
        Update::Listing(items, revision) => {
            let changes = items.into_iter().map(|it| write_change(Change::Put(it))).collect();
            PrefixUpdate { is_listing: true, changes, revision }
        }
        Update::Changes(changes, revision) => {
            let changes = changes.into_iter().map(write_change).collect();
            PrefixUpdate { is_listing: false, changes, revision }
        }
    }
}

fn write_change(change: Change) -> KeyChange {
    match change {
        Change::Put(Item { key, value, revision }) => {
            KeyChange { key, revision, value: Some(value.to_vec()) }
        }
        Change::Deleted(key, revision) => KeyChange { key, revision, value: None },
    }
}

fn read_update(update: PrefixUpdate) -> Update {
    let changes =
        update.changes.into_iter().map(|KeyChange { key, revision, value }| match value {
            Some(value) => Change::Put(Item { key, value: Bytes::from(value), revision }),
            None => Change::Deleted(key, revision),
        });
    if !update.is_listing {
        return Update::Changes(changes.collect(), update.revision);
    }
    let items = changes.filter_map(|it| match it {
        Change::Put(item) => Some(item),
        Change::Deleted(..) => None,
    });
    Update::Listing(items.collect(), update.revision)
}
