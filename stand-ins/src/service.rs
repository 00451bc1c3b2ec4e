//! A plain service that records each execution.

use std::{io, net::SocketAddr, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;

use crate::{
    clock::wall_ms,
    owner::Owner,
    patch,
    server::{self, Body, Cut, Door, Recorder, Server},
};

/// Switches that can be set at any time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time of an execution, in milliseconds.
    pub delay_ms: u64,
    /// Closes the connection after the execution, before the answer.
    pub no_answer: bool,
    /// Closes the connection in the middle of the answer.
    pub half_answer: bool,
    /// Sends neither a length nor chunks, so that answers end with their connections.
    pub unframed: bool,
    /// Sends half of the answer and nothing more.
    pub stalls: bool,
    /// Answers bytes that are not JSON.
    pub garbage: bool,
    /// Status of the answers, zero for 200.
    pub status: u16,
}

/// One execution.
#[derive(Debug, Clone, Serialize)]
struct Execution {
    number: u64,
    at_ms: u64,
    request_id: String,
    idempotency_key: String,
    method: String,
    path: String,
    body: String,
}

#[derive(Debug, Default)]
struct Service {
    faults: Faults,
    executions: Vec<Execution>,
}

/// Settings at start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Switches at start.
    pub faults: Faults,
}

impl Options {
    /// A service without faults on an address.
    pub fn new(listen: SocketAddr) -> Options {
        Options { listen, faults: Faults::default() }
    }
}

/// Starts the service.
///
/// # Errors
/// The address cannot be bound.
pub fn spawn(options: Options) -> io::Result<Server> {
    let owner = Owner::spawn(Service { faults: options.faults, executions: Vec::new() });
    let recorder = Recorder::spawn();
    let (_, open) = watch::channel(true);
    let door = Door { listen: options.listen, open, recorder: Some(recorder.clone()) };
    server::spawn(door, move |request| answer(owner.clone(), recorder.clone(), request))
}

async fn answer(
    owner: Owner<Service>,
    recorder: Recorder,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let (head, body) = request.into_parts();
    let body = server::read(body).await?;
    match head.uri.path() {
        "/test/bytes" => return Ok(server::raw(StatusCode::OK, recorder.bytes().await?)),
        "/test/history" => {
            let executions = owner.ask(|it| it.executions.clone()).await?;
            return Ok(server::json(StatusCode::OK, &executions));
        }
        "/test/faults" => return owner.ask(move |it| it.set_faults(&body)).await,
        _ => (),
    }
    let (execution, faults) = owner.ask(move |it| it.execute(&head, &body)).await?;
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.no_answer {
        return Err(Cut);
    }
    if faults.garbage {
        return Ok(server::raw(StatusCode::OK, "%%% not an answer"));
    }
    let status = StatusCode::from_u16(faults.status).unwrap_or(StatusCode::OK);
    let body = json!({
        "method": execution.method,
        "path": execution.path,
        "request_id": execution.request_id,
        "execution": execution.number,
        "body": execution.body,
    });
    if faults.half_answer {
        return Ok(server::half(body.to_string()));
    }
    let mut answer = match faults.stalls {
        true => server::stalled(status, body.to_string()),
        false => server::json(status, &body),
    };
    if faults.unframed {
        server::remove_framing(&mut answer);
    }
    Ok(answer)
}

impl Service {
    fn set_faults(&mut self, body: &[u8]) -> Response<Body> {
        match patch::merge(&self.faults, body) {
            Ok(faults) => self.faults = faults,
            Err(error) => return server::raw(StatusCode::BAD_REQUEST, error.to_string()),
        }
        server::raw(StatusCode::OK, "")
    }

    fn execute(&mut self, head: &http::request::Parts, body: &[u8]) -> (Execution, Faults) {
        let execution = Execution {
            number: self.executions.len() as u64 + 1,
            at_ms: wall_ms(),
            request_id: server::header(&head.headers, "x-request-id"),
            idempotency_key: server::header(&head.headers, "idempotency-key"),
            method: head.method.to_string(),
            path: head.uri.path_and_query().map_or_else(String::new, ToString::to_string),
            body: String::from_utf8_lossy(body).into_owned(),
        };
        self.executions.push(execution.clone());
        (execution, self.faults.clone())
    }
}
