//! Orders to engines, sent over connections that fail writes unless this host certainly holds the lease.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::timeout,
};

use crate::{
    lease::Lease,
    platform::{Failure, Fenced},
};

/// Timeout of a connection attempt to an engine, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Load a model, adapter or version.
    Load {
        /// Name of the model, adapter or version.
        model: String,
    },
    /// Unload a model, adapter or version.
    Unload {
        /// Name of the model, adapter or version.
        model: String,
    },
    /// Change the role of the engine.
    Role {
        /// The new role.
        role: String,
    },
}

/// Connection whose writes fail unless this host certainly holds the lease at that moment.
#[derive(Debug)]
struct LeaseGuarded {
    stream: TcpStream,
    lease: Lease,
}

impl LeaseGuarded {
    fn check(&self) -> io::Result<()> {
        let held = self.lease.permit().map(drop);
        held.ok_or_else(|| io::Error::new(io::ErrorKind::PermissionDenied, "the lease is not held"))
    }
}

impl AsyncRead for LeaseGuarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LeaseGuarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Sends one order on a new connection. `remaining` is the time within which the order must be answered.
///
/// # Errors
/// `Busy` if the engine cannot be reached or is overloaded, `Refused` if it rejects the order. After `Unknown` the
/// order may have taken effect; it may be sent again with the same id.
pub async fn send(
    address: SocketAddr,
    lease: &Lease,
    order: &Fenced<Order>,
    remaining: Duration,
) -> Result<(), Failure> {
    let exchange = exchange(address, lease, order);
    // Dropping the exchange closes the connection, so nothing is written after the timeout.
    let answer = timeout(remaining, exchange).await;
    answer.unwrap_or_else(|_| Err(Failure::Unknown("timeout".to_owned())))
}

async fn exchange(
    address: SocketAddr,
    lease: &Lease,
    order: &Fenced<Order>,
) -> Result<(), Failure> {
    let connect = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), TcpStream::connect(address));
    let Ok(Ok(stream)) = connect.await else { return Err(Failure::Busy(503)) };
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(LeaseGuarded { stream, lease: lease.clone() });
    let unknown = |error: hyper::Error| Failure::Unknown(error.to_string());
    let (mut sender, connection) = http1::handshake(io).await.map_err(unknown)?;
    let body = serde_json::to_vec(order).map_err(|it| Failure::Refused(400, it.to_string()))?;
    let request = Request::post("/orders")
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|it| Failure::Refused(400, it.to_string()))?;
    let answer = sender.send_request(request);
    tokio::select! {
        answer = answer => status(answer.map_err(unknown)?.status()),
        ended = connection => {
            let reason = ended.map_or_else(|it| it.to_string(), |()| "closed".to_owned());
            Err(Failure::Unknown(reason))
        }
    }
}

fn status(status: StatusCode) -> Result<(), Failure> {
    match status.as_u16() {
        200..=299 => Ok(()),
        status @ (429 | 503) => Err(Failure::Busy(status)),
        status @ (..200 | 500..) => Err(Failure::Unknown(format!("status {status}"))),
        status => Err(Failure::Refused(status, "the engine refused the order".to_owned())),
    }
}
