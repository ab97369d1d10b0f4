//! An in-process platform log behind a [`LogClient`], with faults that tests can inject.

use futures::FutureExt;
use limpetmux::adapters::log::{LogClient, LogError, LogPage, LogRecord, Stream};
use limpetmux::core::revision::Offset;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

const OUTAGE_STATUS: u16 = 503;

#[derive(Debug, Default)]
struct StoredStream {
    first: u64,
    records: Vec<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<Stream, StoredStream>,
    is_down: bool,
    ignores_wait: bool,
    /// The number of responses still to drop.
    response_drops: u32,
    /// The number of appends still to drop.
    append_drops: u32,
    held_appends: Vec<(Stream, Vec<u8>)>,
    holds_appends: bool,
    appends: u64,
    reads: u64,
}

/// A log that tests can fill, make unreachable, truncate and replace.
#[derive(Clone, Debug)]
pub struct FakeLog {
    state: Arc<Mutex<State>>,
    version: watch::Sender<u64>,
}

impl Default for FakeLog {
    fn default() -> Self {
        Self { state: Arc::default(), version: watch::Sender::new(0) }
    }
}

impl FakeLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a client; any number of clients share the log.
    pub fn client(&self) -> LogClient {
        let (writer, reader) = (self.clone(), self.clone());
        LogClient {
            append: Arc::new(move |stream, data| {
                let log = writer.clone();
                async move { log.append(stream, data) }.boxed()
            }),
            read: Arc::new(move |stream, from, wait| {
                let log = reader.clone();
                async move { log.read(stream, from, wait).await }.boxed()
            }),
        }
    }

    /// Starts or ends an outage, during which every call is refused.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.wake();
    }

    /// Makes reads return at once if there are no records, whatever wait the reader asks for.
    pub fn set_ignore_wait(&self, ignores_wait: bool) {
        self.lock().ignores_wait = ignores_wait;
    }

    /// Drops the responses of the next `count` appends; their records are stored.
    pub fn drop_responses(&self, count: u32) {
        self.lock().response_drops = count;
    }

    /// Drops the next `count` appends: no record is stored and no response is sent.
    pub fn drop_appends(&self, count: u32) {
        self.lock().append_drops = count;
    }

    /// Starts or stops holding appends: a held append gets no response, and its record is stored
    /// on [`FakeLog::release_appends`].
    pub fn hold_appends(&self, is_held: bool) {
        self.lock().holds_appends = is_held;
    }

    /// Stores the records of the held appends.
    pub fn release_appends(&self) {
        let held = std::mem::take(&mut self.lock().held_appends);
        for (stream, data) in held {
            self.push(stream, data);
        }
    }

    /// Appends a record regardless of injected faults.
    pub fn push(&self, stream: Stream, data: Vec<u8>) -> Offset {
        let offset = {
            let mut state = self.lock();
            let stored = state.streams.entry(stream).or_default();
            stored.records.push(data);
            Offset(stored.first + stored.records.len() as u64 - 1)
        };
        self.wake();
        offset
    }

    /// Deletes the records below an offset, as retention does.
    pub fn delete_before(&self, stream: Stream, first: Offset) {
        let mut state = self.lock();
        let stored = state.streams.entry(stream).or_default();
        let dropped = first.0.saturating_sub(stored.first).min(stored.records.len() as u64);
        stored.records.drain(..dropped as usize);
        stored.first += dropped;
    }

    /// Replaces a stream with an empty one.
    pub fn reset(&self, stream: Stream) {
        self.lock().streams.remove(&stream);
        self.wake();
    }

    /// Returns the stored records, oldest first.
    pub fn records(&self, stream: Stream) -> Vec<LogRecord> {
        self.lock().streams.get(&stream).map(|s| s.records_from(0)).unwrap_or_default()
    }

    /// Returns the numbers of appends and reads so far, including refused ones.
    pub fn call_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.appends, state.reads)
    }

    fn append(&self, stream: Stream, data: Vec<u8>) -> Result<Offset, LogError> {
        let mut state = self.lock();
        state.appends += 1;
        if state.is_down {
            return Err(outage());
        }
        if state.append_drops > 0 {
            state.append_drops -= 1;
            return Err(LogError::NoAnswer(no_response()));
        }
        if state.holds_appends {
            state.held_appends.push((stream, data));
            return Err(LogError::NoAnswer(no_response()));
        }
        let is_lost = state.response_drops > 0;
        state.response_drops -= u32::from(is_lost);
        drop(state);
        let offset = self.push(stream, data);
        if is_lost { Err(LogError::NoAnswer(no_response())) } else { Ok(offset) }
    }

    async fn read(
        &self,
        stream: Stream,
        from: Offset,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let mut version = self.version.subscribe();
        let wait = {
            let mut state = self.lock();
            state.reads += 1;
            if state.ignores_wait { Duration::ZERO } else { wait }
        };
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let page = self.page(stream, from)?;
            let is_expired = tokio::time::Instant::now() >= deadline;
            if !page.records.is_empty() || is_expired {
                return Ok(page);
            }
            tokio::select! {
                _ = version.changed() => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }

    fn page(&self, stream: Stream, from: Offset) -> Result<LogPage, LogError> {
        let mut state = self.lock();
        if state.is_down {
            return Err(outage());
        }
        let stored = state.streams.entry(stream).or_default();
        let records = stored.records_from(from.0);
        let end = stored.first + stored.records.len() as u64;
        Ok(LogPage { first: Offset(stored.first), end: Offset(end), records })
    }

    fn wake(&self) {
        self.version.send_modify(|v| *v += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StoredStream {
    fn records_from(&self, from: u64) -> Vec<LogRecord> {
        let skip = from.saturating_sub(self.first);
        let rows = (self.first..).zip(&self.records).skip(skip as usize);
        rows.map(|(o, data)| LogRecord { offset: Offset(o), data: data.clone() }).collect()
    }
}

fn outage() -> LogError {
    LogError::Refused { status: OUTAGE_STATUS, retry_after: None }
}

/// Returns an error of the HTTP library, which can only be obtained from a failing request.
fn no_response() -> reqwest::Error {
    match reqwest::Client::new().get("no URL").build() {
        Ok(_) => unreachable!("the text is not a URL"),
        Err(e) => e,
    }
}
