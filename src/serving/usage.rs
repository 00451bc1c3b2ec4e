//! Usage by customer and window.
//!
//! Each host counts its requests and sends the counts to its hub. Hubs write them to the store, and
//! the leader sums them, seals the sums and reports them to the platform.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{sync::watch, task, time::sleep};

use crate::{
    serving::{
        duties::{Counts, Duties},
        leadership::{Leadership, Term},
        ledger::Ledger,
        messages,
        roster::Roster,
    },
    store::{Commit, Committed, Failure, Item, Put, Store},
    time::{Span, Time, wall_ms},
};

/// Prefix of the keys of counts in windows that are not sealed.
const COUNTS_PREFIX: &str = "almondrack/usage/";

/// Prefix of the keys of sealed windows, whose sums are final.
const SEALED_PREFIX: &str = "almondrack/sealed/";

/// Interval between writes of counts to the store.
const FLUSH_INTERVAL: Duration = Duration::from_millis(2_000);

/// Maximum interval between writes while they fail.
const MAX_FLUSH_INTERVAL: Duration = Duration::from_millis(4_000);

/// Time after a window's end at which its counts are written without waiting for the interval.
/// Hosts have sent them to their hubs by then, and an early report is not delayed by an outage that
/// begins shortly after.
const WINDOW_FLUSH_TIME: Span = Span::from_ms(700);

/// Interval between writes of a host that is stopping.
const LAST_FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a window's end after which the host treats the window as ended. By then all its
/// requests are counted.
const WINDOW_END_DELAY: Span = Span::from_ms(150);

/// Interval between steps of the reporter.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a window's end before which it is not reported, as its counts are on the way from
/// hosts to hubs and to the store.
const COLLECT_TIME: Span = Span::from_ms(1_500);

/// Time before a report is due at which the reporter stops waiting for missing hosts.
const REPORT_LEAD: Span = Span::from_ms(1_500);

/// Number of hosts of which one may be missing in a report. Their hub holds all but its last
/// counts, and one of so many hosts has less than the permitted error of a report, a twentieth.
const HOSTS_PER_MISSING: usize = 40;

/// Maximum duration of one report, which the term must still cover.
const MAX_REPORT_TIME: Span = Span::from_ms(500);

/// Number of windows that a new leader reports again, as its predecessor may not have reported
/// them.
const REPEATED_WINDOWS: u64 = 3;

/// Number of windows for which sealed counts are kept.
const KEPT_SEALED_WINDOWS: u64 = 12;

/// Maximum number of keys that one commit may remove.
const MAX_DELETES: usize = 30;

/// Unix time without steps: the wall clock at the start of the process, advanced by the boot-time
/// clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Unix time minus boot-time clock, in microseconds.
    offset: u64,
}

impl Clock {
    /// Reads the wall clock, which is not read again.
    pub fn open() -> Clock {
        Clock { offset: (wall_ms() * 1_000).saturating_sub(Time::now().0) }
    }

    /// Unix time in microseconds.
    pub fn unix(&self, now: Time) -> u64 {
        now.0 + self.offset
    }
}

/// Usage counts of this host and those received from other hosts. Clones share them.
#[derive(Debug, Clone)]
pub struct Meter {
    clock: Clock,
    window: Span,
    ledger: Rc<RefCell<Ledger>>,
}

impl Meter {
    /// Creates empty counts for windows of this length. `writer` is the host id with a suffix that
    /// is unique to the process.
    pub fn new(window: Span, writer: &str) -> Meter {
        let ledger = Rc::new(RefCell::new(Ledger::new(writer)));
        Meter { clock: Clock::open(), window, ledger }
    }

    /// Counts a request that an upstream started to execute.
    pub fn count(&self, customer: &Arc<str>) {
        let window = self.window_at(Time::now());
        self.ledger.borrow_mut().count(window, customer);
    }

    /// Returns the counts of this host that changed since the last call, or all kept ones unless
    /// `only_new`.
    pub fn take_changed(&self, only_new: bool) -> Vec<messages::Counts> {
        self.ledger.borrow_mut().take_changed(self.open_window(), only_new)
    }

    /// Merges counts of other hosts.
    pub fn merge(&self, counts: Vec<messages::Counts>) {
        self.ledger.borrow_mut().merge(counts);
    }

    /// Returns the first window that has not ended.
    fn open_window(&self) -> u64 {
        self.window_at(Time::now() - WINDOW_END_DELAY)
    }

    fn window_at(&self, now: Time) -> u64 {
        self.clock.unix(now) / self.window.0.max(1)
    }

