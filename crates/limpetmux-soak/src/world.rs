//! What surrounds the processes: the store, backend servers behind proxies, and the operator.

use crate::fleet::{NodeProcess, NodeSpec};
use crate::proxy::Proxy;
use limpetmux_standins::users::{UsersFault, UsersServer, UsersStore};
use serde_json::{Value, json};
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The zones.
pub const ZONES: [&str; 2] = ["north", "south"];
/// The entries, and after them the sidecars.
pub const ENTRIES: usize = 3;
/// The sidecars.
pub const SIDECARS: usize = 4;
/// The workspace that all keys belong to.
pub const WORKSPACE: &str = "w1";
/// Keys that are never taken away.
pub const LASTING_KEY: &str = "lasting";
/// The time that a backend server works on a request or an event.
const WORK: Duration = Duration::from_millis(15);
/// The services, with how many backend servers each has.
const SERVICES: [(&str, usize); 6] =
    [("plain", 4), ("green", 2), ("blue", 2), ("engine", 4), ("first", 2), ("second", 2)];
/// What backend servers do wrong for a while.
pub const SERVER_FAULTS: [UsersFault; 4] =
    [UsersFault::Full, UsersFault::Error, UsersFault::Crossed, UsersFault::Unsigned];

/// A backend server and how the deployment reaches it.
pub struct Backend {
    /// The stand-in.
    pub server: UsersServer,
    /// The way to it.
    pub proxy: Proxy,
    /// Its service.
    pub service: &'static str,
    /// Its zone.
    pub zone: usize,
    /// The id under which it is listed.
    pub id: Mutex<String>,
    /// The times at which the store took its leaving in, each with the id that left.
    pub drained: Mutex<Vec<(Instant, String)>>,
}

/// What the operator has done, for the checks.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    /// The version in force, and when the store took each one in.
    pub versions: Vec<Instant>,
    /// The keys that were taken away, and when.
    pub revoked: Vec<(String, Instant)>,
    /// The zones that were emptied: from when, and until when.
    pub evacuated: Vec<(usize, Instant, Option<Instant>)>,
}

/// A deployment and all that surrounds it.
pub struct World {
    /// The store.
    pub store: UsersStore,
    /// The backend servers.
    pub backends: Vec<Arc<Backend>>,
    /// The processes, entries first.
    pub nodes: Vec<Arc<Mutex<NodeProcess>>>,
    /// What the operator has done.
    pub orders: Mutex<Orders>,
    /// For each process the spans in which it or its links were harmed.
    pub harmed: Mutex<Vec<(usize, Instant, Instant)>>,
}

impl World {
    /// Starts everything; `net` tells the loopback network, one for each run at a time.
    ///
    /// # Errors
    /// Returns an error if a listener or a process cannot be started.
    pub async fn start(binary: &Path, dir: &Path, net: [u8; 2]) -> std::io::Result<Arc<Self>> {
        let store = UsersStore::start().await?;
        let mut backends = Vec::new();
        for (service, count) in SERVICES {
            for number in 0..count {
                backends.push(Arc::new(backend(service, number).await?));
            }
        }
        let ports = free_ports(net)?;
        let mut nodes = Vec::new();
        for index in 0..ENTRIES + SIDECARS {
            let spec = NodeSpec {
                index,
                entry: index < ENTRIES,
                ip: address(net, index),
                ports,
                zone: ZONES[index % ZONES.len()].to_owned(),
                seeds: (0..2).map(|n| (address(net, ENTRIES + n), ports[2]).into()).collect(),
                store: Proxy::start(store.addr).await?,
            };
            nodes.push(Arc::new(Mutex::new(NodeProcess::start(binary, dir, spec)?)));
        }
        let (orders, harmed) = (Mutex::default(), Mutex::default());
        let world = Arc::new(Self { store, backends, nodes, orders, harmed });
        world.backends.iter().for_each(|b| world.list(b, "ready"));
        world.declare();
        Ok(world)
    }

    /// Writes the next version, which moves a route to the other of two services.
    pub fn declare(&self) {
        let mut orders = lock(&self.orders);
        let version = orders.versions.len() + 1;
        let keys = live_keys(&orders);
        self.store.put("keyed.op", "config", &config(version, &keys).to_string());
        orders.versions.push(Instant::now());
    }

    /// Takes the key away that callers use besides the lasting one.
    pub fn revoke(&self) {
        let mut orders = lock(&self.orders);
        let key = short_key(&orders);
        orders.revoked.push((key, Instant::now()));
        drop(orders);
        self.declare();
    }

    /// Returns the key that callers use besides the lasting one.
    pub fn short_key(&self) -> String {
        short_key(&lock(&self.orders))
    }

