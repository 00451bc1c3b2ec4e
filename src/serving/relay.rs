//! Passing of a streamed answer from upstreams to its caller, in whole events.

use std::fmt;

use bytes::Bytes;
use futures::future::LocalBoxFuture;

use crate::{
    error::Kind,
    serving::{
        attempt_history::AttemptFailure, buffer_memory::BufferReservation,
        connection_cache::ConnectionCache, stream::EventBuffer,
        upstream_response::UpstreamResponse,
    },
    time::Time,
    wire::Ending,
};

/// Goes on with a stream at another upstream, after the last event that the caller has. `None` if it cannot go on.
pub type Resume = Box<
    dyn FnMut(Option<u64>, AttemptFailure) -> LocalBoxFuture<'static, Option<UpstreamResponse>>,
>;

/// A stream of events on its way to the caller.
pub struct Relay {
    /// The answer in progress, absent after the end of the stream.
    begun: Option<UpstreamResponse>,
    events: EventBuffer,
    links: ConnectionCache,
    resume: Resume,
    /// EventBuffer that came before the answer was begun.
    first: Option<Bytes>,
    deadline: Time,
    /// Covers the beginning of an event that is not whole yet.
    space: BufferReservation,
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay").field("events", &self.events).finish_non_exhaustive()
    }
}

impl Relay {
    /// Takes over an answer that follows an event which the caller has.
    pub fn new(
        begun: UpstreamResponse,
        after: Option<u64>,
        links: ConnectionCache,
        deadline: Time,
        resume: Resume,
        space: BufferReservation,
    ) -> Relay {
        let events = EventBuffer::resuming_after(after);
        Relay { begun: Some(begun), events, links, resume, first: None, deadline, space }
    }

    /// Waits for the first events.
    ///
    /// # Errors
    /// Why there are none.
    pub async fn receive_first(mut self) -> Result<Relay, AttemptFailure> {
        self.first = self.receive().await.map_err(AttemptFailure::sent)?;
        Ok(self)
    }

    /// The next whole events, or `None` after the end of the stream.
    ///
    /// # Errors
    /// The kind of loss that cut the stream.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Kind> {
        if let Some(events) = self.first.take() {
            return Ok(Some(events));
        }
        loop {
            let kind = match self.receive().await {
                Ok(events) => return Ok(events),
                Err(kind) => kind,
            };
            self.events.discard_partial();
            self.begun = (self.resume)(self.events.last_id(), AttemptFailure::sent(kind)).await;
            if self.begun.is_none() {
                return Err(kind);
            }
        }
    }

    /// EventBuffer of the answer in progress.
    async fn receive(&mut self) -> Result<Option<Bytes>, Kind> {
        loop {
            let Some(begun) = &mut self.begun else { return Ok(None) };
            let bytes = match begun.receive(self.deadline).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => return Ok(self.finish()),
                Err((kind, ending)) => return Err(self.lose(kind, ending)),
            };
            let events = self.events.push(&bytes);
            let fits = self.space.try_resize(self.events.buffered_bytes());
            match events {
                Ok(events) if fits && events.is_empty() => {}
                Ok(events) if fits => return Ok(Some(events)),
                Ok(_) | Err(_) => return Err(self.lose(Kind::UpstreamInvalid, Ending::Invalid)),
            }
        }
    }

    fn finish(&mut self) -> Option<Bytes> {
        if let Some(begun) = self.begun.take() {
            begun.finish(&self.links);
        }
        let rest = self.events.finish();
        (!rest.is_empty()).then_some(rest)
    }

    fn lose(&mut self, kind: Kind, ending: Ending) -> Kind {
        if let Some(begun) = self.begun.take() {
            begun.guard.end(ending);
        }
        kind
    }
}
