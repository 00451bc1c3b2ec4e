//! A key is taken away; later the store is away for a moment and comes back from a copy that still holds the key. Processes
//! that were killed meanwhile start again.

use std::{
    env, io,
    process::ExitCode,
    time::{Duration, Instant},
};

use almondrack_review::{
    case::{self, Case, Outcome},
    client::{self, Attempt},
    operator,
    record::Record,
    runner::{Runner, Runs},
};
use almondrack_soak::store;
use tokio::{
    task::JoinSet,
    time::{sleep, sleep_until},
};

const ZONES: [&str; 3] = ["ub-north", "ub-east", "ub-south"];
const SERVICE: &str = "laundry-orders";
const RUNNERS: usize = 3;

/// Time before the key is taken away.
const CALM: Duration = Duration::from_secs(9);

/// `RevokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);

/// Time from the acknowledgement to the beginning of the store's absence.
const LEAD: Duration = Duration::from_millis(4_500);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(1_000);

/// Time from the beginning of the absence to the kill.
const KILL_AFTER: Duration = Duration::from_millis(400);

/// Time after which the platform starts a killed process again.
const RESTART: Duration = Duration::from_millis(500);

/// Age of the copy from which the store comes back.
const AGE: Duration = Duration::from_millis(6_500);

/// Time from the return of the store until the operator writes the newest configuration again.
const REWRITE: Duration = Duration::from_millis(1_000);

/// Time for which clients go on after that.
const REST: Duration = Duration::from_secs(4);

/// Interval between two requests of a client.
const PAUSE: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    case::run(run)
}

async fn run(record: Record) -> io::Result<Outcome> {
    let case = Case::open(record.clone())?;
    let runs = Runs::default();
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        let id = format!("i-{index}");
        let place = (id.as_str(), SERVICE, ZONES[index % ZONES.len()]);
        let shared = (runs.clone(), record.clone());
        runners.push(Runner::spawn(place, "v1", case.store.writer(), shared)?);
    }
    let routes = [operator::plain_route("plain", "idempotent", SERVICE)];
    let before = operator::configuration(7, &routes, &[SERVICE], &["first", "second"]);
    let after = operator::configuration(9, &routes, &[SERVICE], &["first"]);
    case.store.put("op/config", &before).await;
    let mut hosts = case.start_hosts(3, &ZONES).await?;
    let until = Instant::now() + CALM + LEAD + AWAY + REWRITE + REST;
    let mut clients = JoinSet::new();
    for host in &hosts {
        for tenant in ["first", "second"] {
            clients.spawn(send_until(host.frontend, tenant, until, record.clone()));
        }
    }
    sleep(CALM).await;
    case.store.put("op/config", &after).await;
    let acknowledged = Instant::now();
    record.tell("the store has acknowledged version 9, which takes the key of second away");
    // KILLED says how many of the three hosts are killed.
    let killed = env::var("KILLED").ok().and_then(|it| it.parse().ok()).unwrap_or(3);
    if case.has_trouble {
        sleep_until((acknowledged + LEAD).into()).await;
        record.tell("the store is away");
        case.store.behave(store::Conduct { down: true, ..case::usual_conduct() });
        sleep(KILL_AFTER).await;
        for host in &mut hosts[..killed] {
            record.tell(format!("SIGKILL to {}", host.name));
            host.kill();
        }
        sleep(RESTART).await;
        for host in &mut hosts[..killed] {
            host.start()?;
        }
        sleep_until((acknowledged + LEAD + AWAY).into()).await;
        case.store.restore(AGE).await;
        case.store.behave(case::usual_conduct());
        record.tell("the store is back from a copy that is 6.5 s old");
        sleep(REWRITE).await;
        case.store.put("op/config", &after).await;
        record.tell("the operator has written version 9 again");
    }
    let mut sent = Vec::new();
    for of_client in clients.join_all().await {
        sent.extend(of_client);
    }
    if hosts.iter_mut().any(|it| it.has_ended()) {
        return Err(io::Error::other("a host ended by itself"));
    }
    judge(&record, &runs, &sent, acknowledged)
}

/// An attempt: its id, its tenant, when it was sent and whether it succeeded.
type Sent = (String, &'static str, Instant, bool);

async fn send_until(
    host: std::net::SocketAddr,
    tenant: &'static str,
    until: Instant,
    record: Record,
) -> Vec<Sent> {
    let mut out = Vec::new();
    while Instant::now() < until {
        let attempt = Attempt {
            id: client::new_id(),
            path: "/plain/status".to_owned(),
            prompt: String::new(),
            tenant,
            takes_up: None,
            deadline: Duration::from_millis(2_000),
        };
        let answer = client::send(host, &attempt, &record).await;
        let is_success = answer.status.is_some_and(|it| it.is_success());
        out.push((attempt.id, tenant, answer.sent, is_success));
        sleep(PAUSE).await;
    }
    out
}

/// Applies the rule: a request sent later than `RevokeMs` after the acknowledgement of a configuration that took its key
/// away runs.
fn judge(
    record: &Record,
    runs: &Runs,
    sent: &[Sent],
    acknowledged: Instant,
) -> io::Result<Outcome> {
    let runs = runs.all();
    let has_run = |id: &str| runs.iter().any(|it| it.id == id);
    let late: Vec<_> = sent
        .iter()
        .filter(|it| it.1 == "second" && it.2 > acknowledged + REVOKE && has_run(&it.0))
        .collect();
    for (id, _, at, is_success) in &late {
        let after = at.duration_since(acknowledged).as_secs_f64();
        let end = if *is_success { "got a success" } else { "got no success" };
        record.add(format!(
            "late: {id} was sent {after:.3} s after the acknowledgement, ran and {end}"
        ));
    }
    let served = |tenant: &str| sent.iter().filter(|it| it.1 == tenant && it.3).count();
    record.tell(format!(
        "{} of first and {} of second succeeded",
        served("first"),
        served("second")
    ));
    record.tell(format!(
        "{} requests ran with the key later than RevokeMs after it was taken away",
        late.len()
    ));
    if served("first") == 0 || served("second") == 0 {
        return Err(io::Error::other("nothing was served"));
    }
    Ok(if late.is_empty() { Outcome::Held } else { Outcome::Broken })
}
