//! The usage reporter: seals billing windows in order and reports them while this host certainly holds the lease.
//!
//! A window that two reporters seal at the same time has the content that reached the store first. Only what was read
//! back from the store is reported.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use log::{error, info, warn};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{oneshot, watch},
    time::{MissedTickBehavior, interval, timeout},
};

use crate::{
    collector::Record,
    lease::{self, Lease, Permit},
    member::{State, View},
    platform::{Cause, Client, Entry, Failure, Write},
    time::wall_ms,
    usage,
    window::{Draft, Terms, Window},
};

/// Name of the reporter's lease.
pub const LEASE: &str = "usage-reporter";

/// Schema version of the reporter's own records.
const SCHEMA: u32 = 1;

/// Records read in one page.
const PAGE: u32 = 50;

/// Records removed after a window.
const REMOVALS: usize = 500;

/// Windows sealed in one step.
const SEALS: usize = 8;

/// Key of the first window's number.
const FIRST: &str = "usage/first";

/// Key of the last reported window's number.
const REPORTED: &str = "usage/reported";

/// Prefix of the records of batches.
const MERGED: &str = "usage/merged/";

/// What a reporter needs.
#[derive(Debug, Clone)]
pub struct Options {
    /// Port to the platform.
    pub client: Client,
    /// Host id.
    pub host: String,
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Lengths of the lease.
    pub terms: lease::Timing,
    /// Length and retention of windows. The store keeps the length that was in force first.
    pub windows: Terms,
    /// Time from a window's end to its sealing, for batches on their way, in milliseconds.
    pub grace_ms: u64,
    /// Time between steps.
    pub interval: Duration,
    /// Hosts that are alive.
    pub view: watch::Receiver<Arc<View>>,
}

/// What a reporter is doing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Fencing number while the host is certainly the holder.
    pub number: Option<u64>,
    /// Last window known to be sealed.
    pub sealed: Option<u64>,
    /// Last window known to be reported.
    pub reported: Option<u64>,
    /// Windows that the platform refused, since it has them with other content.
    pub conflicts: u64,
    /// Records that cannot be read; they are left as they are.
    pub unreadable: usize,
    /// Whether the last step failed.
    pub degraded: bool,
}

/// Handle to a reporter.
#[derive(Debug)]
pub struct Reporter {
    /// Changes of what the reporter is doing.
    pub status: watch::Receiver<Status>,
    stop: oneshot::Sender<oneshot::Sender<()>>,
}

impl Reporter {
    /// Gives the lease up and ends the task.
    pub async fn stop(self) {
        let (done, stopped) = oneshot::channel();
        if self.stop.send(done).is_ok() {
            let _ = stopped.await;
        }
    }
}

/// Spawns the reporter, or a candidate for that role.
pub fn spawn(options: Options) -> Reporter {
    let (standing, stands) = watch::channel(false);
    let lease = lease::spawn(lease::Options {
        client: options.client.clone(),
        name: LEASE.to_owned(),
        host: options.host.clone(),
        incarnation: options.incarnation,
        timing: options.terms,
        candidate: stands,
    });
    let (publisher, status) = watch::channel(Status::default());
    let (stop, stopping) = oneshot::channel();
    let status_now = Status::default();
    let task = Task { options, lease, standing, publisher, status: status_now, chain: None };
    tokio::spawn(task.run(stopping));
    Reporter { status, stop }
}

/// The first window and the length of all windows, written once.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct First {
    schema: u32,
    window: u64,
    window_ms: u64,
}

/// How far the windows are reported.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Reported {
    schema: u32,
    window: u64,
}

/// The sealed windows as the store has them.
#[derive(Debug)]
struct Chain {
    first: First,
    /// Version of the record of reported windows, zero if it does not exist.
    version: u64,
    /// Window to report next.
    next_report: u64,
    /// Last sealed window.
    last: Option<Window>,
}

struct Task {
    options: Options,
    lease: Lease,
    standing: watch::Sender<bool>,
    publisher: watch::Sender<Status>,
    status: Status,
    /// Read anew in each term.
    chain: Option<Chain>,
}

/// Prefix of the keys of sealed windows.
pub(crate) const WINDOW_PREFIX: &str = "usage/window/";

/// Key of a sealed window.
pub(crate) fn window_key(window: u64) -> String {
    format!("{WINDOW_PREFIX}{window:012}")
}

