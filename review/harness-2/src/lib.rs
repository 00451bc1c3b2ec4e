//! What the script cases of the second review share: hosts as processes, started as the deploy file says, and a record.

use std::{
    env, fs, io,
    io::Write as _,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use almondrack_soak::{duties::Duties, store::Store};

/// `ContactMs` of the settings.
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for the hosts to find each other, the configuration and the runners.
pub const SETTLE: Duration = Duration::from_millis(4_000);

/// Result of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Result {
    Held,
    Broken,
}

/// Record of what was sent, answered and run. Clones share it.
#[derive(Debug, Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
    pub start: Instant,
}

impl Default for Record {
    fn default() -> Record {
        Record { lines: Arc::default(), start: Instant::now() }
    }
}

impl Record {
    pub fn add_at(&self, at: Instant, line: String) {
        self.lines.lock().unwrap().push((at.saturating_duration_since(self.start), line));
    }

    pub fn add(&self, line: String) {
        self.add_at(Instant::now(), line);
    }

    /// Writes all lines in the order of their times.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|it| it.0);
        let mut file = fs::File::create(path)?;
        for (at, line) in lines {
            writeln!(file, "{:9.3} s  {line}", at.as_secs_f64())?;
        }
        Ok(())
    }
}

/// Whether the disruption happens.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// A host as a process. It ends with the handle.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    words: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.words[0]);
        command.args(&self.words[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = env::var(name) {
                command.env(name, value);
            }
        }
        command.env("ALMONDRACK_SETTINGS", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| !matches!(it.try_wait(), Ok(None)))
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Hosts with the platform's store and interface.
pub struct Fleet {
    pub store: Store,
    pub duties: Duties,
    pub hosts: Vec<Host>,
    pub folder: PathBuf,
}

/// Loopback address of a host, apart from those of other runs on the machine.
fn ip(index: usize) -> IpAddr {
    let id = std::process::id();
    let [.., high, low] = id.to_be_bytes();
    Ipv4Addr::new(127, 160 + high % 64, low, 10 + index as u8).into()
}

fn free_port(ip: IpAddr) -> io::Result<SocketAddr> {
    // Outside of the range from which the kernel takes ports of outgoing connections.
    for port in 7_101..7_900 {
        let address = SocketAddr::new(ip, port + (std::process::id() % 997) as u16);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no port is free"))
}

impl Fleet {
    /// Starts hosts in two zones. Must be called in the repository's root.
    pub fn start(count: usize) -> io::Result<Fleet> {
        let folder = env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::spawn(u64::from(std::process::id()))?;
        let duties = Duties::spawn()?;
        let mut addresses = Vec::new();
        for index in 0..count {
            let mut own = Vec::new();
            for _ in 0..5 {
                // Distinct, as each is probed before the next one is chosen.
                let first = free_port(ip(index))?;
                let next = own
                    .last()
                    .map_or(first, |it: &SocketAddr| SocketAddr::new(it.ip(), it.port() + 1));
                own.push(next);
            }
            addresses.push(own);
        }
        let template = fs::read_to_string("deploy/entry.settings")?;
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let run = deploy.lines().find_map(|it| it.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or_else(|| io::Error::other("the deploy file has no command"))?;
        let seeds: Vec<_> = addresses.iter().take(3).map(|it| it[2].to_string()).collect();
        let mut hosts = Vec::new();
        for (index, own) in addresses.iter().enumerate() {
            let [callers, readiness, peers, metrics, tunnels] = own[..] else { unreachable!() };
            let name = format!("edge-{index}");
            let zone = ["north", "south"][index % 2];
            let fields = [
                ("NodeName", name.clone()),
                ("Zone", zone.to_owned()),
                ("#Zones}}{{@}}{{,}}{{/Zones", "north,south".to_owned()),
                ("Listen.Frontend", callers.to_string()),
                ("Listen.Readiness", readiness.to_string()),
                ("Listen.ControlPlane", peers.to_string()),
                ("Ip", callers.ip().to_string()),
                ("InternalPorts.0", metrics.port().to_string()),
                ("InternalPorts.1", tunnels.port().to_string()),
                ("SeedNodes", seeds.join(",")),
                ("Platform.Address", store.address().to_string()),
                ("CloudApi.Address", duties.address().to_string()),
                ("Limits.CpuFraction", "0.25".to_owned()),
                ("Limits.LinkMbps", "1000.0".to_owned()),
                ("Limits.MemoryMb", "88".to_owned()),
                ("Limits.FileDescriptors", "4100".to_owned()),
                ("Bounds.GraceS", "8".to_owned()),
                ("Bounds.RevokeFailClosed", "true".to_owned()),
                ("Bounds.RevokeMs", "5000".to_owned()),
                ("Bounds.ConfigApplyMs", "2000".to_owned()),
                ("Bounds.BudgetWindowS", "10".to_owned()),
                ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
                ("Bounds.RetryAllowance", "52".to_owned()),
                ("Bounds.LeaseMs", "3000".to_owned()),
                ("Bounds.ReportWindowS", "5".to_owned()),
                ("Bounds.UsageDelayS", "10".to_owned()),
                ("Bounds.EvacuationMs", String::new()),
            ];
            let fill = |text: &str| {
                fields.iter().fold(text.to_owned(), |text, (name, value)| {
                    text.replace(&format!("{{{{{name}}}}}"), value)
                })
            };
            let settings = folder.join(format!("{name}.settings"));
            fs::write(&settings, fill(&template))?;
            let words = run.split(' ').map(fill).collect();
            let log = folder.join(format!("{name}.log"));
            let mut host = Host { name, callers, readiness, settings, words, log, child: None };
            host.start()?;
            hosts.push(host);
        }
        Ok(Fleet { store, duties, hosts, folder })
    }

    pub fn callers(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|it| it.callers).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Plays a case in at most `limit`, writes its record, and ends with the exit code of the result.
pub fn main_with<F>(limit: Duration, play: impl FnOnce(Record) -> F) -> !
where
    F: Future<Output = eyre::Result<Result>>,
{
    let folder = PathBuf::from(env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let record = Record::default();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let code = match runtime {
        Ok(runtime) => runtime.block_on(async {
            match tokio::time::timeout(limit, play(record.clone())).await {
                Ok(Ok(Result::Held)) => 0,
                Ok(Ok(Result::Broken)) => 1,
                Ok(Err(error)) => {
                    record.add(format!("the case could not run: {error:#}"));
                    2
                }
                Err(_) => {
                    record.add("the case took too long".to_owned());
                    2
                }
            }
        }),
        Err(_) => 2,
    };
    let trouble = if has_trouble() { "with" } else { "without" };
    record.add(format!("exit {code}, {trouble} the disruption"));
    let name = if has_trouble() { "record.txt" } else { "record-without-trouble.txt" };
    let _ = record.write(&folder.join(name));
    std::process::exit(code)
}
