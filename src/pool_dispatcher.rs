//! Task of one pool on the host that dispatches it: feeds the dispatcher core and carries out its actions.

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
    wire::{self, Decision, Grant, Held, Progress},
};

/// Interval at which the core sees time pass.
const TICK: Duration = Duration::from_millis(20);

/// Time for an entry host to answer a handover; the dispatcher grants nothing before.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause before an entry host is asked again whose view does not name this host yet.
const HANDOVER_PAUSE: Duration = Duration::from_millis(100);

/// Time for a granted attempt to be sent.
const START_WITHIN_MS: u64 = 1_000;

/// Time of a stop that is not known.
const FOREVER: Time = Time(u64::MAX);

/// Time without progress after which the attempt of a host that left the view has ended.
const ATTEMPT_TIMEOUT: Span = Span::from_ms(3_000);

/// Time without a load report after which an upstream is held to run nothing that is not known.
const HIDDEN_TIMEOUT: Span = Span::from_ms(2_000);

/// Time from the first sign of an attempt to its arrival at the upstream.
const ARRIVAL_MARGIN: Span = Span::from_ms(200);

/// Time without any sign of a granted attempt after which its grant never arrived. It exceeds the time to start.
const UNCONFIRMED_TIMEOUT: Span = Span::from_ms(START_WITHIN_MS + 1_500);

/// Time without progress after which the end of an attempt was lost, though its host is alive.
const SILENCE_TIMEOUT: Span = Span::from_ms(10_000);

/// Interval of the reports of demand to the zone's controller.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time for the zone's controller to answer a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Calls that may wait at the task.
pub const QUEUE: usize = 16_384;

/// A call to the dispatcher of a pool.
#[derive(Debug)]
pub enum Call {
    /// A ticket asks for a grant; withdrawn when the receiver of the answer is dropped.
    Submit(Box<wire::Ticket>, oneshot::Sender<Decision>),
    /// Attempts went on.
    Progress(Vec<Progress>),
    /// A fingerprint is quarantined elsewhere until a time.
    Quarantine(u64, Time),
}

/// Inputs of the task.
#[derive(Debug)]
pub struct Options {
    /// Id of this host.
    pub host: String,
    /// Incarnation of this host.
    pub incarnation: u64,
    /// Name of the pool.
    pub pool: String,
    /// Configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The hosts as this host sees them.
    pub view: watch::Receiver<Arc<View>>,
    /// The zone's upstreams.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Connections to other hosts.
    pub peers: Peers,
    /// Takes fingerprints that this dispatcher quarantines, with the time left in milliseconds.
    pub quarantine: mpsc::Sender<Vec<(u64, u64)>>,
    /// Fingerprints in quarantine when the task starts, and its end.
    pub quarantined: Vec<(u64, Time)>,
    /// Availability zone of this host.
    pub zone: String,
    /// Number of the first attempt; attempts of one incarnation must not share numbers.
    pub first_attempt: u64,
}

/// Spawns the task; it ends when the mailbox is closed.
pub fn spawn(options: Options) -> mpsc::Sender<Call> {
    let (calls, mailbox) = mpsc::channel(QUEUE);
    tokio::spawn(run(options, mailbox));
    calls
}

/// Arena of names; a key is the position of its name.
#[derive(Debug, Default)]
struct Names {
    /// Sorted by name.
    keys: Vec<(String, u32)>,
}

impl Names {
    /// Key of a name and whether it is new.
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
struct Run {
    /// Identity that the entry host uses.
    key: Key,
    /// Entry host.
    host: String,
    upstream: UpstreamKey,

