//! A client of the platform's store, a log with keyed topics.

use super::store_call::{CallError, Connections, StoreAnswer};
use crate::core::log_position::{LogPosition, StoreEra};
use crate::core::quarantine::GroupId;
use crate::core::read_limits::{
    Bound, Exceeded, MAX_APPEND_ANSWER_BYTES, MAX_LIST_BYTES, MAX_LOG_BYTES, MAX_LOG_RECORDS,
    MAX_PAGE_BYTES, MAX_PAGE_RECORDS, Peer,
};
use crate::event;
use crate::util::event::EventCode;
use bytes::{Buf, Bytes};
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;
use serde_with::{base64::Base64, serde_as};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// The time allowed for a whole answer, in addition to the time that the store may hold the call.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The most pages that one list of newest records may have.
const MAX_PAGES: usize = 200;
/// The time allowed for all pages of one list of newest records.
const LIST_TIMEOUT: Duration = Duration::from_secs(6);

/// The product's own topic: addresses by which nodes that know no other node discover each other,
/// and verdicts on parts of prompts.
pub const NODES_TOPIC: &str = "keyed.nodes";
/// The beginning of the keys of verdicts in [`NODES_TOPIC`].
const VERDICT_KEY: &str = "part/";

/// Returns the key of the verdict on a part of prompts in [`NODES_TOPIC`].
pub fn verdict_key(group: GroupId) -> String {
    format!("{VERDICT_KEY}{:x}", group.value())
}

/// Returns whether a key of [`NODES_TOPIC`] is that of a verdict.
pub fn is_verdict(key: &str) -> bool {
    key.starts_with(VERDICT_KEY)
}

/// A record of a keyed topic.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The record's position in the log.
    pub position: LogPosition,
    /// The record's key.
    pub key: String,
    /// The record's value; empty if the key was deleted.
    pub value: Bytes,
}

