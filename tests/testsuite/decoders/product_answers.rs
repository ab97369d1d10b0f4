//! Answers on the product's own interface: model engines, backend servers, the log, the host list.

use super::damage::draw;
use super::{MAX_CASE_TIME, check, cut};
use arbtest::arbitrary::Result;
use bytes::Bytes;
use futures::{FutureExt, StreamExt, TryStreamExt, stream};
use limpetmux::adapters::backend::{Backend, Job};
use limpetmux::adapters::backend_http::token_stream;
use limpetmux::adapters::hosts::HostsClient;
use limpetmux::adapters::log::{LogClient, Stream};
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::answer_limits::AnswerLimits;
use limpetmux::core::config::StageKind;
use limpetmux::core::frames::{AttemptKey, RequestId};
use limpetmux::core::keys::StageIndex;
use limpetmux::core::membership::Membership;
use limpetmux::core::planner::{DutyFold, DutyRecord};
use limpetmux::core::revision::Offset;
use limpetmux::core::time::Moment;
use limpetmux_standins::raw::serve_requests;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use uuid::Uuid;

const COMPLETION: &[u8] = b": comment\r\nid: 1\r\n\
    data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\r\n\r\nevent: x\r\
    data: {\"choices\":[{\"text\":\"\xc3\xa9\",\r\
    data: \"finish_reason\":\"stop\"}]}\r\rdata: [DONE]\n\n";
const PLAIN: &[u8] =
    br#"{"documents": [{"id": "a", "score": -1.5e3, "x": [true, null, "\u00e9"]}]}"#;
const LOAD: &[u8] = br#"{"running": 1, "waiting": 2, "capacity": 8, "cold": false,
    "incarnation": 7, "age_ms": 40}"#;
const LOG_PAGE: &[u8] = br#"{"first": 3, "end": 9, "records": [{"offset": 3, "data": "e30="},
    {"offset": 4, "data": ""}]}"#;
const HOSTS: &[u8] = br#"[{"host": "generate-0", "state": "live", "incarnation": 3},
    {"host": "generate-1", "state": "gone", "incarnation": 4}]"#;

/// Clients of one server, which gives the same answer to each call until it is replaced.
pub(super) struct Fixture {
    runtime: Runtime,
    answer: Arc<Mutex<Vec<u8>>>,
    backend: Backend,
    log: LogClient,
    hosts: HostsClient,
}

pub(super) fn fixture() -> Fixture {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let answer = Arc::<Mutex<Vec<u8>>>::default();
    let body = Arc::clone(&answer);
    let addr = runtime.block_on(serve_requests(move |_| {
        let body = body.lock().unwrap();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        [head.as_bytes(), &body].concat()
    }));
    let (client, url) = (OneCallClient::new().unwrap(), format!("http://{}", addr.unwrap()));
    let backend = Backend::http(client.clone(), &url);
    let (log, hosts) = (LogClient::http(client.clone(), &url), HostsClient::http(client, &url));
    Fixture { runtime, answer, backend, log, hosts }
}

fn key() -> AttemptKey {
    AttemptKey { request: RequestId(Uuid::nil()), stage: StageIndex(0), attempt: 0 }
}

fn job(kind: StageKind) -> Job {
    Job {
        key: key(),
        kind,
        model: None,
        input: Bytes::from_static(b"1"),
        prefix: Vec::new(),
        max_tokens: 8,
        priority: 0,
        fence: None,
    }
}

impl Fixture {
    fn set(&self, body: &[u8]) {
        *self.answer.lock().unwrap() = body.to_vec();
    }

    /// Reads a plain answer, which is passed on unchanged or refused.
    pub(super) fn check_plain(&self, body: &[u8]) {
        self.set(body);
        let answer = self.runtime.block_on(async {
            let chunks = (self.backend.run)(job(StageKind::Plain)).await?;
            chunks.map_ok(|c| c.payload).try_collect::<Vec<Bytes>>().await
        });
        if let Ok(chunks) = answer {
            assert_eq!(chunks.concat(), body);
        }
    }

    /// Reads the answers to the small calls of a backend server.
    pub(super) fn check_small(&self, body: &[u8]) {
        self.set(body);
        let _ = self.runtime.block_on((self.backend.load)());
        let _ = self.runtime.block_on((self.backend.cancel)(key()));
        let _ = self.runtime.block_on((self.log.append)(Stream::Duties, Vec::new()));
    }

