//! Bounds what a backend server sends before the head of its answer, and tells whether it has begun.
//!
//! hyper bounds the bytes and the number of headers of one head, but reads any number of
//! informational answers before it. A [`HeadWatch`] counts them. It also counts the bytes that arrive
//! after a request was sent, which tell an answer that drips from one that has not begun.

use crate::core::read_limits::{BACKEND_READ_BYTES, MAX_INFORMATIONAL};
use crate::util::watched_stream::WatchedStream;
use hyper::Request;
use std::io;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The number of bytes that were read from a connection.
pub type BytesRead = Arc<AtomicU64>;

/// Follows what arrives for one request; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct HeadWatch {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    informational: AtomicUsize,
    too_many: Notify,
    /// The connection that carries the request, and what was read from it before.
    sent_on: Mutex<Option<(BytesRead, u64)>>,
}

impl HeadWatch {
    /// Counts the informational answers to a request.
    pub(super) fn attach<B>(&self, request: &mut Request<B>) {
        let inner = Arc::clone(&self.inner);
        hyper::ext::on_informational(request, move |_| {
            if inner.informational.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
                inner.too_many.notify_one();
            }
        });
    }

    /// Follows the bytes of the connection on which the request is about to be sent.
    pub(super) fn send_on(&self, read: &BytesRead) {
        let mut sent_on = self.inner.sent_on.lock().unwrap_or_else(PoisonError::into_inner);
        *sent_on = Some((Arc::clone(read), read.load(Ordering::Relaxed)));
    }

    /// Waits until there are too many informational answers.
    pub(super) async fn too_many(&self) {
        self.inner.too_many.notified().await;
    }

    /// Returns whether bytes have arrived since the request was sent.
    pub fn has_begun(&self) -> bool {
        let sent_on = self.inner.sent_on.lock().unwrap_or_else(PoisonError::into_inner);
        sent_on.as_ref().is_some_and(|(read, before)| read.load(Ordering::Relaxed) > *before)
    }
}

/// Wraps a connection so that the bytes that are read from it are counted.
pub(super) fn counted(
    stream: TcpStream,
    read: BytesRead,
) -> WatchedStream<impl FnMut(usize) -> io::Result<()>> {
    let watched = WatchedStream::new(stream, move |count| {
        read.fetch_add(count as u64, Ordering::Relaxed);
        Ok(())
    });
    watched.reading_at_most(BACKEND_READ_BYTES)
}
