//! Names of groups of parts that are quarantined together.

use crate::core::prompt_part::PartId;
use crate::util::hash::hash_parts;

/// Names the verdict on a group of parts.
///
/// It follows from the parts that the group had at first, so that all nodes that find the same group
/// name it alike, and a group keeps its name when parts are taken out of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(u64);

impl GroupId {
    /// Creates the name with a value that is not zero.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the name of a group that has some parts at first, which are in their order.
    pub fn of(parts: &[PartId]) -> Self {
        let names: Vec<[u8; 8]> = parts.iter().map(|part| part.value().to_le_bytes()).collect();
        let names: Vec<&[u8]> = names.iter().map(<[u8; 8]>::as_slice).collect();
        // Zero stands for no name in messages.
        Self(hash_parts(&names).max(1))
    }

    /// Returns the value.
    pub const fn value(self) -> u64 {
        self.0
    }
}
