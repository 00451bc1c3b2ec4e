//! Operations of the administration interface on configuration and keys.

use std::sync::Arc;

use bytes::Bytes;
use rand::{TryRngCore as _, rngs::OsRng};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use tokio::sync::watch;

use crate::{
    audit::{self, Intent, Outcome, Written},
    change::{self, Plan, Refusal, Set, Step},
    config::Snapshot,
    content::{Content, PREFIX, WITHDRAWN},
    credential::Digest,
    error::{Error, Kind},
    platform::{Cause, Client, Failure, Write},
    record::{Key, Record, Role, SCHEMA},
    schema::{self, Fault, Migration, parse_at},
    time::wall_ms,
    watcher,
    writer::{self, Doubt},
};

/// Bytes of randomness in a secret.
const SECRET_BYTES: usize = 32;

/// Attempts to mark a key's record as withdrawn while others change it.
const MARK_ATTEMPTS: usize = 4;

/// Longest overlap of a rotation, in milliseconds.
const MAX_OVERLAP_MS: u64 = 90 * 24 * 3_600_000;

/// Most records that one call migrates.
const MAX_MIGRATIONS: usize = 1_000;

/// What a failed operation did to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Nothing was changed.
    None,
    /// The records listed as written were changed, the others were not.
    Partial,
    /// It is not known whether the last write took effect.
    Unknown,
}

/// Why an operation failed.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    /// Kind and message.
    pub error: Error,
    /// What is wrong with the records.
    pub faults: Vec<Fault>,
    /// Version that stands, after a conflict.
    pub revision: Option<u64>,
    /// What was done.
    pub effect: Effect,
    /// Records that were changed before the failure.
    pub written: Vec<Written>,
}

impl Problem {
    /// A problem that changed nothing.
    pub fn new(kind: Kind, message: impl Into<String>) -> Problem {
        Problem {
            error: Error::new(kind, message),
            faults: Vec::new(),
            revision: None,
            effect: Effect::None,
            written: Vec::new(),
        }
    }

    fn conflict(record: &str, version: u64) -> Problem {
        let message = if version == 0 {
            format!("{record} does not exist")
        } else {
            format!("{record} stands at revision {version}")
        };
        Problem { revision: Some(version), ..Problem::new(Kind::RevisionConflict, message) }
    }

    fn invalid(faults: Vec<Fault>) -> Problem {
        let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
        Problem { faults, ..Problem::new(Kind::InvalidRecord, lines.join("; ")) }
    }
}

impl From<Error> for Problem {
    fn from(error: Error) -> Problem {
        Problem::new(error.kind, error.message)
    }
}

impl From<Failure> for Problem {
    fn from(failure: Failure) -> Problem {
        Problem::new(Kind::StoreUnavailable, failure.to_string())
    }
}

impl From<Doubt> for Problem {
    fn from(doubt: Doubt) -> Problem {
        let effect = if doubt.effect { Effect::Unknown } else { Effect::None };
        Problem { effect, ..Problem::from(doubt.failure) }
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Problem {
        match refusal {
            Refusal::Invalid(faults) => Problem::invalid(faults),
            Refusal::Conflict { record, version } => Problem::conflict(&record, version),
            Refusal::Entangled(records) => {
                let message = format!(
                    "{} cannot be written one after the other with a valid configuration after \
                     each; move one of them out of the way first",
                    records.join(", ")
                );
                Problem::new(Kind::InvalidRecord, message)
            }
            Refusal::TooLarge(size) => {
                let message =
                    format!("{size} changes; at most {} are accepted", change::MAX_CHANGES);
                Problem::new(Kind::BadRequest, message)
            }
        }
    }
}

/// Version that a change is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The record must not exist.
    Absent,
    /// The record must stand at this version.
    Version(u64),
}

/// A plan and what was done of it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Applied {
    /// The writes in their order.
    #[serde(flatten)]
    pub plan: Plan,
    /// Whether the plan was only made and not carried out.
    pub dry_run: bool,
    /// Records that were changed.
    pub written: Vec<Written>,
}

/// Wanted key.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Issue {
    /// Name of the key's record.
    pub name: String,
    /// What the key entitles to.
    #[serde(default = "caller")]
    pub role: Role,
    /// Customer of a caller.
    #[serde(default)]
    pub customer: Option<String>,
    /// Wall-clock end of validity, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub expires_ms: Option<u64>,
}

