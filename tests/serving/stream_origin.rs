//! Which version began a stream, as far as a host can know.

use std::sync::Arc;

use almondrack::serving::{
    registry::Entry,
    stream_origin::{CHANGE_NOTICE, Origin, Origins, SHARDS, StreamKey, Versions},
    table::{Destination, RetryPolicy, Route, select},
};
use quickcheck::quickcheck;

use crate::{
    exchange::routed_request,
    fixture::{POOL, at, engine},
};

fn origin(version: &str) -> Origin {
    Origin { pool: POOL.into(), version: Some(version.into()) }
}

/// A route whose streams may be taken up, split by weights.
fn route(weights: &[(&str, u32)]) -> Route {
    let destinations =
        weights.iter().map(|(pool, weight)| Destination { pool: (*pool).into(), weight: *weight });
    let route = (*routed_request(true, RetryPolicy::Resume).route).clone();
    Route { destinations: destinations.collect(), ..route }
}

fn only() -> Route {
    route(&[(POOL, 1)])
}

/// Records that this host forwarded a stream.
fn begin(origins: &mut Origins, ms: u64, id: &str, origin: Origin) {
    origins.record_stream(at(ms), StreamKey::of(id.as_bytes()), (origin, Some("route".into())));
}

fn engine_of(index: usize, version: &str) -> Entry {
    Entry { version: Some(version.into()), ..engine(index) }
}

fn key(id: &str) -> Option<StreamKey> {
    Some(StreamKey::of(id.as_bytes()))
}

#[test]
fn a_host_that_has_just_started_does_not_take_the_only_version_for_the_one_there_ever_was() {
    let mut origins = Origins::default();
    origins.record_list(at(0), &[engine_of(1, "v2")]);
    assert_eq!(origins.find(at(9_999), key("a"), &only(), Some(at(9_999))), None);
    assert_eq!(origins.find(at(10_000), key("a"), &only(), Some(at(10_000))), Some(origin("v2")));
    let two = route(&[(POOL, 1), ("other", 1)]);
    origins.record_hosts(at(9_000), Some(false));
    assert_eq!(
        origins.find(at(10_000), key("a"), &two, Some(at(10_000))),
        None,
        "the pool is not known either, as an earlier build drew it at random"
    );
}

// Streams begin at a version only once each host whose list is current has seen it.
#[test]
fn a_host_with_an_old_list_concludes_nothing_and_streams_wait_for_a_confirmed_version() {
    let mut origins = Origins::default();
    origins.record_list(at(0), &[engine_of(1, "v1")]);
    let find = |origins: &Origins, verified_at| {
        origins.find(at(20_000), key("a"), &only(), Some(at(verified_at)))
    };
    assert_eq!(find(&origins, 18_000), None);
    assert_eq!(find(&origins, 18_001), Some(origin("v1")));
    assert_eq!(origins.unconfirmed(at(20_000), POOL), [], "nothing else serves");
    origins.confirm(at(20_000), &origin("v1"));
    origins.record_list(at(21_000), &[engine_of(1, "v1"), engine_of(2, "v2")]);
    let second = Some("v2".into());
    assert_eq!(origins.unconfirmed(at(22_000), POOL), std::slice::from_ref(&second));
    origins.confirm(at(22_000), &origin("v2"));
    assert_eq!(origins.unconfirmed(at(23_999), POOL), [second]);
    assert_eq!(origins.unconfirmed(at(24_000), POOL), []);
}

#[test]
fn a_version_that_has_left_counts_until_its_streams_cannot_be_taken_up() {
    let mut origins = Origins::default();
    let slow = Route { timeout_ms: 15_000, ..only() };
    origins.record_routes(at(0), [&slow].into_iter());
    origins.record_list(at(0), &[engine_of(1, "v1"), engine_of(2, "v2")]);
    origins.record_list(at(1_000), &[engine_of(2, "v2")]);
    origins.remove_expired(at(30_999));
    assert!(origins.is_mixed(POOL));
    assert_eq!(origins.find(at(30_999), key("a"), &only(), Some(at(30_999))), None);
    origins.remove_expired(at(31_000));
    assert!(!origins.is_mixed(POOL));
    assert_eq!(origins.find(at(31_000), key("a"), &only(), Some(at(31_000))), Some(origin("v2")));
}

