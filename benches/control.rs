//! Control traffic, processor time, memory and take-over time of the membership against the number of hosts.
//!
//! `cargo bench --bench control` runs hosts over loopback connections in one process, each on its own thread and runtime.
//! `cargo bench --bench control -- ZONESxHOSTS …` measures only the given fleets.
//! Bytes are those of the encoded messages, plus the envelope of the peer service as measured on one connection, plus
//! the headers of Ethernet, IP and TCP for each segment and one acknowledgement for each answer. Sent and received bytes
//! are added.

use std::{
    fmt::Write as _,
    fs,
    io::{Write as _, stdout},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use almondrack::{
    gossip::{self, Counters, Directory},
    member::{Member, Membership, Presence, State},
    peer::{self, Mailboxes, MemberCall, Peers},
    platform::{self, Client},
    time::{Time, wall_ms},
    wire::Gossip,
};
use stand_ins::platform::Options;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    sync::{mpsc, oneshot, watch},
};

/// Headers of one segment: Ethernet 14, IP 20, TCP 32 bytes.
const HEADER_BYTES: f64 = 66.0;

/// Segments of one exchange: request, answer, acknowledgement of the answer.
const SEGMENTS: f64 = 3.0;

/// Time for which a fleet is measured.
const MEASURED: Duration = Duration::from_secs(20);

/// Budget of a host for all control traffic, in bytes per second.
const BUDGET_BYTES: f64 = 23_000.0;

/// Hosts that are killed and frozen in each fleet whose take-over is timed.
const VICTIMS: usize = 6;

/// Time for which a host is frozen.
const FREEZE: Duration = Duration::from_secs(6);

enum Order {
    Freeze(Duration),
    Kill,
}

struct Host {
    id: String,
    directory: Directory,
    orders: mpsc::UnboundedSender<Order>,
}

