//! Usage of this host: the task that counts what was delivered and brings it to the store.
//!
//! A host hands each batch to one collector of its zone, which writes the batches of many hosts as one record. The host
//! keeps the batch until the collector has written it. A host without peers collects its own batches.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use crate::{
    collector::{Answer, Collector, Write},
    ledger::{self, Batch, Errand, Ledger, Outbox, Served},
    member::View,
    peer::{Peers, UsageCall, within},
    platform::{self, Cause, Client, Failure},
    rendezvous,
    time::{Span, Time, wall_ms},
    wire,
};

/// Requests that may wait to be counted.
const SERVED: usize = 65_536;

/// Answers of peers and of the store that may wait.
const RESULTS: usize = 256;

/// Lines of an open batch at which it is cut early.
const MAX_LINES: usize = 2_000;

/// Batches that are not written at which batches are cut less often.
const BACKLOG: usize = 8;

/// Time between cuts while there is a backlog, as a multiple of the usual.
const BACKLOG_FACTOR: u64 = 6;

/// Calls to the collector in one step.
const ERRANDS: usize = 16;

/// Steps between two cuts.
const STEPS: u32 = 4;

/// Time between steps of a flush, in milliseconds.
const FLUSH_STEP_MS: u64 = 100;

/// Time for a call to a collector, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Time for which a collector that could not be reached is passed over, in milliseconds.
const AVOID_MS: u64 = 5_000;

/// What the usage of a host needs.
#[derive(Debug)]
pub struct Options {
    /// Port to the platform.
    pub client: Client,
    /// Connections to the other hosts.
    pub peers: Peers,
    /// Hosts that are alive.
    pub view: watch::Receiver<Arc<View>>,
    /// Batches of other hosts.
    pub inbound: mpsc::Receiver<UsageCall>,
    /// Availability zone of the host.
    pub zone: String,
    /// Host id.
    pub host: String,
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Time between cuts.
    pub cut: Duration,
    /// Time between records of a collector.
    pub merge: Duration,
}

/// How the usage of a host stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Batches of this host that are not known to be in the store.
    pub unwritten: usize,
    /// Those of them that no other host holds; they are lost with this host.
    pub unshared: usize,
    /// Batches that this host has yet to write, its own or others'.
    pub held: usize,
    /// Batches cut since the start.
    pub batches: u64,
    /// Records written since the start.
    pub records: u64,
    /// Batches of others that were refused since the start.
    pub refused: u64,
    /// Whether the last record could not be written.
    pub degraded: bool,
}

/// Handle to the usage of a host; the task ends with it.
#[derive(Debug)]
pub struct Usage {
    /// Takes each delivered request once.
    pub served: mpsc::Sender<Served>,
    /// Changes of the state.
    pub status: watch::Receiver<Status>,
    flushes: mpsc::Sender<oneshot::Sender<()>>,
}

impl Usage {
    /// Resolves when everything counted so far is in the store, or in a peer's memory while the store is down.
    pub async fn flush(&self) {
        let (done, flushed) = oneshot::channel();
        if self.flushes.send(done).await.is_ok() {
            let _ = flushed.await;
        }
    }
}

/// Spawns the usage of a host.
pub fn spawn(options: Options) -> Usage {
    let (served, deliveries) = mpsc::channel(SERVED);
    let (flushes, flush_calls) = mpsc::channel(4);
    let (results, done) = mpsc::channel(RESULTS);
    let (publisher, status) = watch::channel(Status::default());
    let task = Task {
        ledger: Ledger::new(&options.host, options.incarnation),
        outbox: Outbox::default(),
        collector: Collector::default(),
        options,
        results,
        publisher,
        status: Status::default(),
        calls: 0,
        is_writing: false,
        last_cut: Time::now(),
        avoided: None,
        flushes: Vec::new(),
    };
    tokio::spawn(task.run(deliveries, flush_calls, done));
    Usage { served, status, flushes }
}

/// Result of a call that ran beside the task.
#[derive(Debug)]
enum Done {
    Held { sequence: u64, by: String, held: bool },
    Asked { sequence: u64, written: bool },
    Failed { by: String },
    Wrote { sequence: u64, outcome: Result<Outcome, Failure> },
}

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The value stands under the key.
    Written,
    /// Another value stands under the key.
    Taken,
}

