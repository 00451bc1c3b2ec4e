//! Counters and gauges of a host.

use std::time::Duration;

use eyre::Result;
use prometheus::{
    CounterVec, Encoder as _, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, core::Collector as _,
};

use crate::{error::Kind, time::Span};

/// Upper bounds of the buckets of the time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.61, 1.0, 3.0, 10.0, 30.0, 120.0];

/// Upper bounds of the buckets of the error of a predicted first byte, in seconds.
const PREDICTION_BUCKETS: [f64; 9] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0];

/// Upper bounds of the buckets of the age of a copy of the store's keys, in seconds.
const COPY_AGE_BUCKETS: [f64; 10] = [0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0];

/// Upper bounds of the buckets of the time of a sync request, in seconds.
const SYNC_BUCKETS: [f64; 9] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2];

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got the whole answer.
    Whole,
    /// The caller got a refusal or a cut answer.
    Failed(Kind),
    /// The caller got an upstream's own failure.
    Errored,
    /// The caller left.
    Abandoned,
}

impl Outcome {
    /// Value of the `outcome` label.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Whole => "ok",
            Outcome::Failed(kind) => kind.answer().name,
            Outcome::Errored => "upstream_error",
            Outcome::Abandoned => "abandoned",
        }
    }
}

/// Counters of a host; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    in_time: IntCounterVec,
    tokens: IntCounterVec,
    wasted: IntCounterVec,
    first_token: HistogramVec,
    prediction_error: HistogramVec,
    copy_age: HistogramVec,
    change_age: HistogramVec,
    store_calls: IntCounterVec,
    sync_bytes: IntCounterVec,
    sync_time: HistogramVec,
    limited_sends: IntCounterVec,
    permits: IntCounterVec,
    cold_permits: IntCounterVec,
    cut_attempts: IntCounterVec,
    taken_up_streams: IntCounterVec,
    upstream_answers: IntCounterVec,
    leaving_upstreams: IntCounterVec,
    backoffs: IntCounterVec,
    hedges: IntCounterVec,
    denied_hedges: IntCounterVec,
    hedge_seconds: CounterVec,
    turned_away: IntCounterVec,
    tunnels: IntCounterVec,
    unserved_attempts: IntCounterVec,
    unserved_tokens: IntCounterVec,
    admission_refusals: IntCounterVec,
    waiting: IntGauge,
    waiting_age_ms: IntGauge,
    /// Requests accepted and not ended.
    pub in_flight: IntGauge,
    /// Whether this host reaches no upstream by itself, 0 or 1.
    pub cut_off: IntGauge,
    /// Revision of the configuration in force.
    pub revision: IntGauge,
    /// Evacuated availability zones that this host knows.
    pub evacuated_zones: IntGauge,
    /// Number of times that the platform's store came back from an older copy.
    pub store_era: IntGauge,
}

