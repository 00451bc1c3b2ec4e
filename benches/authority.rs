//! Calls to the platform per second by cause, from leases, upstream control and usage, against the number of hosts of a
//! zone; and the time from the loss of a lease's holder to the next one's first permission to order.

use std::{
    io::Write as _,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};

use almondrack::{
    config::Snapshot,
    controller, lease,
    ledger::Served,
    member::{Member, State, View},
    peer::{self, Mailboxes, Peers},
    platform::Client,
    reporter, scale,
    time::Span,
    usage, window,
};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use hyper_util::{client::legacy::Client as Http, rt::TokioExecutor};
use serde_json::Value;
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

const HOSTS: [usize; 3] = [2, 4, 8];
const WARM_UP: Duration = Duration::from_secs(20);
const MEASURED: Duration = Duration::from_secs(40);
const TERMS: lease::Timing = lease::Timing::new(Span::from_ms(6_000));

fn member(id: &str, peer: SocketAddr) -> Member {
    Member {
        id: id.to_owned(),
        region: "r".to_owned(),
        zone: "z".to_owned(),
        peer,
        admin: peer,
        incarnation: 1,
        version: 0,
        state: State::Alive,
    }
}

fn spawn(platform: SocketAddr, host: &str, listener: TcpListener, view: Arc<View>) -> Running {
    let (usage_calls, inbound) = mpsc::channel(64);
    let mailboxes = Mailboxes { usage: usage_calls, ..peer::mailboxes(1).0 };
    listener.set_nonblocking(true).expect("non-blocking");
    let listener = tokio::net::TcpListener::from_std(listener).expect("listener");
    tokio::spawn(peer::serve(listener, mailboxes));
    let client = Client::open(platform, host);
    let usage = usage::spawn(usage::Options {
        client: client.clone(),
        peers: Peers::spawn(),
        view: watch::channel(view.clone()).1,
        inbound,
        zone: "z".to_owned(),
        host: host.to_owned(),
        incarnation: 1,
        cut: Duration::from_secs(10),
        merge: Duration::from_secs(10),
    });
    let reporter = reporter::spawn(reporter::Options {
        client: client.clone(),
        host: host.to_owned(),
        incarnation: 1,
        terms: TERMS,
        windows: window::Terms { window_ms: 20_000, retained: 10_000 },
        grace_ms: 5_000,
        interval: Duration::from_secs(1),
        view: watch::channel(view.clone()).1,
    });
    let controller = controller::spawn(controller::Options {
        client,
        zone: "z".to_owned(),
        host: host.to_owned(),
        incarnation: 1,
        timing: TERMS,
        interval: Duration::from_secs(1),
        settings: scale::Settings::default(),
        config: watch::channel(Arc::new(Snapshot::build(1, []))).1,
        view: watch::channel(view).1,
    });
    Running { usage, _reporter: reporter, _controller: controller }
}

/// Handles that keep the tasks of a host running.
struct Running {
    usage: usage::Usage,
    _reporter: reporter::Reporter,
    _controller: controller::Controller,
}

async fn calls(platform: SocketAddr) -> Vec<(String, u64)> {
    let http = Http::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::get(format!("http://{platform}/test/calls"));
    let request = request.body(Full::default()).expect("request");
    let body = http.request(request).await.expect("answer").into_body();
    let bytes = body.collect().await.expect("body").to_bytes();
    let counts: Value = serde_json::from_slice(&bytes).expect("counts");
    let causes = counts["by_cause"].as_object().expect("causes").iter();
    causes.map(|(cause, count)| (cause.clone(), count.as_u64().unwrap_or(0))).collect()
}

async fn measure(count: usize) -> String {
    let options = stand_ins::platform::Options::new(([127, 0, 0, 1], 0).into());
    let platform = stand_ins::platform::spawn(options).expect("platform");
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("listener");
    let listeners: Vec<_> = (0..count).map(bind).collect();
    let named = listeners
        .iter()
        .enumerate()
        .map(|(index, it)| member(&format!("h{index}"), it.local_addr().expect("address")));
    let view = Arc::new(View { members: named.collect() });
    let mut running = Vec::new();
    for (index, listener) in listeners.into_iter().enumerate() {
        let host = format!("h{index}");
        running.push(spawn(platform.address(), &host, listener, view.clone()));
    }
    let senders: Vec<_> = running.iter().map(|it| it.usage.served.clone()).collect();
    tokio::spawn(async move {
        loop {
            for served in &senders {
                let sent = served.send(Served {
                    customer: "tuul".to_owned(),
                    route: "chat".to_owned(),
                    model: "m".to_owned(),
                    prompt_tokens: 5,
                    generated_tokens: 9,
                    cut: false,
                });
                if sent.await.is_err() {
                    return;
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
    });
    sleep(WARM_UP).await;
    let before = calls(platform.address()).await;
    sleep(MEASURED).await;
    let after = calls(platform.address()).await;
    let rates = after.iter().map(|(cause, count)| {
        let earlier = before.iter().find(|it| it.0 == *cause).map_or(0, |it| it.1);
        format!("{cause} {:.2}", (count - earlier) as f64 / MEASURED.as_secs_f64())
    });
    format!("{count} hosts: {} calls/s", rates.collect::<Vec<_>>().join(", "))
}

fn candidate(platform: SocketAddr, host: &str) -> (lease::Lease, watch::Sender<bool>) {
    let (standing, stands) = watch::channel(true);
    let lease = lease::spawn(lease::Options {
        client: Client::open(platform, host),
        name: "zone-z".to_owned(),
        host: host.to_owned(),
        incarnation: 1,
        timing: TERMS,
        candidate: stands,
    });
    (lease, standing)
}

async fn certain(lease: &lease::Lease) -> Instant {
    while lease.permit().is_none() {
        sleep(Duration::from_millis(5)).await;
    }
    Instant::now()
}

/// Seconds from the cut of the holder to the next holder's first permission, after some time in office.
async fn take_over(delay: Duration) -> f64 {
    let options = stand_ins::platform::Options::new(([127, 0, 0, 1], 0).into());
    let platform = stand_ins::platform::spawn(options).expect("platform");
    let (first, _first) = candidate(platform.address(), "a");
    certain(&first).await;
    let (second, _second) = candidate(platform.address(), "b");
    sleep(delay).await;
    let http = Http::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::post(format!("http://{}/test/faults", platform.address()));
    let body = Full::from(r#"{"down_for_hosts":["a"]}"#);
    http.request(request.body(body).expect("request")).await.expect("answer");
    let cut = Instant::now();
    (certain(&second).await - cut).as_secs_f64()
}

fn main() {
    // `cargo bench` passes this; runs of all targets as tests do not.
    if !std::env::args().any(|it| it == "--bench") {
        return;
    }
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let lines = runtime.block_on(async {
        let all = HOSTS.map(measure);
        futures::future::join_all(all).await
    });
    let delays = (0..10).map(|it| take_over(Duration::from_millis(3_000 + 300 * it)));
    let mut times = runtime.block_on(futures::future::join_all(delays));
    times.sort_by(f64::total_cmp);
    let _ = writeln!(
        std::io::stdout(),
        "{}\ntake-over of 10: {:.1} s to {:.1} s, time to live {} s",
        lines.join("\n"),
        times[0],
        times[9],
        TERMS.ttl.as_ms() / 1_000
    );
}
