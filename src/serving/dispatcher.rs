//! Task that owns the placement of this host and answers the exchange's tickets.

use std::{cell::Cell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot, watch},
    task,
    time::MissedTickBehavior,
};

use crate::{
    error::{Error, Kind},
    metrics::Metrics,
    serving::{
        admission,
        backoff::Gate,
        crash_evidence::Reason,
        evacuation::Zones,
        key::{AttemptKey, TicketKey, UpstreamKey},
        limiter, messages,
        placement::{Action, Features, Grant, Placement, Ticket},
        rate_limit,
        registry::Entry,
        reported_load::{Dated, Report},
    },
    suspicion::Progress,
    time::{Span, Time},
    wire::Ending,
};

/// Interval at which the task runs while tickets wait.
const TICK: Duration = Duration::from_millis(20);

/// Answer to a ticket. The guard ends the attempt if the caller has left before it sees the grant.
type Decision = Result<(Grant, AttemptGuard), Error>;

#[derive(Debug)]
enum Message {
    Submit(Box<Ticket>, oneshot::Sender<Decision>),
    /// An attempt is answered by a process that has been the upstream's at least since this time.
    Answered(AttemptKey, Time),
    /// The copy of the attempt's request was answered first.
    Overtaken(AttemptKey),
    /// A response to an attempt, which was sent at this time, and the limit that it names.
    Limit(AttemptKey, Time, rate_limit::Named),
    /// What the response to an attempt reports of its upstream's load.
    Report(AttemptKey, Time, Report),
    /// The same of upstreams by incarnation, as other hosts heard it.
    RemoteReports(Vec<(u64, Dated)>),
    /// Memory of an engine in tokens, by pool.
    Capacities(Vec<(Arc<str>, u64)>),
    /// The response to an attempt says that its upstream leaves.
    Departure(AttemptKey),
    /// Incarnations of upstreams that leave, as the host with this id reports.
    RemoteDepartures(String, Vec<u64>),
    /// A refusal of an attempt whose upstream wants no requests before this time.
    Backoff(AttemptKey, Time),
    Ended(AttemptKey, Ending),
    LocalLoad(oneshot::Sender<LocalLoad>),
    RemoteLoads(Vec<messages::Load>),
    Permit(PermitAnswer),
    RemoteLimits(Vec<(u64, rate_limit::Limit)>),
    Evacuated(Option<Zones>),
    ColdRates(Vec<(Arc<str>, rate_limit::Rate)>),
    BrokenOff(AttemptKey, Progress),
    Proceeded(AttemptKey, Progress),
    /// Evidence of another host, and a time at which it had not sent this yet.
    RemoteEvidence(Time, messages::Evidence),
    Placed(Vec<messages::Placement>),
}

/// What a host has sent to upstreams, for reports to other hosts.
#[derive(Debug, Clone, Default)]
pub struct LocalLoad {
    /// Running attempts, by upstream.
    pub loads: Vec<messages::Load>,
    /// Prompt parts sent since the last report.
    pub placed: Vec<messages::Placement>,
    /// Rate limits of upstreams, by incarnation.
    pub limits: Vec<(u64, rate_limit::Limit)>,
    /// What other hosts need to know of content that crashes upstreams.
    pub evidence: messages::Evidence,
    /// What upstreams reported of their load since the last report, by incarnation.
    pub reports: Vec<(u64, Dated)>,
}

/// Answer to the request for a permit.
#[derive(Debug, Clone, Copy)]
pub struct PermitAnswer {
    /// Ticket for which the permit was requested.
    pub ticket: TicketKey,
    /// Upstream that names the limit.
    pub upstream: UpstreamKey,
    /// When the permit was requested.
    pub asked_at: Time,
    /// Whether the request may be sent.
    pub decision: rate_limit::Decision,
    /// The limit as the answering host knows it.
    pub limit: rate_limit::Limit,
}

/// Handle to the dispatcher task; clones share it.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    /// Unbounded, as the end of an attempt must not be lost. The requests in flight limit its
    /// length.
    messages: mpsc::UnboundedSender<Message>,
    /// Incarnations of listed upstreams that leave, sorted.
    pub leaving: watch::Receiver<Rc<Vec<u64>>>,
}

