//! A whole small deployment in one process: stand-ins, sidecars and an entry on loopback.

use super::deployment::{COLD, CONCURRENCY, Deployment, PlannedHost, WARMUP};
use super::server::{ServeError, serve_sidecar};
use crate::adapters::backend::Backend;
use crate::core::config::{Config, Name, NameError, StageKind};
use crate::core::revision::Revision;
use crate::core::view::View;
use crate::entry::{Entry, EntryError, EntryOptions, Limits, Members};
use crate::kernel::{Kernel, KernelError, Published, Publisher};
use crate::membership::{self, MembershipParts};
use crate::sidecar::{Sidecar, SidecarOptions};
use limpetmux_standins as standins;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The time that running requests get once a shutdown began.
const GRACE: Duration = Duration::from_secs(10);

/// Why a local deployment does not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LocalError {
    /// A stand-in does not start.
    #[error("cannot start a stand-in")]
    StandIn(#[from] standins::StartError),
    /// A server does not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Serve(#[from] ServeError),
    /// The entry does not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Entry(#[from] EntryError),
    /// The sample declares a malformed name.
    #[error("the sample deployment declares a malformed name")]
    Name(#[from] NameError),
    /// A service cannot be registered.
    #[error("cannot register a service")]
    Kernel(#[from] KernelError),
    /// The HTTP client cannot be set up.
    #[error("cannot set up the HTTP client")]
    Client(#[from] reqwest::Error),
}

/// What to start.
#[derive(Clone, Copy, Debug)]
pub struct LocalOptions {
    /// The sample deployment.
    pub deployment: Deployment,
    /// The entry's port on loopback, or 0 for any.
    pub port: u16,
}

/// The stand-in beside one sidecar.
pub enum StandIn {
    /// A model engine.
    Engine(standins::Engine),
    /// An encoder, retriever or reranker.
    Pool(standins::Pool),
    /// A plain service.
    Plain(standins::Plain),
}

/// One host of a running local deployment.
pub struct LocalHost {
    /// The host's name, zone and service.
    pub plan: PlannedHost,
    /// Where the sidecar listens.
    pub addr: SocketAddr,
    /// The backend server.
    pub standin: StandIn,
    /// The sidecar.
    pub sidecar: Arc<Sidecar>,
}

/// A running local deployment.
pub struct Local {
    /// The entry.
    pub entry: Arc<Entry>,
    /// Where the entry listens.
    pub addr: SocketAddr,
    /// All hosts in name order of their services.
    pub hosts: Vec<LocalHost>,
    /// The configuration in force, for changes at run time.
    pub view: Publisher<View>,
    /// The declared configuration.
    pub config: Config,
    /// The services of the entry.
    pub kernel: Kernel,
    stop: watch::Sender<bool>,
    servers: JoinSet<()>,
}

impl StandIn {
    async fn start(kind: StageKind) -> Result<Self, standins::StartError> {
        let options = standins::BackendOptions {
            capacity: CONCURRENCY,
            cold: COLD,
            warmup: WARMUP,
            ..Default::default()
        };
        let pool = match kind {
            StageKind::Encode => standins::PoolKind::Encode,
            StageKind::Retrieve => standins::PoolKind::Retrieve,
            StageKind::Rerank => standins::PoolKind::Rerank,
            StageKind::Generate => {
                let options = standins::EngineOptions { backend: options, ..Default::default() };
                return Ok(Self::Engine(standins::Engine::start(options).await?));
            }
            StageKind::Plain => return Ok(Self::Plain(standins::Plain::start(options).await?)),
        };
        Ok(Self::Pool(standins::Pool::start(pool, options).await?))
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        match self {
            Self::Engine(engine) => engine.url(),
            Self::Pool(pool) => pool.url(),
            Self::Plain(plain) => plain.url(),
        }
    }

    /// Returns the state, counters and fault switches.
    pub fn backend(&self) -> &Arc<standins::Backend> {
        match self {
            Self::Engine(engine) => &engine.backend,
            Self::Pool(pool) => &pool.backend,
            Self::Plain(plain) => &plain.backend,
        }
    }
}

impl Local {
    /// Starts a deployment; every part listens on loopback.
    ///
    /// # Errors
    /// Returns [`LocalError`] naming the part that does not start.
    pub async fn start(options: LocalOptions) -> Result<Self, LocalError> {
        let entry_listener = bind(options.port).await?;
        let addr = local_addr(&entry_listener)?;
        let mut planned = Vec::new();
        for plan in options.deployment.hosts()? {
            let listener = bind(0).await?;
            planned.push((plan, local_addr(&listener)?, listener));
        }
        let addresses = planned.iter().map(|(plan, addr, _)| (plan.clone(), *addr));
        let config = options.deployment.config(addresses)?;
        let view = Publisher::new(View::compile(Revision(1), &config));
        let (stop, _) = watch::channel(false);
        let mut servers = JoinSet::new();
        let client = reqwest::Client::builder().no_proxy().build()?;
        let mut hosts = Vec::with_capacity(planned.len());
        for (plan, addr, listener) in planned {
            let standin = StandIn::start(plan.kind).await?;
            let backend = Backend::http(client.clone(), &standin.url());
            let sidecar = start_sidecar(&plan.name, view.reader(), backend);
            let server = serve_sidecar(Arc::clone(&sidecar), listener, stopped(&stop));
            servers.spawn(async move { drop(server.await) });
            hosts.push(LocalHost { plan, addr, standin, sidecar });
        }
        let kernel = Kernel::new();
        let parts = MembershipParts { views: view.reader(), hosts: None };
        let members = membership::start(&kernel, parts)?;
        let entry = Entry::start(EntryOptions {
            zone: options.deployment.entry_zone()?,
            ordinal: 0,
            view: view.reader(),
            members: Members(Some(members)),
            limits: Limits::default(),
        })?;
        let server = Arc::clone(&entry).serve(entry_listener, stopped(&stop), GRACE);
        servers.spawn(async move { drop(server.await) });
        Ok(Self { entry, addr, hosts, view, config, kernel, stop, servers })
    }

    /// Returns the base URL of the entry.
    pub fn url(&self) -> String {
        crate::entry::base_url(self.addr)
    }

    /// Ends all servers once their running requests are done.
    pub async fn stop(mut self) {
        self.entry.set_draining(true);
        self.stop.send_replace(true);
        while self.servers.join_next().await.is_some() {}
    }
}

fn start_sidecar(host: &Name, view: Published<View>, backend: Backend) -> Arc<Sidecar> {
    Sidecar::start(SidecarOptions { host: host.clone(), view, backend })
}

/// Returns a future that is ready once the deployment stops.
fn stopped(stop: &watch::Sender<bool>) -> impl Future<Output = ()> + Send + 'static {
    let mut stop = stop.subscribe();
    async move { drop(stop.wait_for(|stop| *stop).await) }
}

async fn bind(port: u16) -> Result<TcpListener, ServeError> {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    TcpListener::bind(addr).await.map_err(|source| ServeError::Bind { addr, source })
}

fn local_addr(listener: &TcpListener) -> Result<SocketAddr, ServeError> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    listener.local_addr().map_err(|source| ServeError::Bind { addr: any, source })
}
