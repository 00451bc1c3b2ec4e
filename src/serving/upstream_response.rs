//! Response of an upstream of which the body is still being received.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    error::Kind,
    serving::{connection_cache, dialer::Target, dispatcher::AttemptGuard, outbound_connection},
    time::{Span, Time},
    wire::Ending,
    witness::Witness,
};

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
    /// Shows whether the process of the upstream outlives the connection, if that ends the body. `None` through a tunnel, as
    /// the host in between may end without the upstream.
    pub witness: Option<Witness>,
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
        let Some(witness) = &self.witness else {
            log::info!(
                "an answer of {} through another host ends with its connection and may not be complete",
                self.instance
            );
            return Err((Kind::UpstreamCut, Ending::Unused));
        };
        let time_left = deadline.since(Time::now()).into();
        let reconnect = connections.reconnect(self.target);
        witness.confirm_end(self.connection.last_open(), time_left, reconnect).await
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
