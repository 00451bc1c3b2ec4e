//! Bad input from callers and upstreams: each has its kind, and other requests go on.

use std::time::Duration;

use http::Method;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use stand_ins::cluster::{Cluster, Options, call, request, secret};

type Headers<'a> = &'a [(&'a str, &'a str)];

/// Name, method, path, headers, body, and the status and kind of the refusal.
type Case<'a> = (&'a str, Method, &'a str, Headers<'a>, String, (u16, &'a str));

#[tokio::test(flavor = "multi_thread")]
async fn callers_mistakes_have_their_kinds() {
    let options =
        Options { host_arguments: vec!["--read-timeout-ms", "500"], ..Options::default() };
    let cluster = Cluster::spawn(options).await;
    let bearer = format!("Bearer {}", secret("acme"));
    let good = [("authorization", bearer.as_str())];
    let wrong = [("authorization", "Bearer almk_wrong")];
    let basic = [("authorization", "Basic YTpi")];
    let chat = "/v1/chat/completions";
    let unknown = json!({ "model": "m9", "messages": [{ "role": "user", "content": "x" }] });
    let no_prompt = json!({ "model": "m1" });
    let odd_prompt = json!({ "model": "m1", "messages": "x" });
    let huge = format!("{{\"model\":\"m1\",\"prompt\":\"{}\"}}", "x".repeat(9 << 20));
    let cases: [Case<'_>; 10] = [
        ("not JSON", Method::POST, chat, &good, "{".to_owned(), (400, "bad_request")),
        ("no prompt", Method::POST, chat, &good, no_prompt.to_string(), (400, "bad_request")),
        ("odd prompt", Method::POST, chat, &good, odd_prompt.to_string(), (400, "bad_request")),
        ("model", Method::POST, chat, &good, unknown.to_string(), (404, "unknown_model")),
        ("path", Method::GET, "/nowhere", &good, String::new(), (404, "unknown_path")),
        ("method", Method::GET, chat, &good, String::new(), (405, "method_not_allowed")),
        ("no key", Method::POST, "/orders/1", &[], String::new(), (401, "missing_key")),
        ("wrong key", Method::POST, "/orders/1", &wrong, String::new(), (401, "invalid_key")),
        ("scheme", Method::POST, "/orders/1", &basic, String::new(), (401, "invalid_key")),
        ("too large", Method::POST, "/v1/completions", &good, huge, (413, "body_too_large")),
    ];
    for (name, method, path, headers, body, expected) in cases {
        let address = cluster.host_address(0, 0);
        let answer = call(request(method, address, path, headers, body)).await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status.as_u16(), answer.kind().as_str()), expected, "{name}");
        assert_eq!(answer.header("almondrack-run"), "no", "{name}");
    }
    assert_eq!(slow_sender(&cluster).await, "read_timeout");
    assert!(bad_head(&cluster).await.starts_with("HTTP/1.1 4"), "a bad head is refused");
    pipelined(&cluster).await;
    let next = cluster.chat(0, "acme", "tokens:1", false).await.expect("an answer");
    assert_eq!(next.status, 200);
}

/// Sends half a body and returns the kind of the refusal.
async fn slow_sender(cluster: &Cluster) -> String {
    let mut stream = TcpStream::connect(cluster.host_address(0, 0)).await.expect("a connection");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-length: 100\r\n\r\n{{",
        secret("acme")
    );
    stream.write_all(head.as_bytes()).await.expect("the head is sent");
    let answer = read_some(&mut stream).await;
    let (_, body) = answer.split_once("\r\n\r\n").expect("an answer");
    let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
    body["error"]["kind"].as_str().unwrap_or_default().to_owned()
}

async fn bad_head(cluster: &Cluster) -> String {
    let mut stream = TcpStream::connect(cluster.host_address(0, 0)).await.expect("a connection");
    stream.write_all(b"GET / HTTP/1.1\r\nbad header\r\n\r\n").await.expect("the head is sent");
    read_some(&mut stream).await
}

async fn read_some(stream: &mut TcpStream) -> String {
    let mut buffer = vec![0; 4_096];
    let read = tokio::time::timeout(Duration::from_secs(10), stream.read(&mut buffer)).await;
    let length = read.expect("an answer in time").expect("an answer");
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

/// Sends a second request behind a stream and checks that each gets its own answer in order.
async fn pipelined(cluster: &Cluster) {
    let mut stream = TcpStream::connect(cluster.host_address(0, 0)).await.expect("a connection");
    for marker in ["p0", "p1"] {
        let body = json!({
            "model": "m1", "stream": true, "max_tokens": 100,
            "messages": [{ "role": "user", "content": format!("marker:{marker} tokens:20") }],
        })
        .to_string();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
             content-length: {}\r\n\r\n{body}",
            secret("acme"),
            body.len()
        );
        stream.write_all(request.as_bytes()).await.expect("the request is sent");
    }
    let mut text = String::new();
    while text.matches("[DONE]").count() < 2 {
        text.push_str(&read_some(&mut stream).await);
    }
    let (first, second) = text.split_at(text.find("[DONE]").expect("an end"));
    let own = |text: &str, marker: &str| text.matches(&format!("{marker}-")).count();
    assert_eq!((own(first, "p0"), own(first, "p1")), (20, 0));
    assert_eq!((own(second, "p0"), own(second, "p1")), (0, 20));
}

#[tokio::test(flavor = "multi_thread")]
async fn upstreams_mistakes_have_their_kinds() {
    let options = Options {
        hosts: vec!["a"],
        engines: vec![("a", Vec::new())],
        services: vec!["a"],
        host_arguments: vec!["--idle-timeout-ms", "1000"],
        ..Options::default()
    };
    let cluster = Cluster::spawn(options).await;
    let engine = cluster.engines[0].control;
    let cases = [
        (json!({ "garbage": true }), false, (502, "upstream_invalid")),
        (json!({ "garbage": false, "half_answer": true }), false, (422, "quarantined")),
        (json!({ "half_answer": false, "no_answer": true }), false, (504, "upstream_timeout")),
    ];
    for (faults, stream, expected) in cases {
        cluster.control(engine, "/test/faults", &faults).await;
        let prompt = format!("tokens:5 {faults}");
        let answer = cluster.chat(0, "acme", &prompt, stream).await.expect("an answer");
        let found = (answer.status.as_u16(), answer.kind());
        assert_eq!((found.0, found.1.as_str()), expected, "{faults}");
        assert_ne!(answer.header("almondrack-run"), "no", "{faults}: bytes were sent");
    }
    let healed = json!({ "garbage": false, "half_answer": false, "no_answer": false });
    cluster.control(engine, "/test/faults", &healed).await;
    let next = cluster.chat(0, "acme", "marker:ok tokens:2", false).await.expect("an answer");
    assert_eq!(next.status, 200, "{}", next.body);
}
