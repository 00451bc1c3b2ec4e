//! What a host counts of the requests that ended: per class and customer in minutes, cut into batches.

use std::{cmp::Ordering, collections::VecDeque};

use serde::{Deserialize, Serialize};

use crate::{error::Kind, metrics::Outcome};

/// Customer of the line that takes what finds no room.
pub const OTHER: &str = "(other)";

/// Lines of one minute of a host; what exceeds them goes to the class's `OTHER` line.
pub const MAX_LINES: usize = 512;

/// Batches that a host keeps until they are in the store; the oldest is given up for another one.
pub const MAX_BATCHES: usize = 720;

/// Length of a bucket in milliseconds.
pub const MINUTE_MS: u64 = 60_000;

/// One request that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Name of the class.
    pub class: String,
    /// Customer, empty on open routes.
    pub customer: String,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the caller got the whole answer within the class's targets.
    pub in_time: bool,
    /// Whether the class's target had passed before the first token or byte.
    pub late: bool,
    /// Tokens that reached the caller.
    pub tokens: u64,
    /// Upstream of the last attempt, empty if there was none.
    pub upstream: String,
}

/// Numbers of requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Whole answers within the targets.
    pub in_time: u64,
    /// Whole answers outside the targets.
    pub late: u64,
    /// Callers who left while the target had not passed.
    pub left: u64,
    /// Callers who left after the target had passed.
    pub left_late: u64,
    /// Tokens that reached callers.
    pub tokens: u64,
    /// Whole answers from upstreams that the platform may reclaim.
    pub cheap: u64,
    /// Whole answers from upstreams of which it is known whether the platform may reclaim them.
    pub placed: u64,
    /// Refused and failed requests. Sorted by kind.
    pub refused: Vec<(Kind, u64)>,
}

impl Counts {
    /// Adds other numbers.
    pub fn add(&mut self, other: &Counts) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.left += other.left;
        self.left_late += other.left_late;
        self.tokens += other.tokens;
        self.cheap += other.cheap;
        self.placed += other.placed;
        for (kind, count) in &other.refused {
            self.refuse(*kind, *count);
        }
    }

    /// Requests that ended.
    pub fn requests(&self) -> u64 {
        let refused: u64 = self.refused.iter().map(|it| it.1).sum();
        self.in_time + self.late + self.left + self.left_late + refused
    }

    /// Requests that missed the objective by the system's doing.
    pub fn missed(&self) -> u64 {
        let refused = self.refused.iter().filter(|it| is_missed(it.0));
        self.late + self.left_late + refused.map(|it| it.1).sum::<u64>()
    }

    /// Requests that count towards the objective.
    pub fn counted(&self) -> u64 {
        self.in_time + self.missed()
    }

    fn refuse(&mut self, kind: Kind, count: u64) {
        match self.refused.binary_search_by_key(&kind, |it| it.0) {
            Ok(found) => self.refused[found].1 += count,
            Err(at) => self.refused.insert(at, (kind, count)),
        }
    }
}

/// Whether a refusal or failure is the system's doing. Callers' faults and customers' limits are not.
pub fn is_missed(kind: Kind) -> bool {
    match kind {
        Kind::Shed
        | Kind::DeadlineUnmeetable
        | Kind::QueueTimeout
        | Kind::Preempted
        | Kind::RetryBudget
        | Kind::Draining
        | Kind::NoDispatcher
        | Kind::NoUpstream
        | Kind::UpstreamConnect
        | Kind::UpstreamCut
        | Kind::UpstreamInvalid
        | Kind::UpstreamTimeout
        | Kind::StoreUnavailable
        | Kind::Internal => true,
        Kind::BadRequest
        | Kind::BodyTooLarge
        | Kind::HeadTooLarge
        | Kind::ReadTimeout
        | Kind::MissingKey
        | Kind::InvalidKey
        | Kind::Forbidden
        | Kind::UnknownModel
        | Kind::UnknownPath
        | Kind::MethodNotAllowed
        | Kind::RequestLimit
        | Kind::TokenLimit
        | Kind::ConcurrencyLimit
        | Kind::Quarantined
        | Kind::IdempotencyConflict
        | Kind::RevisionConflict
        | Kind::InvalidRecord
        | Kind::NotFound => false,
    }
}

/// Numbers of a customer in a class. Written as an array, in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Columns", into = "Columns")]
pub struct Line {
    /// Name of the class.
    pub class: String,
    /// Customer, empty on open routes, or `OTHER`.
    pub customer: String,
    /// Its requests.
    pub counts: Counts,
}

#[derive(Debug, Serialize, Deserialize)]
struct Columns(String, String, [u64; 7], Vec<(Kind, u64)>);

