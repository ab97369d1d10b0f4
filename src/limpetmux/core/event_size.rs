//! Measures the events of a streamed answer, so that neither a line nor an event grows without end.

/// Counts the bytes since the last blank line of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventSize {
    bytes: usize,
    /// Whether the current line has had no byte yet.
    at_start: bool,
    /// Whether the last byte was a carriage return, which a line feed may follow.
    after_cr: bool,
}

impl EventSize {
    /// Reads the next bytes; returns the most bytes of an event that they continue or contain.
    pub fn push(&mut self, part: &[u8]) -> usize {
        part.iter().map(|byte| self.push_byte(*byte)).max().unwrap_or(self.bytes)
    }

    fn push_byte(&mut self, byte: u8) -> usize {
        let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        self.bytes += 1;
        let bytes = self.bytes;
        match byte {
            b'\n' if after_cr => {}
            b'\n' | b'\r' if self.at_start => self.bytes = 0,
            b'\n' | b'\r' => self.at_start = true,
            _ => self.at_start = false,
        }
        bytes
    }
}
