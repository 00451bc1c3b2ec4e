//! A running host: opens every task and stops them in order.

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use eyre::{Result, WrapErr as _};
use http::StatusCode;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task,
    time::sleep,
};

use crate::{
    metrics::Metrics,
    serving::{
        buffer_memory::BufferMemory,
        caller_connection::CallerConnections,
        connection_cache::ConnectionCache,
        counted_store::{Cause, CountedStore},
        dialect::Dialect,
        dispatcher::Dispatcher,
        duties::Duties,
        exchange::Exchange,
        fleet_state::{self, Decoding, FleetState},
        handler::Handler,
        leadership::{self, Leadership},
        listener::{Listener, Stage},
        page::{Content, StatusPage},
        peers, registration,
        registry::Entry,
        retry_budget::RetryBudget,
        roster::{self, Roster},
        scaling,
        settings::Settings,
        usage::{self, Meter, Usage},
    },
    store::Store,
    time::{Span, Time, wall_ms},
};

/// Time by which a proof is taken to be older than it is, for clocks of different pace.
const PROOF_MARGIN: Span = Span::from_ms(200);

/// Questions of other hosts that may wait.
const QUEUE: usize = 256;

/// Interval between looks at idle connections to upstreams.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between log lines with the calls to the store.
const CALLS_INTERVAL: Duration = Duration::from_millis(15_000);

/// Time for the balancer to see that the host is not ready; it asks once a second and takes two misses.
const NOT_READY_NOTICE: Duration = Duration::from_millis(2_600);

/// Time from a planned stop for which requests are taken; those that come later are refused as not run, since a long one could not
/// end. The balancer sends no new connections by then.
const LAST_REQUEST_TIME: Span = Span::from_ms(3_000);

/// Time to write the last counts.
const FLUSH_TIME: Duration = Duration::from_millis(500);

/// Time kept at the end of the grace time for the process to end.
const EXIT_TIME: Duration = Duration::from_millis(900);

/// Part of a host's memory for answers that cannot be passed on yet; buffers of connections and what the host knows of the
/// fleet take 25 MB of 88 MB among 295 hosts.
const ROOM_DIVISOR: usize = 8;

/// Interval between looks at the connections that are still busy.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// What a host needs from the platform.
#[derive(Debug, Clone)]
pub struct Ports<S, D, P> {
    /// The platform's store.
    pub store: S,
    /// Headers of callers and upstreams.
    pub dialect: D,
    /// How values of the store are read.
    pub decoding: Decoding,
    /// What only the leader may do, if this system has such duties.
    pub duties: Option<P>,
}

/// Handle to a running host.
#[derive(Debug)]
pub struct Host {
    /// Bound address for callers.
    pub callers: SocketAddr,
    listener: Listener,
    readiness: StatusPage,
    metrics: Option<StatusPage>,
    draining: watch::Sender<bool>,
    /// From when requests are refused.
    reject_from: Rc<Cell<Time>>,
    grace: Duration,
    leadership: Option<Leadership>,
    usage: Option<Usage>,
}

