//! Usage by customer and window: counted on every host, gathered by the hubs in the store, reported by the leader.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{sync::watch, task, time::sleep};

use crate::{
    serving::{
        duties::{Counts, Duties},
        leadership::{Leadership, Term},
        ledger::Ledger,
        messages::WindowCounts,
        roster::Roster,
    },
    store::{Commit, Committed, Failure, Item, Put, Store},
    time::{Span, Time, wall_ms},
};

/// Start of the keys of counts that are not reported yet.
const COUNTS_PREFIX: &str = "almondrack/usage/";

/// Start of the keys of windows whose counts are settled.
const SEALED_PREFIX: &str = "almondrack/sealed/";

/// Interval between writes of counts.
const FLUSH_INTERVAL: Duration = Duration::from_millis(2_000);

/// Longest interval between writes while the store takes none.
const MAX_FLUSH_INTERVAL: Duration = Duration::from_millis(4_000);

/// Time after a window's end at which its counts are written without waiting for the interval: hosts have told their hubs by
/// then, and a report that is ready early is not held up by an outage that begins soon.
const WINDOW_FLUSH_TIME: Span = Span::from_ms(700);

/// Interval between writes of a host that stops.
const LAST_FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a window's end until its requests are counted.
const SETTLE: Span = Span::from_ms(150);

/// Interval of the reporter's steps.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a window's end before which its counts are not looked for: they pass from hosts to hubs and to the store.
const GATHER_TIME: Span = Span::from_ms(1_500);

/// Time before a window has to be reported at which missing hosts are no longer waited for.
const REPORT_LEAD: Span = Span::from_ms(1_500);

/// Hosts of which one may be missing in a report: their hub holds all but its last counts, and one of so many hosts has
/// less than a report may be wrong by, which is a twentieth.
const HOSTS_PER_MISSING: usize = 40;

/// Longest time of one report.
const REPORT_TIME: Span = Span::from_ms(500);

/// Windows that a new leader reports again, as its predecessor may not have.
const REPEATED_WINDOWS: u64 = 3;

/// Windows for which settled counts are kept.
const KEPT_WINDOWS: u64 = 12;

/// Keys that one commit may remove.
const MAX_DELETES: usize = 30;

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

/// Counter of a host, which also holds what others told it; clones share it.
#[derive(Debug, Clone)]
pub struct Meter {
    clock: Clock,
    window: Span,
    ledger: Rc<RefCell<Ledger>>,
}

impl Meter {
    /// A counter for windows of a length, under a name that no earlier process of the host had.
    pub fn new(window: Span, writer: &str) -> Meter {
        let ledger = Rc::new(RefCell::new(Ledger::new(writer)));
        Meter { clock: Clock::open(), window, ledger }
    }

    /// Counts a request that an upstream began to run.
    pub fn count(&self, customer: &Arc<str>) {
        let window = self.window_at(Time::now());
        self.ledger.borrow_mut().count(window, customer);
    }

    /// Counts of this host that changed since the last call, or all that are not settled.
    pub fn take_changed(&self, only_new: bool) -> Vec<WindowCounts> {
        self.ledger.borrow_mut().take_changed(self.open_window(), only_new)
    }

    /// Takes in counts of other hosts.
    pub fn merge(&self, counts: Vec<WindowCounts>) {
        self.ledger.borrow_mut().merge(counts);
    }

    /// The first window that has not ended.
    fn open_window(&self) -> u64 {
        self.window_at(Time::now() - SETTLE)
    }

    fn window_at(&self, now: Time) -> u64 {
        self.clock.unix(now) / self.window.0.max(1)
    }

