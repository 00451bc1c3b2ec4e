//! Connections on which the server sends or closes before the next request, unnoticed by the runtime.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use almondrack::{
    serving::outbound_connection::{Connection, SendError},
    upstream,
};
use bytes::Bytes;
use http::{HeaderValue, Request};
use http_body_util::{BodyExt as _, Full};

/// Time for the server's bytes to reach the socket.
const DELIVERY_TIME: Duration = Duration::from_millis(50);

/// Response to the first request.
const FIRST: &str = "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 5\r\n\r\nfirst";

/// Response to the second request.
const SECOND: &str = "HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 6\r\n\r\nsecond";

fn request() -> Request<Full<Bytes>> {
    Request::post("/").body(Full::new(Bytes::from_static(b"body"))).expect("the request is valid")
}

/// Reads one request; returns how many bytes came.
fn receive(client: &mut TcpStream) -> usize {
    let mut bytes = [0; 1_024];
    let mut length = 0;
    while !bytes[..length].ends_with(b"body") {
        match client.read(&mut bytes[length..]) {
            Ok(received) if received > 0 => length += received,
            _ => return length,
        }
    }
    length
}

/// Starts a server that answers a request, then goes on as told, and reports how many bytes of the second request came.
fn serve(
    then: impl FnOnce(&mut TcpStream) + Send + 'static,
) -> (SocketAddr, mpsc::Sender<()>, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let (proceed, proceeds) = mpsc::channel();
    let (report, reports) = mpsc::channel();
    thread::spawn(move || {
        let (mut client, _) = listener.accept().expect("the client connects");
        receive(&mut client);
        client.write_all(FIRST.as_bytes()).expect("the client reads");
        proceeds.recv().expect("the test goes on");
        then(&mut client);
        report.send(0).expect("the test waits");
        let received = receive(&mut client);
        // A client that has closed the connection needs no response.
        let _ = client.write_all(SECOND.as_bytes());
        report.send(received).expect("the test waits");
    });
    (address, proceed, reports)
}

/// Sends a request, lets the server go on without the runtime noticing it, and sends another request. Returns the outcome
/// of the second one, as the id in its response, and how many bytes of it the server got.
async fn send_twice(
    then: impl FnOnce(&mut TcpStream) + Send + 'static,
) -> (Result<String, SendError>, usize) {
    let (address, proceed, reports) = serve(then);
    let connected = Connection::connect(address, Duration::from_secs(1)).await;
    let mut connection = connected.expect("the server accepts");
    let response = connection.send(request()).await.expect("the server answers");
    response.into_body().collect().await.expect("the response is complete");
    assert!(connection.is_idle());
    // Blocks the only thread, so that the runtime does not look at the socket.
    proceed.send(()).expect("the server runs");
    reports.recv().expect("the server goes on");
    thread::sleep(DELIVERY_TIME);
    let second = connection.send(request()).await;
    let id = |it: http::Response<_>| it.headers()["id"].to_str().expect("visible").to_owned();
    let second = second.map(id);
    drop(connection);
    (second, reports.recv().expect("the server ends"))
}

#[tokio::test]
async fn an_extra_answer_before_the_next_request_is_not_read_as_its_answer() {
    let extra = |client: &mut TcpStream| client.write_all(FIRST.as_bytes()).expect("it is read");
    assert_eq!(send_twice(extra).await, (Err(SendError::Unsolicited), 0));
}

#[tokio::test]
async fn a_request_on_a_connection_that_was_closed_unnoticed_is_not_sent() {
    let close = |client: &mut TcpStream| {
        client.shutdown(std::net::Shutdown::Write).expect("the connection is open");
    };
    assert_eq!(send_twice(close).await, (Err(SendError::Unsent), 0));
}

#[tokio::test]
async fn a_request_on_a_quiet_connection_gets_its_answer() {
    let (second, received) = send_twice(|_| {}).await;
    assert_eq!(second, Ok("2".to_owned()));
    assert!(received > 0);
}

