//! The settings file that the platform writes for each process.

use crate::core::answer_limits::AnswerLimits;
use crate::core::memory::CALLER_PART;
use crate::core::retry_share::RetryLimit;
use crate::serve::settings::{Bounds, NodeSettings, StoreSettings, memory_bytes};
use crate::util::jsonc::{self, JsoncError};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that holds the path of the file.
const PATH_VARIABLE: &str = "LIMPETMUX_BOOT";
/// The longest bound that can be meant.
const MAX_BOUND: Duration = Duration::from_secs(24 * 60 * 60);
/// The kind of process that accepts callers.
const SERVES_CALLERS: &str = "edge";

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum BootError {
    /// Neither the command line nor the environment names a file.
    #[error("no settings file given; pass a path or set {PATH_VARIABLE}")]
    Unnamed,
    /// The file cannot be read.
    #[error("cannot read settings file {path}")]
    Read {
        /// The file.
        path: String,
        /// Why it cannot be read.
        #[source]
        source: std::io::Error,
    },
    /// The text is not valid JSON, or a field is missing or has the wrong type.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Parse(#[from] Box<JsoncError>),
    /// A field has an invalid value.
    #[error("{path}: field `{field}`: {reason}")]
    Field {
        /// The file.
        path: String,
        /// The field.
        field: &'static str,
        /// Why the value is invalid.
        reason: &'static str,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct File {
    node_id: String,
    serves: Vec<String>,
    ip: std::net::IpAddr,
    zone: String,
    listen: Listen,
    internal_ports: [u16; 2],
    /// Addresses of other nodes; their ports are replaced by the first internal port of this file.
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    limits: Limits,
    bounds: FileBounds,
    platform: Store,
}

#[derive(Deserialize)]
struct Listen {
    front: Option<SocketAddr>,
    readiness: Option<SocketAddr>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Limits {
    memory_mb: u64,
    max_fds: usize,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct FileBounds {
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    drain_ms: Duration,
    #[serde_as(as = "DurationSeconds<f64>")]
    grace_s: Duration,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    revoke_ms: Duration,
    #[serde(default = "default_config_apply")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    config_apply_ms: Duration,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    evacuate_ms: Option<Duration>,
    #[serde(rename = "retry-budget-ratio")]
    budget_ratio: f64,
    #[serde(rename = "retry-budget-slack")]
    budget_slack: f64,
    #[serde(rename = "budget-window-s")]
    #[serde_as(as = "DurationSeconds<f64>")]
    budget_window: Duration,
}

#[derive(Deserialize)]
struct Store {
    address: SocketAddr,
}

/// Returns the path of the settings file: the given one, or else the one in the environment.
///
/// # Errors
/// Returns [`BootError::Unnamed`] if there is neither.
pub fn path(given: Option<PathBuf>) -> Result<PathBuf, BootError> {
    given.or_else(|| std::env::var_os(PATH_VARIABLE).map(PathBuf::from)).ok_or(BootError::Unnamed)
}

/// Reads and checks a settings file; unknown fields are ignored.
///
/// # Errors
/// Returns [`BootError`] with the file, the field and the reason.
pub fn load(path: &Path) -> Result<NodeSettings, BootError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| BootError::Read { path: name.clone(), source })?;
    parse(&name, &text)
}

/// Parses and checks the text of a settings file.
///
/// # Errors
/// Returns [`BootError`] with the file, the field and the reason.
pub fn parse(name: &str, text: &str) -> Result<NodeSettings, BootError> {
    let file: File = jsonc::parse(name, text, "settings of the platform")?;
    check(name, &file)?;
    Ok(settings(file))
}

fn check(path: &str, file: &File) -> Result<(), BootError> {
    let invalid = |field, reason| Err(BootError::Field { path: path.to_owned(), field, reason });
    let serves_callers = file.serves.iter().any(|s| s == SERVES_CALLERS);
    if file.node_id.is_empty() {
        return invalid("node-id", "is empty");
    }
    if file.internal_ports[0] == 0 || file.internal_ports[0] > file.internal_ports[1] {
        return invalid("internal-ports", "is not a range of ports");
    }
    if serves_callers && file.listen.front.is_none() {
        return invalid("listen.front", "is missing for a process that serves callers");
    }
    if serves_callers && file.listen.readiness.is_none() {
        return invalid("listen.readiness", "is missing for a process that serves callers");
    }
    let ratio = file.bounds.budget_ratio;
    if !(0.0..=10.0).contains(&ratio) {
        return invalid("bounds.retry-budget-ratio", "is not a ratio");
    }
    let bounds = &file.bounds;
    let times = [
        ("bounds.revoke-ms", bounds.revoke_ms),
        ("bounds.config-apply-ms", bounds.config_apply_ms),
        ("bounds.evacuate-ms", bounds.evacuate_ms.unwrap_or(bounds.revoke_ms)),
        ("bounds.drain-ms", bounds.drain_ms),
    ];
    for (field, time) in times {
        if time.is_zero() {
            return invalid(field, "is zero");
        }
        if time > MAX_BOUND {
            return invalid(field, "is longer than a day");
        }
    }
    Ok(())
}

/// The bound on new configurations of a file that states none: the system's target.
fn default_config_apply() -> Duration {
    Duration::from_secs(16)
}

fn settings(file: File) -> NodeSettings {
    let [first, _] = file.internal_ports;
    let serves_callers = file.serves.iter().any(|s| s == SERVES_CALLERS);
    let retry_limit = RetryLimit {
        ratio: file.bounds.budget_ratio,
        allowance: file.bounds.budget_slack,
        window: file.bounds.budget_window,
    };
    NodeSettings {
        name: file.node_id.into(),
        zone: file.zone.into(),
        caller_addr: file.listen.front.filter(|_| serves_callers),
        readiness_addr: file.listen.readiness.filter(|_| serves_callers),
        node_addr: SocketAddr::new(file.ip, first),
        metrics_addr: SocketAddr::new(file.ip, METRICS_PORT),
        seeds: file.seeds.iter().map(|s| SocketAddr::new(s.ip(), first)).collect(),
        memory_mb: file.limits.memory_mb,
        caller_bytes: memory_bytes(file.limits.memory_mb) / CALLER_PART,
        max_descriptors: file.limits.max_fds,
        bounds: Bounds {
            drain_time: file.bounds.drain_ms,
            grace_period: file.bounds.grace_s,
            revoke_bound: file.bounds.revoke_ms,
            config_bound: file.bounds.config_apply_ms,
            evacuate_bound: file.bounds.evacuate_ms.unwrap_or(file.bounds.revoke_ms),
            retry_limit,
        },
        answers: AnswerLimits::default(),
        store: StoreSettings { address: file.platform.address },
    }
}

/// The port that `deploy/system.toml` names for metrics.
const METRICS_PORT: u16 = 9464;
