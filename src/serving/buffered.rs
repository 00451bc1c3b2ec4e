//! Buffers responses until they are complete, so that a request can still be retried when an upstream fails in the
//! middle.
//!
//! A response that does not fit into the buffer memory is forwarded as it arrives; if it fails, the caller's connection
//! is closed.

use std::{collections::VecDeque, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    error::Kind,
    serving::{
        attempt_history, buffer_memory, connection_cache, key::UpstreamKey, outbound_connection,
        upstream_response,
    },
    time::Time,
};

/// Largest response that is buffered, in bytes. The users' largest ones have 5 kB, a two-hundredth of this.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Most bytes of a refusal's body that are read to reuse its connection. A new connection costs less than reading more.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Longest time to read a refusal's body. A new connection costs less than a longer wait.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of buffering a response.
#[derive(Debug)]
pub enum Buffered {
    /// The complete body.
    Complete(Bytes),
    /// A response that is too large to buffer, of which the beginning has been read.
    Large(Box<LargeResponse>),
}

/// A response whose body is read in parts.
#[derive(Debug)]
pub struct LargeResponse {
    /// Response that is being received; `None` after its end.
    response: Option<upstream_response::Response>,
    /// Bytes that were read and not yet forwarded.
    buffered: VecDeque<Bytes>,
    /// Memory for `buffered`.
    reservation: buffer_memory::Reservation,
    connections: connection_cache::Cache,
    deadline: Time,
}

impl LargeResponse {
    /// Wraps a response of which no body bytes have been read.
    pub fn new(
        response: upstream_response::Response,
        reservation: buffer_memory::Reservation,
        connections: connection_cache::Cache,
        deadline: Time,
    ) -> LargeResponse {
        LargeResponse {
            response: Some(response),
            buffered: VecDeque::new(),
            reservation,
            connections,
            deadline,
        }
    }

    /// Reads the response until it is complete or does not fit into the buffer memory.
    ///
    /// # Errors
    /// Returns the failure of the attempt if the upstream cuts the response or the deadline passes.
    pub async fn buffer(mut self) -> Result<Buffered, attempt_history::Failure> {
        while let Some(bytes) = self.receive().await.map_err(attempt_history::Failure::sent)? {
            let length = self.reservation.reserved() + bytes.len();
            let fits = length <= MAX_BUFFERED_BYTES && self.reservation.try_resize(length);
            self.buffered.push_back(bytes);
            if !fits {
                return Ok(Buffered::Large(Box::new(self)));
            }
        }
        let mut body = BytesMut::with_capacity(self.reservation.reserved());
        self.buffered.iter().for_each(|it| body.extend_from_slice(it));
        Ok(Buffered::Complete(body.freeze()))
    }

    /// Returns the next bytes, or `None` after the end of the response.
    ///
    /// # Errors
    /// Returns the kind of the failure that cut the response.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Kind> {
        match self.buffered.pop_front() {
            Some(bytes) => {
                let buffered = self.reservation.reserved().saturating_sub(bytes.len());
                // Shrinking a reservation never fails.
                self.reservation.try_resize(buffered);
                Ok(Some(bytes))
            }
            None => self.receive().await,
        }
    }

    async fn receive(&mut self) -> Result<Option<Bytes>, Kind> {
        let Some(response) = &mut self.response else { return Ok(None) };
        let received = response.receive(self.deadline).await;
        if let Ok(Some(bytes)) = received {
            return Ok(Some(bytes));
        }
        let response = self.response.take();
        match (received, response) {
            (Err((kind, ending)), Some(response)) => {
                response.guard.end(ending);
                Err(kind)
            }
            (_, Some(response)) => {
                response.finish(&self.connections);
                Ok(None)
            }
            (_, None) => Ok(None),
        }
    }
}

/// Reads the rest of a refusal's body and returns its connection to the cache. Closes the connection if the body is too
/// long or takes too much time.
pub async fn discard_refusal(
    upstream: UpstreamKey,
    mut body: Incoming,
    connection: outbound_connection::Connection,
    connections: connection_cache::Cache,
) {
    let rest = async {
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            length += frame.ok()?.into_data().map_or(0, |it| it.len());
            if length > MAX_REFUSAL_BYTES {
                return None;
            }
        }
        Some(())
    };
    match timeout(REFUSAL_TIMEOUT, rest).await {
        Ok(Some(())) => connections.put(upstream, connection),
        Ok(None) | Err(_) => {
            log::debug!("closing a connection: the body of a refusal is too long or too slow")
        }
    }
}