#[test]
fn an_upstream_without_a_version_may_be_of_any() {
    let mut origins = Origins::default();
    origins.record_list(at(0), &[engine_of(1, "v1"), Entry { version: None, ..engine(2) }]);
    assert_eq!(origins.find(at(60_000), key("a"), &only(), Some(at(60_000))), None);
}

#[test]
fn other_hosts_find_a_stream_in_the_record_of_the_one_that_forwarded_it() {
    let mut host = Origins::default();
    host.record_list(at(0), &[engine_of(1, "v1")]);
    begin(&mut host, 10, "a", origin("v1"));
    assert!(host.record().streams.is_empty(), "one version needs no record");
    host.record_list(at(20), &[engine_of(1, "v1"), engine_of(2, "v2")]);
    begin(&mut host, 30, "b", origin("v2"));
    let text = serde_json::to_string(&host.record()).expect("a record can be encoded");
    let mut other = Origins::default();
    other.merge(at(0), &serde_json::from_str(&text).expect("a record can be decoded"));
    assert_eq!(other.find(at(0), key("a"), &only(), Some(at(0))), Some(origin("v1")));
    assert_eq!(other.find(at(0), key("b"), &only(), Some(at(0))), Some(origin("v2")));
    assert_eq!(other.find(at(0), key("c"), &only(), Some(at(0))), None);
}

#[test]
fn an_older_copy_of_the_store_proves_no_only_version() {
    let mut versions = Versions::default();
    assert!(versions.add([origin("v1")].iter(), 0, true));
    assert_eq!(versions.only(0), Some(Some("v1".into())));
    assert_eq!(versions.only(1), None, "it came back from an older copy");
    assert!(!versions.add([origin("v1")].iter(), 1, false));
    assert_eq!(versions.only(1), None, "the host has not seen all versions of this era");
    assert!(versions.add([origin("v1")].iter(), 1, true));
    assert_eq!(versions.only(1), Some(Some("v1".into())));
    assert!(versions.add([origin("v2")].iter(), 1, true));
    assert_eq!(versions.only(1), None);
}

#[test]
fn a_flood_of_streams_keeps_memory_bounded_and_the_newest_ones() {
    let mut origins = Origins::default();
    origins.record_list(at(0), &[engine_of(1, "v1"), engine_of(2, "v2")]);
    for number in 0..50_000_u64 {
        let stream = (origin("v1"), Some("route".into()));
        origins.record_stream(at(number / 10), StreamKey(number), stream);
    }
    assert!(origins.find(at(5_000), Some(StreamKey(49_999)), &only(), None).is_some());
    let record = origins.record();
    assert_eq!((record.streams.len(), record.origins.len()), (4_096, 1));
    assert!(record.streams.iter().all(|it| it.0 > 40_000));
}

fn pool_origin(pool: &str) -> Origin {
    Origin { pool: pool.into(), version: Some("v1".into()) }
}

// No host knew in which pool of a split route another host's stream began, and refused all of them.
#[test]
fn a_host_knows_in_which_pool_of_a_split_route_a_stream_of_another_host_began() {
    let split = route(&[("a", 80), ("b", 15), ("c", 5)]);
    let mut origins = Origins::default();
    let entries = ["a", "b", "c"].map(|it| Entry { pool: it.into(), ..engine_of(1, "v1") });
    origins.record_list(at(0), &entries);
    origins.record_routes(at(0), [&split].into_iter());
    origins.record_hosts(at(0), Some(true));
    for number in 0..100 {
        let id = format!("stream-{number}");
        let pool = select(&split.destinations, StreamKey::of(id.as_bytes())).expect("a pool");
        let found = origins.find(at(10_000), key(&id), &split, Some(at(10_000)));
        assert_eq!(found, Some(pool_origin(pool)));
    }
}

