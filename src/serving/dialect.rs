//! The port to the callers' and upstreams' HTTP dialect: which headers say what.

use http::{HeaderMap, HeaderValue, StatusCode, response};

use crate::{
    error::{Error, Kind},
    time::Span,
};

/// A part of a prompt that engines keep in memory and find again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What is known of a prompt without reading it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// In order; the last one belongs to the request alone.
    pub parts: Vec<PromptPart>,
    /// Length in tokens.
    pub tokens: u32,
    /// Largest output in tokens, zero if not stated.
    pub max_output: u32,
    /// The caller's estimate of the output in tokens.
    pub expected_output: Option<u32>,
}

/// What the head of a caller's request asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerHeaders {
    /// Id of this request, unique for each try of a caller.
    pub id: HeaderValue,
    /// The caller's key.
    pub secret: Option<String>,
    /// How long the caller waits for the whole answer.
    pub caller_timeout: Option<Span>,
    /// The prompt, if the request is for an engine.
    pub prompt: Option<Prompt>,
    /// Last event of the stream that the caller has, if it resumes one.
    pub last_event_id: Option<u64>,
}

/// What the router itself tells an upstream.
#[derive(Debug, Clone)]
pub struct RouterHeaders<'a> {
    /// Instance that must run the request; another one at its address refuses.
    pub instance: &'a str,
    /// Time in which the answer is of use.
    pub time_left: Span,
    /// Customer whose key the caller presented, if any.
    pub customer: Option<&'a str>,
    /// Priority at an engine, zero first.
    pub priority: Option<u8>,
    /// Last event that the caller has; the run goes on after it.
    pub resume_after: Option<&'a str>,
}

/// What the head of an upstream's answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is the upstream's own answer to this request.
    Valid,
    /// The upstream did not run the request and never will.
    NotRun,
    /// The expected instance is not at the address any more; nothing ran.
    Misdirected,
    /// It answers another request, or is no answer of an upstream.
    Invalid,
}

/// Reads and writes the headers of one HTTP dialect.
pub trait Dialect: 'static {
    /// Reads what a caller's request asks for.
    ///
    /// # Errors
    /// `BadRequest` if a header is missing or cannot be read.
    fn read_headers(&self, headers: &HeaderMap) -> Result<CallerHeaders, Error>;

    /// Whether a header of a caller is the router's alone to set, and is therefore not passed on.
    fn is_reserved(&self, name: &http::HeaderName) -> bool;

    /// Adds what the router tells an upstream.
    fn add_router_headers(&self, headers: &mut HeaderMap, orders: &RouterHeaders<'_>);

    /// Judges the head of an answer to the request with an id.
    fn verdict(&self, id: &HeaderValue, head: &response::Parts) -> Verdict;

    /// Status that tells a caller of a kind of error.
    fn status(&self, kind: Kind) -> StatusCode;
}
