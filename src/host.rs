//! A running host: opens every task and stops them in order.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use eyre::{Result, WrapErr as _};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
};
use tokio_util::task::TaskTracker;

use crate::{
    attempts::{self, Attempts},
    config::Snapshot,
    dispatchers,
    entry::{self, Entry},
    fleet,
    member::{Member, State, View},
    metrics::Metrics,
    peer::{self, Mailboxes, Peers},
    platform::{self, Cause},
    pool,
    record::Record,
    settings::Settings,
    time::wall_ms,
};

/// Calls of peers that may wait at one task.
const QUEUE: usize = 16_384;

/// Time for the balancer to see that the host is not ready, before it refuses requests.
const NOT_READY_NOTICE: Duration = Duration::from_millis(500);

/// Time for answers that have ended to leave the sockets.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle to a running host.
#[derive(Debug)]
pub struct Host {
    /// Bound address for callers.
    pub callers: SocketAddr,
    /// Bound address for peers.
    pub peers: SocketAddr,
    /// Counters.
    pub metrics: Metrics,
    entry: Entry,
    draining: watch::Sender<bool>,
    tracker: TaskTracker,
    drain_timeout: Duration,
    server: JoinHandle<()>,
}

impl Host {
    /// Opens every task of a host.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub async fn spawn(settings: Settings) -> Result<Host> {
        let incarnation = wall_ms();
        let metrics = Metrics::open()?;
        let listener = TcpListener::bind(settings.peers)
            .await
            .wrap_err_with(|| format!("cannot listen for peers on {}", settings.peers))?;
        let peer_address = listener.local_addr()?;
        let platform = platform::Client::open(settings.platform, &settings.host);
        let peers = Peers::spawn();

        let (dispatch, dispatch_calls) = mpsc::channel(QUEUE);
        let (attempts, attempt_calls) = mpsc::channel(QUEUE);
        let (members, _member_calls) = mpsc::channel(QUEUE);
        let (config, _config_calls) = mpsc::channel(QUEUE);
        let (usage, _usage_calls) = mpsc::channel(QUEUE);
        let (limits, _limit_calls) = mpsc::channel(QUEUE);
        let mailboxes =
            Mailboxes { dispatch: dispatch.clone(), attempts, members, config, usage, limits };
        let server = tokio::spawn(peer::serve(listener, mailboxes));

        let own = Member {
            id: settings.host.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            peer: peer_address,
            admin: settings.admin,
            incarnation,
            version: 0,
            state: State::Alive,
        };
        let view = poll_hosts(platform.clone(), own);
        let snapshot = poll_config(platform.clone());
        let (dispatching, dispatching_seen) = watch::channel(false);
        let fleet = fleet::spawn(platform.clone(), settings.zone.clone(), dispatching_seen);
        let (quarantine, _quarantine_out) = mpsc::channel(QUEUE);
        let (_quarantine_in, quarantined) = mpsc::channel(QUEUE);
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
            calls: dispatch_calls,
        });
        let dispatchers =
            pool::Client { host: settings.host.as_str().into(), view, peers, local: dispatch };
        let attempts = Attempts::spawn(attempts::Options {
            dispatchers: dispatchers.clone(),
            snapshot: snapshot.clone(),
            calls: attempt_calls,
        });
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
            read_timeout: settings.read_timeout,
            idle_timeout: settings.idle_timeout,
            connect_timeout: settings.connect_timeout,
            numbers: Arc::new(AtomicU64::new(1)),
        };
        let entry = Entry::bind(settings.callers, settings.workers, options)
            .wrap_err_with(|| format!("cannot listen for callers on {}", settings.callers))?;
        log::info!("host {} serves callers on {}", settings.host, entry.address);
        Ok(Host {
            callers: entry.address,
            peers: peer_address,
            metrics,
            entry,
            draining,
            tracker,
            drain_timeout: settings.drain_timeout,
            server,
        })
    }

    /// Stops the host after its requests have ended, or after the drain timeout. True if all ended.
    pub async fn drain(self) -> bool {
        log::info!("draining");
        tokio::time::sleep(NOT_READY_NOTICE).await;
        self.draining.send_replace(true);
        self.tracker.close();
        let ended = tokio::time::timeout(self.drain_timeout, self.tracker.wait()).await.is_ok();
        self.entry.stop();
        tokio::time::sleep(FLUSH_TIMEOUT).await;
        self.server.abort();
        log::info!("drained, all requests ended: {ended}");
        ended
    }
}

fn poll_hosts(platform: platform::Client, own: Member) -> watch::Receiver<Arc<View>> {
    let (sender, receiver) = watch::channel(Arc::new(View { members: vec![own.clone()] }));
    tokio::spawn(async move {
        while !sender.is_closed() {
            if let Ok(hosts) = platform.hosts().await {
                let others = hosts.into_iter().filter(|it| it.id != own.id && !it.leaving);
                let mut members: Vec<_> = others
                    .map(|it| Member {
                        id: it.id,
                        region: it.region,
                        zone: it.zone,
                        peer: it.peer,
                        admin: it.admin,
                        incarnation: 0,
                        version: 0,
                        state: State::Alive,
                    })
                    .collect();
                members.push(own.clone());
                members.sort_by(|a, b| a.id.cmp(&b.id));
                let view = Arc::new(View { members });
                sender.send_if_modified(|it| {
                    *it != view && {
                        *it = view;
                        true
                    }
                });
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    });
    receiver
}

fn poll_config(platform: platform::Client) -> watch::Receiver<Arc<Snapshot>> {
    let (sender, receiver) = watch::channel(Arc::new(Snapshot::default()));
    tokio::spawn(async move {
        while !sender.is_closed() {
            if let Ok(listing) = platform.list(Cause::Config, "config/", "", 10_000).await
                && listing.revision > sender.borrow().revision
            {
                let texts = listing.entries.iter().filter_map(|it| it.value.as_deref());
                let records = texts.filter_map(|it| serde_json::from_str::<Record>(it).ok());
                sender.send_replace(Arc::new(Snapshot::build(listing.revision, records)));
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    });
    receiver
}
