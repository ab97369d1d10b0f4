//! Bounds the time for the head of a caller's request, apart from the time between two requests.
//!
//! The HTTP server starts one timer when it begins to wait for a head. [`HeadTimer`] creates it: it
//! ends after the idle time of the connection, or a shorter time after the first byte of the head.
//! [`timed`] tells it when bytes arrive.

use crate::util::watched_stream::WatchedStream;
use hyper::rt::{Sleep, Timer};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// When the first bytes of the current head arrived.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadStart(Arc<Mutex<Option<Instant>>>);

impl HeadStart {
    /// Returns whether a part of a head has arrived.
    pub(super) fn is_known(&self) -> bool {
        self.lock().is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Creates the timers of one connection.
#[derive(Clone, Debug)]
pub(super) struct HeadTimer {
    pub(super) start: HeadStart,
    /// The time from the first byte of a head to its end.
    pub(super) head: Duration,
}

impl Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(std::time::Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        *self.start.lock() = None;
        let sleep = Box::pin(tokio::time::sleep_until(deadline.into()));
        Box::pin(HeadSleep { timer: self.clone(), idle_until: deadline.into(), sleep })
    }
}

/// Ends when a head has not arrived in time.
struct HeadSleep {
    timer: HeadTimer,
    idle_until: Instant,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        // The server polls this after each read, so that the first byte of a head is seen at once.
        let start = *self.timer.start.lock();
        let until = start.map_or(self.idle_until, |start| start + self.timer.head);
        if self.sleep.deadline() != until {
            self.sleep.as_mut().reset(until);
        }
        self.sleep.as_mut().poll(cx)
    }
}

impl Sleep for HeadSleep {}

/// Wraps the connection of a caller so that `start` is known once bytes arrive, and `flushed` is called
/// whenever all answers were written.
pub(super) fn timed(
    stream: TcpStream,
    start: HeadStart,
    flushed: impl FnMut(),
) -> WatchedStream<impl FnMut(usize) -> io::Result<()>, impl FnMut()> {
    let watched = WatchedStream::new(stream, move |count| {
        if count > 0 {
            start.lock().get_or_insert_with(Instant::now);
        }
        Ok(())
    });
    watched.reporting_flushes(flushed)
}
