//! A connection to another process that its caller keeps between calls.
//!
//! The other process closes a connection without calls after `NODE_IDLE_TIME`. A call that is sent
//! just then would be lost, without a proof that it did not run. The caller therefore opens another
//! connection well before.

use crate::core::read_limits::{KEPT_IDLE_TIME, NODE_IDLE_TIME};
use crate::core::time::Moment;
use std::sync::{Mutex, PoisonError};
use tonic::transport::{Channel, Endpoint};

// The other half of the time is for a call to arrive after its connection has been chosen.
const _: () = assert!(KEPT_IDLE_TIME.as_secs() * 2 <= NODE_IDLE_TIME.as_secs());

/// A connection that is opened on first use, and again after an idle time.
#[derive(Debug)]
pub struct KeptChannel {
    endpoint: Endpoint,
    open: Mutex<Option<(Channel, Moment)>>,
}

impl KeptChannel {
    /// Creates a connection that is not open.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint, open: Mutex::default() }
    }

    /// Returns the connection for a call that is made now, by the clock that includes suspension.
    ///
    /// One that was not used for [`KEPT_IDLE_TIME`] is replaced; its running calls go on.
    pub fn channel(&self, now: Moment) -> Channel {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let recent = open.take().filter(|(_, used)| now.since(*used) < KEPT_IDLE_TIME);
        let channel = recent.map_or_else(|| self.endpoint.connect_lazy(), |(channel, _)| channel);
        *open = Some((channel.clone(), now));
        channel
    }
}
