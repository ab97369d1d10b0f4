//! One operator change: a set of edits against a base revision.

use super::{Config, HostSpec, Name, PipelineSpec, ServiceSpec, WorkspaceSpec, ZoneSpec};
use crate::core::revision::Revision;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Identifies a change across repeated appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(pub Uuid);

impl std::fmt::Display for ChangeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// A single modification of the configuration; `None` removes the object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Edit {
    /// Sets or removes an availability zone.
    Zone(Name, Option<ZoneSpec>),
    /// Sets or removes a host.
    Host(Name, Option<HostSpec>),
    /// Sets or removes a service.
    Service(Name, Option<ServiceSpec>),
    /// Sets or removes a pipeline.
    Pipeline(Name, Option<PipelineSpec>),
    /// Sets or removes a workspace.
    Workspace(Name, Option<WorkspaceSpec>),
}

impl Edit {
    /// Applies the modification to a configuration.
    pub fn apply(&self, config: &mut Config) {
        fn put<V: Clone>(
            map: &mut std::collections::BTreeMap<Name, V>,
            name: &Name,
            value: &Option<V>,
        ) {
            match value {
                Some(v) => drop(map.insert(name.clone(), v.clone())),
                None => drop(map.remove(name)),
            }
        }
        match self {
            Self::Zone(name, v) => put(&mut config.zones, name, v),
            Self::Host(name, v) => put(&mut config.hosts, name, v),
            Self::Service(name, v) => put(&mut config.services, name, v),
            Self::Pipeline(name, v) => put(&mut config.pipelines, name, v),
            Self::Workspace(name, v) => put(&mut config.workspaces, name, v),
        }
    }
}

/// A change as an operator submits it; applied whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifies the change when the answer to an append was lost.
    pub id: ChangeId,
    /// The revision that the change was made against.
    pub base: Revision,
    /// Who submitted the change.
    pub author: Name,
    /// Why the change was made.
    pub reason: String,
    /// The modifications, applied in order.
    pub edits: Vec<Edit>,
}
