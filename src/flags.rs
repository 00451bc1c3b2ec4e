//! Flags of the daemon. Each may also be given as an environment variable, `ALMONDRACK_` and the flag's name.

xflags::xflags! {
    /// Entry host of almondrack, a router for language-model traffic.
    ///
    /// Every flag may be given as an environment variable: --host-id as ALMONDRACK_HOST_ID. A flag wins.
    /// Exit codes: 0 stopped with every request ended, 1 failed, 2 settings are not valid.
    cmd almondrackd {
        /// Host id, unique among the hosts that run at one time. Required.
        optional --host-id host_id: String
        /// Region of the host. Required.
        optional --region region: String
        /// Availability zone of the host. Required.
        optional --zone zone: String
        /// Address for callers, IP and port. Required.
        optional --callers callers: String
        /// Address for peers, IP and port. Required.
        optional --peers peers: String
        /// Administration address, IP and port. Required.
        optional --admin admin: String
        /// Address of the platform, IP and port. Required.
        optional --platform platform: String
        /// Worker threads, 1 to 64 (2).
        optional --workers workers: String
        /// Form of log lines: json or text (json).
        optional --log-format log_format: String
        /// Lowest level of log lines: off, error, warn, info, debug or trace (info).
        optional --log-level log_level: String
        /// Time for a caller to send its request, in milliseconds (10000).
        optional --read-timeout-ms read_timeout_ms: String
        /// Longest silence of an upstream within an answer, in milliseconds (30000).
        optional --idle-timeout-ms idle_timeout_ms: String
        /// Time to connect to an upstream, in milliseconds (500).
        optional --connect-timeout-ms connect_timeout_ms: String
        /// Time for requests to end at a planned stop, in milliseconds (900000).
        optional --drain-timeout-ms drain_timeout_ms: String
        /// Interval between usage batches, in milliseconds (5000).
        optional --usage-interval-ms usage_interval_ms: String
        /// Length of a usage window, in milliseconds (300000).
        optional --usage-window-ms usage_window_ms: String
        /// Length of a lease, in milliseconds (6000).
        optional --lease-ttl-ms lease_ttl_ms: String
        /// SHA-256 of the secret of a first operator key, 64 hexadecimal digits.
        optional --bootstrap-digest bootstrap_digest: String
        /// Checks the settings and exits.
        optional --check
    }
}

impl Almondrackd {
    /// Text of a flag, if it was given.
    pub(crate) fn text(&self, flag: &str) -> Option<String> {
        let value = match flag {
            "host-id" => &self.host_id,
            "region" => &self.region,
            "zone" => &self.zone,
            "callers" => &self.callers,
            "peers" => &self.peers,
            "admin" => &self.admin,
            "platform" => &self.platform,
            "workers" => &self.workers,
            "log-format" => &self.log_format,
            "log-level" => &self.log_level,
            "read-timeout-ms" => &self.read_timeout_ms,
            "idle-timeout-ms" => &self.idle_timeout_ms,
            "connect-timeout-ms" => &self.connect_timeout_ms,
            "drain-timeout-ms" => &self.drain_timeout_ms,
            "usage-interval-ms" => &self.usage_interval_ms,
            "usage-window-ms" => &self.usage_window_ms,
            "lease-ttl-ms" => &self.lease_ttl_ms,
            "bootstrap-digest" => &self.bootstrap_digest,
            _ => &None,
        };
        value.clone()
    }
}