fn say(text: &str) {
    let _ = writeln!(stdout(), "{text}");
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

fn member(index: usize, zones: usize, address: SocketAddr) -> Member {
    Member {
        id: format!("host-{index:03}"),
        region: format!("region-{}", index % zones % 2),
        zone: format!("zone-{}", index % zones),
        peer: address,
        admin: address,
        incarnation: wall_ms(),
        version: 0,
        state: State::Alive,
    }
}

fn mailboxes(members: mpsc::Sender<MemberCall>) -> Mailboxes {
    Mailboxes { members, ..peer::mailboxes(1).0 }
}

/// Starts a host on its own thread.
fn start(own: Member, listener: std::net::TcpListener, platform: SocketAddr) -> Host {
    let (orders, mut inbox) = mpsc::unbounded_channel();
    let (started, directory) = oneshot::channel();
    let id = own.id.clone();
    thread::spawn(move || {
        let runtime = runtime();
        runtime.block_on(async move {
            let (members, inbound) = mpsc::channel(256);
            listener.set_nonblocking(true).expect("a listener");
            let listener = TcpListener::from_std(listener).expect("a listener");
            tokio::spawn(peer::serve(listener, mailboxes(members)));
            let (_revision, revision) = watch::channel(1);
            let (_quarantine, quarantine) = mpsc::channel(1);
            let (quarantined, _taken) = mpsc::channel(16);
            let platform = Client::open(platform, &own.id);
            let peers = Peers::spawn();
            let directory = gossip::spawn(gossip::Options {
                own,
                seeds: Vec::new(),
                platform,
                peers,
                inbound,
                revision,
                quarantine,
                quarantined,
            });
            let _ = started.send(directory);
            loop {
                match inbox.recv().await {
                    Some(Order::Freeze(time)) => thread::sleep(time),
                    Some(Order::Kill) | None => return,
                }
            }
        });
        runtime.shutdown_background();
    });
    let directory = directory.blocking_recv().expect("a host");
    Host { id, directory, orders }
}

struct Fleet {
    hosts: Vec<Host>,
    zones: usize,
    _platform: stand_ins::server::Server,
    _runtime: Runtime,
}

impl Fleet {
    fn start(zones: usize, per_zone: usize) -> Fleet {
        let count = zones * per_zone;
        let bind = || std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let listeners: Vec<_> = (0..count).map(|_| bind()).collect();
        let address = |it: &std::net::TcpListener| it.local_addr().expect("an address");
        let members: Vec<Member> =
            (0..count).map(|it| member(it, zones, address(&listeners[it]))).collect();
        let listed = |it: &Member| platform::Host {
            id: it.id.clone(),
            region: it.region.clone(),
            zone: it.zone.clone(),
            peer: it.peer,
            admin: it.admin,
            leaving: false,
        };
        let runtime =
            Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime");
        let server = runtime.block_on(async {
            let options = Options::new(SocketAddr::from(([127, 0, 0, 1], 0)));
            let hosts = members.iter().map(listed).collect();
            stand_ins::platform::spawn(Options { hosts, ..options }).expect("a platform")
        });
        let mut hosts = Vec::new();
        for (own, listener) in members.into_iter().zip(listeners) {
            hosts.push(start(own, listener, server.address()));
        }
        Fleet { hosts, zones, _platform: server, _runtime: runtime }
    }

    /// Waits until all hosts see all; returns the time.
    fn settle(&self) -> Duration {
        let start = Instant::now();
        let whole = |it: &Host| {
            let all = it.directory.view.borrow().members.len() == self.hosts.len();
            all && *it.directory.presence.borrow() == Presence::Joined
        };
        while !self.hosts.iter().all(whole) && start.elapsed() < Duration::from_secs(90) {
            thread::sleep(Duration::from_millis(20));
        }
        start.elapsed()
    }

    fn counters(&self) -> Vec<Counters> {
        self.hosts.iter().map(|it| *it.directory.counters.borrow()).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in &self.hosts {
            let _ = host.orders.send(Order::Kill);
        }
        thread::sleep(Duration::from_millis(500));
    }
}

struct Row {
    zones: usize,
    per_zone: usize,
    bytes: f64,
    worst_bytes: f64,
    messages: f64,
    cpu_us: f64,
    memory_kb: f64,
}

fn measure(zones: usize, per_zone: usize, envelope: f64) -> Row {
    let memory = resident_kb();
    let fleet = Fleet::start(zones, per_zone);
    let settled = fleet.settle();
    thread::sleep(Duration::from_secs(8));
    let (before, cpu, start) = (fleet.counters(), cpu_us(), Instant::now());
    thread::sleep(MEASURED);
    let (after, cpu, time) = (fleet.counters(), cpu_us() - cpu, start.elapsed().as_secs_f64());
    let hosts = (zones * per_zone) as f64;
    let rates: Vec<(f64, f64)> =
        before.iter().zip(&after).map(|(a, b)| rate(a, b, envelope, time)).collect();
    let bytes = rates.iter().map(|it| it.0).sum::<f64>() / hosts;
    let worst_bytes = rates.iter().map(|it| it.0).fold(0.0, f64::max);
    let messages = rates.iter().map(|it| it.1).sum::<f64>() / hosts;
    let memory_kb = (resident_kb() - memory) / hosts;
    let listed: u64 = after.iter().zip(&before).map(|(a, b)| a.listed - b.listed).sum();
    let failed: u64 = after.iter().zip(&before).map(|(a, b)| a.failed - b.failed).sum();
    let cpu_us = cpu / hosts / time;
    say(&format!(
        "{zones:>5} {per_zone:>8} {bytes:>12.0} {worst_bytes:>12.0} {messages:>12.1} {cpu_us:>11.0} {memory_kb:>10.0} {:>9.1} {:>9.2} {failed:>7}",
        settled.as_secs_f64(),
        listed as f64 / time,
    ));
    Row { zones, per_zone, bytes, worst_bytes, messages, cpu_us, memory_kb }
}

/// Bytes and messages per second of one host.
fn rate(before: &Counters, after: &Counters, envelope: f64, time: f64) -> (f64, f64) {
    let messages = (after.sent - before.sent + after.received - before.received) as f64;
    let encoded = (after.sent_bytes - before.sent_bytes + after.received_bytes
        - before.received_bytes) as f64;
    let exchanges = messages / 2.0;
    let overhead = exchanges * (envelope + SEGMENTS * HEADER_BYTES);
    ((encoded + overhead) / time, messages / time)
}

/// Bytes of the peer service's envelope in one exchange, request and answer, as counted on one connection.
fn envelope() -> f64 {
    let runtime =
        Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let count = Arc::new(AtomicU64::new(0));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let target = listener.local_addr().expect("an address");
        let (members, mut inbound) = mpsc::channel(1);
        tokio::spawn(peer::serve(listener, mailboxes(members)));
        let message = |address| Gossip {
            from: member(0, 1, address),
            revision: 1,
            changes: Vec::new(),
            quarantine: Vec::new(),
            full: false,
        };
        tokio::spawn(async move {
            while let Some(MemberCall::Gossip(_, answer)) = inbound.recv().await {
                let _ = answer.send(message(target));
            }
        });
        let proxy = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = proxy.local_addr().expect("an address");
        let counted = count.clone();
        tokio::spawn(async move {
            let (near, _) = proxy.accept().await.expect("a connection");
            let far = TcpStream::connect(target).await.expect("a connection");
            let ((from_near, to_near), (from_far, to_far)) = (near.into_split(), far.into_split());
            tokio::spawn(pass(from_near, to_far, counted.clone()));
            tokio::spawn(pass(from_far, to_near, counted));
        });
        let client = Peers::spawn().client(address).await.expect("a client");
        let context = || peer::within(Duration::from_secs(5));
        let _ = client.gossip(context(), message(target)).await;
        let before = count.load(Ordering::Relaxed);
        for _ in 0..100 {
            let _ = client.gossip(context(), message(target)).await;
        }
        let bytes = (count.load(Ordering::Relaxed) - before) as f64 / 100.0;
        bytes - 2.0 * message(target).encoded_len() as f64
    })
}