    /// Time until the counts of the window that ends next, or has just ended, are written.
    fn until_window_flush(&self, now: Time) -> Duration {
        let window = self.window.0.max(1);
        let passed = (self.clock.unix(now).saturating_sub(WINDOW_FLUSH_TIME.0)) % window;
        Span(window - passed).into()
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
    /// The hosts that are registered.
    pub roster: watch::Receiver<Rc<Roster>>,
    /// Whether this host writes the counts that it holds.
    pub collects: watch::Receiver<bool>,
    /// Name of this host's records, which no earlier process of the host had.
    pub writer: String,
    /// Time after a window's end by which it has to be reported.
    pub delay: Span,
}

/// Handle to the tasks.
#[derive(Debug, Clone)]
pub struct Usage {
    meter: Meter,
    stop: Rc<watch::Sender<bool>>,
    stopped: watch::Receiver<bool>,
}

impl Usage {
    /// Hands over what was counted, as this host will count no more.
    pub async fn close(&self, limit: Duration) {
        self.meter.ledger.borrow_mut().close();
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
    let writer = Writer {
        store: options.store.clone(),
        name: options.writer,
        meter: meter.clone(),
        revisions: BTreeMap::new(),
    };
    task::spawn_local(writer.run(options.collects, stopping, stopped_sender));
    let reporter = Reporter {
        store: options.store,
        duties: options.duties,
        meter: meter.clone(),
        roster: options.roster,
        delay: options.delay,
        reported: Vec::new(),
    };
    task::spawn_local(reporter.run(options.leadership));
    Usage { meter, stop: Rc::new(stop), stopped }
}

/// Writes the counts that a host holds to the store.
struct Writer<S> {
    store: S,
    name: String,
    meter: Meter,
    /// Revisions of the windows' records.
    revisions: BTreeMap<u64, u64>,
}

impl<S: Store> Writer<S> {
    async fn run(
        mut self,
        collects: watch::Receiver<bool>,
        mut stopping: watch::Receiver<bool>,
        stopped: watch::Sender<bool>,
    ) {
        let mut interval = FLUSH_INTERVAL;
        loop {
            let stop = tokio::select! {
                () = sleep(interval.min(self.meter.until_window_flush(Time::now()))) => false,
                // The sender lives as long as the host.
                _ = stopping.wait_for(|it| *it) => true,
            };
            let collects = *collects.borrow();
            if stop && !collects {
                // The last counts are handed over with the next question to a hub.
                sleep(LAST_FLUSH_INTERVAL).await;
            }
            let done = if collects { self.flush().await } else { stop };
            interval =
                if done || stop { FLUSH_INTERVAL } else { (interval * 2).min(MAX_FLUSH_INTERVAL) };
            if stop && done {
                stopped.send_replace(true);
                return;
            }
            if stop {
                sleep(LAST_FLUSH_INTERVAL).await;
            }
        }
    }

    /// Writes windows whose counts changed. True if everything is written.
    async fn flush(&mut self) -> bool {
        let open = self.meter.open_window();
        let batches = self.meter.ledger.borrow_mut().take_unwritten(open);
        let mut complete = true;
        for (window, counts) in batches {
            if !complete {
                // A store that took no record takes the next ones no sooner.
                self.meter.ledger.borrow_mut().mark_unwritten(window);
                continue;
            }
            let revision = self.revisions.get(&window).copied().unwrap_or(0);
            let written = match self.write(window, &counts, revision).await {
                Ok(written) => written,
                Err(failure) => {
                    log::info!("counts of window {window} are not written yet: {failure}");
                    None
                }
            };
            match written {
                Some(revision) => {
                    self.revisions.insert(window, revision);
                }
                None => {
                    complete = false;
                    self.meter.ledger.borrow_mut().mark_unwritten(window);
                }
            }
        }
        self.revisions.retain(|it, _| it + KEPT_WINDOWS >= open);
        complete
    }