impl Task {
    async fn run(mut self, mut stopping: oneshot::Receiver<oneshot::Sender<()>>) {
        let mut ticks = interval(self.options.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                done = &mut stopping => {
                    self.lease.stop().await;
                    if let Ok(done) = done {
                        let _ = done.send(());
                    }
                    return;
                }
            }
        }
    }

    async fn tick(&mut self) {
        self.stand();
        match self.lease.permit() {
            None => self.leave_term(),
            Some(permit) => {
                let step = self.act(permit).await;
                self.note_health(step.err());
            }
        }
        self.publisher.send_if_modified(|it| {
            let changed = *it != self.status;
            it.clone_from(&self.status);
            changed
        });
    }

    fn stand(&self) {
        let view = self.options.view.borrow();
        let alive = view.members.iter().filter(|it| match it.state {
            State::Alive | State::Suspect => true,
            State::Leaving | State::Dead => false,
        });
        let hosts = alive.map(|it| it.id.as_str());
        self.standing.send_replace(lease::is_candidate(LEASE, &self.options.host, hosts));
    }

    fn leave_term(&mut self) {
        if self.status.number.take().is_some() {
            warn!("no longer the usage reporter");
        }
        self.chain = None;
    }

    fn note_health(&mut self, failure: Option<Failure>) {
        if let Some(failure) = failure.as_ref().filter(|_| !self.status.degraded) {
            warn!("the usage reporter cannot go on: {failure}");
        }
        self.status.degraded = failure.is_some();
    }

    /// One step of the certain holder.
    async fn act(&mut self, permit: Permit) -> Result<(), Failure> {
        if self.status.number != Some(permit.number) {
            self.leave_term();
            self.status.number = Some(permit.number);
            info!("usage reporter under number {}", permit.number);
        }
        let mut chain = match self.chain.take() {
            Some(chain) => chain,
            None => self.read_chain().await?,
        };
        let step = self.step(&mut chain).await;
        self.status.sealed = chain.last.as_ref().map(|it| it.window);
        self.chain = Some(chain);
        step
    }

    async fn step(&mut self, chain: &mut Chain) -> Result<(), Failure> {
        for _ in 0..SEALS {
            let next = chain.last.as_ref().map_or(chain.first.window, |it| it.window + 1);
            let end_ms = (next + 1).saturating_mul(chain.first.window_ms);
            if wall_ms() < end_ms.saturating_add(self.options.grace_ms) {
                break;
            }
            let (window, removable) = self.seal(chain, next).await?;
            chain.last = Some(window);
            self.remove(removable).await?;
        }
        self.report(chain).await
    }

    /// Reads what earlier reporters have sealed.
    async fn read_chain(&mut self) -> Result<Chain, Failure> {
        let first = self.read_first().await?;
        let (reported, version) = self.read_reported().await?;
        let next_report = reported.map_or(first.window, |it| it + 1);
        self.status.reported = reported;
        let mut last = None;
        let mut window = reported.unwrap_or(first.window);
        while let Some(sealed) = self.read_window(window).await? {
            last = Some(sealed.0);
            window += 1;
        }
        if reported.is_some() && last.is_none() {
            return Err(Failure::Invalid("the reported window is not in the store".to_owned()));
        }
        Ok(Chain { first, version, next_report, last })
    }

    async fn read_first(&self) -> Result<First, Failure> {
        if let Some(value) = self.options.client.get(Cause::Report, FIRST).await? {
            return decode(FIRST, &value.bytes);
        }
        let windows = self.options.windows;
        let window_ms = windows.window_ms.max(1);
        let window = windows.window(wall_ms().saturating_sub(self.options.grace_ms));
        let content = encode(&First { schema: SCHEMA, window, window_ms })?;
        usage::create(&self.options.client, Cause::Report, FIRST, content).await?;
        match self.options.client.get(Cause::Report, FIRST).await? {
            Some(value) => decode(FIRST, &value.bytes),
            None => Err(Failure::Unknown("the first window is not in the store".to_owned())),
        }
    }

    async fn read_reported(&self) -> Result<(Option<u64>, u64), Failure> {
        let Some(value) = self.options.client.get(Cause::Report, REPORTED).await? else {
            return Ok((None, 0));
        };
        let reported: Reported = decode(REPORTED, &value.bytes)?;
        Ok((Some(reported.window), value.version))
    }

    /// A sealed window and its bytes.
    async fn read_window(&self, window: u64) -> Result<Option<(Window, Bytes)>, Failure> {
        let key = window_key(window);
        let Some(value) = self.options.client.get(Cause::Report, &key).await? else {
            return Ok(None);
        };
        let sealed = Window::decode(&value.bytes).filter(|it| it.window == window);
        let sealed = sealed.ok_or_else(|| Failure::Invalid(format!("{key} cannot be read")))?;
        Ok(Some((sealed, value.bytes)))
    }

    /// Seals a window and returns it as the store has it, with the records that the one before had counted.
    async fn seal(&mut self, chain: &Chain, window: u64) -> Result<(Window, Vec<String>), Failure> {
        let terms = Terms { window_ms: chain.first.window_ms, ..self.options.windows };
        let mut draft = Draft::new(terms, chain.last.as_ref(), window, wall_ms());
        let mut removable = Vec::new();
        let mut unreadable = 0;
        let mut after = String::new();
        loop {
            let page = self.options.client.list(Cause::Report, MERGED, &after, PAGE).await?;
            let Some(last) = page.entries.last() else { break };
            after = last.key.clone();
            for entry in page.entries {
                match record(&entry) {
                    Some(record) if is_counted(chain, &record) => removable.push(entry.key),
                    Some(record) => record.batches.iter().for_each(|it| draft.count(it)),
                    None => unreadable += 1,
                }
            }
            if !page.more {
                break;
            }
        }
        self.status.unreadable = unreadable;
        let content = Bytes::from(draft.seal().encode());
        let key = window_key(window);
        // Whatever the answer is, only what stands in the store is the window.
        let created = usage::create(&self.options.client, Cause::Report, &key, content).await;
        match self.read_window(window).await? {
            Some((sealed, _)) => Ok((sealed, removable)),
            None => {
                Err(created.err().unwrap_or_else(|| Failure::Unknown(format!("{key} is gone"))))
            }
        }
    }

    /// Removes records whose batches a sealed window has counted.
    async fn remove(&self, keys: Vec<String>) -> Result<(), Failure> {
        for key in keys.iter().take(REMOVALS) {
            self.options.client.delete(Cause::Report, key, None).await?;
        }
        Ok(())
    }

    async fn report(&mut self, chain: &mut Chain) -> Result<(), Failure> {
        for _ in 0..SEALS {
            if chain.last.as_ref().is_none_or(|it| it.window < chain.next_report) {
                return Ok(());
            }
            let window = chain.next_report;
            let Some((_, bytes)) = self.read_window(window).await? else {
                return Err(Failure::Invalid(format!("window {window} is gone")));
            };
            self.send(window, bytes).await?;
            self.status.reported = Some(window);
            chain.next_report = window + 1;
            let content = encode(&Reported { schema: SCHEMA, window })?;
            let condition = Some(chain.version);
            let written =
                self.options.client.put(Cause::Report, REPORTED, content, condition).await;
            chain.version = match written {
                Ok(Write::Written(version)) => version,
                // The mark only spares repeats; the next one is made from what stands there.
                Ok(Write::Conflict(_)) | Err(_) => self.read_reported().await?.1,
            };
        }
        Ok(())
    }

    /// Sends the bytes of a sealed window.
    async fn send(&mut self, window: u64, bytes: Bytes) -> Result<(), Failure> {
        let number = self.status.number;
        let permit = self.lease.permit().filter(|it| Some(it.number) == number);
        let permit =
            permit.ok_or_else(|| Failure::Refused(410, "the lease is not held".to_owned()))?;
        let name = window.to_string();
        let call = self.options.client.report(&name, LEASE, permit.number, bytes);
        let answer = timeout(permit.remaining.into(), call).await;
        match answer.unwrap_or_else(|_| Err(Failure::Unknown("timeout".to_owned()))) {
            Err(Failure::Refused(409, _)) => {
                error!("window {window} was reported with other content");
                self.status.conflicts += 1;
                Ok(())
            }
            answer => answer,
        }
    }
}

fn record(entry: &Entry) -> Option<Record> {
    Record::decode(entry.value.as_ref()?.as_bytes())
}

fn is_counted(chain: &Chain, record: &Record) -> bool {
    let Some(last) = &chain.last else { return false };
    record.batches.iter().all(|it| last.contains(it))
}

fn encode<T: Serialize>(value: &T) -> Result<Bytes, Failure> {
    let bytes = serde_json::to_vec(value).map_err(|it| Failure::Invalid(it.to_string()))?;
    Ok(Bytes::from(bytes))
}

fn decode<T: for<'de> Deserialize<'de>>(key: &str, bytes: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(bytes).map_err(|it| Failure::Invalid(format!("{key}: {it}")))
}
