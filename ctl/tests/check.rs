//! Check of records before they are sent.

use std::{ffi::OsString, fs, path::PathBuf};

use expect_test::{Expect, expect};
use serde_json::{Value, json};
use stand_ins::demo;

const DIGEST: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

/// Writes one file a record into a directory of its own.
fn directory(name: &str, records: &[Value]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("check-{name}"));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("the directory can be made");
    for record in records {
        let file = format!(
            "{}-{}.json",
            record["kind"].as_str().unwrap(),
            record["name"].as_str().unwrap()
        );
        fs::write(path.join(file), record.to_string()).expect("the file can be written");
    }
    path
}

/// Runs a command line and returns its exit code and output, with the directory left out.
async fn run(
    arguments: &[&str],
    path: &PathBuf,
    look_up: &dyn Fn(&str) -> Option<String>,
) -> String {
    let mut all: Vec<OsString> = arguments.iter().map(OsString::from).collect();
    all.push(path.into());
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = almondrackctl::run(all, look_up, &mut out, &mut err).await;
    out.extend(err);
    let text = String::from_utf8(out).expect("the output is text");
    format!("exit code {code}\n{text}").replace(&format!("{}/", path.display()), "")
}

async fn offline(name: &str, records: &[Value], shown: Expect) {
    let path = directory(name, records);
    shown.assert_eq(&run(&["check", "--offline"], &path, &|_| None).await);
}

fn sound() -> Vec<Value> {
    vec![
        json!({"schema": 2, "kind": "customer", "name": "bakery", "requests_per_second": 20}),
        json!({"schema": 2, "kind": "key", "name": "till", "role": "caller", "customer": "bakery", "digest": DIGEST}),
        json!({"schema": 2, "kind": "class", "name": "fast", "tier": 1, "first_token_ms": 610, "token_gap_ms": 34, "max_wait_ms": 500}),
        json!({"schema": 2, "kind": "pool", "name": "large", "protocol": "engine", "models": ["m-large"], "slots": 16, "kv_tokens": 400_000, "max_per_zone": 8}),
        json!({"schema": 2, "kind": "route", "name": "chat", "target": {"model": "m-large"}, "pool": "large", "class": "fast"}),
    ]
}

/// The sound records with some fields of one record set to other values.
fn with(record: &str, changes: Value) -> Vec<Value> {
    let mut records = sound();
    let found = records.iter_mut().find(|it| it["name"] == record).expect("the record exists");
    let changes = changes.as_object().expect("the changes are an object").clone();
    found.as_object_mut().expect("records are objects").extend(changes);
    records
}