    /// Reads a page of the log and folds what it holds as duties.
    pub(super) fn check_log(&self, body: &[u8]) {
        self.set(body);
        let page = (self.log.read)(Stream::Duties, Offset(0), Duration::ZERO);
        let Ok(page) = self.runtime.block_on(page) else { return };
        let bytes: usize = page.records.iter().map(|r| r.data.len() + 2).sum();
        assert!(bytes <= body.len());
        let mut fold = DutyFold::new(page.first);
        for record in page.records {
            match DutyRecord::decode(&record.data) {
                Ok(duty) => drop(fold.fold(record.offset, &duty)),
                Err(_) => fold.skip(record.offset),
            }
            assert!(fold.next() > record.offset || record.offset == Offset(u64::MAX));
        }
    }

    /// Reads the host list and applies it.
    pub(super) fn check_hosts(&self, body: &[u8]) {
        self.set(body);
        let Ok(rows) = self.runtime.block_on((self.hosts.list)()) else { return };
        assert!(rows.len() * 2 <= body.len());
        Membership::default().apply_list(Moment::MAX, &rows);
    }
}

/// Reads a streamed completion that arrives in parts.
fn tokens(parts: Vec<Vec<u8>>) -> Vec<std::result::Result<Bytes, String>> {
    let body = stream::iter(parts.into_iter().map(|part| Ok(Bytes::from(part))));
    let tokens = token_stream(AnswerLimits::SIDECAR, body, false);
    let tokens = tokens.map(|t| t.map(|t| t.payload).map_err(|e| e.to_string()));
    tokens.collect().now_or_never().unwrap()
}

/// Reads a streamed completion in parts and whole.
pub(super) fn check_completion(data: &[u8], parts: Vec<Vec<u8>>) {
    let split = tokens(parts);

    assert_eq!(split, tokens(vec![data.to_vec()]));
    let bytes: usize = split.iter().flatten().map(Bytes::len).sum();
    assert!(bytes <= data.len() * 3);
}

#[test]
fn completion_with_any_line_ends_is_parsed_alike_however_it_is_split() {
    assert_eq!(tokens(vec![COMPLETION.to_vec()]), [Ok("a".into()), Ok("é".into())]);
    check("completions with any line ends", |u| {
        let data = draw(u, COMPLETION)?;
        check_completion(&data, cut(u, &data)?);
        Ok(())
    });
}

#[test]
fn time_for_a_completion_does_not_grow_with_the_square_of_its_parts() {
    // Guards against a parser that scans the rest of a part for each line in it, or a line that has
    // not ended again with each part.
    for parts in [vec![vec![b'\n'; 64 << 10]], vec![vec![b'a'; 512]; 2 << 10]] {
        let started = Instant::now();

        let tokens = tokens(parts);

        assert_eq!(tokens.len(), 1, "{tokens:?}");
        assert!(started.elapsed() < MAX_CASE_TIME, "{:?}", started.elapsed());
    }
}

#[test]
fn plain_answers_are_passed_on_unchanged_or_refused() {
    let fixture = fixture();
    check("plain answers", |u| {
        fixture.check_plain(&draw(u, PLAIN)?);
        Ok(())
    });
}

#[test]
fn small_answers_are_decoded_or_refused() {
    let fixture = fixture();
    check("load reports, cancellations and appends", |u| {
        let valid: &[u8] = u.choose(&[LOAD, b"{\"cancelled\": true}", b"{\"offset\": 4}"])?;
        fixture.check_small(&draw(u, valid)?);
        Ok(())
    });
}

#[test]
fn pages_of_the_log_hold_no_more_than_their_bytes() {
    let fixture = fixture();
    check("pages of the log", |u| {
        fixture.check_log(&draw(u, LOG_PAGE)?);
        Ok(())
    });
}

#[test]
fn host_lists_are_decoded_or_refused() {
    let fixture = fixture();
    check("host lists", |u| -> Result<()> {
        fixture.check_hosts(&draw(u, HOSTS)?);
        Ok(())
    });
}

#[test]
fn odd_row_of_the_host_list_does_not_hide_the_others() {
    // Guards against one odd row of another writer, at which all processes stop following the list.
    let fixture = fixture();
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let good = r#"{"host": "a", "state": "live", "incarnation": 3}"#;
    for odd in [
        nested.as_str(),
        "7",
        r#"{"host": "b", "state": "asleep", "incarnation": 3}"#,
        r#"{"host": "b", "state": "live", "incarnation": 1e300}"#,
        r#"{"host": "b", "state": "live", "incarnation": 99999999999999999999999}"#,
        r#"{"host": {"a": [1]}, "state": "live", "incarnation": 1}"#,
    ] {
        fixture.set(format!("[{odd}, {good}]").as_bytes());
        let rows = fixture.runtime.block_on((fixture.hosts.list)());
        let hosts: Vec<String> =
            rows.expect("a list").iter().map(|row| row.host.as_str().to_owned()).collect();
        assert_eq!(hosts, ["a"], "{}", &odd[..odd.len().min(60)]);
    }
}
