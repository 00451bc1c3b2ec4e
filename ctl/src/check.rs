//! Check of records before they are sent: errors, entries that never match, contradictions, and what changes.

use almondrack::{
    change::{self, Refusal, Set},
    content::{Content, PREFIX},
    lint::{self, Category, Finding},
    platform::Entry,
    record::Record,
    schema::{self, Fault},
    time::wall_ms,
    wire,
};
use serde_json::{Value, json};

use crate::{
    apply::{self, Source},
    client::{Call, Client},
    failure::Failure,
    flags::Check,
};

/// Exit code if records would be refused.
const ERRORS: u8 = 1;

/// Exit code if records would be accepted and are doubtful.
const DOUBTS: u8 = 5;

/// What a check found.
struct Report {
    errors: Vec<Fault>,
    /// Findings that the records bring, and those that stand already.
    findings: Vec<(Finding, Standing)>,
    /// Plan of the changes, absent if the records would be refused.
    plan: Option<change::Plan>,
    /// Files of the records, sorted by kind and name of the record.
    sources: Vec<Source>,
}

/// Whether a finding is due to the records that are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    New,
    Already,
}

/// Checks the records of files against those in force, or by themselves if they are not to be compared.
pub(crate) async fn execute(
    flags: &Check,
    client: Option<&Client>,
    json: bool,
) -> Result<String, Failure> {
    let sources = apply::sources("check", &flags.path, &flags.delete)?;
    let content = match client {
        Some(client) => in_force(client).await?,
        None => Content::default(),
    };
    let report = check(&content, sources, &flags.delete, wall_ms())?;
    let is_compared = client.is_some();
    let text = if json { report.to_json(is_compared) } else { report.to_text(is_compared) };
    match report.code() {
        0 => Ok(text),
        code => Err(Failure::Found { report: text, code }),
    }
}

