//! `limpetmux settings`

use argh::FromArgs;
use std::path::PathBuf;

/// Work on settings files.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct SettingsArgs {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(CheckArgs),
}

/// Check a settings file without starting anything.
///
/// Exit codes: 0 if the file can be used, 1 if not.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// the settings file, JSON with comments
    #[argh(positional)]
    file: PathBuf,
}

/// Checks a settings file and reports its first error.
pub fn exec(args: SettingsArgs) -> miette::Result<()> {
    let Command::Check(args) = args.command;
    let settings = limpetmux::settings::load(&args.file)?;
    println!("{}: settings of `{}` can be used", args.file.display(), settings.name);
    Ok(())
}
