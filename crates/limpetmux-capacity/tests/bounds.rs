//! Counts at the target size, held against the bounds of the target.
//!
//! One test runs all of them, because allocations are counted for the whole process.

#![allow(clippy::expect_used, clippy::unwrap_used)]

use limpetmux_capacity::{probe, target};
use limpetmux_test_support::Size;

/// A count and the most that it may be.
struct Bound {
    subject: &'static str,
    found: f64,
    most: f64,
}

fn bound(subject: &'static str, found: usize, most: usize) -> Bound {
    Bound { subject, found: found as f64, most: most as f64 }
}

/// All state of one node and a change in progress fit into the memory for control.
fn memory() -> Bound {
    let (_view, view) = probe::view(Size::TARGET);
    let (mut fold, folded) = probe::fold(Size::TARGET);
    let (_router, router) = probe::Routing::new(Size::TARGET);
    let (_planner, planner) = probe::Planning::new(Size::TARGET);
    let change = probe::changes(&mut fold, 1);
    let state = view.kept * 2 + folded.kept + router.kept + planner.kept + change.churned;
    bound("bytes of control state on a node", state, target::MEMORY_BYTES)
}

/// A day's changes leave the fold's memory bounded.
fn day_of_changes() -> Bound {
    let (mut fold, first) = probe::fold(Size::TARGET);
    let day = probe::changes(&mut fold, target::CHANGES_PER_DAY);
    let kept = first.kept + day.kept;
    bound("bytes of the fold after a day of changes", kept, target::MEMORY_BYTES / 2)
}

/// The work of one change does not grow with the changes before it.
fn change_work() -> Bound {
    let (mut fold, _) = probe::fold(Size::TARGET);
    let early = probe::changes(&mut fold, 100).churned;
    probe::changes(&mut fold, target::CHANGES_PER_DAY);
    let late = probe::changes(&mut fold, 100).churned;
    Bound {
        subject: "allocation of a change after a day, as a ratio to the first ones",
        found: late as f64 / early as f64,
        most: 2.0,
    }
}

/// A snapshot spreads to a new node within the time for a change at the traffic bound.
fn snapshot() -> Bound {
    let most = target::TRAFFIC_BYTES_PER_S * target::IN_FORCE_S as usize;
    bound("bytes of a snapshot record", probe::snapshot_bytes(Size::TARGET), most)
}

/// Idle exchanges take a small part of the traffic for control.
fn idle_exchange() -> Bound {
    let most = target::TRAFFIC_BYTES_PER_S / 64;
    let bytes = probe::idle_exchange_bytes(Size::TARGET);
    bound("bytes of an idle exchange with two peers, asked and answered", bytes * 4, most)
}

/// The holder of the planner's lease spends a fifth of the traffic for control on probes at most.
fn planner_probes() -> Bound {
    let (planner, _) = probe::Planning::new(Size::TARGET);
    let bytes = planner.probes() * target::PROBE_BYTES / target::PROBE_ROUND_S;
    bound("bytes a second of the planner's probes", bytes, target::TRAFFIC_BYTES_PER_S / 5)
}

/// A routing decision allocates no more at the target size than in a small pool.
fn routing_work() -> Bound {
    let (mut small, _) = probe::Routing::new(Size::with_hosts(100));
    let (mut large, _) = probe::Routing::new(Size::TARGET);
    let (small, large) = (small.decisions(1_000), large.decisions(1_000));
    bound("allocations of 1000 routing decisions", large.count, small.count + 10)
}

/// Admission keeps nothing for a call that has ended.
fn admission_state() -> Bound {
    let few = probe::admissions(1_000).kept;
    let many = probe::admissions(10_000).kept;
    bound("bytes that admission keeps after 10,000 calls", many, few + 4_096)
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
        println!("{}: {} of at most {}", b.subject, b.found, b.most);
    }

    let broken: Vec<&str> = bounds.iter().filter(|b| b.found > b.most).map(|b| b.subject).collect();
    assert_eq!(broken, Vec::<&str>::new());
}
