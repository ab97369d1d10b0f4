//! Code shared by `limpetmux entry` and `limpetmux sidecar`.

use limpetmux::core::shutdown::DrainReport;
use limpetmux::event;
use limpetmux::node::RoleError;
use limpetmux::settings::{Role, Settings, load};
use limpetmux::util::event::EventCode;
use limpetmux::util::logging;
use miette::IntoDiagnostic;
use std::future::Future;
use std::path::Path;
use std::pin::Pin;

/// The signal that ends a process.
type Signal = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The process ended with unfinished requests.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{unfinished} requests were left unfinished")]
struct Unclean {
    unfinished: u32,
}

/// Reads the settings of a role and sets up logging.
pub fn prepare(role: Role, path: &Path) -> miette::Result<Settings> {
    let settings = load(path)?;
    settings.require(role, path)?;
    logging::init(&settings.log)?;
    event!(EventCode::ProcessStarted, name = settings.name, role = role, zone = settings.zone);
    Ok(settings)
}

/// Runs a role on a multi-threaded runtime until its shutdown ends.
pub fn run<Fut>(settings: &Settings, role: impl FnOnce(Signal) -> Fut) -> miette::Result<()>
where
    Fut: Future<Output = Result<DrainReport, RoleError>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.into_diagnostic()?;
    let signal = Box::pin(async { drop(crate::signal::wait().await) });
    let report = runtime.block_on(role(signal))?;
    event!(
        EventCode::ProcessEnded,
        name = settings.name,
        unfinished = report.unfinished,
        flushed = report.flushed
    );
    if report.unfinished > 0 {
        return Err(Unclean { unfinished: report.unfinished }.into());
    }
    Ok(())
}
