//! The configurations of two small sample deployments for `limpetmux local`.

use crate::core::config::{
    Config, Fencing, HostSpec, Name, NameError, PipelineSpec, ServiceSpec, StageKind, StageSpec,
    WorkspaceSpec, ZoneSpec,
};
use std::net::SocketAddr;
use std::time::Duration;
use strum::{Display, EnumString, VariantArray};

/// A deployment that `limpetmux local` can start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// Four availability zones that serve office telephony.
    PhLuzon,
    /// Three availability zones that serve lightning alerts.
    SierraCosta,
}

struct Pool {
    service: &'static str,
    kind: StageKind,
    idempotent: bool,
    hosts: usize,
    price: u64,
}

struct Pipeline {
    name: &'static str,
    deadline: Duration,
    /// The name, service and token limit of each stage.
    stages: &'static [(&'static str, &'static str, u32)],
}

struct Workspace {
    name: &'static str,
    weight: u32,
    pipelines: &'static [&'static str],
}

struct SampleParts {
    region: &'static str,
    zones: &'static [&'static str],
    pools: &'static [Pool],
    pipelines: &'static [Pipeline],
    workspaces: &'static [Workspace],
}

/// The number of calls that a warm backend server of the sample deployments runs concurrently.
pub const CONCURRENCY: u32 = 16;
/// The number of calls that a cold backend server of the sample deployments runs concurrently.
pub const COLD_CONCURRENCY: u32 = 2;
/// The time that a backend server of the sample deployments takes from cold to warm.
pub const WARMUP: Duration = Duration::from_millis(500);
/// The maximum number of requests of one workspace that an entry runs concurrently.
const MAX_INFLIGHT: u32 = 512;
/// The model that generation services run.
const MODEL: &str = "standin-small";

const fn pool(service: &'static str, kind: StageKind, hosts: usize, price: u64) -> Pool {
    Pool { service, kind, idempotent: true, hosts, price }
}

const fn run_once_pool(service: &'static str, hosts: usize, price: u64) -> Pool {
    Pool { service, kind: StageKind::Plain, idempotent: false, hosts, price }
}

const PH_LUZON: SampleParts = SampleParts {
    region: "ph-luzon",
    zones: &["mnl-a", "mnl-b", "clark-a", "batangas-a"],
    pools: &[
        pool("encoder", StageKind::Encode, 4, 80_000),
        pool("retriever", StageKind::Retrieve, 4, 60_000),
        pool("reranker", StageKind::Rerank, 4, 100_000),
        pool("language-model", StageKind::Generate, 12, 800_000),
        pool("directory", StageKind::Plain, 4, 20_000),
        run_once_pool("provisioning", 4, 20_000),
        run_once_pool("billing", 4, 20_000),
        run_once_pool("ticketing", 5, 20_000),
        pool("call-records", StageKind::Plain, 5, 20_000),
    ],
    pipelines: &[
        Pipeline {
            name: "call-summary",
            deadline: Duration::from_secs(5),
            stages: &[
                ("encode", "encoder", 0),
                ("retrieve", "retriever", 0),
                ("rerank", "reranker", 0),
                ("generate", "language-model", 32),
            ],
        },
        Pipeline {
            name: "voicemail",
            deadline: Duration::from_secs(10),
            stages: &[("encode", "encoder", 0), ("generate", "language-model", 64)],
        },
        Pipeline {
            name: "extension-lookup",
            deadline: Duration::from_secs(1),
            stages: &[("look-up", "directory", 0)],
        },
        Pipeline {
            name: "number-port",
            deadline: Duration::from_secs(5),
            stages: &[("look-up", "directory", 0), ("port", "provisioning", 0)],
        },
        Pipeline {
            name: "ticket",
            deadline: Duration::from_secs(5),
            stages: &[("open", "ticketing", 0)],
        },
        Pipeline {
            name: "charge",
            deadline: Duration::from_secs(5),
            stages: &[("records", "call-records", 0), ("charge", "billing", 0)],
        },
    ],
    workspaces: &[
        Workspace {
            name: "reception",
            weight: 4,
            pipelines: &["call-summary", "voicemail", "extension-lookup"],
        },
        Workspace {
            name: "hotels",
            weight: 4,
            pipelines: &["call-summary", "voicemail", "extension-lookup", "ticket"],
        },
        Workspace {
            name: "clinics",
            weight: 2,
            pipelines: &["call-summary", "voicemail", "extension-lookup"],
        },
        Workspace { name: "porting", weight: 1, pipelines: &["number-port", "extension-lookup"] },
        Workspace { name: "accounts", weight: 1, pipelines: &["charge", "ticket"] },
    ],
};

