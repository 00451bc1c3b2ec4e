//! Messages between hosts and their RPC service.
//!
//! Encoded by bincode, so that the order and types of fields are part of the protocol.
//! [`Counts`] is also stored as JSON.

use std::fmt;

use bincode::Options as _;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::{
    serving::{
        crash_evidence::Content,
        rate_limit::{Limit, Rate},
        reported_load::{Dated, Report},
        tier::TIERS,
    },
    time::{Span, Time},
};

/// A value of the store. Messages to several hosts share its bytes, which are encoded like a vector of bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value(pub Bytes);

impl From<Vec<u8>> for Value {
    fn from(bytes: Vec<u8>) -> Value {
        Value(bytes.into())
    }
}

impl Serialize for Value {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_byte_buf(ValueVisitor)
    }
}

struct ValueVisitor;

impl de::Visitor<'_> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Value, E> {
        Ok(bytes.to_vec().into())
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Value, E> {
        Ok(bytes.into())
    }
}

/// A change of a key in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key in the store.
    pub key: String,
    /// Revision of the write or removal.
    pub revision: u64,
    /// `None` if the key was removed.
    pub value: Option<Value>,
}

/// Changes under a prefix after the requested revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Whether the changes list all keys, instead of those that changed.
    pub is_listing: bool,
    /// In the order of their revisions, unless it is a listing.
    pub changes: Vec<Change>,
    /// Revision up to which every change is included.
    pub revision: u64,
}

/// Key of the change that stands for an update which the responding host does not send.
const WITHHELD_KEY: &str = "withheld";

impl Update {
    /// Stands for an update that is too large for the link of the responding host. Hosts of earlier versions ignore it, as it
    /// changes nothing after the requested revision.
    pub fn withheld(after: u64) -> Update {
        let change = Change { key: WITHHELD_KEY.to_owned(), revision: after, value: None };
        Update { is_listing: false, changes: vec![change], revision: after }
    }

    /// Whether it stands for an update that is to be read from the store.
    pub fn is_withheld(&self) -> bool {
        matches!(self.changes.as_slice(), [it] if it.key == WITHHELD_KEY && !self.is_listing)
    }
}

/// State of a host's copy of one prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Time since the copy was last verified to be current, in microseconds; `None` if it never
    /// was.
    pub age_us: Option<u64>,
    /// Changes that the requesting host lacks.
    pub update: Option<Update>,
}

impl Prefix {
    /// Encodes rate limits, with the ids of the upstreams as keys, the ages in microseconds as revisions and the rates
    /// as values.
    pub fn from_limits(now: Time, limits: &[(u64, Limit)]) -> Prefix {
        let change = |(upstream, limit): &(u64, Limit)| Change {
            key: upstream.to_string(),
            revision: limit.age(now).0,
            value: limit.rate().map(|it| it.per_second().to_le_bytes().to_vec().into()),
        };
        let changes = limits.iter().map(change).collect();
        Prefix { age_us: None, update: Some(Update { is_listing: true, changes, revision: 0 }) }
    }

    /// Decodes rate limits from the response to a request that was sent at `sent_at`. Leaves out those that are not
    /// valid.
    pub fn limits(&self, sent_at: Time) -> Vec<(u64, Limit)> {
        let changes = self.update.iter().flat_map(|it| &it.changes);
        let limit = |it: &Change| {
            let rate = match &it.value {
                Some(bytes) => Some(Rate::new(f64::from_le_bytes(bytes.0[..].try_into().ok()?))?),
                None => None,
            };
            Some((it.key.parse().ok()?, Limit::new(rate, sent_at - Span(it.revision))))
        };
        changes.filter_map(limit).collect()
    }
}

/// Key under which a response holds evidence about crashes.
const EVIDENCE_KEY: &str = "crash-evidence";

/// What a host knows of content that may crash upstreams. Stored as JSON in responses.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Contents whose state changed a short time ago, and all that are quarantined.
    pub suspicions: Vec<Suspicion>,
    /// Upstreams that are alive although they were thought to have crashed: the incarnation, and the time in
    /// microseconds since a request was sent that they answered.
    pub survivors: Vec<(u64, u64)>,
}

impl Evidence {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty() && self.survivors.is_empty()
    }

    /// The same evidence as of some time later.
    #[must_use]
    pub fn aged(mut self, by: Span) -> Evidence {
        for suspicion in &mut self.suspicions {
            suspicion.charges.iter_mut().for_each(|it| it.1 += by.0);
            suspicion.cleared_age_us = suspicion.cleared_age_us.map(|it| it + by.0);
        }
        self.survivors.iter_mut().for_each(|it| it.1 += by.0);
        self
    }
}

/// Bits of an age in a suspicion. The bits above hold a number, and hosts of earlier versions take an age with one for an age
/// too great to count.
const AGE_BITS: u32 = 56;

/// Writes an age together with a number below 256.
pub fn pack_age(age: Span, number: usize) -> u64 {
    (age.0 & ((1 << AGE_BITS) - 1)) | (number as u64) << AGE_BITS
}

