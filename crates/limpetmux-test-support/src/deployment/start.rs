//! Starts the nodes of a deployment.

use super::node::{Node, RevisionRecorder};
use super::parts::{bind, control, cuttable, parts};
use super::{Deployment, SHUTDOWN_TIMES};
use crate::invariants::BackendInfo;
use futures::future::BoxFuture;
use limpetmux::adapters::backend::Backend;
use limpetmux::adapters::hosts::HostsClient;
use limpetmux::adapters::log::LogClient;
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::control::{Control, Gossip, GossipOptions, PeerCounters, peer_server};
use limpetmux::core::config::Name;
use limpetmux::core::once::Rules;
use limpetmux::core::shutdown::ShutdownOptions;
use limpetmux::entry::{Entry, EntryOptions, Limits, Members};
use limpetmux::kernel::Kernel;
use limpetmux::membership::{self, MembershipParts, Reporter};
use limpetmux::node::process::{
    EntryListeners, Process, ProcessParts, follow_host_list, run_entry,
};
use limpetmux::sidecar::{OnceSettings, Sidecar, SidecarOptions};
use limpetmux::util::metrics::Metrics;
use rand::SeedableRng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

impl Deployment {
    /// Returns a host's backend server, wrapped to record its calls.
    fn backend(&self, name: &Name) -> Backend {
        let host = &self.config.hosts[name];
        let idempotent = self.config.services[&host.service].idempotent;
        let info = BackendInfo { host: name.to_string(), zone: host.zone.to_string(), idempotent };
        let backend = Backend::http(OneCallClient::new().unwrap(), &self.standins[name].url());
        (self.wrapper)(&info, self.recorder.wrap_backend(backend, info.clone()))
    }

    /// Starts the sidecar of a host.
    pub(super) async fn start_sidecar(
        &mut self,
        name: &Name,
        listener: TcpListener,
    ) -> Node<Sidecar> {
        let grpc_addr = listener.local_addr().unwrap();
        let kernel = Arc::new(Kernel::new());
        let log = self.node_log(name.as_str());
        let control = control(name.as_str(), log.clone(), &kernel);
        let revisions = RevisionRecorder::start(name.as_str(), &control, &self.recorder);
        let backend = self.backend(name);
        let view = control.view.clone();
        // All processes share one clock.
        let rules = Rules { clock_margin: Duration::ZERO, ..Rules::default() };
        let once = Some(OnceSettings { rules, ..OnceSettings::new(log) });
        let role = Sidecar::start(SidecarOptions {
            host: name.clone(),
            view,
            backend,
            metrics: Metrics::none(),
            once,
        });
        let members = self.members(&control, &kernel);
        follow_host_list(&role, name.clone(), control.view.clone(), &members);
        let times = ShutdownOptions { notice: Duration::ZERO, ..SHUTDOWN_TIMES };
        let flushed_role = Arc::clone(&role);
        let flush = move || -> BoxFuture<'static, bool> {
            let role = Arc::clone(&flushed_role);
            Box::pin(async move { role.flush().await })
        };
        let parts = ProcessParts { flush: Arc::new(flush), ..parts(&kernel, times) };
        let process = Process::sidecar(&role, parts).unwrap();
        let (process, gossip) = self.start_gossip(process, &control, grpc_addr);
        let shutdown = process.shutdown.clone();
        let main =
            tokio::spawn(
                async move { process.run(listener, std::future::pending()).await.unwrap() },
            );
        let (url, members) = (String::new(), Some(members));
        Node {
            role,
            control,
            grpc_addr,
            url,
            members,
            shutdown,
            main,
            gossip,
            revisions,
            _kernel: kernel,
        }
    }

    /// Starts an entry on free ports.
    pub async fn start_entry(&mut self, index: usize) -> Node<Entry> {
        let listeners = EntryListeners { http: bind(0).await, grpc: bind(0).await };
        let grpc_addr = listeners.grpc.local_addr().unwrap();
        let url = limpetmux::entry::base_url(listeners.http.local_addr().unwrap());
        let kernel = Arc::new(Kernel::new());
        let node = format!("entry-{index}");
        let control = control(&node, self.node_log(&node), &kernel);
        let revisions = RevisionRecorder::start(&node, &control, &self.recorder);
        let members = self.members(&control, &kernel);
        let zones: Vec<&Name> = self.config.zones.keys().collect();
        let role = Entry::start(EntryOptions {
            zone: zones[index % zones.len()].clone(),
            ordinal: u32::try_from(index / zones.len()).unwrap(),
            view: control.view.clone(),
            members: Members(Some(members.clone())),
            limits: Limits::default(),
            metrics: Metrics::none(),
            channels: Default::default(),
        });
        let role = role.unwrap();
        let process = Process::entry(&role, parts(&kernel, SHUTDOWN_TIMES)).unwrap();
        let (process, gossip) = self.start_gossip(process, &control, grpc_addr);
        let shutdown = process.shutdown.clone();
        let run = run_entry(Arc::clone(&role), process, listeners, std::future::pending());
        let main = tokio::spawn(async move { run.await.unwrap() });
        let members = Some(members);
        Node {
            role,
            control,
            grpc_addr,
            url,
            members,
            shutdown,
            main,
            gossip,
            revisions,
            _kernel: kernel,
        }
    }

    /// Starts the membership of a node.
    fn members(&self, control: &Control, kernel: &Kernel) -> Reporter {
        let list = HostsClient::http(OneCallClient::new().unwrap(), &self.hosts.url());
        let parts = MembershipParts { views: control.view.clone(), hosts: Some(list) };
        membership::start(kernel, parts).unwrap()
    }

    /// Returns a log client for a node, which can be cut off from the log.
    fn node_log(&mut self, node: &str) -> LogClient {
        let is_cut = self.log_cuts.entry(node.to_owned()).or_default();
        cuttable(LogClient::http(OneCallClient::new().unwrap(), &self.log.url()), is_cut)
    }

    /// Adds the peer service to a process and starts its gossip.
    fn start_gossip(
        &self,
        process: Process,
        control: &Control,
        grpc_addr: SocketAddr,
    ) -> (Process, JoinHandle<()>) {
        let counters = Arc::new(PeerCounters::default());
        let server = peer_server(control.port.clone(), Arc::clone(&counters));
        let seeds = self.sidecars.values().map(|n| n.grpc_addr).collect();
        let period = Duration::from_millis(50);
        let options = GossipOptions { period, ..GossipOptions::new(Some(grpc_addr), seeds) };
        let rng = rand::rngs::StdRng::seed_from_u64(u64::from(grpc_addr.port()));
        let gossip = Gossip::new(control.clone(), options, counters, rng);
        (process.with_routes(|routes| routes.add_service(server)), tokio::spawn(gossip.run()))
    }
}
