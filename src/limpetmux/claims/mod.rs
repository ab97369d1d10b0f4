//! Batches claims of idempotency keys into appends to the platform log.
//!
//! Requests add keys to their host's [`Node`](crate::core::once::Node); [`run`] appends all pending
//! keys as one record and waits at least [`AppendOptions::interval`] between two appends, so that a
//! host's append rate does not grow with its load. A host that cannot reach the log sends the
//! record through a peer. `docs/design/at-most-once.md` derives the budget of appends.

use crate::adapters::log::{LogClient, Stream};
use crate::core::once::Record;
use crate::event;
use crate::util::event::EventCode;
use futures::future::BoxFuture;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The limits on the appends of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendOptions {
    /// The minimum time between two appends.
    pub interval: Duration,
    /// The maximum number of keys in one record.
    pub max_keys: usize,
    /// The time between two attempts to append one record.
    pub retry_delay: Duration,
}

impl Default for AppendOptions {
    fn default() -> Self {
        let interval = Duration::from_millis(200);
        Self { interval, max_keys: 512, retry_delay: Duration::from_millis(200) }
    }
}

/// The source of pending keys, and the fallback for appends.
#[derive(Clone)]
pub struct ClaimSource {
    /// Removes up to the given number of pending keys and returns them as one record, if any.
    pub next_record: Arc<dyn Fn(usize) -> Option<Record> + Send + Sync>,
    /// Notifies [`run`] of pending keys.
    pub pending: Arc<Notify>,
    /// Appends an encoded record through a peer; returns whether the append is confirmed.
    pub forward: Arc<dyn Fn(Vec<u8>) -> BoxFuture<'static, bool> + Send + Sync>,
}

/// Appends claims until the future is dropped.
pub async fn run(log: LogClient, source: ClaimSource, options: AppendOptions) {
    loop {
        let Some(record) = (source.next_record)(options.max_keys) else {
            source.pending.notified().await;
            continue;
        };
        let started = Instant::now();
        match record.encode() {
            Ok(data) => append(&log, &source, data, options).await,
            Err(error) => event!(EventCode::ClaimUnreadable, error = error),
        }
        tokio::time::sleep_until(started + options.interval).await;
    }
}

/// Retries the append of one record until it is confirmed; a duplicate in the log is harmless.
async fn append(log: &LogClient, source: &ClaimSource, data: Vec<u8>, options: AppendOptions) {
    while (log.append)(Stream::Claims, data.clone()).await.is_err() {
        if (source.forward)(data.clone()).await {
            return;
        }
        tokio::time::sleep(options.retry_delay).await;
    }
}
