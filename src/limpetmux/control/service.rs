//! The event loop that owns the replica.

use super::snapshots::SnapshotDuty;
use super::{ControlMessage, ControlOptions, ControlStatus, PeerUpdate};
use crate::adapters::log::{LogClient, LogError, LogPage, Stream};
use crate::core::config::{FoldError, LogRead, Progress, Replica};
use crate::core::view::View;
use crate::event;
use crate::kernel::Publisher;
use crate::util::clock::now;
use crate::util::event::EventCode;
use futures::FutureExt;
use futures::future::BoxFuture;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

/// The interval at which the snapshot duty is polled.
const TICK: Duration = Duration::from_secs(1);
/// The time that a read may take beyond the long-poll time.
const READ_GRACE: Duration = Duration::from_secs(5);
/// The pause after a read that returned nothing new, in case the log does not long-poll.
const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// The maximum retry time that is accepted from the log.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// The number of consecutive reads without a record after which the identity of the log is checked.
///
/// It is not checked more often because a check reads the last record again, which may be a whole
/// snapshot.
const EMPTY_READS: u32 = 8;

/// A read of the log with its request; `None` means that no answer arrived in time.
type ReadFuture = BoxFuture<'static, (LogRead, Option<Result<LogPage, LogError>>)>;

/// The control service before it is started.
pub struct Service {
    log: LogClient,
    options: ControlOptions,
    queue: mpsc::Receiver<ControlMessage>,
    view: Publisher<View>,
    status: Publisher<ControlStatus>,
    current: ControlStatus,
    /// The last logged fault of a peer's records.
    peer_fault: Option<FoldError>,
    replica: Replica,
    duty: SnapshotDuty,
    /// The number of consecutive reads that returned no record.
    empty_reads: u32,
}

impl Service {
    pub(super) fn new(
        log: LogClient,
        options: ControlOptions,
        queue: mpsc::Receiver<ControlMessage>,
        view: Publisher<View>,
        status: Publisher<ControlStatus>,
    ) -> Self {
        let duty = SnapshotDuty::new(&options, now());
        let current = ControlStatus::default();
        let (replica, peer_fault) = (Replica::new(), None);
        Self {
            log,
            options,
            queue,
            view,
            status,
            current,
            peer_fault,
            replica,
            duty,
            empty_reads: 0,
        }
    }

