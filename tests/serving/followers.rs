//! Load of a fleet on the store, and age of the hosts' state while the store refuses some of them.
//!
//! The hosts run in one process with real connections between them and an in-memory store.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

use almondrack::{
    metrics::Metrics,
    serving::{
        counted_store::{self, Cause},
        dispatcher::Dispatcher,
        fleet_state::{self, Decoding, FLEET_PREFIX},
        peers,
        registry::{DecodeError, Entry, State},
        roster::{self, Roster},
        table::{Parts, Table},
        usage::Meter,
    },
    store::{Change, Commit, Committed, Failure, Item, LeaseId, Page, Store, Watch},
    time::{Span, Time},
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::LocalSet,
    time::{Instant, sleep, timeout},
};

use crate::fixture::{FEATURES, engine};

const CONFIGURATION: &str = "configuration";
/// Behind the key of the configuration, so that both are followed together.
const EVACUATIONS: &str = "configuration/evacuate/";

const UPSTREAMS: &str = "upstreams/";

/// Number of upstreams, each of which rewrites its entry at each heartbeat.
const UPSTREAM_COUNT: usize = 20;

/// Interval between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(600);

/// Maximum number of calls for upstreams in 3 s: three followers, of which one pauses for 0.4 s and
/// two for 0.8 s after each change.
const MAX_CALLS: usize = 15;

/// Maximum number of calls in an outage of 8 s: three followers that pause for at least 0.28 s, of
/// which two call for three prefixes, six hubs, and all other hosts, which probe every 80 ms
/// together.
const MAX_OUTAGE_CALLS: usize = 2 * 3 * 29 + 4 * 8 + 100;

/// Time after which the hosts of a new fleet have found their hubs.
const STARTUP_TIME: Duration = Duration::from_millis(3_000);

/// Time within which a draining upstream gets its last request, at the strictest of the users'
/// sites.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// Time that a request may take from its placement to the upstream.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

/// Time within which hosts receive a change from the other followers: their pause after a change
/// and two rounds of sync requests. Less than the time-out of a request.
const HANG_BOUND: Duration = Duration::from_millis(1_100);

/// Time within which every host serves by a configuration, at the strictest of the users' sites.
pub(crate) const CONFIGURATION_BOUND: Duration = Duration::from_millis(2_000);

/// Time after which a test no longer waits for a change.
const PATIENCE: Duration = Duration::from_millis(12_000);

/// Age of a verification up to which keys may be used, less the margin for clock drift, at the
/// strictest of the users' sites.
const KEY_BOUND: Span = Span::from_ms(4_800);

#[derive(Debug, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// Number of calls by host and prefix.
    calls: BTreeMap<(usize, String), usize>,
    /// Hosts whose calls are refused.
    refused: Vec<usize>,
    /// Most changes in an answer that hosts read, `None` without a limit.
    max_changes: Option<usize>,
}

/// In-memory store, as the client of one host. Clones share its content.
#[derive(Debug, Clone)]
pub(crate) struct MemoryStore {
    content: Rc<RefCell<Content>>,
    changed: watch::Sender<u64>,
    host: usize,
}

impl MemoryStore {
    pub(crate) fn new() -> MemoryStore {
        MemoryStore { content: Rc::default(), changed: watch::channel(0).0, host: usize::MAX }
    }

    pub(crate) fn put(&self, key: &str, value: &[u8]) {
        self.put_shared(key, value.to_vec().into());
    }

    fn put_shared(&self, key: &str, value: bytes::Bytes) {
        let mut content = self.content.borrow_mut();
        content.revision += 1;
        let revision = content.revision;
        let item = Item { key: key.to_owned(), value, revision };
        content.items.insert(key.to_owned(), item.clone());
        content.history.push(Change::Put(item));
        self.changed.send_replace(revision);
    }

    /// Forgets all values and changes. Hosts keep what they know.
    fn forget_all(&self) {
        let mut content = self.content.borrow_mut();
        content.refused = (0..100).collect();
        content.items.clear();
        content.history.clear();
    }

    /// Refuses all further calls of this client's host.
    pub(crate) fn refuse(&self) {
        self.content.borrow_mut().refused.push(self.host);
    }

