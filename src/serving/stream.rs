//! Splits a byte stream into complete events and forwards each of them once and in order, also when the stream is
//! resumed on another upstream.

use bytes::{Bytes, BytesMut};

use crate::sse;

/// Reassembles the events of a stream over all attempts that send it.
#[derive(Debug, Default)]
pub struct Buffer {
    /// Bytes of the incomplete event at the end.
    tail: BytesMut,
    /// Bytes of `tail` that were searched for the end of the event. At most its length.
    searched: usize,
    /// Id of the last event that was forwarded.
    last: Option<u64>,
}

/// The stream skips an event or contains one that is longer than `sse::MAX_EVENT_BYTES`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidEvent;

impl Buffer {
    /// Creates a buffer that drops events up to the given id, which the caller has received already.
    pub fn resuming_after(last: Option<u64>) -> Buffer {
        Buffer { last, ..Buffer::default() }
    }

    /// Returns the id of the last event that was forwarded; `None` if no event had an id yet.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns the memory that is allocated for the incomplete event, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.tail.capacity()
    }

    /// Whether the last bytes completed an event.
    pub fn is_between_events(&self) -> bool {
        self.tail.is_empty()
    }

    /// Adds bytes and returns the events that they complete.
    ///
    /// # Errors
    /// Returns `InvalidEvent` if an event is missing or exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, InvalidEvent> {
        self.tail.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(length) = sse::event_from(&self.tail, self.searched) {
            self.searched = 0;
            let event = self.tail.split_to(length);
            if self.is_next(&event)? {
                out.extend_from_slice(&event);
            }
        }
        self.searched = self.tail.len();
        if !out.is_empty() {
            // Releases the buffer that the events were cut from.
            self.tail = BytesMut::from(&self.tail[..]);
        }
        if self.tail.len() > sse::MAX_EVENT_BYTES { Err(InvalidEvent) } else { Ok(out.freeze()) }
    }

    /// Returns the bytes after the last complete event. Called at the end of a response with a length or chunks, which they
    /// belong to.
    pub fn finish(&mut self) -> Bytes {
        self.searched = 0;
        std::mem::take(&mut self.tail).freeze()
    }

    /// Drops the incomplete event of a response that was cut.
    pub fn discard_partial(&mut self) {
        self.searched = 0;
        self.tail = BytesMut::new();
    }

    /// Whether an event has to be forwarded. One that the caller has received already has not, and one without an id
    /// always has.
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
