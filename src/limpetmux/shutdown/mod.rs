//! Carries out the shutdown of the process.
//!
//! The service receives orders from the signal handler and from the admin interface, drives the
//! [`Shutdown`] and calls the role's hooks. Its future ends when the process may exit.

use crate::core::shutdown::{DrainReport, Phase, Shutdown, ShutdownAction, ShutdownOptions};
use crate::event;
use crate::kernel::{Kernel, KernelError, Port, Published, Publisher, ServiceId};
use crate::util::clock;
use crate::util::event::EventCode;
use futures::future::BoxFuture;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Orders that may wait.
const QUEUE: usize = 16;
/// The time between two looks at the running requests.
const TICK: Duration = Duration::from_millis(10);

/// What the shutdown service receives.
#[derive(Debug)]
pub enum ShutdownMessage {
    /// Drain and exit, within a time if one is given; the reply comes just before the exit.
    Drain {
        /// The time for running requests.
        deadline: Option<Duration>,
        /// Receives the report.
        reply: oneshot::Sender<DrainReport>,
    },
}

/// What a role does at each step of its shutdown.
#[derive(Clone)]
pub struct ShutdownHooks {
    /// Turns readiness off.
    pub unready: Arc<dyn Fn() + Send + Sync>,
    /// Makes the role refuse new work as not run.
    pub refuse: Arc<dyn Fn() + Send + Sync>,
    /// Counts the requests that run.
    pub running: Arc<dyn Fn() -> u32 + Send + Sync>,
    /// Sends outstanding records to the platform; returns whether all arrived.
    pub flush: Arc<dyn Fn() -> BoxFuture<'static, bool> + Send + Sync>,
}

/// The service, registered but not yet run.
pub struct ShutdownService {
    queue: mpsc::Receiver<ShutdownMessage>,
    state: Shutdown,
    hooks: ShutdownHooks,
    phase: Publisher<Phase>,
    waiting: Vec<oneshot::Sender<DrainReport>>,
    flush: Option<BoxFuture<'static, bool>>,
}

/// Access to the shutdown of the process.
#[derive(Clone, Debug)]
pub struct ShutdownPort {
    port: Port<ShutdownMessage>,
    phase: Published<Phase>,
}

impl ShutdownPort {
    /// Orders the drain and waits for its report.
    ///
    /// # Errors
    /// Returns [`KernelError::Ended`] if the process ended before the report.
    pub async fn drain(&self, deadline: Option<Duration>) -> Result<DrainReport, KernelError> {
        self.port.ask(|reply| ShutdownMessage::Drain { deadline, reply }).await
    }

    /// Returns how far the shutdown is.
    pub fn phase(&self) -> Phase {
        *self.phase.load()
    }
}

/// Registers the service; [`ShutdownService::run`] has to be awaited by the process's main task.
///
/// # Errors
/// Returns [`KernelError::Taken`] if the process already has a shutdown service.
pub fn register(
    kernel: &Kernel,
    options: ShutdownOptions,
    hooks: ShutdownHooks,
) -> Result<(ShutdownService, ShutdownPort), KernelError> {
    let queue = kernel.register(ServiceId::Shutdown, QUEUE)?;
    let port = kernel.find(ServiceId::Shutdown)?;
    let phase = Publisher::new(Phase::Running);
    let reader = phase.reader();
    let state = Shutdown::new(options);
    let service = ShutdownService { queue, state, hooks, phase, waiting: Vec::new(), flush: None };
    Ok((service, ShutdownPort { port, phase: reader }))
}

impl ShutdownService {
    /// Waits for an order, carries it out and returns once the process may exit.
    ///
    /// `signal` is the process's own reason to end, such as SIGTERM.
    pub async fn run(mut self, signal: impl Future<Output = ()>) -> DrainReport {
        tokio::pin!(signal);
        let message = tokio::select! {
            () = &mut signal => None,
            message = self.queue.recv() => message,
        };
        let mut open = true;
        let mut report = self.receive(message);
        while report.is_none() {
            report = tokio::select! {
                message = self.queue.recv(), if open => {
                    open = message.is_some();
                    self.receive(message)
                }
                done = run_flush(&mut self.flush) => {
                    self.flush = None;
                    let actions = self.state.flushed(clock::now(), done);
                    self.perform(actions)
                }
                () = tokio::time::sleep(TICK) => {
                    let actions = self.state.tick(clock::now(), (self.hooks.running)());
                    self.perform(actions)
                }
            };
        }
        self.end(report.unwrap_or_default())
    }

    fn receive(&mut self, message: Option<ShutdownMessage>) -> Option<DrainReport> {
        let deadline = match message {
            Some(ShutdownMessage::Drain { deadline, reply }) => {
                self.waiting.push(reply);
                deadline
            }
            None => None,
        };
        let actions = self.state.order(clock::now(), deadline);
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
                ShutdownAction::Flush => self.flush = Some((self.hooks.flush)()),
                ShutdownAction::Exit(done) => report = Some(done),
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

    fn end(mut self, report: DrainReport) -> DrainReport {
        let (unfinished, flushed) = (report.unfinished, report.flushed);
        if report.is_clean() {
            event!(EventCode::DrainEnded, took_us = report.took_us);
        } else {
            event!(EventCode::DrainUnfinished, unfinished = unfinished, flushed = flushed);
        }
        for reply in self.waiting.drain(..) {
            // The operator may have stopped waiting.
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