fn caller() -> Role {
    Role::Caller
}

/// A new key. The secret cannot be read again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Issued {
    /// Name of the key's record.
    pub name: String,
    /// The secret, to be sent as bearer token.
    pub secret: String,
    /// Revision of the record.
    pub revision: u64,
}

/// Wanted rotation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rotate {
    /// Time for which the old secret stays valid, in milliseconds.
    pub overlap_ms: u64,
    /// Name of the new key's record; the old name with the next number if absent.
    #[serde(default)]
    pub name: Option<String>,
}

/// A new key in place of an old one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Rotated {
    /// The new key.
    #[serde(flatten)]
    pub issued: Issued,
    /// Name of the old key's record.
    pub old: String,
    /// Wall-clock end of the old key's validity, in milliseconds since the Unix epoch.
    pub old_expires_ms: u64,
}

/// A withdrawn key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Withdrawn {
    /// Name of the key's record.
    pub name: String,
    /// Largest revision of the withdrawal's writes.
    pub revision: u64,
}

/// Migrations that were made or would be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Migrated {
    /// Whether nothing was written.
    pub dry_run: bool,
    /// Records in an older schema, before and after.
    pub migrations: Vec<Migration>,
    /// Records that were changed.
    pub written: Vec<Written>,
    /// Whether more records remain in an older schema.
    pub more: bool,
}

/// A record as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// Revision of the last write.
    pub version: u64,
    /// The text.
    pub text: String,
}

/// Access of one host to the configuration in the store.
#[derive(Debug, Clone)]
pub struct Operations {
    /// Platform with the store.
    pub platform: Client,
    /// Id of this host.
    pub host: String,
    /// Configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Entries behind the configuration in force.
    pub content: watch::Receiver<Arc<Content>>,
}

impl Operations {
    /// Reads a record from the store, or from the configuration of this host if the store does not answer.
    ///
    /// # Errors
    /// `NotFound`, or `StoreUnavailable` if this host does not know the record either.
    pub async fn get(&self, id: &str) -> Result<Found, Problem> {
        let key = format!("{PREFIX}{id}");
        match self.platform.get(Cause::Config, &key).await {
            Ok(Some(value)) => {
                let text = String::from_utf8_lossy(&value.bytes).into_owned();
                Ok(Found { version: value.version, text })
            }
            Ok(None) => Err(Problem::new(Kind::NotFound, format!("there is no {id}"))),
            Err(failure) => {
                let content = self.content.borrow();
                let stored = content.record(&key).ok_or(failure)?;
                Ok(Found { version: stored.version, text: stored.text.to_owned() })
            }
        }
    }

    /// Creates or replaces a record.
    ///
    /// # Errors
    /// `InvalidRecord` with every fault, `RevisionConflict`, `StoreUnavailable`.
    pub async fn put(
        &self,
        who: &str,
        id: &str,
        text: String,
        condition: Condition,
    ) -> Result<Written, Problem> {
        parse_at(id, text.as_bytes()).map_err(Problem::invalid)?;
        let text = compact(&text);
        let set = Set { records: vec![text.clone()], ..Set::default() };
        self.one(who, "put", id, set, condition).await
    }

    /// Deletes a record.
    ///
    /// # Errors
    /// `InvalidRecord` if another record refers to it, `RevisionConflict`, `NotFound`, `StoreUnavailable`.
    pub async fn delete(&self, who: &str, id: &str, version: u64) -> Result<Written, Problem> {
        let set = Set { delete: vec![id.to_owned()], ..Set::default() };
        self.one(who, "delete", id, set, Condition::Version(version)).await
    }

    async fn one(
        &self,
        who: &str,
        action: &str,
        id: &str,
        set: Set,
        condition: Condition,
    ) -> Result<Written, Problem> {
        let content = self.present().await?;
        let stored = content.record(&format!("{PREFIX}{id}")).map_or(0, |it| it.version);
        let wanted = match condition {
            Condition::Absent => 0,
            Condition::Version(version) => version,
        };
        if stored == 0 && !set.delete.is_empty() {
            return Err(Problem::new(Kind::NotFound, format!("there is no {id}")));
        }
        if stored != wanted {
            return Err(Problem::conflict(id, stored));
        }
        let plan = plan(content, set).await?;
        let unchanged = Written { record: id.to_owned(), revision: stored };
        let mut written = self.carry_out(who, action, &plan.steps).await?;
        Ok(written.pop().unwrap_or(unchanged))
    }

