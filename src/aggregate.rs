//! Numbers of many hosts joined into records of the store, so that each batch is counted once.
//!
//! The records of a zone's minute form a log: each is created under the next number, and names the batches in it. A
//! writer reads the log first and leaves out what is in it, so that it does not matter who writes, how often, or which
//! answers are lost. Old minutes are folded into one record an hour, which names its batches too.

use serde::{Deserialize, Serialize};

use crate::{
    platform::{Entry, Upstream},
    tally::{self, Batch, Id, Line},
};

/// Schema version of records.
const SCHEMA: u32 = 1;

/// Lines of one record; what exceeds them goes to the class's line of other customers.
pub const MAX_LINES: usize = 4_096;

/// Minutes of an hour.
pub const HOUR: u64 = 60;

/// Age of a minute from which its batches go to the record of its hour, in minutes from the end of the hour.
pub const LATE_AFTER: u64 = 60;

/// Age of an hour from which it is folded, in minutes from its end. The difference to `LATE_AFTER` is time for writes
/// that are on their way and for clocks that differ.
pub const FOLD_AFTER: u64 = 70;

/// Age at which the record of an hour is deleted, in minutes.
pub const RETENTION: u64 = 7 * 24 * HOUR;

/// A value that is not a record of this schema.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreadable;

/// Cost of a pool's upstreams, in millionths of a currency unit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Name of the pool.
    pub pool: String,
    /// Of upstreams that the platform may reclaim.
    pub cheap: u64,
    /// Of the others.
    pub other: u64,
}

/// Batches of one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Part {
    host: String,
    incarnation: u64,
    /// Sorted.
    sequences: Vec<u64>,
}

/// Numbers of a zone in a minute or an hour.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    schema: u32,
    /// Batches in the record. Sorted by host and incarnation.
    parts: Vec<Part>,
    /// Sorted by class and customer.
    pub lines: Vec<Line>,
    /// Minutes of the hour of which `costs` has the upstreams, one bit each.
    costed: u64,
    /// Sorted by pool.
    pub costs: Vec<Cost>,
}

impl Record {
    /// Reads a record.
    ///
    /// # Errors
    /// `Unreadable`.
    pub fn read(entry: &Entry) -> Result<Record, Unreadable> {
        let value = entry.value.as_deref().ok_or(Unreadable)?;
        let record: Record = serde_json::from_str(value).map_err(|_| Unreadable)?;
        if record.schema == SCHEMA { Ok(record) } else { Err(Unreadable) }
    }

    fn new() -> Record {
        Record { schema: SCHEMA, ..Record::default() }
    }

    fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    fn contains(&self, id: &Id) -> bool {
        let found = self.position(&id.host, id.incarnation);
        found.is_ok_and(|it| self.parts[it].sequences.binary_search(&id.sequence).is_ok())
    }

    fn position(&self, host: &str, incarnation: u64) -> Result<usize, usize> {
        let order = |it: &Part| (it.host.as_str(), it.incarnation).cmp(&(host, incarnation));
        self.parts.binary_search_by(order)
    }

    /// Whether an hour's record has the batches and the costs of a minute's.
    fn includes(&self, minute: &Record) -> bool {
        let parts = minute.parts.iter().any(|part| {
            let found = self.position(&part.host, part.incarnation);
            found.is_ok_and(|it| {
                let sequences = &self.parts[it].sequences;
                part.sequences.iter().any(|it| sequences.binary_search(it).is_ok())
            })
        });
        parts || (minute.parts.is_empty() && minute.costed & self.costed == minute.costed)
    }

    fn insert(&mut self, host: &str, incarnation: u64, sequence: u64) {
        let at = self.position(host, incarnation).unwrap_or_else(|at| {
            let part = Part { host: host.to_owned(), incarnation, sequences: Vec::new() };
            self.parts.insert(at, part);
            at
        });
        let sequences = &mut self.parts[at].sequences;
        if let Err(at) = sequences.binary_search(&sequence) {
            sequences.insert(at, sequence);
        }
    }

