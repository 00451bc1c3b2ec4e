//! The platform answers as docs/PLATFORM.md says.

use std::time::Duration;

use almondrack::platform::{Cause, Client, Lease, Write};
use bytes::Bytes;
use expect_test::{Expect, expect};
use stand_ins::platform::{self, Options};

use crate::common;

async fn check(lines: &str, expected: Expect) {
    let options = Options { history: 4, ..Options::new(common::local()) };
    let server = platform::spawn(options).unwrap();
    expected.assert_eq(&common::script(server.address(), lines).await);
}

#[tokio::test]
async fn writes_are_conditional() {
    let lines = "
        PUT /v1/kv/a/1 if-version:0 | one
        PUT /v1/kv/a/1 if-version:0 | two
        PUT /v1/kv/a/1 if-version:1 | three
        PUT /v1/kv/a/2 if-version:1 | four
        PUT /v1/kv/a/2 | five
        GET /v1/kv/a/1
        GET /v1/kv/a/3
        DELETE /v1/kv/a/1 if-version:1
        DELETE /v1/kv/a/1 if-version:2
        DELETE /v1/kv/a/1
    ";
    check(
        lines,
        expect![[r#"
        PUT /v1/kv/a/1 if-version:0 | one
          200 v1
        PUT /v1/kv/a/1 if-version:0 | two
          409 v1
        PUT /v1/kv/a/1 if-version:1 | three
          200 v2
        PUT /v1/kv/a/2 if-version:1 | four
          409 v0
        PUT /v1/kv/a/2 | five
          200 v3
        GET /v1/kv/a/1
          200 v2 three
        GET /v1/kv/a/3
          404
        DELETE /v1/kv/a/1 if-version:1
          409 v2
        DELETE /v1/kv/a/1 if-version:2
          200 v4
        DELETE /v1/kv/a/1
          404
    "#]],
    )
    .await;
}

#[tokio::test]
async fn listings_have_pages_and_watches_have_a_history() {
    let lines = "
        PUT /v1/kv/a/1 | one
        PUT /v1/kv/a/2 | two
        PUT /v1/kv/b/1 | other
        GET /v1/list?prefix=a/&limit=1
        GET /v1/list?prefix=a/&after=a/1&limit=1
        GET /v1/watch?prefix=a/&after=1&wait_ms=0
        GET /v1/watch?prefix=a/&after=2&wait_ms=1
        DELETE /v1/kv/a/1
        GET /v1/watch?prefix=a/&after=0&wait_ms=0
        PUT /v1/kv/a/2 | three
        GET /v1/watch?prefix=a/&after=0&wait_ms=0
        GET /v1/watch?prefix=a/&after=9&wait_ms=0
    ";
    check(lines, expect![[r#"
        PUT /v1/kv/a/1 | one
          200 v1
        PUT /v1/kv/a/2 | two
          200 v2
        PUT /v1/kv/b/1 | other
          200 v3
        GET /v1/list?prefix=a/&limit=1
          200 {"entries":[{"key":"a/1","value":"one","version":1}],"more":true,"revision":3}
        GET /v1/list?prefix=a/&after=a/1&limit=1
          200 {"entries":[{"key":"a/2","value":"two","version":2}],"more":false,"revision":3}
        GET /v1/watch?prefix=a/&after=1&wait_ms=0
          200 {"entries":[{"key":"a/2","value":"two","version":2}],"reset":false,"revision":3}
        GET /v1/watch?prefix=a/&after=2&wait_ms=1
          200 {"entries":[],"reset":false,"revision":3}
        DELETE /v1/kv/a/1
          200 v4
        GET /v1/watch?prefix=a/&after=0&wait_ms=0
          200 {"entries":[{"key":"a/1","value":null,"version":4},{"key":"a/2","value":"two","version":2}],"reset":false,"revision":4}
        PUT /v1/kv/a/2 | three
          200 v5
        GET /v1/watch?prefix=a/&after=0&wait_ms=0
          200 {"entries":[],"reset":true,"revision":5}
        GET /v1/watch?prefix=a/&after=9&wait_ms=0
          200 {"entries":[],"reset":true,"revision":5}
    "#]]).await;
}

#[tokio::test]
async fn lease_numbers_grow() {
    let lines = r#"
        POST /v1/lease/x/y | {"holder":"g","ttl_ms":60000}
        POST /v1/lease/x/y | {"holder":"h","ttl_ms":60000}
        POST /v1/lease/x/y | {"holder":"g","ttl_ms":20}
        sleep 60
        GET /v1/lease/x/y
        POST /v1/lease/x/y | {"holder":"h","ttl_ms":60000}
        GET /v1/lease/x/y
        DELETE /v1/lease/x/y?holder=g
        DELETE /v1/lease/x/y?holder=h
        POST /v1/lease/x/y | {"holder":"h","ttl_ms":60000}
    "#;
    check(
        lines,
        expect![[r#"
        POST /v1/lease/x/y | {"holder":"g","ttl_ms":60000}
          200 {"holder":"g","number":1,"ttl_ms":0}
        POST /v1/lease/x/y | {"holder":"h","ttl_ms":60000}
          409 {"holder":"g","number":1,"remaining_ms":0}
        POST /v1/lease/x/y | {"holder":"g","ttl_ms":20}
          200 {"holder":"g","number":1,"ttl_ms":0}
        GET /v1/lease/x/y
          404
        POST /v1/lease/x/y | {"holder":"h","ttl_ms":60000}
          200 {"holder":"h","number":2,"ttl_ms":0}
        GET /v1/lease/x/y
          200 {"holder":"h","number":2,"remaining_ms":0}
        DELETE /v1/lease/x/y?holder=g
          409
        DELETE /v1/lease/x/y?holder=h
          200
        POST /v1/lease/x/y | {"holder":"h","ttl_ms":60000}
          200 {"holder":"h","number":3,"ttl_ms":0}
    "#]],
    )
    .await;
}

#[tokio::test]
async fn faults_refuse_or_lose_answers() {
    let lines = r#"
        POST /test/faults | {"lose_next":1}
        PUT /v1/kv/a if-version:0 x-cause:config x-host:h1 | one
        GET /v1/kv/a x-cause:config x-host:h2
        POST /test/faults | {"lose_answers_per_mille":1000}
        PUT /v1/kv/a | two
        POST /test/faults | {"lose_answers_per_mille":0,"down":true}
        PUT /v1/kv/a | three
        POST /test/faults | {"down":false,"writes_per_s":0}
        PUT /v1/kv/a | four
        POST /test/faults | {"writes_per_s":null,"garbage":true}
        GET /v1/kv/a
        POST /test/faults | {"garbage":false,"unknown":1}
        POST /test/faults | {"garbage":false}
        GET /v1/kv/a
        GET /test/calls
        GET /test/history
    "#;
    check(lines, expect![[r#"
        POST /test/faults | {"lose_next":1}
          200
        PUT /v1/kv/a if-version:0 x-cause:config x-host:h1 | one
          no answer
        GET /v1/kv/a x-cause:config x-host:h2
          200 v1 one
        POST /test/faults | {"lose_answers_per_mille":1000}
          200
        PUT /v1/kv/a | two
          no answer
        POST /test/faults | {"lose_answers_per_mille":0,"down":true}
          200
        PUT /v1/kv/a | three
          503
        POST /test/faults | {"down":false,"writes_per_s":0}
          200
        PUT /v1/kv/a | four
          429
        POST /test/faults | {"writes_per_s":null,"garbage":true}
          200
        GET /v1/kv/a
          200 %%% not an answer
        POST /test/faults | {"garbage":false,"unknown":1}
          400 unknown field `unknown`, expected one of `latency_ms`, `down`, `hang`, `lose_answers_per_mille`, `lose_next`, `down_for_hosts`, `down_for_zones`, `mute_for_hosts`, `mute_for_zones`, `garbage`, `reads_per_s`, `writes_per_s`, `hosts_lag_ms`, `start_ms`, `stop_ms`, `unfenced_zones`, `no_cheap_zones`
        POST /test/faults | {"garbage":false}
          200
        GET /v1/kv/a
          200 v2 two
        GET /test/calls
          200 {"by_cause":{"":5,"config":2},"by_host":{"":5,"h1":1,"h2":1},"total":7}
        GET /test/history
          200 [{"at_ms":0,"cause":"config","effect":true,"host":"h1","lost":true,"method":"PUT","path":"/v1/kv/a","status":null},{"at_ms":0,"cause":"config","effect":false,"host":"h2","lost":false,"method":"GET","path":"/v1/kv/a","status":200},{"at_ms":0,"cause":"","effect":true,"host":"","lost":true,"method":"PUT","path":"/v1/kv/a","status":null},{"at_ms":0,"cause":"","effect":false,"host":"","lost":false,"method":"PUT","path":"/v1/kv/a","status":503},{"at_ms":0,"cause":"","effect":false,"host":"","lost":false,"method":"PUT","path":"/v1/kv/a","status":429},{"at_ms":0,"cause":"","effect":false,"host":"","lost":false,"method":"GET","path":"/v1/kv/a","status":200},{"at_ms":0,"cause":"","effect":false,"host":"","lost":false,"method":"GET","path":"/v1/kv/a","status":200}]
    "#]]).await;
}

#[tokio::test]
async fn orders_are_fenced_and_idempotent() {
    let lines = r#"
        POST /test/faults | {"start_ms":0,"stop_ms":0,"unfenced_zones":["b"]}
        POST /test/upstreams | {"zone":"a","upstreams":[{"id":"u","pool":"p","address":"127.0.0.1:1","state":"running","cheap":true}],"spares":[{"pool":"p","zone":"a","address":"127.0.0.1:2"}]}
        POST /v1/zones/a/orders | {"id":"1","lease":"l","number":5,"deadline_ms":9999999999999,"order":{"start":{"pool":"p","cheap":false}}}
        POST /v1/zones/a/orders | {"id":"1","lease":"l","number":5,"deadline_ms":9999999999999,"order":{"start":{"pool":"p","cheap":false}}}
        POST /v1/zones/a/orders | {"id":"2","lease":"l","number":4,"deadline_ms":9999999999999,"order":{"stop":{"upstream":"u"}}}
        POST /v1/zones/a/orders | {"id":"3","lease":"l","number":5,"deadline_ms":1,"order":{"stop":{"upstream":"u"}}}
        POST /v1/zones/a/orders | {"id":"4","lease":"l","number":5,"deadline_ms":9999999999999,"order":{"start":{"pool":"p","cheap":true}}}
        GET /v1/zones/a/upstreams
        POST /test/reclaim | {"zone":"a","in_ms":60000}
        GET /v1/zones/a/upstreams
        POST /v1/zones/a/orders | {"id":"5","lease":"l","number":6,"deadline_ms":9999999999999,"order":{"stop":{"upstream":"a-p-1"}}}
        POST /v1/zones/a/orders | {"id":"6","lease":"l","number":6,"deadline_ms":9999999999999,"order":{"stop":{"upstream":"none"}}}
        GET /v1/zones/a/upstreams
        POST /test/upstreams | {"zone":"b","upstreams":[{"id":"v","pool":"p","address":"127.0.0.1:3","state":"running"}]}
        POST /v1/zones/b/orders | {"id":"7","lease":"l","number":9,"deadline_ms":9999999999999,"order":{"stop":{"upstream":"v"}}}
        POST /v1/zones/b/orders | {"id":"8","lease":"l","number":1,"deadline_ms":9999999999999,"order":{"start":{"pool":"p","cheap":false}}}
    "#;
    check(lines, expect![[r#"
        POST /test/faults | {"start_ms":0,"stop_ms":0,"unfenced_zones":["b"]}
          200
        POST /test/upstreams | {"zone":"a","upstreams":[{"id":"u","pool":"p","address":"127.0.0.1:1","state":"running","cheap":true}],"spares":[{"pool":"p","zone":"a","address":"127.0.0.1:2"}]}
          200
        POST /v1/zones/a/orders | {"id":"1","lease":"l","number":5,"deadline_ms":9999999999999,"order":{"start":{"pool":"p","cheap":false}}}
          200 {"upstream":"a-p-1"}
        POST /v1/zones/a/orders | {"id":"1","lease":"l","number":5,"deadline_ms":9999999999999,"order":{"start":{"pool":"p","cheap":false}}}
          200 {"upstream":"a-p-1"}
        POST /v1/zones/a/orders | {"id":"2","lease":"l","number":4,"deadline_ms":9999999999999,"order":{"stop":{"upstream":"u"}}}
          409 {"reason":"number 5 was seen"}
        POST /v1/zones/a/orders | {"id":"3","lease":"l","number":5,"deadline_ms":1,"order":{"stop":{"upstream":"u"}}}
          410 {"reason":"late"}
        POST /v1/zones/a/orders | {"id":"4","lease":"l","number":5,"deadline_ms":9999999999999,"order":{"start":{"pool":"p","cheap":true}}}
          503 {"reason":"cheap_unavailable"}
        GET /v1/zones/a/upstreams
          200 {"upstreams":[{"address":"127.0.0.1:1","cheap":true,"cost_per_hour":0.0,"id":"u","pool":"p","reclaim_ms":null,"state":"running"},{"address":"127.0.0.1:2","cheap":false,"cost_per_hour":3.0,"id":"a-p-1","pool":"p","reclaim_ms":null,"state":"running"}]}
        POST /test/reclaim | {"zone":"a","in_ms":60000}
          200
        GET /v1/zones/a/upstreams
          200 {"upstreams":[{"address":"127.0.0.1:1","cheap":true,"cost_per_hour":0.0,"id":"u","pool":"p","reclaim_ms":0,"state":"leaving"},{"address":"127.0.0.1:2","cheap":false,"cost_per_hour":3.0,"id":"a-p-1","pool":"p","reclaim_ms":null,"state":"running"}]}
        POST /v1/zones/a/orders | {"id":"5","lease":"l","number":6,"deadline_ms":9999999999999,"order":{"stop":{"upstream":"a-p-1"}}}
          200 {"upstream":"a-p-1"}
        POST /v1/zones/a/orders | {"id":"6","lease":"l","number":6,"deadline_ms":9999999999999,"order":{"stop":{"upstream":"none"}}}
          404 {"reason":"no such upstream"}
        GET /v1/zones/a/upstreams
          200 {"upstreams":[{"address":"127.0.0.1:1","cheap":true,"cost_per_hour":0.0,"id":"u","pool":"p","reclaim_ms":0,"state":"leaving"}]}
        POST /test/upstreams | {"zone":"b","upstreams":[{"id":"v","pool":"p","address":"127.0.0.1:3","state":"running"}]}
          200
        POST /v1/zones/b/orders | {"id":"7","lease":"l","number":9,"deadline_ms":9999999999999,"order":{"stop":{"upstream":"v"}}}
          200 {"upstream":"v"}
        POST /v1/zones/b/orders | {"id":"8","lease":"l","number":1,"deadline_ms":9999999999999,"order":{"start":{"pool":"p","cheap":false}}}
          200 {"upstream":"b-p-2"}
    "#]]).await;
}

#[tokio::test]
async fn windows_are_reported_once_and_hosts_lag() {
    let lines = r#"
        POST /v1/usage/w1 x-host:h1 x-lease:l x-number:1 | ten
        POST /v1/usage/w1 x-host:h2 x-lease:l x-number:2 | ten
        POST /v1/usage/w1 x-host:h1 x-lease:l x-number:1 | nine
        GET /test/usage
        POST /test/hosts | {"hosts":[{"id":"h1","region":"r","zone":"a","peer":"127.0.0.1:1","admin":"127.0.0.1:2"}]}
        GET /v1/hosts
        POST /test/hosts | {"lag_ms":60000}
        GET /v1/hosts
    "#;
    check(lines, expect![[r#"
        POST /v1/usage/w1 x-host:h1 x-lease:l x-number:1 | ten
          200
        POST /v1/usage/w1 x-host:h2 x-lease:l x-number:2 | ten
          200
        POST /v1/usage/w1 x-host:h1 x-lease:l x-number:1 | nine
          409
        GET /test/usage
          200 [{"content":"ten","host":"h1","lease":"l","number":"1","status":200,"window":"w1"},{"content":"ten","host":"h2","lease":"l","number":"2","status":200,"window":"w1"},{"content":"nine","host":"h1","lease":"l","number":"1","status":409,"window":"w1"}]
        POST /test/hosts | {"hosts":[{"id":"h1","region":"r","zone":"a","peer":"127.0.0.1:1","admin":"127.0.0.1:2"}]}
          200
        GET /v1/hosts
          200 {"hosts":[{"admin":"127.0.0.1:2","id":"h1","leaving":false,"peer":"127.0.0.1:1","region":"r","zone":"a"}]}
        POST /test/hosts | {"lag_ms":60000}
          200
        GET /v1/hosts
          200 {"hosts":[]}
    "#]]).await;
}

#[tokio::test]
async fn the_port_and_the_platform_agree() {
    let server = platform::spawn(Options::new(common::local())).unwrap();
    let client = Client::open(server.address(), "h1");
    let watcher = client.clone();
    let watch = tokio::spawn(async move { watcher.watch("a/", 0, 20_000).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    let written = client.put(Cause::Config, "a/1", Bytes::from("one"), Some(0)).await;
    assert_eq!(written, Ok(Write::Written(1)));
    let changes = watch.await.unwrap().unwrap();
    let conflict = client.put(Cause::Config, "a/1", Bytes::from("two"), Some(0)).await;
    assert_eq!(conflict, Ok(Write::Conflict(1)));
    assert_eq!(client.acquire("l", "h1", 60_000).await, Ok(Lease::Held { number: 1 }));
    assert_eq!(client.report("w", "l", 1, Bytes::from("x")).await, Ok(()));
    let listing = client.list(Cause::Config, "a/", "", 10).await.unwrap();
    expect![[r#"
        Changes { revision: 1, entries: [Entry { key: "a/1", version: 1, value: Some("one") }], reset: false }
        Listing { revision: 1, entries: [Entry { key: "a/1", version: 1, value: Some("one") }], more: false }
    "#]].assert_eq(&format!("{changes:?}\n{listing:?}\n"));
}

#[tokio::test]
async fn cut_hosts_get_no_answer() {
    let server = platform::spawn(Options::new(common::local())).unwrap();
    let lines = r#"
        POST /test/hosts | {"hosts":[{"id":"h1","region":"r","zone":"a","peer":"127.0.0.1:1","admin":"127.0.0.1:2"},{"id":"h3","region":"r","zone":"b","peer":"127.0.0.1:1","admin":"127.0.0.1:2"}]}
        POST /test/faults | {"down_for_zones":["a"],"down_for_hosts":["h2"],"mute_for_zones":["b"],"mute_for_hosts":["h4"]}
    "#;
    common::script(server.address(), lines).await;
    let mut calls = Vec::new();
    for host in ["h1", "h2", "h3", "h4"] {
        let line = format!("PUT /v1/kv/{host} x-host:{host} | one");
        let address = server.address();
        calls.push(tokio::spawn(async move { common::call(address, &line).await }));
        let name = format!("\"host\":\"{host}\"");
        common::until(server.address(), "GET /test/history", |it| it.contains(&name)).await;
    }
    for (host, status) in [("h3", "200"), ("h4", "200"), ("h1", "404"), ("h2", "404")] {
        let line = format!("GET /v1/kv/{host} x-host:h5");
        common::until(server.address(), &line, |it| it.starts_with(status)).await;
    }
    assert!(!calls.iter().any(|it| it.is_finished()));
}
