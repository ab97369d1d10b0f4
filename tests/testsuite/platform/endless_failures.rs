//! A backend server whose answers do not end counts as failing: it is chosen less, until it answers
//! properly again. None of its answers promises that its request did not run.

use super::endless_answers::{END_LIMIT, LONG_MS, drain, servers_with_long_timeouts};
use super::endless_server::{Asked, EndlessServers, Part, chunk, once};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::timeout;

/// Answers that never come to an end which the caller may get, by the name of their bound.
fn endless(case: &str, asked: &Asked) -> Vec<Part> {
    let pause = Duration::from_millis(20);
    let ok = format!("HTTP/1.1 200 OK\r\n{}", asked.signed());
    match case {
        "many headers" => vec![once(ok), Part::Endless(b"a: b\r\n".repeat(200))],
        "long header" => vec![once(ok + "a: "), Part::Endless(vec![b'a'; 4_096])],
        "informational" => vec![Part::Endless(b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec())],
        "slow informational" => {
            vec![Part::Drip(b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec(), pause)]
        }
        "no status line" => vec![Part::Endless(vec![b'a'; 4_096])],
        "empty lines" => vec![Part::Endless(b"\r\n".repeat(2_048))],
        "slow head" => vec![once(ok + "a: "), Part::Drip(b"a".to_vec(), pause)],
        "slow body" => vec![asked.chunked_head(), Part::Drip(chunk(b"a"), pause)],
        "body" => vec![asked.chunked_head(), Part::Endless(chunk(&[b'a'; 32 * 1024]))],
        "extensions" => {
            vec![asked.chunked_head(), once("1;"), Part::Endless(vec![b'a'; 4_096])]
        }
        "trailers" => {
            let last = chunk(b"a").into_iter().chain(*b"0\r\na: ").collect::<Vec<_>>();
            vec![asked.chunked_head(), once(last), Part::Endless(vec![b'a'; 4_096])]
        }
        "length" => vec![once(ok + "content-length: 99999999999\r\n\r\na"), Part::Silence],
        _ => unreachable!("{case}"),
    }
}

/// Checks that the first backend server chosen, if its answers to plain requests do not end, is left
/// out after its failures, that each request is sent once, and that no answer promises that its
/// request did not run.
///
/// The other one may be avoided for a second if it seems slow, so the first good answers may be few.
async fn check_failures(case: &'static str, deadline_ms: u64) -> EndlessServers {
    const SERVED_IN_A_ROW: usize = 8;
    const FAILURES: usize = 5;
    let bad = OnceLock::new();
    let servers = servers_with_long_timeouts(move |asked| {
        match *bad.get_or_init(|| asked.server) == asked.server {
            true => endless(case, asked),
            false => asked.served(),
        }
    })
    .await;

    let (mut failed, mut served) = (0, 0);
    let sending = async {
        for n in 0_u64.. {
            let id = format!("a{n}");
            let answer = servers.post("/once/x", &id, deadline_ms).send().await.unwrap();
            let status = answer.status().as_u16();
            assert!([200, 502, 504].contains(&status), "{case}: {status}");
            let (_, complete) = drain(answer, Duration::ZERO).await;
            assert_eq!(servers.arrivals(&id), 1, "{case}");
            if status == 200 && complete {
                served += 1;
            } else {
                (failed, served) = (failed + 1, 0);
            }
            if served == SERVED_IN_A_ROW {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let ended = timeout(END_LIMIT, sending).await;

    assert!(ended.is_ok(), "{case}: never left out, {failed} failed");
    assert!(failed >= FAILURES, "{case}: left out after {failed} failures");
    servers
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_whose_heads_have_no_end_is_chosen_less() {
    // Guards against heads, and informational answers before them, that are read without a bound.
    for (case, bound) in [
        ("many headers", "head"),
        ("long header", "head"),
        ("empty lines", "head"),
        ("informational", "count"),
    ] {
        let servers = check_failures(case, LONG_MS).await;

        assert!(servers.stops(bound).await >= 5, "{case}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_whose_informational_answers_drip_is_chosen_less() {
    // Guards against a request that waits for its deadline while nothing but hints arrive.
    let servers = check_failures("slow informational", LONG_MS).await;

    assert!(servers.stops("count").await >= 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_that_sends_junk_is_chosen_less() {
    // Guards against junk before a status line that is read further, or is taken for a connection
    // that broke.
    check_failures("no status line", LONG_MS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_whose_extensions_or_trailers_have_no_end_is_chosen_less() {
    // Guards against bytes of a body that are no content and so count towards no length.
    for case in ["extensions", "trailers"] {
        let servers = check_failures(case, LONG_MS).await;

        assert!(servers.stops("head").await >= 5, "{case}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_that_states_lengths_beyond_the_limit_is_chosen_less() {
    // Guards against a body of which nothing can be used and that is awaited until the deadline.
    let servers = check_failures("length", LONG_MS).await;

    assert!(servers.stops("body").await >= 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_that_drips_is_chosen_less() {
    // Guards against a slow head or body that ends at the deadline and counts as nothing against its
    // sender, so that it is chosen again and again.
    for case in ["slow head", "slow body"] {
        let servers = check_failures(case, 400).await;

        assert!(servers.stops("time").await >= 5, "{case}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_whose_body_has_no_end_is_chosen_less() {
    // Guards against a body beyond its limit that counts as nothing against its sender.
    let servers = check_failures("body", LONG_MS).await;

    assert!(servers.stops("body").await >= 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_that_answers_properly_again_is_chosen_again() {
    // Guards against a backend server that is left out for good after answers without an end.
    const BAD_ANSWERS: usize = 6;
    let bad = Arc::new(OnceLock::new());
    let (first, asked_bad) = (Arc::clone(&bad), AtomicUsize::new(0));
    let servers = servers_with_long_timeouts(move |asked| {
        let is_bad = *first.get_or_init(|| asked.server) == asked.server
            && asked_bad.fetch_add(1, Ordering::Relaxed) < BAD_ANSWERS;
        if is_bad { endless("long header", asked) } else { asked.served() }
    })
    .await;

    let restored = async {
        for n in 0_u64.. {
            servers.post("/once/x", &format!("a{n}"), LONG_MS).send().await.unwrap();
            let asked = servers.asked();
            let at_bad = asked.iter().filter(|a| Some(&a.server) == bad.get());
            // A fifth good answer in a row shows that no failure is held against it.
            if at_bad.filter(|a| a.id.starts_with('a')).count() >= BAD_ANSWERS + 5 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };

    timeout(END_LIMIT, restored).await.expect("never chosen again");
}
