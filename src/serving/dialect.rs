//! Interface to the HTTP dialect of callers and upstreams: the meaning of their headers.

use http::{HeaderMap, HeaderValue, StatusCode, response};

use crate::{
    error::{Error, Kind},
    serving::{backoff, rate_limit, reported_load},
    time::Span,
};

/// Part of a prompt that engines keep in their prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's content; equal parts of different prompts have the same id.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Description of a prompt, taken from headers and not from the body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in the order of the prompt. The last one is specific to the request.
    pub parts: Vec<PromptPart>,
    /// Length in tokens.
    pub tokens: u32,
    /// Largest output in tokens; 0 if not stated.
    pub max_output: u32,
    /// The caller's estimate of the output length in tokens.
    pub expected_output: Option<u32>,
}

impl Prompt {
    /// Returns the ids of the parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> + '_ {
        let count = self.parts.len().saturating_sub(1);
        self.parts[..count].iter().map(|it| it.id)
    }
}

/// Values read from the headers of a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerHeaders {
    /// Id of the request; a caller's retry has another one.
    pub id: HeaderValue,
    /// Key that the caller presented, valid or not; `None` if it presented none.
    pub api_key: Option<String>,
    /// Time for which the caller waits for the complete response, if stated.
    pub caller_timeout: Option<Span>,
    /// Description of the prompt, if the request is for an engine.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Id of the caller's request that brought the first event of that stream, if stated.
    pub resumes: Option<HeaderValue>,
}

/// Values that the router adds to the headers of an upstream's request.
#[derive(Debug, Clone)]
pub struct RouterHeaders<'a> {
    /// Id of the request, which the response has to echo.
    pub id: &'a HeaderValue,
    /// Instance that the request is meant for. If another one has taken over its address, it refuses the request.
    pub instance: &'a str,
    /// Time until the deadline of the request.
    pub time_left: Span,
    /// Customer of the caller's key, if any.
    pub customer: Option<&'a str>,
    /// Priority for the engine's scheduler, 0 first; `None` for upstreams that are not engines.
    pub priority: Option<u8>,
    /// Id of the last event that the caller received, if the upstream has to resume the stream after it.
    pub resume_after: Option<&'a str>,
}

/// Meaning of the head of an upstream's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream's response to this request.
    Valid,
    /// The upstream refused the request and will not run it.
    NotRun,
    /// Another instance has the address now; the request did not run.
    Misdirected,
    /// The upstream's response to this request, with a status by which callers conclude that the request has not run. The
    /// upstream does not say so, and may have run it.
    Unmarked,
    /// A response to another request, or one that does not say to which. It says nothing about this request, which may
    /// have run.
    Foreign,
    /// A response that does not come from an upstream. The request may have run.
    Invalid,
}

/// The request id that a response echoes, compared with the id of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Echo {
    /// The id of the request.
    Own,
    /// The id of another request.
    Another,
    /// None.
    Missing,
}

impl Echo {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Echo::Own => "own",
            Echo::Another => "another",
            Echo::Missing => "missing",
        }
    }
}

impl Verdict {
    /// Whether the response is the upstream's own to this request, so that what it says of the upstream counts.
    pub fn speaks_for_upstream(self) -> bool {
        matches!(self, Verdict::Valid | Verdict::NotRun | Verdict::Unmarked)
    }

    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Valid => "valid",
            Verdict::NotRun => "not_run",
            Verdict::Misdirected => "misdirected",
            Verdict::Unmarked => "unmarked",
            Verdict::Foreign => "foreign",
            Verdict::Invalid => "invalid",
        }
    }
}

/// What a response says about whether its upstream leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// The upstream leaves and wants no further request.
    Announced,
    /// The response says nothing about it.
    Unannounced,
    /// What it says cannot be read.
    Invalid,
}

/// Reads and writes the headers of one HTTP dialect.
pub trait Dialect: 'static {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    /// Returns `BadRequest` if a required header is missing or a header cannot be parsed.
    fn read_headers(&self, headers: &HeaderMap) -> Result<CallerHeaders, Error>;

    /// Whether only the router may set a header. Such headers of a caller are not forwarded.
    fn is_reserved(&self, name: &http::HeaderName) -> bool;

    /// Adds the router's headers to the request for an upstream. Replaces headers of the same name.
    fn add_router_headers(&self, headers: &mut HeaderMap, router_headers: &RouterHeaders<'_>);

    /// Classifies the head of a response to the request with the given id.
    fn verdict(&self, id: &HeaderValue, head: &response::Parts) -> Verdict;

    /// Compares the id that a response echoes with the id of the request.
    fn echo(&self, id: &HeaderValue, head: &response::Parts) -> Echo;

    /// Reads the rate limit that an upstream names in a response of its own.
    fn named_limit(&self, head: &response::Parts) -> rate_limit::Named;

    /// Reads whether an upstream leaves from a response of its own.
    fn departure(&self, head: &response::Parts) -> Departure;

    /// Reads for which time an upstream wants no requests from a response of its own.
    fn named_backoff(&self, head: &response::Parts) -> backoff::Named;

    /// Reads what an upstream reports of its load in a response of its own. `None` if it reports nothing that can be true.
    fn reported_load(&self, head: &response::Parts) -> Option<reported_load::Report>;

    /// Returns the HTTP status for an error of the given kind.
    fn status(&self, kind: Kind) -> StatusCode;
}