/// A range of the records of a topic.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The position from which reading continues.
    pub end: LogPosition,
    /// The records, ordered by offset or by key.
    pub records: Vec<Record>,
    /// Whether the log had records after `end` when the store answered.
    pub has_more: bool,
}

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The call cannot be built.
    #[error("the call cannot be built")]
    Call(#[from] hyper::http::Error),
    /// The store cannot be reached, or its answer broke off; the call may have been executed.
    #[error("the store does not answer")]
    NoAnswer(#[source] CallError),
    /// The answer exceeds a bound; the call may have been executed.
    #[error(transparent)]
    Exceeded(#[from] Exceeded),
    /// The answer cannot be decoded.
    #[error("the answer cannot be decoded")]
    Decode(#[from] serde_json::Error),
    /// The store rejected the call.
    #[error("the store answered with status {0}")]
    Status(StatusCode),
    /// The requested records were deleted.
    #[error("the requested records were deleted")]
    Trimmed,
    /// The topic ends elsewhere than the call requires; nothing was appended.
    #[error("the topic ends elsewhere")]
    Moved,
    /// The answer lacks records that it states to exist.
    #[error("the answer ends before its last record")]
    Truncated,
    /// The store was restored from a copy after the records that the call refers to, or between the
    /// pages of one list.
    #[error("the store was restored from a copy")]
    Restored,
    /// The answer was given before another one that states a later era.
    #[error("the answer is from before the restore of the store")]
    Outdated,
    /// The answer states an offset that has no successor or lies beyond the end of the log.
    #[error("the answer states an offset that no record can have")]
    Offset,
}

impl StoreError {
    /// Returns whether the call got no whole answer or was refused, as in an outage of the store.
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::NoAnswer(_) | Self::Exceeded(_) | Self::Status(_))
    }
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Exceeded(exceeded) => Self::Exceeded(exceeded),
            error => Self::NoAnswer(error),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Newest {
    items: Vec<Item>,
    has_more: bool,
    end: u64,
}

#[serde_as]
#[derive(Deserialize)]
struct Item {
    key: String,
    #[serde_as(as = "Base64")]
    #[serde(default)]
    value: Vec<u8>,
    offset: u64,
}

/// A client of the store; cheap to clone.
#[derive(Clone, Debug)]
pub struct Store {
    connections: Connections,
    host: String,
    /// The latest era of all answers so far; `None` before the first answer.
    era: watch::Sender<Option<StoreEra>>,
}

impl Store {
    /// Creates a client for the store at an address.
    pub fn new(address: SocketAddr) -> Self {
        let (connections, host) = (Connections::new(address), address.to_string());
        Self { connections, host, era: watch::Sender::new(None) }
    }

    /// Reads the newest record of every key.
    ///
    /// The pages are not one snapshot, so the returned end is that of the first page: reading on
    /// from there misses no record.
    ///
    /// # Errors
    /// Returns [`StoreError`] if one of the pages cannot be read.
    pub async fn newest(&self, topic: &str) -> Result<Page, StoreError> {
        let late = |_| StoreError::Exceeded(Exceeded::time(Peer::Store, LIST_TIMEOUT));
        timeout(LIST_TIMEOUT, self.pages(topic)).await.map_err(late)?
    }

    async fn pages(&self, topic: &str) -> Result<Page, StoreError> {
        let mut bytes = 0;
        let mut after: Option<String> = None;
        let mut first_end: Option<LogPosition> = None;
        let mut records = Vec::new();
        for _ in 0..MAX_PAGES {
            let mut query = vec![("topic", topic.to_owned()), ("part", "0".to_owned())];
            query.extend(after.take().map(|key| ("after", key)));
            let call = self.call(Method::GET, "/log-newest", &query, Bytes::new())?;
            let (era, body) = self.send(call, ANSWER_TIMEOUT, MAX_PAGE_BYTES).await?;
            bytes += body.len();
            let page = decode_newest(&body)?;
            check(Bound::Body, bytes, MAX_LIST_BYTES)?;
            let end = *first_end.get_or_insert(LogPosition::new(era, page.end));
            if era != end.era {
                return Err(StoreError::Restored);
            }
            after = page.items.last().map(|i| i.key.clone());
            records.extend(page.items.into_iter().map(|item| record(era, item)));
            if !page.has_more {
                return Ok(Page { end, records, has_more: false });
            }
            if after.is_none() {
                break;
            }
        }
        Err(StoreError::Truncated)
    }

    /// Reads records of a keyed topic from a position on; the store holds the call for up to `wait`
    /// until there is one.
    ///
    /// # Errors
    /// Returns [`StoreError::Trimmed`] if the records were deleted, [`StoreError::Restored`] if the
    /// position is from before a restore, and another error if the call fails.
    pub async fn read(
        &self,
        topic: &str,
        from: LogPosition,
        wait: Duration,
    ) -> Result<Page, StoreError> {
        let query = [
            ("topic", topic.to_owned()),
            ("part", "0".to_owned()),
            ("from", from.offset.to_string()),
            ("wait-ms", wait.as_millis().to_string()),
        ];
        let call = self.call(Method::GET, "/log-read", &query, Bytes::new())?;
        let (era, body) = self.send(call, wait + ANSWER_TIMEOUT, MAX_LOG_BYTES).await?;
        if era != from.era {
            return Err(StoreError::Restored);
        }
        page(from, body)
    }

    /// Appends a record for a key to one of the product's own topics.
    ///
    /// # Errors
    /// Returns [`StoreError`] if the call fails; the record may still have been appended.
    pub async fn put(&self, topic: &str, key: &str, value: &[u8]) -> Result<(), StoreError> {
        self.append(topic, key, value, None).await
    }

    /// Appends a record for a key if the topic ends at a position, and not otherwise.
    ///
    /// # Errors
    /// Returns [`StoreError::Moved`] if it ends elsewhere; after other errors it may still be executed.
    pub async fn put_at(
        &self,
        topic: &str,
        key: &str,
        value: &[u8],
        end: LogPosition,
    ) -> Result<(), StoreError> {
        self.append(topic, key, value, Some(end.offset)).await
    }

    async fn append(
        &self,
        topic: &str,
        key: &str,
        value: &[u8],
        end: Option<u64>,
    ) -> Result<(), StoreError> {
        let key_len = u8::try_from(key.len()).unwrap_or(u8::MAX);
        let mut record = vec![key_len];
        record.extend_from_slice(&key.as_bytes()[..usize::from(key_len)]);
        record.extend_from_slice(value);
        let mut body = u32::try_from(record.len()).unwrap_or(u32::MAX).to_be_bytes().to_vec();
        body.extend(record);
        let mut query = vec![("topic", topic.to_owned()), ("part", "0".to_owned())];
        query.extend(end.map(|end| ("as-of", end.to_string())));
        let call = self.call(Method::POST, "/log-append", &query, body.into())?;
        self.send(call, ANSWER_TIMEOUT, MAX_APPEND_ANSWER_BYTES).await.map(drop)
    }

    fn call(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, String)],
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let pairs: Vec<String> = query.iter().map(|(k, v)| format!("{k}={}", encode(v))).collect();
        let target = format!("{path}?{}", pairs.join("&"));
        Request::builder().method(method).uri(target).header(HOST, &self.host).body(Full::new(body))
    }

    /// Returns a receiver of the latest era that an answer has stated; `None` before the first one.
    pub fn eras(&self) -> watch::Receiver<Option<StoreEra>> {
        self.era.subscribe()
    }

    /// Sends a call and reads its whole answer and era; at a bound its connection closes.
    async fn send(
        &self,
        call: Request<Full<Bytes>>,
        time: Duration,
        limit: usize,
    ) -> Result<(StoreEra, Bytes), StoreError> {
        let late = |_| StoreError::Exceeded(Exceeded::time(Peer::Store, time));
        let answer = timeout(time, self.connections.call(call, limit)).await.map_err(late)??;
        self.observe(&answer)?;
        match answer.status {
            status if status.is_success() => Ok((answer.era, answer.body)),
            StatusCode::GONE => Err(StoreError::Trimmed),
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Moved),
            status => Err(StoreError::Status(status)),
        }
    }

    /// Records the era of an answer, and logs when it rises.
    ///
    /// # Errors
    /// Returns [`StoreError::Outdated`] if another answer has stated a later era before.
    fn observe(&self, answer: &StoreAnswer) -> Result<(), StoreError> {
        let mut outdated = false;
        self.era.send_if_modified(|known| {
            outdated = known.is_some_and(|known| known > answer.era);
            if known.is_some_and(|known| known >= answer.era) {
                return false;
            }
            if let Some(known) = known {
                event!(EventCode::StoreRestored, era = answer.era, before = known);
            }
            *known = Some(answer.era);
            true
        });
        if outdated { Err(StoreError::Outdated) } else { Ok(()) }
    }
}

