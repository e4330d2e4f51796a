//! Logging to standard error: one line of text or one JSON object for each record.

use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use miette::IntoDiagnostic;

use crate::options::DaemonOptions;

const LINE_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:<5} {m}{n}";
const APPENDER: &str = "stderr";

/// Installs the global logger. Records of other crates are logged from level `warn` up.
pub(crate) fn init(options: &DaemonOptions) -> miette::Result<()> {
    let encoder: Box<dyn Encode> = if options.json_logs {
        Box::new(JsonEncoder::new())
    } else {
        Box::new(PatternEncoder::new(LINE_PATTERN))
    };
    let console = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(console)))
        .logger(Logger::builder().build("ebonydock", options.log_level))
        .build(Root::builder().appender(APPENDER).build(log::LevelFilter::Warn))
        .into_diagnostic()?;
    log4rs::init_config(config).into_diagnostic()?;
    Ok(())
}