    fn remove(&self, key: &str) {
        let mut content = self.content.borrow_mut();
        content.revision += 1;
        let revision = content.revision;
        content.items.remove(key);
        content.history.push(Change::Deleted(key.to_owned(), revision));
        self.changed.send_replace(revision);
    }

    fn call(&self, prefix: &str) -> Result<(), Failure> {
        let mut content = self.content.borrow_mut();
        *content.calls.entry((self.host, prefix.to_owned())).or_default() += 1;
        if content.refused.contains(&self.host) { Err(Failure::Refused(503)) } else { Ok(()) }
    }

    fn changes(&self, prefix: &str, after: u64) -> Vec<Change> {
        let newer = |it: &&Change| match it {
            Change::Put(item) => item.revision > after && item.key.starts_with(prefix),
            Change::Deleted(key, revision) => *revision > after && key.starts_with(prefix),
        };
        self.content.borrow().history.iter().filter(newer).cloned().collect()
    }
}

impl Store for MemoryStore {
    fn era(&self) -> u64 {
        0
    }

    async fn get(&self, _: &str) -> Result<Option<Item>, Failure> {
        Err(Failure::Refused(404))
    }

    async fn list(&self, prefix: &str, _: &str) -> Result<Page, Failure> {
        self.call(prefix)?;
        let content = self.content.borrow();
        let items = content.items.values().filter(|it| it.key.starts_with(prefix));
        Ok(Page { items: items.cloned().collect(), more: false, revision: content.revision })
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<Watch, Failure> {
        self.call(prefix)?;
        let mut changed = self.changed.subscribe();
        let wait_for_change = async {
            while self.changes(prefix, after).is_empty() {
                // The sender is dropped only with the test.
                let _ = changed.changed().await;
            }
        };
        // Returns no changes after the wait.
        let _ = timeout(Duration::from_millis(wait_ms), wait_for_change).await;
        // A waiting call ends with its connection.
        if self.content.borrow().refused.contains(&self.host) {
            return Err(Failure::Unknown("the connection was cut".to_owned()));
        }
        let content = self.content.borrow();
        let (revision, max_changes) = (content.revision, content.max_changes);
        drop(content);
        let changes = self.changes(prefix, after);
        if max_changes.is_some_and(|it| changes.len() > it) {
            return Err(Failure::Oversized(format!("{} changes", changes.len())));
        }
        Ok(Watch::Changes(changes, revision))
    }

    async fn commit(&self, _: &Commit) -> Result<Committed, Failure> {
        Err(Failure::Refused(403))
    }

    async fn open_lease(&self, _: u64) -> Result<LeaseId, Failure> {
        Err(Failure::Refused(403))
    }

    async fn renew_lease(&self, _: LeaseId) -> Result<bool, Failure> {
        Err(Failure::Refused(403))
    }

    async fn end_lease(&self, _: LeaseId) -> Result<(), Failure> {
        Err(Failure::Refused(403))
    }
}

/// Decodes an entry, which is the number of its upstream, its state and its sequence.
fn decode_entry(key: &str, value: &[u8]) -> Result<Entry, DecodeError> {
    let unreadable = || DecodeError(format!("{key} is not an entry"));
    let text = std::str::from_utf8(value).map_err(|_| unreadable())?;
    let mut fields = text.split(' ').map(|it| it.parse::<u64>().ok());
    let mut next = || fields.next().flatten().ok_or_else(unreadable);
    let (index, state, sequence) = (next()?, next()?, next()?);
    let state = if state == 0 { State::Ready } else { State::Draining };
    Ok(Entry { state, sequence, ..engine(index as usize) })
}

/// Decodes a configuration, which is its version and padding behind a space.
fn decode_table(value: &[u8]) -> Result<Table, DecodeError> {
    let text = std::str::from_utf8(value).ok();
    let version = text.and_then(|it| it.split(' ').next()?.parse().ok());
    let version = version.ok_or_else(|| DecodeError("the version is missing".to_owned()))?;
    Ok(Table::build(Parts { version, ..Parts::default() }))
}

/// A fleet with its store.
pub(crate) struct Fleet {
    store: MemoryStore,
    pub(crate) hosts: Vec<fleet_state::Handle>,
    /// Indices of the hosts that follow the store.
    followers: Vec<usize>,
    upstreams: Vec<watch::Receiver<Rc<Vec<Entry>>>>,
    /// Gate of each host, which holds back the sync requests to it while it is false.
    gates: Vec<watch::Sender<bool>>,
    /// Ids of hosts whose sync requests get no response from any host.
    unanswered: Arc<Mutex<Vec<String>>>,
    leaving: Rc<Cell<bool>>,
    link_mbps: Option<f64>,
}

impl Fleet {
    /// Starts hosts in three availability zones and waits until they have found their hubs.
    pub(crate) async fn spawn(count: usize) -> Fleet {
        Fleet::spawn_on_links(count, None).await
    }

