//! All processes are drained and replaced in turn while callers send requests.

use super::{check_outline, note_phase, start};
use expect_test::expect_file;
use limpetmux::core::config::Name;
use limpetmux::core::shutdown::DrainReport;
use limpetmux_test_support::invariants::send_round;
use std::fmt::Write;
use std::sync::Mutex;

fn phase(process: &str, report: DrainReport) -> String {
    format!("{process} {}", if report.is_clean() { "drained" } else { "left requests unfinished" })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_shutdown() {
    let (mut deployment, callers) = start().await;
    let mut notes = String::new();

    let hosts: Vec<Name> = deployment.sidecars.keys().cloned().collect();
    for host in &hosts {
        let (report, replies) =
            tokio::join!(deployment.restart_sidecar(host), send_round(&callers, host.as_str()));
        note_phase(&mut notes, &phase(host.as_str(), report), &replies);
    }
    let urls = Mutex::new(deployment.entries.iter().map(|e| e.url.clone()).collect());
    for (index, caller) in callers.iter().enumerate() {
        let (name, caller) = (format!("entry-{index}"), std::slice::from_ref(caller));
        let (report, replies) =
            tokio::join!(deployment.restart_entry(index, &urls), send_round(caller, &name));
        note_phase(&mut notes, &phase(&name, report), &replies);
    }

    let (runs, keys) = (deployment.run_counts(), 2 * hosts.len() + callers.len());
    let once = runs.values().filter(|n| **n == 1).count();
    writeln!(notes, "keys {keys}, run {}, run once {once}", runs.len()).unwrap();
    check_outline(deployment, &notes, &[], expect_file!["../golden/rolling_shutdown.txt"]).await;
}
