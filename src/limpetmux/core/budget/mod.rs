//! Deadlines, retries and hedging.
//!
//! An entry learns how long each stage takes ([`StageTimes`]), refuses a request before its first
//! stage if the remaining time does not suffice, and gives each stage the moment by which it must
//! be done so that the later ones still fit. A [`RetryBudget`] bounds all further attempts,
//! retries and hedges alike, to a share of fresh requests. The rules are in
//! `docs/design/deadlines.md`.

mod quantiles;
mod retry;
mod times;

pub use quantiles::{Quantiles, Spread};
pub use retry::{Retry, RetryBudget};
pub use times::{StageId, StageTimes, TimesError};
