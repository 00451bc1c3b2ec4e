//! Sets of records from files, and the difference that they make.

use std::{
    fs,
    path::{Path, PathBuf},
};

use serde_json::{Value, json};

use crate::{
    failure::Failure,
    flags::{self, Apply},
};

/// Kinds of records.
pub(crate) const KINDS: [&str; 5] = ["customer", "key", "class", "route", "pool"];

/// A record and the file that it came from.
pub(crate) struct Source {
    /// Kind and name of the record, joined by `/`.
    pub(crate) id: String,
    /// File that holds the record.
    pub(crate) path: PathBuf,
    /// The record, not validated.
    pub(crate) record: Value,
}

/// Reads all files and makes the body of the call; nothing has been sent when this fails.
pub(crate) fn body(flags: &Apply) -> Result<Value, Failure> {
    let sources = sources("apply", &flags.path, &flags.delete)?;
    let records: Vec<_> = sources.into_iter().map(|it| it.record).collect();
    let mut body = json!({ "records": records, "delete": flags.delete, "dry_run": flags.dry_run });
    if let Some(revision) = flags::number("if-revision", flags.if_revision.as_deref())? {
        body["if_revision"] = json!(revision);
    }
    Ok(body)
}

/// Reads the records of a set from all files, sorted by id, and checks what is to be deleted.
pub(crate) fn sources(
    verb: &str,
    paths: &[String],
    delete: &[String],
) -> Result<Vec<Source>, Failure> {
    let mut sources: Vec<Source> = Vec::new();
    for path in paths {
        read(Path::new(path), true, &mut sources)?;
    }
    if sources.is_empty() && delete.is_empty() {
        let message = if paths.is_empty() {
            format!("nothing to {verb}; accepted: a file or directory, or --delete KIND/NAME")
        } else {
            format!("no records in {}; accepted: .json files", paths.join(", "))
        };
        return Err(Failure::Usage(message));
    }
    sources.sort_by(|a, b| a.id.cmp(&b.id));
    for pair in sources.windows(2) {
        if pair[0].id == pair[1].id {
            let (first, second) = (pair[0].path.display(), pair[1].path.display());
            let message = format!(
                "{} stands in {first} and in {second}; accepted: each record once",
                pair[0].id
            );
            return Err(Failure::Usage(message));
        }
    }
    for id in delete {
        check_id(id)?;
        if sources.iter().any(|it| it.id == *id) {
            let message = format!("{id} is both written and deleted; accepted: one of them");
            return Err(Failure::Usage(message));
        }
    }
    Ok(sources)
}

/// Checks a kind.
pub(crate) fn check_kind(kind: &str) -> Result<(), Failure> {
    if KINDS.contains(&kind) {
        return Ok(());
    }
    Err(Failure::Usage(format!("kind: found {kind:?}; accepted: {}", KINDS.join(", "))))
}

/// Checks a name.
pub(crate) fn check_name(what: &str, name: &str) -> Result<(), Failure> {
    if almondrack::schema::is_name(name) {
        return Ok(());
    }
    let accepted = "1 to 64 of a-z 0-9 - . _";
    Err(Failure::Usage(format!("{what}: found {name:?}; accepted: {accepted}")))
}

fn check_id(id: &str) -> Result<(), Failure> {
    let Some((kind, name)) = id.split_once('/') else {
        return Err(Failure::Usage(format!("--delete: found {id:?}; accepted: KIND/NAME")));
    };
    check_kind(kind)?;
    check_name("--delete", name)
}

fn read(path: &Path, named: bool, sources: &mut Vec<Source>) -> Result<(), Failure> {
    let unreadable = |error| Failure::Usage(format!("{}: {error}", path.display()));
    if path.is_dir() {
        let mut inner = Vec::new();
        for entry in fs::read_dir(path).map_err(unreadable)? {
            inner.push(entry.map_err(unreadable)?.path());
        }
        inner.sort();
        return inner.iter().try_for_each(|it| read(it, false, sources));
    }
    let is_json = path.extension().is_some_and(|it| it == "json");
    if !named && !is_json {
        return Ok(());
    }
    let text = fs::read_to_string(path).map_err(unreadable)?;
    let wrong = |error| format!("{}: {error}; accepted: JSON", path.display());
    let value: Value = serde_json::from_str(&text).map_err(|it| Failure::Usage(wrong(it)))?;
    let records = match value {
        Value::Array(records) => records,
        record => vec![record],
    };
    for record in records {
        let id = identify(&record).ok_or_else(|| {
            let kinds = KINDS.join(", ");
            let message = format!(
                "{}: a record without kind and name; accepted: objects with kind (one of {kinds}) \
                 and name",
                path.display()
            );
            Failure::Usage(message)
        })?;
        sources.push(Source { id, path: path.to_owned(), record });
    }
    Ok(())
}

fn identify(record: &Value) -> Option<String> {
    let (kind, name) = (record["kind"].as_str()?, record["name"].as_str()?);
    KINDS.contains(&kind).then(|| format!("{kind}/{name}"))
}

/// The difference that a set makes or made, readable.
pub(crate) fn difference(applied: &Value) -> String {
    let mut out = steps(&applied["steps"], |_, _| "");
    let count = |name: &str| applied[name].as_array().map_or(0, Vec::len);
    let (written, unchanged) = (count("written"), count("unchanged"));
    if applied["dry_run"] == true {
        let steps = count("steps");
        let revision = &applied["revision"];
        out.push_str(&format!(
            "dry run at revision {revision}: {steps} to change, {unchanged} unchanged, nothing \
             written\n"
        ));
    } else {
        out.push_str(&format!("{written} changed, {unchanged} unchanged\n"));
    }
    out
}

/// The steps of a plan, readable. `effect` names what a field of a kind of record changes for callers, empty if nothing
/// is to be named.
pub(crate) fn steps(steps: &Value, effect: impl Fn(&str, &str) -> &'static str) -> String {
    let mut out = String::new();
    for step in steps.as_array().into_iter().flatten() {
        let (sign, verb) = match step["action"].as_str() {
            Some("create") => ('+', "create"),
            Some("delete") => ('-', "delete"),
            _ => ('~', "update"),
        };
        let record = step["record"].as_str().unwrap_or_default();
        out.push_str(&format!("{sign} {verb} {record}\n"));
        if verb == "delete" {
            continue;
        }
        let kind = record.split('/').next().unwrap_or_default();
        let fields = step["differences"].as_array().into_iter().flatten();
        for field in fields.filter(|it| it["field"] != "kind" && it["field"] != "name") {
            let name = field["field"].as_str().unwrap_or_default();
            let change = match (&field["before"], &field["after"]) {
                (Value::Null, after) => after.to_string(),
                (before, Value::Null) => format!("{before} -> absent"),
                (before, after) => format!("{before} -> {after}"),
            };
            let effect = match effect(kind, name) {
                "" => String::new(),
                effect => format!(" ({effect})"),
            };
            out.push_str(&format!("    {name}: {change}{effect}\n"));
        }
    }
    out
}
