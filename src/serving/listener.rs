//! HTTP listener for callers. Accepts connections and serves them until the host stops.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use send_wrapper::SendWrapper;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task,
    time::sleep,
};
use xitca_http::{HttpServiceBuilder, config::HttpServiceConfig};
use xitca_service::{Service, ServiceExt as _};
use xitca_web::{App, handler::handler_service};

use crate::serving::{
    caller_connection::{self, Acceptor},
    dialect::Dialect,
    handler::{self, Handler},
    table::Limits,
};

/// Delay before the next `accept` after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Largest request head that the HTTP server reads, in bytes. The handler checks the configured limit.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Bytes of a response from which the HTTP server writes to the socket before it takes more of the body. Each connection
/// keeps a buffer of this size or larger.
const WRITE_BUFFER_BYTES: usize = 4 << 10;

/// Why a connection ends for which there is no room.
const NO_ROOM: &str = "there is no room for it";

/// Stage of the listener between start and shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Accepts connections and requests.
    Open,
    /// Closes idle connections at once and busy ones after their response. New connections are still accepted.
    Draining,
    /// Closes all connections, also those with a request in progress.
    Closed,
}

/// Handle to the running listener.
#[derive(Debug)]
pub struct Listener {
    /// Bound address; holds the assigned port if port 0 was requested.
    pub address: SocketAddr,
    /// Open connections.
    pub connections: caller_connection::Connections,
    stage: watch::Sender<Stage>,
}

impl Listener {
    /// Binds the address and spawns the accept loop on the current thread.
    ///
    /// # Errors
    /// Returns the I/O error if the address cannot be bound.
    pub async fn bind<D: Dialect>(
        address: SocketAddr,
        handler: Rc<Handler<D>>,
    ) -> io::Result<Listener> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let connections = handler.connections.clone();
        let (stage, stages) = watch::channel(Stage::Open);
        task::spawn_local(accept_connections(listener, handler, stages));
        Ok(Listener { address, connections, stage })
    }

    /// Moves the listener to a later stage.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }
}

type ServeConnection =
    Rc<dyn Fn(TcpStream, SocketAddr) -> futures::future::LocalBoxFuture<'static, ()>>;

async fn accept_connections<D: Dialect>(
    listener: TcpListener,
    handler: Rc<Handler<D>>,
    stages: watch::Receiver<Stage>,
) {
    let mut tables = handler.table.clone();
    // The configuration may allow larger heads than the default.
    let unknown = Limits { max_head_bytes: MAX_HEAD_BYTES, ..Limits::default() };
    let mut limits = tables.borrow_and_update().as_ref().map_or(unknown, |it| it.limits);
    handler.connections.set_limits(limits);
    let mut serve = build_service(handler.clone(), limits).await;
    let mut stage = stages.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Ok(()) = tables.changed() => {
                let newest = tables.borrow_and_update().as_ref().map(|it| it.limits);
                if newest.is_some_and(|it| it != limits) {
                    limits = newest.unwrap_or_default();
                    handler.connections.set_limits(limits);
                    serve = build_service(handler.clone(), limits).await;
                }
                continue;
            }
            closed = stage.wait_for(|it| *it == Stage::Closed) => {
                if closed.is_ok() {
                    return;
                }
                continue;
            }
        };
        match accepted {
            Ok((stream, caller)) => {
                let connections = handler.connections.clone();
                if connections.admit(caller).is_err() {
                    // Closing it tells the caller that its request was not read.
                    drop(stream);
                    task::yield_now().await;
                    continue;
                }
                task::spawn_local(serve_connection(
                    serve.clone(),
                    stream,
                    caller,
                    connections,
                    stages.clone(),
                ));
                // A connection that has to close for this one does so before the next one is accepted.
                task::yield_now().await;
            }
            Err(error) => {
                log::warn!("cannot accept a caller's connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection until it ends, the caller disconnects during a request, or the host closes it.
async fn serve_connection(
    serve: ServeConnection,
    stream: TcpStream,
    caller: SocketAddr,
    connections: caller_connection::Connections,
    mut stages: watch::Receiver<Stage>,
) {
    // Nagle's algorithm would hold back an event until the previous one is acknowledged.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY, the caller has disconnected: {error}");
        connections.remove(caller);
        return;
    }
    let served = serve(stream, caller);
    let end = tokio::select! {
        biased;
        () = served => "the HTTP server ended it",
        () = caller_disconnected(&connections, caller) => "the caller disconnected",
        () = turned_away(&connections, caller) => NO_ROOM,
        () = closing(&connections, caller, &mut stages) => "the host stops",
    };
    // Connections that close for lack of room are counted and logged together.
    if end != NO_ROOM && connections.get(caller).is_some_and(|it| it.is_busy()) {
        log::info!("the connection of caller {caller} ends with a request in progress: {end}");
    }
    connections.remove(caller);
}

async fn caller_disconnected(connections: &caller_connection::Connections, caller: SocketAddr) {
    match connections.get(caller) {
        Some(connection) => connection.disconnected().await,
        None => std::future::pending().await,
    }
}

/// Waits until the connection has to close at once as there is no room for it.
async fn turned_away(connections: &caller_connection::Connections, caller: SocketAddr) {
    match connections.get(caller) {
        Some(connection) => connection.turned_away().await,
        None => std::future::pending().await,
    }
}

/// Waits until the connection has to be closed: once it is idle while the host drains, or as soon as the stage is
/// `Closed`.
async fn closing(
    connections: &caller_connection::Connections,
    caller: SocketAddr,
    stages: &mut watch::Receiver<Stage>,
) {
    let mut closed = stages.clone();
    let idle = async {
        // The sender is dropped only when the host stops, which also ends the wait.
        let _ = stages.wait_for(|it| *it != Stage::Open).await;
        match connections.get(caller) {
            Some(connection) => connection.wait_idle().await,
            None => std::future::pending().await,
        }
    };
    let ended = async {
        let _ = closed.wait_for(|it| *it == Stage::Closed).await;
    };
    tokio::select! {
        () = idle => {}
        () = ended => {}
    }
}

/// Builds the HTTP server with the given limits. The accept loop builds a new one when the limits change.
async fn build_service<D: Dialect>(handler: Rc<Handler<D>>, limits: Limits) -> ServeConnection {
    let connections = handler.connections.clone();
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .request_head_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<WRITE_BUFFER_BYTES>();
    let http = HttpServiceBuilder::h1().config(config).with_tls(Acceptor { connections });
    let app = App::new()
        // `SendWrapper` is sound here because the service never leaves this thread.
        .with_state(SendWrapper::new(handler))
        .at("/", handler_service(handler::handle::<D>))
        .at("/{*path}", handler_service(handler::handle::<D>))
        .finish()
        .enclosed(http);
    let service = app.call(()).await.map_err(|error| format!("{error:?}"));
    let service = Rc::new(service.expect("building the HTTP service has no fallible step"));
    Rc::new(move |stream, caller| {
        let service = service.clone();
        Box::pin(async move {
            let stream = xitca_io::net::TcpStream::from(stream);
            if let Err(error) = service.call((stream, caller)).await {
                log::debug!("caller connection ended with an error: {error:?}");
            }
        })
    })
}
