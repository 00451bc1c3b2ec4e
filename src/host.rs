//! A running host: opens every task and stops them in order.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use eyre::{Result, WrapErr as _};
use serde_json::json;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
};
use tokio_util::task::TaskTracker;

use crate::{
    admin::{self, Admin, Section},
    aggregator::{self, Aggregator},
    attempts::{self, Attempts},
    body, claim,
    config::Snapshot,
    controller::{self, Controller},
    dispatch_client, dispatchers,
    entry::{self, Entry},
    fleet,
    gossip::{self, Directory},
    lease, limits,
    member::{Member, Presence, State, View},
    metrics::Metrics,
    pages,
    peer::{self, Peers},
    platform,
    reporter::{self, Reporter},
    scale,
    settings::Settings,
    time::{Span, wall_ms},
    usage::{self, Usage},
    watcher::{self, Watcher},
    window,
};

/// Calls of peers that may wait at one task.
const QUEUE: usize = 16_384;

/// Time for the balancer to see that the host is not ready, before it refuses requests.
const NOT_READY_NOTICE: Duration = Duration::from_millis(500);

/// Time for answers that have ended to leave the sockets.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for what was counted to be written, or to be held by a peer.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for a role to be given up at a planned stop.
const RESIGN_TIMEOUT: Duration = Duration::from_secs(3);

/// Memory that the bodies of callers' requests share, in bytes: four of the largest ones.
const CALLERS_BODY_BYTES: usize = 32 << 20;

/// Interval of the steps of the zone controller and of the usage reporter.
const ROLE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of the passes over claims of idempotency keys.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Usage intervals from a window's end to its sealing, for batches on their way.
const GRACE_INTERVALS: u64 = 3;

/// Windows for which the counted numbers of a silent incarnation are kept.
const RETAINED_WINDOWS: u64 = 12;

/// Handle to a running host.
#[derive(Debug)]
pub struct Host {
    /// Bound address for callers.
    pub callers: SocketAddr,
    /// Bound address for peers.
    pub peers: SocketAddr,
    /// Bound administration address.
    pub admin: SocketAddr,
    /// Counters.
    pub metrics: Metrics,
    entry: Entry,
    draining: watch::Sender<bool>,
    ready: watch::Sender<bool>,
    tracker: TaskTracker,
    drain_timeout: Duration,
    directory: Directory,
    usage: Usage,
    aggregator: Aggregator,
    controller: Controller,
    reporter: Reporter,
    drain_asked: watch::Receiver<bool>,
    server: JoinHandle<()>,
    _admin: Admin,
    _watcher: Watcher,
}

impl Host {
    /// Opens every task of a host and waits until it has joined the others and has the configuration.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub async fn spawn(settings: Settings) -> Result<Host> {
        let metrics = Metrics::open()?;
        let listener = TcpListener::bind(settings.peers)
            .await
            .wrap_err_with(|| format!("cannot listen for peers on {}", settings.peers))?;
        let peer_address = listener.local_addr()?;
        let platform = platform::Client::open(settings.platform, &settings.host);
        let peers = Peers::spawn();
        let (mailboxes, calls) = peer::mailboxes(QUEUE);
        let local = mailboxes.dispatch.clone();
        let server = tokio::spawn(peer::serve(listener, mailboxes));

        let (revision, revisions) = watch::channel(0);
        let (quarantine, quarantines) = mpsc::channel(QUEUE);
        let (quarantined_sender, quarantined) = mpsc::channel(QUEUE);
        let directory = gossip::spawn(gossip::Options {
            own: own_member(&settings, peer_address),
            seeds: Vec::new(),
            platform: platform.clone(),
            peers: peers.clone(),
            inbound: calls.members,
            revision: revisions,
            quarantine: quarantines,
            quarantined: quarantined_sender,
        });
        let watcher = watcher::spawn(watcher::Options {
            platform: platform.clone(),
            peers: peers.clone(),
            view: directory.view.clone(),
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            mailbox: calls.config,
        });
        let snapshot = watcher.snapshot.clone();
        tokio::spawn(publish_revision(snapshot.clone(), revision, metrics.clone()));
        directory.joined().await;
        let incarnation = directory.own.borrow().incarnation;
        let view = directory.view.clone();

        tokio::spawn(share_budgets(platform.clone(), settings.zone.clone(), view.clone()));