/// Reports the end of an attempt when dropped; without [`AttemptGuard::end`] as cancelled.
#[derive(Debug)]
pub struct AttemptGuard {
    dispatcher: Dispatcher,
    attempt: AttemptKey,
    ending: Ending,
    /// Time of the last bytes from the upstream, shared by all its connections.
    last_activity: Rc<Cell<Time>>,
    cut_at: Rc<Cell<Option<Time>>>,
    alive_at: Rc<Cell<Time>>,
    /// Time since which the process that runs the request is known to be the upstream's.
    since: Cell<Time>,
    answered: Cell<bool>,
    /// Closed while this host backs off from the upstream.
    gate: Gate,
    /// Whether the head of the response has arrived.
    began: Cell<bool>,
    /// Complete events that arrived.
    events: Cell<u32>,
}

impl Dispatcher {
    /// Spawns the task on the current thread, which follows the list of upstreams and requests permits from the
    /// limiters.
    pub fn spawn(
        host: Arc<str>,
        (zone, features): (Arc<str>, Features),
        upstreams: watch::Receiver<Rc<Vec<Entry>>>,
        limiter: mpsc::UnboundedSender<limiter::Message>,
        metrics: Metrics,
    ) -> Dispatcher {
        let (messages, mailbox) = mpsc::unbounded_channel();
        let (leaving_sender, leaving) = watch::channel(Rc::default());
        let mut placement = Placement::new(host, zone);
        placement.set_features(features);
        let task = Task {
            placement,
            messages: messages.downgrade(),
            waiting: BTreeMap::new(),
            actions: Vec::new(),
            upstreams,
            limiter,
            leaving: leaving_sender,
            metrics,
        };
        task::spawn_local(task.run(mailbox));
        Dispatcher { messages, leaving }
    }

    /// Waits until the ticket is granted.
    ///
    /// # Errors
    /// `NoUpstream` if no upstream of the pool can take the request, `Internal` if the task has
    /// stopped.
    pub async fn submit(&self, ticket: Ticket) -> Result<(Grant, AttemptGuard), Error> {
        let (answer, decision) = oneshot::channel();
        let stopped = || Error::new(Kind::Internal, "the dispatcher has stopped");
        self.messages.send(Message::Submit(Box::new(ticket), answer)).map_err(|_| stopped())?;
        decision.await.map_err(|_| stopped())?
    }

    /// Returns what this host has sent, for a report to other hosts. The prompt parts are returned
    /// only once.
    pub async fn local_load(&self) -> LocalLoad {
        let (answer, load) = oneshot::channel();
        self.send(Message::LocalLoad(answer));
        // The dispatcher task runs until the host stops.
        load.await.unwrap_or_default()
    }

    /// Records prompt parts that other hosts have sent to engines.
    pub fn record_placed(&self, placed: Vec<messages::Placement>) {
        if !placed.is_empty() {
            self.send(Message::Placed(placed));
        }
    }

    /// Replaces the load of all other hosts. `loads` must be sorted by upstream.
    pub fn set_remote_loads(&self, loads: Vec<messages::Load>) {
        self.send(Message::RemoteLoads(loads));
    }

    /// Replaces the evacuated availability zones; `None` while they are not known, so that nothing is sent.
    pub fn set_evacuated(&self, zones: Option<Zones>) {
        self.send(Message::Evacuated(zones));
    }

    /// Replaces the requests per second that cold upstreams take from all hosts, by pool. `rates` must be sorted.
    pub fn set_cold_rates(&self, rates: Vec<(Arc<str>, rate_limit::Rate)>) {
        self.send(Message::ColdRates(rates));
    }

    /// Records rate limits that another host reports, by incarnation.
    pub fn merge_limits(&self, limits: Vec<(u64, rate_limit::Limit)>) {
        if !limits.is_empty() {
            self.send(Message::RemoteLimits(limits));
        }
    }

    /// Records incarnations of upstreams that leave, as another host reports.
    pub fn merge_departures(&self, host: &str, incarnations: Vec<u64>) {
        if !incarnations.is_empty() {
            self.send(Message::RemoteDepartures(host.to_owned(), incarnations));
        }
    }

    /// Merges evidence of another host about crashes. `sent_at` is a time at which it had not sent this yet.
    pub fn merge_evidence(&self, sent_at: Time, news: messages::Evidence) {
        if !news.is_empty() {
            self.send(Message::RemoteEvidence(sent_at, news));
        }
    }

