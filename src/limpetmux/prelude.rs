//! Common types for keys, times and names, meant for a glob import.

pub use crate::core::arena::Arena;
pub use crate::core::config::{Config, Name, StageKind};
pub use crate::core::keys::{
    HostKey, PipelineKey, RegionKey, ServiceKey, StageIndex, WorkspaceKey, ZoneKey,
};
pub use crate::core::refusal::{Execution, Refusal, RefusalCode};
pub use crate::core::revision::{Offset, Revision};
pub use crate::core::time::Moment;
pub use crate::core::view::View;
