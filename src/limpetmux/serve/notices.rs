//! What backend servers state about themselves in their answers, as the tasks of one node share it.

use crate::core::server_notices::ServerNotice;
use crate::event;
use crate::util::event::EventCode;

/// Logs what an answer states about the backend server that sent it.
pub fn record(server: &str, notice: ServerNotice) {
    if notice.leaving {
        event!(EventCode::ServerLeaving, server = server);
    }
    if let Some(hold) = notice.hold {
        event!(EventCode::ServerHeld, server = server, hold_ms = hold.as_millis());
    }
}
