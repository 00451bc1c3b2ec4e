//! Cost of the path through a host: time to the first byte, chunks per second and memory.
//!
//! `cargo build --release --workspace --bins && cargo bench -p almondrack --bench path`
//!
//! A platform, two engines and one host run as separate processes. Each request is also sent to an engine directly in the
//! same run, so that the difference is the host's.

use std::{
    io::{self, Write as _},
    time::{Duration, Instant},
};

use stand_ins::{
    cluster::{Cluster, Options, Process, secret},
    load::{self, Caller, Lengths},
};

/// Length of the run at a fixed rate.
const RATE_RUN: Duration = Duration::from_secs(20);

/// Requests per second of the run at a fixed rate.
const RATE: f64 = 300.0;

/// Streams that are open at once in the run of chunks.
const STREAMS: usize = 2_000;

/// Time over which the streams begin.
const RAMP: Duration = Duration::from_secs(2);

/// Tokens of one stream in the run of chunks.
const STREAM_TOKENS: u32 = 600;

/// Clock ticks per second in the kernel's accounts.
const TICKS_PER_S: f64 = 100.0;

fn main() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run())
}

async fn run() -> eyre::Result<()> {
    first_byte().await?;
    chunks().await
}

fn options(gap_us: &'static str) -> Options {
    let engine = vec!["--gap-us", gap_us, "--prefill-us-per-token", "0"];
    Options {
        hosts: vec!["a"],
        engines: vec![("a", engine.clone()), ("a", engine)],
        services: vec!["a"],
        slots: STREAMS as u32,
        ..Options::default()
    }
}

fn callers() -> Vec<Caller> {
    vec![Caller { key: secret("acme"), model: "m3".to_owned(), weight: 1.0 }]
}

async fn first_byte() -> eyre::Result<()> {
    let cluster = Cluster::spawn(options("2000")).await;
    let summary = load::run(load::Options {
        targets: vec![cluster.host_address(0, 0)],
        direct: cluster.engines.iter().map(|it| it.address).collect(),
        callers: callers(),
        rate: RATE,
        duration: RATE_RUN,
        output: Lengths { median: 20, sigma: 0.0, max: 20 },
        ..load::Options::new()
    })
    .await?;
    let mut out = io::stdout();
    writeln!(out, "{RATE} requests/s for {} s, time to the first byte in ms", RATE_RUN.as_secs())?;
    writeln!(out, "{summary}").map_err(eyre::Report::from)
}

async fn chunks() -> eyre::Result<()> {
    let cluster = Cluster::spawn(options("26000")).await;
    let host = &cluster.hosts[0];
    let running = load::run(load::Options {
        targets: vec![cluster.host_address(0, 0)],
        callers: callers(),
        rate: STREAMS as f64 / RAMP.as_secs_f64(),
        duration: RAMP,
        output: Lengths { median: STREAM_TOKENS, sigma: 0.0, max: STREAM_TOKENS },
        ..load::Options::new()
    });
    let measuring = measure(host);
    let (summary, measured) = tokio::join!(running, measuring);
    let mut out = io::stdout();
    writeln!(out, "{STREAMS} streams of {STREAM_TOKENS} tokens, one each 26 ms")?;
    writeln!(out, "{}", summary?)?;
    writeln!(
        out,
        "host: {:.2} cores, {} kB resident while all streams run",
        measured.0, measured.1
    )?;
    Ok(())
}

/// Processor time in cores and memory in kilobytes of a host between the ramp and the end of the first streams.
async fn measure(host: &Process) -> (f64, u64) {
    tokio::time::sleep(RAMP + Duration::from_secs(2)).await;
    let (from, ticks) = (Instant::now(), host.processor_ticks());
    tokio::time::sleep(Duration::from_secs(8)).await;
    let used = (host.processor_ticks() - ticks) as f64 / TICKS_PER_S;
    (used / from.elapsed().as_secs_f64(), host.resident_kb())
}
