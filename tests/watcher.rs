//! Hosts that keep their configuration up to date over TCP, with the platform's stand-in.

mod fleet;

use std::{sync::Arc, time::Duration};

use almondrack::{
    credential::Digest,
    member::View,
    platform::{Cause, Client},
    rendezvous,
};
use bytes::Bytes;
use fleet::{Fleet, Host, IN_FORCE, calls, http, local};
use serde_json::{Value, json};
use stand_ins::{platform, server::Server};
use tokio::time::{sleep, timeout};

async fn faults(platform: &Server, faults: Value) {
    http(platform, "POST", "/test/faults", &faults).await;
}

fn weight_of(host: &Host, customer: &str) -> Option<u32> {
    host.watcher.snapshot.borrow().customer(customer).map(|it| it.weight)
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_come_into_force_on_every_host() {
    let fleet = Fleet::spawn(8, 2).await;
    for weight in 1..=10 {
        let revision = fleet.customer("bakery", weight).await;
        fleet.wait_for(revision).await;
        assert!(fleet.hosts.iter().all(|it| weight_of(it, "bakery") == Some(weight)));
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
    let digest = Digest::of(secret).to_hex();
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
        assert!(fleet.hosts.iter().all(|it| weight_of(it, "bakery").is_some()), "{fault}");
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
    let mut snapshot = host.watcher.snapshot.clone();
    let first = timeout(IN_FORCE, snapshot.wait_for(|it| it.revision > 0)).await;
    assert_eq!(first.unwrap().unwrap().revision, newest);
    assert_eq!(weight_of(host, "bakery"), Some(2));
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(weight_of(host, "bakery"), Some(2));
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
    // More than one page; each client may make some fifty calls at once.
    for batch in 0..24 {
        fleet.store = Client::open(fleet.platform.address(), "operator");
        for number in 0..45 {
            fleet.customer(&format!("c{batch:02}-{number:02}"), 1).await;
        }
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
    assert!(fleet.hosts.iter().all(|it| it.watcher.snapshot.borrow().customers.len() == 1_081));
}
