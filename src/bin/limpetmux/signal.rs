//! The signals that end a process.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or ctrl-c.
pub async fn wait() -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => result,
        _ = term.recv() => Ok(()),
    }
}
