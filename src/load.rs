//! Task that polls the load reports of upstreams.

use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt as _, stream};
use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use tokio::{
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};

use crate::{
    body,
    dispatch::Load,
    time::{Span, Time},
    upstream::{Client, Reuse},
};

/// Interval at which each upstream is polled.
const INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a read, and of its connection attempt.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Maximum number of concurrent reads.
const CONCURRENCY: usize = 32;

/// Capacity of the channel of reports.
const QUEUE_CAPACITY: usize = 1_024;

#[derive(Debug, Deserialize)]
struct Report {
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    kv_used: u64,
    #[serde(default)]
    age_ms: u64,
}

/// Spawns the task, which ends when the returned receiver is dropped.
///
/// Upstreams are pairs of id and address. Each report comes with the id of its upstream; failed reads are skipped.
pub fn spawn(upstreams: watch::Receiver<Vec<(String, String)>>) -> mpsc::Receiver<(String, Load)> {
    let (reports, receiver) = mpsc::channel(QUEUE_CAPACITY);
    tokio::spawn(run(upstreams, reports));
    receiver
}

async fn run(
    mut upstreams: watch::Receiver<Vec<(String, String)>>,
    reports: mpsc::Sender<(String, Load)>,
) {
    let client = Client::open(TIMEOUT);
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
    while !reports.is_closed() {
        tokio::select! {
            _ = interval.tick() => {}
            Ok(()) = upstreams.changed() => {}
        }
        let targets = upstreams.borrow_and_update().clone();
        let reads = stream::iter(targets).map(|(id, address)| {
            let client = client.clone();
            async move {
                let load = tokio::time::timeout(TIMEOUT, read(&client, &address)).await;
                Some((id, load.ok()??))
            }
        });
        let mut reads = reads.buffer_unordered(CONCURRENCY);
        while let Some(report) = reads.next().await {
            let Some(report) = report else { continue };
            if reports.send(report).await.is_err() {
                return;
            }
        }
    }
}

async fn read(client: &Client, address: &str) -> Option<Load> {
    // The age is counted from the request, not from the answer, so that the report never looks newer than it is.
    let sent = Time::now();
    let request = Request::get(format!("http://{address}/load")).body(Full::<Bytes>::default());
    let answer = client.send(request.ok()?, Reuse::Allowed).await.ok()?;
    let body = body::read(answer.into_body(), MAX_REPORT_BYTES).await.ok()?;
    let report: Report = serde_json::from_slice(&body).ok()?;
    Some(Load {
        running: report.running,
        waiting: report.waiting,
        kv_used: report.kv_used,
        at: sent - Span::from_ms(report.age_ms),
    })
}
