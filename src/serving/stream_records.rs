//! Tasks that write down where streams began, for hosts that know nothing of them, and look it up.
//!
//! While two versions serve in a pool, each host writes the streams that it forwarded to the store in short intervals,
//! divided into shards by their keys. A lookup reads one shard of all hosts. Which
//! versions serve is written once for each change. Streams for which a route has come to select another pool are written once.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use http::HeaderValue;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task,
    time::{sleep, timeout},
};

use crate::{
    rendezvous,
    serving::{
        fleet_state::Verification,
        registry::Entry,
        roster::Roster,
        stream_origin::{
            CHANGE_NOTICE, NOTICE, Origin, Origins, Record, SHARDS, StreamKey, Unknown, Versions,
        },
        table::{RetryPolicy, Route, Table},
    },
    store::{Commit, Committed, Failure, Item, LeaseId, Put, Store},
    time::{Span, Time},
};

/// Prefix of the keys of versions, before the name of the pool.
const VERSIONS_PREFIX: &str = "almondrack/origins/versions/";

/// Prefix of the keys of records, before the shard and the name of the writer.
const RECORDS_PREFIX: &str = "almondrack/origins/streams/";

/// Shortest interval between two records of a host.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Interval for each host of the fleet, so that all hosts together write no more than 250 records a second.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(4);

/// Doublings of the interval while the store does not answer, at most.
const MAX_DOUBLINGS: u32 = 3;

/// Length of the lease under which records are written, in milliseconds. Records of a host that has ended remain for as
/// long.
const LEASE_MS: u64 = 60_000;

/// Age from which the lease is renewed.
const LEASE_RENEWAL: Span = Span::from_ms(20_000);

/// Longest time by which hosts delay the same write differently, so that the first one spares the others.
const SPREAD_MS: u64 = 200;

/// Longest wait for what the store has about a stream, for which one part of all hosts' records is read.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);

/// A question where a stream began.
#[derive(Debug)]
struct Lookup {
    key: Option<StreamKey>,
    route: Arc<Route>,
    answer: oneshot::Sender<Result<Origin, Unknown>>,
}

/// Handle to the tasks; clones share it.
#[derive(Debug, Clone)]
pub struct Records {
    origins: Rc<RefCell<Origins>>,
    /// How far the list of upstreams is verified.
    verified: watch::Receiver<Verification>,
    /// One for each shard.
    lookups: Vec<mpsc::UnboundedSender<Lookup>>,
}

/// What the tasks of a handle receive. Without them the handle knows only what its own host has seen.
#[derive(Debug)]
pub struct Mailbox {
    origins: Rc<RefCell<Origins>>,
    verified: watch::Receiver<Verification>,
    /// One for each shard.
    lookups: Vec<mpsc::UnboundedReceiver<Lookup>>,
}

/// Dependencies of the tasks.
pub struct Options<S> {
    /// The platform's store.
    pub store: S,
    /// Name of this host's records, unique to the process.
    pub writer: String,
    /// Entries of all usable upstreams.
    pub upstreams: watch::Receiver<Rc<Vec<Entry>>>,
    /// Configuration in force.
    pub table: watch::Receiver<Option<Arc<Table>>>,
    /// Registered hosts.
    pub roster: watch::Receiver<Rc<Roster>>,
}

impl Records {
    /// Creates a handle. `verified` tells how far the list of upstreams is verified to be the store's.
    pub fn open(verified: watch::Receiver<Verification>) -> (Records, Mailbox) {
        let (senders, lookups) = (0..SHARDS).map(|_| mpsc::unbounded_channel()).unzip();
        let origins = Rc::new(RefCell::new(Origins::default()));
        let records =
            Records { origins: origins.clone(), verified: verified.clone(), lookups: senders };
        (records, Mailbox { origins, verified, lookups })
    }

    /// Records that the first event of a stream has arrived. `id` is that of the request that brought it.
    pub fn record(&self, id: &HeaderValue, origin: Origin, route: &Route) {
        let key = StreamKey::of(id.as_bytes());
        let stream = (origin, Some(route.name.clone()));
        self.origins.borrow_mut().record_stream(Time::now(), key, stream);
    }

    /// Returns the versions of a pool at which no stream should begin yet that may be taken up.
    pub fn unconfirmed(&self, pool: &str) -> Vec<Option<Arc<str>>> {
        self.origins.borrow().unconfirmed(Time::now(), pool)
    }

