//! `limpetmux version`

use argh::FromArgs;

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct VersionArgs {}

/// Prints the version.
pub fn exec(_args: VersionArgs) -> miette::Result<()> {
    println!("limpetmux {}", env!("CARGO_PKG_VERSION"));
    Ok(())
}
