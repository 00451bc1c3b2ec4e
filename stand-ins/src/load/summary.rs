//! Counts and percentiles of a run.

use std::{collections::BTreeMap, fmt};

use hdrhistogram::Histogram;

use super::call::{Outcome, Record};

/// Significant digits of the histograms over all requests.
const DIGITS: u8 = 3;

/// Significant digits of the histograms of one model or caller.
const PART_DIGITS: u8 = 2;

/// Percentiles that are printed.
const PERCENTILES: [f64; 4] = [50.0, 95.0, 99.0, 100.0];

/// Requests that are counted together. Times are in microseconds.
#[derive(Debug, Clone)]
pub struct Group {
    /// Requests by their outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Refusals and failures by their kind.
    pub kinds: BTreeMap<String, u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Planned start to the first byte, of whole streamed answers.
    pub first_us: Histogram<u32>,
    /// Between tokens of streams.
    pub gap_us: Histogram<u32>,
    /// Planned start to the end, of whole answers.
    pub total_us: Histogram<u32>,
    /// Delay of the sending itself.
    pub late_us: Histogram<u32>,
}

impl Group {
    fn new(digits: u8) -> Result<Group, hdrhistogram::CreationError> {
        let times = Histogram::new(digits)?;
        Ok(Group {
            outcomes: BTreeMap::new(),
            kinds: BTreeMap::new(),
            tokens: 0,
            first_us: times.clone(),
            gap_us: times.clone(),
            total_us: times.clone(),
            late_us: times,
        })
    }

    /// Number of requests with an outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Number of all requests.
    pub fn total(&self) -> u64 {
        self.outcomes.values().sum()
    }

    fn add(&mut self, record: &Record) {
        *self.outcomes.entry(record.outcome).or_default() += 1;
        self.tokens += u64::from(record.tokens);
        note(&mut self.late_us, record.late_us);
        for gap in &record.gaps_us {
            note(&mut self.gap_us, u64::from(*gap));
        }
        if record.outcome != Outcome::Whole {
            *self.kinds.entry(record.kind.clone()).or_default() += 1;
            return;
        }
        if record.stream {
            note(&mut self.first_us, record.first_us.unwrap_or(record.end_us));
        }
        note(&mut self.total_us, record.end_us);
    }
}

/// Counts and percentiles of a run.
#[derive(Debug, Clone)]
pub struct Summary {
    /// All requests through the entry hosts.
    pub all: Group,
    /// All requests that went to the engines directly.
    pub direct: Group,
    /// Requests through the entry hosts by model, or path of a plain call.
    pub models: BTreeMap<String, Group>,
    /// Requests through the entry hosts by place of the caller in the options.
    pub callers: BTreeMap<usize, Group>,
    empty: Group,
}

impl Summary {
    pub(super) fn new() -> Result<Summary, hdrhistogram::CreationError> {
        let whole = Group::new(DIGITS)?;
        Ok(Summary {
            all: whole.clone(),
            direct: whole,
            models: BTreeMap::new(),
            callers: BTreeMap::new(),
            empty: Group::new(PART_DIGITS)?,
        })
    }

    pub(super) fn add(&mut self, record: &Record) {
        if record.direct {
            self.direct.add(record);
            return;
        }
        let empty = || self.empty.clone();
        self.all.add(record);
        self.models.entry(record.model.clone()).or_insert_with(empty).add(record);
        self.callers.entry(record.caller).or_insert_with(empty).add(record);
    }
}

fn note(times: &mut Histogram<u32>, time_us: u64) {
    // The histograms grow with the values.
    let _ = times.record(time_us);
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let wholes = [("all", &self.all), ("direct", &self.direct)];
        for (name, group) in wholes.into_iter().filter(|it| it.1.total() > 0) {
            line(f, name, group)?;
        }
        for (model, group) in &self.models {
            line(f, &format!("model {model}"), group)?;
        }
        for (caller, group) in &self.callers {
            line(f, &format!("caller {caller}"), group)?;
        }
        Ok(())
    }
}

fn line(f: &mut fmt::Formatter<'_>, name: &str, group: &Group) -> fmt::Result {
    write!(f, "{name}: {} requests, {} tokens", group.total(), group.tokens)?;
    for (outcome, count) in &group.outcomes {
        write!(f, ", {count} {}", format!("{outcome:?}").to_lowercase())?;
    }
    writeln!(f)?;
    for (kind, count) in &group.kinds {
        writeln!(f, "  {count} of kind {kind}")?;
    }
    let times = [
        ("first byte", &group.first_us),
        ("gap", &group.gap_us),
        ("total", &group.total_us),
        ("late", &group.late_us),
    ];
    for (name, times) in times {
        write!(f, "  {name:<10} ms")?;
        for percentile in PERCENTILES {
            let ms = times.value_at_percentile(percentile) as f64 / 1_000.0;
            write!(f, "  p{percentile:<3} {ms:>9.3}")?;
        }
        writeln!(f)?;
    }
    Ok(())
}
