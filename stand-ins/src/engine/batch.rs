//! Continuous batching: which streams run, which wait, and when each produces a token.

use tokio::sync::watch;

/// How far a stream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) produced: u32,
    pub(super) end: Option<End>,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Done,
    Cancelled,
    Crashed,
}

impl End {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            End::Done => "done",
            End::Cancelled => "cancelled",
            End::Crashed => "crashed",
        }
    }
}

/// What a stream needs from the engine.
#[derive(Debug)]
pub(super) struct Work {
    /// Place of the stream in the engine's history.
    pub(super) key: usize,
    /// Lower runs first.
    pub(super) priority: i64,
    /// Memory for prompt and output, in tokens.
    pub(super) kv_tokens: u64,
    /// Time from the start to the first token, in microseconds.
    pub(super) prefill_us: u64,
    /// Output tokens.
    pub(super) length: u32,
    pub(super) progress: watch::Sender<Progress>,
}

#[derive(Debug)]
struct Running {
    work: Work,
    /// Time of the next token, in microseconds.
    due_us: u64,
    produced: u32,
}

/// Limits and speed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    pub(super) slots: usize,
    pub(super) kv_tokens: u64,
    /// Time between two tokens of a stream, in microseconds.
    pub(super) gap_us: u64,
    /// Factor on all times.
    pub(super) slow: f64,
}

/// A stream that left the batch.
#[derive(Debug, Clone, Copy)]
pub(super) struct Left {
    pub(super) key: usize,
    pub(super) produced: u32,
    pub(super) end: End,
}

/// Running and waiting streams.
#[derive(Debug, Default)]
pub(super) struct Batch {
    running: Vec<Running>,
    /// In the order in which they start.
    waiting: Vec<Work>,
    kv_used: u64,
}

impl Batch {
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn kv_used(&self) -> u64 {
        self.kv_used
    }

    pub(super) fn push(&mut self, work: Work) {
        let place = self.waiting.partition_point(|it| it.priority <= work.priority);
        self.waiting.insert(place, work);
    }

    /// Starts waiting streams while slots and memory last, and names them.
    pub(super) fn admit(&mut self, now_us: u64, pace: Pace) -> Vec<usize> {
        let mut started = Vec::new();
        while let Some(first) = self.waiting.first() {
            let fits = self.kv_used + first.kv_tokens <= pace.kv_tokens || self.running.is_empty();
            if self.running.len() >= pace.slots || !fits {
                break;
            }
            let work = self.waiting.remove(0);
            self.kv_used += work.kv_tokens;
            started.push(work.key);
            let due_us = now_us + (work.prefill_us as f64 * pace.slow) as u64;
            self.running.push(Running { work, due_us, produced: 0 });
        }
        started
    }

    /// Produces all tokens that are due; streams at their end leave.
    pub(super) fn advance(&mut self, now_us: u64, pace: Pace) -> Vec<Left> {
        let gap_us = (pace.gap_us as f64 * pace.slow) as u64;
        for stream in self.running.iter_mut().filter(|it| it.due_us <= now_us) {
            produce(stream, now_us, gap_us);
        }
        let done = |it: &mut Running| it.produced >= it.work.length && it.due_us <= now_us;
        let left: Vec<Running> = self.running.extract_if(.., done).collect();
        left.into_iter().map(|it| self.leave(it.work, it.produced, End::Done)).collect()
    }

    /// Time at which the next token is due, in microseconds.
    pub(super) fn next_us(&self) -> Option<u64> {
        self.running.iter().map(|it| it.due_us).min()
    }

    /// Ends a stream before its time.
    pub(super) fn cancel(&mut self, key: usize) -> Option<Left> {
        if let Some(place) = self.waiting.iter().position(|it| it.key == key) {
            let work = self.waiting.remove(place);
            return Some(end(&work, 0, End::Cancelled));
        }
        let place = self.running.iter().position(|it| it.work.key == key)?;
        let stream = self.running.swap_remove(place);
        Some(self.leave(stream.work, stream.produced, End::Cancelled))
    }

    /// Ends all streams.
    pub(super) fn crash(&mut self) -> Vec<Left> {
        self.kv_used = 0;
        let running = self.running.drain(..).map(|it| (it.work, it.produced));
        let waiting = self.waiting.drain(..).map(|it| (it, 0));
        running.chain(waiting).map(|it| end(&it.0, it.1, End::Crashed)).collect()
    }

    fn leave(&mut self, work: Work, produced: u32, how: End) -> Left {
        self.kv_used -= work.kv_tokens;
        end(&work, produced, how)
    }
}

/// Produces the due tokens of a stream, all that are left if there is no time between them.
fn produce(stream: &mut Running, now_us: u64, gap_us: u64) {
    let left = stream.work.length - stream.produced;
    let due = match (now_us - stream.due_us).checked_div(gap_us) {
        Some(gaps) => (gaps + 1).min(u64::from(left)) as u32,
        None => left,
    };
    stream.produced += due;
    if stream.produced < stream.work.length {
        stream.due_us += u64::from(due) * gap_us;
    }
    stream.work.progress.send_modify(|it| it.produced = stream.produced);
}

fn end(work: &Work, produced: u32, end: End) -> Left {
    work.progress.send_modify(|it| it.end = Some(end));
    Left { key: work.key, produced, end }
}
