//! `limpetmux sidecar`

use super::role;
use argh::FromArgs;
use limpetmux::node::{bind, run_sidecar};
use limpetmux::settings::Role;
use std::path::PathBuf;

/// Run the sidecar of one backend server.
///
/// Exit codes: 0 after a drain without unfinished requests, 1 after a failure or with unfinished
/// requests.
#[derive(FromArgs)]
#[argh(subcommand, name = "sidecar")]
pub struct SidecarArgs {
    /// the settings file, JSON with comments
    #[argh(positional)]
    settings: PathBuf,
}

/// Runs the sidecar until SIGTERM, ctrl-c or a drain request.
pub fn exec(args: SidecarArgs) -> miette::Result<()> {
    let settings = role::prepare(Role::Sidecar, &args.settings)?;
    role::run(&settings, |signal| async {
        let Some(sidecar) = &settings.sidecar else { return Ok(Default::default()) };
        let (listener, _) = bind(settings.listen).await?;
        run_sidecar(&settings, sidecar, listener, signal).await
    })
}
