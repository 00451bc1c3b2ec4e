//! Structured logs of changes of state.

use eyre::Result;
use log4rs::{
    Config,
    config::{Appender, Logger, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};

use crate::{
    logs::pipe::{Limits, Pipe},
    settings::LogFormat,
};

pub mod pipe;

/// Lines a second of one process, about what its collector takes without a share of the processor that callers notice.
const LIMITS: Limits = Limits { all: 200, calm: 120 };

/// Logger of this library; the libraries below it log each call and are held to warnings.
const OWN_LOGGER: &str = "almondrack";

/// Directs log lines to standard output.
///
/// # Errors
/// If a logger is already set.
pub fn open(format: LogFormat, level: log::LevelFilter) -> Result<()> {
    let encoder: Box<dyn Encode> = match format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Text => Box::new(PatternEncoder::new("{d} {l} {t}: {m}{n}")),
    };
    let console = Pipe::spawn(encoder, LIMITS);
    let others = level.min(log::LevelFilter::Warn);
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .logger(Logger::builder().build(OWN_LOGGER, level))
        .build(Root::builder().appender("console").build(others))?;
    log4rs::init_config(config)?;
    Ok(())
}
