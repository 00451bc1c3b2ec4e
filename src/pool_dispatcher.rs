//! Task of one pool on the host that dispatches it: passes events to the [`Dispatcher`] and executes its actions.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use futures::{StreamExt as _, stream::FuturesUnordered};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::MissedTickBehavior,
};

use crate::{
    attainment::AttainmentTracker,
    attempts::Key,
    config::Snapshot,
    controller,
    dispatch::{
        Action, Adopted, AttemptKey, Class, ClassKey, CustomerKey, Dispatcher, Ending, Event, Load,
        RouteKey, Ticket, TicketKey, Upstream, UpstreamKey,
    },
    error::{Error, Kind},
    fleet::Fleet,
    lease, load,
    member::View,
    peer::{self, Peers},
    platform::State,
    record::Protocol,
    scale::{self, Demand},
    time::{Span, Time},
    wire::{self, Decision, Grant, Handover, Progress},
};

/// Interval of [`Event::Tick`].
const TICK: Duration = Duration::from_millis(20);

/// Timeout of a handover request to an entry host. No attempt is granted before all have answered or timed out.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause before a handover request is repeated because the entry host's view does not yet name this host as owner.
const HANDOVER_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time within which the entry host must send a granted attempt, in milliseconds.
const START_WITHIN_MS: u64 = 1_000;

/// Stop time of a leaving upstream for which the platform states none.
const NO_STOP_TIME: Time = Time(u64::MAX);

/// Time without progress after which an attempt counts as ended if its entry host has left the view.
const DEPARTED_HOST_TIMEOUT: Span = Span::from_ms(3_000);

/// Time without a load report after which an upstream is assumed to run no unknown attempts.
const UNKNOWN_ATTEMPTS_TIMEOUT: Span = Span::from_ms(2_000);

/// Time from the first progress report of an attempt until it has certainly arrived at the upstream.
const ARRIVAL_MARGIN: Span = Span::from_ms(200);

/// Time without a first progress report after which a grant counts as lost. Longer than the time to start.
const UNCONFIRMED_TIMEOUT: Span = Span::from_ms(START_WITHIN_MS + 1_500);

/// Time without progress after which the final report of an attempt counts as lost although its host is alive.
const SILENCE_TIMEOUT: Span = Span::from_ms(10_000);

/// Interval of demand reports to the zone's controller.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a demand report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Capacity of the task's mailbox.
pub const QUEUE_CAPACITY: usize = 16_384;

/// Call to the dispatcher of a pool.
#[derive(Debug)]
pub enum Call {
    /// Requests a grant for a ticket. The ticket is withdrawn when the receiver of the answer is dropped.
    Submit(Box<wire::Ticket>, oneshot::Sender<Decision>),
    /// Reports progress and ends of attempts.
    Progress(Vec<Progress>),
    /// Another dispatcher quarantined a fingerprint until a time.
    Quarantine(u64, Time),
}

/// Inputs of the task.
#[derive(Debug)]
pub struct Options {
    /// Id of this host.
    pub host: String,
    /// Incarnation of this host.
    pub incarnation: u64,
    /// Pool to dispatch.
    pub pool: String,
    /// Configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Membership as seen by this host.
    pub view: watch::Receiver<Arc<View>>,
    /// Upstreams of the zone.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Connections to other hosts.
    pub peers: Peers,
    /// Receives the fingerprints that this dispatcher quarantines, with the remaining time in milliseconds.
    pub quarantine: mpsc::Sender<Vec<(u64, u64)>>,
    /// Fingerprints in quarantine when the task starts, and the end of their quarantine.
    pub quarantined: Vec<(u64, Time)>,
    /// Availability zone of this host.
    pub zone: String,
    /// Offset of the attempt numbers. Dispatchers of the same incarnation must not share numbers.
    pub first_attempt: u64,
}

/// Spawns the task, which ends when all senders are dropped.
pub fn spawn(options: Options) -> mpsc::Sender<Call> {
    let (calls, mailbox) = mpsc::channel(QUEUE_CAPACITY);
    tokio::spawn(run(options, mailbox));
    calls
}