    /// As [`Fleet::spawn`], with links of this rate.
    pub(crate) async fn spawn_on_links(count: usize, link_mbps: Option<f64>) -> Fleet {
        let store = MemoryStore::new();
        store.put(CONFIGURATION, b"1");
        let leaving = Rc::new(Cell::new(false));
        tokio::task::spawn_local(write_heartbeats(store.clone(), leaving.clone()));
        let mut listeners = Vec::new();
        let mut roster = Roster::default();
        for index in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
            let address = listener.local_addr().expect("the socket is bound");
            let zone = ["a", "b", "c"][index % 3];
            let id = format!("host-{index:03}");
            let host = roster::Host {
                id: id.clone(),
                address,
                zone: zone.into(),
                cpu_per_mille: 100,
                selects_pool_by_id: true,
                tunnels: None,
            };
            let record = serde_json::to_vec(&host).expect("records can be written");
            store.put(&format!("{}{id}", roster::PREFIX), &record);
            roster.insert(host.clone());
            listeners.push((listener, host));
        }
        let followers = roster.followers().into_iter().take(3);
        let place = |id: &str| listeners.iter().position(|it| it.1.id == id);
        let followers = followers.filter_map(|it| place(&it.id)).collect();
        let seeds: Vec<_> = listeners.iter().take(3).map(|it| it.1.address).collect();
        let mut fleet = Fleet {
            store,
            hosts: Vec::new(),
            followers,
            upstreams: Vec::new(),
            gates: Vec::new(),
            unanswered: Arc::default(),
            leaving,
            link_mbps,
        };
        for (index, (listener, host)) in listeners.into_iter().enumerate() {
            fleet.open(index, listener, host, seeds.clone());
        }
        sleep(STARTUP_TIME).await;
        fleet
    }

    fn open(
        &mut self,
        index: usize,
        listener: TcpListener,
        host: roster::Host,
        seeds: Vec<SocketAddr>,
    ) {
        let (sender, upstreams) = watch::channel(Rc::default());
        let (calls_sender, mut requests) = mpsc::channel(256);
        tokio::spawn(peers::serve(
            listener,
            peers::Mailboxes {
                calls: calls_sender,
                permits: mpsc::channel(1).0,
                evidence: mpsc::channel(1).0,
                reports: mpsc::channel(1).0,
            },
        ));
        let (passed, calls) = mpsc::channel(256);
        let (gate, mut is_open) = watch::channel(true);
        self.gates.push(gate);
        let unanswered = self.unanswered.clone();
        tokio::spawn(async move {
            let mut held: Vec<peers::Call> = Vec::new();
            while let Some(request) = requests.recv().await {
                let hosts =
                    unanswered.lock().expect("no test panics while it holds the lock").clone();
                if hosts.contains(&request.0.host) {
                    held.push(request);
                    continue;
                }
                // Both channels are open until the end of the test.
                let _ = is_open.wait_for(|it| *it).await;
                let _ = passed.send(request).await;
            }
        });
        let dispatcher = Dispatcher::spawn(
            host.id.as_str().into(),
            ("a".into(), FEATURES),
            upstreams.clone(),
            mpsc::unbounded_channel().0,
            Metrics::open().expect("the names of metrics are unique"),
        );
        let store = MemoryStore { host: index, ..self.store.clone() };
        let metrics = Metrics::open().expect("the names of metrics are unique");
        let options = fleet_state::Options {
            metrics: metrics.clone(),
            store: counted_store::Counted::new(store, metrics, Cause::Fleet),
            decoding: Decoding {
                configuration_key: CONFIGURATION,
                evacuations: Some((CONFIGURATION, EVACUATIONS)),
                upstreams_prefix: UPSTREAMS,
                table: decode_table,
                entry: decode_entry,
            },
            host: host.id.clone(),
            zone: host.zone,
            address: host.address,
            seeds,
            upstreams: sender,
            calls,
            reports: mpsc::channel(1).1,
            link_mbps: self.link_mbps,
            meter: Meter::new(Span::from_ms(60_000), &host.id),
        };
        self.hosts.push(fleet_state::spawn(options, dispatcher));
        self.upstreams.push(upstreams);
    }

