//! The declared configuration: what operators keep in version control.
//!
//! Declarations enter as files, become [`Edit`]s against a base revision, travel through the
//! platform log as a [`Change`], and are folded into one [`Config`] on every node. The design is in
//! `docs/design/configuration.md`.

mod change;
mod check;
mod danger;
mod diff;
mod fold;
mod ledger;
mod object;
pub mod record;
mod replica;
mod snapshot;
mod spec;
mod tail;

pub use change::{Change, ChangeId, Edit};
pub use check::{ConfigError, check};
pub use danger::{Coverage, Danger, dangers};
pub use diff::{Ownership, diff};
pub use fold::{Fold, FoldError, FoldOutcome, WINDOW_RECORDS};
pub use ledger::{AuditEntry, Ledger, RecordKind, Rejection, Verdict};
pub use object::{Object, ObjectKind};
pub use record::FORMAT;
pub use replica::{Delta, LogRead, Position, Progress, Replica};
pub use snapshot::{Snapshot, snapshot_delay};
pub use spec::{
    Config, Fencing, HostSpec, Name, NameError, PipelineSpec, ServiceSpec, StageKind, StageSpec,
    WorkspaceSpec, ZoneSpec,
};
pub use tail::Tail;
