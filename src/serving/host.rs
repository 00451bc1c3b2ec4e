//! A running host: starts all tasks and drains them in order.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

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
        buffer_memory, caller_connection, connection_cache,
        counted_store::{self, Cause},
        dialect::Dialect,
        dialer::{Detour, Dialer},
        dispatcher::Dispatcher,
        duties::Duties,
        evacuation::Zones,
        exchange::{self, Exchange},
        fleet_state::{self, Decoding},
        handler::Handler,
        hedge, intake,
        leadership::{self, Leadership},
        limiter,
        listener::{Listener, Stage},
        messages,
        page::{self, Content},
        peers, registration, retry_budget,
        roster::{self, Roster},
        scaling,
        settings::Settings,
        stream_records,
        table::Table,
        tunnel,
        usage::{self, Meter, Usage},
    },
    store::Store,
    time::{Span, Time, wall_ms},
};

/// Margin by which a verification of the configuration expires early, for clock drift.
const VERIFY_MARGIN: Span = Span::from_ms(200);

/// Capacity of the queue of sync requests of other hosts.
const SYNC_QUEUE_CAPACITY: usize = 256;

/// Capacity of the queue of other hosts' requests for permits.
const PERMIT_QUEUE_CAPACITY: usize = 256;

/// Capacity of the queue of other hosts' evidence about crashes.
const EVIDENCE_QUEUE_CAPACITY: usize = 256;

/// Messages with reports of upstreams that wait; each member of the group sends some a second.
const REPORTS_QUEUE_CAPACITY: usize = 256;

/// Assumed upper bound of the time for which a report of evidence is on its way.
const REPORT_TIME: Span = Span::from_ms(200);

/// Interval between sweeps of idle connections to upstreams.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between log lines with the calls to the store and the bytes of sync responses.
const TRAFFIC_INTERVAL: Duration = Duration::from_millis(15_000);

/// Time for the load balancer to notice that the host is not ready. It probes once a second and
/// removes a host after two failed probes.
const UNREADY_NOTICE_TIME: Duration = Duration::from_millis(2_600);

/// Time after the start of a drain for which requests are accepted. Later ones are rejected as not
/// executed, since a long one could not finish. The load balancer opens no new connections by then.
const DRAIN_ACCEPT_TIME: Span = Span::from_ms(3_000);

/// Time-out for writing the last usage counts.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Part of the grace period that is reserved for the exit of the process.
const EXIT_TIME: Duration = Duration::from_millis(900);

/// Divisor of a host's memory that gives the share for buffered responses. Buffers of connections
/// and the state of the fleet take 25 MB of 88 MB in a fleet of 295 hosts.
const BUFFER_DIVISOR: usize = 8;

/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;

/// Share of the other descriptors that connections of callers may take, in eighths. Each
/// may need one to an upstream; the rest is for the store and other hosts.
const CALLER_EIGHTHS: usize = 3;

/// Interval between checks for open connections while the host drains.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Adapters to the platform.
#[derive(Debug, Clone)]
pub struct Ports<S, D, P> {
    /// The platform's store.
    pub store: S,
    /// Headers of callers and upstreams.
    pub dialect: D,
    /// Decoders of the store's values.
    pub decoding: Decoding,
    /// Duties of the leader, `None` if the platform has none.
    pub duties: Option<P>,
}

/// Handle to a running host.
#[derive(Debug)]
pub struct Host {
    /// Bound address for callers.
    pub callers: SocketAddr,
    listener: Listener,
    readiness: page::Page,
    metrics: Option<page::Page>,
    tunnels: Option<tunnel::Server>,
    draining: watch::Sender<bool>,
    /// Time from which requests are rejected.
    reject_from: Rc<Cell<Time>>,
    grace: Duration,
    leadership: Option<Leadership>,
    usage: Option<Usage>,
}