struct Task {
    options: Options,
    ledger: Ledger,
    outbox: Outbox,
    collector: Collector,
    results: mpsc::Sender<Done>,
    publisher: watch::Sender<Status>,
    status: Status,
    /// Calls to a collector that have not returned.
    calls: usize,
    is_writing: bool,
    last_cut: Time,
    /// Collector that could not be reached, and when.
    avoided: Option<(String, Time)>,
    flushes: Vec<oneshot::Sender<()>>,
}

impl Task {
    async fn run(
        mut self,
        mut deliveries: mpsc::Receiver<Served>,
        mut flushes: mpsc::Receiver<oneshot::Sender<()>>,
        mut done: mpsc::Receiver<Done>,
    ) {
        let mut steps = ticks(self.options.cut / STEPS);
        let mut merges = ticks(self.options.merge);
        let mut flush_steps = ticks(Duration::from_millis(FLUSH_STEP_MS));
        loop {
            tokio::select! {
                Some(served) = deliveries.recv() => self.count(served),
                Some(call) = self.options.inbound.recv() => self.answer(call),
                Some(done) = done.recv() => self.finish(done),
                _ = steps.tick() => self.step(),
                _ = merges.tick() => self.write(),
                _ = flush_steps.tick(), if !self.flushes.is_empty() => self.flush_step(),
                call = flushes.recv() => {
                    let Some(call) = call else { return };
                    // Deliveries that were sent before the flush are part of it.
                    while let Ok(served) = deliveries.try_recv() {
                        self.count(served);
                    }
                    self.cut();
                    self.flushes.push(call);
                }
            }
            self.publish();
        }
    }

    fn publish(&mut self) {
        self.status.unwritten = self.outbox.len();
        self.status.unshared = self.outbox.unshared();
        self.status.held = self.collector.len();
        self.publisher.send_if_modified(|it| {
            let changed = *it != self.status;
            it.clone_from(&self.status);
            changed
        });
    }

    fn count(&mut self, served: Served) {
        self.ledger.count(served);
        if self.ledger.len() >= MAX_LINES {
            self.cut();
        }
    }

    fn cut(&mut self) {
        self.last_cut = Time::now();
        if let Some(batch) = self.ledger.cut(wall_ms()) {
            self.status.batches += 1;
            self.outbox.push(batch);
        }
    }

    fn answer(&mut self, call: UsageCall) {
        let UsageCall::Hold(copy, answer) = call;
        let _ = answer.send(self.hold(&copy));
    }

    fn hold(&mut self, copy: &wire::Copy) -> bool {
        if copy.content.is_empty() {
            return self.collector.find(&ledger::id_of(copy)) == Answer::Written;
        }
        let batch = Batch::from_copy(copy);
        let held = batch.is_some_and(|it| self.collector.hold(it, copy.content.len()));
        self.status.refused += u64::from(!held);
        held
    }

    fn step(&mut self) {
        let usual = Span(self.options.cut.as_micros() as u64);
        let factor = if self.outbox.len() < BACKLOG { 1 } else { BACKLOG_FACTOR };
        if Time::now().since(self.last_cut).0 >= usual.0 * factor {
            self.cut();
        }
        match self.collector() {
            Some((name, address)) => self.run_errands(&name, address),
            None => self.collect_own(),
        }
    }

    /// The host that collects the batches of this one, with its incarnation, and its address.
    fn collector(&self) -> Option<(String, std::net::SocketAddr)> {
        let Options { view, zone, host, .. } = &self.options;
        let view = view.borrow();
        let avoided =
            self.avoided.as_ref().filter(|it| Time::now().since(it.1) < Span::from_ms(AVOID_MS));
        let is_avoided = |name: &str| avoided.is_some_and(|it| it.0 == name);
        let others = view.eligible(zone).filter(|it| it != host && !is_avoided(it));
        let name = rendezvous::owner(&format!("usage/{zone}"), others)?;
        let member = view.get(name)?;
        Some((format!("{name}/{}", member.incarnation), member.peer))
    }

    fn run_errands(&mut self, name: &str, address: std::net::SocketAddr) {
        if self.calls > 0 {
            return;
        }
        for errand in self.outbox.errands(Time::now(), name, ERRANDS) {
            self.calls += 1;
            let call = run_errand(self.options.peers.clone(), address, name.to_owned(), errand);
            let results = self.results.clone();
            tokio::spawn(async move {
                let _ = results.send(call.await).await;
            });
        }
    }

