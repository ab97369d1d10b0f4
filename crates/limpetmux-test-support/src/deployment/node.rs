//! One process of a deployment.

use super::wait_for;
use crate::invariants::{Fact, Recorder};
use limpetmux::control::Control;
use limpetmux::core::config::Name;
use limpetmux::core::revision::Revision;
use limpetmux::core::shutdown::DrainReport;
use limpetmux::entry::Entry;
use limpetmux::kernel::Kernel;
use limpetmux::membership::Reporter;
use limpetmux::shutdown::ShutdownHandle;
use limpetmux::sidecar::Sidecar;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;

/// One running process of either role.
pub struct Node<T> {
    /// The role.
    pub role: Arc<T>,
    /// The configuration as this node knows it.
    pub control: Control,
    /// Where operators and peers reach the node.
    pub grpc: SocketAddr,
    /// Where callers reach the node, if it is an entry.
    pub url: String,
    /// What the node knows of hosts.
    pub members: Option<Reporter>,
    pub(super) shutdown: ShutdownHandle,
    pub(super) main: JoinHandle<DrainReport>,
    pub(super) spread: JoinHandle<()>,
    pub(super) forced: Forced,
    pub(super) _kernel: Arc<Kernel>,
}

impl<T> Node<T> {
    /// Drains the process and waits for its end.
    ///
    /// # Panics
    /// Panics if the process fails.
    pub async fn drain(self) -> DrainReport {
        self.drain_within(None).await
    }

    /// Drains the process with a time limit of its own and waits for its end.
    ///
    /// # Panics
    /// Panics if the process fails.
    pub async fn drain_within(self, limit: Option<Duration>) -> DrainReport {
        let _ = self.shutdown.drain(limit).await;
        self.spread.abort();
        let report = match self.main.await {
            Ok(report) => report,
            Err(e) => panic!("{e}"),
        };
        self.forced.end().await;
        report
    }
}

impl<T> Node<T> {
    /// Waits until a revision is in force on the node and recorded as such.
    pub async fn in_force(&self, revision: Revision) {
        wait_for(|| self.forced.recorded.load(Ordering::SeqCst) >= revision.0).await;
    }
}

impl Node<Sidecar> {
    /// Ends the process once its requests have ended.
    ///
    /// When all hosts end together none can hand its keys over, so a drain would wait in vain.
    pub async fn stop(self) {
        wait_for(|| self.role.running() == 0 && self.role.gate().is_idle()).await;
        self.spread.abort();
        self.main.abort();
        let _ = self.main.await;
        self.forced.end().await;
    }
}

impl Node<Entry> {
    /// Returns whether the entry knows that a host takes new work.
    pub fn knows(&self, host: &Name) -> bool {
        let view = self.control.view.load();
        let states = self.members.as_ref().map(Reporter::states).unwrap_or_default();
        view.host(host.as_str()).is_some_and(|key| states.is_usable(&view, key))
    }
}

/// Records each revision that a node puts in force.
pub(super) struct Forced {
    node: String,
    recorder: Recorder,
    /// The last revision that has been recorded.
    recorded: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Forced {
    pub(super) fn follow(node: &str, control: &Control, recorder: &Recorder) -> Self {
        let node = recorder.process(node);
        let (mut views, name, notes) = (control.view.clone(), node.clone(), recorder.clone());
        let recorded = Arc::new(AtomicU64::new(Revision::EMPTY.0));
        let last = Arc::clone(&recorded);
        let task = tokio::spawn(async move {
            loop {
                let revision = views.load().revision;
                if revision != Revision::EMPTY {
                    notes.note(Fact::InForce { node: name.clone(), revision: revision.0 });
                    last.store(revision.0, Ordering::SeqCst);
                }
                if !views.changed().await {
                    return;
                }
            }
        });
        Self { node, recorder: recorder.clone(), recorded, task }
    }

    /// Stops the record with the process.
    async fn end(self) {
        self.task.abort();
        let _ = self.task.await;
        self.recorder.note(Fact::NodeEnded { node: self.node });
    }
}
