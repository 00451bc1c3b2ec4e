//! A runner: registers itself in the store and answers streams and plain calls.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use almondrack_soak::store::Writer;
use bytes::Bytes;
use futures::{StreamExt as _, stream};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Incoming;
use serde_json::json;
use stand_ins::server::{self, Body, Cut, Door, Server};
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use crate::record::Record;

/// Events of a stream.
pub const EVENTS: u64 = 30;

/// Events that a runner writes at a time if it writes several.
const GROUP: u64 = 3;

/// Time between two events of a stream.
pub const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Time that a plain call takes.
const WORK: Duration = Duration::from_millis(15);

/// Interval between the entries that a runner writes of itself.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Silent heartbeats after which an entry is removed.
const MISSED_HEARTBEATS: u32 = 3;

/// Bytes of an endless body in a millisecond, which take 1.2 MB a second with the framing of the chunks.
const BYTES_PER_MS: u64 = 200;

/// Requests that a runner processes at once.
const SLOTS: u32 = 64;

/// A request that a runner began to run.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the client attempt.
    pub id: String,
    /// Tenant that was named.
    pub tenant: String,
    /// Id of the runner.
    pub runner: String,
    /// When it came.
    pub at: Instant,
}

/// Runs of all runners; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    /// Returns the runs so far.
    pub fn all(&self) -> Vec<Run> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a runner does with streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conduct {
    /// It answers.
    Sound,
    /// It answers, and writes three events at a time.
    Grouping,
    /// It writes three events at a time, and spoils the id of one event in this share of the streams, in hundredths.
    Spoiling(u32),
    /// It fails them with 500 and a body that never ends, which it writes byte by byte.
    Endless,
}

/// A runner. It keeps its id and address over all its incarnations.
#[derive(Debug)]
pub struct Runner {
    /// Its id.
    pub id: String,
    service: &'static str,
    zone: String,
    version: watch::Sender<&'static str>,
    /// What it does with streams.
    conduct: watch::Sender<Conduct>,
    is_open: watch::Sender<bool>,
    entries: Writer,
    beats: JoinHandle<()>,
    record: Record,
    server: Server,
}

