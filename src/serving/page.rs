//! A page that anyone may read, without a body to send: readiness for the balancer, counters for the operators.

use std::{io, net::SocketAddr, sync::Arc};

use http::StatusCode;
use tokio::{
    net::TcpListener,
    task::{self, JoinHandle},
};
use xitca_http::{HttpServiceBuilder, config::HttpServiceConfig};
use xitca_service::{Service, ServiceExt as _};
use xitca_web::{App, WebContext, body::ResponseBody, handler::handler_service, http::WebResponse};

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

/// Status and text of the page at this moment.
pub type Content = Arc<dyn Fn() -> (StatusCode, String) + Send + Sync>;

/// Handle to the listener.
#[derive(Debug)]
pub struct StatusPage {
    /// Bound address.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl StatusPage {
    /// Binds the listener and answers every path on the current thread.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn bind(address: SocketAddr, content: Content) -> io::Result<StatusPage> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = task::spawn_local(serve(listener, content));
        Ok(StatusPage { address, task })
    }

    /// Stops answering.
    pub fn close(&self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, content: Content) {
    let http = HttpServiceBuilder::h1().config(HttpServiceConfig::new());
    let app = App::new()
        .with_state(content)
        .at("/", handler_service(answer))
        .at("/{*path}", handler_service(answer))
        .finish()
        .enclosed(http);
    let service = match app.call(()).await {
        Ok(service) => std::rc::Rc::new(service),
        Err(error) => {
            log::error!("the page cannot be served: {error:?}");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, reader)) => {
                let service = service.clone();
                task::spawn_local(async move {
                    let stream = xitca_io::net::TcpStream::from(stream);
                    if let Err(error) = service.call((stream, reader)).await {
                        log::debug!("a reader's connection ended: {error:?}");
                    }
                });
            }
            Err(error) => {
                log::warn!("a reader's connection could not be accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(context: &WebContext<'_, Content>) -> WebResponse {
    let (status, text) = context.state()();
    let mut answer = WebResponse::new(ResponseBody::bytes(text));
    *answer.status_mut() = status;
    answer
}
