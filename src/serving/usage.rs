//! Usage by customer and window: counted on every host, gathered in the store, reported by the leader.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, task, time::sleep};

use crate::{
    serving::{
        duties::{Counts, Duties},
        leadership::{Leadership, Term},
    },
    store::{Commit, Committed, Failure, Item, Put, Store},
    time::{Span, Time, wall_ms},
};

/// Start of the keys of counts that are not reported yet.
const COUNTS_PREFIX: &str = "almondrack/usage/";

/// Start of the keys of windows whose counts are settled.
const SEALED_PREFIX: &str = "almondrack/sealed/";

/// Interval between writes of a host's counts.
const FLUSH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after a window's end until its requests are counted.
const SETTLE: Span = Span::from_ms(150);

/// Interval of the reporter's steps.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time before a window has to be reported at which missing hosts are no longer waited for.
const REPORT_LEAD: Span = Span::from_ms(1_500);

/// Longest time of one report.
const REPORT_TIME: Span = Span::from_ms(500);

/// Windows that a new leader reports again, as its predecessor may not have.
const REPEATED_WINDOWS: u64 = 3;

/// Windows for which settled counts are kept.
const KEPT_WINDOWS: u64 = 12;

/// Time of day that does not step: the wall clock at the start of the process, carried on by the boot-time clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Difference of the Unix time from the boot-time clock, in microseconds.
    offset: u64,
}

impl Clock {
    /// Reads the wall clock once.
    pub fn open() -> Clock {
        Clock { offset: (wall_ms() * 1_000).saturating_sub(Time::now().0) }
    }

    /// Unix time in microseconds.
    pub fn unix(&self, now: Time) -> u64 {
        now.0 + self.offset
    }
}

/// Counts of one host.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Batch {
    /// Whether the window has ended for the host.
    ended: bool,
    counts: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct Open {
    counts: BTreeMap<Arc<str>, u64>,
    /// Revision of the last write, zero before the first.
    revision: u64,
    /// Whether there are counts that are not written.
    changed: bool,
}

/// Counter of a host; clones share it.
#[derive(Debug, Clone)]
pub struct Meter {
    clock: Clock,
    window: Span,
    open: Rc<RefCell<BTreeMap<u64, Open>>>,
}

impl Meter {
    /// A counter for windows of a length.
    pub fn new(window: Span) -> Meter {
        Meter { clock: Clock::open(), window, open: Rc::default() }
    }

    /// Counts a request that an upstream began to run.
    pub fn begun(&self, customer: &Arc<str>) {
        let window = self.window_at(Time::now());
        let mut open = self.open.borrow_mut();
        let open = open.entry(window).or_default();
        *open.counts.entry(customer.clone()).or_default() += 1;
        open.changed = true;
    }

    fn window_at(&self, now: Time) -> u64 {
        self.clock.unix(now) / self.window.0.max(1)
    }

    /// Time since the end of a window, zero if it has not ended.
    fn since_end(&self, now: Time, window: u64) -> Span {
        Span(self.clock.unix(now).saturating_sub((window + 1) * self.window.0))
    }
}

/// What the tasks of usage need.
pub struct Options<S, P> {
    /// The platform's store.
    pub store: S,
    /// Takes reports.
    pub duties: P,
    /// Whether this host leads.
    pub leadership: Leadership,
    /// Host id with a number that no earlier process of the host had.
    pub writer: String,
    /// Time after a window's end by which it has to be reported.
    pub delay: Span,
}

/// Handle to the tasks.
#[derive(Debug, Clone)]
pub struct Usage {
    /// Counts requests.
    pub meter: Meter,
    stop: Rc<watch::Sender<bool>>,
    stopped: watch::Receiver<bool>,
}

impl Usage {
    /// Writes what was counted, as this host will count no more.
    pub async fn close(&self, limit: Duration) {
        self.stop.send_replace(true);
        let mut stopped = self.stopped.clone();
        let written = tokio::time::timeout(limit, stopped.wait_for(|it| *it)).await;
        if written.is_err() {
            log::warn!("the last counts could not be written in time");
        }
    }
}

/// Spawns the tasks on the current thread.
pub fn spawn<S: Store, P: Duties>(meter: Meter, options: Options<S, P>) -> Usage {
    let (stop, stopping) = watch::channel(false);
    let (stopped_sender, stopped) = watch::channel(false);
    let writer =
        Writer { store: options.store.clone(), name: options.writer.clone(), meter: meter.clone() };
    task::spawn_local(writer.run(stopping, stopped_sender));
    let reporter = Reporter {
        store: options.store,
        duties: options.duties,
        meter: meter.clone(),
        delay: options.delay,
        reported: Vec::new(),
    };
    task::spawn_local(reporter.run(options.leadership));
    Usage { meter, stop: Rc::new(stop), stopped }
}

