//! Which upstreams the leader orders.

use std::{rc::Rc, sync::Arc, time::Duration};

use tokio::{sync::watch, task, time::sleep};

use crate::{
    serving::{
        duties::{Duties, Failure, Order},
        leadership::Leadership,
        registry::{Entry, State},
        table::{Pool, Scaling, Table},
    },
    time::{Span, Time},
};

/// Interval of the steps.
const INTERVAL: Duration = Duration::from_millis(250);

/// Longest time of one order.
const ORDER_TIME: Span = Span::from_ms(500);

/// Time after which an order that could not be met is sent again.
const UNAVAILABLE_PAUSE: Span = Span::from_ms(1_500);

/// Time after which an order is sent again although its answer came, as the platform may have lost it.
const REPEAT_PAUSE: Span = Span::from_ms(10_000);

/// Spawns the task on the current thread.
pub fn spawn<P: Duties>(
    duties: P,
    leadership: Leadership,
    table: watch::Receiver<Option<Arc<Table>>>,
    upstreams: watch::Receiver<Rc<Vec<Entry>>>,
    zones: Vec<String>,
) {
    task::spawn_local(run(duties, leadership, table, upstreams, zones));
}

async fn run<P: Duties>(
    duties: P,
    leadership: Leadership,
    table: watch::Receiver<Option<Arc<Table>>>,
    upstreams: watch::Receiver<Rc<Vec<Entry>>>,
    zones: Vec<String>,
) {
    let mut scaler = Scaler::new(zones);
    let mut led = None;
    loop {
        sleep(INTERVAL).await;
        let Some(term) = *leadership.term.borrow() else { continue };
        if led != Some(term.number) {
            led = Some(term.number);
            scaler.forget_orders();
        }
        let Some(config) = table.borrow().clone() else { continue };
        let entries = upstreams.borrow().clone();
        for order in scaler.step(Time::now(), &config, &entries) {
            let held = *leadership.term.borrow();
            let number = held.and_then(|it| it.permits(Time::now(), ORDER_TIME));
            let Some(number) = number else { break };
            let result = duties.order(number, &order).await;
            match &result {
                Ok(()) => log::info!("ordered {order:?}"),
                Err(failure) => log::info!("{order:?} is not met: {failure}"),
            }
            scaler.settle(Time::now(), &order, &result);
        }
    }
}

/// What was ordered of one pool and kind in one zone.
#[derive(Debug)]
struct Sent {
    pool: Arc<str>,
    zone: String,
    spot: bool,
    /// `None` if the last order was not met.
    count: Option<u32>,
    /// When the order is due again although nothing changed.
    again: Time,
}

/// Decides on orders.
#[derive(Debug)]
struct Scaler {
    zones: Vec<String>,
    sent: Vec<Sent>,
    /// Most upstreams of each pool that were seen to serve, which the operator sized for the usual load. Sorted by pool.
    usual: Vec<(Arc<str>, u32)>,
}

impl Scaler {
    fn new(zones: Vec<String>) -> Scaler {
        Scaler { zones, sent: Vec::new(), usual: Vec::new() }
    }

    fn forget_orders(&mut self) {
        self.sent.clear();
    }

    fn step(&mut self, now: Time, table: &Table, entries: &[Entry]) -> Vec<Order> {
        let mut orders = Vec::new();
        for pool in table.pools() {
            let Some(scaling) = &pool.scaling else { continue };
            let own: Vec<_> = entries.iter().filter(|it| it.pool == pool.name).collect();
            let wanted = self.wanted(pool, scaling, &own);
            orders.extend(wanted.into_iter().filter(|it| self.is_due(now, it, &own)));
        }
        orders
    }

    /// How many upstreams of each kind each zone should have.
    ///
    /// A zone's reclaimable upstreams can go at once, so that the other zones hold enough without them. Regular ones
    /// serve until the reclaimable ones do, and while too few of these can be had.
    fn wanted(&mut self, pool: &Pool, scaling: &Scaling, own: &[&Entry]) -> Vec<Order> {
        let ready = |spot| {
            own.iter().filter(|it| it.spot == spot && it.state == State::Ready).count() as u32
        };
        let usual = self.note_usual(pool, ready(false));
        let zones = self.zones.len().max(1) as u32;
        let share = usual.div_ceil(zones).max(scaling.min);
        let spot = scaling.max;
        let missing = usual.saturating_sub(ready(true));
        let regular = missing.div_ceil(zones).min(share);
        let order = |zone: &String, spot, count| Order {
            pool: pool.name.to_string(),
            zone: zone.clone(),
            spot,
            count,
        };
        let mut out: Vec<_> = self.zones.iter().map(|it| order(it, true, spot)).collect();
        out.extend(self.zones.iter().map(|it| order(it, false, regular)));
        out
    }

    fn note_usual(&mut self, pool: &Pool, regular: u32) -> u32 {
        match self.usual.binary_search_by(|it| it.0.cmp(&pool.name)) {
            Ok(at) => {
                let usual = &mut self.usual[at].1;
                *usual = (*usual).max(regular);
                *usual
            }
            Err(at) => {
                self.usual.insert(at, (pool.name.clone(), regular));
                regular
            }
        }
    }

    fn is_due(&self, now: Time, order: &Order, own: &[&Entry]) -> bool {
        let sent = self
            .sent
            .iter()
            .find(|it| *it.pool == *order.pool && it.zone == order.zone && it.spot == order.spot);
        match sent {
            Some(Sent { count: Some(count), again, .. }) => *count != order.count || now >= *again,
            Some(Sent { count: None, again, .. }) => now >= *again,
            // What is there already needs no order.
            None => {
                let present =
                    own.iter().filter(|it| it.spot == order.spot && *it.zone == *order.zone);
                order.spot || present.count() as u32 != order.count
            }
        }
    }

    fn settle(&mut self, now: Time, order: &Order, result: &Result<(), Failure>) {
        self.sent.retain(|it| {
            !(*it.pool == *order.pool && it.zone == order.zone && it.spot == order.spot)
        });
        let pause = if result.is_ok() { REPEAT_PAUSE } else { UNAVAILABLE_PAUSE };
        self.sent.push(Sent {
            pool: order.pool.as_str().into(),
            zone: order.zone.clone(),
            spot: order.spot,
            count: result.is_ok().then_some(order.count),
            again: now + pause,
        });
    }
}
