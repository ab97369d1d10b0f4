//! A node of a deployment whose operator declares routes: the entry, and what nodes share.
//!
//! [`front`] accepts connections of callers. [`request`] resolves a request against the operator's
//! configuration, [`stages`] has its pieces made by the rules of `chain`, [`forward`] sends it to backend servers, each send a
//! [`visit`], and [`stream`] passes the answer on as it comes. [`failure`] is every answer that the node gives
//! itself. [`links`] keeps connections to backend servers, [`node`] is what all of them share, and
//! [`run`] starts and stops a process. See `docs/design/platform.md`.

mod chain;
pub mod engines;
pub mod failure;
pub mod forward;
pub mod front;
pub mod inputs;
pub mod links;
pub mod node;
pub mod request;
pub mod run;
pub mod settings;
pub mod stages;
pub mod stream;
pub mod visit;
