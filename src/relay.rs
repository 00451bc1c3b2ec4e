//! Passing of a streamed answer from an upstream to its caller.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::Request;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{
    attempt::{Answering, Attempt, Loss},
    attempts::{Guard, Stop},
    error::Kind,
    sse::{self, Meaning, Usage},
    upstream::{Client, Reuse},
    wire::Ending,
};

/// Times that a stream is resumed after its connection broke.
const MAX_RESUMES: u32 = 2;

/// Interval of progress messages of one stream.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Time for an upstream to end its answer after the last event.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Where a broken stream can be taken up again.
#[derive(Debug)]
pub struct Source {
    /// Connections to upstreams.
    pub client: Client,
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Id under which the upstream knows the stream.
    pub id: String,
    /// Whether the caller asked for the token counts; if not they are left out of its answer.
    pub wants_usage: bool,
}

/// What an answer consisted of when it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Tokens delivered to the caller.
    pub tokens: u32,
    /// Counts that the engine stated, if it did.
    pub usage: Option<Usage>,
    /// Time of the first token, if one came.
    pub first_token: Option<Instant>,
    /// Longest gap between tokens.
    pub longest_gap: Duration,
    /// Why the answer is not whole, if it is not.
    pub loss: Option<Kind>,
}

/// A stream of server-sent events on its way to the caller.
#[derive(Debug)]
pub struct Relay {
    source: Source,
    /// Absent after the end of the stream.
    body: Option<Incoming>,
    /// Bytes after the last whole event.
    tail: BytesMut,
    attempt: Option<Attempt<Answering>>,
    guard: Option<Guard>,
    stop: oneshot::Receiver<Stop>,
    idle: Duration,
    deadline: Instant,
    sent: Instant,
    resumes: u32,
    /// Offset of the next event, as the engine counts them.
    offset: u64,
    told: Instant,
    last_token: Option<Instant>,
    finished: bool,
    summary: Summary,
}

/// Limits on the time of an answer.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// When the request was handed to the upstream.
    pub sent: Instant,
    /// Longest silence of the upstream.
    pub idle: Duration,
    /// When the request must have ended.
    pub deadline: Instant,
}

impl Relay {
    /// Begins to pass a stream.
    pub fn open(
        source: Source,
        body: Incoming,
        attempt: Attempt<Answering>,
        guard: Guard,
        stop: oneshot::Receiver<Stop>,
        times: Times,
    ) -> Relay {
        Relay {
            source,
            body: Some(body),
            tail: BytesMut::new(),
            attempt: Some(attempt),
            guard: Some(guard),
            stop,
            idle: times.idle,
            deadline: times.deadline,
            sent: times.sent,
            resumes: 0,
            offset: 0,
            told: times.sent,
            last_token: None,
            finished: false,
            summary: Summary {
                tokens: 0,
                usage: None,
                first_token: None,
                longest_gap: Duration::ZERO,
                loss: None,
            },
        }
    }

    /// What has been passed so far.
    pub fn summary(&self) -> &Summary {
        &self.summary
    }

