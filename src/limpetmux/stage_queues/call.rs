//! Sends the calls that the queues schedule, and those that free results.

use super::StageQueues;
use super::exchange::{ExchangeError, exchange};
use crate::core::pieces::{Call, CallEnd, PieceError, PieceOutcome};
use crate::core::read_limits::{Exceeded, MAX_CALL_ANSWER_BYTES, MAX_PIECE_ANSWER_BYTES, Peer};
use crate::core::rollout::evidence::Answer;
use crate::core::server_notices::Incarnation;
use crate::event;
use crate::platform::server::ReplyHead;
use crate::platform::stage;
use crate::serve::connections::Reuse;
use crate::serve::node::Shared;
use crate::serve::quota::QuotaDenied;
use crate::serve::rollout::SendEnd;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::metrics::Metric;
use crate::util::read_stop;
use hyper::StatusCode;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The time allowed for a call that frees results.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long results at a limited backend server are gathered at least.
const FREE_DELAY: Duration = Duration::from_millis(500);
/// The requests of its limit for which they are gathered at least.
const FREE_INTERVALS: u32 = 4;
/// How long freeing them waits for its turn.
const FREE_PATIENCE: Duration = Duration::from_secs(2);

/// Sends one call for pieces and reports its outcome to the queue.
pub(super) async fn run_call(queues: Arc<StageQueues>, service: Arc<str>, call: Call) {
    let running = queues.shared.rollouts.begin_call(&call.server);
    let began = clock::boot();
    let end = match timeout(call.timeout, send(&queues, &service, &call)).await {
        Ok(end) => end,
        Err(_) => {
            event!(EventCode::CallOverdue, server = call.server, pieces = call.items.len());
            let late = Exceeded::time(Peer::StageServer, call.timeout);
            read_stop::record(&queues.shared.metrics, late, &call.server);
            CallEnd::Lost
        }
    };
    let outcome = match &end {
        CallEnd::Answered(_) => "answered",
        CallEnd::Refused => "refused",
        CallEnd::WrongServer => "elsewhere",
        CallEnd::Unsent => "unsent",
        CallEnd::Denied => "denied",
        CallEnd::Lost => "lost",
    };
    record_evidence(&queues.shared, &service, &call, clock::boot().since(began), &end);
    drop(running);
    queues.shared.metrics.count(Metric::SidecarCalls, 1, &[("outcome", outcome)]);
    queues.finish(&service, call.key, end);
}

/// Records how a call ended as evidence on the version of its backend server.
fn record_evidence(
    shared: &Shared,
    service: &Arc<str>,
    call: &Call,
    took: Duration,
    end: &CallEnd,
) {
    let view = shared.view.load();
    if !view.rollouts.concerns(service) {
        return;
    }
    let server = view.listing.get(&call.server).and_then(|l| l.server.as_ref());
    let failed = PieceOutcome::Failed(PieceError::ServerFailed);
    let end = match end {
        CallEnd::Answered(outcomes) if outcomes.contains(&failed) => {
            SendEnd::Answer(Answer::Failed)
        }
        CallEnd::Answered(_) => SendEnd::Answer(Answer::Answered(took)),
        CallEnd::Lost if took >= call.timeout => SendEnd::Answer(Answer::Answered(took)),
        CallEnd::Lost => SendEnd::Broken,
        CallEnd::Refused | CallEnd::WrongServer | CallEnd::Unsent | CallEnd::Denied => return,
    };
    // A cold backend server is slow whatever its version.
    let is_timed = matches!(end, SendEnd::Answer(Answer::Answered(_)));
    if let Some(server) = server.filter(|s| s.cold.is_zero() || !is_timed) {
        shared.record_send(service, server, end);
    }
}

async fn send(queues: &StageQueues, service: &str, call: &Call) -> CallEnd {
    let shared = &queues.shared;
    let request = match stage::run(&call.server, call.addr, &call.items) {
        Ok(request) => request,
        Err(error) => {
            event!(EventCode::CallFailed, server = call.server, reason = error);
            return CallEnd::Lost;
        }
    };
    let limit = MAX_CALL_ANSWER_BYTES + MAX_PIECE_ANSWER_BYTES * call.items.len();
    let view = shared.view.load();
    let server = view.listing.get(&call.server).and_then(|l| l.server.as_ref());
    if let Some(server) = server
        && shared.take_quota("", server, Duration::ZERO).await.is_err()
    {
        return CallEnd::Denied;
    }
    let asked_at = clock::boot();
    let on_head = |head: &ReplyHead| {
        if let Some(server) = server {
            shared.record_notice(server, asked_at, head.notice);
        }
        queues.record_load(service, &call.server, head.load);
    };
    let (connections, reuse) = (&shared.connections, Reuse::Forbidden);
    let answer = exchange(connections, call.addr, request, reuse, limit, on_head).await;
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            record_stop(shared, &error, &call.server);
            event!(EventCode::CallFailed, server = call.server, reason = error);
            return if error.is_unsent() { CallEnd::Unsent } else { CallEnd::Lost };
        }
    };
    let end = stage::decode(answer.head.status, answer.head.not_run, &answer.body);
    log_missing(call, &end);
    end
}

