//! Forwards an event stream from upstreams to its caller, in complete events.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use futures::future::LocalBoxFuture;

use crate::{
    error::Kind,
    serving::{attempt_history, buffer_memory, connection_cache, stream, upstream_response},
    sse,
    time::Time,
    wire::Ending,
};

/// Resumes a stream on another upstream. Returns `None` if the stream cannot be resumed.
pub type Resume =
    Box<dyn FnMut(Cut) -> LocalBoxFuture<'static, Option<upstream_response::Response>>>;

/// How an attempt broke off.
#[derive(Debug, Clone)]
pub struct Cut {
    /// Id of the last event that the caller received, `None` if no event had an id yet.
    pub after: Option<u64>,
    /// Failure of the attempt.
    pub failure: attempt_history::Failure,
    /// Id of the upstream, for log lines.
    pub instance: Arc<str>,
    /// Version of its software, if it is known.
    pub version: Option<Arc<str>>,
    /// Events of this attempt that arrived.
    pub events: u32,
}

/// An event stream that is being forwarded to its caller.
pub struct Relay {
    /// Id of the request, for log lines.
    id: String,
    /// Response that is being received; `None` after the end of the stream.
    response: Option<upstream_response::Response>,
    /// Why the last response broke off, unless the stream goes on.
    failed: Option<Kind>,
    /// Id of the upstream that sends or sent the response.
    instance: Arc<str>,
    /// Version of its software, if it is known.
    version: Option<Arc<str>>,
    /// Events of the attempt that broke off last.
    received: u32,
    events: stream::Buffer,
    connections: connection_cache::Cache,
    resume: Resume,
    /// Events received before the caller's response was started.
    first_events: Option<Bytes>,
    deadline: Time,
    /// Whether the stream may go on at another upstream, so that it need not wait on a path that is lost.
    may_resume: bool,
    /// Memory for the incomplete event at the end of the received bytes.
    reservation: buffer_memory::Reservation,
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay").field("events", &self.events).finish_non_exhaustive()
    }
}

impl Relay {
    /// Creates a relay for a response. `after` is the last event that the caller has received, if it resumes a stream.
    pub fn new(
        response: upstream_response::Response,
        after: Option<u64>,
        connections: connection_cache::Cache,
        deadline: Time,
        resume: Resume,
        reservation: buffer_memory::Reservation,
    ) -> Relay {
        let events = stream::Buffer::resuming_after(after);
        Relay {
            id: "?".to_owned(),
            instance: response.instance.clone(),
            version: response.version.clone(),
            received: 0,
            response: Some(response),
            failed: None,
            events,
            connections,
            resume,
            first_events: None,
            deadline,
            may_resume: false,
            reservation,
        }
    }

    /// Sets the id of the request, for log lines.
    #[must_use]
    pub fn with_id(mut self, id: &str) -> Relay {
        id.clone_into(&mut self.id);
        self
    }

    /// Sets whether the stream may go on at another upstream.
    #[must_use]
    pub fn resumable(mut self, may_resume: bool) -> Relay {
        self.may_resume = may_resume;
        self
    }

    /// Waits for the first events, which `next` then returns.
    ///
    /// # Errors
    /// Returns the failure of the attempt if the response ends in an error before the first event.
    pub async fn receive_first(mut self) -> Result<Relay, attempt_history::Failure> {
        self.first_events = self.receive().await.map_err(attempt_history::Failure::sent)?;
        Ok(self)
    }