// After a change of a split, its destinations select another pool for some streams than the one in which they began.
#[test]
fn a_stream_that_began_before_a_split_changed_is_found_by_its_record_only() {
    let (before, after) = (route(&[("a", 1)]), route(&[("b", 1), ("a", 1)]));
    let mut host = Origins::default();
    host.record_routes(at(0), [&before].into_iter());
    let ids: Vec<_> = (0..20).map(|it| format!("stream-{it}")).collect();
    ids.iter().for_each(|it| begin(&mut host, 100, it, pool_origin("a")));
    assert!(host.record().streams.is_empty(), "the only pool needs no record");
    host.record_routes(at(1_000), [&after].into_iter());
    let record = host.record();
    let mut other = Origins::default();
    other.record_hosts(at(0), Some(true));
    other.record_routes(at(0), [&before].into_iter());
    other.record_routes(at(900), [&after].into_iter());
    let early = |other: &Origins, id| {
        other.selected_pool(
            at(900) + CHANGE_NOTICE - at(1).since(at(0)),
            key(id),
            (&after, CHANGE_NOTICE),
        )
    };
    let is_moved = |it: &String| {
        select(&after.destinations, StreamKey::of(it.as_bytes())).is_some_and(|it| **it == *"b")
    };
    let moved: Vec<_> = ids.iter().filter(|it| is_moved(it)).collect();
    assert!(!moved.is_empty() && moved.len() < ids.len());
    assert_eq!(record.streams.len(), moved.len(), "only streams that moved need a record");
    for id in &moved {
        assert_eq!(early(&other, id), None, "another host may not have written its streams yet");
    }
    other.merge(at(1_200), &record);
    for id in &moved {
        let found = other.find(at(1_200), key(id), &after, Some(at(1_200)));
        assert_eq!(found, Some(pool_origin("a")));
    }
}

// A route that had moved to another pool was taken for the origin of streams that began before.
#[test]
fn a_stream_whose_route_has_moved_is_not_taken_up_in_the_new_pool() {
    let (before, after) = (route(&[("a", 1)]), route(&[("b", 1)]));
    let entries = ["a", "b"].map(|it| Entry { pool: it.into(), ..engine_of(1, "v1") });
    let mut host = Origins::default();
    host.record_routes(at(0), [&before].into_iter());
    begin(&mut host, 10, "a", pool_origin("a"));
    host.record_routes(at(1_000), [&after].into_iter());
    let mut other = Origins::default();
    other.record_list(at(0), &entries);
    other.record_routes(at(0), [&before].into_iter());
    other.record_routes(at(20_000), [&after].into_iter());
    let find = |other: &Origins, ms| other.find(at(ms), key("a"), &after, Some(at(ms)));
    assert_eq!(find(&other, 20_100), None, "the pool before the move would be concluded");
    other.merge(at(20_200), &host.record());
    assert_eq!(find(&other, 20_200), Some(pool_origin("a")), "the route does not lead there");
}

/// Guards against destinations that are kept for each version of a storm that moves routes to and fro.
#[test]
fn destinations_that_come_again_are_kept_once() {
    let moved = ["a", "b"].map(|pool| route(&[(pool, 1)]));
    let mut origins = Origins::default();
    for version in 0..1_000 {
        origins.record_routes(at(version), [&moved[version as usize % 2]].into_iter());
    }
    let held = Arc::strong_count(&moved[0].destinations[0].pool);
    assert!(held <= 3, "{held} copies of the destinations of 1,000 versions");
    let find = |ms| origins.selected_pool(at(ms), key("a"), (&moved[1], CHANGE_NOTICE));
    assert_eq!(find(4_900), None, "the stream may have begun in the other pool until 0.999 s");
    assert_eq!(find(5_000).as_deref(), Some("b"));
}

/// Guards against a conclusion from the destinations that are remembered when there were more.
#[test]
fn nothing_is_concluded_while_forgotten_destinations_may_have_selected_another_pool() {
    let versions: Vec<_> = (1..=100).map(|it| route(&[("a", 1), ("b", it)])).collect();
    let last = versions.last().expect("there are versions");
    let mut origins = Origins::default();
    origins.record_hosts(at(0), Some(true));
    for (version, ms) in versions.iter().zip(1..) {
        origins.record_routes(at(ms), [version].into_iter());
    }
    let is_held = |it: &&Route| Arc::strong_count(&it.destinations[0].pool) > 1;
    assert_eq!(versions.iter().filter(is_held).count(), 9, "versions whose destinations are kept");
    for number in 0..100 {
        let key = key(&format!("stream-{number}"));
        let find = |ms| origins.selected_pool(at(ms), key, (last, CHANGE_NOTICE));
        // The last of those that were forgotten was replaced at 92 ms.
        assert_eq!(find(4_000), None);
        assert!(find(4_100).is_some());
    }
}

