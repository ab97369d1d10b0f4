//! Accounting of cost by workspace, pipeline and stage.
//!
//! A sidecar's [`Meter`] splits the price of its backend server's busy time among the calls that
//! run at once. Replies carry the costs to the entry, whose [`Ledger`] adds them up by
//! workspace, pipeline and stage for the answer's trailer, the metrics and `status`.

mod ledger;
mod meter;

pub use ledger::{CostRow, Ledger};
pub use meter::{Mark, Meter};
