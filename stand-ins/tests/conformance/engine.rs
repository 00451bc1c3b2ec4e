//! The engine answers as docs/PLATFORM.md says.

use std::time::Duration;

use expect_test::{Expect, expect};
use stand_ins::engine::{self, Options, Running};

use crate::common;

fn spawn(change: impl FnOnce(&mut Options)) -> Running {
    let mut options = Options::new(common::local());
    options.gap_us = 0;
    change(&mut options);
    engine::spawn(options).unwrap()
}

async fn check(engine: &Running, lines: &str, expected: Expect) {
    expected.assert_eq(&common::script(engine.address(), lines).await);
}

/// Answers from the history: id, marker, tokens and end of each request.
async fn history(engine: &Running) -> String {
    let text = common::call(engine.control(), "GET /test/history").await;
    let json: serde_json::Value = serde_json::from_str(text.strip_prefix("200 ").unwrap()).unwrap();
    let lines = json.as_array().unwrap().iter().map(|it| {
        format!("{} {} {} {}\n", it["id"], it["marker"], it["tokens"], it["end"]).replace('"', "")
    });
    lines.collect()
}

/// Waits until the history holds a text.
async fn until(engine: &Running, text: &str) {
    let seen = async {
        while !history(engine).await.contains(text) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), seen).await.unwrap();
}

/// Waits until a look at the engine's health gives an answer.
async fn until_health(engine: &Running, answer: &str) {
    common::until(engine.address(), "GET /health", |it| it == answer).await;
}