const SIERRA_COSTA: SampleParts = SampleParts {
    region: "sierra-costa",
    zones: &["quito-a", "guayaquil-b", "cuenca-c"],
    pools: &[
        pool("encoder", StageKind::Encode, 3, 80_000),
        pool("retriever", StageKind::Retrieve, 3, 60_000),
        pool("reranker", StageKind::Rerank, 3, 100_000),
        pool("drafting", StageKind::Generate, 12, 800_000),
        run_once_pool("alert-dispatch", 3, 20_000),
        pool("registry", StageKind::Plain, 5, 20_000),
        pool("sensor-ingest", StageKind::Plain, 4, 20_000),
        pool("maps", StageKind::Plain, 3, 20_000),
    ],
    pipelines: &[
        Pipeline {
            name: "storm-briefing",
            deadline: Duration::from_secs(15),
            stages: &[
                ("encode", "encoder", 0),
                ("retrieve", "retriever", 0),
                ("rerank", "reranker", 0),
                ("generate", "drafting", 64),
            ],
        },
        Pipeline {
            name: "strike-clusters",
            deadline: Duration::from_secs(5),
            stages: &[
                ("ingest", "sensor-ingest", 0),
                ("map", "maps", 0),
                ("generate", "drafting", 32),
            ],
        },
        Pipeline {
            name: "status-check",
            deadline: Duration::from_secs(1),
            stages: &[("check", "registry", 0)],
        },
        Pipeline {
            name: "alert",
            deadline: Duration::from_secs(5),
            stages: &[("recipients", "registry", 0), ("dispatch", "alert-dispatch", 0)],
        },
    ],
    workspaces: &[
        Workspace {
            name: "dispatch",
            weight: 4,
            pipelines: &["storm-briefing", "strike-clusters", "status-check", "alert"],
        },
        Workspace {
            name: "bananas",
            weight: 4,
            pipelines: &["storm-briefing", "strike-clusters", "status-check"],
        },
        Workspace {
            name: "flowers",
            weight: 2,
            pipelines: &["storm-briefing", "strike-clusters", "status-check"],
        },
        Workspace { name: "mining", weight: 1, pipelines: &["storm-briefing", "status-check"] },
        Workspace { name: "football", weight: 1, pipelines: &["status-check"] },
    ],
};

/// A host of a sample deployment that has no address yet.
#[derive(Clone, Debug)]
pub struct PlannedHost {
    /// The host's name.
    pub name: Name,
    /// The availability zone.
    pub zone: Name,
    /// The service of the backend server.
    pub service: Name,
    /// What the backend server does.
    pub kind: StageKind,
}

/// A request to the deployment's main pipeline.
#[derive(Clone, Copy, Debug)]
pub struct SampleRequest {
    /// The workspace that sends the request.
    pub workspace: &'static str,
    /// The pipeline to run.
    pub pipeline: &'static str,
    /// The input, a JSON value.
    pub input: &'static str,
}

