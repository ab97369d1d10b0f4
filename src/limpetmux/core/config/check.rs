//! The rules that every configuration in force obeys.
//!
//! The same function runs at the operator's command and in the fold on every node, so that all
//! nodes give the same verdict on a change. A rule is part of the record format: adding or
//! changing one needs a new [`FORMAT`](super::FORMAT), or nodes of two versions would disagree.

use super::{Config, Name, PipelineSpec, StageKind};
use serde::{Deserialize, Serialize};

/// A rule that a configuration breaks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum ConfigError {
    /// A host is in a zone that is not declared.
    #[error("host `{host}` is in unknown availability zone `{zone}`")]
    HostZone {
        /// The host.
        host: Name,
        /// The zone that is not declared.
        zone: Name,
    },
    /// A host belongs to a service that is not declared.
    #[error("host `{host}` belongs to unknown service `{service}`")]
    HostService {
        /// The host.
        host: Name,
        /// The service that is not declared.
        service: Name,
    },
    /// Two hosts declare the same sidecar address.
    #[error("hosts `{first}` and `{second}` share one sidecar address")]
    SharedAddress {
        /// The first host in name order.
        first: Name,
        /// The second host in name order.
        second: Name,
    },
    /// A service declares a limit that is out of range.
    #[error("service `{service}` needs 1 <= cold <= concurrency")]
    Limits {
        /// The service.
        service: Name,
    },
    /// A pipeline has no stage or more than [`MAX_STAGES`].
    #[error("pipeline `{pipeline}` needs 1 to {MAX_STAGES} stages")]
    StageCount {
        /// The pipeline.
        pipeline: Name,
    },
    /// Two stages of a pipeline have the same name.
    #[error("pipeline `{pipeline}` has two stages `{stage}`")]
    StageName {
        /// The pipeline.
        pipeline: Name,
        /// The repeated stage.
        stage: Name,
    },
    /// A stage runs on a service that is not declared.
    #[error("stage `{stage}` of pipeline `{pipeline}` runs on unknown service `{service}`")]
    StageService {
        /// The pipeline.
        pipeline: Name,
        /// The stage.
        stage: Name,
        /// The service that is not declared.
        service: Name,
    },
    /// A generation stage declares no token limit.
    #[error("stage `{stage}` of pipeline `{pipeline}` generates and needs `tokens` above zero")]
    StageTokens {
        /// The pipeline.
        pipeline: Name,
        /// The stage.
        stage: Name,
    },
    /// A pipeline has a deadline of zero.
    #[error("pipeline `{pipeline}` needs a deadline above zero")]
    Deadline {
        /// The pipeline.
        pipeline: Name,
    },
    /// A workspace lists a pipeline that is not declared.
    #[error("workspace `{workspace}` lists unknown pipeline `{pipeline}`")]
    WorkspacePipeline {
        /// The workspace.
        workspace: Name,
        /// The pipeline that is not declared.
        pipeline: Name,
    },
    /// A workspace's home region has no availability zone.
    #[error("workspace `{workspace}` has unknown home region `{region}`")]
    WorkspaceRegion {
        /// The workspace.
        workspace: Name,
        /// The region without a zone.
        region: Name,
    },
    /// A workspace has a weight or limit of zero.
    #[error("workspace `{workspace}` needs a weight and an in-flight limit above zero")]
    WorkspaceShare {
        /// The workspace.
        workspace: Name,
    },
}

/// The most stages that a pipeline may have.
pub const MAX_STAGES: usize = 16;

/// Returns every rule that a configuration breaks, in a fixed order.
pub fn check(config: &Config) -> Vec<ConfigError> {
    let mut errors = Vec::new();
    check_hosts(config, &mut errors);
    check_services(config, &mut errors);
    for (name, pipeline) in &config.pipelines {
        check_pipeline(config, name, pipeline, &mut errors);
    }
    check_workspaces(config, &mut errors);
    errors
}

fn check_hosts(config: &Config, errors: &mut Vec<ConfigError>) {
    let mut addresses = std::collections::BTreeMap::new();
    for (name, host) in &config.hosts {
        if !config.zones.contains_key(&host.zone) {
            errors.push(ConfigError::HostZone { host: name.clone(), zone: host.zone.clone() });
        }
        if !config.services.contains_key(&host.service) {
            let service = host.service.clone();
            errors.push(ConfigError::HostService { host: name.clone(), service });
        }
        if let Some(first) = addresses.insert(host.sidecar, name) {
            let first = Name::clone(first);
            errors.push(ConfigError::SharedAddress { first, second: name.clone() });
        }
    }
}

fn check_services(config: &Config, errors: &mut Vec<ConfigError>) {
    for (name, service) in &config.services {
        if service.cold == 0 || service.cold > service.concurrency {
            errors.push(ConfigError::Limits { service: name.clone() });
        }
    }
}

fn check_pipeline(
    config: &Config,
    name: &Name,
    pipeline: &PipelineSpec,
    errors: &mut Vec<ConfigError>,
) {
    if pipeline.stages.is_empty() || pipeline.stages.len() > MAX_STAGES {
        errors.push(ConfigError::StageCount { pipeline: name.clone() });
    }
    if pipeline.deadline.is_zero() {
        errors.push(ConfigError::Deadline { pipeline: name.clone() });
    }
    let mut names = std::collections::BTreeSet::new();
    for stage in &pipeline.stages {
        let (pipeline, stage_name) = (name.clone(), stage.name.clone());
        if !names.insert(&stage.name) {
            errors.push(ConfigError::StageName { pipeline, stage: stage_name });
            continue;
        }
        match config.services.get(&stage.service) {
            None => {
                let service = stage.service.clone();
                errors.push(ConfigError::StageService { pipeline, stage: stage_name, service });
            }
            Some(s) if s.kind == StageKind::Generate && stage.tokens == 0 => {
                errors.push(ConfigError::StageTokens { pipeline, stage: stage_name });
            }
            Some(_) => {}
        }
    }
}

fn check_workspaces(config: &Config, errors: &mut Vec<ConfigError>) {
    for (name, workspace) in &config.workspaces {
        if workspace.weight == 0 || workspace.inflight == 0 {
            errors.push(ConfigError::WorkspaceShare { workspace: name.clone() });
        }
        if !config.zones.values().any(|z| z.region == workspace.region) {
            let region = workspace.region.clone();
            errors.push(ConfigError::WorkspaceRegion { workspace: name.clone(), region });
        }
        for pipeline in &workspace.pipelines {
            if !config.pipelines.contains_key(pipeline) {
                let (workspace, pipeline) = (name.clone(), pipeline.clone());
                errors.push(ConfigError::WorkspacePipeline { workspace, pipeline });
            }
        }
    }
}
