//! Whole events of a stream, each passed on once and in order.

use bytes::{Bytes, BytesMut};

use crate::sse;

/// Events of a stream, over all runs that it takes.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// Bytes after the last whole event.
    tail: BytesMut,
    /// Id of the last event that was passed on.
    last: Option<u64>,
}

/// An event that cannot belong to the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidEvent;

impl EventBuffer {
    /// EventBuffer that follow an event which the caller has.
    pub fn resuming_after(last: Option<u64>) -> EventBuffer {
        EventBuffer { tail: BytesMut::new(), last }
    }

    /// Id of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Bytes after the last whole event.
    pub fn buffered_bytes(&self) -> usize {
        self.tail.len()
    }

    /// Takes in bytes and returns the events that they complete.
    ///
    /// # Errors
    /// If an event is missing, or one grows without end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, InvalidEvent> {
        self.tail.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(length) = sse::event(&self.tail) {
            let event = self.tail.split_to(length);
            if self.is_next(&event)? {
                out.extend_from_slice(&event);
            }
        }
        if self.tail.len() > sse::MAX_EVENT_BYTES { Err(InvalidEvent) } else { Ok(out.freeze()) }
    }

    /// The upstream's answer is complete; what follows the last whole event belongs to it.
    pub fn finish(&mut self) -> Bytes {
        self.tail.split().freeze()
    }

    /// The upstream's answer broke off; half an event is not passed on.
    pub fn discard_partial(&mut self) {
        self.tail.clear();
    }

    /// Whether an event is to be passed on. One that the caller has already is not.
    fn is_next(&mut self, event: &[u8]) -> Result<bool, InvalidEvent> {
        let id = sse::field(event, b"id").and_then(|it| std::str::from_utf8(it).ok()?.parse().ok());
        let Some(id) = id else { return Ok(true) };
        let last = self.last.unwrap_or(0);
        if id <= last {
            return Ok(false);
        }
        if self.last.is_some() && id != last + 1 {
            return Err(InvalidEvent);
        }
        self.last = Some(id);
        Ok(true)
    }
}
