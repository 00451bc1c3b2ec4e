//! Task that counts the requests of a host, hands closed minutes to the zone's aggregator, and is it if elected.
//!
//! The aggregator writes the batches of its zone's hosts as few records. A host keeps a batch until it is in the store;
//! a host that is killed loses what is not, which is at most its open minute and the one before while the store answers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use crate::{
    aggregate::{self, Cost, HOUR, Joined, Put, Unreadable},
    fleet::Fleet,
    member::View,
    peer::{Peers, TallyCall, within},
    platform::{Cause, Client, Entry, Failure, Write},
    rendezvous,
    tally::{Batch, Ended, Id, MINUTE_MS, Tally},
    time::{Span, Time, wall_ms},
};

/// Requests that may wait to be counted.
const ENDED: usize = 65_536;

/// Interval of steps.
const STEP: Duration = Duration::from_millis(500);

/// Time for which batches of other hosts are collected into one record.
const COLLECT: Span = Span::from_ms(4_000);

/// Interval of looks for an hour to fold.
const FOLD_INTERVAL: Span = Span::from_ms(60_000);

/// Time for a call to the aggregator, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 20_000;

/// Pause after a batch could not be brought to the store.
const PAUSE: Span = Span::from_ms(5_000);

/// Batches in one call.
const BATCHES: usize = 32;

/// Batches that an aggregator takes before it writes.
const MAX_HELD: usize = 4_096;

/// Attempts at one record while others write to the same log.
const ATTEMPTS: usize = 8;

/// Records in one page of a listing.
const PAGE: u32 = 100;

/// Records that one fold deletes.
const MAX_DELETES: usize = 20;

/// Time for a planned stop to bring everything to the store.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(6);

/// Follows every digit in a key.
const AFTER_ALL: &str = "~";

/// What the aggregator of a host needs.
#[derive(Debug)]
pub struct Options {
    /// Port to the platform.
    pub client: Client,
    /// Connections to the other hosts.
    pub peers: Peers,
    /// Hosts that are alive.
    pub view: watch::Receiver<Arc<View>>,
    /// Upstreams of the zone.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Batches of other hosts.
    pub inbound: mpsc::Receiver<TallyCall>,
    /// Availability zone of the host.
    pub zone: String,
    /// Host id.
    pub host: String,
    /// Incarnation of the host.
    pub incarnation: u64,
}

/// How the counting of a host stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Batches of this host that are not known to be in the store.
    pub unwritten: usize,
    /// Batches that were given up for want of room.
    pub given_up: u64,
    /// Writes to the store since the start.
    pub writes: u64,
    /// Whether the last write failed.
    pub degraded: bool,
}

/// Handle to the aggregator of a host; the task ends with it.
#[derive(Debug)]
pub struct Aggregator {
    /// Takes each request that ended once.
    pub ended: mpsc::Sender<Ended>,
    /// Changes of the state.
    pub status: watch::Receiver<Status>,
    flushes: mpsc::Sender<oneshot::Sender<()>>,
}

impl Aggregator {
    /// Resolves when everything counted so far is in the store, or after a time limit.
    pub async fn flush(&self) {
        let (done, flushed) = oneshot::channel();
        if self.flushes.send(done).await.is_ok() {
            let _ = tokio::time::timeout(FLUSH_TIMEOUT, flushed).await;
        }
    }
}

/// Spawns the aggregator of a host.
pub fn spawn(options: Options) -> Aggregator {
    let (ended, mailbox) = mpsc::channel(ENDED);
    let (flushes, flush_calls) = mpsc::channel(4);
    let (results, done) = mpsc::channel(16);
    let (publisher, status) = watch::channel(Status::default());
    let now = Time::now();
    let task = Task {
        tally: Tally::new(&options.host, options.incarnation),
        options,
        results,
        publisher,
        status: Status::default(),
        is_handing: false,
        paused: None,
        held: Vec::new(),
        since: now,
        is_writing: false,
        costed: 0,
        folded: now,
        is_folding: false,
        flushes: Vec::new(),
    };
    tokio::spawn(task.run(mailbox, flush_calls, done));
    Aggregator { ended, status, flushes }
}

/// Result of a call that ran beside the task.
#[derive(Debug)]
enum Done {
    Handed { ids: Vec<Id>, written: bool },
    Wrote { answers: Vec<oneshot::Sender<bool>>, outcome: Result<u64, Fault> },
    Folded(Result<u64, Fault>),
}

/// Why records could not be written.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Fault {
    Platform(Failure),
    /// A record in the way is of another schema, or others wrote to the log each time.
    Contended,
}

impl From<Failure> for Fault {
    fn from(failure: Failure) -> Fault {
        Fault::Platform(failure)
    }
}

