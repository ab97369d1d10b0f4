//! Answers of the store that end early are errors, not shorter answers.

use super::pos;
use limpetmux::platform::store::{Page, Store, StoreError};
use limpetmux_standins::raw::{serve_bytes, unframed};
use std::time::Duration;

/// Returns a log answer: the end of the log, its first offset, and some records of one key.
fn log_page(end: u64, records: u64) -> Vec<u8> {
    let mut body = end.to_be_bytes().to_vec();
    body.extend(0_u64.to_be_bytes());
    for _ in 0..records {
        body.extend([0, 0, 0, 3, 1, b'k', b'v']);
    }
    body
}

async fn read(body: &[u8], from: u64) -> Result<Page, StoreError> {
    let store = Store::new(serve_bytes(unframed(body)).await.unwrap());
    store.read("keyed.op", pos(from), Duration::ZERO).await
}

async fn newest(body: &str) -> Result<Page, StoreError> {
    let store = Store::new(serve_bytes(unframed(body.as_bytes())).await.unwrap());
    store.newest("keyed.op").await
}

#[tokio::test]
async fn records_that_an_answer_lacks_are_not_skipped() {
    // Guards against a read that ends with its connection before its records and is taken for the
    // news that there are none, which skips a revoked key (found while inc1 was traced).
    let cut = read(&log_page(9, 0), 4).await;
    let behind_empty_records = read(&[log_page(9, 0), vec![0; 8]].concat(), 4).await.unwrap();
    let part = read(&log_page(9, 2), 4).await.unwrap();
    let none = read(&log_page(9, 0), 9).await.unwrap();

    assert!(matches!(cut, Err(StoreError::Truncated)), "{cut:?}");
    assert_eq!((behind_empty_records.records.len(), behind_empty_records.end), (0, pos(6)));
    assert_eq!((part.records.len(), part.end), (2, pos(6)));
    assert_eq!((none.records.len(), none.end), (0, pos(9)));
}

#[tokio::test]
async fn read_that_does_not_reach_the_end_of_the_log_says_so() {
    // Guards against a part of the log that is taken for all of it.
    let part = read(&log_page(9, 2), 4).await.unwrap();
    let whole = read(&log_page(9, 5), 4).await.unwrap();
    let none = read(&log_page(9, 0), 9).await.unwrap();

    assert_eq!([&part, &whole, &none].map(|p| p.has_more), [true, false, false]);
}

#[tokio::test]
async fn records_after_a_first_offset_beyond_the_one_asked_for_are_not_used() {
    // Guards against a first offset that is far too high: the records after it got false offsets.
    let mut beyond = log_page(9, 2);
    beyond[8..16].copy_from_slice(&(1_u64 << 40).to_be_bytes());
    let mut equal = log_page(9, 2);
    equal[8..16].copy_from_slice(&4_u64.to_be_bytes());

    let beyond = read(&beyond, 4).await;
    let equal = read(&equal, 4).await.unwrap();

    assert!(matches!(beyond, Err(StoreError::Offset)), "{beyond:?}");
    assert_eq!((equal.records.len(), equal.end), (2, pos(6)));
}

#[tokio::test]
async fn list_with_a_record_beyond_its_own_end_is_not_used() {
    // Guards against a record with a false offset, which hides all later records of its key.
    let list = |offset: u64| {
        format!(
            r#"{{"items":[{{"key":"k","value":"dg==","offset":{offset}}}],"has-more":false,"end":9}}"#
        )
    };

    let beyond = newest(&list(9)).await;
    let last = newest(&list(8)).await.unwrap();

    assert!(matches!(beyond, Err(StoreError::Offset)), "{beyond:?}");
    assert_eq!(last.records.len(), 1);
}

#[tokio::test]
async fn list_of_newest_records_without_its_last_pages_is_an_error() {
    // Guards against a list that ends early and is taken for all records, which drops the others
    // (found while inc1 was traced).
    let item = r#"{"key":"k","value":"dg==","offset":3}"#;
    let empty_page = newest(r#"{"items":[],"has-more":true,"end":9}"#).await;
    let endless = newest(&format!(r#"{{"items":[{item}],"has-more":true,"end":9}}"#)).await;
    let whole = newest(&format!(r#"{{"items":[{item}],"has-more":false,"end":9}}"#)).await.unwrap();

    assert!(matches!(empty_page, Err(StoreError::Truncated)), "{empty_page:?}");
    assert!(matches!(endless, Err(StoreError::Truncated)), "{endless:?}");
    assert_eq!((whole.records.len(), whole.end), (1, pos(9)));
}

#[tokio::test]
async fn record_with_a_cut_key_does_not_hide_the_others() {
    // Guards against one odd record of another writer, at which all nodes stop following the topic.
    let odd = [0, 0, 0, 3, 200, b'k', b'v'];
    let body = [log_page(7, 1), odd.to_vec(), log_page(0, 1)[16..].to_vec()].concat();

    let page = read(&body, 4).await.unwrap();

    let offsets: Vec<u64> = page.records.iter().map(|r| r.position.offset).collect();
    assert_eq!((offsets, page.end), (vec![4, 6], pos(7)));
}

#[tokio::test]
async fn answer_with_a_status_that_is_none_is_an_error() {
    // Guards against records, or a write that counts as done, by an answer with the status 000.
    for status in ["000", "099", "1000"] {
        let answer = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 16\r\n\r\n");
        let bytes = [answer.as_bytes(), &log_page(9, 0)].concat();
        let store = Store::new(serve_bytes(bytes).await.unwrap());

        assert!(store.read("keyed.op", pos(9), Duration::ZERO).await.is_err(), "{status}");
        assert!(store.put("keyed.op", "k", b"v").await.is_err(), "{status}");
    }
}
