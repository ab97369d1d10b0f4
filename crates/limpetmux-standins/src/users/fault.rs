//! The faults of a backend server, and what they do to its answers.

use super::bytes::BadBytes;

/// The event inside which streams are cut, counted from one.
const CUT_EVENT: u32 = 3;

/// How a backend server handles the next requests.
///
/// Of these, only refusals, further answers, resets and bad bytes affect stage calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UsersFault {
    /// It answers correctly.
    #[default]
    None,
    /// It refuses the request and states that it did not run it.
    Refused,
    /// It refuses the request as for `Refused`, in an answer without a request id.
    UnnamedRefusal,
    /// It refuses the request and states that it did not run it, with a success status.
    RefusedAsSuccess,
    /// It runs the request and fails.
    Error,
    /// It runs the request and fails with a status, without stating that it did not run it.
    Failed(u16),
    /// It answers without a request id.
    Unnamed,
    /// It answers under the id of another request.
    WrongId,
    /// It answers without its signature.
    Unsigned,
    /// It answers with neither a length nor chunks, so the answer ends with its connection.
    Unframed,
    /// It ends a stream inside an event, with its connection; other answers are as for `Unframed`.
    CutStream,
    /// It ends a stream inside an event, but states its end as if it were whole.
    CutChunks,
    /// It ends a stream before its first event, with its connection.
    CutHead,
    /// It resets the connection while the request runs.
    ResetRun,
    /// It resets the connection inside the head of the answer.
    ResetHead,
    /// It sends a further answer to each request of a connection; all requests run.
    Further(FurtherAnswer),
    /// It runs the request, and the bytes of its answer break the protocol.
    Bytes(BadBytes),
}

/// An answer that a backend server sends to a request that it also answers correctly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FurtherAnswer {
    /// Its status; of a refusal, it states as well that the request did not run.
    pub status: u16,
    /// Whether it carries the id of that request.
    pub named: bool,
    /// When it is sent.
    pub time: FurtherTime,
}

/// When a further answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FurtherTime {
    /// Together with the correct answer.
    WithAnswer,
    /// Shortly after the correct answer, whether or not the next request has arrived.
    Late,
    /// Once the next request on the connection has arrived, before it is answered.
    BeforeNext,
}

impl FurtherAnswer {
    /// Returns whether it states that the request did not run.
    pub(super) fn is_refusal(self) -> bool {
        matches!(self.status, 400 | 409 | 421 | 429 | 503)
    }
}

impl UsersFault {
    /// Returns whether its answers have neither a length nor chunks.
    pub(super) fn is_unframed(self) -> bool {
        matches!(self, Self::Unframed | Self::CutStream | Self::CutHead)
    }

    /// Returns the status of its refusals, if it refuses requests.
    pub(super) fn refusal(self) -> Option<u16> {
        match self {
            Self::Refused | Self::UnnamedRefusal => Some(503),
            Self::RefusedAsSuccess => Some(200),
            _ => None,
        }
    }

    /// Returns the status of the answer to a request that it ran.
    pub(super) fn run_status(self) -> u16 {
        match self {
            Self::Error => 500,
            Self::Failed(status) => status,
            _ => 200,
        }
    }

    /// Returns the id that an answer to the request with an id carries.
    pub(super) fn echo(self, id: &str) -> Option<&str> {
        match self {
            Self::WrongId => Some("another"),
            Self::Unnamed | Self::UnnamedRefusal => None,
            _ => Some(id).filter(|id| !id.is_empty()),
        }
    }

    /// Returns whether it cuts streams.
    pub fn cuts_streams(self) -> bool {
        matches!(self, Self::CutStream | Self::CutChunks | Self::CutHead)
    }

    /// Returns how the bytes of its answers break the protocol, if they do.
    pub fn bytes(self) -> Option<BadBytes> {
        match self {
            Self::Bytes(bytes) => Some(bytes),
            _ => None,
        }
    }

    /// Returns what is sent of an event of a stream, whose number counts from one; `None` ends the
    /// stream.
    pub(super) fn sent_part(self, number: u32, mut event: String) -> Option<String> {
        match self {
            Self::CutHead => return None,
            Self::CutStream | Self::CutChunks if number > CUT_EVENT => return None,
            Self::CutStream | Self::CutChunks if number == CUT_EVENT => {
                event.truncate(event.len() / 2);
            }
            _ => {}
        }
        Some(event)
    }
}