/// Logs and counts an answer that exceeded a bound.
fn record_stop(shared: &Shared, error: &ExchangeError, subject: impl Display) {
    if let Some(exceeded) = error.exceeded() {
        read_stop::record(&shared.metrics, exceeded, subject);
    }
}

/// Logs how many pieces of a call have no result, and why.
fn log_missing(call: &Call, end: &CallEnd) {
    let CallEnd::Answered(outcomes) = end else {
        event!(EventCode::CallRefused, server = call.server, pieces = call.items.len());
        return;
    };
    let count = |why| outcomes.iter().filter(|m| **m == PieceOutcome::Failed(why)).count();
    let (room, late, missing) =
        (count(PieceError::NoRoom), count(PieceError::Late), count(PieceError::InputMissing));
    let failed = count(PieceError::ServerFailed);
    if room + late + missing + failed > 0 {
        event!(
            EventCode::PiecesUnmade,
            server = call.server,
            pieces = outcomes.len(),
            room = room,
            late = late,
            gone = missing,
            failed = failed
        );
    }
}

/// Frees results at a backend server; at one with a limit together with others, so that few of the
/// requests that it accepts are spent on this.
pub(super) async fn free(
    queues: Arc<StageQueues>,
    service: Arc<str>,
    addr: SocketAddr,
    results: Vec<Arc<str>>,
) {
    let shared = &queues.shared;
    let view = shared.view.load();
    let Some(server) = view.listing.servers().find(|s| s.addr == addr) else {
        return send_free(queues, service, addr, results).await;
    };
    let Some(rate) = shared.notices.limit(&Incarnation::of(server)) else {
        return send_free(queues, service, addr, results).await;
    };
    if !queues.delay(addr, results) {
        return;
    }
    sleep((rate.interval() * FREE_INTERVALS).max(FREE_DELAY)).await;
    let permitted = shared.take_quota("", server, FREE_PATIENCE).await;
    let results = queues.take_delayed(addr);
    match permitted {
        Ok(_) => send_free(queues, service, addr, results).await,
        Err(QuotaDenied) => {
            event!(EventCode::FreeFailed, addr = addr, reason = "the limit is used up");
        }
    }
}

/// Asks a backend server to free results that are not needed any more.
///
/// Their memory counts as used until the backend server has confirmed this very call.
async fn send_free(
    queues: Arc<StageQueues>,
    service: Arc<str>,
    addr: SocketAddr,
    results: Vec<Arc<str>>,
) {
    let shared = &queues.shared;
    let view = shared.view.load();
    let server = view.listing.servers().find(|s| s.addr == addr);
    if server.is_some_and(|server| shared.notices.is_held(server)) {
        event!(EventCode::FreeFailed, addr = addr, reason = "the backend server wants no requests");
        return;
    }
    let asked_at = clock::boot();
    let on_head = |head: &ReplyHead| {
        if let Some(server) = server {
            shared.record_notice(server, asked_at, head.notice);
        }
    };
    let call = async {
        let request = stage::free(addr, &results)?;
        let (limit, reuse) = (MAX_CALL_ANSWER_BYTES, Reuse::Allowed);
        let answer = exchange(&queues.freeing, addr, request, reuse, limit, on_head).await?;
        match answer.head.status {
            status if status.is_success() => {
                answer.keep();
                Ok(())
            }
            status => Err(FreeError::Status(status)),
        }
    };
    match timeout(FREE_TIMEOUT, call).await {
        Ok(Ok(())) => {
            if let Some(queue) = queues.lock().get_mut(&service) {
                queue.pieces.release_results(&results);
            }
            queues.step(&service);
        }
        // The backend server drops the results itself when they expire.
        Ok(Err(error)) => {
            if let FreeError::Exchange(error) = &error {
                record_stop(&queues.shared, error, addr);
            }
            event!(EventCode::FreeFailed, addr = addr, reason = error);
        }
        Err(_) => {
            let late = Exceeded::time(Peer::StageServer, FREE_TIMEOUT);
            read_stop::record(&queues.shared.metrics, late, addr);
            event!(EventCode::FreeFailed, addr = addr, reason = "no answer in time");
        }
    }
}

#[derive(Debug, thiserror::Error)]
enum FreeError {
    #[error("the call cannot be built")]
    Call(#[from] stage::CallError),
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    #[error("the answer has status {0}")]
    Status(StatusCode),
}
