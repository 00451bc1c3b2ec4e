//! Hosts that are cut off from all upstreams while callers and other hosts still reach them.
//!
//! Each host has a store of its own, with the same revisions, that names the addresses at which it reaches the upstreams.
//! For the first hosts these are links of the test, which can be cut.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use almondrack::serving::{
    duties::{self, Counts, Duties, Order},
    fleet_state::Decoding,
    host::{Host, Ports},
    registry::{DecodeError, Entry},
    roster,
    settings::Settings,
    table::{Parts, Pool, RetryPolicy, Route, Table},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, copy_bidirectional},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::LocalSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    exchange::{RESUME_AFTER, TestDialect, routed_request},
    fixture::{POOL, engine},
    followers::MemoryStore,
};

const CONFIGURATION: &str = "configuration";
const UPSTREAMS: &str = "upstreams/";
const UPSTREAM_COUNT: usize = 4;

/// Path of requests that may run once only.
const ONCE: &str = "/once/";

/// Path that no route takes.
const UNKNOWN: &str = "/unknown/";

/// Time within which a configuration must be in force, as in the hosts' settings.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(2_000);

/// Path of requests that may be repeated.
const REPEATABLE: &str = "/repeatable/";

/// Path of answers with neither a length nor chunks, which end with their connections.
const UNFRAMED: &str = "/once/unframed";

/// Path of streams that may go on at another upstream.
const STREAM: &str = "/stream/";

/// Events of a stream.
const EVENTS: usize = 40;

/// Time between them.
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// Time that upstreams take for a request.
const WORK: Duration = Duration::from_millis(5);

/// Time from the beginning of a cut after which callers must not notice it, at the strictest of the users' sites.
const CONTACT_BOUND: Duration = Duration::from_millis(3_000);

/// Time that a caller waits.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time within which a stream ends that takes two seconds without a cut.
const STREAM_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Requests in one phase of a test.
const REQUESTS: usize = 60;

/// State of the first host's links to the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Link {
    Whole,
    /// New connections are refused, open ones are reset.
    Reset,
    /// New connections are refused, open ones live on.
    Refused,
    /// New connections hang, open ones fall silent.
    Silent,
}

#[derive(Debug, Clone)]
struct NoDuties;

impl Duties for NoDuties {
    async fn report(&self, _: u64, _: u64, _: &Counts) -> Result<(), duties::Failure> {
        Ok(())
    }

    async fn order(&self, _: u64, _: &Order) -> Result<(), duties::Failure> {
        Ok(())
    }
}

fn decode_table(_: &[u8]) -> Result<Table, DecodeError> {
    let route = |prefix: &str, retry_policy| Route {
        prefix: prefix.to_owned(),
        name: prefix.into(),
        max_attempts: 3,
        ..(*routed_request(false, retry_policy).route).clone()
    };
    let stream = Route { stream: true, timeout_ms: 10_000, ..route(STREAM, RetryPolicy::Resume) };
    let pool =
        Pool { name: POOL.into(), connections: 100, engine: None, scaling: None, cold_rate: None };
    Ok(Table::build(Parts {
        version: 1,
        routes: vec![
            route(ONCE, RetryPolicy::Never),
            route(REPEATABLE, RetryPolicy::Always),
            stream,
        ],
        pools: vec![pool],
        ..Parts::default()
    }))
}

/// Decodes an entry, which is the number of the upstream and its address.
fn decode_entry(key: &str, value: &[u8]) -> Result<Entry, DecodeError> {
    let text = std::str::from_utf8(value).unwrap_or_default();
    let fields = text.split_once(' ').and_then(|(index, address)| {
        Some((index.parse::<usize>().ok()?, address.parse::<SocketAddr>().ok()?))
    });
    let (index, address) = fields.ok_or_else(|| DecodeError(format!("{key} is not an entry")))?;
    Ok(Entry { address, ..engine(index) })
}

/// Number of runs of each request.
type Runs = Rc<RefCell<BTreeMap<String, usize>>>;