impl From<Columns> for Line {
    fn from(it: Columns) -> Line {
        let [in_time, late, left, left_late, tokens, cheap, placed] = it.2;
        let refused = it.3;
        let counts = Counts { in_time, late, left, left_late, tokens, cheap, placed, refused };
        Line { class: it.0, customer: it.1, counts }
    }
}

impl From<Line> for Columns {
    fn from(it: Line) -> Columns {
        let Counts { in_time, late, left, left_late, tokens, cheap, placed, refused } = it.counts;
        let numbers = [in_time, late, left, left_late, tokens, cheap, placed];
        Columns(it.class, it.customer, numbers, refused)
    }
}

impl Line {
    fn order(&self, other: &Line) -> Ordering {
        self.class.cmp(&other.class).then_with(|| self.customer.cmp(&other.customer))
    }
}

/// Adds a line to sorted lines, of which there are at most `max` beside those of `OTHER`.
pub fn add(lines: &mut Vec<Line>, mut line: Line, max: usize) {
    let mut place = lines.binary_search_by(|it| it.order(&line));
    if place.is_err() && lines.len() >= max && line.customer != OTHER {
        OTHER.clone_into(&mut line.customer);
        place = lines.binary_search_by(|it| it.order(&line));
    }
    match place {
        Ok(found) => lines[found].counts.add(&line.counts),
        Err(at) => lines.insert(at, line),
    }
}

/// Identifies a batch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// Host that counted.
    pub host: String,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Unique within the incarnation.
    pub sequence: u64,
}

/// What a host counted in a minute, or in a part of it. Its content never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Identity of the batch.
    pub id: Id,
    /// Minute since the Unix epoch by the host's wall clock.
    pub minute: u64,
    /// Sorted by class and customer.
    pub lines: Vec<Line>,
}

/// Counters of a host.
#[derive(Debug)]
pub struct Tally {
    host: String,
    incarnation: u64,
    next: u64,
    minute: u64,
    /// Lines of the open minute.
    lines: Vec<Line>,
    /// Batches that are not known to be in the store, oldest first.
    batches: VecDeque<Batch>,
    given_up: u64,
}

impl Tally {
    /// No requests yet.
    pub fn new(host: &str, incarnation: u64) -> Tally {
        Tally {
            host: host.to_owned(),
            incarnation,
            next: 0,
            minute: 0,
            lines: Vec::new(),
            batches: VecDeque::new(),
            given_up: 0,
        }
    }

    /// Counts a request that ended in a minute; `cheap` is whether the platform may reclaim its upstream, if known.
    pub fn count(&mut self, minute: u64, ended: Ended, cheap: Option<bool>) {
        self.turn(minute);
        let mut counts = Counts { tokens: ended.tokens, ..Counts::default() };
        match ended.outcome {
            Outcome::Whole if ended.in_time => counts.in_time = 1,
            Outcome::Whole => counts.late = 1,
            Outcome::Failed(kind) => counts.refuse(kind, 1),
            // The report has one line for all answers of upstreams that are of no use.
            Outcome::Errored => counts.refuse(Kind::UpstreamInvalid, 1),
            Outcome::Abandoned if ended.late => counts.left_late = 1,
            Outcome::Abandoned => counts.left = 1,
        }
        if ended.outcome == Outcome::Whole {
            counts.placed = u64::from(cheap.is_some());
            counts.cheap = u64::from(cheap == Some(true));
        }
        let line = Line { class: ended.class, customer: ended.customer, counts };
        add(&mut self.lines, line, MAX_LINES);
    }

    /// Closes the open minute if it is over.
    pub fn turn(&mut self, minute: u64) {
        if minute > self.minute {
            self.cut();
            self.minute = minute;
        }
    }

    /// Closes what was counted so far, also within a minute.
    pub fn cut(&mut self) {
        if self.lines.is_empty() {
            return;
        }
        let Tally { host, incarnation, next: sequence, minute, .. } = &*self;
        let id = Id { host: host.clone(), incarnation: *incarnation, sequence: *sequence };
        let batch = Batch { id, minute: *minute, lines: std::mem::take(&mut self.lines) };
        self.next += 1;
        self.batches.push_back(batch);
        if self.batches.len() > MAX_BATCHES {
            self.batches.pop_front();
            self.given_up += 1;
        }
    }

    /// The oldest batches that are not known to be in the store.
    pub fn waiting(&self, count: usize) -> Vec<Batch> {
        self.batches.iter().take(count).cloned().collect()
    }

    /// Number of batches that are not known to be in the store.
    pub fn len(&self) -> usize {
        self.batches.len()
    }

    /// Whether every closed batch is in the store.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Batches that were given up for want of room.
    pub fn given_up(&self) -> u64 {
        self.given_up
    }

    /// The store has these batches.
    pub fn written(&mut self, ids: &[Id]) {
        self.batches.retain(|it| !ids.contains(&it.id));
    }
}