    /// Applies a set of changes, or only makes the plan for it.
    ///
    /// # Errors
    /// As `put`; `written` tells what was changed before a failure. The same set may be applied again.
    pub async fn apply(&self, who: &str, set: Set, dry_run: bool) -> Result<Applied, Problem> {
        let content = self.present().await?;
        let plan = plan(content, set).await?;
        let written =
            if dry_run { Vec::new() } else { self.carry_out(who, "apply", &plan.steps).await? };
        Ok(Applied { plan, dry_run, written })
    }

    /// Issues a key and returns its secret.
    ///
    /// # Errors
    /// As `put`.
    pub async fn issue(&self, who: &str, wanted: Issue) -> Result<Issued, Problem> {
        let content = self.present().await?;
        let (secret, text) = new_key(&wanted)?;
        let id = format!("key/{}", wanted.name);
        if let Some(stored) = content.record(&format!("{PREFIX}{id}")) {
            return Err(Problem::conflict(&id, stored.version));
        }
        let set = Set { records: vec![text], ..Set::default() };
        let plan = plan(content, set).await?;
        let written = self.carry_out(who, "issue", &plan.steps).await?;
        let revision = written.last().map_or(0, |it| it.revision);
        Ok(Issued { name: wanted.name, secret, revision })
    }

    /// Issues a key in place of another and ends the other's validity after an overlap.
    ///
    /// # Errors
    /// As `put`; `NotFound`; `InvalidKey` if the key is withdrawn. The new key is written first, so that a failure
    /// never leaves the customer without a valid key.
    pub async fn rotate(&self, who: &str, name: &str, wanted: Rotate) -> Result<Rotated, Problem> {
        if wanted.overlap_ms > MAX_OVERLAP_MS {
            let message =
                format!("overlap_ms: found {}; accepted: 0 to {MAX_OVERLAP_MS}", wanted.overlap_ms);
            return Err(Problem::new(Kind::BadRequest, message));
        }
        let content = self.present().await?;
        let id = format!("key/{name}");
        let (old, text) = key_record(&content, &id)?;
        if old.withdrawn {
            return Err(Problem::new(Kind::InvalidKey, format!("{id} is withdrawn")));
        }
        let end = wall_ms().saturating_add(wanted.overlap_ms);
        let old_expires_ms = old.expires_ms.map_or(end, |it| it.min(end));
        let new = wanted.name.unwrap_or_else(|| next_name(&content, name));
        let issue = Issue {
            name: new.clone(),
            role: old.role,
            customer: old.customer.clone(),
            expires_ms: None,
        };
        let (secret, new_text) = new_key(&issue)?;
        if let Some(stored) = content.record(&format!("{PREFIX}key/{new}")) {
            return Err(Problem::conflict(&format!("key/{new}"), stored.version));
        }
        let ended = with_field(&text, "expires_ms", json!(old_expires_ms));
        let set = Set { records: vec![new_text, ended], ..Set::default() };
        let mut plan = plan(content, set).await?;
        plan.steps.sort_by_key(|it| it.record == id);
        let written = self.carry_out(who, "rotate", &plan.steps).await?;
        let revision = written.first().map_or(0, |it| it.revision);
        let issued = Issued { name: new, secret, revision };
        Ok(Rotated { issued, old: name.to_owned(), old_expires_ms })
    }

