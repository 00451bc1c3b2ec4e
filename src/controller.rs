//! Zone controller: starts, stops and configures the upstreams of a zone while this host certainly holds its lease.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval, timeout},
};

use crate::{
    config, engine,
    intent::{self, Draft, Intent, Open, Order},
    lease::{self, Lease, Permit},
    member,
    platform::{self, Client, Failure, Upstream},
    scale::{self, Action, Demand, Policy},
    time::Time,
};

/// Capacity of the queue of demand reports.
const MAILBOX: usize = 256;

/// Maximum number of orders to engines per step.
const MAX_ENGINE_ORDERS: usize = 4;

/// Maximum number of stale intents removed per step.
const MAX_REMOVALS: usize = 4;

/// Number of accepted orders kept in the status.
const MAX_LAST_ORDERS: usize = 16;

/// Options of a controller.
#[derive(Debug, Clone)]
pub struct Options {
    /// Client for the platform.
    pub client: Client,
    /// Availability zone to control.
    pub zone: String,
    /// Id of this host.
    pub host: String,
    /// Incarnation of this host.
    pub incarnation: u64,
    /// Durations of the lease.
    pub timing: lease::Timing,
    /// Interval between steps.
    pub interval: Duration,
    /// Settings of the autoscaler.
    pub settings: scale::Settings,
    /// Configuration in force.
    pub config: watch::Receiver<Arc<config::Snapshot>>,
    /// Hosts of the fleet, from which the candidates for the lease are selected.
    pub view: watch::Receiver<Arc<member::View>>,
}

/// Demand report of a pool's dispatcher.
#[derive(Debug)]
pub struct Call {
    /// Reported demand.
    pub demand: Demand,
    /// Receives the upstreams of the pool on which the dispatcher must not grant further attempts, or `None` if this
    /// host is not the zone's controller.
    pub answer: oneshot::Sender<Option<Vec<String>>>,
}

/// Status of a controller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Fencing number of the lease while this host certainly holds it.
    pub number: Option<u64>,
    /// Whether the last step failed on a call to the platform.
    pub degraded: bool,
    /// Number of orders accepted since the controller started.
    pub orders: u64,
    /// Number of orders that are not completed yet.
    pub open: usize,
    /// Number of orders permanently refused since the controller started.
    pub refused: u64,
    /// Number of intents in the store that cannot be decoded.
    pub unreadable: usize,
    /// Target number of upstreams by pool.
    pub targets: Vec<(String, u32)>,
    /// The most recently accepted orders, oldest first.
    pub last: Vec<Order>,
}

/// Handle to a controller.
#[derive(Debug)]
pub struct Controller {
    /// Status, updated after each step.
    pub status: watch::Receiver<Status>,
    /// Receives the demand reports of the dispatchers.
    pub mailbox: mpsc::Sender<Call>,
    stop: oneshot::Sender<oneshot::Sender<()>>,
}

impl Controller {
    /// Releases the lease and stops the task.
    pub async fn stop(self) {
        let (done, stopped) = oneshot::channel();
        if self.stop.send(done).is_ok() {
            let _ = stopped.await;
        }
    }
}

/// Returns the name of a zone's controller lease.
pub fn lease_name(zone: &str) -> String {
    format!("zone-{zone}")
}

/// Spawns a controller. It acts only while this host certainly holds the lease of the zone.
pub fn spawn(options: Options) -> Controller {
    let (candidacy, is_candidate) = watch::channel(false);
    let lease = lease::spawn(lease::Options {
        client: options.client.clone(),
        name: lease_name(&options.zone),
        host: options.host.clone(),
        incarnation: options.incarnation,
        timing: options.timing,
        candidate: is_candidate,
    });
    let (mailbox, calls) = mpsc::channel(MAILBOX);
    let (stop, stopping) = oneshot::channel();
    let (publisher, status) = watch::channel(Status::default());
    let task = Task {
        scaler: scale::Scaler::new(options.settings),
        options,
        lease,
        candidacy,
        publisher,
        status: Status::default(),
        pending: Vec::new(),
        completed_loads: Vec::new(),
        sequence: 0,
    };
    tokio::spawn(task.run(calls, stopping));
    Controller { status, mailbox, stop }
}

