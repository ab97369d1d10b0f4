//! Prints the Markdown tables, one function each.

use limpetmux::core::config::Fold;
use limpetmux::core::revision::Revision;
use limpetmux::core::view::View;
use limpetmux_capacity::{measure, probe, target};
use limpetmux_test_support::Size;
use std::time::{Duration, Instant};

const HOSTS: [u32; 4] = [10, 100, 950, 1_000];
const WORKSPACES: [u32; 4] = [10, 100, 330, 1_000];
const ROUNDS: u32 = 2_000;

/// Prints the memory that a node's state takes.
pub fn state() {
    println!("| size | view KB | fold KB | router KB | planner KB | snapshot record KB |");
    println!("|---|---|---|---|---|---|");
    let hosts = HOSTS.map(|h| (format!("{h} hosts"), Size::with_hosts(h)));
    let workspaces = WORKSPACES.map(|w| (format!("{w} workspaces"), Size::with_workspaces(w)));
    for (label, size) in hosts.into_iter().chain(workspaces) {
        let (_view, view) = probe::view(size);
        let (_fold, fold) = probe::fold(size);
        let (_router, router) = probe::Routing::new(size);
        let (_planner, planner) = probe::Planning::new(size);
        let snapshot = probe::snapshot_bytes(size);
        println!(
            "| {label} | {} | {} | {} | {} | {} |",
            kilobytes(view.retained),
            kilobytes(fold.retained),
            kilobytes(router.retained),
            kilobytes(planner.retained),
            kilobytes(snapshot)
        );
    }
    println!();
}

/// Prints the time and allocations that configuration changes take on a node.
pub fn changes() {
    println!(
        "| size | changes | µs a change | KB allocated a change | µs to compile a view | KB |"
    );
    println!("|---|---|---|---|---|---|");
    for hosts in HOSTS {
        for count in [54, 540, target::CHANGES_PER_DAY] {
            let (mut fold, _) = probe::fold(Size::with_hosts(hosts));
            let start = Instant::now();
            let stats = probe::changes(&mut fold, count);
            let each = start.elapsed() / count;
            let (compile, allocated) = compile(&fold);
            println!(
                "| {hosts} hosts | {count} | {} | {} | {} | {} |",
                each.as_micros(),
                kilobytes(stats.total / count as usize),
                compile.as_micros(),
                kilobytes(allocated)
            );
        }
    }
    println!();
}

fn compile(fold: &Fold) -> (Duration, usize) {
    let start = Instant::now();
    let (_view, stats) = measure(|| View::compile(Revision(1), fold.config()));
    (start.elapsed(), stats.total)
}

/// Prints the sizes of messages.
pub fn messages() {
    println!("| size | idle exchange B | small change record B | snapshot record KB |");
    println!("|---|---|---|---|");
    for hosts in HOSTS {
        let size = Size::with_hosts(hosts);
        let (fold, _) = probe::fold(size);
        println!(
            "| {hosts} hosts | {} | {} | {} |",
            probe::idle_exchange_bytes(size),
            probe::small_change(&fold, 0).len(),
            kilobytes(probe::snapshot_bytes(size))
        );
    }
    println!();
}

/// Prints the time and allocations of routing, planning and admission decisions.
pub fn decisions() {
    println!("| size | ns a routing decision | allocations | µs a planner round |");
    println!("|---|---|---|---|");
    for hosts in HOSTS {
        let size = Size::with_hosts(hosts);
        let (mut routing, _) = probe::Routing::new(size);
        let (time, stats) = timed(|| routing.decisions(ROUNDS));
        let (mut planning, _) = probe::Planning::new(size);
        let (round, ()) = timed(|| planning.plan());
        println!(
            "| {hosts} hosts | {} | {:.2} | {} |",
            (time / ROUNDS).as_nanos(),
            stats.count as f64 / f64::from(ROUNDS),
            round.as_micros()
        );
    }
    let (time, stats) = timed(|| probe::admissions(ROUNDS));
    let each = (time / ROUNDS).as_nanos();
    let count = stats.count as f64 / f64::from(ROUNDS);
    println!("\nAdmission of one call: {each} ns, {count:.2} allocations.\n");
}

fn timed<T>(work: impl FnOnce() -> T) -> (Duration, T) {
    let start = Instant::now();
    let value = work();
    (start.elapsed(), value)
}

fn kilobytes(bytes: usize) -> String {
    format!("{:.1}", bytes as f64 / 1_024.0)
}
