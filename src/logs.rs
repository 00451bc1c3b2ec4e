//! Structured logs of changes of state.

use eyre::Result;
use log4rs::{
    Config,
    append::console::ConsoleAppender,
    config::{Appender, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};

use crate::settings::LogFormat;

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
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
