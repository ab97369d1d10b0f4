//! Records of the claims stream.

use super::{Declared, HostId, KeyId, KeyTime};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};
use std::sync::Arc;

/// Identifies one run of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A record of the claims stream; all hosts read the records in log order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Record {
    /// A home claims keys before it runs them, or after it ran them under a promise.
    Claims {
        /// The claiming host.
        home: HostId,
        /// The claiming process.
        incarnation: Incarnation,
        /// The claimed keys.
        keys: Vec<KeyId>,
    },
    /// A successor becomes the holder of the keys that it shares with a home.
    Takeover {
        /// The host that no longer runs the keys.
        home: HostId,
        /// The host that runs them from here on.
        by: HostId,
        /// The process that took over.
        incarnation: Incarnation,
    },
    /// A successor returns the keys to their home; ignored after a newer takeover.
    Return {
        /// The host that runs the keys from here on.
        home: HostId,
        /// The host that no longer runs them.
        by: HostId,
        /// The process that had taken over.
        incarnation: Incarnation,
    },
    /// From here on a host selects homes among these hosts; ignored after a declaration of a later
    /// revision.
    Declared {
        /// The declaring host.
        host: HostId,
        /// The declaring process.
        incarnation: Incarnation,
        /// The declared hosts.
        declared: Arc<Declared>,
    },
}

/// An error in decoding or encoding a record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The bytes are not a record of a known version.
    #[error("the claim record cannot be decoded")]
    Decode(#[source] serde_json::Error),
    /// The record cannot be encoded.
    #[error("the claim record cannot be encoded")]
    Encode(#[source] serde_json::Error),
    /// The length of the packed keys is not a multiple of a key's size.
    #[error("the claim record has {0} bytes of keys, which is not a multiple of a key's size")]
    Length(usize),
}

/// The format in the log: each version has its own variant name; keys are packed to keep claims
/// small.
#[serde_as]
#[derive(Serialize, Deserialize)]
enum Stored {
    #[serde(rename = "c1")]
    Claims(HostId, Incarnation, #[serde_as(as = "Base64")] Vec<u8>),
    #[serde(rename = "t1")]
    Takeover(HostId, HostId, Incarnation),
    #[serde(rename = "r1")]
    Return(HostId, HostId, Incarnation),
    #[serde(rename = "d1")]
    Declared(HostId, Incarnation, Declared),
}

/// The size of one packed key in bytes: a 16-byte digest and a 6-byte time in milliseconds.
const KEY_BYTES: usize = 22;
const TIME_BYTES: usize = 6;

impl Record {
    /// Encodes the record for the log.
    ///
    /// # Errors
    /// Returns [`RecordError::Encode`] if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let stored = match self {
            Self::Claims { home, incarnation, keys } => {
                Stored::Claims(*home, *incarnation, keys.iter().flat_map(pack).collect())
            }
            Self::Takeover { home, by, incarnation } => Stored::Takeover(*home, *by, *incarnation),
            Self::Return { home, by, incarnation } => Stored::Return(*home, *by, *incarnation),
            Self::Declared { host, incarnation, declared } => {
                Stored::Declared(*host, *incarnation, declared.as_ref().clone())
            }
        };
        serde_json::to_vec(&stored).map_err(RecordError::Encode)
    }

    /// Decodes a record from the log.
    ///
    /// # Errors
    /// Returns [`RecordError`] if the bytes are not a record of a known version.
    pub fn decode(data: &[u8]) -> Result<Self, RecordError> {
        match serde_json::from_slice(data).map_err(RecordError::Decode)? {
            Stored::Claims(home, incarnation, packed) => {
                Ok(Self::Claims { home, incarnation, keys: unpack(&packed)? })
            }
            Stored::Takeover(home, by, incarnation) => Ok(Self::Takeover { home, by, incarnation }),
            Stored::Return(home, by, incarnation) => Ok(Self::Return { home, by, incarnation }),
            Stored::Declared(host, incarnation, declared) => {
                Ok(Self::Declared { host, incarnation, declared: Arc::new(declared) })
            }
        }
    }
}

fn pack(key: &KeyId) -> [u8; KEY_BYTES] {
    let mut packed = [0; KEY_BYTES];
    let time = key.created().map_or(0, |t| t.0).to_be_bytes();
    packed[..16].copy_from_slice(&key.digest().to_be_bytes());
    packed[16..].copy_from_slice(&time[8 - TIME_BYTES..]);
    packed
}

fn unpack(packed: &[u8]) -> Result<Vec<KeyId>, RecordError> {
    if !packed.len().is_multiple_of(KEY_BYTES) {
        return Err(RecordError::Length(packed.len()));
    }
    Ok(packed.chunks_exact(KEY_BYTES).map(unpack_key).collect())
}

fn unpack_key(packed: &[u8]) -> KeyId {
    let big_endian = |part: &[u8]| part.iter().fold(0_u128, |n, b| n << 8 | u128::from(*b));
    let time = u64::try_from(big_endian(&packed[16..])).unwrap_or_default();
    KeyId::from_digest(big_endian(&packed[..16]), (time > 0).then_some(KeyTime(time)))
}