impl Runner {
    /// Starts a runner of a version.
    pub fn spawn(
        (id, service, zone): (&str, &'static str, &str),
        version: &'static str,
        entries: Writer,
        (runs, record): (Runs, Record),
    ) -> io::Result<Runner> {
        let (version_sender, versions) = watch::channel(version);
        let (is_open, open) = watch::channel(true);
        let (conduct, conducts) = watch::channel(Conduct::Sound);
        let handler = {
            let (id, record) = (id.to_owned(), record.clone());
            move |request: Request<Incoming>| {
                let own = (id.clone(), service, *versions.borrow());
                answer(own, (runs.clone(), record.clone()), *conducts.borrow(), request)
            }
        };
        let door = Door { listen: ([127, 0, 0, 1], 0).into(), open, recorder: None };
        let mut runner = Runner {
            id: id.to_owned(),
            service,
            zone: zone.to_owned(),
            version: version_sender,
            conduct,
            is_open,
            entries,
            beats: tokio::spawn(async {}),
            record,
            server: server::spawn(door, handler)?,
        };
        runner.begin(version, Duration::ZERO);
        Ok(runner)
    }

    /// Address of the runner.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ends at once. The entry is removed after three silent heartbeats unless the runner is back by then.
    pub fn crash(&mut self) {
        self.record.add(format!("runner {} crashes", self.id));
        self.is_open.send_replace(false);
        self.beats.abort();
        let (entries, key) = (self.entries.clone(), self.key());
        self.beats = tokio::spawn(async move {
            sleep(HEARTBEAT * MISSED_HEARTBEATS).await;
            entries.remove(&key).await;
        });
    }

    /// Starts again under the same id and address. It can register itself in the store after some time.
    pub fn begin(&mut self, version: &'static str, until_registered: Duration) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let born = born.as_millis() as u64;
        self.version.send_replace(version);
        self.record.add(format!("runner {} of version {version} starts", self.id));
        self.is_open.send_replace(true);
        self.beats.abort();
        let mut entry = json!({
            "Service": self.service,
            "Address": self.address(),
            "Zone": self.zone,
            "Version": version,
            "Slots": SLOTS,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 0,
            "born": born,
        });
        let (entries, key) = (self.entries.clone(), self.key());
        self.beats = tokio::spawn(async move {
            sleep(until_registered).await;
            // The heartbeats of runners that started together are spread.
            let mut pause = HEARTBEAT.mul_f64(rand::random_range(0.1..1.0));
            for sequence in 1_u64.. {
                entry["Sequence"] = sequence.into();
                entries.put(&key, &entry).await;
                sleep(pause).await;
                pause = HEARTBEAT;
            }
        });
    }

    /// Changes what it does with streams.
    pub fn behave(&self, conduct: Conduct) {
        self.conduct.send_replace(conduct);
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.beats.abort();
    }
}

async fn answer(
    (runner, service, version): (String, &'static str, &'static str),
    (runs, record): (Runs, Record),
    conduct: Conduct,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let (head, body) = request.into_parts();
    server::read(body).await?;
    let text = |name: &str| server::header(&head.headers, name);
    let id = text("almondrack-attempt-id");
    if head.uri.path() == "/healthz" {
        return Ok(sign(server::raw(StatusCode::OK, ""), &id));
    }
    if text("almondrack-expect-instance") != runner {
        return Ok(sign(server::raw(StatusCode::MISDIRECTED_REQUEST, ""), &id));
    }
    let after: u64 = text("last-event-id").parse().unwrap_or(0);
    let tenant = text("almondrack-tenant");
    record.add(format!(
        "run {id} at {runner} {service} {version}, tenant {tenant}, after event {after}"
    ));
    runs.lock().push(Run { id: id.clone(), tenant, runner, at: Instant::now() });
    if head.uri.path().starts_with("/plain/") {
        sleep(WORK).await;
        return Ok(sign(server::raw(StatusCode::OK, format!("{id} is done")), &id));
    }
    let is_spoilt = match conduct {
        Conduct::Endless => return Ok(sign(endless(), &id)),
        Conduct::Spoiling(share) => rand::random_range(0..100) < share,
        Conduct::Sound | Conduct::Grouping => false,
    };
    let group = if conduct == Conduct::Sound { 1 } else { GROUP };
    Ok(sign(events(&id, (service, version), after, (group, is_spoilt)), &id))
}

/// Text of one event.
pub fn event(id: &str, number: u64, service: &str, version: &str) -> String {
    format!("id: {number}\ndata: {id} {service} {version} piece {number} of {EVENTS}\n\n")
}

/// A stream of events in chunks, each with a group of events. In one that `is_spoilt` the id of the last event of a group is
/// wrong.
fn events(
    id: &str,
    (service, version): (&'static str, &'static str),
    after: u64,
    (group, is_spoilt): (u64, bool),
) -> Response<Body> {
    let id = id.to_owned();
    let spoilt = after + EVENTS / 2 / group * group;
    let starts = (after..EVENTS).step_by(group as usize);
    let frames = stream::iter(starts).then(move |start| {
        let last = (start + group).min(EVENTS);
        let text = (start + 1..=last).map(|number| {
            let shown = if is_spoilt && number == spoilt { number + 50 } else { number };
            let text = event(&id, number, service, version);
            text.replacen(&format!("id: {number}"), &format!("id: {shown}"), 1)
        });
        let text: String = text.collect();
        async move {
            sleep(EVENT_PAUSE * (last - start) as u32).await;
            Ok(Frame::data(Bytes::from(text)))
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let form = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(http::header::CONTENT_TYPE, form);
    response
}

/// A failure with a body that goes on until its reader closes. Each of its chunks holds one byte.
fn endless() -> Response<Body> {
    let bytes = stream::iter(0_u64..).then(|number| async move {
        if number % BYTES_PER_MS == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        Ok(Frame::data(Bytes::from_static(b".")))
    });
    let mut response = Response::new(StreamBody::new(bytes).boxed_unsync());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

fn sign(mut response: Response<Body>, id: &str) -> Response<Body> {
    let headers: &mut HeaderMap = response.headers_mut();
    for (name, value) in [
        ("almondrack-attempt-id", id.to_owned()),
        ("almondrack-response-signature", format!("signed.{id}")),
        ("almondrack-instance-load", format!("1,0,{SLOTS}")),
    ] {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    response
}
