//! Answers that are kept until they are whole, so that an upstream's failure in the middle can still be made good.
//!
//! One for which there is no room is passed on as it comes instead; its failure closes the caller's connection.

use std::{collections::VecDeque, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    error::Kind,
    serving::{
        attempt_history::AttemptFailure, buffer_memory::BufferReservation,
        connection_cache::ConnectionCache, key::UpstreamKey,
        outbound_connection::OutboundConnection, upstream_response::UpstreamResponse,
    },
    time::Time,
};

/// Most bytes of an answer that are kept: two hundred times the users' largest whole answers, of 5 kB.
const MAX_KEPT_BYTES: usize = 1 << 20;

/// Most bytes of a refusal that are read to keep its connection; a new connection costs less than reading more.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Longest time to read a refusal, for the same reason.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// An answer that was read.
#[derive(Debug)]
pub enum Buffered {
    /// All of it.
    Complete(Bytes),
    /// The beginning of a large one.
    Large(Box<LargeResponse>),
}

/// A large answer on its way to the caller.
#[derive(Debug)]
pub struct LargeResponse {
    /// The answer in progress, absent after its end.
    begun: Option<UpstreamResponse>,
    /// What was read before the answer turned out to be large.
    kept: VecDeque<Bytes>,
    /// Covers `kept`.
    space: BufferReservation,
    links: ConnectionCache,
    deadline: Time,
}

impl LargeResponse {
    /// Takes over an answer of which nothing was read.
    pub fn new(
        begun: UpstreamResponse,
        space: BufferReservation,
        links: ConnectionCache,
        deadline: Time,
    ) -> LargeResponse {
        LargeResponse { begun: Some(begun), kept: VecDeque::new(), space, links, deadline }
    }

    /// Reads the answer until it is whole or there is no room for more.
    ///
    /// # Errors
    /// Why it broke off.
    pub async fn buffer(mut self) -> Result<Buffered, AttemptFailure> {
        while let Some(bytes) = self.receive().await.map_err(AttemptFailure::sent)? {
            let length = self.space.reserved() + bytes.len();
            let fits = length <= MAX_KEPT_BYTES && self.space.try_resize(length);
            self.kept.push_back(bytes);
            if !fits {
                return Ok(Buffered::Large(Box::new(self)));
            }
        }
        let mut whole = BytesMut::with_capacity(self.space.reserved());
        self.kept.iter().for_each(|it| whole.extend_from_slice(it));
        Ok(Buffered::Complete(whole.freeze()))
    }

    /// The next bytes, or `None` after the end of the answer.
    ///
    /// # Errors
    /// The kind of loss that cut the answer.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Kind> {
        match self.kept.pop_front() {
            Some(bytes) => {
                let kept = self.space.reserved().saturating_sub(bytes.len());
                // Less room is always there.
                self.space.try_resize(kept);
                Ok(Some(bytes))
            }
            None => self.receive().await,
        }
    }

    async fn receive(&mut self) -> Result<Option<Bytes>, Kind> {
        let Some(begun) = &mut self.begun else { return Ok(None) };
        let received = begun.receive(self.deadline).await;
        if let Ok(Some(bytes)) = received {
            return Ok(Some(bytes));
        }
        let begun = self.begun.take();
        match (received, begun) {
            (Err((kind, ending)), Some(begun)) => {
                begun.guard.end(ending);
                Err(kind)
            }
            (_, Some(begun)) => {
                begun.finish(&self.links);
                Ok(None)
            }
            (_, None) => Ok(None),
        }
    }
}

/// Reads the rest of a refusal and keeps its connection, unless that takes too long.
pub async fn discard_refusal(
    upstream: UpstreamKey,
    mut body: Incoming,
    link: OutboundConnection,
    links: ConnectionCache,
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
        Ok(Some(())) => links.keep(upstream, link),
        Ok(None) | Err(_) => log::debug!("the connection of a refusal without end is closed"),
    }
}
