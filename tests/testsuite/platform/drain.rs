//! A node that stops waits for the requests that it runs.

use super::ms;
use limpetmux::serve::run::wait_idle;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::time::{Instant, sleep};

#[tokio::test(start_paused = true)]
async fn request_that_begins_while_an_idle_node_stops_is_not_cut() {
    // Guards against a stream that begins right after the last check for running requests and is
    // cut when the process ends (soak, seed 5038).
    let running = Arc::new(AtomicUsize::new(0));
    let began = Instant::now();
    let counted = Arc::clone(&running);
    tokio::spawn(async move {
        sleep(ms(10)).await;
        counted.store(1, Ordering::Relaxed);
        sleep(ms(95)).await;
        counted.store(0, Ordering::Relaxed);
    });

    let left = wait_idle(&running, began + ms(4_000)).await;

    assert_eq!(left, 0, "after {:?}", began.elapsed());
    assert!(began.elapsed() < ms(200));
}

#[tokio::test(start_paused = true)]
async fn node_with_a_request_that_does_not_end_stops_in_time() {
    let running = AtomicUsize::new(1);
    let began = Instant::now();

    let left = wait_idle(&running, began + ms(500)).await;

    assert_eq!(left, 1);
    assert!(began.elapsed() <= ms(540), "{:?}", began.elapsed());
}