/// Assigns consecutive keys to names.
#[derive(Debug, Default)]
struct Interner {
    /// Sorted by name.
    keys: Vec<(String, u32)>,
}

impl Interner {
    /// Returns the key of a name and whether it was assigned just now.
    fn intern(&mut self, name: &str) -> (u32, bool) {
        match self.keys.binary_search_by(|it| it.0.as_str().cmp(name)) {
            Ok(at) => (self.keys[at].1, false),
            Err(at) => {
                let key = self.keys.len() as u32;
                self.keys.insert(at, (name.to_owned(), key));
                (key, true)
            }
        }
    }
}

#[derive(Debug)]
struct Waiting {
    since: Time,
    ticket: Box<wire::Ticket>,
    answer: oneshot::Sender<Decision>,
}

#[derive(Debug)]
struct RunningAttempt {
    /// Identity of the attempt at the entry host.
    key: Key,
    /// Entry host.
    host: String,
    upstream: UpstreamKey,
    /// When the attempt was granted, adopted or last reported.
    last_progress: Time,
    /// When the entry host first reported the attempt, or zero if the previous dispatcher granted it.
    confirmed: Option<Time>,
    first_token_received: bool,
    class: ClassKey,
    /// Time by which the request should have its first token.
    target: Time,
}

#[derive(Debug)]
struct UpstreamEntry {
    id: String,
    address: String,
    key: UpstreamKey,
    /// Properties last passed to the core.
    registered: Upstream,
    /// Set while the upstream may run attempts of hosts that did not take part in the handover.
    unknown_attempts: Option<UnknownAttempts>,
}

/// Attempts on an upstream that no entry host has reported to this dispatcher.
#[derive(Debug)]
struct UnknownAttempts {
    attempts: u32,
    /// When they are assumed to have ended unless a load report arrives.
    deadline: Time,
}

#[derive(Debug)]
struct PoolDispatcher {
    options: Options,
    core: Dispatcher,
    actions: Vec<Action>,
    customers: Interner,
    classes: Interner,
    routes: Interner,
    /// Sorted by id.
    upstreams: Vec<UpstreamEntry>,
    next_upstream: u32,
    last_ticket: u64,
    waiting: BTreeMap<TicketKey, Waiting>,
    running: BTreeMap<AttemptKey, RunningAttempt>,
    attempts: BTreeMap<Key, AttemptKey>,
    /// Added to the core's attempt numbers on the wire.
    attempt_offset: u64,
    /// Whether the handover is complete, so that attempts may be granted.
    active: bool,
    /// Ids of the upstreams that the zone's controller drains, sorted.
    draining: Vec<String>,
    attainment: AttainmentTracker,
}

async fn run(options: Options, mut mailbox: mpsc::Receiver<Call>) {
    let mut takeover = Box::pin(take_over(&options));
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let (targets, addresses) = watch::channel(Vec::new());
    let mut loads = load::spawn(addresses);
    let mut snapshot = options.snapshot.clone();
    let mut fleet = options.fleet.clone();
    let mut dispatcher = PoolDispatcher::new(options);
    dispatcher.configure();
    for (fingerprint, until) in dispatcher.options.quarantined.clone() {
        dispatcher.handle(Event::Quarantine(fingerprint, until));
    }
    let mut reports = tokio::time::interval(REPORT_INTERVAL);
    reports.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let (drains, mut draining) = mpsc::channel(1);
    loop {
        tokio::select! {
            call = mailbox.recv() => {
                let Some(call) = call else { return };
                dispatcher.handle_call(call);
                while let Ok(call) = mailbox.try_recv() {
                    dispatcher.handle_call(call);
                }
            }
            takeover = &mut takeover, if !dispatcher.active => {
                dispatcher.activate(takeover);
                let _ = targets.send(dispatcher.addresses());
            }
            Ok(()) = snapshot.changed() => {
                dispatcher.configure();
                dispatcher.refresh_upstreams();
            }
            Ok(()) = fleet.changed() => {
                dispatcher.refresh_upstreams();
                let _ = targets.send(dispatcher.addresses());
            }
            Some((upstream, load)) = loads.recv() => dispatcher.record_load(&upstream, load),
            _ = interval.tick() => dispatcher.tick(),
            _ = reports.tick(), if dispatcher.active => dispatcher.report_demand(drains.clone()),
            Some(upstreams) = draining.recv() => dispatcher.set_draining(upstreams),
        }
        dispatcher.execute_actions();
    }
}

