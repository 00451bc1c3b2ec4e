//! Notices callers that leave while their request waits.
//!
//! The HTTP server reads a connection only between requests, so that a caller that leaves a queue would be noticed when
//! its answer is written. Each worker therefore keeps a second handle to its open connections.

use std::{
    cell::RefCell,
    io,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use tokio::io::Interest;

/// Pause between looks at a connection on which a further request waits to be read.
const PIPELINED_PAUSE: Duration = Duration::from_millis(200);

thread_local! {
    /// Connections of this worker by the caller's address, sorted.
    static CONNECTIONS: RefCell<Vec<(SocketAddr, TcpStream)>> = const { RefCell::new(Vec::new()) };
}

/// Registration of a connection; it must end before the connection is to close.
#[derive(Debug)]
pub(crate) struct Registration {
    caller: SocketAddr,
}

impl Registration {
    /// Registers a connection with this worker.
    ///
    /// # Errors
    /// If there is no further file descriptor.
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

/// Waits until a caller closes its connection, for ever if the connection is not known.
pub(crate) async fn disconnected(caller: SocketAddr) {
    if watch(caller).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn watch(caller: SocketAddr) -> io::Result<()> {
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
