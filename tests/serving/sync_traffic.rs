//! What hosts send each other while nothing happens, and when a host becomes a hub.

use std::{net::SocketAddr, time::Duration};

use almondrack::{
    serving::{
        messages::{self, Placement, Request, Response, Update},
        mirror::{self, Mirror},
        peers::Peers,
        sync_budget::{Budget, Transmission},
    },
    store::{Change, Item},
};
use bincode::Options as _;
use tokio::{task::LocalSet, time::sleep};

use crate::{
    fixture::at,
    followers::{CONFIGURATION_BOUND, Fleet},
};

/// Time in which a part passes from each host to all others many times, if they pass it on again.
const IDLE_TIME: Duration = Duration::from_millis(3_000);

/// Interval between two requests of a member to a hub.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);

/// Rate of the slowest link of the users' hosts.
const SLOW_LINK_MBPS: f64 = 10.0;

/// Bytes that this link carries in a second.
const SLOW_LINK_BYTES: u64 = 1_250_000;

/// Size of a configuration of 1,000 routes.
const LARGE_CONFIGURATION_BYTES: usize = 300_000;

/// Members of a zone of the users' fleet of 82 hosts.
const MEMBERS: usize = 26;

/// A host of the fleet that the others do not know.
struct Visitor {
    peers: Peers,
    hub: SocketAddr,
    is_hub: bool,
    placed_after: u64,
    /// Revision of its copy of the configuration.
    revision: u64,
}

impl Visitor {
    fn new(hub: SocketAddr, is_hub: bool) -> Visitor {
        Visitor { peers: Peers::default(), hub, is_hub, placed_after: 0, revision: 1 }
    }

    async fn sync(&mut self, placed: Vec<Placement>) -> Response {
        let request = Request {
            host: "visitor".to_owned(),
            is_hub: self.is_hub,
            revisions: vec![self.revision, 1, 1],
            loads: Vec::new(),
            placed,
            placed_after: self.placed_after,
            counts: Vec::new(),
        };
        let response = self.peers.sync(self.hub, request).await.expect("the hub responds");
        self.placed_after = response.placed_next;
        response
    }
}

/// Returns the hubs of a zone.
fn hubs(fleet: &Fleet, zone: &str) -> Vec<SocketAddr> {
    let roster = fleet.hosts[0].roster.borrow().clone();
    roster.ranked(zone).into_iter().take(2).map(|it| it.address).collect()
}

/// Parts that a host reports in one request.
const PARTS: usize = 10;

/// Tells a hub of the zone `a` of some parts.
async fn report_parts(fleet: &Fleet) {
    let placed = (0..PARTS as u64).map(|part| Placement { part, upstream: 1 }).collect();
    Visitor::new(hubs(fleet, "a")[0], false).sync(placed).await;
}

/// Has a hub of the zone `a` told of some parts, and has `visitors` ask for news for some time. Returns how many parts
/// each of them heard of.
async fn parts_heard(fleet: &Fleet, visitors: &mut [Visitor]) -> Vec<usize> {
    report_parts(fleet).await;
    let mut heard = vec![0; visitors.len()];
    for _ in 0..IDLE_TIME.div_duration_f64(SYNC_INTERVAL) as usize {
        sleep(SYNC_INTERVAL).await;
        for (visitor, heard) in visitors.iter_mut().zip(&mut heard) {
            *heard += visitor.sync(Vec::new()).await.placed.len();
        }
    }
    heard
}

