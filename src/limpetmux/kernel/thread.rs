//! The one thread that owns control state.

use std::future::Future;

/// The control thread cannot be started.
#[derive(Debug, thiserror::Error)]
#[error("cannot start the control thread")]
pub struct ThreadError(#[from] std::io::Error);

/// Starts a thread with its own single-threaded runtime and runs a future on it.
///
/// The future is built on the new thread, so control state need not be `Send`. The thread ends
/// when the future does.
///
/// # Errors
/// Returns [`ThreadError`] if the runtime or the thread cannot be created.
pub fn spawn_control<F, Fut>(main: F) -> Result<std::thread::JoinHandle<()>, ThreadError>
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name("control".to_owned());
    Ok(thread.spawn(move || runtime.block_on(main()))?)
}
