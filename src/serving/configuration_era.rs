//! Records in the store that the configuration is known to be the newest, for hosts that start after the store came back from
//! an older copy.
//!
//! The era of the store tells a host that has just started that the store came back, but not whether the operator has
//! written the configuration again since.

use std::time::Duration;

use bytes::Bytes;
use tokio::{sync::watch, time::sleep};

use crate::{
    serving::{
        fleet_state::{FLEET_PREFIX, Role},
        follower,
    },
    store::{Commit, Put, Store},
};

/// Name of the record under `FLEET_PREFIX`. Its value is the latest era in which the configuration is known to be the newest.
const NAME: &str = "configuration-era";

/// Time that the other followers of the store leave the first one to write the record.
const SECONDARY_DELAY: Duration = Duration::from_millis(1_000);

/// Pause after a write, in which the record reaches this host, and after a failed one.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Returns the era in the record, if a key is that of the record. Zero if it has no readable value.
pub(super) fn parse(key: &str, value: Option<&[u8]>) -> Option<u64> {
    (key.strip_prefix(FLEET_PREFIX) == Some(NAME)).then(|| {
        let text = value.and_then(|it| std::str::from_utf8(it).ok());
        text.and_then(|it| it.parse().ok()).unwrap_or(0)
    })
}

/// Writes the record.
pub(super) struct Recorder<S> {
    pub(super) store: S,
    /// Latest era in which this host knows the configuration to be the newest.
    pub(super) known: watch::Receiver<u64>,
    /// Era in the record, as this host has read it.
    pub(super) recorded: watch::Receiver<u64>,
    pub(super) role: watch::Receiver<Role>,
}

impl<S: Store> Recorder<S> {
    /// Runs until the host stops.
    pub(super) async fn run(mut self) {
        loop {
            // A store that comes back from a copy takes the record back.
            while *self.known.borrow_and_update() <= *self.recorded.borrow_and_update() {
                let changed = tokio::select! {
                    changed = self.known.changed() => changed,
                    changed = self.recorded.changed() => changed,
                };
                if changed.is_err() {
                    return;
                }
            }
            let rank = self.role.borrow().follower;
            if rank != follower::Rank::Primary {
                sleep(SECONDARY_DELAY).await;
            }
            let era = *self.known.borrow();
            if rank == follower::Rank::None || era <= *self.recorded.borrow() {
                continue;
            }
            let key = format!("{FLEET_PREFIX}{NAME}");
            let put = vec![Put { key, value: Bytes::from(era.to_string()), lease: None }];
            match self.store.commit(&Commit { put, ..Commit::default() }).await {
                Ok(_) => log::info!("recorded that the configuration is the newest of era {era}"),
                Err(failure) => {
                    log::info!(
                        "cannot record that the configuration is the newest, trying again: {failure}"
                    );
                }
            }
            sleep(PAUSE).await;
        }
    }
}
