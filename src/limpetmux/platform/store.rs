//! A client of the platform's store, a log with keyed topics.

use bytes::{Buf, Bytes};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde_with::{base64::Base64, serde_as};
use std::net::SocketAddr;
use std::time::Duration;

/// The time allowed for an answer, in addition to the time that the store may hold the call.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time allowed for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// The time after which unacknowledged bytes close a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The most pages that one list of newest records may have.
const MAX_PAGES: usize = 200;

/// The product's own topic, through which nodes that know no other node discover each other.
pub const NODES_TOPIC: &str = "keyed.nodes";

/// A record of a keyed topic.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The record's offset in the log.
    pub offset: u64,
    /// The record's key.
    pub key: String,
    /// The record's value; empty if the key was deleted.
    pub value: Bytes,
}

/// A range of the records of a topic.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The offset from which reading continues.
    pub end: u64,
    /// The records, ordered by offset or by key.
    pub records: Vec<Record>,
}

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store cannot be reached or did not answer in time, or its answer could not be read.
    #[error("the store does not answer")]
    NoAnswer(#[from] reqwest::Error),
    /// The store rejected the call.
    #[error("the store answered with status {0}")]
    Status(StatusCode),
    /// The requested records were deleted.
    #[error("the requested records were deleted")]
    Trimmed,
    /// The answer lacks records that it states to exist.
    #[error("the answer ends before its last record")]
    Truncated,
    /// The answer states offsets that no log reaches.
    #[error("the offsets of the answer are out of range")]
    Offset,
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
    client: Client,
    base: String,
}

impl Store {
    /// Creates a client for the store at an address.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be set up.
    pub fn new(address: SocketAddr) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_user_timeout(UNACKED_TIMEOUT)
            .tcp_nodelay(true)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Self { client, base: format!("http://{address}") })
    }

    /// Reads the newest record of every key.
    ///
    /// The pages are not one snapshot, so the returned end is that of the first page: reading on
    /// from there misses no record.
    ///
    /// # Errors
    /// Returns [`StoreError`] if one of the pages cannot be read.
    pub async fn newest(&self, topic: &str) -> Result<Page, StoreError> {
        let mut after: Option<String> = None;
        let mut first_end = None;
        let mut records = Vec::new();
        for _ in 0..MAX_PAGES {
            let mut query = vec![("topic", topic.to_owned()), ("part", "0".to_owned())];
            query.extend(after.take().map(|key| ("after", key)));
            let call = self.get("log-newest", &query).timeout(ANSWER_TIMEOUT);
            let page: Newest = send(call).await?.json().await?;
            let end = *first_end.get_or_insert(page.end);
            after = page.items.last().map(|i| i.key.clone());
            records.extend(page.items.into_iter().map(record));
            if !page.has_more {
                return Ok(Page { end, records });
            }
            if after.is_none() {
                break;
            }
        }
        Err(StoreError::Truncated)
    }

    /// Reads records of a keyed topic from an offset on; the store holds the call for up to `wait`
    /// until there is one.
    ///
    /// # Errors
    /// Returns [`StoreError::Trimmed`] if the records were deleted, and another error if the call
    /// fails.
    pub async fn read(&self, topic: &str, from: u64, wait: Duration) -> Result<Page, StoreError> {
        let query = [
            ("topic", topic.to_owned()),
            ("part", "0".to_owned()),
            ("from", from.to_string()),
            ("wait-ms", wait.as_millis().to_string()),
        ];
        let call = self.get("log-read", &query).timeout(wait + ANSWER_TIMEOUT);
        let body = send(call).await?.bytes().await?;
        page(from, body)
    }

    /// Appends a record for a key to one of the product's own topics.
    ///
    /// # Errors
    /// Returns [`StoreError`] if the call fails; the record may still have been appended.
    pub async fn put(&self, topic: &str, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let key_len = u8::try_from(key.len()).unwrap_or(u8::MAX);
        let mut record = vec![key_len];
        record.extend_from_slice(&key.as_bytes()[..usize::from(key_len)]);
        record.extend_from_slice(value);
        let mut body = u32::try_from(record.len()).unwrap_or(u32::MAX).to_be_bytes().to_vec();
        body.extend(record);
        let url = format!("{}/log-append", self.base);
        let query = [("topic", topic), ("part", "0")];
        let call = self.client.post(url).query(&query).timeout(ANSWER_TIMEOUT).body(body);
        send(call).await?.bytes().await?;
        Ok(())
    }

    fn get(&self, call: &str, query: &[(&str, String)]) -> RequestBuilder {
        self.client.get(format!("{}/{call}", self.base)).query(query)
    }
}

async fn send(call: RequestBuilder) -> Result<Response, StoreError> {
    let answer = call.send().await?;
    match answer.status() {
        status if status.is_success() => Ok(answer),
        StatusCode::GONE => Err(StoreError::Trimmed),
        status => Err(StoreError::Status(status)),
    }
}

fn record(item: Item) -> Record {
    Record { offset: item.offset, key: item.key, value: item.value.into() }
}

/// Decodes an answer: the end of the log, the first offset that still exists, and records.
fn page(from: u64, mut body: Bytes) -> Result<Page, StoreError> {
    if body.len() < 16 {
        return Err(StoreError::Truncated);
    }
    let end = body.get_u64();
    let first = body.get_u64();
    let start = from.max(first);
    let mut offset = start;
    let mut records = Vec::new();
    while body.has_remaining() {
        let len = split(&mut body, 4).map(|mut b| b.get_u32() as usize)?;
        let mut data = split(&mut body, len)?;
        if data.is_empty() {
            offset = next(offset)?;
            continue;
        }
        let key_len = usize::from(data.get_u8());
        let key = split(&mut data, key_len)?;
        let key = String::from_utf8_lossy(&key).into_owned();
        records.push(Record { offset, key, value: data });
        offset = next(offset)?;
    }
    // An answer may not reach the end of the log, but has a record if there is one.
    if offset > start {
        return Ok(Page { end: offset, records });
    }
    if end > start {
        return Err(StoreError::Truncated);
    }
    Ok(Page { end, records })
}

fn next(offset: u64) -> Result<u64, StoreError> {
    offset.checked_add(1).ok_or(StoreError::Offset)
}

fn split(body: &mut Bytes, len: usize) -> Result<Bytes, StoreError> {
    if body.len() < len {
        return Err(StoreError::Truncated);
    }
    Ok(body.split_to(len))
}