/// Progress of an order.
#[derive(Debug)]
enum Stage {
    /// The intent is not known to be in the store.
    Drafted(Intent<Draft>),
    /// The intent is in the store; the order may have been sent.
    Opened(Intent<Open>),
    /// The receiver has answered; the intent in the store must be updated.
    Answered(Intent<Open>, Disposition),
}

/// What to do with the intent of an answered order.
#[derive(Debug, Clone, Copy)]
enum Disposition {
    /// Mark it as done and keep it.
    Keep,
    Remove,
}

#[derive(Debug)]
struct Pending {
    stage: Stage,
    /// Whether an earlier holder of the lease wrote the intent.
    inherited: bool,
}

/// Outcome of advancing one order.
enum Progress {
    Finished,
    /// Continue in the next step.
    Deferred(Stage),
    /// The platform does not answer; the step ends here.
    Stalled(Stage),
}

struct Task {
    options: Options,
    lease: Lease,
    candidacy: watch::Sender<bool>,
    publisher: watch::Sender<Status>,
    status: Status,
    scaler: scale::Scaler,
    /// Incomplete orders, in the order in which they are sent.
    pending: Vec<Pending>,
    /// Accepted orders to load models, whose intents stay in the store.
    completed_loads: Vec<Intent<Open>>,
    /// Number of intents created in this term.
    sequence: u64,
}

