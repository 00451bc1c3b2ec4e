//! Task that polls the platform for the upstreams of a zone.

use std::{sync::Arc, time::Duration};

use tokio::sync::watch;

use crate::platform::{Client, Upstream};

/// Polling interval on a host that dispatches. A leaving upstream is noticed within this time.
const DISPATCHING_INTERVAL: Duration = Duration::from_millis(500);

/// Polling interval on other hosts, which may have to dispatch while the platform does not answer.
const STANDBY_INTERVAL: Duration = Duration::from_secs(5);

/// Upstreams of a zone as last listed by the platform.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// Whether the platform has listed the upstreams at least once.
    pub known: bool,
    /// Sorted by id. Unchanged while the platform does not answer.
    pub upstreams: Vec<Upstream>,
}

impl Fleet {
    /// Returns the upstreams of a pool, sorted by id.
    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.iter().filter(move |it| it.pool == pool)
    }
}

/// Spawns the task, which polls more often while `dispatching` is true and ends when its sender is dropped.
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