impl Metrics {
    /// Registers all counters.
    ///
    /// # Errors
    /// If two counters share a name.
    pub fn open() -> Result<Metrics> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| -> Result<IntCounterVec> {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let requests = counter(
            "almondrack_requests_total",
            "Requests that ended, by class and outcome.",
            &["class", "outcome"],
        )?;
        let in_time = counter(
            "almondrack_in_time_total",
            "Requests that met their class's targets.",
            &["class"],
        )?;
        let tokens =
            counter("almondrack_tokens_total", "Tokens delivered to callers.", &["class"])?;
        let wasted = counter(
            "almondrack_wasted_tokens_total",
            "Tokens generated and not delivered.",
            &["class"],
        )?;
        let store_calls = counter(
            "almondrack_store_calls_total",
            "Calls to the platform's store, by cause, call and outcome.",
            &["cause", "call", "outcome"],
        )?;
        let sync_bytes = counter(
            "almondrack_sync_bytes_total",
            "Bytes of responses to sync requests, by whether this host served or received them, and by content.",
            &["side", "content"],
        )?;
        let limited_sends = counter(
            "almondrack_limited_sends_total",
            "Requests sent to upstreams that name a rate limit, by attempt.",
            &["attempt"],
        )?;
        let permits = counter(
            "almondrack_permits_total",
            "Requests of this host for permits to send to rate-limited upstreams, by outcome.",
            &["outcome"],
        )?;
        let cold_permits = counter(
            "almondrack_cold_permits_total",
            "Requests of this host for permits to send to cold upstreams, by outcome; one that is denied is kept from the upstream for now.",
            &["outcome"],
        )?;
        let taken_up_streams = counter(
            "almondrack_taken_up_streams_total",
            "Requests of callers that take up a stream, by whether the version that began it is known, or why not.",
            &["origin"],
        )?;
        let cut_attempts = counter(
            "almondrack_cut_attempts_total",
            "Attempts that ended as the upstream closed the connection, by how much of the answer had arrived.",
            &["answer"],
        )?;
        let upstream_answers = counter(
            "almondrack_upstream_answers_total",
            "Heads of upstreams' answers, by what they were taken for and by the request id that they echo.",
            &["verdict", "id"],
        )?;
        let leaving_upstreams = counter(
            "almondrack_leaving_upstreams_total",
            "Upstreams that leave as their answers say, by the source from which this host learned it.",
            &["source"],
        )?;
        let backoffs = counter(
            "almondrack_backoffs_total",
            "Refusals in which an upstream names a time without requests, by whether it can be read.",
            &["time"],
        )?;
        let hedges = counter(
            "almondrack_hedges_total",
            "Requests that were sent to a second upstream as the first one was slow, by outcome.",
            &["outcome"],
        )?;
        let denied_hedges = counter(
            "almondrack_denied_hedges_total",
            "Slow requests that were not sent to a second upstream, by reason.",
            &["reason"],
        )?;
        let hedge_seconds = CounterVec::new(
            Opts::new(
                "almondrack_hedge_seconds_total",
                "Time that two upstreams worked on one request, and estimated time that callers gained.",
            ),
            &["time"],
        )?;
        registry.register(Box::new(hedge_seconds.clone()))?;
        let turned_away = counter(
            "almondrack_turned_away_total",
            "Callers that were refused or whose connections were closed, by the limit.",
            &["limit"],
        )?;
        let tunnels = counter(
            "almondrack_tunnels_total",
            "Connections to upstreams through other hosts, by whether this host asked for the tunnel or served it, and by outcome.",
            &["side", "outcome"],
        )?;
        let unserved_attempts = counter(
            "almondrack_unserved_attempts_total",
            "Attempts that upstreams had begun or queued and that served no one, by pool, tier and ending.",
            &["pool", "tier", "ending"],
        )?;
        let unserved_tokens = counter(
            "almondrack_unserved_tokens_total",
            "Prompt tokens that engines are estimated to have read for such attempts.",
            &["pool", "tier", "ending"],
        )?;
        let admission_refusals = counter(
            "almondrack_admission_refusals_total",
            "Requests refused for want of room, by reason and tier.",
            &["reason", "tier"],
        )?;
        let opts = HistogramOpts::new(
            "almondrack_first_token_seconds",
            "Time from acceptance to the first token or byte.",
        );
        let opts = opts.buckets(FIRST_TOKEN_BUCKETS.to_vec());
        let first_token = HistogramVec::new(opts, &["class"])?;
        registry.register(Box::new(first_token.clone()))?;
        let opts = HistogramOpts::new(
            "almondrack_prediction_error_seconds",
            "Difference of the measured from the expected time to an attempt's first byte, by whether it came earlier or later, and by whether its upstream reports how long work takes there.",
        );
        let opts = opts.buckets(PREDICTION_BUCKETS.to_vec());
        let prediction_error = HistogramVec::new(opts, &["side", "load"])?;
        registry.register(Box::new(prediction_error.clone()))?;
        let copy_age_histogram =
            |name: &str, help: &str, labels: &[&str]| -> Result<HistogramVec> {
                let opts = HistogramOpts::new(name, help).buckets(COPY_AGE_BUCKETS.to_vec());
                let histogram = HistogramVec::new(opts, labels)?;
                registry.register(Box::new(histogram.clone()))?;
                Ok(histogram)
            };
        let copy_age = copy_age_histogram(
            "almondrack_copy_age_seconds",
            "Time since this host's copy of the store's keys was last verified to be the newest, sampled at intervals.",
            &["keys"],
        )?;
        let change_age = copy_age_histogram(
            "almondrack_change_age_seconds",
            "Longest time since which a change may have been in the store when this host applies it, by the source of the change.",
            &["keys", "source"],
        )?;
        let opts = HistogramOpts::new(
            "almondrack_sync_seconds",
            "Time until another host responded to a sync request of this host, or until the request failed.",
        );
        let opts = opts.buckets(SYNC_BUCKETS.to_vec());
        let sync_time = HistogramVec::new(opts, &["outcome"])?;
        registry.register(Box::new(sync_time.clone()))?;
        let waiting = gauge("almondrack_waiting_requests", "Requests that wait for a place.")?;
        let waiting_age_ms = gauge(
            "almondrack_waiting_age_ms",
            "Time for which the oldest waiting request has waited, in milliseconds.",
        )?;
        let in_flight = gauge("almondrack_in_flight", "Requests accepted and not ended.")?;
        let cut_off = gauge(
            "almondrack_cut_off",
            "Whether this host reaches no upstream by itself, so that its connections go through other hosts.",
        )?;
        let revision =
            gauge("almondrack_config_revision", "Revision of the configuration in force.")?;
        let evacuated_zones = gauge(
            "almondrack_evacuated_zones",
            "Evacuated availability zones, to whose upstreams this host sends nothing.",
        )?;
        let store_era = gauge(
            "almondrack_store_era",
            "Number of times that the platform's store came back from an older copy.",
        )?;
        Ok(Metrics {
            registry,
            requests,
            in_time,
            tokens,
            wasted,
            first_token,
            prediction_error,
            copy_age,
            change_age,
            store_calls,
            sync_bytes,
            sync_time,
            limited_sends,
            permits,
            cold_permits,
            cut_attempts,
            taken_up_streams,
            upstream_answers,
            leaving_upstreams,
            backoffs,
            hedges,
            denied_hedges,
            hedge_seconds,
            turned_away,
            tunnels,
            unserved_attempts,
            unserved_tokens,
            admission_refusals,
            waiting,
            waiting_age_ms,
            in_flight,
            cut_off,
            revision,
            evacuated_zones,
            store_era,
        })
    }

