//! Checks that an answer is whole and the request's own.

use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<Problem>,
}

#[derive(Debug, Default, Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Content,
    #[serde(default)]
    message: Content,
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Content {
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Problem {
    #[serde(default)]
    kind: String,
}

/// Follows one answer.
#[derive(Debug)]
pub(super) struct Check {
    marker: String,
    /// Tokens that belong to the request, in their order.
    pub(super) tokens: u32,
    /// Whether a token was not the expected one.
    pub(super) foreign: bool,
    /// Kind of error that the answer stated.
    pub(super) kind: String,
    finished: bool,
    done: bool,
    rest: Vec<u8>,
}

impl Check {
    pub(super) fn new(marker: String) -> Check {
        Check {
            marker,
            tokens: 0,
            foreign: false,
            kind: String::new(),
            finished: false,
            done: false,
            rest: Vec::new(),
        }
    }

    /// Whether the answer came to its end with the expected number of tokens.
    pub(super) fn is_whole(&self, tokens: u32) -> bool {
        self.finished && self.done && !self.foreign && self.tokens == tokens
    }

    /// Takes bytes of a stream of events and returns the number of tokens in them.
    pub(super) fn events(&mut self, bytes: &[u8]) -> u32 {
        let before = self.tokens;
        self.rest.extend_from_slice(bytes);
        let rest = std::mem::take(&mut self.rest);
        let end = rest.iter().rposition(|it| *it == b'\n').map_or(0, |it| it + 1);
        let lines = rest[..end].split(|it| *it == b'\n');
        for data in lines.filter_map(|it| it.strip_prefix(b"data:")) {
            self.data(data.trim_ascii());
        }
        self.rest = rest[end..].to_vec();
        self.tokens - before
    }

    fn data(&mut self, data: &[u8]) {
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        self.chunk(data);
    }

    /// Takes a whole answer.
    pub(super) fn whole(&mut self, body: &[u8]) {
        self.chunk(body);
        self.done = true;
    }

    /// Takes a plain service's answer, which repeats the body that it received.
    pub(super) fn plain(&mut self, body: &[u8]) {
        #[derive(Deserialize)]
        struct Echo {
            body: String,
        }
        let echo: Result<Echo, _> = serde_json::from_slice(body);
        self.foreign = !echo.is_ok_and(|it| it.body == self.marker);
        self.finished = true;
        self.done = true;
    }

    fn chunk(&mut self, data: &[u8]) {
        let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
            self.foreign = true;
            return;
        };
        if let Some(problem) = chunk.error {
            self.kind = problem.kind;
        }
        for choice in chunk.choices {
            let parts = [choice.text, choice.delta.content, choice.message.content];
            for text in parts.into_iter().flatten() {
                self.text(&text);
            }
            self.finished |= choice.finish_reason.is_some();
        }
    }

    fn text(&mut self, text: &str) {
        for token in text.split_ascii_whitespace() {
            let number = token.strip_prefix(&self.marker).and_then(|it| it.strip_prefix('-'));
            let own = number.and_then(|it| it.parse().ok()) == Some(self.tokens);
            self.foreign |= !own;
            self.tokens += 1;
        }
    }
}
