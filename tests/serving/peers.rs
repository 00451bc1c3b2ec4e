//! Sync requests between hosts.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use almondrack::serving::{
    messages,
    peers::{self, Peers},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::LocalSet,
    time::{Instant, sleep},
};

/// Transfer time of the store's largest value over the slowest link: 1 MB at 10 Mbit/s.
const LARGEST_TRANSFER: Duration = Duration::from_millis(840);

fn request() -> messages::Request {
    messages::Request {
        host: "asking".to_owned(),
        is_hub: false,
        revisions: vec![1; 3],
        loads: Vec::new(),
        placed: Vec::new(),
        placed_after: 0,
        counts: Vec::new(),
    }
}

fn configuration() -> messages::Response {
    let line = messages::Change {
        key: "configuration".to_owned(),
        revision: 2,
        value: Some(vec![7; 1 << 20].into()),
    };
    let update = messages::Update { is_listing: false, changes: vec![line], revision: 2 };
    let state = messages::Prefix { age_us: Some(0), update: Some(update) };
    messages::Response { prefixes: vec![state], ..messages::Response::default() }
}

/// Serves sync requests on a listener and returns the mailbox into which they come.
fn serve(listener: TcpListener) -> mpsc::Receiver<peers::Call> {
    let (calls, mailbox) = mpsc::channel(8);
    tokio::spawn(peers::serve(
        listener,
        peers::Mailboxes {
            calls,
            permits: mpsc::channel(1).0,
            evidence: mpsc::channel(1).0,
            reports: mpsc::channel(1).0,
        },
    ));
    mailbox
}

/// Starts a host that responds after a time.
async fn spawn_host(time: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let mut mailbox = serve(listener);
    tokio::spawn(async move {
        while let Some((_, reply)) = mailbox.recv().await {
            sleep(time).await;
            // The requesting host may have timed out, which the test checks.
            let _ = reply.send(configuration());
        }
    });
    address
}

/// Sends a request to a host that responds after a time.
async fn send_request(time: Duration) -> Option<messages::Response> {
    let address = spawn_host(time).await;
    Peers::default().sync(address, request()).await
}

#[tokio::test]
async fn a_configuration_that_takes_long_over_a_slow_link_arrives() {
    let response = LocalSet::new().run_until(send_request(LARGEST_TRANSFER)).await;
    // Without assert_eq, as the response is too long to print.
    assert!(response == Some(configuration()), "no response or a wrong one");
}

#[tokio::test]
async fn a_silent_host_is_passed_over_in_time() {
    let start = Instant::now();
    let response = LocalSet::new().run_until(send_request(Duration::from_secs(60))).await;
    assert_eq!(response, None);
    // Well within the bound of 2 s for a new configuration.
    assert!(start.elapsed() < Duration::from_millis(1_800), "{:?}", start.elapsed());
}

#[tokio::test]
async fn each_of_several_requests_gets_its_own_response_in_whatever_order_they_come() {
    const REQUESTS: u64 = 5;
    let play = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let mut mailbox = serve(listener);
        tokio::spawn(async move {
            while let Some((request, reply)) = mailbox.recv().await {
                tokio::spawn(async move {
                    // Earlier requests are answered later.
                    let number = request.placed_after;
                    sleep(Duration::from_millis(40 * (REQUESTS - number))).await;
                    let state = messages::Prefix { age_us: Some(number), update: None };
                    let response =
                        messages::Response { prefixes: vec![state], ..Default::default() };
                    // The requesting host may have timed out.
                    let _ = reply.send(response);
                });
            }
        });
        let peers = Peers::default();
        let send = async |number| {
            sleep(Duration::from_millis(number)).await;
            let numbered = messages::Request { placed_after: number, ..request() };
            let response = peers.sync(address, numbered).await?;
            response.prefixes.first()?.age_us
        };
        // Opens the connection that all requests share.
        assert_eq!(send(REQUESTS).await, Some(REQUESTS));
        let received = futures::future::join_all((0..REQUESTS).map(send)).await;
        assert_eq!(received, [0, 1, 2, 3, 4].map(Some));
    };
    LocalSet::new().run_until(play).await;
}

/// Passes bytes of a host on in pieces, each after a pause, and stops after `stall_after` bytes.
async fn run_slow_link(
    listener: TcpListener,
    host: SocketAddr,
    (piece, pause): (usize, Duration),
    stall_after: usize,
) {
    let (asking, _) = listener.accept().await.expect("the listener is open");
    let responding = TcpStream::connect(host).await.expect("the host listens");
    let (mut requests, mut responses) = asking.into_split();
    let (mut from_host, mut to_host) = responding.into_split();
    tokio::spawn(async move { tokio::io::copy(&mut requests, &mut to_host).await });
    let (mut buffer, mut passed) = (vec![0; piece], 0);
    while let Ok(count @ 1..) = from_host.read(&mut buffer).await {
        if passed >= stall_after {
            std::future::pending::<()>().await;
        }
        sleep(pause).await;
        passed += count;
        if responses.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Sends a request over a slow link.
async fn send_over_slow_link(stall_after: usize) -> Option<messages::Response> {
    let host = spawn_host(Duration::ZERO).await;
    let link = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = link.local_addr().expect("the socket is bound");
    // 1 MB takes 2 s, as over a link of 10 Mbit/s that carries another such transfer.
    let rate = (16 << 10, Duration::from_millis(30));
    tokio::spawn(run_slow_link(link, host, rate, stall_after));
    Peers::default().sync(address, request()).await
}

#[tokio::test]
async fn a_configuration_that_is_under_way_is_not_asked_for_again() {
    let response = LocalSet::new().run_until(send_over_slow_link(usize::MAX)).await;
    assert!(response == Some(configuration()), "no response or a wrong one");
}

#[tokio::test]
async fn a_response_that_stalls_halfway_is_given_up_in_time() {
    let start = Instant::now();
    let response = LocalSet::new().run_until(send_over_slow_link(100_000)).await;
    assert_eq!(response, None);
    assert!(start.elapsed() < Duration::from_millis(1_800), "{:?}", start.elapsed());
}

/// Counts the connections over which two requests are sent to a host with this response.
async fn connections(response: messages::Response) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let host_listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let host = host_listener.local_addr().expect("the socket is bound");
    let mut mailbox = serve(host_listener);
    tokio::spawn(async move {
        while let Some((_, reply)) = mailbox.recv().await {
            reply.send(response.clone()).expect("the request waits");
        }
    });
    let count = Rc::new(Cell::new(0));
    let counted = count.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut asking, _)) = listener.accept().await {
            counted.set(counted.get() + 1);
            tokio::task::spawn_local(async move {
                let mut host = TcpStream::connect(host).await.expect("the host listens");
                // Ends with the connection of either side.
                let _ = tokio::io::copy_bidirectional(&mut asking, &mut host).await;
            });
        }
    });
    let peers = Peers::default();
    for _ in 0..2 {
        assert!(peers.sync(address, request()).await.is_some());
    }
    count.get()
}

/// Guards against hubs that keep buffers of the size of a large configuration for each of their members.
#[tokio::test]
async fn a_connection_that_carried_a_large_response_is_not_kept() {
    let play = async {
        let small = messages::Response { is_current: true, ..messages::Response::default() };
        assert_eq!(connections(small).await, 1);
        assert_eq!(connections(configuration()).await, 2);
    };
    LocalSet::new().run_until(play).await;
}