    /// Counts a request that ended.
    pub fn ended(&self, class: &str, outcome: Outcome, in_time: bool, tokens: u32) {
        self.requests.with_label_values(&[class, outcome.as_str()]).inc();
        if in_time {
            self.in_time.with_label_values(&[class]).inc();
        }
        self.tokens.with_label_values(&[class]).inc_by(u64::from(tokens));
    }

    /// Counts tokens of an attempt that was given up.
    pub fn wasted(&self, class: &str, tokens: u32) {
        self.wasted.with_label_values(&[class]).inc_by(u64::from(tokens));
    }

    /// Observes the time to the first token.
    pub fn first_token(&self, class: &str, elapsed: Duration) {
        self.first_token.with_label_values(&[class]).observe(elapsed.as_secs_f64());
    }

    /// Observes how well the first byte of an attempt was predicted.
    pub fn predicted(&self, expected: Span, took: Span, is_reported: bool) {
        let side = if took < expected { "earlier" } else { "later" };
        let load = if is_reported { "reported" } else { "counted" };
        let error = took.0.abs_diff(expected.0) as f64 / 1e6;
        self.prediction_error.with_label_values(&[side, load]).observe(error);
    }

    /// Observes the age of the copy of some keys.
    pub fn copy_aged(&self, keys: &str, age: Span) {
        self.copy_age.with_label_values(&[keys]).observe(Duration::from(age).as_secs_f64());
    }

    /// Observes the age that a change has at most, from the `store` or another `host`.
    pub fn change_applied(&self, keys: &str, source: &str, age: Span) {
        let histogram = self.change_age.with_label_values(&[keys, source]);
        histogram.observe(Duration::from(age).as_secs_f64());
    }

    /// Counts a call to the platform's store.
    pub fn store_called(&self, cause: &str, call: &str, outcome: &str) {
        self.store_calls.with_label_values(&[cause, call, outcome]).inc();
    }

    /// Counts bytes of a response to a sync request that this host `served` or `received`.
    pub fn synced(&self, side: &str, content: &str, bytes: u64) {
        self.sync_bytes.with_label_values(&[side, content]).inc_by(bytes);
    }

    /// Observes the time until a sync request of this host was `answered` or `failed`.
    pub fn sync_ended(&self, outcome: &str, time: Span) {
        let histogram = self.sync_time.with_label_values(&[outcome]);
        histogram.observe(Duration::from(time).as_secs_f64());
    }

    /// Counts a request that is sent to an upstream that names a rate limit: `first`, `retry` or `resume`.
    pub fn limited_send(&self, attempt: &str) {
        self.limited_sends.with_label_values(&[attempt]).inc();
    }

    /// Counts a request for a permit: `granted`, `denied` or `unanswered`.
    pub fn permit_asked(&self, outcome: &str) {
        self.permits.with_label_values(&[outcome]).inc();
    }

    /// Counts a request for a permit to send to a cold upstream: `granted`, `denied` or `unanswered`.
    pub fn cold_permit_asked(&self, outcome: &str) {
        self.cold_permits.with_label_values(&[outcome]).inc();
    }

