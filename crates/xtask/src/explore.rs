//! Explores the at-most-once protocol beyond what the test suite has time for.

use argh::FromArgs;
use limpetmux::core::once::Guards;
use limpetmux_test_support::once::{Exploration, Limits, explore};

/// Explore the at-most-once protocol with a handover and a return in one run.
#[derive(FromArgs)]
#[argh(subcommand, name = "explore")]
pub struct ExploreArgs {}

/// A key has run twice.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("a key runs twice: {path}")]
pub struct DoubleRun {
    path: String,
}

/// Runs the exploration.
///
/// # Errors
/// Returns [`DoubleRun`] with the steps that lead to it.
pub fn exec(_args: ExploreArgs) -> Result<(), DoubleRun> {
    let Exploration { states, path } = explore(Guards::default(), Limits::MOVES);
    println!("{states} states");
    path.map_or(Ok(()), |path| Err(DoubleRun { path }))
}
