//! Reads the body of a caller's request within the operator's limit, its time and the memory of the
//! process.
//!
//! Memory is claimed before it is used: for a stated length at once, for chunks as they arrive.

use super::failure::{Failure, Reason};
use super::node::Shared;
use crate::core::memory::{MemoryFull, SMALL_BYTES};
use crate::core::read_limits::{Bound, Exceeded, Peer};
use crate::util::memory::{Memory, Use};
use crate::util::read_stop;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use std::time::Duration;
use tokio::time::timeout;

/// The retry delay for a caller whose request has no room in the memory of the process.
const FULL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why a body was not read to its end.
enum Stop {
    TooLarge,
    Cut,
    Full(MemoryFull),
    /// It made no progress and had to make room.
    Ended,
}

impl From<MemoryFull> for Stop {
    fn from(full: MemoryFull) -> Self {
        Self::Full(full)
    }
}

/// Reads a body of at most `limit` bytes within `time`.
///
/// # Errors
/// Returns a refusal: a request whose body is not whole has been sent nowhere.
pub async fn read(
    shared: &Shared,
    id: &str,
    body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<Bytes, Failure> {
    let exceeded = |exceeded, reason| {
        read_stop::record(&shared.metrics, exceeded, id);
        Failure::new(reason)
    };
    match timeout(time, collect(&shared.memory, body, limit)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(Stop::TooLarge)) => {
            Err(exceeded(Exceeded::count(Peer::Caller, Bound::Body, limit), Reason::BodyTooLarge))
        }
        Ok(Err(Stop::Cut)) => Err(Failure::new(Reason::BodyCut)),
        Ok(Err(Stop::Full(full))) => Err(refuse(shared, Use::Body, full, id)),
        Ok(Err(Stop::Ended)) => Err(Failure::with_retry(Reason::MemoryFull, FULL_RETRY_DELAY)),
        Err(_) => Err(exceeded(Exceeded::time(Peer::Caller, time), Reason::TooLate)),
    }
}

/// Logs, counts and returns the refusal of a request that there is no room for.
pub fn refuse(shared: &Shared, claimed: Use, full: MemoryFull, id: &str) -> Failure {
    shared.memory.record_refusal(claimed, full, id);
    Failure::with_retry(Reason::MemoryFull, FULL_RETRY_DELAY)
}

async fn collect(memory: &Memory, mut body: Incoming, limit: usize) -> Result<Bytes, Stop> {
    let stated = body.size_hint().exact().map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    match stated {
        Some(0) => return Ok(Bytes::new()),
        Some(length) if length > limit => return Err(Stop::TooLarge),
        _ => {}
    }
    let first = stated.unwrap_or(SMALL_BYTES.min(limit));
    let mut upload = memory.begin_upload(first)?;
    let mut whole = BytesMut::with_capacity(stated.unwrap_or_default());
    loop {
        let frame = tokio::select! {
            biased;
            () = upload.ended() => return Err(Stop::Ended),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| Stop::Cut)?.into_data() else { continue };
        if whole.len() + data.len() > limit {
            return Err(Stop::TooLarge);
        }
        upload.cover(whole.len() + data.len(), limit)?;
        whole.extend_from_slice(&data);
        upload.progress(data.len());
    }
    Ok(upload.finish(whole))
}
