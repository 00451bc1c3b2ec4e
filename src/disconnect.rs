//! Detects that a caller closes its connection while its request waits.
//!
//! The HTTP server reads a connection only between requests and would detect the close only when it writes the answer.
//! Each worker thread therefore keeps a second handle to each of its open connections.

use std::{
    cell::RefCell,
    io,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use tokio::io::Interest;

/// Poll interval for a connection that stays readable because its next request has already arrived.
const PIPELINED_PAUSE: Duration = Duration::from_millis(200);

thread_local! {
    /// Connections of this worker thread, sorted by the caller's address.
    static CONNECTIONS: RefCell<Vec<(SocketAddr, TcpStream)>> = const { RefCell::new(Vec::new()) };
}

/// Registration of a connection with this worker thread. It must be dropped before the connection is closed: its second
/// handle keeps the connection open.
#[derive(Debug)]
pub(crate) struct Registration {
    caller: SocketAddr,
}

impl Registration {
    /// Registers a connection with this worker thread.
    ///
    /// # Errors
    /// Returns an error if no file descriptor is left for the second handle.
    pub(crate) fn open(stream: &TcpStream, caller: SocketAddr) -> io::Result<Registration> {
        let second = stream.try_clone()?;
        CONNECTIONS.with_borrow_mut(|it| {
            let at = it.partition_point(|known| known.0 < caller);
            it.insert(at, (caller, second));
        });
        Ok(Registration { caller })
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        CONNECTIONS.with_borrow_mut(|it| {
            if let Ok(found) = it.binary_search_by_key(&self.caller, |known| known.0) {
                it.remove(found);
            }
        });
    }
}

/// Waits until a caller closes its connection. Never returns if the connection is not registered with this worker
/// thread or cannot be polled.
pub(crate) async fn disconnected(caller: SocketAddr) {
    if wait_for_close(caller).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn wait_for_close(caller: SocketAddr) -> io::Result<()> {
    let second = CONNECTIONS.with_borrow(|it| {
        let found = it.binary_search_by_key(&caller, |known| known.0);
        found.map(|at| it[at].1.try_clone())
    });
    let stream = second.map_err(|_| io::ErrorKind::NotFound)??;
    let stream = tokio::net::TcpStream::from_std(stream)?;
    loop {
        let ready = stream.ready(Interest::READABLE).await?;
        if ready.is_read_closed() {
            return Ok(());
        }
        tokio::time::sleep(PIPELINED_PAUSE).await;
    }
}
