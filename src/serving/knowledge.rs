//! Tasks that keep the configuration and the list of upstreams up to date from the store.

use std::{collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use tokio::{
    sync::watch::{self, Sender},
    task,
    time::sleep,
};

use crate::{
    serving::{
        registry::{Entry, Fault},
        table::Table,
    },
    store::{Change, Failure, Item, Store, Watch},
    time::{Span, Time},
};

/// Longest wait of a watch of the configuration, in milliseconds. The last answer but one proves that it is the newest, and
/// a key's proof lasts for seconds.
const CONFIGURATION_WAIT_MS: u64 = 1_500;

/// Longest wait of a watch of the upstreams, in milliseconds. A connection that fell silent is noticed after it.
const UPSTREAMS_WAIT_MS: u64 = 3_000;

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Time after an outage of the store in which upstreams whose entries lapsed come back.
const RETURN_TIME: Span = Span::from_ms(1_900);

/// How values of the store are read.
#[derive(Debug, Clone, Copy)]
pub struct Decoding {
    /// Key of the configuration.
    pub configuration_key: &'static str,
    /// Start of the keys of upstreams.
    pub upstreams_prefix: &'static str,
    /// Reads a configuration.
    pub table: fn(&[u8]) -> Result<Table, Fault>,
    /// Reads the entry of an upstream under a key.
    pub entry: fn(&str, &[u8]) -> Result<Entry, Fault>,
}

/// What a host knows from the store.
#[derive(Debug, Clone)]
pub struct Knowledge {
    /// Configuration in force, `None` before the first one.
    pub table: watch::Receiver<Option<Arc<Table>>>,
    /// When the store was last known to hold no newer configuration.
    pub proven: watch::Receiver<Option<Time>>,
    /// Entries of all upstreams, sorted by id.
    pub upstreams: watch::Receiver<Rc<Vec<Entry>>>,
    /// Whether the upstreams were listed at all.
    pub listed: watch::Receiver<bool>,
}

/// Spawns the tasks on the current thread.
pub fn spawn<S: Store>(store: S, decoding: Decoding) -> Knowledge {
    let (table_sender, table) = watch::channel(None);
    let (proven_sender, proven) = watch::channel(None);
    let (upstreams_sender, upstreams) = watch::channel(Rc::default());
    let (listed_sender, listed) = watch::channel(false);
    let configuration =
        Configuration { decoding, table: table_sender, proven: proven_sender, revision: 0 };
    task::spawn_local(follow(
        store.clone(),
        decoding.configuration_key,
        CONFIGURATION_WAIT_MS,
        configuration,
    ));
    let list = List {
        decoding,
        entries: BTreeMap::new(),
        upstreams: upstreams_sender,
        listed: listed_sender,
        failing: false,
        settled: Time(0),
    };
    task::spawn_local(follow(store, decoding.upstreams_prefix, UPSTREAMS_WAIT_MS, list));
    Knowledge { table, proven, upstreams, listed }
}

/// Takes in what the store says of the keys under a prefix.
trait View {
    /// All items as of a listing that was asked for at a time.
    fn list(&mut self, asked: Time, items: Vec<Item>);
    /// Changes since; the store held nothing newer when it was asked at a time.
    fn change(&mut self, asked: Time, changes: Vec<Change>);
    /// The store does not answer.
    fn fail(&mut self);
    /// Time passed.
    fn tick(&mut self);
}

/// Lists the keys under a prefix and waits for changes, for ever.
async fn follow<S: Store, V: View>(store: S, prefix: &str, wait_ms: u64, mut view: V) {
    let mut pause = FIRST_PAUSE;
    let mut after: Option<u64> = None;
    loop {
        let step = match after {
            None => list(&store, prefix, &mut view).await.map(Some),
            Some(revision) => step(&store, prefix, (revision, wait_ms), &mut view).await,
        };
        view.tick();
        match step {
            Ok(next) => {
                after = next;
                pause = FIRST_PAUSE;
            }
            Err(failure) => {
                log::info!("{prefix} cannot be followed: {failure}");
                view.fail();
                sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

async fn list<S: Store, V: View>(store: &S, prefix: &str, view: &mut V) -> Result<u64, Failure> {
    let asked = Time::now();
    let mut items: Vec<Item> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map_or("", |it| it.key.as_str()).to_owned();
        let page = store.list(prefix, &after).await?;
        items.extend(page.items);
        // Pages are not of one revision; what changed since the first one is followed.
        let first = *revision.get_or_insert(page.revision);
        if !page.more {
            view.list(asked, items);
            return Ok(first);
        }
    }
}

/// Waits for one batch of changes; `None` if the keys have to be listed again.
async fn step<S: Store, V: View>(
    store: &S,
    prefix: &str,
    (after, wait_ms): (u64, u64),
    view: &mut V,
) -> Result<Option<u64>, Failure> {
    let asked = Time::now();
    match store.watch(prefix, after, wait_ms).await? {
        Watch::Changes(changes, revision) => {
            view.change(asked, changes);
            Ok(Some(revision))
        }
        Watch::Compacted => Ok(None),
    }
}

struct Configuration {
    decoding: Decoding,
    table: Sender<Option<Arc<Table>>>,
    proven: Sender<Option<Time>>,
    /// Revision of the configuration in force. Never falls.
    revision: u64,
}

impl Configuration {
    fn take(&mut self, item: &Item) {
        if item.key != self.decoding.configuration_key || item.revision <= self.revision {
            return;
        }
        match (self.decoding.table)(&item.value) {
            Ok(table) => {
                log::info!(
                    "configuration {} is in force, revision {}",
                    table.version,
                    item.revision
                );
                self.revision = item.revision;
                self.table.send_replace(Some(Arc::new(table)));
            }
            Err(fault) => {
                log::error!(
                    "the configuration at revision {} cannot be read: {fault}",
                    item.revision
                );
            }
        }
    }
}

impl View for Configuration {
    fn list(&mut self, asked: Time, items: Vec<Item>) {
        items.iter().for_each(|it| self.take(it));
        self.proven.send_replace(Some(asked));
    }

    fn change(&mut self, asked: Time, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Put(item) => self.take(&item),
                Change::Deleted(key, _) => log::warn!("{key} was deleted; the last version stays"),
            }
        }
        self.proven.send_replace(Some(asked));
    }

    fn fail(&mut self) {}

    fn tick(&mut self) {}
}

/// An upstream in the list.
struct Listed {
    entry: Entry,
    /// Set while its entry is gone but may come back, as the store was away.
    lapsed: Option<Time>,
}

struct List {
    decoding: Decoding,
    entries: BTreeMap<String, Listed>,
    upstreams: Sender<Rc<Vec<Entry>>>,
    listed: Sender<bool>,
    /// Whether the last call failed.
    failing: bool,
    /// When upstreams that live have written their entries again after the last outage.
    settled: Time,
}

impl List {
    fn recover(&mut self) {
        if std::mem::take(&mut self.failing) {
            self.settled = Time::now() + RETURN_TIME;
        }
    }

    fn put(&mut self, item: &Item) {
        match (self.decoding.entry)(&item.key, &item.value) {
            Ok(entry) => {
                self.entries.insert(item.key.clone(), Listed { entry, lapsed: None });
            }
            Err(fault) => {
                log::warn!("the entry {} cannot be read: {fault}", item.key);
                self.entries.remove(&item.key);
            }
        }
    }

    fn delete(&mut self, key: &str) {
        let now = Time::now();
        if now >= self.settled {
            self.entries.remove(key);
            return;
        }
        if let Some(listed) = self.entries.get_mut(key) {
            listed.lapsed.get_or_insert(self.settled);
        }
    }

    fn publish(&mut self) {
        let now = Time::now();
        self.entries.retain(|_, it| it.lapsed.is_none_or(|until| now < until));
        let entries: Vec<_> = self.entries.values().map(|it| it.entry.clone()).collect();
        self.upstreams.send_if_modified(|it| {
            let changed = **it != entries;
            if changed {
                *it = Rc::new(entries);
            }
            changed
        });
    }
}

impl View for List {
    fn list(&mut self, _: Time, items: Vec<Item>) {
        self.recover();
        let known: Vec<_> = self.entries.keys().cloned().collect();
        for key in known {
            if !items.iter().any(|it| it.key == key) {
                self.delete(&key);
            }
        }
        items.iter().for_each(|it| self.put(it));
        self.publish();
        self.listed.send_replace(true);
    }

    fn change(&mut self, _: Time, changes: Vec<Change>) {
        self.recover();
        for change in changes {
            match change {
                Change::Put(item) => self.put(&item),
                Change::Deleted(key, _) => self.delete(&key),
            }
        }
        self.publish();
    }

    fn fail(&mut self) {
        self.failing = true;
    }

    fn tick(&mut self) {
        self.publish();
    }
}
