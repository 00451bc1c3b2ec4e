//! Hosts, upstreams of the zones, orders and usage reports.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use almondrack::platform::{Fenced, Host, Order, State, Upstream};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Price of an upstream started by order, in currency units per hour.
const COST_PER_HOUR: f64 = 3.0;

/// Price of a reclaimable upstream started by order, in currency units per hour.
const CHEAP_COST_PER_HOUR: f64 = 1.0;

/// An address at which an ordered upstream can be started.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Spare {
    /// Pool of the upstream.
    pub pool: String,
    /// Zone of the upstream.
    pub zone: String,
    /// Address, IP and port.
    pub address: SocketAddr,
    /// Whether it may be reclaimed.
    #[serde(default)]
    pub cheap: bool,
}

/// A received usage report.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Report {
    pub(super) window: String,
    /// Value of `x-host`.
    pub(super) host: String,
    pub(super) lease: String,
    pub(super) number: String,
    pub(super) content: String,
    pub(super) status: u16,
}

/// Why an order was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    Late,
    Fenced(u64),
    CheapUnavailable,
    NoneLeft,
    Missing,
}

/// Switches that orders depend on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Conditions {
    pub(super) now_ms: u64,
    pub(super) fenced: bool,
    pub(super) cheap: bool,
    pub(super) start_ms: u64,
    pub(super) stop_ms: u64,
}

#[derive(Debug)]
struct Unit {
    upstream: Upstream,
    /// Wall-clock time of the next change of state, in milliseconds.
    changes_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Zone {
    units: Vec<Unit>,
    /// Upstream of each order carried out, by order id.
    orders: BTreeMap<String, String>,
    /// Highest fencing number seen, by lease.
    numbers: BTreeMap<String, u64>,
}

/// Everything the platform knows besides the store.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// Host lists with the time from which each was true, oldest first.
    hosts: VecDeque<(u64, Vec<Host>)>,
    zones: BTreeMap<String, Zone>,
    spares: Vec<Spare>,
    started: u64,
    reports: Vec<Report>,
    /// Content of each reported window.
    windows: BTreeMap<String, Bytes>,
}

impl Fleet {
    pub(super) fn set_hosts(&mut self, hosts: Vec<Host>, now_ms: u64) {
        self.hosts.push_back((now_ms, hosts));
    }

    /// The host list as it was some time ago.
    pub(super) fn hosts(&self, lag_ms: u64, now_ms: u64) -> &[Host] {
        let mut old = self.hosts.iter().rev();
        old.find(|it| it.0 + lag_ms <= now_ms).map_or(&[], |it| &it.1)
    }

    /// Zone of a host as it is now, empty if unknown.
    pub(super) fn zone_of(&self, host: &str) -> &str {
        let hosts = self.hosts(0, u64::MAX);
        hosts.iter().find(|it| it.id == host).map_or("", |it| &it.zone)
    }

    pub(super) fn set_upstreams(&mut self, zone: &str, upstreams: Vec<Upstream>, now_ms: u64) {
        let unit = |upstream: Upstream| Unit {
            changes_ms: upstream.reclaim_ms.map(|it| now_ms + it),
            upstream,
        };
        let zone = self.zones.entry(zone.to_owned()).or_default();
        zone.units = upstreams.into_iter().map(unit).collect();
    }

    pub(super) fn add_spares(&mut self, spares: Vec<Spare>) {
        self.spares.extend(spares);
    }

    /// Announces that the reclaimable upstreams of a zone go in a time.
    pub(super) fn reclaim(&mut self, zone: &str, in_ms: u64, now_ms: u64) {
        let zone = self.zones.entry(zone.to_owned()).or_default();
        for unit in zone.units.iter_mut().filter(|it| it.upstream.cheap) {
            unit.upstream.state = State::Leaving;
            unit.upstream.reclaim_ms = Some(in_ms);
            unit.changes_ms = Some(now_ms + in_ms);
        }
    }

    pub(super) fn upstreams(&mut self, zone: &str, now_ms: u64) -> Vec<Upstream> {
        self.advance(zone, now_ms);
        let units = self.zones.get(zone).map_or(&[][..], |it| &it.units);
        units.iter().map(|unit| listed(unit, now_ms)).collect()
    }

