//! Everything in one process: platform, entry hosts of two zones, engines and services.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use almondrack::{
    credential::{Digest, SECRET_DIGITS, SECRET_PREFIX},
    host::Host,
    platform::{self as port, Cause, State, Upstream},
    record::{Class, Customer, Key, Pool, Protocol, Record, Role, Route, SCHEMA, Target},
    settings::Settings,
};
use eyre::{Result, ensure, eyre};
use rand::{Rng as _, TryRngCore as _, distr::Alphanumeric, rngs::OsRng};

use crate::{
    engine,
    load::{self, Caller, Options, Outcome, Summary},
    platform,
    server::Server,
    service,
};

/// Model that the demo serves.
pub const MODEL: &str = "demo-model";

/// Path prefix of the plain service.
pub const PREFIX: &str = "/echo";

/// Hosts and their zones.
const HOSTS: [(&str, &str); 3] =
    [("host-a1", "zone-a"), ("host-a2", "zone-a"), ("host-b1", "zone-b")];

/// Zones with upstreams.
const ZONES: [&str; 2] = ["zone-a", "zone-b"];

/// Engines in each zone.
const ENGINES_PER_ZONE: usize = 2;

/// Time for the hosts to learn of everything.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at whether the hosts are ready.
const START_PAUSE: Duration = Duration::from_millis(200);

/// Ports below those that the system gives to connections that go out.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Requests of each form that a check sends to each host.
const REQUESTS_PER_FORM: usize = 4;

/// A running demo; dropping it stops the stand-ins.
#[derive(Debug)]
pub struct Demo {
    /// Secret key of the demo's customer.
    pub key: String,
    /// Secret key of the demo's operator.
    pub operator: String,
    hosts: Vec<Host>,
    _platform: Server,
    _engines: Vec<engine::Running>,
    _services: Vec<Server>,
}

/// Mix of a check's requests, in thousandths.
#[derive(Debug, Clone, Copy)]
struct Form {
    name: &'static str,
    chat: u32,
    streamed: u32,
    plain: u32,
}

const FORMS: [Form; 5] = [
    Form { name: "chat, streamed", chat: 1_000, streamed: 1_000, plain: 0 },
    Form { name: "chat, whole", chat: 1_000, streamed: 0, plain: 0 },
    Form { name: "text, streamed", chat: 0, streamed: 1_000, plain: 0 },
    Form { name: "text, whole", chat: 0, streamed: 0, plain: 0 },
    Form { name: "plain", chat: 0, streamed: 0, plain: 1_000 },
];

/// Starts everything and waits until each host serves.
///
/// # Errors
/// An address cannot be bound, or a host does not serve in time.
pub async fn spawn() -> Result<Demo> {
    let mut options = platform::Options::new(local(0));
    let mut engines = Vec::new();
    let mut services = Vec::new();
    for zone in ZONES {
        for _ in 0..ENGINES_PER_ZONE {
            let engine = engine::spawn(engine::Options::new(local(0)))?;
            options.upstreams.push(upstream(zone, "engines", engines.len(), engine.address()));
            engines.push(engine);
        }
        let service = service::spawn(service::Options::new(local(0)))?;
        options.upstreams.push(upstream(zone, "services", services.len(), service.address()));
        services.push(service);
    }
    for (id, zone) in HOSTS {
        options.hosts.push(port::Host {
            id: id.to_owned(),
            region: "region-1".to_owned(),
            zone: zone.to_owned(),
            peer: free()?,
            admin: free()?,
            leaving: false,
        });
    }
    let places = options.hosts.clone();
    let platform = platform::spawn(options)?;
    let (key, operator) = (secret(), secret());
    write_records(platform.address(), &key, &operator).await?;
    let mut hosts = Vec::new();
    for place in &places {
        hosts.push(Host::spawn(settings(place, platform.address())?).await?);
    }
    let demo =
        Demo { key, operator, hosts, _platform: platform, _engines: engines, _services: services };
    demo.wait().await?;
    Ok(demo)
}

