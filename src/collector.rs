//! Usage batches of other hosts, held until they are in the store, many in one record.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::ledger::{Batch, Id, SCHEMA};

/// Largest record, in bytes; the store takes somewhat more.
const MAX_RECORD_BYTES: usize = 900_000;

/// Most memory for batches, in bytes of their encoding.
const MAX_HELD_BYTES: usize = 16 << 20;

/// Written batches that are remembered, so that their hosts can be told.
const REMEMBERED: usize = 4_096;

/// Batches in one value of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Schema version of the record.
    pub schema: u32,
    /// In order of their names.
    pub batches: Vec<Batch>,
}

impl Record {
    /// Reads a record; `None` if it is not whole or of another schema.
    pub fn decode(content: &[u8]) -> Option<Record> {
        let record: Record = serde_json::from_slice(content).ok()?;
        let known = record.schema == SCHEMA && record.batches.iter().all(|it| it.schema == SCHEMA);
        known.then_some(record)
    }
}

/// A record on its way to the store. Its content never changes under its sequence number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Position among the records of this incarnation.
    pub sequence: u64,
    /// What is written, create-if-absent.
    pub content: Vec<u8>,
}

/// Answer to a host that asks for a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The store has it.
    Written,
    /// It is held in memory.
    Held,
    /// Nothing is known of it.
    Unknown,
}

/// State of a collector.
#[derive(Debug, Default)]
pub struct Collector {
    /// Batches that are in no record yet, with the length of their encoding. Sorted by name.
    held: Vec<(Id, Batch, usize)>,
    bytes: usize,
    /// The record on its way and the names in it.
    writing: Option<(Write, Vec<Id>)>,
    next: u64,
    /// Oldest first.
    written: VecDeque<Id>,
}

impl Collector {
    /// Takes a batch with the length of its encoding; false if there is no room for it.
    pub fn hold(&mut self, batch: Batch, bytes: usize) -> bool {
        let id = batch.id();
        if self.find(&id) != Answer::Unknown {
            return true;
        }
        if self.bytes + bytes > MAX_HELD_BYTES {
            return false;
        }
        let at = self.held.partition_point(|it| it.0 < id);
        self.held.insert(at, (id, batch, bytes));
        self.bytes += bytes;
        true
    }

    /// What is known of a batch.
    pub fn find(&self, id: &Id) -> Answer {
        if self.written.contains(id) {
            return Answer::Written;
        }
        let writing = self.writing.iter().any(|it| it.1.contains(id));
        let held = self.held.binary_search_by(|it| it.0.cmp(id)).is_ok();
        if writing || held { Answer::Held } else { Answer::Unknown }
    }

    /// Number of batches that are not in the store.
    pub fn len(&self) -> usize {
        self.held.len() + self.writing.as_ref().map_or(0, |it| it.1.len())
    }

    /// Whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The record to write now, the same until it is known to be written.
    pub fn write(&mut self) -> Option<Write> {
        if self.writing.is_none() {
            self.compose();
        }
        self.writing.as_ref().map(|it| it.0.clone())
    }

    fn compose(&mut self) {
        let mut size = 0;
        let fits = |it: &&(Id, Batch, usize)| {
            size += it.2 + 1;
            size <= MAX_RECORD_BYTES
        };
        let count = self.held.iter().take_while(fits).count().max(1).min(self.held.len());
        if count == 0 {
            return;
        }
        let taken: Vec<_> = self.held.drain(..count).collect();
        self.bytes -= taken.iter().map(|it| it.2).sum::<usize>();
        let ids = taken.iter().map(|it| it.0.clone()).collect();
        let batches = taken.into_iter().map(|it| it.1).collect();
        let record = Record { schema: SCHEMA, batches };
        let content = serde_json::to_vec(&record).unwrap_or_default();
        self.writing = Some((Write { sequence: self.next, content }, ids));
        self.next += 1;
    }

    /// The store has the record; returns the names of its batches.
    pub fn written(&mut self, sequence: u64) -> Vec<Id> {
        let Some((_, ids)) = self.writing.take_if(|it| it.0.sequence == sequence) else {
            return Vec::new();
        };
        self.written.extend(ids.iter().cloned());
        let excess = self.written.len().saturating_sub(REMEMBERED);
        self.written.drain(..excess);
        ids
    }

    /// Another value stands under the record's key; it is written under the next number.
    pub fn renumber(&mut self, sequence: u64) {
        if let Some((write, _)) = self.writing.as_mut().filter(|it| it.0.sequence == sequence) {
            write.sequence = self.next;
            self.next += 1;
        }
    }
}
