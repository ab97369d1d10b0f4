//! Writes numbered events as lines of text or JSON through log4rs.

use crate::settings::{LogFormat, LogSettings};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

/// The name of the one appender.
const APPENDER: &str = "events";
/// Time in UTC, severity, number, summary and fields.
const TEXT_LINE: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {K(code)} {m}{n}";

/// Logging cannot be set up.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LoggingError {
    /// The log file cannot be opened.
    #[error("cannot open the log file {path}")]
    File {
        /// The file.
        path: String,
        /// Why it cannot be opened.
        #[source]
        source: std::io::Error,
    },
    /// The appender is not accepted.
    #[error("cannot set up logging")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// The process has a logger already.
    #[error("logging is set up already")]
    Taken(#[from] log::SetLoggerError),
}

/// Adds the encoder of a format to an appender's builder.
macro_rules! with_encoder {
    ($builder:expr, $format:expr) => {
        match $format {
            LogFormat::Text => $builder.encoder(Box::new(PatternEncoder::new(TEXT_LINE))),
            LogFormat::Json => $builder.encoder(Box::new(JsonEncoder::new())),
        }
    };
}

/// Sets up the process's logger.
///
/// # Errors
/// Returns [`LoggingError`] if the file cannot be opened or a logger exists.
pub fn init(settings: &LogSettings) -> Result<(), LoggingError> {
    let appender = match &settings.file {
        Some(path) => {
            let file = with_encoder!(FileAppender::builder(), settings.format).build(path);
            let file = file.map_err(|source| LoggingError::File {
                path: path.display().to_string(),
                source,
            })?;
            Appender::builder().build(APPENDER, Box::new(file))
        }
        None => {
            let console = ConsoleAppender::builder().target(Target::Stderr);
            let console = with_encoder!(console, settings.format).build();
            Appender::builder().build(APPENDER, Box::new(console))
        }
    };
    let root = Root::builder().appender(APPENDER).build(LevelFilter::Info);
    log4rs::init_config(Config::builder().appender(appender).build(root)?)?;
    Ok(())
}