    /// Records what upstreams reported of their load to other hosts, by incarnation.
    pub fn merge_reports(&self, reports: Vec<(u64, Dated)>) {
        if !reports.is_empty() {
            self.send(Message::RemoteReports(reports));
        }
    }

    /// Sets the memory of an engine in tokens, by pool.
    pub fn set_capacities(&self, capacities: Vec<(Arc<str>, u64)>) {
        self.send(Message::Capacities(capacities));
    }

    /// Records that the copy of an attempt's request was answered first.
    pub fn record_overtaken(&self, attempt: AttemptKey) {
        self.send(Message::Overtaken(attempt));
    }

    /// Passes on the answer to a request for a permit.
    pub fn permit_answered(&self, answer: PermitAnswer) {
        self.send(Message::Permit(answer));
    }

    fn send(&self, message: Message) {
        // Fails only while the host stops, when no request is placed any more.
        let _ = self.messages.send(message);
    }
}

impl AttemptGuard {
    fn new(dispatcher: Dispatcher, grant: &Grant) -> AttemptGuard {
        AttemptGuard {
            dispatcher,
            attempt: grant.attempt,
            ending: Ending::Cancelled,
            last_activity: grant.last_activity.clone(),
            cut_at: grant.cut_at.clone(),
            alive_at: grant.alive_at.clone(),
            since: Cell::new(Time(u64::MAX)),
            answered: Cell::new(false),
            gate: grant.gate.clone(),
            began: Cell::new(false),
            events: Cell::new(0),
        }
    }

    /// Records since when the process that gets the request is known to be the upstream's.
    pub fn record_process(&self, since: Time) {
        self.since.set(since);
    }

    /// Records that the upstream has sent bytes; the first call marks the attempt as answered.
    pub fn record_activity(&self) {
        let now = Time::now();
        self.last_activity.set(now);
        let since = self.since.get();
        if self.cut_at.get().is_some_and(|it| since < it) {
            self.alive_at.set(now);
        }
        if !self.answered.replace(true) {
            self.dispatcher.send(Message::Answered(self.attempt, since));
        }
    }

    /// Records that the head of the upstream's response has arrived.
    pub fn record_head(&self) {
        self.began.set(true);
    }

    /// Records that complete events of a stream arrived.
    pub fn record_events(&self, count: u32) {
        let before = Progress::passed_with(self.events.get());
        self.events.set(self.events.get().saturating_add(count));
        let passed = Progress::passed_with(self.events.get());
        if let Some(passed) = passed.filter(|_| passed > before) {
            self.dispatcher.send(Message::Proceeded(self.attempt, passed));
        }
    }

    /// Returns the number of complete events that arrived.
    pub fn events(&self) -> u32 {
        self.events.get()
    }

    /// Records what the response to the attempt, which was sent at `sent_at`, says about the upstream's rate limit.
    pub fn record_limit(&self, sent_at: Time, named: rate_limit::Named) {
        self.dispatcher.send(Message::Limit(self.attempt, sent_at, named));
    }

    /// Records what the response to the attempt reports of its upstream's load. Only a report that states how long work
    /// takes there counts.
    pub fn record_report(&self, report: Report) {
        if report.work_percent.is_some() {
            self.dispatcher.send(Message::Report(self.attempt, Time::now(), report));
        }
    }

    /// Records that the response to the attempt says that its upstream leaves.
    pub fn record_departure(&self) {
        self.dispatcher.send(Message::Departure(self.attempt));
    }

    /// Whether the upstream has asked for a back-off since the grant, so that nothing may be sent.
    pub fn is_held(&self) -> bool {
        self.gate.is_closed(Time::now())
    }

    /// Backs off from the upstream for the time that its refusal names. Returns whether this is worth a log line.
    pub fn record_backoff(&self, time: Span) -> bool {
        let now = Time::now();
        // Requests that are already granted see it before the dispatcher does.
        let is_logged = self.gate.close(now, now + time);
        self.dispatcher.send(Message::Backoff(self.attempt, now + time));
        is_logged
    }

