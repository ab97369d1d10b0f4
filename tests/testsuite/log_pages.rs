//! Pages of the log whose offsets contradict each other are not used.

use limpetmux::adapters::log::{LogClient, LogError, LogPage, Stream};
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::revision::Offset;
use limpetmux_standins::raw::{serve_bytes, unframed};
use std::time::Duration;

/// Reads from offset 4 a page with these bounds and offsets of its records.
async fn read(first: u64, end: u64, offsets: &[u64]) -> Result<LogPage, LogError> {
    let records: Vec<String> =
        offsets.iter().map(|o| format!(r#"{{"offset":{o},"data":"e30="}}"#)).collect();
    let body = format!(r#"{{"first":{first},"end":{end},"records":[{}]}}"#, records.join(","));
    let addr = serve_bytes(unframed(body.as_bytes())).await.unwrap();
    let log = LogClient::http(OneCallClient::new().unwrap(), &format!("http://{addr}"));
    (log.read)(Stream::Claims, Offset(4), Duration::ZERO).await
}

#[tokio::test]
async fn page_with_a_false_offset_is_not_used() {
    // Guards against a reader that goes on after a false offset: it counted as having read the
    // claims before it, and an empty page before the end of the log was asked for without a pause.
    let far = 1 << 40;
    let pages: [(u64, u64, &[u64]); 7] = [
        (far, 6, &[]),
        (far, 6, &[far]),
        (0, 6, &[]),
        (0, 6, &[5]),
        (0, 6, &[4, far]),
        (0, 6, &[4, 4]),
        (0, 6, &[4, 5, 6]),
    ];
    for (first, end, offsets) in pages {
        let page = read(first, end, offsets).await;

        assert!(matches!(page, Err(LogError::Contradiction)), "{first} {offsets:?} {page:?}");
    }
}

#[tokio::test]
async fn pages_of_a_whole_shortened_or_replaced_log_are_used() {
    let pages: [(u64, u64, &[u64]); 6] =
        [(0, 6, &[4, 5]), (0, 6, &[4]), (5, 6, &[5]), (6, 6, &[]), (0, 4, &[]), (0, 0, &[])];
    for (first, end, offsets) in pages {
        let page = read(first, end, offsets).await;

        let page = page.unwrap_or_else(|e| panic!("{first} {end} {offsets:?}: {e}"));
        assert_eq!((page.end, page.records.len()), (Offset(end), offsets.len()));
    }
}
