//! The runners of a service say that they are brittle, and many callers come at once.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex as Lock},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use almondrack_soak::{
    caller::{self, Call, Kind},
    operator::{ORDERS, Operator},
    upstream::whole_body,
};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use review_cases_2::{CONTACT, Fleet, Record, Result, SETTLE, has_trouble, main_with};
use serde_json::json;
use stand_ins::server::{self, Body, Cut, Door};
use tokio::{sync::watch, task::JoinSet, time::sleep};

const HOSTS: usize = 3;
const RUNNERS: usize = 3;
const SLOTS: usize = 2;
/// Requests that wait beside those that run, as a rule and from `ContactMs` after the first word of being brittle.
const QUEUE: usize = 4;
const SHORT_QUEUE: usize = 1;
const WORK: Duration = Duration::from_millis(60);
/// `Server-Brittle`: requests that a runner may turn away in a second for want of room.
const BRITTLE: usize = 10;
/// Time after which a runner that fell over is back.
const DOWN: Duration = Duration::from_secs(3);
/// Requests a second as a rule; the runners do 100.
const USUAL: f64 = 60.0;
const BURST: f64 = 2.2;
const BURST_FROM: Duration = Duration::from_secs(8);
const BURST_FOR: Duration = Duration::from_secs(9);
const LENGTH: Duration = Duration::from_secs(24);

fn main() {
    main_with(Duration::from_secs(60), play)
}

#[derive(Debug, Default)]
struct State {
    held: usize,
    rejected: VecDeque<Instant>,
    said_at: Option<Instant>,
    falls: Vec<Instant>,
    ran: usize,
}

async fn answer(
    (index, instance): (usize, Arc<str>),
    state: Arc<Lock<State>>,
    slots: Arc<tokio::sync::Semaphore>,
    door: watch::Sender<bool>,
    record: Record,
    request: Request<Incoming>,
) -> std::result::Result<Response<Body>, Cut> {
    let (head, body) = request.into_parts();
    server::read(body).await?;
    let id = server::header(&head.headers, "almondrack-attempt-id");
    let refuse = |status| {
        let mut response = server::raw(status, "");
        response.headers_mut().insert("almondrack-not-executed", HeaderValue::from_static("1"));
        response
    };
    let mut response = if server::header(&head.headers, "almondrack-expect-instance") != *instance {
        refuse(StatusCode::MISDIRECTED_REQUEST)
    } else {
        let now = Instant::now();
        let (has_room, falls) = {
            let mut state = state.lock().unwrap();
            if has_trouble() {
                state.said_at.get_or_insert(now);
            }
            let is_short = state.said_at.is_some_and(|it| now > it + CONTACT);
            let room = SLOTS + if is_short { SHORT_QUEUE } else { QUEUE };
            let has_room = state.held < room;
            if has_room {
                state.held += 1;
            } else {
                state.rejected.push_back(now);
                while state.rejected.front().is_some_and(|it| now - *it > Duration::from_secs(1)) {
                    state.rejected.pop_front();
                }
            }
            let falls = has_trouble() && is_short && state.rejected.len() > BRITTLE;
            if falls {
                state.falls.push(now);
                state.rejected.clear();
            }
            (has_room, falls)
        };
        if falls {
            record.add(format!("runner {index} has turned away more than {BRITTLE} requests in a second and falls over"));
            door.send_replace(false);
            return Err(Cut);
        }
        if has_room {
            // Ends with the request, also if its connection closes.
            struct Place(Arc<Lock<State>>);
            impl Drop for Place {
                fn drop(&mut self) {
                    self.0.lock().unwrap().held -= 1;
                }
            }
            let _place = Place(state.clone());
            let _slot = slots.acquire().await;
            state.lock().unwrap().ran += 1;
            sleep(WORK).await;
            record.add(format!("runner {index} ran request {id}"));
            server::raw(StatusCode::OK, whole_body(&id))
        } else {
            record.add(format!("runner {index} turns request {id} away"));
            refuse(StatusCode::SERVICE_UNAVAILABLE)
        }
    };
    let headers = response.headers_mut();
    for (name, value) in
        [("almondrack-response-signature", format!("signed-{id}")), ("almondrack-attempt-id", id)]
    {
        headers.insert(name, HeaderValue::from_str(&value).map_err(|_| Cut)?);
    }
    if has_trouble() {
        headers.insert("server-brittle", HeaderValue::from(BRITTLE));
    }
    Ok(response)
}