/// Waits for the list of upstreams and for the running attempts of every host.
fn take_over(options: &Options) -> impl Future<Output = Takeover> + use<> {
    let mut fleet = options.fleet.clone();
    let held = collect_attempts(
        options.peers.clone(),
        options.view.borrow().clone(),
        options.pool.clone(),
        options.host.clone(),
        options.incarnation,
    );
    async move {
        let known = async { fleet.wait_for(|it| it.known).await.is_ok() };
        let (_, held) = tokio::join!(known, held);
        held
    }
}

/// Requests the running attempts in the pool from every host.
async fn collect_attempts(
    peers: Peers,
    view: Arc<View>,
    pool: String,
    host: String,
    incarnation: u64,
) -> Takeover {
    let requests = view.members.iter().map(|member| {
        let id = member.id.clone();
        let request = request_handover(&peers, member.peer, &pool, &host, incarnation);
        async move {
            let held = tokio::time::timeout(HANDOVER_TIMEOUT, request).await.ok()?;
            Some((id, held))
        }
    });
    let answers: FuturesUnordered<_> = requests.collect();
    let held: Vec<_> = answers.filter_map(|it| async move { it }).collect().await;
    Takeover { complete: held.len() == view.members.len(), held }
}

/// Answers of the entry hosts to a new dispatcher.
struct Takeover {
    held: Vec<(String, Handover)>,
    /// Whether every host in the view answered in time.
    complete: bool,
}

/// Repeats the handover request to a host until the host accepts this dispatcher.
async fn request_handover(
    peers: &Peers,
    address: SocketAddr,
    pool: &str,
    host: &str,
    incarnation: u64,
) -> Handover {
    loop {
        if let Ok(client) = peers.client(address).await {
            let context = peer::within(HANDOVER_TIMEOUT);
            let request = client.handover(context, pool.to_owned(), host.to_owned(), incarnation);
            if let Ok(held) = request.await
                && held.accepted
            {
                return held;
            }
        }
        tokio::time::sleep(HANDOVER_RETRY_PAUSE).await;
    }
}

impl PoolDispatcher {
    fn new(options: Options) -> PoolDispatcher {
        PoolDispatcher {
            core: Dispatcher::default(),
            actions: Vec::new(),
            customers: Interner::default(),
            classes: Interner::default(),
            routes: Interner::default(),
            upstreams: Vec::new(),
            next_upstream: 0,
            last_ticket: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            attempts: BTreeMap::new(),
            attempt_offset: options.first_attempt,
            active: false,
            draining: Vec::new(),
            attainment: AttainmentTracker::default(),
            options,
        }
    }

    fn handle(&mut self, event: Event) {
        self.core.handle(Time::now(), event, &mut self.actions);
    }

    fn handle_call(&mut self, call: Call) {
        match call {
            Call::Submit(ticket, answer) => self.submit(ticket, answer),
            Call::Progress(batch) => batch.into_iter().for_each(|it| self.record_progress(it)),
            Call::Quarantine(fingerprint, until) => {
                self.handle(Event::Quarantine(fingerprint, until));
            }
        }
    }

    fn submit(&mut self, ticket: Box<wire::Ticket>, answer: oneshot::Sender<Decision>) {
        self.last_ticket += 1;
        let key = TicketKey(self.last_ticket);
        let core = self.ticket(key, &ticket);
        let since = Time::now() - Span::from_ms(ticket.waited_ms);
        self.waiting.insert(key, Waiting { since, ticket, answer });
        self.handle(Event::Submit(core));
    }

