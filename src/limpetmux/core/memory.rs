//! The memory that a process holds for its callers, and who gets it when it is short.
//!
//! Heads, bodies and answers are claimed here before they are held, and released afterwards. Up to half
//! of the bound nothing is limited. Above, large bodies are refused, uploads that have stopped are ended
//! in favour of new ones, and one body of any legal size still has room. `docs/design/memory.md`
//! explains the rules.

use super::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// The part of a process's memory that is held for callers: one of this number.
pub const CALLER_PART: usize = 4;
/// The bytes up to which a claim counts as small; small ones are granted up to the whole bound.
pub const SMALL_BYTES: usize = 64 * 1024;
/// The bytes of an upload that count as progress.
pub const PROGRESS_BYTES: usize = 16 * 1024;
/// The time without progress after which an upload may be ended in favour of another claim.
pub const STALL_TIME: Duration = Duration::from_secs(1);
/// What the parsed form of a header takes besides its text, in bytes.
const FIELD_BYTES: usize = 192;

/// The least bound that an operator may state, in bytes.
pub const MIN_CALLER_BYTES: usize = 4 * SMALL_BYTES;

/// Why a stated bound on the memory for callers cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("the limit on memory for callers of {bytes} bytes is not from {least} to {memory} bytes")]
#[diagnostic(help("the limit is a whole number of bytes within the process's memory"))]
pub struct CallerBytesError {
    /// The stated value.
    pub bytes: usize,
    /// The least value that can be used.
    pub least: usize,
    /// The memory that the process may use.
    pub memory: usize,
}

/// Returns the bound on the memory for callers of a process that may use `memory` bytes in all: the
/// one that the operator states, or a part of the whole.
///
/// # Errors
/// Returns [`CallerBytesError`] if the stated one cannot be used.
pub fn caller_bytes(memory: usize, stated: Option<usize>) -> Result<usize, CallerBytesError> {
    match stated {
        Some(bytes) if !(MIN_CALLER_BYTES..=memory).contains(&bytes) => {
            Err(CallerBytesError { bytes, least: MIN_CALLER_BYTES, memory })
        }
        Some(bytes) => Ok(bytes),
        None => Ok(memory / CALLER_PART),
    }
}

/// There is no room for a claim now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{held} of {limit} bytes for callers are held")]
pub struct MemoryFull {
    /// The bytes that are held.
    pub held: usize,
    /// The bound on them.
    pub limit: usize,
}

/// Identifies a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimKey(u64);

/// An upload that was ended in favour of a new claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedUpload {
    /// Its claim, which is released already.
    pub key: ClaimKey,
    /// The bytes that it had claimed.
    pub bytes: usize,
}

/// An upload that has not ended.
#[derive(Clone, Copy, Debug)]
struct Upload {
    /// When it last made progress.
    progressed: Moment,
    /// The bytes that arrived since then.
    arrived: usize,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    bytes: usize,
    upload: Option<Upload>,
}

impl Claim {
    /// Returns whether it is an upload that has made no progress for [`STALL_TIME`].
    fn is_stopped(&self, now: Moment) -> bool {
        self.upload.is_some_and(|upload| now.since(upload.progressed) >= STALL_TIME)
    }
}

/// The claims on the memory that a process holds for its callers.
#[derive(Debug)]
pub struct MemoryLedger {
    limit: usize,
    held: usize,
    next: u64,
    claims: BTreeMap<ClaimKey, Claim>,
    /// The claim above half of the bound that is not small.
    reserve: Option<ClaimKey>,
}

