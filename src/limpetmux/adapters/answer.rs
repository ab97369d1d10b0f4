//! Reads the answer to one call up to its bounds.
//!
//! The HTTP library bounds the head at 100 headers and about 400 KiB and does not bound the body.
//! The time of the whole answer is the timeout of the request, or the deadline of its attempt.

use crate::core::read_limits::{Bound, Exceeded, MAX_HEAD_BYTES, Peer};
use crate::util::read_stop;
use reqwest::{RequestBuilder, Response};
use serde::de::DeserializeOwned;
use std::fmt::Display;
use std::time::Duration;

/// Why an answer was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum AnswerError {
    /// The connection failed, or the time was over.
    #[error("no complete answer arrived")]
    Lost(#[from] reqwest::Error),
    /// The answer exceeds a bound.
    #[error("reading the answer stopped at a bound")]
    Exceeded(#[from] Exceeded),
    /// The body is not the expected JSON.
    #[error("the answer cannot be parsed")]
    Malformed(#[from] serde_json::Error),
}

impl AnswerError {
    /// Returns whether no connection could be made, so that nothing was sent.
    pub fn is_connect(&self) -> bool {
        matches!(self, Self::Lost(error) if error.is_connect())
    }

    /// Returns the bound that stopped the read of an answer that was given `time`.
    pub(super) fn stop(&self, peer: Peer, time: Duration) -> Option<Exceeded> {
        match self {
            Self::Exceeded(exceeded) => Some(*exceeded),
            Self::Lost(error) if error.is_timeout() && !error.is_connect() => {
                Some(Exceeded::time(peer, time))
            }
            Self::Lost(_) | Self::Malformed(_) => None,
        }
    }

    /// Logs the bound that stopped the read, if one did, and returns the error.
    pub(super) fn logged(self, peer: Peer, time: Duration, subject: impl Display) -> Self {
        if let Some(exceeded) = self.stop(peer, time) {
            read_stop::log(exceeded, subject);
        }
        self
    }
}

/// Sends a request and reads the head of its answer.
pub(super) async fn send(request: RequestBuilder, peer: Peer) -> Result<Response, AnswerError> {
    let response = request.send().await?;
    check_head(&response, peer)?;
    Ok(response)
}

/// Checks the size of a head before anything that it states counts.
pub(super) fn check_head(response: &Response, peer: Peer) -> Result<(), Exceeded> {
    let fields = response.headers().iter();
    let bytes: usize = fields.map(|(name, value)| name.as_str().len() + value.len()).sum();
    if bytes <= MAX_HEAD_BYTES {
        return Ok(());
    }
    Err(Exceeded::count(peer, Bound::Head, MAX_HEAD_BYTES))
}

/// Reads a body of at most `limit` bytes; the connection closes with the rest of a longer one.
pub(super) async fn read_body(
    mut response: Response,
    peer: Peer,
    limit: usize,
) -> Result<Vec<u8>, AnswerError> {
    let exceeded = Exceeded::count(peer, Bound::Body, limit);
    if response.content_length().is_some_and(|length| length > limit as u64) {
        return Err(exceeded.into());
    }
    let mut body = Vec::new();
    while let Some(part) = response.chunk().await? {
        if body.len() + part.len() > limit {
            return Err(exceeded.into());
        }
        body.extend_from_slice(&part);
    }
    Ok(body)
}

/// Reads a body of at most `limit` bytes as JSON.
pub(super) async fn read_json<T: DeserializeOwned>(
    response: Response,
    peer: Peer,
    limit: usize,
) -> Result<T, AnswerError> {
    Ok(serde_json::from_slice(&read_body(response, peer, limit).await?)?)
}
