//! HTTP client for the platform log.

use super::answer::{self, AnswerError};
use super::backend_http::retry_after;
use super::log::{LogClient, LogError, LogPage, LogRecord, Stream};
use super::one_call::OneCallClient;
use crate::core::read_limits::{Bound, Exceeded, MAX_LOG_PAGE_BYTES, MAX_NOTE_BYTES, Peer};
use crate::core::revision::Offset;
use futures::FutureExt;
use reqwest::RequestBuilder;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_with::{base64::Base64, serde_as};
use std::sync::Arc;
use std::time::Duration;

/// The maximum number of records per read.
const PAGE_RECORDS: u64 = 1_000;
/// The maximum number of records per read of the configuration, whose snapshots are large.
const CONFIG_PAGE_RECORDS: u64 = 64;
/// The timeout of a request, in addition to the time that the log was asked to wait.
const TIMEOUT: Duration = Duration::from_secs(2);

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
    /// Creates a client of the protocol in `docs/PROTOCOLS.md`; `base` is the log's URL.
    pub fn http(client: OneCallClient, base: &str) -> Self {
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
    client: OneCallClient,
    base: Arc<str>,
    stream: Stream,
    data: Vec<u8>,
) -> Result<Offset, LogError> {
    let url = format!("{base}/v1/streams/{stream}/records");
    let request = client.post(url).body(data);
    let appended: Appended = call(request, TIMEOUT, MAX_NOTE_BYTES, stream).await?;
    Ok(appended.offset)
}

async fn read(
    client: OneCallClient,
    base: Arc<str>,
    stream: Stream,
    from: Offset,
    wait: Duration,
) -> Result<LogPage, LogError> {
    let max = if stream == Stream::Config { CONFIG_PAGE_RECORDS } else { PAGE_RECORDS };
    match read_page(&client, &base, stream, from, max, wait).await {
        // Large records may exceed a page together, so they are read one by one.
        Err(LogError::Exceeded(Exceeded { bound: Bound::Body, .. })) => {
            read_page(&client, &base, stream, from, 1, wait).await
        }
        result => result,
    }
}

async fn read_page(
    client: &OneCallClient,
    base: &str,
    stream: Stream,
    from: Offset,
    max: u64,
    wait: Duration,
) -> Result<LogPage, LogError> {
    let wait_ms = wait.as_millis();
    let url = format!("{base}/v1/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
    let page: Page = call(client.get(url), wait + TIMEOUT, MAX_LOG_PAGE_BYTES, stream).await?;
    let record = |r: Record| LogRecord { offset: r.offset, data: r.data };
    let records = page.records.into_iter().map(record).collect();
    let page = LogPage { first: page.first, end: page.end, records };
    if !page.is_consistent(from) {
        return Err(LogError::Contradiction);
    }
    Ok(page)
}

/// Sends a request and reads its answer, of at most `limit` bytes, within `time`.
async fn call<T: DeserializeOwned>(
    request: RequestBuilder,
    time: Duration,
    limit: usize,
    stream: Stream,
) -> Result<T, LogError> {
    let logged = |error: AnswerError| error.logged(Peer::Platform, time, stream);
    let response = answer::send(request.timeout(time), Peer::Platform).await.map_err(logged)?;
    let status = response.status();
    if !status.is_success() {
        let retry_after = retry_after(&response);
        return Err(LogError::Refused { status: status.as_u16(), retry_after });
    }
    Ok(answer::read_json(response, Peer::Platform, limit).await.map_err(logged)?)
}
