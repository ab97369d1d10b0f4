//! Runs the graceful shutdown of the process.
//!
//! The service starts the shutdown on a signal or a drain request of the admin interface, advances
//! the [`Shutdown`] state machine and calls the role's hooks. Its future completes when the process
//! may exit.

use crate::core::shutdown::{DrainReport, Phase, Shutdown, ShutdownAction, ShutdownOptions};
use crate::event;
use crate::kernel::{Kernel, KernelError, Port, Published, Publisher, ServiceId};
use crate::util::clock;
use crate::util::event::EventCode;
use futures::future::BoxFuture;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The capacity of the queue of drain requests.
const QUEUE_MESSAGES: usize = 16;
/// The interval at which the number of running requests is checked.
const TICK: Duration = Duration::from_millis(10);

/// A message to the shutdown service.
#[derive(Debug)]
pub enum ShutdownMessage {
    /// Drains and exits, within a deadline if one is given; the reply is sent just before the exit.
    Drain {
        /// The maximum time for running requests.
        deadline: Option<Duration>,
        /// Receives the report.
        reply: oneshot::Sender<DrainReport>,
    },
}

/// The callbacks of a role for the steps of its shutdown.
#[derive(Clone)]
pub struct ShutdownHooks {
    /// Makes readiness checks fail.
    pub unready: Arc<dyn Fn() + Send + Sync>,
    /// Makes the role refuse new work as not run.
    pub refuse: Arc<dyn Fn() + Send + Sync>,
    /// Answers all running requests at once.
    pub answer: Arc<dyn Fn() + Send + Sync>,
    /// Returns the number of running requests.
    pub running: Arc<dyn Fn() -> u32 + Send + Sync>,
    /// Sends the pending records to the platform; returns whether all were delivered.
    pub flush: Arc<dyn Fn() -> BoxFuture<'static, bool> + Send + Sync>,
}

/// The shutdown service, registered but not running yet.
pub struct ShutdownService {
    queue: mpsc::Receiver<ShutdownMessage>,
    state: Shutdown,
    hooks: ShutdownHooks,
    phase: Publisher<Phase>,
    waiting: Vec<oneshot::Sender<DrainReport>>,
    flush: Option<BoxFuture<'static, bool>>,
}

/// A handle that requests the shutdown of the process and reads its phase.
#[derive(Clone, Debug)]
pub struct ShutdownHandle {
    port: Port<ShutdownMessage>,
    phase: Published<Phase>,
}

impl ShutdownHandle {
    /// Starts the drain and waits for its report.
    ///
    /// # Errors
    /// Returns [`KernelError::Ended`] if the process ended before the report.
    pub async fn drain(&self, deadline: Option<Duration>) -> Result<DrainReport, KernelError> {
        self.port.ask(|reply| ShutdownMessage::Drain { deadline, reply }).await
    }

    /// Returns the current phase of the shutdown.
    pub fn phase(&self) -> Phase {
        *self.phase.load()
    }
}

/// Registers the service; the main task of the process must await [`ShutdownService::run`].
///
/// # Errors
/// Returns [`KernelError::AlreadyRegistered`] if the process already has a shutdown service.
pub fn register(
    kernel: &Kernel,
    options: ShutdownOptions,
    hooks: ShutdownHooks,
) -> Result<(ShutdownService, ShutdownHandle), KernelError> {
    let queue = kernel.register(ServiceId::Shutdown, QUEUE_MESSAGES)?;
    let port = kernel.find(ServiceId::Shutdown)?;
    let phase = Publisher::new(Phase::Running);
    let reader = phase.reader();
    let state = Shutdown::new(options);
    let service = ShutdownService { queue, state, hooks, phase, waiting: Vec::new(), flush: None };
    Ok((service, ShutdownHandle { port, phase: reader }))
}

impl ShutdownService {
    /// Waits for a drain request or `signal`, such as SIGTERM, runs the shutdown and returns once
    /// the process may exit.
    pub async fn run(mut self, signal: impl Future<Output = ()>) -> DrainReport {
        tokio::pin!(signal);
        let message = tokio::select! {
            () = &mut signal => None,
            message = self.queue.recv() => message,
        };
        let mut is_open = true;
        let mut report = self.on_message(message);
        while report.is_none() {
            report = tokio::select! {
                message = self.queue.recv(), if is_open => {
                    is_open = message.is_some();
                    self.on_message(message)
                }
                is_complete = run_flush(&mut self.flush) => {
                    self.flush = None;
                    let actions = self.state.flush_ended(clock::now(), is_complete);
                    self.perform(actions)
                }
                () = tokio::time::sleep(TICK) => {
                    let actions = self.state.tick(clock::now(), (self.hooks.running)());
                    self.perform(actions)
                }
            };
        }
        self.finish(report.unwrap_or_default())
    }

    fn on_message(&mut self, message: Option<ShutdownMessage>) -> Option<DrainReport> {
        let deadline = match message {
            Some(ShutdownMessage::Drain { deadline, reply }) => {
                self.waiting.push(reply);
                deadline
            }
            None => None,
        };
        let actions = self.state.begin(clock::now(), deadline);
        self.perform(actions)
    }

    fn perform(&mut self, actions: Vec<ShutdownAction>) -> Option<DrainReport> {
        let mut report = None;
        for action in actions {
            match action {
                ShutdownAction::Unready => {
                    event!(EventCode::DrainStarted, running = (self.hooks.running)());
                    (self.hooks.unready)();
                }
                ShutdownAction::Refuse => (self.hooks.refuse)(),
                ShutdownAction::Answer => (self.hooks.answer)(),
                ShutdownAction::Flush => self.flush = Some((self.hooks.flush)()),
                ShutdownAction::Exit(result) => report = Some(result),
            }
        }
        self.publish();
        report
    }

    fn publish(&self) {
        if *self.phase.load() != self.state.phase() {
            self.phase.publish(self.state.phase());
        }
    }

    fn finish(mut self, report: DrainReport) -> DrainReport {
        let (unfinished, flushed) = (report.unfinished, report.flushed);
        if report.is_clean() {
            event!(EventCode::DrainEnded, took_us = report.took_us);
        } else {
            event!(EventCode::DrainUnfinished, unfinished = unfinished, flushed = flushed);
        }
        for reply in self.waiting.drain(..) {
            // The send fails if the operator no longer waits.
            let _ = reply.send(report);
        }
        report
    }
}

async fn run_flush(flush: &mut Option<BoxFuture<'static, bool>>) -> bool {
    match flush {
        Some(flush) => flush.await,
        None => std::future::pending().await,
    }
}