impl Deployment {
    fn parts(self) -> &'static SampleParts {
        match self {
            Self::PhLuzon => &PH_LUZON,
            Self::SierraCosta => &SIERRA_COSTA,
        }
    }

    /// Returns the first availability zone, where `limpetmux local` puts its entry.
    ///
    /// # Errors
    /// Returns [`NameError`] if the sample contains a malformed name.
    pub fn entry_zone(self) -> Result<Name, NameError> {
        Name::new(self.parts().zones.first().copied().unwrap_or_default())
    }

    /// Returns a request for the deployment's main pipeline.
    pub fn sample_request(self) -> SampleRequest {
        match self {
            Self::PhLuzon => SampleRequest {
                workspace: "reception",
                pipeline: "call-summary",
                input: r#""summarise the calls of the morning shift""#,
            },
            Self::SierraCosta => SampleRequest {
                workspace: "dispatch",
                pipeline: "storm-briefing",
                input: r#""brief the crews on the storm cell north of Cuenca""#,
            },
        }
    }

    /// Returns all hosts, assigned to the availability zones in turn.
    ///
    /// # Errors
    /// Returns [`NameError`] if the sample contains a malformed name.
    pub fn hosts(self) -> Result<Vec<PlannedHost>, NameError> {
        let parts = self.parts();
        let mut hosts = Vec::new();
        for pool in parts.pools {
            for (i, zone) in (0..pool.hosts).zip(parts.zones.iter().cycle()) {
                hosts.push(PlannedHost {
                    name: Name::new(&format!("{}-{}", pool.service, i + 1))?,
                    zone: Name::new(zone)?,
                    service: Name::new(pool.service)?,
                    kind: pool.kind,
                });
            }
        }
        Ok(hosts)
    }

    /// Returns the configuration with the given hosts and the addresses of their sidecars.
    ///
    /// # Errors
    /// Returns [`NameError`] if the sample contains a malformed name.
    pub fn config(
        self,
        hosts: impl IntoIterator<Item = (PlannedHost, SocketAddr)>,
    ) -> Result<Config, NameError> {
        let parts = self.parts();
        let mut config = Config::default();
        for zone in parts.zones {
            let spec = ZoneSpec { region: Name::new(parts.region)?, serving: true };
            config.zones.insert(Name::new(zone)?, spec);
        }
        for (host, sidecar) in hosts {
            let PlannedHost { name, zone, service, .. } = host;
            config.hosts.insert(name, HostSpec { zone, service, sidecar, running: true });
        }
        for pool in parts.pools {
            config.services.insert(Name::new(pool.service)?, service_spec(pool)?);
        }
        for pipeline in parts.pipelines {
            config.pipelines.insert(Name::new(pipeline.name)?, pipeline_spec(pipeline)?);
        }
        for workspace in parts.workspaces {
            let pipelines: Result<_, _> =
                workspace.pipelines.iter().map(|p| Name::new(p)).collect();
            let spec = WorkspaceSpec {
                region: Name::new(parts.region)?,
                weight: workspace.weight,
                inflight: MAX_INFLIGHT,
                pipelines: pipelines?,
            };
            config.workspaces.insert(Name::new(workspace.name)?, spec);
        }
        Ok(config)
    }
}

fn service_spec(pool: &Pool) -> Result<ServiceSpec, NameError> {
    let model = (pool.kind == StageKind::Generate).then(|| Name::new(MODEL)).transpose()?;
    Ok(ServiceSpec {
        kind: pool.kind,
        model,
        idempotent: pool.idempotent,
        fencing: Fencing::Ignored,
        concurrency: CONCURRENCY,
        cold: COLD_CONCURRENCY,
        warmup: WARMUP,
        price: pool.price,
        floor: 1,
    })
}

fn pipeline_spec(pipeline: &Pipeline) -> Result<PipelineSpec, NameError> {
    let stage = |&(name, service, tokens): &(&str, &str, u32)| {
        Ok(StageSpec { name: Name::new(name)?, service: Name::new(service)?, tokens })
    };
    let stages: Result<_, NameError> = pipeline.stages.iter().map(stage).collect();
    Ok(PipelineSpec { stages: stages?, deadline: pipeline.deadline })
}