#[tokio::test]
async fn answers_are_whole_and_marked() {
    let lines = r#"
        POST /v1/chat/completions x-request-id:r1 | {"model":"m","stream":true,"max_tokens":3,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"marker:A marker:B"}]}
        POST /v1/completions x-request-id:r2 | {"model":"m","stream":true,"max_tokens":9,"prompt":"tokens:2"}
        POST /v1/chat/completions x-request-id:r3 | {"model":"m","max_tokens":2,"messages":[{"role":"user","content":[{"type":"text","text":"marker:C"}]}]}
        POST /v1/completions x-request-id:r4 | {"model":"m","max_tokens":2,"prompt":"marker:D tokens:5"}
        POST /v1/completions | {"model":
        GET /v1/streams/r1?from=2
        GET /v1/streams/none
        DELETE /v1/streams/none
        GET /load
        GET /health
        GET /elsewhere
    "#;
    let engine = spawn(|_| ());
    check(&engine, lines, expect![[r#"
        POST /v1/chat/completions x-request-id:r1 | {"model":"m","stream":true,"max_tokens":3,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"marker:A marker:B"}]}
          200 0=B-0 1=B-1 2=B-2 3=length 4={"completion_tokens":3,"prompt_tokens":5,"total_tokens":8} [DONE]
        POST /v1/completions x-request-id:r2 | {"model":"m","stream":true,"max_tokens":9,"prompt":"tokens:2"}
          200 0=r2-0 1=r2-1 2=stop [DONE]
        POST /v1/chat/completions x-request-id:r3 | {"model":"m","max_tokens":2,"messages":[{"role":"user","content":[{"type":"text","text":"marker:C"}]}]}
          200 {"choices":[{"finish_reason":"length","index":0,"message":{"content":"C-0 C-1 ","role":"assistant"}}],"created":0,"id":"r3","model":"m","object":"chat.completion","usage":{"completion_tokens":2,"prompt_tokens":2,"total_tokens":4}}
        POST /v1/completions x-request-id:r4 | {"model":"m","max_tokens":2,"prompt":"marker:D tokens:5"}
          200 {"choices":[{"finish_reason":"length","index":0,"text":"D-0 D-1 "}],"created":0,"id":"r4","model":"m","object":"text_completion","usage":{"completion_tokens":2,"prompt_tokens":5,"total_tokens":7}}
        POST /v1/completions | {"model":
          400 {"error":{"message":"EOF while parsing a value at line 1 column 9"}}
        GET /v1/streams/r1?from=2
          200 2=B-2 3=length 4={"completion_tokens":3,"prompt_tokens":5,"total_tokens":8} [DONE]
        GET /v1/streams/none
          404 no such stream
        DELETE /v1/streams/none
          404
        GET /load
          200 {"age_ms":0,"kv_total":1000000,"kv_used":0,"running":0,"slots":64,"waiting":0}
        GET /health
          200 {"role":""}
        GET /elsewhere
          404 no such path
    "#]]).await;
}

#[tokio::test]
async fn orders_are_fenced_and_idempotent() {
    let lines = r#"
        POST /v1/completions | {"model":"new","max_tokens":1,"prompt":"marker:A"}
        POST /orders | {"id":"1","lease":"l","number":5,"deadline_ms":9999999999999,"order":{"load":{"model":"new"}}}
        POST /v1/completions | {"model":"new","max_tokens":1,"prompt":"marker:A"}
        POST /orders | {"id":"2","lease":"l","number":4,"deadline_ms":9999999999999,"order":{"unload":{"model":"new"}}}
        POST /orders | {"id":"3","lease":"l","number":6,"deadline_ms":1,"order":{"unload":{"model":"new"}}}
        POST /orders | {"id":"1","lease":"l","number":1,"deadline_ms":1,"order":{"load":{"model":"new"}}}
        POST /orders | {"id":"4","lease":"l","number":5,"deadline_ms":9999999999999,"order":{"role":{"role":"decode"}}}
        GET /health
        GET /v1/models
    "#;
    let engine = spawn(|it| it.models = vec!["old".to_owned()]);
    check(&engine, lines, expect![[r#"
        POST /v1/completions | {"model":"new","max_tokens":1,"prompt":"marker:A"}
          404 {"error":{"message":"unknown model"}}
        POST /orders | {"id":"1","lease":"l","number":5,"deadline_ms":9999999999999,"order":{"load":{"model":"new"}}}
          200
        POST /v1/completions | {"model":"new","max_tokens":1,"prompt":"marker:A"}
          200 {"choices":[{"finish_reason":"length","index":0,"text":"A-0 "}],"created":0,"id":"req-0","model":"new","object":"text_completion","usage":{"completion_tokens":1,"prompt_tokens":2,"total_tokens":3}}
        POST /orders | {"id":"2","lease":"l","number":4,"deadline_ms":9999999999999,"order":{"unload":{"model":"new"}}}
          409
        POST /orders | {"id":"3","lease":"l","number":6,"deadline_ms":1,"order":{"unload":{"model":"new"}}}
          410
        POST /orders | {"id":"1","lease":"l","number":1,"deadline_ms":1,"order":{"load":{"model":"new"}}}
          200
        POST /orders | {"id":"4","lease":"l","number":5,"deadline_ms":9999999999999,"order":{"role":{"role":"decode"}}}
          200
        GET /health
          200 {"role":"decode"}
        GET /v1/models
          200 {"data":[{"id":"old","object":"model"},{"id":"new","object":"model"}],"object":"list"}
    "#]]).await;
    let unfenced = spawn(|it| it.fencing = false);
    let lines = r#"
        POST /orders | {"id":"1","lease":"l","number":5,"deadline_ms":9999999999999,"order":{"role":{"role":"a"}}}
        POST /orders | {"id":"2","lease":"l","number":4,"deadline_ms":9999999999999,"order":{"role":{"role":"b"}}}
        GET /health
    "#;
    check(&unfenced, lines, expect![[r#"
        POST /orders | {"id":"1","lease":"l","number":5,"deadline_ms":9999999999999,"order":{"role":{"role":"a"}}}
          200
        POST /orders | {"id":"2","lease":"l","number":4,"deadline_ms":9999999999999,"order":{"role":{"role":"b"}}}
          200
        GET /health
          200 {"role":"b"}
    "#]]).await;
}

#[tokio::test]
async fn prefixes_are_cached_and_events_have_gaps() {
    let lines = r#"
        POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"one"}
        POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"one"}
        POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"two"}
        GET /cache/events?after=0
        GET /cache/events?after=2
    "#;
    let whole = spawn(|it| it.cache_prefixes = 1);
    check(&whole, lines, expect![[r#"
        POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"one"}
          200 {"choices":[{"finish_reason":"length","index":0,"text":"req-0-0 "}],"created":0,"id":"req-0","model":"m","object":"text_completion","usage":{"completion_tokens":1,"prompt_tokens":1,"total_tokens":2}}
        POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"one"}
          200 {"choices":[{"finish_reason":"length","index":0,"text":"req-1-0 "}],"created":0,"id":"req-1","model":"m","object":"text_completion","usage":{"completion_tokens":1,"prompt_tokens":1,"total_tokens":2}}
        POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"two"}
          200 {"choices":[{"finish_reason":"length","index":0,"text":"req-2-0 "}],"created":0,"id":"req-2","model":"m","object":"text_completion","usage":{"completion_tokens":1,"prompt_tokens":1,"total_tokens":2}}
        GET /cache/events?after=0
          200 {"events":[{"kept":true,"prefix":"7692c3ad3540bb803c020b3aee66cd88"},{"kept":true,"prefix":"3fc4ccfe745870e2c0d99f71f30ff065"},{"kept":false,"prefix":"7692c3ad3540bb803c020b3aee66cd88"}],"next":3}
        GET /cache/events?after=2
          200 {"events":[{"kept":false,"prefix":"7692c3ad3540bb803c020b3aee66cd88"}],"next":3}
    "#]]).await;
    let gaps = spawn(|it| {
        it.cache_prefixes = 1;
        it.cache_gap_per_mille = 500;
    });
    check(&gaps, lines, expect![[r#"
        POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"one"}
          200 {"choices":[{"finish_reason":"length","index":0,"text":"req-0-0 "}],"created":0,"id":"req-0","model":"m","object":"text_completion","usage":{"completion_tokens":1,"prompt_tokens":1,"total_tokens":2}}
        POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"one"}
          200 {"choices":[{"finish_reason":"length","index":0,"text":"req-1-0 "}],"created":0,"id":"req-1","model":"m","object":"text_completion","usage":{"completion_tokens":1,"prompt_tokens":1,"total_tokens":2}}
        POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"two"}
          200 {"choices":[{"finish_reason":"length","index":0,"text":"req-2-0 "}],"created":0,"id":"req-2","model":"m","object":"text_completion","usage":{"completion_tokens":1,"prompt_tokens":1,"total_tokens":2}}
        GET /cache/events?after=0
          200 {"events":[{"kept":true,"prefix":"7692c3ad3540bb803c020b3aee66cd88"},{"kept":true,"prefix":"3fc4ccfe745870e2c0d99f71f30ff065"}],"next":2}
        GET /cache/events?after=2
          200 {"events":[],"next":2}
    "#]]).await;
    let late = spawn(|it| it.cache_lag_ms = 60_000);
    check(&late, lines, expect![[r#"
        POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"one"}
          200 {"choices":[{"finish_reason":"length","index":0,"text":"req-0-0 "}],"created":0,"id":"req-0","model":"m","object":"text_completion","usage":{"completion_tokens":1,"prompt_tokens":1,"total_tokens":2}}
        POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"one"}
          200 {"choices":[{"finish_reason":"length","index":0,"text":"req-1-0 "}],"created":0,"id":"req-1","model":"m","object":"text_completion","usage":{"completion_tokens":1,"prompt_tokens":1,"total_tokens":2}}
        POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"two"}
          200 {"choices":[{"finish_reason":"length","index":0,"text":"req-2-0 "}],"created":0,"id":"req-2","model":"m","object":"text_completion","usage":{"completion_tokens":1,"prompt_tokens":1,"total_tokens":2}}
        GET /cache/events?after=0
          200 {"events":[],"next":0}
        GET /cache/events?after=2
          200 {"events":[],"next":2}
    "#]]).await;
}

#[tokio::test]
async fn faults_spoil_answers() {
    let lines = r#"
        POST /test/faults | {"cut_after_tokens":2}
        POST /v1/completions x-request-id:r1 | {"model":"m","stream":true,"max_tokens":4,"prompt":"x"}
        GET /v1/streams/r1?from=2
        POST /test/faults | {"cut_after_tokens":0,"half_answer":true}
        POST /v1/completions x-request-id:r2 | {"model":"m","max_tokens":1,"prompt":"x"}
        POST /test/faults | {"half_answer":false,"garbage":true}
        POST /v1/completions x-request-id:r3 | {"model":"m","max_tokens":1,"prompt":"x"}
        POST /test/faults | {"surprise":1}
    "#;
    let engine = spawn(|_| ());
    expect![[r#"
        POST /test/faults | {"cut_after_tokens":2}
          200
        POST /v1/completions x-request-id:r1 | {"model":"m","stream":true,"max_tokens":4,"prompt":"x"}
          200 0=r1-0 1=r1-1 cut
        GET /v1/streams/r1?from=2
          200 2=r1-2 3=r1-3 4=length [DONE]
        POST /test/faults | {"cut_after_tokens":0,"half_answer":true}
          200
        POST /v1/completions x-request-id:r2 | {"model":"m","max_tokens":1,"prompt":"x"}
          200 {"choices":[{"finish_reason":"length","index":0,"text":"r2-0 "}],"created":0,"id":"r2","mode cut
        POST /test/faults | {"half_answer":false,"garbage":true}
          200
        POST /v1/completions x-request-id:r3 | {"model":"m","max_tokens":1,"prompt":"x"}
          200 %%% not an answer
        POST /test/faults | {"surprise":1}
          400 unknown field `surprise`, expected one of `slow_factor`, `crash`, `crash_on`, `crash_for_ms`, `cut_after_tokens`, `garbage`, `half_answer`, `no_answer`, `stale_load`
    "#]].assert_eq(&common::script(engine.address(), lines).await);
}

#[tokio::test]
async fn a_marked_prompt_crashes_for_a_time() {
    let engine = spawn(|it| {
        it.gap_us = 3_600_000_000;
        it.faults.crash_on = "poison".to_owned();
        it.faults.crash_for_ms = 1_000;
    });
    let bystander = r#"POST /v1/completions x-request-id:r1 | {"model":"m","stream":true,"max_tokens":9,"prompt":"x"}"#;
    let bystander = tokio::spawn(common::call(engine.address(), bystander));
    until(&engine, "r1 r1 1 running").await;
    let poison = r#"POST /v1/completions | {"model":"m","max_tokens":1,"prompt":"poison"}"#;
    assert_eq!(common::call(engine.address(), poison).await, "no answer");
    until_health(&engine, "refused").await;
    assert!(!bystander.await.unwrap().contains("DONE"));
    until_health(&engine, r#"200 {"role":""}"#).await;
    expect![[r#"
        r1 r1 1 crashed
        req-1 req-1 0 crashed
    "#]]
    .assert_eq(&history(&engine).await);
}

#[tokio::test]
async fn a_crash_lasts_until_it_is_ended() {
    let engine = spawn(|_| ());
    for (crash, health) in [(true, "refused"), (false, r#"200 {"role":""}"#)] {
        let line = format!(r#"POST /test/faults | {{"crash":{crash}}}"#);
        assert_eq!(common::call(engine.control(), &line).await, "200");
        until_health(&engine, health).await;
    }
}

#[tokio::test]
async fn waiting_requests_run_by_priority_and_readers_who_leave_cancel() {
    let engine = spawn(|it| {
        it.slots = 1;
        it.gap_us = 3_600_000_000;
    });
    let ask = |id: &str, priority: i32| {
        let line = format!(
            r#"POST /v1/completions x-request-id:{id} | {{"model":"m","stream":true,"max_tokens":2,"prompt":"x","priority":{priority}}}"#
        );
        let address = engine.address();
        tokio::spawn(async move { common::call(address, &line).await })
    };
    let first = ask("r1", 5);
    until(&engine, "r1 r1 1 running").await;
    let second = ask("r2", 5);
    until(&engine, "r2").await;
    let third = ask("r3", 1);
    until(&engine, "r3").await;
    let load = common::call(engine.address(), "GET /load").await;
    first.abort();
    until(&engine, "r1 r1 1 cancelled").await;
    let resumed = common::call(engine.address(), "GET /v1/streams/r1?from=0").await;
    until(&engine, "r3 r3 1 running").await;
    let cancelled = common::call(engine.address(), "DELETE /v1/streams/r3").await;
    let third = third.await.unwrap();
    until(&engine, "r2 r2 1 running").await;
    common::call(engine.address(), "DELETE /v1/streams/r2").await;
    let second = second.await.unwrap();
    let seen =
        format!("{load}\n{resumed}\n{cancelled}\n{third}\n{second}\n{}", history(&engine).await);
    expect![[r#"
        200 {"age_ms":0,"kv_total":1000000,"kv_used":3,"running":1,"slots":1,"waiting":2}
        404 no such stream
        200
        200 0=r3-0 cut
        200 0=r2-0 cut
        r1 r1 1 cancelled
        r2 r2 1 cancelled
        r3 r3 1 cancelled
    "#]]
    .assert_eq(&seen);
}

#[tokio::test]
async fn a_stream_without_readers_lingers_and_can_be_resumed() {
    let engine = spawn(|it| {
        it.gap_us = 50_000;
        it.linger_ms = 60_000;
        it.keep_ms = 60_000;
    });
    let line = r#"POST /v1/completions x-request-id:r1 | {"model":"m","stream":true,"max_tokens":5,"prompt":"x"}"#;
    let reader = tokio::spawn(common::call(engine.address(), line));
    until(&engine, "r1 r1 1 running").await;
    reader.abort();
    // Without lingering the stream would be cancelled by now.
    tokio::time::sleep(Duration::from_millis(60)).await;
    let rest = common::call(engine.address(), "GET /v1/streams/r1?from=3").await;
    expect!["200 3=r1-3 4=r1-4 5=length [DONE]"].assert_eq(&rest);
}

#[tokio::test]
async fn received_bytes_are_kept() {
    let engine = spawn(|_| ());
    common::call(engine.address(), "GET /health x-secret:abc").await;
    let bytes = common::call(engine.control(), "GET /test/bytes").await;
    assert!(bytes.contains("x-secret: abc"), "{bytes}");
}

#[tokio::test]
async fn memory_limits_the_batch_and_load_reports_lag() {
    let line = |id: &str| {
        format!(
            r#"POST /v1/completions x-request-id:{id} | {{"model":"m","stream":true,"max_tokens":7,"prompt":"x"}}"#
        )
    };
    let engine = spawn(|it| {
        it.kv_tokens = 15;
        it.gap_us = 3_600_000_000;
    });
    let lagging = spawn(|it| {
        it.gap_us = 3_600_000_000;
        it.load_lag_ms = 3_600_000;
    });
    let mut seen = common::call(lagging.address(), "GET /load").await;
    for (engine, id) in [(&engine, "r1"), (&engine, "r2"), (&lagging, "r3")] {
        let (address, line) = (engine.address(), line(id));
        tokio::spawn(async move { common::call(address, &line).await });
        until(engine, id).await;
    }
    for engine in [&engine, &lagging] {
        seen.push_str(&format!("\n{}", common::call(engine.address(), "GET /load").await));
    }
    expect![[r#"
        200 {"age_ms":0,"kv_total":1000000,"kv_used":0,"running":0,"slots":64,"waiting":0}
        200 {"age_ms":0,"kv_total":15,"kv_used":8,"running":1,"slots":64,"waiting":1}
        200 {"age_ms":0,"kv_total":1000000,"kv_used":0,"running":0,"slots":64,"waiting":0}"#]]
    .assert_eq(&seen);
}