impl From<Unreadable> for Fault {
    fn from(_: Unreadable) -> Fault {
        Fault::Contended
    }
}

struct Task {
    options: Options,
    tally: Tally,
    results: mpsc::Sender<Done>,
    publisher: watch::Sender<Status>,
    status: Status,
    is_handing: bool,
    /// When a batch could not be brought to the store.
    paused: Option<Time>,
    /// Batches to write, with whom to tell.
    held: Vec<(Vec<Batch>, oneshot::Sender<bool>)>,
    /// When the first of them came.
    since: Time,
    is_writing: bool,
    /// Last minute of which this host has written the costs.
    costed: u64,
    folded: Time,
    is_folding: bool,
    flushes: Vec<oneshot::Sender<()>>,
}

impl Task {
    async fn run(
        mut self,
        mut ended: mpsc::Receiver<Ended>,
        mut flushes: mpsc::Receiver<oneshot::Sender<()>>,
        mut done: mpsc::Receiver<Done>,
    ) {
        let mut steps = interval(STEP);
        steps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(ended) = ended.recv() => self.count(ended),
                Some(call) = self.options.inbound.recv() => self.hold(call),
                Some(done) = done.recv() => self.finish(done),
                _ = steps.tick() => self.step(),
                call = flushes.recv() => {
                    let Some(call) = call else { return };
                    while let Ok(ended) = ended.try_recv() {
                        self.count(ended);
                    }
                    self.tally.cut();
                    self.flushes.push(call);
                    self.step();
                }
            }
            self.publish();
        }
    }

    fn publish(&mut self) {
        self.status.unwritten = self.tally.len();
        self.status.given_up = self.tally.given_up();
        self.publisher.send_if_modified(|it| {
            let changed = *it != self.status;
            it.clone_from(&self.status);
            changed
        });
    }

    fn count(&mut self, ended: Ended) {
        let fleet = self.options.fleet.borrow().clone();
        let found = fleet.upstreams.binary_search_by(|it| it.id.cmp(&ended.upstream));
        let cheap = found.ok().map(|it| fleet.upstreams[it].cheap);
        self.tally.count(now_minute(), ended, cheap);
    }

    fn hold(&mut self, call: TallyCall) {
        let TallyCall::Write(batches, answer) = call;
        let held: usize = self.held.iter().map(|it| it.0.len()).sum();
        if held + batches.len() > MAX_HELD {
            let _ = answer.send(false);
            return;
        }
        if self.held.is_empty() {
            self.since = Time::now();
        }
        self.held.push((batches, answer));
    }

    fn step(&mut self) {
        self.tally.turn(now_minute());
        let owner = self.owner();
        self.hand(owner);
        self.write(owner.is_none());
        if owner.is_none() {
            self.fold();
        }
        if self.tally.is_empty() {
            for flush in self.flushes.drain(..) {
                let _ = flush.send(());
            }
        }
    }

    /// Address of the zone's aggregator, or `None` if it is this host.
    fn owner(&self) -> Option<SocketAddr> {
        let Options { view, zone, host, .. } = &self.options;
        let view = view.borrow();
        let owner = rendezvous::owner(&format!("burn/{zone}"), view.eligible(zone))?;
        if owner == host {
            return None;
        }
        view.get(owner).map(|it| it.peer)
    }

    fn hand(&mut self, owner: Option<SocketAddr>) {
        let now = Time::now();
        let is_paused = self.paused.is_some_and(|it| now.since(it) < PAUSE);
        if self.is_handing || is_paused || self.tally.is_empty() {
            return;
        }
        self.is_handing = true;
        let batches = self.tally.waiting(BATCHES);
        let ids = batches.iter().map(|it| it.id.clone()).collect();
        let results = self.results.clone();
        let Some(address) = owner else {
            let (answer, written) = oneshot::channel();
            self.hold(TallyCall::Write(batches, answer));
            tokio::spawn(async move {
                let written = written.await.unwrap_or(false);
                let _ = results.send(Done::Handed { ids, written }).await;
            });
            return;
        };
        let peers = self.options.peers.clone();
        tokio::spawn(async move {
            let written = hand(peers, address, batches).await;
            let _ = results.send(Done::Handed { ids, written }).await;
        });
    }

    fn write(&mut self, is_owner: bool) {
        let minute = now_minute();
        let costs = if is_owner && self.costed + 1 < minute { self.costs() } else { Vec::new() };
        let is_due = !self.held.is_empty()
            && (Time::now().since(self.since) >= COLLECT || !self.flushes.is_empty());
        if self.is_writing || (!is_due && costs.is_empty()) {
            return;
        }
        self.is_writing = true;
        let (batches, answers): (Vec<_>, Vec<_>) = self.held.drain(..).unzip();
        let batches: Vec<Batch> = batches.into_iter().flatten().collect();
        let (client, zone) = (self.options.client.clone(), self.options.zone.clone());
        let costs = if costs.is_empty() { None } else { Some((minute - 1, costs)) };
        if costs.is_some() {
            self.costed = minute - 1;
        }
        let results = self.results.clone();
        tokio::spawn(async move {
            let outcome = write(&client, &zone, &batches, costs, minute).await;
            let _ = results.send(Done::Wrote { answers, outcome }).await;
        });
    }

    fn costs(&self) -> Vec<Cost> {
        aggregate::costs(&self.options.fleet.borrow().upstreams)
    }

    fn fold(&mut self) {
        let now = Time::now();
        if self.is_folding || now.since(self.folded) < FOLD_INTERVAL {
            return;
        }
        self.folded = now;
        self.is_folding = true;
        let (client, zone) = (self.options.client.clone(), self.options.zone.clone());
        let results = self.results.clone();
        tokio::spawn(async move {
            let outcome = fold(&client, &zone, now_minute()).await;
            let _ = results.send(Done::Folded(outcome)).await;
        });
    }

    fn finish(&mut self, done: Done) {
        match done {
            Done::Handed { ids, written } => {
                self.is_handing = false;
                self.paused = (!written).then(Time::now);
                if written {
                    self.tally.written(&ids);
                }
            }
            Done::Wrote { answers, outcome } => {
                self.is_writing = false;
                for answer in answers {
                    let _ = answer.send(outcome.is_ok());
                }
                self.wrote(outcome);
            }
            Done::Folded(outcome) => {
                self.is_folding = false;
                self.wrote(outcome);
            }
        }
    }

    fn wrote(&mut self, outcome: Result<u64, Fault>) {
        self.status.degraded = outcome.is_err();
        self.status.writes += outcome.unwrap_or(0);
    }
}

