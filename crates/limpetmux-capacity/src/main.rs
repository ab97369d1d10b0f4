//! Prints the tables of `docs/CAPACITY.md`.
//!
//! Each table gives one subject over several sizes, so that its slope can be read off, and ends with
//! the target size. Counts are the same on every run; times are those of the machine.

mod table;

use argh::FromArgs;

/// Measure state, messages and processor time over several sizes.
#[derive(FromArgs)]
struct Args {}

fn main() {
    let _args: Args = argh::from_env();
    table::state();
    table::changes();
    table::messages();
    table::decisions();
}
