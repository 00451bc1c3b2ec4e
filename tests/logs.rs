//! Log lines are bounded and never hold up the process.

use std::{
    io::{BufRead as _, BufReader},
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use almondrack::{
    logs::{
        self,
        pipe::{Budget, Limits},
    },
    settings::LogFormat,
    time::{Span, Time},
};
use log::Level;

const LIMITS: Limits = Limits { all: 10, calm: 4 };

fn granted(budget: &mut Budget, now: Time, level: Level, count: usize) -> usize {
    (0..count).filter(|_| budget.take(now, level)).count()
}

#[test]
fn failures_are_written_while_other_lines_are_dropped_and_counted() {
    let mut budget = Budget::new(LIMITS);
    let now = Time(5_000_000);
    assert_eq!(granted(&mut budget, now, Level::Info, 100), 4);
    assert_eq!(granted(&mut budget, now, Level::Warn, 100), 6);
    assert_eq!(budget.take_dropped(), 96 + 94);
    assert_eq!(budget.take_dropped(), 0);
    let later = now + Span::from_ms(1_000);
    assert_eq!(granted(&mut budget, later, Level::Info, 100), 4);
}

/// Environment variable that makes this program a writer of log lines.
const WRITER: &str = "ALMONDRACK_TEST_WRITER";

/// Not a test by itself: the program that the next test starts.
#[test]
fn writer() {
    if std::env::var_os(WRITER).is_none() {
        return;
    }
    logs::open(LogFormat::Json, log::LevelFilter::Info).expect("no logger is set");
    let start = Instant::now();
    // More than a pipe holds.
    for second in 0..3 {
        for index in 0..500 {
            log::warn!("line {second} {index} {}", "x".repeat(1_000));
        }
        std::thread::sleep(Duration::from_millis(1_050));
    }
    eprintln!("written after {} ms", start.elapsed().as_millis());
    std::process::exit(0);
}

#[test]
fn a_reader_that_stands_still_holds_up_nothing() {
    let program = std::env::current_exe().expect("the test is a program");
    let mut child = Command::new(program)
        .args(["--exact", "writer", "--nocapture"])
        .env(WRITER, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // Nobody reads standard output meanwhile.
    let lines = BufReader::new(child.stderr.take().expect("it is piped")).lines();
    let told = lines.map_while(Result::ok).find(|it| it.starts_with("written after"));
    let told = told.expect("the program ends although its output is full");
    let ms: u64 = told.split_whitespace().nth(2).and_then(|it| it.parse().ok()).expect("a number");
    assert!(ms < 10_000, "{told}");
    assert!(child.wait().expect("the program has ended").success());
}
