//! Answers of the users' platform's store: pages of the log and lists of newest records.

use super::check;
use super::damage::draw;
use arbtest::arbitrary::{Result, Unstructured};
use limpetmux::core::log_position::{LogPosition, StoreEra};
use limpetmux::platform::store::{Page, Store, StoreError};
use limpetmux_standins::raw::{RawRequest, serve_requests};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::runtime::Runtime;

const TOPIC: &str = "keyed.op";
const NEWEST: &[u8] = br#"{"items": [{"key": "a", "value": "dg==", "offset": 3},
  {"key": "b", "offset": 8}], "has-more": false, "end": 9}"#;

/// A store that gives the same answer to each call until the answer is replaced.
pub(super) struct Fixture {
    runtime: Runtime,
    store: Store,
    answer: Arc<Mutex<Vec<u8>>>,
    /// The body of the last call.
    received: Arc<Mutex<Vec<u8>>>,
}

pub(super) fn fixture() -> Fixture {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (answer, received) = (Arc::<Mutex<Vec<u8>>>::default(), Arc::<Mutex<Vec<u8>>>::default());
    let (body, last) = (Arc::clone(&answer), Arc::clone(&received));
    let respond = move |request: &RawRequest| {
        last.lock().unwrap().clone_from(&request.body);
        let body = body.lock().unwrap();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        [head.as_bytes(), &body].concat()
    };
    let addr = runtime.block_on(serve_requests(respond)).unwrap();
    Fixture { runtime, store: Store::new(addr), answer, received }
}

/// Returns a position in the first era of the store.
fn position(offset: u64) -> LogPosition {
    LogPosition::new(StoreEra(0), offset)
}

impl Fixture {
    fn read(&self, from: u64, body: &[u8]) -> std::result::Result<Page, StoreError> {
        *self.answer.lock().unwrap() = body.to_vec();
        self.runtime.block_on(self.store.read(TOPIC, position(from), Duration::ZERO))
    }

    /// Reads a page and checks that it holds no more than its bytes.
    pub(super) fn check_page(&self, from: u64, body: &[u8]) {
        let Ok(page) = self.read(from, body) else { return };
        let offsets: Vec<u64> = page.records.iter().map(|r| r.position.offset).collect();
        assert!(offsets.windows(2).all(|w| w[0] < w[1]), "{offsets:?}");
        assert!(offsets.iter().all(|o| *o >= from && *o < page.end.offset), "{page:?}");
        let values: usize = page.records.iter().map(|r| r.value.len()).sum();
        assert!(values + page.records.len() * 5 + 16 <= body.len());
    }

    /// Reads a list and checks that it holds no more than its bytes.
    pub(super) fn check_newest(&self, body: &[u8]) {
        let Ok(list) = self.newest(body) else { return };
        assert!(list.records.iter().all(|r| r.position.offset < u64::MAX));
        let bytes: usize = list.records.iter().map(|r| r.key.len() + r.value.len()).sum();
        assert!(bytes <= body.len());
    }

    fn newest(&self, body: &[u8]) -> std::result::Result<Page, StoreError> {
        *self.answer.lock().unwrap() = body.to_vec();
        self.runtime.block_on(self.store.newest(TOPIC))
    }
}

/// Encodes an answer: the end of the log, its first offset, and records with a key and a value.
fn log_page(end: u64, first: u64, records: &[(&str, &[u8])]) -> Vec<u8> {
    let mut body = [end.to_be_bytes(), first.to_be_bytes()].concat();
    for (key, value) in records {
        let len = 1 + key.len() + value.len();
        body.extend(u32::try_from(len).unwrap().to_be_bytes());
        body.push(u8::try_from(key.len()).unwrap());
        body.extend([key.as_bytes(), value].concat());
    }
    body
}

fn draw_offset(u: &mut Unstructured<'_>) -> Result<u64> {
    Ok(match u.int_in_range(0..=3)? {
        0 => u64::MAX - u.int_in_range(0..=3)?,
        1 => u.arbitrary()?,
        _ => u.int_in_range(0..=9)?,
    })
}

#[test]
fn pages_hold_no_more_than_their_bytes() {
    let fixture = fixture();
    check("pages of the store", |u| {
        let records: &[(&str, &[u8])] = &[("config", b"{}"), ("", b""), ("evacuate/z", b"v")];
        let (first, from) = (draw_offset(u)?, draw_offset(u)?);
        // An answer whose first offset lies beyond the one asked for is refused as a whole.
        let from = if u.ratio(3, 4)? { from.max(first) } else { from };
        let valid = log_page(draw_offset(u)?, first, records);
        let body = draw(u, &valid)?;

        fixture.check_page(from, &body);
        Ok(())
    });
}

#[test]
fn appended_record_is_read_back() {
    let fixture = fixture();
    check("records of the store there and back", |u| {
        let len = u.int_in_range(0..=255)?;
        let letter = |u: &mut Unstructured<'_>| Ok(char::from(u.int_in_range(b'!'..=b'~')?));
        let key = (0..len).map(|_| letter(u)).collect::<Result<String>>()?;
        let value: Vec<u8> = u.arbitrary()?;
        fixture.runtime.block_on(fixture.store.put(TOPIC, &key, &value)).unwrap();
        let record = fixture.received.lock().unwrap().clone();

        let page = fixture.read(4, &[log_page(5, 0, &[]), record].concat()).unwrap();

        let read = &page.records[0];
        assert_eq!((read.position, &read.key, &*read.value), (position(4), &key, value.as_slice()));
        assert_eq!((page.records.len(), page.end), (1, position(5)));
        Ok(())
    });
}

#[test]
fn lists_of_newest_records_are_decoded_or_refused() {
    let fixture = fixture();
    assert_eq!(fixture.newest(NEWEST).unwrap().records.len(), 2);
    check("lists of the store", |u| {
        fixture.check_newest(&draw(u, NEWEST)?);
        Ok(())
    });
}
