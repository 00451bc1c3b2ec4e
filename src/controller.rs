//! The zone controller: orders upstreams of one zone while this host certainly holds the zone's lease.

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

/// Reports of demand that may wait for the controller.
const MAILBOX: usize = 256;

/// Most orders to engines in one step.
const ENGINE_ORDERS: usize = 4;

/// Most old intents that are removed in one step.
const REMOVALS: usize = 4;

/// Orders that the status remembers.
const LAST_ORDERS: usize = 16;

/// What a controller needs.
#[derive(Debug, Clone)]
pub struct Options {
    /// Port to the platform.
    pub client: Client,
    /// Zone that is controlled.
    pub zone: String,
    /// Host id.
    pub host: String,
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Lengths of the lease.
    pub terms: lease::Timing,
    /// Time between steps.
    pub interval: Duration,
    /// Limits of the scaling.
    pub settings: scale::Settings,
    /// Configuration in force.
    pub config: watch::Receiver<Arc<config::Snapshot>>,
    /// Hosts that are alive.
    pub view: watch::Receiver<Arc<member::View>>,
}

/// A dispatcher's report of its pool.
#[derive(Debug)]
pub struct Call {
    /// What the dispatcher reports.
    pub demand: Demand,
    /// Takes the upstreams of the pool on which nothing more may be granted, or `None` if this host is not the
    /// zone's controller.
    pub answer: oneshot::Sender<Option<Vec<String>>>,
}

/// What a controller is doing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Fencing number while the host is certainly the holder.
    pub number: Option<u64>,
    /// Whether the last step could not reach the platform.
    pub degraded: bool,
    /// Orders that were accepted since the start.
    pub orders: u64,
    /// Orders that are written down and not accepted yet.
    pub open: usize,
    /// Orders that were refused for good since the start.
    pub refused: u64,
    /// Intents in the store that cannot be read.
    pub unreadable: usize,
    /// Pool and number of upstreams that it should have.
    pub targets: Vec<(String, u32)>,
    /// The last orders that were accepted, oldest first.
    pub last: Vec<Order>,
}

/// Handle to a controller.
#[derive(Debug)]
pub struct Controller {
    /// Changes of what the controller is doing.
    pub status: watch::Receiver<Status>,
    /// Takes the dispatchers' reports.
    pub mailbox: mpsc::Sender<Call>,
    stop: oneshot::Sender<oneshot::Sender<()>>,
}

impl Controller {
    /// Gives the lease up and ends the task.
    pub async fn stop(self) {
        let (done, stopped) = oneshot::channel();
        if self.stop.send(done).is_ok() {
            let _ = stopped.await;
        }
    }
}

/// Name of a zone's lease.
pub fn lease_name(zone: &str) -> String {
    format!("zone-{zone}")
}

/// Spawns the controller of a zone, or a candidate for that role.
pub fn spawn(options: Options) -> Controller {
    let (standing, stands) = watch::channel(false);
    let lease = lease::spawn(lease::Options {
        client: options.client.clone(),
        name: lease_name(&options.zone),
        host: options.host.clone(),
        incarnation: options.incarnation,
        timing: options.terms,
        candidate: stands,
    });
    let (mailbox, calls) = mpsc::channel(MAILBOX);
    let (stop, stopping) = oneshot::channel();
    let (publisher, status) = watch::channel(Status::default());
    let task = Task {
        core: scale::Scaler::new(options.settings),
        options,
        lease,
        standing,
        publisher,
        status: Status::default(),
        pending: Vec::new(),
        kept: Vec::new(),
        sequence: 0,
    };
    tokio::spawn(task.run(calls, stopping));
    Controller { status, mailbox, stop }
}

/// How far an order has come.
#[derive(Debug)]
enum Stage {
    Drafted(Intent<Draft>),
    Opened(Intent<Open>),
    /// The receiver has answered; the store is to be told.
    Answered(Intent<Open>, Mark),
}

/// What becomes of an intent whose order was answered.
#[derive(Debug, Clone, Copy)]
enum Mark {
    Keep,
    Remove,
}

