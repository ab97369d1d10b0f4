//! Configurations of a given size, for scaling and limit tests.

use limpetmux::core::config::{
    Config, Fencing, HostSpec, Name, PipelineSpec, ServiceSpec, StageKind, StageSpec,
    WorkspaceSpec, ZoneSpec,
};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The number of objects of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Hosts with backend servers.
    pub hosts: u32,
    /// Services; the hosts are distributed evenly over them.
    pub services: u32,
    /// Pipelines of three to six stages.
    pub pipelines: u32,
    /// Workspaces, each with three pipelines.
    pub workspaces: u32,
    /// Availability zones in two regions.
    pub zones: u32,
}

impl Size {
    /// The size that the system is designed for.
    pub const TARGET: Self =
        Self { hosts: 950, services: 24, pipelines: 36, workspaces: 330, zones: 5 };

    /// Returns the target with another number of hosts.
    pub const fn with_hosts(hosts: u32) -> Self {
        Self { hosts, ..Self::TARGET }
    }

    /// Returns the target with another number of workspaces.
    pub const fn with_workspaces(workspaces: u32) -> Self {
        Self { workspaces, ..Self::TARGET }
    }
}

const KINDS: [StageKind; 5] = [
    StageKind::Encode,
    StageKind::Retrieve,
    StageKind::Rerank,
    StageKind::Generate,
    StageKind::Plain,
];
const MIN_STAGES: u32 = 3;
const STAGE_COUNTS: u32 = 4;
const BASE_PORT: u16 = 7_000;

/// Builds a valid configuration of the given size.
///
/// # Panics
/// Panics if a generated name is invalid, which would be a bug in this fixture.
pub fn sized_config(size: Size) -> Config {
    let mut config = Config::default();
    for i in 0..size.zones {
        let region = name("region", i % 2);
        config.zones.insert(name("zone", i), ZoneSpec { region, serving: true });
    }
    for i in 0..size.services {
        config.services.insert(name("service", i), service(i));
    }
    for i in 0..size.hosts {
        config.hosts.insert(name("host", i), host(i, size));
    }
    for i in 0..size.pipelines {
        config.pipelines.insert(name("pipeline", i), pipeline(i, size));
    }
    for i in 0..size.workspaces {
        config.workspaces.insert(name("workspace", i), workspace(i, size));
    }
    config
}

fn name(kind: &str, i: u32) -> Name {
    Name::new(&format!("{kind}-{i:04}")).expect("fixture names are valid")
}

fn service(i: u32) -> ServiceSpec {
    let kind = KINDS[i as usize % KINDS.len()];
    ServiceSpec {
        kind,
        model: (kind == StageKind::Generate).then(|| name("model", i % 8)),
        idempotent: kind != StageKind::Plain,
        fencing: if i.is_multiple_of(2) { Fencing::Checked } else { Fencing::Ignored },
        concurrency: 32,
        cold: 2,
        warmup: Duration::from_secs(60),
        price: 1_000,
        floor: 2,
    }
}

fn host(i: u32, size: Size) -> HostSpec {
    let [_, _, high, low] = i.to_be_bytes();
    let address = IpAddr::V4(Ipv4Addr::new(127, 1, high, low));
    HostSpec {
        zone: name("zone", i % size.zones),
        service: name("service", (i / size.zones) % size.services),
        sidecar: SocketAddr::new(address, BASE_PORT),
        running: true,
    }
}

fn pipeline(i: u32, size: Size) -> PipelineSpec {
    let stage = |n: u32| {
        let service = (i + n) % size.services;
        let generates = KINDS[service as usize % KINDS.len()] == StageKind::Generate;
        StageSpec {
            name: name("stage", n),
            service: name("service", service),
            tokens: if generates { 256 } else { 0 },
        }
    };
    let count = MIN_STAGES + i % STAGE_COUNTS;
    PipelineSpec { stages: (0..count).map(stage).collect(), deadline: Duration::from_secs(5) }
}

fn workspace(i: u32, size: Size) -> WorkspaceSpec {
    WorkspaceSpec {
        region: name("region", i % 2),
        weight: 1 + i % 4,
        inflight: 64,
        pipelines: (0..3).map(|n| name("pipeline", (i + n) % size.pipelines)).collect(),
    }
}