        let (dispatching, dispatching_seen) = watch::channel(false);
        let fleet = fleet::spawn(platform.clone(), settings.zone.clone(), dispatching_seen);
        let aggregator = aggregator::spawn(aggregator::Options {
            client: platform.clone(),
            peers: peers.clone(),
            view: view.clone(),
            fleet: fleet.clone(),
            inbound: calls.tally,
            zone: settings.zone.clone(),
            host: settings.host.clone(),
            incarnation,
        });
        dispatchers::spawn(dispatchers::Options {
            host: settings.host.clone(),
            incarnation,
            zone: settings.zone.clone(),
            snapshot: snapshot.clone(),
            view: view.clone(),
            fleet,
            dispatching,
            peers: peers.clone(),
            quarantine,
            quarantined,
            presence: directory.presence.clone(),
            calls: calls.dispatch,
        });
        let dispatchers = dispatch_client::Client {
            host: settings.host.as_str().into(),
            view: view.clone(),
            peers: peers.clone(),
            local,
        };
        let attempts = Attempts::spawn(attempts::Options {
            dispatchers: dispatchers.clone(),
            snapshot: snapshot.clone(),
            calls: calls.attempts,
        });
        limits::spawn(limits::Options {
            zone: settings.zone.clone(),
            snapshot: snapshot.clone(),
            view: view.clone(),
            calls: calls.limits,
        });
        let admissions = limits::Admissions::spawn(
            &settings.zone,
            &settings.host,
            incarnation,
            peers.clone(),
            view.clone(),
        );
        let usage = usage::spawn(usage::Options {
            client: platform.clone(),
            peers,
            view: view.clone(),
            inbound: calls.usage,
            zone: settings.zone.clone(),
            host: settings.host.clone(),
            incarnation,
            cut: settings.usage_interval,
            merge: settings.usage_interval,
        });
        let controller = controller::spawn(controller::Options {
            client: platform.clone(),
            zone: settings.zone.clone(),
            host: settings.host.clone(),
            incarnation,
            timing: terms(&settings),
            interval: ROLE_INTERVAL,
            settings: scale::Settings::default(),
            config: snapshot.clone(),
            view: view.clone(),
        });
        tokio::spawn(forward(calls.controller, controller.mailbox.clone()));
        let reporter = reporter::spawn(reporter::Options {
            client: platform.clone(),
            host: settings.host.clone(),
            incarnation,
            terms: terms(&settings),
            windows: window::Terms {
                window_ms: settings.usage_window.as_millis() as u64,
                retained: RETAINED_WINDOWS,
            },
            grace_ms: GRACE_INTERVALS * settings.usage_interval.as_millis() as u64,
            interval: ROLE_INTERVAL,
            view: view.clone(),
        });

        tokio::spawn(sweep_claims(platform.clone(), reporter.status.clone()));
        let (ready, ready_seen) = watch::channel(false);
        let rendered = metrics.clone();
        let (drain, drain_asked) = watch::channel(false);
        let pages = pages::pages(&pages::Options {
            platform: platform.clone(),
            snapshot: snapshot.clone(),
            view: view.clone(),
            host: settings.host.clone(),
            window_ms: settings.usage_window.as_millis() as u64,
            drain,
        });
        let admin = admin::bind(admin::Options {
            listen: settings.admin,
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            platform: platform.clone(),
            snapshot: snapshot.clone(),
            content: watcher.content.clone(),
            watcher: watcher.status.clone(),
            view,
            ready: ready_seen,
            bootstrap_digest: settings.bootstrap_digest,
            sections: sections(&directory, &usage, &controller, &reporter, &aggregator),
            pages,
            metrics: Arc::new(move || rendered.render()),
        })
        .wrap_err_with(|| format!("cannot listen for operators on {}", settings.admin))?;

        let mut status = watcher.status.clone();
        status.wait_for(|it| it.serving).await?;
        let (draining, draining_seen) = watch::channel(false);
        let tracker = TaskTracker::new();
        let options = entry::Options {
            host: settings.host.as_str().into(),
            incarnation,
            zone: settings.zone.as_str().into(),
            snapshot,
            dispatchers,
            attempts,
            draining: draining_seen,
            tracker: tracker.clone(),
            metrics: metrics.clone(),
            served: usage.served.clone(),
            admissions,
            platform: platform.clone(),
            ended: aggregator.ended.clone(),
            read_timeout: settings.read_timeout,
            bodies: body::Room::new(CALLERS_BODY_BYTES),
            idle_timeout: settings.idle_timeout,
            connect_timeout: settings.connect_timeout,
            numbers: Arc::new(AtomicU64::new(1)),
        };
        let entry = Entry::bind(settings.callers, settings.workers, options)
            .wrap_err_with(|| format!("cannot listen for callers on {}", settings.callers))?;
        ready.send_replace(true);
        log::info!("host {} serves callers on {}", settings.host, entry.address);
        Ok(Host {
            callers: entry.address,
            peers: peer_address,
            admin: admin.address(),
            metrics,
            entry,
            draining,
            ready,
            tracker,
            drain_timeout: settings.drain_timeout,
            directory,
            usage,
            aggregator,
            controller,
            reporter,
            drain_asked,
            server,
            _admin: admin,
            _watcher: watcher,
        })
    }

    /// Waits until another process has taken this host's id.
    pub async fn replaced(&self) {
        let mut presence = self.directory.presence.clone();
        let replaced = presence.wait_for(|it| *it == Presence::Replaced).await.is_ok();
        if !replaced {
            std::future::pending().await
        }
    }

    /// Waits until an operator tells the host to drain.
    pub async fn drain_asked(&self) {
        let mut asked = self.drain_asked.clone();
        if asked.wait_for(|it| *it).await.is_err() {
            std::future::pending().await
        }
    }

    /// Stops the host after its requests have ended, or after the drain timeout. True if all ended.
    pub async fn drain(self) -> bool {
        log::info!("draining");
        self.ready.send_replace(false);
        self.directory.leave().await;
        let resigning = async {
            tokio::join!(self.controller.stop(), self.reporter.stop());
        };
        let _ = tokio::time::timeout(RESIGN_TIMEOUT, resigning).await;
        tokio::time::sleep(NOT_READY_NOTICE).await;
        self.draining.send_replace(true);
        self.tracker.close();
        let ended = tokio::time::timeout(self.drain_timeout, self.tracker.wait()).await.is_ok();
        self.entry.stop();
        let flushing = async {
            tokio::join!(self.usage.flush(), self.aggregator.flush());
        };
        let flushing = tokio::time::timeout(FLUSH_TIMEOUT, flushing);
        let _ = tokio::join!(flushing, tokio::time::sleep(SEND_TIMEOUT));
        self.directory.depart().await;
        self.server.abort();
        log::info!("drained, all requests ended: {ended}");
        ended
    }
}

