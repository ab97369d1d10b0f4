//! Explores the at-most-once protocol with larger limits than the test suite has time for.

use argh::FromArgs;
use limpetmux::core::once::Guards;
use limpetmux_test_support::once::Exploration;
use limpetmux_test_support::once::change::{self, Change, InitialState};
use limpetmux_test_support::once::pair::{Limits, explore};

/// Explore the at-most-once protocol: a handover and a return, and changes of the declared hosts.
#[derive(FromArgs)]
#[argh(subcommand, name = "explore")]
pub struct ExploreArgs {}

/// A sequence of steps in which a key runs twice.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("a key runs twice: {path}")]
pub struct DoubleRun {
    path: String,
}

/// Runs the explorations.
///
/// # Errors
/// Returns [`DoubleRun`] with the sequence of steps in which a key runs twice.
pub fn exec(_args: ExploreArgs) -> Result<(), DoubleRun> {
    let guards = Guards::default();
    report("handover and return", explore(guards, Limits::MOVES))?;
    report("handover and return, no time", explore(guards, Limits::UNTIMED_MOVES))?;
    for limits in change::Limits::LARGE {
        for change in Change::ALL {
            let name = format!("{change:?}, {limits:?}");
            report(&name, change::explore(guards, change, &InitialState::USUAL, limits, false))?;
            report(
                &format!("{name}, no time"),
                change::explore(guards, change, &InitialState::USUAL, limits, true),
            )?;
        }
    }
    Ok(())
}

fn report(name: &str, exploration: Exploration) -> Result<(), DoubleRun> {
    let Exploration { states, path } = exploration;
    println!("{name}: {states} states");
    path.map_or(Ok(()), |path| Err(DoubleRun { path }))
}
