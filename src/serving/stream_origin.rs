//! Which pool and which version of its upstreams' software began each stream, as one host knows it.
//!
//! What two versions write does not fit together, so that a stream goes on only at the version that began it. A host
//! remembers the streams that it forwarded, and the versions that its list of upstreams has shown. Hosts that know nothing
//! of a stream find it in the records that others wrote, or conclude where it began: its pool from the id of its first
//! request, by which every host selects among the destinations of a route, and its version where only one has ever served.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    rendezvous,
    serving::{
        registry::Entry,
        table::{self, Destination, RetryPolicy, Route},
    },
    time::{Span, Time},
};

/// Least time for which a stream may be taken up.
const MIN_LIFETIME: Span = Span::from_ms(10_000);

/// Time from the confirmation of a version until streams may begin there, and age of a list of upstreams from which nothing
/// is concluded any more: a host whose list is younger has seen each version at which streams have begun.
pub const NOTICE: Span = Span::from_ms(2_000);

/// Time after a change of a route's destinations from which no record is taken for a stream that they select: each host
/// has the new ones within 2 s, and has then written the streams that began elsewhere.
pub const CHANGE_NOTICE: Span = Span::from_ms(4_000);

/// Most streams that a host remembers.
const MAX_STREAMS: usize = 16_384;

/// Part of them that a host forgets at once when they are too many: one in this number.
const EVICTED_PART: usize = 4;

/// Most earlier destinations of a route that a host remembers.
const MAX_EARLIER: usize = 8;

/// Most streams in the record of a host.
const MAX_RECORDED: usize = 4_096;

/// Parts into which the records of streams are divided, so that a lookup reads one of them. A power of two; the parts of
/// one host are written with one call.
pub const SHARDS: usize = 16;

/// Hash of the id of the request that brought the first event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that a request with this id began.
    pub fn of(id: &[u8]) -> StreamKey {
        StreamKey(rendezvous::hash(&[b"stream", id]))
    }

    /// Returns the number of the part of the records that holds the stream, less than `SHARDS`.
    pub fn shard(self) -> usize {
        self.0 as usize % SHARDS
    }
}

/// Why it is not known where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unknown {
    /// The store did not answer in time.
    LookupTimeout,
    /// The store could not be read.
    LookupFailed,
    /// No host has recorded the stream, and the route may have selected another pool for it.
    Pool,
    /// No host has recorded the stream, and upstreams of several versions may have served.
    Version,
    /// The upstream stated no version, or it was not known whether another process had taken its place.
    Unversioned,
    /// The route does not lead to the pool any more.
    Moved,
}

impl Unknown {
    /// Returns the name in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Unknown::LookupTimeout => "lookup_timeout",
            Unknown::LookupFailed => "lookup_failed",
            Unknown::Pool => "pool",
            Unknown::Version => "version",
            Unknown::Unversioned => "unversioned",
            Unknown::Moved => "moved",
        }
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// Pool of the upstream.
    pub pool: Arc<str>,
    /// Version of its software, `None` if it does not state one.
    pub version: Option<Arc<str>>,
}

/// A stream that has begun.
#[derive(Debug, Clone)]
struct Stream {
    key: StreamKey,
    began_at: Time,
    origin: Origin,
    /// Name of its route, `None` if another host forwarded it.
    route: Option<Arc<str>>,
}

/// Destinations of a route whose streams may be taken up.
#[derive(Debug)]
struct Destinations {
    route: Arc<str>,
    /// Those in force; empty while there is no such route.
    current: Vec<Destination>,
    /// Earlier ones, each once with the time at which it was last replaced. Sorted by that time.
    earlier: Vec<(Vec<Destination>, Time)>,
    /// Time up to which there were more of them; zero if none was forgotten.
    forgotten_until: Time,
}

impl Destinations {
    fn replace(&mut self, now: Time, destinations: &[Destination]) {
        let replaced = std::mem::replace(&mut self.current, destinations.to_vec());
        if replaced.is_empty() {
            return;
        }
        self.earlier.retain(|it| it.0 != replaced);
        self.earlier.push((replaced, now));
        if self.earlier.len() > MAX_EARLIER {
            self.forgotten_until = self.earlier.remove(0).1;
        }
    }
}

/// A version of a pool in the list of upstreams.
#[derive(Debug)]
struct Listed {
    origin: Origin,
    /// When it was on the list last; `None` while it is.
    until: Option<Time>,
}

