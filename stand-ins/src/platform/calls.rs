//! Counts and history of calls.

use std::{collections::BTreeMap, time::Instant};

use http::Method;
use serde::Serialize;

use crate::{clock::wall_ms, server};

/// One received call.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Call {
    /// Wall-clock time of receipt, in milliseconds.
    at_ms: u64,
    pub(super) host: String,
    cause: String,
    method: String,
    path: String,
    /// Status sent, absent if no answer was sent.
    pub(super) status: Option<u16>,
    /// Whether a write took effect.
    pub(super) effect: bool,
    /// Whether the answer was lost after the effect.
    pub(super) lost: bool,
}

impl Call {
    pub(super) fn new(head: &http::request::Parts, path: &str) -> Call {
        Call {
            at_ms: wall_ms(),
            host: server::header(&head.headers, "x-host"),
            cause: server::header(&head.headers, "x-cause"),
            method: head.method.to_string(),
            path: path.to_owned(),
            status: None,
            effect: false,
            lost: false,
        }
    }

    pub(super) fn is_write(&self) -> bool {
        self.method != Method::GET.as_str()
    }
}

/// Numbers of calls since the start.
#[derive(Debug, Default, Serialize)]
pub(super) struct Counts {
    total: u64,
    by_cause: BTreeMap<String, u64>,
    by_host: BTreeMap<String, u64>,
}

/// Counts and history.
#[derive(Debug, Default)]
pub(super) struct Calls {
    counts: Counts,
    history: Vec<Call>,
    /// Start of the present second and the reads and writes in it.
    second: Option<(Instant, u32, u32)>,
}

impl Calls {
    /// Counts a call and returns the calls of its kind in the present second.
    pub(super) fn count(&mut self, call: &Call, now: Instant) -> u32 {
        self.counts.total += 1;
        *self.counts.by_cause.entry(call.cause.clone()).or_default() += 1;
        *self.counts.by_host.entry(call.host.clone()).or_default() += 1;
        let second = self.second.get_or_insert((now, 0, 0));
        if now.duration_since(second.0).as_millis() >= 1_000 {
            *second = (now, 0, 0);
        }
        let count = if call.is_write() { &mut second.2 } else { &mut second.1 };
        *count += 1;
        *count
    }

    /// Adds a call to the history and returns its place.
    pub(super) fn push(&mut self, call: Call) -> usize {
        self.history.push(call);
        self.history.len() - 1
    }

    /// A call by its place.
    pub(super) fn get(&mut self, place: usize) -> &mut Call {
        &mut self.history[place]
    }

    pub(super) fn counts(&self) -> &Counts {
        &self.counts
    }

    pub(super) fn history(&self) -> &Vec<Call> {
        &self.history
    }
}
