//! The loop that owns the replica.

use super::snapshots::SnapshotDuty;
use super::{ControlMessage, ControlOptions, ControlStatus, Exchanged};
use crate::adapters::log::{LogClient, LogError, LogPage, Stream};
use crate::core::config::{Asked, FoldError, Progress, Replica};
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

const TICK: Duration = Duration::from_secs(1);
/// How long a read may exceed the time for which the log may hold it back.
const READ_GRACE: Duration = Duration::from_secs(5);

/// A read of the log with what was asked; `None` means that no answer came in time.
type Read = BoxFuture<'static, (Asked, Option<Result<LogPage, LogError>>)>;

/// The control service before it is started.
pub struct Service {
    log: LogClient,
    options: ControlOptions,
    queue: mpsc::Receiver<ControlMessage>,
    view: Publisher<View>,
    status: Publisher<ControlStatus>,
    current: ControlStatus,
    replica: Replica,
    duty: SnapshotDuty,
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
        Self { log, options, queue, view, status, current, replica: Replica::new(), duty }
    }

    /// Runs until the kernel and all ports are gone.
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
                (asked, answer) = &mut read => {
                    let delay = self.on_read(asked, answer);
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

    fn read(&self, delay: Duration) -> Read {
        let asked = self.replica.ask();
        let (read, poll) = (self.log.read.clone(), self.options.poll);
        async move {
            tokio::time::sleep(delay).await;
            let answer = read(Stream::Config, asked.from, poll);
            (asked, tokio::time::timeout(poll + READ_GRACE, answer).await.ok())
        }
        .boxed()
    }

    /// Handles the answer to a read and returns how long to wait before the next one.
    fn on_read(&mut self, asked: Asked, answer: Option<Result<LogPage, LogError>>) -> Duration {
        let Some(Ok(page)) = answer else {
            self.on_unreachable(answer.and_then(Result::err));
            return self.options.retry;
        };
        self.on_reachable(&page);
        let records = page.records.iter().map(|r| (r.offset, r.data.as_slice()));
        let result = self.replica.on_page(asked, (page.first, page.end), records);
        if page.records.is_empty() {
            self.replica.suspect_log();
        }
        let is_faulty = result.is_err();
        self.on_progress(result, EventCode::LogReset);
        if is_faulty { self.options.retry } else { Duration::ZERO }
    }

    fn on_reachable(&mut self, page: &LogPage) {
        if !self.current.reachable {
            event!(EventCode::LogReachable, end = page.end);
        }
        self.current.reachable = true;
        self.current.end = Some(page.end);
    }

    fn on_unreachable(&mut self, error: Option<LogError>) {
        if self.current.reachable || self.current.end.is_none() {
            let reason = error.map_or_else(|| "no answer in time".to_owned(), |e| e.to_string());
            event!(EventCode::LogUnreachable, reason = reason);
        }
        self.current.reachable = false;
        self.replica.suspect_log();
        self.publish();
    }

    fn on_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Exchange { peer, reply } => {
                let result = self.exchange(&peer);
                drop(reply.send(result));
            }
            ControlMessage::Find { id, reply } => {
                drop(reply.send(self.replica.fold().ledger().find(id).cloned()));
            }
        }
    }

    fn exchange(&mut self, peer: &Exchanged) -> Result<Exchanged, FoldError> {
        let result = self.replica.on_delta(peer.position, &peer.delta);
        let outcome = result.clone().and_then(|_| self.replica.delta_for(peer.position));
        self.on_progress(result, EventCode::PeerDiverged);
        Ok(Exchanged { position: self.replica.position(), delta: outcome? })
    }

    /// Logs what a page or a delta led to and puts a new revision in force.
    fn on_progress(&mut self, result: Result<Progress, FoldError>, diverged: EventCode) {
        match &result {
            Ok(progress) => self.log_progress(progress),
            Err(fault) if self.current.fault.as_ref() != Some(fault) => {
                let code = match fault {
                    FoldError::Unsupported { .. } => EventCode::FormatUnknown,
                    _ => diverged,
                };
                event!(code, reason = fault);
            }
            Err(_) => {}
        }
        self.current.fault = result.err();
        let is_behind = self.replica.is_behind();
        if is_behind && !self.current.behind {
            event!(EventCode::RecordsMissing, first = self.replica.log_first());
        }
        self.current.behind = is_behind;
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
