//! The compiled, immutable form of a configuration that traffic threads read.
//!
//! The control thread compiles a view once per revision and publishes it with one atomic swap.
//! Names become keys here, so the request path compares integers only.

use crate::core::arena::Arena;
use crate::core::config::{Config, Name, PipelineSpec, ServiceSpec, WorkspaceSpec};
use crate::core::keys::{
    HostKey, PipelineKey, RegionKey, ServiceKey, StageIndex, WorkspaceKey, ZoneKey,
};
use crate::core::revision::Revision;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A compiled availability zone.
#[derive(Clone, Debug)]
pub struct ZoneRow {
    /// The declared name.
    pub name: Name,
    /// The region of the zone.
    pub region: RegionKey,
    /// Whether the zone receives new work.
    pub serving: bool,
}

/// A compiled host.
#[derive(Clone, Debug)]
pub struct HostRow {
    /// The declared name.
    pub name: Name,
    /// The zone of the host.
    pub zone: ZoneKey,
    /// The service of the host's backend server.
    pub service: ServiceKey,
    /// The address where the host's sidecar listens.
    pub sidecar: SocketAddr,
    /// Whether operators allow the host to run.
    pub running: bool,
}

/// A compiled service.
#[derive(Clone, Debug)]
pub struct ServiceRow {
    /// The declared name.
    pub name: Name,
    /// The declaration.
    pub spec: ServiceSpec,
    /// All hosts of the service in name order, whether running or not.
    pub hosts: Vec<HostKey>,
}

/// A compiled stage.
#[derive(Clone, Debug)]
pub struct StageRow {
    /// The declared name.
    pub name: Name,
    /// The service that runs the stage.
    pub service: ServiceKey,
    /// The most tokens that the stage generates.
    pub tokens: u32,
}

/// A compiled pipeline.
#[derive(Clone, Debug)]
pub struct PipelineRow {
    /// The declared name.
    pub name: Name,
    /// The stages in the order in which they run.
    pub stages: Vec<StageRow>,
    /// The deadline of requests that state none.
    pub deadline: std::time::Duration,
}

/// A compiled workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceRow {
    /// The declared name.
    pub name: Name,
    /// The home region of the workspace's idempotency keys.
    pub region: RegionKey,
    /// The weight in the fair share.
    pub weight: u32,
    /// The most requests that one entry runs at once.
    pub inflight: u32,
    /// The pipelines that the workspace may run, sorted.
    pub pipelines: Vec<PipelineKey>,
}

/// One configuration revision, compiled.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The revision that the view was compiled from.
    pub revision: Revision,
    /// Region names.
    pub regions: Arena<RegionKey, Name>,
    /// Availability zones.
    pub zones: Arena<ZoneKey, ZoneRow>,
    /// Services.
    pub services: Arena<ServiceKey, ServiceRow>,
    /// Hosts.
    pub hosts: Arena<HostKey, HostRow>,
    /// Pipelines.
    pub pipelines: Arena<PipelineKey, PipelineRow>,
    /// Workspaces.
    pub workspaces: Arena<WorkspaceKey, WorkspaceRow>,
    host_names: BTreeMap<Name, HostKey>,
    zone_names: BTreeMap<Name, ZoneKey>,
    service_names: BTreeMap<Name, ServiceKey>,
    pipeline_names: BTreeMap<Name, PipelineKey>,
    workspace_names: BTreeMap<Name, WorkspaceKey>,
}

impl View {
    /// Compiles a configuration that [`check`](crate::core::config::check) accepts.
    ///
    /// Objects that refer to missing names are left out, so a view never holds a dangling key.
    pub fn compile(revision: Revision, config: &Config) -> Self {
        let mut view = Self { revision, ..Self::default() };
        view.add_zones(config);
        view.add_services(config);
        view.add_hosts(config);
        view.add_pipelines(config);
        view.add_workspaces(config);
        view
    }

    /// Finds a host by name.
    pub fn host(&self, name: &str) -> Option<HostKey> {
        self.host_names.get(name).copied()
    }

    /// Finds a zone by name.
    pub fn zone(&self, name: &str) -> Option<ZoneKey> {
        self.zone_names.get(name).copied()
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Finds a pipeline by name.
    pub fn pipeline(&self, name: &str) -> Option<PipelineKey> {
        self.pipeline_names.get(name).copied()
    }

    /// Finds a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<WorkspaceKey> {
        self.workspace_names.get(name).copied()
    }

    /// Returns one stage of a pipeline.
    pub fn stage(&self, pipeline: PipelineKey, stage: StageIndex) -> Option<&StageRow> {
        self.pipelines.get(pipeline)?.stages.get(usize::from(stage.0))
    }

    /// Returns whether operators allow the host to run and its zone receives new work.
    pub fn is_serving(&self, host: HostKey) -> bool {
        let row = &self.hosts[host];
        row.running && self.zones[row.zone].serving
    }

    fn add_zones(&mut self, config: &Config) {
        let mut regions = BTreeMap::new();
        for (name, spec) in &config.zones {
            let region = *regions
                .entry(spec.region.clone())
                .or_insert_with(|| self.regions.push(spec.region.clone()));
            let row = ZoneRow { name: name.clone(), region, serving: spec.serving };
            self.zone_names.insert(name.clone(), self.zones.push(row));
        }
    }

    fn add_services(&mut self, config: &Config) {
        for (name, spec) in &config.services {
            let row = ServiceRow { name: name.clone(), spec: spec.clone(), hosts: Vec::new() };
            self.service_names.insert(name.clone(), self.services.push(row));
        }
    }

    fn add_hosts(&mut self, config: &Config) {
        for (name, spec) in &config.hosts {
            let (Some(zone), Some(service)) =
                (self.zone(spec.zone.as_str()), self.service(spec.service.as_str()))
            else {
                continue;
            };
            let (sidecar, running) = (spec.sidecar, spec.running);
            let key =
                self.hosts.push(HostRow { name: name.clone(), zone, service, sidecar, running });
            self.services[service].hosts.push(key);
            self.host_names.insert(name.clone(), key);
        }
    }

    fn add_pipelines(&mut self, config: &Config) {
        for (name, spec) in &config.pipelines {
            let Some(stages) = self.compile_stages(spec) else { continue };
            let row = PipelineRow { name: name.clone(), stages, deadline: spec.deadline };
            self.pipeline_names.insert(name.clone(), self.pipelines.push(row));
        }
    }

    fn compile_stages(&self, spec: &PipelineSpec) -> Option<Vec<StageRow>> {
        let compile = |s: &crate::core::config::StageSpec| {
            let service = self.service(s.service.as_str())?;
            Some(StageRow { name: s.name.clone(), service, tokens: s.tokens })
        };
        spec.stages.iter().map(compile).collect()
    }

    fn add_workspaces(&mut self, config: &Config) {
        for (name, spec) in &config.workspaces {
            let Some(row) = self.compile_workspace(name, spec) else { continue };
            self.workspace_names.insert(name.clone(), self.workspaces.push(row));
        }
    }

    fn compile_workspace(&self, name: &Name, spec: &WorkspaceSpec) -> Option<WorkspaceRow> {
        let (region, _) = self.regions.iter().find(|(_, r)| **r == spec.region)?;
        let mut pipelines: Vec<PipelineKey> =
            spec.pipelines.iter().filter_map(|p| self.pipeline(p.as_str())).collect();
        pipelines.sort_unstable();
        pipelines.dedup();
        let (weight, inflight) = (spec.weight, spec.inflight);
        Some(WorkspaceRow { name: name.clone(), region, weight, inflight, pipelines })
    }
}
