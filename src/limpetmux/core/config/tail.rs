//! The most recent raw records, kept to be handed to peers that lack them.
//!
//! Only records that were folded at their offsets enter, so a peer never gets a record that was
//! appended but not read back. A run is never longer than the digests that the fold remembers, so
//! the history of a peer that gets records has been compared.

use super::WINDOW_RECORDS;
use crate::core::revision::Offset;
use std::collections::VecDeque;
use std::sync::Arc;

/// The most bytes of records that a node keeps for its peers.
const TAIL_BYTES: usize = 1 << 20;

/// A run of records without gaps that ends at the last folded one.
#[derive(Clone, Debug, Default)]
pub struct Tail {
    first: Offset,
    records: VecDeque<Arc<[u8]>>,
    bytes: usize,
}

impl Tail {
    /// Adds the record at an offset; one that does not follow the last starts a new run.
    pub fn push(&mut self, offset: Offset, data: &[u8]) {
        if offset != self.end() {
            *self = Self { first: offset, ..Self::default() };
        }
        self.records.push_back(data.into());
        self.bytes += data.len();
        while (self.bytes > TAIL_BYTES || self.records.len() as u64 > WINDOW_RECORDS)
            && let Some(oldest) = self.records.pop_front()
        {
            self.bytes -= oldest.len();
            self.first = self.first.next();
        }
    }

    /// Returns the first offset kept.
    pub fn first(&self) -> Offset {
        self.first
    }

    /// Returns the offset after the last record.
    pub fn end(&self) -> Offset {
        Offset(self.first.0 + self.records.len() as u64)
    }

    /// Returns records from an offset on, up to a number of bytes but at least one.
    ///
    /// Returns `None` if the record at the offset is no longer kept.
    pub fn run_from(&self, offset: Offset, bytes: usize) -> Option<Vec<Arc<[u8]>>> {
        let skip = usize::try_from(offset.0.checked_sub(self.first.0)?).ok()?;
        let mut left = bytes;
        let mut run = Vec::new();
        for record in self.records.iter().skip(skip) {
            if !run.is_empty() && record.len() > left {
                break;
            }
            left = left.saturating_sub(record.len());
            run.push(Arc::clone(record));
        }
        Some(run)
    }
}