async fn run_upstream(listener: TcpListener, runs: Runs) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(serve(stream, runs.clone()));
    }
}

async fn serve(mut stream: TcpStream, runs: Runs) {
    let mut bytes = Vec::new();
    loop {
        let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") else {
            let mut buffer = [0; 4_096];
            match stream.read(&mut buffer).await {
                Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
                _ => return,
            }
            continue;
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        bytes.drain(..end + 4);
        let id = head.lines().find_map(|it| it.strip_prefix("x-id: ")).unwrap_or_default();
        *runs.borrow_mut().entry(id.to_owned()).or_default() += 1;
        if head.starts_with(&format!("GET {STREAM}")) {
            let prefix = format!("{RESUME_AFTER}: ");
            let after = head.lines().find_map(|it| it.strip_prefix(&prefix)?.parse().ok());
            return write_events(stream, after.unwrap_or(0)).await;
        }
        if head.starts_with(&format!("GET {UNFRAMED}")) {
            return write_unframed(stream).await;
        }
        sleep(WORK).await;
        if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.is_err() {
            return;
        }
    }
}

/// Writes the events of a stream after the given one. The connection ends with the stream.
async fn write_events(mut stream: TcpStream, after: usize) {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\nconnection: close\r\n\r\n";
    let mut written = stream.write_all(head.as_bytes()).await;
    for number in after + 1..=EVENTS {
        let event = format!("id: {number}\ndata: {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        written = written.and(stream.write_all(chunk.as_bytes()).await);
        sleep(EVENT_PAUSE).await;
    }
    // The host may have left.
    let _ = written.and(stream.write_all(b"0\r\n\r\n").await);
}

/// Time between the halves of an answer that ends with its connection.
const HALVES_PAUSE: Duration = Duration::from_millis(1_500);

async fn write_unframed(mut stream: TcpStream) {
    let begun = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").await;
    sleep(HALVES_PAUSE).await;
    // The host may have left.
    let _ = begun.and(stream.write_all(b" and the rest").await);
}

/// Runs the link of the first hosts to an upstream.
async fn run_link(
    port: SocketAddr,
    upstream: SocketAddr,
    mut link: watch::Receiver<Link>,
    ready: Rc<Cell<usize>>,
) {
    loop {
        let state = *link.borrow_and_update();
        let socket = TcpSocket::new_v4().expect("sockets can be opened");
        socket.set_reuseaddr(true).expect("the socket is open");
        let bound = socket.bind(port);
        match state {
            Link::Whole => {
                bound.expect("the port is free");
                let listener = socket.listen(64).expect("the socket is bound");
                ready.set(ready.get() + 1);
                loop {
                    tokio::select! {
                        Ok((stream, _)) = listener.accept() => {
                            tokio::task::spawn_local(forward(stream, upstream, link.clone()));
                        }
                        changed = link.changed() => if changed.is_ok() { break } else { return },
                    }
                }
            }
            Link::Reset | Link::Refused => {
                drop(socket);
                if link.changed().await.is_err() {
                    return;
                }
            }
            Link::Silent => {
                bound.expect("the port is free");
                // Connections hang as the queue of new ones is full.
                let _listener = socket.listen(0).expect("the socket is bound");
                let mut queued = Vec::new();
                while let Ok(Ok(stream)) =
                    timeout(Duration::from_millis(20), TcpStream::connect(port)).await
                {
                    queued.push(stream);
                }
                if link.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Forwards a connection until the link is cut.
async fn forward(mut stream: TcpStream, upstream: SocketAddr, mut link: watch::Receiver<Link>) {
    let Ok(mut to) = TcpStream::connect(upstream).await else { return };
    let cut = tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut to) => return,
        Ok(cut) = link.wait_for(|it| matches!(it, Link::Reset | Link::Silent)) => *cut,
    };
    if cut == Link::Silent {
        // Both ends stay open without bytes.
        let _ = link.wait_for(|it| *it != Link::Silent).await;
    }
    let _ = stream.set_zero_linger();
}

/// Hosts of which the first ones reach the upstreams over links that can be cut, and the last one directly.
struct Fleet {
    hosts: Vec<Host>,
    stores: Vec<MemoryStore>,
    link: watch::Sender<Link>,
    /// Addresses on which the hosts open tunnels.
    tunnels: Vec<SocketAddr>,
    runs: Runs,
    sent: Cell<usize>,
}

/// Returns an address that stays free. Connections of other tests take ports of 127.0.0.1 only.
pub(crate) fn free_address() -> SocketAddr {
    let ip =
        [127, rand::random_range(1..255), rand::random_range(0..255), rand::random_range(1..255)];
    let listener = std::net::TcpListener::bind((Ipv4Addr::from(ip), 0)).expect("a port is free");
    listener.local_addr().expect("the socket is bound")
}

/// Availability zone of a host. Several hosts that can be cut off fill a zone.
fn zone_of(host: usize, linked_count: usize) -> &'static str {
    if linked_count > 1 && host == linked_count { "b" } else { "a" }
}

impl Fleet {
    /// Starts so many hosts whose links can be cut, and one other.
    async fn spawn(linked_count: usize) -> Fleet {
        let count = linked_count + 1;
        let runs = Runs::default();
        let (link, links) = watch::channel(Link::Whole);
        let ready = Rc::new(Cell::new(0));
        let mut addresses = Vec::new();
        for _ in 0..UPSTREAM_COUNT {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
            let upstream = listener.local_addr().expect("the socket is bound");
            tokio::task::spawn_local(run_upstream(listener, runs.clone()));
            let port = free_address();
            tokio::task::spawn_local(run_link(port, upstream, links.clone(), ready.clone()));
            addresses.push((port, upstream));
        }
        while ready.get() < UPSTREAM_COUNT {
            sleep(Duration::from_millis(1)).await;
        }
        let peers: Vec<_> = (0..count).map(|_| (free_address(), free_address())).collect();
        let (mut hosts, mut stores) = (Vec::new(), Vec::new());
        for index in 0..count {
            let store = MemoryStore::new();
            store.put(CONFIGURATION, b"");
            for (upstream, (linked, own)) in addresses.iter().enumerate() {
                let address = if index < linked_count { linked } else { own };
                let value = format!("{upstream} {address}");
                store.put(&format!("{UPSTREAMS}engine-{upstream}"), value.as_bytes());
            }
            for (host, (peer, tunnels)) in peers.iter().enumerate() {
                let zone = zone_of(host, linked_count);
                let record = format!(
                    r#"{{"address":"{peer}","zone":"{zone}","cpu_per_mille":250,"selects_pool_by_id":true,"tunnels":"{tunnels}"}}"#
                );
                store.put(&format!("{}host-{host}", roster::PREFIX), record.as_bytes());
            }
            let text = format!(
                "host-id = host-{index}\nzone = {}\nzones = a,b\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n\
                 peers = {}\ntunnels = {}\nseeds = {},{}\nstore = 127.0.0.1:1\ngrace-s = 8\nretry-window-s = 10\n\
                 retry-ratio = 0.2\nretry-allowance = 50\nkeys-need-proof = false\nconfiguration-ms = 2000\n",
                zone_of(index, linked_count),
                peers[index].0,
                peers[index].1,
                peers[0].0,
                peers[1].0
            );
            let settings = Settings::parse(&text).expect("the settings are valid");
            stores.push(store.clone());
            let ports = Ports {
                store,
                dialect: TestDialect,
                decoding: Decoding {
                    configuration_key: CONFIGURATION,
                    evacuations: None,
                    upstreams_prefix: UPSTREAMS,
                    table: decode_table,
                    entry: decode_entry,
                },
                duties: None::<NoDuties>,
            };
            hosts.push(Host::spawn(&settings, ports).await.expect("the host starts"));
        }
        // All hosts know the upstreams and each other.
        sleep(Duration::from_millis(500)).await;
        let tunnels = peers.iter().map(|it| it.1).collect();
        Fleet { hosts, stores, link, tunnels, runs, sent: Cell::new(0) }
    }

    /// Sends a request to a host. Returns the status of the answer, zero without one.
    async fn send(&self, host: usize, path: &str) -> (String, u16) {
        let number = self.sent.get();
        self.sent.set(number + 1);
        let id = format!("r{number}");
        let address = self.hosts[host].callers;
        let exchange = async {
            let mut stream = TcpStream::connect(address).await.ok()?;
            let head = format!(
                "GET {path} HTTP/1.1\r\nhost: example\r\nx-id: {id}\r\nconnection: close\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.ok()?;
            answer.split(' ').nth(1)?.parse().ok()
        };
        let status = timeout(CALLER_TIMEOUT, exchange).await.ok().flatten().unwrap_or(0);
        (id, status)
    }

    /// Sends requests of both kinds to a host one after the other, and counts those that are served.
    async fn served(&self, host: usize) -> usize {
        let mut served = 0;
        for number in 0..REQUESTS {
            let path = if number % 2 == 0 { ONCE } else { REPEATABLE };
            let (id, status) = self.send(host, path).await;
            served += usize::from(status == 200);
            let runs = self.runs.borrow().get(&id).copied().unwrap_or(0);
            assert!(path != ONCE || runs <= 1, "{id} ran {runs} times");
            assert!(status != 503 || runs == 0, "{id} ran though its refusal says that it did not");
        }
        served
    }
}

/// Cuts the first hosts off and checks how they serve then, and after the cut. With `store_is_dark` the store turns them away
/// too.
async fn serves_while_cut_off(cut: Link, linked_count: usize, store_is_dark: bool) {
    let fleet = Fleet::spawn(linked_count).await;
    assert_eq!(fleet.served(0).await, REQUESTS, "before the cut");
    fleet.link.send_replace(cut);
    for store in fleet.stores.iter().take(linked_count).filter(|_| store_is_dark) {
        store.refuse();
    }
    let start = Instant::now();
    while start.elapsed() < CONTACT_BOUND {
        fleet.send(0, REPEATABLE).await;
    }
    let other = fleet.served(linked_count).await;
    for host in 0..linked_count {
        let served = fleet.served(host).await;
        assert!(
            served * 3 >= other * 2,
            "{cut:?}: host {host}, which is cut off, served {served} of {REQUESTS}, the other {other}"
        );
    }
    fleet.link.send_replace(Link::Whole);
    sleep(CONTACT_BOUND).await;
    assert_eq!(fleet.served(0).await, REQUESTS, "after the cut");
}

#[tokio::test]
async fn a_host_whose_connections_to_upstreams_are_refused_serves_through_others() {
    LocalSet::new().run_until(serves_while_cut_off(Link::Reset, 1, false)).await;
}

#[tokio::test]
async fn a_host_whose_new_connections_are_refused_while_open_ones_live_on_serves_through_others() {
    LocalSet::new().run_until(serves_while_cut_off(Link::Refused, 1, false)).await;
}

#[tokio::test]
async fn a_host_whose_connections_to_upstreams_fall_silent_serves_through_others() {
    LocalSet::new().run_until(serves_while_cut_off(Link::Silent, 1, false)).await;
}

#[tokio::test]
async fn all_hosts_of_a_zone_serve_through_the_only_one_of_another_zone() {
    LocalSet::new().run_until(serves_while_cut_off(Link::Silent, 4, false)).await;
}

#[tokio::test]
async fn a_host_that_reaches_neither_upstreams_nor_the_store_serves_through_others() {
    LocalSet::new().run_until(serves_while_cut_off(Link::Silent, 1, true)).await;
}

#[tokio::test]
async fn a_host_whose_configuration_may_be_out_of_date_does_not_deny_unknown_paths() {
    let run = async {
        let fleet = Fleet::spawn(1).await;
        sleep(CONFIGURATION_BOUND).await;
        assert_eq!(fleet.send(0, UNKNOWN).await.1, 404, "the store proves the configuration");
        fleet.stores.iter().for_each(MemoryStore::refuse);
        sleep(CONFIGURATION_BOUND + Duration::from_millis(100)).await;
        assert_eq!(fleet.send(0, UNKNOWN).await.1, 503, "it may have been added since");
        assert_eq!(fleet.send(0, REPEATABLE).await.1, 200, "known paths are served");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn a_stream_on_a_path_that_falls_silent_goes_on_through_another_host() {
    let run = async {
        for cut in [Link::Silent, Link::Reset] {
            let fleet = Fleet::spawn(1).await;
            let mut stream = TcpStream::connect(fleet.hosts[0].callers).await.expect("it listens");
            let head = format!(
                "GET {STREAM} HTTP/1.1\r\nhost: example\r\nx-id: s\r\nconnection: close\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.expect("the host listens");
            sleep(Duration::from_millis(500)).await;
            fleet.link.send_replace(cut);
            let mut answer = String::new();
            let read = timeout(STREAM_TIMEOUT, stream.read_to_string(&mut answer)).await;
            read.expect("the stream ends in time").expect("the connection ends in order");
            let ids = answer.lines().filter_map(|it| it.strip_prefix("id: ")?.parse().ok());
            let ids: Vec<usize> = ids.collect();
            assert_eq!(ids, (1..=EVENTS).collect::<Vec<_>>(), "{cut:?}");
            assert!(answer.ends_with("0\r\n\r\n"), "{cut:?}: the stream is complete");
        }
    };
    LocalSet::new().run_until(run).await;
}

/// Forwards the tunnels of another host until that host dies, which closes its connections in order.
async fn forward_tunnels(listener: TcpListener, host: SocketAddr, mut dies: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = dies.wait_for(|it| *it) => return,
        };
        let Ok((mut stream, _)) = accepted else { return };
        let mut dies = dies.clone();
        tokio::task::spawn_local(async move {
            let Ok(mut to) = TcpStream::connect(host).await else { return };
            tokio::select! {
                _ = copy_bidirectional(&mut stream, &mut to) => {}
                _ = dies.wait_for(|it| *it) => {}
            }
        });
    }
}

#[tokio::test]
// The end of the forwarding host was taken for the end of the answer, as its upstream lived on.
async fn an_answer_through_a_host_that_dies_is_not_complete() {
    let run = async {
        let fleet = Fleet::spawn(1).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let tunnels = listener.local_addr().expect("the socket is bound");
        let (death, dies) = watch::channel(false);
        tokio::task::spawn_local(forward_tunnels(listener, fleet.tunnels[1], dies));
        let record = format!(
            r#"{{"address":"{}","zone":"a","cpu_per_mille":250,"selects_pool_by_id":true,"tunnels":"{tunnels}"}}"#,
            fleet.tunnels[1]
        );
        fleet.stores[0].put(&format!("{}host-1", roster::PREFIX), record.as_bytes());
        fleet.link.send_replace(Link::Reset);
        let start = Instant::now();
        while start.elapsed() < CONTACT_BOUND {
            fleet.send(0, REPEATABLE).await;
        }
        let mut caller = TcpStream::connect(fleet.hosts[0].callers).await.expect("it listens");
        let head = format!(
            "GET {UNFRAMED} HTTP/1.1\r\nhost: example\r\nx-id: u\r\nconnection: close\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.expect("the host listens");
        sleep(Duration::from_millis(400)).await;
        assert_eq!(fleet.runs.borrow().get("u"), Some(&1), "the request is under way");
        // The host reaches the upstreams by itself again.
        fleet.link.send_replace(Link::Whole);
        sleep(Duration::from_millis(100)).await;
        death.send_replace(true);
        let mut answer = String::new();
        let read = timeout(CALLER_TIMEOUT, caller.read_to_string(&mut answer)).await;
        read.expect("the answer ends in time").expect("the connection ends in order");
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    };
    LocalSet::new().run_until(run).await;
}
