//! A node of a deployment.

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

/// A running node of either role.
pub struct Node<T> {
    /// The sidecar or the entry.
    pub role: Arc<T>,
    /// The node's control service, with its view of the configuration.
    pub control: Control,
    /// Address for operators and peers.
    pub grpc_addr: SocketAddr,
    /// Base URL for callers; empty unless the node is an entry.
    pub url: String,
    /// The node's membership, with its states of the hosts.
    pub members: Option<Reporter>,
    pub(super) shutdown: ShutdownHandle,
    pub(super) main: JoinHandle<DrainReport>,
    pub(super) gossip: JoinHandle<()>,
    pub(super) revisions: RevisionRecorder,
    pub(super) _kernel: Arc<Kernel>,
}

impl<T> Node<T> {
    /// Drains the node and waits until it has ended.
    ///
    /// # Panics
    /// Panics if the process fails.
    pub async fn drain(self) -> DrainReport {
        self.drain_within(None).await
    }

    /// Drains the node, optionally with a time limit, and waits until it has ended.
    ///
    /// # Panics
    /// Panics if the process fails.
    pub async fn drain_within(self, limit: Option<Duration>) -> DrainReport {
        let _ = self.shutdown.drain(limit).await;
        self.gossip.abort();
        let report = match self.main.await {
            Ok(report) => report,
            Err(e) => panic!("{e}"),
        };
        self.revisions.end().await;
        report
    }
}

impl<T> Node<T> {
    /// Waits until a revision is recorded as in force on the node.
    pub async fn wait_in_force(&self, revision: Revision) {
        wait_for(|| self.revisions.recorded.load(Ordering::SeqCst) >= revision.0).await;
    }
}

impl Node<Sidecar> {
    /// Stops the node once its requests have ended.
    ///
    /// Does not drain it: when all hosts stop at once none can hand over its keys, so a drain would
    /// only wait for its timeout.
    pub async fn stop(self) {
        wait_for(|| self.role.running() == 0 && self.role.gate().is_idle()).await;
        self.gossip.abort();
        self.main.abort();
        let _ = self.main.await;
        self.revisions.end().await;
    }
}

impl Node<Entry> {
    /// Returns whether the entry considers a host usable for new work.
    pub fn is_host_usable(&self, host: &Name) -> bool {
        let view = self.control.view.load();
        let states = self.members.as_ref().map(Reporter::states).unwrap_or_default();
        view.host(host.as_str()).is_some_and(|key| states.is_usable(&view, key))
    }
}

/// Records each revision that a node puts in force.
pub(super) struct RevisionRecorder {
    node: String,
    recorder: Recorder,
    /// The last recorded revision.
    recorded: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl RevisionRecorder {
    pub(super) fn start(node: &str, control: &Control, recorder: &Recorder) -> Self {
        let node = recorder.next_process_name(node);
        let (mut views, name, journal) = (control.view.clone(), node.clone(), recorder.clone());
        let recorded = Arc::new(AtomicU64::new(Revision::EMPTY.0));
        let last = Arc::clone(&recorded);
        let task = tokio::spawn(async move {
            loop {
                let revision = views.load().revision;
                if revision != Revision::EMPTY {
                    journal.record(Fact::InForce { node: name.clone(), revision: revision.0 });
                    last.store(revision.0, Ordering::SeqCst);
                }
                if !views.changed().await {
                    return;
                }
            }
        });
        Self { node, recorder: recorder.clone(), recorded, task }
    }

    /// Stops recording and records the end of the node.
    async fn end(self) {
        self.task.abort();
        let _ = self.task.await;
        self.recorder.record(Fact::NodeEnded { node: self.node });
    }
}
