//! Runners are released in place: each starts again under its id and address with another version of its software. A
//! stream that began at the new version goes on at the old one after the runner has gone down once more.

use std::{
    io,
    process::ExitCode,
    time::{Duration, Instant},
};

use almondrack_review::{
    case::{self, Case, Outcome},
    operator,
    record::Record,
    runner::{Runner, Runs},
    streams::{Client, Stream, Streams},
};
use almondrack_soak::store;
use tokio::{sync::watch, task::JoinSet, time::sleep};

const ZONES: [&str; 3] = ["ub-north", "ub-east", "ub-south"];
const SERVICE: &str = "almond-fleet";
const PLAIN_SERVICE: &str = "laundry-orders";
const PLAIN_RUNNERS: usize = 3;
const RUNNERS: usize = 6;
const CLIENTS: usize = 150;

/// Time before the release.
const CALM: Duration = Duration::from_secs(10);

/// Time for which the store is down.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Time from the beginning of the outage to the end of the runner.
const LEAD: Duration = Duration::from_millis(300);

/// Time for which the runner is down.
const DOWN: Duration = Duration::from_millis(1_200);

/// Time from the return of the runner to its next end.
const UP: Duration = Duration::from_millis(2_500);

/// Time after the return of the store in which the runner registers itself.
const REGISTRATION: Duration = Duration::from_millis(500);

/// Time for which clients go on after the outage.
const REST: Duration = Duration::from_secs(6);

/// Streams with events of two versions that the rule allows.
const MAX_JOINED: usize = 2;

fn main() -> ExitCode {
    case::run(run)
}

async fn run(record: Record) -> io::Result<Outcome> {
    let case = Case::open(record.clone())?;
    let runs = Runs::default();
    let mut runners = Vec::new();
    for index in 0..RUNNERS + PLAIN_RUNNERS {
        let id = format!("i-{index}");
        let service = if index < RUNNERS { SERVICE } else { PLAIN_SERVICE };
        let place = (id.as_str(), service, ZONES[index % ZONES.len()]);
        let shared = (runs.clone(), record.clone());
        runners.push(Runner::spawn(place, "v1", case.store.writer(), shared)?);
    }
    let routes = [operator::stream_route("advice", &[(SERVICE, 1)])];
    let services = [SERVICE, PLAIN_SERVICE];
    case.store.put("op/config", &operator::configuration(7, &routes, &services, &["first"])).await;
    let mut hosts = case.start_hosts(3, &ZONES).await?;
    let addresses: Vec<_> = hosts.iter().map(|it| Some(it.frontend)).collect();
    let (_rotation, seen) = watch::channel(addresses);
    let streams = Streams::default();
    let until = Instant::now() + CALM + OUTAGE + REST;
    let mut clients = JoinSet::new();
    for index in 0..CLIENTS {
        let client = Client {
            index,
            rotation: seen.clone(),
            path: "/advice/note".to_owned(),
            tenant: "first",
            streams: streams.clone(),
            record: record.clone(),
            pause: Duration::from_millis(400),
        };
        clients.spawn(client.run(until));
    }
    sleep(CALM).await;
    if case.has_trouble {
        let (begin, runner) = (Instant::now(), &mut runners[0]);
        record.tell("the store is down");
        case.store.behave(store::Conduct { down: true, ..case::usual_conduct() });
        sleep(LEAD).await;
        record.tell(format!("{} goes down", runner.id));
        runner.crash();
        sleep(DOWN).await;
        // It cannot register itself before the store is back.
        let until_registered = OUTAGE.saturating_sub(begin.elapsed()) + REGISTRATION;
        record.tell(format!("{} is back with version v2", runner.id));
        runner.begin("v2", until_registered);
        sleep(UP).await;
        record.tell(format!("{} goes down again", runner.id));
        runner.crash();
        sleep(OUTAGE.saturating_sub(begin.elapsed())).await;
        record.tell("the store is back");
        case.store.behave(case::usual_conduct());
        sleep(DOWN).await;
        runner.begin("v2", Duration::ZERO);
    }
    clients.join_all().await;
    if hosts.iter_mut().any(|it| it.has_ended()) {
        return Err(io::Error::other("a host ended by itself"));
    }
    judge(&record, &streams.all())
}

/// Applies the rule: more than two streams hold events from runners of two software versions of one service, in one answer
/// or over a client's tries.
fn judge(record: &Record, streams: &[Stream]) -> io::Result<Outcome> {
    let joined: Vec<_> = streams.iter().filter(|it| it.words(2).len() > 1).collect();
    for stream in &joined {
        let events: Vec<_> = stream.events().map(|it| format!("{} {}", it.0, it.1)).collect();
        record.add(format!("joined {}: {}", stream.id, events.join("; ")));
    }
    let finished = streams.iter().filter(|it| it.events().any(|it| it.0 == 30)).count();
    record.tell(format!("{finished} of {} streams were finished", streams.len()));
    record.tell(format!("{} streams hold events of two versions", joined.len()));
    if finished == 0 {
        return Err(io::Error::other("no stream was finished"));
    }
    Ok(if joined.len() > MAX_JOINED { Outcome::Broken } else { Outcome::Held })
}
