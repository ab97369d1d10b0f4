//! The thread that runs all control services.

use tokio::runtime::{Builder, EnterGuard, Handle};
use tokio::sync::oneshot;

/// A failure to start the control thread.
#[derive(Debug, thiserror::Error)]
#[error("cannot start the control thread")]
pub struct ThreadError(#[from] std::io::Error);

/// A thread with a single-threaded runtime, on which all control services of a process run.
///
/// Traffic runs on other threads, so its load does not delay control services. Dropping the value
/// ends the thread and every service on it.
#[derive(Debug)]
pub struct ControlThread {
    handle: Handle,
    _stop: oneshot::Sender<()>,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// Returns [`ThreadError`] if the runtime or the thread cannot be created.
    pub fn start() -> Result<Self, ThreadError> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        std::thread::Builder::new().name("control".to_owned()).spawn(move || {
            runtime.block_on(async { drop(stopped.await) });
        })?;
        Ok(Self { handle, _stop: stop })
    }

    /// Enters the thread's runtime, so that [`tokio::spawn`] on the calling thread spawns services
    /// on it until the guard is dropped.
    pub fn enter(&self) -> EnterGuard<'_> {
        self.handle.enter()
    }
}
