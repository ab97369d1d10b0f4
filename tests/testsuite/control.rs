//! The control service with an in-memory log, on paused time.

use limpetmux::adapters::log::{LogClient, Stream};
use limpetmux::control::{Control, ControlMessage, ControlOptions, PeerUpdate, prepare};
use limpetmux::core::config::record::{Body, decode};
use limpetmux::core::config::{Change, Config, FoldError};
use limpetmux::core::revision::{Offset, Revision};
use limpetmux::kernel::Kernel;
use limpetmux_test_support::changes::{change, change_record, first_change, weight_edit};
use limpetmux_test_support::{FakeLog, small_config};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const LONG: Duration = Duration::from_secs(30);

/// Starts a node on a log; the kernel keeps it running.
fn start(log: &FakeLog, name: &str) -> (Kernel, Control) {
    let kernel = Kernel::new();
    let (control, service) = prepare(&kernel, log.client(), ControlOptions::new(name)).unwrap();
    tokio::spawn(service.run());
    (kernel, control)
}

fn push(log: &FakeLog, change: Change) -> Offset {
    log.push(Stream::Config, change_record(change))
}

fn declared(config: &Config) -> FakeLog {
    let log = FakeLog::new();
    push(&log, first_change(config));
    log
}

fn weight(number: u128, base: u64, weight: u32) -> Change {
    let edit = weight_edit(&small_config(), "trial", weight);
    change(number, Revision(base), Offset(base), vec![edit])
}

async fn settle() {
    tokio::time::sleep(LONG).await;
}

/// Runs one exchange between peers, which begins with the position of `from`.
async fn exchange(from: &Control, to: &Control) {
    let position = from.status.load().position;
    let mut message = PeerUpdate { position, ..PeerUpdate::default() };
    for node in [to, from, to] {
        let peer = message;
        let answer = node.port.ask(|reply| ControlMessage::Exchange { peer, reply }).await;
        message = answer.unwrap().unwrap();
    }
}

fn snapshots(log: &FakeLog) -> usize {
    let records = log.records(Stream::Config);
    let bodies = records.iter().map(|r| decode(&r.data).unwrap());
    bodies.filter(|b| matches!(b, Body::Snapshot(_))).count()
}

#[tokio::test(start_paused = true)]
async fn puts_accepted_change_in_force() {
    let log = declared(&small_config());
    let (_kernel, control) = start(&log, "billing-0");
    settle().await;

    push(&log, weight(1, 1, 9));
    tokio::time::sleep(Duration::from_millis(1)).await;

    let view = control.view.load();
    let workspace = view.workspace("trial").unwrap();
    assert_eq!((view.revision, view.workspaces[workspace].weight), (Revision(2), 9));
}

#[tokio::test(start_paused = true)]
async fn quiet_log_is_rarely_read_again() {
    let log = declared(&small_config());
    let rereads = Arc::new(AtomicUsize::new(0));
    let (client, count) = (log.client(), Arc::clone(&rereads));
    let read = Arc::clone(&client.read);
    let counting = LogClient {
        read: Arc::new(move |stream, from, wait| {
            count.fetch_add(usize::from(from == Offset(0)), Ordering::SeqCst);
            read(stream, from, wait)
        }),
        ..client
    };
    let kernel = Kernel::new();
    let options =
        ControlOptions { snapshot_interval: 100 * LONG, ..ControlOptions::new("billing-0") };
    let (_control, service) = prepare(&kernel, counting, options).unwrap();
    tokio::spawn(service.run());

    tokio::time::sleep(Duration::from_secs(600)).await;

    // The first read, and at most one in eight of the later reads, which last ten seconds each.
    let rereads = rereads.load(Ordering::SeqCst);
    assert!((2..=9).contains(&rereads), "the record was read {rereads} times");
}

#[tokio::test(start_paused = true)]
async fn keeps_serving_through_outage_and_catches_up() {
    let log = declared(&small_config());
    let (_kernel, control) = start(&log, "billing-0");
    settle().await;
    log.set_down(true);
    push(&log, weight(1, 1, 9));
    settle().await;
    let during = (control.view.load().revision, control.status.load().reachable);

    log.set_down(false);
    settle().await;

    assert_eq!(during, (Revision(1), false));
    assert_eq!(control.view.load().revision, Revision(2));
    assert!(control.status.load().reachable);
}

