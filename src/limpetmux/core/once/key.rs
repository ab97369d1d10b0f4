//! Idempotency keys hashed to a fixed size, with the creation time that a key may contain.

use crate::util::hash::hash_parts;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A wall-clock time in milliseconds since the Unix epoch.
///
/// Used only to compare a key's creation with a process start or a takeover, within the clock
/// margin of [`Rules`](super::Rules).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyTime(pub u64);

impl std::ops::Add<Duration> for KeyTime {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(d.as_millis()).unwrap_or(u64::MAX)))
    }
}

/// Identifies one non-idempotent stage under one caller's idempotency key.
///
/// Holds a 128-bit digest of workspace, pipeline, stage and key text, so that a table row and a
/// claim have a fixed size, and the creation time if the key is a UUIDv7.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyId {
    digest: u128,
    created: Option<KeyTime>,
}

impl KeyId {
    /// Hashes a caller's key, scoped by workspace, pipeline and stage.
    pub fn new(workspace: &str, pipeline: &str, stage: u8, key: &str) -> Self {
        let hash_half = |tag: &[u8]| {
            let parts = [tag, workspace.as_bytes(), pipeline.as_bytes(), &[stage], key.as_bytes()];
            u128::from(hash_parts(&parts))
        };
        Self { digest: hash_half(b"high") << 64 | hash_half(b"low"), created: uuid_time(key) }
    }

    /// Creates a key from its digest and creation time.
    pub const fn from_digest(digest: u128, created: Option<KeyTime>) -> Self {
        Self { digest, created }
    }

    /// Returns the digest, which determines the key's home.
    pub const fn digest(self) -> u128 {
        self.digest
    }

    /// Returns when the caller created the key, if the key contains that time.
    pub const fn created(self) -> Option<KeyTime> {
        self.created
    }
}

/// Returns the timestamp of a UUIDv7, or `None` for any other text.
fn uuid_time(key: &str) -> Option<KeyTime> {
    let id = uuid::Uuid::try_parse(key).ok()?;
    if id.get_version_num() != 7 {
        return None;
    }
    u64::try_from(id.as_u128() >> 80).ok().map(KeyTime)
}
