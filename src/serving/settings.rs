//! Settings of a host, read from a file with lines of the form `name = value`.

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

use crate::{
    serving::{placement::Features, retry_budget},
    settings::LogFormat,
    time::Span,
};

/// Settings that have been validated.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Host id, unique among the hosts that run at the same time.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// All availability zones of the system.
    pub zones: Vec<String>,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the readiness page for the load balancer.
    pub readiness: SocketAddr,
    /// Address of the metrics page; `None` if metrics are not served.
    pub metrics: Option<SocketAddr>,
    /// Address of the listener for other hosts.
    pub peers: SocketAddr,
    /// Address of the listener for tunnels of other hosts to upstreams; `None` if this host opens none.
    pub tunnels: Option<SocketAddr>,
    /// Peer addresses of some other hosts. They may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform at which usage is reported and upstreams are ordered; `None` if this system does
    /// neither.
    pub duties: Option<SocketAddr>,
    /// CPU share of the host, in thousandths of a processor.
    pub cpu_per_mille: u32,
    /// Rate of the host's link in Mbit/s, `None` if it is not known.
    pub link_mbps: Option<f64>,
    /// Memory of the host, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may have open, with those that the platform keeps for files.
    pub descriptors: usize,
    /// Time from a planned stop to the end of the process.
    pub grace: Duration,
    /// Time for which keys are accepted after the configuration was last verified to be the newest; `None` if there is
    /// no limit.
    pub key_validity: Option<Span>,
    /// Time within which a configuration must be in force at every host; `None` if it is not bounded.
    pub configuration: Option<Span>,
    /// Retry budget that all hosts share.
    pub retries: retry_budget::Limits,
    /// Copies of slow requests that may be sent to a second upstream, as a share of the requests that may run more than
    /// once; zero if none are sent.
    pub hedge_share: f64,
    /// Length of a leadership lease, and of the period in which at most one host acts as leader.
    pub lease: Span,
    /// Length of a window in which usage is counted.
    pub usage_window: Span,
    /// Time after the end of a window by which its usage has to be reported.
    pub usage_delay: Span,
    /// Time within which an evacuation of an availability zone must be in force at every host; `None` if the operator
    /// evacuates none.
    pub evacuation: Option<Span>,
    /// What is done in pools whose upstreams report their load.
    pub features: Features,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
}

/// A setting that is missing or not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the setting.
    pub name: String,
    /// What was found and what is expected.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.name, self.message)
    }
}

struct SettingsReader<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl Settings {
    /// Parses settings. Ignores unknown names.
    ///
    /// # Errors
    /// Returns the faults of all settings, not only the first one.
    pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
        let mut reader = SettingsReader { text, faults: Vec::new() };
        let settings = reader.settings();
        settings.filter(|_| reader.faults.is_empty()).ok_or(reader.faults)
    }
}

impl<'a> SettingsReader<'a> {
    fn settings(&mut self) -> Option<Settings> {
        let host = self.name("host-id");
        let zone = self.name("zone");
        let zones = self.list("zones");
        let callers = self.required("callers", ADDRESS);
        let readiness = self.required("readiness", ADDRESS);
        let metrics = self.optional("metrics", ADDRESS);
        let peers = self.required("peers", ADDRESS);
        let tunnels = self.optional("tunnels", ADDRESS);
        let seeds = self.addresses("seeds");
        let store = self.required("store", ADDRESS);
        let duties = self.optional("duties", ADDRESS);
        let cpu_share: Option<f64> = self.optional("cpu-share", "a share, as in 0.25");
        let link_mbps = self.link_mbps();
        let memory_mb: Option<f64> = self.optional("memory-mb", "megabytes, as in 110");
        let descriptors: Option<usize> = self.optional("descriptors", "a number, as in 4100");
        let grace_s: Option<f64> = self.required("grace-s", "seconds, as in 8");
        let keys_need_proof = self.optional("keys-need-proof", "true or false");
        let key_validity_ms: Option<u64> = self.optional("key-withdrawal-ms", MILLISECONDS);
        let configuration_ms: Option<u64> = self.optional("configuration-ms", MILLISECONDS);
        let retries = self.retries();
        let hedge_share = self.hedge_share();
        let lease_ms: Option<u64> = self.optional("lease-ms", MILLISECONDS);
        let window_s: Option<f64> = self.optional("usage-window-s", "seconds, as in 5");
        let delay_s: Option<f64> = self.optional("usage-delay-s", "seconds, as in 10");
        let evacuation_ms: Option<u64> = self.optional("evacuation-ms", MILLISECONDS);
        let features = Features {
            reported_load: self.switch("reported-load"),
            admission: self.switch("admission"),
        };
        let log_level = self.optional("log-level", "off, error, warn, info, debug or trace");
        let key_validity = key_validity_ms.filter(|_| keys_need_proof.unwrap_or(true));
        let seconds = |it: f64| Span((it.max(0.0) * 1e6) as u64);
        Some(Settings {
            host: host?,
            zone: zone?,
            zones: zones.map(str::to_owned).collect(),
            callers: callers?,
            readiness: readiness?,
            metrics,
            peers: peers?,
            tunnels,
            seeds,
            store: store?,
            duties,
            cpu_per_mille: (cpu_share.unwrap_or(1.0).clamp(0.0, 1_000.0) * 1_000.0) as u32,
            link_mbps,
            memory_bytes: (memory_mb.unwrap_or(DEFAULT_MEMORY_MB).max(0.0) * 1e6) as usize,
            descriptors: descriptors.unwrap_or(DEFAULT_DESCRIPTORS),
            grace: seconds(grace_s?).into(),
            key_validity: key_validity.map(Span::from_ms),
            retries: retries?,
            hedge_share: hedge_share?,
            lease: Span::from_ms(lease_ms.unwrap_or(DEFAULT_LEASE_MS)),
            usage_window: window_s.map_or(DEFAULT_WINDOW, seconds),
            usage_delay: delay_s.map_or(DEFAULT_DELAY, seconds),
            configuration: configuration_ms.map(Span::from_ms),
            evacuation: evacuation_ms.map(Span::from_ms),
            features,
            log_format: LogFormat::Json,
            log_level: log_level.unwrap_or(log::LevelFilter::Info),
        })
    }

