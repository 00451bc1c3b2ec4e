//! Record of what was sent, answered and run, written to `record.txt` of a case.

use std::{
    fs,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// Takes lines; clones share them.
#[derive(Debug, Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    /// Creates an empty record.
    pub fn open() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line with the current time.
    pub fn add(&self, line: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push((Instant::now(), line.into()));
    }

    /// Adds a line and shows it.
    pub fn tell(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} {line}", self.start.elapsed().as_secs_f64());
        self.add(line);
    }

    /// Seconds from the start of the record to a time.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Writes the lines to `record.txt` in a folder.
    pub fn write(&self, folder: &PathBuf) {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let text: String =
            lines.iter().map(|(at, it)| format!("{:8.3} {it}\n", self.seconds(*at))).collect();
        if let Err(error) = fs::write(folder.join("record.txt"), text) {
            eprintln!("record.txt cannot be written: {error}");
        }
    }
}
