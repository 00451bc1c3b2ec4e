//! What a caller's request asks for, read from its body and head.

use std::borrow::Cow;

use http::{HeaderMap, HeaderName, HeaderValue, header};
use serde::{Deserialize, de::IgnoredAny};

use crate::{
    credential,
    error::{Error, Kind},
    rendezvous,
};

/// Bytes of text for one token, as a first estimate of a prompt's length.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of the prompt that decide cache affinity.
const PREFIX_BYTES: usize = 1_024;

/// Headers that pass to an upstream. Anything else may carry a credential.
const FORWARDED: [HeaderName; 8] = [
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_LANGUAGE,
    header::CONTENT_TYPE,
    header::IF_MATCH,
    header::IF_NONE_MATCH,
    header::RANGE,
    HeaderName::from_static("idempotency-key"),
];

/// Query parameters in which clients put credentials.
const SECRET_PARAMETERS: [&str; 8] =
    ["access_token", "api-key", "api_key", "apikey", "auth", "key", "token", "x-api-key"];

/// A request in one of the completions forms.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// Model that the caller names.
    pub model: String,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Largest output in tokens, zero if not stated.
    pub max_tokens: u32,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Hash of the start of the prompt.
    pub prefix: u64,
    /// What the body says that the router has to replace.
    pub overrides: Overrides,
}

/// Fields of a completion request that the router sets itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Overrides {
    /// Whether the body states a priority of its own.
    pub has_priority: bool,
    /// Whether the body states stream options of its own.
    pub has_stream_options: bool,
    /// Whether the caller asked for token counts at the end of the stream.
    pub wants_usage: bool,
    /// Whether the answer is to be streamed.
    pub stream: bool,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct Body<'a> {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(borrow, default)]
    messages: Option<&'a serde_json::value::RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a serde_json::value::RawValue>,
    #[serde(default)]
    priority: Option<IgnoredAny>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
}

/// Reads a body in one of the completions forms.
///
/// # Errors
/// `BadRequest` if the body is not JSON, or lacks a model or a prompt.
pub fn completion(body: &[u8], chat: bool) -> Result<Completion, Error> {
    let bad = |message: String| Error::new(Kind::BadRequest, message);
    let read: Body<'_> = serde_json::from_slice(body)
        .map_err(|error| bad(format!("the body is not a completion request: {error}")))?;
    let (name, prompt) = if chat { ("messages", read.messages) } else { ("prompt", read.prompt) };
    let prompt = prompt.ok_or_else(|| bad(format!("the body has no '{name}'")))?.get();
    let wanted = if chat { prompt.starts_with('[') } else { prompt.starts_with(['[', '"']) };
    if !wanted {
        return Err(bad(format!("'{name}' has the wrong type")));
    }
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let stream = read.stream.unwrap_or(false);
    let overrides = Overrides {
        has_priority: read.priority.is_some(),
        has_stream_options: read.stream_options.is_some(),
        wants_usage: read.stream_options.is_some_and(|it| it.include_usage),
        stream,
    };
    Ok(Completion {
        stream,
        overrides,
        max_tokens: read.max_completion_tokens.or(read.max_tokens).unwrap_or(0),
        prompt_tokens: (prompt.len() / BYTES_PER_TOKEN).max(1).min(u32::MAX as usize) as u32,
        prefix: rendezvous::hash(&[read.model.as_bytes(), start]).max(1),
        model: read.model,
    })
}

/// The body with the priority that the engine is told, and with token counts asked for, by which streams are billed.
///
/// What the caller stated of these is replaced.
pub fn outgoing_body(body: &[u8], overrides: Overrides, priority: u8) -> Vec<u8> {
    let stated = overrides.has_priority || overrides.has_stream_options;
    if stated {
        return replace(body, overrides, priority).unwrap_or_else(|| body.to_vec());
    }
    let Some(open) = body.iter().position(|byte| *byte == b'{') else { return body.to_vec() };
    let mut fields = format!("\"priority\":{priority},");
    if overrides.stream {
        fields.push_str("\"stream_options\":{\"include_usage\":true},");
    }
    let mut out = Vec::with_capacity(body.len() + fields.len());
    out.extend_from_slice(&body[..=open]);
    out.extend_from_slice(fields.as_bytes());
    out.extend_from_slice(&body[open + 1..]);
    out
}

fn replace(body: &[u8], overrides: Overrides, priority: u8) -> Option<Vec<u8>> {
    let mut value: serde_json::Value = serde_json::from_slice(body).ok()?;
    let fields = value.as_object_mut()?;
    fields.insert("priority".to_owned(), priority.into());
    if overrides.stream {
        let options = fields.entry("stream_options").or_insert_with(|| serde_json::json!({}));
        options.as_object_mut()?.insert("include_usage".to_owned(), true.into());
    }
    serde_json::to_vec(&value).ok()
}

/// The headers that pass to an upstream.
pub fn forwarded(headers: &HeaderMap, secret: Option<&str>) -> HeaderMap {
    let mut out = HeaderMap::with_capacity(FORWARDED.len());
    for name in &FORWARDED {
        let Some(value) = headers.get(name) else { continue };
        if !holds_secret(value, secret) {
            out.insert(name.clone(), value.clone());
        }
    }
    out
}

fn holds_secret(value: &HeaderValue, secret: Option<&str>) -> bool {
    mentions(value.as_bytes(), secret)
}

/// Whether bytes contain the caller's secret or anything in the form of a key.
pub fn mentions(bytes: &[u8], secret: Option<&str>) -> bool {
    let presented = secret.is_some_and(|it| contains(bytes, it.as_bytes()));
    presented || credential::find(bytes).is_some()
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    !needle.is_empty() && haystack.windows(needle.len()).any(|window| window == needle)
}

/// The query without the parameters that may carry a credential.
pub fn forwarded_query(query: &str, secret: Option<&str>) -> String {
    let kept = query.split('&').filter(|parameter| {
        let name = parameter.split('=').next().unwrap_or_default();
        let decoded = percent_decode(parameter);
        !is_secret_parameter(&percent_decode(name)) && !mentions(&decoded, secret)
    });
    kept.collect::<Vec<_>>().join("&")
}

fn is_secret_parameter(name: &[u8]) -> bool {
    SECRET_PARAMETERS.iter().any(|it| name.eq_ignore_ascii_case(it.as_bytes()))
}

/// Decodes percent escapes; an invalid escape stands as it is.
pub fn percent_decode(text: &str) -> Cow<'_, [u8]> {
    let bytes = text.as_bytes();
    if !bytes.contains(&b'%') {
        return Cow::Borrowed(bytes);
    }
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        match escape(&bytes[at..]) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    Cow::Owned(out)
}

/// The byte of a percent escape at the start of a buffer.
fn escape(buffer: &[u8]) -> Option<u8> {
    let [b'%', high, low, ..] = buffer else { return None };
    let digit = |byte: u8| char::from(byte).to_digit(16);
    Some((digit(*high)? * 16 + digit(*low)?) as u8)
}

/// Hash of customer, route and body that identifies a repeated request.
pub fn fingerprint(customer: &str, route: &str, body: &[u8]) -> u64 {
    rendezvous::hash(&[customer.as_bytes(), route.as_bytes(), body])
}
