//! Decides when a copy of a topic is gathered afresh because the store contradicts it.
//!
//! The store keeps what it has acknowledged, and an answer shows at least what was there when it was
//! asked for. If an answer ends below the offset that the copy had reached when it was asked for,
//! either that answer or an earlier one was damaged. Several such answers in a row, of which none
//! ends below the one before it, refute the copy's offset. See `docs/design/platform.md`.

/// The answers in a row that refute the offset of a copy.
pub const CONTRADICTIONS: u32 = 3;

/// The answers in a row that contradicted a copy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Doubt {
    count: u32,
    /// The end that the last one of them stated.
    last_end: u64,
}

impl Doubt {
    /// Records the end that an answer states; the copy had reached `known` when it was asked for.
    pub fn record(&mut self, known: u64, end: u64) {
        let earlier = if end < self.last_end { 0 } else { self.count };
        let count = if end < known { earlier + 1 } else { 0 };
        *self = Self { count, last_end: end };
    }

    /// Returns whether the newest records have to be read to decide which side is wrong.
    pub fn is_due(&self) -> bool {
        self.count >= CONTRADICTIONS
    }

    /// Returns whether a list that was asked for while it was due, and that ends at `end`, refutes a
    /// copy that had reached `known`; the answers are counted anew.
    pub fn settle(&mut self, known: u64, end: u64) -> bool {
        let refutes = self.is_due() && end < known && end >= self.last_end;
        *self = Self::default();
        refutes
    }
}
