//! One HTTP/1.1 connection to an upstream or to the platform.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::time::Time;

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was written.
    Unsent,
    /// The connection failed or answered nonsense after bytes may have been written.
    Sent(String),
}

/// A connection; dropping it closes the socket at once, with whatever is in flight.
#[derive(Debug)]
pub struct OutboundConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// When the last answer ended, or the connection was made.
    pub idle_since: Time,
    /// Whether a request was sent before.
    pub used: bool,
}

impl Drop for OutboundConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl OutboundConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// If the peer does not accept it in time.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<OutboundConnection> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        OutboundConnection::handshake(stream).await
    }

    /// Takes over an established connection.
    ///
    /// # Errors
    /// If the connection is closed.
    pub async fn handshake(stream: TcpStream) -> io::Result<OutboundConnection> {
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake::<_, Full<Bytes>>(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The error reaches the request that is in flight; an idle connection is found closed.
            let _ = connection.await;
        });
        Ok(OutboundConnection { sender, driver, idle_since: Time::now(), used: false })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// `Unsent` only if no byte was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::Unsent);
        }
        self.used = true;
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::Unsent,
            None => SendError::Sent(error.into_error().to_string()),
        })
    }

    /// Whether the connection can take a request now: its last answer has ended and nothing unasked came.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}
