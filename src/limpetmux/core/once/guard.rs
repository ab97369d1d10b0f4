//! The guards of the protocol, each of which the exploration can switch off.

use strum::{Display, IntoStaticStr, VariantArray};

/// One guard of the protocol; `docs/design/at-most-once.md` says what fails without it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Guard {
    /// The home runs from memory only under a live promise of the successor.
    Promise,
    /// The successor appends no takeover while its promise lasts.
    Honour,
    /// A restarted successor waits longer than any promise before it takes over.
    Quiet,
    /// A restarted successor promises nothing before it has read the log to its end.
    ReadBeforePromise,
    /// After a takeover the successor runs only keys that are newer than the takeover.
    OlderThanTakeover,
    /// A restarted home runs only keys that are newer than its start.
    OlderThanHome,
    /// A claim behind a takeover loses.
    LogOrder,
    /// The successor promises nothing to a home that has not read its last takeover and return.
    HomeRead,
    /// A table handed over is dropped once its sender's next incarnation is seen.
    FreshHandover,
    /// A host accepts nothing from the moment at which it hands its table over.
    StopFirst,
    /// A pair runs no key that another pair may still run by the hosts that it declared.
    FormerPair,
    /// A pair of which one host has declared other hosts runs no key any more.
    PartnerLeft,
    /// A pair runs only keys that are newer than the end of the pair before it.
    OlderThanMove,
    /// The successor promises nothing to a home that has declared other hosts than itself.
    AgreedPromise,
    /// A host runs no key that a declaration of its own on the way gives to another pair.
    StopToDeclare,
    /// A process runs nothing before it has read its own declaration back.
    DeclareFirst,
}

/// The guards in force: all of them by default.
///
/// Only the exploration in `tests/testsuite/once_explore.rs` switches one off, to show that the
/// protocol fails without it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Guards {
    off: Option<Guard>,
}

impl Guards {
    /// Returns all guards but one, for explorations.
    pub const fn without(guard: Guard) -> Self {
        Self { off: Some(guard) }
    }

    /// Returns whether a guard is in force.
    pub fn on(self, guard: Guard) -> bool {
        self.off != Some(guard)
    }
}
