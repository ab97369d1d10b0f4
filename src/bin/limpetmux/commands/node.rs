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
/// Exit codes: 0 after a drain that cut nothing, 1 after a failure or a cut request.
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

/// The time between two looks at the settings file, which may change without a signal.
const SETTINGS_PACE: Duration = Duration::from_secs(3);
/// The threads for traffic, beside the control thread: a host of the platform has one core.
const TRAFFIC_THREADS: usize = 1;

/// Requests were cut at the end of the process.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{cut} requests were cut")]
struct Unclean {
    cut: usize,
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
    let cut = runtime.block_on(async {
        let (changed, reloads) = mpsc::channel(1);
        tokio::spawn(watch_settings(path, changed));
        let stop = async { drop(crate::signal::wait().await) };
        run::run(settings, run::Outside { stop, reloads }).await
    })?;
    event!(EventCode::ProcessEnded, name = name, unfinished = cut);
    if cut > 0 { Err(Unclean { cut }.into()) } else { Ok(()) }
}

/// Reads the settings again on SIGHUP and from time to time; hands them on when they differ.
async fn watch_settings(path: PathBuf, changed: mpsc::Sender<NodeSettings>) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else { return };
    let mut known = std::fs::read(&path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = hangups.recv() => {}
            () = sleep(SETTINGS_PACE) => {}
        }
        let text = std::fs::read(&path).unwrap_or_default();
        if text == known {
            continue;
        }
        known = text;
        match boot::load(&path) {
            Ok(settings) => drop(changed.send(settings).await),
            Err(error) => event!(EventCode::SettingsRejected, reason = error),
        }
    }
}
