//! The operator's records in the store: the configuration and the evacuated zones.

use super::rollout;
use super::store::Record;
use crate::core::catalog::{
    CallerLimits, Catalog, CatalogSpec, EngineSpec, PieceSpec, PoolSpec, RetryClass, Route,
    StageSpec, WorkspaceSpec,
};
use crate::core::log_position::LogPosition;
use crate::core::operator::{DeclaredConfig, Order};
use serde::{Deserialize, Deserializer};
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};
use std::sync::Arc;
use std::time::Duration;

/// The topic of the operator's records.
pub const TOPIC: &str = "keyed.op";
/// The key of the configuration.
const CONFIG_KEY: &str = "config";
/// The prefix of the keys of evacuated zones.
const EVACUATE_PREFIX: &str = "evacuate/";
/// The longest time that a configuration can declare. Longer ones are taken for it, so that sums of
/// times, which are computed for each request, stay in range.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Why a record of the operator cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The configuration cannot be decoded.
    #[error("the configuration cannot be decoded")]
    Config(#[from] serde_json::Error),
    /// The key of the record is unknown.
    #[error("unknown key `{0}`")]
    Key(String),
}

#[derive(Deserialize)]
struct Config {
    version: u64,
    routes: Vec<ConfigRoute>,
    services: Vec<ConfigService>,
    limits: ConfigLimits,
    /// The workspaces; only a configuration without this field needs no keys.
    #[serde(default, deserialize_with = "present")]
    tenants: Option<Vec<ConfigTenant>>,
}

