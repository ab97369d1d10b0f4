//! Deadlines, retries and hedging.
//!
//! An entry learns how long each stage takes ([`StageTimes`]), refuses a request before its first
//! stage if the remaining time is too short, and gives each stage a deadline that leaves enough
//! time for the later stages. A [`RetryBudget`] limits all further attempts, both retries and
//! hedges, to a share of first attempts. The rules are in `docs/design/deadlines.md`.

mod quantiles;
mod retry;
mod times;

pub use quantiles::{Percentiles, Quantiles};
pub use retry::{Retry, RetryBudget};
pub use times::{StageId, StageTimes, TimesError};
