//! `limpetmux node`

use argh::FromArgs;
use limpetmux::core::answer_limits::{AnswerLimits, StatedLimits};
use limpetmux::event;
use limpetmux::platform::boot;
use limpetmux::serve::run;
use limpetmux::serve::settings::NodeSettings;
use limpetmux::util::event::EventCode;
use limpetmux::util::logging;
use miette::IntoDiagnostic;
use std::path::{Path, PathBuf};
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
    /// the most bytes of a plain answer of a backend server; 16 MiB by default
    #[argh(option)]
    answer_bytes: Option<usize>,
    /// the most bytes of a streamed answer of a backend server; 256 MiB by default
    #[argh(option)]
    stream_bytes: Option<usize>,
    /// the most bytes of one event of a streamed answer; 256 KiB by default
    #[argh(option)]
    event_bytes: Option<usize>,
    /// the most bytes held for callers; a quarter of the process's memory by default
    #[argh(option)]
    caller_bytes: Option<usize>,
}

/// The limits that an operator states on the command line.
#[derive(Clone, Copy)]
struct Stated {
    answers: StatedLimits,
    callers: Option<usize>,
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
    let answers = StatedLimits {
        plain: args.answer_bytes,
        stream: args.stream_bytes,
        event: args.event_bytes,
    };
    let stated = Stated { answers, callers: args.caller_bytes };
    let settings = load(&path, stated)?;
    if args.check {
        println!("{}: settings of `{}` can be used", path.display(), settings.name);
        let AnswerLimits { plain, stream, event } = settings.answers;
        println!("answers: {plain} bytes plain, {stream} bytes streamed, {event} bytes an event");
        println!("callers: {} bytes held", settings.caller_bytes);
        return Ok(());
    }
    logging::init_stdout()?;
    let name = settings.name.clone();
    event!(EventCode::ProcessStarted, name = name, zone = settings.zone);
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(TRAFFIC_THREADS).enable_all().build().into_diagnostic()?;
    let unfinished = runtime.block_on(async {
        let (updates, reloads) = mpsc::channel(1);
        tokio::spawn(watch_settings(path, stated, updates));
        let stop = async { drop(crate::signal::wait().await) };
        run::run(settings, run::ExternalEvents { stop, reloads }).await
    })?;
    event!(EventCode::ProcessEnded, name = name, unfinished = unfinished);
    if unfinished > 0 { Err(Unclean { unfinished }.into()) } else { Ok(()) }
}

/// Reads the settings file and applies the limits of the command line.
fn load(path: &Path, stated: Stated) -> miette::Result<NodeSettings> {
    Ok(boot::load(path)?.with_limits(stated.answers)?.with_caller_bytes(stated.callers)?)
}

/// Reads the settings again on SIGHUP and every [`SETTINGS_INTERVAL`], and sends them if they
/// changed.
async fn watch_settings(path: PathBuf, stated: Stated, updates: mpsc::Sender<NodeSettings>) {
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
        match load(&path, stated) {
            Ok(settings) => drop(updates.send(settings).await),
            Err(error) => event!(EventCode::SettingsRejected, reason = error),
        }
    }
}
