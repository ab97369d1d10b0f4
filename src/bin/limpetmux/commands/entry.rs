//! `limpetmux entry`

use super::role;
use argh::FromArgs;
use limpetmux::node::process::EntryListeners;
use limpetmux::node::{bind, run_entry};
use limpetmux::settings::Role;
use std::path::PathBuf;

/// Run an entry: accept callers' requests and run pipelines.
///
/// Exit codes: 0 after a drain without unfinished requests, 1 after a failure or with unfinished
/// requests.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryArgs {
    /// the settings file, JSON with comments
    #[argh(positional)]
    settings: PathBuf,
}

/// Runs the entry until SIGTERM, ctrl-c or a drain request.
pub fn exec(args: EntryArgs) -> miette::Result<()> {
    let settings = role::prepare(Role::Entry, &args.settings)?;
    role::run(&settings, |signal| async {
        let Some(entry) = settings.entry else { return Ok(Default::default()) };
        let (http, _) = bind(entry.http).await?;
        let (grpc, _) = bind(settings.listen).await?;
        run_entry(&settings, &entry, EntryListeners { http, grpc }, signal).await
    })
}