/// Decodes a field that is there, in which a null is no value.
fn present<'de, T: Deserialize<'de>, D: Deserializer<'de>>(
    field: D,
) -> Result<Option<T>, D::Error> {
    T::deserialize(field).map(Some)
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ConfigRoute {
    name: Arc<str>,
    host: Arc<str>,
    path_prefix: Arc<str>,
    kind: Kind,
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    timeout_ms: Duration,
    #[serde(rename = "target-latency-ms")]
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    target_latency: Duration,
    #[serde(default)]
    priority: u8,
    /// The service, if the route does not split its requests among several.
    service: Option<Arc<str>>,
    #[serde(default)]
    weighted_clusters: Vec<Weighted>,
    #[serde(default = "default_attempts")]
    max_attempts: u32,
    #[serde(default)]
    stages: Vec<ConfigStage>,
    /// Whether callers need no key.
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Idempotent,
    NonIdempotent,
    Streaming,
}

#[derive(Deserialize)]
struct Weighted {
    service: Arc<str>,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ConfigStage {
    service: Arc<str>,
    #[serde(default)]
    after: Vec<usize>,
    #[serde(default)]
    size_bytes: f64,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ConfigService {
    name: Arc<str>,
    max_connections: u32,
    #[serde(rename = "cold-start-s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    cold_time: Duration,
    #[serde(rename = "cold-per-s")]
    cold_rate: f64,
    engine: Option<Engine>,
    pieces: Option<Pieces>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Engine {
    slots: u32,
    /// The capacity in tokens for running requests and cached parts.
    #[serde(default)]
    kv_capacity: u64,
    /// The bytes of one token in that memory.
    #[serde(default)]
    kv_token_bytes: u64,
    /// Millions of bits per second between two engines.
    #[serde(default)]
    link_mbps: f64,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Pieces {
    slots: u32,
    batch: usize,
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    call_ms: Duration,
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    item_ms: Duration,
    /// The memory for results in millions of bytes.
    headroom_mb: f64,
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    handle_s: Duration,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ConfigLimits {
    #[serde(rename = "max-header-bytes")]
    max_header: usize,
    #[serde(rename = "max-body-bytes")]
    max_body: usize,
    #[serde(rename = "header-timeout-ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    header_timeout: Duration,
    #[serde(rename = "idle-timeout-ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    idle_timeout: Duration,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ConfigTenant {
    name: Arc<str>,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
}

fn default_attempts() -> u32 {
    1
}

/// Decodes one record of the operator's topic.
///
/// # Errors
/// Returns [`OrderError`] for a record that cannot be used; other records stay valid.
pub fn decode(record: &Record) -> Result<Option<Order>, OrderError> {
    if let Some(zone) = record.key.strip_prefix(EVACUATE_PREFIX) {
        let zone = Arc::from(zone);
        let order =
            if record.value.is_empty() { Order::Restore(zone) } else { Order::Evacuate(zone) };
        return Ok(Some(order));
    }
    if rollout::is_order(&record.key) {
        return Ok(None);
    }
    if record.key != CONFIG_KEY {
        return Err(OrderError::Key(record.key.clone()));
    }
    if record.value.is_empty() {
        return Ok(None);
    }
    Ok(Some(Order::Declare(decode_config(&record.value, record.position)?)))
}

/// Decodes a configuration.
///
/// # Errors
/// Returns [`OrderError::Config`] if it cannot be decoded.
pub fn decode_config(raw: &[u8], position: LogPosition) -> Result<DeclaredConfig, OrderError> {
    let config: Config = serde_json::from_slice(raw)?;
    let catalog = Arc::new(Catalog::compile(spec(config)));
    Ok(DeclaredConfig { catalog, raw: raw.into(), position })
}

fn spec(config: Config) -> CatalogSpec {
    let limits = CallerLimits {
        max_header: config.limits.max_header,
        max_body: config.limits.max_body,
        header_timeout: config.limits.header_timeout,
        idle_timeout: config.limits.idle_timeout,
    };
    CatalogSpec {
        version: config.version,
        routes: config.routes.into_iter().map(route).collect(),
        pools: config.services.into_iter().map(pool).collect(),
        workspaces: config.tenants.map(|tenants| tenants.into_iter().map(workspace).collect()),
        limits,
    }
}

fn route(route: ConfigRoute) -> Route {
    let retry_class = match (route.kind, route.resumable) {
        (Kind::Idempotent, _) => RetryClass::Idempotent,
        (Kind::NonIdempotent, _) => RetryClass::Once,
        (Kind::Streaming, true) => RetryClass::Resumable,
        (Kind::Streaming, false) => RetryClass::Stream,
    };
    let split = route.weighted_clusters.into_iter().map(|w| (w.service, w.weight));
    let targets = route.service.into_iter().map(|s| (s, 1)).chain(split).collect();
    Route {
        name: route.name,
        host: route.host,
        prefix: route.path_prefix,
        retry_class,
        timeout: route.timeout_ms.min(MAX_TIME),
        target_latency: route.target_latency.min(MAX_TIME),
        attempts: route.max_attempts,
        priority: route.priority,
        targets,
        stages: stages(route.stages),
        public: route.public,
    }
}

/// Resolves the stages of a route; a stage that it lacks has no results to wait for.
fn stages(stages: Vec<ConfigStage>) -> Vec<StageSpec> {
    let count = stages.len();
    let stage = |stage: ConfigStage| {
        let after = stage.after.into_iter().filter(|a| *a < count).collect();
        StageSpec { service: stage.service, after, size: stage.size_bytes as u64 }
    };
    stages.into_iter().map(stage).collect()
}

fn pool(service: ConfigService) -> PoolSpec {
    PoolSpec {
        name: service.name,
        connections: service.max_connections,
        cold_time: service.cold_time.min(MAX_TIME),
        cold_rate: service.cold_rate,
        engine: service.engine.map(|e| EngineSpec {
            slots: e.slots,
            memory_tokens: e.kv_capacity,
            fetch_time: fetch_time(&e),
        }),
        pieces: service.pieces.map(|p| PieceSpec {
            slots: p.slots,
            batch: p.batch,
            call_time: p.call_ms.min(MAX_TIME),
            item_time: p.item_ms.min(MAX_TIME),
            result_room: (p.headroom_mb * BYTES_PER_MB) as u64,
            result_ttl: p.handle_s.min(MAX_TIME),
        }),
    }
}

/// Returns the time in which an engine fetches a thousand tokens, if its link and their bytes are
/// declared.
fn fetch_time(engine: &Engine) -> Option<Duration> {
    let bits = engine.kv_token_bytes as f64 * 8.0 * 1_000.0;
    let seconds = bits / (engine.link_mbps * 1e6);
    let time = Duration::try_from_secs_f64(seconds).ok()?;
    Some(time.min(MAX_TIME)).filter(|time| !time.is_zero())
}

fn workspace(tenant: ConfigTenant) -> WorkspaceSpec {
    WorkspaceSpec { name: tenant.name, keys: tenant.api_keys, priority: tenant.priority }
}

/// The number of bytes in a megabyte, as the platform counts them.
const BYTES_PER_MB: f64 = 1e6;