/// Reads what [`pack_age`] wrote.
pub fn unpack_age(packed: u64) -> (Span, u64) {
    (Span(packed & ((1 << AGE_BITS) - 1)), packed >> AGE_BITS)
}

/// Content that was running on upstreams when they crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The content.
    pub content: Content,
    /// Hash of the name of its pool.
    pub pool: u64,
    /// Incarnations of the upstreams that crashed, each with the packed time since in microseconds and progress of the
    /// answer to a request with the content, and whether that answer had begun.
    pub charges: Vec<(u64, u64, bool)>,
    /// Whether requests with the content are refused.
    pub is_quarantined: bool,
    /// Whether other requests were answered between its first and last crash.
    pub is_confirmed: bool,
    /// Packed time since an answer cleared it in microseconds, `None` if none has. The number is zero if the answer was
    /// whole, else one more than the progress up to which it cleared.
    pub cleared_age_us: Option<u64>,
}

impl Prefix {
    /// Encodes evidence as JSON under a key of its own.
    pub fn from_evidence(evidence: &Evidence) -> Prefix {
        // A struct of numbers can always be encoded.
        let value = serde_json::to_vec(evidence).ok().map(Value::from);
        let change = Change { key: EVIDENCE_KEY.to_owned(), revision: 0, value };
        let update = Update { is_listing: true, changes: vec![change], revision: 0 };
        Prefix { age_us: None, update: Some(update) }
    }

    /// Decodes evidence. `None` if there is none or it cannot be decoded.
    pub fn evidence(&self) -> Option<Evidence> {
        let change = self.update.as_ref()?.changes.first()?;
        let value = change.value.as_ref().filter(|_| change.key == EVIDENCE_KEY)?;
        let decoded = serde_json::from_slice(&value.0);
        decoded.inspect_err(|it| log::warn!("evidence of a host cannot be decoded: {it}")).ok()
    }
}

/// Key under which a message holds what upstreams report of their load.
const REPORTS_KEY: &str = "reported-load";

/// Encoded size of a report in bytes: the incarnation, four figures and the age.
const REPORT_BYTES: usize = 8 + 4 * 2 + 4;

impl Prefix {
    /// Encodes what upstreams reported of their load, under a key of its own.
    pub fn from_reports(now: Time, reports: &[(u64, Dated)]) -> Prefix {
        let mut value = Vec::with_capacity(reports.len() * REPORT_BYTES);
        for (upstream, Dated { at, report }) in reports {
            let age = now.since(*at).0.min(u64::from(u32::MAX)) as u32;
            let Report { running, waiting, slots, work_percent } = *report;
            value.extend(upstream.to_le_bytes());
            for figure in [running, waiting, slots, work_percent.unwrap_or(0)] {
                value.extend(figure.to_le_bytes());
            }
            value.extend(age.to_le_bytes());
        }
        let change = Change { key: REPORTS_KEY.to_owned(), revision: 0, value: Some(value.into()) };
        let update = Update { is_listing: true, changes: vec![change], revision: 0 };
        Prefix { age_us: None, update: Some(update) }
    }

    /// Decodes reports of a message whose ages count from `sent_at`. Leaves out those that cannot be true.
    pub fn reports(&self, sent_at: Time) -> Vec<(u64, Dated)> {
        let change = self.update.as_ref().and_then(|it| it.changes.first());
        let value = change.filter(|it| it.key == REPORTS_KEY).and_then(|it| it.value.as_ref());
        let report = |bytes: &[u8]| {
            let (upstream, rest) = bytes.split_first_chunk::<8>()?;
            let (figures, age) = rest.split_at_checked(8)?;
            let mut figures = figures.chunks_exact(2).map(|it| u16::from_le_bytes([it[0], it[1]]));
            let (running, waiting, slots) = (figures.next()?, figures.next()?, figures.next()?);
            let report = Report::new(running, waiting, slots, Some(figures.next()?))?;
            let age = u32::from_le_bytes(age.try_into().ok()?);
            let at = sent_at - Span(u64::from(age));
            Some((u64::from_le_bytes(*upstream), Dated { at, report }))
        };
        let bytes = value.map_or(&[][..], |it| &it.0);
        bytes.chunks_exact(REPORT_BYTES).filter_map(report).collect()
    }
}

/// Attempts in progress at one upstream, as sent by one or more hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Hash of the upstream's id and start time.
    pub upstream: u64,
    /// Prompt tokens of attempts without a first event yet, by priority.
    pub pending: [u32; TIERS],
    /// Number of attempts.
    pub running: u16,
    /// Remaining time for which the upstream is ejected after a failure, in milliseconds, or [`Load::LEAVES`].
    pub ejected_ms: u16,
}

impl Load {
    /// Value of `ejected_ms` for an upstream whose answers say that it leaves. More than any ejection lasts; hosts of
    /// earlier versions prefer other upstreams and pass the value on.
    pub const LEAVES: u16 = u16::MAX;

