//! Figures of the configuration: compilation at full size, time of a change to the last host, calls to the store.
//!
//! `cargo bench -p almondrack --bench config`

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::{
    io::{self, ErrorKind, Write as _},
    net::SocketAddr,
    time::{Duration, Instant},
};

use almondrack::{
    content::Content,
    credential::Digest,
    peer::{Peers, within},
    platform::Entry,
    wire,
};
use fleet::{Fleet, calls, local};
use rustix::time::{ClockId, clock_gettime};
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::Runtime,
    sync::mpsc,
    time::sleep,
};

const CUSTOMERS: usize = 780;
const MODELS: usize = 39;
const KEYS: usize = 3_000;

/// Time over which idle hosts are observed.
const IDLE: Duration = Duration::from_secs(20);

fn main() {
    report_compilation();
    let runtime = Runtime::new().unwrap();
    for hosts in [2, 4, 8] {
        runtime.block_on(report_fleet(hosts));
    }
    runtime.block_on(report_bytes());
}

/// Prints a line of the report.
fn line(text: String) {
    writeln!(io::stdout().lock(), "{text}").unwrap();
}

fn record(kind: &str, name: &str, rest: &str) -> (String, String) {
    let text = format!(r#"{{"schema":2,"kind":"{kind}","name":"{name}",{rest}}}"#);
    (format!("config/{kind}/{name}"), text)
}

/// A configuration of the largest size that is planned for.
fn full() -> Vec<(String, String)> {
    let mut records = Vec::new();
    for number in 0..CUSTOMERS {
        records.push(record("customer", &format!("c{number:04}"), r#""weight":2"#));
    }
    let class = r#""tier":1,"first_token_ms":610,"token_gap_ms":34,"max_wait_ms":500"#;
    records.push(record("class", "fast", class));
    for number in 0..MODELS {
        let name = format!("m{number:02}");
        let pool = r#""protocol":"engine","slots":8,"max_per_zone":20"#;
        records.push(record("pool", &name, pool));
        let target = format!(r#""target":{{"model":"{name}"}},"pool":"{name}","class":"fast""#);
        records.push(record("route", &name, &target));
    }
    for number in 0..KEYS {
        let name = format!("k{number:05}");
        let digest = Digest::of(&name).to_hex();
        let customer = number % CUSTOMERS;
        let rest = format!(r#""customer":"c{customer:04}","role":"caller","digest":"{digest}""#);
        records.push(record("key", &name, &rest));
    }
    records.sort();
    records
}

fn entries(records: Vec<(String, String)>) -> Vec<Entry> {
    let entry = |(version, (key, text)): (usize, (String, String))| Entry {
        key,
        version: version as u64 + 1,
        value: Some(text),
    };
    records.into_iter().enumerate().map(entry).collect()
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

fn report_compilation() {
    let entries = entries(full());
    let revision = entries.len() as u64;
    let bytes: usize =
        entries.iter().map(|it| it.key.len() + it.value.as_ref().map_or(0, String::len)).sum();
    line(format!("configuration: {revision} records, {bytes} bytes of keys and texts"));
    let mut content = Content::default();
    let started = Instant::now();
    content.apply(wire::Snapshot { after: 0, revision, entries }).unwrap();
    line(format!("first listing read and validated: {:?}", started.elapsed()));
    assert!(content.aside().is_empty());
    let mut applied = Vec::new();
    let mut compiled = Vec::new();
    for change in 0..101 {
        let after = revision + change;
        let (key, text) = record("customer", "c0007", &format!(r#""weight":{}"#, change + 1));
        let entry = Entry { key, version: after + 1, value: Some(text) };
        let update = wire::Snapshot { after, revision: after + 1, entries: vec![entry] };
        let started = Instant::now();
        content.apply(update).unwrap();
        applied.push(started.elapsed());
        let started = Instant::now();
        let snapshot = content.snapshot();
        compiled.push(started.elapsed());
        assert_eq!(snapshot.keys.len(), KEYS);
    }
    line(format!("one change applied and validated: {:?} (median of 101)", median(applied)));
    line(format!("one snapshot compiled: {:?} (median of 101)", median(compiled)));
    let snapshot = content.snapshot();
    let started = Instant::now();
    for number in 0..KEYS {
        assert!(snapshot.authenticate(&format!("k{number:05}"), 0).is_ok());
    }
    line(format!("one key looked up: {:?} (mean of {KEYS})", started.elapsed() / KEYS as u32));
}

/// Processor time of the process.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Two zones: time of changes to the last host, and calls to the store while nothing changes.
async fn report_fleet(hosts: usize) {
    let fleet = Fleet::spawn(hosts, 2).await;
    let mut times = Vec::new();
    for weight in 1..=30 {
        let started = Instant::now();
        let revision = fleet.customer("bakery", weight).await;
        fleet.wait_for(revision).await;
        times.push(started.elapsed());
        sleep(Duration::from_millis(137)).await;
    }
    times.sort_unstable();
    let before = (calls(&fleet.platform, "watch").await, calls(&fleet.platform, "config").await);
    let busy = processor_time();
    sleep(IDLE).await;
    let busy = processor_time() - busy;
    let watch = calls(&fleet.platform, "watch").await - before.0;
    let config = calls(&fleet.platform, "config").await - before.1;
    let per_second = |calls: u64| calls as f64 / IDLE.as_secs_f64();
    line(format!(
        "{hosts} hosts in 2 zones: change to last host median {:?}, longest {:?} of {}; idle store calls \
         per second: watch {:.2}, config {:.2}; processor time of a host with its part of the stand-in {:.3}% of a core",
        times[times.len() / 2],
        times[times.len() - 1],
        times.len(),
        per_second(watch),
        per_second(config),
        100.0 * busy.as_secs_f64() / IDLE.as_secs_f64() / hosts as f64,
    ));
}

/// Questions and answers of a watching host, without the headers of TCP and IP.
async fn report_bytes() {
    let fleet = Fleet::spawn(8, 1).await;
    let revision = fleet.customer("bakery", 1).await;
    fleet.wait_for(revision).await;
    let watching = fleet.hosts.iter().find(|it| it.watcher.status.borrow().watching).unwrap();
    let (counted, mut counts) = mpsc::unbounded_channel();
    let proxy = proxy(watching.member.peer, counted).await;
    let peers = Peers::spawn();
    let mut questions = 0;
    while questions < 200 {
        let client = peers.client(proxy).await.unwrap();
        assert!(client.snapshot(within(IDLE), revision).await.unwrap().is_none());
        questions += 1;
    }
    let mut bytes = 0;
    while let Ok(count) = counts.try_recv() {
        bytes += count;
    }
    line(format!("one question without news and its answer: {} bytes", bytes / questions));
}

async fn proxy(address: SocketAddr, counted: mpsc::UnboundedSender<usize>) -> SocketAddr {
    let listener = TcpListener::bind(local()).await.unwrap();
    let proxy = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (read, write) = stream.into_split();
            let (back, forth) = TcpStream::connect(address).await.unwrap().into_split();
            tokio::spawn(copy(read, forth, counted.clone()));
            tokio::spawn(copy(back, write, counted.clone()));
        }
    });
    proxy
}

async fn copy(from: OwnedReadHalf, to: OwnedWriteHalf, counted: mpsc::UnboundedSender<usize>) {
    let mut buffer = vec![0; 1 << 16];
    while from.readable().await.is_ok() {
        let length = match from.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(length) => length,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(_) => return,
        };
        let _ = counted.send(length);
        let mut sent = 0;
        while sent < length && to.writable().await.is_ok() {
            sent += to.try_write(&buffer[sent..length]).unwrap_or(0);
        }
    }
}
