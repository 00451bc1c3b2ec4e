//! Sends one request and follows its answer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Http, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Serialize;
use serde_json::json;
use tokio::time::Instant;

use super::{
    check::Check,
    plan::{Form, Item},
};
use crate::clock::wall_ms;

/// Time to connect, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Filler of prompts; a token is four bytes.
const FILLER: &str = "abc ";

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer is whole and the request's own.
    Whole,
    /// An answer with an error status.
    Refused,
    /// The answer began and did not come to its end.
    Cut,
    /// The answer is not the request's own.
    Foreign,
    /// No connection.
    Unconnected,
    /// The connection closed without an answer.
    Unanswered,
    /// No whole answer in time.
    Timeout,
    /// Not sent, because too many were open.
    Skipped,
}

/// What is known of one request. Times are in microseconds from the planned start.
#[derive(Debug, Clone, Serialize)]
pub struct Record {
    /// Number of the request in the run.
    pub index: usize,
    /// Place of the caller in the options.
    pub caller: usize,
    /// Model, or the path of a plain call.
    pub model: String,
    /// Whether it went to an engine directly.
    pub direct: bool,
    /// Host that it was sent to.
    pub target: SocketAddr,
    /// Whether a streamed answer was asked for.
    pub stream: bool,
    /// Wall-clock time of the planned start, in milliseconds.
    pub start_ms: u64,
    /// Delay of the sending itself.
    pub late_us: u64,
    /// First byte of the answer's body.
    pub first_us: Option<u64>,
    /// End of the answer.
    pub end_us: u64,
    /// Status, if an answer came.
    pub status: Option<u16>,
    /// Header `almondrack-run`.
    pub run: String,
    /// Header `x-request-id` of the answer.
    pub request_id: String,
    /// Kind of error that the answer stated, or what failed.
    pub kind: String,
    /// Tokens received.
    pub tokens: u32,
    /// Tokens asked for.
    pub wanted: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time between tokens.
    #[serde(skip)]
    pub gaps_us: Vec<u32>,
}

/// Connections to one target.
#[derive(Debug, Clone)]
pub(super) struct Target {
    http: Http<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl Target {
    pub(super) fn new(address: SocketAddr) -> Target {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let http = Http::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(Duration::from_secs(5))
            .build(connector);
        Target { http, address }
    }
}

/// A request with everything that its sending needs.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) index: usize,
    pub(super) item: Item,
    /// Model, or the path of a plain call.
    pub(super) model: String,
    /// Bearer key, absent when the engine is called directly.
    pub(super) key: Option<String>,
    pub(super) marker: String,
    pub(super) target: Target,
    pub(super) planned: Instant,
}

impl Call {
    /// A record of a request that was not sent.
    pub(super) fn record(&self) -> Record {
        let late = self.planned.elapsed();
        Record {
            index: self.index,
            caller: self.item.caller,
            model: self.model.clone(),
            direct: self.key.is_none(),
            target: self.target.address,
            stream: self.item.stream && self.item.form != Form::Plain,
            start_ms: wall_ms().saturating_sub(late.as_millis() as u64),
            late_us: late.as_micros() as u64,
            first_us: None,
            end_us: 0,
            status: None,
            run: String::new(),
            request_id: String::new(),
            kind: String::new(),
            tokens: 0,
            wanted: if self.item.form == Form::Plain { 0 } else { self.item.output_tokens },
            outcome: Outcome::Skipped,
            gaps_us: Vec::new(),
        }
    }

    /// Sends the request and follows its answer to the end.
    pub(super) async fn send(self, timeout: Duration) -> Record {
        let mut record = self.record();
        let mut check = Check::new(self.marker.clone());
        record.outcome = Outcome::Timeout;
        let answer = self.follow(&mut record, &mut check);
        if let Ok(outcome) = tokio::time::timeout(timeout, answer).await {
            record.outcome = outcome;
        }
        record.end_us = self.planned.elapsed().as_micros() as u64;
        record.tokens = check.tokens;
        if !check.kind.is_empty() {
            record.kind = check.kind;
        }
        if check.foreign && record.status == Some(200) {
            record.outcome = Outcome::Foreign;
        }
        record
    }