impl Host {
    /// Opens every task on the current thread.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub async fn spawn<S: Store, D: Dialect, P: Duties>(
        settings: &Settings,
        ports: Ports<S, D, P>,
    ) -> Result<Host> {
        let (upstreams_sender, upstreams) = watch::channel(Rc::default());
        let dispatcher = Dispatcher::spawn(
            settings.host.as_str().into(),
            settings.zone.as_str().into(),
            upstreams.clone(),
        );
        // No earlier process of the host started at the same time.
        let writer = format!("{}-{}", settings.host, wall_ms());
        let meter = Meter::new(settings.usage_window, &writer);
        let listener = TcpListener::bind(settings.peers)
            .await
            .wrap_err_with(|| format!("cannot listen for other hosts on {}", settings.peers))?;
        let (calls_sender, calls) = mpsc::channel(QUEUE);
        tokio::spawn(peers::serve(listener, calls_sender));
        let metrics = Metrics::open()?;
        let store = CountedStore::new(ports.store, metrics.clone(), Cause::Registration);
        let options = fleet_state::Options {
            store: store.clone(),
            decoding: ports.decoding,
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: settings.peers,
            seeds: settings.seeds.clone(),
            upstreams: upstreams_sender,
            calls,
            meter: meter.clone(),
        };
        let fleet = fleet_state::spawn(options, dispatcher.clone());
        let links = ConnectionCache::default();
        task::spawn_local(sweep(links.clone()));
        let dialect = Rc::new(ports.dialect);
        let budget = RetryBudget::new(settings.retries);
        task::spawn_local(share(budget.clone(), fleet.roster.clone()));
        let room = BufferMemory::new(settings.memory_bytes / ROOM_DIVISOR);
        let exchange =
            Exchange::new(dialect.clone(), dispatcher, links, budget, meter.clone(), room);
        let (draining, draining_seen) = watch::channel(false);
        let reject_from = Rc::new(Cell::new(Time(u64::MAX)));
        let handler = Handler {
            dialect,
            table: fleet.table.clone(),
            keys_valid_until: proof(fleet.verified_at.clone(), settings.key_validity),
            exchange,
            connections: CallerConnections::default(),
            metrics: metrics.clone(),
            draining: draining_seen.clone(),
            reject_from: reject_from.clone(),
        };
        let listener = Listener::bind(settings.callers, Rc::new(handler))
            .await
            .wrap_err_with(|| format!("cannot listen for callers on {}", settings.callers))?;
        let readiness = bind(settings.readiness, readiness(&fleet, &draining_seen)).await?;
        task::spawn_local(tell_calls(metrics.clone()));
        let metrics = match settings.metrics {
            Some(address) => Some(bind(address, counters(metrics, &fleet)).await?),
            None => None,
        };
        log::info!("host {} serves callers on {}", settings.host, listener.address);
        let record = roster::HostRecord {
            id: settings.host.clone(),
            address: settings.peers,
            zone: settings.zone.clone(),
            cpu_per_mille: settings.cpu_per_mille,
        };
        registration::spawn(store.clone(), record, draining_seen);
        let mut host = Host {
            callers: listener.address,
            listener,
            readiness,
            metrics,
            draining,
            reject_from,
            grace: settings.grace,
            leadership: None,
            usage: None,
        };
        if let Some(duties) = ports.duties {
            host.take_duties(settings, &fleet, upstreams, &store, duties, (meter, writer));
        }
        Ok(host)
    }

    fn take_duties<S: Store, P: Duties>(
        &mut self,
        settings: &Settings,
        fleet: &FleetState,
        upstreams: watch::Receiver<Rc<Vec<Entry>>>,
        store: &CountedStore<S>,
        duties: P,
        (meter, writer): (Meter, String),
    ) {
        let leadership = leadership::spawn(leadership::Options {
            store: store.for_cause(Cause::Leadership),
            host: settings.host.clone(),
            lease: settings.lease,
            leader: fleet.leader.clone(),
            roster: fleet.roster.clone(),
        });
        let zones = settings.zones.clone();
        scaling::spawn(duties.clone(), leadership.clone(), fleet.table.clone(), upstreams, zones);
        let options = usage::Options {
            store: store.for_cause(Cause::Usage),
            duties,
            leadership: leadership.clone(),
            roster: fleet.roster.clone(),
            collects: fleet.writes_usage.clone(),
            writer,
            delay: settings.usage_delay,
        };
        self.usage = Some(usage::spawn(meter, options));
        self.leadership = Some(leadership);
    }

    /// Ends every request that can end within the grace time, then closes the connections.
    pub async fn drain(self) {
        let start = Time::now();
        log::info!("the host stops; {} connections are open", self.listener.connections.len());
        self.draining.send_replace(true);
        self.reject_from.set(start + LAST_REQUEST_TIME);
        if let Some(leadership) = &self.leadership {
            leadership.resign();
        }
        sleep(NOT_READY_NOTICE).await;
        self.listener.set_stage(Stage::Draining);
        let limit = Span((self.grace.saturating_sub(EXIT_TIME)).as_micros() as u64);
        while Time::now().since(start) < limit && !self.listener.connections.is_empty() {
            sleep(DRAIN_INTERVAL).await;
        }
        let cut = self.listener.connections.len();
        if let Some(usage) = &self.usage {
            usage.close(FLUSH_TIME).await;
        }
        self.listener.set_stage(Stage::Closed);
        self.readiness.close();
        if let Some(metrics) = &self.metrics {
            metrics.close();
        }
        log::info!("the host has stopped; {cut} connections were cut");
    }
}

async fn bind(address: SocketAddr, content: Content) -> Result<StatusPage> {
    let page = StatusPage::bind(address, content).await;
    page.wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Tells the balancer whether the host can serve.
fn readiness(fleet: &FleetState, draining: &watch::Receiver<bool>) -> Content {
    let (table, listed) = (fleet.table.clone(), fleet.upstreams_listed.clone());
    let draining = draining.clone();
    Arc::new(move || {
        if table.borrow().is_some() && *listed.borrow() && !*draining.borrow() {
            (StatusCode::OK, "ready".to_owned())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready".to_owned())
        }
    })
}

/// All counters of the host.
fn counters(metrics: Metrics, fleet: &FleetState) -> Content {
    let table = fleet.table.clone();
    Arc::new(move || {
        let version = table.borrow().as_ref().map_or(0, |it| it.version);
        metrics.revision.set(i64::try_from(version).unwrap_or(i64::MAX));
        (StatusCode::OK, metrics.render())
    })
}

/// Divides the budget of repeats among the hosts that are registered.
async fn share(budget: RetryBudget, mut roster: watch::Receiver<Rc<Roster>>) {
    loop {
        budget.set_hosts(roster.borrow_and_update().len());
        if roster.changed().await.is_err() {
            return;
        }
    }
}

/// Until when keys may be used, from when the configuration was last known to be the newest.
fn proof(mut proven: watch::Receiver<Option<Time>>, term: Option<Span>) -> watch::Receiver<Time> {
    let Some(term) = term else { return watch::channel(Time(u64::MAX)).1 };
    let (sender, receiver) = watch::channel(Time(0));
    task::spawn_local(async move {
        loop {
            if let Some(at) = *proven.borrow_and_update() {
                sender.send_replace(at + term - PROOF_MARGIN);
            }
            if proven.changed().await.is_err() {
                return;
            }
        }
    });
    receiver
}

/// States the calls to the store in the log, as these are paid for.
async fn tell_calls(metrics: Metrics) {
    loop {
        sleep(CALLS_INTERVAL).await;
        log::info!("calls to the store so far: {}", metrics.store_calls());
    }
}

async fn sweep(links: ConnectionCache) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        links.evict_expired();
    }
}
