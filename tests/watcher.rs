//! Hosts that keep their configuration up to date over TCP, with the platform's stand-in.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use almondrack::{
    member::{Member, State, View},
    peer::{self, Mailboxes, Peers},
    platform::{Cause, Client, Write},
    rendezvous,
    watcher::{self, Watcher},
};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{Client as Http, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use stand_ins::{platform, server::Server};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Bound for a change to be in force on every reachable host.
const IN_FORCE: Duration = Duration::from_secs(5);

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn http(platform: &Server, method: &str, path: &str, body: &Value) -> Value {
    let http: Http<HttpConnector, Full<Bytes>> = Http::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}{path}", platform.address());
    let body = Full::new(Bytes::from(body.to_string()));
    let request = Request::builder().method(method).uri(uri).body(body).unwrap();
    let answer = http.request(request).await.unwrap().into_body().collect().await.unwrap();
    serde_json::from_slice(&answer.to_bytes()).unwrap_or(Value::Null)
}

async fn faults(platform: &Server, faults: Value) {
    http(platform, "POST", "/test/faults", &faults).await;
}

async fn calls(platform: &Server, cause: &str) -> u64 {
    let calls = http(platform, "GET", "/test/calls", &Value::Null).await;
    calls["by_cause"][cause].as_u64().unwrap_or(0)
}

/// One host: the peer service and the watcher.
struct Host {
    member: Member,
    watcher: Watcher,
    view: watch::Sender<Arc<View>>,
    server: JoinHandle<()>,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.server.abort();
    }
}

struct Fleet {
    platform: Server,
    store: Client,
    hosts: Vec<Host>,
}

impl Fleet {
    /// Hosts `z1h0`, `z2h0`, `z1h1`, … in this many zones.
    async fn spawn(count: usize, zones: usize) -> Fleet {
        let platform = platform::spawn(platform::Options::new(local())).unwrap();
        let store = Client::open(platform.address(), "operator");
        let mut fleet = Fleet { platform, store, hosts: Vec::new() };
        for number in 0..count {
            fleet.add(&format!("z{}", number % zones + 1), number / zones).await;
        }
        fleet
    }

    async fn add(&mut self, zone: &str, number: usize) {
        let id = format!("{zone}h{number}");
        let listener = TcpListener::bind(local()).await.unwrap();
        let member = Member {
            id: id.clone(),
            region: "r".to_owned(),
            zone: zone.to_owned(),
            peer: listener.local_addr().unwrap(),
            admin: local(),
            incarnation: 1,
            version: 0,
            state: State::Alive,
        };
        let mut members: Vec<_> = self.hosts.iter().map(|it| it.member.clone()).collect();
        members.push(member.clone());
        members.sort_by(|a, b| a.id.cmp(&b.id));
        let full = Arc::new(View { members });
        let (view_sender, view) = watch::channel(full.clone());
        let (config, mailbox) = mpsc::channel(64);
        let watcher = watcher::spawn(watcher::Options {
            platform: Client::open(self.platform.address(), &id),
            peers: Peers::spawn(),
            view,
            host: id,
            zone: zone.to_owned(),
            mailbox,
        });
        let mailboxes = Mailboxes {
            dispatch: mpsc::channel(1).0,
            attempts: mpsc::channel(1).0,
            members: mpsc::channel(1).0,
            config,
            usage: mpsc::channel(1).0,
            limits: mpsc::channel(1).0,
        };
        let server = tokio::spawn(peer::serve(listener, mailboxes));
        for host in &self.hosts {
            host.view.send_replace(full.clone());
        }
        self.hosts.push(Host { member, watcher, view: view_sender, server });
    }

    async fn write(&self, key: &str, value: &Value) -> u64 {
        let text = Bytes::from(value.to_string());
        match self.store.put(Cause::Config, key, text, None).await.unwrap() {
            Write::Written(revision) => revision,
            Write::Conflict(version) => panic!("conflict with {version}"),
        }
    }

    async fn customer(&self, name: &str, weight: u32) -> u64 {
        let record = json!({ "schema": 2, "kind": "customer", "name": name, "weight": weight });
        self.write(&format!("config/customer/{name}"), &record).await
    }

    async fn wait_for(&self, revision: u64) {
        for host in &self.hosts {
            host.wait_for(revision).await;
        }
    }
}

impl Host {
    async fn wait_for(&self, revision: u64) {
        let mut snapshot = self.watcher.snapshot.clone();
        let in_force = timeout(IN_FORCE, snapshot.wait_for(|it| it.revision >= revision)).await;
        let reached = in_force.is_ok_and(|it| it.is_ok());
        assert!(reached, "{} stayed at {:?}", self.member.id, self.watcher.status.borrow());
    }

