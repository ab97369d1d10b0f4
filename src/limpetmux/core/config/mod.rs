//! The declared configuration: what operators keep in version control.
//!
//! Declarations enter as files, become [`Edit`]s against a base revision, travel through the
//! platform log as a [`Change`], and are folded into one [`Config`] on every node. The design is in
//! `docs/design/configuration.md`.

mod change;
mod check;
mod spec;

pub use change::{Change, ChangeId, Edit};
pub use check::{ConfigError, check};
pub use spec::{
    Config, Fencing, HostSpec, Name, NameError, PipelineSpec, ServiceSpec, StageKind, StageSpec,
    WorkspaceSpec, ZoneSpec,
};