fn now_minute() -> u64 {
    wall_ms() / MINUTE_MS
}

async fn hand(peers: Peers, address: SocketAddr, batches: Vec<Batch>) -> bool {
    let Ok(client) = peers.client(address).await else { return false };
    let context = within(Duration::from_millis(CALL_TIMEOUT_MS));
    client.tally(context, batches).await.unwrap_or(false)
}

/// Brings batches and the costs of a minute to the store; the number of writes.
async fn write(
    client: &Client,
    zone: &str,
    batches: &[Batch],
    costs: Option<(u64, Vec<Cost>)>,
    now: u64,
) -> Result<u64, Fault> {
    let mut minutes: Vec<_> = batches.iter().map(|it| it.minute).collect();
    minutes.extend(costs.iter().map(|it| it.0));
    minutes.sort_unstable();
    minutes.dedup();
    let mut writes = 0;
    for minute in minutes {
        let own: Vec<_> = batches.iter().filter(|it| it.minute == minute).cloned().collect();
        let costs = costs.as_ref().filter(|it| it.0 == minute).map_or(&[][..], |it| &it.1);
        writes += if aggregate::is_late(minute, now) {
            amend(client, zone, minute / HOUR, &own).await?
        } else {
            append(client, zone, minute, &own, costs).await?
        };
    }
    Ok(writes)
}

async fn append(
    client: &Client,
    zone: &str,
    minute: u64,
    batches: &[Batch],
    costs: &[Cost],
) -> Result<u64, Fault> {
    for _ in 0..ATTEMPTS {
        let log = list(client, &aggregate::log_prefix(zone, minute), "").await?;
        let Some(put) = aggregate::append(zone, minute, &log, batches, costs)? else {
            return Ok(0);
        };
        if store(client, put).await? {
            return Ok(1);
        }
    }
    Err(Fault::Contended)
}

async fn amend(client: &Client, zone: &str, hour: u64, batches: &[Batch]) -> Result<u64, Fault> {
    let key = aggregate::hour_key(zone, hour);
    for _ in 0..ATTEMPTS {
        let log = hour_log(client, zone, hour).await?;
        let stored = read_entry(client, &key).await?;
        let Some(put) = aggregate::amend(&key, stored.as_ref(), &log, batches)? else {
            return Ok(0);
        };
        if store(client, put).await? {
            return Ok(1);
        }
    }
    Err(Fault::Contended)
}

