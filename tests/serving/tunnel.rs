//! Connections to upstreams through another host.

use std::{cell::Cell, io, rc::Rc, time::Duration};

use almondrack::{
    metrics::Metrics,
    serving::{
        dialer::{Detour, Dialer, Target},
        key::UpstreamKey,
        outbound_connection::Connection,
        registry::{Entry, State},
        roster::{Host, Roster},
        tunnel::{self, Client, Server},
        upstream_state::incarnation_id,
    },
    time::Span,
};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::LocalSet,
    time::{sleep, timeout},
};

use crate::{
    cut_off::free_address,
    fixture::{engine, engines},
};

/// Time within which something on this machine certainly happens.
const SOON: Duration = Duration::from_millis(2_000);

/// Another host that opens tunnels, with a client of this one.
struct Fixture {
    client: Client,
    server: Server,
    dialer: Rc<Dialer>,
    draining: watch::Sender<bool>,
    leaving: watch::Sender<Rc<Vec<u64>>>,
    metrics: Metrics,
}

impl Fixture {
    async fn open(upstreams: Vec<Entry>, sockets: usize) -> Fixture {
        let metrics = Metrics::open().expect("the names of metrics are unique");
        let address = free_address();
        let mut roster = Roster::default();
        for (id, tunnels) in [("host-0", free_address()), ("host-1", address)] {
            let zone = "a".to_owned();
            roster.insert(Host {
                id: id.to_owned(),
                address,
                zone,
                cpu_per_mille: 250,
                selects_pool_by_id: true,
                tunnels: Some(tunnels),
            });
        }
        let roster = watch::channel(Rc::new(roster)).1;
        let upstreams = watch::channel(Rc::new(upstreams)).1;
        let detour = Detour {
            tunnels: Client::new("host-1", "a", roster.clone(), metrics.clone()),
            upstreams: upstreams.clone(),
            metrics: metrics.clone(),
        };
        let dialer = Rc::new(Dialer::new(Some(detour)));
        let (draining, draining_seen) = watch::channel(false);
        let (leaving, leaving_seen) = watch::channel(Rc::default());
        let options = tunnel::Options {
            upstreams,
            leaving: leaving_seen,
            dialer: dialer.clone(),
            memory_bytes: 88_000_000,
            sockets,
            draining: draining_seen,
            metrics: metrics.clone(),
        };
        let server = Server::bind(address, options).await.expect("the port is free");
        let client = Client::new("host-0", "a", roster, metrics.clone());
        Fixture { client, server, dialer, draining, leaving, metrics }
    }

    async fn open_tunnel(&self, entry: &Entry) -> Result<TcpStream, io::ErrorKind> {
        self.client.open(incarnation_id(entry)).await.map(|it| it.1).map_err(|it| it.kind())
    }

    fn counted(&self, side: &str, outcome: &str) -> bool {
        let line = format!("almondrack_tunnels_total{{outcome=\"{outcome}\",side=\"{side}\"}} 1");
        self.metrics.render().lines().any(|it| it == line)
    }
}

async fn upstream() -> (TcpListener, Entry) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    (listener, Entry { address, ..engine(0) })
}

