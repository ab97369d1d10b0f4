//! A whole deployment of real nodes over TCP in one process, for failure tests.
//!
//! Every node has its own control service, spread, membership and shutdown, as a process has; they
//! share nothing but the platform's stand-ins. Nodes are drained and replaced one by one, and a
//! node can be cut off from the log alone. What happens is recorded, and [`Deployment::stop`] checks
//! that no promise was broken.

mod node;
mod parts;
mod start;

pub use node::Node;
pub use parts::wait_for;

use crate::changes::{change, change_record, first_change};
use crate::invariants::{FORCE_TIME, Fact, Journal, Place, Recorder, violations};
use futures::future::join_all;
use limpetmux::adapters::backend::Backend;
use limpetmux::adapters::log::{LogClient, Stream};
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

/// The times of a test's shutdowns.
const TIMES: ShutdownOptions = ShutdownOptions {
    notice: Duration::from_millis(1_000),
    deadline: Duration::from_secs(60),
    flush: Duration::from_secs(20),
};

/// How often a change is appended if it takes no effect.
const APPENDS: u32 = 5;
/// More than the time in which a change has to be in force and its hosts have to be left alone.
const SETTLED: Duration = FORCE_TIME.saturating_add(Duration::from_millis(1));

/// Puts a faulty backend server in the place of a correct one.
pub type Tamper = Arc<dyn Fn(&Place, Backend) -> Backend + Send + Sync>;