    /// Empties a zone, or gives it back.
    pub fn evacuate(&self, zone: usize, out: bool) {
        let key = format!("evacuate/{}", ZONES[zone]);
        let mut orders = lock(&self.orders);
        self.store.put("keyed.op", &key, if out { "{}" } else { "" });
        let now = Instant::now();
        if out {
            orders.evacuated.push((zone, now, None));
        } else {
            // Orders for one zone may overlap; the first one to be taken back ends them all.
            let open = orders.evacuated.iter_mut().filter(|(z, _, to)| *z == zone && to.is_none());
            open.for_each(|order| order.2 = Some(now));
        }
    }

    /// Writes the entry of a backend server.
    pub fn list(&self, backend: &Backend, state: &str) {
        let id = lock(&backend.id).clone();
        let entry = json!({"service": backend.service, "address": backend.proxy.addr,
            "zone": ZONES[backend.zone], "version": "v1", "slots": 4, "state": state,
            "cold-remaining-ms": 0, "sequence": 1, "born": 1});
        self.store.put("keyed.servers", &id, &entry.to_string());
    }

    /// Makes a backend server leave.
    pub fn drain(&self, backend: &Backend) {
        self.list(backend, "draining");
        lock(&backend.drained).push((Instant::now(), lock(&backend.id).clone()));
    }

    /// Lets a backend server that has left come back under another id.
    pub fn come_back(&self, backend: &Backend) {
        let old = lock(&backend.id).clone();
        self.store.put("keyed.servers", &old, "");
        let (stem, number) = old.rsplit_once('.').unwrap_or((&old, "0"));
        let next = format!("{stem}.{}", number.parse::<u32>().unwrap_or_default() + 1);
        backend.server.rename(&next);
        *lock(&backend.id) = next;
        self.list(backend, "ready");
    }

    /// Notes that a process or its links are harmed until a moment.
    pub fn harm(&self, node: usize, until: Instant) {
        lock(&self.harmed).push((node, Instant::now(), until));
    }
}

async fn backend(service: &'static str, number: usize) -> std::io::Result<Backend> {
    let id = format!("{service}-{number}.0");
    let server = UsersServer::start(&id).await?;
    server.set_work(WORK);
    let proxy = Proxy::start(server.addr).await?;
    let (zone, id, drained) = (number % ZONES.len(), Mutex::new(id), Mutex::default());
    Ok(Backend { server, proxy, service, zone, id, drained })
}

fn address([a, b]: [u8; 2], index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, a, b, u8::try_from(index + 1).unwrap_or(u8::MAX))
}

/// Finds three neighbouring ports that are free on the network of a run.
fn free_ports(net: [u8; 2]) -> std::io::Result<[u16; 3]> {
    let listener = std::net::TcpListener::bind((address(net, 0), 0))?;
    let port = listener.local_addr()?.port().min(u16::MAX - 4);
    Ok([port, port + 1, port + 2])
}

fn short_key(orders: &Orders) -> String {
    format!("short-{}", orders.revoked.len())
}

fn live_keys(orders: &Orders) -> Vec<String> {
    vec![LASTING_KEY.to_owned(), short_key(orders)]
}

/// Returns the service of the route that every version moves.
pub fn moved_to(version: usize) -> &'static str {
    if version.is_multiple_of(2) { "green" } else { "blue" }
}

fn config(version: usize, keys: &[String]) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "a.example", "path-prefix": format!("/{name}/"),
            "kind": kind, "timeout-ms": 3_000, "target-latency-ms": 1_000, "priority": 1,
            "service": service, "max-attempts": 2})
    };
    let mut chain = route("stream", "streaming", "engine");
    chain["stages"] = json!([{"service": "first", "after": [], "size-bytes": 1_000},
        {"service": "second", "after": [0], "size-bytes": 1_000}]);
    let service = |(name, _): &(&str, usize)| {
        let mut service = json!({"name": name, "max-connections": 100, "cold-start-s": 0.0,
            "cold-per-s": 0.0});
        match *name {
            "engine" => service["engine"] = json!({"slots": 64, "kv-capacity": 100_000}),
            "first" | "second" => {
                service["pieces"] = json!({"slots": 1, "queue": 2, "batch": 8, "call-ms": 20.0,
                    "item-ms": 1.0, "headroom-mb": 1.0, "handle-s": 4.0, "link-mbps": 10_000});
            }
            _ => {}
        }
        service
    };
    json!({
        "version": version,
        "routes": [route("once", "non_idempotent", "plain"), route("safe", "idempotent", "plain"),
            route("moved", "idempotent", moved_to(version)), chain],
        "services": SERVICES.iter().map(service).collect::<Vec<_>>(),
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 100_000,
            "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000},
        "tenants": [{"name": WORKSPACE, "api-keys": keys, "priority": 1}]
    })
}

/// Locks what a run shares.
pub fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
