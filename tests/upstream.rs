//! What the client of the own interface says of requests that upstreams cut, and whose answers it takes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use almondrack::{
    error::{Error, Kind, Run},
    upstream::{Client, Failure, Reuse},
};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt as _, Full};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Size of a request's body that does not fit into the socket buffers, in bytes.
const LARGE: usize = 16 << 20;

/// What an upstream does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Conduct {
    Answer,
    /// A copy of the answer follows it at once.
    AnswerTwice,
    CloseAtOnce,
    ResetAtOnce,
    CloseAfterFirstBytes,
    ResetAfterFirstBytes,
    /// Sends these bytes and leaves the connection open.
    Send(&'static str),
    /// Sends part of an answer without a length, and resets the connection after this many milliseconds.
    Cut(u64),
}

async fn spawn(conduct: Conduct) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(serve(client, conduct));
        }
    });
    (address, connections)
}

async fn serve(mut client: TcpStream, conduct: Conduct) {
    let mut buffer = vec![0; 4_096];
    let mut resets = conduct == Conduct::ResetAtOnce;
    if !matches!(conduct, Conduct::CloseAtOnce | Conduct::ResetAtOnce) {
        // Each request without a body fits into one read.
        while let Ok(length) = client.read(&mut buffer).await {
            let copies = match conduct {
                Conduct::Answer | Conduct::Send(_) | Conduct::Cut(_) => 1,
                Conduct::AnswerTwice => 2,
                _ => 0,
            };
            if length == 0 || copies == 0 {
                resets = conduct == Conduct::ResetAfterFirstBytes;
                break;
            }
            if let Conduct::Send(bytes) = conduct {
                let _ = client.write_all(bytes.as_bytes()).await;
                continue;
            }
            if let Conduct::Cut(delay_ms) = conduct {
                let _ = client.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").await;
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                resets = true;
                break;
            }
            let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
            let path = text.split(' ').nth(1).unwrap_or_default();
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}", path.len());
            if client.write_all(answer.repeat(copies).as_bytes()).await.is_err() {
                return;
            }
        }
    }
    if resets {
        client.set_zero_linger().expect("the socket is open");
    }
}

async fn send(
    client: &Client,
    address: SocketAddr,
    (path, body): (&str, usize),
    reuse: Reuse,
) -> Result<String, Failure> {
    let mut request = Request::new(Full::new(Bytes::from(vec![b'.'; body])));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = format!("http://{address}{path}").parse().expect("the path is valid");
    let response = client.send(request, reuse).await?;
    let bytes = response.into_body().collect().await.map_err(|_| Failure::MaybeSent)?.to_bytes();
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_counts_as_unsent_only_if_the_upstream_has_read_no_byte_of_it() {
    let client = Client::open(CONNECT_TIMEOUT);
    for conduct in [
        Conduct::CloseAtOnce,
        Conduct::ResetAtOnce,
        Conduct::CloseAfterFirstBytes,
        Conduct::ResetAfterFirstBytes,
    ] {
        for reuse in [Reuse::Never, Reuse::Allowed] {
            for body in [0, 100, LARGE] {
                let (address, connections) = spawn(conduct).await;
                let failure = send(&client, address, ("/", body), reuse).await;
                // A reset that comes before the first write is seen as a failure to connect.
                let may_be_unsent =
                    conduct == Conduct::ResetAtOnce && failure == Err(Failure::Unsent);
                assert!(
                    may_be_unsent || failure == Err(Failure::MaybeSent),
                    "{conduct:?}, {reuse:?}, body {body}: {failure:?}"
                );
                let connections = connections.load(Ordering::Relaxed);
                assert_eq!(connections, 1, "{conduct:?}, {reuse:?}, body {body}: sent again");
            }
        }
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let closed = listener.local_addr().expect("the socket is bound");
    drop(listener);
    for reuse in [Reuse::Never, Reuse::Allowed] {
        assert_eq!(send(&client, closed, ("/", 0), reuse).await, Err(Failure::Unsent));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn part_of_an_answer_that_is_reset_during_an_upload_is_no_answer() {
    let client = Client::open(CONNECT_TIMEOUT);
    for body in [0, 50_000, 3_000_000, LARGE] {
        for delay_ms in [0, 1, 5, 20] {
            for reuse in [Reuse::Never, Reuse::Allowed] {
                let (address, _) = spawn(Conduct::Cut(delay_ms)).await;
                let sent = send(&client, address, ("/", body), reuse).await;
                assert_eq!(sent, Err(Failure::MaybeSent), "body {body}, {delay_ms} ms, {reuse:?}");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_be_repeated_gets_a_connection_of_its_own() {
    for conduct in [Conduct::Answer, Conduct::AnswerTwice] {
        let client = Client::open(CONNECT_TIMEOUT);
        let (address, connections) = spawn(conduct).await;
        for number in 0..20 {
            let path = format!("/{number}");
            let sent = send(&client, address, (&path, 0), Reuse::Never).await;
            assert_eq!(sent, Ok(path), "{conduct:?}");
        }
        assert_eq!(connections.load(Ordering::Relaxed), 20, "{conduct:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_status_that_ends_no_exchange_is_none_and_its_connection_is_not_reused() {
    let mut taken = Vec::new();
    for bytes in [
        "HTTP/1.1 000 \r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 099 \r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 101 \r\nconnection: upgrade\r\nupgrade: other\r\n\r\n",
        "HTTP/1.1 600 \r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 103 \r\n\r\nHTTP/1.1 999 \r\ncontent-length: 0\r\n\r\n",
    ] {
        for reuse in [Reuse::Never, Reuse::Allowed] {
            let client = Client::open(CONNECT_TIMEOUT);
            let (address, connections) = spawn(Conduct::Send(bytes)).await;
            for _ in 0..2 {
                let sent = send(&client, address, ("/", 0), reuse).await;
                if sent != Err(Failure::MaybeSent) {
                    taken.push((bytes, reuse, sent));
                }
                // An answer without a body makes the connection idle at once.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            let connections = connections.load(Ordering::Relaxed);
            if connections != 2 {
                taken.push((bytes, reuse, Ok(format!("{connections} connections"))));
            }
        }
    }
    assert!(taken.is_empty(), "{taken:#?}");
}

#[test]
fn a_status_that_says_not_run_is_given_only_if_no_upstream_may_have_run_the_request() {
    let mut said = 0;
    for kind in Kind::ALL {
        for run in [Run::No, Run::Yes, Run::Unknown] {
            let status = Error::new(kind, "").with_run(run).status();
            let says_not_run = matches!(status, 408 | 421 | 429 | 503);
            assert!(!says_not_run || run == Run::No, "{kind:?} with run {run:?} has {status}");
            said += u32::from(says_not_run);
        }
    }
    assert!(said > 0, "no error says that the request has not run");
}