    /// Writes a window's counts in place of the last ones; its revision, or `None` if it has to be tried again.
    async fn write(
        &mut self,
        window: u64,
        counts: &[WindowCounts],
        revision: u64,
    ) -> Result<Option<u64>, Failure> {
        let key = format!("{COUNTS_PREFIX}{window}/{}", self.name);
        let value = encode(counts)?;
        // The condition keeps a delayed write from replacing a later one.
        let commit = Commit {
            expect: vec![(key.clone(), revision)],
            put: vec![Put { key: key.clone(), value, lease: None }],
            delete: Vec::new(),
        };
        match self.store.commit(&commit).await? {
            Committed::Done(revision) => Ok(Some(revision)),
            Committed::Conflict | Committed::LeaseEnded => {
                let stored = self.store.get(&key).await?.map_or(0, |it| it.revision);
                self.revisions.insert(window, stored);
                Ok(None)
            }
        }
    }
}

fn encode<T: serde::Serialize + ?Sized>(value: &T) -> Result<Bytes, Failure> {
    let encoded = serde_json::to_vec(value).map_err(|error| Failure::Invalid(error.to_string()))?;
    Ok(encoded.into())
}

/// Settles and reports windows while this host leads.
struct Reporter<S, P> {
    store: S,
    duties: P,
    meter: Meter,
    roster: watch::Receiver<Rc<Roster>>,
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
            .filter(|it| self.meter.since_end(now, *it) >= GATHER_TIME)
            .collect();
        if due.is_empty() {
            return Ok(());
        }
        let items = self.counts().await?;
        for window in due {
            let late = self.meter.since_end(now, window).0 + REPORT_LEAD.0 >= self.delay.0;
            let Some(counts) = self.gather(&items, window, late) else { continue };
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

    /// All records of counts in the store.
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

    /// Sums the counts of a window once nearly every host has ended it, or in any case if it is late.
    fn gather(&self, items: &[Item], window: u64, late: bool) -> Option<Counts> {
        let mut ledger = Ledger::new("");
        for item in items.iter().filter(|it| window_of(&it.key) == Some(window)) {
            match serde_json::from_slice::<Vec<WindowCounts>>(&item.value) {
                Ok(counts) => ledger.merge(counts),
                Err(error) => log::error!("{} cannot be read: {error}", item.key),
            }
        }
        let roster = self.roster.borrow();
        let missing = ledger.missing_hosts(window, roster.iter().map(|it| it.id.as_str()));
        (late || missing <= roster.len() / HOSTS_PER_MISSING).then(|| ledger.sum(window))
    }

    /// Settles the counts of a window; those that were settled before stand.
    async fn seal(&self, window: u64, counts: Counts, items: &[Item]) -> Result<Counts, Failure> {
        let key = format!("{SEALED_PREFIX}{window}");
        let old = format!("{SEALED_PREFIX}{}", window.saturating_sub(KEPT_WINDOWS));
        let commit = Commit {
            expect: vec![(key.clone(), 0)],
            put: vec![Put { key: key.clone(), value: encode(&counts)?, lease: None }],
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

    /// Removes the records of a window that is settled, and of those that are no longer reported.
    async fn clean(&self, window: u64, items: &[Item]) {
        // Earlier windows may still wait for a host.
        let kept = window.saturating_sub(REPEATED_WINDOWS);
        let settled = |it: u64| it == window || it < kept;
        let old = items.iter().filter(|it| window_of(&it.key).is_some_and(settled));
        let keys: Vec<_> = old.map(|it| it.key.clone()).collect();
        for delete in keys.chunks(MAX_DELETES) {
            let commit = Commit { delete: delete.to_vec(), ..Commit::default() };
            if let Err(failure) = self.store.commit(&commit).await {
                log::info!("counts of window {window} are not removed: {failure}");
            }
        }
    }
}

fn permitted(leadership: &Leadership, term: Term) -> Option<u64> {
    let held = (*leadership.term.borrow())?;
    (held.number == term.number).then(|| held.permits(Time::now(), REPORT_TIME)).flatten()
}

fn window_of(key: &str) -> Option<u64> {
    key.strip_prefix(COUNTS_PREFIX)?.split('/').next()?.parse().ok()
}
