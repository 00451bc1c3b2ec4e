//! Why a command failed, and its exit code.

use std::fmt;

use serde_json::Value;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The server refused; exit code 1.
    Refused(String),
    /// The command line or a file is not valid; exit code 2. Nothing was sent.
    Usage(String),
    /// No host answers; exit code 3.
    Unreachable(String),
    /// Something else stands than the change was based on; exit code 4.
    Conflict(String),
    /// A check found something; the report goes to standard output.
    Found {
        /// What was found.
        report: String,
        /// Exit code of the program.
        code: u8,
    },
}

impl Failure {
    /// Exit code of the program.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Failure::Refused(_) => 1,
            Failure::Usage(_) => 2,
            Failure::Unreachable(_) => 3,
            Failure::Conflict(_) => 4,
            Failure::Found { code, .. } => *code,
        }
    }

    /// Reads an answer that is not a success.
    pub(crate) fn from_answer(status: u16, body: &str) -> Failure {
        let value: Value = serde_json::from_str(body).unwrap_or_default();
        let error = &value["error"];
        let kind = error["kind"].as_str().unwrap_or("unreadable answer");
        let mut text = format!("{kind} ({status})");
        let has_faults = error["faults"].is_array();
        if let Some(message) = error["message"].as_str().filter(|_| !has_faults) {
            text.push_str(&format!(": {message}"));
        }
        for fault in error["faults"].as_array().into_iter().flatten() {
            text.push_str(&format!("\n  {}", fault_line(fault)));
        }
        match error["effect"].as_str() {
            Some("none") => text.push_str("\n  nothing was changed"),
            Some("partial") => text.push_str(&partial(&error["written"])),
            Some("unknown") => text.push_str(
                "\n  it is not known whether the last write took effect; the same command can be \
                 repeated",
            ),
            _ => {}
        }
        match status {
            409 | 412 => Failure::Conflict(text),
            _ => Failure::Refused(text),
        }
    }
}

fn fault_line(fault: &Value) -> String {
    let text = |name: &str| fault[name].as_str().unwrap_or_default().to_owned();
    format!(
        "{}: {}: found {}; accepted: {}",
        text("record"),
        text("field"),
        text("found"),
        text("accepted")
    )
}

fn partial(written: &Value) -> String {
    let records: Vec<_> =
        written.as_array().into_iter().flatten().filter_map(|it| it["record"].as_str()).collect();
    let list = records.join(", ");
    format!("\n  changed before the failure: {list}; the same command can be repeated")
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused(it)
            | Failure::Usage(it)
            | Failure::Unreachable(it)
            | Failure::Conflict(it)
            | Failure::Found { report: it, .. } => f.write_str(it),
        }
    }
}
