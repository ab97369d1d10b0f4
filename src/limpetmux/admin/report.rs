//! Builds the rows of a status reply from the published state.

use crate::core::cost::Ledger;
use crate::core::membership::{HostState, HostStates};
use crate::core::time::Moment;
use crate::core::view::View;
use crate::wire::admin::{HostRow, StageRow, ZoneRow};
use std::collections::BTreeMap;
use std::time::Duration;

/// Returns one row per host of the view.
pub fn host_rows(now: Moment, view: &View, states: &HostStates) -> Vec<HostRow> {
    let row = |(key, host): (_, &crate::core::view::HostRow)| {
        let status = states.status(view, key);
        HostRow {
            host: host.name.to_string(),
            zone: view.zones[host.zone].name.to_string(),
            service: view.services[host.service].name.to_string(),
            address: host.sidecar.to_string(),
            state: status.state.to_string(),
            cause: status.cause.map(|c| c.to_string()).unwrap_or_default(),
            since_ms: millis(now.since(status.since)),
        }
    };
    view.hosts.iter().map(row).collect()
}

/// Returns one row per availability zone of the view.
pub fn zone_rows(view: &View, states: &HostStates) -> Vec<ZoneRow> {
    let mut rows: Vec<ZoneRow> = view
        .zones
        .iter()
        .map(|(_, zone)| ZoneRow {
            zone: zone.name.to_string(),
            region: view.regions[zone.region].to_string(),
            serving: zone.serving,
            hosts: 0,
            usable: 0,
        })
        .collect();
    for (key, host) in view.hosts.iter() {
        let row = &mut rows[usize::from(host.zone.0)];
        row.hosts += 1;
        let is_live = states.status(view, key).state == HostState::Live;
        row.usable += u32::from(is_live && states.is_usable(view, key));
    }
    rows
}

/// Returns one row per stage, summed over all workspaces.
pub fn stage_rows(ledger: &Ledger) -> Vec<StageRow> {
    let mut sums: BTreeMap<(&str, &str), StageRow> = BTreeMap::new();
    for row in ledger.rows() {
        let sum = sums.entry((row.pipeline.as_str(), row.stage.as_str())).or_default();
        sum.pipeline = row.pipeline.to_string();
        sum.stage = row.stage.to_string();
        sum.attempts += row.attempts;
        sum.busy_us += u64::try_from(row.busy.as_micros()).unwrap_or(u64::MAX);
        sum.cost = sum.cost.saturating_add(row.cost);
        sum.late += row.late;
    }
    sums.into_values().collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