    async fn follow(&self, record: &mut Record, check: &mut Check) -> Outcome {
        let answer = match self.target.http.request(self.request()).await {
            Ok(answer) => answer,
            Err(error) => {
                record.kind = error.to_string();
                return if error.is_connect() { Outcome::Unconnected } else { Outcome::Unanswered };
            }
        };
        let status = answer.status();
        record.status = Some(status.as_u16());
        record.run = crate::server::header(answer.headers(), "almondrack-run");
        record.request_id = crate::server::header(answer.headers(), "x-request-id");
        if !status.is_success() {
            record.first_us = Some(self.planned.elapsed().as_micros() as u64);
            record.kind = refusal(answer).await;
            return Outcome::Refused;
        }
        let whole = self.body(answer.into_body(), record, check).await;
        if whole && check.is_whole(record.wanted) { Outcome::Whole } else { Outcome::Cut }
    }

    /// Reads the body; false if it was cut.
    async fn body(&self, mut body: Incoming, record: &mut Record, check: &mut Check) -> bool {
        let mut all = Vec::new();
        let mut last = None;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return false;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let now_us = self.planned.elapsed().as_micros() as u64;
            record.first_us.get_or_insert(now_us);
            if !record.stream {
                all.extend_from_slice(&data);
                continue;
            }
            for _ in 0..check.events(&data) {
                let before = last.replace(now_us);
                record.gaps_us.extend(before.map(|it| (now_us - it) as u32));
            }
        }
        match (self.item.form, record.stream) {
            (Form::Plain, _) => check.plain(&all),
            (Form::Chat | Form::Text, false) => check.whole(&all),
            (Form::Chat | Form::Text, true) => (),
        }
        true
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let path = match self.item.form {
            Form::Chat => "/v1/chat/completions",
            Form::Text => "/v1/completions",
            Form::Plain => &self.model,
        };
        let mut request = Request::new(Full::new(Bytes::from(self.body_text())));
        *request.method_mut() = Method::POST;
        let uri = format!("http://{}{path}", self.target.address);
        if let Ok(uri) = uri.parse() {
            *request.uri_mut() = uri;
        }
        let headers = request.headers_mut();
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
        let own = match &self.key {
            Some(key) => (header::AUTHORIZATION, format!("Bearer {key}")),
            None => (header::HeaderName::from_static("x-request-id"), self.marker.clone()),
        };
        if let Ok(value) = own.1.parse() {
            headers.insert(own.0, value);
        }
        request
    }

    fn body_text(&self) -> String {
        let Item { form, stream, prompt_tokens, output_tokens, caller, .. } = self.item;
        if form == Form::Plain {
            return self.marker.clone();
        }
        let filler = FILLER.repeat(prompt_tokens as usize);
        let start = format!("Caller {caller} of model {} asks, as always: ", self.model);
        let prompt = format!("{start}{filler} marker:{}", self.marker);
        let mut body =
            json!({ "model": self.model, "max_tokens": output_tokens, "stream": stream });
        if stream {
            body["stream_options"] = json!({ "include_usage": true });
        }
        if form == Form::Chat {
            body["messages"] = json!([{ "role": "user", "content": prompt }]);
        } else {
            body["prompt"] = json!(prompt);
        }
        body.to_string()
    }
}

/// Kind of error that a refusal states, or its status and the start of its body.
async fn refusal(answer: Response<Incoming>) -> String {
    let status = answer.status().as_u16();
    let Ok(body) = answer.into_body().collect().await else {
        return "cut".to_owned();
    };
    let body = body.to_bytes();
    let parsed: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    match parsed["error"]["kind"].as_str() {
        Some(kind) => kind.to_owned(),
        None => {
            let start: String = String::from_utf8_lossy(&body).chars().take(100).collect();
            format!("{status} {start}")
        }
    }
}
