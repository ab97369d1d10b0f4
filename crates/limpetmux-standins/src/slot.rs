//! Guards of a backend server's slots and queue, which clean up however a call ends.

use crate::backend::{Backend, Ticket};
use std::sync::Arc;

/// The backend server accepts no more calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Full;

/// Removes a queued call that ends without a slot, for instance when its caller disconnects.
pub(crate) struct QueueGuard {
    pub(crate) backend: Arc<Backend>,
    pub(crate) ticket: Ticket,
    pub(crate) granted: bool,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if !self.granted {
            self.backend.abandon(self.ticket);
        }
    }
}

/// The slot of one running call, released on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) backend: Arc<Backend>,
    pub(crate) incarnation: u64,
    /// Whether the call ran to completion.
    pub(crate) completed: bool,
}

impl Slot {
    /// Returns whether a restart aborted the call.
    pub(crate) fn is_aborted(&self) -> bool {
        self.backend.incarnation() != self.incarnation
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.backend.release(self.incarnation, self.completed);
    }
}
