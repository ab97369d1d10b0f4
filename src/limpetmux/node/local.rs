//! Runs a small deployment in one process: stand-ins, sidecars and an entry on loopback.

use super::deployment::{COLD_CONCURRENCY, CONCURRENCY, Deployment, PlannedHost, WARMUP};
use super::role::stopped;
use super::server::{ServeError, bind, sidecar_routes};
use super::services::{Services, ServicesError, ServicesOptions};
use crate::adapters::backend::Backend;
use crate::adapters::channel::Channels;
use crate::adapters::hosts::HostsClient;
use crate::adapters::log::{LogClient, LogError, Stream};
use crate::adapters::one_call::OneCallClient;
use crate::core::config::record::{self, Body, RecordError};
use crate::core::config::{
    Change, ChangeId, Config, FORMAT, Name, NameError, Ownership, StageKind, diff,
};
use crate::core::once::Rules;
use crate::core::revision::{Offset, Revision};
use crate::entry::{Entry, EntryError, EntryOptions, Limits, Members};
use crate::sidecar::{OnceSettings, Sidecar, SidecarOptions};
use crate::util::metrics::Metrics;
use limpetmux_standins as standins;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::task::JoinSet;
use uuid::Uuid;

/// The time for running requests to finish after a shutdown has begun.
const GRACE_PERIOD: Duration = Duration::from_secs(10);