#[derive(Debug)]
struct Pending {
    stage: Stage,
    /// Whether an earlier holder wrote the intent.
    inherited: bool,
}

/// Whether the step can go on.
enum Next {
    Finished,
    Later(Stage),
    /// The platform does not answer.
    Stuck(Stage),
}

struct Task {
    options: Options,
    lease: Lease,
    standing: watch::Sender<bool>,
    publisher: watch::Sender<Status>,
    status: Status,
    core: scale::Scaler,
    /// In the order in which they are sent.
    pending: Vec<Pending>,
    /// Accepted orders to load models.
    kept: Vec<Intent<Open>>,
    /// Intents made in this term.
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
        let draining = in_charge.then(|| self.core.record_demand(Time::now(), call.demand));
        let _ = call.answer.send(draining);
    }

    async fn tick(&mut self) {
        self.stand();
        match self.lease.permit() {
            None => self.leave_term(),
            Some(permit) => self.status.degraded = self.act(permit).await.is_err(),
        }
        self.status.open = self.pending.len();
        self.publish();
    }

    fn stand(&self) {
        let view = self.options.view.borrow();
        let hosts = view.eligible(&self.options.zone);
        let stands = lease::is_candidate(self.lease.name(), &self.options.host, hosts);
        self.standing.send_replace(stands);
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
        // The next holder finds the intents in the store.
        self.pending.clear();
        self.kept.clear();
        self.status.targets.clear();
    }

    /// One step of the certain holder.
    async fn act(&mut self, permit: Permit) -> Result<(), Failure> {
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
        self.sweep(&upstreams).await
    }

    /// Takes over the intents of earlier holders.
    async fn enter_term(&mut self, number: u64) -> Result<(), Failure> {
        let ledger = intent::list(&self.options.client, &self.options.zone).await?;
        self.core = scale::Scaler::new(self.options.settings);
        self.configure();
        self.sequence = 0;
        for intent in &ledger.done {
            if let Order::Engine { upstream, order: engine::Order::Load { model } } = intent.order()
            {
                self.core.mark_loaded(upstream, model);
            }
        }
        for intent in &ledger.open {
            match intent.order() {
                Order::Zone(platform::Order::Start { pool, cheap }) => {
                    self.core.adopt_start(Time::now(), pool, *cheap);
                }
                Order::Engine { upstream, order: engine::Order::Load { model } } => {
                    self.core.mark_loaded(upstream, model);
                }
                Order::Zone(platform::Order::Stop { .. }) | Order::Engine { .. } => {}
            }
        }
        let adopt = |it| Pending { stage: Stage::Opened(it), inherited: true };
        self.pending = ledger.open.into_iter().map(adopt).collect();
        self.kept = ledger.done;
        self.status.unreadable = ledger.unreadable.len();
        self.status.number = Some(number);
        info!("controller of zone {} under number {number}", self.options.zone);
        Ok(())
    }

    fn configure(&mut self) {
        let config = self.options.config.borrow();
        self.core.configure(config.pools.iter().map(Policy::new).collect());
    }

    /// Decides on orders and drafts their intents.
    fn plan(&mut self, number: u64, upstreams: &[Upstream]) {
        self.configure();
        let mut actions = Vec::new();
        self.core.step(Time::now(), upstreams, &mut actions);
        for order in actions.into_iter().filter_map(order) {
            if self.pending.iter().any(|it| *stage_order(&it.stage) == order) && is_repeat(&order) {
                continue;
            }
            let id = format!("{number}-{}", self.sequence);
            self.sequence += 1;
            let intent = Intent::new(&self.options.zone, id, order);
            self.pending.push(Pending { stage: Stage::Drafted(intent), inherited: false });
        }
        let pools = &self.options.config.borrow().pools;
        let target = |name: &String| self.core.target(name).map(|it| (name.clone(), it));
        self.status.targets = pools.iter().filter_map(|it| target(&it.name)).collect();
    }

    /// Takes every order as far as it goes.
    async fn advance(&mut self, upstreams: &[Upstream]) -> Result<(), Failure> {
        let mut rest = std::mem::take(&mut self.pending).into_iter();
        let mut engine_orders = 0;
        let mut stuck = false;
        for pending in rest.by_ref() {
            let Pending { stage, inherited } = pending;
            let is_engine = !is_zone_order(&stage);
            if is_engine && engine_orders >= ENGINE_ORDERS {
                self.pending.push(Pending { stage, inherited });
                continue;
            }
            engine_orders += usize::from(is_engine);
            match self.proceed(stage, upstreams).await {
                Next::Finished => {}
                Next::Later(stage) => self.pending.push(Pending { stage, inherited }),
                Next::Stuck(stage) => {
                    self.pending.push(Pending { stage, inherited });
                    stuck = true;
                    break;
                }
            }
        }
        self.pending.extend(rest);
        if stuck {
            Err(Failure::Unknown("the platform does not answer".to_owned()))
        } else {
            Ok(())
        }
    }

    async fn proceed(&mut self, mut stage: Stage, upstreams: &[Upstream]) -> Next {
        loop {
            stage = match stage {
                Stage::Drafted(draft) if self.permit().is_err() => {
                    return Next::Later(Stage::Drafted(draft));
                }
                Stage::Drafted(draft) => match draft.write(&self.options.client).await {
                    Ok(open) => Stage::Opened(open),
                    Err(Failure::Refused(..)) => return self.forget(&draft),
                    Err(_) => return Next::Stuck(Stage::Drafted(draft)),
                },
                Stage::Opened(open) => match self.send(&open, upstreams).await {
                    Ok(mark) => Stage::Answered(open, mark),
                    Err(Failure::Unknown(_) | Failure::Invalid(_)) if is_zone(open.order()) => {
                        return Next::Stuck(Stage::Opened(open));
                    }
                    Err(_) => return Next::Later(Stage::Opened(open)),
                },
                Stage::Answered(open, mark) => {
                    let marked = match mark {
                        Mark::Keep => open.mark_done(&self.options.client).await,
                        Mark::Remove => open.remove(&self.options.client).await,
                    };
                    return match (marked, mark) {
                        (Ok(()), Mark::Keep) => {
                            self.kept.push(open);
                            Next::Finished
                        }
                        (Ok(()), Mark::Remove) => Next::Finished,
                        (Err(_), _) => Next::Stuck(Stage::Answered(open, mark)),
                    };
                }
            };
        }
    }

    /// Gives up an intent whose id stands in the store for another order; nothing was sent.
    fn forget(&mut self, draft: &Intent<Draft>) -> Next {
        if let Order::Zone(platform::Order::Start { pool, cheap }) = draft.order() {
            self.core.start_refused(Time::now(), pool, *cheap);
        }
        self.status.refused += 1;
        Next::Finished
    }

    /// Sends an order if this host is certainly the holder, and says what becomes of its intent.
    async fn send(
        &mut self,
        intent: &Intent<Open>,
        upstreams: &[Upstream],
    ) -> Result<Mark, Failure> {
        match intent.order().clone() {
            Order::Zone(order) => self.send_to_zone(intent, order).await,
            Order::Engine { upstream, order } => {
                let Some(found) = upstreams.iter().find(|it| it.id == upstream) else {
                    return Ok(Mark::Remove);
                };
                self.send_to_engine(intent, found, order).await
            }
        }
    }

    async fn send_to_zone(
        &mut self,
        intent: &Intent<Open>,
        order: platform::Order,
    ) -> Result<Mark, Failure> {
        let permit = self.permit()?;
        let fenced = intent.fenced(self.lease.name(), permit, order.clone());
        // The connection that wrote the intent a moment ago is open, so that the bytes follow at once.
        let call = self.options.client.order(&self.options.zone, &fenced);
        let answer = timeout(permit.remaining.into(), call).await;
        let answer = answer.unwrap_or_else(|_| Err(Failure::Unknown("timeout".to_owned())));
        match (answer, order) {
            (Ok(upstream), platform::Order::Start { pool, cheap }) => {
                self.core.start_accepted(&pool, cheap, &upstream);
            }
            (Ok(_), platform::Order::Stop { .. }) => {}
            (Err(Failure::Busy(503)), platform::Order::Start { pool, cheap }) => {
                self.core.start_refused(Time::now(), &pool, cheap);
                return Ok(Mark::Remove);
            }
            (Err(failure), order) => return self.failed(failure, &order).await,
        }
        self.note(intent);
        Ok(Mark::Remove)
    }

    async fn failed(&mut self, failure: Failure, order: &platform::Order) -> Result<Mark, Failure> {
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
                    self.core.start_refused(Time::now(), pool, *cheap);
                }
                Ok(Mark::Remove)
            }
        }
    }

    async fn send_to_engine(
        &mut self,
        intent: &Intent<Open>,
        upstream: &Upstream,
        order: engine::Order,
    ) -> Result<Mark, Failure> {
        let permit = self.permit()?;
        let fenced = intent.fenced(self.lease.name(), permit, order.clone());
        match engine::send(upstream.address, &self.lease, &fenced, permit.remaining.into()).await {
            Ok(()) => {}
            Err(Failure::Refused(409, why)) => {
                self.lease.resign().await;
                return Err(Failure::Refused(409, why));
            }
            Err(Failure::Refused(status, _)) if status != 410 => {
                self.status.refused += 1;
                return Ok(Mark::Remove);
            }
            Err(failure) => return Err(failure),
        }
        self.note(intent);
        match order {
            engine::Order::Load { .. } => Ok(Mark::Keep),
            engine::Order::Unload { model } => {
                self.remove_loads(&upstream.id, &model).await?;
                Ok(Mark::Remove)
            }
            engine::Order::Role { .. } => Ok(Mark::Remove),
        }
    }

    fn permit(&self) -> Result<Permit, Failure> {
        let permit = self.lease.permit().filter(|it| Some(it.number) == self.status.number);
        permit.ok_or_else(|| Failure::Refused(410, "the lease is not held".to_owned()))
    }

    fn note(&mut self, intent: &Intent<Open>) {
        self.status.orders += 1;
        if self.status.last.len() == LAST_ORDERS {
            self.status.last.remove(0);
        }
        self.status.last.push(intent.order().clone());
    }

    /// Forgets that a model was loaded.
    async fn remove_loads(&mut self, upstream: &str, model: &str) -> Result<(), Failure> {
        let load = Order::Engine {
            upstream: upstream.to_owned(),
            order: engine::Order::Load { model: model.to_owned() },
        };
        while let Some(at) = self.kept.iter().position(|it| *it.order() == load) {
            self.kept[at].remove(&self.options.client).await?;
            self.kept.swap_remove(at);
        }
        Ok(())
    }

    /// Removes remembered orders to upstreams that no longer exist.
    async fn sweep(&mut self, upstreams: &[Upstream]) -> Result<(), Failure> {
        for _ in 0..REMOVALS {
            let gone = |it: &Intent<Open>| match it.order() {
                Order::Zone(_) => true,
                Order::Engine { upstream, .. } => !upstreams.iter().any(|it| it.id == *upstream),
            };
            let Some(at) = self.kept.iter().position(gone) else { return Ok(()) };
            self.kept[at].remove(&self.options.client).await?;
            self.kept.swap_remove(at);
        }
        Ok(())
    }
}

/// The order that carries an action out; drains are answers to the dispatchers.
fn order(action: Action) -> Option<Order> {
    let engine = |upstream, order| Some(Order::Engine { upstream, order });
    match action {
        Action::Start { pool, cheap } => Some(Order::Zone(platform::Order::Start { pool, cheap })),
        Action::Stop { upstream } => Some(Order::Zone(platform::Order::Stop { upstream })),
        Action::Drain { .. } => None,
        Action::Load { upstream, model } => engine(upstream, engine::Order::Load { model }),
        Action::Unload { upstream, model } => engine(upstream, engine::Order::Unload { model }),
    }
}

/// Whether a second order of the same content means the same as the first.
fn is_repeat(order: &Order) -> bool {
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