/// Reads the records that one host has.
async fn in_force(client: &Client) -> Result<Content, Failure> {
    let listed = client.call(&Call::get("/v1/records")).await?.json();
    let entry = |it: &Value| Entry {
        key: format!("{PREFIX}{}/{}", text(&it["kind"]), text(&it["name"])),
        version: it["revision"].as_u64().unwrap_or_default(),
        value: Some(it["record"].to_string()),
    };
    let entries = listed["records"].as_array().into_iter().flatten().map(entry).collect();
    let revision = listed["revision"].as_u64().unwrap_or_default();
    let mut content = Content::default();
    let listing = wire::Snapshot { after: 0, revision, entries };
    content
        .apply(listing)
        .map_err(|it| Failure::Refused(format!("the host's records cannot be read: {it}")))?;
    Ok(content)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn check(
    content: &Content,
    sources: Vec<Source>,
    delete: &[String],
    now_ms: u64,
) -> Result<Report, Failure> {
    let records = sources.iter().map(|it| it.record.to_string()).collect();
    let set = Set { records, delete: delete.to_vec(), if_revision: None };
    let (errors, plan) = match change::plan(content, &set) {
        Ok(plan) => (Vec::new(), Some(plan)),
        Err(Refusal::Invalid(faults)) => (faults, None),
        Err(Refusal::Entangled(records)) => {
            let accepted = "changes that are valid one after the other; split the set".to_owned();
            let fault = |record| Fault {
                record,
                field: String::new(),
                found: "a change that is only valid together with others".to_owned(),
                accepted: accepted.clone(),
            };
            (records.into_iter().map(fault).collect(), None)
        }
        Err(Refusal::TooLarge(size)) => {
            let message = format!("found {size} changes; accepted: {}", change::MAX_CHANGES);
            return Err(Failure::Usage(message));
        }
        Err(Refusal::Conflict { .. }) => {
            unreachable!("a set without a revision conflicts with none")
        }
    };
    if plan.is_none() {
        // What refers to a record with errors would be reported as well.
        return Ok(Report { errors, findings: Vec::new(), plan, sources });
    }
    let stored: Vec<_> = content.records().filter(|it| it.in_force).collect();
    let stored: Vec<_> = stored
        .iter()
        .filter_map(|it| Some(schema::parse_at(it.key, it.text.as_bytes()).ok()?.record))
        .collect();
    let is_replaced = |it: &Record| {
        let id = format!("{}/{}", it.kind(), it.name());
        sources.binary_search_by(|source| source.id.cmp(&id)).is_ok() || delete.contains(&id)
    };
    let written =
        set.records.iter().filter_map(|it| Some(schema::parse(it.as_bytes()).ok()?.record));
    let written: Vec<_> = written.collect();
    let result = stored.iter().filter(|it| !is_replaced(it)).chain(&written);
    let before = lint::review(&stored, now_ms);
    let findings = lint::review(result, now_ms).into_iter().map(|it| {
        let standing =
            if before.binary_search(&it).is_ok() { Standing::Already } else { Standing::New };
        (it, standing)
    });
    Ok(Report { errors, findings: findings.collect(), plan, sources })
}

impl Report {
    fn code(&self) -> u8 {
        if !self.errors.is_empty() {
            ERRORS
        } else if self.findings.iter().any(|it| it.1 == Standing::New) {
            DOUBTS
        } else {
            0
        }
    }

    /// File of a record, `None` for one that stands already.
    fn file(&self, record: &str) -> Option<String> {
        let found = self.sources.binary_search_by(|it| it.id.as_str().cmp(record)).ok()?;
        Some(self.sources[found].path.display().to_string())
    }

    fn to_json(&self, is_compared: bool) -> String {
        let errors: Vec<_> = self
            .errors
            .iter()
            .map(|it| {
                let mut value = json!(it);
                value["file"] = json!(self.file(&it.record));
                value
            })
            .collect();
        let findings: Vec<_> = self
            .findings
            .iter()
            .map(|(it, standing)| {
                let mut value = json!(it);
                value["file"] = json!(self.file(&it.record));
                value["new"] = json!(*standing == Standing::New);
                value
            })
            .collect();
        let plan = self.plan.as_ref().filter(|_| is_compared);
        let value = json!({
            "errors": errors,
            "findings": findings,
            "revision": plan.map(|it| it.revision),
            "steps": plan.map(|it| &it.steps),
            "unchanged": plan.map(|it| &it.unchanged),
        });
        format!("{value:#}\n")
    }

    fn to_text(&self, is_compared: bool) -> String {
        let mut out = String::new();
        let place = |record: &str, field: &str| {
            let file = self.file(record).map(|it| format!("{it}: ")).unwrap_or_default();
            let field = if field.is_empty() { String::new() } else { format!("{field}: ") };
            format!("{file}{record}: {field}")
        };
        if !self.errors.is_empty() {
            out.push_str("errors:\n");
        }
        for it in &self.errors {
            let place = place(&it.record, &it.field);
            out.push_str(&format!("  {place}found {}; accepted: {}\n", it.found, it.accepted));
        }
        let titles = [
            (Category::Unreachable, "never match:\n"),
            (Category::Contradiction, "contradict each other:\n"),
        ];
        for (category, title) in titles {
            let mut findings =
                self.findings.iter().filter(|it| it.0.category == category).peekable();
            if findings.peek().is_some() {
                out.push_str(title);
            }
            for (it, standing) in findings {
                let already = match standing {
                    Standing::New => "",
                    Standing::Already => " (stands already)",
                };
                let place = place(&it.record, &it.field);
                out.push_str(&format!("  {place}{}{already}\n", it.reason));
            }
        }
        match &self.plan {
            Some(plan) if is_compared => {
                out.push_str(&format!("changes against revision {}:\n", plan.revision));
                out.push_str(&apply::steps(&json!(plan.steps), effect));
                let (steps, unchanged) = (plan.steps.len(), plan.unchanged.len());
                out.push_str(&format!("{steps} to change, {unchanged} unchanged\n"));
            }
            _ => {}
        }
        let new = self.findings.iter().filter(|it| it.1 == Standing::New).count();
        let old = self.findings.len() - new;
        let errors = self.errors.len();
        out.push_str(&format!("errors: {errors}, doubts: {new}, standing already: {old}\n"));
        out
    }
}

/// What a field of a record changes for callers.
fn effect(kind: &str, field: &str) -> &'static str {
    match (kind, field) {
        ("customer", "weight") => "share of busy upstreams",
        ("customer", "requests_per_second" | "tokens_per_minute" | "concurrency") => {
            "which requests are refused"
        }
        ("key", "expires_ms" | "withdrawn") => "how long the key is accepted",
        ("key", "customer" | "role" | "digest") => "who the key admits",
        ("class", "tier" | "floor_per_mille") => "which requests go first",
        ("class", "max_wait_ms") => "when waiting requests are refused",
        ("class", "first_token_ms" | "token_gap_ms" | "attainment_per_mille") => "the target",
        ("route", "target") => "which requests match",
        ("route", "pool") => "where requests run",
        ("route", "class") => "target and priority of requests",
        ("route", "open" | "customers") => "who may send requests",
        ("route", "repeatable") => "whether failed requests are sent again",
        ("route", "max_body_bytes") => "which bodies are refused",
        ("route", "timeout_ms") => "how long callers wait at most",
        ("pool", "models") => "which models run",
        ("pool", "slots" | "kv_tokens" | "min_per_zone" | "max_per_zone") => {
            "how many requests run at once"
        }
        _ => "",
    }
}