/// Encodes a value for a query.
fn encode(value: &str) -> String {
    let mut encoded = String::new();
    for byte in value.bytes() {
        match byte {
            b'-' | b'.' | b'_' | b'~' => encoded.push(char::from(byte)),
            byte if byte.is_ascii_alphanumeric() => encoded.push(char::from(byte)),
            byte => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}

fn check(bound: Bound, count: usize, limit: usize) -> Result<(), Exceeded> {
    match count > limit {
        true => Err(Exceeded::count(Peer::Store, bound, limit)),
        false => Ok(()),
    }
}

fn decode_newest(body: &[u8]) -> Result<Newest, StoreError> {
    let page: Newest = serde_json::from_slice(body)?;
    check(Bound::Count, page.items.len(), MAX_PAGE_RECORDS)?;
    // A page is one moment of the log, so a record beyond its end has a false offset, which would
    // hide all later records of its key.
    match page.items.iter().all(|item| item.offset < page.end) {
        true => Ok(page),
        false => Err(StoreError::Offset),
    }
}

fn record(era: StoreEra, item: Item) -> Record {
    let position = LogPosition::new(era, item.offset);
    Record { position, key: item.key, value: item.value.into() }
}

/// Decodes an answer: the end of the log, the first offset that still exists, and records.
fn page(from: LogPosition, mut body: Bytes) -> Result<Page, StoreError> {
    if body.len() < 16 {
        return Err(StoreError::Truncated);
    }
    let end = body.get_u64();
    let first = body.get_u64();
    // The store answers with 410 if it has deleted the records, so this offset is false.
    if first > from.offset {
        return Err(StoreError::Offset);
    }
    let mut offset = from.offset;
    let mut records = Vec::new();
    while body.has_remaining() {
        let len = split(&mut body, 4).map(|mut b| b.get_u32() as usize)?;
        let data = split(&mut body, len)?;
        let position = LogPosition::new(from.era, offset);
        offset = offset.checked_add(1).ok_or(StoreError::Offset)?;
        match keyed(position, data) {
            Some(record) => records.push(record),
            // Another writer's odd record must not hide the others.
            None => event!(EventCode::RecordSkipped, position = position),
        }
        check(Bound::Count, records.len(), MAX_LOG_RECORDS)?;
    }
    // An answer may not reach the end of the log, but has a record if there is one.
    if offset > from.offset {
        let has_more = end > offset;
        return Ok(Page { end: LogPosition::new(from.era, offset), records, has_more });
    }
    if end > from.offset {
        return Err(StoreError::Truncated);
    }
    Ok(Page { end: LogPosition::new(from.era, end), records, has_more: false })
}

/// Decodes a record: the length of its key, the key and the value; `None` if it has no whole key.
fn keyed(position: LogPosition, mut data: Bytes) -> Option<Record> {
    let key_len = usize::from(data.try_get_u8().ok()?);
    let key = split(&mut data, key_len).ok()?;
    let key = String::from_utf8_lossy(&key).into_owned();
    Some(Record { position, key, value: data })
}

fn split(body: &mut Bytes, len: usize) -> Result<Bytes, StoreError> {
    if body.len() < len {
        return Err(StoreError::Truncated);
    }
    Ok(body.split_to(len))
}
