//! Streams of a route that is split between two services are taken up after the host that forwarded them was killed.

use std::{
    env, io,
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
use tokio::{sync::watch, task::JoinSet, time::sleep};

const ZONES: [&str; 3] = ["ub-north", "ub-east", "ub-south"];
const SERVICES: [&str; 2] = ["almond-fleet", "almond-next"];
const RUNNERS: usize = 3;
const CLIENTS: usize = 72;

/// Time from the first streams to the kill; longer than twice the timeout of the route.
const CALM: Duration = Duration::from_secs(24);

/// Time after which the platform starts a killed process again.
const RESTART: Duration = Duration::from_millis(500);

/// Time for which clients go on after the kill.
const REST: Duration = Duration::from_secs(8);

/// Take-ups from which on their share counts.
const MIN_TAKE_UPS: usize = 12;

fn main() -> ExitCode {
    case::run(run)
}

async fn run(record: Record) -> io::Result<Outcome> {
    let case = Case::open(record.clone())?;
    let runs = Runs::default();
    let mut runners = Vec::new();
    for (at, service) in SERVICES.into_iter().enumerate() {
        for index in 0..RUNNERS {
            let id = format!("i-{at}{index}");
            let place = (id.as_str(), service, ZONES[index % ZONES.len()]);
            let shared = (runs.clone(), record.clone());
            runners.push(Runner::spawn(place, "v1", case.store.writer(), shared)?);
        }
    }
    // SPLIT=0 sends the whole route to one service, for comparison.
    let is_split = env::var("SPLIT").map_or(true, |it| it != "0");
    let split = [(SERVICES[0], 50), (SERVICES[1], 50)];
    let services = if is_split { &split[..] } else { &split[..1] };
    let routes = [operator::stream_route("advice", services)];
    case.store.put("op/config", &operator::configuration(7, &routes, &SERVICES, &["first"])).await;
    let mut hosts = case.start_hosts(3, &ZONES).await?;
    let addresses: Vec<_> = hosts.iter().map(|it| Some(it.frontend)).collect();
    let (rotation, seen) = watch::channel(addresses);
    let streams = Streams::default();
    let until = Instant::now() + CALM + REST;
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
        record.tell(format!("SIGKILL to {}", hosts[0].name));
        hosts[0].kill();
        // The platform takes the host out of rotation and starts its process again.
        rotation.send_modify(|it| it[0] = None);
        sleep(RESTART).await;
        hosts[0].start()?;
        record.tell(format!("{} is started again", hosts[0].name));
    }
    clients.join_all().await;
    if hosts.iter_mut().any(|it| it.has_ended()) {
        return Err(io::Error::other("a host ended by itself"));
    }
    judge(&record, &streams.all(), case.has_trouble)
}

/// Applies the rule: of 12 or more streams that clients take up at machines in touch, the share that goes on is under half
/// of the share of new streams that begin. The host that was killed is not in touch.
fn judge(record: &Record, streams: &[Stream], has_trouble: bool) -> io::Result<Outcome> {
    let is_in_touch = |host: usize| !has_trouble || host != 0;
    let new: Vec<_> = streams.iter().filter(|it| is_in_touch(it.first.host)).collect();
    let begun = new.iter().filter(|it| !it.first.answer.events.is_empty()).count();
    let taken_up: Vec<_> =
        streams.iter().filter(|it| it.take_ups.iter().any(|it| is_in_touch(it.host))).collect();
    let gone_on = taken_up
        .iter()
        .filter(|it| it.take_ups.iter().any(|it| !it.answer.events.is_empty()))
        .count();
    record.tell(format!("{begun} of {} new streams began", new.len()));
    record.tell(format!("{gone_on} of {} streams that were taken up went on", taken_up.len()));
    if new.is_empty() || has_trouble && taken_up.len() < MIN_TAKE_UPS {
        return Err(io::Error::other("too few streams"));
    }
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let is_broken = taken_up.len() >= MIN_TAKE_UPS
        && share(gone_on, taken_up.len()) < 0.5 * share(begun, new.len());
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}
