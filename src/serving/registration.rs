//! Registration of a host in the store, under a lease.

use std::time::Duration;

use tokio::{sync::watch, task, time::sleep};

use crate::{
    serving::roster,
    store::{Commit, Committed, Failure, LeaseId, Put, Store},
};

/// Length of the lease, in milliseconds. A host that crashed remains in the roster for this time;
/// others skip it sooner, when their requests to it fail.
const LEASE_MS: u64 = 24_000;

/// Interval between renewals, each of which is charged. After a failed one, several more fit into
/// the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(8_000);

/// Pause after a failed renewal.
const RENEWAL_PAUSE: Duration = Duration::from_millis(3_000);

/// Pause after a failed registration.
const REGISTRATION_PAUSE: Duration = Duration::from_millis(1_000);

/// Spawns the task on the current thread; it ends the registration when `stopping` becomes true.
pub fn spawn<S: Store>(store: S, host: roster::Host, stopping: watch::Receiver<bool>) {
    task::spawn_local(run(store, host, stopping));
}

async fn run<S: Store>(store: S, host: roster::Host, mut stopping: watch::Receiver<bool>) {
    loop {
        let lease = tokio::select! {
            lease = register(&store, &host) => lease,
            // The sender is dropped only with the host.
            _ = stopping.wait_for(|it| *it) => return,
        };
        log::info!("host {} is registered", host.id);
        tokio::select! {
            () = renew_until_expired(&store, lease) =>
                log::warn!("registration of host {} has expired", host.id),
            _ = stopping.wait_for(|it| *it) => {
                if let Err(failure) = store.end_lease(lease).await {
                    log::info!("registration lease could not be ended and will expire: {failure}");
                }
                return;
            }
        }
    }
}

async fn register<S: Store>(store: &S, host: &roster::Host) -> LeaseId {
    loop {
        match try_register(store, host).await {
            Ok(Some(lease)) => return lease,
            Ok(None) => {}
            Err(failure) => log::info!("registration of host {} failed: {failure}", host.id),
        }
        sleep(REGISTRATION_PAUSE).await;
    }
}

async fn try_register<S: Store>(
    store: &S,
    host: &roster::Host,
) -> Result<Option<LeaseId>, Failure> {
    let lease = store.open_lease(LEASE_MS).await?;
    let value = serde_json::to_vec(host).map_err(|error| Failure::Invalid(error.to_string()))?;
    let key = format!("{}{}", roster::PREFIX, host.id);
    // Unconditional, so that the newest process of a host replaces the record of an earlier one.
    let put = vec![Put { key, value: value.into(), lease: Some(lease) }];
    match store.commit(&Commit { put, ..Commit::default() }).await? {
        Committed::Done(_) => Ok(Some(lease)),
        Committed::Conflict | Committed::LeaseEnded => Ok(None),
    }
}

/// Renews the lease until the store reports that it has ended.
async fn renew_until_expired<S: Store>(store: &S, lease: LeaseId) {
    let mut pause = RENEWAL_INTERVAL;
    loop {
        sleep(pause).await;
        pause = match store.renew_lease(lease).await {
            Ok(true) => RENEWAL_INTERVAL,
            Ok(false) => return,
            Err(failure) => {
                log::debug!("renewal of the registration failed: {failure}");
                RENEWAL_PAUSE
            }
        };
    }
}
