//! Structured logs of changes of state.

use eyre::Result;
use log4rs::{
    Config,
    append::console::ConsoleAppender,
    config::{Appender, Logger, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};

use crate::settings::LogFormat;

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
    let console = ConsoleAppender::builder().encoder(encoder).build();
    let others = level.min(log::LevelFilter::Warn);
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .logger(Logger::builder().build(OWN_LOGGER, level))
        .build(Root::builder().appender("console").build(others))?;
    log4rs::init_config(config)?;
    Ok(())
}