impl Task {
    async fn run(
        mut self,
        mut calls: mpsc::Receiver<Call>,
        mut stopping: oneshot::Receiver<oneshot::Sender<()>>,
    ) {
        let mut ticks = interval(self.options.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                Some(call) = calls.recv() => self.report(call),
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

    fn report(&mut self, call: Call) {
        let in_charge = self.lease.permit().is_some_and(|it| Some(it.number) == self.status.number);
        let draining = in_charge.then(|| self.scaler.record_demand(Time::now(), call.demand));
        let _ = call.answer.send(draining);
    }

    async fn tick(&mut self) {
        self.update_candidacy();
        match self.lease.permit() {
            None => self.leave_term(),
            Some(permit) => self.status.degraded = self.run_step(permit).await.is_err(),
        }
        self.status.open = self.pending.len();
        self.publish();
    }

    fn update_candidacy(&self) {
        let view = self.options.view.borrow();
        let hosts = view.eligible(&self.options.zone);
        let is_candidate = lease::is_candidate(self.lease.name(), &self.options.host, hosts);
        self.candidacy.send_replace(is_candidate);
    }

    fn publish(&self) {
        self.publisher.send_if_modified(|it| {
            let changed = *it != self.status;
            it.clone_from(&self.status);
            changed
        });
    }

    fn leave_term(&mut self) {
        if self.status.number.take().is_some() {
            warn!("no longer the controller of zone {}", self.options.zone);
        }
        // The next holder reads the intents from the store.
        self.pending.clear();
        self.completed_loads.clear();
        self.status.targets.clear();
    }

    /// Runs one step while this host certainly holds the lease.
    async fn run_step(&mut self, permit: Permit) -> Result<(), Failure> {
        if self.status.number != Some(permit.number) {
            self.leave_term();
            self.enter_term(permit.number).await?;
        }
        let upstreams = self.options.client.upstreams(&self.options.zone).await?;
        self.advance(&upstreams).await?;
        let unfinished = |it: &Pending| it.inherited && is_zone_order(&it.stage);
        if self.pending.iter().any(unfinished) {
            return Ok(());
        }
        self.plan(permit.number, &upstreams);
        self.advance(&upstreams).await?;
        self.remove_stale(&upstreams).await
    }

    /// Starts a term: reads the intents that earlier holders left in the store.
    async fn enter_term(&mut self, number: u64) -> Result<(), Failure> {
        let stored = intent::list(&self.options.client, &self.options.zone).await?;
        self.scaler = scale::Scaler::new(self.options.settings);
        self.configure();
        self.sequence = 0;
        for intent in &stored.done {
            if let Order::Engine { upstream, order: engine::Order::Load { model } } = intent.order()
            {
                self.scaler.mark_loaded(upstream, model);
            }
        }
        for intent in &stored.open {
            match intent.order() {
                Order::Zone(platform::Order::Start { pool, cheap }) => {
                    self.scaler.adopt_start(Time::now(), pool, *cheap);
                }
                Order::Engine { upstream, order: engine::Order::Load { model } } => {
                    self.scaler.mark_loaded(upstream, model);
                }
                Order::Zone(platform::Order::Stop { .. }) | Order::Engine { .. } => {}
            }
        }
        let adopt = |it| Pending { stage: Stage::Opened(it), inherited: true };
        self.pending = stored.open.into_iter().map(adopt).collect();
        self.completed_loads = stored.done;
        self.status.unreadable = stored.unreadable.len();
        self.status.number = Some(number);
        info!("controller of zone {} with fencing number {number}", self.options.zone);
        Ok(())
    }

    fn configure(&mut self) {
        let config = self.options.config.borrow();
        self.scaler.configure(config.pools.iter().map(Policy::new).collect());
    }

    /// Runs the autoscaler and drafts an intent for each order.
    fn plan(&mut self, number: u64, upstreams: &[Upstream]) {
        self.configure();
        let mut actions = Vec::new();
        self.scaler.step(Time::now(), upstreams, &mut actions);
        for order in actions.into_iter().filter_map(order_for) {
            if self.pending.iter().any(|it| *stage_order(&it.stage) == order)
                && is_idempotent(&order)
            {
                continue;
            }
            let id = format!("{number}-{}", self.sequence);
            self.sequence += 1;
            let intent = Intent::new(&self.options.zone, id, order);
            self.pending.push(Pending { stage: Stage::Drafted(intent), inherited: false });
        }
        let pools = &self.options.config.borrow().pools;
        let target = |name: &String| self.scaler.target(name).map(|it| (name.clone(), it));
        self.status.targets = pools.iter().filter_map(|it| target(&it.name)).collect();
    }

    /// Advances each pending order as far as possible. Stops if the platform does not answer.
    async fn advance(&mut self, upstreams: &[Upstream]) -> Result<(), Failure> {
        let mut remaining = std::mem::take(&mut self.pending).into_iter();
        let mut engine_orders = 0;
        let mut stalled = false;
        for pending in remaining.by_ref() {
            let Pending { stage, inherited } = pending;
            let is_engine = !is_zone_order(&stage);
            if is_engine && engine_orders >= MAX_ENGINE_ORDERS {
                self.pending.push(Pending { stage, inherited });
                continue;
            }
            engine_orders += usize::from(is_engine);
            match self.advance_order(stage, upstreams).await {
                Progress::Finished => {}
                Progress::Deferred(stage) => self.pending.push(Pending { stage, inherited }),
                Progress::Stalled(stage) => {
                    self.pending.push(Pending { stage, inherited });
                    stalled = true;
                    break;
                }
            }
        }
        self.pending.extend(remaining);
        if stalled {
            Err(Failure::Unknown("the platform does not answer".to_owned()))
        } else {
            Ok(())
        }
    }

    async fn advance_order(&mut self, mut stage: Stage, upstreams: &[Upstream]) -> Progress {
        loop {
            stage = match stage {
                Stage::Drafted(draft) if self.permit().is_err() => {
                    return Progress::Deferred(Stage::Drafted(draft));
                }
                Stage::Drafted(draft) => match draft.write(&self.options.client).await {
                    Ok(open) => Stage::Opened(open),
                    Err(Failure::Refused(..)) => return self.discard(&draft),
                    Err(_) => return Progress::Stalled(Stage::Drafted(draft)),
                },
                Stage::Opened(open) => match self.send(&open, upstreams).await {
                    Ok(disposition) => Stage::Answered(open, disposition),
                    Err(Failure::Unknown(_) | Failure::Invalid(_)) if is_zone(open.order()) => {
                        return Progress::Stalled(Stage::Opened(open));
                    }
                    Err(_) => return Progress::Deferred(Stage::Opened(open)),
                },
                Stage::Answered(open, disposition) => {
                    let marked = match disposition {
                        Disposition::Keep => open.mark_done(&self.options.client).await,
                        Disposition::Remove => open.remove(&self.options.client).await,
                    };
                    return match (marked, disposition) {
                        (Ok(()), Disposition::Keep) => {
                            self.completed_loads.push(open);
                            Progress::Finished
                        }
                        (Ok(()), Disposition::Remove) => Progress::Finished,
                        (Err(_), _) => Progress::Stalled(Stage::Answered(open, disposition)),
                    };
                }
            };
        }
    }

    /// Discards an intent whose id is taken by another order in the store. The order was not sent.
    fn discard(&mut self, draft: &Intent<Draft>) -> Progress {
        if let Order::Zone(platform::Order::Start { pool, cheap }) = draft.order() {
            self.scaler.start_refused(Time::now(), pool, *cheap);
        }
        self.status.refused += 1;
        Progress::Finished
    }

    /// Sends an order if this host certainly holds the lease, and returns what to do with its intent.
    async fn send(
        &mut self,
        intent: &Intent<Open>,
        upstreams: &[Upstream],
    ) -> Result<Disposition, Failure> {
        match intent.order().clone() {
            Order::Zone(order) => self.send_to_zone(intent, order).await,
            Order::Engine { upstream, order } => {
                let Some(found) = upstreams.iter().find(|it| it.id == upstream) else {
                    return Ok(Disposition::Remove);
                };
                self.send_to_engine(intent, found, order).await
            }
        }
    }

    async fn send_to_zone(
        &mut self,
        intent: &Intent<Open>,
        order: platform::Order,
    ) -> Result<Disposition, Failure> {
        let permit = self.permit()?;
        let fenced = intent.fenced(self.lease.name(), permit, order.clone());
        // The connection that wrote the intent is still open, so the order is sent without a delay for connecting.
        let call = self.options.client.order(&self.options.zone, &fenced);
        let answer = timeout(permit.remaining.into(), call).await;
        let answer = answer.unwrap_or_else(|_| Err(Failure::Unknown("timeout".to_owned())));
        match (answer, order) {
            (Ok(upstream), platform::Order::Start { pool, cheap }) => {
                self.scaler.start_accepted(&pool, cheap, &upstream);
            }
            (Ok(_), platform::Order::Stop { .. }) => {}
            (Err(Failure::Busy(503)), platform::Order::Start { pool, cheap }) => {
                self.scaler.start_refused(Time::now(), &pool, cheap);
                return Ok(Disposition::Remove);
            }
            (Err(failure), order) => return self.handle_failure(failure, &order).await,
        }
        self.record_accepted(intent);
        Ok(Disposition::Remove)
    }

    async fn handle_failure(
        &mut self,
        failure: Failure,
        order: &platform::Order,
    ) -> Result<Disposition, Failure> {
        match failure {
            Failure::Refused(409, _) => {
                self.lease.resign().await;
                Err(failure)
            }
            Failure::Refused(410, _)
            | Failure::Busy(_)
            | Failure::Unknown(_)
            | Failure::Invalid(_) => Err(failure),
            Failure::Refused(..) => {
                self.status.refused += 1;
                if let platform::Order::Start { pool, cheap } = order {
                    self.scaler.start_refused(Time::now(), pool, *cheap);
                }
                Ok(Disposition::Remove)
            }
        }
    }

    async fn send_to_engine(
        &mut self,
        intent: &Intent<Open>,
        upstream: &Upstream,
        order: engine::Order,
    ) -> Result<Disposition, Failure> {
        let permit = self.permit()?;
        let fenced = intent.fenced(self.lease.name(), permit, order.clone());
        match engine::send(upstream.address, &self.lease, &fenced, permit.remaining.into()).await {
            Ok(()) => {}
            Err(Failure::Refused(409, reason)) => {
                self.lease.resign().await;
                return Err(Failure::Refused(409, reason));
            }
            Err(Failure::Refused(status, _)) if status != 410 => {
                self.status.refused += 1;
                return Ok(Disposition::Remove);
            }
            Err(failure) => return Err(failure),
        }
        self.record_accepted(intent);
        match order {
            engine::Order::Load { .. } => Ok(Disposition::Keep),
            engine::Order::Unload { model } => {
                self.remove_loads(&upstream.id, &model).await?;
                Ok(Disposition::Remove)
            }
            engine::Order::Role { .. } => Ok(Disposition::Remove),
        }
    }

    fn permit(&self) -> Result<Permit, Failure> {
        let permit = self.lease.permit().filter(|it| Some(it.number) == self.status.number);
        permit.ok_or_else(|| Failure::Refused(410, "the lease is not held".to_owned()))
    }

    fn record_accepted(&mut self, intent: &Intent<Open>) {
        self.status.orders += 1;
        if self.status.last.len() == MAX_LAST_ORDERS {
            self.status.last.remove(0);
        }
        self.status.last.push(intent.order().clone());
    }

    /// Removes the intents that record a model as loaded.
    async fn remove_loads(&mut self, upstream: &str, model: &str) -> Result<(), Failure> {
        let load = Order::Engine {
            upstream: upstream.to_owned(),
            order: engine::Order::Load { model: model.to_owned() },
        };
        while let Some(at) = self.completed_loads.iter().position(|it| *it.order() == load) {
            self.completed_loads[at].remove(&self.options.client).await?;
            self.completed_loads.swap_remove(at);
        }
        Ok(())
    }

    /// Removes the intents of completed loads on upstreams that no longer exist.
    async fn remove_stale(&mut self, upstreams: &[Upstream]) -> Result<(), Failure> {
        for _ in 0..MAX_REMOVALS {
            let is_stale = |it: &Intent<Open>| match it.order() {
                Order::Zone(_) => true,
                Order::Engine { upstream, .. } => !upstreams.iter().any(|it| it.id == *upstream),
            };
            let Some(at) = self.completed_loads.iter().position(is_stale) else { return Ok(()) };
            self.completed_loads[at].remove(&self.options.client).await?;
            self.completed_loads.swap_remove(at);
        }
        Ok(())
    }
}

/// Returns the order that carries out an action; `None` for drains, which dispatchers receive in the answers to their
/// reports.
fn order_for(action: Action) -> Option<Order> {
    let engine = |upstream, order| Some(Order::Engine { upstream, order });
    match action {
        Action::Start { pool, cheap } => Some(Order::Zone(platform::Order::Start { pool, cheap })),
        Action::Stop { upstream } => Some(Order::Zone(platform::Order::Stop { upstream })),
        Action::Drain { .. } => None,
        Action::Load { upstream, model } => engine(upstream, engine::Order::Load { model }),
        Action::Unload { upstream, model } => engine(upstream, engine::Order::Unload { model }),
    }
}

/// Returns whether a second order with the same content is redundant while the first is pending.
fn is_idempotent(order: &Order) -> bool {
    match order {
        Order::Zone(platform::Order::Start { .. }) => false,
        Order::Zone(platform::Order::Stop { .. }) | Order::Engine { .. } => true,
    }
}

fn stage_order(stage: &Stage) -> &Order {
    match stage {
        Stage::Drafted(it) => it.order(),
        Stage::Opened(it) | Stage::Answered(it, _) => it.order(),
    }
}

fn is_zone(order: &Order) -> bool {
    match order {
        Order::Zone(_) => true,
        Order::Engine { .. } => false,
    }
}

fn is_zone_order(stage: &Stage) -> bool {
    is_zone(stage_order(stage))
}
