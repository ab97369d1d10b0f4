//! `limpetmux drain`: lets one process finish its requests and exit.

use super::admin_client::{AdminError, connect, no_answer};
use crate::adapters::channel::Channels;
use crate::core::shutdown::DrainReport;
use crate::wire::admin::DrainRequest;
use std::net::SocketAddr;
use std::time::Duration;

/// The process exits with unfinished requests or unflushed records.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error(
    "{addr} drained with {} requests unfinished and records {}",
    report.unfinished,
    if report.flushed { "flushed" } else { "not flushed" }
)]
#[diagnostic(help("see the log events of the process; use a longer --deadline next time"))]
pub struct IncompleteDrain {
    /// The address of the process.
    pub addr: SocketAddr,
    /// The report of the drain.
    pub report: DrainReport,
}

/// Requests a drain and waits until the process is about to exit.
///
/// # Errors
/// Returns [`AdminError`] if the process cannot be reached or exits before it answers.
pub async fn drain(
    channels: &Channels,
    addr: SocketAddr,
    deadline: Option<Duration>,
) -> Result<DrainReport, AdminError> {
    let mut client = connect(channels, addr).await?;
    let ms = deadline.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    let reply = client.drain(DrainRequest { deadline_ms: ms }).await.map_err(no_answer(addr))?;
    let reply = reply.into_inner();
    let (took_us, unfinished, flushed) = (reply.took_us, reply.unfinished, reply.flushed);
    Ok(DrainReport { took_us, unfinished, flushed, ..DrainReport::default() })
}
