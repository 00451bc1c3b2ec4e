//! Billing windows: each is sealed once and counts every batch that no earlier window counted.
//!
//! Windows are sealed in order, each from the one before it, so that a batch is counted in one window whoever seals it.

use serde::{Deserialize, Serialize};

use crate::ledger::{self, Batch, Line};

/// Schema version of windows.
const SCHEMA: u32 = 1;

/// Sequence numbers of one incarnation that have been counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Counted {
    host: String,
    incarnation: u64,
    /// Every number below this one was counted.
    below: u64,
    /// Counted numbers above it. Sorted, without `below`.
    beyond: Vec<u64>,
    /// Last window that counted a batch of the incarnation.
    window: u64,
}

impl Counted {
    fn contains(&self, sequence: u64) -> bool {
        sequence < self.below || self.beyond.binary_search(&sequence).is_ok()
    }

    fn insert(&mut self, sequence: u64) {
        if let Err(at) = self.beyond.binary_search(&sequence) {
            self.beyond.insert(at, sequence);
        }
        let follows = |it: &(usize, &u64)| *it.1 == self.below + it.0 as u64;
        let run = self.beyond.iter().enumerate().take_while(follows).count();
        self.beyond.drain(..run);
        self.below += run as u64;
    }
}

/// A sealed window, as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    schema: u32,
    /// Number of the window: its start divided by its length.
    pub window: u64,
    /// Usage that this window bills. Sorted by customer, route and model.
    pub totals: Vec<Line>,
    /// Everything counted up to and in this window. Sorted by host and incarnation.
    counted: Vec<Counted>,
}

impl Window {
    /// Reads a window; `None` if it is not whole or of another schema.
    pub fn decode(content: &[u8]) -> Option<Window> {
        let window: Window = serde_json::from_slice(content).ok()?;
        (window.schema == SCHEMA).then_some(window)
    }

    /// The bytes that are stored and reported.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Whether this window or an earlier one counted a batch.
    pub fn contains(&self, batch: &Batch) -> bool {
        let found = position(&self.counted, batch);
        found.is_ok_and(|it| self.counted[it].contains(batch.sequence))
    }
}

fn position(counted: &[Counted], batch: &Batch) -> Result<usize, usize> {
    let name = (batch.host.as_str(), batch.incarnation);
    counted.binary_search_by(|it| (it.host.as_str(), it.incarnation).cmp(&name))
}

/// Length and retention of windows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Length of a window in milliseconds, at least 1.
    pub window_ms: u64,
    /// Windows for which the counted numbers of a silent incarnation are kept.
    pub retained: u64,
}

impl Terms {
    /// Number of the window that a wall-clock time falls into.
    pub fn window(self, wall_ms: u64) -> u64 {
        wall_ms / self.window_ms.max(1)
    }
}

/// A window that is being counted.
#[derive(Debug)]
pub struct Draft {
    terms: Terms,
    window: Window,
    /// Number of the window that is open now.
    open: u64,
}

impl Draft {
    /// The window after a sealed one, or the first one with this number.
    pub fn new(terms: Terms, previous: Option<&Window>, first: u64, wall_ms: u64) -> Draft {
        let window = previous.map_or(first, |it| it.window + 1);
        let counted = previous.map(|it| it.counted.clone()).unwrap_or_default();
        let window = Window { schema: SCHEMA, window, totals: Vec::new(), counted };
        Draft { terms, window, open: terms.window(wall_ms) }
    }

    /// Counts a batch unless an earlier window did, or it belongs to a later one.
    pub fn count(&mut self, batch: &Batch) {
        let own = self.terms.window(batch.cut_ms);
        // A batch from the future shows a wrong clock; it must not wait for that time.
        let is_later = own > self.window.window && own <= self.open;
        if is_later || self.window.contains(batch) {
            return;
        }
        let counted = &mut self.window.counted;
        let at = position(counted, batch).unwrap_or_else(|at| {
            let host = batch.host.clone();
            let incarnation = batch.incarnation;
            let fresh = Counted { host, incarnation, below: 0, beyond: Vec::new(), window: 0 };
            counted.insert(at, fresh);
            at
        });
        counted[at].insert(batch.sequence);
        counted[at].window = self.window.window;
        for line in &batch.lines {
            ledger::add(&mut self.window.totals, line.clone());
        }
    }

    /// Ends the counting.
    pub fn seal(mut self) -> Window {
        let oldest = self.window.window.saturating_sub(self.terms.retained);
        self.window.counted.retain(|it| it.window >= oldest);
        self.window
    }
}