    fn retries(&mut self) -> Option<retry_budget::Limits> {
        let window_s: Option<f64> = self.required("retry-window-s", "seconds, as in 10");
        let ratio = self.required("retry-ratio", "a share, as in 0.2");
        let allowance = self.required("retry-allowance", "a number, as in 52");
        let window = Span((window_s?.max(0.0) * 1e6) as u64);
        Some(retry_budget::Limits { window, ratio: ratio?, allowance: allowance? })
    }

    fn link_mbps(&mut self) -> Option<f64> {
        const NAME: &str = "link-mbps";
        const EXPECTED: &str = "Mbit/s above zero, as in 1000";
        let mbps: f64 = self.optional(NAME, EXPECTED)?;
        let is_valid = mbps > 0.0 && mbps.is_finite();
        if !is_valid {
            self.fault(NAME, format!("'{mbps}' is not valid; expected {EXPECTED}"));
        }
        is_valid.then_some(mbps)
    }

    fn hedge_share(&mut self) -> Option<f64> {
        const NAME: &str = "hedge-share";
        if self.find(NAME).is_none() {
            return Some(0.0);
        }
        let share: f64 = self.optional(NAME, HEDGE_SHARE)?;
        let is_valid = (0.0..=MAX_HEDGE_SHARE).contains(&share);
        if !is_valid {
            self.fault(NAME, format!("'{share}' is not valid; expected {HEDGE_SHARE}"));
        }
        is_valid.then_some(share)
    }

    /// Reads a switch, which is off unless stated.
    fn switch(&mut self, name: &'static str) -> bool {
        match self.find(name) {
            Some("on") => true,
            None | Some("off") => false,
            Some(text) => {
                self.fault(name, format!("'{text}' is not valid; expected on or off"));
                false
            }
        }
    }

    fn find(&self, name: &str) -> Option<&'a str> {
        self.text.lines().find_map(|line| {
            let (found, value) = line.split_once('=')?;
            (found.trim() == name).then(|| value.trim()).filter(|it| !it.is_empty())
        })
    }

    fn fault(&mut self, name: &str, message: String) {
        self.faults.push(Fault { name: name.to_owned(), message });
    }

    fn required<T: FromStr>(&mut self, name: &'static str, expected: &str) -> Option<T> {
        if self.find(name).is_none() {
            self.fault(name, format!("setting is missing; expected {expected}"));
        }
        self.optional(name, expected)
    }

    fn optional<T: FromStr>(&mut self, name: &'static str, expected: &str) -> Option<T> {
        let text = self.find(name)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.fault(name, format!("'{text}' is not valid; expected {expected}"));
        }
        value
    }

    fn name(&mut self, name: &'static str) -> Option<String> {
        self.required(name, "a name")
    }

    fn list(&self, name: &str) -> impl Iterator<Item = &'a str> + use<'a> {
        let text = self.find(name).unwrap_or_default();
        text.split(',').map(str::trim).filter(|it| !it.is_empty())
    }

    fn addresses(&mut self, name: &'static str) -> Vec<SocketAddr> {
        let mut out = Vec::new();
        for item in self.list(name) {
            match item.parse() {
                Ok(address) => out.push(address),
                Err(_) => self.fault(name, format!("'{item}' is not valid; expected {ADDRESS}")),
            }
        }
        out
    }
}

const ADDRESS: &str = "IP and port, as in 10.0.0.1:8080";
const HEDGE_SHARE: &str = "a share from 0 to 0.2, as in 0.05";
const MAX_HEDGE_SHARE: f64 = 0.2;
const MILLISECONDS: &str = "milliseconds, as in 3000";
/// Memory of the smallest hosts of the users.
const DEFAULT_MEMORY_MB: f64 = 88.0;
/// Descriptors of the smallest hosts of the users.
const DEFAULT_DESCRIPTORS: usize = 4_100;
const DEFAULT_LEASE_MS: u64 = 3_000;
const DEFAULT_WINDOW: Span = Span::from_ms(5_000);
const DEFAULT_DELAY: Span = Span::from_ms(10_000);
