//! The most recent raw records, kept for peers that lack them.
//!
//! A record is added only after it was folded at its offset, so a peer never receives a record that
//! was appended but not read back. The tail holds no more records than the fold keeps digests, so
//! the history of every peer that receives records has been compared.

use super::WINDOW_RECORDS;
use crate::core::revision::Offset;
use std::collections::VecDeque;
use std::sync::Arc;

/// The most bytes of records that a node keeps for its peers.
const TAIL_BYTES: usize = 1 << 20;

/// Consecutive records that end with the last folded one.
#[derive(Clone, Debug, Default)]
pub struct Tail {
    first: Offset,
    records: VecDeque<Arc<[u8]>>,
    bytes: usize,
}

impl Tail {
    /// Adds the record at an offset; a record that does not follow the last one replaces them all.
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
        Offset(self.first.0.saturating_add(self.records.len() as u64))
    }

    /// Returns records from an offset on, up to a number of bytes but at least one record.
    ///
    /// Returns `None` if the record at the offset is no longer kept.
    pub fn records_from(&self, offset: Offset, max_bytes: usize) -> Option<Vec<Arc<[u8]>>> {
        let skip = usize::try_from(offset.0.checked_sub(self.first.0)?).ok()?;
        let mut bytes_left = max_bytes;
        let mut records = Vec::new();
        for record in self.records.iter().skip(skip) {
            if !records.is_empty() && record.len() > bytes_left {
                break;
            }
            bytes_left = bytes_left.saturating_sub(record.len());
            records.push(Arc::clone(record));
        }
        Some(records)
    }
}
