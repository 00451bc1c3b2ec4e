//! What became of a request, from the collected log lines of all hosts.

use std::{fs, path::Path};

use serde_json::Value;

use crate::failure::Failure;

/// Time before the first line of a request in which a host's other lines are shown, in milliseconds.
const BEFORE_MS: i64 = 5_000;

/// Most other lines that are shown.
const MAX_OTHERS: usize = 30;

/// Starts of messages that concern one request alone.
const REQUEST_LINES: [&str; 2] = ["request ", "stream "];

/// A log line.
#[derive(Debug)]
struct Line {
    /// As it stands in the log.
    time: String,
    /// Time of day in milliseconds.
    day_ms: i64,
    host: String,
    message: String,
}

/// Reads the files and shows a request's lines in the order of their times.
pub(crate) fn execute(id: &str, paths: &[String]) -> Result<String, Failure> {
    if paths.is_empty() {
        return Err(Failure::Usage("no log file; accepted: explain ID FILE...".to_owned()));
    }
    let mut lines = Vec::new();
    for path in paths {
        let text = fs::read_to_string(path)
            .map_err(|error| Failure::Usage(format!("cannot read {path}: {error}")))?;
        let stem = Path::new(path).file_stem().and_then(|it| it.to_str()).unwrap_or(path);
        lines.extend(text.lines().filter_map(|it| read(stem, it)));
    }
    lines.sort_by_key(|it| it.day_ms);
    show(id, &lines)
}

/// Reads a JSON line. A collector may have put the host's name before it; otherwise it is that of the file.
fn read(file: &str, text: &str) -> Option<Line> {
    let start = text.find('{')?;
    let value: Value = serde_json::from_str(&text[start..]).ok()?;
    let time = value["time"].as_str()?.to_owned();
    Some(Line {
        day_ms: day_ms(&time)?,
        time,
        host: text[..start].split_whitespace().last().unwrap_or(file).to_owned(),
        message: value["message"].as_str()?.to_owned(),
    })
}

/// Milliseconds since midnight of a time as in `2026-02-17T19:40:17.064+00:00`.
fn day_ms(time: &str) -> Option<i64> {
    let clock = time.split('T').nth(1)?.get(..12)?;
    let mut parts = clock.split([':', '.']).map(|it| it.parse::<i64>().ok());
    let mut next = || parts.next().flatten();
    let (hours, minutes, seconds, millis) = (next()?, next()?, next()?, next()?);
    Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + millis)
}

fn show(id: &str, lines: &[Line]) -> Result<String, Failure> {
    let own = |it: &&Line| it.message.split(|c: char| !c.is_alphanumeric()).any(|word| word == id);
    let found: Vec<_> = lines.iter().filter(own).collect();
    let (Some(first), Some(last)) = (found.first(), found.last()) else {
        let message = format!(
            "no line names {id}; a request without one was answered by its first upstream, or its lines were dropped"
        );
        return Err(Failure::Refused(message));
    };
    let span = first.day_ms - BEFORE_MS..=last.day_ms;
    let hosts: Vec<_> = found.iter().map(|it| it.host.as_str()).collect();
    let others = lines.iter().filter(|it| {
        span.contains(&it.day_ms)
            && hosts.contains(&it.host.as_str())
            && !REQUEST_LINES.iter().any(|start| it.message.starts_with(start))
    });
    let others: Vec<_> = others.collect();
    let skipped = others.len().saturating_sub(MAX_OTHERS);
    let mut shown: Vec<_> = others.into_iter().skip(skipped).map(|it| (it, ' ')).collect();
    shown.extend(found.into_iter().map(|it| (it, '*')));
    shown.sort_by_key(|it| it.0.day_ms);
    let mut out = String::new();
    for (line, mark) in shown {
        let clock = line.time.get(11..23).unwrap_or(&line.time);
        out.push_str(&format!("{mark} {clock} {}: {}\n", line.host, line.message));
    }
    Ok(out)
}
