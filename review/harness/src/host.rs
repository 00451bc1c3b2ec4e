//! Hosts as processes, started with the command and the settings template of the deploy file.

use std::{
    fs,
    fs::File,
    io,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use rand::Rng as _;

/// Command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/almondrack-entry";

/// Template of the deploy file.
const TEMPLATE: &str = "deploy/entry.settings";

/// Section of the template that lists the zones.
const ZONES_SECTION: &str = "{{#Zones}}{{@}}{{,}}{{/Zones}}";

/// `MemoryMb` of the settings, in bytes.
pub const MEMORY_BYTES: u64 = 110_000_000;

/// Values of the settings as in the site file `tuul-laundry.toml`.
const VALUES: [(&str, &str); 11] = [
    ("Limits.CpuFraction", "0.25"),
    ("Limits.MemoryMb", "110"),
    ("Bounds.GraceS", "8"),
    ("Bounds.RevokeFailClosed", "true"),
    ("Bounds.RevokeMs", "5000"),
    ("Bounds.BudgetWindowS", "10"),
    ("Bounds.RetryBudgetRatio", "0.2"),
    ("Bounds.RetryAllowance", "52"),
    ("Bounds.LeaseMs", "3000"),
    ("Bounds.ReportWindowS", "5"),
    ("Bounds.UsageDelayS", "10"),
];

/// A host. Its process ends with the handle.
#[derive(Debug)]
pub struct Host {
    /// Name of the machine.
    pub name: String,
    /// Address for clients.
    pub frontend: SocketAddr,
    /// Address of the readiness page.
    pub readiness: SocketAddr,
    settings: PathBuf,
    starts: u32,
    child: Option<Child>,
}

impl Host {
    /// Writes the settings of hosts that know each other as seeds. `platform` holds the addresses of the store and of the
    /// interface of duties.
    pub fn prepare(
        count: usize,
        zones: &[&str],
        folder: &Path,
        platform: (SocketAddr, SocketAddr),
    ) -> io::Result<Vec<Host>> {
        let template = fs::read_to_string(TEMPLATE)?;
        let mut random = rand::rng();
        let (high, low) = (random.random_range(64..127), random.random_range(1..255));
        let addresses: Vec<_> = (0..count)
            .map(|it| free_addresses([127, high, low, 10 + it as u8].into()))
            .collect::<io::Result<_>>()?;
        let seeds: Vec<_> = addresses.iter().take(3).map(|it| it[3].to_string()).collect();
        let mut hosts = Vec::new();
        for (index, [frontend, readiness, metrics, peers]) in addresses.iter().enumerate() {
            let zone = zones[index % zones.len()];
            let name = format!("edge-{zone}-{}", index / zones.len() + 1);
            let mut text = template.replace(ZONES_SECTION, &zones.join(","));
            let own = [
                ("NodeName", name.clone()),
                ("Zone", zone.to_owned()),
                ("Listen.Frontend", frontend.to_string()),
                ("Listen.Readiness", readiness.to_string()),
                ("Listen.ControlPlane", peers.to_string()),
                ("Ip", metrics.ip().to_string()),
                ("InternalPorts.0", metrics.port().to_string()),
                ("SeedNodes", seeds.join(",")),
                ("Platform.Address", platform.0.to_string()),
                ("CloudApi.Address", platform.1.to_string()),
            ];
            for (field, value) in own {
                text = text.replace(&format!("{{{{{field}}}}}"), &value);
            }
            for (field, value) in VALUES {
                text = text.replace(&format!("{{{{{field}}}}}"), value);
            }
            if text.contains("{{") {
                return Err(io::Error::other("the settings template has an unknown field"));
            }
            let settings = folder.join(format!("{name}.settings"));
            fs::write(&settings, text)?;
            let (frontend, readiness) = (*frontend, *readiness);
            hosts.push(Host { name, frontend, readiness, settings, starts: 0, child: None });
        }
        Ok(hosts)
    }

    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = File::create(self.settings.with_extension(format!("{}.log", self.starts)))?;
        let child = Command::new(PROGRAM)
            .env("ALMONDRACK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL to the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error says that the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Memory that the process uses, in bytes; zero if it does not run.
    pub fn memory(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|it| it.trim().strip_suffix(" kB")?.trim().parse().ok());
        kilobytes.unwrap_or(0_u64) << 10
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns four addresses with ports that are free now.
fn free_addresses(ip: IpAddr) -> io::Result<[SocketAddr; 4]> {
    let listeners =
        [(); 4].map(|()| TcpListener::bind((ip, 0)).and_then(|it| Ok((it.local_addr()?, it))));
    let mut out = [SocketAddr::new(ip, 0); 4];
    let mut open = Vec::new();
    for (at, listener) in listeners.into_iter().enumerate() {
        let (address, listener) = listener?;
        out[at] = address;
        open.push(listener);
    }
    Ok(out)
}
