//! limpetmux serves multi-stage model pipelines.
//!
//! The crate is divided by responsibility. [`core`] makes decisions without I/O or clocks;
//! [`kernel`] registers services and finds them by name; [`adapters`] implement the published
//! protocols of the platform and of backend servers; [`wire`] defines the messages between the
//! processes of limpetmux; [`entry`] and [`sidecar`] are the two roles on the request path; [`ops`]
//! has one function per operator command. Requests flow from an entry through sidecars to backend
//! servers; configuration flows from the platform log through the control thread into an immutable
//! view that traffic threads read. See `docs/README.md` for an index of the documentation.

pub mod adapters;
pub mod admin;
pub mod claims;
pub mod control;
pub mod core;
pub mod entry;
pub mod fleet;
pub mod kernel;
pub mod membership;
pub mod node;
pub mod ops;
pub mod planner;
pub mod platform;
pub mod prelude;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod sidecar;
pub mod stage_queues;
pub mod util;
pub mod wire;
