//! Writes numbered events as lines of text or JSON through log4rs.
//!
//! On the users' platform, lines go to standard output through [`Stdout`], which never blocks:
//! lines beyond a bounded queue or a rate limit are dropped and counted.

use crate::event;
use crate::settings::{LogFormat, LogSettings};
use crate::util::event::EventCode;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use serde_json::{Map, Value as Json};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

/// The name of the only appender.
const APPENDER: &str = "events";
/// The pattern of a text line: time in UTC, severity, number, summary and fields.
const TEXT_LINE: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {K(code)} {m}{n}";

/// The maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 4_096;
/// The maximum number of lines written in a second; further lines are dropped and counted.
const MAX_LINES_PER_SECOND: u64 = 600;
/// The maximum length of one field, in bytes.
const MAX_FIELD_BYTES: usize = 300;
/// Fields written as JSON numbers, besides `_ms` fields. Others stay text, as an id may look like a
/// number.
const NUMERIC_FIELDS: [&str; 6] = ["code", "lines", "pieces", "stage", "status", "version"];
/// The size of a write, in bytes, beyond which no further lines are added to it.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

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
    /// log4rs rejects the configuration of the appender.
    #[error("cannot set up logging")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// The process already has a logger.
    #[error("logging is already set up")]
    AlreadySet(#[from] log::SetLoggerError),
}

/// Sets the encoder of a log format on an appender's builder.
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
/// Returns [`LoggingError`] if the file cannot be opened or a logger is already set.
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

/// Sets up the process's logger to write JSON lines to standard output without blocking.
///
/// # Errors
/// Returns [`LoggingError`] if a logger is already set.
pub fn init_stdout() -> Result<(), LoggingError> {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    std::thread::spawn(move || write_lines(&queue));
    let stdout = Stdout {
        lines,
        second: AtomicU64::new(0),
        count: AtomicU64::new(0),
        dropped: AtomicU64::new(0),
    };
    let root = Root::builder().appender(APPENDER).build(LevelFilter::Info);
    let appender = Appender::builder().build(APPENDER, Box::new(stdout));
    log4rs::init_config(Config::builder().appender(appender).build(root)?)?;
    Ok(())
}

/// Passes lines to a thread that writes them; lines that do not fit are dropped and counted.
#[derive(Debug)]
struct Stdout {
    lines: SyncSender<Vec<u8>>,
    /// The Unix second to which `count` refers.
    second: AtomicU64,
    count: AtomicU64,
    dropped: AtomicU64,
}

impl Stdout {
    /// Returns whether the rate limit allows another line in `second`.
    ///
    /// Logs the number of dropped lines when a new second begins.
    fn allows_line(&self, second: u64) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.count.store(0, Ordering::Relaxed);
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                event!(EventCode::LinesDropped, lines = dropped);
            }
        }
        self.count.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }
}

impl Append for Stdout {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let is_allowed = self.allows_line(now.as_secs());
        if !is_allowed || self.lines.try_send(json_line(now.as_secs_f64(), record)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Formats one line: time in Unix seconds, severity, number, name and fields.
fn json_line(time: f64, record: &Record<'_>) -> Vec<u8> {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".to_owned(), Json::from((time * 1_000.0).round() / 1_000.0));
    fields.0.insert("level".to_owned(), Json::from(record.level().as_str()));
    // The visitor accepts every value, so it cannot fail.
    if record.key_values().visit(&mut fields).is_err() || !fields.0.contains_key("event") {
        fields.0.insert("message".to_owned(), Json::from(record.args().to_string()));
    }
    let mut line = Json::Object(fields.0).to_string().into_bytes();
    line.push(b'\n');
    line
}

struct Fields(Map<String, Json>);

impl<'v> VisitSource<'v> for Fields {
    fn visit_pair(&mut self, key: Key<'v>, value: Value<'v>) -> Result<(), log::kv::Error> {
        let mut text = value.to_string();
        let is_number = NUMERIC_FIELDS.contains(&key.as_str()) || key.as_str().ends_with("_ms");
        let number = text.parse::<i64>().ok().filter(|_| is_number);
        text.truncate(text.floor_char_boundary(MAX_FIELD_BYTES));
        self.0.insert(key.to_string(), number.map_or_else(|| Json::from(text), Json::from));
        Ok(())
    }
}

/// Writes queued lines, several in one write if possible, until the process ends.
fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut stdout = std::io::stdout().lock();
    while let Ok(mut chunk) = queue.recv() {
        while let Ok(line) = queue.try_recv() {
            chunk.extend(line);
            if chunk.len() > MAX_CHUNK_BYTES {
                break;
            }
        }
        // Standard output is closed: logging stops, requests are still served.
        if stdout.write_all(&chunk).and_then(|()| stdout.flush()).is_err() {
            return;
        }
    }
}
