//! The fields of a settings file.

use super::TlsSettings;
use crate::adapters::channel::Channels;
use crate::adapters::tls::TlsError;
use crate::core::answer_limits::AnswerLimits;
use crate::core::config::Name;
use crate::entry::Limits;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use strum::Display;

/// The default time for running requests to finish after a shutdown has begun.
const DEFAULT_GRACE: Duration = Duration::from_secs(30);

/// The settings of one process.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the process; for a sidecar, the host's name in the configuration.
    pub name: Name,
    /// The region of the host.
    pub region: Name,
    /// The availability zone of the host.
    pub zone: Name,
    /// The address at which other processes of the system reach this one.
    pub listen: SocketAddr,
    /// The URLs of the platform's services.
    pub platform: PlatformSettings,
    /// Other processes that provide the configuration while the log cannot be reached.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The certificates of the process; without them, connections are in plain text.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// The time for running requests to finish after a shutdown has begun, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_grace", rename = "grace_ms")]
    pub grace_period: Duration,
    /// Present on entries.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// Present on sidecars.
    #[serde(default)]
    pub sidecar: Option<SidecarSettings>,
    /// How events are logged.
    #[serde(default)]
    pub log: LogSettings,
    /// Where metrics are sent.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

impl Settings {
    /// Returns the settings of connections with other processes.
    ///
    /// # Errors
    /// Returns [`TlsError`] naming the file that cannot be used.
    pub fn channels(&self) -> Result<Channels, TlsError> {
        self.tls.as_ref().map_or_else(|| Ok(Channels::plain()), TlsSettings::channels)
    }
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Accepts callers' requests and runs their pipelines.
    Entry,
    /// Runs beside a backend server and queues its work.
    Sidecar,
}

/// The platform's services, as base URLs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The append-only log.
    pub log: String,
    /// The host list.
    #[serde(default)]
    pub hosts: Option<String>,
    /// The weight store.
    #[serde(default)]
    pub weights: Option<String>,
    /// The power switch.
    #[serde(default)]
    pub power: Option<String>,
}

/// The settings of an entry.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The address at which callers connect.
    pub http: SocketAddr,
    /// The number of the entry among the entries of its zone, counted from zero.
    #[serde(default)]
    pub ordinal: u32,
    /// The maximum size of a request body, in bytes.
    #[serde(default = "default_body", rename = "body_bytes")]
    pub max_body: usize,
    /// The maximum deadline of a request, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_deadline", rename = "deadline_ms")]
    pub max_deadline: Duration,
    /// The maximum length of an idempotency key, in bytes.
    #[serde(default = "default_key", rename = "key_bytes")]
    pub max_key: usize,
    /// The maximum number of requests in progress.
    #[serde(default = "default_inflight", rename = "inflight")]
    pub max_inflight: u32,
    /// The maximum memory for the bodies of all requests, in bytes.
    #[serde(default = "default_held", rename = "memory_bytes")]
    pub max_held: usize,
}

/// The settings of a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// The base URL of the backend server.
    pub backend: String,
    /// The maximum size of a plain answer of the backend server, in bytes.
    #[serde(default = "default_answer", rename = "answer_bytes")]
    pub max_answer: usize,
    /// The maximum size of a streamed answer of the backend server, in bytes.
    #[serde(default = "default_stream", rename = "stream_bytes")]
    pub max_stream: usize,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// How events are logged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The format of log lines.
    pub format: LogFormat,
    /// The file to append to; standard error by default.
    pub file: Option<PathBuf>,
}

/// Where metrics are sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// The UDP address of a statsd server; without one, metrics are dropped.
    pub statsd: Option<SocketAddr>,
}

impl EntrySettings {
    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> Limits {
        let Self { max_body, max_deadline, max_key, max_inflight, max_held, .. } = *self;
        Limits { max_body, max_deadline, max_key, max_inflight, max_held }
    }
}

impl SidecarSettings {
    /// Returns the limits on answers of the backend server.
    pub fn limits(&self) -> AnswerLimits {
        let (plain, stream) = (self.max_answer, self.max_stream);
        AnswerLimits { plain, stream, ..AnswerLimits::SIDECAR }
    }
}

fn default_answer() -> usize {
    AnswerLimits::SIDECAR.plain
}

fn default_stream() -> usize {
    AnswerLimits::SIDECAR.stream
}

fn default_grace() -> Duration {
    DEFAULT_GRACE
}

fn default_body() -> usize {
    Limits::default().max_body
}

fn default_deadline() -> Duration {
    Limits::default().max_deadline
}

fn default_key() -> usize {
    Limits::default().max_key
}

fn default_inflight() -> u32 {
    Limits::default().max_inflight
}

fn default_held() -> usize {
    Limits::default().max_held
}