#[tokio::test]
async fn sound_records_have_no_findings() {
    offline(
        "sound",
        &sound(),
        expect![[r#"
            exit code 0
            errors: 0, doubts: 0, standing already: 0
        "#]],
    )
    .await;
}

#[tokio::test]
async fn errors_are_named_with_file_and_field() {
    let mut records = with("chat", json!({"class": "quick", "timeout_ms": 0}));
    records[3]["slots"] = json!("many");
    offline("errors", &records, expect![[r#"
        exit code 1
        errors:
          pool-large.json: pool/large: slots: found "many"; accepted: a whole number from 1 to 100000
          route-chat.json: route/chat: timeout_ms: found 0; accepted: a whole number from 1 to 3600000
        errors: 2, doubts: 0, standing already: 0
    "#]]).await;
}

#[tokio::test]
async fn references_to_records_that_do_not_exist_are_errors() {
    offline("references", &with("chat", json!({"class": "quick", "pool": "huge"})), expect![[r#"
        exit code 1
        errors:
          route-chat.json: route/chat: pool: found "huge"; accepted: the name of a valid pool, else the route is unreachable
          route-chat.json: route/chat: class: found "quick"; accepted: the name of a valid class, else the route is unreachable
        errors: 2, doubts: 0, standing already: 0
    "#]])
        .await;
}

#[tokio::test]
async fn entries_that_never_match_are_found() {
    let mut records = with("till", json!({"expires_ms": 1}));
    records[3]["models"] = json!(["m-large", "m-old"]);
    records.push(json!({"schema": 2, "kind": "class", "name": "slow", "tier": 3, "first_token_ms": 900, "token_gap_ms": 90, "max_wait_ms": 500}));
    records.push(json!({"schema": 2, "kind": "pool", "name": "none", "protocol": "plain", "slots": 4, "max_per_zone": 0}));
    records.push(json!({"schema": 2, "kind": "pool", "name": "spare", "protocol": "plain", "slots": 4, "max_per_zone": 1}));
    records.push(json!({"schema": 2, "kind": "route", "name": "up", "target": {"prefix": "/a/../b/"}, "pool": "none", "class": "fast", "open": true}));
    records.push(json!({"schema": 2, "kind": "customer", "name": "mill"}));
    offline("unreachable", &records, expect![[r#"
        exit code 5
        never match:
          class-slow.json: class/slow: no route has it
          customer-bakery.json: customer/bakery: it has no key that can be used
          customer-mill.json: customer/mill: it has no key that can be used
          key-till.json: key/till: expires_ms: its validity has ended
          pool-large.json: pool/large: models: no route leads to its model m-old
          pool-spare.json: pool/spare: no route leads to it
          route-chat.json: route/chat: customers: no customer has a key that can be used
          route-up.json: route/up: pool: pool/none has no upstreams, as its max_per_zone is 0
          route-up.json: route/up: target: clients resolve the segments . and .. before they send a path
        errors: 0, doubts: 9, standing already: 0
    "#]]).await;
}

#[tokio::test]
async fn limits_that_contradict_each_other_are_found() {
    let mut records = with("chat", json!({"timeout_ms": 400}));
    records[0]["tokens_per_minute"] = json!(100);
    records[2]["max_wait_ms"] = json!(2_000);
    records[3]["kv_tokens"] = json!(8);
    records[3]["min_per_zone"] = json!(1);
    records[3]["cheap_per_mille"] = json!(1_000);
    offline("contradictions", &records, expect![[r#"
        exit code 5
        contradict each other:
          class-fast.json: class/fast: max_wait_ms: a request may wait for 2000 ms, longer than the target of 610 ms for its first token
          customer-bakery.json: customer/bakery: tokens_per_minute: 100 tokens a minute do not suffice for 20 requests a second of one token each
          pool-large.json: pool/large: cheap_per_mille: all upstreams may be reclaimed at once, but 1 a zone are to stay
          pool-large.json: pool/large: kv_tokens: 8 tokens do not suffice for 16 slots of one token each
          route-chat.json: route/chat: timeout_ms: a request ends at 400 ms, but class/fast has until 610 ms for the first token
          route-chat.json: route/chat: timeout_ms: a request ends at 400 ms, but class/fast lets it wait for 2000 ms
        errors: 0, doubts: 6, standing already: 0
    "#]]).await;
}

#[tokio::test]
async fn findings_have_a_structured_form() {
    let path = directory("json", &with("chat", json!({"timeout_ms": 550})));
    let shown = run(&["--json", "check", "--offline"], &path, &|_| None).await;
    expect![[r#"
        exit code 5
        {
          "errors": [],
          "findings": [
            {
              "category": "contradiction",
              "field": "timeout_ms",
              "file": "route-chat.json",
              "new": true,
              "reason": "a request ends at 550 ms, but class/fast has until 610 ms for the first token",
              "record": "route/chat"
            }
          ],
          "revision": null,
          "steps": null,
          "unchanged": null
        }
    "#]].assert_eq(&shown);
}

#[tokio::test]
async fn records_are_compared_with_those_in_force() {
    let demo = demo::spawn().await.expect("the demo starts");
    let admins: Vec<_> = demo.admins().iter().map(ToString::to_string).collect();
    let look_up = |name: &str| match name {
        "ALMONDRACK_ADMIN" => Some(admins.join(",")),
        "ALMONDRACK_KEY" => Some(demo.operator.clone()),
        _ => None,
    };
    let mut records = sound();
    records[2]["max_wait_ms"] = json!(700);
    let path = directory("in-force", &records);
    let shown = run(&["check"], &path, &look_up).await;
    // The revision differs from run to run.
    let shown =
        shown.lines().map(|it| if it.starts_with("changes against") { "changes" } else { it });
    let shown: Vec<_> = shown.collect();
    expect![[r#"
        exit code 5
        contradict each other:
          class-fast.json: class/fast: max_wait_ms: a request may wait for 700 ms, longer than the target of 610 ms for its first token
          class/interactive: max_wait_ms: a request may wait for 5000 ms, longer than the target of 610 ms for its first token (stands already)
        changes
        + create customer/bakery
            requests_per_second: 20 (which requests are refused)
            schema: 2
        + create class/fast
            first_token_ms: 610 (the target)
            max_wait_ms: 700 (when waiting requests are refused)
            schema: 2
            tier: 1 (which requests go first)
            token_gap_ms: 34 (the target)
        + create pool/large
            kv_tokens: 400000 (how many requests run at once)
            max_per_zone: 8 (how many requests run at once)
            models: ["m-large"] (which models run)
            protocol: "engine"
            schema: 2
            slots: 16 (how many requests run at once)
        + create key/till
            customer: "bakery" (who the key admits)
            digest: "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" (who the key admits)
            role: "caller" (who the key admits)
            schema: 2
        + create route/chat
            class: "fast" (target and priority of requests)
            pool: "large" (where requests run)
            schema: 2
            target: {"model":"m-large"} (which requests match)
        5 to change, 0 unchanged
        errors: 0, doubts: 1, standing already: 1"#]].assert_eq(&shown.join("\n"));
    assert!(demo.stop().await);
}