impl MemoryLedger {
    /// Creates a ledger with a bound in bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, held: 0, next: 0, claims: BTreeMap::new(), reserve: None }
    }

    /// Changes the bound; what is held stays so.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Claims bytes that are there at once; uploads that have stopped are ended for them.
    ///
    /// # Errors
    /// Returns [`MemoryFull`] if there is no room and no upload has stopped.
    pub fn claim(
        &mut self,
        bytes: usize,
        now: Moment,
        ended: &mut Vec<EndedUpload>,
    ) -> Result<ClaimKey, MemoryFull> {
        let kept = self.held - self.stopped_bytes(None, now);
        if !self.has_room(bytes) && kept + bytes > self.bound(bytes) {
            return Err(self.full());
        }
        while !self.has_room(bytes) {
            self.end_stopped(None, now, ended)?;
        }
        Ok(self.insert(bytes, None))
    }

    /// Claims bytes that a caller is about to send; uploads that have stopped are ended for them.
    ///
    /// # Errors
    /// Returns [`MemoryFull`] if there is no room and no upload has stopped.
    pub fn begin_upload(
        &mut self,
        bytes: usize,
        now: Moment,
        ended: &mut Vec<EndedUpload>,
    ) -> Result<ClaimKey, MemoryFull> {
        let in_reserve = self.make_room(bytes, None, now, ended)?;
        let key = self.insert(bytes, Some(Upload { progressed: now, arrived: 0 }));
        if in_reserve {
            self.reserve = Some(key);
        }
        Ok(key)
    }

    /// Claims more bytes for an upload whose length is not known.
    ///
    /// # Errors
    /// Returns [`MemoryFull`] if there is no room and no other upload has stopped.
    pub fn grow(
        &mut self,
        key: ClaimKey,
        more: usize,
        now: Moment,
        ended: &mut Vec<EndedUpload>,
    ) -> Result<(), MemoryFull> {
        let bytes = self.claims.get(&key).map_or(0, |c| c.bytes);
        let in_reserve = match bytes + more <= SMALL_BYTES {
            true => false,
            false => self.make_room(more, Some(key), now, ended)?,
        };
        let Some(claim) = self.claims.get_mut(&key) else { return Err(self.full()) };
        claim.bytes += more;
        self.held += more;
        if in_reserve {
            self.reserve = Some(key);
        }
        Ok(())
    }

    /// Records that bytes of an upload have arrived.
    pub fn progress(&mut self, key: ClaimKey, bytes: usize, now: Moment) {
        let upload = self.claims.get_mut(&key).and_then(|c| c.upload.as_mut());
        let Some(upload) = upload else { return };
        upload.arrived += bytes;
        if upload.arrived >= PROGRESS_BYTES {
            *upload = Upload { progressed: now, arrived: 0 };
        }
    }

    /// Records that an upload is whole; of its claim, at most `bytes` stay.
    pub fn end_upload(&mut self, key: ClaimKey, bytes: usize) {
        let Some(claim) = self.claims.get_mut(&key) else { return };
        let unused = claim.bytes.saturating_sub(bytes);
        claim.bytes -= unused;
        claim.upload = None;
        self.held -= unused;
    }

    /// Releases a claim; one that was ended is released already.
    pub fn release(&mut self, key: ClaimKey) {
        if let Some(claim) = self.claims.remove(&key) {
            self.held -= claim.bytes;
        }
        if self.reserve == Some(key) {
            self.reserve = None;
        }
    }

    /// Returns whether a claim is granted without the reserve and without ending an upload.
    fn has_room(&self, bytes: usize) -> bool {
        self.held + bytes <= self.bound(bytes)
    }

    /// Returns up to where claims of a size are granted without the reserve.
    fn bound(&self, bytes: usize) -> usize {
        if bytes <= SMALL_BYTES { self.limit } else { self.limit / 2 }
    }

    /// Returns whether the upload that holds the reserve may be ended for another claim.
    fn is_reserve_stopped(&self, now: Moment) -> bool {
        let claim = self.reserve.and_then(|key| self.claims.get(&key));
        claim.is_some_and(|claim| claim.is_stopped(now))
    }

    /// Returns the bytes of the uploads that may be ended for another claim.
    fn stopped_bytes(&self, own: Option<ClaimKey>, now: Moment) -> usize {
        let others = self.claims.iter().filter(|(key, _)| Some(**key) != own);
        others.filter(|(_, claim)| claim.is_stopped(now)).map(|(_, claim)| claim.bytes).sum()
    }

    /// Makes room for a claim or for more bytes of `own`; returns whether it takes the reserve.
    fn make_room(
        &mut self,
        bytes: usize,
        own: Option<ClaimKey>,
        now: Moment,
        ended: &mut Vec<EndedUpload>,
    ) -> Result<bool, MemoryFull> {
        let is_own = own.is_some() && self.reserve == own;
        let kept = self.held - self.stopped_bytes(own, now);
        let has_reserve = self.reserve.is_none() || self.is_reserve_stopped(now);
        let suffices = kept + bytes <= self.bound(bytes) || (has_reserve && kept <= self.limit);
        if !is_own && !suffices {
            return Err(self.full());
        }
        while !self.has_room(bytes) {
            if is_own || (self.reserve.is_none() && self.held <= self.limit) {
                return Ok(true);
            }
            self.end_stopped(own, now, ended)?;
        }
        Ok(false)
    }

    /// Ends the upload that stopped longest ago.
    fn end_stopped(
        &mut self,
        own: Option<ClaimKey>,
        now: Moment,
        ended: &mut Vec<EndedUpload>,
    ) -> Result<(), MemoryFull> {
        let stopped = self.longest_stopped(own, now).ok_or(self.full())?;
        ended.push(stopped);
        self.release(stopped.key);
        Ok(())
    }

    /// Returns the upload that has made no progress for the longest time, if it counts as stopped.
    fn longest_stopped(&self, own: Option<ClaimKey>, now: Moment) -> Option<EndedUpload> {
        let uploads = self.claims.iter().filter(|(key, _)| Some(**key) != own);
        let uploads = uploads.filter_map(|(key, c)| Some((c.upload?.progressed, *key, c.bytes)));
        let (progressed, key, bytes) = uploads.min_by_key(|(progressed, ..)| *progressed)?;
        (now.since(progressed) >= STALL_TIME).then_some(EndedUpload { key, bytes })
    }

    fn insert(&mut self, bytes: usize, upload: Option<Upload>) -> ClaimKey {
        let key = ClaimKey(self.next);
        self.next += 1;
        self.held += bytes;
        self.claims.insert(key, Claim { bytes, upload });
        key
    }

    fn full(&self) -> MemoryFull {
        MemoryFull { held: self.held, limit: self.limit }
    }
}

/// Returns the bytes that the parsed head of a request takes; `text` is the length of its headers.
pub fn head_bytes(fields: usize, text: usize) -> usize {
    // Headers that are forwarded are held a second time.
    2 * (text + fields * FIELD_BYTES)
}
