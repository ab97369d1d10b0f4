//! An in-process platform log behind a [`LogClient`], with a switch for each of its faults.

use futures::FutureExt;
use limpetmux::adapters::log::{LogClient, LogError, LogPage, LogRecord, Stream};
use limpetmux::core::revision::Offset;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

const OUTAGE_STATUS: u16 = 503;

#[derive(Debug, Default)]
struct Kept {
    first: u64,
    records: Vec<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<Stream, Kept>,
    is_down: bool,
    is_hasty: bool,
    lost_answers: u32,
    lost_appends: u32,
    held: Vec<(Stream, Vec<u8>)>,
    holds_appends: bool,
    appends: u64,
    reads: u64,
}

/// A log that tests fill, cut off, shorten and replace.
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

    /// Starts or ends an outage, in which every call is refused.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.wake();
    }

    /// Answers reads without records at once, whatever the reader is willing to wait.
    pub fn set_hasty(&self, is_hasty: bool) {
        self.lock().is_hasty = is_hasty;
    }

    /// Loses the answers of the next appends after they have taken effect.
    pub fn lose_answers(&self, count: u32) {
        self.lock().lost_answers = count;
    }

    /// Loses the next appends before they take effect, without an answer.
    pub fn lose_appends(&self, count: u32) {
        self.lock().lost_appends = count;
    }

    /// Starts or ends a time in which appends stay under way, unanswered, until
    /// [`FakeLog::release`].
    pub fn hold_appends(&self, is_held: bool) {
        self.lock().holds_appends = is_held;
    }

    /// Lets the held appends take effect.
    pub fn release(&self) {
        let held = std::mem::take(&mut self.lock().held);
        for (stream, data) in held {
            self.push(stream, data);
        }
    }

    /// Appends a record whatever the faults.
    pub fn push(&self, stream: Stream, data: Vec<u8>) -> Offset {
        let offset = {
            let mut state = self.lock();
            let kept = state.streams.entry(stream).or_default();
            kept.records.push(data);
            Offset(kept.first + kept.records.len() as u64 - 1)
        };
        self.wake();
        offset
    }

    /// Forgets the records below an offset.
    pub fn forget(&self, stream: Stream, first: Offset) {
        let mut state = self.lock();
        let kept = state.streams.entry(stream).or_default();
        let gone = first.0.saturating_sub(kept.first).min(kept.records.len() as u64);
        kept.records.drain(..gone as usize);
        kept.first += gone;
    }

    /// Replaces a stream by an empty one.
    pub fn reset(&self, stream: Stream) {
        self.lock().streams.remove(&stream);
        self.wake();
    }

    /// Returns the records kept, oldest first.
    pub fn records(&self, stream: Stream) -> Vec<LogRecord> {
        self.lock().streams.get(&stream).map(|k| k.run_from(0)).unwrap_or_default()
    }

    /// Returns how many appends and reads were served or refused.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.lock();
        (state.appends, state.reads)
    }

    fn append(&self, stream: Stream, data: Vec<u8>) -> Result<Offset, LogError> {
        let mut state = self.lock();
        state.appends += 1;
        if state.is_down {
            return Err(outage());
        }
        if state.lost_appends > 0 {
            state.lost_appends -= 1;
            return Err(LogError::NoAnswer(lost()));
        }
        if state.holds_appends {
            state.held.push((stream, data));
            return Err(LogError::NoAnswer(lost()));
        }
        let is_lost = state.lost_answers > 0;
        state.lost_answers -= u32::from(is_lost);
        drop(state);
        let offset = self.push(stream, data);
        if is_lost { Err(LogError::NoAnswer(lost())) } else { Ok(offset) }
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
            if state.is_hasty { Duration::ZERO } else { wait }
        };
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let page = self.page(stream, from)?;
            let is_over = tokio::time::Instant::now() >= deadline;
            if !page.records.is_empty() || is_over {
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
        let kept = state.streams.entry(stream).or_default();
        let records = kept.run_from(from.0);
        let end = kept.first + kept.records.len() as u64;
        Ok(LogPage { first: Offset(kept.first), end: Offset(end), records })
    }

    fn wake(&self) {
        self.version.send_modify(|v| *v += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    fn run_from(&self, from: u64) -> Vec<LogRecord> {
        let skip = from.saturating_sub(self.first);
        let rows = (self.first..).zip(&self.records).skip(skip as usize);
        rows.map(|(o, data)| LogRecord { offset: Offset(o), data: data.clone() }).collect()
    }
}

fn outage() -> LogError {
    LogError::Refused { status: OUTAGE_STATUS, retry_after: None }
}

/// Returns an error of the HTTP library, which only a failed request makes.
fn lost() -> reqwest::Error {
    match reqwest::Client::new().get("no URL").build() {
        Ok(_) => unreachable!("the text is no URL"),
        Err(e) => e,
    }
}
