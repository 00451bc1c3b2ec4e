//! Runs scripts of calls and renders the answers.

use std::{fmt::Write as _, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::Value;

/// Any free port of this host.
pub(crate) fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs each line of a script, `METHOD PATH [name:value …] [| body]` or `sleep MS`, and renders the answers.
pub(crate) async fn script(address: SocketAddr, lines: &str) -> String {
    let mut out = String::new();
    for line in lines.lines().map(str::trim).filter(|it| !it.is_empty()) {
        let answer = match line.strip_prefix("sleep ") {
            Some(ms) => {
                tokio::time::sleep(Duration::from_millis(ms.parse().unwrap())).await;
                continue;
            }
            None => call(address, line).await,
        };
        writeln!(out, "{line}\n  {answer}").unwrap();
    }
    out
}

/// Repeats a call until its answer is as wanted.
pub(crate) async fn until(address: SocketAddr, line: &str, wanted: impl Fn(&str) -> bool) {
    let seen = async {
        while !wanted(&call(address, line).await) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), seen).await.unwrap();
}

/// Sends one call and renders its status, version and body; times in JSON are replaced.
pub(crate) async fn call(address: SocketAddr, line: &str) -> String {
    let (head, body) = line.split_once(" | ").unwrap_or((line, ""));
    let mut words = head.split(' ');
    let method = words.next().unwrap();
    let uri = format!("http://{address}{}", words.next().unwrap());
    let mut request = Request::new(Full::new(Bytes::from(body.to_owned())));
    *request.method_mut() = method.parse().unwrap();
    *request.uri_mut() = uri.parse().unwrap();
    for (name, value) in words.map(|it| it.split_once(':').unwrap()) {
        let name: HeaderName = name.parse().unwrap();
        request.headers_mut().insert(name, HeaderValue::from_str(value).unwrap());
    }
    let mut client = Client::builder(TokioExecutor::new());
    let client = client.retry_canceled_requests(false).build_http();
    let answer = match client.request(request).await {
        Ok(answer) => answer,
        Err(error) if error.is_connect() => return "refused".to_owned(),
        Err(_) => return "no answer".to_owned(),
    };
    let mut out = answer.status().as_u16().to_string();
    if let Some(version) = answer.headers().get("x-version") {
        write!(out, " v{}", version.to_str().unwrap()).unwrap();
    }
    let (body, cut) = read(answer.into_body()).await;
    let text = String::from_utf8_lossy(&body).into_owned();
    let shown = match serde_json::from_slice(&body) {
        Ok(json) => without_times(json).to_string(),
        Err(_) => events(&text),
    };
    if !shown.is_empty() {
        write!(out, " {shown}").unwrap();
    }
    if cut {
        out.push_str(" cut");
    }
    out
}

async fn read(mut body: hyper::body::Incoming) -> (Vec<u8>, bool) {
    let mut all = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame.map(|it| it.into_data()) {
            Ok(Ok(data)) => all.extend_from_slice(&data),
            Ok(Err(_)) => (),
            Err(_) => return (all, true),
        }
    }
    (all, false)
}

/// Offsets and texts of a stream of events, other text as it is.
fn events(text: &str) -> String {
    let mut shown = Vec::new();
    let mut offset = "";
    for line in text.lines() {
        match line.split_once(": ") {
            Some(("id", id)) => offset = id,
            Some(("data", data)) => shown.push(event(offset, data)),
            _ if !line.is_empty() => shown.push(without_created(line)),
            _ => (),
        }
    }
    shown.join(" ")
}

/// A part of a JSON text without its time of creation.
fn without_created(text: &str) -> String {
    match text.split_once("\"created\":") {
        Some((before, after)) => {
            format!("{before}\"created\":0{}", after.trim_start_matches(|it: char| it.is_numeric()))
        }
        None => text.to_owned(),
    }
}

fn event(offset: &str, data: &str) -> String {
    let Ok(json) = serde_json::from_str::<Value>(data) else {
        return data.to_owned();
    };
    let choice = &json["choices"][0];
    let text = [&choice["delta"]["content"], &choice["text"], &choice["finish_reason"]];
    match text.iter().find_map(|it| it.as_str().filter(|it| !it.is_empty())) {
        Some(text) => format!("{offset}={}", text.trim()),
        None => format!("{offset}={}", json["usage"]),
    }
}

fn without_times(json: Value) -> Value {
    match json {
        Value::Object(fields) => {
            let time = |name: &str| name.ends_with("_ms") || name == "created";
            let kept = fields.into_iter().map(|(name, value)| match value.is_number() {
                true if time(&name) => (name, Value::from(0)),
                _ => (name, without_times(value)),
            });
            Value::Object(kept.collect())
        }
        Value::Array(values) => values.into_iter().map(without_times).collect(),
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => json,
    }
}
