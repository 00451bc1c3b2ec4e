//! The balancer's question whether the host can serve.

use std::{io, net::SocketAddr, sync::Arc};

use http::StatusCode;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{self, JoinHandle},
};
use xitca_http::{HttpServiceBuilder, config::HttpServiceConfig};
use xitca_service::{Service, ServiceExt as _};
use xitca_web::{App, WebContext, body::ResponseBody, handler::handler_service, http::WebResponse};

use crate::serving::archive::Archive;

/// Handle to the listener.
#[derive(Debug)]
pub struct Readiness {
    task: JoinHandle<()>,
}

/// Asks whether the host is ready.
type Ask = Arc<dyn Fn() -> bool + Send + Sync>;

impl Readiness {
    /// Binds the listener and answers on the current thread.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        archive: &Archive,
        draining: watch::Receiver<bool>,
    ) -> io::Result<Readiness> {
        let listener = TcpListener::bind(address).await?;
        let (table, listed) = (archive.table.clone(), archive.listed.clone());
        let ask: Ask =
            Arc::new(move || table.borrow().is_some() && *listed.borrow() && !*draining.borrow());
        let task = task::spawn_local(serve(listener, ask));
        Ok(Readiness { task })
    }

    /// Stops answering.
    pub fn close(&self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, ask: Ask) {
    let http = HttpServiceBuilder::h1().config(HttpServiceConfig::new());
    let app = App::new()
        .with_state(ask)
        .at("/", handler_service(answer))
        .at("/{*path}", handler_service(answer))
        .finish()
        .enclosed(http);
    let service = match app.call(()).await {
        Ok(service) => std::rc::Rc::new(service),
        Err(error) => {
            log::error!("the readiness service cannot start: {error:?}");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                let service = service.clone();
                task::spawn_local(async move {
                    let stream = xitca_io::net::TcpStream::from(stream);
                    if let Err(error) = service.call((stream, caller)).await {
                        log::debug!("the balancer's connection ended: {error:?}");
                    }
                });
            }
            Err(error) => {
                log::warn!("a question for readiness could not be accepted: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        }
    }
}

async fn answer(context: &WebContext<'_, Ask>) -> WebResponse {
    let ready = context.state()();
    let mut answer =
        WebResponse::new(ResponseBody::bytes(if ready { "ready" } else { "not ready" }));
    *answer.status_mut() = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    answer
}
