//! Messages to the control service.

use crate::core::config::{ChangeId, Delta, Entry, FoldError, Position};
use tokio::sync::oneshot;

/// How far this node has folded, and what the peer lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Exchanged {
    /// How far this node has folded.
    pub position: Position,
    /// What the peer lacks.
    pub delta: Delta,
}

/// A message to the control service.
#[derive(Debug)]
pub enum ControlMessage {
    /// A peer told how far it has folded and may have sent what this node lacks.
    Exchange {
        /// What the peer sent.
        peer: Exchanged,
        /// Receives what the peer lacks.
        reply: oneshot::Sender<Result<Exchanged, FoldError>>,
    },
    /// Asks for the verdict on a change.
    Find {
        /// The change id.
        id: ChangeId,
        /// Receives the verdict if the change was folded within the window.
        reply: oneshot::Sender<Option<Entry>>,
    },
}
