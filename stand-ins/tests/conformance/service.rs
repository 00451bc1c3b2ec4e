//! The plain service records each execution.

use expect_test::expect;
use stand_ins::service::{self, Options};

use crate::common;

#[tokio::test]
async fn double_runs_are_seen() {
    let server = service::spawn(Options::new(common::local())).unwrap();
    let lines = r#"
        PATCH /any/thing?q=1 x-request-id:r1 idempotency-key:k1 | one
        PATCH /any/thing?q=1 x-request-id:r2 idempotency-key:k1 | one
        POST /test/faults | {"no_answer":true}
        POST /lost x-request-id:r3 | two
        POST /test/faults | {"no_answer":false,"half_answer":true}
        POST /half x-request-id:r4 | three
        POST /test/faults | {"half_answer":false,"garbage":true}
        POST /garbage x-request-id:r5 | four
        GET /test/history
    "#;
    expect![[r#"
        PATCH /any/thing?q=1 x-request-id:r1 idempotency-key:k1 | one
          200 {"body":"one","execution":1,"method":"PATCH","path":"/any/thing?q=1","request_id":"r1"}
        PATCH /any/thing?q=1 x-request-id:r2 idempotency-key:k1 | one
          200 {"body":"one","execution":2,"method":"PATCH","path":"/any/thing?q=1","request_id":"r2"}
        POST /test/faults | {"no_answer":true}
          200
        POST /lost x-request-id:r3 | two
          no answer
        POST /test/faults | {"no_answer":false,"half_answer":true}
          200
        POST /half x-request-id:r4 | three
          200 {"body":"three","execution":4,"method": cut
        POST /test/faults | {"half_answer":false,"garbage":true}
          200
        POST /garbage x-request-id:r5 | four
          200 %%% not an answer
        GET /test/history
          200 [{"at_ms":0,"body":"one","idempotency_key":"k1","method":"PATCH","number":1,"path":"/any/thing?q=1","request_id":"r1"},{"at_ms":0,"body":"one","idempotency_key":"k1","method":"PATCH","number":2,"path":"/any/thing?q=1","request_id":"r2"},{"at_ms":0,"body":"two","idempotency_key":"","method":"POST","number":3,"path":"/lost","request_id":"r3"},{"at_ms":0,"body":"three","idempotency_key":"","method":"POST","number":4,"path":"/half","request_id":"r4"},{"at_ms":0,"body":"four","idempotency_key":"","method":"POST","number":5,"path":"/garbage","request_id":"r5"}]
    "#]].assert_eq(&common::script(server.address(), lines).await);
    let bytes = common::call(server.address(), "GET /test/bytes").await;
    assert!(bytes.contains("idempotency-key: k1"), "{bytes}");
}
