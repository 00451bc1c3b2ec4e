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
        exchange::Exchange,
        handler::Handler,
        knowledge::{self, Decoding, Knowledge},
        links::Links,
        listener::{Listener, Stage},
        readiness::Readiness,
        settings::Settings,
    },
    store::Store,
    time::{Span, Time},
};

/// Time by which a proof is taken to be older than it is, for clocks of different pace.
const PROOF_MARGIN: Span = Span::from_ms(200);

/// Interval between looks at idle connections to upstreams.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time for the balancer to see that the host is not ready; it asks once a second and takes two misses.
const NOT_READY_NOTICE: Duration = Duration::from_millis(2_600);

/// Time kept at the end of the grace time for the process to end.
const EXIT_TIME: Duration = Duration::from_millis(500);

/// Interval between looks at the connections that are still busy.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// What a host needs from the platform.
#[derive(Debug, Clone)]
pub struct Ports<S, D> {
    /// The platform's store.
    pub store: S,
    /// Headers of callers and upstreams.
    pub dialect: D,
    /// How values of the store are read.
    pub decoding: Decoding,
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
}

impl Host {
    /// Opens every task on the current thread.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub async fn spawn<S: Store, D: Dialect>(
        settings: &Settings,
        ports: Ports<S, D>,
    ) -> Result<Host> {
        let knowledge = knowledge::spawn(ports.store.clone(), ports.decoding);
        let dispatcher =
            Dispatcher::spawn(settings.zone.as_str().into(), knowledge.upstreams.clone());
        let links = Links::default();
        task::spawn_local(sweep(links.clone()));
        let dialect = Rc::new(ports.dialect);
        let budget = Budget::new(settings.retries, HOSTS);
        let exchange = Exchange::new(dialect.clone(), dispatcher, links, budget);
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
        let callers = listener.address;
        Ok(Host { callers, listener, readiness, draining, grace: settings.grace })
    }

    /// Ends every request that can end within the grace time, then closes the connections.
    pub async fn drain(self) {
        let start = Time::now();
        log::info!("the host stops; {} connections are open", self.listener.connections.len());
        self.draining.send_replace(true);
        sleep(NOT_READY_NOTICE).await;
        self.listener.enter(Stage::Draining);
        let limit = Span((self.grace.saturating_sub(EXIT_TIME)).as_micros() as u64);
        while Time::now().since(start) < limit && !self.listener.connections.is_empty() {
            sleep(DRAIN_INTERVAL).await;
        }
        let cut = self.listener.connections.len();
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