#[tokio::test]
async fn bytes_pass_both_ways_and_either_end_closes_the_other() {
    let run = async {
        let (listener, entry) = upstream().await;
        let fixture = Fixture::open(vec![entry.clone()], 4_000).await;
        let mut near = fixture.open_tunnel(&entry).await.expect("the tunnel opens");
        let (mut far, _) = listener.accept().await.expect("the upstream listens");
        near.write_all(b"ping").await.expect("the tunnel is open");
        let mut bytes = [0; 4];
        far.read_exact(&mut bytes).await.expect("the tunnel is open");
        // The upstream's last bytes arrive before its end.
        far.write_all(&vec![7; 300_000]).await.expect("the tunnel is open");
        drop(far);
        let mut received = Vec::new();
        near.read_to_end(&mut received).await.expect("the connection ends in order");
        assert_eq!((&bytes, received.len()), (b"ping", 300_000));
        // A caller that leaves ends the work at the upstream.
        let near = fixture.open_tunnel(&entry).await.expect("the tunnel opens");
        let (mut far, _) = listener.accept().await.expect("the upstream listens");
        drop(near);
        let ended = timeout(SOON, far.read(&mut bytes)).await.expect("the connection ends");
        assert!(matches!(ended, Ok(0) | Err(_)));
        while !fixture.server.is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn an_answer_that_is_reset_does_not_end_in_order() {
    let run = async {
        let (listener, entry) = upstream().await;
        let fixture = Fixture::open(vec![entry.clone()], 4_000).await;
        let mut near = fixture.open_tunnel(&entry).await.expect("the tunnel opens");
        let (mut far, _) = listener.accept().await.expect("the upstream listens");
        far.write_all(b"half").await.expect("the tunnel is open");
        let mut bytes = [0; 4];
        near.read_exact(&mut bytes).await.expect("the tunnel is open");
        far.set_zero_linger().expect("the socket is open");
        drop(far);
        let end = timeout(SOON, near.read(&mut bytes)).await.expect("the connection ends");
        assert_eq!(end.map_err(|it| it.kind()), Err(io::ErrorKind::ConnectionReset));
    };
    LocalSet::new().run_until(run).await;
}

/// Sends bytes until the receiver and the buffers on the way take no more.
async fn fill(near: &TcpStream) {
    while let Ok(Ok(())) = timeout(Duration::from_millis(10), near.writable()).await {
        match near.try_write(&[7; 8_192]) {
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => panic!("{error}"),
            _ => {}
        }
    }
}

#[tokio::test]
async fn an_answer_that_is_reset_during_an_upload_does_not_end_in_order() {
    const ROUNDS: u32 = 20;
    let run = async {
        let (listener, entry) = upstream().await;
        let fixture = Fixture::open(vec![entry.clone()], 4_000).await;
        let mut in_order = 0;
        for _ in 0..ROUNDS {
            let mut near = fixture.open_tunnel(&entry).await.expect("the tunnel opens");
            let (mut far, _) = listener.accept().await.expect("the upstream listens");
            fill(&near).await;
            far.write_all(b"half").await.expect("the tunnel is open");
            far.set_zero_linger().expect("the socket is open");
            drop(far);
            let mut bytes = [0; 4];
            near.read_exact(&mut bytes).await.expect("the bytes before the reset arrive");
            assert_eq!(&bytes, b"half");
            let end = timeout(SOON, near.read(&mut bytes)).await.expect("the connection ends");
            in_order += u32::from(end.is_ok());
        }
        assert_eq!(in_order, 0, "of {ROUNDS} connections that were reset");
    };
    LocalSet::new().run_until(run).await;
}

// A reset after the orderly end is no cut, and closing a connection with an unread upload resets it.
#[tokio::test]
async fn an_answer_that_ends_in_order_during_an_upload_stays_whole() {
    const ROUNDS: u32 = 20;
    let run = async {
        let (listener, entry) = upstream().await;
        let fixture = Fixture::open(vec![entry.clone()], 4_000).await;
        let mut cut = Vec::new();
        for (length, reads_upload) in [(300, false), (300_000, true)] {
            for round in 0..ROUNDS {
                let mut near = fixture.open_tunnel(&entry).await.expect("the tunnel opens");
                let (mut far, _) = listener.accept().await.expect("the upstream listens");
                fill(&near).await;
                let answer = async {
                    far.write_all(&vec![7; length]).await.expect("the tunnel is open");
                    far.shutdown().await.expect("the tunnel is open");
                    let mut rest = Vec::new();
                    if reads_upload {
                        // The tunnel may close the connection before all of it has arrived.
                        let _ = far.read_to_end(&mut rest).await;
                    }
                    sleep(Duration::from_millis(2)).await;
                    drop(far);
                };
                let read = async {
                    sleep(Duration::from_millis(5)).await;
                    let mut received = Vec::new();
                    near.read_to_end(&mut received).await.map_err(|it| it.kind())
                };
                let ((), read) = timeout(SOON, async { tokio::join!(answer, read) })
                    .await
                    .expect("the connection ends");
                if read != Ok(length) {
                    cut.push((length, round, read));
                }
            }
        }
        assert!(cut.is_empty(), "{} cut: {cut:?}", cut.len());
    };
    LocalSet::new().run_until(run).await;
}

/// Answers the first bytes of a request with part of a body that ends with its connection, and resets that.
async fn cut_answer(listener: &TcpListener, delay: Duration) {
    let (mut far, _) = listener.accept().await.expect("the upstream listens");
    let mut bytes = [0; 1_024];
    let length = far.read(&mut bytes).await.expect("the request arrives");
    assert!(length > 0);
    far.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").await.expect("the connection is open");
    sleep(delay).await;
    far.set_zero_linger().expect("the socket is open");
}

#[tokio::test]
async fn part_of_an_answer_that_is_reset_during_an_upload_is_no_answer() {
    const ROUNDS: u64 = 5;
    let run = async {
        let (listener, entry) = upstream().await;
        let fixture = Fixture::open(vec![entry.clone()], 4_000).await;
        let mut whole = Vec::new();
        for size in [0, 50_000, 3_000_000, 8_000_000] {
            let upload = Bytes::from(vec![7; size]);
            for round in 0..ROUNDS {
                for tunnel in [false, true] {
                    let delay = Duration::from_millis(round * 5);
                    let send = async {
                        let stream = match tunnel {
                            true => fixture.open_tunnel(&entry).await.expect("the tunnel opens"),
                            false => TcpStream::connect(entry.address).await.expect("it listens"),
                        };
                        let mut connection =
                            Connection::handshake(stream).await.expect("it is open");
                        let request = Request::post("/").body(Full::new(upload.clone()));
                        let sent = connection.send(request.expect("it is valid")).await;
                        match sent {
                            Ok(response) => response.into_body().collect().await.is_ok(),
                            Err(_) => false,
                        }
                    };
                    let (is_whole, ()) = tokio::join!(send, cut_answer(&listener, delay));
                    if is_whole {
                        whole.push((size, delay, tunnel));
                    }
                }
            }
        }
        assert!(whole.is_empty(), "{} taken as whole: {whole:?}", whole.len());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn only_listed_upstreams_that_take_requests_are_connected_to() {
    let run = async {
        let (_listener, entry) = upstream().await;
        let draining = Entry { state: State::Draining, ..engine(1) };
        let down = Entry { address: free_address(), ..engine(2) };
        let listed = vec![entry.clone(), draining.clone(), down.clone()];
        let fixture = Fixture::open(listed, 4_000).await;
        for refused in [&draining, &down, &engine(3)] {
            let opened = fixture.open_tunnel(refused).await.map(drop);
            assert_eq!(opened, Err(io::ErrorKind::ConnectionRefused), "{refused:?}");
        }
        fixture.leaving.send_replace(Rc::new(vec![incarnation_id(&entry)]));
        let opened = fixture.open_tunnel(&entry).await.map(drop);
        assert_eq!(opened, Err(io::ErrorKind::ConnectionRefused), "it says that it leaves");
        fixture.leaving.send_replace(Rc::default());
        fixture.draining.send_replace(true);
        let opened = fixture.open_tunnel(&entry).await.map(drop);
        assert_eq!(opened, Err(io::ErrorKind::HostUnreachable), "the other host stops");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_host_that_is_cut_off_itself_opens_no_tunnel_through_a_third_one() {
    let run = async {
        let down: Vec<_> =
            engines(2).into_iter().map(|it| Entry { address: free_address(), ..it }).collect();
        let fixture = Fixture::open(down.clone(), 4_000).await;
        for (index, entry) in down.iter().enumerate() {
            let target = Target {
                upstream: UpstreamKey(index as u32),
                incarnation: incarnation_id(entry),
                address: entry.address,
            };
            assert!(fixture.dialer.connect(target).await.is_err());
        }
        assert!(fixture.dialer.is_cut_off());
        let opened = fixture.open_tunnel(&down[0]).await.map(drop);
        assert_eq!(opened, Err(io::ErrorKind::HostUnreachable));
        assert!(fixture.counted("served", "cut_off"));
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn tunnels_leave_a_host_room_for_its_own_callers() {
    let run = async {
        let (listener, entry) = upstream().await;
        // Room for two tunnels.
        let fixture = Fixture::open(vec![entry.clone()], 32).await;
        let accepted = Rc::new(Cell::new(0));
        let count = accepted.clone();
        tokio::task::spawn_local(async move {
            let mut open = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                open.push(stream);
                count.set(open.len());
            }
        });
        let _first = fixture.open_tunnel(&entry).await.expect("there is room");
        let _second = fixture.open_tunnel(&entry).await.expect("there is room");
        let third = fixture.open_tunnel(&entry).await.map(drop);
        assert_eq!(third, Err(io::ErrorKind::HostUnreachable));
        assert_eq!((fixture.server.len(), accepted.get()), (2, 2));
        assert!(fixture.counted("served", "busy"));
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_host_that_an_upstream_refuses_for_a_time_forwards_nothing_to_it() {
    let run = async {
        let (_listener, entry) = upstream().await;
        let fixture = Fixture::open(vec![entry.clone()], 4_000).await;
        let incarnation = incarnation_id(&entry);
        let (host, _stream) = fixture.client.open(incarnation).await.expect("the tunnel opens");
        // The refusal came to a request that this host forwarded.
        fixture.client.hold(host, incarnation, Span::from_ms(300)).await;
        assert!(fixture.dialer.held_until(incarnation).is_some());
        let opened = fixture.open_tunnel(&entry).await.map(drop);
        assert_eq!(opened, Err(io::ErrorKind::ConnectionRefused));
        sleep(Duration::from_millis(320)).await;
        assert!(fixture.open_tunnel(&entry).await.is_ok());
    };
    LocalSet::new().run_until(run).await;
}