    /// Returns the time until the next write at `WINDOW_FLUSH_TIME` after the end of a window.
    fn until_window_flush(&self, now: Time) -> Duration {
        let window = self.window.0.max(1);
        let passed = (self.clock.unix(now).saturating_sub(WINDOW_FLUSH_TIME.0)) % window;
        Span(window - passed).into()
    }

    /// Returns the time since the end of a window, zero if it has not ended.
    fn since_end(&self, now: Time, window: u64) -> Span {
        Span(self.clock.unix(now).saturating_sub((window + 1) * self.window.0))
    }
}

/// Dependencies and settings of the tasks.
pub struct Options<S, P> {
    /// The platform's store.
    pub store: S,
    /// Port to the platform, for reports.
    pub duties: P,
    /// Leadership, under which windows are reported.
    pub leadership: Leadership,
    /// Registered hosts.
    pub roster: watch::Receiver<Rc<Roster>>,
    /// Whether this host writes the counts that it holds to the store.
    pub writes_usage: watch::Receiver<bool>,
    /// Name of this host's records: the host id with a suffix that is unique to the process.
    pub writer: String,
    /// Time after a window's end by which it must be reported.
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
    /// Ends all windows, and writes the counts to the store or leaves them to the next sync
    /// request. Waits until that is done, at most for `limit`.
    pub async fn close(&self, limit: Duration) {
        self.meter.ledger.borrow_mut().close();
        self.stop.send_replace(true);
        let mut stopped = self.stopped.clone();
        let written = tokio::time::timeout(limit, stopped.wait_for(|it| *it)).await;
        if written.is_err() {
            log::warn!("the last usage counts could not be written in time");
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
        era: 0,
    };
    task::spawn_local(writer.run(options.writes_usage, stopping, stopped_sender));
    let reporter = Reporter {
        store: options.store,
        duties: options.duties,
        meter: meter.clone(),
        roster: options.roster,
        delay: options.delay,
        reported: Vec::new(),
        sealed: Vec::new(),
        era: 0,
        restored_at: None,
        led_from: None,
        led_before_restore: None,
    };
    task::spawn_local(reporter.run(options.leadership));
    Usage { meter, stop: Rc::new(stop), stopped }
}

/// Writes the counts that a host holds to the store.
struct Writer<S> {
    store: S,
    name: String,
    meter: Meter,
    /// Revision of the record of each window.
    revisions: BTreeMap<u64, u64>,
    /// Era of the store in which the records were written.
    era: u64,
}

impl<S: Store> Writer<S> {
    async fn run(
        mut self,
        writes_usage: watch::Receiver<bool>,
        mut stopping: watch::Receiver<bool>,
        stopped: watch::Sender<bool>,
    ) {
        let mut interval = FLUSH_INTERVAL;
        loop {
            let stop = tokio::select! {
                () = sleep(interval.min(self.meter.until_window_flush(Time::now()))) => false,
                // The sender is dropped only with the host.
                _ = stopping.wait_for(|it| *it) => true,
            };
            let writes_usage = *writes_usage.borrow();
            if stop && !writes_usage {
                // The next sync request to a hub sends the last counts.
                sleep(LAST_FLUSH_INTERVAL).await;
            }
            let done = if writes_usage { self.flush().await } else { stop };
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

    /// Writes the windows whose counts changed. Returns whether all were written.
    async fn flush(&mut self) -> bool {
        let open = self.meter.open_window();
        if std::mem::replace(&mut self.era, self.store.era()) != self.era {
            // The store came back from an older copy, which lacks the last records.
            self.meter.ledger.borrow_mut().mark_all_unwritten();
        }
        let batches = self.meter.ledger.borrow_mut().take_unwritten(open);
        let mut complete = true;
        for (window, counts) in batches {
            if !complete {
                // After a failed write the next ones would most likely fail too.
                self.meter.ledger.borrow_mut().mark_unwritten(window);
                continue;
            }
            let revision = self.revisions.get(&window).copied().unwrap_or(0);
            let written = match self.write(window, &counts, revision).await {
                Ok(written) => written,
                Err(failure) => {
                    log::info!("write of the counts of usage window {window} failed: {failure}");
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
        self.revisions.retain(|it, _| it + KEPT_SEALED_WINDOWS >= open);
        complete
    }

    /// Replaces the record of a window. Returns its revision, or `None` after a conflict, when the
    /// write must be repeated.
    async fn write(
        &mut self,
        window: u64,
        counts: &[messages::Counts],
        revision: u64,
    ) -> Result<Option<u64>, Failure> {
        let key = format!("{COUNTS_PREFIX}{window}/{}", self.name);
        let value = encode(counts)?;
        // Conditional, so that a delayed write does not replace a later one.
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

/// Seals and reports windows while this host leads.
struct Reporter<S, P> {
    store: S,
    duties: P,
    meter: Meter,
    roster: watch::Receiver<Rc<Roster>>,
    delay: Span,
    /// Windows that were reported in this term, in ascending order.
    reported: Vec<u64>,
    /// Sums that this host sealed, in ascending order of their windows.
    sealed: Vec<(u64, Counts)>,
    /// Era of the store in which the seals were written.
    era: u64,
    /// When this host first heard of the era, unless it is the store's first one.
    restored_at: Option<Time>,
    /// Since when this host has led.
    led_from: Option<Time>,
    /// Since when this host had led when it heard of the era.
    led_before_restore: Option<Time>,
}

impl<S: Store, P: Duties> Reporter<S, P> {
    async fn run(mut self, leadership: Leadership) {
        let mut last_term = None;
        loop {
            sleep(REPORT_INTERVAL).await;
            if std::mem::replace(&mut self.era, self.store.era()) != self.era {
                self.restored_at = Some(Time::now());
                self.led_before_restore = self.led_from;
                last_term = None;
                self.write_seals().await;
            }
            let term = *leadership.term.borrow();
            self.led_from = term.map(|it| self.led_from.unwrap_or(it.from));
            let Some(term) = term else { continue };
            if last_term != Some(term.number) {
                last_term = Some(term.number);
                self.reported.clear();
            }
            if term.permits(Time::now(), MAX_REPORT_TIME).is_some()
                && let Err(failure) = self.step(term, &leadership).await
            {
                log::info!("usage step failed: {failure}");
            }
        }
    }

    async fn step(&mut self, term: Term, leadership: &Leadership) -> Result<(), Failure> {
        let now = Time::now();
        let current = self.meter.window_at(now);
        let due: Vec<_> = (current.saturating_sub(REPEATED_WINDOWS)..current)
            .filter(|it| self.reported.binary_search(it).is_err())
            .filter(|it| self.meter.since_end(now, *it) >= COLLECT_TIME)
            .collect();
        if due.is_empty() {
            return Ok(());
        }
        let items = self.list_records().await?;
        for window in due {
            let late = self.meter.since_end(now, window).0 + REPORT_LEAD.0 >= self.delay.0;
            let counts = match self.sealed_counts(now, window).await? {
                Sealed::Counts(counts) => counts,
                Sealed::Lost => {
                    log::warn!(
                        "usage of window {window} is not reported: an older copy of the store may lack its seal"
                    );
                    self.mark_reported(window);
                    continue;
                }
                Sealed::No => {
                    let Some(counts) = self.sum_if_complete(&items, window, late) else { continue };
                    counts
                }
            };
            let counts = self.seal(window, counts, &items).await?;
            let Some(number) = permitted_number(leadership, term) else { return Ok(()) };
            match self.duties.report(number, window, &counts).await {
                Ok(()) => {
                    let total: u64 = counts.iter().map(|it| it.1).sum();
                    log::info!("usage of window {window} reported: {total} requests");
                    self.mark_reported(window);
                }
                Err(failure) => {
                    log::warn!("usage report of window {window} failed: {failure}");
                }
            }
        }
        Ok(())
    }

    fn mark_reported(&mut self, window: u64) {
        let at = self.reported.partition_point(|it| *it < window);
        self.reported.insert(at, window);
    }

    /// Returns what is known of a window's seal. After the store came back from an older copy, a window that may have been
    /// reported before is reported again only with the counts of its seal.
    async fn sealed_counts(&self, now: Time, window: u64) -> Result<Sealed, Failure> {
        if let Ok(at) = self.sealed.binary_search_by_key(&window, |it| it.0) {
            return Ok(Sealed::Counts(self.sealed[at].1.clone()));
        }
        let Some(restored_at) = self.restored_at else { return Ok(Sealed::No) };
        let since_end = self.meter.since_end(now, window).0;
        let until_restored = now.since(restored_at).0 + COLLECT_TIME.0;
        // No other host sealed windows that ended while this one led.
        let has_led = self.led_before_restore.is_some_and(|from| now - Span(since_end) >= from);
        if since_end < until_restored || has_led {
            return Ok(Sealed::No);
        }
        match self.store.get(&format!("{SEALED_PREFIX}{window}")).await? {
            Some(item) => decode_counts(&item.value).map(Sealed::Counts),
            None => Ok(Sealed::Lost),
        }
    }

    /// Writes the seals of this host again that an older copy of the store may lack.
    async fn write_seals(&self) {
        for (window, counts) in &self.sealed {
            let key = format!("{SEALED_PREFIX}{window}");
            let written = match encode(counts) {
                Ok(value) => {
                    let put = vec![Put { key: key.clone(), value, lease: None }];
                    let commit = Commit { expect: vec![(key, 0)], put, ..Commit::default() };
                    self.store.commit(&commit).await.map(|_| ())
                }
                Err(failure) => Err(failure),
            };
            if let Err(failure) = written {
                log::warn!(
                    "the seal of usage window {window} could not be written again: {failure}"
                );
            }
        }
    }

    /// Lists all records of counts in the store.
    async fn list_records(&self) -> Result<Vec<Item>, Failure> {
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

    /// Sums the counts of a window if at most one in `HOSTS_PER_MISSING` hosts has not ended it, or
    /// if it is late.
    fn sum_if_complete(&self, items: &[Item], window: u64, late: bool) -> Option<Counts> {
        let mut ledger = Ledger::new("");
        for item in items.iter().filter(|it| window_of(&it.key) == Some(window)) {
            match serde_json::from_slice::<Vec<messages::Counts>>(&item.value) {
                Ok(counts) => ledger.merge(counts),
                Err(error) => log::error!("usage record {} cannot be decoded: {error}", item.key),
            }
        }
        let roster = self.roster.borrow();
        let missing = ledger.missing_hosts(window, roster.iter().map(|it| it.id.as_str()));
        (late || missing <= roster.len() / HOSTS_PER_MISSING).then(|| ledger.sum(window))
    }

    /// Seals the sums of a window. Returns the stored ones if it was sealed before.
    async fn seal(
        &mut self,
        window: u64,
        counts: Counts,
        items: &[Item],
    ) -> Result<Counts, Failure> {
        let key = format!("{SEALED_PREFIX}{window}");
        let old = format!("{SEALED_PREFIX}{}", window.saturating_sub(KEPT_SEALED_WINDOWS));
        let commit = Commit {
            expect: vec![(key.clone(), 0)],
            put: vec![Put { key: key.clone(), value: encode(&counts)?, lease: None }],
            delete: vec![old],
        };
        if let Committed::Done(_) = self.store.commit(&commit).await? {
            self.remove_records(window, items).await;
            self.keep_seal(window, &counts);
            return Ok(counts);
        }
        let sealed = self.store.get(&key).await?;
        let counts = decode_counts(&sealed.map_or_else(Bytes::new, |it| it.value))?;
        self.keep_seal(window, &counts);
        Ok(counts)
    }

    fn keep_seal(&mut self, window: u64, counts: &Counts) {
        if let Err(at) = self.sealed.binary_search_by_key(&window, |it| it.0) {
            self.sealed.insert(at, (window, counts.clone()));
        }
        self.sealed.retain(|it| it.0 + KEPT_SEALED_WINDOWS >= window);
    }

    /// Removes the records of a sealed window, and of those that are too old to be reported.
    async fn remove_records(&self, window: u64, items: &[Item]) {
        // Earlier windows that may still wait for a host keep their records.
        let kept = window.saturating_sub(REPEATED_WINDOWS);
        let obsolete = |it: u64| it == window || it < kept;
        let old = items.iter().filter(|it| window_of(&it.key).is_some_and(obsolete));
        let keys: Vec<_> = old.map(|it| it.key.clone()).collect();
        for delete in keys.chunks(MAX_DELETES) {
            let commit = Commit { delete: delete.to_vec(), ..Commit::default() };
            if let Err(failure) = self.store.commit(&commit).await {
                log::info!("removal of the counts of usage window {window} failed: {failure}");
            }
        }
    }
}

/// What is known of a window's seal.
enum Sealed {
    /// It is sealed with these sums.
    Counts(Counts),
    /// It has no seal, as far as this host knows.
    No,
    /// It may have been sealed and reported before the store came back from an older copy.
    Lost,
}

fn decode_counts(value: &[u8]) -> Result<Counts, Failure> {
    serde_json::from_slice(value).map_err(|error| Failure::Invalid(error.to_string()))
}

fn permitted_number(leadership: &Leadership, term: Term) -> Option<u64> {
    let held = (*leadership.term.borrow())?;
    (held.number == term.number).then(|| held.permits(Time::now(), MAX_REPORT_TIME)).flatten()
}

fn window_of(key: &str) -> Option<u64> {
    key.strip_prefix(COUNTS_PREFIX)?.split('/').next()?.parse().ok()
}
