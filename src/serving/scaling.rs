//! Orders of upstreams, which the leader sends to the platform.

use std::{rc::Rc, sync::Arc, time::Duration};

use tokio::{sync::watch, task, time::sleep};

use crate::{
    serving::{
        duties::{Duties, Failure, Order},
        evacuation::Zones,
        leadership::Leadership,
        registry::{Entry, State},
        table::{Pool, Scaling, Table},
        upstream_state::incarnation_id,
    },
    time::{Span, Time},
};

/// Interval between scaling steps.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum duration of one order, which the term must still cover.
const MAX_ORDER_TIME: Span = Span::from_ms(500);

/// Time after which an order that failed is sent again.
const FAILED_ORDER_INTERVAL: Span = Span::from_ms(1_500);

/// Time after which an accepted order is sent again, as the platform may have lost it.
const REPEAT_INTERVAL: Span = Span::from_ms(10_000);

/// What the leader knows of the upstreams that it orders.
#[derive(Debug, Clone)]
pub struct Capacity {
    /// Usable upstreams.
    pub upstreams: watch::Receiver<Rc<Vec<Entry>>>,
    /// Incarnations of those whose answers say that they leave, sorted.
    pub leaving: watch::Receiver<Rc<Vec<u64>>>,
    /// Evacuated availability zones, `None` while they are not known.
    pub evacuated: watch::Receiver<Option<Zones>>,
}

impl Capacity {
    /// Returns the upstreams. Those that leave are draining, whatever their entries say.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.upstreams.borrow().to_vec();
        let leaving = self.leaving.borrow();
        for entry in &mut entries {
            if leaving.binary_search(&incarnation_id(entry)).is_ok() {
                entry.state = State::Draining;
            }
        }
        entries
    }
}

/// Spawns the task on the current thread.
pub fn spawn<P: Duties>(
    duties: P,
    leadership: Leadership,
    table: watch::Receiver<Option<Arc<Table>>>,
    capacity: Capacity,
    zones: Vec<String>,
) {
    task::spawn_local(run(duties, leadership, table, capacity, zones));
}

async fn run<P: Duties>(
    duties: P,
    leadership: Leadership,
    table: watch::Receiver<Option<Arc<Table>>>,
    capacity: Capacity,
    zones: Vec<String>,
) {
    let mut scaler = Scaler::new(zones);
    let mut last_term = None;
    loop {
        sleep(STEP_INTERVAL).await;
        let Some(term) = *leadership.term.borrow() else { continue };
        if last_term != Some(term.number) {
            last_term = Some(term.number);
            scaler.forget_orders();
        }
        let Some(config) = table.borrow().clone() else { continue };
        let Some(evacuated) = capacity.evacuated.borrow().clone() else { continue };
        let entries = capacity.entries();
        for order in scaler.step(Time::now(), &config, &entries, &evacuated) {
            let held = *leadership.term.borrow();
            let number = held.and_then(|it| it.permits(Time::now(), MAX_ORDER_TIME));
            let Some(number) = number else { break };
            let result = duties.order(number, &order).await;
            match &result {
                Ok(()) => log::info!("ordered {order:?}"),
                Err(failure) => log::info!("{order:?} failed: {failure}"),
            }
            scaler.record_result(Time::now(), &order, &result);
        }
    }
}

/// The last order for a pool and kind of upstreams in a zone.
#[derive(Debug)]
struct SentOrder {
    pool: Arc<str>,
    zone: String,
    spot: bool,
    /// Ordered number of upstreams, `None` if the order failed.
    count: Option<u32>,
    /// Time at which the order is sent again even if it is unchanged.
    due: Time,
}

/// Computes the orders of each step.
#[derive(Debug)]
pub struct Scaler {
    zones: Vec<String>,
    sent_orders: Vec<SentOrder>,
    /// Sorted by pool.
    baselines: Vec<(Arc<str>, Baseline)>,
}

/// What the scaler knows of the usual load of a pool.
#[derive(Debug, Default)]
struct Baseline {
    /// Largest number of ready regular upstreams so far, which the operator sized for the usual load.
    regular: u32,
    /// Whether more regular upstreams may run than that, as an evacuation ordered them.
    is_exceeded: bool,
    /// Zones that are evacuated or have returned with upstreams that are still cold.
    absent: Vec<String>,
}

impl Baseline {
    /// Records the zones that are evacuated and the ready regular upstreams of all zones.
    fn observe(&mut self, pool: &Pool, own: &[&Entry], evacuated: &[String]) {
        self.absent.retain(|zone| {
            !evacuated.contains(zone)
                && own.iter().any(|it| *it.zone == **zone && is_cold(pool, it))
        });
        self.absent.extend_from_slice(evacuated);
        let regular = own.iter().filter(|it| !it.spot && it.state == State::Ready).count() as u32;
        self.is_exceeded = !self.absent.is_empty() || (self.is_exceeded && regular > self.regular);
        if !self.is_exceeded || self.regular == 0 {
            self.regular = self.regular.max(regular);
        }
    }
}