    /// Ends the attempt with the given ending.
    pub fn end(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.began.get() && self.ending == Ending::Failed {
            let progress = Progress::of(self.events.get());
            self.dispatcher.send(Message::BrokenOff(self.attempt, progress));
        }
        self.dispatcher.send(Message::Ended(self.attempt, self.ending));
    }
}

#[derive(Debug)]
struct Task {
    placement: Placement,
    /// The task's own mailbox, for the guards of attempts. Does not keep the task running.
    messages: mpsc::WeakUnboundedSender<Message>,
    waiting: BTreeMap<TicketKey, oneshot::Sender<Decision>>,
    actions: Vec<Action>,
    upstreams: watch::Receiver<Rc<Vec<Entry>>>,
    limiter: mpsc::UnboundedSender<limiter::Message>,
    leaving: watch::Sender<Rc<Vec<u64>>>,
    metrics: Metrics,
}

impl Task {
    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<Message>) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
        self.update_upstreams();
        loop {
            tokio::select! {
                message = mailbox.recv() => {
                    let Some(message) = message else { return };
                    self.handle(message);
                }
                Ok(()) = self.upstreams.changed() => self.update_upstreams(),
                _ = interval.tick(), if !self.waiting.is_empty() => self.place_waiting(),
            }
            self.execute_actions();
        }
    }

    fn update_upstreams(&mut self) {
        let entries = self.upstreams.borrow_and_update().clone();
        self.placement.set_upstreams(&entries);
        self.placement.observe_cold(Time::now());
        self.publish_leaving();
    }

    fn publish_leaving(&self) {
        let leaving = self.placement.leaving();
        self.leaving.send_if_modified(|it| {
            let changed = **it != leaving;
            if changed {
                *it = Rc::new(leaving);
            }
            changed
        });
    }

    fn handle(&mut self, message: Message) {
        let now = Time::now();
        match message {
            Message::Submit(ticket, answer) => {
                self.waiting.insert(ticket.key, answer);
                self.placement.submit(now, &ticket, &mut self.actions);
            }
            Message::Overtaken(attempt) => self.placement.attempt_overtaken(now, attempt),
            Message::Answered(attempt, since) => {
                self.placement.attempt_alive(now, attempt, since);
                if let Some(it) = self.placement.attempt_answered(now, attempt) {
                    self.metrics.predicted(it.expected, it.took, it.is_reported);
                }
            }
            Message::Report(attempt, at, report) => {
                self.placement.report_heard(attempt, Dated { at, report });
            }
            Message::RemoteReports(reports) => self.placement.merge_reports(&reports),
            Message::Capacities(capacities) => self.placement.set_capacities(capacities),
            Message::Limit(attempt, sent_at, named) => {
                self.placement.limit_named(now, (attempt, sent_at), named, &mut self.actions);
            }
            Message::Departure(attempt) => {
                if self.placement.departure_announced(attempt) {
                    self.metrics.upstreams_left("answer", 1);
                    self.publish_leaving();
                }
            }
            Message::RemoteDepartures(host, incarnations) => {
                let news = self.placement.merge_departures(&host, &incarnations);
                if news > 0 {
                    self.metrics.upstreams_left("host", news);
                    self.publish_leaving();
                }
            }
            Message::Backoff(attempt, until) => self.placement.backoff_named(now, attempt, until),
            Message::Ended(attempt, ending) => {
                if let Some(waste) = self.placement.attempt_ended(now, attempt, ending) {
                    self.metrics.attempt_unserved(
                        &waste.pool,
                        waste.tier,
                        ending_label(waste.ending),
                        waste.tokens,
                    );
                }
            }
            Message::LocalLoad(answer) => {
                let load = LocalLoad {
                    loads: self.placement.local_loads(now),
                    placed: self.placement.take_placed(),
                    limits: self.placement.limits(now),
                    evidence: self.placement.evidence_news(now),
                    reports: self.placement.take_reports(),
                };
                // The receiver is dropped only when the host stops.
                let _ = answer.send(load);
            }
            Message::Placed(placed) => self.placement.record_placed(now, &placed),
            Message::Permit(answer) => {
                let PermitAnswer { ticket, upstream, asked_at, decision, limit } = answer;
                self.placement.permit_answered(
                    now,
                    (ticket, upstream),
                    asked_at,
                    (decision, limit),
                    &mut self.actions,
                );
            }
            Message::BrokenOff(attempt, progress) => {
                self.placement.attempt_broken_off(attempt, progress);
            }
            Message::Proceeded(attempt, passed) => {
                self.placement.attempt_proceeded(now, attempt, passed);
            }
            Message::RemoteEvidence(sent_at, news) => {
                self.placement.merge_evidence(now, sent_at, &news);
            }
            Message::RemoteLimits(limits) => self.placement.merge_limits(&limits),
            Message::Evacuated(zones) => self.placement.set_evacuated(zones),
            Message::ColdRates(rates) => self.placement.set_cold_rates(now, rates),
            Message::RemoteLoads(loads) => self.placement.set_remote_loads(now, &loads),
        }
    }

    /// Withdraws the tickets whose callers have left and places those that wait for room.
    fn place_waiting(&mut self) {
        let placement = &mut self.placement;
        self.waiting.retain(|ticket, answer| {
            let has_left = answer.is_closed();
            if has_left {
                placement.withdraw(*ticket);
            }
            !has_left
        });
        placement.place_waiting(Time::now(), &mut self.actions);
    }

    fn execute_actions(&mut self) {
        let (length, age) = self.placement.held(Time::now());
        self.metrics.waiting(length, age.as_ms());
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Grant(ticket, grant) => self.deliver(ticket, grant),
                // The limiter task runs until the host stops.
                Action::Ask(ticket, upstream, ask) => {
                    let _ = self.limiter.send(limiter::Message::Ask(ticket, upstream, ask));
                }
                Action::Report(ask) => {
                    let _ = self.limiter.send(limiter::Message::Report(ask));
                }
                Action::Refuse(ticket, kind, delay) => {
                    let mut error = Error::new(kind, refusal_message(kind));
                    error.retry_after_ms = delay.map(|it| it.as_ms());
                    self.refuse(ticket, error);
                }
                Action::Deny(ticket, refusal) => {
                    let admission::Refusal { reason, tier, waiting, .. } = refusal;
                    self.metrics.admission_refused(reason.as_str(), tier);
                    let predicted =
                        refusal.predicted.map_or("none".to_owned(), |it| it.as_ms().to_string());
                    let message = format!(
                        "no room in time: reason={} tier={tier} predicted_ms={predicted} left_ms={} waited_ms={} waiting={waiting}",
                        reason.as_str(),
                        refusal.time_left.as_ms(),
                        refusal.waited.as_ms(),
                    );
                    let error = Error::new(reason.kind(), message);
                    self.refuse(ticket, error.with_retry_after_ms(refusal.retry_after.as_ms()));
                }
                Action::Quarantine(ticket, reason) => {
                    let Reason { content, crashes, age, retry_after } = reason;
                    let message = format!(
                        "{crashes} upstreams crashed while they answered requests with {content}, the last {} ms ago",
                        age.as_ms()
                    );
                    let error = Error::new(Kind::Quarantined, message);
                    self.refuse(ticket, error.with_retry_after_ms(retry_after.as_ms()));
                }
            }
        }
    }

    fn deliver(&mut self, ticket: TicketKey, grant: Grant) {
        let waiting = self.waiting.remove(&ticket);
        let Some((answer, messages)) = waiting.zip(self.messages.upgrade()) else {
            self.placement.attempt_ended(Time::now(), grant.attempt, Ending::Unused);
            return;
        };
        let dispatcher = Dispatcher { messages, leaving: self.leaving.subscribe() };
        let guard = AttemptGuard::new(dispatcher, &grant);
        // Fails if the caller has left; the guard then ends the attempt.
        let _ = answer.send(Ok((grant, guard)));
    }

    fn refuse(&mut self, ticket: TicketKey, error: Error) {
        if let Some(answer) = self.waiting.remove(&ticket) {
            // Fails if the request was cancelled, which needs no answer.
            let _ = answer.send(Err(error));
        }
    }
}

/// Label of an ending without service in metrics.
fn ending_label(ending: Ending) -> &'static str {
    match ending {
        Ending::TimedOut => "deadline",
        Ending::Cancelled => "caller_left",
        _ => "cut",
    }
}

fn refusal_message(kind: Kind) -> &'static str {
    match kind {
        Kind::Shed => "the rate limits and back-offs of the upstreams leave no room in time",
        _ => "no upstream can take the request",
    }
}
