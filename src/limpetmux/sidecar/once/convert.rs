//! Conversions between the messages of the protocol and the types of `core`.

use crate::core::once::{Answer, HostId, Incarnation, Known};
use crate::wire::once;

/// Writes the identity of a process.
pub(super) fn process(host: HostId, incarnation: Incarnation) -> once::Process {
    once::Process { host: host.0, incarnation: incarnation.0 }
}

/// Writes a stored answer.
pub(super) fn stored(answer: &Answer) -> once::Stored {
    once::Stored { payload: answer.payload.to_vec(), cost: answer.cost }
}

/// Writes the result of a look-up; `None` stands for a host that does not keep the key.
pub(super) fn known(known: Option<Known>) -> once::LookUpReply {
    let state = match &known {
        Some(Known::Answered(_)) => "answered",
        Some(Known::Running) => "running",
        Some(Known::NotRun) => "not_run",
        Some(Known::Absent) => "absent",
        Some(Known::Unknown) => "unknown",
        None => "not_home",
    };
    let answer = match &known {
        Some(Known::Answered(answer)) => Some(stored(answer)),
        _ => None,
    };
    once::LookUpReply { state: state.to_owned(), answer }
}
