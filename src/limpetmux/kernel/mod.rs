//! The micro-kernel: services register under a name and find each other by it.
//!
//! A service is a task that owns its state and receives typed messages through a bounded
//! [`Port`]. The kernel only connects services; it knows none of their messages. Control services
//! share the one control thread ([`ControlThread`]), traffic services run on the worker threads.
//! State that the request path reads is a [`Published`] value, replaced whole by its owner.

mod published;
mod registry;
mod thread;

pub use published::{Published, Publisher};
pub use registry::{Kernel, KernelError, Port, ServiceId};
pub use thread::{ControlThread, ThreadError};
