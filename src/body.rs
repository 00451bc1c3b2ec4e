//! Reading of whole bodies.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum Failure {
    /// It has more than this many bytes.
    TooLong(usize),
    /// The connection failed.
    Cut(hyper::Error),
    /// Nothing arrived for this time.
    Stalled(Duration),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::TooLong(max_bytes) => write!(f, "the answer has more than {max_bytes} bytes"),
            Failure::Cut(error) => error.fmt(f),
            Failure::Stalled(pause) => {
                write!(f, "no more of the answer arrived for {} ms", pause.as_millis())
            }
        }
    }
}

/// Reads a body of at most `max_bytes` into one contiguous buffer. A list of its frames would take many times that if
/// they are small.
///
/// # Errors
/// `TooLong` as soon as more bytes are announced or have arrived, `Cut` if the body ends early.
pub async fn read(body: Incoming, max_bytes: usize) -> Result<Bytes, Failure> {
    collect(body, max_bytes, Duration::MAX).await
}

/// Reads a body as [`read`] does, however long it takes while more of it arrives.
///
/// # Errors
/// As [`read`], and `Stalled` once nothing has arrived for `max_pause`.
pub async fn read_while_it_arrives(
    body: Incoming,
    max_bytes: usize,
    max_pause: Duration,
) -> Result<Bytes, Failure> {
    collect(body, max_bytes, max_pause).await
}

async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    max_pause: Duration,
) -> Result<Bytes, Failure> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(Failure::TooLong(max_bytes));
    }
    let mut out = BytesMut::with_capacity(announced);
    loop {
        let frame = timeout(max_pause, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Failure::Stalled(max_pause))? else { break };
        let Ok(data) = frame.map_err(Failure::Cut)?.into_data() else { continue };
        if out.len() + data.len() > max_bytes {
            return Err(Failure::TooLong(max_bytes));
        }
        out.extend_from_slice(&data);
    }
    Ok(out.freeze())
}

/// Bytes that every caller's body may take regardless of others.
const UNSHARED_BYTES: usize = 16 << 10;

/// Memory that the bodies of all callers share, whichever thread reads them; clones share it.
#[derive(Debug, Clone)]
pub struct Room {
    free: Arc<AtomicUsize>,
}

/// A body whose buffer is reserved before it grows. Its room is free again with the last copy of its bytes.
#[derive(Debug)]
pub struct Roomed {
    room: Room,
    reserved: usize,
    bytes: BytesMut,
}

impl Room {
    /// Creates a room of `bytes` to share, in addition to the unshared bytes of each body.
    pub fn new(bytes: usize) -> Room {
        Room { free: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Returns an empty body.
    pub fn body(&self) -> Roomed {
        Roomed { room: self.clone(), reserved: 0, bytes: BytesMut::new() }
    }
}

impl Roomed {
    /// Bytes so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes. Returns false and changes nothing if there is no room.
    pub fn push(&mut self, data: &[u8]) -> bool {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            let capacity = length.next_power_of_two();
            let growth = capacity.saturating_sub(UNSHARED_BYTES) - self.reserved;
            let taken = self
                .room
                .free
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |it| it.checked_sub(growth));
            if taken.is_err() {
                return false;
            }
            self.reserved += growth;
            self.bytes.reserve(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        true
    }

    /// Ends the body.
    pub fn finish(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Roomed {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Roomed {
    fn drop(&mut self) {
        self.room.free.fetch_add(self.reserved, Ordering::Relaxed);
    }
}