    /// Returns the next complete events, or `None` after the end of the stream. Resumes the stream on another upstream
    /// if the current one fails.
    ///
    /// # Errors
    /// Returns the kind of the last failure if the stream cannot be resumed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Kind> {
        if let Some(events) = self.first_events.take() {
            return Ok(Some(events));
        }
        if let Some(kind) = self.failed {
            return Err(kind);
        }
        loop {
            let kind = match self.receive().await {
                Ok(events) => return Ok(events),
                Err(kind) => kind,
            };
            self.events.discard_partial();
            let cut = Cut {
                after: self.events.last_id(),
                failure: attempt_history::Failure::sent(kind),
                instance: self.instance.clone(),
                version: self.version.clone(),
                events: self.received,
            };
            self.response = (self.resume)(cut).await;
            if let Some(response) = &self.response {
                self.failed = None;
                self.instance = response.instance.clone();
                self.version = response.version.clone();
            }
            if self.response.is_none() {
                return Err(kind);
            }
        }
    }

    /// Receives complete events from the current upstream.
    async fn receive(&mut self) -> Result<Option<Bytes>, Kind> {
        loop {
            let events = self.events.take();
            let fits = self.reservation.try_resize(self.events.allocated_bytes());
            match events {
                Ok(events) if !events.is_empty() => {
                    if let Some(response) = &self.response {
                        response.guard.record_events(sse::events(&events).1 as u32);
                    }
                    return Ok(Some(events));
                }
                Ok(_) if fits => {}
                Ok(_) => return Err(self.fail(Kind::UpstreamInvalid, Ending::Invalid)),
                Err(error) => return Err(self.reject(error)),
            }
            let Some(response) = &mut self.response else { return Ok(None) };
            let dialer = self.connections.dialer();
            let path = response.connection.path;
            let lost = async {
                dialer.path_lost(path).await;
                if !self.may_resume {
                    std::future::pending().await
                }
            };
            let received = tokio::select! {
                biased;
                received = response.receive(self.deadline) => received,
                // Says nothing about the upstream.
                () = lost => Err((Kind::UpstreamCut, Ending::Unused)),
            };
            match received {
                Ok(Some(bytes)) => {
                    dialer.record_response(path);
                    self.events.push(&bytes);
                }
                Ok(None) => return self.end().await,
                Err((kind, ending)) => return Err(self.fail(kind, ending)),
            }
        }
    }

    /// Whether the last bytes from the current upstream completed an event.
    fn ends_after_event(&self) -> bool {
        let has_events = self.response.as_ref().is_some_and(|it| it.guard.events() > 0);
        has_events && self.events.is_between_events()
    }

    /// Ends the stream after the last byte of the current response.
    async fn end(&mut self) -> Result<Option<Bytes>, Kind> {
        let Some(response) = &self.response else { return Ok(None) };
        if response.ends_with_connection && !self.ends_after_event() {
            return Err(self.fail(Kind::UpstreamCut, Ending::Failed));
        }
        let confirmed = response.confirm_end(&self.connections, self.deadline).await;
        confirmed.map_err(|(kind, ending)| self.fail(kind, ending))?;
        self.finish()
    }

    fn finish(&mut self) -> Result<Option<Bytes>, Kind> {
        let rest = self.events.finish().map_err(|error| self.reject(error))?;
        if let Some(response) = self.response.take() {
            let events = response.guard.events();
            if response.ends_with_connection || events == 0 {
                log::info!(
                    "stream {} ends at {} after event {}, {events} events of this attempt: {}",
                    self.id,
                    self.instance,
                    self.events.last_id().map_or("none".to_owned(), |it| it.to_string()),
                    if response.ends_with_connection { "with its connection" } else { "as framed" },
                );
            }
            response.finish(&self.connections);
        }
        Ok((!rest.is_empty()).then_some(rest))
    }

    /// Ends the attempt because of an invalid event.
    fn reject(&mut self, error: stream::InvalidEvent) -> Kind {
        log::info!(
            "stream {} from {} is broken off after event {:?}: {error}",
            self.id,
            self.instance,
            self.events.last_id(),
        );
        self.fail(Kind::UpstreamInvalid, Ending::Invalid)
    }

    fn fail(&mut self, kind: Kind, ending: Ending) -> Kind {
        if let Some(response) = self.response.take() {
            self.received = response.guard.events();
            response.guard.end(ending);
        }
        self.failed = Some(kind);
        kind
    }
}
