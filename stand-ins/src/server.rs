//! An HTTP/1.1 server that can cut connections, refuse new ones and record every byte received.

use std::{collections::BTreeMap, fmt, future::Future, io, net::SocketAddr};

use bytes::Bytes;
use futures::{StreamExt as _, TryStreamExt as _, stream};
use http::{Request, Response, StatusCode, Version};
use http_body::Frame;
use http_body_util::{BodyExt as _, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};
use tokio_util::{io::InspectReader, sync::CancellationToken};

use crate::owner::Owner;

/// Limit of the bytes kept by a recorder.
const MAX_RECORDED_BYTES: usize = 64 << 20;

/// Body of every answer.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// Ends a connection without the rest of the answer.
#[derive(Debug, Clone, Copy)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection cut")
    }
}

impl std::error::Error for Cut {}

/// A running stand-in; dropping it stops the stand-in and closes its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
}

impl Server {
    /// Address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes all connections.
    pub fn stop(self) {
        drop(self);
    }

    /// Cancelled when the stand-in stops.
    pub(crate) fn stopped(&self) -> CancellationToken {
        self.stop.clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Bytes received per connection, in order.
#[derive(Debug, Clone)]
pub struct Recorder(Owner<Record>);

#[derive(Debug, Default)]
struct Record {
    connections: BTreeMap<u64, Vec<u8>>,
    bytes: usize,
    next: u64,
}

impl Recorder {
    pub(crate) fn spawn() -> Recorder {
        Recorder(Owner::spawn(Record::default()))
    }

    /// All recorded bytes, one connection after the other, each followed by a line feed.
    pub(crate) async fn bytes(&self) -> Result<Bytes, Cut> {
        self.0
            .ask(|record| {
                let mut all = Vec::with_capacity(record.bytes + record.connections.len());
                for bytes in record.connections.values() {
                    all.extend_from_slice(bytes);
                    all.push(b'\n');
                }
                Bytes::from(all)
            })
            .await
    }

    async fn connection(&self) -> Result<u64, Cut> {
        self.0
            .ask(|record| {
                record.next += 1;
                record.next
            })
            .await
    }

    fn record(&self, connection: u64, bytes: &[u8]) {
        let bytes = bytes.to_vec();
        self.0.tell(move |record| {
            if record.bytes + bytes.len() <= MAX_RECORDED_BYTES {
                record.bytes += bytes.len();
                record.connections.entry(connection).or_default().extend(bytes);
            }
        });
    }
}

/// What a server listens on and whether it accepts connections.
#[derive(Debug)]
pub struct Door {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// While false, connections are closed and new ones refused.
    pub open: watch::Receiver<bool>,
    /// Takes every byte that is received.
    pub recorder: Option<Recorder>,
}

/// Serves requests until the handle is dropped.
///
/// # Errors
/// The address cannot be bound.
pub fn spawn<F, R>(door: Door, handler: F) -> io::Result<Server>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>, Cut>> + Send + 'static,
{
    let listener = bind(door.listen)?;
    let address = listener.local_addr()?;
    let stop = CancellationToken::new();
    let accept = accept(listener, address, door, stop.clone(), handler);
    let stopped = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stopped.cancelled() => (),
            () = accept => (),
        }
    });
    Ok(Server { address, stop })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

async fn accept<F, R>(
    mut listener: TcpListener,
    address: SocketAddr,
    mut door: Door,
    stop: CancellationToken,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>, Cut>> + Send + 'static,
{
    loop {
        let connections = stop.child_token();
        tokio::select! {
            () = serve(&listener, door.recorder.clone(), &connections, &handler) => (),
            Ok(_) = door.open.wait_for(|open| !open) => (),
        }
        connections.cancel();
        drop(listener);
        if door.open.wait_for(|open| *open).await.is_err() {
            return;
        }
        listener = match bind(address) {
            Ok(listener) => listener,
            Err(_) => return,
        };
    }
}

async fn serve<F, R>(
    listener: &TcpListener,
    recorder: Option<Recorder>,
    connections: &CancellationToken,
    handler: &F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>, Cut>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let connection = connection(stream, recorder.clone(), handler.clone());
        let closed = connections.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = closed.cancelled() => (),
                () = connection => (),
            }
        });
    }
}

async fn connection<F, R>(stream: TcpStream, recorder: Option<Recorder>, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Send + 'static,
    R: Future<Output = Result<Response<Body>, Cut>> + Send + 'static,
{
    // Without it only the latency of small answers differs.
    let _ = stream.set_nodelay(true);
    let id = match &recorder {
        Some(recorder) => recorder.connection().await.unwrap_or(0),
        None => 0,
    };
    let stream = InspectReader::new(stream, move |bytes: &[u8]| {
        if let Some(recorder) = &recorder {
            recorder.record(id, bytes);
        }
    });
    // A cut connection is what the handler asked for or what the caller did.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(handler)).await;
}

/// An answer with a body of raw bytes.
pub fn raw(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}

/// An answer with a JSON body.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let mut answer = raw(status, serde_json::to_vec(body).unwrap_or_default());
    let form = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(http::header::CONTENT_TYPE, form);
    answer
}

/// An answer that states its whole length and ends half way.
pub fn half(body: impl Into<Bytes>) -> Response<Body> {
    let whole = body.into();
    let first = whole.slice(..whole.len() / 2);
    let frames = stream::once(async { Ok(Frame::data(first)) }).chain(stream::once(cut()));
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    answer.headers_mut().insert(http::header::CONTENT_LENGTH, whole.len().into());
    answer
}

/// An answer that stops half way and does not end.
pub fn stalled(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let whole = body.into();
    let first = Ok(Frame::data(whole.slice(..whole.len() / 2)));
    let frames = stream::iter([first]).chain(stream::pending());
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    *answer.status_mut() = status;
    answer
}

/// Removes the length and the chunks of an answer, which then ends with its connection.
pub fn remove_framing(answer: &mut Response<Body>) {
    *answer.version_mut() = Version::HTTP_10;
    let body = std::mem::take(answer.body_mut()).into_data_stream();
    *answer.body_mut() = StreamBody::new(body.map_ok(Frame::data)).boxed_unsync();
}

/// Ends a body after what was written before is sent.
pub async fn cut<T>() -> Result<T, Cut> {
    // A body that has nothing for a moment is flushed.
    tokio::task::yield_now().await;
    Err(Cut)
}

/// The whole body of a request.
pub async fn read(body: Incoming) -> Result<Bytes, Cut> {
    Ok(body.collect().await.map_err(|_| Cut)?.to_bytes())
}

/// A query parameter, without decoding.
pub fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
}

/// A header as text, empty if absent.
pub fn header(headers: &http::HeaderMap, name: &str) -> String {
    let value = headers.get(name).map(|it| String::from_utf8_lossy(it.as_bytes()).into_owned());
    value.unwrap_or_default()
}
