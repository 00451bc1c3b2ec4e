//! A host among callers that keep to no limits: many at once that send without end, or stop short of the end and stay.

use std::{
    io::Write as _,
    sync::Arc,
    time::{Duration, Instant},
};

use stand_ins::cluster::{Cluster, Options, secret};
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Bound of the host's peak memory in kilobytes: 0.8 of the users' smallest hosts of 88 MB.
const MEMORY_BOUND_KB: u64 = 88_000 * 8 / 10 * 1_000 / 1_024;

/// Connections of the crowd.
const CROWD: usize = 100;

/// Bytes that each connection sends: a legal body, or part of what has no end.
const BYTES: usize = 1 << 20;

/// Bytes that are written at once.
const PIECE_BYTES: usize = 16 << 10;

/// Time in which the crowd presses.
const PRESS: Duration = Duration::from_secs(8);

/// Time after which a host that answers no ordinary request hangs.
const HANG: Duration = Duration::from_secs(60);

/// The tests run one after the other.
static ALONE: Mutex<()> = Mutex::const_new(());

fn head(fields: &str) -> String {
    let key = secret("acme");
    format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n{fields}")
}

/// Lets a crowd send the bytes and stay, and checks the host's memory and an ordinary request.
async fn press(name: &str, bytes: Vec<u8>) {
    let _alone = ALONE.lock().await;
    let options = Options { hosts: vec!["a"], ..Options::default() };
    let cluster = Cluster::spawn(options).await;
    let calm = cluster.hosts[0].peak_kb();
    let bytes = Arc::<[u8]>::from(bytes);
    let mut crowd = JoinSet::new();
    for _ in 0..CROWD {
        let (bytes, address) = (bytes.clone(), cluster.host_address(0, 0));
        crowd.spawn(async move {
            let Ok(mut stream) = TcpStream::connect(address).await else { return };
            for piece in bytes.chunks(PIECE_BYTES) {
                // A connection that the host has closed takes no more.
                if stream.write_all(piece).await.is_err() {
                    return;
                }
            }
            std::future::pending::<()>().await;
        });
    }
    sleep(PRESS).await;
    let mut is_served = false;
    let begin = Instant::now();
    while begin.elapsed() < HANG && !is_served {
        let answer = timeout(HANG, cluster.plain(0, "acme", "ordinary")).await;
        is_served = matches!(answer, Ok(Ok(answer)) if answer.status == 200);
        sleep(Duration::from_millis(50)).await;
    }
    let memory = cluster.hosts[0].peak_kb();
    writeln!(
        std::io::stdout(),
        "{name}: {calm} kB in calm, {memory} kB at the peak; the ordinary request served: {is_served}"
    )
    .expect("the test's output can be written");
    assert!(0 < memory && memory < MEMORY_BOUND_KB, "the host took {memory} kB");
    assert!(is_served, "no ordinary request is served");
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_of_the_own_interface() {
    let bytes = format!("{}long: {}", head(""), "x".repeat(BYTES));
    press("heads", bytes.into_bytes()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_the_own_interface_that_stop_short() {
    let head = head(&format!("content-length: {BYTES}\r\n\r\n"));
    press("bodies", format!("{head}{}", "x".repeat(BYTES - 1)).into_bytes()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_of_the_own_interface_that_stop_short() {
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    let bytes =
        format!("{}{}", head("transfer-encoding: chunked\r\n\r\n"), chunk.repeat(BYTES >> 14));
    press("chunks", bytes.into_bytes()).await;
}