    /// Stops the responses of a host to sync requests from now on.
    fn stop_responses(&mut self, host: usize) {
        self.gates[host].send_replace(false);
    }

    /// Leaves the sync requests of a host to all others without responses.
    fn cut_off(&self, host: usize) {
        let id = format!("host-{host:03}");
        self.unanswered.lock().expect("no test panics while it holds the lock").push(id);
    }

    /// Writes a configuration and returns how long it takes until all hosts serve by it.
    async fn configuration_time(&self, version: u64) -> Duration {
        self.large_configuration_time(version, 0).await
    }

    /// Writes a configuration with bytes of padding.
    pub(crate) fn put_configuration(&self, version: u64, padding: usize) {
        let value = format!("{version} {}", "x".repeat(padding));
        self.store.put(CONFIGURATION, value.as_bytes());
    }

    /// Writes a configuration with bytes of padding and returns how long it takes until all hosts serve by it.
    pub(crate) async fn large_configuration_time(&self, version: u64, padding: usize) -> Duration {
        self.put_configuration(version, padding);
        let start = Instant::now();
        let is_in_force = |it: &fleet_state::Handle| {
            it.table.borrow().as_ref().is_some_and(|it| it.version == version)
        };
        while !self.hosts.iter().all(is_in_force) && start.elapsed() < PATIENCE {
            sleep(Duration::from_millis(5)).await;
        }
        start.elapsed()
    }

    /// Adds an upstream, waits until all hosts use it, and removes it after `pause`. Returns how long hosts use it after
    /// that.
    async fn removal_time(&self, index: usize, pause: Duration) -> Duration {
        let key = format!("{UPSTREAMS}engine-{index}");
        self.store.put(&key, format!("{index} 0 1").as_bytes());
        let id = engine(index).id;
        let uses = |it: &watch::Receiver<Rc<Vec<Entry>>>| {
            it.borrow().iter().any(|it| it.id == id && it.state == State::Ready)
        };
        while !self.upstreams.iter().all(uses) {
            sleep(Duration::from_millis(5)).await;
        }
        sleep(pause).await;
        self.store.remove(&key);
        let start = Instant::now();
        while self.upstreams.iter().any(uses) && start.elapsed() < PATIENCE {
            sleep(Duration::from_millis(5)).await;
        }
        start.elapsed()
    }

    /// Counts the calls by prefix within a time, and the hosts that made any.
    async fn calls(&self, time: Duration) -> (BTreeMap<String, usize>, usize) {
        self.store.content.borrow_mut().calls.clear();
        sleep(time).await;
        let content = self.store.content.borrow();
        let mut sums = BTreeMap::new();
        for ((_, prefix), count) in &content.calls {
            *sums.entry(prefix.clone()).or_default() += count;
        }
        let mut hosts: Vec<_> = content.calls.keys().map(|it| it.0).collect();
        hosts.dedup();
        (sums, hosts.len())
    }

    /// Returns the largest age of the hosts' last verification of the configuration.
    fn max_verification_age(&self) -> Span {
        let now = Time::now();
        let ages = self
            .hosts
            .iter()
            .map(|it| it.verified_at.borrow().map_or(Span(u64::MAX), |at| now.since(at)));
        ages.max().unwrap_or(Span(0))
    }

    /// Returns the hosts whose state of the draining upstream differs from the store, and the
    /// followers.
    fn late(&self, leaving: bool) -> (Vec<usize>, &[usize]) {
        let has_draining = |it: &watch::Receiver<Rc<Vec<Entry>>>| {
            it.borrow().iter().any(|entry| entry.state == State::Draining)
        };
        let hosts = 0..self.upstreams.len();
        let late = hosts.filter(|it| has_draining(&self.upstreams[*it]) != leaving);
        (late.collect(), &self.followers)
    }