    /// Counts a request that takes up a stream whose origin is `known`, or why it is not.
    pub fn stream_taken_up(&self, origin: &str) {
        self.taken_up_streams.with_label_values(&[origin]).inc();
    }

    /// Counts an attempt whose connection the upstream closed: with `none` of the answer, after its `head`, after the
    /// first event of a stream (`begun`) or after more of them (`gone_on`).
    pub fn attempt_cut(&self, answer: &str) {
        self.cut_attempts.with_label_values(&[answer]).inc();
    }

    /// Counts the head of an upstream's answer: what it was taken for, and whether it echoes the request's `own` id,
    /// `another` one, or the id is `missing`.
    pub fn upstream_answered(&self, verdict: &str, id: &str) {
        self.upstream_answers.with_label_values(&[verdict, id]).inc();
    }

    /// Counts upstreams that leave, as an `answer` or another `host` says.
    pub fn upstreams_left(&self, source: &str, count: usize) {
        self.leaving_upstreams.with_label_values(&[source]).inc_by(count as u64);
    }

    /// Counts a refusal that names a time in which its upstream wants no requests: `valid` or `invalid`.
    pub fn backoff_named(&self, time: &str) {
        self.backoffs.with_label_values(&[time]).inc();
    }

    /// Counts a request that two upstreams worked on for the time `extra`: `won` by the second one, `lost`, `failed` or
    /// `abandoned`.
    pub fn hedge_ended(&self, outcome: &str, extra: Duration) {
        self.hedges.with_label_values(&[outcome]).inc();
        self.hedge_seconds.with_label_values(&["extra"]).inc_by(extra.as_secs_f64());
    }

    /// Counts the time that a caller gained by a second upstream, as estimated.
    pub fn hedge_gained(&self, time: Duration) {
        self.hedge_seconds.with_label_values(&["gained"]).inc_by(time.as_secs_f64());
    }

    /// Counts a slow request that was not sent to a second upstream.
    pub fn hedge_denied(&self, reason: &str) {
        self.denied_hedges.with_label_values(&[reason]).inc();
    }

    /// Counts a tunnel for which this host asked another one.
    pub fn tunnel_asked(&self, outcome: &str) {
        self.tunnels.with_label_values(&["asked", outcome]).inc();
    }

    /// Counts a tunnel for which another host asked this one.
    pub fn tunnel_served(&self, outcome: &str) {
        self.tunnels.with_label_values(&["served", outcome]).inc();
    }

    /// Counts a caller that is turned away at a limit.
    pub fn turned_away(&self, limit: &str) {
        self.turned_away.with_label_values(&[limit]).inc();
    }

    /// Counts an attempt that served no one, and the tokens read for it: it ended at its `deadline`, as the `caller_left`,
    /// or was `cut`.
    pub fn attempt_unserved(&self, pool: &str, tier: usize, ending: &str, tokens: u64) {
        let labels = [pool, &tier.to_string(), ending];
        self.unserved_attempts.with_label_values(&labels).inc();
        self.unserved_tokens.with_label_values(&labels).inc_by(tokens);
    }

    /// Counts a request that is refused for want of room.
    pub fn admission_refused(&self, reason: &str, tier: u8) {
        self.admission_refusals.with_label_values(&[reason, &tier.to_string()]).inc();
    }

    /// Sets how many requests wait for a place, and the age of the oldest one in milliseconds.
    pub fn waiting(&self, length: usize, age_ms: u64) {
        self.waiting.set(length as i64);
        self.waiting_age_ms.set(age_ms as i64);
    }

    /// Number of calls to the platform's store so far, by cause, call and outcome, for a log line.
    pub fn store_calls(&self) -> String {
        Metrics::list(&self.store_calls)
    }

    /// Bytes of responses to sync requests so far, by side and content, for a log line.
    pub fn sync_bytes(&self) -> String {
        Metrics::list(&self.sync_bytes)
    }

    /// Lists the values of a counter by their labels.
    fn list(counter: &IntCounterVec) -> String {
        let families = counter.collect();
        let counters = families.iter().flat_map(|it| it.get_metric());
        let texts = counters.map(|it| {
            let labels: Vec<_> = it.get_label().iter().map(|it| it.value()).collect();
            format!("{} {}", labels.join("/"), it.get_counter().get_value())
        });
        texts.collect::<Vec<_>>().join(", ")
    }

    /// All counters in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        let families = self.registry.gather();
        match TextEncoder::new().encode(&families, &mut out) {
            Ok(()) => String::from_utf8_lossy(&out).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}
