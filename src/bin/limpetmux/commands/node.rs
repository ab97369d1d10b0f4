//! `limpetmux node`

use argh::FromArgs;
use limpetmux::event;
use limpetmux::platform::boot;
use limpetmux::serve::run;
use limpetmux::serve::settings::NodeSettings;
use limpetmux::util::event::EventCode;
use limpetmux::util::logging;
use miette::IntoDiagnostic;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Run a node on the users' platform: an entry or a sidecar, as its settings say.
///
/// Exit codes: 0 after a drain without unfinished requests, 1 after a failure or with unfinished
/// requests.
#[derive(FromArgs)]
#[argh(subcommand, name = "node")]
pub struct NodeArgs {
    /// the platform's settings file; by default the one that the environment names
    #[argh(positional)]
    settings: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// The time between two reads of the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(3);
/// The number of threads for traffic, besides the control thread. A host of the platform has one
/// core.
const TRAFFIC_THREADS: usize = 1;

/// The process ended with unfinished requests.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{unfinished} requests were left unfinished")]
struct Unclean {
    unfinished: usize,
}

/// Runs the node until SIGTERM or ctrl-c.
pub fn exec(args: NodeArgs) -> miette::Result<()> {
    let path = boot::path(args.settings)?;
    let settings = boot::load(&path)?;
    if args.check {
        println!("{}: settings of `{}` can be used", path.display(), settings.name);
        return Ok(());
    }
    logging::init_stdout()?;
    let name = settings.name.clone();
    event!(EventCode::ProcessStarted, name = name, zone = settings.zone);
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(TRAFFIC_THREADS).enable_all().build().into_diagnostic()?;
    let unfinished = runtime.block_on(async {
        let (updates, reloads) = mpsc::channel(1);
        tokio::spawn(watch_settings(path, updates));
        let stop = async { drop(crate::signal::wait().await) };
        run::run(settings, run::ExternalEvents { stop, reloads }).await
    })?;
    event!(EventCode::ProcessEnded, name = name, unfinished = unfinished);
    if unfinished > 0 { Err(Unclean { unfinished }.into()) } else { Ok(()) }
}

/// Reads the settings again on SIGHUP and every [`SETTINGS_INTERVAL`], and sends them if they
/// changed.
async fn watch_settings(path: PathBuf, updates: mpsc::Sender<NodeSettings>) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else { return };
    let mut known = std::fs::read(&path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = hangups.recv() => {}
            () = sleep(SETTINGS_INTERVAL) => {}
        }
        let text = std::fs::read(&path).unwrap_or_default();
        if text == known {
            continue;
        }
        known = text;
        match boot::load(&path) {
            Ok(settings) => drop(updates.send(settings).await),
            Err(error) => event!(EventCode::SettingsRejected, reason = error),
        }
    }
}
