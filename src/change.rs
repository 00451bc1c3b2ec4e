//! Sets of changes to the configuration: validated as a whole, compared with what stands, and put into an order in
//! which the configuration is valid after each write.
//!
//! The store changes one key at a time, so that a set cannot be written at once. A failure part-way leaves a valid
//! configuration, and the same set can be applied again.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{
    content::{Content, PREFIX},
    record::Record,
    schema::{Fault, is_name, parse, parse_at},
};

/// Most changes in one set.
pub const MAX_CHANGES: usize = 5_000;

/// Kinds of records in the order in which they are written; those that refer to others come later.
const KINDS: [&str; 5] = ["customer", "class", "pool", "key", "route"];

/// Changes that are to take hold together.
#[derive(Debug, Clone, Default)]
pub struct Set {
    /// Texts of records to create or update.
    pub records: Vec<String>,
    /// Records to delete, kind and name joined by `/`.
    pub delete: Vec<String>,
    /// Refuses the set if one of its records changed after this revision.
    pub if_revision: Option<u64>,
}

/// What a change does to its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// The record did not exist.
    Create,
    /// The record exists with other content.
    Update,
    /// The record exists and goes.
    Delete,
}

/// A field that a change sets to another value.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// Name of the field.
    pub field: String,
    /// Value that stands, if there is one.
    pub before: Option<Value>,
    /// Value to come, if there is one.
    pub after: Option<Value>,
}

/// One write of a plan.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Step {
    /// Kind and name of the record, joined by `/`.
    pub record: String,
    /// What is done to it.
    pub action: Action,
    /// Version that stands, zero if the record does not exist.
    pub version: u64,
    /// Fields that change.
    pub differences: Vec<Difference>,
    /// Text to write; absent for a deletion.
    #[serde(skip)]
    pub text: Option<String>,
}

/// Writes in an order in which the configuration is valid after each.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Plan {
    /// Revision of the configuration that the plan was made for.
    pub revision: u64,
    /// Writes, first to last.
    pub steps: Vec<Step>,
    /// Records of the set that stand as wanted.
    pub unchanged: Vec<String>,
}

/// Why there is no plan for a set.
#[derive(Debug, Clone, PartialEq)]
pub enum Refusal {
    /// The set or the configuration that it would lead to is not valid.
    Invalid(Vec<Fault>),
    /// The record changed after the revision that the set was based on.
    Conflict {
        /// Kind and name of the record, joined by `/`.
        record: String,
        /// Version that stands.
        version: u64,
    },
    /// The changes of these records can only be made at once, such as an exchange of targets.
    Entangled(Vec<String>),
    /// The set has more changes than are accepted.
    TooLarge(usize),
}

struct Draft {
    step: Step,
    record: Option<Record>,
}

/// Overlay of changed records by store key; `None` deletes.
type Overlay<'a> = BTreeMap<String, Option<&'a Record>>;

/// Validates a set and makes a plan for it.
///
/// # Errors
/// A `Refusal`; nothing of the set may be written then.
pub fn plan(content: &Content, set: &Set) -> Result<Plan, Refusal> {
    let size = set.records.len() + set.delete.len();
    if size > MAX_CHANGES {
        return Err(Refusal::TooLarge(size));
    }
    let mut unchanged = Vec::new();
    let mut drafts = drafts(content, set, &mut unchanged)?;
    if let Some(revision) = set.if_revision {
        refuse_newer(&drafts, revision)?;
    }
    drafts.sort_by_key(|it| rank(&it.step));
    let check = Check { content, baseline: content.strict_faults(&[]) };
    let all: Overlay<'_> =
        drafts.iter().map(|it| (key(&it.step.record), it.record.as_ref())).collect();
    let faults = check.new_faults(&all);
    if !faults.is_empty() {
        return Err(Refusal::Invalid(faults));
    }
    let order = order(&check, &drafts)?;
    let mut steps: Vec<_> = drafts.into_iter().map(|it| Some(it.step)).collect();
    let steps = order.into_iter().filter_map(|it| steps[it].take()).collect();
    Ok(Plan { revision: content.revision(), steps, unchanged })
}

/// Fields that differ between two texts of a record.
pub fn differences(before: Option<&str>, after: Option<&str>) -> Vec<Difference> {
    let object = |text: Option<&str>| -> Map<String, Value> {
        text.and_then(|it| serde_json::from_str(it).ok()).unwrap_or_default()
    };
    let (mut before, after) = (object(before), object(after));
    let mut differences = Vec::new();
    for (field, value) in after {
        let old = before.remove(&field);
        if old.as_ref() != Some(&value) {
            differences.push(Difference { field, before: old, after: Some(value) });
        }
    }
    let removed = before.into_iter();
    differences.extend(removed.map(|(field, old)| Difference {
        field,
        before: Some(old),
        after: None,
    }));
    differences
}

fn key(record: &str) -> String {
    format!("{PREFIX}{record}")
}

