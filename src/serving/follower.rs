//! Follows one prefix of the store by listing and watching its keys.
//!
//! A follower is a reader of the store and unrelated to the leadership of the fleet.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::sleep,
};

use crate::{
    serving::{
        counted_store,
        fleet_state::{Message, Role, Topic},
        mirror::Update,
        roster::Roster,
    },
    store::{Failure, Item, Store, Watch, era_of},
    time::Time,
};

/// Longest wait of a watch that verifies that the copy is current, in milliseconds. The
/// verification dates from the last answer but one, as a connection without traffic is noticed only
/// after the wait.
const VERIFY_WAIT_MS: u64 = 700;

/// Longest wait of a watch of the configuration or the upstreams while other hosts verify the copy,
/// in milliseconds.
const NOTIFY_WAIT_MS: u64 = 10_000;

/// Longest wait of a watch of the hosts and the leader, in milliseconds.
const FLEET_WAIT_MS: u64 = 5_000;

/// Pause of the primary follower after a watch that returned changes. Upstreams rewrite their
/// entries as heartbeats, so that a large list changes all the time, and each call to the store is
/// charged.
const PRIMARY_CHANGE_PAUSE: Duration = Duration::from_millis(400);

/// The same pause of the other followers, from which the fleet seldom receives a change first.
const SECONDARY_CHANGE_PAUSE: Duration = Duration::from_millis(800);

/// Largest value that is kept, in bytes, but for the configuration. The entry of an upstream or a host has some hundred.
const MAX_VALUE_BYTES: usize = 8 << 10;

/// Initial backoff after a failed call to the store.
pub(super) const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest backoff of a host that follows the store for the fleet.
const FOLLOWER_MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Longest backoff of all other hosts.
const OTHER_MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Mean time between the calls of all members together while no hub has recent state. Each member
/// waits for a random part of this time multiplied by the number of hosts.
///
/// Prevents a thundering herd: in an outage no hub has recent state, and hundreds of hosts would
/// call the store at once, and again when it returns. Some still call it, as the store may be
/// reachable from them while it refuses the followers.
const PROBE_INTERVAL: Duration = Duration::from_millis(80);

/// Role of a host in following the store for the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rank {
    /// Follows with the shortest pause, so that the fleet receives most changes from it first.
    Primary,
    /// Follows with a longer pause.
    Secondary,
    /// Follows only while no hub has recent state.
    None,
}

/// Mode in which a prefix is followed, in ascending order of calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Mode {
    /// Not followed; updates come from other hosts.
    Off,
    /// Watched for changes with long waits; other hosts verify that the copy is current.
    Notify,
    /// Watched with short waits, which also verify that the copy is current.
    Verify,
}

/// Follows one prefix of the store while its mode is not `Off`.
pub(super) struct Follower<S> {
    pub(super) store: counted_store::Counted<S>,
    pub(super) topic: Topic,
    pub(super) prefix: &'static str,
    /// Key whose value may be of any size.
    pub(super) configuration_key: &'static str,
    pub(super) revisions: watch::Receiver<[u64; 3]>,
    pub(super) messages: mpsc::Sender<Message>,
    pub(super) role: watch::Receiver<Role>,
    pub(super) roster: watch::Receiver<Rc<Roster>>,
    /// Whether the store answered the last call of any follower of this host. Reset when the host
    /// starts to follow the store again.
    pub(super) store_reachable: Rc<watch::Sender<bool>>,
    /// Backoff after the next failed call.
    pub(super) backoff: Duration,
}

impl<S: Store> Follower<S> {
    pub(super) async fn run(mut self, mut modes: watch::Receiver<[Mode; 3]>) {
        let topic = self.topic as usize;
        let mut listed = false;
        loop {
            let Ok(mode) = modes.wait_for(|it| it[topic] > Mode::Off).await.map(|it| it[topic])
            else {
                return;
            };
            if !*self.store_reachable.borrow() {
                tokio::select! {
                    () = self.wait_to_probe() => {}
                    Ok(_) = modes.wait_for(|it| it[topic] < mode) => continue,
                }
            }
            let sent_at = Time::now();
            let result = tokio::select! {
                result = self.fetch(listed, mode) => result,
                // Restarts a long wait when this host has to verify its copy.
                Ok(_) = modes.wait_for(|it| it[topic] > mode) => continue,
            };
            let update = match result {
                Ok(update) => {
                    listed = update.is_some();
                    self.backoff = INITIAL_BACKOFF;
                    self.store_reachable.send_replace(true);
                    update
                }
                // The same watch would fail again, and ever more changes would come to it.
                Err(failure @ Failure::Oversized(_)) if listed => {
                    log::info!("watch of {} failed, listing its keys: {failure}", self.prefix);
                    listed = false;
                    continue;
                }
                Err(failure) => {
                    log::info!("watch of {} failed: {failure}", self.prefix);
                    if self.messages.send(Message::Failed(self.topic)).await.is_err() {
                        return;
                    }
                    self.store_reachable.send_replace(false);
                    sleep(self.next_backoff()).await;
                    continue;
                }
            };
            let changed = update.as_ref().is_some_and(|it| !it.is_empty());
            let (applied, is_applied) = oneshot::channel();
            let message = Message::Update(self.topic, sent_at, update, applied);
            if self.messages.send(message).await.is_err() {
                return;
            }
            // Before it is applied, the next watch would ask for the same changes again. An error says that the host stops.
            let _ = is_applied.await;
            if changed && self.topic != Topic::Configuration {
                sleep(self.change_pause()).await;
            }
        }
    }

