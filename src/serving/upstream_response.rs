//! Response of an upstream of which the body is still being received.

use std::{io::ErrorKind, sync::Arc};

use bytes::Bytes;
use http::header;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::{sleep, timeout};

use crate::{
    error::Kind,
    serving::{
        connection_cache,
        dialer::Target,
        dispatcher::AttemptGuard,
        outbound_connection::{self, Path},
        witness::{self, Witness},
    },
    time::{Span, Time},
    wire::Ending,
};

/// Time in which a process that ends closes all its sockets. One with 4,000 connections took up to 29 ms.
const EXIT_TIME: Span = Span::from_ms(50);

/// A response of which the head has been read. Dropping it closes the connection.
#[derive(Debug)]
pub struct Response {
    /// Head and unread body.
    pub http: http::Response<Incoming>,
    /// Connection on which the response arrives.
    pub connection: outbound_connection::Connection,
    /// Reports the activity and the end of the attempt to the dispatcher.
    pub guard: AttemptGuard,
    /// Upstream that sends the response.
    pub target: Target,
    /// Id of the upstream, for log lines.
    pub instance: Arc<str>,
    /// Version of the upstream's software, if it is known.
    pub version: Option<Arc<str>>,
    /// Whether the body has neither a length nor chunks, so that only the end of the connection ends it. An upstream whose
    /// process ends closes its connections in order as well.
    pub ends_with_connection: bool,
    /// Shows whether the process of the upstream outlives the connection, if that ends the body.
    pub witness: Option<Witness>,
}

/// Whether the body of a response has neither a length nor chunks.
pub fn ends_with_connection(response: &http::Response<Incoming>) -> bool {
    let mut encodings = response.headers().get_all(header::TRANSFER_ENCODING).iter();
    let last = encodings.next_back().and_then(|it| it.to_str().ok()?.rsplit(',').next());
    let is_chunked = last.is_some_and(|it| it.trim().eq_ignore_ascii_case("chunked"));
    !is_chunked && response.body().size_hint().exact().is_none()
}

impl Response {
    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    /// `UpstreamCut` if the upstream closed the connection early, `UpstreamTimeout` at the deadline, also if the
    /// upstream always has bytes ready.
    pub async fn receive(&mut self, deadline: Time) -> Result<Option<Bytes>, (Kind, Ending)> {
        loop {
            let time_left = deadline.since(Time::now());
            if time_left == Span(0) {
                return Err((Kind::UpstreamTimeout, Ending::TimedOut));
            }
            let frame = match timeout(time_left.into(), self.http.body_mut().frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err((Kind::UpstreamCut, Ending::Failed)),
                Err(_) => return Err((Kind::UpstreamTimeout, Ending::TimedOut)),
            };
            self.guard.record_activity();
            // Trailers are not forwarded.
            if let Ok(bytes) = frame.into_data()
                && !bytes.is_empty()
            {
                return Ok(Some(bytes));
            }
        }
    }

    /// Confirms that the body is complete after its last byte. The end of a connection completes it only if another one to
    /// the upstream stays open, as a process that ends closes its connections in the same way.
    ///
    /// # Errors
    /// `UpstreamCut` if the body may not be complete, `UpstreamTimeout` at the deadline.
    pub async fn confirm_end(
        &self,
        connections: &connection_cache::Cache,
        deadline: Time,
    ) -> Result<(), (Kind, Ending)> {
        if !self.ends_with_connection {
            return Ok(());
        }
        if let Path::Tunnel(_) = self.connection.path {
            // The host in between may have ended, whether or not the upstream did.
            return Err((Kind::UpstreamCut, Ending::Unused));
        }
        let ended_at = Time::now();
        let time_left = deadline.since(ended_at);
        let confirm = async {
            sleep(EXIT_TIME.into()).await;
            match self.witness.as_ref().map(Witness::state) {
                Some(witness::State::Open) => Ok(()),
                Some(witness::State::Closed(at)) if ended_at.since(at) < EXIT_TIME => {
                    Err(ErrorKind::ConnectionAborted.into())
                }
                // The upstream may have closed an idle connection.
                Some(witness::State::Closed(_) | witness::State::Absent) | None => {
                    connections.reconnect(self.target).await
                }
            }
        };
        let error = match timeout(time_left.into(), confirm).await {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(error)) => error,
            Err(_) => return Err((Kind::UpstreamTimeout, Ending::Unused)),
        };
        log::info!(
            "an answer of {} ends with its connection and may not be complete: {error}",
            self.instance
        );
        let ending = match error.kind() {
            ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted => Ending::Failed,
            _ => Ending::Unused,
        };
        Err((Kind::UpstreamCut, ending))
    }

    /// Ends the attempt after the body, whose end is confirmed, and returns the connection to the cache, unless it has ended
    /// with the body.
    pub fn finish(self, connections: &connection_cache::Cache) {
        if !self.ends_with_connection {
            connections.put(self.target.upstream, self.connection);
        }
        self.guard.end(Ending::Done);
    }
}
