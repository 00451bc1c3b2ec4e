//! Starts the platform, upstreams and hosts as separate processes for one test.

use std::{
    collections::BTreeMap,
    env,
    io::{self, BufRead as _, BufReader, Write as _},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use almondrack::credential::Digest;
use bytes::Bytes;
use http::{Method, Request, StatusCode, header::HeaderMap};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Longest wait for anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Secret of the operator's first key.
pub const OPERATOR: &str = "almk_OperatorOperatorOperatorOperatorOperator000";

/// Clusters that run at once; more would make each other's processes miss their heartbeats.
static ROOM: Semaphore = Semaphore::const_new(4);

/// Clusters of one test process; each has its own loopback addresses.
static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// A process that ends with its handle.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Address that the process printed, or was given.
    pub address: SocketAddr,
    /// Second address that the process printed, if it did.
    pub control: SocketAddr,
}

impl Process {
    /// Sends a signal by its name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").arg(format!("-{name}")).arg(id).status();
        assert!(status.expect("kill runs").success(), "the process takes SIG{name}");
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Processor time used so far, in clock ticks of 10 ms.
    pub fn processor_ticks(&self) -> u64 {
        let stat = self.proc("stat");
        // The name in parentheses may contain blanks; user and system time are the 12th and 13th field after it.
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let times = fields.split(' ').skip(11).take(2);
        times.filter_map(|it| it.parse::<u64>().ok()).sum()
    }

    /// Resident memory, in kilobytes.
    pub fn resident_kb(&self) -> u64 {
        self.status_kb("VmRSS:")
    }

    /// Largest resident memory so far, in kilobytes; zero once the process has ended.
    pub fn peak_kb(&self) -> u64 {
        self.status_kb("VmHWM:")
    }

    fn status_kb(&self, name: &str) -> u64 {
        let status = self.proc("status");
        let line = status.lines().find_map(|it| it.strip_prefix(name));
        let number = line.and_then(|it| it.split_whitespace().next()?.parse().ok());
        number.unwrap_or_default()
    }

    fn proc(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
    }

    /// Waits for the exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a program of this workspace.
fn program(name: &str) -> PathBuf {
    let test = env::current_exe().expect("the test has a path");
    let folder = test.ancestors().nth(2).expect("tests lie two folders down");
    let path = folder.join(name);
    assert!(path.exists(), "{name} is not built: run cargo build --workspace --bins first");
    path
}

fn start(name: &str, arguments: &[String]) -> Child {
    Command::new(program(name))
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap_or_else(|error| panic!("{name} cannot be started: {error}"))
}

/// Starts a stand-in and reads the addresses that it prints.
fn start_stand_in(name: &str, arguments: &[String], lines: usize) -> Process {
    let mut child = start(name, arguments);
    let stdout = child.stdout.take().expect("standard output is piped");
    let mut addresses = Vec::new();
    for line in BufReader::new(stdout).lines().take(lines) {
        let line = line.expect("the stand-in prints text");
        let text = line.rsplit(' ').next().expect("the line ends with an address");
        addresses.push(text.parse().expect("an address"));
    }
    let address = *addresses.first().expect("the stand-in serves");
    Process { child, address, control: *addresses.last().expect("the stand-in serves") }
}

/// An answer that was read to its end.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body as far as it came.
    pub body: String,
    /// Whether the body ended as HTTP says.
    pub whole: bool,
}

impl Answer {
    /// Value of a header, empty if absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
    }

    /// Body as JSON, null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Kind of the error in the body.
    pub fn kind(&self) -> String {
        self.json()["error"]["kind"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a request and reads the answer to its end.
pub async fn call(request: Request<Full<Bytes>>) -> Result<Answer, String> {
    let connector = HttpConnector::new();
    let client: Client<_, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
    let answer = client.request(request).await.map_err(|error| format!("{error:?}"))?;
    let (head, mut body) = answer.into_parts();
    let mut text = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    let body = String::from_utf8_lossy(&text).into_owned();
    Ok(Answer { status: head.status, headers: head.headers, body, whole })
}

/// A request with headers and a body.
pub fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(body.into())).expect("the request is valid")
}

