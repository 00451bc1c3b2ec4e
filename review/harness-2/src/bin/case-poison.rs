//! A request crashes each runner that begins to run it, at a service with little other traffic, and comes again.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use almondrack_soak::{
    caller::{self, Call, Kind},
    operator::{ENGINES, ORDERS, Operator},
    tainted::DEADLY_BODY,
    upstream::{Shared, Upstream},
};
use review_cases_2::{CONTACT, Fleet, Record, Result, SETTLE, has_trouble, main_with};
use tokio::{
    sync::{Mutex, watch},
    task::JoinSet,
    time::sleep,
};

const HOSTS: usize = 3;
const RUNNERS: usize = 6;
const LENGTH: Duration = Duration::from_secs(60);
/// Time between two tries of the request that crashes runners.
const AGAIN: Duration = Duration::from_millis(1_000);
/// Time between two other requests to the service.
const OTHERS: Duration = Duration::from_millis(2_000);
/// Time between two streams at the engines.
const STREAMS: Duration = Duration::from_millis(250);
/// Retries that may reach runners later than `ContactMs` after the third crash.
const ALLOWED: usize = 3;

fn main() {
    main_with(Duration::from_secs(100), play)
}

async fn play(record: Record) -> eyre::Result<Result> {
    let mut fleet = Fleet::start(HOSTS)?;
    let is_deadly = watch::Sender::new(false);
    let shared = Shared::open(is_deadly.subscribe());
    let mut keepers = JoinSet::new();
    for index in 0..2 * RUNNERS {
        let pool = if index < RUNNERS { ENGINES } else { ORDERS };
        let zone = ["north", "south"][index % 2];
        let upstream =
            Upstream::spawn((pool, zone, index), fleet.store.writer(), shared.clone()).await?;
        let upstream = Arc::new(Mutex::new(upstream));
        let record = record.clone();
        keepers.spawn(async move {
            loop {
                sleep(Duration::from_millis(20)).await;
                let mut upstream = upstream.lock().await;
                if upstream.has_crashed() {
                    record.add(format!("runner {index} crashed"));
                    upstream.crash().await;
                    upstream.begin_life();
                    record.add(format!("runner {index} is back"));
                }
            }
        });
    }
    let _operator = Operator::open(fleet.store.writer()).await;
    sleep(SETTLE).await;
    is_deadly.send_replace(has_trouble());
    let begin = Instant::now();
    let mut sends = JoinSet::new();
    for (name, kind, body, pause) in [
        ("dead", Kind::Order, DEADLY_BODY, AGAIN),
        ("0de0", Kind::Order, &b"{}"[..], OTHERS),
        ("57e0", Kind::Resumed, &b"{}"[..], STREAMS),
    ] {
        let (hosts, record) = (fleet.callers(), record.clone());
        sends.spawn(async move {
            let mut open = JoinSet::new();
            for number in 0_usize.. {
                if begin.elapsed() >= LENGTH {
                    break;
                }
                let id = format!("{name}{number:08x}");
                let prompt = kind.is_stream().then(|| caller::prompt("first", "d0c0", &id));
                let call =
                    Call { id: id.clone(), kind, customer: "first", prompt, body, takes_up: None };
                let index = number % hosts.len();
                let (host, record) = (hosts[index], record.clone());
                open.spawn(async move {
                    let sent = Instant::now();
                    record.add_at(sent, format!("request {id} ({kind:?}) is sent to edge-{index}"));
                    let end = caller::send(host, &call).await;
                    record.add(format!(
                        "request {id} ends after {} ms: {end:?}",
                        sent.elapsed().as_millis()
                    ));
                });
                sleep(pause).await;
            }
            open.join_all().await;
        });
    }
    sends.join_all().await;
    for run in shared.runs.ask(|it| it.clone()).await? {
        if !run.id.starts_with("57e0") {
            record.add(format!("in all: runner {} ran request {}", run.upstream, run.id));
        }
    }
    let mut crashes = shared.crashes.ask(|it| it.clone()).await?;
    crashes.sort_by_key(|it| it.at);
    for crash in &crashes {
        record.add_at(crash.at, format!("request {} reached a runner and crashes it", crash.id));
    }
    for host in &mut fleet.hosts {
        eyre::ensure!(!host.has_ended(), "{} has ended", host.name);
    }
    let Some(third) = crashes.get(2).map(|it| it.at) else {
        record.add(format!("{} crashes", crashes.len()));
        return Ok(Result::Held);
    };
    let late: Vec<_> =
        crashes.iter().filter(|it| it.at > third + CONTACT).map(|it| it.id.clone()).collect();
    record.add(format!(
        "{} retries reached runners later than {} ms after the third crash; allowed {ALLOWED}; {} crashes in all",
        late.len(), CONTACT.as_millis(), crashes.len()
    ));
    Ok(if late.len() > ALLOWED { Result::Broken } else { Result::Held })
}
