//! Fair share of a full resource between workspaces.
//!
//! A resource is full when more work waits for it than it does within a short time. Then each
//! workspace gets at least its weight's part of the work, and the part that some don't use is lent to the
//! others. [`FairTags`] orders the work of stage queues and of the product's own sidecars; [`PoolShare`]
//! decides who is refused at a pool of model engines. Callers pass in work and time, and act on the
//! decisions. See `docs/design/fair-share.md`.

mod contest;
mod pool;
mod tags;

pub use contest::{Contest, Spell};
pub use pool::PoolShare;
pub use tags::{FairTags, Tag};

use crate::util::hash::hash_bytes;

/// Identifies the workspace of some work across configurations, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId(pub u64);

impl FlowId {
    /// Returns the id of a workspace.
    pub fn of(workspace: &str) -> Self {
        Self(hash_bytes(workspace.as_bytes()))
    }
}