    /// Runs until the kernel and all ports are dropped.
    pub async fn run(mut self) {
        let mut read = self.read(Duration::ZERO);
        let mut append = futures::future::pending().boxed();
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = self.queue.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                (request, answer) = &mut read => {
                    let delay = self.on_read(request, answer);
                    read = self.read(delay);
                }
                result = &mut append => {
                    self.duty.on_appended(result, now());
                    append = futures::future::pending().boxed();
                }
                _ = ticks.tick() => {
                    if let Some(data) = self.duty.poll(&mut self.replica, &self.view.load(), now()) {
                        append = (self.log.append)(Stream::Config, data);
                    }
                }
            }
        }
    }

    fn read(&self, delay: Duration) -> ReadFuture {
        let request = self.replica.next_read();
        let (read, poll) = (self.log.read.clone(), self.options.poll_timeout);
        async move {
            tokio::time::sleep(delay).await;
            let answer = read(Stream::Config, request.from, poll);
            (request, tokio::time::timeout(poll + READ_GRACE, answer).await.ok())
        }
        .boxed()
    }

    /// Handles the answer to a read and returns how long to wait before the next one.
    fn on_read(&mut self, request: LogRead, answer: Option<Result<LogPage, LogError>>) -> Duration {
        let Some(Ok(page)) = answer else {
            return self.on_unreachable(answer.and_then(Result::err));
        };
        self.on_reachable(&page);
        let records = page.records.iter().map(|r| (r.offset, r.data.as_slice()));
        let result = self.replica.on_page(request, (page.first, page.end), records);
        self.empty_reads = if page.records.is_empty() { self.empty_reads + 1 } else { 0 };
        if self.empty_reads.is_multiple_of(EMPTY_READS) && self.empty_reads > 0 {
            self.replica.suspect_log();
        }
        let fault = result.as_ref().err().cloned();
        log_fault(fault.as_ref(), self.current.fault.as_ref(), EventCode::LogReset);
        let progress = result.unwrap_or_default();
        let delay = match &fault {
            Some(_) => self.options.retry_delay,
            None if progress == Progress::default() => IDLE_PAUSE,
            None => Duration::ZERO,
        };
        self.current.fault = fault;
        self.on_progress(progress);
        delay
    }

    fn on_reachable(&mut self, page: &LogPage) {
        if !self.current.reachable {
            event!(EventCode::LogReachable, end = page.end);
        }
        self.current.reachable = true;
        self.current.end_offset = Some(page.end);
    }

    /// Records a failed read and returns how long to wait before the next one.
    fn on_unreachable(&mut self, error: Option<LogError>) -> Duration {
        let retry_after = match &error {
            Some(LogError::Refused { retry_after, .. }) => retry_after.unwrap_or_default(),
            _ => Duration::ZERO,
        };
        if self.current.reachable || self.current.end_offset.is_none() {
            let reason = error.map_or_else(|| "no answer in time".to_owned(), |e| e.to_string());
            event!(EventCode::LogUnreachable, reason = reason);
        }
        self.current.reachable = false;
        self.replica.suspect_log();
        self.publish();
        self.options.retry_delay.max(retry_after.min(MAX_RETRY_AFTER))
    }

    fn on_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Exchange { peer, reply } => {
                let result = self.exchange(&peer);
                drop(reply.send(result));
            }
            ControlMessage::FindVerdict { id, reply } => {
                drop(reply.send(self.replica.fold().ledger().find(id).cloned()));
            }
        }
    }

    fn exchange(&mut self, peer: &PeerUpdate) -> Result<PeerUpdate, FoldError> {
        let result = self.replica.on_delta(peer.position, &peer.delta);
        let outcome = result.clone().and_then(|_| self.replica.delta_for(peer.position));
        let fault = outcome.as_ref().err().cloned();
        log_fault(fault.as_ref(), self.peer_fault.as_ref(), EventCode::PeerDiverged);
        self.peer_fault = fault.or(self.peer_fault.take());
        self.on_progress(result.unwrap_or_default());
        Ok(PeerUpdate { position: self.replica.position(), delta: outcome? })
    }

    /// Logs the changes that a page or a delta caused and publishes a new revision.
    fn on_progress(&mut self, progress: Progress) {
        self.log_progress(&progress);
        let has_gap = self.replica.has_gap();
        if has_gap && !self.current.has_gap {
            event!(EventCode::RecordsMissing, first = self.replica.log_first());
        }
        self.current.has_gap = has_gap;
        self.duty.observe(&self.replica, now());
        self.publish();
    }

    fn log_progress(&self, progress: &Progress) {
        if progress.adopted {
            event!(EventCode::SnapshotAdopted, next = self.replica.position().next);
        }
        if progress.rejected > 0 {
            event!(EventCode::ChangeRejected, count = progress.rejected);
        }
        if progress.foreign > 0 {
            event!(EventCode::SnapshotForeign, count = progress.foreign);
        }
    }

    fn publish(&mut self) {
        if let Some((revision, config)) = self.replica.in_force()
            && revision > self.current.revision
        {
            self.view.publish(View::compile(revision, config));
            self.current.revision = revision;
            event!(EventCode::RevisionInForce, revision = revision);
        }
        self.current.position = self.replica.position();
        if *self.status.load() != self.current {
            self.status.publish(self.current.clone());
        }
    }
}

/// Logs a fault unless it equals the last one logged.
fn log_fault(fault: Option<&FoldError>, last: Option<&FoldError>, diverged: EventCode) {
    let Some(fault) = fault.filter(|f| last != Some(*f)) else { return };
    let code = match fault {
        FoldError::Unsupported { .. } => EventCode::FormatUnknown,
        _ => diverged,
    };
    event!(code, reason = fault);
}
