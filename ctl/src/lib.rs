//! Operators' command line of almondrack, as a library with a thin program.

use std::{
    ffi::OsString,
    io::{self, Write},
    pin::pin,
    time::Duration,
};

use tokio::{
    sync::watch,
    time::{Instant, interval_at},
};

mod apply;
mod check;
mod client;
mod command;
mod explain;
mod failure;
mod flags;
mod table;

use client::Client;
use failure::Failure;
use flags::AlmondrackctlCmd;

/// Time after which a command says what it waits for, and between such lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a command line without the program's name and returns the exit code.
///
/// `look_up` reads environment variables. Exit codes: 0 done, 1 refused by the server, 2 usage, 3 no host answers,
/// 4 conflict, 5 doubts found by a check.
pub async fn run(
    arguments: Vec<OsString>,
    look_up: &dyn Fn(&str) -> Option<String>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> u8 {
    match execute(arguments, look_up, err).await {
        Ok(text) => {
            // A reader that has left is no failure of the command.
            let _ = out.write_all(text.as_bytes());
            0
        }
        Err(Failure::Found { report, code }) => {
            let _ = out.write_all(report.as_bytes());
            code
        }
        Err(failure) => {
            let _ = writeln!(err, "almondrackctl: {failure}");
            failure.code()
        }
    }
}

async fn execute(
    arguments: Vec<OsString>,
    look_up: &dyn Fn(&str) -> Option<String>,
    err: &mut dyn Write,
) -> Result<String, Failure> {
    let flags = match flags::Almondrackctl::from_vec(arguments.clone()) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => return Ok(format!("{error}{}", flags::EXAMPLES)),
        Err(error) => return Err(flags::explain(&arguments, &error)),
    };
    if let AlmondrackctlCmd::Explain(it) = &flags.subcommand {
        return explain::execute(&it.id, &it.path);
    }
    if let AlmondrackctlCmd::Check(it) = &flags.subcommand
        && it.offline
    {
        return check::execute(it, None, flags.json).await;
    }
    let (step, steps) = watch::channel(String::new());
    let client = Client::open(&flags, look_up, step)?;
    shown(command::execute(&flags, &client), steps, err).await
}

/// Runs a command and writes a line on what it waits for after each interval.
async fn shown<T>(
    work: impl Future<Output = T>,
    steps: watch::Receiver<String>,
    err: &mut dyn Write,
) -> T {
    let mut work = pin!(work);
    let start = Instant::now();
    let mut ticks = interval_at(start + PROGRESS_INTERVAL, PROGRESS_INTERVAL);
    loop {
        tokio::select! {
            biased;
            done = &mut work => return done,
            _ = ticks.tick() => {
                let _ = progress(err, &steps.borrow(), start.elapsed());
            }
        }
    }
}

fn progress(err: &mut dyn Write, step: &str, elapsed: Duration) -> io::Result<()> {
    writeln!(err, "almondrackctl: {step} ({} s)", elapsed.as_secs())
}
