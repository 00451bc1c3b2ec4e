//! Reading of whole response bodies.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum Failure {
    /// It has more than this many bytes.
    TooLong(usize),
    /// The connection failed.
    Cut(hyper::Error),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::TooLong(max_bytes) => write!(f, "the answer has more than {max_bytes} bytes"),
            Failure::Cut(error) => error.fmt(f),
        }
    }
}

/// Reads a body of at most `max_bytes` into one contiguous buffer. A list of its frames would take many times that if
/// they are small.
///
/// # Errors
/// `TooLong` as soon as more bytes have arrived, `Cut` if the body ends early.
pub async fn read(mut body: Incoming, max_bytes: usize) -> Result<Bytes, Failure> {
    let mut out = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Failure::Cut)?.into_data() else { continue };
        if out.len() + data.len() > max_bytes {
            return Err(Failure::TooLong(max_bytes));
        }
        out.extend_from_slice(&data);
    }
    Ok(out.freeze())
}