/// Writes a host's counts to the store.
struct Writer<S> {
    store: S,
    name: String,
    meter: Meter,
}

impl<S: Store> Writer<S> {
    async fn run(self, mut stopping: watch::Receiver<bool>, stopped: watch::Sender<bool>) {
        loop {
            let stop = tokio::select! {
                () = sleep(self.pause()) => false,
                _ = stopping.wait_for(|it| *it) => true,
            };
            if self.flush(stop).await && stop {
                stopped.send_replace(true);
                return;
            }
        }
    }

    /// Time to the next write: an interval, or the end of the window.
    fn pause(&self) -> Duration {
        let now = self.meter.clock.unix(Time::now());
        let window = self.meter.window.0.max(1);
        let left = window - (now.saturating_sub(SETTLE.0) % window);
        Duration::from(Span(left)).min(FLUSH_INTERVAL)
    }

    /// Writes counts that changed and marks windows that ended. True if everything is written.
    async fn flush(&self, stop: bool) -> bool {
        let now = Time::now();
        let current = self.meter.window_at(now);
        // A host without requests says so too, so that the reporter does not wait for it.
        self.meter.open.borrow_mut().entry(current).or_default();
        let windows: Vec<_> = self.meter.open.borrow().keys().copied().collect();
        let mut complete = true;
        for window in windows {
            let ended = stop || self.meter.since_end(now, window) >= SETTLE;
            complete &= self.flush_window(window, ended).await;
        }
        complete
    }

    async fn flush_window(&self, window: u64, ended: bool) -> bool {
        let (batch, revision) = {
            let mut open = self.meter.open.borrow_mut();
            let Some(open) = open.get_mut(&window) else { return true };
            if !ended && !std::mem::take(&mut open.changed) {
                return true;
            }
            let counts = open.counts.iter().map(|(name, count)| (name.to_string(), *count));
            (Batch { ended, counts: counts.collect() }, open.revision)
        };
        match self.write(window, &batch, revision).await {
            Ok(Some(_)) if ended => {
                self.meter.open.borrow_mut().remove(&window);
                true
            }
            Ok(written) => {
                if let Some(open) = self.meter.open.borrow_mut().get_mut(&window) {
                    open.revision = written.unwrap_or(open.revision);
                    open.changed |= written.is_none();
                }
                written.is_some()
            }
            Err(failure) => {
                log::info!("counts of window {window} are not written yet: {failure}");
                if let Some(open) = self.meter.open.borrow_mut().get_mut(&window) {
                    open.changed = true;
                }
                false
            }
        }
    }

    /// Writes a batch in place of the last one; its revision, or `None` if another write came between.
    async fn write(
        &self,
        window: u64,
        batch: &Batch,
        revision: u64,
    ) -> Result<Option<u64>, Failure> {
        let key = format!("{COUNTS_PREFIX}{window}/{}", self.name);
        let value =
            serde_json::to_vec(batch).map_err(|error| Failure::Invalid(error.to_string()))?;
        // The condition keeps a delayed write from replacing a later one.
        let commit = Commit {
            expect: vec![(key.clone(), revision)],
            put: vec![Put { key: key.clone(), value: value.into(), lease: None }],
            delete: Vec::new(),
        };
        match self.store.commit(&commit).await? {
            Committed::Done(revision) => Ok(Some(revision)),
            Committed::Conflict | Committed::LeaseEnded => {
                let stored = self.store.get(&key).await?.map_or(0, |it| it.revision);
                if let Some(open) = self.meter.open.borrow_mut().get_mut(&window) {
                    open.revision = stored;
                }
                Ok(None)
            }
        }
    }
}

/// Settles and reports windows while this host leads.
struct Reporter<S, P> {
    store: S,
    duties: P,
    meter: Meter,
    delay: Span,
    /// Windows that were reported in this term, ascending.
    reported: Vec<u64>,
}

impl<S: Store, P: Duties> Reporter<S, P> {
    async fn run(mut self, leadership: Leadership) {
        let mut led = None;
        loop {
            sleep(REPORT_INTERVAL).await;
            let term = *leadership.term.borrow();
            let Some(term) = term else { continue };
            if led != Some(term.number) {
                led = Some(term.number);
                self.reported.clear();
            }
            if term.permits(Time::now(), REPORT_TIME).is_some()
                && let Err(failure) = self.step(term, &leadership).await
            {
                log::info!("usage cannot be settled now: {failure}");
            }
        }
    }

