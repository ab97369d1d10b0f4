//! The right to run one call, given back however the call ends.

use crate::backend::{Backend, Ticket};
use std::sync::Arc;

/// The backend server bears no more calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Full;

/// Removes a call from the queue if its caller goes while it waits.
pub(crate) struct Waiting {
    pub(crate) backend: Arc<Backend>,
    pub(crate) ticket: Ticket,
    pub(crate) granted: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.granted {
            self.backend.abandon(self.ticket);
        }
    }
}

/// The right to run one call.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) backend: Arc<Backend>,
    pub(crate) incarnation: u64,
    /// Whether the call ran to its end.
    pub(crate) done: bool,
}

impl Slot {
    /// Returns whether a restart broke the call.
    pub(crate) fn is_broken(&self) -> bool {
        self.backend.incarnation() != self.incarnation
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.backend.release(self.incarnation, self.done);
    }
}
