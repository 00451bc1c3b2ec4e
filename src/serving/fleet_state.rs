//! Task that owns a host's state of the fleet: copies of the store's keys, loads and usage counts.
//!
//! Three hosts of the fleet, in different availability zones, follow the store. The hubs of each
//! group of hosts synchronize with them, and the other members of a group with their hub, several
//! times a second. A host whose hubs have no recent state follows the store itself, and a host that
//! cannot reach the store synchronizes with others.

use std::{
    cell::{Cell, RefCell},
    fmt,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::{
    sync::{mpsc, oneshot, watch},
    task,
    time::{MissedTickBehavior, sleep},
};

use crate::{
    metrics::Metrics,
    serving::{
        configuration_era,
        counted_store::{self, Cause},
        dispatcher::{Dispatcher, LocalLoad},
        evacuation::{self, Evacuations, Zones},
        follower::{self, Follower},
        leadership::LEADER_KEY,
        loads::Loads,
        messages,
        mirror::{Mirror, Update},
        peers::{Call, Peers},
        placed_log, rate_limit,
        registry::{DecodeError, Entry},
        reported_load,
        roster::{self, Roster},
        sync_budget::{Budget, Transmission},
        sync_client,
        table::Table,
        upstream_list,
        usage::Meter,
    },
    store::{self, Change, Item, Store, era_of},
    time::{Span, Time},
};

/// Prefix of the keys that describe the fleet itself: its hosts and its leader.
pub const FLEET_PREFIX: &str = "almondrack/fleet/";

/// Interval between sync requests to the hub of a small fleet.
pub(super) const SYNC_INTERVAL: Duration = Duration::from_millis(100);

/// Age of the last verification by peers beyond which a hub follows the store itself. Longer than
/// two watches of a follower and a sync request take.
const HUB_MAX_AGE: Span = Span::from_ms(2_200);

/// The same age for members. It is longer, so that their hubs follow the store first.
const MEMBER_MAX_AGE: Span = Span::from_ms(2_800);

/// Age of a host's last verification beyond which it reports its configuration as not current and
/// other hosts select another hub.
const CURRENT_AGE: Span = Span::from_ms(2_000);

/// Time without any response of another host after which this host follows the store itself. In an
/// outage of the store others still respond, so that the hosts of a fleet do not call it at once.
const ISOLATION_TIME: Span = Span::from_ms(1_000);

/// Time since the store's last answer after which a host reports that it does not follow the store.
/// Longer than the wait of a watch.
const STORE_ANSWER_MAX_AGE: Span = Span::from_ms(1_000);

/// Time after the return of the store from an older copy in which the operator writes the newest configuration again.
/// Until then the store does not verify that no newer one exists.
const REWRITE_TIME: Span = Span::from_ms(2_000);

/// Time for which a starting host only synchronizes with others before it follows the store itself.
const STARTUP_WAIT: Span = Span::from_ms(300);

/// Upper bound of the random addition to that time, so that the hosts of a fleet that starts as a
/// whole do not all list the store at once.
const STARTUP_JITTER_MS: u64 = 900;

/// Index of the prefix in a response that holds what upstreams report of their load, after those of the topics, rate limits
/// and evidence.
const REPORTS_INDEX: usize = Topic::ALL.len() + 2;

/// Index of the prefix in a response that holds evacuations.
const EVACUATIONS_INDEX: usize = REPORTS_INDEX + 1;

/// Size of an update from which a host withholds it if its link has no room, in bytes. The requesting host then reads it from
/// the store, which costs a call.
const LARGE_UPDATE_BYTES: u64 = 16 << 10;

/// Time in which a host asks its other hub for an update that one has withheld.
const OTHER_HUB_TIME: Span = Span::from_ms(150);

/// Time for which a host follows the store itself after a hub has withheld an update; enough for a large one over a slow link.
const WITHHELD_TIME: Span = Span::from_ms(2_000);

/// Interval between samples of the age of the copies.
const AGE_SAMPLE_INTERVAL: Span = Span::from_ms(1_000);

/// Capacity of the task's mailbox.
const MAILBOX_CAPACITY: usize = 1_024;

/// Role of a host in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GroupRole {
    /// The hub that writes the group's usage counts to the store.
    PrimaryHub,
    /// A further hub, with which members synchronize in turns.
    Hub,
    /// A host that synchronizes with the hubs.
    Member,
}

/// Role of a host in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Role {
    pub(super) group: GroupRole,
    pub(super) follower: follower::Rank,
}

impl Role {
    /// Age of the last verification beyond which a member follows the store itself.
    pub(super) const MEMBER_MAX_AGE: Span = MEMBER_MAX_AGE;

    pub(super) fn is_hub(self) -> bool {
        self.group != GroupRole::Member
    }

    /// Age of the last verification by peers beyond which this host follows the store itself.
    fn max_age(self) -> Span {
        if self.is_hub() { HUB_MAX_AGE } else { MEMBER_MAX_AGE }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.group {
            GroupRole::PrimaryHub => "the primary hub of its group",
            GroupRole::Hub => "a hub of its group",
            GroupRole::Member => "a member of its group",
        })?;
        f.write_str(match self.follower {
            follower::Rank::Primary => " and the primary follower of the store",
            follower::Rank::Secondary => " and a follower of the store",
            follower::Rank::None => "",
        })
    }
}

/// Selects the mode in which each prefix is followed.
///
/// A few hosts verify for all others that their copies are current. Hubs watch the configuration
/// in the store, so that a large one is not sent to all of them over the links of a few hosts.
/// `is_served` is true if peers have verified the configuration recently.
fn follow_modes(role: Role, is_served: bool) -> [follower::Mode; 3] {
    if role.follower != follower::Rank::None || !is_served {
        [follower::Mode::Verify; 3]
    } else if role.is_hub() {
        [follower::Mode::Notify, follower::Mode::Off, follower::Mode::Off]
    } else {
        [follower::Mode::Off; 3]
    }
}

