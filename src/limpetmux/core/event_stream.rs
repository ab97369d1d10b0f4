//! Follows the events of a streamed answer, to tell a whole stream from a truncated one.
//!
//! The bytes of an answer pass through an [`EventScan`] as they are forwarded. It finds the ends of
//! lines and events as the format of server-sent events defines them and keeps no content.
//! See `docs/design/requests.md`.

use strum::IntoStaticStr;

/// How an answer states where its body ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// By its length in bytes.
    Length,
    /// By the last of its chunks.
    Chunked,
    /// Not at all: it ends with its connection.
    #[default]
    Connection,
}

/// What the bytes after the last whole event of a stream are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EventTail {
    /// The stream has had no event yet.
    Empty,
    /// The stream ends after a whole event.
    Whole,
    /// The stream ends inside an event.
    Partial,
}

/// The line that is being read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Field,
    Comment,
}

/// Follows the events of one stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventScan {
    events: u64,
    line: Line,
    /// Whether the current event has had a field.
    in_event: bool,
    /// Whether the last byte was a carriage return, which a line feed may follow.
    after_cr: bool,
    /// The bytes since the last blank line.
    length: usize,
    /// The most bytes between two blank lines.
    longest: usize,
}

impl EventScan {
    /// Reads the next bytes of the stream; they may begin and end anywhere in an event.
    pub fn push(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.push_byte(*byte));
        self.longest = self.longest.max(self.length);
    }

    /// Returns the bytes of the longest event so far, which may be the one that has not ended.
    ///
    /// It depends only on the bytes and not on where they were split.
    pub fn longest(&self) -> usize {
        self.longest
    }

    /// Returns the number of whole events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether a stream that ended here without an error is complete.
    ///
    /// A stream inside an event is not, whatever its framing states. One that has had no event is
    /// complete only if its framing states its end, as the end of a connection proves nothing.
    pub fn is_complete(&self, framing: Framing) -> bool {
        match self.tail() {
            EventTail::Whole => true,
            EventTail::Empty => framing != Framing::Connection,
            EventTail::Partial => false,
        }
    }

    /// Returns what the bytes after the last whole event are.
    pub fn tail(&self) -> EventTail {
        if self.in_event || self.line != Line::Empty {
            EventTail::Partial
        } else if self.events == 0 {
            EventTail::Empty
        } else {
            EventTail::Whole
        }
    }

    fn push_byte(&mut self, byte: u8) {
        self.length += 1;
        let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        match (byte, self.line) {
            (b'\n', _) if after_cr => {}
            (b'\n' | b'\r', _) => self.end_line(),
            (b':', Line::Empty) => self.line = Line::Comment,
            (_, Line::Empty) => self.line = Line::Field,
            _ => {}
        }
    }

    /// A blank line ends an event; a comment belongs to none.
    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Empty => {
                self.events += u64::from(self.in_event);
                self.in_event = false;
                self.longest = self.longest.max(self.length);
                self.length = 0;
            }
            Line::Field => self.in_event = true,
            Line::Comment => {}
        }
    }
}