/// The maximum time until the declared configuration is in force.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay with which the host list shows a change.
const HOST_LIST_LAG: Duration = Duration::from_millis(500);

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
    /// The sample contains a malformed name.
    #[error("the sample deployment contains a malformed name")]
    Name(#[from] NameError),
    /// The control services do not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Services(#[from] ServicesError),
    /// The declared configuration cannot be encoded.
    #[error("the declared configuration cannot be encoded")]
    Record(#[from] RecordError),
    /// The declared configuration cannot be appended.
    #[error("the declared configuration cannot be appended")]
    Append(#[from] LogError),
    /// The declared configuration is not in force within [`CONFIG_TIMEOUT`].
    #[error("the declared configuration is not in force after {CONFIG_TIMEOUT:?}")]
    Unconfigured,
    /// The HTTP client cannot be set up.
    #[error("cannot set up the HTTP client")]
    Client(#[from] reqwest::Error),
}

/// Options of a local deployment.
#[derive(Clone, Copy, Debug)]
pub struct LocalOptions {
    /// The sample deployment.
    pub deployment: Deployment,
    /// The entry's port on loopback, or 0 for any.
    pub port: u16,
}

/// The stand-in for the backend server of one sidecar.
pub enum StandIn {
    /// A model engine.
    Engine(standins::Engine),
    /// An encoder, retriever or reranker.
    Pool(standins::Pool),
    /// A plain service.
    Plain(standins::Plain),
}

/// The platform's stand-ins.
pub struct Platform {
    /// The append-only log.
    pub log: standins::Log,
    /// The host list.
    pub hosts: standins::Hosts,
}

impl Platform {
    async fn start(hosts: &[&PlannedHost]) -> Result<Self, standins::StartError> {
        let log = standins::Log::start(standins::LogOptions::default()).await?;
        let list = standins::Hosts::start(0, HOST_LIST_LAG).await?;
        for host in hosts {
            list.set(host.name.as_str(), standins::HostState::Live, 1);
        }
        Ok(Self { log, hosts: list })
    }
}

/// One host of a running local deployment.
pub struct LocalHost {
    /// The host's name, zone and service.
    pub planned: PlannedHost,
    /// The address of the sidecar.
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
    /// The address of the entry.
    pub addr: SocketAddr,
    /// All hosts, grouped by service.
    pub hosts: Vec<LocalHost>,
    /// The platform.
    pub platform: Platform,
    /// The control services that the sidecars and the entry share.
    pub services: Services,
    /// The configuration declared at the start.
    pub config: Config,
    stop: watch::Sender<bool>,
    servers: JoinSet<()>,
}

impl StandIn {
    /// Starts a backend server with the limits that the sample deployments declare.
    ///
    /// # Errors
    /// Returns an error if it cannot listen.
    pub async fn start(kind: StageKind) -> Result<Self, standins::StartError> {
        let options = standins::BackendOptions {
            capacity: CONCURRENCY,
            cold_concurrency: COLD_CONCURRENCY,
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
    /// Starts a deployment in which every server listens on loopback.
    ///
    /// # Errors
    /// Returns [`LocalError`] naming the component that does not start.
    pub async fn start(options: LocalOptions) -> Result<Self, LocalError> {
        let (entry_listener, addr) = bind(loopback(options.port)).await?;
        let mut planned = Vec::new();
        for plan in options.deployment.hosts()? {
            let (listener, addr) = bind(loopback(0)).await?;
            planned.push((plan, addr, listener));
        }
        let addresses = planned.iter().map(|(plan, addr, _)| (plan.clone(), *addr));
        let config = options.deployment.config(addresses)?;
        let client = OneCallClient::new()?;
        let platform = Platform::start(&planned.iter().map(|p| &p.0).collect::<Vec<_>>()).await?;
        let services = start_services(&platform, &client, &config).await?;
        // All processes share one clock.
        let rules = Rules { clock_margin: Duration::ZERO, ..Rules::default() };
        let once = OnceSettings::new(LogClient::http(client.clone(), &platform.log.url()));
        let once = OnceSettings { rules, ..once };
        let channels = Channels::plain();
        let (stop, _) = watch::channel(false);
        let mut servers = JoinSet::new();
        let mut hosts = Vec::with_capacity(planned.len());
        for (plan, addr, listener) in planned {
            let standin = StandIn::start(plan.kind).await?;
            let sidecar = Sidecar::start(SidecarOptions {
                host: plan.name.clone(),
                view: services.control.view.clone(),
                backend: Backend::http(client.clone(), &standin.url()),
                once: Some(once.clone()),
                metrics: Metrics::none(),
            });
            let routes = sidecar_routes(&sidecar).add_service(services.peer_server());
            let (channels, stopped) = (channels.clone(), stopped(&stop));
            servers.spawn(async move { drop(channels.serve(routes, listener, stopped).await) });
            hosts.push(LocalHost { planned: plan, addr, standin, sidecar });
        }
        let entry = Entry::start(EntryOptions {
            zone: options.deployment.entry_zone()?,
            ordinal: 0,
            view: services.control.view.clone(),
            members: Members(Some(services.membership.clone())),
            channels,
            limits: Limits::default(),
            metrics: Metrics::none(),
        })?;
        let server = Arc::clone(&entry).serve(entry_listener, stopped(&stop), GRACE_PERIOD);
        servers.spawn(async move { drop(server.await) });
        Ok(Self { entry, addr, hosts, platform, services, config, stop, servers })
    }

    /// Returns the base URL of the entry.
    pub fn url(&self) -> String {
        crate::entry::base_url(self.addr)
    }

    /// Stops all servers after their running requests have finished.
    pub async fn stop(mut self) {
        self.entry.set_draining(true);
        self.stop.send_replace(true);
        while self.servers.join_next().await.is_some() {}
    }
}

/// Starts the control services and waits until the declared configuration is in force.
async fn start_services(
    platform: &Platform,
    client: &OneCallClient,
    config: &Config,
) -> Result<Services, LocalError> {
    let log = LogClient::http(client.clone(), &platform.log.url());
    declare(&log, config).await?;
    let services = Services::start(ServicesOptions {
        name: "local",
        log,
        hosts: Some(HostsClient::http(client.clone(), &platform.hosts.url())),
        grpc_addr: None,
        channels: Channels::plain(),
        peers: Vec::new(),
        power: None,
        may_plan: false,
    })?;
    let mut view = services.control.view.clone();
    let configured = async {
        while view.load().revision == Revision::EMPTY {
            if !view.changed().await {
                return;
            }
        }
    };
    tokio::time::timeout(CONFIG_TIMEOUT, configured).await.map_err(|_| LocalError::Unconfigured)?;
    Ok(services)
}

/// Appends a change that declares the whole configuration to the log.
async fn declare(log: &LogClient, config: &Config) -> Result<(), LocalError> {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let change = Change {
        id: ChangeId(Uuid::new_v4()),
        base: Revision::EMPTY,
        seen: Offset(0),
        author: Name::new("local")?,
        submitted_ms: u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX),
        reason: "the sample deployment".to_owned(),
        force: false,
        edits: diff(&Config::default(), config, Ownership::Declared),
    };
    let record = record::encode(&Body::Change(change), FORMAT)?;
    (log.append)(Stream::Config, record).await?;
    Ok(())
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
