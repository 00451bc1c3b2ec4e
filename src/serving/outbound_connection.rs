//! HTTP/1.1 client connection to an upstream or to the platform.

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

/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Why a request has no response, and whether it may have reached the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// The request was not written at all, so it can be sent again on another connection.
    Unsent,
    /// The connection failed, or the response was not valid HTTP, after bytes may have been written.
    Sent(String),
}

/// Client connection. Dropping it closes the socket at once and aborts a request that is in flight.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// Time at which the last response ended, or at which the connection was opened.
    pub idle_since: Time,
    /// Whether a request has been sent on the connection.
    pub used: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns the error of the socket, or `TimedOut` if the peer does not accept the connection within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Connection> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Connection::handshake(stream).await
    }

    /// Sets up HTTP on an established TCP connection.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub async fn handshake(stream: TcpStream) -> io::Result<Connection> {
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake::<_, Full<Bytes>>(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // `send` returns the error if a request is in flight; otherwise `is_idle` reports the closed connection.
            let _ = connection.await;
        });
        Ok(Connection { sender, driver, idle_since: Time::now(), used: false })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// Returns `Unsent` only if no byte was written, and `Sent` in any other case.
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

    /// Whether the connection can take a request now: the last response was read to its end, and the server has neither
    /// closed the connection nor sent unexpected bytes.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}
