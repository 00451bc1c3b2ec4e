//! Following of one prefix of the store.

use std::{rc::Rc, time::Duration};

use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use crate::{
    serving::{
        counted_store::CountedStore,
        fleet_state::{Message, Role, Topic},
        mirror::Update,
        roster::Roster,
    },
    store::{Failure, Item, Store, Watch},
    time::Time,
};

/// Longest wait of a watch that has to prove that nothing is newer, in milliseconds. The last answer but one is the proof, as a
/// connection that fell silent is noticed only after the wait.
const PROVING_WAIT_MS: u64 = 700;

/// Longest wait of a watch of the configuration that others prove, in milliseconds.
const NOTICING_WAIT_MS: u64 = 10_000;

/// Longest wait of a watch of the fleet's own keys, in milliseconds.
const FLEET_WAIT_MS: u64 = 5_000;

/// Pause of the first follower between watches that returned changes: each upstream writes its entry again as a beat, so that
/// a large list changes all the time, and calls are paid for.
const FIRST_BEAT_PAUSE: Duration = Duration::from_millis(400);

/// The same for other followers, from which the fleet hears of little first.
const OTHER_BEAT_PAUSE: Duration = Duration::from_millis(800);

/// First pause after a failed call to the store.
pub(super) const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after failed calls of a host that follows for others.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause of hubs that do not follow for others.
const HUB_MAX_PAUSE: Duration = Duration::from_millis(1_600);

/// Time between calls of all other hosts together while nobody serves them; each waits for its part of the fleet's turns.
///
/// The load pattern it answers: in an outage nobody is served, and hundreds of hosts would ask the store at once, and again when it
/// returns. Some do, as the store may turn just the others away.
const TURN: Duration = Duration::from_millis(80);

/// Place among the hosts that follow the store for the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rank {
    /// The one from which the fleet hears first.
    First,
    /// Another one.
    Other,
    /// This host follows only while nobody serves it.
    None,
}

/// How closely a prefix is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Pace {
    /// Not at all, as others do.
    Rest,
    /// Changes are heard of; others prove that there are none.
    Notice,
    /// Changes are heard of, and that there are none is proven.
    Prove,
}

/// Follows one prefix of the store while it is told to.
pub(super) struct Follower<S> {
    pub(super) store: CountedStore<S>,
    pub(super) topic: Topic,
    pub(super) prefix: &'static str,
    pub(super) revisions: watch::Receiver<[u64; 3]>,
    pub(super) messages: mpsc::Sender<Message>,
    pub(super) role: watch::Receiver<Role>,
    pub(super) roster: watch::Receiver<Rc<Roster>>,
    /// Whether the store answered the last call of any follower since this host was left alone.
    pub(super) reached: Rc<watch::Sender<bool>>,
    /// Pause after the next failed call.
    pub(super) pause: Duration,
}

impl<S: Store> Follower<S> {
    pub(super) async fn run(mut self, mut paces: watch::Receiver<[Pace; 3]>) {
        let topic = self.topic as usize;
        let mut listed = false;
        loop {
            let Ok(pace) = paces.wait_for(|it| it[topic] > Pace::Rest).await.map(|it| it[topic])
            else {
                return;
            };
            if !*self.reached.borrow() {
                tokio::select! {
                    () = self.wait_for_turn() => {}
                    Ok(_) = paces.wait_for(|it| it[topic] < pace) => continue,
                }
            }
            let asked = Time::now();
            let answer = tokio::select! {
                answer = self.ask(listed, pace) => answer,
                // A long wait is of no use once this host has to prove what it knows.
                Ok(_) = paces.wait_for(|it| it[topic] > pace) => continue,
            };
            let news = match answer {
                Ok(news) => {
                    listed = news.is_some();
                    self.pause = FIRST_PAUSE;
                    self.reached.send_replace(true);
                    news
                }
                Err(failure) => {
                    log::info!("{} cannot be followed: {failure}", self.prefix);
                    if self.messages.send(Message::Failed(self.topic)).await.is_err() {
                        return;
                    }
                    self.reached.send_replace(false);
                    sleep(self.next_pause()).await;
                    continue;
                }
            };
            let changed = news.as_ref().is_some_and(|it| !it.is_empty());
            if self.messages.send(Message::Update(self.topic, asked, news)).await.is_err() {
                return;
            }
            if changed && self.topic != Topic::Configuration {
                sleep(self.beat_pause()).await;
            }
        }
    }

    fn beat_pause(&self) -> Duration {
        match self.role.borrow().rank {
            Rank::First => FIRST_BEAT_PAUSE,
            Rank::Other | Rank::None => OTHER_BEAT_PAUSE,
        }
    }

    /// Waits until this follower may try whether the store answers: the configuration's follower tries for all of its host, as
    /// calls are paid for that a store in trouble turns away.
    async fn wait_for_turn(&self) {
        let role = *self.role.borrow();
        let is_new = self.revisions.borrow()[self.topic as usize] == 0;
        if self.topic == Topic::Configuration {
            if !role.is_hub() && !is_new {
                let turns = TURN * self.roster.borrow().len() as u32;
                sleep(turns.mul_f64(rand::random_range(0.0..1.0))).await;
            }
        } else if !is_new {
            let mut reached = self.reached.subscribe();
            // The sender lives as long as this follower.
            let _ = reached.wait_for(|it| *it).await;
        }
    }

    /// Pause after a failed call. Hosts that lost the store together do not all return together.
    fn next_pause(&mut self) -> Duration {
        let longest = match self.role.borrow().rank {
            Rank::First | Rank::Other => MAX_PAUSE,
            Rank::None => HUB_MAX_PAUSE,
        };
        let pause = self.pause.min(longest);
        self.pause = (pause * 2).min(longest);
        pause.mul_f64(rand::random_range(0.7..1.3))
    }

    /// What happened, which may be nothing; `None` if the keys have to be listed again.
    async fn ask(&self, listed: bool, pace: Pace) -> Result<Option<Update>, Failure> {
        let after = self.revisions.borrow()[self.topic as usize];
        if after == 0 || !listed {
            let (items, revision) = list(&self.store, self.prefix).await?;
            return Ok(Some(Update::Listing(items, revision)));
        }
        let wait_ms = match (self.topic, pace) {
            (Topic::Configuration | Topic::Upstreams, Pace::Prove) => PROVING_WAIT_MS,
            (Topic::Configuration | Topic::Upstreams, Pace::Notice | Pace::Rest) => {
                NOTICING_WAIT_MS
            }
            (Topic::Fleet, _) => FLEET_WAIT_MS,
        };
        Ok(match self.store.watch(self.prefix, after, wait_ms).await? {
            Watch::Changes(changes, revision) => Some(Update::Changes(changes, revision)),
            Watch::Compacted => None,
        })
    }
}

/// Reads all pages of a listing. They are not of one revision; what changed since the first one is followed.
async fn list<S: Store>(store: &S, prefix: &str) -> Result<(Vec<Item>, u64), Failure> {
    let mut items: Vec<Item> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map_or("", |it| it.key.as_str()).to_owned();
        let page = store.list(prefix, &after).await?;
        items.extend(page.items);
        let first = *revision.get_or_insert(page.revision);
        if !page.more {
            return Ok((items, first));
        }
    }
}
