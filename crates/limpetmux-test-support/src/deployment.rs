//! A whole deployment of real nodes over TCP in one process, for failure tests.
//!
//! Every node has its own control service, gossip, membership and shutdown, like a process of its
//! own; the nodes share only the stand-ins of the platform. Nodes can be drained and replaced one
//! by one, and a single node can be cut off from the log. The facts of the session are recorded,
//! and [`Deployment::stop`] checks that no guarantee was broken.

mod node;
mod parts;
mod start;

pub use node::Node;
pub use parts::wait_for;

use crate::changes::{change, change_record, first_change};
use crate::invariants::{BackendInfo, Fact, IN_FORCE_LIMIT, Journal, Recorder, violations};
use futures::future::join_all;
use limpetmux::adapters::backend::Backend;
use limpetmux::adapters::log::{LogClient, Stream};
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::config::{Change, Config, Edit, Name};
use limpetmux::core::revision::{Offset, Revision};
use limpetmux::core::shutdown::{DrainReport, ShutdownOptions};
use limpetmux::entry::Entry;
use limpetmux::node::deployment::{COLD_CONCURRENCY, WARMUP};
use limpetmux::node::local::StandIn;
use limpetmux::sidecar::Sidecar;
use limpetmux_standins::{Hosts, Log, LogOptions};
use parts::bind;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Shutdown times of the nodes.
const SHUTDOWN_TIMES: ShutdownOptions = ShutdownOptions {
    notice: Duration::from_millis(1_000),
    deadline: Duration::from_secs(60),
    flush: Duration::from_secs(20),
};

/// Maximum attempts to append a change.
const MAX_APPENDS: u32 = 5;
/// Longer than a change may take to be in force, and its hosts to get no new work.
const SETTLE_TIME: Duration = IN_FORCE_LIMIT.saturating_add(Duration::from_millis(1));

/// Wraps a backend server to inject faults.
pub type BackendWrapper = Arc<dyn Fn(&BackendInfo, Backend) -> Backend + Send + Sync>;

/// A running deployment of one configuration.
pub struct Deployment {
    /// The configuration that was declared first.
    pub config: Config,
    /// The platform's log.
    pub log: Log,
    /// The platform's host list.
    pub hosts: Hosts,
    /// The backend server of each host.
    pub standins: BTreeMap<Name, StandIn>,
    /// The sidecar of each host.
    pub sidecars: BTreeMap<Name, Node<Sidecar>>,
    /// The entries.
    pub entries: Vec<Node<Entry>>,
    /// Records the facts of the session.
    pub recorder: Recorder,
    wrapper: BackendWrapper,
    /// Whether each node is cut off from the log.
    log_cuts: BTreeMap<String, Arc<AtomicBool>>,
    /// The availability zones that are out of service.
    zones_out: BTreeSet<String>,
    change_count: u64,
    revision: Revision,
}

impl Deployment {
    /// Starts the hosts of a configuration, each with a backend server and a sidecar, and entries.
    ///
    /// # Panics
    /// Panics if a part does not start.
    pub async fn start(config: Config, entries: usize) -> Self {
        Self::start_with(config, entries, Arc::new(|_, backend| backend)).await
    }

    /// Starts a deployment whose backend servers are wrapped by `wrapper`.
    ///
    /// # Panics
    /// Panics if a part does not start.
    pub async fn start_with(mut config: Config, entries: usize, wrapper: BackendWrapper) -> Self {
        let mut listeners = Vec::new();
        for (name, host) in &mut config.hosts {
            let listener = bind(0).await;
            host.sidecar = listener.local_addr().unwrap();
            listeners.push((name.clone(), listener));
        }
        let mut standins = BTreeMap::new();
        for (name, host) in &config.hosts {
            let kind = config.services[&host.service].kind;
            standins.insert(name.clone(), StandIn::start(kind).await.unwrap());
        }
        let log = Log::start(LogOptions::default()).await.unwrap();
        let hosts = Hosts::start(0, Duration::ZERO).await.unwrap();
        let mut deployment = Self {
            log,
            hosts,
            standins,
            sidecars: BTreeMap::new(),
            entries: Vec::new(),
            recorder: Recorder::default(),
            wrapper,
            log_cuts: BTreeMap::new(),
            zones_out: BTreeSet::new(),
            change_count: 0,
            revision: Revision::EMPTY,
            config,
        };
        let first = change_record(first_change(&deployment.config));
        deployment.revision = deployment.append(first).await;
        for (name, listener) in listeners {
            let node = deployment.start_sidecar(&name, listener).await;
            deployment.sidecars.insert(name, node);
        }
        for index in 0..entries {
            let node = deployment.start_entry(index).await;
            deployment.entries.push(node);
        }
        deployment.wait_in_force(deployment.revision).await;
        for entry in &deployment.entries {
            wait_for(|| entry.role.is_ready()).await;
            wait_for(|| deployment.config.hosts.keys().all(|host| entry.is_host_usable(host)))
                .await;
        }
        deployment
    }

    /// Appends a change of the configuration and returns the resulting revision.
    ///
    /// # Panics
    /// Panics if the log refuses the append.
    pub async fn change(&mut self, edits: Vec<Edit>) -> Revision {
        self.change_count += 1;
        let offset = Offset(self.log.end("config"));
        let change = change(u128::from(self.change_count), self.revision, offset, edits);
        // The small configuration has two zones, so taking one out counts as dangerous.
        let change = Change { force: true, ..change };
        self.revision = self.append(change_record(change)).await;
        self.revision
    }