async fn pass(
    mut from: impl tokio::io::AsyncRead + Unpin,
    mut to: impl tokio::io::AsyncWrite + Unpin,
    count: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 65_536];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        count.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Times from the loss of a host to its absence from the view of each other host of its zone, in milliseconds.
fn take_over(zones: usize, per_zone: usize, freeze: bool) -> Vec<f64> {
    let fleet = Fleet::start(zones, per_zone);
    fleet.settle();
    thread::sleep(Duration::from_secs(2));
    let mut times = Vec::new();
    let victims = VICTIMS.min(per_zone / 2);
    for victim in 0..victims {
        let lost = &fleet.hosts[victim * fleet.zones];
        let order = if freeze { Order::Freeze(FREEZE) } else { Order::Kill };
        let _ = lost.orders.send(order);
        let start = Instant::now();
        let mut waiting: Vec<&Host> = fleet
            .hosts
            .iter()
            .step_by(fleet.zones)
            .filter(|it| it.id != lost.id)
            // Hosts that were killed before do not watch.
            .skip(if freeze { 0 } else { victim })
            .collect();
        while !waiting.is_empty() && start.elapsed() < FREEZE {
            thread::sleep(Duration::from_millis(5));
            let now = start.elapsed().as_secs_f64() * 1_000.0;
            waiting.retain(|it| {
                let gone = it.directory.view.borrow().get(&lost.id).is_none();
                times.extend(gone.then_some(now));
                !gone
            });
        }
        times.extend(waiting.iter().map(|_| f64::INFINITY));
        thread::sleep(FREEZE.saturating_sub(start.elapsed()) + Duration::from_secs(3));
    }
    times.sort_unstable_by(f64::total_cmp);
    times
}

