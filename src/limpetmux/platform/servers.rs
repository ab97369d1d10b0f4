//! The records that backend servers write into the store.

use super::store::Record;
use crate::core::listing::{ListRecord, Server, WriteNumber};
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
    /// The number of the write since then.
    sequence: Option<u64>,
    /// The version of its software; one that is not a text states none.
    #[serde(default)]
    version: serde_json::Value,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
}

/// Why a record names no backend server that can be used.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The value cannot be decoded.
    #[error("the record cannot be decoded")]
    Value(#[from] serde_json::Error),
    /// The id cannot be sent in a header of a request.
    #[error("the id cannot be sent in a request")]
    Id,
    /// No backend server can listen at the address.
    #[error("no backend server can listen at the address")]
    Address,
}

/// Decodes a record; if that fails, the entry has no backend server, and the second value is the
/// reason, for a log line.
pub fn decode(record: Record) -> (ListRecord, Option<ServerError>) {
    let id: Arc<str> = record.key.into();
    let raw: Arc<[u8]> = record.value.as_ref().into();
    let unusable = ListRecord {
        id: Arc::clone(&id),
        position: record.position,
        believed: false,
        doubted: None,
        late: false,
        server: None,
        write: None,
        write_era: record.position.era,
        raw: Arc::clone(&raw),
    };
    if raw.is_empty() {
        return (unusable, None);
    }
    match fields(&id, &raw) {
        Ok(fields) => {
            let write = write_number(&fields);
            (ListRecord { server: Some(server(id, fields)), write, ..unusable }, None)
        }
        Err(error) => (unusable, Some(error)),
    }
}

/// Decodes the fields of a record of which another writer may have written anything.
fn fields(id: &str, raw: &[u8]) -> Result<ServerRecord, ServerError> {
    let fields: ServerRecord = serde_json::from_slice(raw)?;
    if id.is_empty() || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(ServerError::Id);
    }
    let ip = fields.address.ip();
    if fields.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(ServerError::Address);
    }
    Ok(fields)
}

/// Returns the number of a write; the counts of a backend server that does not state its start may
/// begin anew unnoticed.
fn write_number(record: &ServerRecord) -> Option<WriteNumber> {
    let sequence = record.sequence.filter(|_| record.born > 0)?;
    Some(WriteNumber::new(record.born, sequence))
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
        version: record.version.as_str().map(Arc::from),
    }
}
