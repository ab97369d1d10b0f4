//! References to declared objects, for conflict checks and the audit trail.

use super::Name;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// The kind of a declared object.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ObjectKind {
    /// An availability zone.
    Zone,
    /// A host.
    Host,
    /// A service.
    Service,
    /// A pipeline.
    Pipeline,
    /// A workspace.
    Workspace,
}

/// A declared object, whether it still exists or not.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name, unique within its kind.
    pub name: Name,
}

impl std::fmt::Display for Object {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}
