//! Runs a non-idempotent stage at most once per idempotency key.
//!
//! Every key has a home host that runs it and a successor that may take over ([`homes`]). Each
//! host passes requests, log records, promises and the time to one [`Node`]. The node returns the
//! actions to perform and does no I/O itself. Claims and takeovers are written to the platform log
//! as [`Record`]s. `docs/design/at-most-once.md` describes the protocol, the alternatives and the
//! exploration that checks it.

mod declared;
mod guard;
mod homes;
mod key;
mod moves;
mod node;
mod observe;
mod record;
mod rules;
mod successor;
mod table;

pub use declared::{Declared, DeclaredHost};
pub use guard::{Guard, Guards};
pub use homes::{Homes, HostId, Pair, homes, homes_in};
pub use key::{KeyId, KeyTime};
pub use node::{Action, KeyedRequest, Node, RunDecision, Time};
pub use record::{Incarnation, Record, RecordError};
pub use rules::Rules;
pub use successor::{Handover, PromiseError, Row};
pub use table::{Answer, KeyStatus, Outcome, Role, Table};
