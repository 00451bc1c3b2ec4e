//! HTTP/1.1 client connection to an upstream or to the platform.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use rustix::net::RecvFlags;
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, ReadBuf},
    net::TcpStream,
    task::JoinHandle,
    time::timeout,
};

use crate::{time::Time, upstream::is_final};

/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Most bytes of one read. The HTTP client's read buffer of 8 kB doubles each time a read fills it, up to the largest head,
/// and frames that wait keep the buffers that they were cut from.
const MAX_READ_BYTES: u64 = (8 << 10) - 1;

/// Why a request has no response, and whether it may have reached the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// The request was not written at all, so it can be sent again on another connection.
    Unsent,
    /// The request was not written at all, as the server had sent bytes that belong to no request.
    Unsolicited,
    /// The connection failed after bytes may have been written.
    Sent(String),
    /// Bytes came in place of the response that are not valid HTTP, or a status that ends no exchange. The request may have
    /// been run.
    Garbled(String),
}

/// Write progress of a request.
#[derive(Debug, Default)]
struct Progress {
    /// Whether any byte of the request was written.
    is_written: AtomicBool,
    /// Whether the server had sent bytes before the request was written.
    is_unsolicited: AtomicBool,
    /// Microseconds of the boot-time clock at which a read last found the connection open and empty.
    last_open: AtomicU64,
}

/// Socket of a connection that carries one request at a time.
#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    progress: Arc<Progress>,
}

impl Socket {
    /// Checks that the server has neither sent anything nor closed the connection when a request is about to be written.
    /// Bytes that arrive before the request would be read as its response. The runtime may not have noticed them yet.
    fn check_quiet(&self) -> io::Result<()> {
        let mut byte = [0];
        match rustix::net::recv(&self.stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT) {
            Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
            Ok((0, _)) => Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(_) => {
                self.progress.is_unsolicited.store(true, Ordering::Relaxed);
                Err(io::Error::other("the server sent bytes before the request"))
            }
        }
    }

    fn poll_write_request(
        &mut self,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if !self.progress.is_written.load(Ordering::Relaxed) {
            self.check_quiet()?;
        }
        let written = write(Pin::new(&mut self.stream));
        if matches!(written, Poll::Ready(Ok(length)) if length > 0) {
            self.progress.is_written.store(true, Ordering::Relaxed);
        }
        written
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut (&mut self.stream).take(MAX_READ_BYTES)).poll_read(cx, buf);
        if read.is_pending() {
            self.progress.last_open.store(Time::now().0, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_request(|it| it.poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_request(|it| it.poll_write_vectored(cx, bytes))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Way by which a connection goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// From this host to the server.
    Direct,
    /// Through another host, which opens tunnels on this address.
    Tunnel(SocketAddr),
}

/// Client connection. Dropping it closes the socket at once and aborts a request that is in flight.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    progress: Arc<Progress>,
    /// Time at which the connection was opened.
    pub opened_at: Time,
    /// Time at which the last response ended, or at which the connection was opened.
    pub idle_since: Time,
    /// Whether a request has been sent on the connection.
    pub used: bool,
    /// Whether the connection has been cached, so that the server may have closed it meanwhile.
    pub was_cached: bool,
    /// Way by which the connection goes.
    pub path: Path,
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
        let progress = Arc::new(Progress::default());
        let stream = Socket { stream, progress: progress.clone() };
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake::<_, Full<Bytes>>(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // `send` returns the error if a request is in flight; otherwise `is_idle` reports the closed connection.
            let _ = connection.await;
        });
        let opened_at = Time::now();
        let idle_since = opened_at;
        let path = Path::Direct;
        Ok(Connection {
            sender,
            driver,
            progress,
            opened_at,
            idle_since,
            used: false,
            was_cached: false,
            path,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// Returns `Unsent` or `Unsolicited` only if no byte was written, and `Sent` or `Garbled` in any other case.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::Unsent);
        }
        self.used = true;
        self.progress.is_written.store(false, Ordering::Relaxed);
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| {
            if self.progress.is_unsolicited.load(Ordering::Relaxed) {
                return SendError::Unsolicited;
            }
            match error.take_message() {
                Some(_) => SendError::Unsent,
                None if !self.progress.is_written.load(Ordering::Relaxed) => SendError::Unsent,
                None => match error.into_error() {
                    error if error.is_parse() => SendError::Garbled(error.to_string()),
                    error => SendError::Sent(error.to_string()),
                },
            }
        })?;
        match response.status() {
            status if is_final(status) => Ok(response),
            status => Err(SendError::Garbled(format!("status {}", status.as_u16()))),
        }
    }

    /// Time at which the connection was last seen open with no bytes to read. Its end may be read much later, as no more of a
    /// response is read than its caller takes.
    pub fn last_open(&self) -> Time {
        Time(self.progress.last_open.load(Ordering::Relaxed))
    }

    /// Whether the connection can take a request now: the last response was read to its end, and the server has neither
    /// closed the connection nor sent unexpected bytes.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}