    /// Returns which of the upstreams leave.
    pub fn leaving(loads: &[Load]) -> Vec<u64> {
        loads.iter().filter(|it| it.ejected_ms == Load::LEAVES).map(|it| it.upstream).collect()
    }
}

/// A part of a prompt that was sent to an engine and is assumed to be in its prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Hash of the part.
    pub part: u64,
    /// Hash of the engine's id and start time.
    pub upstream: u64,
}

/// Request counts of a host in a usage window. Stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Host id with a suffix that is unique to the process.
    pub writer: String,
    /// Number of the window.
    pub window: u64,
    /// Whether the counts are final.
    pub ended: bool,
    /// Requests by customer, sorted by name. A count never decreases.
    pub counts: Vec<(String, u64)>,
}

/// Request for updates, with the loads and counts of the requesting host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Id of the requesting host.
    pub host: String,
    /// Whether the requesting host is a hub of another group, which sends no loads in requests.
    pub is_hub: bool,
    /// Revision of the requesting host's copy of each followed prefix, zero for one without a
    /// listing. A further one for the evacuations if it follows them, which hosts of earlier versions ignore.
    pub revisions: Vec<u64>,
    /// Loads of the requesting host.
    pub loads: Vec<Load>,
    /// Parts that the requesting host placed since its last request, none if it is a hub.
    pub placed: Vec<Placement>,
    /// Position in the responding host's placed parts up to which they were received.
    pub placed_after: u64,
    /// Counts that changed since the last request with a response.
    pub counts: Vec<Counts>,
}

/// Response with the changes that the requesting host lacks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Id of the responding host.
    pub host: String,
    /// Whether the responding host verified its configuration to be current within the last two
    /// seconds.
    pub is_current: bool,
    /// Whether the store answered the responding host within the last second.
    pub follows_store: bool,
    /// Remaining time in which upstreams rewrite their entries after an outage of the store, in
    /// microseconds.
    pub outage_grace_us: u64,
    /// One for each followed prefix, one with the rate limits of upstreams, one with evidence about crashes, one with what
    /// upstreams report of their load, and one with evacuations of availability zones if the requesting host asks for
    /// them. The last ones are left out at the end if there are none, and hosts of earlier versions ignore them.
    pub prefixes: Vec<Prefix>,
    /// Loads of all other hosts, or of the responding host's group if the requesting host is a hub.
    pub loads: Vec<Load>,
    /// Parts that the same hosts placed.
    pub placed: Vec<Placement>,
    /// Position up to which placed parts are included.
    pub placed_next: u64,
}

/// Names of the prefixes of a response, by index.
const PREFIX_NAMES: [&str; 7] =
    ["configuration", "upstreams", "fleet", "limits", "evidence", "reports", "evacuations"];

impl Response {
    /// Returns the encoded size of each content in bytes.
    pub fn sizes(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let prefixes = PREFIX_NAMES.into_iter().zip(self.prefixes.iter().map(encoded_size));
        prefixes
            .chain([("loads", encoded_size(&self.loads)), ("placed", encoded_size(&self.placed))])
    }
}

impl Placement {
    /// Largest encoded size in bytes.
    pub const MAX_BYTES: u64 = 18;
}

/// Size of a value in a message, in bytes.
fn encoded_size<T: Serialize>(value: &T) -> u64 {
    // Fails only for sequences of unknown length, which messages do not contain.
    bincode::options().serialized_size(value).unwrap_or(0)
}

/// Request for a permit to send one request to an upstream that names a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Hash of the upstream's id and start time.
    pub upstream: u64,
    /// Requests per second that the upstream named, `None` if it no longer names a limit.
    pub rate: Option<f64>,
    /// Time since the requesting host heard of it, in microseconds.
    pub age_us: u64,
    /// Priority tier of the request, zero first.
    pub tier: u8,
    /// Whether the host only reports the limit and needs no permit.
    pub is_report: bool,
}

/// Decision about a permit, with the limit as the responding host knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// Whether one request may be sent.
    pub granted: bool,
    /// Time before which no request may be sent if it was not granted, in microseconds.
    pub retry_after_us: u64,
    /// Requests per second that the upstream named, `None` if it no longer names a limit.
    pub rate: Option<f64>,
    /// Time since the responding host heard of it, in microseconds.
    pub age_us: u64,
}

/// RPC service of each host for the others.
#[tarpc::service]
pub trait Peer {
    /// Exchanges updates, loads and counts between two hosts.
    async fn sync(request: Request) -> Response;

    /// Asks for a permit to send to an upstream that names a rate limit. Hosts of earlier versions
    /// close the connection.
    async fn permit(request: PermitRequest) -> PermitResponse;

    /// Reports evidence about crashes. Hosts of earlier versions close the connection.
    async fn report(evidence: Evidence);

    /// Passes on what upstreams reported of their load. Hosts of earlier versions close the connection.
    async fn hear(reports: Prefix);
}