    fn hosts_with_draining(&self) -> usize {
        let has_draining = |it: &&watch::Receiver<Rc<Vec<Entry>>>| {
            it.borrow().iter().any(|entry| entry.state == State::Draining)
        };
        self.upstreams.iter().filter(has_draining).count()
    }
}

/// Rewrites the entries of all upstreams at each heartbeat. The first one drains while `leaving` is
/// set.
async fn write_heartbeats(store: MemoryStore, leaving: Rc<Cell<bool>>) {
    for sequence in 1_u64.. {
        for index in 0..UPSTREAM_COUNT {
            let state = u8::from(index == 0 && leaving.get());
            let entry = format!("{index} {state} {sequence}");
            store.put(&format!("{UPSTREAMS}engine-{index}"), entry.as_bytes());
        }
        sleep(HEARTBEAT).await;
    }
}

#[tokio::test]
async fn calls_to_the_store_do_not_grow_with_the_hosts() {
    let run = async {
        let mut calls_by_size = Vec::new();
        for count in [15, 45] {
            let fleet = Fleet::spawn(count).await;
            let (calls, hosts) = fleet.calls(Duration::from_millis(3_000)).await;
            // Two hubs in each of three zones.
            assert!(hosts <= 6, "{hosts} of {count} hosts called the store");
            assert!(!calls.contains_key(FLEET_PREFIX) || calls[FLEET_PREFIX] <= 4, "{calls:?}");
            let upstreams = calls.get(UPSTREAMS).copied().unwrap_or(0);
            assert!(upstreams <= MAX_CALLS, "{upstreams} calls for upstreams in 3 s");
            calls_by_size.push(calls.values().sum::<usize>());
        }
        assert!(
            calls_by_size[1] * 4 <= calls_by_size[0] * 5,
            "calls in 3 s at 15 and 45 hosts: {calls_by_size:?}"
        );
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against a second copy of each configuration: a watch that begins before the last answer is applied asks for the
/// same changes again.
#[tokio::test]
async fn a_follower_reads_each_configuration_once() {
    let run = async {
        let fleet = Fleet::spawn(3).await;
        fleet.store.content.borrow_mut().calls.clear();
        for version in 2..=6 {
            fleet.configuration_time(version).await;
        }
        let calls = fleet.store.content.borrow().calls.clone();
        for host in 0..3 {
            let watches = calls.get(&(host, CONFIGURATION.to_owned())).copied().unwrap_or(0);
            // One after each version, and one for each wait without a change.
            assert!(watches <= 7, "host {host} called {watches} times for 5 versions");
        }
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against hosts that ask for the same changes for ever because the answer is larger than they read.
#[tokio::test]
async fn a_watch_whose_answer_is_too_large_is_followed_by_a_listing() {
    let run = async {
        let fleet = Fleet::spawn(3).await;
        fleet.store.content.borrow_mut().max_changes = Some(3);
        fleet.store.content.borrow_mut().refused = (0..3).collect();
        sleep(Duration::from_millis(200)).await;
        fleet.store.remove(&format!("{UPSTREAMS}engine-1"));
        (2..=20).for_each(|it| fleet.put_configuration(it, 0));
        fleet.store.content.borrow_mut().refused.clear();
        let time = fleet.configuration_time(21).await;
        assert!(time < CONFIGURATION_BOUND, "the newest configuration came after {time:?}");
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against values without a use that take a host's memory, whoever writes them.
#[tokio::test]
async fn large_values_that_no_host_reads_are_not_kept() {
    let run = async {
        let fleet = Fleet::spawn(3).await;
        let mut values = Vec::new();
        for key in ["configuration/other", "upstreams/large", "almondrack/fleet/large"] {
            let value = bytes::Bytes::from(vec![b'x'; 100_000]);
            fleet.store.put_shared(key, value.clone());
            values.push((key, value));
        }
        // The configuration may be as large.
        fleet.large_configuration_time(2, 100_000).await;
        sleep(Duration::from_millis(1_500)).await;
        fleet.store.forget_all();
        for (key, value) in values {
            assert!(value.is_unique(), "the value of {key} is kept");
        }
        assert!(
            fleet.hosts.iter().all(|it| it
                .table
                .borrow()
                .as_ref()
                .is_some_and(|it| it.version == 2))
        );
    };
    LocalSet::new().run_until(run).await;
}

/// Waits until all hosts know a zone as evacuated or as open, and returns how long that took.
async fn evacuation_time(fleet: &Fleet, is_evacuated: bool) -> Duration {
    let start = Instant::now();
    let knows = |it: &&fleet_state::Handle| {
        it.evacuated.borrow().as_ref().is_some_and(|it| it.contains("b") == is_evacuated)
    };
    while !fleet.hosts.iter().all(|it| knows(&it)) {
        let known = fleet.hosts.iter().filter(knows).count();
        let is_late = start.elapsed() > Duration::from_millis(4_000);
        assert!(!is_late, "{known} of {} hosts know it", fleet.hosts.len());
        sleep(Duration::from_millis(10)).await;
    }
    start.elapsed()
}

#[tokio::test]
async fn an_evacuation_reaches_hosts_that_the_store_turns_away_and_those_that_start_meanwhile() {
    let run = async {
        let mut fleet = Fleet::spawn(30).await;
        let key = format!("{EVACUATIONS}b");
        fleet.store.put(&key, b"{}");
        let calm = evacuation_time(&fleet, true).await;
        assert!(calm < Duration::from_millis(700), "{calm:?}");
        let spared = fleet.followers[1];
        fleet.store.content.borrow_mut().refused = (0..31).filter(|it| *it != spared).collect();
        fleet.store.remove(&key);
        evacuation_time(&fleet, false).await;
        fleet.store.put(&key, b"{}");
        evacuation_time(&fleet, true).await;
        // No host reaches the store any more.
        fleet.store.content.borrow_mut().refused = (0..31).collect();
        let seeds = {
            let roster = fleet.hosts[0].roster.borrow();
            roster.iter().filter(|it| it.id.as_str() < "host-003").map(|it| it.address).collect()
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let host = roster::Host {
            id: "host-030".to_owned(),
            address: listener.local_addr().expect("the socket is bound"),
            zone: "a".to_owned(),
            cpu_per_mille: 100,
            selects_pool_by_id: true,
            tunnels: None,
        };
        fleet.open(30, listener, host, seeds);
        assert!(fleet.hosts[30].evacuated.borrow().is_none());
        evacuation_time(&fleet, true).await;
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn every_host_hears_in_time_that_an_upstream_leaves() {
    let run = async {
        let fleet = Fleet::spawn(30).await;
        fleet.leaving.set(true);
        let start = Instant::now();
        while fleet.hosts_with_draining() < fleet.hosts.len() {
            let received = fleet.hosts_with_draining();
            // The entry is written with the next heartbeat.
            let limit = DRAIN_BOUND + HEARTBEAT;
            assert!(
                start.elapsed() < limit,
                "{received} of {} hosts received it",
                fleet.hosts.len()
            );
            sleep(Duration::from_millis(20)).await;
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn keys_stay_usable_when_the_store_turns_the_followers_away() {
    let run = async {
        let fleet = Fleet::spawn(30).await;
        fleet.store.content.borrow_mut().refused = fleet.followers.clone();
        let start = Instant::now();
        let mut oldest = Span(0);
        while start.elapsed() < Duration::from_millis(8_000) {
            oldest = oldest.max(fleet.max_verification_age());
            sleep(Duration::from_millis(50)).await;
        }
        assert!(
            oldest < KEY_BOUND,
            "the last verification of a host was {} ms old",
            oldest.as_ms()
        );
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn upstreams_that_leave_are_heard_of_while_the_store_turns_the_followers_away() {
    let run = async {
        for count in [6, 30] {
            let fleet = Fleet::spawn(count).await;
            fleet.store.content.borrow_mut().refused = fleet.followers.clone();
            // Repeated, as a host that received a change may become a source for the others again.
            for round in 0..6 {
                sleep(Duration::from_millis(700)).await;
                for leaving in [true, false] {
                    fleet.leaving.set(leaving);
                    let start = Instant::now();
                    let wanted = if leaving { count } else { 0 };
                    while fleet.hosts_with_draining() != wanted {
                        let received = fleet.hosts_with_draining();
                        let waited = start.elapsed();
                        let limit = DRAIN_BOUND + HEARTBEAT;
                        let late = fleet.late(leaving);
                        assert!(
                            waited < limit,
                            "round {round}: {received} of {count} hosts received it, late: {late:?}"
                        );
                        sleep(Duration::from_millis(20)).await;
                    }
                }
            }
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_follower_that_hangs_holds_up_nobody() {
    let run = async {
        let mut fleet = Fleet::spawn(6).await;
        // Its connections stay open without responses.
        fleet.stop_responses(fleet.followers[0]);
        fleet.leaving.set(true);
        let start = Instant::now();
        while fleet.hosts_with_draining() < 5 {
            let limit = HANG_BOUND + HEARTBEAT;
            assert!(
                start.elapsed() < limit,
                "{} of 5 hosts received it",
                fleet.hosts_with_draining()
            );
            sleep(Duration::from_millis(20)).await;
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn an_outage_of_the_store_is_not_answered_by_a_herd() {
    let run = async {
        let fleet = Fleet::spawn(60).await;
        fleet.store.content.borrow_mut().refused = (0..60).collect();
        let (calls, _) = fleet.calls(Duration::from_millis(8_000)).await;
        let calls: usize = calls.values().sum();
        assert!(calls <= MAX_OUTAGE_CALLS, "{calls} calls in an outage of 8 s");
        fleet.store.content.borrow_mut().refused = Vec::new();
        let start = Instant::now();
        while fleet.max_verification_age() >= KEY_BOUND {
            let limit = Duration::from_millis(2_000);
            assert!(
                start.elapsed() < limit,
                "the last verification of a host is too old 2 s after the outage"
            );
            sleep(Duration::from_millis(20)).await;
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn an_upstream_that_is_missing_after_an_outage_gets_no_late_request() {
    let run = async {
        let fleet = Fleet::spawn(1).await;
        let missing = engine(UPSTREAM_COUNT);
        let key = format!("{UPSTREAMS}engine-{UPSTREAM_COUNT}");
        fleet.store.put(&key, format!("{UPSTREAM_COUNT} 0 1").as_bytes());
        let is_placed = || {
            let entries = fleet.upstreams[0].borrow();
            entries.iter().any(|it| it.id == missing.id && it.state == State::Ready)
        };
        while !is_placed() {
            sleep(Duration::from_millis(5)).await;
        }
        fleet.store.content.borrow_mut().refused = vec![0];
        sleep(Duration::from_millis(1_500)).await;
        fleet.store.remove(&key);
        assert!(is_placed(), "the host knows nothing of the removal");
        {
            let mut content = fleet.store.content.borrow_mut();
            content.refused.clear();
            content.calls.clear();
        }
        let has_answered = || {
            let content = fleet.store.content.borrow();
            content.calls.keys().any(|it| it.1 == UPSTREAMS)
        };
        while !has_answered() {
            sleep(Duration::from_millis(5)).await;
        }
        let answered = Instant::now();
        while is_placed() {
            sleep(Duration::from_millis(5)).await;
        }
        let used = answered.elapsed();
        assert!(
            used >= Duration::from_millis(1_500),
            "dropped after {used:?}, before it could return"
        );
        assert!(used <= DRAIN_BOUND - ARRIVAL_TIME, "requests are placed on it for {used:?}");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn an_upstream_that_is_removed_gets_no_late_request_while_the_store_turns_one_host_away() {
    let run = async {
        for count in [6, 30] {
            let fleet = Fleet::spawn(count).await;
            fleet.store.content.borrow_mut().refused = vec![fleet.followers[1]];
            let mut times = Vec::new();
            for round in 0..4 {
                let pause = Duration::from_millis(1_000 + 170 * round as u64);
                times.push(fleet.removal_time(UPSTREAM_COUNT + round, pause).await);
            }
            let limit = DRAIN_BOUND - ARRIVAL_TIME;

            assert!(times.iter().all(|it| *it <= limit), "{count} hosts use it for {times:?}");
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_hub_that_hangs_does_not_delay_what_other_hubs_answer() {
    let run = async {
        let mut fleet = Fleet::spawn(30).await;
        // The hubs of the second zone hear of upstreams from those of the other zones only.
        fleet.store.content.borrow_mut().refused = (0..30).filter(|it| it % 3 == 1).collect();
        let zone_of = |host: usize| host % 3;
        let primary = fleet.followers[0];
        let hanging =
            fleet.followers.iter().find(|it| ![zone_of(primary), 1].contains(&zone_of(**it)));
        let hanging = *hanging.expect("the followers are of different zones");
        let entry = |state: u64| format!("{UPSTREAM_COUNT} {state} {}", state + 1);
        let key = format!("{UPSTREAMS}engine-{UPSTREAM_COUNT}");
        fleet.store.put(&key, entry(0).as_bytes());
        sleep(Duration::from_millis(3_000)).await;
        fleet.stop_responses(hanging);
        sleep(Duration::from_millis(250)).await;
        fleet.store.put(&key, entry(1).as_bytes());
        let start = Instant::now();
        let knows =
            |it: &usize| fleet.upstreams[*it].borrow().iter().any(|it| it.state == State::Draining);
        while (0..30).filter(|it| zone_of(*it) == 1).any(|it| !knows(&it)) {
            assert!(start.elapsed() < PATIENCE, "the second zone never receives it");
            sleep(Duration::from_millis(5)).await;
        }
        let waited = start.elapsed();
        assert!(waited < HANG_BOUND, "the second zone has received it after {waited:?}");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_host_without_answers_of_others_serves_by_a_new_configuration_in_time() {
    let run = async {
        let fleet = Fleet::spawn(60).await;
        let mut version = 1;
        let mut times = Vec::new();
        // The first hosts of the roster are seeds; the followers are not affected.
        let members = (3..60).filter(|it| !fleet.followers.contains(it));
        for (host, delay) in members.zip([100, 400, 700, 1_000, 1_300]) {
            fleet.cut_off(host);
            sleep(Duration::from_millis(delay)).await;
            version += 1;
            times.push(fleet.configuration_time(version).await);
        }
        let is_late = |it: &Duration| *it > CONFIGURATION_BOUND - ARRIVAL_TIME;
        assert!(!times.iter().any(is_late), "hosts cut off from others: {times:?}");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_host_that_starts_before_any_host_is_registered_goes_on_asking_others() {
    let run = async {
        let store = MemoryStore::new();
        store.put(CONFIGURATION, b"1");
        let mut fleet = Fleet {
            store: store.clone(),
            hosts: Vec::new(),
            followers: Vec::new(),
            upstreams: Vec::new(),
            gates: Vec::new(),
            unanswered: Arc::default(),
            leaving: Rc::default(),
            link_mbps: None,
        };
        let mut listeners = Vec::new();
        for index in 0..4 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
            let host = roster::Host {
                id: format!("host-{index:03}"),
                address: listener.local_addr().expect("the socket is bound"),
                zone: "a".to_owned(),
                cpu_per_mille: 100,
                selects_pool_by_id: true,
                tunnels: None,
            };
            listeners.push((listener, host));
        }
        let hosts: Vec<_> = listeners.iter().map(|it| it.1.clone()).collect();
        // The first three follow the store at once, and the last one hears from them.
        let seeds: Vec<_> = hosts.iter().take(3).map(|it| it.address).collect();
        for (index, (listener, host)) in listeners.into_iter().enumerate() {
            fleet.open(index, listener, host, seeds.clone());
        }
        while fleet.hosts[3].table.borrow().is_none() {
            sleep(Duration::from_millis(1)).await;
        }
        sleep(Duration::from_millis(20)).await;
        for host in &hosts {
            let record = serde_json::to_vec(host).expect("records can be written");
            store.put(&format!("{}{}", roster::PREFIX, host.id), &record);
        }
        store.put(&format!("{UPSTREAMS}engine-0"), b"0 0 1");
        let start = Instant::now();
        while fleet.upstreams.iter().any(|it| it.borrow().is_empty()) {
            let waited = start.elapsed();
            assert!(waited < HANG_BOUND, "a host knows no upstream after {waited:?}");
            sleep(Duration::from_millis(5)).await;
        }
    };
    LocalSet::new().run_until(run).await;
}
