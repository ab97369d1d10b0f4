//! What backend servers state about themselves in their answers: that they leave, and for how long
//! they want no requests. See `docs/design/leaving.md`.

use std::time::Duration;

/// The longest time for which a backend server can ask for no requests; longer ones are taken for it.
pub const MAX_HOLD: Duration = Duration::from_secs(600);

/// What one answer states about the backend server that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether it leaves.
    pub leaving: bool,
    /// For how long it wants no requests, counted from the answer.
    pub hold: Option<Duration>,
}
