//! The encoding of configuration records in the platform log.
//!
//! A record is a JSON envelope with a format number, so that the log is readable with ordinary
//! tools. The format number makes rolling upgrades safe: nodes of every version reject a record
//! whose format is above the one activated in the log, whether they could decode it or not.
//! Operators activate a format once all nodes run a version that knows it. See
//! `docs/design/configuration.md`.

use super::{Change, ChangeId, Name, Snapshot};
use serde::{Deserialize, Serialize};

/// The newest record format that this version of the program knows.
pub const FORMAT: u32 = 1;
/// The record format that is active in an empty log.
pub const FIRST_FORMAT: u32 = 1;
/// The longest record that is folded, in bytes.
pub const RECORD_BYTES: usize = 4 << 20;

/// Activates a record format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Activation {
    /// Identifies the record, as in a [`Change`].
    pub id: ChangeId,
    /// The format to activate.
    pub format: u32,
    /// Who submitted the record.
    pub author: Name,
    /// When it was submitted, in milliseconds of Unix time.
    pub submitted_ms: u64,
}

/// Invalidates a change id, so that an append still in flight has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Void {
    /// The change id to invalidate.
    pub id: ChangeId,
    /// Who submitted the record.
    pub author: Name,
    /// When it was submitted, in milliseconds of Unix time.
    pub submitted_ms: u64,
}

/// The content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// An operator's change.
    Change(Change),
    /// The state that all records below an offset lead to.
    Snapshot(Box<Snapshot>),
    /// The activation of a record format.
    Format(Activation),
    /// The invalidation of a change id.
    Void(Void),
}

/// An error of encoding or decoding a record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The bytes are not a JSON envelope of a known format.
    #[error("the record cannot be decoded")]
    Json(#[from] serde_json::Error),
    /// The record is longer than [`RECORD_BYTES`].
    #[error("the record has {bytes} bytes, more than the limit of {RECORD_BYTES}")]
    Length {
        /// The record's length.
        bytes: usize,
    },
    /// This version of the program does not know the format.
    #[error("record format {version} is unknown to this version")]
    Version {
        /// The record's format.
        version: u32,
    },
}

#[derive(Deserialize)]
struct FormatHeader {
    version: u32,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope<B> {
    version: u32,
    body: B,
}

/// Reads the format number of a record.
///
/// # Errors
/// Returns [`RecordError`] if the record is too long or not an envelope.
pub fn version(data: &[u8]) -> Result<u32, RecordError> {
    if data.len() > RECORD_BYTES {
        return Err(RecordError::Length { bytes: data.len() });
    }
    Ok(serde_json::from_slice::<FormatHeader>(data)?.version)
}

/// Decodes a record of a format that this version knows.
///
/// # Errors
/// Returns [`RecordError`] if the format is unknown or the bytes do not follow it.
pub fn decode(data: &[u8]) -> Result<Body, RecordError> {
    match version(data)? {
        FIRST_FORMAT..=FORMAT => Ok(serde_json::from_slice::<Envelope<Body>>(data)?.body),
        version => Err(RecordError::Version { version }),
    }
}

/// Encodes a record in the activated format, so that older nodes can decode it too.
///
/// # Errors
/// Returns [`RecordError`] if the record is longer than [`RECORD_BYTES`].
pub fn encode(body: &Body, format: u32) -> Result<Vec<u8>, RecordError> {
    let data = serde_json::to_vec(&Envelope { version: format.min(FORMAT), body })?;
    if data.len() > RECORD_BYTES {
        return Err(RecordError::Length { bytes: data.len() });
    }
    Ok(data)
}
