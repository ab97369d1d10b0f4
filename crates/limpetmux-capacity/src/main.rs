//! Prints the tables of `docs/CAPACITY.md`.
//!
//! Each table measures one subject over several deployment sizes to show how it grows, and includes
//! the target size. Counts are the same on every run; times depend on the machine.

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