/// What one host knows.
#[derive(Debug)]
pub struct Origins {
    /// Since when the list of upstreams is followed; `None` before the first one.
    listed_since: Option<Time>,
    /// Sorted by key.
    streams: Vec<Stream>,
    /// Sorted by origin.
    listed: Vec<Listed>,
    /// Versions that the store names, each with the time from which streams may begin there. Sorted by origin.
    confirmed: Vec<(Origin, Time)>,
    /// Destinations of routes, sorted by route.
    destinations: Vec<Destinations>,
    /// Whether the registered hosts are known.
    knows_hosts: bool,
    /// When a host was last registered that draws pools at random; `None` if none was.
    random_until: Option<Time>,
    /// Time for which a stream may be taken up. Never decreases.
    lifetime: Span,
}

impl Default for Origins {
    fn default() -> Origins {
        Origins {
            listed_since: None,
            streams: Vec::new(),
            listed: Vec::new(),
            confirmed: Vec::new(),
            destinations: Vec::new(),
            knows_hosts: false,
            random_until: None,
            lifetime: MIN_LIFETIME,
        }
    }
}

impl Origins {
    /// Records the routes of the configuration in force.
    pub fn record_routes<'a>(&mut self, now: Time, routes: impl Iterator<Item = &'a Route>) {
        let mut missing: Vec<_> = self.destinations.iter().map(|it| it.route.clone()).collect();
        for route in routes.filter(|it| it.retry_policy == RetryPolicy::Resume) {
            self.lifetime = self.lifetime.max(Span::from_ms(route.timeout_ms * 2));
            self.set_destinations(now, &route.name, &route.destinations);
            if let Ok(at) = missing.binary_search(&route.name) {
                missing.remove(at);
            }
        }
        missing.iter().for_each(|it| self.set_destinations(now, it, &[]));
    }

    fn set_destinations(&mut self, now: Time, route: &Arc<str>, destinations: &[Destination]) {
        match self.destinations.binary_search_by(|it| it.route.cmp(route)) {
            Ok(at) if self.destinations[at].current == destinations => {}
            Ok(at) => self.destinations[at].replace(now, destinations),
            Err(at) => {
                let new = Destinations {
                    route: route.clone(),
                    current: destinations.to_vec(),
                    earlier: Vec::new(),
                    forgotten_until: Time(0),
                };
                self.destinations.insert(at, new);
            }
        }
    }

    fn destinations(&self, route: &str) -> Option<&Destinations> {
        let found = self.destinations.binary_search_by(|it| (*it.route).cmp(route));
        found.ok().map(|at| &self.destinations[at])
    }

    /// Records whether all registered hosts select pools by the ids of requests; `None` if they are not known yet.
    pub fn record_hosts(&mut self, now: Time, all_select_pool_by_id: Option<bool>) {
        self.knows_hosts |= all_select_pool_by_id.is_some();
        if all_select_pool_by_id == Some(false) {
            self.random_until = Some(now);
        }
    }

    /// Returns the time for which a stream may be taken up.
    pub fn lifetime(&self) -> Span {
        self.lifetime
    }

    /// Records the list of upstreams.
    pub fn record_list(&mut self, now: Time, entries: &[Entry]) {
        if entries.is_empty() && self.listed_since.is_none() {
            return;
        }
        self.listed_since.get_or_insert(now);
        let mut origins: Vec<_> = entries
            .iter()
            .map(|it| Origin { pool: it.pool.clone(), version: it.version.clone() })
            .collect();
        origins.sort_unstable();
        origins.dedup();
        for listed in &mut self.listed {
            match origins.binary_search(&listed.origin) {
                Ok(at) => {
                    listed.until = None;
                    origins.remove(at);
                }
                Err(_) => {
                    listed.until.get_or_insert(now);
                }
            }
        }
        self.listed.extend(origins.into_iter().map(|origin| Listed { origin, until: None }));
        self.listed.sort_unstable_by(|a, b| a.origin.cmp(&b.origin));
    }

    /// Forgets streams that are too old to be taken up, and versions that have been gone for as long.
    pub fn remove_expired(&mut self, now: Time) {
        let lifetime = self.lifetime;
        self.streams.retain(|it| now.since(it.began_at) < lifetime);
        self.listed.retain(|it| it.until.is_none_or(|until| now.since(until) < lifetime));
        for known in &mut self.destinations {
            known.earlier.retain(|(_, until)| now.since(*until) < lifetime);
        }
        self.destinations.retain(|it| !it.current.is_empty() || !it.earlier.is_empty());
        let listed = &self.listed;
        self.confirmed
            .retain(|(origin, _)| listed.binary_search_by(|it| it.origin.cmp(origin)).is_ok());
    }

    /// Records that the store names a version, which each host that starts from now on reads there.
    pub fn confirm(&mut self, now: Time, origin: &Origin) {
        if let Err(at) = self.confirmed.binary_search_by(|it| it.0.cmp(origin)) {
            self.confirmed.insert(at, (origin.clone(), now + NOTICE));
        }
    }

    /// Returns the versions of a pool at which no stream should begin yet that may be taken up, as another host may not know
    /// of them. None if that holds for all of them.
    pub fn unconfirmed(&self, now: Time, pool: &str) -> Vec<Option<Arc<str>>> {
        let is_usable = |origin: &Origin| {
            let found = self.confirmed.binary_search_by(|it| it.0.cmp(origin));
            found.is_ok_and(|at| self.confirmed[at].1 <= now)
        };
        let (usable, others): (Vec<_>, Vec<_>) = self.recent(pool).partition(|it| is_usable(it));
        if usable.is_empty() {
            return Vec::new();
        }
        others.into_iter().map(|it| it.version.clone()).collect()
    }

    /// Whether a version is on the list, or was so recently that its streams may be taken up.
    pub fn is_recent(&self, origin: &Origin) -> bool {
        self.listed.binary_search_by(|it| it.origin.cmp(origin)).is_ok()
    }

    /// Returns the versions of a pool whose streams may be taken up.
    pub fn recent<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Origin> + 'a {
        self.listed.iter().map(|it| &it.origin).filter(move |it| *it.pool == *pool)
    }

    /// Whether streams of two versions of a pool may be taken up.
    pub fn is_mixed(&self, pool: &str) -> bool {
        self.recent(pool).nth(1).is_some()
    }

    /// Whether this host has followed the list for so long that it has seen the version of each stream that may be taken up.
    pub fn has_seen_all(&self, now: Time) -> bool {
        self.listed_since.is_some_and(|it| now.since(it) >= self.lifetime)
    }

    /// Records that a stream has begun, on a route if this host forwarded it.
    pub fn record_stream(
        &mut self,
        now: Time,
        key: StreamKey,
        (origin, route): (Origin, Option<Arc<str>>),
    ) {
        if self.streams.len() >= MAX_STREAMS {
            self.remove_expired(now);
        }
        if self.streams.len() >= MAX_STREAMS {
            self.make_room();
        }
        match self.streams.binary_search_by_key(&key, |it| it.key) {
            Ok(at) => {
                let stream = &mut self.streams[at];
                stream.began_at = now;
                stream.route = route.or(stream.route.take());
            }
            Err(at) => self.streams.insert(at, Stream { key, began_at: now, origin, route }),
        }
    }

    /// Forgets a part of the streams: the oldest ones of other hosts, which have recorded them, then its own.
    fn make_room(&mut self) {
        let rank = |it: &Stream| (it.route.is_some(), it.began_at, it.key);
        let mut ranks: Vec<_> = self.streams.iter().map(rank).collect();
        ranks.sort_unstable();
        let first = ranks[ranks.len() / EVICTED_PART];
        self.streams.retain(|it| rank(it) >= first);
    }

    /// Returns where a stream began, if this host knows: it forwarded its first event, heard of it, or has seen only one
    /// version in the pool that the route selects for it. `verified_at` is when the list of upstreams was last known to be
    /// the store's.
    pub fn find(
        &self,
        now: Time,
        key: Option<StreamKey>,
        route: &Route,
        verified_at: Option<Time>,
    ) -> Option<Origin> {
        let known = |it: StreamKey| self.streams.binary_search_by_key(&it, |it| it.key).ok();
        if let Some(at) = key.and_then(known) {
            return Some(self.streams[at].origin.clone());
        }
        let pool = self.selected_pool(now, key, (route, self.lifetime))?;
        let mut versions = self.recent(&pool);
        let only = versions.next()?.clone();
        let is_current = verified_at.is_some_and(|it| now.since(it) < NOTICE);
        (versions.next().is_none() && is_current && self.has_seen_all(now)).then_some(only)
    }

    /// Returns the pool in which a stream began that has no record: the one that the route's destinations select for it.
    /// `None` if others did within the last `notice`, or if the stream may be one of a host that draws pools at random.
    pub fn selected_pool(
        &self,
        now: Time,
        key: Option<StreamKey>,
        (route, notice): (&Route, Span),
    ) -> Option<Arc<str>> {
        let select = |destinations: &[Destination]| match destinations {
            [only] => Some(only.pool.clone()),
            _ => table::select(destinations, key?).cloned(),
        };
        let selected = select(&route.destinations)?;
        let is_random = self.random_until.is_some_and(|it| now.since(it) < self.lifetime);
        if route.destinations.len() > 1 && (is_random || !self.knows_hosts) {
            return None;
        }
        let Some(known) = self.destinations(&route.name) else { return Some(selected) };
        if known.forgotten_until > Time(0) && now.since(known.forgotten_until) < notice {
            return None;
        }
        let recent = known.earlier.iter().filter(|(_, until)| now.since(*until) < notice);
        let mut recent = recent.map(|it| &it.0).chain([&known.current]).filter(|it| !it.is_empty());
        recent.all(|it| select(it).as_ref() == Some(&selected)).then_some(selected)
    }

    /// Whether other hosts need a record of this host to find where a stream began.
    fn needs_record(&self, stream: &Stream) -> bool {
        let Some(route) = &stream.route else { return false };
        if self.is_mixed(&stream.origin.pool) {
            return true;
        }
        let known = self.destinations(route);
        let selected = known.and_then(|it| table::select(&it.current, stream.key));
        selected.is_some_and(|it| *it != stream.origin.pool)
    }

    /// Returns the record of the streams of pools in which two versions serve, and of those that began in a pool which the
    /// route no longer selects for them; the newest ones if they are too many.
    pub fn record(&self) -> Record {
        let mut streams: Vec<_> = self.streams.iter().filter(|it| self.needs_record(it)).collect();
        if streams.len() > MAX_RECORDED {
            streams.sort_by_key(|it| std::cmp::Reverse(it.began_at));
            streams.truncate(MAX_RECORDED);
            streams.sort_by_key(|it| it.key);
        }
        let mut record = Record::default();
        for stream in streams {
            let found = record.origins.iter().position(|it| *it == stream.origin);
            let index = found.unwrap_or_else(|| {
                record.origins.push(stream.origin.clone());
                record.origins.len() - 1
            });
            record.streams.push((stream.key.0, index as u32));
        }
        record
    }

    /// Adds what another host has recorded.
    pub fn merge(&mut self, now: Time, record: &Record) {
        for (key, index) in &record.streams {
            let key = StreamKey(*key);
            let is_known = self.streams.binary_search_by_key(&key, |it| it.key).is_ok();
            if let Some(origin) = record.origins.get(*index as usize)
                && !is_known
            {
                self.record_stream(now, key, (origin.clone(), None));
            }
        }
    }
}

