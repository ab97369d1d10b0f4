//! The faults of a backend server, and what they do to its answers.

use poem::http::Version;

/// The event inside which streams are cut, counted from one.
const CUT_EVENT: u32 = 3;

/// How a backend server handles the next requests other than stage calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UsersFault {
    /// It answers correctly.
    #[default]
    None,
    /// It refuses the request and states that it did not run it.
    Refused,
    /// It runs the request and fails.
    Error,
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
}

impl UsersFault {
    /// Returns the version of its answers; those of the older one are not sent in chunks.
    pub(super) fn version(self) -> Version {
        match self {
            Self::Unframed | Self::CutStream | Self::CutHead => Version::HTTP_10,
            _ => Version::HTTP_11,
        }
    }

    /// Returns whether it cuts streams.
    pub fn cuts_streams(self) -> bool {
        matches!(self, Self::CutStream | Self::CutChunks | Self::CutHead)
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