    async fn step(&mut self, term: Term, leadership: &Leadership) -> Result<(), Failure> {
        let now = Time::now();
        let current = self.meter.window_at(now);
        let due: Vec<_> = (current.saturating_sub(REPEATED_WINDOWS)..current)
            .filter(|it| self.reported.binary_search(it).is_err())
            .filter(|it| self.meter.since_end(now, *it) >= SETTLE)
            .collect();
        if due.is_empty() {
            return Ok(());
        }
        let items = self.counts().await?;
        for window in due {
            let late = self.meter.since_end(now, window).0 + REPORT_LEAD.0 >= self.delay.0;
            let Some(counts) = gather(&items, window, late) else { continue };
            let counts = self.seal(window, counts, &items).await?;
            let Some(number) = permitted(leadership, term) else { return Ok(()) };
            match self.duties.report(number, window, &counts).await {
                Ok(()) => {
                    let total: u64 = counts.iter().map(|it| it.1).sum();
                    log::info!("usage of window {window} is reported, {total} requests");
                    let at = self.reported.partition_point(|it| *it < window);
                    self.reported.insert(at, window);
                }
                Err(failure) => {
                    log::warn!("usage of window {window} is not reported: {failure}");
                }
            }
        }
        Ok(())
    }

    /// All batches in the store.
    async fn counts(&self) -> Result<Vec<Item>, Failure> {
        let mut items: Vec<Item> = Vec::new();
        loop {
            let after = items.last().map_or("", |it| it.key.as_str()).to_owned();
            let page = self.store.list(COUNTS_PREFIX, &after).await?;
            items.extend(page.items);
            if !page.more {
                return Ok(items);
            }
        }
    }

    /// Settles the counts of a window; those that were settled before stand.
    async fn seal(&self, window: u64, counts: Counts, items: &[Item]) -> Result<Counts, Failure> {
        let key = format!("{SEALED_PREFIX}{window}");
        let value =
            serde_json::to_vec(&counts).map_err(|error| Failure::Invalid(error.to_string()))?;
        let old = format!("{SEALED_PREFIX}{}", window.saturating_sub(KEPT_WINDOWS));
        let commit = Commit {
            expect: vec![(key.clone(), 0)],
            put: vec![Put { key: key.clone(), value: value.into(), lease: None }],
            delete: vec![old],
        };
        if let Committed::Done(_) = self.store.commit(&commit).await? {
            self.clean(window, items).await;
            return Ok(counts);
        }
        let sealed = self.store.get(&key).await?;
        let value = sealed.map_or_else(Bytes::new, |it| it.value);
        serde_json::from_slice(&value).map_err(|error| Failure::Invalid(error.to_string()))
    }

    /// Removes the batches of a window that is settled, and of older ones.
    async fn clean(&self, window: u64, items: &[Item]) {
        let old = items.iter().filter(|it| window_of(&it.key).is_some_and(|it| it <= window));
        let keys: Vec<_> = old.map(|it| it.key.clone()).collect();
        for delete in keys.chunks(MAX_DELETES) {
            let commit = Commit { delete: delete.to_vec(), ..Commit::default() };
            if let Err(failure) = self.store.commit(&commit).await {
                log::info!("counts of window {window} are not removed: {failure}");
            }
        }
    }
}

/// Keys that one commit may remove.
const MAX_DELETES: usize = 30;

fn permitted(leadership: &Leadership, term: Term) -> Option<u64> {
    let held = (*leadership.term.borrow())?;
    (held.number == term.number).then(|| held.permits(Time::now(), REPORT_TIME)).flatten()
}

fn window_of(key: &str) -> Option<u64> {
    key.strip_prefix(COUNTS_PREFIX)?.split('/').next()?.parse().ok()
}

/// Sums the counts of a window once every host that wrote has ended it, or in any case if it is late.
fn gather(items: &[Item], window: u64, late: bool) -> Option<Counts> {
    let mut sums: BTreeMap<String, u64> = BTreeMap::new();
    let mut open = false;
    for item in items.iter().filter(|it| window_of(&it.key) == Some(window)) {
        match serde_json::from_slice::<Batch>(&item.value) {
            Ok(batch) => {
                open |= !batch.ended;
                for (customer, count) in batch.counts {
                    *sums.entry(customer).or_default() += count;
                }
            }
            Err(error) => log::error!("{} cannot be read: {error}", item.key),
        }
    }
    (late || !open).then(|| sums.into_iter().collect())
}