/// A followed prefix of the store. The discriminants are the indices of arrays by topic.
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

    /// Value of the `keys` label of metrics.
    fn label(self) -> &'static str {
        match self {
            Topic::Configuration => "configuration",
            Topic::Upstreams => "upstreams",
            Topic::Fleet => "fleet",
        }
    }
}

/// Where an update comes from.
#[derive(Debug, Clone, Copy)]
enum Source<'a> {
    Store,
    /// Another host, by id.
    Host(&'a str),
}

impl Source<'_> {
    /// Value of the `source` label of metrics.
    fn label(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Host(_) => "host",
        }
    }
}

impl fmt::Display for Source<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Store => f.write_str("the store"),
            Source::Host(id) => write!(f, "host {id}"),
        }
    }
}

/// Decoders of the store's values, and the keys under which they are stored.
#[derive(Debug, Clone, Copy)]
pub struct Decoding {
    /// Key that holds the configuration.
    pub configuration_key: &'static str,
    /// Prefixes of the operator's keys, among them the configuration, and of those that hold evacuations of availability
    /// zones; `None` if there are no evacuations.
    pub evacuations: Option<(&'static str, &'static str)>,
    /// Prefix of the keys that hold the entries of upstreams.
    pub upstreams_prefix: &'static str,
    /// Decodes a configuration.
    pub table: fn(&[u8]) -> Result<Table, DecodeError>,
    /// Decodes the entry of an upstream from its key and value.
    pub entry: fn(&str, &[u8]) -> Result<Entry, DecodeError>,
}

impl Decoding {
    fn prefix(&self, topic: Topic) -> &'static str {
        match topic {
            Topic::Configuration => self.evacuations.map_or(self.configuration_key, |it| it.0),
            Topic::Upstreams => self.upstreams_prefix,
            Topic::Fleet => FLEET_PREFIX,
        }
    }
}

/// How far the list of upstreams is verified to be the store's.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Verification {
    /// When it was last verified outside outages of the store and the time after them in which upstreams write their entries
    /// again; `None` before the first time.
    pub at: Option<Time>,
    /// Whether no outage was seen since.
    pub is_current: bool,
}

impl Verification {
    /// Returns when the list was last verified; `None` if the store has been away since.
    pub fn current(self) -> Option<Time> {
        self.at.filter(|_| self.is_current)
    }
}

/// Handle to the state that a host holds.
#[derive(Debug, Clone)]
pub struct Handle {
    /// Configuration in force, `None` before the first one.
    pub table: watch::Receiver<Option<Arc<Table>>>,
    /// When the store was last verified to hold no newer configuration, `None` before the first
    /// time.
    pub verified_at: watch::Receiver<Option<Time>>,
    /// How far the list of upstreams is verified to be the store's.
    pub upstreams_verified: watch::Receiver<Verification>,
    /// Evacuated availability zones, `None` while they are not known.
    pub evacuated: watch::Receiver<Option<Zones>>,
    /// Whether the upstreams have been listed, by the store or by a peer.
    pub upstreams_listed: watch::Receiver<bool>,
    /// Registered hosts.
    pub roster: watch::Receiver<Rc<Roster>>,
    /// The leader's key, `None` while no host holds it.
    pub leader: watch::Receiver<Option<Item>>,
    /// Whether this host writes the usage counts that it holds to the store.
    pub writes_usage: watch::Receiver<bool>,
}

/// Dependencies and settings of the task.
pub struct Options<S> {
    /// The platform's store.
    pub store: counted_store::Counted<S>,
    /// Decoders of the store's values.
    pub decoding: Decoding,
    /// Id of this host.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Address on which this host accepts sync requests.
    pub address: SocketAddr,
    /// Addresses of hosts to synchronize with while the roster is empty.
    pub seeds: Vec<SocketAddr>,
    /// Receives the entries of all usable upstreams, sorted by key.
    pub upstreams: watch::Sender<Rc<Vec<Entry>>>,
    /// Sync requests of other hosts.
    pub calls: mpsc::Receiver<Call>,
    /// Reports of upstreams that other hosts heard.
    pub reports: mpsc::Receiver<messages::Prefix>,
    /// Rate of the host's link in Mbit/s, `None` if it is not known.
    pub link_mbps: Option<f64>,
    /// Usage counts of this host, and of its group if it is a hub.
    pub meter: Meter,
    /// Metrics of the host.
    pub metrics: Metrics,
}

#[derive(Debug)]
pub(super) enum Message {
    /// The store answered a call that was sent at this time. `None` if the keys must be listed
    /// again. The channel tells when the update is applied.
    Update(Topic, Time, Option<Update>, oneshot::Sender<()>),
    /// A call to the store failed.
    Failed(Topic),
    /// Response to a sync request that was sent at this time, with the group if its hub was asked.
    Response(Box<messages::Response>, Time, Option<String>),
    /// Attempts of this host.
    LocalLoad(LocalLoad),
}

