//! Requests and answers of the completion forms.

use std::io::Write as _;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::clock::wall_ms;

/// Output tokens of a request that states no limit.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Average length of a token of a prompt, in bytes.
const BYTES_PER_TOKEN: usize = 4;

/// The two completion forms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Form {
    Chat,
    Text,
}

#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Value,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
    #[serde(default)]
    priority: i64,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// A parsed request.
#[derive(Debug, Clone)]
pub(super) struct Ask {
    pub(super) form: Form,
    pub(super) model: String,
    pub(super) prompt: String,
    /// Word that every output token carries.
    pub(super) marker: String,
    pub(super) prompt_tokens: u32,
    /// Output tokens that will be produced.
    pub(super) length: u32,
    /// Whether `length` is the caller's limit.
    pub(super) limited: bool,
    pub(super) stream: bool,
    pub(super) include_usage: bool,
    pub(super) priority: i64,
}

impl Ask {
    /// Parses a body; without a marker in the prompt the request id takes its place.
    pub(super) fn parse(form: Form, body: &[u8], id: &str) -> serde_json::Result<Ask> {
        let body: Body = serde_json::from_slice(body)?;
        let prompt = match form {
            Form::Chat => {
                let parts: Vec<String> = body.messages.iter().map(|it| text(&it.content)).collect();
                parts.join("\n")
            }
            Form::Text => text(&body.prompt),
        };
        let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let wanted = word(&prompt, "tokens:").and_then(|it| it.parse().ok());
        let length = wanted.unwrap_or(max_tokens).min(max_tokens);
        Ok(Ask {
            form,
            model: body.model,
            marker: word(&prompt, "marker:").unwrap_or(id).to_owned(),
            prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN) as u32,
            prompt,
            length,
            limited: length == max_tokens,
            stream: body.stream,
            include_usage: body.stream_options.include_usage,
            priority: body.priority,
        })
    }
}

/// Text of a content that is a string or a list of strings or text parts.
fn text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(text).collect::<Vec<_>>().join(" "),
        Value::Object(part) => part.get("text").map(text).unwrap_or_default(),
        Value::Null | Value::Bool(_) | Value::Number(_) => String::new(),
    }
}

/// The rest of the last word that starts with a label.
fn word<'a>(prompt: &'a str, label: &str) -> Option<&'a str> {
    prompt.split_whitespace().rev().find_map(|it| it.strip_prefix(label))
}

/// Writes the events of one stream.
#[derive(Debug, Clone)]
pub(super) struct Writer {
    marker: String,
    /// Event of a token up to its text and after it.
    before: String,
    after: &'static str,
    finish: String,
    usage: Option<String>,
    length: u32,
}

impl Writer {
    pub(super) fn new(ask: &Ask, id: &str) -> Writer {
        let (object, after, last) = match ask.form {
            Form::Chat => ("chat.completion.chunk", "\"}}]}\n\n", json!({ "delta": {} })),
            Form::Text => ("text_completion", "\"}]}\n\n", json!({ "text": "" })),
        };
        let place = match ask.form {
            Form::Chat => "\"delta\":{\"content\":\"",
            Form::Text => "\"text\":\"",
        };
        let head =
            json!({ "id": id, "object": object, "created": wall_ms() / 1_000, "model": ask.model });
        let head = head.to_string();
        let open = head.trim_end_matches('}');
        let before = format!("{open},\"choices\":[{{\"index\":0,\"finish_reason\":null,{place}");
        let mut choice = last;
        choice["index"] = json!(0);
        choice["finish_reason"] = json!(reason(ask));
        let finish = format!("{open},\"choices\":[{choice}]}}");
        let usage = format!("{open},\"choices\":[],\"usage\":{}}}", usage(ask));
        Writer {
            marker: ask.marker.clone(),
            before,
            after,
            finish,
            usage: ask.include_usage.then_some(usage),
            length: ask.length,
        }
    }

    /// Number of events, without the closing one that has no offset.
    pub(super) fn events(&self) -> u32 {
        self.length + 1 + u32::from(self.usage.is_some())
    }

    /// Appends the event at an offset; at the end the closing one follows.
    pub(super) fn write(&self, offset: u32, out: &mut Vec<u8>) {
        let Writer { marker, before, after, .. } = self;
        // Writing to a vector cannot fail.
        let _ = if offset < self.length {
            write!(out, "id: {offset}\ndata: {before}{marker}-{offset} {after}")
        } else if offset == self.length {
            write!(out, "id: {offset}\ndata: {}\n\n", self.finish)
        } else {
            write!(out, "id: {offset}\ndata: {}\n\n", self.usage.as_deref().unwrap_or_default())
        };
        if offset + 1 == self.events() {
            out.extend_from_slice(b"data: [DONE]\n\n");
        }
    }
}

/// The whole answer.
pub(super) fn whole(ask: &Ask, id: &str) -> Bytes {
    let text: String = (0..ask.length).map(|it| format!("{}-{it} ", ask.marker)).collect();
    let (object, mut choice) = match ask.form {
        Form::Chat => {
            ("chat.completion", json!({ "message": { "role": "assistant", "content": text } }))
        }
        Form::Text => ("text_completion", json!({ "text": text })),
    };
    choice["index"] = json!(0);
    choice["finish_reason"] = json!(reason(ask));
    let answer = json!({
        "id": id,
        "object": object,
        "created": wall_ms() / 1_000,
        "model": ask.model,
        "choices": [choice],
        "usage": usage(ask),
    });
    Bytes::from(answer.to_string())
}

fn reason(ask: &Ask) -> &'static str {
    if ask.limited { "length" } else { "stop" }
}

fn usage(ask: &Ask) -> Value {
    json!({
        "prompt_tokens": ask.prompt_tokens,
        "completion_tokens": ask.length,
        "total_tokens": ask.prompt_tokens + ask.length,
    })
}