/// Secret of the key of a customer in the test configuration.
pub fn secret(customer: &str) -> String {
    format!("almk_{customer:0>43}")
}

/// Size and options of a cluster.
#[derive(Debug, Clone)]
pub struct Options {
    /// Zone of each host.
    pub hosts: Vec<&'static str>,
    /// Zone and further arguments of each engine.
    pub engines: Vec<(&'static str, Vec<&'static str>)>,
    /// Zone of each plain service.
    pub services: Vec<&'static str>,
    /// Further arguments of each host.
    pub host_arguments: Vec<&'static str>,
    /// Slots of one engine.
    pub slots: u32,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            hosts: vec!["a", "a", "b"],
            engines: vec![("a", Vec::new()), ("b", Vec::new())],
            services: vec!["a", "b"],
            host_arguments: Vec::new(),
            slots: 16,
        }
    }
}

/// Processes of one test.
#[derive(Debug)]
pub struct Cluster {
    /// The platform.
    pub platform: Process,
    /// Engines, in the order of the options.
    pub engines: Vec<Process>,
    /// Plain services, in the order of the options.
    pub services: Vec<Process>,
    /// Hosts, in the order of the options.
    pub hosts: Vec<Process>,
    options: Options,
    network: [u8; 2],
    _room: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts every process and waits until each host serves every zone's pools.
    pub async fn spawn(options: Options) -> Cluster {
        let room = ROOM.acquire().await.expect("the semaphore is never closed");
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let id = std::process::id() * 8 + number;
        let network = [(id / 250 % 250 + 1) as u8, (id % 250 + 1) as u8];
        let platform = start_stand_in("platform", &[], 1);
        let slots = options.slots.to_string();
        let engines: Vec<_> = options
            .engines
            .iter()
            .map(|(_, arguments)| {
                let models = ["m1", "m2", "m3"].iter().flat_map(|it| ["--model", it]);
                let mut all: Vec<_> = models.map(str::to_owned).collect();
                all.extend(["--slots".to_owned(), slots.clone()]);
                all.extend(arguments.iter().map(|it| (*it).to_owned()));
                start_stand_in("engine", &all, 2)
            })
            .collect();
        let services: Vec<_> =
            options.services.iter().map(|_| start_stand_in("service", &[], 1)).collect();
        let mut cluster = Cluster {
            platform,
            engines,
            services,
            hosts: Vec::new(),
            options,
            network,
            _room: room,
        };
        cluster.list_upstreams().await;
        cluster.write_records(&cluster.records()).await;
        cluster.list_hosts().await;
        for index in 0..cluster.options.hosts.len() {
            let host = cluster.start_host(index);
            cluster.hosts.push(host);
        }
        for index in 0..cluster.hosts.len() {
            cluster.wait_until_serving(index).await;
        }
        cluster
    }

    /// Address of a host for callers (0), peers (1) or administration (2).
    pub fn host_address(&self, index: usize, interface: u16) -> SocketAddr {
        let [second, third] = self.network;
        let ip = Ipv4Addr::new(127, second, third, index as u8 + 1);
        SocketAddr::new(IpAddr::V4(ip), 8080 + interface)
    }