    fn ticket(&mut self, key: TicketKey, ticket: &wire::Ticket) -> Ticket {
        let (customer, is_new) = self.customers.intern(&ticket.customer);
        if is_new {
            self.handle(Event::Customer(CustomerKey(customer), ticket.weight));
        }
        let (class, is_new) = self.classes.intern(&ticket.class);
        if is_new {
            self.configure_class(&ticket.class, ClassKey(class));
        }
        let (route, _) = self.routes.intern(&ticket.route);
        let avoid = ticket.avoid.iter().filter_map(|it| self.upstream_key(it)).collect();
        Ticket {
            key,
            customer: CustomerKey(customer),
            class: ClassKey(class),
            route: RouteKey(route),
            prompt_tokens: ticket.prompt_tokens,
            max_tokens: ticket.max_tokens,
            accepted: Time::now() - Span::from_ms(ticket.waited_ms),
            repeatable: ticket.repeatable,
            retry: ticket.retry,
            prefix: ticket.prefix,
            fingerprint: ticket.fingerprint,
            avoid,
        }
    }

    fn upstream_key(&self, id: &str) -> Option<UpstreamKey> {
        let found = self.upstreams.binary_search_by(|it| it.id.as_str().cmp(id)).ok()?;
        Some(self.upstreams[found].key)
    }

    /// Passes the configured classes and customers to the core.
    fn configure(&mut self) {
        let snapshot = self.options.snapshot.borrow().clone();
        for class in &snapshot.classes {
            let (key, _) = self.classes.intern(&class.name);
            self.configure_class(&class.name, ClassKey(key));
        }
        for customer in &snapshot.customers {
            let (key, _) = self.customers.intern(&customer.name);
            self.handle(Event::Customer(CustomerKey(key), customer.weight));
        }
    }

    fn configure_class(&mut self, name: &str, key: ClassKey) {
        let snapshot = self.options.snapshot.borrow().clone();
        let Some(class) = snapshot.class(name) else { return };
        let class = Class {
            tier: class.tier,
            first_token_ms: class.first_token_ms,
            floor_per_mille: class.floor_per_mille,
            max_wait_ms: class.max_wait_ms,
        };
        self.handle(Event::Class(key, class));
    }

    /// Adopts the attempts of the previous dispatcher and begins to grant.
    fn activate(&mut self, takeover: Takeover) {
        self.register_upstreams(true);
        if !takeover.complete || self.reports_load() {
            self.assume_all_full();
        }
        for (host, held) in takeover.held {
            for running in held.running {
                self.adopt(&host, running);
            }
        }
        self.active = true;
        self.refresh_upstreams();
        log::info!(
            "pool {}: dispatcher started, {} running attempts adopted",
            self.options.pool,
            self.running.len()
        );
    }

    /// Returns whether the pool's upstreams report their load.
    ///
    /// If so, the dispatcher waits for their reports at every start, because hosts that have just left the view may
    /// still run attempts.
    fn reports_load(&self) -> bool {
        let snapshot = self.options.snapshot.borrow();
        snapshot.pool(&self.options.pool).is_some_and(|it| it.protocol == Protocol::Engine)
    }

    /// Treats every upstream as full until its load report shows how many unknown attempts it runs.
    fn assume_all_full(&mut self) {
        let deadline = Time::now() + UNKNOWN_ATTEMPTS_TIMEOUT;
        for entry in &mut self.upstreams {
            entry.unknown_attempts = Some(UnknownAttempts { attempts: u32::MAX, deadline });
        }
    }