    fn add_batch(&mut self, batch: &Batch) {
        self.insert(&batch.id.host, batch.id.incarnation, batch.id.sequence);
        for line in &batch.lines {
            tally::add(&mut self.lines, line.clone(), MAX_LINES);
        }
    }

    fn add_record(&mut self, record: &Record) {
        for part in &record.parts {
            for sequence in &part.sequences {
                self.insert(&part.host, part.incarnation, *sequence);
            }
        }
        for line in &record.lines {
            tally::add(&mut self.lines, line.clone(), MAX_LINES);
        }
        if record.costed & self.costed == 0 {
            self.costed |= record.costed;
            for cost in &record.costs {
                self.add_cost(cost);
            }
        }
    }

    fn add_cost(&mut self, cost: &Cost) {
        match self.costs.binary_search_by(|it| it.pool.cmp(&cost.pool)) {
            Ok(found) => {
                self.costs[found].cheap += cost.cheap;
                self.costs[found].other += cost.other;
            }
            Err(at) => self.costs.insert(at, cost.clone()),
        }
    }
}

/// Cost of the listed upstreams for one minute.
pub fn costs<'a>(upstreams: impl IntoIterator<Item = &'a Upstream>) -> Vec<Cost> {
    let mut record = Record::new();
    for upstream in upstreams {
        let price = (upstream.cost_per_hour.max(0.0) * 1e6 / HOUR as f64).round() as u64;
        let (cheap, other) = if upstream.cheap { (price, 0) } else { (0, price) };
        record.add_cost(&Cost { pool: upstream.pool.clone(), cheap, other });
    }
    record.costs
}

/// Prefix of the records of a zone's minutes.
pub fn minutes_prefix(zone: &str) -> String {
    format!("burn/minute/{zone}/")
}

/// Prefix of the log of a zone's minute.
pub fn log_prefix(zone: &str, minute: u64) -> String {
    format!("burn/minute/{zone}/{minute:010}/")
}

/// Prefix of the records of a zone's hours.
pub fn hours_prefix(zone: &str) -> String {
    format!("burn/hour/{zone}/")
}

/// Key of the record of a zone's hour; `hour` counts from the Unix epoch.
pub fn hour_key(zone: &str, hour: u64) -> String {
    format!("burn/hour/{zone}/{hour:08}")
}

/// Minute in the key of a minute's record.
pub fn minute_of(key: &str) -> Option<u64> {
    key.split('/').nth(3)?.parse().ok()
}

/// Hour in the key of an hour's record.
pub fn hour_of(key: &str) -> Option<u64> {
    key.split('/').nth(3)?.parse().ok()
}

/// Whether batches of a minute go to the record of its hour.
pub fn is_late(minute: u64, now: u64) -> bool {
    end_of_hour(minute) + LATE_AFTER < now
}

/// Whether the hour of a minute is to be folded.
pub fn is_foldable(minute: u64, now: u64) -> bool {
    end_of_hour(minute) + FOLD_AFTER < now
}

fn end_of_hour(minute: u64) -> u64 {
    (minute / HOUR + 1) * HOUR
}

/// A value to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// Key of the value.
    pub key: String,
    /// Version that the key must have, zero if it must not exist.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// Next record of a minute's log, or `None` if the log has all of it.
///
/// # Errors
/// `Unreadable` if the log has a record of another schema; what is in it is not known.
pub fn append(
    zone: &str,
    minute: u64,
    log: &[Entry],
    batches: &[Batch],
    costs: &[Cost],
) -> Result<Option<Put>, Unreadable> {
    let mut known = Record::new();
    for entry in log {
        known.add_record(&Record::read(entry)?);
    }
    let mut record = Record::new();
    for batch in batches.iter().filter(|it| it.minute == minute) {
        if !known.contains(&batch.id) && !record.contains(&batch.id) {
            record.add_batch(batch);
        }
    }
    if log.is_empty() && !costs.is_empty() {
        record.costed = 1 << (minute % HOUR);
        record.costs = costs.to_vec();
    }
    if record == Record::new() {
        return Ok(None);
    }
    let last = log.iter().filter_map(|it| it.key.rsplit('/').next()?.parse::<u64>().ok()).max();
    let number = last.map_or(0, |it| it + 1);
    let key = format!("{}{number:04}", log_prefix(zone, minute));
    Ok(Some(Put { key, version: 0, value: record.encode() }))
}