/// Every host calls every other once a second; for comparison.
fn all_to_all(count: usize) -> f64 {
    let mut orders = Vec::new();
    let bind = || std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listeners: Vec<_> = (0..count).map(|_| bind()).collect();
    let addresses: Vec<SocketAddr> =
        listeners.iter().map(|it| it.local_addr().expect("an address")).collect();
    for (index, listener) in listeners.into_iter().enumerate() {
        let (stop, stopped) = oneshot::channel::<()>();
        orders.push(stop);
        let addresses = addresses.clone();
        thread::spawn(move || {
            let runtime = runtime();
            runtime.block_on(heartbeats(index, listener, addresses, stopped));
            runtime.shutdown_background();
        });
    }
    thread::sleep(Duration::from_secs(4));
    let (cpu, start) = (cpu_us(), Instant::now());
    thread::sleep(MEASURED);
    (cpu_us() - cpu) / count as f64 / start.elapsed().as_secs_f64()
}

async fn heartbeats(
    index: usize,
    listener: std::net::TcpListener,
    addresses: Vec<SocketAddr>,
    mut stopped: oneshot::Receiver<()>,
) {
    listener.set_nonblocking(true).expect("a listener");
    let listener = TcpListener::from_std(listener).expect("a listener");
    let (members, mut inbound) = mpsc::channel(256);
    tokio::spawn(peer::serve(listener, mailboxes(members)));
    let message = Gossip {
        from: member(index, 1, addresses[index]),
        revision: 1,
        changes: Vec::new(),
        quarantine: Vec::new(),
        full: false,
    };
    let answer = message.clone();
    tokio::spawn(async move {
        while let Some(MemberCall::Gossip(_, sender)) = inbound.recv().await {
            let _ = sender.send(answer.clone());
        }
    });
    let peers = Peers::spawn();
    let period = Duration::from_millis(1_000) / addresses.len() as u32;
    let mut ticks = tokio::time::interval(period);
    let mut next = index;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = &mut stopped => return,
        }
        next = (next + 1) % addresses.len();
        let (peers, to, message) = (peers.clone(), addresses[next], message.clone());
        tokio::spawn(async move {
            if let Ok(client) = peers.client(to).await {
                let _ = client.gossip(peer::within(Duration::from_secs(1)), message).await;
            }
        });
    }
}

/// Memory of one core that knows of a number of hosts, in kilobytes.
fn core_kb(hosts: usize) -> f64 {
    const CORES: usize = 100;
    let address = SocketAddr::from(([10, 0, 0, 1], 7_000));
    let known: Vec<Member> = (0..hosts).map(|it| member(it, 6, address)).collect();
    let before = resident_kb();
    let mut cores = Vec::new();
    for _ in 0..CORES {
        let mut core = Membership::new(Time::now(), known[0].clone(), &[], 1);
        let message = Gossip {
            from: known[1].clone(),
            revision: 1,
            changes: known.clone(),
            quarantine: Vec::new(),
            full: true,
        };
        let event = almondrack::member::Event::Received(1, message);
        core.handle(Time::now(), event, &mut Vec::new());
        cores.push(core);
    }
    (resident_kb() - before) / CORES as f64
}

/// Processor time of this process, in microseconds.
fn cpu_us() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks =
        |place: usize| fields.get(place).and_then(|it| it.parse::<f64>().ok()).unwrap_or(0.0);
    // User and system time in hundredths of a second.
    (ticks(11) + ticks(12)) * 10_000.0
}

/// Resident memory of this process, in kilobytes.
fn resident_kb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap_or_default();
    line.split_whitespace().next().and_then(|it| it.parse().ok()).unwrap_or(0.0)
}

