//! A store that counts its calls by cause in the metrics, as the platform charges for each call.

use crate::{
    metrics::Metrics,
    store::{Commit, Committed, Failure, Item, LeaseId, Page, Store, Watch},
};

/// Purpose of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Following the configuration.
    Configuration,
    /// Following the entries of upstreams.
    Upstreams,
    /// Following the hosts and the leader.
    Fleet,
    /// Writing the host's record and renewing its lease.
    Registration,
    /// Claiming and renewing the leadership.
    Leadership,
    /// Writing and sealing usage counts.
    Usage,
    /// Writing and looking up where streams began.
    Streams,
}

impl Cause {
    /// Returns the value of the metric's `cause` label.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Configuration => "configuration",
            Cause::Upstreams => "upstreams",
            Cause::Fleet => "fleet",
            Cause::Registration => "registration",
            Cause::Leadership => "leadership",
            Cause::Usage => "usage",
            Cause::Streams => "streams",
        }
    }
}

/// A store whose calls are counted for one cause.
#[derive(Debug, Clone)]
pub struct Counted<S> {
    store: S,
    metrics: Metrics,
    cause: Cause,
}

impl<S: Store> Counted<S> {
    /// Wraps a store and counts its calls under a cause.
    pub fn new(store: S, metrics: Metrics, cause: Cause) -> Counted<S> {
        Counted { store, metrics, cause }
    }

    fn count<T>(&self, call: &'static str, result: Result<T, Failure>) -> Result<T, Failure> {
        let outcome = match &result {
            Ok(_) => "ok",
            Err(Failure::Refused(_)) => "refused",
            Err(Failure::Unknown(_)) => "no_answer",
            Err(Failure::Invalid(_)) => "invalid",
            Err(Failure::Oversized(_)) => "oversized",
        };
        self.metrics.store_called(self.cause.as_str(), call, outcome);
        self.metrics.store_era.set(i64::try_from(self.store.era()).unwrap_or(i64::MAX));
        result
    }

    /// Returns a clone that counts its calls under another cause.
    pub fn for_cause(&self, cause: Cause) -> Counted<S> {
        Counted { cause, ..self.clone() }
    }
}

impl<S: Store> Store for Counted<S> {
    fn era(&self) -> u64 {
        self.store.era()
    }

    async fn get(&self, key: &str) -> Result<Option<Item>, Failure> {
        self.count("get", self.store.get(key).await)
    }

    async fn list(&self, prefix: &str, after: &str) -> Result<Page, Failure> {
        self.count("list", self.store.list(prefix, after).await)
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<Watch, Failure> {
        self.count("watch", self.store.watch(prefix, after, wait_ms).await)
    }

    async fn commit(&self, commit: &Commit) -> Result<Committed, Failure> {
        self.count("commit", self.store.commit(commit).await)
    }

    async fn open_lease(&self, ttl_ms: u64) -> Result<LeaseId, Failure> {
        self.count("open_lease", self.store.open_lease(ttl_ms).await)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, Failure> {
        self.count("renew_lease", self.store.renew_lease(lease).await)
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), Failure> {
        self.count("end_lease", self.store.end_lease(lease).await)
    }
}
