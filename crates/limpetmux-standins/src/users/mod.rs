//! Small stand-ins of the users' platform: its store with keyed topics, and a backend server.
//!
//! They implement the part of the published protocol that the adapter uses and count the requests
//! they receive, so that tests over TCP need no other program.

mod bytes;
mod connection;
mod fault;
mod reply;
mod server;
mod stages;
mod store;

pub use bytes::{BadBytes, EndedAnswer, Played};
pub use fault::{FurtherAnswer, FurtherTime, UsersFault};
pub use server::{Arrival, ReceivedRequest, STREAM_EVENTS, STREAMS, UsersServer, VersionQuality};
pub use stages::StageResult;
pub use store::{AppendFault, LostRecord, UsersStore};
