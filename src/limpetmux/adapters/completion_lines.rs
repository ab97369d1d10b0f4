//! Cuts the body of a streamed completion into whole lines, within the bounds on its bytes and events.
//!
//! The parser of events scans a line that has not ended again with each part, and the rest of a part
//! for each line in it, so its time would grow with the square of either. It gets whole lines, and
//! where a body stops at a bound does not depend on the parts in which it arrived.

use super::backend::BackendError;
use crate::core::answer_limits::AnswerLimits;
use crate::core::event_stream::EventScan;
use crate::core::read_limits::{Bound, Exceeded, Peer};
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt, stream};

/// The first byte of a byte order mark.
const BYTE_ORDER_MARK: u8 = 0xef;

/// What has been read of a body.
#[derive(Debug)]
struct LineCutter {
    limits: AnswerLimits,
    line: BytesMut,
    size: usize,
    events: EventScan,
}

/// Returns the whole lines of a body; a line that does not end is left out.
///
/// # Errors
/// The stream yields a [`BackendError`] once the body or one event of it exceeds its limit, and if it
/// begins with a byte order mark, which no engine sends and at which the parser of events panics.
pub(super) fn lines(
    limits: AnswerLimits,
    body: impl Stream<Item = Result<Bytes, BackendError>> + Send + 'static,
) -> impl Stream<Item = Result<Bytes, BackendError>> + Send + 'static {
    let mut cutter = LineCutter::new(limits);
    body.flat_map(move |part| {
        stream::iter(match part {
            Ok(part) => cutter.cut(&part),
            Err(error) => vec![Err(error)],
        })
    })
}

impl LineCutter {
    fn new(limits: AnswerLimits) -> Self {
        Self { limits, line: BytesMut::new(), size: 0, events: EventScan::default() }
    }

    /// Reads the next part and returns the lines that end in it, and the error that ends the body.
    fn cut(&mut self, part: &[u8]) -> Vec<Result<Bytes, BackendError>> {
        let is_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        let mut lines = Vec::new();
        for piece in part.split_inclusive(is_end) {
            if let Err(error) = self.admit(piece) {
                lines.push(Err(error));
                return lines;
            }
            self.line.extend_from_slice(piece);
            if piece.last().is_some_and(is_end) {
                lines.push(Ok(self.line.split().freeze()));
            }
        }
        lines
    }

    /// Counts the bytes of a line, or of a part of it, against the bounds.
    fn admit(&mut self, piece: &[u8]) -> Result<(), BackendError> {
        if self.size == 0 && piece.first() == Some(&BYTE_ORDER_MARK) {
            return Err(BackendError::NotEventStream);
        }
        self.size += piece.len();
        self.events.push(piece);
        let (bound, limit) = if self.size > self.limits.stream {
            (Bound::Body, self.limits.stream)
        } else if self.events.longest() > self.limits.event {
            (Bound::Event, self.limits.event)
        } else {
            return Ok(());
        };
        Err(Exceeded::count(Peer::BackendServer, bound, limit).into())
    }
}
