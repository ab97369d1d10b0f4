//! A node of a deployment whose operator declares routes: the entry's request path, and the state
//! that the tasks of a node share.
//!
//! [`front`] accepts connections of callers. [`request`] resolves a request against the operator's
//! configuration, [`stages`] runs its stages in the order that `chain` computes, and [`forward`]
//! sends it to a backend server. Each send is an [`attempt`]; `plain` reads a plain answer, and
//! [`stream`] forwards a streamed or long one to the caller. [`head_watch`] follows what arrives
//! before the answer, and `unsent` what has not left after it. [`failure`] holds the answers that the
//! node creates itself. [`connections`] pools connections to backend servers, `ended` finds out whether
//! one of them has ended, [`quarantine`] holds back requests that crash them, [`node`] holds the shared
//! state, and [`run`] starts and stops a process. See `docs/design/platform.md`.

pub mod attempt;
mod chain;
pub mod connections;
mod ended;
pub mod engines;
pub mod failure;
pub mod forward;
pub mod front;
mod head_time;
pub mod head_watch;
pub mod inputs;
pub mod load;
pub mod node;
pub mod notices;
mod plain;
pub mod quarantine;
pub mod quota;
pub mod request;
pub mod rollout;
pub mod run;
pub mod settings;
pub mod stages;
pub mod stream;
mod unsent;
pub mod upload;