    /// Starts a host anew at its addresses.
    pub fn start_host(&self, index: usize) -> Process {
        let zone = self.options.hosts[index];
        let digest = Digest::of(OPERATOR).to_hex();
        let mut arguments: Vec<String> = [
            ("--host-id", format!("host-{index}")),
            ("--region", "r1".to_owned()),
            ("--zone", zone.to_owned()),
            ("--callers", self.host_address(index, 0).to_string()),
            ("--peers", self.host_address(index, 1).to_string()),
            ("--admin", self.host_address(index, 2).to_string()),
            ("--platform", self.platform.address.to_string()),
            ("--log-format", "text".to_owned()),
            ("--bootstrap-digest", digest),
        ]
        .into_iter()
        .flat_map(|(flag, value)| [flag.to_owned(), value])
        .collect();
        arguments.extend(self.options.host_arguments.iter().map(|it| (*it).to_owned()));
        let mut child = start("almondrackd", &arguments);
        let stdout = child.stdout.take().expect("standard output is piped");
        std::thread::spawn(move || {
            // The pipe must be read, or the host would block on it.
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if env::var_os("ALMONDRACK_TEST_LOGS").is_some() {
                    let _ = writeln!(io::stderr(), "host-{index}: {line}");
                }
            }
        });
        let address = self.host_address(index, 0);
        Process { child, address, control: self.host_address(index, 2) }
    }

    /// Waits until a host serves the models and the plain service.
    pub async fn wait_until_serving(&self, index: usize) {
        let end = Instant::now() + PATIENCE;
        loop {
            let chat = self.chat(index, "acme", "hello tokens:1", false).await;
            let plain = self.plain(index, "acme", "ready").await;
            let ok = |it: &Result<Answer, String>| it.as_ref().is_ok_and(|it| it.status == 200);
            if ok(&chat) && ok(&plain) {
                return;
            }
            assert!(Instant::now() < end, "host {index} does not serve: {chat:?} {plain:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Tells the platform which hosts there are.
    pub async fn list_hosts(&self) {
        let hosts: Vec<_> = self
            .options
            .hosts
            .iter()
            .enumerate()
            .map(|(index, zone)| {
                json!({
                    "id": format!("host-{index}"),
                    "region": "r1",
                    "zone": zone,
                    "peer": self.host_address(index, 1),
                    "admin": self.host_address(index, 2),
                })
            })
            .collect();
        self.control(self.platform.address, "/test/hosts", &json!({ "hosts": hosts })).await;
    }

    /// Tells the platform which upstreams there are.
    pub async fn list_upstreams(&self) {
        let mut zones: BTreeMap<&str, Vec<Value>> = BTreeMap::new();
        let engines = self.options.engines.iter().map(|it| it.0).zip(&self.engines);
        let services = self.options.services.iter().copied().zip(&self.services);
        let kinds = [("engines", engines.collect::<Vec<_>>()), ("orders", services.collect())];
        for (pool, members) in kinds {
            for (index, (zone, process)) in members.into_iter().enumerate() {
                zones.entry(zone).or_default().push(json!({
                    "id": format!("{pool}-{index}"),
                    "pool": pool,
                    "address": process.address,
                    "state": "running",
                    "cost_per_hour": 3.0,
                }));
            }
        }
        for (zone, upstreams) in zones {
            let body = json!({ "zone": zone, "upstreams": upstreams });
            self.control(self.platform.address, "/test/upstreams", &body).await;
        }
    }

    /// Sets switches of a stand-in.
    pub async fn control(&self, address: SocketAddr, path: &str, body: &Value) {
        let headers = [("content-type", "application/json")];
        let request = request(Method::POST, address, path, &headers, body.to_string());
        let answer = call(request).await.expect("the stand-in answers");
        assert_eq!(answer.status, 200, "{path}: {}", answer.body);
    }

    /// Reads JSON from a stand-in.
    pub async fn read(&self, address: SocketAddr, path: &str) -> Value {
        let answer = call(request(Method::GET, address, path, &[], "")).await;
        answer.expect("the stand-in answers").json()
    }

    /// Writes records straight to the platform's store.
    pub async fn write_records(&self, records: &[Value]) {
        for record in records {
            let kind = record["kind"].as_str().expect("a kind");
            let name = record["name"].as_str().expect("a name");
            let path = format!("/v1/kv/config/{kind}/{name}");
            let request =
                request(Method::PUT, self.platform.address, &path, &[], record.to_string());
            let answer = call(request).await.expect("the platform answers");
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
    }

    /// The records of the test configuration.
    pub fn records(&self) -> Vec<Value> {
        let mut records = Vec::new();
        for customer in ["acme", "bolt", "core"] {
            records.push(json!({ "kind": "customer", "schema": 2, "name": customer }));
            records.push(json!({
                "kind": "key", "schema": 2, "name": format!("{customer}-1"), "customer": customer,
                "role": "caller", "digest": Digest::of(&secret(customer)).to_hex(),
            }));
        }
        for (name, tier, first_token_ms, max_wait_ms) in
            [("gold", 1, 600, 10_000), ("silver", 2, 3_000, 20_000), ("bulk", 3, 30_000, 60_000)]
        {
            records.push(json!({
                "kind": "class", "schema": 2, "name": name, "tier": tier,
                "first_token_ms": first_token_ms, "token_gap_ms": 100, "max_wait_ms": max_wait_ms,
            }));
        }
        records.push(json!({
            "kind": "pool", "schema": 2, "name": "engines", "protocol": "engine",
            "models": ["m1", "m2", "m3"], "slots": self.options.slots, "kv_tokens": 1_000_000,
            "max_per_zone": 4,
        }));
        records.push(json!({
            "kind": "pool", "schema": 2, "name": "orders", "protocol": "plain",
            "slots": 64, "max_per_zone": 4,
        }));
        for (name, class) in [("m1", "gold"), ("m2", "silver"), ("m3", "bulk")] {
            records.push(json!({
                "kind": "route", "schema": 2, "name": name, "target": { "model": name },
                "pool": "engines", "class": class, "repeatable": true,
            }));
        }
        records.push(json!({
            "kind": "route", "schema": 2, "name": "orders", "target": { "prefix": "/orders/" },
            "pool": "orders", "class": "gold",
        }));
        records.push(json!({
            "kind": "route", "schema": 2, "name": "stock", "target": { "prefix": "/stock/" },
            "pool": "orders", "class": "silver", "repeatable": true, "open": true,
        }));
        records
    }

    /// Sends a chat completion for the first model.
    pub async fn chat(
        &self,
        host: usize,
        customer: &str,
        prompt: &str,
        stream: bool,
    ) -> Result<Answer, String> {
        self.chat_model(host, customer, "m1", prompt, stream).await
    }

    /// Sends a chat completion.
    pub async fn chat_model(
        &self,
        host: usize,
        customer: &str,
        model: &str,
        prompt: &str,
        stream: bool,
    ) -> Result<Answer, String> {
        let body = json!({
            "model": model, "stream": stream, "max_tokens": 100_000,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let authorization = format!("Bearer {}", secret(customer));
        let headers =
            [("content-type", "application/json"), ("authorization", authorization.as_str())];
        let address = self.host_address(host, 0);
        let path = "/v1/chat/completions";
        call(request(Method::POST, address, path, &headers, body.to_string())).await
    }

    /// Sends a request to the plain service.
    pub async fn plain(&self, host: usize, customer: &str, body: &str) -> Result<Answer, String> {
        let authorization = format!("Bearer {}", secret(customer));
        let headers = [("authorization", authorization.as_str())];
        let address = self.host_address(host, 0);
        call(request(Method::POST, address, "/orders/new", &headers, body.to_owned())).await
    }
}

/// Text of a streamed answer, and whether its end marker came.
pub fn streamed_text(body: &str) -> (String, bool) {
    let mut text = String::new();
    let mut done = false;
    for line in body.lines() {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        done = data == "[DONE]";
        let chunk: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    (text, done)
}

/// Text that the stand-in engine produces for a marker.
pub fn expected_text(marker: &str, tokens: usize) -> String {
    (0..tokens).map(|number| format!("{marker}-{number} ")).collect()
}
