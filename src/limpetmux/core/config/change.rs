//! One operator change: a set of edits against a base revision.

use super::{
    Config, HostSpec, Name, Object, ObjectKind, PipelineSpec, ServiceSpec, WorkspaceSpec, ZoneSpec,
};
use crate::core::revision::{Offset, Revision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use uuid::Uuid;

/// Identifies a change across repeated appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(pub Uuid);

impl std::str::FromStr for ChangeId {
    type Err = uuid::Error;

    fn from_str(text: &str) -> Result<Self, uuid::Error> {
        text.parse().map(Self)
    }
}

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
    /// Applies the modification and returns its inverse.
    ///
    /// A rejected change is undone by its inverse edits, so no check needs a copy of the whole
    /// configuration.
    pub fn apply(&self, config: &mut Config) -> Self {
        fn replace<V: Clone>(
            map: &mut BTreeMap<Name, V>,
            name: &Name,
            value: &Option<V>,
        ) -> Option<V> {
            match value {
                Some(v) => map.insert(name.clone(), v.clone()),
                None => map.remove(name),
            }
        }
        match self {
            Self::Zone(name, v) => Self::Zone(name.clone(), replace(&mut config.zones, name, v)),
            Self::Host(name, v) => Self::Host(name.clone(), replace(&mut config.hosts, name, v)),
            Self::Service(name, v) => {
                Self::Service(name.clone(), replace(&mut config.services, name, v))
            }
            Self::Pipeline(name, v) => {
                Self::Pipeline(name.clone(), replace(&mut config.pipelines, name, v))
            }
            Self::Workspace(name, v) => {
                Self::Workspace(name.clone(), replace(&mut config.workspaces, name, v))
            }
        }
    }

    /// Returns the object that the modification sets or removes.
    pub fn object(&self) -> Object {
        let (kind, name) = match self {
            Self::Zone(name, _) => (ObjectKind::Zone, name),
            Self::Host(name, _) => (ObjectKind::Host, name),
            Self::Service(name, _) => (ObjectKind::Service, name),
            Self::Pipeline(name, _) => (ObjectKind::Pipeline, name),
            Self::Workspace(name, _) => (ObjectKind::Workspace, name),
        };
        Object { kind, name: name.clone() }
    }

    /// Returns whether the modification removes its object.
    pub fn is_removal(&self) -> bool {
        matches!(
            self,
            Self::Zone(_, None)
                | Self::Host(_, None)
                | Self::Service(_, None)
                | Self::Pipeline(_, None)
                | Self::Workspace(_, None)
        )
    }
}

/// A change as an operator submits it; applied whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifies the change if it is appended again because an answer was lost.
    pub id: ChangeId,
    /// The revision that the change was made against.
    pub base: Revision,
    /// The end of the log when the change was made, which decides when the change expires.
    pub seen: Offset,
    /// Who submitted the change.
    pub author: Name,
    /// When the operator's command submitted the change, in milliseconds of Unix time.
    ///
    /// Only the audit trail shows it; no decision reads it.
    #[serde(default)]
    pub submitted_ms: u64,
    /// Why the change was made.
    pub reason: String,
    /// Whether the operator allows the dangers that [`dangers`](super::dangers) finds.
    #[serde(default)]
    pub force: bool,
    /// The modifications, applied in order.
    pub edits: Vec<Edit>,
}
