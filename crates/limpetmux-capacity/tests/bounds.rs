//! Compares counts at the target size with the limits of the target.
//!
//! A single test runs all comparisons, because allocations are counted for the whole process.

#![allow(clippy::expect_used, clippy::unwrap_used)]

use limpetmux_capacity::{probe, target};
use limpetmux_test_support::Size;

/// A measured count and its upper limit.
struct Bound {
    subject: &'static str,
    measured: f64,
    limit: f64,
}

fn bound(subject: &'static str, measured: usize, limit: usize) -> Bound {
    Bound { subject, measured: measured as f64, limit: limit as f64 }
}

/// The state of one node and a change in progress fit into the control plane's memory limit.
fn memory() -> Bound {
    let (_view, view) = probe::view(Size::TARGET);
    let (mut fold, folded) = probe::fold(Size::TARGET);
    let (_router, router) = probe::Routing::new(Size::TARGET);
    let (_planner, planner) = probe::Planning::new(Size::TARGET);
    let change = probe::changes(&mut fold, 1);
    let state =
        view.retained * 2 + folded.retained + router.retained + planner.retained + change.total;
    bound("bytes of control state on a node", state, target::MEMORY_BYTES)
}

/// The fold's memory stays bounded after a day of changes.
fn day_of_changes() -> Bound {
    let (mut fold, first) = probe::fold(Size::TARGET);
    let day = probe::changes(&mut fold, target::CHANGES_PER_DAY);
    let retained = first.retained + day.retained;
    bound("bytes of the fold after a day of changes", retained, target::MEMORY_BYTES / 2)
}

/// The allocations of one change do not grow with the number of earlier changes.
fn change_work() -> Bound {
    let (mut fold, _) = probe::fold(Size::TARGET);
    let early = probe::changes(&mut fold, 100).total;
    probe::changes(&mut fold, target::CHANGES_PER_DAY);
    let late = probe::changes(&mut fold, 100).total;
    Bound {
        subject: "allocation of a change after a day, as a ratio to the first ones",
        measured: late as f64 / early as f64,
        limit: 2.0,
    }
}

/// A new node can receive a snapshot within a change's time limit at the traffic limit.
fn snapshot() -> Bound {
    let limit = target::TRAFFIC_BYTES_PER_S * target::IN_FORCE_LIMIT_S as usize;
    bound("bytes of a snapshot record", probe::snapshot_bytes(Size::TARGET), limit)
}

/// Idle exchanges use at most 1/64 of the control plane's traffic limit.
fn idle_exchange() -> Bound {
    let limit = target::TRAFFIC_BYTES_PER_S / 64;
    let bytes = probe::idle_exchange_bytes(Size::TARGET);
    bound("bytes of idle exchanges with two peers, requests and replies", bytes * 4, limit)
}

/// Probes by the planner's lease holder use at most 1/5 of the control plane's traffic limit.
fn planner_probes() -> Bound {
    let (planner, _) = probe::Planning::new(Size::TARGET);
    let bytes = planner.probes() * target::PROBE_BYTES / target::PROBE_ROUND_S;
    bound("bytes a second of the planner's probes", bytes, target::TRAFFIC_BYTES_PER_S / 5)
}

/// Routing decisions allocate about as often at the target size as with 100 hosts.
fn routing_work() -> Bound {
    let (mut small, _) = probe::Routing::new(Size::with_hosts(100));
    let (mut large, _) = probe::Routing::new(Size::TARGET);
    let (small, large) = (small.decisions(1_000), large.decisions(1_000));
    bound("allocations of 1000 routing decisions", large.count, small.count + 10)
}

/// Admission retains no memory for calls that have ended.
fn admission_state() -> Bound {
    let few = probe::admissions(1_000).retained;
    let many = probe::admissions(10_000).retained;
    bound("bytes that admission retains after 10,000 calls", many, few + 4_096)
}

#[test]
fn counts_at_target_size_stay_within_bounds() {
    let bounds = [
        memory(),
        day_of_changes(),
        change_work(),
        snapshot(),
        idle_exchange(),
        planner_probes(),
        routing_work(),
        admission_state(),
    ];

    for b in &bounds {
        println!("{}: {} of at most {}", b.subject, b.measured, b.limit);
    }

    let exceeded: Vec<&str> =
        bounds.iter().filter(|b| b.measured > b.limit).map(|b| b.subject).collect();
    assert_eq!(exceeded, Vec::<&str>::new());
}
