//! The closed list of error kinds and the table from each kind to its answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether an upstream ran the request that an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Run {
    /// No byte of the request was handed to an upstream connection.
    No,
    /// The upstream answered the request.
    Yes,
    /// Bytes were sent and no whole answer came back.
    Unknown,
}

impl Run {
    /// Value of the `almondrack-run` answer header.
    pub fn as_str(self) -> &'static str {
        match self {
            Run::No => "no",
            Run::Yes => "yes",
            Run::Unknown => "unknown",
        }
    }
}

/// Every reason for which a request is refused or fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// The body exceeds the route's limit.
    BodyTooLarge,
    /// The request's head exceeds the limit.
    HeadTooLarge,
    /// The request was not read within its deadline.
    ReadTimeout,
    /// No key came with a request that needs one.
    MissingKey,
    /// The key is unknown, expired or withdrawn.
    InvalidKey,
    /// The key's customer or role may not use the route.
    Forbidden,
    /// No route serves the model.
    UnknownModel,
    /// No route serves the path.
    UnknownPath,
    /// The path does not take the method.
    MethodNotAllowed,
    /// The customer's request rate is used up.
    RequestLimit,
    /// The customer's token rate is used up.
    TokenLimit,
    /// The customer's concurrency is used up.
    ConcurrencyLimit,
    /// The queue gave the request up in favour of a higher tier.
    Shed,
    /// The backlog leaves no time to meet the request's deadline.
    DeadlineUnmeetable,
    /// The request's queue time exceeded its bound.
    QueueTimeout,
    /// A running request was stopped in favour of a higher tier.
    Preempted,
    /// The request crashed its upstreams and is refused for a period.
    Quarantined,
    /// The retry budget of the customer or pool is used up.
    RetryBudget,
    /// The host is stopping.
    Draining,
    /// No dispatcher of the pool answers.
    NoDispatcher,
    /// The pool has no upstream that could run the request.
    NoUpstream,
    /// The upstream could not be reached.
    UpstreamConnect,
    /// The upstream closed the connection before the whole answer.
    UpstreamCut,
    /// The upstream's answer is not valid.
    UpstreamInvalid,
    /// The upstream did not answer within its deadline.
    UpstreamTimeout,
    /// The platform's store does not answer.
    StoreUnavailable,
    /// The idempotency key belongs to another request, or its first run is not known to have ended.
    IdempotencyConflict,
    /// The record's revision is not the one the change was based on.
    RevisionConflict,
    /// The record is not valid.
    InvalidRecord,
    /// No such record.
    NotFound,
    /// A fault of the host itself.
    Internal,
}

/// The answer to a kind of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Stable name in the JSON body and in metrics.
    pub name: &'static str,
    /// Whether the same request may succeed later, so that `Retry-After` helps.
    pub later: bool,
}

impl Kind {
    /// All kinds, in the order of declaration.
    pub const ALL: [Kind; 32] = [
        Kind::BadRequest,
        Kind::BodyTooLarge,
        Kind::HeadTooLarge,
        Kind::ReadTimeout,
        Kind::MissingKey,
        Kind::InvalidKey,
        Kind::Forbidden,
        Kind::UnknownModel,
        Kind::UnknownPath,
        Kind::MethodNotAllowed,
        Kind::RequestLimit,
        Kind::TokenLimit,
        Kind::ConcurrencyLimit,
        Kind::Shed,
        Kind::DeadlineUnmeetable,
        Kind::QueueTimeout,
        Kind::Preempted,
        Kind::Quarantined,
        Kind::RetryBudget,
        Kind::Draining,
        Kind::NoDispatcher,
        Kind::NoUpstream,
        Kind::UpstreamConnect,
        Kind::UpstreamCut,
        Kind::UpstreamInvalid,
        Kind::UpstreamTimeout,
        Kind::StoreUnavailable,
        Kind::IdempotencyConflict,
        Kind::RevisionConflict,
        Kind::InvalidRecord,
        Kind::NotFound,
        Kind::Internal,
    ];

    /// Looks the kind up in the table of answers.
    pub fn answer(self) -> Answer {
        let (status, name, later) = match self {
            Kind::BadRequest => (400, "bad_request", false),
            Kind::BodyTooLarge => (413, "body_too_large", false),
            Kind::HeadTooLarge => (431, "head_too_large", false),
            Kind::ReadTimeout => (408, "read_timeout", true),
            Kind::MissingKey => (401, "missing_key", false),
            Kind::InvalidKey => (401, "invalid_key", false),
            Kind::Forbidden => (403, "forbidden", false),
            Kind::UnknownModel => (404, "unknown_model", false),
            Kind::UnknownPath => (404, "unknown_path", false),
            Kind::MethodNotAllowed => (405, "method_not_allowed", false),
            Kind::RequestLimit => (429, "request_limit", true),
            Kind::TokenLimit => (429, "token_limit", true),
            Kind::ConcurrencyLimit => (429, "concurrency_limit", true),
            Kind::Shed => (503, "shed", true),
            Kind::DeadlineUnmeetable => (503, "deadline_unmeetable", true),
            Kind::QueueTimeout => (503, "queue_timeout", true),
            Kind::Preempted => (503, "preempted", true),
            Kind::Quarantined => (422, "quarantined", false),
            Kind::RetryBudget => (503, "retry_budget", true),
            Kind::Draining => (503, "draining", true),
            Kind::NoDispatcher => (503, "no_dispatcher", true),
            Kind::NoUpstream => (503, "no_upstream", true),
            Kind::UpstreamConnect => (502, "upstream_connect", true),
            Kind::UpstreamCut => (502, "upstream_cut", false),
            Kind::UpstreamInvalid => (502, "upstream_invalid", false),
            Kind::UpstreamTimeout => (504, "upstream_timeout", false),
            Kind::StoreUnavailable => (503, "store_unavailable", true),
            Kind::IdempotencyConflict => (409, "idempotency_conflict", false),
            Kind::RevisionConflict => (412, "revision_conflict", false),
            Kind::InvalidRecord => (422, "invalid_record", false),
            Kind::NotFound => (404, "not_found", false),
            Kind::Internal => (500, "internal", false),
        };
        Answer { status, name, later }
    }
}

/// An error with its kind, a message for the reader and what is known of the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Selects the answer.
    pub kind: Kind,
    /// States what was wrong and what would be accepted. Holds no key, prompt or answer.
    pub message: String,
    /// Whether an upstream ran the request.
    pub run: Run,
    /// Delay after which a repeat may succeed, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Error {
    /// An error raised before any byte was handed to an upstream.
    pub fn new(kind: Kind, message: impl Into<String>) -> Error {
        Error { kind, message: message.into(), run: Run::No, retry_after_ms: None }
    }

    /// Returns the status of the answer. Callers take 408, 421, 429 and 503 for a request that has not run, so that
    /// another status takes their place if an upstream may have run it.
    pub fn status(&self) -> u16 {
        match self.kind.answer().status {
            408 | 421 | 429 | 503 if self.run != Run::No => 502,
            status => status,
        }
    }

    /// The same error with another statement about the run.
    pub fn with_run(mut self, run: Run) -> Error {
        self.run = run;
        self
    }

    /// The same error with a delay for the caller, in milliseconds.
    pub fn with_retry_after_ms(mut self, delay: u64) -> Error {
        self.retry_after_ms = Some(delay);
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.answer().name, self.message)
    }
}

impl std::error::Error for Error {}
