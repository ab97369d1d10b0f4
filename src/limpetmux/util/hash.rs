//! Stable hashes: every node and every version of the program computes the same values.

use std::hash::Hasher;
use twox_hash::XxHash64;

const SEED: u64 = 0;

/// Returns the xxHash64 of a byte string.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    XxHash64::oneshot(SEED, bytes)
}

/// Returns the xxHash64 of several byte strings, each preceded by its length.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = XxHash64::with_seed(SEED);
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    hasher.finish()
}

/// An incremental xxHash64 over the payloads of a stream.
#[derive(Clone, Debug)]
pub struct StreamHash(XxHash64);

impl Default for StreamHash {
    fn default() -> Self {
        Self(XxHash64::with_seed(SEED))
    }
}

impl StreamHash {
    /// Adds one payload.
    pub fn update(&mut self, payload: &[u8]) {
        self.0.write(payload);
    }

    /// Returns the hash of all payloads so far.
    pub fn value(&self) -> u64 {
        self.0.finish()
    }
}