    /// Puts an availability zone in or out of service.
    pub async fn set_zone(&mut self, zone: &str, serving: bool) -> Revision {
        let edit = crate::changes::zone_edit(&self.config, zone, serving);
        if serving {
            self.zones_out.remove(zone);
        } else {
            self.zones_out.insert(zone.to_owned());
        }
        self.recorder.record(Fact::Zone { zone: zone.to_owned(), serving });
        self.change(vec![edit]).await
    }

    /// Waits until a revision is in force on all nodes.
    ///
    /// If it is the last one, also waits until the zones out of service are idle, and advances the
    /// recorder past the time in which nodes may still act on an older revision.
    pub async fn wait_in_force(&self, revision: Revision) {
        join_all(self.sidecars.values().map(|n| n.wait_in_force(revision))).await;
        join_all(self.entries.iter().map(|n| n.wait_in_force(revision))).await;
        if revision < self.revision {
            return;
        }
        for host in self.zones_out.iter().flat_map(|zone| self.zone_hosts(zone)) {
            let Some(node) = self.sidecars.get(&host) else { continue };
            wait_for(|| node.role.gate().is_idle()).await;
        }
        self.recorder.advance(SETTLE_TIME);
    }

    /// Restarts a backend server without notice and waits until its sidecar has detected that.
    pub async fn restart_backend(&self, host: &Name) {
        let (backend, gate) = (self.standins[host].backend(), self.sidecars[host].role.gate());
        let warm_at = Instant::now() + WARMUP;
        backend.turn_cold();
        wait_for(|| gate.load().incarnation == backend.incarnation()).await;
        self.recorder.record_cold(host.as_str(), COLD_CONCURRENCY as usize, warm_at);
    }

    /// Returns how often each key ran on all hosts together.
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for standin in self.standins.values() {
            let StandIn::Plain(plain) = standin else { continue };
            for (key, count) in plain.keys() {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }

    /// Cuts a node off from the log or reconnects it.
    pub fn set_log_cut(&self, node: &str, cut: bool) {
        self.log_cuts[node].store(cut, Ordering::SeqCst);
    }

    /// Returns the names of all nodes.
    pub fn node_names(&self) -> Vec<String> {
        self.log_cuts.keys().cloned().collect()
    }

    /// Returns the hosts of an availability zone.
    pub fn zone_hosts(&self, zone: &str) -> Vec<Name> {
        let hosts = self.config.hosts.iter().filter(|(_, h)| h.zone.as_str() == zone);
        hosts.map(|(name, _)| name.clone()).collect()
    }

    /// Drains a sidecar, starts its replacement at the same address and waits until all entries
    /// consider the host usable, as an operator does before the next restart.
    ///
    /// # Panics
    /// Panics if the host is not declared.
    pub async fn restart_sidecar(&mut self, name: &Name) -> DrainReport {
        let Some(old) = self.sidecars.remove(name) else { panic!("no sidecar {name}") };
        let port = old.grpc_addr.port();
        let draining = |is_draining| Fact::Draining { host: name.to_string(), is_draining };
        self.recorder.record(draining(true));
        let report = old.drain().await;
        self.wait_in_force(self.revision).await;
        self.recorder.record(draining(false));
        let node = self.start_sidecar(name, bind(port).await).await;
        self.sidecars.insert(name.clone(), node);
        for entry in &self.entries {
            wait_for(|| entry.is_host_usable(name)).await;
        }
        report
    }

    /// Starts a replacement of an entry and drains the old one. `urls` are the entries that a load
    /// balancer sends to; they change with the readiness of both, as a balancer would see it.
    ///
    /// # Panics
    /// Panics if the lock of `urls` is poisoned or the old entry fails to drain.
    pub async fn restart_entry(&mut self, index: usize, urls: &Mutex<Vec<String>>) -> DrainReport {
        let node = self.start_entry(index).await;
        wait_for(|| node.role.is_ready()).await;
        urls.lock().unwrap().push(node.url.clone());
        let old = std::mem::replace(&mut self.entries[index], node);
        let (role, url) = (Arc::clone(&old.role), old.url.clone());
        let drained = tokio::spawn(old.drain());
        wait_for(|| !role.is_ready()).await;
        urls.lock().unwrap().retain(|u| *u != url);
        drained.await.unwrap()
    }

    /// Stops all nodes and checks that no guarantee was broken.
    ///
    /// # Panics
    /// Panics if a guarantee was broken.
    pub async fn stop(self) {
        let journal = self.stop_unchecked().await;
        assert_eq!(violations(&journal), []);
    }

    /// Stops all nodes and returns the journal.
    pub async fn stop_unchecked(mut self) -> Journal {
        join_all(self.entries.into_iter().map(Node::drain)).await;
        join_all(self.sidecars.into_values().map(Node::stop)).await;
        self.log.stop().await;
        self.recorder.journal()
    }

    /// Appends a change, which is accepted at the log's end since nothing else appends changes.
    ///
    /// The append is retried on errors; a change that is in the log twice, because a response was
    /// late, is applied only once.
    async fn append(&self, record: Vec<u8>) -> Revision {
        let end = self.log.end("config");
        let revision = Revision::at(Offset(end));
        self.recorder.record(Fact::Accepted { revision: revision.0 });
        let log = LogClient::http(OneCallClient::new().unwrap(), &self.log.url());
        let mut error = None;
        for _ in 0..MAX_APPENDS {
            error = (log.append)(Stream::Config, record.clone()).await.err();
            if self.log.end("config") > end {
                return revision;
            }
        }
        panic!("the log does not accept the change: {error:?}")
    }
}