/// Folds the oldest hour that is old enough, and deletes what is past the retention; the number of writes.
async fn fold(client: &Client, zone: &str, now: u64) -> Result<u64, Fault> {
    let hours = aggregate::hours_prefix(zone);
    let oldest = first(client, &hours, "").await?;
    let hour = oldest.as_ref().and_then(|it| aggregate::hour_of(&it.key));
    let mut writes = 0;
    if let (Some(entry), Some(hour)) = (oldest, hour)
        && hour * HOUR + aggregate::RETENTION < now
    {
        client.delete(Cause::Usage, &entry.key, Some(entry.version)).await?;
        writes += 1;
    }
    let minutes = aggregate::minutes_prefix(zone);
    let oldest = first(client, &minutes, "").await?;
    let Some(minute) = oldest.and_then(|it| aggregate::minute_of(&it.key)) else {
        return Ok(writes);
    };
    if !aggregate::is_foldable(minute, now) {
        return Ok(writes);
    }
    let hour = minute / HOUR;
    let log = hour_log(client, zone, hour).await?;
    let key = aggregate::hour_key(zone, hour);
    let stored = read_entry(client, &key).await?;
    let fold = aggregate::fold(&key, stored.as_ref(), &log)?;
    if let Some(put) = fold.put {
        if !store(client, put).await? {
            return Err(Fault::Contended);
        }
        writes += 1;
    }
    for (key, version) in fold.delete.into_iter().take(MAX_DELETES) {
        client.delete(Cause::Usage, &key, Some(version)).await?;
        writes += 1;
    }
    Ok(writes)
}

/// Records of the minutes of an hour.
async fn hour_log(client: &Client, zone: &str, hour: u64) -> Result<Vec<Entry>, Failure> {
    let prefix = aggregate::minutes_prefix(zone);
    let after = aggregate::log_prefix(zone, hour * HOUR);
    let end = aggregate::log_prefix(zone, (hour + 1) * HOUR);
    list_between(client, &prefix, &after, Some(&end)).await
}

async fn store(client: &Client, put: Put) -> Result<bool, Failure> {
    let value = Bytes::from(put.value);
    match client.put(Cause::Usage, &put.key, value, Some(put.version)).await? {
        Write::Written(_) => Ok(true),
        Write::Conflict(_) => Ok(false),
    }
}

async fn read_entry(client: &Client, key: &str) -> Result<Option<Entry>, Failure> {
    let value = client.get(Cause::Usage, key).await?;
    Ok(value.map(|it| Entry {
        key: key.to_owned(),
        version: it.version,
        value: String::from_utf8(it.bytes.to_vec()).ok(),
    }))
}

async fn first(client: &Client, prefix: &str, after: &str) -> Result<Option<Entry>, Failure> {
    let listing = client.list(Cause::Usage, prefix, after, 1).await?;
    Ok(listing.entries.into_iter().next())
}

async fn list(client: &Client, prefix: &str, after: &str) -> Result<Vec<Entry>, Failure> {
    list_between(client, prefix, after, None).await
}

/// Every entry under a prefix after one key and before another.
async fn list_between(
    client: &Client,
    prefix: &str,
    after: &str,
    end: Option<&str>,
) -> Result<Vec<Entry>, Failure> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut after = after.to_owned();
    loop {
        let listing = client.list(Cause::Usage, prefix, &after, PAGE).await?;
        let more = listing.more;
        let is_inside = |it: &Entry| end.is_none_or(|end| it.key.as_str() < end);
        let count = listing.entries.len();
        entries.extend(listing.entries.into_iter().filter(is_inside));
        match entries.last() {
            Some(last) if more && last.key > after && count > 0 => after.clone_from(&last.key),
            _ => return Ok(entries),
        }
    }
}

/// Everything in the store from a minute on, of every zone.
///
/// # Errors
/// Any `Failure`.
pub async fn read(client: &Client, first_minute: u64) -> Result<Joined, Failure> {
    let mut joined = Joined::default();
    let mut zones = zones(client, "burn/minute/").await?;
    zones.extend(self::zones(client, "burn/hour/").await?);
    zones.sort();
    zones.dedup();
    for zone in zones {
        let after = aggregate::log_prefix(&zone, first_minute);
        let minutes = list(client, &aggregate::minutes_prefix(&zone), &after).await?;
        // Read after the minutes: what was folded in between is in the hours then, and is left out of the minutes.
        let after = aggregate::hour_key(&zone, (first_minute / HOUR).saturating_sub(1));
        let hours = list(client, &aggregate::hours_prefix(&zone), &after).await?;
        joined.add_zone(&hours, &minutes);
    }
    Ok(joined)
}

/// Zones with records, also those whose hosts are gone.
async fn zones(client: &Client, prefix: &str) -> Result<Vec<String>, Failure> {
    let mut zones = Vec::new();
    let mut after = String::new();
    while let Some(entry) = first(client, prefix, &after).await? {
        let Some(zone) = entry.key.split('/').nth(2) else { break };
        after = format!("{prefix}{zone}/{AFTER_ALL}");
        zones.push(zone.to_owned());
    }
    Ok(zones)
}
