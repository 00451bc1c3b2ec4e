//! Registration of a host in the store, under a lease.

use std::time::Duration;

use tokio::{sync::watch, task, time::sleep};

use crate::{
    serving::roster::{self, HostRecord},
    store::{Commit, Committed, Failure, LeaseId, Put, Store},
};

/// Length of the lease, in milliseconds. A host that died is in the roster for as long; others find out sooner that it does not
/// answer.
const LEASE_MS: u64 = 24_000;

/// Interval between renewals, each of which is paid for. After a lost one, several more fit in.
const RENEWAL: Duration = Duration::from_millis(8_000);

/// Pause after a failed renewal.
const RENEWAL_PAUSE: Duration = Duration::from_millis(3_000);

/// Pause after another failed call.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Spawns the task on the current thread; it ends the registration when `stopping` becomes true.
pub fn spawn<S: Store>(store: S, host: HostRecord, stopping: watch::Receiver<bool>) {
    task::spawn_local(run(store, host, stopping));
}

async fn run<S: Store>(store: S, host: HostRecord, mut stopping: watch::Receiver<bool>) {
    loop {
        let lease = tokio::select! {
            lease = register(&store, &host) => lease,
            // The sender lives as long as the host.
            _ = stopping.wait_for(|it| *it) => return,
        };
        log::info!("host {} is registered", host.id);
        tokio::select! {
            () = keep(&store, lease) => log::warn!("the registration of host {} has ended", host.id),
            _ = stopping.wait_for(|it| *it) => {
                if let Err(failure) = store.end_lease(lease).await {
                    log::info!("the registration ends with its lease: {failure}");
                }
                return;
            }
        }
    }
}

async fn register<S: Store>(store: &S, host: &HostRecord) -> LeaseId {
    loop {
        match try_register(store, host).await {
            Ok(Some(lease)) => return lease,
            Ok(None) => {}
            Err(failure) => log::info!("host {} is not registered yet: {failure}", host.id),
        }
        sleep(PAUSE).await;
    }
}

async fn try_register<S: Store>(store: &S, host: &HostRecord) -> Result<Option<LeaseId>, Failure> {
    let lease = store.open_lease(LEASE_MS).await?;
    let value = serde_json::to_vec(host).map_err(|error| Failure::Invalid(error.to_string()))?;
    let key = format!("{}{}", roster::PREFIX, host.id);
    // A host's last process takes the key over, whatever stood there.
    let put = vec![Put { key, value: value.into(), lease: Some(lease) }];
    match store.commit(&Commit { put, ..Commit::default() }).await? {
        Committed::Done(_) => Ok(Some(lease)),
        Committed::Conflict | Committed::LeaseEnded => Ok(None),
    }
}

/// Renews the lease until it has ended.
async fn keep<S: Store>(store: &S, lease: LeaseId) {
    let mut pause = RENEWAL;
    loop {
        sleep(pause).await;
        pause = match store.renew_lease(lease).await {
            Ok(true) => RENEWAL,
            Ok(false) => return,
            Err(failure) => {
                log::debug!("the registration cannot be renewed: {failure}");
                RENEWAL_PAUSE
            }
        };
    }
}