    /// Last sign of the attempt.
    seen: Time,
    /// When the entry host first named the attempt; zero if a former dispatcher granted it.
    confirmed: Option<Time>,
    /// Whether the first token came.
    answering: bool,
    class: ClassKey,
    /// When the request must have its first token.
    target: Time,
}

#[derive(Debug)]
struct Site {
    id: String,
    address: String,
    key: UpstreamKey,
    /// What the core was told last.
    told: Upstream,
    /// Set while hosts that did not answer the handover may run attempts here.
    hidden: Option<Hidden>,
}

/// Attempts that the dispatcher does not know of.
#[derive(Debug)]
struct Hidden {
    attempts: u32,
    /// When they are forgotten without a further report.
    deadline: Time,
}

#[derive(Debug)]
struct Lane {
    options: Options,
    core: Dispatcher,
    actions: Vec<Action>,
    customers: Names,
    classes: Names,
    routes: Names,
    /// Sorted by id.
    sites: Vec<Site>,
    upstreams: u32,
    tickets: u64,
    waiting: BTreeMap<TicketKey, Waiting>,
    running: BTreeMap<AttemptKey, Run>,
    attempts: BTreeMap<Key, AttemptKey>,
    /// Difference between the numbers of the core and those on the wire.
    offset: u64,
    open: bool,
    /// Upstreams that the zone's controller drains, sorted.
    draining: Vec<String>,
    attainment: AttainmentTracker,
}

async fn run(options: Options, mut mailbox: mpsc::Receiver<Call>) {
    let mut held = Box::pin(take_over(&options));
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let (targets, addresses) = watch::channel(Vec::new());
    let mut loads = load::spawn(addresses);
    let mut snapshot = options.snapshot.clone();
    let mut fleet = options.fleet.clone();
    let mut lane = Lane::new(options);
    lane.configure();
    for (fingerprint, until) in lane.options.quarantined.clone() {
        lane.handle(Event::Quarantine(fingerprint, until));
    }
    let mut reports = tokio::time::interval(REPORT_INTERVAL);
    reports.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let (drains, mut draining) = mpsc::channel(1);
    loop {
        tokio::select! {
            call = mailbox.recv() => {
                let Some(call) = call else { return };
                lane.take(call);
                while let Ok(call) = mailbox.try_recv() {
                    lane.take(call);
                }
            }
            held = &mut held, if !lane.open => {
                lane.open(held);
                let _ = targets.send(lane.addresses());
            }
            Ok(()) = snapshot.changed() => {
                lane.configure();
                lane.survey();
            }
            Ok(()) = fleet.changed() => {
                lane.survey();
                let _ = targets.send(lane.addresses());
            }
            Some((upstream, load)) = loads.recv() => lane.load(&upstream, load),
            _ = interval.tick() => lane.tick(),
            _ = reports.tick(), if lane.open => lane.report(drains.clone()),
            Some(upstreams) = draining.recv() => lane.drain(upstreams),
        }
        lane.act();
    }
}

/// Waits for the list of upstreams and for the attempts of every host.
fn take_over(options: &Options) -> impl Future<Output = Takeover> + use<> {
    let mut fleet = options.fleet.clone();
    let held = hand_over(
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

/// Asks every host for its attempts in the pool.
async fn hand_over(
    peers: Peers,
    view: Arc<View>,
    pool: String,
    host: String,
    incarnation: u64,
) -> Takeover {
    let asked = view.members.iter().map(|member| {
        let id = member.id.clone();
        let asking = ask(&peers, member.peer, &pool, &host, incarnation);
        async move {
            let held = tokio::time::timeout(HANDOVER_TIMEOUT, asking).await.ok()?;
            Some((id, held))
        }
    });
    let answers: FuturesUnordered<_> = asked.collect();
    let held: Vec<_> = answers.filter_map(|it| async move { it }).collect().await;
    Takeover { complete: held.len() == view.members.len(), held }
}

/// What the entry hosts answered to a new dispatcher.
struct Takeover {
    held: Vec<(String, Held)>,
    /// Whether every host in the view has answered.
    complete: bool,
}

/// Asks one host until it accepts.
async fn ask(peers: &Peers, address: SocketAddr, pool: &str, host: &str, incarnation: u64) -> Held {
    loop {
        if let Ok(client) = peers.client(address).await {
            let context = peer::within(HANDOVER_TIMEOUT);
            let asking = client.handover(context, pool.to_owned(), host.to_owned(), incarnation);
            if let Ok(held) = asking.await
                && held.accepted
            {
                return held;
            }
        }
        tokio::time::sleep(HANDOVER_PAUSE).await;
    }
}

impl Lane {
    fn new(options: Options) -> Lane {
        Lane {
            core: Dispatcher::default(),
            actions: Vec::new(),
            customers: Names::default(),
            classes: Names::default(),
            routes: Names::default(),
            sites: Vec::new(),
            upstreams: 0,
            tickets: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            attempts: BTreeMap::new(),
            offset: options.first_attempt,
            open: false,
            draining: Vec::new(),
            attainment: AttainmentTracker::default(),
            options,
        }
    }

    fn handle(&mut self, event: Event) {
        self.core.handle(Time::now(), event, &mut self.actions);
    }

    fn take(&mut self, call: Call) {
        match call {
            Call::Submit(ticket, answer) => self.submit(ticket, answer),
            Call::Progress(batch) => batch.into_iter().for_each(|it| self.progress(it)),
            Call::Quarantine(fingerprint, until) => {
                self.handle(Event::Quarantine(fingerprint, until));
            }
        }
    }

    fn submit(&mut self, ticket: Box<wire::Ticket>, answer: oneshot::Sender<Decision>) {
        self.tickets += 1;
        let key = TicketKey(self.tickets);
        let core = self.ticket(key, &ticket);
        let since = Time::now() - Span::from_ms(ticket.waited_ms);
        self.waiting.insert(key, Waiting { since, ticket, answer });
        self.handle(Event::Submit(core));
    }

    fn ticket(&mut self, key: TicketKey, ticket: &wire::Ticket) -> Ticket {
        let (customer, unknown) = self.customers.intern(&ticket.customer);
        if unknown {
            self.handle(Event::Customer(CustomerKey(customer), ticket.weight));
        }
        let (class, unknown) = self.classes.intern(&ticket.class);
        if unknown {
            self.configure_class(&ticket.class, ClassKey(class));
        }
        let (route, _) = self.routes.intern(&ticket.route);
        let avoid = ticket.avoid.iter().filter_map(|it| self.site(it)).collect();
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

    fn site(&self, id: &str) -> Option<UpstreamKey> {
        let found = self.sites.binary_search_by(|it| it.id.as_str().cmp(id)).ok()?;
        Some(self.sites[found].key)
    }

    /// Tells the core the classes and customers in force.
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

    /// Takes over the attempts of a former dispatcher and begins to grant.
    fn open(&mut self, takeover: Takeover) {
        self.register(true);
        if !takeover.complete || self.reports_load() {
            self.hide_all();
        }
        for (host, held) in takeover.held {
            for running in held.running {
                self.adopt(&host, running);
            }
        }
        self.open = true;
        self.survey();
        log::info!("dispatching pool {} with {} attempts", self.options.pool, self.running.len());
    }

    /// Whether the pool's upstreams report their load. Hosts that have just left the view may still run attempts
    /// there, so that the reports are asked at every start.
    fn reports_load(&self) -> bool {
        let snapshot = self.options.snapshot.borrow();
        snapshot.pool(&self.options.pool).is_some_and(|it| it.protocol == Protocol::Engine)
    }

    /// Holds every upstream to be full until its own report tells what the silent hosts run on it.
    fn hide_all(&mut self) {
        let deadline = Time::now() + HIDDEN_TIMEOUT;
        for site in &mut self.sites {
            site.hidden = Some(Hidden { attempts: u32::MAX, deadline });
        }
    }

    fn adopt(&mut self, host: &str, running: wire::Running) {
        let wire::Running { ticket, grant, progress } = running;
        let key = Key { dispatcher: grant.dispatcher, attempt: grant.attempt };
        let Some(upstream) = self.site(&grant.upstream) else { return };
        if self.attempts.contains_key(&key) {
            return;
        }
        // Numbers of adopted attempts lie above those that the core gives.
        let attempt = AttemptKey(u64::MAX - self.running.len() as u64);
        self.tickets += 1;
        let target = self.target(&ticket);
        let ticket = self.ticket(TicketKey(self.tickets), &ticket);
        let tokens = progress.tokens;
        let run = Run {
            key,
            host: host.to_owned(),
            upstream,
            seen: Time::now(),
            confirmed: Some(Time(0)),
            answering: progress.first_token_us.is_some(),
            class: ticket.class,
            target,
        };
        self.note(attempt, run);
        self.handle(Event::Adopt(Adopted { attempt, ticket, upstream, tokens }));
    }

    fn note(&mut self, attempt: AttemptKey, run: Run) {
        self.attempts.insert(run.key, attempt);
        self.running.insert(attempt, run);
    }

    /// When a ticket's request must have its first token.
    fn target(&self, ticket: &wire::Ticket) -> Time {
        let snapshot = self.options.snapshot.borrow();
        let target_ms = snapshot.class(&ticket.class).map_or(0, |it| it.first_token_ms);
        Time::now() + Span::from_ms(target_ms) - Span::from_ms(ticket.waited_ms)
    }

    fn note_first_token(&mut self, attempt: AttemptKey) {
        if let Some(run) = self.running.get(&attempt) {
            self.attainment.record(run.class, Time::now() <= run.target);
        }
    }

    /// Tells the core which upstreams there are.
    fn survey(&mut self) {
        if self.open {
            self.register(false);
        }
    }

    /// Registers the pool's upstreams. `closed` ones get no grants until the attempts in progress are known.
    fn register(&mut self, closed: bool) {
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
                State::Leaving => Some(stops.unwrap_or(FOREVER)),
                State::Running | State::Starting if drained => Some(stops.unwrap_or(FOREVER)),
                State::Running | State::Starting => stops,
            };
            let told = Upstream {
                slots: if closed { 0 } else { pool.slots.saturating_sub(self.hidden(&it.id)) },
                kv_tokens: pool.kv_tokens,
                cheap: it.cheap,
                leaving,
            };
            self.tell_site(&it.id, &it.address.to_string(), told);
        }
        let gone: Vec<_> = self
            .sites
            .extract_if(.., |it| listed.binary_search(&it.id.as_str()).is_err())
            .map(|it| it.key)
            .collect();
        for key in gone {
            self.handle(Event::UpstreamRemoved(key));
        }
    }

    /// Attempts of silent hosts on an upstream.
    fn hidden(&self, id: &str) -> u32 {
        let found = self.sites.binary_search_by(|it| it.id.as_str().cmp(id)).ok();
        found.and_then(|at| self.sites[at].hidden.as_ref()).map_or(0, |it| it.attempts)
    }

    /// Reads from a load report how many attempts this dispatcher does not know of.
    ///
    /// Attempts that had not certainly arrived when the report was true may be missing in it and are not counted; ended
    /// ones may still be in it. Both err to the safe side.
    fn reveal(&mut self, upstream: &str, key: UpstreamKey, load: Load) {
        let Ok(at) = self.sites.binary_search_by(|it| it.id.as_str().cmp(upstream)) else { return };
        if self.sites[at].hidden.is_none() {
            return;
        }
        let arrived = |it: &&Run| it.confirmed.is_some_and(|at| at + ARRIVAL_MARGIN < load.at);
        let known = self.running.values().filter(|it| it.upstream == key).filter(arrived);
        let attempts = (load.running + load.waiting).saturating_sub(known.count() as u32);
        let deadline = Time::now() + HIDDEN_TIMEOUT;
        self.sites[at].hidden = (attempts > 0).then_some(Hidden { attempts, deadline });
        self.survey();
    }

    /// Gives up waiting for reports of upstreams that make none.
    fn forget_hidden(&mut self) {
        let now = Time::now();
        let mut changed = false;
        for site in &mut self.sites {
            if site.hidden.as_ref().is_some_and(|it| it.deadline < now) {
                site.hidden = None;
                changed = true;
            }
        }
        if changed {
            self.survey();
        }
    }

    fn tell_site(&mut self, id: &str, address: &str, told: Upstream) {
        let key = match self.sites.binary_search_by(|it| it.id.as_str().cmp(id)) {
            Ok(at) => {
                let site = &mut self.sites[at];
                let leaving = told.leaving.is_some() == site.told.leaving.is_some();
                let same = Upstream { leaving: site.told.leaving, ..told };
                if leaving && same == site.told {
                    return;
                }
                site.told = told;
                site.key
            }
            Err(at) => {
                let key = UpstreamKey(self.upstreams);
                self.upstreams += 1;
                let (id, address) = (id.to_owned(), address.to_owned());
                let site = Site { id, address, key, told, hidden: None };
                self.sites.insert(at, site);
                key
            }
        };
        self.handle(Event::Upstream(key, told));
    }

    /// Tells the zone's controller what the pool needs.
    fn report(&mut self, drains: mpsc::Sender<Vec<String>>) {
        let demand = self.demand();
        let view = self.options.view.borrow().clone();
        let zone = &self.options.zone;
        let hosts = lease::candidates(&controller::lease_name(zone), view.eligible(zone));
        let addresses: Vec<_> =
            hosts.into_iter().filter_map(|it| view.get(it)).map(|it| it.peer).collect();
        tokio::spawn(report(self.options.peers.clone(), addresses, demand, drains));
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
        let upstreams = self.sites.iter().map(|site| scale::UpstreamLoad {
            upstream: site.id.clone(),
            running: states.iter().find(|it| it.key == site.key).map_or(0, |it| it.busy),
            leaving: site.told.leaving.is_some(),
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

    fn drain(&mut self, mut upstreams: Vec<String>) {
        upstreams.sort();
        if upstreams != self.draining {
            self.draining = upstreams;
            self.survey();
        }
    }

    fn addresses(&self) -> Vec<(String, String)> {
        self.sites.iter().map(|it| (it.id.clone(), it.address.clone())).collect()
    }

    fn load(&mut self, upstream: &str, load: Load) {
        if let Some(key) = self.site(upstream) {
            self.reveal(upstream, key, load);
            self.handle(Event::Load(key, load));
        }
    }

    fn progress(&mut self, progress: Progress) {
        let key = Key { dispatcher: progress.dispatcher, attempt: progress.attempt };
        let Some(&attempt) = self.attempts.get(&key) else { return };
        let mut first = false;
        if let Some(run) = self.running.get_mut(&attempt) {
            run.seen = Time::now();
            run.confirmed = run.confirmed.or(Some(run.seen));
            first = progress.first_token_us.is_some() && !run.answering;
            run.answering |= first;
        }
        if let Some(micros) = progress.first_token_us.filter(|_| first) {
            self.note_first_token(attempt);
            self.handle(Event::FirstToken(attempt, micros));
        }
        if progress.tokens > 0 {
            self.handle(Event::Tokens(attempt, progress.tokens));
        }
        if let Some(ending) = progress.ending {
            self.end(attempt, ending);
        }
    }

    fn end(&mut self, attempt: AttemptKey, ending: wire::Ending) {
        if let Some(run) = self.running.remove(&attempt) {
            self.attempts.remove(&run.key);
        }
        self.handle(Event::Ended(attempt, core_ending(ending)));
    }

    fn tick(&mut self) {
        let withdrawn: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.answer.is_closed())
            .map(|(key, _)| *key)
            .collect();
        for key in withdrawn {
            self.waiting.remove(&key);
            self.handle(Event::Cancel(key));
        }
        for attempt in self.lost() {
            self.end(attempt, wire::Ending::Cancelled);
        }
        self.forget_hidden();
        self.handle(Event::Tick);
    }

    /// Attempts of which nothing is heard. Entry hosts name each running attempt several times a second.
    fn lost(&self) -> Vec<AttemptKey> {
        let view = self.options.view.borrow().clone();
        let now = Time::now();
        let lost = self.running.iter().filter(|(_, run)| {
            let timeout = if run.confirmed.is_none() {
                UNCONFIRMED_TIMEOUT
            } else if view.get(&run.host).is_none() {
                ATTEMPT_TIMEOUT
            } else {
                SILENCE_TIMEOUT
            };
            now.since(run.seen) > timeout
        });
        lost.map(|(key, _)| *key).collect()
    }

    /// Carries out what the core decided.
    fn act(&mut self) {
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
                        log::warn!("fingerprint {fingerprint:016x} crashed upstreams, quarantined");
                        let left_ms = until.since(Time::now()).as_ms();
                        let _ = self.options.quarantine.try_send(vec![(fingerprint, left_ms)]);
                    }
                }
            }
        }
    }

