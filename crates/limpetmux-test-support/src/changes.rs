//! Configuration records for tests.

use crate::config::name;
use limpetmux::core::config::record::{Body, encode};
use limpetmux::core::config::{
    Change, ChangeId, Config, Edit, FORMAT, Ownership, WorkspaceSpec, diff,
};
use limpetmux::core::revision::{Offset, Revision};
use uuid::Uuid;

/// Returns the change id that encodes a number.
pub fn change_id(number: u128) -> ChangeId {
    ChangeId(Uuid::from_u128(number))
}

/// Returns a change with the given edits.
pub fn change(number: u128, base: Revision, seen: Offset, edits: Vec<Edit>) -> Change {
    Change {
        id: change_id(number),
        base,
        seen,
        author: name("ana"),
        submitted_ms: 0,
        reason: format!("change {number}"),
        force: false,
        edits,
    }
}

/// Returns the first change of an empty log, which declares a whole configuration.
pub fn first_change(config: &Config) -> Change {
    let edits = diff(&Config::default(), config, Ownership::Declared);
    change(0, Revision::EMPTY, Offset(0), edits)
}

/// Returns an edit that sets the weight of a workspace.
///
/// # Panics
/// Panics if the workspace is not declared.
pub fn weight_edit(config: &Config, workspace: &str, weight: u32) -> Edit {
    let spec = WorkspaceSpec { weight, ..config.workspaces[workspace].clone() };
    Edit::Workspace(name(workspace), Some(spec))
}

/// Returns an edit that puts an availability zone in or out of service.
///
/// # Panics
/// Panics if the zone is not declared.
pub fn zone_edit(config: &Config, zone: &str, serving: bool) -> Edit {
    let mut spec = config.zones[zone].clone();
    spec.serving = serving;
    Edit::Zone(name(zone), Some(spec))
}

/// Encodes a change as a log record.
///
/// # Panics
/// Panics if the record is too long.
pub fn change_record(change: Change) -> Vec<u8> {
    record(&Body::Change(change))
}

/// Encodes a record in the newest format.
///
/// # Panics
/// Panics if the record is too long.
pub fn record(body: &Body) -> Vec<u8> {
    match encode(body, FORMAT) {
        Ok(data) => data,
        Err(e) => panic!("{e}"),
    }
}