    fn adopt(&mut self, host: &str, running: wire::Running) {
        let wire::Running { ticket, grant, progress } = running;
        let key = Key { dispatcher: grant.dispatcher, attempt: grant.attempt };
        let Some(upstream) = self.upstream_key(&grant.upstream) else { return };
        if self.attempts.contains_key(&key) {
            return;
        }
        // Adopted attempts are numbered from the top, away from the numbers that the core assigns.
        let attempt = AttemptKey(u64::MAX - self.running.len() as u64);
        self.last_ticket += 1;
        let target = self.target(&ticket);
        let ticket = self.ticket(TicketKey(self.last_ticket), &ticket);
        let tokens = progress.tokens;
        let run = RunningAttempt {
            key,
            host: host.to_owned(),
            upstream,
            last_progress: Time::now(),
            confirmed: Some(Time(0)),
            first_token_received: progress.first_token_us.is_some(),
            class: ticket.class,
            target,
        };
        self.track(attempt, run);
        self.handle(Event::Adopt(Adopted { attempt, ticket, upstream, tokens }));
    }

    fn track(&mut self, attempt: AttemptKey, run: RunningAttempt) {
        self.attempts.insert(run.key, attempt);
        self.running.insert(attempt, run);
    }

    /// Returns the time by which the request of a ticket should have its first token.
    fn target(&self, ticket: &wire::Ticket) -> Time {
        let snapshot = self.options.snapshot.borrow();
        let target_ms = snapshot.class(&ticket.class).map_or(0, |it| it.first_token_ms);
        Time::now() + Span::from_ms(target_ms) - Span::from_ms(ticket.waited_ms)
    }

    fn record_first_token(&mut self, attempt: AttemptKey) {
        if let Some(run) = self.running.get(&attempt) {
            self.attainment.record(run.class, Time::now() <= run.target);
        }
    }

    /// Passes the current upstreams to the core once the handover is complete.
    fn refresh_upstreams(&mut self) {
        if self.active {
            self.register_upstreams(false);
        }
    }

    /// Registers the pool's upstreams with the core and removes those that are no longer listed.
    ///
    /// With `closed` they get no slots, so that nothing is granted until the running attempts are adopted.
    fn register_upstreams(&mut self, closed: bool) {
        let snapshot = self.options.snapshot.borrow().clone();
        let fleet = self.options.fleet.borrow().clone();
        let Some(pool) = snapshot.pool(&self.options.pool) else { return };
        let now = Time::now();
        let mut listed: Vec<&str> = Vec::new();
        for it in fleet.pool(&pool.name).filter(|it| it.state != State::Starting) {
            listed.push(&it.id);
            let stops = it.reclaim_ms.map(|ms| now + Span::from_ms(ms));
            let drained = self.draining.binary_search(&it.id).is_ok();
            let leaving = match it.state {
                State::Leaving => Some(stops.unwrap_or(NO_STOP_TIME)),
                State::Running | State::Starting if drained => Some(stops.unwrap_or(NO_STOP_TIME)),
                State::Running | State::Starting => stops,
            };
            let registered = Upstream {
                slots: if closed { 0 } else { pool.slots.saturating_sub(self.unknown_on(&it.id)) },
                kv_tokens: pool.kv_tokens,
                cheap: it.cheap,
                leaving,
            };
            self.register_upstream(&it.id, &it.address.to_string(), registered);
        }
        let removed: Vec<_> = self
            .upstreams
            .extract_if(.., |it| listed.binary_search(&it.id.as_str()).is_err())
            .map(|it| it.key)
            .collect();
        for key in removed {
            self.handle(Event::UpstreamRemoved(key));
        }
    }

    /// Returns the number of unknown attempts on an upstream.
    fn unknown_on(&self, id: &str) -> u32 {
        let found = self.upstreams.binary_search_by(|it| it.id.as_str().cmp(id)).ok();
        found
            .and_then(|at| self.upstreams[at].unknown_attempts.as_ref())
            .map_or(0, |it| it.attempts)
    }