    fn grant(&mut self, ticket: TicketKey, attempt: AttemptKey, upstream: UpstreamKey) {
        let site = self.sites.iter().find(|it| it.key == upstream);
        let (Some(Waiting { ticket, answer, since }), Some(site)) =
            (self.waiting.remove(&ticket), site)
        else {
            return self.end(attempt, wire::Ending::Unused);
        };
        let key = Key { dispatcher: self.options.incarnation, attempt: self.offset + attempt.0 };
        let snapshot = self.options.snapshot.borrow().clone();
        let grant = Grant {
            attempt: key.attempt,
            dispatcher: key.dispatcher,
            upstream: site.id.clone(),
            address: site.address.clone(),
            start_within_ms: START_WITHIN_MS,
            priority: snapshot.class(&ticket.class).map_or(u8::MAX, |it| it.tier),
        };
        let class = ClassKey(self.classes.intern(&ticket.class).0);
        let target =
            since + Span::from_ms(snapshot.class(&ticket.class).map_or(0, |it| it.first_token_ms));
        let host = ticket.id.host;
        let seen = Time::now();
        let run =
            Run { key, host, upstream, seen, confirmed: None, answering: false, class, target };
        self.note(attempt, run);
        if answer.send(Decision::Granted(grant)).is_err() {
            self.end(attempt, wire::Ending::Unused);
        }
    }

    fn refuse(&mut self, ticket: TicketKey, kind: Kind, retry_after_ms: Option<u64>) {
        let Some(waiting) = self.waiting.remove(&ticket) else { return };
        let class = ClassKey(self.classes.intern(&waiting.ticket.class).0);
        self.attainment.record(class, false);
        let error = Error::new(kind, explain(kind));
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

/// Reports to the candidates for the zone's controller until one of them is it.
async fn report(
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
        // An invalid answer speaks against the upstream, but it is no crash of the upstream.
        wire::Ending::TimedOut | wire::Ending::Invalid => Ending::TimedOut,
        wire::Ending::Preempted => Ending::Preempted,
    }
}

/// Message for a request that the dispatcher refuses.
fn explain(kind: Kind) -> &'static str {
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
