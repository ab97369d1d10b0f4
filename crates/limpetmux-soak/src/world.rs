//! The environment of the processes: the store, backend servers behind proxies, and the operator.

use crate::fleet::{NodeProcess, NodeSpec};
use crate::proxy::Proxy;
use limpetmux_standins::users::{Played, UsersServer, UsersStore};
use serde_json::{Value, json};
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The zones.
pub const ZONES: [&str; 2] = ["north", "south"];
/// The number of entries; they come before the sidecars.
pub const ENTRIES: usize = 3;
/// The number of sidecars.
pub const SIDECARS: usize = 4;
/// The workspace that all keys belong to.
pub const WORKSPACE: &str = "w1";
/// The key that is never revoked.
pub const PERMANENT_KEY: &str = "lasting";
/// The processing time of a request or an event at a backend server.
const WORK_TIME: Duration = Duration::from_millis(15);
/// The timeout of all routes.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
/// The service that answers with streams.
pub const ENGINE_SERVICE: &str = "engine";
/// The services, each with its number of backend servers.
const SERVICES: [(&str, usize); 6] =
    [("plain", 4), ("green", 2), ("blue", 2), (ENGINE_SERVICE, 4), ("first", 2), ("second", 2)];
/// The size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// The number of entries.
    pub entries: usize,
    /// The number of sidecars.
    pub sidecars: usize,
    /// The services, each with its number of backend servers.
    pub services: &'static [(&'static str, usize)],
    /// The most connections to a backend server.
    pub connections: u32,
    /// The calls for pieces that a backend server runs at once.
    pub calls: u32,
    /// The most pieces of a call.
    pub batch: u32,
}

impl Layout {
    /// The deployment that the soak runs.
    pub const SOAK: Self = Self {
        entries: ENTRIES,
        sidecars: SIDECARS,
        services: &SERVICES,
        connections: 100,
        calls: 1,
        batch: 8,
    };
}

/// A backend server and the proxy through which the deployment reaches it.
pub struct Backend {
    /// The stand-in.
    pub server: UsersServer,
    /// The proxy in front of it.
    pub proxy: Proxy,
    /// Its service.
    pub service: &'static str,
    /// Its zone.
    pub zone: usize,
    /// The id under which it is listed.
    pub id: Mutex<String>,
    /// The number of its records so far.
    sequence: AtomicU64,
    /// When the store recorded that it is draining, each time with the id that is draining.
    pub drained: Mutex<Vec<(Instant, String)>>,
}

/// The operator's actions, recorded for the checks.
#[derive(Clone, Debug, Default)]
pub struct OperatorActions {
    /// When the store accepted each configuration version.
    pub versions: Vec<Instant>,
    /// The revoked keys, with the time of revocation.
    pub revoked: Vec<(String, Instant)>,
    /// The evacuated zones, with the start and end of each evacuation.
    pub evacuated: Vec<(usize, Instant, Option<Instant>)>,
}

/// A deployment and its environment.
pub struct World {
    /// The store.
    pub store: UsersStore,
    /// The backend servers.
    pub backends: Vec<Arc<Backend>>,
    /// The processes, entries first.
    pub nodes: Vec<Arc<Mutex<NodeProcess>>>,
    /// The operator's actions.
    pub actions: Mutex<OperatorActions>,
    /// The spans in which a process or its links were disturbed: process, start and end.
    pub disturbances: Mutex<Vec<(usize, Instant, Instant)>>,
    /// The spans in which a process was killed, stopped, paused or cut from a backend server: process,
    /// start and end.
    pub interruptions: Mutex<Vec<(usize, Instant, Instant)>>,
    layout: Layout,
}