    /// Derives the number of unknown attempts on an upstream from its load report.
    ///
    /// Known attempts are subtracted only if they had certainly arrived when the load was measured, and the report may
    /// still contain attempts that have ended. Both errors overestimate the unknown attempts, which is safe.
    fn update_unknown_attempts(&mut self, id: &str, key: UpstreamKey, load: Load) {
        let Ok(at) = self.upstreams.binary_search_by(|it| it.id.as_str().cmp(id)) else { return };
        if self.upstreams[at].unknown_attempts.is_none() {
            return;
        }
        let arrived =
            |it: &&RunningAttempt| it.confirmed.is_some_and(|at| at + ARRIVAL_MARGIN < load.at);
        let known = self.running.values().filter(|it| it.upstream == key).filter(arrived);
        let attempts = (load.running + load.waiting).saturating_sub(known.count() as u32);
        let deadline = Time::now() + UNKNOWN_ATTEMPTS_TIMEOUT;
        self.upstreams[at].unknown_attempts =
            (attempts > 0).then_some(UnknownAttempts { attempts, deadline });
        self.refresh_upstreams();
    }

    /// Clears the unknown attempts of upstreams that send no load reports.
    fn expire_unknown_attempts(&mut self) {
        let now = Time::now();
        let mut changed = false;
        for entry in &mut self.upstreams {
            if entry.unknown_attempts.as_ref().is_some_and(|it| it.deadline < now) {
                entry.unknown_attempts = None;
                changed = true;
            }
        }
        if changed {
            self.refresh_upstreams();
        }
    }

    fn register_upstream(&mut self, id: &str, address: &str, registered: Upstream) {
        let key = match self.upstreams.binary_search_by(|it| it.id.as_str().cmp(id)) {
            Ok(at) => {
                let entry = &mut self.upstreams[at];
                let leaving = registered.leaving.is_some() == entry.registered.leaving.is_some();
                let same = Upstream { leaving: entry.registered.leaving, ..registered };
                if leaving && same == entry.registered {
                    return;
                }
                entry.registered = registered;
                entry.key
            }
            Err(at) => {
                let key = UpstreamKey(self.next_upstream);
                self.next_upstream += 1;
                let (id, address) = (id.to_owned(), address.to_owned());
                let entry = UpstreamEntry { id, address, key, registered, unknown_attempts: None };
                self.upstreams.insert(at, entry);
                key
            }
        };
        self.handle(Event::Upstream(key, registered));
    }

    /// Reports the pool's demand to the zone's controller in the background.
    fn report_demand(&mut self, drains: mpsc::Sender<Vec<String>>) {
        let demand = self.demand();
        let view = self.options.view.borrow().clone();
        let zone = &self.options.zone;
        let hosts = lease::candidates(&controller::lease_name(zone), view.eligible(zone));
        let addresses: Vec<_> =
            hosts.into_iter().filter_map(|it| view.get(it)).map(|it| it.peer).collect();
        tokio::spawn(report_demand(self.options.peers.clone(), addresses, demand, drains));
    }

    fn demand(&mut self) -> Demand {
        let snapshot = self.options.snapshot.borrow().clone();
        let classes = self.classes.keys.iter().filter_map(|(name, key)| {
            let target = snapshot.class(name)?.attainment_per_mille;
            let queued = self.core.queued_of(ClassKey(*key)) as u32;
            self.attainment.report(ClassKey(*key), target, queued)
        });
        let classes = classes.collect();
        self.attainment.decay();
        let oldest = self.waiting.values().next().map(|it| Time::now().since(it.since));
        let states: Vec<_> = self.core.upstreams().collect();
        let upstreams = self.upstreams.iter().map(|entry| scale::UpstreamLoad {
            upstream: entry.id.clone(),
            running: states.iter().find(|it| it.key == entry.key).map_or(0, |it| it.busy),
            leaving: entry.registered.leaving.is_some(),
        });
        Demand {
            pool: self.options.pool.clone(),
            queued: self.core.queued() as u32,
            running: self.core.running() as u32,
            longest_wait_ms: oldest.map_or(0, Span::as_ms),
            classes,
            upstreams: upstreams.collect(),
        }
    }

