//! What a host has delivered: counted once, cut into immutable batches, and kept until the store has them.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use crate::{
    time::{Span, Time},
    wire,
};

/// Schema version of batches.
pub const SCHEMA: u32 = 1;

/// Time after which a batch that a peer holds is handed out again, in milliseconds.
const HOLD_TIMEOUT_MS: u64 = 60_000;

/// One request whose answer was delivered, wholly or in part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Served {
    /// Customer, empty on open routes.
    pub customer: String,
    /// Name of the route.
    pub route: String,
    /// Model, empty for plain services.
    pub model: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Generated tokens that reached the caller.
    pub generated_tokens: u64,
    /// Whether the caller got less than the whole answer.
    pub cut: bool,
}

/// Usage of a customer on a route with a model. Written as an array, in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Columns", into = "Columns")]
pub struct Line {
    /// Customer, empty on open routes.
    pub customer: String,
    /// Name of the route.
    pub route: String,
    /// Model, empty for plain services.
    pub model: String,
    /// Requests with a delivered answer.
    pub requests: u64,
    /// Length of their prompts in tokens.
    pub prompt_tokens: u64,
    /// Generated tokens that reached the callers.
    pub generated_tokens: u64,
    /// Requests of which the caller got less than the whole answer.
    pub cut: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Columns(String, String, String, u64, u64, u64, u64);

impl From<Columns> for Line {
    fn from(it: Columns) -> Line {
        Line {
            customer: it.0,
            route: it.1,
            model: it.2,
            requests: it.3,
            prompt_tokens: it.4,
            generated_tokens: it.5,
            cut: it.6,
        }
    }
}

impl From<Line> for Columns {
    fn from(it: Line) -> Columns {
        Columns(
            it.customer,
            it.route,
            it.model,
            it.requests,
            it.prompt_tokens,
            it.generated_tokens,
            it.cut,
        )
    }
}

impl From<Served> for Line {
    fn from(it: Served) -> Line {
        Line {
            customer: it.customer,
            route: it.route,
            model: it.model,
            requests: 1,
            prompt_tokens: it.prompt_tokens,
            generated_tokens: it.generated_tokens,
            cut: u64::from(it.cut),
        }
    }
}

impl Line {
    fn order(&self, other: &Line) -> Ordering {
        let by_customer = self.customer.cmp(&other.customer);
        let by_route = by_customer.then_with(|| self.route.cmp(&other.route));
        by_route.then_with(|| self.model.cmp(&other.model))
    }
}

/// Adds a line to sorted lines.
pub fn add(lines: &mut Vec<Line>, line: Line) {
    match lines.binary_search_by(|it| it.order(&line)) {
        Ok(found) => {
            let sum = &mut lines[found];
            sum.requests = sum.requests.saturating_add(line.requests);
            sum.prompt_tokens = sum.prompt_tokens.saturating_add(line.prompt_tokens);
            sum.generated_tokens = sum.generated_tokens.saturating_add(line.generated_tokens);
            sum.cut = sum.cut.saturating_add(line.cut);
        }
        Err(at) => lines.insert(at, line),
    }
}

/// Names a batch for good.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id {
    /// Host that counted the usage.
    pub host: String,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Position among the batches of the incarnation, from 0 without gaps.
    pub sequence: u64,
}

/// Usage of one host over a short time. Never changes once it was cut.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Schema version of the batch.
    pub schema: u32,
    /// Host that counted the usage.
    pub host: String,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Position among the batches of the incarnation, from 0 without gaps.
    pub sequence: u64,
    /// When the batch was cut, on the host's wall clock in milliseconds since the Unix epoch.
    pub cut_ms: u64,
    /// Sorted by customer, route and model.
    pub lines: Vec<Line>,
}

impl Batch {
    /// Name of the batch.
    pub fn id(&self) -> Id {
        let Batch { host, incarnation, sequence, .. } = self;
        Id { host: host.clone(), incarnation: *incarnation, sequence: *sequence }
    }

    /// The batch as it is handed to a peer.
    pub fn to_copy(&self) -> wire::Copy {
        wire::Copy {
            host: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            content: serde_json::to_vec(self).unwrap_or_default(),
        }
    }

