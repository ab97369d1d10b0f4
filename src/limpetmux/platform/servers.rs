//! The entries that backend servers write into the store.

use super::store::Record;
use crate::core::listing::{Entry, Server};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The topic of the entries.
pub const TOPIC: &str = "keyed.servers";

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Beat {
    service: Arc<str>,
    address: SocketAddr,
    zone: Arc<str>,
    #[serde(default)]
    slots: u32,
    state: State,
    /// How long the backend server stays cold.
    #[serde(default)]
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    cold_remaining_ms: Duration,
    /// The Unix millisecond of its start.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
}

/// Decodes an entry; one that cannot be read names no backend server to use.
///
/// The second value tells why, for a log line.
pub fn decode(record: Record) -> (Entry, Option<serde_json::Error>) {
    let id: Arc<str> = record.key.into();
    let raw: Arc<[u8]> = record.value.as_ref().into();
    if raw.is_empty() {
        return (Entry { id, offset: record.offset, server: None, raw }, None);
    }
    match serde_json::from_slice::<Beat>(&raw) {
        Ok(beat) => {
            let server = Some(server(Arc::clone(&id), beat));
            (Entry { id, offset: record.offset, server, raw }, None)
        }
        Err(error) => (Entry { id, offset: record.offset, server: None, raw }, Some(error)),
    }
}

fn server(id: Arc<str>, beat: Beat) -> Server {
    Server {
        id,
        born: beat.born,
        service: beat.service,
        addr: beat.address,
        zone: beat.zone,
        slots: beat.slots,
        draining: beat.state == State::Draining,
        cold: beat.cold_remaining_ms,
    }
}
