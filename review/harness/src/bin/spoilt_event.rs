//! Faulty runners spoil the id of one event in some of their streams. The host goes on with these at other runners, after
//! events that it never passed on.

use std::{
    io,
    process::ExitCode,
    time::{Duration, Instant},
};

use almondrack_review::{
    case::{self, Case, Outcome},
    operator,
    record::Record,
    runner::{Conduct, EVENTS, Runner, Runs},
    streams::{Client, Stream, Streams},
};
use tokio::{sync::watch, task::JoinSet, time::sleep};

const ZONES: [&str; 3] = ["ub-north", "ub-east", "ub-south"];
const SERVICE: &str = "almond-fleet";
const RUNNERS: usize = 4;
const CLIENTS: usize = 400;

/// Time before the fault.
const CALM: Duration = Duration::from_secs(5);

/// Runners that have the fault.
const FAULTY: usize = 2;

/// Time for which they have it.
const FAULT: Duration = Duration::from_millis(5_500);

/// Time for which clients go on after that.
const REST: Duration = Duration::from_secs(3);

/// Share of their streams in which an event is spoilt, in hundredths.
const SPOILT_SHARE: u32 = 3;

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
    runners.iter().for_each(|it| it.behave(Conduct::Grouping));
    let routes = [operator::stream_route("advice", &[(SERVICE, 1)])];
    case.store.put("op/config", &operator::configuration(7, &routes, &[SERVICE], &["first"])).await;
    let mut hosts = case.start_hosts(3, &ZONES).await?;
    let addresses: Vec<_> = hosts.iter().map(|it| Some(it.frontend)).collect();
    let (_rotation, seen) = watch::channel(addresses);
    let streams = Streams::default();
    let until = Instant::now() + CALM + FAULT + REST;
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
        record.tell(format!("{FAULTY} runners spoil an event in {SPOILT_SHARE} of 100 streams"));
        runners[..FAULTY].iter().for_each(|it| it.behave(Conduct::Spoiling(SPOILT_SHARE)));
        sleep(FAULT).await;
        record.tell("all runners are sound again");
        runners[..FAULTY].iter().for_each(|it| it.behave(Conduct::Grouping));
    }
    clients.join_all().await;
    if hosts.iter_mut().any(|it| it.has_ended()) {
        return Err(io::Error::other("a host ended by itself"));
    }
    judge(&record, &streams.all(), case.has_trouble)
}

/// Applies the rule: in a stream a piece is missing or comes twice.
fn judge(record: &Record, streams: &[Stream], has_trouble: bool) -> io::Result<Outcome> {
    let finished = streams.iter().filter(|it| it.events().any(|it| it.0 == EVENTS)).count();
    let mut torn = 0;
    for stream in streams {
        let ids: Vec<_> = stream.events().map(|it| it.0).collect();
        let is_whole = ids.windows(2).all(|it| it[0] + 1 == it[1]);
        if !is_whole {
            torn += 1;
            let end = stream.first.answer.end;
            record.add(format!(
                "torn {}: the answer ended as {end:?} with the events {ids:?}",
                stream.id
            ));
        }
    }
    record.tell(format!("{finished} of {} streams were finished", streams.len()));
    record.tell(format!("in {torn} streams a piece is missing or comes twice"));
    if finished == 0 || !has_trouble && finished < streams.len() {
        return Err(io::Error::other("streams were not finished"));
    }
    Ok(if torn == 0 { Outcome::Held } else { Outcome::Broken })
}