    /// Reads a batch that a peer handed over; `None` if it is not whole, of another schema or under another name.
    pub fn from_copy(copy: &wire::Copy) -> Option<Batch> {
        let batch: Batch = serde_json::from_slice(&copy.content).ok()?;
        (batch.schema == SCHEMA && batch.id() == id_of(copy)).then_some(batch)
    }
}

/// Name of a handed batch.
pub fn id_of(copy: &wire::Copy) -> Id {
    let wire::Copy { host, incarnation, sequence, .. } = copy;
    Id { host: host.clone(), incarnation: *incarnation, sequence: *sequence }
}

/// Counts the usage of one incarnation of a host.
#[derive(Debug)]
pub struct Ledger {
    host: String,
    incarnation: u64,
    next: u64,
    /// Usage since the last cut. Sorted.
    lines: Vec<Line>,
}

impl Ledger {
    /// A ledger without usage.
    pub fn new(host: &str, incarnation: u64) -> Ledger {
        Ledger { host: host.to_owned(), incarnation, next: 0, lines: Vec::new() }
    }

    /// Counts a request; the caller does so once.
    pub fn count(&mut self, served: Served) {
        add(&mut self.lines, served.into());
    }

    /// Number of lines since the last cut.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether nothing was counted since the last cut.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Cuts a batch of what was counted since the last cut, if anything was.
    pub fn cut(&mut self, wall_ms: u64) -> Option<Batch> {
        if self.lines.is_empty() {
            return None;
        }
        let sequence = self.next;
        self.next += 1;
        Some(Batch {
            schema: SCHEMA,
            host: self.host.clone(),
            incarnation: self.incarnation,
            sequence,
            cut_ms: wall_ms,
            lines: std::mem::take(&mut self.lines),
        })
    }
}

/// Where a batch stands on its way to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Place {
    /// Only this host has it.
    Here,
    /// A collector has it in memory and will write it.
    Held { by: String, since: Time },
}

/// What is due for a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Errand {
    /// Hand it to the collector.
    Hand(wire::Copy),
    /// Ask the collector whether it was written.
    Ask(wire::Copy),
}

/// Batches of this host that are not known to be in the store.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Sorted by sequence.
    batches: Vec<(Batch, Place)>,
}

impl Outbox {
    /// Takes a batch that was just cut.
    pub fn push(&mut self, batch: Batch) {
        self.batches.push((batch, Place::Here));
    }

    /// Number of batches.
    pub fn len(&self) -> usize {
        self.batches.len()
    }

    /// Whether every batch is in the store.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Number of batches that no other host holds.
    pub fn unshared(&self) -> usize {
        self.batches.iter().filter(|it| it.1 == Place::Here).count()
    }

    /// All batches, oldest first.
    pub fn batches(&self) -> impl Iterator<Item = &Batch> {
        self.batches.iter().map(|it| &it.0)
    }

    /// What is due with a collector, oldest batch first.
    pub fn errands(&mut self, now: Time, collector: &str, limit: usize) -> Vec<Errand> {
        let expired = |since| now.since(since) >= Span::from_ms(HOLD_TIMEOUT_MS);
        let errand = |(batch, place): &mut (Batch, Place)| {
            let copy = batch.to_copy();
            match place {
                Place::Held { by, since } if by == collector && !expired(*since) => {
                    Errand::Ask(wire::Copy { content: Vec::new(), ..copy })
                }
                // Another collector may write it too; the sealed windows count it once.
                Place::Here | Place::Held { .. } => Errand::Hand(copy),
            }
        };
        self.batches.iter_mut().take(limit).map(errand).collect()
    }

    /// A collector holds a batch.
    pub fn held(&mut self, now: Time, sequence: u64, by: &str) {
        if let Some(it) = self.find(sequence) {
            it.1 = Place::Held { by: by.to_owned(), since: now };
        }
    }

    /// The store has a batch.
    pub fn written(&mut self, sequence: u64) {
        self.batches.retain(|it| it.0.sequence != sequence);
    }

    fn find(&mut self, sequence: u64) -> Option<&mut (Batch, Place)> {
        self.batches.iter_mut().find(|it| it.0.sequence == sequence)
    }
}
