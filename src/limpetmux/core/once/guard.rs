//! The safety checks of the protocol; the exploration can turn each of them off.

use strum::{Display, IntoStaticStr, VariantArray};

/// One safety check of the protocol; `docs/design/at-most-once.md` says what fails without it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Guard {
    /// Without the log, the home runs a key only while a promise of the successor lasts.
    Promise,
    /// The successor appends no takeover while its promise lasts.
    Honour,
    /// A restarted successor waits until any earlier promise has expired before it takes over.
    Quiet,
    /// A restarted successor makes no promise before it has read the log to its end.
    ReadBeforePromise,
    /// After a takeover the successor runs only keys that are newer than the takeover.
    OlderThanTakeover,
    /// A restarted home runs only keys that are newer than its start.
    OlderThanHome,
    /// A claim that follows a takeover in the log is refused.
    LogOrder,
    /// The successor makes no promise to a home that has not read its last takeover or return.
    HomeRead,
    /// A received table is dropped once a later incarnation of its sender is seen.
    FreshHandover,
    /// A host stops accepting keys when it hands over its table.
    StopFirst,
    /// A pair runs no key that another pair may still run according to its own declaration.
    FormerPair,
    /// A pair stops running keys once one of its hosts has declared other hosts.
    PartnerLeft,
    /// A pair runs only keys that are newer than the end of the previous pair.
    OlderThanMove,
    /// The successor makes no promise to a home that has declared different hosts.
    AgreedPromise,
    /// A host runs no key that its own declaration, not yet read back, assigns to another pair.
    StopToDeclare,
    /// A process runs no key before it has read its own declaration from the log.
    DeclareFirst,
}

/// The active guards: all of them by default.
///
/// Only the exploration in `tests/testsuite/once_explore.rs` turns one off, to show that the
/// protocol fails without it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Guards {
    disabled: Option<Guard>,
}

impl Guards {
    /// Returns all guards except one, for explorations.
    pub const fn without(guard: Guard) -> Self {
        Self { disabled: Some(guard) }
    }

    /// Returns whether a guard is active.
    pub fn on(self, guard: Guard) -> bool {
        self.disabled != Some(guard)
    }
}
