//! Faulty runners end some of their streams inside an event, with the end of the chunked body.

use std::{
    io,
    process::ExitCode,
    time::{Duration, Instant},
};

use almondrack_review::{
    case::{self, Case, Outcome},
    client::End,
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

/// Share of their streams that end inside an event, in hundredths.
const BROKEN_SHARE: u32 = 2;

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
        record.tell(format!("{FAULTY} runners end {BROKEN_SHARE} of 100 streams inside an event"));
        runners[..FAULTY].iter().for_each(|it| it.behave(Conduct::Breaking(BROKEN_SHARE)));
        sleep(FAULT).await;
        record.tell("all runners are sound again");
        runners[..FAULTY].iter().for_each(|it| it.behave(Conduct::Sound));
    }
    clients.join_all().await;
    if hosts.iter_mut().any(|it| it.has_ended()) {
        return Err(io::Error::other("a host ended by itself"));
    }
    judge(&record, &streams.all(), case.has_trouble)
}

/// Applies the rule: a stream ends as complete before its last piece.
fn judge(record: &Record, streams: &[Stream], has_trouble: bool) -> io::Result<Outcome> {
    let finished = streams.iter().filter(|it| it.events().any(|it| it.0 == EVENTS)).count();
    let is_short = |it: &&Stream| {
        let tries = std::iter::once(&it.first).chain(&it.take_ups);
        tries.map(|it| &it.answer).any(|it| {
            it.status.is_some_and(|it| it.is_success())
                && it.end == End::Complete
                && !it.is_finished()
        })
    };
    let short: Vec<_> = streams.iter().filter(is_short).collect();
    for stream in &short {
        let answer = &stream.first.answer;
        let rest = String::from_utf8_lossy(&answer.body);
        let rest = rest.rsplit_once("\n\n").map_or("", |it| it.1);
        record.add(format!(
            "short {}: ended as complete after event {} of {EVENTS} with the bytes {rest:?}",
            stream.id,
            answer.last_event()
        ));
    }
    record.tell(format!("{finished} of {} streams were finished", streams.len()));
    record.tell(format!("{} streams ended as complete before their last piece", short.len()));
    if finished == 0 || !has_trouble && finished < streams.len() {
        return Err(io::Error::other("streams were not finished"));
    }
    Ok(if short.is_empty() { Outcome::Held } else { Outcome::Broken })
}
