//! Passing of a streamed answer from upstreams to its caller, in whole events.

use std::fmt;

use bytes::Bytes;
use futures::future::LocalBoxFuture;

use crate::{
    error::Kind,
    serving::{
        attempt_history::AttemptFailure, begun::Begun, buffer_memory::BufferReservation,
        links::Links, stream::Events,
    },
    time::Time,
    wire::Ending,
};

/// Goes on with a stream at another upstream, after the last event that the caller has. `None` if it cannot go on.
pub type Resume =
    Box<dyn FnMut(Option<u64>, AttemptFailure) -> LocalBoxFuture<'static, Option<Begun>>>;

/// A stream of events on its way to the caller.
pub struct Relay {
    /// The answer in progress, absent after the end of the stream.
    begun: Option<Begun>,
    events: Events,
    links: Links,
    resume: Resume,
    /// Events that came before the answer was begun.
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
    pub fn begin(
        begun: Begun,
        after: Option<u64>,
        links: Links,
        deadline: Time,
        resume: Resume,
        space: BufferReservation,
    ) -> Relay {
        let events = Events::after(after);
        Relay { begun: Some(begun), events, links, resume, first: None, deadline, space }
    }

    /// Waits for the first events.
    ///
    /// # Errors
    /// Why there are none.
    pub async fn first(mut self) -> Result<Relay, AttemptFailure> {
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
            self.events.cut();
            self.begun = (self.resume)(self.events.last(), AttemptFailure::sent(kind)).await;
            if self.begun.is_none() {
                return Err(kind);
            }
        }
    }

    /// Events of the answer in progress.
    async fn receive(&mut self) -> Result<Option<Bytes>, Kind> {
        loop {
            let Some(begun) = &mut self.begun else { return Ok(None) };
            let bytes = match begun.receive(self.deadline).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => return Ok(self.finish()),
                Err((kind, ending)) => return Err(self.lose(kind, ending)),
            };
            let events = self.events.push(&bytes);
            let fits = self.space.try_resize(self.events.held());
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
        let rest = self.events.end();
        (!rest.is_empty()).then_some(rest)
    }

    fn lose(&mut self, kind: Kind, ending: Ending) -> Kind {
        if let Some(begun) = self.begun.take() {
            begun.guard.end(ending);
        }
        kind
    }
}
