//! The micro-kernel: a registry in which services register and find each other by name.
//!
//! A service is a task that owns its state and receives typed messages through a bounded
//! [`Port`]. The kernel only connects services and does not interpret their messages. Control
//! services share one thread ([`ControlThread`]); traffic services run on the worker threads. State
//! that the request path reads is a [`Published`] value, which its owner replaces as a whole.

mod published;
mod registry;
mod thread;

pub use published::{Published, Publisher};
pub use registry::{Kernel, KernelError, Port, ServiceId};
pub use thread::{ControlThread, ThreadError};