/// A deployment of one configuration.
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
    /// What has happened so far.
    pub recorder: Recorder,
    tamper: Tamper,
    cuts: BTreeMap<String, Arc<AtomicBool>>,
    /// The availability zones that are out.
    out: BTreeSet<String>,
    changes: u64,
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

    /// Starts a deployment whose backend servers are tampered with.
    ///
    /// # Panics
    /// Panics if a part does not start.
    pub async fn start_with(mut config: Config, entries: usize, tamper: Tamper) -> Self {
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
            tamper,
            cuts: BTreeMap::new(),
            out: BTreeSet::new(),
            changes: 0,
            revision: Revision::EMPTY,
            config,
        };
        let first = change_record(first_change(&deployment.config));
        deployment.revision = deployment.append(first).await;
        for (name, listener) in listeners {
            let node = deployment.sidecar(&name, listener).await;
            deployment.sidecars.insert(name, node);
        }
        for index in 0..entries {
            let node = deployment.entry(index).await;
            deployment.entries.push(node);
        }
        deployment.in_force(deployment.revision).await;
        for entry in &deployment.entries {
            wait_for(|| entry.role.is_ready()).await;
            wait_for(|| deployment.config.hosts.keys().all(|host| entry.knows(host))).await;
        }
        deployment
    }

    /// Appends a change of the configuration and returns the revision that it makes.
    ///
    /// # Panics
    /// Panics if the log refuses the append.
    pub async fn change(&mut self, edits: Vec<Edit>) -> Revision {
        self.changes += 1;
        let offset = Offset(self.log.end("config"));
        let change = change(u128::from(self.changes), self.revision, offset, edits);
        // The small configuration has two zones, so taking one out counts as dangerous.
        let change = Change { force: true, ..change };
        self.revision = self.append(change_record(change)).await;
        self.revision
    }

    /// Takes an availability zone out or in.
    pub async fn set_zone(&mut self, zone: &str, serving: bool) -> Revision {
        let edit = crate::changes::zone_edit(&self.config, zone, serving);
        if serving {
            self.out.remove(zone);
        } else {
            self.out.insert(zone.to_owned());
        }
        self.recorder.note(Fact::Zone { zone: zone.to_owned(), serving });
        self.change(vec![edit]).await
    }

    /// Waits until a revision is in force on all nodes.
    ///
    /// If it is the last one, the zones that are out are idle then too, and the time passes in
    /// which nodes may still act on an older revision.
    pub async fn in_force(&self, revision: Revision) {
        join_all(self.sidecars.values().map(|n| n.in_force(revision))).await;
        join_all(self.entries.iter().map(|n| n.in_force(revision))).await;
        if revision < self.revision {
            return;
        }
        for host in self.out.iter().flat_map(|zone| self.zone_hosts(zone)) {
            let Some(node) = self.sidecars.get(&host) else { continue };
            wait_for(|| node.role.gate().is_idle()).await;
        }
        self.recorder.pass(SETTLED);
    }

    /// Restarts a backend server without warning and waits until its sidecar knows.
    pub async fn turn_cold(&self, host: &Name) {
        let (backend, gate) = (self.standins[host].backend(), self.sidecars[host].role.gate());
        let warm_at = Instant::now() + WARMUP;
        backend.turn_cold();
        wait_for(|| gate.load().incarnation == backend.incarnation()).await;
        self.recorder.turned_cold(host.as_str(), COLD_CONCURRENCY as usize, warm_at);
    }

    /// Returns how often each key ran on all hosts together.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for standin in self.standins.values() {
            let StandIn::Plain(plain) = standin else { continue };
            for (key, count) in plain.keys() {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }

    /// Cuts a node off from the log, or reconnects it.
    pub fn set_cut(&self, node: &str, cut: bool) {
        self.cuts[node].store(cut, Ordering::SeqCst);
    }

    /// Returns the names of all nodes.
    pub fn nodes(&self) -> Vec<String> {
        self.cuts.keys().cloned().collect()
    }

    /// Returns the hosts of an availability zone.
    pub fn zone_hosts(&self, zone: &str) -> Vec<Name> {
        let hosts = self.config.hosts.iter().filter(|(_, h)| h.zone.as_str() == zone);
        hosts.map(|(name, _)| name.clone()).collect()
    }

    /// Drains a sidecar, starts its successor at the same address and waits until all entries know
    /// that it takes work, as an operator does before the next one.
    ///
    /// # Panics
    /// Panics if the host is not declared.
    pub async fn restart_sidecar(&mut self, name: &Name) -> DrainReport {
        let Some(old) = self.sidecars.remove(name) else { panic!("no sidecar {name}") };
        let port = old.grpc.port();
        let leaves = |leaving| Fact::Leaves { host: name.to_string(), leaving };
        self.recorder.note(leaves(true));
        let report = old.drain().await;
        self.in_force(self.revision).await;
        self.recorder.note(leaves(false));
        let node = self.sidecar(name, bind(port).await).await;
        self.sidecars.insert(name.clone(), node);
        for entry in &self.entries {
            wait_for(|| entry.knows(name)).await;
        }
        report
    }

    /// Starts another entry in place of one and drains that, as a balancer that follows readiness
    /// sees it: `urls` is what the balancer sends to.
    ///
    /// # Panics
    /// Panics if the old entry's readiness cannot be asked for.
    pub async fn restart_entry(&mut self, index: usize, urls: &Mutex<Vec<String>>) -> DrainReport {
        let node = self.entry(index).await;
        wait_for(|| node.role.is_ready()).await;
        urls.lock().unwrap().push(node.url.clone());
        let old = std::mem::replace(&mut self.entries[index], node);
        let (role, url) = (Arc::clone(&old.role), old.url.clone());
        let drained = tokio::spawn(old.drain());
        wait_for(|| !role.is_ready()).await;
        urls.lock().unwrap().retain(|u| *u != url);
        drained.await.unwrap()
    }

    /// Ends all nodes and checks that no promise was broken.
    ///
    /// # Panics
    /// Panics if a promise was broken.
    pub async fn stop(self) {
        let journal = self.end().await;
        assert_eq!(violations(&journal), []);
    }

    /// Ends all nodes and returns what has happened.
    pub async fn end(mut self) -> Journal {
        join_all(self.entries.into_iter().map(Node::drain)).await;
        join_all(self.sidecars.into_values().map(Node::stop)).await;
        self.log.stop().await;
        self.recorder.journal()
    }

    /// Appends a change, which is accepted at the log's end as nobody else appends any.
    ///
    /// A change that is appended twice because an answer came too late is folded once.
    async fn append(&self, record: Vec<u8>) -> Revision {
        let end = self.log.end("config");
        let revision = Revision::at(Offset(end));
        self.recorder.note(Fact::Accepted { revision: revision.0 });
        let log = LogClient::http(reqwest::Client::new(), &self.log.url());
        let mut error = None;
        for _ in 0..APPENDS {
            error = (log.append)(Stream::Config, record.clone()).await.err();
            if self.log.end("config") > end {
                return revision;
            }
        }
        panic!("the log takes no change: {error:?}")
    }
}
