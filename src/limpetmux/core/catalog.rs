//! The operator's configuration on a platform that publishes whole versions: routes, services,
//! workspaces and limits.
//!
//! As each version is complete, no changes are folded. The adapter decodes a version into
//! [`CatalogSpec`]; [`Catalog::compile`] resolves names to keys once, so that the request path
//! compares integers only. See `docs/design/platform.md`.

use crate::core::arena::Arena;
use crate::core::keys::ArenaKey;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The key of a route in one catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey(pub u32);

/// The key of a service in one catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolKey(pub u32);

macro_rules! catalog_key {
    ($name:ident) => {
        impl ArenaKey for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).unwrap_or(u32::MAX))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

catalog_key!(RouteKey);
catalog_key!(PoolKey);

/// Whether a request may be retried, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryClass {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The answer is a stream that may continue at another backend server.
    Resumable,
    /// The answer is a stream of a request that may run at most once.
    Stream,
}

impl RetryClass {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }

    /// Returns whether a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// A stage that has to end before the request is sent on.
#[derive(Clone, Debug, PartialEq)]
pub struct StageSpec {
    /// The service that runs the pieces.
    pub service: Arc<str>,
    /// The stages whose results it needs.
    pub after: Vec<usize>,
    /// The approximate size of one result in bytes.
    pub size: u64,
}

/// The target services and rules of requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name in the operator's configuration.
    pub name: Arc<str>,
    /// The host of the requests.
    pub host: Arc<str>,
    /// The prefix of their paths.
    pub prefix: Arc<str>,
    /// Whether requests may be retried.
    pub retry_class: RetryClass,
    /// The longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// The latency objective: the time within which an answer is on time.
    pub target_latency: Duration,
    /// The most backend servers that one request is sent to.
    pub attempts: u32,
    /// The priority; 0 goes first.
    pub priority: u8,
    /// The services that the requests are divided among, with their weights.
    pub targets: Vec<(Arc<str>, u32)>,
    /// The stages in topological order: each comes after those that it needs.
    pub stages: Vec<StageSpec>,
    /// Whether callers need no API key.
    pub public: bool,
}

/// How a service runs pieces of stages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PieceSpec {
    /// Calls that run at a time.
    pub slots: u32,
    /// The most pieces in one call.
    pub batch: usize,
    /// The base time of a call, without its pieces.
    pub call_time: Duration,
    /// The approximate time that each piece adds to a call.
    pub item_time: Duration,
    /// The bytes of results that one backend server holds.
    pub result_room: u64,
    /// How long a result is kept.
    pub result_ttl: Duration,
}

/// The capacity of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// The requests that it runs at a time.
    pub slots: u32,
    /// The tokens that fit into its memory, of running requests and cached parts together.
    pub memory_tokens: u64,
    /// The time in which it fetches a thousand tokens from another engine, if that is declared.
    pub fetch_time: Option<Duration>,
}

/// The operator's declaration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// The name in the operator's configuration.
    pub name: Arc<str>,
    /// The most connections that one backend server accepts from all nodes together.
    pub connections: u32,
    /// How long a backend server is cold after its start.
    pub cold_time: Duration,
    /// The requests per second that a cold backend server accepts from all nodes together.
    pub cold_rate: f64,
    /// The capacity of each engine, for services of model engines.
    pub engine: Option<EngineSpec>,
    /// How pieces are run, for services of stages.
    pub pieces: Option<PieceSpec>,
}

/// A workspace, which belongs to one customer, and its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceSpec {
    /// The name that is sent to backend servers.
    pub name: Arc<str>,
    /// The API keys of its callers.
    pub keys: Vec<String>,
    /// The priority of its requests, which replaces the route's.
    pub priority: Option<u8>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// The most bytes of a request's headers.
    pub max_header: usize,
    /// The most bytes of a request's body.
    pub max_body: usize,
    /// The longest time for sending the headers.
    pub header_timeout: Duration,
    /// The longest time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

/// One version of the operator's configuration, decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogSpec {
    /// The version number that the operator assigned.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub pools: Vec<PoolSpec>,
    /// All workspaces; `None` if the configuration has no list of them, so that no route needs an API key.
    /// A list without workspaces leaves no key that could be accepted.
    pub workspaces: Option<Vec<WorkspaceSpec>>,
    /// The limits on what callers send.
    pub limits: CallerLimits,
}

/// The workspace that an API key belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyHolder {
    /// The name of the workspace.
    pub workspace: Arc<str>,
    /// The priority of its requests, which replaces the route's.
    pub priority: Option<u8>,
}

/// One version of the operator's configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// The version number that the operator assigned.
    pub version: u64,
    /// All routes.
    pub routes: Arena<RouteKey, Route>,
    /// All services.
    pub pools: Arena<PoolKey, PoolSpec>,
    /// The limits on what callers send.
    pub limits: CallerLimits,
    host_routes: BTreeMap<Arc<str>, Vec<RouteKey>>,
    pool_names: BTreeMap<Arc<str>, PoolKey>,
    holders: BTreeMap<String, KeyHolder>,
    /// Whether routes that are not public need a key, which the number of keys does not tell.
    has_keys: bool,
}

impl Catalog {
    /// Resolves a decoded version.
    pub fn compile(spec: CatalogSpec) -> Self {
        let has_keys = spec.workspaces.is_some();
        let holders = spec.workspaces.into_iter().flatten().flat_map(holders).collect();
        let routes: Arena<RouteKey, Route> = spec.routes.into_iter().collect();
        let pools: Arena<PoolKey, PoolSpec> = spec.pools.into_iter().collect();
        let pool_names = pools.iter().map(|(key, p)| (Arc::clone(&p.name), key)).collect();
        let host_routes = index_hosts(&routes);
        let (version, limits) = (spec.version, spec.limits);
        Self { version, routes, pools, limits, host_routes, pool_names, holders, has_keys }
    }

    /// Returns the route with the longest prefix of a path, or `None` if none matches.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let routes = self.host_routes.get(host)?;
        routes.iter().copied().find(|r| path.starts_with(&*self.routes[*r].prefix))
    }

    /// Returns the holder of an API key, or `None` for an unknown key.
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        self.holders.get(key)
    }

    /// Returns whether requests of a route need an API key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.has_keys && !route.public
    }

    /// Returns the names of all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.pool_names.keys()
    }

    /// Returns a service by its name.
    pub fn pool(&self, name: &str) -> Option<&PoolSpec> {
        self.pool_names.get(name).and_then(|key| self.pools.get(*key))
    }
}

fn holders(workspace: WorkspaceSpec) -> impl Iterator<Item = (String, KeyHolder)> {
    let holder = KeyHolder { workspace: workspace.name, priority: workspace.priority };
    workspace.keys.into_iter().map(move |key| (key, holder.clone()))
}

/// Lists the routes of each host, the longest prefix first.
fn index_hosts(routes: &Arena<RouteKey, Route>) -> BTreeMap<Arc<str>, Vec<RouteKey>> {
    let mut hosts: BTreeMap<Arc<str>, Vec<RouteKey>> = BTreeMap::new();
    for (key, route) in routes.iter() {
        hosts.entry(Arc::clone(&route.host)).or_default().push(key);
    }
    for keys in hosts.values_mut() {
        keys.sort_by_key(|k| std::cmp::Reverse(routes[*k].prefix.len()));
    }
    hosts
}