/// Record of an hour with late batches, or `None` if it has all of them.
///
/// # Errors
/// `Unreadable` if a record is of another schema.
pub fn amend(
    key: &str,
    stored: Option<&Entry>,
    log: &[Entry],
    batches: &[Batch],
) -> Result<Option<Put>, Unreadable> {
    let mut known = Record::new();
    for entry in log {
        known.add_record(&Record::read(entry)?);
    }
    let (mut record, version) = hour_record(stored)?;
    let before = record.clone();
    for batch in batches {
        if !known.contains(&batch.id) && !record.contains(&batch.id) {
            record.add_batch(batch);
        }
    }
    let put = Put { key: key.to_owned(), version, value: record.encode() };
    Ok((record != before).then_some(put))
}

/// What folds an hour.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fold {
    /// The hour's record, if it changes.
    pub put: Option<Put>,
    /// Minutes' records to delete once the hour's record is in the store.
    pub delete: Vec<(String, u64)>,
}

/// Folds records of minutes into the record of their hour.
///
/// # Errors
/// `Unreadable` if a record is of another schema.
pub fn fold(key: &str, stored: Option<&Entry>, minutes: &[Entry]) -> Result<Fold, Unreadable> {
    let (mut record, version) = hour_record(stored)?;
    let before = record.clone();
    for entry in minutes {
        let minute = Record::read(entry)?;
        if !record.includes(&minute) {
            record.add_record(&minute);
        }
    }
    let put = Put { key: key.to_owned(), version, value: record.encode() };
    let delete = minutes.iter().map(|it| (it.key.clone(), it.version)).collect();
    Ok(Fold { put: (record != before).then_some(put), delete })
}

fn hour_record(stored: Option<&Entry>) -> Result<(Record, u64), Unreadable> {
    match stored {
        None => Ok((Record::new(), 0)),
        Some(entry) => Ok((Record::read(entry)?, entry.version)),
    }
}

/// Numbers of a zone over a span of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bucket {
    /// First minute since the Unix epoch.
    pub start: u64,
    /// Length in minutes.
    pub minutes: u64,
    /// Sorted by class and customer.
    pub lines: Vec<Line>,
    /// Sorted by pool.
    pub costs: Vec<Cost>,
}

/// Everything in the store that could be read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Joined {
    /// In no order.
    pub buckets: Vec<Bucket>,
    /// Records of another schema.
    pub unreadable: u64,
}

impl Joined {
    /// Adds the records of a zone. A minute that its hour's record includes is left out.
    pub fn add_zone(&mut self, hours: &[Entry], minutes: &[Entry]) {
        let mut folded = Vec::new();
        for entry in hours {
            match (hour_of(&entry.key), Record::read(entry)) {
                (Some(hour), Ok(record)) => folded.push((hour, record)),
                _ => self.unreadable += 1,
            }
        }
        folded.sort_by_key(|it| it.0);
        for entry in minutes {
            let (Some(minute), Ok(record)) = (minute_of(&entry.key), Record::read(entry)) else {
                self.unreadable += 1;
                continue;
            };
            let hour = folded.binary_search_by_key(&(minute / HOUR), |it| it.0);
            if hour.is_ok_and(|it| folded[it].1.includes(&record)) {
                continue;
            }
            let Record { lines, costs, .. } = record;
            self.buckets.push(Bucket { start: minute, minutes: 1, lines, costs });
        }
        for (hour, Record { lines, costs, .. }) in folded {
            self.buckets.push(Bucket { start: hour * HOUR, minutes: HOUR, lines, costs });
        }
    }
}
