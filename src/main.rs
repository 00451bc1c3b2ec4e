//! The daemon of every entry host.

use std::{env, io::Write as _, process::ExitCode};

use almondrack::{
    host::Host,
    logs,
    settings::{Settings, variable},
};
use eyre::{Result, WrapErr as _};
use tokio::signal::unix::{SignalKind, signal};

mod flags;

/// Exit code when requests were cut by the end of the drain timeout, or a task failed.
const EXIT_FAILED: u8 = 1;

/// Exit code for settings that are not valid.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags = match flags::Almondrackd::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let look_up = |flag: &str| flags.text(flag).or_else(|| env::var(variable(flag)).ok());
    let settings = match Settings::resolve(&look_up) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                let _ = writeln!(std::io::stderr(), "almondrackd: {fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if flags.check {
        let _ = writeln!(std::io::stdout(), "settings are valid");
        return ExitCode::SUCCESS;
    }
    let ended = run(settings);
    if let Err(error) = &ended {
        log::error!("{error:#}");
    }
    log::logger().flush();
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "almondrackd: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs the host until it is told to stop. True if every request ended.
fn run(settings: Settings) -> Result<bool> {
    logs::open(settings.log_format, settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot take SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot take SIGINT")?;
        let host = Host::spawn(settings).await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = host.drain_asked() => {}
            () = host.replaced() => log::warn!("another process has taken this host's id"),
        }
        Ok(host.drain().await)
    })
}