    /// The next whole events, or `None` after the end of the stream.
    ///
    /// # Errors
    /// The loss that ended the stream before its last event.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Loss> {
        while !self.finished {
            match self.receive().await {
                Ok(frame) => {
                    let events = self.whole_events(frame).map_err(|kind| self.lose(kind))?;
                    if !events.is_empty() {
                        return Ok(Some(events));
                    }
                }
                Err(Kind::UpstreamCut) if self.resume().await => {}
                Err(kind) => return Err(self.lose(kind)),
            }
        }
        Ok(None)
    }

    async fn receive(&mut self) -> Result<Bytes, Kind> {
        let limit = self.deadline.min(Instant::now() + self.idle);
        let Some(body) = &mut self.body else { return Err(Kind::Internal) };
        tokio::select! {
            biased;
            stop = &mut self.stop => match stop {
                Ok(Stop::Preempted) => Err(Kind::Preempted),
                Ok(Stop::Withdrawn) => Err(Kind::InvalidKey),
                Err(_) => Err(Kind::Internal),
            },
            frame = timeout_at(limit, body.frame()) => match frame {
                Err(_) => Err(Kind::UpstreamTimeout),
                Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
                Ok(Some(Err(_)) | None) => Err(Kind::UpstreamCut),
            },
        }
    }

    /// Splits whole events off and counts what they hold.
    fn whole_events(&mut self, frame: Bytes) -> Result<Bytes, Kind> {
        let buffer = if self.tail.is_empty() {
            frame
        } else {
            self.tail.extend_from_slice(&frame);
            std::mem::take(&mut self.tail).freeze()
        };
        let mut length = 0;
        let mut hidden = None;
        while let Some(next) = sse::event(&buffer[length..]) {
            let event = length..length + next;
            let usage = self.count(&buffer[event.clone()])?;
            if usage && !self.source.wants_usage {
                hidden = Some(event);
            }
            length += next;
            if self.finished {
                break;
            }
        }
        let rest = &buffer[length..];
        if rest.len() > sse::MAX_EVENT_BYTES {
            return Err(Kind::UpstreamInvalid);
        }
        if !self.finished {
            self.tail.extend_from_slice(rest);
        }
        let Some(hidden) = hidden else { return Ok(buffer.slice(..length)) };
        let mut shown = BytesMut::with_capacity(length - hidden.len());
        shown.extend_from_slice(&buffer[..hidden.start]);
        shown.extend_from_slice(&buffer[hidden.end..length]);
        Ok(shown.freeze())
    }

    /// Counts an event. True if it states token counts and nothing else.
    fn count(&mut self, event: &[u8]) -> Result<bool, Kind> {
        let meaning = sse::meaning(event);
        match meaning {
            Meaning::Token => self.count_token(),
            Meaning::Usage(usage) => self.summary.usage = Some(usage),
            Meaning::Other => {}
            Meaning::Done => self.finish(),
            Meaning::Invalid => return Err(Kind::UpstreamInvalid),
        }
        let stated =
            sse::field(event, b"id").and_then(|it| std::str::from_utf8(it).ok()?.parse().ok());
        self.offset = stated.unwrap_or(self.offset) + 1;
        Ok(matches!(meaning, Meaning::Usage(_)))
    }

    fn count_token(&mut self) {
        let now = Instant::now();
        self.summary.tokens += 1;
        let first = self.summary.first_token.is_none();
        if first {
            self.summary.first_token = Some(now);
        }
        if let Some(last) = self.last_token {
            self.summary.longest_gap = self.summary.longest_gap.max(now - last);
        }
        self.last_token = Some(now);
        if first || now - self.told >= PROGRESS_INTERVAL {
            self.told = now;
            let micros = first.then(|| (now - self.sent).as_micros() as u64);
            if let Some(guard) = &mut self.guard {
                guard.progress(micros, self.summary.tokens);
            }
        }
    }

    fn finish(&mut self) {
        self.finished = true;
        if let Some(body) = self.body.take() {
            tokio::spawn(read_end(body));
        }
        let Some(attempt) = self.attempt.take() else { return };
        self.end(attempt.done());
    }

    fn lose(&mut self, kind: Kind) -> Loss {
        self.finished = true;
        self.summary.loss = Some(kind);
        let loss = match self.attempt.take() {
            Some(attempt) => attempt.lost(kind),
            None => Loss { kind, run: crate::error::Run::Unknown, ending: Ending::Failed },
        };
        self.end(loss.ending);
        loss
    }

    fn end(&mut self, ending: Ending) {
        if let Some(guard) = self.guard.take() {
            guard.end(ending, self.summary.tokens);
        }
    }

    /// Asks the upstream for the rest of the stream.
    async fn resume(&mut self) -> bool {
        if self.resumes == MAX_RESUMES || self.offset == 0 {
            return false;
        }
        self.resumes += 1;
        let Source { client, address, id, wants_usage: _ } = &self.source;
        let uri = format!("http://{address}/v1/streams/{id}?from={}", self.offset);
        let Ok(request) = Request::get(uri).body(Full::<Bytes>::default()) else { return false };
        let limit = self.deadline.min(Instant::now() + self.idle);
        let Ok(Ok(answer)) = timeout_at(limit, client.send(request, Reuse::Never)).await else {
            return false;
        };
        if answer.status() != http::StatusCode::OK {
            return false;
        }
        self.tail.clear();
        self.body = Some(answer.into_body());
        true
    }
}

/// Reads the end of an answer after its last event, without which the connection cannot serve another request.
async fn read_end(mut body: Incoming) {
    let _ = tokio::time::timeout(END_TIMEOUT, body.frame()).await;
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.end(Ending::Cancelled, self.summary.tokens);
        }
    }
}
