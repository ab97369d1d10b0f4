//! Runs a non-idempotent stage at most once per idempotency key.
//!
//! Every key has a home and a successor ([`homes`]). Each host feeds one [`Node`] with requests,
//! log records, promises and the time; the node answers with what to do and performs nothing
//! itself. Claims and takeovers travel through the platform log as [`Record`]s. The protocol, the
//! ways that were weighed and the exploration that checks it are in
//! `docs/design/at-most-once.md`.

mod declared;
mod guard;
mod homes;
mod key;
mod moves;
mod node;
mod observe;
mod record;
mod rules;
mod seat;
mod table;

pub use declared::{Declared, DeclaredHost};
pub use guard::{Guard, Guards};
pub use homes::{Homes, HostId, Pair, homes, homes_in};
pub use key::{KeyId, KeyTime};
pub use node::{Action, Begin, Known, Node, Time, Work};
pub use record::{Incarnation, Record, RecordError};
pub use rules::Rules;
pub use seat::{Handover, NoPromise, Row};
pub use table::{Answer, Outcome, Role, Table};
