//! Lookups of where streams began in the records of a fleet.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use almondrack::{
    serving::{
        fleet_state::Verification,
        stream_origin::Origin,
        stream_records::{self, Options, Records},
        table::{Limits, Parts, Pool, RetryPolicy, Route, Table},
    },
    store::{Commit, Committed, Failure, Item, LeaseId, Page, Store, Watch},
};
use bytes::Bytes;
use http::HeaderValue;
use tokio::{
    sync::watch,
    task::LocalSet,
    time::{Instant, sleep},
};

use crate::{
    exchange::routed_request,
    fixture::{POOL, engine},
};

/// Hosts with records.
const HOSTS: usize = 60;

/// Streams in the record of each host: ten a second, for as long as they may be taken up.
const STREAMS: usize = 300;

/// Time of a byte of a value on a link of 10 Mbit/s, where values are encoded with four bytes for three.
const BYTE_TIME: Duration = Duration::from_nanos(1_070);

/// Time within which all hosts have written their records.
const WRITE_TIME: Duration = Duration::from_secs(10);

/// Store at the other end of a slow link. Writes and single keys take no time.
#[derive(Debug, Clone, Default)]
struct SlowStore {
    items: Rc<RefCell<BTreeMap<String, Bytes>>>,
}

impl SlowStore {
    /// Number of hosts that have written records.
    fn writers(&self) -> usize {
        let items = self.items.borrow();
        let records = items.keys().filter(|it| it.contains("/streams/"));
        records.filter_map(|it| it.rsplit('/').next()).collect::<BTreeSet<_>>().len()
    }
}

impl Store for SlowStore {
    fn era(&self) -> u64 {
        0
    }

    async fn get(&self, key: &str) -> Result<Option<Item>, Failure> {
        let value = self.items.borrow().get(key).cloned();
        Ok(value.map(|value| Item { key: key.to_owned(), value, revision: 1 }))
    }

    async fn list(&self, prefix: &str, _: &str) -> Result<Page, Failure> {
        let items: Vec<_> = self
            .items
            .borrow()
            .iter()
            .filter(|it| it.0.starts_with(prefix))
            .map(|(key, value)| Item { key: key.clone(), value: value.clone(), revision: 1 })
            .collect();
        let bytes: usize = items.iter().map(|it| it.value.len()).sum();
        sleep(BYTE_TIME * bytes as u32).await;
        Ok(Page { items, more: false, revision: 1 })
    }

    async fn watch(&self, _: &str, _: u64, _: u64) -> Result<Watch, Failure> {
        Err(Failure::Refused(404))
    }

    async fn commit(&self, commit: &Commit) -> Result<Committed, Failure> {
        let mut items = self.items.borrow_mut();
        items.extend(commit.put.iter().map(|it| (it.key.clone(), it.value.clone())));
        Ok(Committed::Done(1))
    }

    async fn open_lease(&self, _: u64) -> Result<LeaseId, Failure> {
        Ok(LeaseId { id: 1, era: 0 })
    }

    async fn renew_lease(&self, _: LeaseId) -> Result<bool, Failure> {
        Ok(true)
    }

    async fn end_lease(&self, _: LeaseId) -> Result<(), Failure> {
        Ok(())
    }
}

fn route() -> Route {
    (*routed_request(true, RetryPolicy::Resume).route).clone()
}

/// Starts the tasks of a host that sees upstreams of two versions. `begin` records the streams that it forwarded.
fn spawn(store: &SlowStore, host: usize, begin: impl FnOnce(&Records)) -> Records {
    let pool =
        Pool { name: POOL.into(), connections: 100, engine: None, scaling: None, cold_rate: None };
    let parts = Parts {
        version: 1,
        limits: Limits::default(),
        routes: vec![route()],
        pools: vec![pool],
        customers: None,
    };
    let mut second = engine(1);
    second.version = Some("v2".into());
    let (records, mailbox) = Records::open(watch::channel(Verification::default()).1);
    begin(&records);
    let options = Options {
        store: store.clone(),
        writer: format!("host-{host}"),
        upstreams: watch::channel(Rc::new(vec![engine(0), second])).1,
        table: watch::channel(Some(Arc::new(Table::build(parts)))).1,
        roster: watch::channel(Rc::default()).1,
    };
    stream_records::spawn(options, mailbox);
    records
}

fn id(host: usize, stream: usize) -> HeaderValue {
    HeaderValue::from_str(&format!("{host:04}-{stream:011}")).expect("the id is text")
}

// A lookup read the records of all hosts, which took longer than it may at 60 hosts.
#[tokio::test]
async fn a_stream_is_found_in_the_records_of_sixty_hosts_over_a_slow_link() {
    let play = async {
        let store = SlowStore::default();
        let origin = Origin { pool: POOL.into(), version: Some("v1".into()) };
        for host in 0..HOSTS {
            spawn(&store, host, |records| {
                for stream in 0..STREAMS {
                    records.record(&id(host, stream), origin.clone(), &route());
                }
            });
        }
        let start = Instant::now();
        while store.writers() < HOSTS && start.elapsed() < WRITE_TIME {
            sleep(Duration::from_millis(50)).await;
        }
        let records = spawn(&store, HOSTS, |_| {});
        for host in 0..HOSTS {
            let id = id(host, host);
            let found = records.find(Some(&id), Arc::new(route())).await;
            assert_eq!(
                found.as_ref(),
                Ok(&origin),
                "{id:?}, {} hosts have records",
                store.writers()
            );
        }
    };
    LocalSet::new().run_until(play).await;
}
