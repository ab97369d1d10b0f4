//! Small `Copy` keys that index [`Arena`](crate::core::arena::Arena)s.
//!
//! Names are resolved to keys once, when a configuration is compiled into a
//! [`View`](crate::core::view::View); decisions on the request path then compare integers only.
//! A key is valid only together with the view that issued it.

/// Converts between a key and its position in an arena.
pub trait ArenaKey: Copy + Ord {
    /// Returns the key of the given position.
    fn from_index(index: usize) -> Self;
    /// Returns the position that the key stands for.
    fn index(self) -> usize;
}

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident($repr:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $repr);

        impl ArenaKey for $name {
            fn from_index(index: usize) -> Self {
                debug_assert!(index <= <$repr>::MAX as usize);
                Self(index as $repr)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_key!(
    /// A host with a backend server.
    HostKey(u32)
);
arena_key!(
    /// An availability zone.
    ZoneKey(u16)
);
arena_key!(
    /// A region, a group of availability zones.
    RegionKey(u16)
);
arena_key!(
    /// A service: the pool of backend servers that can run one kind of stage.
    ServiceKey(u16)
);
arena_key!(
    /// A pipeline.
    PipelineKey(u16)
);
arena_key!(
    /// A workspace, one customer's share of the system.
    WorkspaceKey(u16)
);
arena_key!(
    /// The position of a stage in its pipeline, counted from zero.
    StageIndex(u8)
);
