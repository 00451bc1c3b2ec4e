//! Buffers responses until they are complete, so that a request can still be retried when an upstream fails in the
//! middle.
//!
//! A response that does not fit into the buffer memory is forwarded as it arrives; if it fails, the caller's connection
//! is closed.

use std::{
    convert::Infallible,
    ops::Deref,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;
use xitca_web::body::{Body, Frame, SizeHint};

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

/// Smallest buffer of a response, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Most bytes of a buffered body that are forwarded at once. The HTTP server copies them into the buffer of the caller's
/// connection, which keeps its size.
const PIECE_BYTES: usize = 8 << 10;

/// Result of buffering a response.
#[derive(Debug)]
pub enum Buffered {
    /// The complete body.
    Complete(Complete),
    /// A response that is too large to buffer, of which the beginning has been read.
    Large(Box<LargeResponse>),
}

/// The beginning of a body in one contiguous buffer.
#[derive(Debug)]
struct Buffer {
    /// Copies of the frames: a frame of one byte would keep the whole read buffer that it was cut from.
    bytes: BytesMut,
    /// Memory for the capacity of `bytes`.
    reservation: buffer_memory::Reservation,
}

impl Buffer {
    /// Appends a frame. Returns false and changes nothing if it does not fit.
    fn push(&mut self, frame: &[u8]) -> bool {
        let length = self.bytes.len() + frame.len();
        if length > self.reservation.reserved() {
            let capacity = length.next_power_of_two().max(MIN_BUFFER_BYTES);
            if length > MAX_BUFFERED_BYTES || !self.reservation.try_resize(capacity) {
                return false;
            }
            self.bytes.reserve(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(frame);
        true
    }

    /// Removes the first bytes, `None` if there are none.
    fn pop(&mut self) -> Option<Bytes> {
        let length = self.bytes.len().min(PIECE_BYTES);
        if length == 0 {
            return None;
        }
        let piece = self.bytes.split_to(length).freeze();
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
            // Shrinking a reservation never fails.
            self.reservation.try_resize(0);
        }
        Some(piece)
    }
}

/// A complete body, which is forwarded in pieces.
#[derive(Debug)]
pub struct Complete {
    /// Bytes that have not been forwarded.
    bytes: Bytes,
    /// Memory for the whole body, released after the last piece.
    _reservation: buffer_memory::Reservation,
}

impl Deref for Complete {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Body for Complete {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let length = self.bytes.len().min(PIECE_BYTES);
        let piece = (length > 0).then(|| self.bytes.split_to(length));
        Poll::Ready(piece.map(|it| Ok(Frame::Data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.bytes.len() as u64)
    }
}

/// A response whose body is read in parts.
#[derive(Debug)]
pub struct LargeResponse {
    /// Response that is being received; `None` after its end.
    response: Option<upstream_response::Response>,
    /// Why the response broke off, if it did.
    failed: Option<Kind>,
    /// Bytes that were read and not yet forwarded.
    buffer: Buffer,
    /// Copy of the frame after `buffer` that did not fit into it.
    overflow: Option<Bytes>,
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
            failed: None,
            buffer: Buffer { bytes: BytesMut::new(), reservation },
            overflow: None,
            connections,
            deadline,
        }
    }

    /// Reads the response until it is complete or does not fit into the buffer memory.
    ///
    /// # Errors
    /// Returns the failure of the attempt if the upstream cuts the response or the deadline passes.
    pub async fn buffer(mut self) -> Result<Buffered, attempt_history::Failure> {
        while let Some(frame) = self.receive().await.map_err(attempt_history::Failure::sent)? {
            if !self.buffer.push(&frame) {
                self.overflow = Some(Bytes::copy_from_slice(&frame));
                return Ok(Buffered::Large(Box::new(self)));
            }
        }
        let Buffer { bytes, reservation } = self.buffer;
        Ok(Buffered::Complete(Complete { bytes: bytes.freeze(), _reservation: reservation }))
    }

    /// Returns the next bytes, or `None` after the end of the response.
    ///
    /// # Errors
    /// Returns the kind of the failure that cut the response.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Kind> {
        match self.buffer.pop().or_else(|| self.overflow.take()) {
            Some(bytes) => Ok(Some(bytes)),
            None => self.receive().await,
        }
    }

    async fn receive(&mut self) -> Result<Option<Bytes>, Kind> {
        let Some(response) = &mut self.response else { return self.failed.map_or(Ok(None), Err) };
        let end = match response.receive(self.deadline).await {
            Ok(Some(bytes)) => return Ok(Some(bytes)),
            Ok(None) => response.confirm_end(&self.connections, self.deadline).await,
            Err(failure) => Err(failure),
        };
        let Some(response) = self.response.take() else { return Ok(None) };
        match end {
            Ok(()) => {
                response.finish(&self.connections);
                Ok(None)
            }
            Err((kind, ending)) => {
                response.guard.end(ending);
                self.failed = Some(kind);
                Err(kind)
            }
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
