//! The platform: store, host list, upstreams and usage reports, with faults on demand.

mod calls;
mod fleet;
mod store;

use std::{
    future, io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use almondrack::platform::{Changes, Fenced, Host, Order, Upstream};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;

pub use self::fleet::Spare;
use self::{
    calls::{Call, Calls},
    fleet::{Conditions, Fleet, Refusal, Report},
    store::{Lease, Store, Write},
};
use crate::{
    clock::wall_ms,
    owner::Owner,
    patch,
    server::{self, Body, Cut, Door, Server},
};

/// Entries in a page of a listing unless the caller asks for fewer.
const PAGE_ENTRIES: usize = 1_000;

/// What a garbage answer holds.
const GARBAGE: &str = "%%% not an answer";

/// Switches that can be set at any time.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time from a call to its answer, in milliseconds; the effect comes half way.
    pub latency_ms: u64,
    /// Answers 503 without effect.
    pub down: bool,
    /// Gives no answer and takes no effect.
    pub hang: bool,
    /// Share of writes that take effect and lose their answer.
    pub lose_answers_per_mille: u32,
    /// Number of next writes that take effect and lose their answer.
    pub lose_next: u32,
    /// Hosts that get no answer.
    pub down_for_hosts: Vec<String>,
    /// Zones whose hosts get no answer.
    pub down_for_zones: Vec<String>,
    /// Hosts whose calls take effect and get no answer.
    pub mute_for_hosts: Vec<String>,
    /// Zones whose hosts' calls take effect and get no answer.
    pub mute_for_zones: Vec<String>,
    /// Answers nonsense with status 200; effects are taken.
    pub garbage: bool,
    /// Reads in any one second before 429, absent for no limit.
    pub reads_per_s: Option<u32>,
    /// Writes in any one second before 429, absent for no limit.
    pub writes_per_s: Option<u32>,
    /// Age of the host list, in milliseconds.
    pub hosts_lag_ms: u64,
    /// Time from an order to a running upstream, in milliseconds.
    pub start_ms: u64,
    /// Time from an order to a stopped upstream, in milliseconds.
    pub stop_ms: u64,
    /// Zones that do not check fencing numbers.
    pub unfenced_zones: Vec<String>,
    /// Zones without reclaimable upstreams at the moment.
    pub no_cheap_zones: Vec<String>,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            latency_ms: 0,
            down: false,
            hang: false,
            lose_answers_per_mille: 0,
            lose_next: 0,
            down_for_hosts: Vec::new(),
            down_for_zones: Vec::new(),
            mute_for_hosts: Vec::new(),
            mute_for_zones: Vec::new(),
            garbage: false,
            reads_per_s: None,
            writes_per_s: None,
            hosts_lag_ms: 0,
            start_ms: 200,
            stop_ms: 200,
            unfenced_zones: Vec::new(),
            no_cheap_zones: Vec::new(),
        }
    }
}

/// Settings at start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Switches at start.
    pub faults: Faults,
    /// Hosts at start.
    pub hosts: Vec<Host>,
    /// Zone and upstream of each upstream at start.
    pub upstreams: Vec<(String, Upstream)>,
    /// Addresses for ordered upstreams.
    pub spares: Vec<Spare>,
    /// Changes kept for watches.
    pub history: usize,
    /// Seed of the choice of lost answers.
    pub seed: u64,
}

impl Options {
    /// An empty platform on an address.
    pub fn new(listen: SocketAddr) -> Options {
        Options {
            listen,
            faults: Faults::default(),
            hosts: Vec::new(),
            upstreams: Vec::new(),
            spares: Vec::new(),
            history: 10_000,
            seed: 1,
        }
    }
}

#[derive(Debug)]
struct Platform {
    faults: Faults,
    store: Store,
    fleet: Fleet,
    calls: Calls,
    random: SmallRng,
    revision: watch::Sender<u64>,
}

#[derive(Debug, Clone)]
struct Link {
    owner: Owner<Platform>,
    revision: watch::Receiver<u64>,
}