impl World {
    /// Starts everything; `net` selects the loopback network, which concurrent runs must not share.
    ///
    /// # Errors
    /// Returns an error if a listener or a process cannot be started.
    pub async fn start(
        binary: &Path,
        dir: &Path,
        net: [u8; 2],
        layout: Layout,
    ) -> std::io::Result<Arc<Self>> {
        let store = UsersStore::start().await?;
        let mut backends = Vec::new();
        for (service, count) in layout.services {
            for number in 0..*count {
                backends.push(Arc::new(backend(service, number).await?));
            }
        }
        let ports = free_ports(net)?;
        let mut nodes = Vec::new();
        for index in 0..layout.entries + layout.sidecars {
            let spec = NodeSpec {
                index,
                entry: index < layout.entries,
                ip: address(net, index),
                ports,
                zone: ZONES[index % ZONES.len()].to_owned(),
                seeds: (0..layout.sidecars.min(2))
                    .map(|n| (address(net, layout.entries + n), ports[2]).into())
                    .collect(),
                store: Proxy::start(store.addr).await?,
            };
            nodes.push(Arc::new(Mutex::new(NodeProcess::start(binary, dir, spec)?)));
        }
        let world = Arc::new(Self {
            store,
            backends,
            nodes,
            actions: Mutex::default(),
            disturbances: Mutex::default(),
            interruptions: Mutex::default(),
            layout,
        });
        world.backends.iter().for_each(|b| world.write_entry(b, "ready"));
        world.write_version();
        Ok(world)
    }

    /// Writes the next configuration version, which moves a route to the other of two services.
    pub fn write_version(&self) {
        let mut actions = lock(&self.actions);
        let version = actions.versions.len() + 1;
        let keys = valid_keys(&actions);
        self.store.put("keyed.op", "config", &config(version, &keys, &self.layout).to_string());
        actions.versions.push(Instant::now());
    }

    /// Revokes the revocable key and replaces it by a new one.
    pub fn revoke_key(&self) {
        let mut actions = lock(&self.actions);
        let key = revocable_key(&actions);
        actions.revoked.push((key, Instant::now()));
        drop(actions);
        self.write_version();
    }

    /// Returns the current revocable key, which callers use besides the permanent one.
    pub fn revocable_key(&self) -> String {
        revocable_key(&lock(&self.actions))
    }

    /// Evacuates a zone, or ends its evacuation.
    pub fn evacuate(&self, zone: usize, evacuated: bool) {
        let key = format!("evacuate/{}", ZONES[zone]);
        let mut actions = lock(&self.actions);
        self.store.put("keyed.op", &key, if evacuated { "{}" } else { "" });
        let now = Instant::now();
        if evacuated {
            actions.evacuated.push((zone, now, None));
        } else {
            // Evacuations of one zone may overlap; ending the first one ends them all.
            let active =
                actions.evacuated.iter_mut().filter(|(z, _, to)| *z == zone && to.is_none());
            active.for_each(|evacuation| evacuation.2 = Some(now));
        }
    }

    /// Writes the server-list entry of a backend server.
    pub fn write_entry(&self, backend: &Backend, state: &str) {
        let id = lock(&backend.id).clone();
        let sequence = backend.sequence.fetch_add(1, Ordering::Relaxed);
        let entry = json!({"service": backend.service, "address": backend.proxy.addr,
            "zone": ZONES[backend.zone], "version": "v1", "slots": 4, "state": state,
            "cold-remaining-ms": 0, "sequence": sequence, "born": 1});
        self.store.put("keyed.servers", &id, &entry.to_string());
    }

    /// Marks a backend server as draining.
    pub fn drain(&self, backend: &Backend) {
        self.write_entry(backend, "draining");
        lock(&backend.drained).push((Instant::now(), lock(&backend.id).clone()));
    }

    /// Removes a drained backend server's entry and lists the server again under a new id.
    pub fn relist(&self, backend: &Backend) {
        let old = lock(&backend.id).clone();
        self.store.put("keyed.servers", &old, "");
        let (stem, number) = old.rsplit_once('.').unwrap_or((&old, "0"));
        let new = format!("{stem}.{}", number.parse::<u32>().unwrap_or_default() + 1);
        backend.server.set_id(&new);
        backend.server.set_leaving(false);
        backend.server.set_limit(None);
        *lock(&backend.id) = new;
        self.write_entry(backend, "ready");
    }