async fn play(record: Record) -> eyre::Result<Result> {
    let mut fleet = Fleet::start(HOSTS)?;
    let mut states = Vec::new();
    let mut servers = Vec::new();
    for index in 0..RUNNERS {
        let state = Arc::new(Lock::new(State::default()));
        states.push(state.clone());
        let (door, open) = watch::channel(true);
        let id = format!("i-{index}");
        let instance: Arc<str> = id.as_str().into();
        let slots = Arc::new(tokio::sync::Semaphore::new(SLOTS));
        let (own, own_record) = (door.clone(), record.clone());
        let handler = move |request| {
            answer(
                (index, instance.clone()),
                state.clone(),
                slots.clone(),
                own.clone(),
                own_record.clone(),
                request,
            )
        };
        let server = server::spawn(
            Door { listen: ([127, 0, 0, 1], 0).into(), open, recorder: None },
            handler,
        )?;
        let (writer, address) = (fleet.store.writer(), server.address());
        let record = record.clone();
        tokio::spawn(async move {
            let unix = || {
                SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
            };
            let (mut born, mut sequence, mut down_since) = (unix(), 0_u64, None);
            loop {
                if !*door.borrow() {
                    let since = *down_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= DOWN {
                        (born, sequence, down_since) = (unix(), 0, None);
                        door.send_replace(true);
                        record.add(format!("runner {index} is back"));
                    }
                } else {
                    sequence += 1;
                    let zone = if index % 2 == 0 { "north" } else { "south" };
                    let entry = json!({
                        "Service": ORDERS, "Address": address, "Zone": zone,
                        "Version": "v1", "Slots": SLOTS, "State": "ready", "ColdRemainingMs": 0,
                        "Sequence": sequence, "born": born,
                    });
                    writer.put(&format!("servers/{id}"), &entry).await;
                }
                sleep(Duration::from_millis(500)).await;
            }
        });
        servers.push(server);
    }
    let _operator = Operator::open(fleet.store.writer()).await;
    sleep(SETTLE).await;
    let (begin, hosts) = (Instant::now(), fleet.callers());
    let mut sends = JoinSet::new();
    let mut next = Duration::ZERO;
    let mut number = 0_usize;
    while next < LENGTH {
        sleep(next.saturating_sub(begin.elapsed())).await;
        let is_burst = BURST_FROM <= next && next < BURST_FROM + BURST_FOR;
        next += Duration::from_secs_f64(1.0 / (USUAL * if is_burst { BURST } else { 1.0 }));
        let kind = if number.is_multiple_of(2) { Kind::Order } else { Kind::Read };
        let id = format!("ca{number:010x}");
        let index = number % hosts.len();
        let (host, record) = (hosts[index], record.clone());
        number += 1;
        sends.spawn(async move {
            let call = Call {
                id: id.clone(),
                kind,
                customer: "first",
                prompt: None,
                body: b"{}",
                takes_up: None,
            };
            let sent = Instant::now();
            record.add_at(sent, format!("request {id} ({kind:?}) is sent to edge-{index}"));
            let end = caller::send(host, &call).await;
            record
                .add(format!("request {id} ends after {} ms: {end:?}", sent.elapsed().as_millis()));
        });
    }
    sends.join_all().await;
    for host in &mut fleet.hosts {
        eyre::ensure!(!host.has_ended(), "{} has ended", host.name);
    }
    let falls: usize = states.iter().map(|it| it.lock().unwrap().falls.len()).sum();
    let allowed = 2.0 + RUNNERS as f64 / 10.0;
    record.add(format!("runners fell over {falls} times; allowed {allowed}"));
    Ok(if falls as f64 > allowed { Result::Broken } else { Result::Held })
}