/// What happens to a call before it takes effect.
#[derive(Debug, Clone, Copy)]
enum Verdict {
    Serve { latency: Duration },
    Refuse(StatusCode),
    Withhold,
}

/// What happens to an answer.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Sent,
    /// An outage began since the call came.
    Down,
    Garbled,
    Withheld,
}

/// Starts the platform.
///
/// # Errors
/// The address cannot be bound.
pub fn spawn(options: Options) -> io::Result<Server> {
    let (revision, changed) = watch::channel(0);
    let mut fleet = Fleet::default();
    fleet.set_hosts(options.hosts, 0);
    fleet.add_spares(options.spares);
    let mut zones: Vec<&String> = options.upstreams.iter().map(|it| &it.0).collect();
    zones.sort_unstable();
    zones.dedup();
    for zone in zones {
        let members = options.upstreams.iter().filter(|it| it.0 == *zone);
        fleet.set_upstreams(zone, members.map(|it| it.1.clone()).collect(), wall_ms());
    }
    let owner = Owner::spawn(Platform {
        faults: options.faults,
        store: Store::new(options.history),
        fleet,
        calls: Calls::default(),
        random: SmallRng::seed_from_u64(options.seed),
        revision,
    });
    let link = Link { owner, revision: changed };
    let (_, open) = watch::channel(true);
    let door = Door { listen: options.listen, open, recorder: None };
    server::spawn(door, move |request| answer(link.clone(), request))
}

async fn answer(link: Link, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
    let (head, body) = request.into_parts();
    let body = server::read(body).await?;
    let path = head.uri.path().to_owned();
    let query = head.uri.query().unwrap_or_default().to_owned();
    if path.starts_with("/test/") {
        return link.owner.ask(move |it| it.test(&head.method, &path, &body)).await;
    }
    let call = Call::new(&head, &path);
    let host = call.host.clone();
    let (place, verdict) = link.owner.ask(move |it| it.begin(call)).await?;
    let latency = match verdict {
        Verdict::Serve { latency } => latency,
        Verdict::Refuse(status) => return Ok(server::raw(status, "")),
        Verdict::Withhold => future::pending().await,
    };
    tokio::time::sleep(latency / 2).await;
    let answer = if path == "/v1/watch" {
        watch(&link, &query).await?
    } else {
        link.owner.ask(move |it| it.take(place, &head, &path, &query, body)).await??
    };
    tokio::time::sleep(latency / 2).await;
    let status = answer.status().as_u16();
    match link.owner.ask(move |it| it.end(place, &host, status)).await? {
        Ending::Sent => Ok(answer),
        Ending::Down => Ok(server::raw(StatusCode::SERVICE_UNAVAILABLE, "")),
        Ending::Garbled => Ok(server::raw(StatusCode::OK, GARBAGE)),
        Ending::Withheld => future::pending().await,
    }
}

/// Waits for a change under a prefix.
async fn watch(link: &Link, query: &str) -> Result<Response<Body>, Cut> {
    let number = |name| server::query(query, name).and_then(|it| it.parse::<u64>().ok());
    let prefix = server::query(query, "prefix").unwrap_or_default().to_owned();
    let after = number("after").unwrap_or(0);
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
    let deadline = tokio::time::Instant::now() + wait;
    let mut revision = link.revision.clone();
    loop {
        revision.mark_unchanged();
        let under = prefix.clone();
        let changes: Changes = link.owner.ask(move |it| it.store.changes(&under, after)).await?;
        let found = changes.reset || !changes.entries.is_empty();
        if found || tokio::time::timeout_at(deadline, revision.changed()).await.is_err() {
            return Ok(server::json(StatusCode::OK, &changes));
        }
    }
}

