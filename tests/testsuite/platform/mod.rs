//! The node on the users' platform: decisions without network, the adapter, and the path over TCP.

mod adapter;
mod answer_limits;
mod answer_proof;
mod catalog;
mod chain;
mod crash_fixture;
mod cut_heads;
pub(crate) mod drain;
mod early_answers;
mod endless_answers;
mod endless_callers;
pub(crate) mod endless_calls;
mod endless_failures;
mod endless_idle;
mod endless_nodes;
mod endless_server;
mod endless_store;
mod engine_bursts;
mod engines;
mod event_stream;
mod exchanged_views;
mod expected_work;
mod expiry;
mod explain;
mod fair_pool;
mod fair_share;
mod follow_store;
mod largest_prompts;
mod last_workspace;
mod late_views;
mod late_writes;
mod leaving;
mod limits;
mod listing;
mod names;
mod node_fixture;
mod nodes;
mod not_run;
mod not_run_review;
mod odd_statuses;
mod orders;
mod pieces;
mod placement;
mod poison_requests;
mod quarantine;
mod quarantine_model;
mod quarantine_ties;
mod queue_nodes;
mod queue_waits;
mod quota;
mod read_times;
mod resent;
mod restored_store;
mod restored_views;
mod retry_share;
mod rollout;
mod rollout_failures;
mod rollout_model;
mod rollout_nodes;
mod rollout_records;
mod rollout_stages;
mod server_limits;
mod server_notices;
mod soak;
mod stage_calls;
mod store_answers;
mod store_silence;
mod truncated;
mod turned_away;
mod unsent;
mod whole_path;

use limpetmux::core::listing::Server;
use limpetmux::core::log_position::{LogPosition, StoreEra};
use limpetmux::core::time::Moment;
use std::sync::Arc;
use std::time::Duration;

fn at(ms: u64) -> Moment {
    // Large enough that no subtraction in the tested code goes below the origin.
    Moment::from_millis(1_000_000 + ms)
}

/// Returns a position in the first era of the store.
fn pos(offset: u64) -> LogPosition {
    LogPosition::new(StoreEra(0), offset)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A backend server of service `plain` in a zone.
fn server(id: &str, zone: &str) -> Server {
    let number = id.bytes().map(u16::from).sum::<u16>();
    Server {
        id: id.into(),
        started_ms: 1,
        service: "plain".into(),
        addr: ([127, 0, 0, 1], 1_000 + number).into(),
        zone: zone.into(),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
        version: None,
    }
}

fn arc(text: &str) -> Arc<str> {
    text.into()
}
