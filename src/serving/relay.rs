//! Passing of a streamed answer from an upstream to its caller, in whole events.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    error::{Kind, Run},
    serving::{
        dispatcher::Guard,
        exchange::{Begun, Loss},
        key::UpstreamKey,
        link::Link,
        links::Links,
    },
    sse,
    time::Time,
    wire::Ending,
};

/// A stream of events on its way to the caller.
#[derive(Debug)]
pub struct Relay {
    body: Incoming,
    /// Taken when the stream has ended.
    link: Option<Link>,
    guard: Option<Guard>,
    upstream: UpstreamKey,
    links: Links,
    /// Bytes after the last whole event.
    tail: BytesMut,
    /// Events that came before the answer was begun.
    first: Option<Bytes>,
    deadline: Time,
}

impl Relay {
    /// Takes over an answer.
    pub fn begin(begun: Begun, links: Links, deadline: Time) -> Relay {
        let Begun { response, link, guard, upstream } = begun;
        Relay {
            body: response.into_body(),
            link: Some(link),
            guard: Some(guard),
            upstream,
            links,
            tail: BytesMut::new(),
            first: None,
            deadline,
        }
    }

    /// Waits for the first event.
    ///
    /// # Errors
    /// Why there is none.
    pub async fn first(mut self) -> Result<Relay, Loss> {
        match self.receive().await {
            Ok(Some(events)) => {
                self.first = Some(events);
                if let Some(guard) = &self.guard {
                    guard.answered();
                }
                Ok(self)
            }
            Ok(None) => Ok(self),
            Err(kind) => Err(Loss { kind, run: Run::Unknown, arrived: true }),
        }
    }

    /// The next whole events, or `None` after the end of the stream.
    ///
    /// # Errors
    /// The kind of loss that cut the stream.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Kind> {
        match self.first.take() {
            Some(events) => Ok(Some(events)),
            None => self.receive().await,
        }
    }

    async fn receive(&mut self) -> Result<Option<Bytes>, Kind> {
        loop {
            if self.link.is_none() {
                return Ok(None);
            }
            let left = self.deadline.since(Time::now());
            let frame = match timeout(left.into(), self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return self.finish(),
                Ok(Some(Err(_))) => return Err(self.lose(Kind::UpstreamCut, Ending::Failed)),
                Err(_) => return Err(self.lose(Kind::UpstreamTimeout, Ending::TimedOut)),
            };
            self.tail.extend_from_slice(&frame.into_data().unwrap_or_default());
            let (length, _) = sse::events(&self.tail);
            if length > 0 {
                return Ok(Some(self.tail.split_to(length).freeze()));
            }
            if self.tail.len() > sse::MAX_EVENT_BYTES {
                return Err(self.lose(Kind::UpstreamInvalid, Ending::Invalid));
            }
        }
    }

    fn finish(&mut self) -> Result<Option<Bytes>, Kind> {
        if let Some(link) = self.link.take() {
            self.links.keep(self.upstream, link);
        }
        if let Some(guard) = self.guard.take() {
            guard.end(Ending::Done);
        }
        let rest = self.tail.split().freeze();
        Ok((!rest.is_empty()).then_some(rest))
    }

    fn lose(&mut self, kind: Kind, ending: Ending) -> Kind {
        self.link = None;
        if let Some(guard) = self.guard.take() {
            guard.end(ending);
        }
        kind
    }
}
