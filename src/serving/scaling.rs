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

/// Time without a change of the list after which the upstreams of a new system have all registered.
const SETTLE_TIME: Span = Span::from_ms(1_500);

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
    cheap: bool,
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
    /// Upstreams per pool and zone when they were first seen.
    first: Vec<(Arc<str>, String, u32)>,
    /// Number of upstreams that were seen last, and since when.
    seen: (usize, Time),
}

impl Scaler {
    fn new(zones: Vec<String>) -> Scaler {
        Scaler { zones, sent: Vec::new(), first: Vec::new(), seen: (0, Time(0)) }
    }

    fn forget_orders(&mut self) {
        self.sent.clear();
    }

    fn step(&mut self, now: Time, table: &Table, entries: &[Entry]) -> Vec<Order> {
        if self.seen.0 != entries.len() {
            self.seen = (entries.len(), now);
        }
        if self.first.is_empty() && now.since(self.seen.1) < SETTLE_TIME {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for pool in table.pools() {
            let Some(scaling) = &pool.scaling else { continue };
            for zone in self.zones.clone() {
                orders.extend(self.zone(now, pool, scaling, &zone, entries));
            }
        }
        orders
    }

    fn zone(
        &mut self,
        now: Time,
        pool: &Pool,
        scaling: &Scaling,
        zone: &str,
        entries: &[Entry],
    ) -> Vec<Order> {
        let own = entries.iter().filter(|it| it.pool == pool.name && &*it.zone == zone);
        let ready = |cheap: bool| {
            own.clone().filter(|it| it.cheap == cheap && it.state == State::Ready).count() as u32
        };
        let first = match self.first.iter().find(|it| it.0 == pool.name && it.1 == zone) {
            Some(it) => it.2,
            None => {
                let count = ready(false) + ready(true);
                if count == 0 {
                    return Vec::new();
                }
                self.first.push((pool.name.clone(), zone.to_owned(), count));
                count
            }
        };
        let cheap = (first + first.div_ceil(4)).min(scaling.max);
        let regular = if ready(true) >= cheap.min(first) { 0 } else { first };
        let mut orders = Vec::new();
        for (is_cheap, count) in [(true, cheap), (false, regular)] {
            if !is_cheap && count == ready(false) && self.find(pool, zone, false).is_none() {
                continue;
            }
            let due = match self.find(pool, zone, is_cheap) {
                Some(sent) => {
                    sent.count != Some(count) && sent.count.is_some() || now >= sent.again
                }
                None => true,
            };
            if due {
                orders.push(Order {
                    pool: pool.name.to_string(),
                    zone: zone.to_owned(),
                    cheap: is_cheap,
                    count,
                });
            }
        }
        orders
    }

    fn find(&self, pool: &Pool, zone: &str, cheap: bool) -> Option<&Sent> {
        self.sent.iter().find(|it| it.pool == pool.name && it.zone == zone && it.cheap == cheap)
    }

    fn settle(&mut self, now: Time, order: &Order, result: &Result<(), Failure>) {
        self.sent.retain(|it| {
            !(*it.pool == *order.pool && it.zone == order.zone && it.cheap == order.cheap)
        });
        let pause = if result.is_ok() { REPEAT_PAUSE } else { UNAVAILABLE_PAUSE };
        self.sent.push(Sent {
            pool: order.pool.as_str().into(),
            zone: order.zone.clone(),
            cheap: order.cheap,
            count: result.is_ok().then_some(order.count),
            again: now + pause,
        });
    }
}