    /// Returns the numbers of endless answers of the store and each backend server, with its name.
    pub fn played(&self) -> Vec<(String, Played)> {
        let name = |(number, b): (usize, &Arc<Backend>)| format!("{} {number}", b.service);
        let servers = self.backends.iter().enumerate();
        let servers = servers.map(|(number, b)| (name((number, b)), b.server.played()));
        std::iter::once(("store".to_owned(), self.store.played())).chain(servers).collect()
    }

    /// Records that a process does not run, or is cut from a backend server, from `from` until now.
    pub fn record_interruption(&self, node: usize, from: Instant) {
        lock(&self.interruptions).push((node, from, Instant::now()));
    }

    /// Records that a process or its links are disturbed from now until `until`.
    pub fn record_disturbance(&self, node: usize, until: Instant) {
        lock(&self.disturbances).push((node, Instant::now(), until));
    }
}

async fn backend(service: &'static str, number: usize) -> std::io::Result<Backend> {
    let id = format!("{service}-{number}.0");
    let server = UsersServer::start(&id).await?;
    server.set_work_time(WORK_TIME);
    let proxy = Proxy::start(server.addr).await?;
    let (zone, id, drained) = (number % ZONES.len(), Mutex::new(id), Mutex::default());
    let sequence = AtomicU64::new(1);
    Ok(Backend { server, proxy, service, zone, id, sequence, drained })
}

fn address([a, b]: [u8; 2], index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, a, b, u8::try_from(index + 1).unwrap_or(u8::MAX))
}

/// Returns three adjacent ports on the network of a run, the first of which was free.
fn free_ports(net: [u8; 2]) -> std::io::Result<[u16; 3]> {
    let listener = std::net::TcpListener::bind((address(net, 0), 0))?;
    let port = listener.local_addr()?.port().min(u16::MAX - 4);
    Ok([port, port + 1, port + 2])
}

fn revocable_key(actions: &OperatorActions) -> String {
    format!("short-{}", actions.revoked.len())
}

fn valid_keys(actions: &OperatorActions) -> Vec<String> {
    vec![PERMANENT_KEY.to_owned(), revocable_key(actions)]
}

/// Returns the service of the route `moved` in a version.
pub fn service_of(version: usize) -> &'static str {
    if version.is_multiple_of(2) { "green" } else { "blue" }
}

fn config(version: usize, keys: &[String], layout: &Layout) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "a.example", "path-prefix": format!("/{name}/"),
            "kind": kind, "timeout-ms": ROUTE_TIMEOUT.as_millis() as u64, "target-latency-ms": 1_000, "priority": 1,
            "service": service, "max-attempts": 2})
    };
    let mut chain = route("stream", "streaming", "engine");
    chain["stages"] = json!([{"service": "first", "after": [], "size-bytes": 1_000},
        {"service": "second", "after": [0], "size-bytes": 1_000}]);
    let service = |(name, _): &(&str, usize)| {
        let mut service = json!({"name": name, "max-connections": layout.connections, "cold-start-s": 0.0,
            "cold-per-s": 0.0});
        match *name {
            "engine" => service["engine"] = json!({"slots": 64, "kv-capacity": 100_000}),
            "first" | "second" => {
                service["pieces"] = json!({"slots": layout.calls, "queue": 2, "batch": layout.batch, "call-ms": 20.0,
                    "item-ms": 1.0, "headroom-mb": 1.0, "handle-s": 4.0, "link-mbps": 10_000});
            }
            _ => {}
        }
        service
    };
    json!({
        "version": version,
        "routes": [route("once", "non_idempotent", "plain"), route("safe", "idempotent", "plain"),
            route("moved", "idempotent", service_of(version)), chain],
        "services": SERVICES.iter().map(service).collect::<Vec<_>>(),
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 100_000,
            "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000},
        "tenants": [{"name": WORKSPACE, "api-keys": keys, "priority": 1}]
    })
}

/// Locks a mutex, ignoring poisoning.
pub fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
