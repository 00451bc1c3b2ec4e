//! Task that keeps the list of a zone's upstreams.

use std::{sync::Arc, time::Duration};

use tokio::sync::watch;

use crate::platform::{Client, Upstream};

/// Interval of reads on a host that dispatches; a leaving upstream is known after it.
const DISPATCHING_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of reads on other hosts, which may have to dispatch while the platform does not answer.
const STANDBY_INTERVAL: Duration = Duration::from_secs(5);

/// The upstreams of a zone as the platform last listed them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// Whether the platform has listed the upstreams at all.
    pub known: bool,
    /// Sorted by id. Stays as it was while the platform does not answer.
    pub upstreams: Vec<Upstream>,
}

impl Fleet {
    /// Upstreams of a pool.
    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.iter().filter(move |it| it.pool == pool)
    }
}

/// Spawns the task; it reads the list more often while `dispatching` is true.
pub fn spawn(
    platform: Client,
    zone: String,
    dispatching: watch::Receiver<bool>,
) -> watch::Receiver<Arc<Fleet>> {
    let (sender, receiver) = watch::channel(Arc::default());
    tokio::spawn(run(platform, zone, dispatching, sender));
    receiver
}

async fn run(
    platform: Client,
    zone: String,
    mut dispatching: watch::Receiver<bool>,
    fleet: watch::Sender<Arc<Fleet>>,
) {
    loop {
        if let Ok(mut upstreams) = platform.upstreams(&zone).await {
            upstreams.sort_by(|a, b| a.id.cmp(&b.id));
            update(&fleet, upstreams);
        }
        let busy = *dispatching.borrow_and_update();
        let pause = if busy { DISPATCHING_INTERVAL } else { STANDBY_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            changed = dispatching.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

fn update(fleet: &watch::Sender<Arc<Fleet>>, upstreams: Vec<Upstream>) {
    fleet.send_if_modified(|it| {
        let changed = !it.known || it.upstreams != upstreams;
        if changed {
            *it = Arc::new(Fleet { known: true, upstreams });
        }
        changed
    });
}
