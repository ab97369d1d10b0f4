//! Splits a byte stream into the `data:` lines of server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Collects bytes and gives out whole `data:` values.
#[derive(Debug, Default)]
pub(super) struct DataLines {
    buffer: BytesMut,
}

impl DataLines {
    /// Adds received bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of bytes that wait for the end of their line.
    pub(super) fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the next whole `data:` value.
    pub(super) fn pop(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buffer.iter().position(|b| *b == b'\n')?;
            let mut line = self.buffer.split_to(end + 1).freeze();
            line.truncate(line.trim_ascii_end().len());
            if line.starts_with(b"data:") {
                line.advance(b"data:".len());
                let blank = line.len() - line.trim_ascii_start().len();
                line.advance(blank);
                return Some(line);
            }
        }
    }
}