    /// Returns where a stream began that a request with this id brought first on the route.
    ///
    /// # Errors
    /// Returns why that is not known.
    pub async fn find(
        &self,
        id: Option<&HeaderValue>,
        route: Arc<Route>,
    ) -> Result<Origin, Unknown> {
        let key = id.map(|it| StreamKey::of(it.as_bytes()));
        let verified_at = self.verified.borrow().current();
        let known = self.origins.borrow().find(Time::now(), key, &route, verified_at);
        if let Some(known) = known {
            return Ok(known);
        }
        let shard = key.map_or(0, StreamKey::shard);
        let (answer, found) = oneshot::channel();
        let sent = self.lookups[shard].send(Lookup { key, route, answer });
        sent.map_err(|_| Unknown::LookupFailed)?;
        match timeout(LOOKUP_TIMEOUT, found).await {
            Err(_) => Err(Unknown::LookupTimeout),
            Ok(answered) => answered.unwrap_or(Err(Unknown::LookupFailed)),
        }
    }
}

/// Spawns the tasks on the current thread.
pub fn spawn<S: Store>(options: Options<S>, mailbox: Mailbox) {
    let Mailbox { origins, verified, lookups } = mailbox;
    for (shard, lookups) in lookups.into_iter().enumerate() {
        let reader = Reader {
            shard,
            store: options.store.clone(),
            roster: options.roster.clone(),
            origins: origins.clone(),
            verified: verified.clone(),
        };
        task::spawn_local(reader.run(lookups));
    }
    let writer = Writer {
        options,
        origins,
        confirmed: Vec::new(),
        era: 0,
        lease: None,
        written: Record::default(),
        attempts: 0,
    };
    task::spawn_local(writer.run());
}

/// Answers questions about the streams of a shard from the store.
struct Reader<S> {
    shard: usize,
    store: S,
    roster: watch::Receiver<Rc<Roster>>,
    origins: Rc<RefCell<Origins>>,
    verified: watch::Receiver<Verification>,
}

impl<S: Store> Reader<S> {
    /// Answers all questions that wait with the same listings.
    async fn run(self, mut lookups: mpsc::UnboundedReceiver<Lookup>) {
        while let Some(first) = lookups.recv().await {
            let mut waiting = vec![first];
            while let Ok(next) = lookups.try_recv() {
                waiting.push(next);
            }
            if let Err(failure) = self.answer(&mut waiting).await {
                log::info!(
                    "where {} streams began cannot be looked up, so that they do not go on: {failure}",
                    waiting.len()
                );
                for lookup in waiting {
                    // The request may have been given up.
                    let _ = lookup.answer.send(Err(Unknown::LookupFailed));
                }
            }
        }
    }

    /// Answers the questions and removes them. The versions are read only for streams without a record.
    async fn answer(&self, waiting: &mut Vec<Lookup>) -> Result<(), Failure> {
        // Earlier builds do not divide their records.
        let is_divided = self.roster.borrow().all_select_pool_by_id() != Some(false);
        let shard = format!("{RECORDS_PREFIX}{:x}/", self.shard);
        for item in self.list(if is_divided { &shard } else { RECORDS_PREFIX }).await? {
            if let Some(record) = decode::<Record>(&item.key, &item.value) {
                self.origins.borrow_mut().merge(Time::now(), &record);
            }
        }
        let mut unrecorded = Vec::new();
        for lookup in waiting.drain(..) {
            let verified_at = self.verified.borrow().current();
            let origins = self.origins.borrow();
            match origins.find(Time::now(), lookup.key, &lookup.route, verified_at) {
                Some(origin) => drop(lookup.answer.send(Ok(origin))),
                None => unrecorded.push(lookup),
            }
        }
        *waiting = unrecorded;
        if waiting.is_empty() {
            return Ok(());
        }
        let items = self.list(VERSIONS_PREFIX).await?;
        // After an outage another version may serve that has not registered yet.
        let verified_at = self.verified.borrow().current();
        let is_current = verified_at.is_some_and(|it| Time::now().since(it) < NOTICE);
        let era = self.store.era();
        let only = |pool: &str| {
            let item =
                items.iter().find(|it| it.key.strip_prefix(VERSIONS_PREFIX) == Some(pool))?;
            decode::<Versions>(&item.key, &item.value)?.only(era)
        };
        for Lookup { key, route, answer } in waiting.drain(..) {
            let selected =
                self.origins.borrow().selected_pool(Time::now(), key, (&route, CHANGE_NOTICE));
            let found = selected.ok_or(Unknown::Pool).and_then(|pool| {
                let version = only(&pool).filter(|_| is_current).ok_or(Unknown::Version)?;
                Ok(Origin { pool, version })
            });
            // The request may have been given up.
            let _ = answer.send(found);
        }
        Ok(())
    }