    fn set_draining(&mut self, mut upstreams: Vec<String>) {
        upstreams.sort();
        if upstreams != self.draining {
            self.draining = upstreams;
            self.refresh_upstreams();
        }
    }

    fn addresses(&self) -> Vec<(String, String)> {
        self.upstreams.iter().map(|it| (it.id.clone(), it.address.clone())).collect()
    }

    fn record_load(&mut self, upstream: &str, load: Load) {
        if let Some(key) = self.upstream_key(upstream) {
            self.update_unknown_attempts(upstream, key, load);
            self.handle(Event::Load(key, load));
        }
    }

    fn record_progress(&mut self, progress: Progress) {
        let key = Key { dispatcher: progress.dispatcher, attempt: progress.attempt };
        let Some(&attempt) = self.attempts.get(&key) else { return };
        let mut first = false;
        if let Some(run) = self.running.get_mut(&attempt) {
            run.last_progress = Time::now();
            run.confirmed = run.confirmed.or(Some(run.last_progress));
            first = progress.first_token_us.is_some() && !run.first_token_received;
            run.first_token_received |= first;
        }
        if let Some(micros) = progress.first_token_us.filter(|_| first) {
            self.record_first_token(attempt);
            self.handle(Event::FirstToken(attempt, micros));
        }
        if progress.tokens > 0 {
            self.handle(Event::Tokens(attempt, progress.tokens));
        }
        if let Some(ending) = progress.ending {
            self.end_attempt(attempt, ending);
        }
    }

    fn end_attempt(&mut self, attempt: AttemptKey, ending: wire::Ending) {
        if let Some(run) = self.running.remove(&attempt) {
            self.attempts.remove(&run.key);
        }
        self.handle(Event::Ended(attempt, core_ending(ending)));
    }

