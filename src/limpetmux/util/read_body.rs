//! Reads the body of an answer that is needed whole, up to a bound of [`crate::core::read_limits`].

use crate::core::read_limits::{Bound, Exceeded, Peer};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Reads a body of at most `limit` bytes; the caller bounds the time.
///
/// # Errors
/// Returns the HTTP error of a body that ends early, or an [`Exceeded`] for one that is too long.
pub async fn read_body<E>(mut body: Incoming, peer: Peer, limit: usize) -> Result<Bytes, E>
where
    E: From<hyper::Error> + From<Exceeded>,
{
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if whole.len() + data.len() > limit {
            return Err(Exceeded::count(peer, Bound::Body, limit).into());
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