#[tokio::test]
async fn parts_that_one_host_sent_do_not_circulate_between_the_hubs() {
    let run = async {
        let fleet = Fleet::spawn(18).await;
        let all = ["a", "b", "c"].map(|zone| hubs(&fleet, zone)).concat();
        let mut hubs: Vec<_> = all.into_iter().map(|it| Visitor::new(it, true)).collect();
        let heard = parts_heard(&fleet, &mut hubs).await;
        // A hub tells those of other zones at most once of each part.
        assert!(heard.iter().all(|it| *it <= PARTS), "{heard:?} parts, {PARTS} were sent");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_member_hears_of_each_part_once_though_it_asks_both_hubs() {
    let run = async {
        let fleet = Fleet::spawn(18).await;
        let all = ["b", "c"].map(|zone| hubs(&fleet, zone)).concat();
        let mut visitors: Vec<_> = all.into_iter().map(|it| Visitor::new(it, false)).collect();
        let heard = parts_heard(&fleet, &mut visitors).await;
        let by_zone: Vec<usize> = heard.chunks(2).map(|it| it.iter().sum()).collect();
        assert_eq!(by_zone, [PARTS, PARTS], "parts heard of in the zones b and c");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_new_hub_gets_no_old_parts_from_other_zones() {
    let run = async {
        let fleet = Fleet::spawn(18).await;
        report_parts(&fleet).await;
        sleep(Duration::from_millis(1_500)).await;
        let heard = Visitor::new(hubs(&fleet, "a")[0], true).sync(Vec::new()).await.placed;
        assert!(
            heard.is_empty(),
            "hears of {} parts that its group has known for long",
            heard.len()
        );
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_hub_on_a_slow_link_sends_no_more_than_that_carries() {
    let run = async {
        let fleet = Fleet::spawn_on_links(18, Some(SLOW_LINK_MBPS)).await;
        let hub = hubs(&fleet, "a")[0];
        let mut members: Vec<_> = (0..MEMBERS).map(|_| Visitor::new(hub, false)).collect();
        for member in &mut members {
            member.sync(Vec::new()).await;
        }
        fleet.put_configuration(2, LARGE_CONFIGURATION_BYTES);
        let mut bytes = 0;
        for _ in 0..5 {
            sleep(SYNC_INTERVAL).await;
            for member in &mut members {
                let response = member.sync(Vec::new()).await;
                bytes += response.sizes().map(|it| it.1).sum::<u64>();
                let update = response.prefixes[0].update.as_ref();
                if update.is_some_and(|it| it.is_withheld() || !it.changes.is_empty()) {
                    // Those without it read it from the store.
                    member.revision = u64::MAX;
                }
            }
        }
        assert!(members.iter().all(|it| it.revision == u64::MAX), "a member hears of no change");
        assert!(bytes <= SLOW_LINK_BYTES, "{bytes} bytes in a second");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_large_configuration_is_in_force_in_time_where_hubs_have_slow_links() {
    let run = async {
        let fleet = Fleet::spawn_on_links(45, Some(SLOW_LINK_MBPS)).await;
        let time = fleet.large_configuration_time(2, LARGE_CONFIGURATION_BYTES).await;
        assert!(time <= CONFIGURATION_BOUND, "in force at all hosts after {time:?}");
    };
    LocalSet::new().run_until(run).await;
}

#[test]
fn a_large_update_reaches_hosts_that_the_store_turns_away_one_after_the_other() {
    let mut budget = Budget::new(Some(SLOW_LINK_MBPS));
    let hosts = ["a", "b", "c"];
    let mut sent = Vec::new();
    for ms in (5_000..9_000).step_by(200) {
        for host in hosts {
            let is_known = sent.iter().any(|it: &(&str, u64)| it.0 == host);
            let bytes = LARGE_CONFIGURATION_BYTES as u64;
            if !is_known && budget.decide(at(ms), (host, 0), bytes) == Transmission::Now {
                budget.charge(bytes);
                sent.push((host, ms));
            }
        }
    }
    // First they have a second to read it from the store, then each waits until half the link has carried the one before.
    assert_eq!(sent, [("a", 6_000), ("b", 6_600), ("c", 7_200)]);
}

#[test]
fn an_update_of_the_upstreams_is_not_held_back_by_a_link_that_stays_full() {
    let mut budget = Budget::new(Some(SLOW_LINK_MBPS));
    let mut sent_at = None;
    for ms in (5_000..9_000).step_by(50) {
        // Other content takes the whole share.
        let room = budget.available(at(ms));
        budget.charge(room);
        if budget.decide(at(ms), ("a", 1), 20_000) == Transmission::Now {
            sent_at.get_or_insert(ms);
        }
    }
    assert_eq!(sent_at, Some(5_250));
}

/// Guards against hubs whose memory a large configuration fills once for each member.
#[test]
fn large_updates_that_no_host_has_received_are_few() {
    const LARGEST: u64 = 1 << 20;
    for mbps in [None, Some(1_000.0)] {
        let mut budget = Budget::new(mbps);
        let hosts: Vec<_> = (0..60).map(|it| format!("host-{it}")).collect();
        let decide = |budget: &mut Budget, ms| {
            let is_sent = |it: &&String| {
                budget.decide(at(ms), (it.as_str(), 0), LARGEST) == Transmission::Now
            };
            hosts.iter().filter(is_sent).count()
        };
        assert_eq!(decide(&mut budget, 5_000), 8, "sent to 60 hosts at once");
        assert_eq!(decide(&mut budget, 5_400), 0, "sent while no host has asked again");
        hosts[..3].iter().for_each(|it| budget.received(it));
        assert_eq!(decide(&mut budget, 5_500), 3, "sent after three have asked again");
        // Those that fell silent hold nobody up for longer than a response is waited for.
        assert_eq!(decide(&mut budget, 10_000), 5);
        assert_eq!(decide(&mut budget, 10_500), 3);
    }
}

/// Guards against hosts of two builds that do not understand each other.
#[test]
fn values_are_encoded_like_vectors_of_bytes() {
    let value = messages::Value::from(vec![0, 1, 250, 251, 255]);
    let vector = vec![0_u8, 1, 250, 251, 255];
    let encode = bincode::options();
    let encoded = encode.serialize(&value).expect("bytes can be encoded");
    assert_eq!(encoded, encode.serialize(&vector).expect("bytes can be encoded"));
    let decoded: messages::Value = encode.deserialize(&encoded).expect("bytes can be decoded");
    assert_eq!(decoded, value);
}

#[test]
fn an_update_that_is_withheld_changes_nothing_at_a_host_that_does_not_know_it() {
    let item = |revision| Item { key: "key".to_owned(), value: vec![1].into(), revision };
    for revision in [0, 7] {
        let mut copy = Mirror::default();
        copy.apply(mirror::Update::Listing(vec![item(revision)], revision));
        let before = copy.since(0);
        let update = Update::withheld(revision);
        let changes = update.changes.into_iter().map(|it| Change::Deleted(it.key, it.revision));
        let new = copy.apply(mirror::Update::Changes(changes.collect(), update.revision));
        assert_eq!((new, copy.since(0), copy.revision()), (Vec::new(), before, revision));
    }
}