    /// Reads all keys with a prefix.
    async fn list(&self, prefix: &str) -> Result<Vec<Item>, Failure> {
        let mut items: Vec<Item> = Vec::new();
        loop {
            let after = items.last().map_or("", |it| &it.key);
            let page = self.store.list(prefix, after).await?;
            let is_last = !page.more || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                return Ok(items);
            }
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(key: &str, value: &[u8]) -> Option<T> {
    let decoded = serde_json::from_slice(value);
    decoded.inspect_err(|error| log::warn!("{key} cannot be decoded and is ignored: {error}")).ok()
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, Failure> {
    serde_json::to_vec(value).map_err(|error| Failure::Invalid(error.to_string()))
}

/// Writes what other hosts may need.
struct Writer<S> {
    options: Options<S>,
    origins: Rc<RefCell<Origins>>,
    /// Versions that the store is known to have.
    confirmed: Vec<Origin>,
    /// Era of the store in which they were confirmed.
    era: u64,
    lease: Option<(LeaseId, Time)>,
    /// Record that was written last.
    written: Record,
    /// Number of writes without an answer. Each may still take effect, so that the next write has another key.
    attempts: u64,
}

impl<S: Store> Writer<S> {
    async fn run(mut self) {
        let mut upstreams = self.options.upstreams.clone();
        let mut table = self.options.table.clone();
        let mut failures = 0_u32;
        loop {
            match self.step().await {
                Ok(()) => failures = 0,
                Err(failure) => {
                    if failures == 0 {
                        log::info!(
                            "where streams began could not be written: {failure}; tried again"
                        );
                    }
                    failures += 1;
                }
            }
            let hosts = self.options.roster.borrow().len() as u32;
            let interval = MIN_INTERVAL.max(INTERVAL_PER_HOST * hosts);
            // Each refused call is charged as well.
            let interval = interval * (1 << failures.min(MAX_DOUBLINGS));
            tokio::select! {
                changed = upstreams.changed() => if changed.is_err() { return },
                changed = table.changed() => if changed.is_err() { return },
                () = sleep(interval) => {}
            }
        }
    }

    async fn step(&mut self) -> Result<(), Failure> {
        let pools = self.resumable_pools();
        {
            let mut origins = self.origins.borrow_mut();
            let now = Time::now();
            let table = self.options.table.borrow();
            if let Some(table) = &*table {
                origins.record_routes(now, table.routes().iter().map(|it| &**it));
            }
            origins.record_hosts(now, self.options.roster.borrow().all_select_pool_by_id());
            origins.record_list(now, &self.options.upstreams.borrow());
            origins.remove_expired(now);
        }
        let era = self.options.store.era();
        if self.era != era {
            self.era = era;
            self.confirmed.clear();
        }
        for pool in &pools {
            let recent: Vec<_> = self.origins.borrow().recent(pool).cloned().collect();
            if recent.iter().any(|it| !self.confirmed.contains(it)) {
                self.confirm(pool, &recent).await?;
            }
            let is_gone = |it: &Origin| *it.pool == **pool && !recent.contains(it);
            if self.confirmed.iter().any(is_gone) {
                self.prune(pool).await?;
            }
        }
        self.write_record().await
    }

    /// Returns the pools to which streams go that may be taken up.
    fn resumable_pools(&self) -> Vec<Arc<str>> {
        let table = self.options.table.borrow();
        let mut pools = Vec::new();
        for route in table.iter().flat_map(|it| it.routes()) {
            if route.retry_policy == RetryPolicy::Resume {
                pools.extend(route.destinations.iter().map(|it| it.pool.clone()));
            }
        }
        pools.sort_unstable();
        pools.dedup();
        pools
    }

    /// Makes sure that the store names the recent versions of a pool.
    async fn confirm(&mut self, pool: &Arc<str>, recent: &[Origin]) -> Result<(), Failure> {
        let spread = rendezvous::hash(&[self.options.writer.as_bytes(), pool.as_bytes()]);
        sleep(Duration::from_millis(spread % SPREAD_MS)).await;
        let key = format!("{VERSIONS_PREFIX}{pool}");
        let item = self.options.store.get(&key).await?;
        let era = self.options.store.era();
        let known = item.as_ref().and_then(|it| decode::<Versions>(&key, &it.value));
        let is_first = item.is_none() && era == 0;
        let mut versions = known.unwrap_or_default();
        let has_seen_all = is_first || self.origins.borrow().has_seen_all(Time::now());
        let is_news = versions.add(recent.iter(), era, has_seen_all);
        if is_news && !self.commit(&key, item.map_or(0, |it| it.revision), &versions).await? {
            // Another host was faster; the next step reads what it wrote.
            return Ok(());
        }
        if is_news {
            log::info!("streams of pool {pool} may go on at these versions: {}", versions.names());
        }
        self.confirmed.retain(|it| it.pool != *pool);
        let origin = |it| Origin { pool: pool.clone(), version: it };
        self.confirmed.extend(versions.versions.into_iter().map(origin));
        let (now, mut origins) = (Time::now(), self.origins.borrow_mut());
        recent.iter().for_each(|it| origins.confirm(now, it));
        Ok(())
    }

    /// Removes the versions of a pool from the store whose streams cannot be taken up any more.
    async fn prune(&mut self, pool: &Arc<str>) -> Result<(), Failure> {
        if !self.origins.borrow().has_seen_all(Time::now()) {
            return Ok(());
        }
        let key = format!("{VERSIONS_PREFIX}{pool}");
        let Some(item) = self.options.store.get(&key).await? else { return Ok(()) };
        let Some(mut versions) = decode::<Versions>(&key, &item.value) else { return Ok(()) };
        let before = versions.versions.len();
        versions.versions.retain(|it| {
            self.origins.borrow().is_recent(&Origin { pool: pool.clone(), version: it.clone() })
        });
        let is_pruned = versions.versions.len() == before
            || self.commit(&key, item.revision, &versions).await?;
        if is_pruned {
            let origins = self.origins.borrow();
            self.confirmed.retain(|it| it.pool != *pool || origins.is_recent(it));
            log::info!("streams of pool {pool} may go on at these versions: {}", versions.names());
        }
        Ok(())
    }

    /// Writes a key if it still has the given revision. Returns whether it had.
    async fn commit(&self, key: &str, revision: u64, value: &Versions) -> Result<bool, Failure> {
        let put = Put { key: key.to_owned(), value: encode(value)?.into(), lease: None };
        let commit = Commit {
            expect: vec![(key.to_owned(), revision)],
            put: vec![put],
            ..Commit::default()
        };
        Ok(matches!(self.options.store.commit(&commit).await?, Committed::Done(_)))
    }

    /// Writes the streams for which other hosts need a record.
    async fn write_record(&mut self) -> Result<(), Failure> {
        let record = self.origins.borrow().record();
        // Streams that can no longer be taken up may stay in the store for a while.
        let is_written = |written: &Record, it: &(u64, u32)| {
            written.streams.binary_search_by_key(&it.0, |it| it.0).is_ok()
        };
        if record.streams.iter().all(|it| is_written(&self.written, it)) {
            return Ok(());
        }
        let lease = self.lease().await?;
        let mut put = Vec::new();
        for shard in 0..SHARDS {
            let part = record.shard(shard);
            if part.streams.iter().any(|it| !is_written(&self.written, it)) {
                let (writer, attempts) = (&self.options.writer, self.attempts);
                let key = format!("{RECORDS_PREFIX}{shard:x}/{writer}-{attempts}");
                put.push(Put { key, value: encode(&part)?.into(), lease: Some(lease) });
            }
        }
        match self.options.store.commit(&Commit { put, ..Commit::default() }).await {
            Ok(Committed::Done(_)) => self.written = record,
            Ok(Committed::Conflict | Committed::LeaseEnded) => self.lease = None,
            Err(failure) => {
                self.attempts += u64::from(!matches!(failure, Failure::Refused(_)));
                return Err(failure);
            }
        }
        Ok(())
    }

    /// Returns the lease for records, renewed if it is time.
    async fn lease(&mut self) -> Result<LeaseId, Failure> {
        let now = Time::now();
        if let Some((lease, renewed_at)) = self.lease {
            if now.since(renewed_at) < LEASE_RENEWAL {
                return Ok(lease);
            }
            if self.options.store.renew_lease(lease).await? {
                self.lease = Some((lease, now));
                return Ok(lease);
            }
        }
        let lease = self.options.store.open_lease(LEASE_MS).await?;
        self.lease = Some((lease, now));
        // Keys of an earlier lease have ended with it.
        self.written = Record::default();
        Ok(lease)
    }
}