impl Platform {
    fn begin(&mut self, call: Call) -> (usize, Verdict) {
        let now = Instant::now();
        let limit =
            if call.is_write() { self.faults.writes_per_s } else { self.faults.reads_per_s };
        let count = self.calls.count(&call, now);
        let within = limit.is_none_or(|it| count <= it);
        let verdict = if self.faults.hang || self.is_cut(&call.host) {
            Verdict::Withhold
        } else if self.faults.down {
            Verdict::Refuse(StatusCode::SERVICE_UNAVAILABLE)
        } else if !within {
            Verdict::Refuse(StatusCode::TOO_MANY_REQUESTS)
        } else {
            Verdict::Serve { latency: Duration::from_millis(self.faults.latency_ms) }
        };
        let place = self.calls.push(call);
        if let Verdict::Refuse(status) = verdict {
            self.calls.get(place).status = Some(status.as_u16());
        }
        (place, verdict)
    }

    fn is_cut(&self, host: &str) -> bool {
        self.is_among(host, &self.faults.down_for_hosts, &self.faults.down_for_zones)
    }

    fn is_mute(&self, host: &str) -> bool {
        self.is_among(host, &self.faults.mute_for_hosts, &self.faults.mute_for_zones)
    }

    fn is_among(&self, host: &str, hosts: &[String], zones: &[String]) -> bool {
        let zone = self.fleet.zone_of(host);
        hosts.iter().any(|it| it == host) || zones.iter().any(|it| it == zone)
    }

    /// Decides on a call's answer and notes it.
    fn end(&mut self, place: usize, host: &str, status: u16) -> Ending {
        if self.faults.hang || self.is_cut(host) || self.is_mute(host) {
            return Ending::Withheld;
        }
        let down = self.faults.down;
        let sent = if down { StatusCode::SERVICE_UNAVAILABLE.as_u16() } else { status };
        self.calls.get(place).status = Some(sent);
        match (down, self.faults.garbage) {
            (true, _) => Ending::Down,
            (false, true) => Ending::Garbled,
            (false, false) => Ending::Sent,
        }
    }

    /// Takes a call's effect; the answer may be lost.
    fn take(
        &mut self,
        place: usize,
        head: &http::request::Parts,
        path: &str,
        query: &str,
        body: Bytes,
    ) -> Result<Response<Body>, Cut> {
        let before = self.store.revision();
        let answer = self.route(head, path, query, body);
        let effect = answer.status().is_success() && head.method != Method::GET;
        self.calls.get(place).effect = effect;
        if self.store.revision() != before {
            self.revision.send_replace(self.store.revision());
        }
        if head.method != Method::GET && self.loses() {
            self.calls.get(place).lost = true;
            return Err(Cut);
        }
        Ok(answer)
    }

    fn loses(&mut self) -> bool {
        if self.faults.lose_next > 0 {
            self.faults.lose_next -= 1;
            return true;
        }
        let share = self.faults.lose_answers_per_mille;
        share > 0 && self.random.random_range(0..1_000) < share
    }

