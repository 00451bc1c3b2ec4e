//! Configurations with many routes come in quick succession, and the platform ends processes that exceed their memory.

use std::{
    fs,
    time::{Duration, Instant},
};

use almondrack_soak::{
    caller::{self, Call, Kind},
    operator::{ENGINES, HOST, ORDERS, key},
    upstream::{Shared, Upstream},
};
use review_cases_2::{Fleet, Record, Result, SETTLE, has_trouble, main_with};
use serde_json::{Value, json};
use tokio::{sync::watch, task::JoinSet, time::sleep};

const HOSTS: usize = 3;
/// Routes that the configuration has grown by.
const ROUTES: usize = 1_400;
/// Time between two configurations of a storm, their number, and the time between two storms.
const GAP: Duration = Duration::from_millis(80);
const STORM: usize = 25;
const PAUSE: Duration = Duration::from_millis(1_000);
const LENGTH: Duration = Duration::from_secs(100);
/// `MemoryMb` of the settings, in kB.
const MEMORY_KB: u64 = 88_000;
/// Time after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);
/// Ends of the processes of a machine in the day that are too many, on this number of machines.
const ENDS: usize = 3;
const MACHINES: usize = 2;

fn main() {
    main_with(Duration::from_secs(112), play)
}

fn route(name: &str, kind: &str, prefix: &str, service: &str) -> Value {
    json!({
        "Name": name, "Host": HOST, "PathPrefix": prefix, "RouteKind": kind, "TimeoutMs": 4000,
        "TargetLatencyMs": 500, "TargetGapMs": 1000, "Priority": 1, "MaxAttempts": 2,
        "TrafficSplit": [{ "Service": service, "Weight": 1.0 }], "Public": false,
        "Resumable": false, "Sticky": false,
    })
}

fn configuration(version: u64) -> Value {
    let mut routes = vec![
        route("order", "non_idempotent", "/order/", ORDERS),
        route("read", "idempotent", "/read/", ORDERS),
    ];
    routes.extend((0..ROUTES).map(|it| {
        let name = format!("grown-{it:05}");
        route(&name, "idempotent", &format!("/{name}/"), ORDERS)
    }));
    json!({
        "Version": version,
        "Routes": routes,
        "Services": [{ "Name": ENGINES }, { "Name": ORDERS }],
        "Limits": { "MaxHeaderBytes": 16_384, "MaxBodyBytes": 65_536 },
        "Tenants": [{ "Name": "first", "ApiKeys": [key("first")] }],
    })
}

fn resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    line.and_then(|it| it.trim().strip_suffix(" kB")?.trim().parse().ok()).unwrap_or(0)
}

async fn play(record: Record) -> eyre::Result<Result> {
    let mut fleet = Fleet::start(HOSTS)?;
    let shared = Shared::open(watch::channel(false).1);
    let mut runners = Vec::new();
    for index in 0..4 {
        let zone = ["north", "south"][index % 2];
        let place = (ORDERS, zone, index);
        runners.push(Upstream::spawn(place, fleet.store.writer(), shared.clone()).await?);
    }
    let writer = fleet.store.writer();
    let size = configuration(1).to_string().len();
    record.add(format!("a configuration has {size} bytes"));
    writer.put("op/config", &configuration(1)).await;
    sleep(SETTLE).await;
    let begin = Instant::now();
    let mut tasks = JoinSet::new();
    let operator = record.clone();
    tasks.spawn(async move {
        let mut version = 1;
        while has_trouble() && begin.elapsed() < LENGTH {
            for _ in 0..STORM {
                version += 2;
                writer.put("op/config", &configuration(version)).await;
                sleep(GAP).await;
            }
            operator.add(format!("configuration {version} was written, {} in all", version / 2));
            sleep(PAUSE).await;
        }
    });
    let (hosts, sends) = (fleet.callers(), record.clone());
    tasks.spawn(async move {
        for number in 0_usize.. {
            if begin.elapsed() >= LENGTH {
                break;
            }
            let id = format!("ca{number:010x}");
            let index = number % hosts.len();
            let (kind, customer) = (Kind::Read, "first");
            let call = Call { id, kind, customer, prompt: None, body: b"{}", takes_up: None };
            let end = caller::send(hosts[index], &call).await;
            sends.add(format!("request {} at edge-{index}: {end:?}", call.id));
            sleep(Duration::from_millis(100)).await;
        }
    });
    let mut ends = [0; HOSTS];
    let mut noted = Instant::now();
    while begin.elapsed() < LENGTH {
        sleep(Duration::from_millis(50)).await;
        let is_note = noted.elapsed() >= Duration::from_secs(2);
        if is_note {
            noted = Instant::now();
        }
        for (index, host) in fleet.hosts.iter_mut().enumerate() {
            let used = resident_kb(host.id());
            if is_note {
                record.add(format!("{} holds {used} kB", host.name));
            }
            if used > MEMORY_KB || host.has_ended() {
                ends[index] += 1;
                record.add(format!("{} holds {used} kB and is ended by the platform", host.name));
                host.kill();
                sleep(RESTART).await;
                host.start()?;
            }
        }
    }
    tasks.join_all().await;
    record.add(format!("processes ended {ends:?} times"));
    let machines = ends.iter().filter(|it| **it >= ENDS).count();
    Ok(if machines >= MACHINES { Result::Broken } else { Result::Held })
}
