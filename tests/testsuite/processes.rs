//! The system as separate processes: whole requests, kills, freezes and signals.

use limpetmux::core::config::{HostSpec, Name};
use limpetmux::node::local::StandIn;
use limpetmux_test_support::config::summary_config;
use limpetmux_test_support::http::Caller;
use limpetmux_test_support::load::{Load, expected_summary};
use limpetmux_test_support::processes::{Processes, wait_until_ready};
use serde_json::json;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use uuid::Uuid;

const WORKSPACE: &str = "exchange";
/// Enough random keys to reach both homes.
const FRESH_KEYS: u32 = 16;

async fn start(test: &str, entries: usize) -> Processes {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let binary = Path::new(env!("CARGO_BIN_EXE_limpetmux"));
    Processes::start(binary, &dir, summary_config(), entries).await
}

/// Adds up how often each key ran on any host.
fn runs(processes: &Processes) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for standin in processes.standins.values() {
        let StandIn::Plain(plain) = standin else { continue };
        for (key, count) in plain.keys() {
            *runs.entry(key).or_default() += count;
        }
    }
    runs
}

async fn port(caller: &Caller, key: &str) -> limpetmux_test_support::http::Answer {
    let body = json!({ "input": { "key": key }, "deadline_ms": 20_000 });
    caller.run_once(WORKSPACE, "port", key, &body).await
}

/// Waits until every home accepts fresh keys, which none does right after its start.
async fn wait_homes_accept(caller: &Caller) {
    let mut answered = 0;
    while answered < FRESH_KEYS {
        let answer = port(caller, &Uuid::now_v7().to_string()).await;
        answered = if answer.status == 200 { answered + 1 } else { 0 };
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_passes_through_separate_processes() {
    let processes = start("whole_path", 1).await;
    let caller = Caller::new(&processes.entries[0].url);
    let input = json!("summarise the night shift");

    let body = json!({ "input": input, "deadline_ms": 20_000 });
    let answer = caller.run(WORKSPACE, "call-summary", &body).await;

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.body["output"], json!(expected_summary(&input)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_through_another_entry_after_a_kill_runs_once() {
    let mut processes = start("killed_entry", 2).await;
    let (first, second) =
        (Caller::new(&processes.entries[0].url), Caller::new(&processes.entries[1].url));
    wait_homes_accept(&first).await;
    let key = Uuid::now_v7().to_string();
    let sent = tokio::spawn({
        let key = key.clone();
        async move { port(&first, &key).await }
    });
    while !runs(&processes).contains_key(&key) && !sent.is_finished() {
        tokio::task::yield_now().await;
    }

    processes.entries[0].kill();
    let answer = port(&second, &key).await;

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(runs(&processes).get(&key), Some(&1));
    sent.abort();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_sidecar_never_runs_a_key_again() {
    let mut processes = start("killed_sidecar", 1).await;
    let caller = Caller::new(&processes.entries[0].url);
    wait_homes_accept(&caller).await;
    let key = Uuid::now_v7().to_string();
    assert_eq!(port(&caller, &key).await.status, 200);
    let of_service = |(name, host): (&Name, &HostSpec)| {
        (host.service.as_str() == "provisioning").then(|| name.clone())
    };
    let homes: Vec<Name> = processes.config.hosts.iter().filter_map(of_service).collect();

    for home in &homes {
        processes.sidecars.get_mut(home).unwrap().kill();
        processes.start_sidecar(home);
    }
    let answer = port(&caller, &key).await;

    assert_ne!(answer.body["execution"], json!("not_run"), "{}", answer.body);
    assert_eq!(runs(&processes).get(&key), Some(&1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_processes_interrupt_no_request() {
    let mut processes = start("terminated", 2).await;
    let urls = processes.entries.iter().map(|e| e.url.clone()).collect();
    let load = Load::start(urls, 6, None);
    load.wait_for_answers(6).await;
    let hosts: Vec<Name> = processes.config.hosts.keys().cloned().collect();

    let generate = hosts.iter().find(|h| h.as_str().starts_with("generate")).unwrap();
    let status = processes.sidecars.get_mut(generate).unwrap().terminate().await;
    processes.start_sidecar(generate);
    load.wait_for_answers(12).await;
    let stopped = processes.entries[0].url.clone();
    load.urls.lock().unwrap().retain(|u| *u != stopped);
    let ended = processes.entries[0].terminate().await;
    load.wait_for_answers(6).await;
    let tally = load.stop().await;

    assert!(status.success() && ended.success(), "{status} {ended}");
    assert_eq!(tally.faults, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_sidecar_is_left_out_and_runs_nothing_twice() {
    let processes = start("frozen", 1).await;
    let caller = Caller::new(&processes.entries[0].url);
    let encoder = processes.config.hosts.keys().find(|h| h.as_str().starts_with("encode")).unwrap();

    processes.sidecars[encoder].set_suspended(true);
    let mut answered = 0;
    for n in 0..12 {
        let body = json!({ "input": format!("call {n}"), "deadline_ms": 20_000 });
        let answer = caller.run(WORKSPACE, "call-summary", &body).await;
        answered += u32::from(answer.status == 200);
    }
    processes.sidecars[encoder].set_suspended(false);

    assert!(answered >= 10, "{answered} of 12");
    wait_until_ready(&processes.entries[0].url).await;
}
