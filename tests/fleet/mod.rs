//! Hosts in one process that receive the configuration from a stand-in of the platform and from each other over TCP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use almondrack::{
    member::{Member, State, View},
    peer::{self, Mailboxes, Peers},
    platform::{Cause, Client, Write},
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
    time::timeout,
};

/// Time within which a change must be in force on every reachable host.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(5);

pub(crate) fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) async fn http(platform: &Server, method: &str, path: &str, body: &Value) -> Value {
    let http: Http<HttpConnector, Full<Bytes>> = Http::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}{path}", platform.address());
    let body = Full::new(Bytes::from(body.to_string()));
    let request = Request::builder().method(method).uri(uri).body(body).unwrap();
    let answer = http.request(request).await.unwrap().into_body().collect().await.unwrap();
    serde_json::from_slice(&answer.to_bytes()).unwrap_or(Value::Null)
}

pub(crate) async fn calls(platform: &Server, cause: &str) -> u64 {
    let calls = http(platform, "GET", "/test/calls", &Value::Null).await;
    calls["by_cause"][cause].as_u64().unwrap_or(0)
}

/// A host that runs only the peer service and the watcher.
pub(crate) struct Host {
    pub(crate) member: Member,
    pub(crate) watcher: Watcher,
    pub(crate) view: watch::Sender<Arc<View>>,
    server: JoinHandle<()>,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.server.abort();
    }
}

pub(crate) struct Fleet {
    pub(crate) platform: Server,
    pub(crate) store: Client,
    pub(crate) hosts: Vec<Host>,
}

impl Fleet {
    /// Starts the stand-in and `count` hosts `z1h0`, `z2h0`, `z1h1`, … in `zones` zones.
    pub(crate) async fn spawn(count: usize, zones: usize) -> Fleet {
        let platform = platform::spawn(platform::Options::new(local())).unwrap();
        let store = Client::open(platform.address(), "operator");
        let mut fleet = Fleet { platform, store, hosts: Vec::new() };
        for number in 0..count {
            fleet.add(&format!("z{}", number % zones + 1), number / zones).await;
        }
        fleet
    }

    pub(crate) async fn add(&mut self, zone: &str, number: usize) {
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
        let complete = Arc::new(View { members });
        let (view_sender, view) = watch::channel(complete.clone());
        let (config, mailbox) = mpsc::channel(64);
        let watcher = watcher::spawn(watcher::Options {
            platform: Client::open(self.platform.address(), &id),
            peers: Peers::spawn(),
            view,
            host: id,
            zone: zone.to_owned(),
            mailbox,
        });
        let mailboxes = Mailboxes { config, ..peer::mailboxes(1).0 };
        let server = tokio::spawn(peer::serve(listener, mailboxes));
        for host in &self.hosts {
            host.view.send_replace(complete.clone());
        }
        self.hosts.push(Host { member, watcher, view: view_sender, server });
    }

    pub(crate) async fn write(&self, key: &str, value: &Value) -> u64 {
        let text = Bytes::from(value.to_string());
        match self.store.put(Cause::Config, key, text, None).await.unwrap() {
            Write::Written(revision) => revision,
            Write::Conflict(version) => panic!("unexpected conflict with version {version}"),
        }
    }

    pub(crate) async fn customer(&self, name: &str, weight: u32) -> u64 {
        let record = json!({ "schema": 2, "kind": "customer", "name": name, "weight": weight });
        self.write(&format!("config/customer/{name}"), &record).await
    }

    pub(crate) async fn wait_for(&self, revision: u64) {
        for host in &self.hosts {
            host.wait_for(revision).await;
        }
    }
}

impl Host {
    pub(crate) async fn wait_for(&self, revision: u64) {
        let mut snapshot = self.watcher.snapshot.clone();
        let in_force = timeout(IN_FORCE, snapshot.wait_for(|it| it.revision >= revision)).await;
        let reached = in_force.is_ok_and(|it| it.is_ok());
        assert!(
            reached,
            "{} did not reach the revision in time: {:?}",
            self.member.id,
            self.watcher.status.borrow()
        );
    }
}