fn own_member(settings: &Settings, peer: SocketAddr) -> Member {
    Member {
        id: settings.host.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer,
        admin: settings.admin,
        incarnation: wall_ms(),
        version: 0,
        state: State::Alive,
    }
}

fn terms(settings: &Settings) -> lease::Timing {
    lease::Timing::new(Span::from_ms(settings.lease_ttl.as_millis() as u64))
}

/// Members of the status beside the configuration.
fn sections(
    directory: &Directory,
    usage: &Usage,
    controller: &Controller,
    reporter: &Reporter,
    aggregator: &Aggregator,
) -> Vec<Section> {
    let (presence, gossip) = (directory.presence.clone(), directory.counters.clone());
    let (usage, controller) = (usage.status.clone(), controller.status.clone());
    let (reporter, aggregator) = (reporter.status.clone(), aggregator.status.clone());
    vec![
        section("presence", move || json!(format!("{:?}", *presence.borrow()).to_lowercase())),
        section("gossip", move || {
            let it = *gossip.borrow();
            json!({
                "sent": it.sent, "sent_bytes": it.sent_bytes, "received": it.received,
                "received_bytes": it.received_bytes, "failed": it.failed, "listed": it.listed,
                "stalled": it.stalled,
            })
        }),
        section("usage", move || {
            let it = usage.borrow();
            json!({
                "unwritten": it.unwritten, "held": it.held, "batches": it.batches,
                "records": it.records, "refused": it.refused, "degraded": it.degraded,
            })
        }),
        section("burn", move || {
            let it = aggregator.borrow();
            json!({
                "unwritten": it.unwritten, "given_up": it.given_up, "writes": it.writes,
                "degraded": it.degraded,
            })
        }),
        section("controller", move || {
            let it = controller.borrow();
            json!({
                "number": it.number, "degraded": it.degraded, "orders": it.orders,
                "open": it.open, "refused": it.refused, "unreadable": it.unreadable,
                "targets": it.targets,
            })
        }),
        section("reporter", move || {
            let it = reporter.borrow();
            json!({
                "number": it.number, "sealed": it.sealed, "reported": it.reported,
                "conflicts": it.conflicts, "unreadable": it.unreadable, "degraded": it.degraded,
            })
        }),
    ]
}

fn section(
    name: &'static str,
    value: impl Fn() -> serde_json::Value + Send + Sync + 'static,
) -> Section {
    Section { name, value: Arc::new(value) }
}

/// Deletes expired claims while this host is the usage reporter, so that one host at a time does it.
async fn sweep_claims(store: platform::Client, reporter: watch::Receiver<reporter::Status>) {
    let mut after = String::new();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        if reporter.has_changed().is_err() {
            return;
        }
        if reporter.borrow().number.is_none() {
            continue;
        }
        after = claim::sweep(&store, &after, wall_ms()).await.unwrap_or_default();
    }
}

/// Shares the zone's budgets of calls to the platform between the hosts of the zone.
async fn share_budgets(
    platform: platform::Client,
    zone: String,
    mut view: watch::Receiver<Arc<View>>,
) {
    loop {
        let hosts = view.borrow_and_update().eligible(&zone).count();
        platform.set_zone_hosts(hosts.max(1)).await;
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Passes on the revision in force.
async fn publish_revision(
    mut snapshot: watch::Receiver<Arc<Snapshot>>,
    revision: watch::Sender<u64>,
    metrics: Metrics,
) {
    loop {
        let current = snapshot.borrow_and_update().revision;
        metrics.revision.set(current as i64);
        revision.send_replace(current);
        if snapshot.changed().await.is_err() {
            return;
        }
    }
}

async fn forward<T>(mut from: mpsc::Receiver<T>, to: mpsc::Sender<T>) {
    while let Some(message) = from.recv().await {
        if to.send(message).await.is_err() {
            return;
        }
    }
}