impl Host {
    /// Spawns all tasks on the current thread.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub async fn spawn<S: Store, D: Dialect, P: Duties>(
        settings: &Settings,
        ports: Ports<S, D, P>,
    ) -> Result<Host> {
        let metrics = Metrics::open()?;
        let (upstreams_sender, upstreams) = watch::channel(Rc::default());
        let (limiter_messages, messages) = mpsc::unbounded_channel();
        let dispatcher = Dispatcher::spawn(
            settings.host.as_str().into(),
            (settings.zone.as_str().into(), settings.features),
            upstreams.clone(),
            limiter_messages,
            metrics.clone(),
        );
        // Unique, as no two processes of a host start in the same millisecond.
        let writer = format!("{}-{}", settings.host, wall_ms());
        let meter = Meter::new(settings.usage_window, &writer);
        let listener = TcpListener::bind(settings.peers)
            .await
            .wrap_err_with(|| format!("cannot listen for other hosts on {}", settings.peers))?;
        let (calls_sender, calls) = mpsc::channel(SYNC_QUEUE_CAPACITY);
        let (permits_sender, permits) = mpsc::channel(PERMIT_QUEUE_CAPACITY);
        let (reports_sender, reports) = mpsc::channel(REPORTS_QUEUE_CAPACITY);
        let (evidence_sender, evidence) = mpsc::channel(EVIDENCE_QUEUE_CAPACITY);
        task::spawn_local(merge_evidence(evidence, dispatcher.clone()));
        let mailboxes = peers::Mailboxes {
            calls: calls_sender,
            permits: permits_sender,
            evidence: evidence_sender,
            reports: reports_sender,
        };
        tokio::spawn(peers::serve(listener, mailboxes));
        let store = counted_store::Counted::new(ports.store, metrics.clone(), Cause::Registration);
        let options = fleet_state::Options {
            store: store.clone(),
            decoding: ports.decoding,
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: settings.peers,
            seeds: settings.seeds.clone(),
            upstreams: upstreams_sender,
            calls,
            reports,
            link_mbps: settings.link_mbps,
            meter: meter.clone(),
            metrics: metrics.clone(),
        };
        let fleet = fleet_state::spawn(options, dispatcher.clone());
        limiter::spawn(limiter::Options {
            host: settings.host.clone(),
            roster: fleet.roster.clone(),
            verified_at: fleet.verified_at.clone(),
            messages,
            calls: permits,
            dispatcher: dispatcher.clone(),
            metrics: metrics.clone(),
        });
        let capacity = scaling::Capacity {
            upstreams,
            leaving: dispatcher.leaving.clone(),
            evacuated: fleet.evacuated.clone(),
        };
        task::spawn_local(pass_cold_rates(fleet.table.clone(), dispatcher.clone()));
        let dialer = Rc::new(Dialer::new(Some(Detour {
            tunnels: tunnel::Client::new(
                &settings.host,
                &settings.zone,
                fleet.roster.clone(),
                metrics.clone(),
            ),
            upstreams: capacity.upstreams.clone(),
            metrics: metrics.clone(),
        })));
        let links = connection_cache::Cache::new(dialer.clone());
        task::spawn_local(sweep(links.clone()));
        let dialect = Rc::new(ports.dialect);
        let budget = retry_budget::Budget::new(settings.retries);
        task::spawn_local(divide_retry_budget(budget.clone(), fleet.roster.clone()));
        let room = buffer_memory::Memory::new(settings.memory_bytes / BUFFER_DIVISOR);
        let (records, lookups) = stream_records::Records::open(fleet.upstreams_verified.clone());
        let options = stream_records::Options {
            store: store.for_cause(Cause::Streams),
            writer: writer.clone(),
            upstreams: capacity.upstreams.clone(),
            table: fleet.table.clone(),
            roster: fleet.roster.clone(),
        };
        stream_records::spawn(options, lookups);
        let (draining, draining_seen) = watch::channel(false);
        let tunnels = match settings.tunnels {
            Some(address) => {
                let options = tunnel::Options {
                    upstreams: capacity.upstreams.clone(),
                    leaving: capacity.leaving.clone(),
                    dialer,
                    memory_bytes: settings.memory_bytes,
                    sockets: settings.descriptors.saturating_sub(FILE_DESCRIPTORS),
                    draining: draining_seen.clone(),
                    metrics: metrics.clone(),
                };
                let server = tunnel::Server::bind(address, options).await;
                Some(server.wrap_err_with(|| format!("cannot listen for tunnels on {address}"))?)
            }
            None => None,
        };
        let exchange = Exchange::new(exchange::Parts {
            dialect: dialect.clone(),
            dispatcher,
            records,
            upstreams_verified: fleet.upstreams_verified.clone(),
            connections: links,
            retry_budget: budget,
            meter: meter.clone(),
            buffer_memory: room,
            metrics: metrics.clone(),
            hedger: RefCell::new(hedge::Hedger::new(settings.hedge_share)),
            draining: draining_seen.clone(),
        });
        let reject_from = Rc::new(Cell::new(Time(u64::MAX)));
        let handler = Handler {
            dialect,
            table: fleet.table.clone(),
            keys_valid_until: expiry(
                fleet.verified_at.clone(),
                settings.key_validity.map(|it| Span(it.0.saturating_sub(VERIFY_MARGIN.0))),
            ),
            current_until: expiry(fleet.verified_at.clone(), settings.configuration),
            exchange,
            connections: caller_connection::Connections::new(
                room_for_callers(settings),
                metrics.clone(),
            ),
            metrics: metrics.clone(),
            draining: draining_seen.clone(),
            reject_from: reject_from.clone(),
        };
        let listener = Listener::bind(settings.callers, Rc::new(handler))
            .await
            .wrap_err_with(|| format!("cannot listen for callers on {}", settings.callers))?;
        let readiness = bind(settings.readiness, readiness_content(&fleet, &draining_seen)).await?;
        task::spawn_local(log_traffic(metrics.clone()));
        let metrics = match settings.metrics {
            Some(address) => Some(bind(address, metrics_content(metrics, &fleet)).await?),
            None => None,
        };
        log::info!("host {} accepts callers on {}", settings.host, listener.address);
        let record = roster::Host {
            id: settings.host.clone(),
            address: settings.peers,
            zone: settings.zone.clone(),
            cpu_per_mille: settings.cpu_per_mille,
            selects_pool_by_id: true,
            tunnels: settings.tunnels,
        };
        registration::spawn(store.clone(), record, draining_seen);
        let mut host = Host {
            callers: listener.address,
            listener,
            readiness,
            metrics,
            tunnels,
            draining,
            reject_from,
            grace: settings.grace,
            leadership: None,
            usage: None,
        };
        if let Some(duties) = ports.duties {
            host.spawn_leader_tasks(settings, &fleet, capacity, &store, duties, (meter, writer));
        }
        Ok(host)
    }

    fn spawn_leader_tasks<S: Store, P: Duties>(
        &mut self,
        settings: &Settings,
        fleet: &fleet_state::Handle,
        capacity: scaling::Capacity,
        store: &counted_store::Counted<S>,
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
        scaling::spawn(duties.clone(), leadership.clone(), fleet.table.clone(), capacity, zones);
        let options = usage::Options {
            store: store.for_cause(Cause::Usage),
            duties,
            leadership: leadership.clone(),
            roster: fleet.roster.clone(),
            writes_usage: fleet.writes_usage.clone(),
            writer,
            delay: settings.usage_delay,
        };
        self.usage = Some(usage::spawn(meter, options));
        self.leadership = Some(leadership);
    }

    /// Waits within the grace period for requests to finish, then closes all connections.
    pub async fn drain(self) {
        let start = Time::now();
        log::info!("host is draining; {} connections are open", self.listener.connections.len());
        self.draining.send_replace(true);
        self.reject_from.set(start + DRAIN_ACCEPT_TIME);
        if let Some(leadership) = &self.leadership {
            leadership.resign();
        }
        sleep(UNREADY_NOTICE_TIME).await;
        self.listener.set_stage(Stage::Draining);
        let limit = Span((self.grace.saturating_sub(EXIT_TIME)).as_micros() as u64);
        self.wait_for_connections(start + limit).await;
        // The counts are written only once, so that no further request may run.
        self.reject_from.set(Time::now().min(self.reject_from.get()));
        if let Some(usage) = &self.usage {
            usage.close(FLUSH_TIMEOUT).await;
        }
        // Connections that were accepted meanwhile still get their refusals.
        self.wait_for_connections(start + limit).await;
        let aborted = self.listener.connections.len();
        self.listener.set_stage(Stage::Closed);
        self.readiness.close();
        if let Some(metrics) = &self.metrics {
            metrics.close();
        }
        log::info!("host has stopped; {aborted} connections were aborted");
    }

    /// Waits until no caller's connection and no tunnel is open, at most until `end`.
    async fn wait_for_connections(&self, end: Time) {
        let has_tunnels = || self.tunnels.as_ref().is_some_and(|it| !it.is_empty());
        while Time::now() < end && (!self.listener.connections.is_empty() || has_tunnels()) {
            sleep(DRAIN_INTERVAL).await;
        }
    }
}