/// Least-squares line through points: offset and slope.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let (x, y) = points.iter().fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    let (x, y) = (x / count, y / count);
    let over: f64 = points.iter().map(|it| (it.0 - x) * (it.1 - y)).sum();
    let under: f64 = points.iter().map(|it| (it.0 - x).powi(2)).sum();
    let slope = if under > 0.0 { over / under } else { 0.0 };
    (y - slope * x, slope)
}

fn report_fits(rows: &[Row]) {
    report_fit("bytes/s", rows, |it| it.bytes);
    report_fit("messages/s", rows, |it| it.messages);
    report_fit("cpu us/s", rows, |it| it.cpu_us);
    report_fit("memory kB", rows, |it| it.memory_kb);
}

fn report_fit(name: &str, rows: &[Row], value: impl Fn(&Row) -> f64) {
    let mut line = format!("{name:<11}");
    for zones in [1, 6] {
        let of_zones = rows.iter().filter(|it| it.zones == zones);
        let points: Vec<(f64, f64)> = of_zones.map(|it| (it.per_zone as f64, value(it))).collect();
        if points.len() < 2 {
            continue;
        }
        let (offset, slope) = fit(&points);
        let at_65 = offset + slope * 65.0;
        let _ = write!(
            line,
            "  zones {zones}: {offset:.1} + {slope:.2} per host of the zone, {at_65:.0} at 65;"
        );
    }
    say(&line);
}

fn report_take_over(zones: usize, per_zone: usize) {
    for (name, freeze) in [("killed", false), ("frozen", true)] {
        let times = take_over(zones, per_zone, freeze);
        let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
        say(&format!(
            "{zones} x {per_zone:<3} {name}: {} views, median {:.0} ms, 99 in 100 {:.0} ms, longest {:.0} ms",
            times.len(),
            at(0.5),
            at(0.99),
            at(1.0)
        ));
    }
}

fn main() {
    let chosen: Vec<(usize, usize)> = std::env::args()
        .filter_map(|it| {
            let (zones, hosts) = it.split_once('x')?;
            Some((zones.parse().ok()?, hosts.parse().ok()?))
        })
        .collect();
    let all = [(1, 8), (1, 16), (1, 33), (1, 65), (2, 33), (6, 4), (6, 8), (6, 16), (6, 33)];
    let fleets = if chosen.is_empty() { all.to_vec() } else { chosen.clone() };
    let envelope = envelope();
    let heartbeat = member(0, 1, SocketAddr::from(([127, 0, 0, 1], 40_000)));
    let empty = Gossip {
        from: heartbeat,
        revision: 1,
        changes: Vec::new(),
        quarantine: Vec::new(),
        full: false,
    };
    let exchange = 2.0 * empty.encoded_len() as f64 + envelope + SEGMENTS * HEADER_BYTES;
    say(&format!(
        "envelope of an exchange: {envelope:.0} bytes; smallest exchange with headers: {exchange:.0} bytes"
    ));
    say(&format!("core that knows of 390 hosts: {:.0} kB", core_kb(390)));
    say(
        "zones hosts/zone  bytes/s/host  worst bytes   messages/s  cpu us/s    mem kB  settled s   lists/s  failed",
    );
    let rows: Vec<Row> = fleets.iter().map(|it| measure(it.0, it.1, envelope)).collect();
    report_fits(&rows);
    for row in rows.iter().filter(|it| it.worst_bytes > BUDGET_BYTES) {
        say(&format!("over the budget: {} x {}", row.zones, row.per_zone));
    }
    if chosen.is_empty() {
        for size in [8, 33, 65] {
            let bytes = 2.0 * (size - 1) as f64 * exchange;
            let cpu = all_to_all(size);
            say(&format!(
                "all to all once a second, {size} hosts: {bytes:.0} bytes/s and {cpu:.0} cpu us/s per host"
            ));
        }
        for size in [3, 8, 33, 65] {
            report_take_over(1, size);
        }
    }
}