    fn change_pause(&self) -> Duration {
        match self.role.borrow().follower {
            Rank::Primary => PRIMARY_CHANGE_PAUSE,
            Rank::Secondary | Rank::None => SECONDARY_CHANGE_PAUSE,
        }
    }

    /// Waits until this follower may call a store that failed before. Only the follower of the
    /// configuration probes the store for its host, as refused calls are charged too.
    async fn wait_to_probe(&self) {
        let role = *self.role.borrow();
        let is_new = self.revisions.borrow()[self.topic as usize] == 0;
        if self.topic == Topic::Configuration {
            if !role.is_hub() && !is_new {
                let cycle = PROBE_INTERVAL * self.roster.borrow().len() as u32;
                sleep(cycle.mul_f64(rand::random_range(0.0..1.0))).await;
            }
        } else if !is_new {
            let mut store_reachable = self.store_reachable.subscribe();
            // The sender is not dropped before this follower.
            let _ = store_reachable.wait_for(|it| *it).await;
        }
    }

    /// Returns the backoff after a failed call, doubled each time up to a limit and with jitter, so
    /// that hosts that lost the store together do not all return together.
    fn next_backoff(&mut self) -> Duration {
        let longest = match self.role.borrow().follower {
            Rank::Primary | Rank::Secondary => FOLLOWER_MAX_BACKOFF,
            Rank::None => OTHER_MAX_BACKOFF,
        };
        let backoff = self.backoff.min(longest);
        self.backoff = (backoff * 2).min(longest);
        backoff.mul_f64(rand::random_range(0.7..1.3))
    }

    /// Lists or watches the prefix. `None` if the keys must be listed again.
    async fn fetch(&self, listed: bool, mode: Mode) -> Result<Option<Update>, Failure> {
        let after = self.revisions.borrow()[self.topic as usize];
        if after == 0 || !listed {
            let (items, revision) = self.list().await?;
            return Ok(Some(Update::Listing(items, revision)));
        }
        let wait_ms = match (self.topic, mode) {
            (Topic::Configuration | Topic::Upstreams, Mode::Verify) => VERIFY_WAIT_MS,
            (Topic::Configuration | Topic::Upstreams, Mode::Notify | Mode::Off) => NOTIFY_WAIT_MS,
            (Topic::Fleet, _) => FLEET_WAIT_MS,
        };
        Ok(match self.store.watch(self.prefix, after, wait_ms).await? {
            Watch::Changes(changes, revision) => {
                let update = Update::Changes(changes, revision);
                Some(update.map_items(|it| self.drop_large_value(it)))
            }
            Watch::Compacted => None,
        })
    }

    /// Reads all pages of a listing and returns the revision of the first one. Later pages may be
    /// newer; the watch starts after the first page's revision, so that it returns every change in
    /// between.
    async fn list(&self) -> Result<(Vec<Item>, u64), Failure> {
        let mut items: Vec<Item> = Vec::new();
        let mut revision = None;
        loop {
            let after = items.last().map_or("", |it| it.key.as_str()).to_owned();
            let mut page = self.store.list(self.prefix, &after).await?;
            page.items.iter_mut().for_each(|it| self.drop_large_value(it));
            items.extend(page.items);
            let first = *revision.get_or_insert(page.revision);
            if era_of(page.revision) != era_of(first) {
                let why = "the store came back from an older copy during a listing";
                return Err(Failure::Unknown(why.to_owned()));
            }
            if !page.more {
                return Ok((items, first));
            }
        }
    }

    /// Replaces a value that is too large by an empty one, which cannot be decoded.
    fn drop_large_value(&self, item: &mut Item) {
        if item.value.len() > MAX_VALUE_BYTES && item.key != self.configuration_key {
            log::warn!(
                "value of {} ignored: {} bytes, more than {MAX_VALUE_BYTES}",
                item.key,
                item.value.len()
            );
            item.value = Bytes::new();
        }
    }
}