/// Streams that one host forwarded, as it writes them to the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Where the streams began, each once.
    pub origins: Vec<Origin>,
    /// Key of each stream, with the index of its origin. Sorted by key.
    pub streams: Vec<(u64, u32)>,
}

impl Record {
    /// Returns the part of the record with the streams of a shard.
    pub fn shard(&self, shard: usize) -> Record {
        let streams = self.streams.iter().filter(|it| StreamKey(it.0).shard() == shard);
        Record { origins: self.origins.clone(), streams: streams.copied().collect() }
    }
}

/// The versions of a pool whose streams may be taken up, as hosts write them to the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Sorted.
    pub versions: Vec<Option<Arc<str>>>,
    /// Era of the store in which a host that had seen all versions confirmed them, `None` if none has. A store that comes
    /// back from an older copy may have lost some.
    pub era: Option<u64>,
}

impl Versions {
    /// Adds the given versions. `has_seen_all` tells whether no other one can have served in this era. Returns whether
    /// anything changed.
    pub fn add<'a>(
        &mut self,
        versions: impl Iterator<Item = &'a Origin>,
        era: u64,
        has_seen_all: bool,
    ) -> bool {
        let before = self.clone();
        for origin in versions {
            if let Err(at) = self.versions.binary_search(&origin.version) {
                self.versions.insert(at, origin.version.clone());
            }
        }
        if has_seen_all {
            self.era = Some(era);
        }
        *self != before
    }

    /// Returns the versions for log lines.
    pub fn names(&self) -> String {
        let names = self.versions.iter().map(|it| it.as_deref().unwrap_or("unstated"));
        names.collect::<Vec<_>>().join(", ")
    }

    /// Returns the only version, if no other one can have served.
    pub fn only(&self, era: u64) -> Option<Option<Arc<str>>> {
        match self.versions.as_slice() {
            [only] if self.era == Some(era) => Some(only.clone()),
            _ => None,
        }
    }
}
