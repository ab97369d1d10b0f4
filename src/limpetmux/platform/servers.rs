//! The records that backend servers write into the store.

use super::store::Record;
use crate::core::listing::{ListRecord, Server};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The topic of the records.
pub const TOPIC: &str = "keyed.servers";

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServerRecord {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    #[serde(default)]
    slots: u32,
    state: State,
    /// How long the backend server stays cold after the record was written.
    #[serde(default, rename = "cold-remaining-ms")]
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    cold_left: Duration,
    /// The Unix time in milliseconds at which it started.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
}

/// Decodes a record; if that fails, the entry has no backend server, and the second value is the
/// reason, for a log line.
pub fn decode(record: Record) -> (ListRecord, Option<serde_json::Error>) {
    let id: Arc<str> = record.key.into();
    let raw: Arc<[u8]> = record.value.as_ref().into();
    if raw.is_empty() {
        return (ListRecord { id, offset: record.offset, server: None, raw }, None);
    }
    match serde_json::from_slice::<ServerRecord>(&raw) {
        Ok(fields) => {
            let server = Some(server(Arc::clone(&id), fields));
            (ListRecord { id, offset: record.offset, server, raw }, None)
        }
        Err(error) => (ListRecord { id, offset: record.offset, server: None, raw }, Some(error)),
    }
}

fn server(id: Arc<str>, record: ServerRecord) -> Server {
    Server {
        id,
        started_ms: record.born,
        service: record.service,
        addr: record.address,
        zone: record.zone,
        slots: record.slots,
        draining: record.state == State::Draining,
        cold: record.cold_left,
    }
}
