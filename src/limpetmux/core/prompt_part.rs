//! Names of the shared parts of prompts, by which evidence about them is collected.
//!
//! A part keeps its name wherever it stands in a prompt, unlike the hash by which engines find it in
//! their caches, which covers all parts before it. See `docs/design/quarantine.md`.

use crate::util::hash::hash_bytes;
use std::fmt;

/// The most parts whose names a log line lists.
const MAX_LISTED: usize = 24;

/// The name of a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(u64);

impl PartId {
    /// Creates the name with a value.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the value.
    pub const fn value(self) -> u64 {
        self.0
    }

    /// Returns the name that a caller writes as text: up to 16 hexadecimal digits stand for
    /// themselves, so that logs show what the caller wrote, and any other text for its hash.
    pub fn named(text: &str) -> Self {
        let is_hex = text.len() <= 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let value = if is_hex { u64::from_str_radix(text, 16).ok() } else { None };
        Self(value.unwrap_or_else(|| hash_bytes(text.as_bytes())))
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Returns the names of parts as one text for a log line, which leaves out all beyond a limit.
pub fn list(parts: &[PartId]) -> String {
    let names: Vec<String> = parts.iter().take(MAX_LISTED).map(ToString::to_string).collect();
    let more = if parts.len() > MAX_LISTED { ",..." } else { "" };
    names.join(",") + more
}
