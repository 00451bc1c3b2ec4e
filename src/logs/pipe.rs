//! Log lines on standard output that never hold up the process.
//!
//! A thread writes; lines beyond what it can take, or beyond the budget of a second, are dropped and counted.

use std::{
    io::Write as _,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use log::{Level, Record};
use log4rs::{
    append::Append,
    encode::{Encode, writer::simple::SimpleWriter},
};

use crate::time::{Span, Time};

/// Lines that wait for the writer.
const QUEUE: usize = 1_024;

/// Time for which the budget holds.
const PERIOD: Span = Span::from_ms(1_000);

/// Longest wait for the last lines when the process ends.
const LAST_WAIT: Duration = Duration::from_millis(200);

/// Step of that wait.
const LAST_WAIT_STEP: Duration = Duration::from_millis(5);

/// Lines a second. Warnings and errors may use all of them, other lines leave some for these.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// For lines of all levels.
    pub all: u32,
    /// For lines below warnings.
    pub calm: u32,
}

/// Lines of the current period.
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    start: Time,
    used: u32,
    /// Dropped since the last line that told of it.
    dropped: u64,
}

impl Budget {
    /// A budget that is not used yet.
    pub fn new(limits: Limits) -> Budget {
        Budget { limits, start: Time(0), used: 0, dropped: 0 }
    }

    /// Whether a line may be written now. One that may not is counted.
    pub fn take(&mut self, now: Time, level: Level) -> bool {
        if now.since(self.start) >= PERIOD {
            self.start = now;
            self.used = 0;
        }
        let limit = if level <= Level::Warn { self.limits.all } else { self.limits.calm };
        let granted = self.used < limit;
        if granted {
            self.used += 1;
        } else {
            self.dropped += 1;
        }
        granted
    }

    /// Counts a line that was granted and could not be written.
    pub fn drop_line(&mut self) {
        self.dropped += 1;
    }

    /// Number of dropped lines that nobody was told of.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

/// The appender.
#[derive(Debug)]
pub struct Pipe {
    encoder: Box<dyn Encode>,
    budget: Mutex<Budget>,
    lines: SyncSender<Vec<u8>>,
    /// Lines that the writer has not written.
    waiting: &'static AtomicUsize,
}

impl Pipe {
    /// Spawns the writer.
    pub fn spawn(encoder: Box<dyn Encode>, limits: Limits) -> Pipe {
        let (lines, receiver) = sync_channel(QUEUE);
        // There is one logger in a process, which lives as long.
        let waiting: &AtomicUsize = Box::leak(Box::new(AtomicUsize::new(0)));
        thread::spawn(move || write(receiver, waiting));
        Pipe { encoder, budget: Mutex::new(Budget::new(limits)), lines, waiting }
    }

    fn encode(&self, record: &Record<'_>) -> anyhow::Result<Vec<u8>> {
        let mut writer = SimpleWriter(Vec::new());
        self.encoder.encode(&mut writer, record)?;
        Ok(writer.0)
    }

    fn send(&self, line: Vec<u8>) -> bool {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let sent = self.lines.try_send(line).is_ok();
        if !sent {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        sent
    }
}

impl Append for Pipe {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if !budget.take(Time::now(), record.level()) {
            return Ok(());
        }
        let dropped = budget.take_dropped();
        if dropped > 0 {
            let arguments = format_args!("{dropped} log lines were dropped");
            let note = Record::builder()
                .args(arguments)
                .level(Level::Warn)
                .target(record.target())
                .build();
            self.send(self.encode(&note)?);
        }
        if !self.send(self.encode(record)?) {
            budget.drop_line();
        }
        Ok(())
    }

    fn flush(&self) {
        let mut waited = Duration::ZERO;
        while self.waiting.load(Ordering::Relaxed) > 0 && waited < LAST_WAIT {
            thread::sleep(LAST_WAIT_STEP);
            waited += LAST_WAIT_STEP;
        }
    }
}

fn write(lines: Receiver<Vec<u8>>, waiting: &AtomicUsize) {
    let mut out = std::io::stdout();
    for line in lines {
        // Without a reader there is nobody to tell.
        let _ = out.write_all(&line);
        let _ = out.flush();
        waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