/// The changes of a set, each valid by itself and different from what stands.
fn drafts(
    content: &Content,
    set: &Set,
    unchanged: &mut Vec<String>,
) -> Result<Vec<Draft>, Refusal> {
    let mut faults = Vec::new();
    let mut drafts: BTreeMap<String, Draft> = BTreeMap::new();
    for text in &set.records {
        let record = match parse(text.as_bytes()) {
            Ok(parsed) => parsed.record,
            Err(found) => {
                faults.extend(found);
                continue;
            }
        };
        let id = format!("{}/{}", record.kind(), record.name());
        let draft = write(content, &id, text, record);
        if drafts.insert(id.clone(), draft).is_some() {
            faults.push(whole(&id, "the record twice in the set", "the record once"));
        }
    }
    for id in &set.delete {
        let Some((kind, name)) = id.split_once('/') else {
            faults.push(whole(id, "no kind and name", "kind/name, such as route/chat"));
            continue;
        };
        if !KINDS.contains(&kind) || !is_name(name) {
            let accepted = format!("a kind of {} and a name", KINDS.join(", "));
            faults.push(whole(id, "an unknown kind or a bad name", &accepted));
        } else if drafts.insert(id.clone(), delete(content, id)).is_some() {
            faults.push(whole(id, "the record twice in the set", "the record once"));
        }
    }
    if !faults.is_empty() {
        return Err(Refusal::Invalid(faults));
    }
    let mut changed = Vec::new();
    for (id, draft) in drafts {
        if stands(content, &draft) {
            unchanged.push(id);
        } else {
            changed.push(draft);
        }
    }
    Ok(changed)
}

fn whole(record: &str, found: &str, accepted: &str) -> Fault {
    let shown: String = record.chars().take(130).collect();
    Fault {
        record: shown,
        field: String::new(),
        found: found.to_owned(),
        accepted: accepted.to_owned(),
    }
}

fn write(content: &Content, id: &str, text: &str, record: Record) -> Draft {
    let stored = content.record(&key(id));
    let action = if stored.is_some() { Action::Update } else { Action::Create };
    let step = Step {
        record: id.to_owned(),
        action,
        version: stored.map_or(0, |it| it.version),
        differences: differences(stored.map(|it| it.text), Some(text)),
        text: Some(text.to_owned()),
    };
    Draft { step, record: Some(record) }
}

fn delete(content: &Content, id: &str) -> Draft {
    let stored = content.record(&key(id));
    let step = Step {
        record: id.to_owned(),
        action: Action::Delete,
        version: stored.map_or(0, |it| it.version),
        differences: differences(stored.map(|it| it.text), None),
        text: None,
    };
    Draft { step, record: None }
}

/// Whether the store holds a record as the change wants it.
fn stands(content: &Content, draft: &Draft) -> bool {
    let id = key(&draft.step.record);
    match (content.record(&id), &draft.step.text) {
        (None, None) => true,
        (None, Some(_)) | (Some(_), None) => false,
        (Some(stored), Some(text)) => {
            let old = parse_at(&id, stored.text.as_bytes());
            let new = parse_at(&id, text.as_bytes());
            old.is_ok() && old == new
        }
    }
}

fn refuse_newer(drafts: &[Draft], revision: u64) -> Result<(), Refusal> {
    let newer = drafts.iter().find(|it| it.step.version > revision);
    newer.map_or(Ok(()), |it| {
        Err(Refusal::Conflict { record: it.step.record.clone(), version: it.step.version })
    })
}

/// Position of a change in the usual order: writes by kind, then deletions in reverse.
fn rank(step: &Step) -> usize {
    let kind = step.record.split('/').next().unwrap_or_default();
    let position = KINDS.iter().position(|it| *it == kind).unwrap_or(KINDS.len());
    match step.action {
        Action::Create | Action::Update => position,
        Action::Delete => 2 * KINDS.len() - position,
    }
}

struct Check<'a> {
    content: &'a Content,
    /// Faults that stand already.
    baseline: Vec<Fault>,
}

impl Check<'_> {
    /// Faults of changed records, and those that the changes bring to others.
    fn new_faults(&self, overlay: &Overlay<'_>) -> Vec<Fault> {
        let changes: Vec<_> = overlay.iter().map(|(key, it)| (key.as_str(), *it)).collect();
        let mut faults = self.content.strict_faults(&changes);
        faults.retain(|it| overlay.contains_key(&key(&it.record)) || !self.baseline.contains(it));
        faults
    }
}

/// Finds an order in which no change brings a fault at its time.
fn order(check: &Check<'_>, drafts: &[Draft]) -> Result<Vec<usize>, Refusal> {
    // New records in the usual order refer only to what stands before them.
    if drafts.iter().all(|it| it.step.action == Action::Create) {
        return Ok((0..drafts.len()).collect());
    }
    let mut written = Overlay::new();
    let mut order = Vec::new();
    let mut waiting: Vec<usize> = (0..drafts.len()).collect();
    while !waiting.is_empty() {
        let before = waiting.len();
        waiting.retain(|&position| {
            let draft = &drafts[position];
            let key = key(&draft.step.record);
            written.insert(key.clone(), draft.record.as_ref());
            let fits = check.new_faults(&written).is_empty();
            if fits {
                order.push(position);
            } else {
                written.remove(&key);
            }
            !fits
        });
        if waiting.len() == before {
            let records = waiting.iter().map(|it| drafts[*it].step.record.clone()).collect();
            return Err(Refusal::Entangled(records));
        }
    }
    Ok(order)
}