/// Connects to a server that answers a request with these bytes and closes the connection.
async fn connect_to(answer: &'static [u8]) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    thread::spawn(move || {
        let (mut client, _) = listener.accept().expect("the client connects");
        receive(&mut client);
        client.write_all(answer).expect("the client reads");
    });
    let connected = Connection::connect(address, Duration::from_secs(1)).await;
    connected.expect("the server accepts")
}

/// Sends a request to a server that answers with these bytes and closes the connection.
async fn send_to(
    answer: &'static [u8],
) -> Result<http::Response<hyper::body::Incoming>, SendError> {
    connect_to(answer).await.send(request()).await
}

#[tokio::test]
async fn bytes_that_are_no_response_are_told_from_a_cut() {
    let garbled = send_to(b"\x01garbage\r\n\r\n").await;
    assert!(matches!(garbled, Err(SendError::Garbled(_))), "{garbled:?}");
    let cut = send_to(b"HTTP/1.1 200").await;
    assert!(matches!(cut, Err(SendError::Sent(_))), "{cut:?}");
}

#[tokio::test]
async fn an_answer_with_a_status_that_ends_no_exchange_is_none() {
    let answers: [&[u8]; 6] = [
        b"HTTP/1.1 000 \r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 099 \r\ncontent-length: 0\r\n\r\n",
        // No upgrade was asked for.
        b"HTTP/1.1 101 \r\nconnection: upgrade\r\nupgrade: other\r\n\r\n",
        b"HTTP/1.1 199 \r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 600 \r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 103 \r\n\r\nHTTP/1.1 999 \r\ncontent-length: 0\r\n\r\n",
    ];
    let mut taken = Vec::new();
    for answer in answers {
        match send_to(answer).await {
            Ok(response) => taken.push(response.status().as_u16()),
            Err(SendError::Sent(_) | SendError::Garbled(_)) => {}
            Err(error) => panic!("the request may have been run: {error:?}"),
        }
    }
    assert!(taken.is_empty(), "taken as answers: {taken:?}");
}

#[tokio::test]
async fn interim_answers_are_skipped() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
    let answer = interim.repeat(5_000) + SECOND;
    let response = send_to(answer.leak().as_bytes()).await.expect("the server answers");
    assert_eq!(
        (response.status().as_u16(), &response.headers()["id"]),
        (200, &HeaderValue::from_static("2"))
    );
    let body = response.into_body().collect().await.expect("the answer is complete").to_bytes();
    assert_eq!(body, "second");
}

#[tokio::test]
async fn a_large_answer_is_read_in_small_pieces() {
    let (value, body) = ("x".repeat(20_000), "x".repeat(1 << 20));
    let length = body.len();
    let answer =
        format!("HTTP/1.1 200 OK\r\nlong: {value}\r\ncontent-length: {length}\r\n\r\n{body}");
    let mut connection = connect_to(answer.leak().as_bytes()).await;
    let mut response = connection.send(request()).await.expect("the server answers");
    assert_eq!(response.headers()["long"].len(), value.len());
    let mut pieces = Vec::new();
    while let Some(frame) = response.frame().await {
        // Lets bytes arrive, so that a read could take many.
        tokio::time::sleep(Duration::from_millis(1)).await;
        pieces.push(frame.expect("the answer is complete").into_data().map_or(0, |it| it.len()));
    }
    assert_eq!(pieces.iter().sum::<usize>(), length);
    let largest = pieces.iter().max();
    assert!(largest.is_some_and(|it| *it < 8 << 10), "a piece of {largest:?} bytes");
}

#[tokio::test]
async fn a_body_with_another_transfer_encoding_than_chunked_ends_with_its_connection() {
    let ends = async |answer| {
        let response = send_to(answer).await.expect("the server answers");
        upstream::ends_with_connection(&response)
    };
    assert!(ends(b"HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\npart").await);
    assert!(!ends(b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, Chunked\r\n\r\n0\r\n\r\n").await);
    assert!(!ends(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await);
}