/// Channels on which the task publishes its state.
struct Outputs {
    table: watch::Sender<Option<Arc<Table>>>,
    verified_at: watch::Sender<Option<Time>>,
    upstreams: watch::Sender<Rc<Vec<Entry>>>,
    upstreams_verified: watch::Sender<Verification>,
    evacuated: watch::Sender<Option<Zones>>,
    upstreams_listed: watch::Sender<bool>,
    roster: watch::Sender<Rc<Roster>>,
    leader: watch::Sender<Option<Item>>,
    writes_usage: watch::Sender<bool>,
    /// Revision of the copy of each topic.
    revisions: watch::Sender<[u64; 3]>,
    /// Revision after which each follower watches its topic.
    followed: watch::Sender<[u64; 3]>,
    /// Mode in which each topic is followed.
    modes: watch::Sender<[follower::Mode; 3]>,
    /// Time of the last verification of each topic.
    verified: watch::Sender<[Option<Time>; 3]>,
    /// Latest era of the store in which the configuration is known to be the newest.
    known_era: watch::Sender<u64>,
    /// Latest era for which a host has recorded that.
    recorded_era: watch::Sender<u64>,
}

/// Spawns the tasks on the current thread.
pub fn spawn<S: Store>(options: Options<S>, dispatcher: Dispatcher) -> Handle {
    let (table_sender, table) = watch::channel(None);
    let (verified_at_sender, verified_at) = watch::channel(None);
    let (upstreams_verified_sender, upstreams_verified) = watch::channel(Verification::default());
    let (listed_sender, upstreams_listed) = watch::channel(false);
    let evacuations = options.decoding.evacuations.map(|it| Evacuations::new(it.1));
    let known_zones = evacuations.is_none().then(Zones::default);
    let (evacuated_sender, evacuated) = watch::channel(known_zones);
    dispatcher.set_evacuated(evacuated.borrow().clone());
    let (roster_sender, roster) = watch::channel(Rc::default());
    let (leader_sender, leader) = watch::channel(None);
    let (writes_usage_sender, writes_usage) = watch::channel(true);
    let (revisions_sender, revisions) = watch::channel([0; 3]);
    let (followed_sender, followed) = watch::channel([0; 3]);
    let (modes_sender, modes) = watch::channel([follower::Mode::Off; 3]);
    let (verified_sender, verified) = watch::channel([None; 3]);
    let (known_era_sender, known_era) = watch::channel(0);
    let (recorded_era_sender, recorded_era) = watch::channel(0);
    let (messages, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    let standalone = Role { group: GroupRole::PrimaryHub, follower: follower::Rank::Primary };
    let role = Rc::new(watch::channel(standalone).0);
    let store_reachable = Rc::new(watch::channel(false).0);
    for topic in Topic::ALL {
        let follower = Follower {
            store: options.store.for_cause(topic.cause()),
            topic,
            prefix: options.decoding.prefix(topic),
            configuration_key: options.decoding.configuration_key,
            revisions: followed.clone(),
            messages: messages.clone(),
            role: role.subscribe(),
            roster: roster.clone(),
            store_reachable: store_reachable.clone(),
            backoff: follower::INITIAL_BACKOFF,
        };
        task::spawn_local(follower.run(modes.clone()));
    }
    let recorder = configuration_era::Recorder {
        store: options.store.for_cause(Cause::Fleet),
        known: known_era,
        recorded: recorded_era,
        role: role.subscribe(),
    };
    task::spawn_local(recorder.run());
    let tracker = Rc::new(RefCell::new(sync_client::Tracker::default()));
    let evacuations_revision = Rc::new(Cell::new(evacuations.as_ref().map(Evacuations::revision)));
    let client = || sync_client::Client {
        host: options.host.clone(),
        zone: options.zone.clone(),
        address: options.address,
        seeds: options.seeds.clone(),
        peers: Peers::default(),
        report_peers: Peers::default(),
        hear_peers: Peers::default(),
        roster: roster.clone(),
        revisions: revisions.clone(),
        evacuations_revision: evacuations_revision.clone(),
        verified: verified.clone(),
        meter: options.meter.clone(),
        messages: messages.clone(),
        role: role.clone(),
        tracker: tracker.clone(),
        metrics: options.metrics.clone(),
    };
    task::spawn_local(client().run(dispatcher.clone()));
    task::spawn_local(client().run_as_hub());
    let outputs = Outputs {
        table: table_sender,
        verified_at: verified_at_sender,
        upstreams: options.upstreams,
        upstreams_verified: upstreams_verified_sender,
        evacuated: evacuated_sender,
        upstreams_listed: listed_sender,
        roster: roster_sender,
        leader: leader_sender,
        writes_usage: writes_usage_sender,
        revisions: revisions_sender,
        followed: followed_sender,
        modes: modes_sender,
        verified: verified_sender,
        known_era: known_era_sender,
        recorded_era: recorded_era_sender,
    };
    let task = Task {
        decoding: options.decoding,
        host: options.host,
        meter: options.meter,
        metrics: options.metrics,
        sampled_at: Time(0),
        dispatcher,
        outputs,
        mirrors: Default::default(),
        evacuations,
        evacuations_revision,
        verified: [None; 3],
        restored_at: None,
        peer_verified_at: None,
        peer_responded_at: Time::now(),
        is_isolated: false,
        upstream_list: upstream_list::List::default(),
        outage_seen_at: Time(0),
        loads: Loads::default(),
        limits: Vec::new(),
        evidence: messages::Evidence::default(),
        evidence_at: Time(0),
        news: reported_load::News::default(),
        placed: placed_log::Log::default(),
        budget: Budget::new(options.link_mbps),
        withheld_at: [None; 3],
        withheld_until: [Time(0); 3],
        base_modes: [follower::Mode::Off; 3],
        role: role.subscribe(),
        store_reachable,
        store_answered_at: Time(0),
        startup_ends: startup_ends(&options.seeds, options.address),
    };
    task::spawn_local(task.run(mailbox, options.calls, options.reports));
    Handle {
        table,
        verified_at,
        upstreams_verified,
        evacuated,
        upstreams_listed,
        roster,
        leader,
        writes_usage,
    }
}

/// End of the time in which a starting host only synchronizes with others. Seeds follow the store
/// at once, since the others start from them.
fn startup_ends(seeds: &[SocketAddr], own: SocketAddr) -> Time {
    let now = Time::now();
    if seeds.is_empty() || seeds.contains(&own) {
        return now;
    }
    now + STARTUP_WAIT + Span::from_ms(rand::random_range(0..STARTUP_JITTER_MS))
}

struct Task {
    decoding: Decoding,
    host: String,
    meter: Meter,
    metrics: Metrics,
    /// When the age of the copies was last sampled.
    sampled_at: Time,
    dispatcher: Dispatcher,
    outputs: Outputs,
    mirrors: [Mirror; 3],
    /// `None` if the settings bound no evacuation.
    evacuations: Option<Evacuations>,
    /// Revision of that copy, for requests to other hosts.
    evacuations_revision: Rc<Cell<Option<u64>>>,
    /// When each copy was last verified to be the newest.
    verified: [Option<Time>; 3],
    /// When the configuration was first read from a store that came back from an older copy, until it is written again.
    restored_at: Option<Time>,
    /// The same for the configuration, as other hosts reported it.
    peer_verified_at: Option<Time>,
    /// When another host last responded.
    peer_responded_at: Time,
    /// Whether no other host has responded for `ISOLATION_TIME`.
    is_isolated: bool,
    upstream_list: upstream_list::List,
    /// When an outage of the store, or the time after one in which upstreams write their entries again, was last seen.
    outage_seen_at: Time,
    loads: Loads,
    /// Rate limits of upstreams that this host knows, by incarnation.
    limits: Vec<(u64, rate_limit::Limit)>,
    /// What other hosts need to know of content that crashes upstreams.
    evidence: messages::Evidence,
    evidence_at: Time,
    /// What upstreams report of their load, to pass it on.
    news: reported_load::News,
    placed: placed_log::Log,
    /// Bytes that this host may send in responses.
    budget: Budget,
    /// When a hub first withheld an update of each topic that has not come since.
    withheld_at: [Option<Time>; 3],
    /// Time until which each topic is followed in the store for that reason.
    withheld_until: [Time; 3],
    /// Mode in which each topic is followed apart from that.
    base_modes: [follower::Mode; 3],
    role: watch::Receiver<Role>,
    /// Whether the store answered the last call since this host began to follow it.
    store_reachable: Rc<watch::Sender<bool>>,
    /// When the store last answered; zero after a failed call.
    store_answered_at: Time,
    startup_ends: Time,
}

impl Task {
    async fn run(
        mut self,
        mut mailbox: mpsc::Receiver<Message>,
        mut calls: mpsc::Receiver<Call>,
        mut reports: mpsc::Receiver<messages::Prefix>,
    ) {
        let mut interval = tokio::time::interval(SYNC_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = mailbox.recv() => {
                    let Some(message) = message else { return };
                    self.handle(message);
                }
                Some((request, reply)) = calls.recv() => self.respond(request, reply),
                Some(reports) = reports.recv() => {
                    let reports = reports.reports(Time::now());
                    self.news.add(&reports, reported_load::Source::Group);
                    self.dispatcher.merge_reports(reports);
                }
                () = wait_until(self.next_due()) => self.apply_due(),
                _ = interval.tick() => self.tick(),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            // The history is gone, which says nothing about the copy.
            Message::Update(_, _, None, _) => {}
            Message::Update(topic, sent_at, Some(update), applied) => {
                self.store_answered_at = Time::now();
                if topic == Topic::Upstreams {
                    self.upstream_list.store_recovered(self.store_answered_at);
                }
                let update = self.without_heartbeats(topic, update);
                let update = self.without_evacuations(topic, update, sent_at);
                self.apply_update((topic, Source::Store), Some(update), Some(sent_at));
                if topic == Topic::Upstreams {
                    let grace_left = self.upstream_list.grace_left(self.store_answered_at);
                    self.publish_verification(Some(sent_at), grace_left);
                }
                // The follower may have been ended.
                let _ = applied.send(());
            }
            Message::Failed(topic) => {
                self.store_answered_at = Time(0);
                if topic == Topic::Upstreams {
                    self.upstream_list.store_failed();
                    self.publish_verification(None, self.upstream_list.grace_left(Time::now()));
                }
            }
            Message::Response(reply, sent_at, group) => self.apply_response(*reply, sent_at, group),
            Message::LocalLoad(load) => {
                self.loads.set_own(load.loads);
                self.limits = load.limits;
                self.news.add(&load.reports, reported_load::Source::Group);
                self.evidence = load.evidence;
                self.evidence_at = Time::now();
                self.placed.add_own(Time::now(), load.placed);
                let loads = self.loads.remote(Time::now(), self.role.borrow().is_hub());
                self.dispatcher.set_remote_loads(loads);
            }
        }
    }

    /// Drops entries that only repeat the stored one with a new sequence number. Each upstream
    /// rewrites its entry about once a second, and all of these would be sent to every host.
    fn without_heartbeats(&self, topic: Topic, update: Update) -> Update {
        if topic != Topic::Upstreams {
            return update;
        }
        let mirror = &self.mirrors[topic as usize];
        let entry = |it: &Item| {
            let entry = (self.decoding.entry)(&it.key, &it.value).ok()?;
            Some(Entry { sequence: 0, ..entry })
        };
        update.without_repeats(|item| {
            let known = mirror.get(&item.key).and_then(entry);
            known.is_some() && known == entry(item)
        })
    }

    /// Applies the evacuations in an update of the operator's keys, and returns the rest.
    fn without_evacuations(&mut self, topic: Topic, update: Update, sent_at: Time) -> Update {
        let prefix = self.evacuations.as_ref().map(Evacuations::prefix);
        let Some(prefix) = prefix.filter(|_| topic == Topic::Configuration) else { return update };
        let (rest, evacuations) = evacuation::split(update, prefix);
        self.apply_evacuations(Some(evacuations), Some(sent_at));
        rest
    }

    fn apply_evacuations(&mut self, update: Option<Update>, verified_at: Option<Time>) {
        if let Some(evacuations) = &mut self.evacuations {
            evacuations.apply(Time::now(), update, verified_at);
            self.publish_evacuated();
        }
    }

    /// Publishes the evacuated zones, and the revisions up to which the operator's keys are known.
    fn publish_evacuated(&mut self) {
        let Some(evacuations) = &self.evacuations else { return };
        self.evacuations_revision.set(Some(evacuations.revision()));
        let zones = evacuations.zones(Time::now());
        let is_new = self.outputs.evacuated.send_if_modified(|it| {
            if *it == zones {
                return false;
            }
            let before = it.take().unwrap_or_default();
            zones.iter().for_each(|zones| zones.log_changes(&before));
            it.clone_from(&zones);
            true
        });
        if is_new {
            self.dispatcher.set_evacuated(zones);
        }
    }

    fn next_due(&self) -> Option<Time> {
        let evacuations = self.evacuations.as_ref().and_then(Evacuations::next_due);
        self.upstream_list.next_due().into_iter().chain(evacuations).min()
    }

    fn apply_response(
        &mut self,
        response: messages::Response,
        sent_at: Time,
        group: Option<String>,
    ) {
        let now = Time::now();
        self.peer_responded_at = now;
        self.upstream_list.outage_reported(now, Span(response.outage_grace_us));
        if let Some(limits) = response.prefixes.get(Topic::ALL.len()) {
            self.dispatcher.merge_limits(limits.limits(sent_at));
        }
        let evidence = response.prefixes.get(Topic::ALL.len() + 1);
        if let Some(evidence) = evidence.and_then(messages::Prefix::evidence) {
            self.dispatcher.merge_evidence(sent_at, evidence);
        }
        if let Some(reports) = response.prefixes.get(REPORTS_INDEX) {
            let reports = reports.reports(sent_at);
            self.news.add(&reports, reported_load::Source::Elsewhere);
            self.dispatcher.merge_reports(reports);
        }
        let leaving = messages::Load::leaving(&response.loads);
        self.dispatcher.merge_departures(&response.host, leaving);
        let evacuations = response.prefixes.get(EVACUATIONS_INDEX).cloned();
        let evacuations_verified = evacuations.as_ref().and_then(|it| it.age_us);
        if let Some(evacuations) = evacuations {
            let verified_at = evacuations.age_us.map(|it| sent_at - Span(it));
            self.apply_evacuations(evacuations.update.map(decode_update), verified_at);
        }
        for (topic, state) in Topic::ALL.into_iter().zip(response.prefixes) {
            let verified_at = state.age_us.map(|it| sent_at - Span(it));
            if topic == Topic::Configuration {
                // Hosts of earlier versions do not know the evacuations.
                let served_at = match self.evacuations {
                    Some(_) => verified_at.min(evacuations_verified.map(|it| sent_at - Span(it))),
                    None => verified_at,
                };
                self.peer_verified_at = self.peer_verified_at.max(served_at);
            }
            let source = Source::Host(&response.host);
            let is_withheld = state.update.as_ref().is_some_and(messages::Update::is_withheld);
            if is_withheld {
                self.update_withheld(topic, &response.host);
            }
            let update = state.update.filter(|_| !is_withheld).map(decode_update);
            self.apply_update((topic, source), update, verified_at);
            if topic == Topic::Upstreams {
                self.publish_verification(verified_at, Span(response.outage_grace_us));
            }
        }
        match group {
            Some(group) => {
                self.placed.add_group(now, response.placed.clone());
                self.loads.set_group(sent_at, &group, response.loads);
            }
            None => self.loads.set_others(sent_at, response.loads),
        }
        self.dispatcher.record_placed(response.placed);
    }

    /// Replaces older versions of entries by those that this host knows. A store that comes back from a copy serves
    /// them until their writers have written the newest ones again.
    fn without_outdated(&self, topic: Topic, update: Update) -> Update {
        let mirror = &self.mirrors[topic as usize];
        let table = self.outputs.table.borrow().clone();
        update.map_items(|item| {
            let Some(known) = mirror.get(&item.key) else { return };
            let is_outdated = match topic {
                Topic::Configuration => {
                    let newest = table.as_ref().map_or(0, |it| it.version);
                    // One that cannot be decoded is logged when it is applied.
                    let version = (self.decoding.table)(&item.value).map_or(newest, |it| it.version);
                    if version < newest {
                        log::warn!(
                            "the store serves configuration {version} of an older copy; {newest} stays in force"
                        );
                    }
                    version < newest
                }
                Topic::Upstreams => {
                    let entry = |it: &Item| (self.decoding.entry)(&it.key, &it.value).ok();
                    let (old, new) = (entry(known), entry(item));
                    old.zip(new).is_some_and(|(old, new)| {
                        old.started_ms == new.started_ms && new.sequence < old.sequence
                    })
                }
                Topic::Fleet => false,
            };
            if is_outdated {
                item.value = known.value.clone();
            }
        })
    }

    /// Prepares for a listing of a store that came back from an older copy.
    fn store_restored(&mut self, topic: Topic, update: &Update) {
        let now = Time::now();
        log::warn!(
            "reading {} from an older copy of the store: revision {} after {}",
            self.decoding.prefix(topic),
            store::display(update.revision()),
            store::display(self.mirrors[topic as usize].revision())
        );
        match topic {
            Topic::Configuration => self.restored_at = Some(now),
            Topic::Upstreams => self.upstream_list.store_restored(now),
            // Hosts and the leader write their keys again.
            Topic::Fleet => {}
        }
    }

    fn apply_update(
        &mut self,
        (topic, source): (Topic, Source<'_>),
        update: Option<Update>,
        verified_at: Option<Time>,
    ) {
        let index = topic as usize;
        let known = self.mirrors[index].revision();
        let update = update.map(|it| self.without_outdated(topic, it));
        let is_restored =
            |it: &Update| known > 0 && it.is_listing() && era_of(it.revision()) > era_of(known);
        let is_restored = update.as_ref().is_some_and(is_restored);
        if let Some(update) = update.as_ref().filter(|_| is_restored) {
            self.store_restored(topic, update);
        }
        let changes = update.map(|it| self.mirrors[index].apply(it)).unwrap_or_default();
        if !changes.is_empty() {
            (self.withheld_at[index], self.withheld_until[index]) = (None, Time(0));
        }
        let verified_before = self.verified[index];
        if let Some(at) = verified_before.filter(|_| !changes.is_empty()) {
            let age = Time::now().since(at);
            self.metrics.change_applied(topic.label(), source.label(), age);
        }
        if self.mirrors[index].revision() > 0 {
            self.verified[index] = self.verified[index].max(verified_at);
        }
        match topic {
            Topic::Configuration => {
                let revision = self.mirrors[index].revision();
                if known == 0 && era_of(revision) > 0 {
                    self.restored_at = Some(Time::now());
                } else if !is_restored && changes.iter().any(|it| matches!(it, Change::Put(_))) {
                    self.restored_at = None;
                }
                let known_at = (source, verified_before);
                changes.iter().for_each(|it| self.apply_configuration(it, known_at));
                self.publish_configuration_verified();
            }
            Topic::Upstreams => {
                if !changes.is_empty() {
                    let known_at = verified_before.filter(|_| !is_restored);
                    changes.iter().for_each(|it| self.apply_upstream(it, is_restored, known_at));
                    self.publish_upstreams();
                }
                if self.mirrors[index].revision() > 0 {
                    self.outputs.upstreams_listed.send_replace(true);
                }
            }
            Topic::Fleet => {
                self.apply_fleet(&changes);
                self.publish_configuration_verified();
            }
        }
        let revisions = [0, 1, 2].map(|it: usize| self.mirrors[it].revision());
        self.outputs.revisions.send_replace(revisions);
        let mut followed = revisions;
        if let Some(evacuations) = &self.evacuations {
            // The configuration can be newer, from a host of an earlier version.
            followed[0] = followed[0].min(evacuations.revision());
        }
        self.outputs.followed.send_replace(followed);
        self.outputs.verified.send_replace(self.verified);
    }

    /// Publishes when the configuration was last verified to be the newest. An older copy of the store does not tell whether
    /// a newer one exists, unless another host has recorded that it was written again.
    fn publish_configuration_verified(&mut self) {
        let index = Topic::Configuration as usize;
        let (verified, era) = (self.verified[index], era_of(self.mirrors[index].revision()));
        let is_recorded = *self.outputs.recorded_era.borrow() == era;
        if is_recorded || self.restored_at.is_none_or(|at| verified >= Some(at + REWRITE_TIME)) {
            self.outputs.verified_at.send_replace(verified);
            if verified.is_some() {
                set_if_changed(&self.outputs.known_era, era);
            }
        }
    }

    /// Applies a change of the configuration from `source`, which was last verified at `verified_before`.
    fn apply_configuration(
        &mut self,
        change: &Change,
        (source, verified_before): (Source<'_>, Option<Time>),
    ) {
        let item = match change {
            Change::Put(item) if item.key == self.decoding.configuration_key => item,
            Change::Put(_) => return,
            Change::Deleted(key, _) => {
                log::warn!("{key} was deleted; the last configuration stays in force");
                return;
            }
        };
        match (self.decoding.table)(&item.value) {
            Ok(table) => {
                let age = verified_before
                    .map(|it| format!(", at most {} ms old", Time::now().since(it).as_ms()));
                log::info!(
                    "configuration {} is in force, revision {}, from {source}{}",
                    table.version,
                    store::display(item.revision),
                    age.unwrap_or_default()
                );
                let engines = table
                    .pools()
                    .iter()
                    .filter_map(|it| Some((it.name.clone(), it.engine.as_ref()?.kv_tokens)));
                self.dispatcher.set_capacities(engines.collect());
                self.outputs.table.send_replace(Some(Arc::new(table)));
            }
            Err(error) => {
                log::error!(
                    "the configuration of revision {} cannot be decoded: {error}",
                    store::display(item.revision)
                );
            }
        }
    }

    /// Applies a change. `is_restored` tells whether it comes from an older copy of the store; otherwise the list was
    /// last verified at `verified_before`.
    fn apply_upstream(
        &mut self,
        change: &Change,
        is_restored: bool,
        verified_before: Option<Time>,
    ) {
        match change {
            Change::Put(item) => {
                let entry = (self.decoding.entry)(&item.key, &item.value);
                match is_restored {
                    true => self.upstream_list.put_restored(Time::now(), &item.key, entry),
                    false => self.upstream_list.put(&item.key, entry),
                }
            }
            Change::Deleted(key, _) => match verified_before {
                Some(at) => self.upstream_list.delete_since(Time::now(), key, at),
                None => self.upstream_list.delete(Time::now(), key),
            },
        }
    }

    /// Publishes when the list of upstreams was verified, by the store or by another host. `grace_left` is the rest of the
    /// time in which upstreams write their entries again after an outage, as far as the source knows.
    fn publish_verification(&mut self, verified_at: Option<Time>, grace_left: Span) {
        if grace_left > Span(0) {
            self.outage_seen_at = Time::now();
        }
        let settled_at = verified_at.filter(|it| *it > self.outage_seen_at);
        let at = self.outputs.upstreams_verified.borrow().at.max(settled_at);
        let is_current = at.is_some_and(|it| it > self.outage_seen_at);
        self.outputs.upstreams_verified.send_replace(Verification { at, is_current });
    }

    fn publish_upstreams(&mut self) {
        let entries: Vec<_> = self.upstream_list.entries().cloned().collect();
        self.outputs.upstreams.send_if_modified(|it| {
            let changed = **it != entries;
            if changed {
                *it = Rc::new(entries);
            }
            changed
        });
    }

    /// Applies changes of the registered hosts and of the leader.
    fn apply_fleet(&mut self, changes: &[Change]) {
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
            if let Some(era) = configuration_era::parse(key, item.map(|it| &*it.value)) {
                set_if_changed(&self.outputs.recorded_era, era);
                continue;
            }
            let Some(id) = key.strip_prefix(roster::PREFIX) else { continue };
            match item.map(|it| serde_json::from_slice::<roster::Host>(&it.value)) {
                Some(Ok(host)) => roster.insert(roster::Host { id: id.to_owned(), ..host }),
                Some(Err(error)) => log::warn!("host record {id} cannot be decoded: {error}"),
                None => roster.remove(id),
            }
        }
        if roster != **self.outputs.roster.borrow() {
            self.outputs.roster.send_replace(Rc::new(roster));
        }
    }

    /// Returns the state of each followed prefix with the update that the requesting host lacks, if the link has room for it,
    /// and the bytes of the updates, which are charged.
    fn topic_prefixes(
        &mut self,
        now: Time,
        request: &messages::Request,
    ) -> (Vec<messages::Prefix>, u64) {
        let mut charged = 0;
        let mut prefixes = Vec::with_capacity(Topic::ALL.len());
        for topic in Topic::ALL {
            let index = topic as usize;
            let after = request.revisions.get(index).copied().unwrap_or(0);
            let update = self.mirrors[index].since(after);
            let size = update.as_ref().map_or(0, Update::size);
            let transmission = match size < LARGE_UPDATE_BYTES {
                true => Transmission::Now,
                false => self.budget.decide(now, (&request.host, index), size),
            };
            if transmission != Transmission::Now {
                let is_withheld = transmission == Transmission::Withheld;
                let update = is_withheld.then(|| messages::Update::withheld(after));
                // Without an age, as it says nothing about the copy that the requesting host has.
                prefixes.push(messages::Prefix { age_us: None, update });
                continue;
            }
            self.budget.charge(size);
            charged += size;
            prefixes.push(messages::Prefix {
                age_us: self.verified[index].map(|it| now.since(it).0),
                update: update.map(encode_update),
            });
        }
        (prefixes, charged)
    }

    fn respond(&mut self, request: messages::Request, reply: oneshot::Sender<messages::Response>) {
        let now = Time::now();
        self.budget.received(&request.host);
        let (mut prefixes, charged) = self.topic_prefixes(now, &request);
        let reports = match self.budget.available(now) {
            0 => Vec::new(),
            _ => self.news.recent(now, request.is_hub),
        };
        if !(self.limits.is_empty() && self.evidence.is_empty() && reports.is_empty()) {
            prefixes.push(messages::Prefix::from_limits(now, &self.limits));
        }
        if !self.evidence.is_empty() || !reports.is_empty() {
            let evidence = self.evidence.clone().aged(now.since(self.evidence_at));
            prefixes.push(messages::Prefix::from_evidence(&evidence));
        }
        if !reports.is_empty() {
            prefixes.push(messages::Prefix::from_reports(now, &reports));
        }
        let evacuations_after = request.revisions.get(Topic::ALL.len());
        if let Some((known, after)) = self.evacuations.as_ref().zip(evacuations_after) {
            // Each prefix has its place, and nothing says the same as an empty list.
            prefixes.resize(EVACUATIONS_INDEX, messages::Prefix { age_us: None, update: None });
            prefixes.push(messages::Prefix {
                age_us: known.verified().map(|it| now.since(it).0),
                update: known.since(*after).map(encode_update),
            });
        }
        let after = request.placed_after;
        let (loads, (mut placed, placed_next)) = match request.is_hub {
            // Hubs send each other no loads in requests, since each requests those of the others.
            true => (self.loads.own_group(now), self.placed.for_group(now, after)),
            false => {
                let leaving = messages::Load::leaving(&request.loads);
                self.dispatcher.merge_departures(&request.host, leaving);
                self.loads.set_member(now, &request.host, request.loads);
                self.placed.add_member(now, &request.host, request.placed.clone());
                self.dispatcher.record_placed(request.placed);
                let loads = self.loads.all_but(now, &request.host);
                (loads, self.placed.for_member(&request.host, after))
            }
        };
        self.meter.merge(request.counts);
        // The newest parts are worth most.
        let room = self.budget.available(now) / messages::Placement::MAX_BYTES;
        let room = room.try_into().unwrap_or(usize::MAX);
        placed.drain(..placed.len().saturating_sub(room));
        let response = messages::Response {
            host: self.host.clone(),
            is_current: self.is_current(now),
            follows_store: now.since(self.store_answered_at) < STORE_ANSWER_MAX_AGE,
            outage_grace_us: self.upstream_list.grace_left(now).0,
            prefixes,
            loads,
            placed,
            placed_next,
        };
        let mut sent: u64 = 0;
        for (content, bytes) in response.sizes() {
            self.metrics.synced("served", content, bytes);
            sent += bytes;
        }
        self.budget.charge(sent.saturating_sub(charged));
        // The requesting host may have timed out.
        let _ = reply.send(response);
    }

    /// Records that another host withholds an update of a topic. Follows it in the store for some time if no other hub has
    /// sent it meanwhile.
    fn update_withheld(&mut self, topic: Topic, host: &str) {
        let now = Time::now();
        let since = *self.withheld_at[topic as usize].get_or_insert(now);
        if now.since(since) < OTHER_HUB_TIME {
            return;
        }
        if now >= self.withheld_until[topic as usize] {
            let label = topic.label();
            log::info!("host {host} has no room to send the newest {label}; reading the store");
            // The store is called at once, as nothing tells that it is away.
            self.store_reachable.send_replace(true);
        }
        self.withheld_until[topic as usize] = now + WITHHELD_TIME;
    }

    fn apply_due(&mut self) {
        self.upstream_list.apply_due(Time::now());
        self.publish_upstreams();
        if let Some(evacuations) = &mut self.evacuations {
            evacuations.apply_due(Time::now());
            self.publish_evacuated();
        }
    }

    /// Samples the age of the copies that requests depend on.
    fn sample_ages(&mut self, now: Time) {
        if now.since(self.sampled_at) < AGE_SAMPLE_INTERVAL {
            return;
        }
        self.sampled_at = now;
        for topic in [Topic::Configuration, Topic::Upstreams] {
            if let Some(at) = self.verified[topic as usize] {
                self.metrics.copy_aged(topic.label(), now.since(at));
            }
        }
    }

    fn tick(&mut self) {
        let now = Time::now();
        self.sample_ages(now);
        let role = *self.role.borrow();
        let is_isolated = self.lacks_peers(now);
        let was_isolated = std::mem::replace(&mut self.is_isolated, is_isolated);
        let verified_recently =
            self.peer_verified_at.is_some_and(|it| now.since(it) < role.max_age());
        // Hosts that know of no other one may all count on each other.
        let has_others = self.has_others();
        let served = verified_recently && has_others && !self.is_isolated;
        let known = self.verified[Topic::Configuration as usize].is_some();
        let modes = if (known && has_others) || now >= self.startup_ends {
            follow_modes(role, served)
        } else {
            [follower::Mode::Off; 3]
        };
        let was_served = self.base_modes[Topic::Upstreams as usize] == follower::Mode::Off;
        if was_served && modes != self.base_modes {
            self.store_reachable.send_replace(false);
        }
        self.base_modes = modes;
        if self.is_isolated && !was_isolated {
            log::info!(
                "no other host has responded for {} ms; following the store",
                ISOLATION_TIME.as_ms()
            );
            // The store is called at once, as nothing tells that it is away.
            self.store_reachable.send_replace(true);
        }
        let modes = Topic::ALL.map(|topic| match now < self.withheld_until[topic as usize] {
            true => follower::Mode::Verify,
            false => modes[topic as usize],
        });
        set_if_changed(&self.outputs.modes, modes);
        // Without a hub a host writes its own counts, unless it cannot reach the store either.
        let standalone = !(role.is_hub() || served) && *self.store_reachable.borrow();
        let writes = role.group == GroupRole::PrimaryHub || standalone;
        set_if_changed(&self.outputs.writes_usage, writes);
    }

    /// Whether there are other hosts of which none has responded for `ISOLATION_TIME`.
    fn lacks_peers(&self, now: Time) -> bool {
        self.has_others() && now.since(self.peer_responded_at) >= ISOLATION_TIME
    }

    /// Whether another host is registered.
    fn has_others(&self) -> bool {
        self.outputs.roster.borrow().iter().any(|it| it.id != self.host)
    }

    /// Whether the configuration was verified to be the newest within `CURRENT_AGE`.
    fn is_current(&self, now: Time) -> bool {
        let verified_at = self.verified[Topic::Configuration as usize];
        verified_at.is_some_and(|it| now.since(it) < CURRENT_AGE)
    }
}

/// Waits until a time, forever if there is none.
async fn wait_until(due: Option<Time>) {
    match due {
        Some(due) => sleep(due.since(Time::now()).into()).await,
        None => std::future::pending().await,
    }
}

fn set_if_changed<T: Copy + PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|it| std::mem::replace(it, value) != value);
}

fn encode_update(update: Update) -> messages::Update {
    match update {
        Update::Listing(items, revision) => {
            let changes = items.into_iter().map(|it| encode_change(Change::Put(it))).collect();
            messages::Update { is_listing: true, changes, revision }
        }
        Update::Changes(changes, revision) => {
            let changes = changes.into_iter().map(encode_change).collect();
            messages::Update { is_listing: false, changes, revision }
        }
    }
}

fn encode_change(change: Change) -> messages::Change {
    match change {
        Change::Put(Item { key, value, revision }) => {
            messages::Change { key, revision, value: Some(messages::Value(value)) }
        }
        Change::Deleted(key, revision) => messages::Change { key, revision, value: None },
    }
}

fn decode_update(update: messages::Update) -> Update {
    let changes =
        update.changes.into_iter().map(|messages::Change { key, revision, value }| match value {
            Some(value) => Change::Put(Item { key, value: value.0, revision }),
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