    fn advance(&mut self, zone_name: &str, now_ms: u64) {
        let Some(zone) = self.zones.get_mut(zone_name) else {
            return;
        };
        let due = |unit: &Unit| unit.changes_ms.is_some_and(|it| it <= now_ms);
        for unit in zone.units.iter_mut().filter(|it| due(it)) {
            if unit.upstream.state == State::Starting {
                unit.upstream.state = State::Running;
                unit.changes_ms = None;
            }
        }
        let (gone, left): (Vec<_>, Vec<_>) = zone.units.drain(..).partition(due);
        zone.units = left;
        self.spares.extend(gone.into_iter().map(|unit| Spare {
            pool: unit.upstream.pool,
            zone: zone_name.to_owned(),
            address: unit.upstream.address,
            cheap: unit.upstream.cheap,
        }));
    }

    /// Carries an order out once and names its upstream.
    pub(super) fn order(
        &mut self,
        zone: &str,
        order: &Fenced<Order>,
        conditions: Conditions,
    ) -> Result<String, Refusal> {
        self.advance(zone, conditions.now_ms);
        let known = self.zones.entry(zone.to_owned()).or_default();
        if let Some(upstream) = known.orders.get(&order.id) {
            return Ok(upstream.clone());
        }
        if order.deadline_ms < conditions.now_ms {
            return Err(Refusal::Late);
        }
        let highest = known.numbers.entry(order.lease.clone()).or_default();
        if conditions.fenced && order.number < *highest {
            return Err(Refusal::Fenced(*highest));
        }
        *highest = order.number.max(*highest);
        let upstream = match &order.order {
            Order::Start { pool, cheap } => self.start(zone, pool, *cheap, conditions)?,
            Order::Stop { upstream } => self.stop(zone, upstream, conditions)?,
        };
        let zone = self.zones.entry(zone.to_owned()).or_default();
        zone.orders.insert(order.id.clone(), upstream.clone());
        Ok(upstream)
    }

    fn start(
        &mut self,
        zone: &str,
        pool: &str,
        cheap: bool,
        conditions: Conditions,
    ) -> Result<String, Refusal> {
        if cheap && !conditions.cheap {
            return Err(Refusal::CheapUnavailable);
        }
        let fits = |it: &Spare| it.zone == zone && it.pool == pool && it.cheap == cheap;
        let Some(place) = self.spares.iter().position(fits) else {
            return Err(if cheap { Refusal::CheapUnavailable } else { Refusal::NoneLeft });
        };
        let spare = self.spares.remove(place);
        self.started += 1;
        let upstream = Upstream {
            id: format!("{zone}-{pool}-{}", self.started),
            pool: spare.pool,
            address: spare.address,
            state: State::Starting,
            cheap,
            cost_per_hour: if cheap { CHEAP_COST_PER_HOUR } else { COST_PER_HOUR },
            reclaim_ms: None,
        };
        let id = upstream.id.clone();
        let changes_ms = Some(conditions.now_ms + conditions.start_ms);
        self.zones.entry(zone.to_owned()).or_default().units.push(Unit { upstream, changes_ms });
        Ok(id)
    }

    fn stop(&mut self, zone: &str, id: &str, conditions: Conditions) -> Result<String, Refusal> {
        let zone = self.zones.entry(zone.to_owned()).or_default();
        let unit = zone.units.iter_mut().find(|it| it.upstream.id == id);
        let unit = unit.ok_or(Refusal::Missing)?;
        unit.upstream.state = State::Leaving;
        unit.changes_ms = Some(conditions.now_ms + conditions.stop_ms);
        Ok(id.to_owned())
    }

    /// Takes a usage report; false if the window was reported with other content.
    pub(super) fn report(&mut self, mut report: Report, content: &Bytes) -> bool {
        let first = self.windows.entry(report.window.clone()).or_insert_with(|| content.clone());
        let same = first == content;
        report.status = if same { 200 } else { 409 };
        self.reports.push(report);
        same
    }

    /// All received reports, in order.
    pub(super) fn reports(&self) -> &[Report] {
        &self.reports
    }
}

fn listed(unit: &Unit, now_ms: u64) -> Upstream {
    let mut upstream = unit.upstream.clone();
    if upstream.reclaim_ms.is_some() {
        upstream.reclaim_ms = unit.changes_ms.map(|it| it.saturating_sub(now_ms));
    }
    upstream
}
