//! The types of the declared configuration.
//!
//! Every map is ordered and every field has one canonical form, so that equal configurations have
//! equal serialized bytes on every node and a digest can compare them.

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, MapPreventDuplicates, serde_as};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// The name of a declared object: lower-case letters, digits, `-`, `_` and `.`, 1 to 63 bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Box<str>);

/// The text is not a valid [`Name`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not a name: use 1 to 63 lower-case letters, digits, `-`, `_` or `.`")]
pub struct NameError {
    text: String,
}

impl Name {
    const MAX_BYTES: usize = 63;

    /// Creates a name from a valid text.
    ///
    /// # Errors
    /// Returns [`NameError`] if the text is empty, too long or has other characters.
    pub fn new(text: &str) -> Result<Self, NameError> {
        let allowed =
            |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.');
        if text.is_empty() || text.len() > Self::MAX_BYTES || !text.bytes().all(allowed) {
            return Err(NameError { text: text.to_owned() });
        }
        Ok(Self(text.into()))
    }

    /// Returns the text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        Self::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.into()
    }
}

impl std::str::FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        Self::new(text)
    }
}

impl std::fmt::Display for Name {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(&self.0)
    }
}

impl std::borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// What a stage does, which decides the protocol used with its backend servers.
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
pub enum StageKind {
    /// Turns the input into an embedding.
    Encode,
    /// Looks up documents for an embedding.
    Retrieve,
    /// Sorts documents by relevance.
    Rerank,
    /// Generates text token by token on a model engine.
    Generate,
    /// Calls a plain HTTP service.
    Plain,
}

/// Whether a backend server refuses orders with an old fencing number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
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
pub enum Fencing {
    /// The backend server compares fencing numbers itself.
    Checked,
    /// The backend server ignores fencing numbers, so its sidecar has to compare them.
    #[default]
    Ignored,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSpec {
    /// The region that the zone belongs to.
    pub region: Name,
    /// Whether the zone receives new work.
    pub serving: bool,
}

/// A host with a backend server and its sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSpec {
    /// The host's availability zone.
    pub zone: Name,
    /// The service that its backend server belongs to.
    pub service: Name,
    /// The address on which the host's sidecar listens.
    pub sidecar: SocketAddr,
    /// Whether operators allow the host to run.
    pub running: bool,
}

/// A pool of interchangeable backend servers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// What the backend servers do.
    pub kind: StageKind,
    /// The model that the backend servers load, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// Whether a call may be repeated without changing its effect.
    pub idempotent: bool,
    /// Whether backend servers compare fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// The number of calls that a warm backend server runs at once.
    pub concurrency: u32,
    /// The number of calls that a cold backend server runs at once.
    pub cold: u32,
    /// The time from cold to warm under light load, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "warmup_ms")]
    pub warmup: Duration,
    /// The cost of one backend server for one second, in millionths of the accounting unit.
    pub price: u64,
    /// The least number of backend servers kept awake.
    #[serde(default)]
    pub floor: u32,
}

/// One stage of a pipeline.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StageSpec {
    /// The stage's name, unique in its pipeline.
    pub name: Name,
    /// The service that runs the stage.
    pub service: Name,
    /// The most tokens that a generation stage returns; zero for other stages.
    #[serde(default)]
    pub tokens: u32,
}

/// A pipeline of stages under one deadline.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineSpec {
    /// The stages in the order in which they run.
    pub stages: Vec<StageSpec>,
    /// The deadline of requests that specify none, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
}

/// One customer's share, limits and pipelines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// The region whose hosts are the homes of the workspace's idempotency keys.
    pub region: Name,
    /// The workspace's weight in the fair share; at least 1.
    pub weight: u32,
    /// The most requests of the workspace that one entry runs at once.
    pub inflight: u32,
    /// The pipelines that the workspace may run.
    pub pipelines: Vec<Name>,
}

/// The whole declared configuration.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Availability zones by name.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub zones: BTreeMap<Name, ZoneSpec>,
    /// Hosts by name.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub hosts: BTreeMap<Name, HostSpec>,
    /// Services by name.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub services: BTreeMap<Name, ServiceSpec>,
    /// Pipelines by name.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub pipelines: BTreeMap<Name, PipelineSpec>,
    /// Workspaces by name.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub workspaces: BTreeMap<Name, WorkspaceSpec>,
}
