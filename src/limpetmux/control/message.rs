//! Messages to the control service.

use crate::core::config::{AuditEntry, ChangeId, Delta, FoldError, Position};
use tokio::sync::oneshot;

/// The fold position of a node and the records that its peer lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerUpdate {
    /// How far the sender has folded the log.
    pub position: Position,
    /// The records or the snapshot that the receiver lacks.
    pub delta: Delta,
}

/// A message to the control service.
#[derive(Debug)]
pub enum ControlMessage {
    /// Applies a peer's records and asks for those that the peer lacks.
    Exchange {
        /// The position and records of the peer.
        peer: PeerUpdate,
        /// Receives this node's position and the records that the peer lacks.
        reply: oneshot::Sender<Result<PeerUpdate, FoldError>>,
    },
    /// Looks up the verdict on a change.
    FindVerdict {
        /// The id of the change.
        id: ChangeId,
        /// Receives the verdict if the change was folded within the window.
        reply: oneshot::Sender<Option<AuditEntry>>,
    },
}
