//! A running host: opens every task and stops them in order.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use eyre::{Result, WrapErr as _};
use tokio::{sync::watch, task, time::sleep};

use crate::{
    serving::{
        budget::Budget,
        connection::Connections,
        dialect::Dialect,
        dispatcher::Dispatcher,
        duties::Duties,
        exchange::Exchange,
        handler::Handler,
        knowledge::{self, Decoding, Knowledge},
        leadership::{self, Leadership},
        links::Links,
        listener::{Listener, Stage},
        readiness::Readiness,
        scaling,
        settings::Settings,
        usage::{self, Meter, Usage},
    },
    store::Store,
    time::{Span, Time, wall_ms},
};

/// Time by which a proof is taken to be older than it is, for clocks of different pace.
const PROOF_MARGIN: Span = Span::from_ms(200);

/// Interval between looks at idle connections to upstreams.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time for the balancer to see that the host is not ready; it asks once a second and takes two misses.
const NOT_READY_NOTICE: Duration = Duration::from_millis(2_600);

/// Time to write the last counts.
const FLUSH_TIME: Duration = Duration::from_millis(500);

/// Time kept at the end of the grace time for the process to end.
const EXIT_TIME: Duration = Duration::from_millis(900);

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
    readiness: Readiness,
    draining: watch::Sender<bool>,
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
        let knowledge = knowledge::spawn(ports.store.clone(), ports.decoding);
        let dispatcher =
            Dispatcher::spawn(settings.zone.as_str().into(), knowledge.upstreams.clone());
        let links = Links::default();
        task::spawn_local(sweep(links.clone()));
        let dialect = Rc::new(ports.dialect);
        let budget = Budget::new(settings.retries, HOSTS);
        let meter = Meter::new(settings.usage_window);
        let exchange = Exchange::new(dialect.clone(), dispatcher, links, budget, meter.clone());
        let (draining, draining_seen) = watch::channel(false);
        let handler = Handler {
            dialect,
            table: knowledge.table.clone(),
            proven_until: proof(&knowledge, settings.key_proof),
            exchange,
            connections: Connections::default(),
            draining: draining_seen.clone(),
        };
        let listener = Listener::bind(settings.callers, Rc::new(handler))
            .await
            .wrap_err_with(|| format!("cannot listen for callers on {}", settings.callers))?;
        let readiness = Readiness::bind(settings.readiness, &knowledge, draining_seen)
            .await
            .wrap_err_with(|| format!("cannot listen on {}", settings.readiness))?;
        log::info!("host {} serves callers on {}", settings.host, listener.address);
        let mut host = Host {
            callers: listener.address,
            listener,
            readiness,
            draining,
            grace: settings.grace,
            leadership: None,
            usage: None,
        };
        if let Some(duties) = ports.duties {
            host.take_duties(settings, &knowledge, ports.store, duties, meter);
        }
        Ok(host)
    }

    fn take_duties<S: Store, P: Duties>(
        &mut self,
        settings: &Settings,
        knowledge: &Knowledge,
        store: S,
        duties: P,
        meter: Meter,
    ) {
        let leadership = leadership::spawn(store.clone(), &settings.host, settings.lease);
        scaling::spawn(
            duties.clone(),
            leadership.clone(),
            knowledge.table.clone(),
            knowledge.upstreams.clone(),
            settings.zones.clone(),
        );
        let options = usage::Options {
            store,
            duties,
            leadership: leadership.clone(),
            writer: format!("{}-{}", settings.host, wall_ms()),
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
        if let Some(leadership) = &self.leadership {
            leadership.resign();
        }
        sleep(NOT_READY_NOTICE).await;
        self.listener.enter(Stage::Draining);
        let limit = Span((self.grace.saturating_sub(EXIT_TIME)).as_micros() as u64);
        while Time::now().since(start) < limit && !self.listener.connections.is_empty() {
            sleep(DRAIN_INTERVAL).await;
        }
        let cut = self.listener.connections.len();
        if let Some(usage) = &self.usage {
            usage.close(FLUSH_TIME).await;
        }
        self.listener.enter(Stage::Closed);
        self.readiness.close();
        log::info!("the host has stopped; {cut} connections were cut");
    }
}

/// Hosts that share the budgets, until they are counted.
const HOSTS: f64 = 9.0;

/// Until when keys may be used, from when the configuration was last known to be the newest.
fn proof(knowledge: &Knowledge, term: Option<Span>) -> watch::Receiver<Time> {
    let Some(term) = term else { return watch::channel(Time(u64::MAX)).1 };
    let (sender, receiver) = watch::channel(Time(0));
    let mut proven = knowledge.proven.clone();
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

async fn sweep(links: Links) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        links.sweep();
    }
}
