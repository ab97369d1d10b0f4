//! Reads server-sent events from a byte stream, whatever the sizes of its parts.

use bytes::{Buf, Bytes, BytesMut};

/// One received event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The event's type, empty if the sender states none.
    pub kind: Bytes,
    /// The event's data, one line.
    pub data: Bytes,
}

/// Collects bytes and gives out whole events.
///
/// Every `data` line counts as an event of its own, as the senders here never split one.
#[derive(Debug, Default)]
pub struct SseEvents {
    buffer: BytesMut,
    kind: Bytes,
}

impl SseEvents {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of bytes that wait for the end of their line.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the next whole event.
    pub fn pop(&mut self) -> Option<SseEvent> {
        loop {
            let end = self.buffer.iter().position(|b| *b == b'\n')?;
            let mut line = self.buffer.split_to(end + 1).freeze();
            line.truncate(line.trim_ascii_end().len());
            if line.is_empty() {
                self.kind.clear();
            } else if let Some(data) = field(&line, b"data:") {
                return Some(SseEvent { kind: self.kind.clone(), data });
            } else if let Some(kind) = field(&line, b"event:") {
                self.kind = kind;
            }
        }
    }
}

/// Returns the value of a line's field without the leading blank.
fn field(line: &Bytes, name: &[u8]) -> Option<Bytes> {
    let value = line.strip_prefix(name)?.trim_ascii_start();
    let mut line = line.clone();
    line.advance(line.len() - value.len());
    Some(line)
}
