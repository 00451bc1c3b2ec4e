//! Tasks that keep the configuration and the list of upstreams up to date from the store.

use std::{rc::Rc, sync::Arc, time::Duration};

use tokio::{
    sync::watch::{self, Sender},
    task,
    time::sleep,
};

use crate::{
    serving::{
        registry::{Entry, Fault},
        roll::Roll,
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

/// Longest sleep of a task that waits for nothing.
const FOREVER: Span = Span::from_ms(3_600_000);

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
    let key = decoding.configuration_key;
    task::spawn_local(follow(store.clone(), key, CONFIGURATION_WAIT_MS, configuration));
    let list = List {
        decoding,
        roll: Roll::default(),
        upstreams: upstreams_sender,
        listed: listed_sender,
    };
    task::spawn_local(follow(store, decoding.upstreams_prefix, UPSTREAMS_WAIT_MS, list));
    Knowledge { table, proven, upstreams, listed }
}

/// What the store said of the keys under a prefix.
enum News {
    /// All items.
    Listing(Vec<Item>, u64),
    /// Changes since the last revision.
    Changes(Vec<Change>, u64),
    /// The keys have to be listed again.
    Compacted,
}

/// Takes in what the store says of the keys under a prefix.
trait View {
    /// All items as of a listing that was asked for at a time.
    fn list(&mut self, asked: Time, items: Vec<Item>);
    /// Changes since; the store held nothing newer when it was asked at a time.
    fn change(&mut self, asked: Time, changes: Vec<Change>);
    /// The store does not answer.
    fn fail(&mut self);
    /// When [`View::advance`] has something to do.
    fn next_alarm(&self) -> Option<Time>;
    /// Time passed.
    fn advance(&mut self);
}

/// Lists the keys under a prefix and waits for changes, for ever.
async fn follow<S: Store, V: View>(store: S, prefix: &str, wait_ms: u64, mut view: V) {
    let mut pause = FIRST_PAUSE;
    let mut after: Option<u64> = None;
    loop {
        let asked = Time::now();
        let news = attend(ask(&store, prefix, after, wait_ms), &mut view).await;
        match news {
            Ok(News::Listing(items, revision)) => {
                view.list(asked, items);
                after = Some(revision);
            }
            Ok(News::Changes(changes, revision)) => {
                view.change(asked, changes);
                after = Some(revision);
            }
            Ok(News::Compacted) => after = None,
            Err(failure) => {
                log::info!("{prefix} cannot be followed: {failure}");
                view.fail();
                attend(sleep(pause), &mut view).await;
                pause = (pause * 2).min(MAX_PAUSE);
                continue;
            }
        }
        pause = FIRST_PAUSE;
    }
}

/// Waits for a future and tells the view of the time meanwhile.
async fn attend<T, V: View>(future: impl Future<Output = T>, view: &mut V) -> T {
    let mut future = std::pin::pin!(future);
    loop {
        let now = Time::now();
        let wait = view.next_alarm().map_or(FOREVER, |it| it.since(now));
        tokio::select! {
            biased;
            result = &mut future => return result,
            () = sleep(wait.into()) => view.advance(),
        }
    }
}

async fn ask<S: Store>(
    store: &S,
    prefix: &str,
    after: Option<u64>,
    wait_ms: u64,
) -> Result<News, Failure> {
    let Some(after) = after else {
        let (items, revision) = list(store, prefix).await?;
        return Ok(News::Listing(items, revision));
    };
    Ok(match store.watch(prefix, after, wait_ms).await? {
        Watch::Changes(changes, revision) => News::Changes(changes, revision),
        Watch::Compacted => News::Compacted,
    })
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
        let revision = item.revision;
        match (self.decoding.table)(&item.value) {
            Ok(table) => {
                log::info!("configuration {} is in force, revision {revision}", table.version);
                self.revision = revision;
                self.table.send_replace(Some(Arc::new(table)));
            }
            Err(fault) => {
                log::error!("the configuration at revision {revision} cannot be read: {fault}");
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

    fn next_alarm(&self) -> Option<Time> {
        None
    }

    fn advance(&mut self) {}
}

struct List {
    decoding: Decoding,
    roll: Roll,
    upstreams: Sender<Rc<Vec<Entry>>>,
    listed: Sender<bool>,
}

impl List {
    fn put(&mut self, item: &Item) {
        self.roll.put(&item.key, (self.decoding.entry)(&item.key, &item.value));
    }

    fn publish(&mut self) {
        let entries: Vec<_> = self.roll.entries().cloned().collect();
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
        let now = Time::now();
        self.roll.recover(now);
        self.roll.keep(now, items.iter().map(|it| it.key.as_str()));
        items.iter().for_each(|it| self.put(it));
        self.publish();
        self.listed.send_replace(true);
    }

    fn change(&mut self, _: Time, changes: Vec<Change>) {
        let now = Time::now();
        self.roll.recover(now);
        for change in changes {
            match change {
                Change::Put(item) => self.put(&item),
                Change::Deleted(key, _) => self.roll.delete(now, &key),
            }
        }
        self.publish();
    }

    fn fail(&mut self) {
        self.roll.fail();
    }

    fn next_alarm(&self) -> Option<Time> {
        self.roll.next_alarm()
    }

    fn advance(&mut self) {
        self.roll.advance(Time::now());
        self.publish();
    }
}
