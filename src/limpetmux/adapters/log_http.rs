//! Speaks the platform log's HTTP protocol.

use super::backend_http::retry_after;
use super::log::{LogClient, LogError, LogPage, LogRecord, Stream};
use crate::core::revision::Offset;
use futures::FutureExt;
use reqwest::{Client, RequestBuilder, Response};
use serde::Deserialize;
use serde_with::{base64::Base64, serde_as};
use std::sync::Arc;
use std::time::Duration;

/// The most records asked for at once.
const PAGE_RECORDS: u64 = 1_000;
/// The same for the configuration, whose snapshots are long.
const CONFIG_PAGE_RECORDS: u64 = 64;
/// The time allowed for an answer beyond the time that the log was asked to wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct Page {
    first: Offset,
    end: Offset,
    records: Vec<Record>,
}

#[serde_as]
#[derive(Deserialize)]
struct Record {
    offset: Offset,
    #[serde_as(as = "Base64")]
    data: Vec<u8>,
}

impl LogClient {
    /// Creates a client that speaks `docs/PROTOCOLS.md` to the log at a base URL.
    pub fn http(client: Client, base: &str) -> Self {
        let base: Arc<str> = base.trim_end_matches('/').into();
        let (append_client, append_base) = (client.clone(), Arc::clone(&base));
        Self {
            append: Arc::new(move |stream, data| {
                append(append_client.clone(), Arc::clone(&append_base), stream, data).boxed()
            }),
            read: Arc::new(move |stream, from, wait| {
                read(client.clone(), Arc::clone(&base), stream, from, wait).boxed()
            }),
        }
    }
}

async fn append(
    client: Client,
    base: Arc<str>,
    stream: Stream,
    data: Vec<u8>,
) -> Result<Offset, LogError> {
    let url = format!("{base}/v1/streams/{stream}/records");
    let answer = send(client.post(url).timeout(ANSWER_TIMEOUT).body(data)).await?;
    let appended: Appended = answer.json().await.map_err(unread)?;
    Ok(appended.offset)
}

async fn read(
    client: Client,
    base: Arc<str>,
    stream: Stream,
    from: Offset,
    wait: Duration,
) -> Result<LogPage, LogError> {
    let wait_ms = wait.as_millis();
    let max = if stream == Stream::Config { CONFIG_PAGE_RECORDS } else { PAGE_RECORDS };
    let url = format!("{base}/v1/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
    let answer = send(client.get(url).timeout(wait + ANSWER_TIMEOUT)).await?;
    let page: Page = answer.json().await.map_err(unread)?;
    let record = |r: Record| LogRecord { offset: r.offset, data: r.data };
    let records = page.records.into_iter().map(record).collect();
    Ok(LogPage { first: page.first, end: page.end, records })
}

async fn send(request: RequestBuilder) -> Result<Response, LogError> {
    let answer = request.send().await.map_err(|error| {
        if error.is_connect() { LogError::Unreachable(error) } else { LogError::NoAnswer(error) }
    })?;
    let status = answer.status();
    if status.is_success() {
        return Ok(answer);
    }
    Err(LogError::Refused { status: status.as_u16(), retry_after: retry_after(&answer) })
}

fn unread(error: reqwest::Error) -> LogError {
    if error.is_decode() { LogError::Malformed(error) } else { LogError::NoAnswer(error) }
}