    fn tick(&mut self) {
        let cancelled: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.answer.is_closed())
            .map(|(key, _)| *key)
            .collect();
        for key in cancelled {
            self.waiting.remove(&key);
            self.handle(Event::Cancel(key));
        }
        for attempt in self.lost_attempts() {
            self.end_attempt(attempt, wire::Ending::Cancelled);
        }
        self.expire_unknown_attempts();
        self.handle(Event::Tick);
    }

    /// Returns the attempts without progress for longer than their timeout.
    ///
    /// Entry hosts report each running attempt several times a second.
    fn lost_attempts(&self) -> Vec<AttemptKey> {
        let view = self.options.view.borrow().clone();
        let now = Time::now();
        let lost = self.running.iter().filter(|(_, run)| {
            let timeout = if run.confirmed.is_none() {
                UNCONFIRMED_TIMEOUT
            } else if view.get(&run.host).is_none() {
                DEPARTED_HOST_TIMEOUT
            } else {
                SILENCE_TIMEOUT
            };
            now.since(run.last_progress) > timeout
        });
        lost.map(|(key, _)| *key).collect()
    }

    /// Executes the pending actions of the core, including those that result from their execution.
    fn execute_actions(&mut self) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    Action::Grant { ticket, attempt, upstream } => {
                        self.grant(ticket, attempt, upstream);
                    }
                    Action::Refuse { ticket, kind, retry_after_ms } => {
                        self.refuse(ticket, kind, retry_after_ms);
                    }
                    Action::Preempt(attempt) => self.preempt(attempt),
                    Action::Quarantine(fingerprint, until) => {
                        log::warn!("fingerprint {fingerprint:016x} crashed upstreams; quarantined");
                        let left_ms = until.since(Time::now()).as_ms();
                        let _ = self.options.quarantine.try_send(vec![(fingerprint, left_ms)]);
                    }
                }
            }
        }
    }

    fn grant(&mut self, ticket: TicketKey, attempt: AttemptKey, upstream: UpstreamKey) {
        let entry = self.upstreams.iter().find(|it| it.key == upstream);
        let (Some(Waiting { ticket, answer, since }), Some(entry)) =
            (self.waiting.remove(&ticket), entry)
        else {
            return self.end_attempt(attempt, wire::Ending::Unused);
        };
        let number = self.attempt_offset + attempt.0;
        let key = Key::new(&self.options.host, self.options.incarnation, number);
        let snapshot = self.options.snapshot.borrow().clone();
        let grant = Grant {
            attempt: key.attempt,
            dispatcher: key.dispatcher,
            upstream: entry.id.clone(),
            address: entry.address.clone(),
            start_within_ms: START_WITHIN_MS,
            priority: snapshot.class(&ticket.class).map_or(u8::MAX, |it| it.tier),
        };
        let class = ClassKey(self.classes.intern(&ticket.class).0);
        let target =
            since + Span::from_ms(snapshot.class(&ticket.class).map_or(0, |it| it.first_token_ms));
        let host = ticket.id.host;
        let last_progress = Time::now();
        let run = RunningAttempt {
            key,
            host,
            upstream,
            last_progress,
            confirmed: None,
            first_token_received: false,
            class,
            target,
        };
        self.track(attempt, run);
        if answer.send(Decision::Granted(grant)).is_err() {
            self.end_attempt(attempt, wire::Ending::Unused);
        }
    }

    fn refuse(&mut self, ticket: TicketKey, kind: Kind, retry_after_ms: Option<u64>) {
        let Some(waiting) = self.waiting.remove(&ticket) else { return };
        let class = ClassKey(self.classes.intern(&waiting.ticket.class).0);
        self.attainment.record(class, false);
        let error = Error::new(kind, refusal_message(kind));
        let _ = waiting.answer.send(Decision::Refused(Error { retry_after_ms, ..error }));
    }

    fn preempt(&self, attempt: AttemptKey) {
        let Some(run) = self.running.get(&attempt) else { return };
        let view = self.options.view.borrow().clone();
        let Some(member) = view.get(&run.host) else { return };
        let (peers, address, key) = (self.options.peers.clone(), member.peer, run.key);
        tokio::spawn(async move {
            let Ok(client) = peers.client(address).await else { return };
            let _ =
                client.preempt(peer::within(HANDOVER_TIMEOUT), key.dispatcher, key.attempt).await;
        });
    }
}

/// Sends a demand report to the candidates for the zone's controller in turn until the controller itself answers.
async fn report_demand(
    peers: Peers,
    addresses: Vec<SocketAddr>,
    demand: Demand,
    drains: mpsc::Sender<Vec<String>>,
) {
    for address in addresses {
        let Ok(client) = peers.client(address).await else { continue };
        let answer = client.demand(peer::within(REPORT_TIMEOUT), demand.clone()).await;
        if let Ok(Some(upstreams)) = answer {
            let _ = drains.send(upstreams).await;
            return;
        }
    }
}

fn core_ending(ending: wire::Ending) -> Ending {
    match ending {
        wire::Ending::Done => Ending::Done,
        wire::Ending::Cancelled | wire::Ending::Unused => Ending::Cancelled,
        wire::Ending::Refused => Ending::Refused,
        wire::Ending::Failed => Ending::Failed,
        // An invalid answer counts against the upstream but is not a crash.
        wire::Ending::TimedOut | wire::Ending::Invalid => Ending::TimedOut,
        wire::Ending::Preempted => Ending::Preempted,
    }
}

/// Returns the message that the caller of a refused request receives.
fn refusal_message(kind: Kind) -> &'static str {
    match kind {
        Kind::Shed => "the queue is full of requests of the same or a higher tier",
        Kind::DeadlineUnmeetable => "the backlog leaves no time to meet the class's target",
        Kind::QueueTimeout => "the request waited as long as its class allows",
        Kind::Quarantined => "the request crashed the upstreams that ran it",
        Kind::RetryBudget => "the attempt failed and the retry budget is used up",
        Kind::NoUpstream => "the pool has no upstream that could run the request",
        _ => "the request cannot be run now",
    }
}
