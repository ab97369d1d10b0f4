//! Puts faults into effect on the processes, links and stand-ins of a run, and ends them again.

use crate::callers::{self, Kind, SentLog};
use crate::faults::Fault;
use crate::fleet;
use crate::proxy::{Link, Proxy};
use crate::world::{self, World, lock};
use limpetmux_standins::users::{BadBytes, UsersFault, UsersServer};
use std::fmt::Debug;
use std::io::Result;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The time after which a draining backend server is listed again under a new id.
const RELIST_DELAY: Duration = Duration::from_secs(9);
/// How long a backend server refuses with a `Retry-After`.
const HOLD_SPAN: Duration = Duration::from_millis(600);
/// The time in which nodes read the records that a restored store got again.
const RESYNC_TIME: Duration = Duration::from_secs(1);
/// The time within which a read of the store ends after its fault.
const STORE_READ_TIME: Duration = Duration::from_secs(3);

/// Puts a fault into effect and waits for its end.
pub(crate) async fn inject(w: Arc<World>, log: SentLog, fault: Fault) {
    let ms = Duration::from_millis;
    match fault {
        Fault::Kill(node, downtime) => report(fault, kill(&w, node, ms(downtime)).await),
        Fault::Stop(node) => report(fault, stop(&w, node).await),
        Fault::Pause(node, time) => pause(&w, node, ms(time)).await,
        Fault::Reload(node, signal) => report(fault, lock(&w.nodes[node]).reload(signal)),
        Fault::StoreLink(node, link, time) => disturb_store_link(&w, node, link, ms(time)).await,
        Fault::StoreDown(time) => stop_store(&w, ms(time)).await,
        Fault::StoreBytes(bytes, time) => spoil_store(&w, bytes, ms(time)).await,
        Fault::Burst(entry, bytes) => burst(&w, &log, entry, bytes).await,
        Fault::ServerLink(server, link, time) => {
            disturb_server_link(&w, server, link, ms(time)).await;
        }
        Fault::ServerFault(server, fault, time) => {
            disturb_server(&w.backends[server].server, fault, ms(time)).await;
        }
        Fault::Drain(server) => drain(&w, server).await,
        Fault::Restore(age, away, rewrite) => restore(&w, [age, away, rewrite].map(ms)).await,
        Fault::Leave(server) => leave(&w, server).await,
        Fault::Hold(server, time) => hold(&w.backends[server].server, ms(time)).await,
        Fault::Limit(server, limit, time) => {
            name_limit(&w.backends[server].server, limit, ms(time)).await;
        }
        Fault::Declare => w.write_version(),
        Fault::Revoke => w.revoke_key(),
        Fault::Evacuate(zone, time) => evacuate(&w, zone, ms(time)).await,
    }
}

fn report(fault: impl Debug, outcome: Result<()>) {
    if let Err(error) = outcome {
        eprintln!("cannot inject {fault:?}: {error}");
    }
}

/// Records that requests may fail at the first `nodes` nodes for a time.
fn record_disturbance(world: &World, nodes: usize, time: Duration) {
    let until = Instant::now() + time;
    (0..nodes).for_each(|n| world.record_disturbance(n, until));
}

async fn kill(world: &World, node: usize, downtime: Duration) -> Result<()> {
    world.record_disturbance(node, Instant::now() + downtime + Duration::from_secs(1));
    let from = Instant::now();
    lock(&world.nodes[node]).kill();
    sleep(downtime).await;
    world.record_interruption(node, from);
    lock(&world.nodes[node]).ensure_running()
}

async fn stop(world: &World, node: usize) -> Result<()> {
    let from = Instant::now();
    let stopping = lock(&world.nodes[node]).terminate();
    if let Some(id) = stopping {
        fleet::wait_for_exit(&world.nodes[node], id).await;
    }
    world.record_interruption(node, from);
    lock(&world.nodes[node]).ensure_running()
}

