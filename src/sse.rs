//! Scanning of server-sent events and completion chunks.

use std::borrow::Cow;

use serde::Deserialize;

/// Largest event that is taken from an upstream, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Length of the first whole event in a buffer, with the blank line that ends it.
pub fn event(buffer: &[u8]) -> Option<usize> {
    event_from(buffer, 0)
}

/// Like `event`, for a buffer of which the first `searched` bytes are known to contain no whole event.
pub fn event_from(buffer: &[u8], searched: usize) -> Option<usize> {
    let is_end =
        |at: usize| matches!(&buffer[..at], [] | [.., b'\n'] | [b'\r'] | [.., b'\n', b'\r']);
    let mut ends = (searched..buffer.len()).filter(|at| buffer[*at] == b'\n');
    ends.find(|at| is_end(*at)).map(|at| at + 1)
}

/// Length of the longest run of whole events at the start of a buffer, with their number.
pub fn events(buffer: &[u8]) -> (usize, usize) {
    let mut length = 0;
    let mut count = 0;
    while let Some(next) = event(&buffer[length..]) {
        length += next;
        count += 1;
    }
    (length, count)
}

/// Value of the first field with a name in an event.
pub fn field<'a>(event: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}

/// Token counts that an engine states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// What an event of a completion stream means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Meaning {
    /// Text of this many tokens.
    Token,
    /// Nothing to count, such as a role or a finish reason.
    Other,
    /// Token counts of the whole answer.
    Usage(Usage),
    /// The end of the stream.
    Done,
    /// Not a chunk of a completion.
    Invalid,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    delta: Option<Delta<'a>>,
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

/// Reads the meaning of an event; an event without data is `Other`.
pub fn meaning(event: &[u8]) -> Meaning {
    let Some(data) = field(event, b"data") else { return Meaning::Other };
    if data == b"[DONE]" {
        return Meaning::Done;
    }
    let Ok(chunk) = serde_json::from_slice::<Chunk<'_>>(data) else { return Meaning::Invalid };
    match chunk.usage {
        Some(usage) if chunk.choices.is_empty() => Meaning::Usage(usage),
        _ if chunk.choices.iter().any(has_text) => Meaning::Token,
        _ => Meaning::Other,
    }
}

fn has_text(choice: &Choice<'_>) -> bool {
    let content = choice.delta.as_ref().and_then(|it| it.content.as_ref());
    [content, choice.text.as_ref()].into_iter().flatten().any(|text| !text.is_empty())
}

/// Token counts of a whole answer, if it states them.
pub fn whole_usage(body: &[u8]) -> Option<Usage> {
    #[derive(Deserialize)]
    struct Answer {
        usage: Usage,
    }
    serde_json::from_slice::<Answer>(body).ok().map(|it| it.usage)
}
