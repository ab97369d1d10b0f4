//! Groups claims of idempotency keys into appends to the platform log.
//!
//! Requests add keys to their host's [`Node`](crate::core::once::Node); [`run`] takes all keys
//! that are due at once, appends them as one record, and keeps at least [`Pace::interval`] between
//! two appends, so that a host's rate does not grow with its load. A host that cannot reach the
//! log itself sends the record through a peer. The budget of appends is worked out in
//! `docs/design/at-most-once.md`.

use crate::adapters::log::{LogClient, Stream};
use crate::core::once::Record;
use crate::event;
use crate::util::event::EventCode;
use futures::future::BoxFuture;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How often a host appends and how much.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// The least time between two appends of one host.
    pub interval: Duration,
    /// The most keys in one record.
    pub keys: usize,
    /// The time between two tries to append one record.
    pub retry: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        let interval = Duration::from_millis(200);
        Self { interval, keys: 512, retry: Duration::from_millis(200) }
    }
}

/// What the committer does not know itself.
#[derive(Clone)]
pub struct Source {
    /// Takes the keys that are due, at most the given number, as one record.
    pub take: Arc<dyn Fn(usize) -> Option<Record> + Send + Sync>,
    /// Wakes the committer when keys are due.
    pub due: Arc<Notify>,
    /// Appends an encoded record through a peer; returns whether it is certain to be in the log.
    pub forward: Arc<dyn Fn(Vec<u8>) -> BoxFuture<'static, bool> + Send + Sync>,
}

/// Appends claims for as long as the host lives.
pub async fn run(log: LogClient, source: Source, pace: Pace) {
    loop {
        let Some(record) = (source.take)(pace.keys) else {
            source.due.notified().await;
            continue;
        };
        let started = Instant::now();
        match record.encode() {
            Ok(data) => append(&log, &source, data, pace).await,
            Err(error) => event!(EventCode::ClaimUnreadable, error = error),
        }
        tokio::time::sleep_until(started + pace.interval).await;
    }
}

/// Appends one record until it is certain to be in the log; a second copy does no harm.
async fn append(log: &LogClient, source: &Source, data: Vec<u8>, pace: Pace) {
    while (log.append)(Stream::Claims, data.clone()).await.is_err() {
        if (source.forward)(data.clone()).await {
            return;
        }
        tokio::time::sleep(pace.retry).await;
    }
}
