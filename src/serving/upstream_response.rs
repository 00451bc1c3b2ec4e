//! An answer that has begun, on its connection.

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    error::Kind,
    serving::{
        connection_cache::ConnectionCache, dispatcher::AttemptGuard, key::UpstreamKey,
        outbound_connection::OutboundConnection,
    },
    time::{Span, Time},
    wire::Ending,
};

/// An answer of which the head was read.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Head and body of the answer.
    pub response: Response<Incoming>,
    /// Connection that it comes on.
    pub link: OutboundConnection,
    /// Reports the end of the attempt.
    pub guard: AttemptGuard,
    /// Upstream that answers.
    pub upstream: UpstreamKey,
}

impl UpstreamResponse {
    /// The next bytes, or `None` at the end of the answer.
    ///
    /// # Errors
    /// How the answer was lost. One that always has bytes ready is lost at the deadline too.
    pub async fn receive(&mut self, deadline: Time) -> Result<Option<Bytes>, (Kind, Ending)> {
        loop {
            let left = deadline.since(Time::now());
            if left == Span(0) {
                return Err((Kind::UpstreamTimeout, Ending::TimedOut));
            }
            let frame = match timeout(left.into(), self.response.body_mut().frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err((Kind::UpstreamCut, Ending::Failed)),
                Err(_) => return Err((Kind::UpstreamTimeout, Ending::TimedOut)),
            };
            self.guard.record_activity();
            // Trailers are not passed on.
            if let Ok(bytes) = frame.into_data()
                && !bytes.is_empty()
            {
                return Ok(Some(bytes));
            }
        }
    }

    /// The answer was whole; its connection is kept.
    pub fn finish(self, links: &ConnectionCache) {
        links.keep(self.upstream, self.link);
        self.guard.end(Ending::Done);
    }
}
