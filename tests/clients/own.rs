//! Clients that misbehave, at an entry of the product's own interface.

use crate::crowd::{Crowd, Manner};
use crate::fixture::{Door, MAX_BODY, MEGABYTE, MEMORY_MB, alone, peak_bytes};
use limpetmux_test_support::config::summary_config;
use limpetmux_test_support::http::Caller;
use limpetmux_test_support::processes::Processes;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The time within which a caller is served, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(60);
/// The time before a caller that was refused returns.
const RETURN_DELAY: Duration = Duration::from_millis(200);
/// The bytes of a body beside its input.
const FRAME_BYTES: usize = 200;

/// Sends requests, an ordinary one and one of the largest size, until they are served.
async fn check_served(processes: &mut Processes, case: &str) {
    let caller = Caller::new(&processes.entries[0].url);
    for length in [4, MAX_BODY - FRAME_BYTES] {
        let body = json!({ "input": "x".repeat(length), "deadline_ms": 20_000 });
        let served = timeout(PATIENCE, wait_served(&caller, &body)).await;
        assert!(served.is_ok(), "an input of {length} bytes is not served: {case}");
    }
    let entry = &mut processes.entries[0];
    assert!(entry.is_running(), "the process has ended: {case}");
    println!("{case}: {} bytes at the peak", peak_bytes(&entry.proc()));
}

async fn wait_served(caller: &Caller, body: &Value) {
    while caller.run("exchange", "call-summary", body).await.status != 200 {
        sleep(RETURN_DELAY).await;
    }
}

/// Plays a crowd at every path, and checks the process beside and after each.
fn play(name: &str, manner: Manner) {
    alone(async {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("own-clients").join(name);
        let binary = Path::new(env!("CARGO_BIN_EXE_limpetmux"));
        let mut processes = Processes::start(binary, &dir, summary_config(), 1).await;
        let url = processes.entries[0].url.clone();
        let addr: SocketAddr = url.trim_start_matches("http://").parse().unwrap();
        check_served(&mut processes, "before").await;
        for door in Door::OWN {
            let case = format!("{manner:?} at {door:?}");
            let crowd = Crowd::start(addr, door, manner).await;

            check_served(&mut processes, &case).await;

            drop(crowd);
            check_served(&mut processes, &case).await;
        }
        let peak = peak_bytes(&processes.entries[0].proc());
        assert!(peak < MEMORY_MB * MEGABYTE, "memory: {peak} bytes at the peak");
    });
}

#[test]
fn own_whole_bodies_at_once() {
    // Load: many bodies of the largest size at once, each in one piece.
    play("whole", Manner::Whole);
}

#[test]
fn own_whole_bodies_that_stop_short() {
    // Load: many bodies that lack their last byte and stay open, sent in one piece.
    play("short", Manner::Short);
}

#[test]
fn own_bodies_in_small_pieces_that_stop_short() {
    // Load: many bodies that lack their last byte and stay open, sent in small pieces.
    play("pieces", Manner::Pieces);
}

#[test]
fn own_bodies_in_chunks_that_stop_short() {
    // Load: many bodies in small chunks that lack their end and stay open.
    play("chunks", Manner::Chunks);
}

#[test]
fn own_bodies_far_over_the_limit() {
    // Load: many bodies far over the limit, by their length or in chunks without an end.
    play("over", Manner::Over);
}

#[test]
fn own_heads_of_many_short_fields() {
    // Load: many requests of legal size that consist of very many short fields.
    play("fields", Manner::Fields);
}

#[test]
fn own_requests_ahead_without_reading() {
    // Load: many requests sent ahead on each connection whose answers are not read.
    play("ahead", Manner::Ahead);
}