    fn route(
        &mut self,
        head: &http::request::Parts,
        path: &str,
        query: &str,
        body: Bytes,
    ) -> Response<Body> {
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return self.key(head, key, body);
        }
        if let Some(name) = path.strip_prefix("/v1/lease/") {
            return self.lease(&head.method, name, query, &body);
        }
        if let Some(window) = path.strip_prefix("/v1/usage/") {
            return self.usage(head, window, &body);
        }
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (head.method.as_str(), parts.as_slice()) {
            ("GET", ["v1", "list"]) => self.list(query),
            ("GET", ["v1", "hosts"]) => {
                let hosts = self.fleet.hosts(self.faults.hosts_lag_ms, wall_ms());
                server::json(StatusCode::OK, &json!({ "hosts": hosts }))
            }
            ("GET", ["v1", "zones", zone, "upstreams"]) => {
                let upstreams = self.fleet.upstreams(zone, wall_ms());
                server::json(StatusCode::OK, &json!({ "upstreams": upstreams }))
            }
            ("POST", ["v1", "zones", zone, "orders"]) => self.order(zone, &body),
            _ => server::raw(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn list(&self, query: &str) -> Response<Body> {
        let text = |name| server::query(query, name).unwrap_or_default();
        let limit = text("limit").parse().unwrap_or(PAGE_ENTRIES).min(PAGE_ENTRIES);
        server::json(StatusCode::OK, &self.store.list(text("prefix"), text("after"), limit))
    }

    fn key(&mut self, head: &http::request::Parts, key: &str, body: Bytes) -> Response<Body> {
        let condition = server::header(&head.headers, "if-version");
        let if_version = condition.parse::<u64>().ok();
        if !condition.is_empty() && if_version.is_none() {
            return server::raw(StatusCode::BAD_REQUEST, "if-version is not a number");
        }
        let write = match head.method.as_str() {
            "GET" => return self.read(key),
            "PUT" => self.store.put(key, body, if_version),
            "DELETE" => self.store.delete(key, if_version),
            _ => return server::raw(StatusCode::METHOD_NOT_ALLOWED, ""),
        };
        match write {
            Write::Done(version) => versioned(StatusCode::OK, version, Bytes::new()),
            Write::Conflict(version) => versioned(StatusCode::CONFLICT, version, Bytes::new()),
            Write::Missing => server::raw(StatusCode::NOT_FOUND, ""),
            Write::TooLarge => server::raw(StatusCode::PAYLOAD_TOO_LARGE, ""),
        }
    }

    fn read(&self, key: &str) -> Response<Body> {
        match self.store.get(key) {
            Some(value) => versioned(StatusCode::OK, value.version, value.bytes.clone()),
            None => server::raw(StatusCode::NOT_FOUND, ""),
        }
    }

    fn lease(&mut self, method: &Method, name: &str, query: &str, body: &[u8]) -> Response<Body> {
        #[derive(Deserialize)]
        struct Wanted {
            holder: String,
            ttl_ms: u64,
        }
        let now = Instant::now();
        match method.as_str() {
            "GET" => match self.store.lease(name, now) {
                Some(lease) => held(StatusCode::OK, "", 0, &lease),
                None => server::raw(StatusCode::NOT_FOUND, ""),
            },
            "DELETE" => {
                let holder = server::query(query, "holder").unwrap_or_default();
                let gone = self.store.release(name, holder, now);
                server::raw(if gone { StatusCode::OK } else { StatusCode::CONFLICT }, "")
            }
            "POST" => match serde_json::from_slice::<Wanted>(body) {
                Ok(Wanted { holder, ttl_ms }) => {
                    let lease = self.store.acquire(name, &holder, ttl_ms, now);
                    held(StatusCode::CONFLICT, &holder, ttl_ms, &lease)
                }
                Err(error) => server::raw(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => server::raw(StatusCode::METHOD_NOT_ALLOWED, ""),
        }
    }

    fn order(&mut self, zone: &str, body: &[u8]) -> Response<Body> {
        let order: Fenced<Order> = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return server::raw(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let conditions = Conditions {
            now_ms: wall_ms(),
            fenced: !self.faults.unfenced_zones.iter().any(|it| it == zone),
            cheap: !self.faults.no_cheap_zones.iter().any(|it| it == zone),
            start_ms: self.faults.start_ms,
            stop_ms: self.faults.stop_ms,
        };
        let refusal = match self.fleet.order(zone, &order, conditions) {
            Ok(upstream) => return server::json(StatusCode::OK, &json!({ "upstream": upstream })),
            Err(refusal) => refusal,
        };
        let (status, reason) = match refusal {
            Refusal::Late => (StatusCode::GONE, "late".to_owned()),
            Refusal::Fenced(number) => (StatusCode::CONFLICT, format!("number {number} was seen")),
            Refusal::CheapUnavailable => {
                (StatusCode::SERVICE_UNAVAILABLE, "cheap_unavailable".to_owned())
            }
            Refusal::NoneLeft => (StatusCode::SERVICE_UNAVAILABLE, "none_left".to_owned()),
            Refusal::Missing => (StatusCode::NOT_FOUND, "no such upstream".to_owned()),
        };
        server::json(status, &json!({ "reason": reason }))
    }

    fn usage(&mut self, head: &http::request::Parts, window: &str, body: &Bytes) -> Response<Body> {
        if head.method != Method::POST {
            return server::raw(StatusCode::METHOD_NOT_ALLOWED, "");
        }
        let report = Report {
            window: window.to_owned(),
            host: server::header(&head.headers, "x-host"),
            lease: server::header(&head.headers, "x-lease"),
            number: server::header(&head.headers, "x-number"),
            content: String::from_utf8_lossy(body).into_owned(),
            status: 0,
        };
        let same = self.fleet.report(report, body);
        server::raw(if same { StatusCode::OK } else { StatusCode::CONFLICT }, "")
    }

    fn test(&mut self, method: &Method, path: &str, body: &[u8]) -> Response<Body> {
        let done = match (method.as_str(), path) {
            ("GET", "/test/calls") => return server::json(StatusCode::OK, self.calls.counts()),
            ("GET", "/test/history") => return server::json(StatusCode::OK, self.calls.history()),
            ("GET", "/test/usage") => return server::json(StatusCode::OK, &self.fleet.reports()),
            ("POST", "/test/faults") => {
                patch::merge(&self.faults, body).map(|faults| self.faults = faults)
            }
            ("POST", "/test/hosts") => self.set_hosts(body),
            ("POST", "/test/upstreams") => self.set_upstreams(body),
            ("POST", "/test/reclaim") => self.reclaim(body),
            _ => return server::raw(StatusCode::NOT_FOUND, ""),
        };
        match done {
            Ok(()) => server::raw(StatusCode::OK, ""),
            Err(error) => server::raw(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn set_hosts(&mut self, body: &[u8]) -> serde_json::Result<()> {
        #[derive(Deserialize)]
        struct Change {
            hosts: Option<Vec<Host>>,
            lag_ms: Option<u64>,
        }
        let Change { hosts, lag_ms } = serde_json::from_slice(body)?;
        if let Some(lag_ms) = lag_ms {
            self.faults.hosts_lag_ms = lag_ms;
        }
        if let Some(hosts) = hosts {
            self.fleet.set_hosts(hosts, wall_ms());
        }
        Ok(())
    }

    fn set_upstreams(&mut self, body: &[u8]) -> serde_json::Result<()> {
        #[derive(Deserialize)]
        struct Change {
            zone: Option<String>,
            #[serde(default)]
            upstreams: Vec<Upstream>,
            #[serde(default)]
            spares: Vec<Spare>,
        }
        let Change { zone, upstreams, spares } = serde_json::from_slice(body)?;
        if let Some(zone) = zone {
            self.fleet.set_upstreams(&zone, upstreams, wall_ms());
        }
        self.fleet.add_spares(spares);
        Ok(())
    }

    fn reclaim(&mut self, body: &[u8]) -> serde_json::Result<()> {
        #[derive(Deserialize)]
        struct Reclaim {
            zone: String,
            in_ms: u64,
        }
        let Reclaim { zone, in_ms } = serde_json::from_slice(body)?;
        self.fleet.reclaim(&zone, in_ms, wall_ms());
        Ok(())
    }
}

fn versioned(status: StatusCode, version: u64, body: Bytes) -> Response<Body> {
    let mut answer = server::raw(status, body);
    answer.headers_mut().insert("x-version", version.into());
    answer
}

fn held(taken: StatusCode, holder: &str, ttl_ms: u64, lease: &Lease) -> Response<Body> {
    match lease {
        Lease::Held { number } => {
            let body = json!({ "holder": holder, "number": number, "ttl_ms": ttl_ms });
            server::json(StatusCode::OK, &body)
        }
        Lease::Taken { holder, number, remaining_ms } => {
            let body = json!({ "holder": holder, "number": number, "remaining_ms": remaining_ms });
            server::json(taken, &body)
        }
    }
}
