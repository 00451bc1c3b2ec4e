//! A part of a prompt crashes each runner that begins an answer on it, at a service with little other traffic.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use almondrack_soak::{
    caller::{self, Call, Kind},
    operator::{ENGINES, ORDERS, Operator},
    tainted::DEADLY_PART,
    upstream::{Shared, Upstream},
};
use review_cases_2::{CONTACT, Fleet, Record, Result, SETTLE, has_trouble, main_with};
use tokio::{
    sync::{Mutex, watch},
    task::JoinSet,
    time::sleep,
};

const HOSTS: usize = 3;
const RUNNERS: usize = 10;
const LENGTH: Duration = Duration::from_secs(60);
/// Time between two sound requests.
const SOUND: Duration = Duration::from_millis(2_000);
/// Time between two requests with the part.
const TAINTED: Duration = Duration::from_millis(500);
/// Requests with the part that may reach runners later than `ContactMs` after the fifth crash.
const ALLOWED: usize = 3;

fn main() {
    main_with(Duration::from_secs(90), play)
}

async fn play(record: Record) -> eyre::Result<Result> {
    let mut fleet = Fleet::start(HOSTS)?;
    let is_deadly = watch::Sender::new(false);
    let shared = Shared::open(is_deadly.subscribe());
    let mut keepers = JoinSet::new();
    for index in 0..RUNNERS + 2 {
        let pool = if index < RUNNERS { ENGINES } else { ORDERS };
        let zone = ["north", "south"][index % 2];
        let upstream = Upstream::spawn((pool, zone, index), fleet.store.writer(), shared.clone());
        let upstream = Arc::new(Mutex::new(upstream.await?));
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
    let begin = Instant::now();
    is_deadly.send_replace(has_trouble());
    let mut sends = JoinSet::new();
    for (name, document, pause) in [("50d0", "d0c0", SOUND), ("dead", DEADLY_PART, TAINTED)] {
        let (hosts, record) = (fleet.callers(), record.clone());
        sends.spawn(async move {
            let mut open = JoinSet::new();
            for number in 0_usize.. {
                if begin.elapsed() >= LENGTH {
                    break;
                }
                let id = format!("{name}{number:08x}");
                let prompt = Some(caller::prompt("first", document, &id));
                let (kind, customer) = (Kind::Resumed, "first");
                let call =
                    Call { id: id.clone(), kind, customer, prompt, body: b"{}", takes_up: None };
                let index = number % hosts.len();
                let (host, record) = (hosts[index], record.clone());
                open.spawn(async move {
                    let sent = Instant::now();
                    record.add_at(sent, format!("request {id} is sent to edge-{index}"));
                    let end = caller::send(host, &call).await;
                    let time = sent.elapsed().as_millis();
                    record.add(format!("request {id} ends after {time} ms: {end:?}"));
                });
                sleep(pause).await;
            }
            open.join_all().await;
        });
    }
    sends.join_all().await;
    for run in shared.runs.ask(|it| it.clone()).await? {
        record.add(format!("in all: runner {} began request {}", run.upstream, run.id));
    }
    for host in &mut fleet.hosts {
        eyre::ensure!(!host.has_ended(), "{} has ended", host.name);
    }
    let mut crashes = shared.crashes.ask(|it| it.clone()).await?;
    crashes.sort_by_key(|it| it.at);
    let Some(fifth) = crashes.get(4).map(|it| it.at) else {
        record.add(format!("{} crashes", crashes.len()));
        return Ok(Result::Held);
    };
    let late = crashes.iter().filter(|it| it.at > fifth + CONTACT).count();
    record.add(format!(
        "{late} requests with the part reached runners later than {} ms after the fifth crash; allowed {ALLOWED}; {} \
         crashes in all",
        CONTACT.as_millis(),
        crashes.len()
    ));
    Ok(if late > ALLOWED { Result::Broken } else { Result::Held })
}
