//! Plain-text status pages without access control: readiness for the load balancer and metrics for operators.

use std::{io, net::SocketAddr, sync::Arc};

use http::StatusCode;
use tokio::{
    net::TcpListener,
    task::{self, JoinHandle},
};
use xitca_http::{HttpServiceBuilder, config::HttpServiceConfig};
use xitca_service::{Service, ServiceExt as _};
use xitca_web::{App, WebContext, body::ResponseBody, handler::handler_service, http::WebResponse};

/// Delay before the next `accept` after one has failed.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// Returns the page's current status and text; called for each request.
pub type Content = Arc<dyn Fn() -> (StatusCode, String) + Send + Sync>;

/// Handle to the page's listener.
#[derive(Debug)]
pub struct Page {
    /// Bound address; holds the assigned port if port 0 was requested.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Page {
    /// Binds the address and serves the page on the current thread. The request's method and path are ignored.
    ///
    /// # Errors
    /// Returns the I/O error if the address cannot be bound.
    pub async fn bind(address: SocketAddr, content: Content) -> io::Result<Page> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = task::spawn_local(serve(listener, content));
        Ok(Page { address, task })
    }

    /// Stops accepting connections.
    pub fn close(&self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, content: Content) {
    let http = HttpServiceBuilder::h1().config(HttpServiceConfig::new());
    let app = App::new()
        .with_state(content)
        .at("/", handler_service(respond))
        .at("/{*path}", handler_service(respond))
        .finish()
        .enclosed(http);
    let service = match app.call(()).await {
        Ok(service) => std::rc::Rc::new(service),
        Err(error) => {
            log::error!("cannot start the HTTP service of a status page: {error:?}");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                let service = service.clone();
                task::spawn_local(async move {
                    let stream = xitca_io::net::TcpStream::from(stream);
                    if let Err(error) = service.call((stream, client)).await {
                        log::debug!("status page connection ended with an error: {error:?}");
                    }
                });
            }
            Err(error) => {
                log::warn!("cannot accept a connection for a status page: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn respond(context: &WebContext<'_, Content>) -> WebResponse {
    let (status, text) = context.state()();
    let mut response = WebResponse::new(ResponseBody::bytes(text));
    *response.status_mut() = status;
    response
}