    fn collect_own(&mut self) {
        let copies: Vec<_> = self.outbox.batches().map(Batch::to_copy).collect();
        for copy in copies {
            self.hold(&copy);
        }
    }

    fn write(&mut self) {
        if self.is_writing {
            return;
        }
        let Some(write) = self.collector.write() else { return };
        let Options { client, zone, host, incarnation, .. } = &self.options;
        let key = format!("usage/merged/{zone}/{host}/{incarnation}/{}", write.sequence);
        let call = write_record(client.clone(), key, write);
        let results = self.results.clone();
        self.is_writing = true;
        tokio::spawn(async move {
            let _ = results.send(call.await).await;
        });
    }

    fn finish(&mut self, done: Done) {
        match done {
            Done::Held { sequence, by, held } => {
                self.calls -= 1;
                if held {
                    self.outbox.held(Time::now(), sequence, &by);
                } else {
                    self.avoid(&by);
                }
            }
            Done::Asked { sequence, written } => {
                self.calls -= 1;
                if written {
                    self.outbox.written(sequence);
                }
            }
            Done::Failed { by } => {
                self.calls -= 1;
                self.avoid(&by);
            }
            Done::Wrote { sequence, outcome } => {
                self.is_writing = false;
                self.status.degraded = outcome.is_err();
                match outcome {
                    Ok(Outcome::Written) => self.wrote(sequence),
                    Ok(Outcome::Taken) => self.collector.renumber(sequence),
                    Err(_) => {}
                }
            }
        }
    }

    /// Passes a collector over for a while, so that another one gets the batches.
    fn avoid(&mut self, by: &str) {
        let name = by.split('/').next().unwrap_or_default().to_owned();
        self.avoided = Some((name, Time::now()));
    }

    fn wrote(&mut self, sequence: u64) {
        self.status.records += 1;
        let Options { host, incarnation, .. } = &self.options;
        for id in self.collector.written(sequence) {
            if id.host == *host && id.incarnation == *incarnation {
                self.outbox.written(id.sequence);
            }
        }
    }

    fn flush_step(&mut self) {
        let is_written = self.outbox.is_empty() && self.collector.is_empty();
        let is_handed = self.status.degraded && self.outbox.unshared() == 0;
        if is_written || is_handed {
            for flush in self.flushes.drain(..) {
                let _ = flush.send(());
            }
            return;
        }
        self.collect_own();
        self.write();
        if self.status.degraded {
            self.step();
        }
    }
}

fn ticks(period: Duration) -> tokio::time::Interval {
    let mut ticks = interval(period.max(Duration::from_millis(1)));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

async fn run_errand(
    peers: Peers,
    address: std::net::SocketAddr,
    by: String,
    errand: Errand,
) -> Done {
    let (copy, is_question) = match errand {
        Errand::Hand(copy) => (copy, false),
        Errand::Ask(copy) => (copy, true),
    };
    let sequence = copy.sequence;
    let Ok(client) = peers.client(address).await else { return Done::Failed { by } };
    let answer = client.hold(within(Duration::from_millis(CALL_TIMEOUT_MS)), copy).await;
    match answer {
        Ok(written) if is_question => Done::Asked { sequence, written },
        Ok(held) => Done::Held { sequence, by, held },
        Err(_) => Done::Failed { by },
    }
}

async fn write_record(client: Client, key: String, write: Write) -> Done {
    let Write { sequence, content } = write;
    let outcome = create(&client, Cause::Usage, &key, Bytes::from(content)).await;
    Done::Wrote { sequence, outcome }
}

/// Writes a value unless its key exists, and says whether it stands there.
pub(crate) async fn create(
    client: &Client,
    cause: Cause,
    key: &str,
    content: Bytes,
) -> Result<Outcome, Failure> {
    match client.put(cause, key, content.clone(), Some(0)).await? {
        platform::Write::Written(_) => Ok(Outcome::Written),
        platform::Write::Conflict(_) => {
            // An earlier attempt whose answer was lost may have written it.
            let value = client.get(cause, key).await?;
            let is_own = value.is_some_and(|it| it.bytes == content);
            Ok(if is_own { Outcome::Written } else { Outcome::Taken })
        }
    }
}