    /// Withdraws a key for good.
    ///
    /// The digest is recorded first, by which no record can make the secret valid again.
    ///
    /// # Errors
    /// `NotFound`, `StoreUnavailable`. May be repeated.
    pub async fn withdraw(&self, who: &str, name: &str) -> Result<Withdrawn, Problem> {
        let id = format!("key/{name}");
        let mut content = self.present().await?;
        let digests = self.digests(&content, name);
        if content.record(&format!("{PREFIX}{id}")).is_none() {
            return Err(Problem::new(Kind::NotFound, format!("there is no {id}")));
        }
        let intent = self.intend(who, "withdraw", vec![id.clone()]).await?;
        let mut written = Vec::new();
        for digest in digests {
            let key = format!("{WITHDRAWN}{}", digest.to_hex());
            let text = Bytes::from(json!({ "key": name }).to_string());
            match writer::put(&self.platform, Cause::Config, &key, text, 0).await {
                Ok(Write::Written(revision)) => {
                    written.push(Written { record: id.clone(), revision });
                }
                Ok(Write::Conflict(_)) => {}
                Err(doubt) => return Err(self.fail(intent, written, doubt).await),
            }
        }
        for _ in 0..MARK_ATTEMPTS {
            let Some(mark) = mark(&content, &id) else { break };
            let step = Step { text: Some(mark.text), ..step(&id, mark.version) };
            match self.write(&step).await {
                Ok(Ok(it)) => {
                    written.push(it);
                    break;
                }
                // Another operator changed the record; the digest is withdrawn all the same.
                Ok(Err(_)) => content = self.present().await?,
                Err(doubt) => return Err(self.fail(intent, written, doubt).await),
            }
        }
        let revision = written.iter().map(|it| it.revision).max().unwrap_or(content.changed());
        intent.close(&self.platform, Outcome::Done, written).await;
        Ok(Withdrawn { name: name.to_owned(), revision })
    }

    /// Digests that a key's record has in the store and in force.
    fn digests(&self, content: &Content, name: &str) -> Vec<Digest> {
        let mut digests = Vec::new();
        if let Ok((key, _)) = key_record(content, &format!("key/{name}")) {
            digests.extend(Digest::parse(&key.digest));
        }
        let snapshot = self.snapshot.borrow();
        digests.extend(snapshot.keys.iter().filter(|it| it.1.name == name).map(|it| it.0));
        digests.sort_unstable();
        digests.dedup();
        digests
    }

    /// Moves records to the newest schema, or only tells what would change.
    ///
    /// # Errors
    /// As `put`.
    pub async fn migrate(&self, who: &str, dry_run: bool) -> Result<Migrated, Problem> {
        let content = self.present().await?;
        let old = content.records().filter(|it| it.schema.is_some_and(|schema| schema < SCHEMA));
        let migrate = |text: &str| schema::migrate(text).ok().flatten();
        let mut migrations: Vec<_> = old.filter_map(|it| migrate(it.text)).collect();
        let more = migrations.len() > MAX_MIGRATIONS;
        migrations.truncate(MAX_MIGRATIONS);
        let mut steps = Vec::new();
        for it in &migrations {
            let version = content.record(&format!("{PREFIX}{}", it.record)).map(|it| it.version);
            let text = Some(it.after.clone());
            steps.push(Step { text, ..step(&it.record, version.unwrap_or(0)) });
        }
        let written =
            if dry_run { Vec::new() } else { self.carry_out(who, "migrate", &steps).await? };
        Ok(Migrated { dry_run, migrations, written, more })
    }

    /// The configuration at the store's present revision.
    async fn present(&self) -> Result<Content, Problem> {
        let mut content = Content::clone(&self.content.borrow());
        watcher::catch_up(&self.platform, &mut content).await?;
        Ok(content)
    }

    async fn intend(
        &self,
        who: &str,
        action: &str,
        records: Vec<String>,
    ) -> Result<Intent, Problem> {
        let opened = audit::open(&self.platform, &self.host, who, action, records).await;
        // The intent changes nothing of the configuration.
        opened.map_err(|doubt| Problem { effect: Effect::None, ..Problem::from(doubt) })
    }

    /// Writes the steps of a plan in their order.
    async fn carry_out(
        &self,
        who: &str,
        action: &str,
        steps: &[Step],
    ) -> Result<Vec<Written>, Problem> {
        if steps.is_empty() {
            return Ok(Vec::new());
        }
        let records = steps.iter().map(|it| it.record.clone()).collect();
        let intent = self.intend(who, action, records).await?;
        let mut written = Vec::new();
        for step in steps {
            match self.write(step).await {
                Ok(Ok(it)) => written.push(it),
                Ok(Err(version)) => {
                    let outcome =
                        if written.is_empty() { Outcome::Refused } else { Outcome::Partial };
                    intent.close(&self.platform, outcome, written.clone()).await;
                    let effect = if written.is_empty() { Effect::None } else { Effect::Partial };
                    return Err(Problem {
                        effect,
                        written,
                        ..Problem::conflict(&step.record, version)
                    });
                }
                Err(doubt) => return Err(self.fail(intent, written, doubt).await),
            }
        }
        intent.close(&self.platform, Outcome::Done, written.clone()).await;
        Ok(written)
    }

