//! Which version began a stream, as far as a host can know.

use almondrack::{
    serving::{
        registry::Entry,
        stream_origin::{Origin, Origins, StreamKey, Versions},
    },
    time::Span,
};

use crate::fixture::{POOL, at, engine};

fn origin(version: &str) -> Origin {
    Origin { pool: POOL.into(), version: Some(version.into()) }
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
    assert_eq!(origins.find(at(9_999), key("a"), &[POOL.into()], Some(at(9_999))), None);
    assert_eq!(
        origins.find(at(10_000), key("a"), &[POOL.into()], Some(at(10_000))),
        Some(origin("v2"))
    );
    let two = [POOL.into(), "other".into()];
    assert_eq!(
        origins.find(at(10_000), key("a"), &two, Some(at(10_000))),
        None,
        "the pool is not known either"
    );
}

// Streams begin at a version only once each host whose list is current has seen it.
#[test]
fn a_host_with_an_old_list_concludes_nothing_and_streams_wait_for_a_confirmed_version() {
    let mut origins = Origins::default();
    origins.record_list(at(0), &[engine_of(1, "v1")]);
    let find = |origins: &Origins, verified_at| {
        origins.find(at(20_000), key("a"), &[POOL.into()], Some(at(verified_at)))
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
    origins.record_timeout(Span::from_ms(15_000));
    origins.record_list(at(0), &[engine_of(1, "v1"), engine_of(2, "v2")]);
    origins.record_list(at(1_000), &[engine_of(2, "v2")]);
    origins.remove_expired(at(30_999));
    assert!(origins.is_mixed(POOL));
    assert_eq!(origins.find(at(30_999), key("a"), &[POOL.into()], Some(at(30_999))), None);
    origins.remove_expired(at(31_000));
    assert!(!origins.is_mixed(POOL));
    assert_eq!(
        origins.find(at(31_000), key("a"), &[POOL.into()], Some(at(31_000))),
        Some(origin("v2"))
    );
}

#[test]
fn an_upstream_without_a_version_may_be_of_any() {
    let mut origins = Origins::default();
    origins.record_list(at(0), &[engine_of(1, "v1"), Entry { version: None, ..engine(2) }]);
    assert_eq!(origins.find(at(60_000), key("a"), &[POOL.into()], Some(at(60_000))), None);
}

#[test]
fn other_hosts_find_a_stream_in_the_record_of_the_one_that_forwarded_it() {
    let mut host = Origins::default();
    host.record_list(at(0), &[engine_of(1, "v1")]);
    host.record_stream(at(10), StreamKey::of(b"a"), origin("v1"));
    assert!(host.record().streams.is_empty(), "one version needs no record");
    host.record_list(at(20), &[engine_of(1, "v1"), engine_of(2, "v2")]);
    host.record_stream(at(30), StreamKey::of(b"b"), origin("v2"));
    let text = serde_json::to_string(&host.record()).expect("a record can be encoded");
    let mut other = Origins::default();
    other.merge(at(0), &serde_json::from_str(&text).expect("a record can be decoded"));
    assert_eq!(other.find(at(0), key("a"), &[POOL.into()], Some(at(0))), Some(origin("v1")));
    assert_eq!(other.find(at(0), key("b"), &[POOL.into()], Some(at(0))), Some(origin("v2")));
    assert_eq!(other.find(at(0), key("c"), &[POOL.into()], Some(at(0))), None);
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
        origins.record_stream(at(number / 10), StreamKey(number), origin("v1"));
    }
    assert!(origins.find(at(5_000), Some(StreamKey(49_999)), &[POOL.into()], None).is_some());
    let record = origins.record();
    assert_eq!((record.streams.len(), record.origins.len()), (4_096, 1));
    assert!(record.streams.iter().all(|it| it.0 > 40_000));
}