#[tokio::test(start_paused = true)]
async fn fresh_node_gets_configuration_from_peer_with_log_down() {
    let log = declared(&small_config());
    let (_old_kernel, old) = start(&log, "billing-0");
    settle().await;
    log.set_down(true);
    let (_kernel, fresh) = start(&log, "billing-1");
    settle().await;
    let alone = fresh.view.load().revision;

    exchange(&fresh, &old).await;

    assert_eq!(alone, Revision::EMPTY);
    assert_eq!(fresh.view.load().revision, Revision(1));
}

#[tokio::test(start_paused = true)]
async fn peer_that_is_ahead_sends_change() {
    let log = declared(&small_config());
    let (_kernel_a, ahead) = start(&log, "billing-0");
    let (_kernel_b, behind) = start(&FakeLog::new(), "billing-1");
    settle().await;

    exchange(&ahead, &behind).await;

    assert_eq!(behind.status.load().position, ahead.status.load().position);
}

#[tokio::test(start_paused = true)]
async fn does_not_fold_recreated_log() {
    let log = declared(&small_config());
    let (_kernel, control) = start(&log, "billing-0");
    push(&log, weight(1, 1, 9));
    settle().await;

    log.reset(Stream::Config);
    push(&log, first_change(&Config { hosts: Default::default(), ..small_config() }));
    settle().await;
    let reset = control.status.load().fault.clone();
    push(&log, weight(2, 1, 5));
    push(&log, weight(3, 2, 6));
    settle().await;

    assert_eq!(reset, Some(FoldError::Reset { end: Offset(1), next: Offset(2) }));
    assert_eq!(control.status.load().fault, Some(FoldError::Diverged { offset: Offset(2) }));
    assert_eq!(control.view.load().revision, Revision(2));
    assert!(!control.view.load().hosts.is_empty());
}

#[tokio::test(start_paused = true)]
async fn one_of_many_nodes_writes_snapshot() {
    let log = declared(&small_config());
    let names: Vec<String> =
        small_config().hosts.keys().map(|host| host.as_str().to_owned()).collect();
    let nodes: Vec<_> = names.iter().map(|name| start(&log, name)).collect();

    tokio::time::sleep(Duration::from_secs(3_660)).await;

    assert_eq!(nodes.len(), 18);
    assert_eq!(snapshots(&log), 1);
}

#[tokio::test(start_paused = true)]
async fn node_behind_start_of_log_needs_snapshot() {
    let log = declared(&small_config());
    push(&log, weight(1, 1, 9));
    log.delete_before(Stream::Config, Offset(1));
    let (_kernel, late) = start(&log, "billing-1");
    settle().await;
    let without = (late.view.load().revision, late.status.load().has_gap);

    let full = FakeLog::new();
    push(&full, first_change(&small_config()));
    push(&full, weight(1, 1, 9));
    let (_full_kernel, peer) = start(&full, "billing-0");
    settle().await;
    exchange(&late, &peer).await;

    assert_eq!(without, (Revision::EMPTY, true));
    assert_eq!(late.status.load().position, peer.status.load().position);
    assert!(!late.status.load().has_gap);
}

#[tokio::test(start_paused = true)]
async fn node_behind_start_of_log_adopts_snapshot_from_log() {
    let log = declared(&small_config());
    let (_kernel, control) = start(&log, "billing-0");
    tokio::time::sleep(Duration::from_secs(3_660)).await;
    push(&log, weight(1, 1, 9));
    log.delete_before(Stream::Config, Offset(1));

    let (_late_kernel, late) = start(&log, "billing-1");
    settle().await;

    assert_eq!(late.view.load().revision, Revision(3));
    assert_eq!(late.status.load().position, control.status.load().position);
}

#[tokio::test(start_paused = true)]
async fn limits_read_rate_when_log_answers_at_once() {
    let log = declared(&small_config());
    log.set_ignore_wait(true);
    let (_kernel, _control) = start(&log, "billing-0");

    tokio::time::sleep(Duration::from_secs(10)).await;

    let (_, reads) = log.call_counts();
    assert!(reads <= 110, "{reads}");
}