    /// Writes one step; the inner error is the version that stands instead of the expected one.
    async fn write(&self, step: &Step) -> Result<Result<Written, u64>, Doubt> {
        let key = format!("{PREFIX}{}", step.record);
        let write = match &step.text {
            Some(text) => {
                let value = Bytes::from(text.clone());
                writer::put(&self.platform, Cause::Config, &key, value, step.version).await?
            }
            None => writer::delete(&self.platform, Cause::Config, &key, step.version).await?,
        };
        Ok(match write {
            Write::Written(revision) => Ok(Written { record: step.record.clone(), revision }),
            Write::Conflict(version) => Err(version),
        })
    }

    async fn fail(&self, intent: Intent, written: Vec<Written>, doubt: Doubt) -> Problem {
        let (outcome, effect) = match (doubt.effect, written.is_empty()) {
            (true, _) => (Outcome::Unknown, Effect::Unknown),
            (false, true) => (Outcome::Refused, Effect::None),
            (false, false) => (Outcome::Partial, Effect::Partial),
        };
        intent.close(&self.platform, outcome, written.clone()).await;
        Problem { effect, written, ..Problem::from(doubt) }
    }
}

/// Makes a plan on a thread for long computations.
async fn plan(content: Content, set: Set) -> Result<Plan, Problem> {
    let planned = tokio::task::spawn_blocking(move || change::plan(&content, &set)).await;
    let stopped = |_| Problem::new(Kind::Internal, "the host is stopping");
    Ok(planned.map_err(stopped)??)
}

/// A write of a record whose text is still to be set.
fn step(record: &str, version: u64) -> Step {
    Step {
        record: record.to_owned(),
        action: change::Action::Update,
        version,
        differences: Vec::new(),
        text: None,
    }
}

fn key_record(content: &Content, id: &str) -> Result<(Key, String), Problem> {
    let key = format!("{PREFIX}{id}");
    let missing = || Problem::new(Kind::NotFound, format!("there is no {id}"));
    let stored = content.record(&key).ok_or_else(missing)?;
    match parse_at(&key, stored.text.as_bytes()).map_err(Problem::invalid)?.record {
        Record::Key(record) => Ok((record, stored.text.to_owned())),
        Record::Customer(_) | Record::Class(_) | Record::Route(_) | Record::Pool(_) => {
            Err(missing())
        }
    }
}

/// The text that marks a key's record as withdrawn; `None` if it is marked or is not valid.
fn mark(content: &Content, id: &str) -> Option<Found> {
    let (key, text) = key_record(content, id).ok()?;
    let version = content.record(&format!("{PREFIX}{id}"))?.version;
    let marked = with_field(&text, "withdrawn", Value::Bool(true));
    (!key.withdrawn).then_some(Found { version, text: marked })
}

fn with_field(text: &str, field: &str, value: Value) -> String {
    let mut object: Map<String, Value> = serde_json::from_str(text).unwrap_or_default();
    object.insert(field.to_owned(), value);
    Value::Object(object).to_string()
}

/// The text without white space between its tokens.
fn compact(text: &str) -> String {
    let value: Result<Value, _> = serde_json::from_str(text);
    value.map_or_else(|_| text.to_owned(), |it| it.to_string())
}

fn new_key(wanted: &Issue) -> Result<(String, String), Problem> {
    let mut bytes = [0; SECRET_BYTES];
    let failed = |_| Problem::new(Kind::Internal, "the host has no source of randomness");
    OsRng.try_fill_bytes(&mut bytes).map_err(failed)?;
    let secret = format!("ak-{}", Digest(bytes).to_hex());
    let key = Key {
        schema: SCHEMA,
        name: wanted.name.clone(),
        customer: wanted.customer.clone(),
        role: wanted.role,
        digest: Digest::of(&secret).to_hex(),
        expires_ms: wanted.expires_ms,
        withdrawn: false,
    };
    Ok((secret, schema::to_text(&Record::Key(key))))
}

/// The name with the next free number.
fn next_name(content: &Content, name: &str) -> String {
    let numbered = name.rsplit_once('.').and_then(|(base, it)| Some((base, it.parse().ok()?)));
    let (base, number): (&str, u64) = numbered.unwrap_or((name, 1));
    let mut next = number.saturating_add(1);
    while content.record(&format!("{PREFIX}key/{base}.{next}")).is_some() {
        next += 1;
    }
    format!("{base}.{next}")
}