    fn weight(&self, customer: &str) -> Option<u32> {
        self.watcher.snapshot.borrow().customer(customer).map(|it| it.weight)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_come_into_force_on_every_host() {
    let fleet = Fleet::spawn(8, 2).await;
    for weight in 1..=10 {
        let revision = fleet.customer("bakery", weight).await;
        fleet.wait_for(revision).await;
        assert!(fleet.hosts.iter().all(|it| it.weight("bakery") == Some(weight)));
    }
    let watching = fleet.hosts.iter().filter(|it| it.watcher.status.borrow().watching).count();
    assert_eq!(watching, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_without_the_platform_hears_from_peers() {
    let fleet = Fleet::spawn(8, 2).await;
    fleet.wait_for(fleet.customer("bakery", 1).await).await;
    let cut: Vec<_> =
        fleet.hosts.iter().map(|it| &it.member.id).filter(|it| it.starts_with("z2")).collect();
    faults(&fleet.platform, json!({ "down_for_hosts": cut })).await;
    for weight in 2..=4 {
        fleet.wait_for(fleet.customer("bakery", weight).await).await;
    }
    // A key that is withdrawn meanwhile ends there as well.
    let secret = "secret";
    let digest = almondrack::credential::Digest::of(secret).to_hex();
    let mut record = json!({ "schema": 2, "kind": "key", "name": "k", "role": "caller",
        "customer": "bakery", "digest": digest });
    fleet.wait_for(fleet.write("config/key/k", &record).await).await;
    let valid = |it: &Host| it.watcher.snapshot.borrow().authenticate(secret, 0).is_ok();
    assert!(fleet.hosts.iter().all(valid));
    record["withdrawn"] = json!(true);
    fleet.wait_for(fleet.write("config/key/k", &record).await).await;
    assert!(!fleet.hosts.iter().any(valid));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_keeps_what_is_in_force() {
    let mut fleet = Fleet::spawn(4, 1).await;
    let revision = fleet.customer("bakery", 1).await;
    fleet.wait_for(revision).await;
    for fault in ["down", "hang", "garbage"] {
        faults(&fleet.platform, json!({ fault: true })).await;
        sleep(Duration::from_millis(1_500)).await;
        assert!(fleet.hosts.iter().all(|it| it.weight("bakery").is_some()), "{fault}");
        // A host that starts meanwhile serves what its peers have.
        let number = fleet.hosts.len();
        fleet.add("z1", number).await;
        fleet.hosts[number].wait_for(revision).await;
        faults(&fleet.platform, json!({ fault: false })).await;
    }
    fleet.wait_for(fleet.customer("bakery", 2).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_never_starts_behind_its_peers() {
    let mut fleet = Fleet::spawn(4, 2).await;
    fleet.wait_for(fleet.customer("bakery", 1).await).await;
    // The store answers the hosts of a zone with what it held long ago.
    let behind = platform::spawn(platform::Options::new(local())).unwrap();
    let newest = fleet.customer("bakery", 2).await;
    fleet.wait_for(newest).await;
    let current = std::mem::replace(&mut fleet.platform, behind);
    let old = Client::open(fleet.platform.address(), "operator");
    let record = json!({ "schema": 2, "kind": "customer", "name": "bakery", "weight": 9 });
    let text = Bytes::from(record.to_string());
    old.put(Cause::Config, "config/customer/bakery", text, None).await.unwrap();
    fleet.add("z1", 7).await;
    let host = &fleet.hosts[4];
    host.wait_for(newest).await;
    assert_eq!(host.weight("bakery"), Some(2));
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(host.weight("bakery"), Some(2));
    assert!(host.watcher.status.borrow().last_refusal.is_some());
    drop(current);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_watcher_is_replaced() {
    let mut fleet = Fleet::spawn(5, 1).await;
    fleet.wait_for(fleet.customer("bakery", 1).await).await;
    let ids: Vec<_> = fleet.hosts.iter().map(|it| it.member.id.clone()).collect();
    let watchers = rendezvous::owners("config", ids.iter().map(String::as_str), 2);
    fleet.hosts.retain(|it| !watchers.contains(&it.member.id.as_str()));
    let members: Vec<_> = fleet.hosts.iter().map(|it| it.member.clone()).collect();
    let mut members = members;
    members.sort_by(|a, b| a.id.cmp(&b.id));
    let view = Arc::new(View { members });
    for host in &fleet.hosts {
        host.view.send_replace(view.clone());
    }
    fleet.wait_for(fleet.customer("bakery", 2).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_starting_zone_does_not_list_the_store_from_every_host() {
    let mut fleet = Fleet::spawn(0, 1).await;
    for number in 0..1_500 {
        fleet.customer(&format!("c{number:04}"), 1).await;
    }
    let newest = fleet.customer("bakery", 1).await;
    let before = calls(&fleet.platform, "config").await;
    for number in 0..8 {
        fleet.add("z1", number).await;
    }
    fleet.wait_for(newest).await;
    let listed = calls(&fleet.platform, "config").await - before;
    // Two pages for each watcher, and for a host that started before it knew of the others.
    assert!(listed <= 6, "{listed} pages were listed");
    assert!(fleet.hosts.iter().all(|it| it.watcher.snapshot.borrow().customers.len() == 1_501));
}
