//! The callers' interface: accepts connections and serves them until the host stops.

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
    caller_connection::{Acceptor, CallerConnections},
    dialect::Dialect,
    handler::{self, Handler},
    table::Limits,
};

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bytes of a head after which the HTTP server refuses it; the configured limit is checked by the handler.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Stage of the callers' interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Connections and requests are taken.
    Open,
    /// Idle connections are closed, and others after their answer. New ones are still taken.
    Draining,
    /// Connections are closed as they are.
    Closed,
}

/// Handle to the callers' interface.
#[derive(Debug)]
pub struct Listener {
    /// Bound address.
    pub address: SocketAddr,
    /// Connections that are open.
    pub connections: CallerConnections,
    stage: watch::Sender<Stage>,
}

impl Listener {
    /// Binds the callers' interface and serves it on the current thread.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind<D: Dialect>(
        address: SocketAddr,
        handler: Rc<Handler<D>>,
    ) -> io::Result<Listener> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let connections = handler.connections.clone();
        let (stage, stages) = watch::channel(Stage::Open);
        task::spawn_local(accept(listener, handler, stages));
        Ok(Listener { address, connections, stage })
    }

    /// Moves on to a later stage.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }
}

type Serve = Rc<dyn Fn(TcpStream, SocketAddr) -> futures::future::LocalBoxFuture<'static, ()>>;

async fn accept<D: Dialect>(
    listener: TcpListener,
    handler: Rc<Handler<D>>,
    stages: watch::Receiver<Stage>,
) {
    let mut tables = handler.table.clone();
    let mut limits = tables.borrow_and_update().as_ref().map(|it| it.limits).unwrap_or_default();
    let mut serve = service(handler.clone(), limits).await;
    let mut stage = stages.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Ok(()) = tables.changed() => {
                let newest = tables.borrow_and_update().as_ref().map(|it| it.limits);
                if newest.is_some_and(|it| it != limits) {
                    limits = newest.unwrap_or_default();
                    serve = service(handler.clone(), limits).await;
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
                task::spawn_local(serve_one(
                    serve.clone(),
                    stream,
                    caller,
                    connections,
                    stages.clone(),
                ));
            }
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection until it ends, its caller leaves or the host stops.
async fn serve_one(
    serve: Serve,
    stream: TcpStream,
    caller: SocketAddr,
    connections: CallerConnections,
    mut stages: watch::Receiver<Stage>,
) {
    // Events must not wait for acknowledgements of earlier ones.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller left at once: {error}");
        return;
    }
    let served = serve(stream, caller);
    tokio::select! {
        biased;
        () = served => {}
        () = left(&connections, caller) => {}
        () = stopped(&connections, caller, &mut stages) => {}
    }
    connections.remove(caller);
}

async fn left(connections: &CallerConnections, caller: SocketAddr) {
    match connections.get(caller) {
        Some(connection) => connection.disconnected().await,
        None => std::future::pending().await,
    }
}

/// Waits until the connection is to be closed: when it is idle and the host drains, or in any case at the end.
async fn stopped(
    connections: &CallerConnections,
    caller: SocketAddr,
    stages: &mut watch::Receiver<Stage>,
) {
    let mut closed = stages.clone();
    let idle = async {
        // The sender lives as long as the host.
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

/// Builds the HTTP server for connections under the limits.
async fn service<D: Dialect>(handler: Rc<Handler<D>>, limits: Limits) -> Serve {
    let connections = handler.connections.clone();
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .request_head_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_read_buf_size::<MAX_HEAD_BYTES>();
    let http = HttpServiceBuilder::h1().config(config).with_tls(Acceptor { connections });
    let app = App::new()
        // Every part of the service stays on this thread.
        .with_state(SendWrapper::new(handler))
        .at("/", handler_service(handler::handle::<D>))
        .at("/{*path}", handler_service(handler::handle::<D>))
        .finish()
        .enclosed(http);
    let service = app.call(()).await.map_err(|error| format!("{error:?}"));
    let service = Rc::new(service.expect("the callers' service has no part that fails to start"));
    Rc::new(move |stream, caller| {
        let service = service.clone();
        Box::pin(async move {
            let stream = xitca_io::net::TcpStream::from(stream);
            if let Err(error) = service.call((stream, caller)).await {
                log::debug!("a caller's connection ended: {error:?}");
            }
        })
    })
}