async fn pause(world: &World, node: usize, time: Duration) {
    world.record_disturbance(node, Instant::now() + time);
    let from = Instant::now();
    lock(&world.nodes[node]).set_paused(true);
    sleep(time).await;
    lock(&world.nodes[node]).set_paused(false);
    world.record_interruption(node, from);
}

async fn disturb_store_link(world: &World, node: usize, link: Link, time: Duration) {
    world.record_disturbance(node, Instant::now() + time);
    let proxy = lock(&world.nodes[node]).spec.store.clone();
    disturb_link(&proxy, link, time).await;
}

async fn stop_store(world: &World, time: Duration) {
    record_disturbance(world, world.nodes.len(), time);
    world.store.set_down(true);
    sleep(time).await;
    world.store.set_down(false);
}

async fn spoil_store(world: &World, bytes: BadBytes, time: Duration) {
    record_disturbance(world, world.nodes.len(), time + STORE_READ_TIME);
    world.store.set_bytes(Some(bytes));
    sleep(time).await;
    world.store.set_bytes(None);
}

async fn disturb_server_link(world: &World, server: usize, link: Link, time: Duration) {
    record_disturbance(world, world::ENTRIES, time);
    let from = Instant::now();
    disturb_link(&world.backends[server].proxy, link, time).await;
    (0..world::ENTRIES).for_each(|node| world.record_interruption(node, from));
}

async fn drain(world: &World, server: usize) {
    let backend = Arc::clone(&world.backends[server]);
    world.drain(&backend);
    sleep(RELIST_DELAY).await;
    world.relist(&backend);
}

/// Lets the store return from a copy of some age after a time away; its writers write again what it
/// has lost.
async fn restore(world: &World, [age, away, rewrite]: [Duration; 3]) {
    record_disturbance(world, world.nodes.len(), away + rewrite + RESYNC_TIME);
    world.store.set_down(true);
    sleep(away).await;
    let lost = world.store.restore(age);
    world.store.set_down(false);
    sleep(rewrite).await;
    lost.iter().for_each(|record| world.store.put_again(record));
}

/// Lets a backend server leave without a record that says so.
async fn leave(world: &World, server: usize) {
    let backend = Arc::clone(&world.backends[server]);
    backend.server.set_leaving(true);
    sleep(RELIST_DELAY).await;
    world.relist(&backend);
}

async fn name_limit(server: &UsersServer, tenths: u64, time: Duration) {
    server.set_limit(Some(&format!("{}.{}", tenths / 10, tenths % 10)));
    sleep(time).await;
    server.set_limit(None);
}

async fn hold(server: &UsersServer, time: Duration) {
    server.set_retry_after(Some(&time.as_secs_f64().to_string()));
    sleep(HOLD_SPAN).await;
    server.set_retry_after(None);
}

async fn evacuate(world: &World, zone: usize, time: Duration) {
    world.evacuate(zone, true);
    sleep(time).await;
    world.evacuate(zone, false);
}

/// Sends many requests at once to one entry while all backend servers that may answer them have a
/// fault.
async fn burst(w: &Arc<World>, log: &SentLog, entry: usize, bytes: BadBytes) {
    let kind = if bytes == BadBytes::EndlessEvent { Kind::Stream } else { Kind::Once };
    let service = if kind == Kind::Stream { world::ENGINE_SERVICE } else { "plain" };
    let servers = w.backends.iter().filter(|b| b.service == service);
    let time = callers::DEADLINE / 2;
    let faults = servers.map(|b| disturb_server(&b.server, UsersFault::Bytes(bytes), time));
    let faults = futures::future::join_all(faults);
    futures::future::join(faults, callers::burst(w, log, entry, kind)).await;
}

async fn disturb_server(server: &UsersServer, fault: UsersFault, time: Duration) {
    server.set_fault(fault);
    sleep(time).await;
    server.set_fault(UsersFault::None);
}

async fn disturb_link(proxy: &Proxy, link: Link, time: Duration) {
    proxy.set(link);
    sleep(time).await;
    proxy.set(Link::Whole);
}
