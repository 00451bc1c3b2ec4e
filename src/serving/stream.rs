//! Splits a byte stream into complete events and forwards each of them once and in order, also when the stream is
//! resumed on another upstream.

use std::fmt;

use bytes::{Bytes, BytesMut};

use crate::sse;

/// Id of the first event of a stream. One that begins with another id is forwarded once the next event confirms it.
const FIRST_ID: u64 = 1;

/// Reassembles the events of a stream over all attempts that send it.
#[derive(Debug, Default)]
pub struct Buffer {
    /// Bytes after the events that were returned. Begins at the start of an event.
    tail: BytesMut,
    /// Bytes of `tail` that are known to contain no end of an event. At most its length.
    searched: usize,
    /// Id of the last event that was returned to be forwarded. Names no event that the caller does not get.
    last: Option<u64>,
    /// Id of the last event of this attempt, also of one that the caller had before. The next one is higher by one.
    attempt_last: Option<u64>,
    /// Whether this attempt has so far only repeated events.
    is_behind: bool,
}

/// Why the rest of a response cannot be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidEvent {
    /// An event has an id that does not follow the one before it.
    OutOfOrder(u64),
    /// An event has an id that is not a number.
    UnreadableId,
    /// An event of a stream with ids has none.
    MissingId,
    /// An event exceeds `sse::MAX_EVENT_BYTES`.
    TooLong,
    /// The response ends inside an event.
    Unfinished,
    /// The response ends before an event that the caller does not have.
    Behind,
}

impl fmt::Display for InvalidEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidEvent::OutOfOrder(id) => write!(f, "event {id} does not follow the one before"),
            InvalidEvent::UnreadableId => f.write_str("the id of an event is not a number"),
            InvalidEvent::MissingId => f.write_str("an event has no id"),
            InvalidEvent::TooLong => f.write_str("an event is too long"),
            InvalidEvent::Unfinished => f.write_str("the response ends inside an event"),
            InvalidEvent::Behind => f.write_str("the response ends with a repeated event"),
        }
    }
}

/// What is done with a complete event.
#[derive(Debug)]
enum Step {
    Forward(Option<u64>),
    /// The caller has the event already.
    Skip(u64),
    /// More of the stream has to arrive first.
    Wait,
}

impl Buffer {
    /// Creates a buffer that drops events up to the given id, which the caller has received already.
    pub fn resuming_after(last: Option<u64>) -> Buffer {
        Buffer { last, ..Buffer::default() }
    }

    /// Returns the id of the last event that was returned to be forwarded; `None` if no event had an id yet.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns the memory that is allocated for the bytes after the returned events.
    pub fn allocated_bytes(&self) -> usize {
        self.tail.capacity()
    }

    /// Whether the last bytes completed an event, which may still wait for the next one.
    pub fn is_between_events(&self) -> bool {
        sse::events(&self.tail).0 == self.tail.len()
    }

    /// Adds bytes of the current attempt.
    pub fn push(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(bytes);
    }

    /// Returns the complete events that have to be forwarded, without any if more bytes are needed. Events before an
    /// invalid one are returned first; the call after that returns the error.
    ///
    /// # Errors
    /// Returns why the next event cannot be forwarded.
    pub fn take(&mut self) -> Result<Bytes, InvalidEvent> {
        let mut out = BytesMut::new();
        let mut length = 0;
        let mut error = None;
        while let Some(event) = sse::event_from(&self.tail[length..], self.searched) {
            let (event, rest) = self.tail[length..].split_at(event);
            self.searched = 0;
            match self.step(event, rest) {
                Ok(Step::Wait) => break,
                Ok(Step::Skip(id)) => {
                    self.attempt_last = Some(id);
                    self.is_behind = true;
                }
                Ok(Step::Forward(id)) => {
                    out.extend_from_slice(event);
                    if id.is_some() {
                        (self.attempt_last, self.last) = (id, id);
                        self.is_behind = false;
                    }
                }
                Err(invalid) => {
                    error = Some(invalid);
                    break;
                }
            }
            length += event.len();
        }
        if length > 0 {
            // Copied, so that the events that were cut off release their memory.
            self.tail = BytesMut::from(&self.tail[length..]);
        }
        let has_event = sse::event_from(&self.tail, self.searched).is_some();
        self.searched = if has_event { 0 } else { self.tail.len() };
        if self.tail.len() > sse::MAX_EVENT_BYTES {
            error.get_or_insert(InvalidEvent::TooLong);
        }
        match error {
            Some(error) if out.is_empty() => Err(error),
            _ => Ok(out.freeze()),
        }
    }

    /// Returns the bytes after the last complete event. Called at the end of a response with a length or chunks, which they
    /// belong to if the response has no numbered events.
    ///
    /// # Errors
    /// `Unfinished` or `Behind` if the response is not complete.
    pub fn finish(&mut self) -> Result<Bytes, InvalidEvent> {
        if self.is_behind {
            return Err(InvalidEvent::Behind);
        }
        let is_numbered = self.is_numbered() || next_id(&self.tail)?.is_some();
        if is_numbered && !self.is_between_events() {
            return Err(InvalidEvent::Unfinished);
        }
        self.searched = 0;
        Ok(std::mem::take(&mut self.tail).freeze())
    }

    /// Drops what was not returned of a response that was cut. The next bytes are those of another attempt.
    pub fn discard_partial(&mut self) {
        *self = Buffer::resuming_after(self.last);
    }

    fn is_numbered(&self) -> bool {
        self.last.is_some() || self.attempt_last.is_some()
    }

    /// Decides on an event, with the bytes that follow it.
    fn step(&self, event: &[u8], rest: &[u8]) -> Result<Step, InvalidEvent> {
        let Some(id) = event_id(event)? else {
            let is_missing = self.is_numbered() && sse::field(event, b"data").is_some();
            return if is_missing { Err(InvalidEvent::MissingId) } else { Ok(Step::Forward(None)) };
        };
        let follows = |previous| id.checked_sub(1) == Some(previous);
        let is_in_order = match (self.attempt_last, self.last) {
            (Some(previous), _) => follows(previous),
            // An attempt may begin before the last event that was forwarded.
            (None, Some(last)) => id <= last || follows(last),
            (None, None) if id == FIRST_ID => true,
            (None, None) => match next_id(rest)? {
                Some(next) => next.checked_sub(1) == Some(id),
                None => return Ok(Step::Wait),
            },
        };
        if !is_in_order {
            return Err(InvalidEvent::OutOfOrder(id));
        }
        let is_new = self.last.is_none_or(|last| id > last);
        Ok(if is_new { Step::Forward(Some(id)) } else { Step::Skip(id) })
    }
}

/// Returns the id of an event, `None` if it has none.
fn event_id(event: &[u8]) -> Result<Option<u64>, InvalidEvent> {
    let Some(id) = sse::field(event, b"id") else { return Ok(None) };
    let id = std::str::from_utf8(id).ok().and_then(|it| it.parse().ok());
    id.map(Some).ok_or(InvalidEvent::UnreadableId)
}

/// Returns the id of the first complete event with one.
fn next_id(mut bytes: &[u8]) -> Result<Option<u64>, InvalidEvent> {
    while let Some(length) = sse::event(bytes) {
        let (event, rest) = bytes.split_at(length);
        if let Some(id) = event_id(event)? {
            return Ok(Some(id));
        }
        bytes = rest;
    }
    Ok(None)
}
