//! Backend servers that name in their answers how many requests a second they accept from all hosts
//! together. See `docs/design/limits.md`.

use super::node_fixture::{Fixture, fixture, settings};
use limpetmux::serve::run::{RunningNode, start};
use limpetmux::wire::fleet::PlaceEngine;
use limpetmux::wire::fleet::fleet_client::FleetClient;
use limpetmux_standins::users::UsersServer;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The time after which a limit that was named binds.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The time after an answer from which the requests of its host count.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// The time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Part of what a limit allows that is to be used.
const UTILISATION: f64 = 0.9;

/// Returns the most requests in a window that a limit of some requests per second allows.
fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Returns the most requests in a window at a backend server, of which the hosts have all been told its
/// limit at a moment.
fn most_in_window(server: &UsersServer, told_at: Instant) -> usize {
    let arrivals = server.arrivals();
    let times: Vec<Instant> =
        arrivals.iter().map(|a| a.at).filter(|at| *at > told_at + TOLD_TIME).collect();
    let binding = times.iter().filter(|at| **at > told_at + CONTACT_TIME);
    let count =
        |end: &Instant| times.iter().filter(|at| **at <= *end && **at + WINDOW > *end).count();
    binding.map(count).max().unwrap_or_default()
}

/// Starts further entries beside that of the fixture.
async fn add_entries(fixture: &Fixture, count: usize) -> Vec<RunningNode> {
    let seeds = vec![fixture.sidecar.node_addr, fixture.entry.node_addr];
    let mut entries = Vec::new();
    for number in 0..count {
        let settings =
            settings(&format!("entry-{number}"), fixture.store.addr, true, seeds.clone());
        let entry = start(settings).await.expect("a node");
        while !entry.is_ready() {
            sleep(Duration::from_millis(10)).await;
        }
        entries.push(entry);
    }
    entries
}

/// Sends requests one after the other through one of the nodes, for some time; returns the statuses.
async fn load(fixture: &Fixture, entry: &RunningNode, path: &str, time: Duration) -> Vec<u16> {
    let began = Instant::now();
    let mut statuses = Vec::new();
    while began.elapsed() < time {
        let id = format!("{:x}", rand::random::<u64>());
        let request = fixture.post_at(entry, path, &id);
        statuses.push(request.send().await.expect("an answer").status().as_u16());
        sleep(Duration::from_millis(20)).await;
    }
    statuses
}

/// Sends requests through several entries at a time.
async fn load_all(fixture: &Fixture, entries: &[RunningNode], path: &str, time: Duration) {
    let loads = entries.iter().map(|entry| load(fixture, entry, path, time));
    futures::future::join_all(loads).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_of_a_server_holds_for_all_entries_together() {
    // Guards against more requests at a server than the limit that it names, from several entries of
    // which each may keep to it alone (rule LIMIT).
    let fixture = fixture().await;
    let entries = add_entries(&fixture, 3).await;
    let limit = 2.0;
    fixture.plain.iter().for_each(|server| server.set_limit(Some("2")));

    load_all(&fixture, &entries, "/safe/x", Duration::from_secs(1)).await;
    let told_at = Instant::now();
    let time = Duration::from_secs(8);
    load_all(&fixture, &entries, "/safe/x", time).await;

    let most = fixture.plain.iter().map(|server| most_in_window(server, told_at)).max();
    let most = most.unwrap_or_default();
    assert!(most <= allowed(limit), "{most} requests in a window, {} allowed", allowed(limit));
    let arrivals = fixture.plain.iter().flat_map(UsersServer::arrivals);
    let used = arrivals.filter(|a| a.at > told_at).count();
    let wanted = 2.0 * limit * time.as_secs_f64() * UTILISATION;
    assert!(used as f64 >= wanted, "{used} requests, {wanted} wanted");
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_of_a_model_engine_holds_for_streams() {
    // Guards against streams, whose engine another node chooses, beyond the limit that it names.
    let fixture = fixture().await;
    fixture.engine.set_limit(Some("1"));

    load(&fixture, &fixture.entry, "/stream/x", Duration::from_secs(1)).await;
    let told_at = Instant::now();
    load(&fixture, &fixture.entry, "/stream/x", Duration::from_secs(8)).await;

    let most = most_in_window(&fixture.engine, told_at);
    assert!(most <= allowed(1.0), "{most} requests in a window, {} allowed", allowed(1.0));
    assert!(most >= 3, "{most} requests in a window");
}

/// Sends requests with stages, several at a time, for some time.
async fn load_chain(fixture: &Fixture, time: Duration) {
    let began = Instant::now();
    let mut sent = Vec::new();
    while began.elapsed() < time {
        let request = fixture.post_chain(&format!("{:x}", rand::random::<u64>()), "1,1");
        sent.push(tokio::spawn(request.send()));
        sleep(Duration::from_millis(50)).await;
    }
    futures::future::join_all(sent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_of_a_stage_server_holds_for_calls_and_releases() {
    // Guards against calls for pieces, and calls that free results, beyond the limit that their server
    // names.
    let fixture = fixture().await;
    fixture.stages[0].set_limit(Some("2"));

    load_chain(&fixture, Duration::from_secs(1)).await;
    let told_at = Instant::now();
    load_chain(&fixture, Duration::from_secs(8)).await;

    let most = most_in_window(&fixture.stages[0], told_at);
    assert!(most <= allowed(2.0), "{most} requests in a window, {} allowed", allowed(2.0));
    assert!(most >= 4, "{most} requests in a window");
}

/// Asks the node that queues the pieces of the engines for one; returns the id, which may be empty.
async fn placed(fixture: &Fixture) -> String {
    let url = format!("http://{}", fixture.sidecar.node_addr);
    let mut client = FleetClient::connect(url).await.expect("a node");
    let message = PlaceEngine { service: "engine".into(), tokens: 10, ..PlaceEngine::default() };
    client.place(message).await.expect("a reply").into_inner().server
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_is_chosen_unless_its_limit_is_used_up() {
    // Guards against a node that counts engines without a limit, or with some of it left, as closed.
    let fixture = fixture().await;

    let unlimited = placed(&fixture).await;
    fixture.engine.set_limit(Some("0.1"));
    fixture.send("/stream/x", "1f").await;
    sleep(Duration::from_millis(700)).await;
    fixture.send("/stream/x", "2f").await;
    let used_up = placed(&fixture).await;

    assert_eq!([unlimited, used_up], ["e1", ""]);
}
