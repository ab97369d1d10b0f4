//! Claims the memory that requests take, and ends uploads that have to make room.
//!
//! The rules are in [`crate::core::memory`] and `docs/design/memory.md`; here are the lock, the releases on drop, and the signal to
//! the task that reads an upload which was ended.

use crate::core::memory::{ClaimKey, EndedUpload, MemoryFull, MemoryLedger};
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::metrics::{Metric, Metrics};
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use strum::IntoStaticStr;
use tokio::sync::Notify;

/// What memory is claimed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Use {
    /// The head of a request.
    Head,
    /// The parts of a prompt.
    Prompt,
    /// The body of a request.
    Body,
    /// The beginning of an answer.
    Answer,
    /// An upload that made no progress, ended in favour of another one.
    StoppedUpload,
}

#[derive(Debug)]
struct State {
    ledger: MemoryLedger,
    /// The uploads that are being read, each with what ends it.
    uploads: BTreeMap<ClaimKey, Arc<Notify>>,
}

/// The memory that a process holds for its callers; cheap to clone.
#[derive(Clone)]
pub struct Memory {
    state: Arc<Mutex<State>>,
    metrics: Metrics,
}

/// Claimed memory, which is released when this value is dropped.
pub struct Reservation {
    memory: Memory,
    key: ClaimKey,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.ledger.release(self.key);
        state.uploads.remove(&self.key);
    }
}

impl Reservation {
    /// Returns bytes whose memory is claimed until the last copy of them is dropped.
    pub fn cover(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Claimed { bytes, _reservation: self })
    }
}

/// Claimed memory for a body that is being read.
pub struct Upload {
    reservation: Reservation,
    claimed: usize,
    ended: Arc<Notify>,
}

impl Memory {
    /// Creates an empty ledger with a bound in bytes.
    pub fn new(limit: usize, metrics: Metrics) -> Self {
        let state = State { ledger: MemoryLedger::new(limit), uploads: BTreeMap::new() };
        Self { state: Arc::new(Mutex::new(state)), metrics }
    }

    /// Changes the bound.
    pub fn set_limit(&self, limit: usize) {
        self.lock().ledger.set_limit(limit);
    }

    /// Claims bytes until the reservation is dropped.
    ///
    /// # Errors
    /// Returns [`MemoryFull`] if there is no room.
    pub fn reserve(&self, bytes: usize) -> Result<Reservation, MemoryFull> {
        let mut stopped = Vec::new();
        let key = {
            let mut state = self.lock();
            let key = state.ledger.claim(bytes, clock::boot(), &mut stopped);
            state.end(&stopped);
            key
        };
        self.record_ended(&stopped);
        Ok(Reservation { memory: self.clone(), key: key? })
    }

    /// Claims bytes for a body that is about to be read.
    ///
    /// # Errors
    /// Returns [`MemoryFull`] if there is no room.
    pub fn begin_upload(&self, bytes: usize) -> Result<Upload, MemoryFull> {
        let mut stopped = Vec::new();
        let ended = Arc::new(Notify::new());
        let key = {
            let mut state = self.lock();
            let key = state.ledger.begin_upload(bytes, clock::boot(), &mut stopped);
            state.end(&stopped);
            key.inspect(|key| drop(state.uploads.insert(*key, Arc::clone(&ended))))
        };
        self.record_ended(&stopped);
        let reservation = Reservation { memory: self.clone(), key: key? };
        Ok(Upload { reservation, claimed: bytes, ended })
    }

    /// Logs and counts a request or an answer that there was no room for.
    pub fn record_refusal(&self, claimed: Use, full: MemoryFull, request: &str) {
        self.metrics.count(Metric::MemoryRefusals, 1, &[("use", claimed.into())]);
        event!(
            EventCode::MemoryFull,
            request = request,
            claimed = claimed,
            held = full.held,
            limit = full.limit
        );
    }

    fn record_ended(&self, stopped: &[EndedUpload]) {
        for upload in stopped {
            let tags = [("use", Use::StoppedUpload.into())];
            self.metrics.count(Metric::MemoryRefusals, 1, &tags);
            event!(EventCode::UploadEnded, bytes = upload.bytes);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Signals uploads whose claims the ledger has released.
    fn end(&mut self, stopped: &[EndedUpload]) {
        let signals = stopped.iter().filter_map(|upload| self.uploads.remove(&upload.key));
        signals.for_each(|signal| signal.notify_one());
    }
}

impl Upload {
    /// Waits until the upload has to end in favour of another one.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }

    /// Records that bytes have arrived.
    pub fn progress(&self, bytes: usize) {
        let Reservation { memory, key } = &self.reservation;
        memory.lock().ledger.progress(*key, bytes, clock::boot());
    }

    /// Claims enough for `needed` bytes: at least twice as much as before, but no more than `most`.
    ///
    /// # Errors
    /// Returns [`MemoryFull`] if there is no room.
    pub fn cover(&mut self, needed: usize, most: usize) -> Result<(), MemoryFull> {
        if needed > self.claimed {
            let claimed = (2 * self.claimed).max(needed).min(most);
            self.grow(claimed - self.claimed)?;
            self.claimed = claimed;
        }
        Ok(())
    }

    fn grow(&self, more: usize) -> Result<(), MemoryFull> {
        let Reservation { memory, key } = &self.reservation;
        let mut stopped = Vec::new();
        let grown = {
            let mut state = memory.lock();
            let grown = state.ledger.grow(*key, more, clock::boot(), &mut stopped);
            state.end(&stopped);
            grown
        };
        memory.record_ended(&stopped);
        grown
    }

    /// Returns the whole body; its memory is claimed until the last copy of it is dropped.
    pub fn finish(self, bytes: BytesMut) -> Bytes {
        let Reservation { memory, key } = &self.reservation;
        memory.lock().ledger.end_upload(*key, bytes.capacity());
        self.reservation.cover(bytes.freeze())
    }
}

/// Bytes with the claim on their memory.
struct Claimed {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Claimed {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