impl Demo {
    /// Addresses of the hosts for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|it| it.callers).collect()
    }

    /// Administration addresses of the hosts.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|it| it.admin).collect()
    }

    /// Waits until an operator has told a host to drain.
    pub async fn drain_asked(&self, host: usize) {
        self.hosts[host].drain_asked().await;
    }

    /// Sends requests of each form to each host and returns a line on each.
    ///
    /// # Errors
    /// An answer is not whole or not the request's own.
    pub async fn check(&self) -> Result<Vec<String>> {
        let mut lines = Vec::new();
        for form in FORMS {
            let summary = self.send(form, REQUESTS_PER_FORM * self.hosts.len()).await?;
            let whole = summary.all.count(Outcome::Whole);
            let total = summary.all.total();
            ensure!(whole == total, "{}: {whole} of {total} whole\n{summary}", form.name);
            lines.push(format!("{}: {whole} of {total} answers whole", form.name));
        }
        Ok(lines)
    }

    /// Stops the hosts after their requests, then the stand-ins; false if a request did not end.
    pub async fn stop(self) -> bool {
        let drained = futures::future::join_all(self.hosts.into_iter().map(Host::drain)).await;
        drained.into_iter().all(|it| it)
    }

    async fn send(&self, form: Form, requests: usize) -> Result<Summary> {
        load::run(Options {
            targets: self.callers(),
            callers: vec![Caller { key: self.key.clone(), model: MODEL.to_owned(), weight: 1.0 }],
            rate: 100.0,
            duration: Duration::from_secs(60),
            chat_per_mille: form.chat,
            streamed_per_mille: form.streamed,
            plain_per_mille: form.plain,
            plain_path: PREFIX.to_owned(),
            max_requests: requests,
            ..Options::new()
        })
        .await
    }

    /// Waits until each host serves each form.
    async fn wait(&self) -> Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        for form in FORMS {
            loop {
                let summary = self.send(form, self.hosts.len()).await?;
                if summary.all.count(Outcome::Whole) == summary.all.total() {
                    break;
                }
                let late = Instant::now() > end;
                ensure!(!late, "{} is not served in {START_TIMEOUT:?}\n{summary}", form.name);
                tokio::time::sleep(START_PAUSE).await;
            }
        }
        Ok(())
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// An address that is free at the moment.
fn free() -> Result<SocketAddr> {
    // The system gives connections that go out their ports from the upper range, at any moment.
    loop {
        let port = rand::random_range(PORTS);
        match TcpListener::bind(local(port)) {
            Ok(listener) => return Ok(listener.local_addr()?),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error.into()),
        }
    }
}

fn secret() -> String {
    let digits = OsRng.unwrap_err().sample_iter(Alphanumeric).take(SECRET_DIGITS);
    SECRET_PREFIX.chars().chain(digits.map(char::from)).collect()
}

fn upstream(zone: &str, pool: &str, number: usize, address: SocketAddr) -> (String, Upstream) {
    let upstream = Upstream {
        id: format!("{pool}-{number}"),
        pool: pool.to_owned(),
        address,
        state: State::Running,
        cheap: false,
        cost_per_hour: 0.0,
        reclaim_ms: None,
    };
    (zone.to_owned(), upstream)
}

fn settings(place: &port::Host, platform: SocketAddr) -> Result<Settings> {
    let look_up = |flag: &str| match flag {
        "host-id" => Some(place.id.clone()),
        "region" => Some(place.region.clone()),
        "zone" => Some(place.zone.clone()),
        "callers" => Some(local(0).to_string()),
        "peers" => Some(place.peer.to_string()),
        "admin" => Some(place.admin.to_string()),
        "platform" => Some(platform.to_string()),
        _ => None,
    };
    Settings::resolve(&look_up).map_err(|faults| eyre!("{faults:?}"))
}

async fn write_records(platform: SocketAddr, key: &str, operator: &str) -> Result<()> {
    let client = port::Client::open(platform, "demo");
    for record in records(key, operator) {
        let value = serde_json::to_vec(&record)?;
        client.put(Cause::Config, &record.store_key(), value.into(), Some(0)).await?;
    }
    Ok(())
}

fn records(key: &str, operator: &str) -> Vec<Record> {
    vec![
        Record::Customer(Customer {
            schema: SCHEMA,
            name: "demo".to_owned(),
            weight: 1,
            requests_per_second: None,
            tokens_per_minute: None,
            concurrency: None,
        }),
        Record::Key(Key {
            schema: SCHEMA,
            name: "demo".to_owned(),
            customer: Some("demo".to_owned()),
            role: Role::Caller,
            digest: Digest::of(key).to_hex(),
            expires_ms: None,
            withdrawn: false,
        }),
        Record::Key(Key {
            schema: SCHEMA,
            name: "operator".to_owned(),
            customer: None,
            role: Role::Operator,
            digest: Digest::of(operator).to_hex(),
            expires_ms: None,
            withdrawn: false,
        }),
        Record::Class(Class {
            schema: SCHEMA,
            name: "interactive".to_owned(),
            tier: 1,
            first_token_ms: 610,
            token_gap_ms: 34,
            attainment_per_mille: 950,
            floor_per_mille: 20,
            max_wait_ms: 5_000,
        }),
        pool("engines", Protocol::Engine),
        pool("services", Protocol::Plain),
        route("model", Target::Model(MODEL.to_owned()), "engines"),
        route("echo", Target::Prefix(PREFIX.to_owned()), "services"),
    ]
}

fn pool(name: &str, protocol: Protocol) -> Record {
    Record::Pool(Pool {
        schema: SCHEMA,
        name: name.to_owned(),
        protocol,
        models: Vec::new(),
        slots: 16,
        kv_tokens: if protocol == Protocol::Engine { 1_000_000 } else { 0 },
        min_per_zone: 1,
        max_per_zone: 4,
        cheap_per_mille: 0,
        fenced: true,
    })
}

fn route(name: &str, target: Target, pool: &str) -> Record {
    Record::Route(Route {
        schema: SCHEMA,
        name: name.to_owned(),
        target,
        pool: pool.to_owned(),
        class: "interactive".to_owned(),
        open: false,
        customers: Vec::new(),
        repeatable: false,
        max_body_bytes: 1 << 20,
        timeout_ms: 60_000,
    })
}
