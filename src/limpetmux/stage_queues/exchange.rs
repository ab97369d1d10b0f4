//! Sends a call of a stage queue and returns its answer if that certainly belongs to the call.
//!
//! Calls and their answers carry no id, and a backend server may send a further answer where the one
//! to the next call on the connection is due. A call for pieces therefore gets a connection of its
//! own, and an answer that carries the id of a request is not used. Calls that free results share
//! connections among themselves: a further answer there only counts as another confirmation.

use crate::core::answer_proof::AnswerOwner;
use crate::core::read_limits::{Exceeded, Peer};
use crate::platform::server::{self, ReplyHead};
use crate::serve::connections::{ActiveConnection, ConnectionError, ConnectionPool, Reuse};
use crate::util::read_body::read_body;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;

/// Why a call has no answer that can be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    /// The connection failed before the head of an answer.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// The answer ended early.
    #[error("the answer ended early")]
    Answer(#[from] hyper::Error),
    /// The answer exceeds a bound; the pieces may have run.
    #[error(transparent)]
    Exceeded(#[from] Exceeded),
    /// The answer belongs to another call or request.
    #[error("the answer belongs to another call")]
    OtherCall,
}

impl ExchangeError {
    /// Returns whether the backend server cannot have received the call.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(self, Self::Connection(error) if error.is_unsent())
    }

    /// Returns the bound that the answer exceeds.
    pub(super) fn exceeded(&self) -> Option<Exceeded> {
        match self {
            Self::Exceeded(exceeded) => Some(*exceeded),
            Self::Connection(error) => error.exceeded(Peer::StageServer),
            Self::Answer(_) | Self::OtherCall => None,
        }
    }
}

/// A whole answer to a call; dropping it closes its connection.
pub(super) struct CallAnswer {
    /// The head.
    pub(super) head: ReplyHead,
    /// The body.
    pub(super) body: Bytes,
    connection: ActiveConnection,
}

impl CallAnswer {
    /// Keeps the connection for further calls of the same kind.
    pub(super) fn keep(self) {
        if !self.head.closes {
            self.connection.keep(self.head.keep_alive);
        }
    }
}

/// Sends a call and reads its answer to the end, whose body has at most `limit` bytes.
///
/// `on_head` gets the head, also if the answer is not used otherwise.
/// The caller bounds the time. At both bounds the connection closes.
pub(super) async fn exchange(
    connections: &ConnectionPool,
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
    reuse: Reuse,
    limit: usize,
    on_head: impl FnOnce(&ReplyHead),
) -> Result<CallAnswer, ExchangeError> {
    let (answer, connection) = connections.send(addr, request, reuse).await?;
    let head = server::head("", &answer);
    on_head(&head);
    if head.owner != AnswerOwner::Unnamed {
        return Err(ExchangeError::OtherCall);
    }
    let body = read_body::<ExchangeError>(answer.into_body(), Peer::StageServer, limit).await?;
    Ok(CallAnswer { head, body, connection })
}