async fn bind(address: SocketAddr, content: Content) -> Result<page::Page> {
    let page = page::Page::bind(address, content).await;
    page.wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Content of the page that the load balancer probes. Ready once the configuration, the evacuated zones and
/// the upstreams have been received, and until the host drains.
fn readiness_content(fleet: &fleet_state::Handle, draining: &watch::Receiver<bool>) -> Content {
    let (table, listed) = (fleet.table.clone(), fleet.upstreams_listed.clone());
    let evacuated = fleet.evacuated.clone();
    let draining = draining.clone();
    Arc::new(move || {
        let is_known = table.borrow().is_some() && *listed.borrow() && evacuated.borrow().is_some();
        if is_known && !*draining.borrow() {
            (StatusCode::OK, "ready".to_owned())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready".to_owned())
        }
    })
}

/// Room for callers: their connections stay below the descriptors and the memory of the host.
fn room_for_callers(settings: &Settings) -> intake::Room {
    let sockets = settings.descriptors.saturating_sub(FILE_DESCRIPTORS);
    let by_descriptors = sockets / 8 * CALLER_EIGHTHS;
    intake::Room::of_host(settings.memory_bytes, by_descriptors)
}

/// Content of the metrics page.
fn metrics_content(metrics: Metrics, fleet: &fleet_state::Handle) -> Content {
    let (table, evacuated) = (fleet.table.clone(), fleet.evacuated.clone());
    Arc::new(move || {
        let zones = evacuated.borrow().as_ref().map_or(0, Zones::len);
        metrics.evacuated_zones.set(zones as i64);
        let version = table.borrow().as_ref().map_or(0, |it| it.version);
        metrics.revision.set(i64::try_from(version).unwrap_or(i64::MAX));
        (StatusCode::OK, metrics.render())
    })
}

/// Passes on at which rates the upstreams of each pool take requests while they are cold.
async fn pass_cold_rates(mut table: watch::Receiver<Option<Arc<Table>>>, dispatcher: Dispatcher) {
    loop {
        if let Some(table) = &*table.borrow_and_update() {
            let rates =
                table.pools().iter().filter_map(|it| Some((it.name.clone(), it.cold_rate?)));
            dispatcher.set_cold_rates(rates.collect());
        }
        if table.changed().await.is_err() {
            return;
        }
    }
}

/// Passes on evidence about crashes that other hosts report.
async fn merge_evidence(mut evidence: mpsc::Receiver<messages::Evidence>, dispatcher: Dispatcher) {
    while let Some(news) = evidence.recv().await {
        dispatcher.merge_evidence(Time::now() - REPORT_TIME, news);
    }
}

/// Divides the retry budget by the number of registered hosts.
async fn divide_retry_budget(
    budget: retry_budget::Budget,
    mut roster: watch::Receiver<Rc<Roster>>,
) {
    loop {
        budget.set_hosts(roster.borrow_and_update().len());
        if roster.changed().await.is_err() {
            return;
        }
    }
}

/// Publishes the time that is `term` after the configuration was last verified, or no limit if there is no term.
fn expiry(
    mut verified_at: watch::Receiver<Option<Time>>,
    term: Option<Span>,
) -> watch::Receiver<Time> {
    let Some(term) = term else { return watch::channel(Time(u64::MAX)).1 };
    let (sender, receiver) = watch::channel(Time(0));
    task::spawn_local(async move {
        loop {
            if let Some(at) = *verified_at.borrow_and_update() {
                sender.send_replace(at + term);
            }
            if verified_at.changed().await.is_err() {
                return;
            }
        }
    });
    receiver
}

/// Logs the counts of calls to the store and the bytes of sync responses at intervals. Each call is charged, and the bytes
/// take a part of a link that requests need.
async fn log_traffic(metrics: Metrics) {
    loop {
        sleep(TRAFFIC_INTERVAL).await;
        log::info!("calls to the store so far: {}", metrics.store_calls());
        log::info!("bytes of sync responses so far: {}", metrics.sync_bytes());
    }
}

async fn sweep(links: connection_cache::Cache) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        links.evict_expired();
    }
}