/// Whether an upstream does not take its share of the requests yet, as its pool names a pace for cold ones.
fn is_cold(pool: &Pool, entry: &Entry) -> bool {
    pool.cold_rate.is_some() && entry.warmup_ms > 0
}

impl Scaler {
    /// Creates a scaler for all availability zones of the system.
    pub fn new(zones: Vec<String>) -> Scaler {
        Scaler { zones, sent_orders: Vec::new(), baselines: Vec::new() }
    }

    fn forget_orders(&mut self) {
        self.sent_orders.clear();
    }

    /// Returns the orders that are due. Nothing is ordered in an evacuated zone: what runs there goes on for the time
    /// after it is taken back, and the other zones get what it served, until its upstreams are no longer cold.
    pub fn step(
        &mut self,
        now: Time,
        table: &Table,
        entries: &[Entry],
        evacuated: &Zones,
    ) -> Vec<Order> {
        self.sent_orders.retain(|it| !evacuated.contains(&it.zone));
        let mut orders = Vec::new();
        for pool in table.pools() {
            let Some(scaling) = &pool.scaling else { continue };
            let own: Vec<_> = entries.iter().filter(|it| it.pool == pool.name).collect();
            let targets = self.targets(pool, scaling, &own, evacuated);
            orders.extend(targets.into_iter().filter(|it| self.is_due(now, it, &own)));
        }
        orders
    }

    /// Computes the target number of spot and regular upstreams in each zone that is not evacuated.
    ///
    /// All spot instances of a zone can be reclaimed at once, so that the maximum is ordered in
    /// each zone and the others have enough without it. Regular upstreams cover the baseline until
    /// the spot instances are ready and no longer cold, and while too few of these are available.
    fn targets(
        &mut self,
        pool: &Pool,
        scaling: &Scaling,
        own: &[&Entry],
        evacuated: &Zones,
    ) -> Vec<Order> {
        let (closed, open): (Vec<_>, Vec<_>) =
            self.zones.iter().cloned().partition(|it| evacuated.contains(it));
        let baseline = self.baseline(pool);
        baseline.observe(pool, own, &closed);
        let (baseline, absent) = (baseline.regular, baseline.absent.clone());
        let serving: Vec<_> = open.iter().filter(|it| !absent.contains(it)).collect();
        let zones = serving.len().max(1) as u32;
        let share = baseline.div_ceil(zones).max(scaling.min);
        let spot = scaling.max;
        let serves = |it: &&&Entry| {
            it.state == State::Ready && !evacuated.contains(&it.zone) && !is_cold(pool, it)
        };
        let ready_spot = own.iter().filter(|it| it.spot).filter(serves).count() as u32;
        let mut regular = baseline.saturating_sub(ready_spot).div_ceil(zones).min(share);
        if !absent.is_empty() {
            regular = regular.min(scaling.max);
        }
        let order = |zone: &String, spot, count| Order {
            pool: pool.name.to_string(),
            zone: zone.clone(),
            spot,
            count,
        };
        let mut out: Vec<_> = open.iter().map(|it| order(it, true, spot)).collect();
        out.extend(serving.iter().map(|it| order(it, false, regular)));
        out
    }

    fn baseline(&mut self, pool: &Pool) -> &mut Baseline {
        let at = match self.baselines.binary_search_by(|it| it.0.cmp(&pool.name)) {
            Ok(found) => found,
            Err(at) => {
                self.baselines.insert(at, (pool.name.clone(), Baseline::default()));
                at
            }
        };
        &mut self.baselines[at].1
    }

    fn is_due(&self, now: Time, order: &Order, own: &[&Entry]) -> bool {
        let last_order = self
            .sent_orders
            .iter()
            .find(|it| *it.pool == *order.pool && it.zone == order.zone && it.spot == order.spot);
        match last_order {
            Some(SentOrder { count: Some(count), due, .. }) => *count != order.count || now >= *due,
            Some(SentOrder { count: None, due, .. }) => now >= *due,
            // A new leader sends no order for regular upstreams that already run.
            None => {
                let present =
                    own.iter().filter(|it| it.spot == order.spot && *it.zone == *order.zone);
                order.spot || present.count() as u32 != order.count
            }
        }
    }

    /// Records whether an order was accepted.
    pub fn record_result(&mut self, now: Time, order: &Order, result: &Result<(), Failure>) {
        self.sent_orders.retain(|it| {
            !(*it.pool == *order.pool && it.zone == order.zone && it.spot == order.spot)
        });
        let pause = if result.is_ok() { REPEAT_INTERVAL } else { FAILED_ORDER_INTERVAL };
        self.sent_orders.push(SentOrder {
            pool: order.pool.as_str().into(),
            zone: order.zone.clone(),
            spot: order.spot,
            count: result.is_ok().then_some(order.count),
            due: now + pause,
        });
    }
}
