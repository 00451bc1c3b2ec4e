//! No caller's key reaches an upstream, and a key opens only what is its customer's.

use http::Method;
use serde_json::json;

use stand_ins::cluster::{Cluster, Options, call, request, secret};

#[tokio::test(flavor = "multi_thread")]
async fn no_upstream_receives_a_key() {
    let cluster = Cluster::spawn(Options::default()).await;
    let key = secret("acme");
    let bearer = format!("Bearer {key}");
    let escaped = key.replacen('a', "%61", 1);
    let cookie = format!("session={key}");
    let chat = json!({
        "model": "m1", "messages": [{ "role": "user", "content": "hello tokens:1" }],
    });
    let in_body = json!({
        "model": "m1", "messages": [{ "role": "user", "content": format!("my key is {key}") }],
    });
    let address = cluster.host_address(0, 0);
    let chat_path = "/v1/chat/completions";
    let authorization = ("authorization", bearer.as_str());
    type Headers<'a> = Vec<(&'a str, &'a str)>;
    let cases: Vec<(&str, String, Headers<'_>, String, u16)> = vec![
        ("bearer", chat_path.to_owned(), vec![authorization], chat.to_string(), 200),
        ("x-api-key", chat_path.to_owned(), vec![("x-api-key", &key)], chat.to_string(), 200),
        (
            "other headers",
            "/orders/1".to_owned(),
            vec![authorization, ("api-key", &key), ("cookie", &cookie), ("accept", &key)],
            String::new(),
            200,
        ),
        ("query", format!("/orders/1?api_key={key}&x=1"), vec![authorization], String::new(), 200),
        ("odd query", format!("/orders/1?note={key}"), vec![authorization], String::new(), 200),
        ("escaped", format!("/orders/1?note={escaped}"), vec![authorization], String::new(), 200),
        ("path", format!("/orders/{key}"), vec![authorization], String::new(), 400),
        ("open route", format!("/stock/1?token={key}"), vec![], String::new(), 200),
        ("idempotency", "/stock/1".to_owned(), vec![("idempotency-key", &key)], String::new(), 200),
        ("body", chat_path.to_owned(), vec![authorization], in_body.to_string(), 400),
        ("plain body", "/orders/2".to_owned(), vec![authorization], key.clone(), 400),
        ("another's", "/orders/2".to_owned(), vec![authorization], secret("bolt"), 400),
    ];
    for (name, path, headers, body, status) in cases {
        let answer = call(request(Method::POST, address, &path, &headers, body)).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status.as_u16(), status, "{name}: {}", answer.body);
    }
    let mut received = 0;
    for upstream in cluster.engines.iter().chain(&cluster.services) {
        let bytes = call(request(Method::GET, upstream.control, "/test/bytes", &[], "")).await;
        let bytes = bytes.expect("the stand-in answers").body;
        received += bytes.len();
        for customer in ["acme", "bolt"] {
            assert!(!bytes.contains(&secret(customer)), "an upstream received a key");
        }
    }
    assert!(received > 0, "the upstreams recorded what they received");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_opens_only_its_routes() {
    let cluster = Cluster::spawn(Options::default()).await;
    let mut route = cluster.records().into_iter().find(|it| it["name"] == "m2").expect("a route");
    route["customers"] = json!(["bolt"]);
    cluster.write_records(&[route]).await;
    let mut statuses = Vec::new();
    for _ in 0..100 {
        let acme = cluster.chat_model(0, "acme", "m2", "hi tokens:1", false).await;
        let bolt = cluster.chat_model(0, "bolt", "m2", "hi tokens:1", false).await;
        let acme = acme.expect("an answer");
        statuses = vec![acme.status.as_u16(), bolt.expect("an answer").status.as_u16()];
        if acme.kind() == "forbidden" {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert_eq!(statuses, [403, 200]);
}