#[test]
fn nothing_is_concluded_for_a_pool_without_upstreams() {
    let split = route(&[("a", 1), ("gone", 1)]);
    let mut origins = Origins::default();
    origins.record_list(at(0), &[Entry { pool: "a".into(), ..engine_of(1, "v1") }]);
    origins.record_routes(at(0), [&split].into_iter());
    origins.record_hosts(at(0), Some(true));
    let mut found = (0..20)
        .map(|it| origins.find(at(20_000), key(&format!("stream-{it}")), &split, Some(at(20_000))));
    assert!(found.all(|it| it.is_none_or(|it| it == pool_origin("a"))));
}

// What a host has read from others took the room of its own streams, which its next record then left out.
#[test]
fn streams_of_other_hosts_make_room_for_those_of_a_host() {
    let mut origins = Origins::default();
    origins.record_list(at(0), &[engine_of(1, "v1"), engine_of(2, "v2")]);
    begin(&mut origins, 0, "a", origin("v1"));
    for number in 0..50_000 {
        origins.record_stream(at(10), StreamKey(number), (origin("v1"), None));
    }
    assert_eq!(origins.record().streams, [(StreamKey::of(b"a").0, 0)]);
}

quickcheck! {
    fn pools_get_their_shares_of_streams(weights: Vec<u8>) -> bool {
        const STREAMS: u64 = 4_000;
        let names: Vec<_> = (0..weights.len()).map(|it| format!("pool-{it}")).collect();
        let shares: Vec<_> = names.iter().map(|it| &**it).zip(weights.iter().map(|it| u32::from(*it))).collect();
        let split = route(&shares);
        let total: u32 = shares.iter().map(|it| it.1).sum();
        let pick = |id: u64| select(&split.destinations, StreamKey::of(&id.to_be_bytes())).cloned();
        let picked: Vec<_> = (0..STREAMS).filter_map(pick).collect();
        shares.iter().all(|(name, weight)| {
            let count = picked.iter().filter(|it| ***it == **name).count() as f64;
            let share = f64::from(*weight) / f64::from(total);
            total == 0 || (count / STREAMS as f64 - share).abs() < 0.06
        })
    }
}

// Hosts recorded as their own what they had read from others, so that records grew until a lookup took too long.
#[test]
fn a_host_records_no_streams_that_it_has_read_from_others() {
    let mut host = Origins::default();
    host.record_list(at(0), &[engine_of(1, "v1"), engine_of(2, "v2")]);
    begin(&mut host, 10, "a", origin("v1"));
    let record = host.record();
    let mut other = Origins::default();
    other.record_list(at(0), &[engine_of(1, "v1"), engine_of(2, "v2")]);
    other.merge(at(20), &record);
    assert_eq!(other.find(at(20), key("a"), &only(), None), Some(origin("v1")));
    assert_eq!(other.record().streams, [], "the host that forwarded it has recorded it");
    begin(&mut other, 30, "a", origin("v1"));
    assert_eq!(other.record().streams, record.streams, "a stream that went on here is recorded");
}

#[test]
fn the_shards_of_a_record_hold_each_stream_once() {
    let mut host = Origins::default();
    host.record_list(at(0), &[engine_of(1, "v1"), engine_of(2, "v2")]);
    (0..500).for_each(|it| begin(&mut host, 10, &format!("stream-{it}"), origin("v1")));
    let record = host.record();
    let shards: Vec<_> = (0..SHARDS).map(|it| record.shard(it)).collect();
    let largest = shards.iter().map(|it| it.streams.len()).max();
    assert!(largest.is_some_and(|it| it < 3 * 500 / SHARDS), "{largest:?}");
    let mut streams: Vec<_> = shards.into_iter().flat_map(|it| it.streams).collect();
    streams.sort_unstable();
    assert_eq!(streams, record.streams);
}
