//! Clients: they send a request on a connection of its own and read the answer to its end.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use crate::{operator, record::Record, runner::EVENTS};

/// Time for a new connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Returns the id of a new client attempt.
pub fn new_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000 + LAST_ID.fetch_add(1, Ordering::Relaxed))
}

/// Returns a prompt that shares its first parts with the prompts of other requests, as `seed` says.
pub fn prompt(seed: usize) -> String {
    let (first, second) = (0x5c1e_07a0 + seed % 8, 0x91bd_3f00 + seed % 64);
    format!("{first:x}:340,{second:x}:230,{}:130", new_id())
}

/// Stream that a request takes up.
#[derive(Debug, Clone)]
pub struct TakeUp {
    /// Id of the attempt that brought the first event.
    pub first: String,
    /// Id of the last event.
    pub after: u64,
}

/// One client attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// Path with the prefix of the route.
    pub path: String,
    /// Parts of its prompt.
    pub prompt: String,
    /// Tenant whose key it carries.
    pub tenant: &'static str,
    /// The stream that it takes up, if any.
    pub takes_up: Option<TakeUp>,
    /// Time that the client waits.
    pub deadline: Duration,
}

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer ended as complete.
    Complete,
    /// The connection ended before the answer.
    Cut,
    /// No connection.
    Unconnected,
    /// No end in time.
    Late,
}

/// What came of an attempt.
#[derive(Debug, Clone)]
pub struct Answer {
    /// When the attempt was sent.
    pub sent: Instant,
    /// Status, if a head came.
    pub status: Option<StatusCode>,
    /// How it ended.
    pub end: End,
    /// Whole events: the id and the data of each.
    pub events: Vec<(u64, String)>,
    /// Bytes of the body.
    pub body: Vec<u8>,
    /// Time after which a refused client may come back.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Id of the last event, zero without any.
    pub fn last_event(&self) -> u64 {
        self.events.last().map_or(0, |it| it.0)
    }

    /// Whether the last event of the stream came.
    pub fn is_finished(&self) -> bool {
        self.last_event() == EVENTS
    }

    fn text(&self) -> String {
        let status = self.status.map_or("no status".to_owned(), |it| it.as_u16().to_string());
        let first = self.events.first().map_or(0, |it| it.0);
        format!("{status}, {:?}, events {first} to {}", self.end, self.last_event())
    }
}

/// Sends an attempt to a host.
pub async fn send(host: SocketAddr, attempt: &Attempt, record: &Record) -> Answer {
    let mut answer = Answer {
        sent: Instant::now(),
        status: None,
        end: End::Late,
        events: Vec::new(),
        body: Vec::new(),
        retry_after: None,
    };
    let takes_up = attempt.takes_up.as_ref();
    record.add(format!(
        "sent {} to {host} {} of {}{}",
        attempt.id,
        attempt.path,
        attempt.tenant,
        takes_up.map_or(String::new(), |it| format!(
            ", goes on with {} after event {}",
            it.first, it.after
        )),
    ));
    if let Ok(end) = timeout(attempt.deadline, exchange(host, attempt, &mut answer)).await {
        answer.end = end;
    }
    answer.events = parse(&answer.body);
    record.add(format!("answered {}: {}", attempt.id, answer.text()));
    answer
}

async fn exchange(host: SocketAddr, attempt: &Attempt, answer: &mut Answer) -> End {
    let Ok(Ok(stream)) = timeout(CONNECT_TIME, TcpStream::connect(host)).await else {
        return End::Unconnected;
    };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return End::Unconnected;
    };
    let driver = tokio::spawn(connection);
    let mut request = Request::post(&attempt.path)
        .header(header::HOST, operator::HOST)
        .header(header::AUTHORIZATION, format!("Token {}", operator::key(attempt.tenant)))
        .header("Almondrack-Attempt-Id", &attempt.id)
        .header("Almondrack-Deadline-Ms", attempt.deadline.as_millis() as u64);
    if !attempt.path.starts_with("/plain/") {
        request = request
            .header("Almondrack-Model", "m")
            .header("Almondrack-Token-Count", "700,120")
            .header("Almondrack-Prompt-Prefix", &attempt.prompt);
    }
    if let Some(it) = &attempt.takes_up {
        request = request.header("Last-Event-Id", it.after).header("Resumes", &it.first);
    }
    let Ok(request) = request.body(Full::new(Bytes::from_static(b"{}"))) else {
        return End::Unconnected;
    };
    let end = match sender.send_request(request).await {
        Err(_) => End::Cut,
        Ok(response) => {
            answer.status = Some(response.status());
            let seconds = response.headers().get(header::RETRY_AFTER);
            let seconds = seconds.and_then(|it| it.to_str().ok()?.parse().ok());
            answer.retry_after = seconds.and_then(|it| Duration::try_from_secs_f64(it).ok());
            let mut body = response.into_body();
            loop {
                match body.frame().await {
                    None => break End::Complete,
                    Some(Ok(frame)) => {
                        answer.body.extend_from_slice(frame.data_ref().map_or(&[], |it| it));
                    }
                    Some(Err(_)) => break End::Cut,
                }
            }
        }
    };
    driver.abort();
    end
}

/// Returns the whole events of a body.
fn parse(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body);
    let Some((whole, _)) = text.rsplit_once("\n\n") else { return Vec::new() };
    let events = whole.split("\n\n").filter_map(|it| {
        let id = it.lines().find_map(|it| it.strip_prefix("id: "))?.parse().ok()?;
        let data = it.lines().find_map(|it| it.strip_prefix("data: "))?;
        Some((id, data.to_owned()))
    });
    events.collect()
}
