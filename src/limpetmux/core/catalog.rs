//! What an operator's whole declaration says: routes, services, workspaces and limits.
//!
//! A platform whose operator writes whole versions needs no fold of changes. The adapter decodes a
//! version into [`CatalogSpec`]; [`Catalog::compile`] resolves names to keys once, so that the
//! request path compares integers only. See `docs/design/platform.md`.

use crate::core::arena::Arena;
use crate::core::keys::ArenaKey;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A route of one catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey(pub u32);

/// A service of one catalog.
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

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The answer is a stream that may continue at another backend server.
    Resumable,
    /// The answer is a stream of a request that may run at most once.
    Stream,
}

impl Repeat {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }

    /// Returns whether a request that may have run may be sent again.
    pub fn is_safe(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// A stage that has to be made before a request runs.
#[derive(Clone, Debug, PartialEq)]
pub struct StageSpec {
    /// The service that makes the pieces.
    pub service: Arc<str>,
    /// The stages whose results it needs.
    pub after: Vec<usize>,
    /// The approximate size of one result in bytes.
    pub size: u64,
}

/// Where requests of one host and path go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name in the operator's declaration.
    pub name: Arc<str>,
    /// The host of the requests.
    pub host: Arc<str>,
    /// The beginning of their paths.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is on time.
    pub aim: Duration,
    /// The most backend servers that one request is sent to.
    pub attempts: u32,
    /// The rank, 0 first.
    pub priority: u8,
    /// The services that share the requests, with their weights.
    pub targets: Vec<(Arc<str>, u32)>,
    /// The stages, in an order in which each comes after those that it needs.
    pub stages: Vec<StageSpec>,
    /// Whether callers need no key.
    pub public: bool,
}

/// How a service makes pieces of stages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PieceSpec {
    /// Calls that run at a time.
    pub slots: u32,
    /// The most pieces of one call.
    pub batch: usize,
    /// The time of a call without its pieces.
    pub call: Duration,
    /// The approximate time of one piece.
    pub item: Duration,
    /// The bytes of results that one backend server holds.
    pub room: u64,
    /// How long a result is kept.
    pub keep: Duration,
}

/// What a model engine bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// The requests that it runs at a time.
    pub slots: u32,
    /// The tokens that it holds in memory, of running requests and cached parts.
    pub memory: u64,
}

/// What the operator says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// The name in the operator's declaration.
    pub name: Arc<str>,
    /// The most connections that one backend server accepts from all nodes together.
    pub connections: u32,
    /// How long a backend server is cold after its start.
    pub cold: Duration,
    /// The requests a second that a cold backend server bears, from all nodes together.
    pub rate: f64,
    /// What a model engine bears, for pools of model engines.
    pub engine: Option<EngineSpec>,
    /// How pieces are made, for services of stages.
    pub pieces: Option<PieceSpec>,
}

/// A customer and its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceSpec {
    /// The name that backend servers are told.
    pub name: Arc<str>,
    /// The keys that its callers show.
    pub keys: Vec<String>,
    /// The rank of its requests, in place of the route's.
    pub priority: Option<u8>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// The most bytes of a request's headers.
    pub header: usize,
    /// The most bytes of a request's body.
    pub body: usize,
    /// The longest time for sending the headers.
    pub headers: Duration,
    /// The longest time that a connection is kept without a request.
    pub idle: Duration,
}

/// One version of the operator's declaration, decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogSpec {
    /// The operator's number of the version.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub pools: Vec<PoolSpec>,
    /// All workspaces; without any, no route needs a key.
    pub workspaces: Vec<WorkspaceSpec>,
    /// The bounds for callers.
    pub limits: CallerLimits,
}

/// The holder of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The workspace.
    pub workspace: Arc<str>,
    /// The rank of its requests, in place of the route's.
    pub priority: Option<u8>,
}

/// One version, ready for look-ups.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// The operator's number of the version.
    pub version: u64,
    /// All routes.
    pub routes: Arena<RouteKey, Route>,
    /// All services.
    pub pools: Arena<PoolKey, PoolSpec>,
    /// The bounds for callers.
    pub limits: CallerLimits,
    hosts: BTreeMap<Arc<str>, Vec<RouteKey>>,
    names: BTreeMap<Arc<str>, PoolKey>,
    holders: BTreeMap<String, Holder>,
    keyed: bool,
}

impl Catalog {
    /// Resolves a decoded version.
    pub fn compile(spec: CatalogSpec) -> Self {
        let keyed = !spec.workspaces.is_empty();
        let holders = spec.workspaces.into_iter().flat_map(holders).collect();
        let routes: Arena<RouteKey, Route> = spec.routes.into_iter().collect();
        let pools: Arena<PoolKey, PoolSpec> = spec.pools.into_iter().collect();
        let names = pools.iter().map(|(key, p)| (Arc::clone(&p.name), key)).collect();
        let hosts = index_hosts(&routes);
        let (version, limits) = (spec.version, spec.limits);
        Self { version, routes, pools, limits, hosts, names, holders, keyed }
    }

    /// Returns the route with the longest prefix of a path, or `None` if none matches.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let routes = self.hosts.get(host)?;
        routes.iter().copied().find(|r| path.starts_with(&*self.routes[*r].prefix))
    }

    /// Returns who holds a key, or `None` for an unknown key.
    pub fn holder(&self, key: &str) -> Option<&Holder> {
        self.holders.get(key)
    }

    /// Returns whether requests of a route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.keyed && !route.public
    }

    /// Returns a service by its name.
    pub fn pool(&self, name: &str) -> Option<&PoolSpec> {
        self.names.get(name).and_then(|key| self.pools.get(*key))
    }
}

fn holders(workspace: WorkspaceSpec) -> impl Iterator<Item = (String, Holder)> {
    let holder = Holder { workspace: workspace.name, priority: workspace.priority };
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
