//! The limits on answers of backend servers, which an operator may change at the start of a process.
//!
//! The defaults are constants of [`read_limits`](super::read_limits). A stated limit is checked before
//! the process starts, so that a number of another unit is an error and not a cut answer.

use super::read_limits::{
    HELD_ANSWER_BYTES, MAX_ANSWER_BYTES, MAX_EVENT_BYTES, MAX_JSON_BYTES, MAX_MESSAGE_BYTES,
    MAX_STREAM_BYTES, MAX_TOKENS_BYTES,
};

/// The least limit on an answer of the product's own interface, in bytes.
pub const MIN_SIDECAR_BYTES: usize = 64 * 1024;
/// The highest limit on a plain answer of the product's own interface, in bytes: the answer travels in
/// one message between processes, and with other inputs in the message to the next stage.
pub const MAX_SIDECAR_BYTES: usize = MAX_MESSAGE_BYTES / 2;
/// The least limit on one event that an operator may set, in bytes.
pub const MIN_EVENT_BYTES: usize = 4 * 1024;

/// The limits on answers of backend servers, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// The most bytes of a plain answer.
    pub plain: usize,
    /// The most bytes of a streamed answer.
    pub stream: usize,
    /// The most bytes of one event of a streamed answer.
    pub event: usize,
}

impl AnswerLimits {
    /// The defaults of a sidecar of the product's own interface.
    pub const SIDECAR: Self =
        Self { plain: MAX_JSON_BYTES, stream: MAX_TOKENS_BYTES, event: MAX_EVENT_BYTES };
}

impl Default for AnswerLimits {
    fn default() -> Self {
        Self { plain: MAX_ANSWER_BYTES, stream: MAX_STREAM_BYTES, event: MAX_EVENT_BYTES }
    }
}

/// The limits that an operator states, in bytes; a limit that is left out has its default.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedLimits {
    /// The limit on a plain answer.
    pub plain: Option<usize>,
    /// The limit on a streamed answer.
    pub stream: Option<usize>,
    /// The limit on one event.
    pub event: Option<usize>,
}

/// Which limit is stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum LimitName {
    /// The limit on a plain answer.
    #[strum(serialize = "plain answers")]
    Plain,
    /// The limit on a streamed answer.
    #[strum(serialize = "streamed answers")]
    Stream,
    /// The limit on one event.
    #[strum(serialize = "events")]
    Event,
}

/// Why a stated limit cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum LimitError {
    /// It is less than the node needs, or zero.
    #[error("the limit on {name} of {bytes} bytes is less than {least} bytes")]
    #[diagnostic(help("limits are whole numbers of bytes"))]
    Small {
        /// The limit.
        name: LimitName,
        /// The stated value.
        bytes: usize,
        /// The least value that can be used.
        least: usize,
    },
    /// It is more than the process may use in all.
    #[error("the limit on {name} of {bytes} bytes exceeds the {memory} bytes of the process")]
    #[diagnostic(help(
        "limits are whole numbers of bytes; the settings limit the process's memory"
    ))]
    Memory {
        /// The limit.
        name: LimitName,
        /// The stated value.
        bytes: usize,
        /// The memory that the process may use, in bytes.
        memory: u64,
    },
    /// One event may have more bytes than the stream that holds it.
    #[error(
        "the limit on events of {event} bytes exceeds that on streamed answers, {stream} bytes"
    )]
    #[diagnostic(help("state both limits, or a lower one for events"))]
    Event {
        /// The limit on one event.
        event: usize,
        /// The limit on a streamed answer.
        stream: usize,
    },
}

impl StatedLimits {
    /// Checks the stated limits and fills in the defaults of the others; `memory` is what the process
    /// may use, in bytes.
    ///
    /// A default is not compared with the memory, because nothing of that size is held at once.
    ///
    /// # Errors
    /// Returns [`LimitError`] for the first limit that cannot be used.
    pub fn check(self, memory: u64) -> Result<AnswerLimits, LimitError> {
        let stated = [
            (LimitName::Plain, self.plain, HELD_ANSWER_BYTES),
            (LimitName::Stream, self.stream, MIN_EVENT_BYTES),
            (LimitName::Event, self.event, MIN_EVENT_BYTES),
        ];
        for (name, bytes, least) in stated {
            let Some(bytes) = bytes else { continue };
            if bytes < least {
                return Err(LimitError::Small { name, bytes, least });
            }
            if name != LimitName::Stream && bytes as u64 > memory {
                return Err(LimitError::Memory { name, bytes, memory });
            }
        }
        let default = AnswerLimits::default();
        let limits = AnswerLimits {
            plain: self.plain.unwrap_or(default.plain),
            stream: self.stream.unwrap_or(default.stream),
            event: self.event.unwrap_or(default.event),
        };
        let AnswerLimits { stream, event, .. } = limits;
        if event > stream { Err(LimitError::Event { event, stream }) } else { Ok(limits) }
    }
}
