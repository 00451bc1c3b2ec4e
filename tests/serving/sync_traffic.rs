//! What hosts send each other while nothing happens, and when a host becomes a hub.

use std::{net::SocketAddr, time::Duration};

use almondrack::serving::{
    messages::{Placement, Request, Response},
    peers::Peers,
};
use tokio::{task::LocalSet, time::sleep};

use crate::followers::Fleet;

/// Time in which a part passes from each host to all others many times, if they pass it on again.
const IDLE_TIME: Duration = Duration::from_millis(3_000);

/// Interval between two requests of a member to a hub.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);

/// A host of the fleet that the others do not know.
struct Visitor {
    peers: Peers,
    hub: SocketAddr,
    is_hub: bool,
    placed_after: u64,
}

impl Visitor {
    fn new(hub: SocketAddr, is_hub: bool) -> Visitor {
        Visitor { peers: Peers::default(), hub, is_hub, placed_after: 0 }
    }

    async fn sync(&mut self, placed: Vec<Placement>) -> Response {
        let request = Request {
            host: "visitor".to_owned(),
            is_hub: self.is_hub,
            revisions: vec![1; 3],
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

/// Has a hub of the zone `a` told of some parts, and has `visitors` ask for news for some time. Returns how many parts
/// each of them heard of.
async fn parts_heard(fleet: &Fleet, visitors: &mut [Visitor]) -> Vec<usize> {
    let placed = (0..PARTS as u64).map(|part| Placement { part, upstream: 1 }).collect();
    Visitor::new(hubs(fleet, "a")[0], false).sync(placed).await;
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
