//! Plain answers: a short one is read to its end before the caller gets any of it, so that a broken
//! one can be replaced or sent again. A longer one is passed on as it arrives, within its bounds, and so
//! is one that the memory for callers has no room for.

use super::attempt::{Attempt, finish_cut};
use super::connections::ActiveConnection;
use super::forward::SendOutcome;
use super::request::Running;
use super::stream::{ForwardedBody, Received, StreamEnd, StreamHooks, read_error};
use crate::core::memory::MemoryFull;
use crate::core::placement::PlaceEnd;
use crate::core::read_limits::{
    BACKEND_READ_BYTES, Bound, Exceeded, HELD_ANSWER_BYTES, Peer, UNCLAIMED_ANSWER_BYTES,
};
use crate::platform::server::{self, ReplyHead};
use crate::util::clock;
use crate::util::memory::{Reservation, Use};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::body::{Body as _, Incoming};
use hyper::http::response::Parts;

/// The memory of an answer that is held, unless it states a shorter length. It is more than a small
/// claim, so that such answers leave half of the memory for callers to heads and small bodies.
const ANSWER_CLAIM: usize = HELD_ANSWER_BYTES + BACKEND_READ_BYTES;

/// The beginning of a body.
enum Held {
    /// The whole body.
    Whole(Bytes),
    /// More bytes than are held; the rest has not been read.
    Begun(Bytes),
}

/// Reads a short answer to its end before the caller gets any of it, and passes on a longer one.
pub async fn read(
    mut attempt: Attempt,
    answer: Response<Incoming>,
    connection: ActiveConnection,
    head: &ReplyHead,
) -> SendOutcome {
    let (mut parts, mut body) = answer.into_parts();
    server::strip(&mut parts);
    let mut received = Received::new(head.framing);
    let limit = attempt.limits.plain;
    if body.size_hint().lower() > limit as u64 {
        let too_long = Exceeded::count(Peer::BackendServer, Bound::Body, limit);
        attempt.count_answer(&received, StreamEnd::Exceeded(too_long));
        attempt.stop_reading(too_long);
        return SendOutcome::Lost;
    }
    match hold(&attempt, &mut body).await {
        Ok(Held::Whole(_)) if !connection.proves_end(head.framing) => {
            attempt.count_answer(&received, StreamEnd::Truncated);
            attempt.examine_server(received.events.events());
            attempt.fail("the answer ended before its request was sent");
            SendOutcome::Lost
        }
        Ok(Held::Whole(held)) => {
            if !head.closes {
                connection.keep(head.keep_alive);
            }
            received.bytes = held.len();
            finish(attempt, parts, held, (head, &received))
        }
        Ok(Held::Begun(held)) => pass_on(attempt, parts, (held, body, connection), head),
        Err(error) => {
            let end = read_error(&error);
            attempt.count_answer(&received, end);
            match end {
                StreamEnd::Exceeded(exceeded) => attempt.stop_reading(exceeded),
                _ => {
                    attempt.examine_server(received.events.events());
                    attempt.fail(&error.to_string());
                }
            }
            SendOutcome::Lost
        }
    }
}

/// Reads a body to its end, or until more of it has arrived than is held or than there is memory for.
async fn hold(attempt: &Attempt, body: &mut Incoming) -> Result<Held, hyper::Error> {
    // Parts of a body are copied, as each of them may keep a whole buffer of its connection.
    let mut held = Vec::new();
    let mut claim = None;
    let stated = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let size = stated.map_or(ANSWER_CLAIM, |length| length.min(ANSWER_CLAIM));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if claim.is_none() && held.len() + data.len() > UNCLAIMED_ANSWER_BYTES {
            claim = claim_answer(attempt, size);
            if claim.is_some() {
                held.reserve_exact(size.saturating_sub(held.len()));
            }
        }
        held.extend_from_slice(&data);
        let most = if claim.is_some() { HELD_ANSWER_BYTES } else { UNCLAIMED_ANSWER_BYTES };
        if held.len() > most && !body.is_end_stream() {
            return Ok(Held::Begun(cover(claim, held)));
        }
    }
    Ok(Held::Whole(cover(claim, held)))
}

/// Claims the memory of an answer that is held; without it, the answer is passed on as it arrives.
fn claim_answer(attempt: &Attempt, size: usize) -> Option<Reservation> {
    let memory = &attempt.shared.memory;
    let refused = |full: &MemoryFull| {
        memory.record_refusal(Use::Answer, *full, &attempt.routed.head.id);
    };
    memory.reserve(size).inspect_err(refused).ok()
}

fn cover(claim: Option<Reservation>, held: Vec<u8>) -> Bytes {
    let held = Bytes::from(held);
    match claim {
        Some(claim) => claim.cover(held),
        None => held,
    }
}

/// Ends an attempt whose whole answer was read.
fn finish(
    mut attempt: Attempt,
    parts: Parts,
    held: Bytes,
    (head, received): (&ReplyHead, &Received),
) -> SendOutcome {
    attempt.count_answer(received, StreamEnd::Complete);
    let body = Full::new(held).map_err(|never| match never {}).boxed_unsync();
    let answer = Response::from_parts(parts, body);
    if head.status.is_server_error() {
        attempt.fail_answer(head.status.as_str(), head);
        return SendOutcome::Failed(answer);
    }
    let took = clock::boot().since(attempt.began);
    attempt.end(PlaceEnd::Answered(took));
    attempt.record_served(head.status, took, received);
    SendOutcome::Answer(answer)
}

/// Passes on a long answer as it arrives.
///
/// The answer of a failed run waits for the decision whether the request is sent again.
fn pass_on(
    mut attempt: Attempt,
    parts: Parts,
    (held, body, connection): (Bytes, Incoming, ActiveConnection),
    head: &ReplyHead,
) -> SendOutcome {
    let running = Running::new(&attempt.shared);
    let bounds = (attempt.routed.time_left(), attempt.limits);
    let first_latency = attempt.head_at.since(attempt.began);
    let (status, is_failed) = (head.status, head.status.is_server_error());
    if is_failed {
        attempt.fail_answer(status.as_str(), head);
    }
    let on_end = Box::new(move |end: StreamEnd, received: &Received| {
        attempt.count_answer(received, end);
        if end == StreamEnd::Complete && !is_failed {
            attempt.end(PlaceEnd::Answered(first_latency));
            attempt.record_served(status, first_latency, received);
        }
        // The answer of a failed run is also dropped where the request is served by another send.
        if !(is_failed && end == StreamEnd::CallerGone) {
            finish_cut(&mut attempt, end, received);
        }
        drop(running);
    });
    let hooks = StreamHooks { on_first: Box::new(|| {}), on_end };
    let body = ForwardedBody::new(body, connection, head, bounds, hooks).after(held);
    let answer = Response::from_parts(parts, body.boxed_unsync());
    if is_failed { SendOutcome::Failed(answer) } else { SendOutcome::Answer(answer) }
}
