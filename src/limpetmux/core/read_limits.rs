//! The bounds on what a process reads from a peer.
//!
//! A peer may send bytes without end, or one byte a second, on purpose or because it is broken. Every
//! read therefore has a bound in bytes and one in time; `docs/design/reads.md` lists all of them.
//! The code that reads compares with the constants here, and reports what it met as an [`Exceeded`].

use std::time::Duration;
use strum::{IntoStaticStr, VariantArray};

/// The most bytes of an answer's head.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The most headers of an answer's head.
pub const MAX_HEADERS: usize = 100;
/// The most informational answers before the answer to a request.
pub const MAX_INFORMATIONAL: usize = 16;
/// The bytes of an answer's trailers, and of all extensions of its chunks, that hyper reads at most.
pub const MAX_TRAILER_BYTES: usize = 16 * 1024;
/// The bytes of a plain answer that are held before the caller gets any of it.
pub const HELD_ANSWER_BYTES: usize = 64 * 1024;
/// The bytes of a plain answer that are held without a claim on the memory for callers.
pub const UNCLAIMED_ANSWER_BYTES: usize = 4 * 1024;
/// The most bytes of one read from a backend server; hyper doubles its buffer while reads fill it, which
/// begins at 8 KiB.
pub const BACKEND_READ_BYTES: usize = 8 * 1024 - 1;
/// The most bytes of a plain answer until an operator states another limit.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// The most bytes of a streamed answer until an operator states another limit.
pub const MAX_STREAM_BYTES: usize = 256 * 1024 * 1024;
/// The most bytes of one event of a streamed answer, with the lines before it that belong to none,
/// until an operator states another limit.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The most bytes of an answer that only states a few values: a load report, an offset, a refusal.
pub const MAX_NOTE_BYTES: usize = 64 * 1024;
/// The most bytes of an answer that is one JSON value, of a backend server, until the settings state
/// another limit.
pub const MAX_JSON_BYTES: usize = 4 * 1024 * 1024;
/// The most bytes of a model engine's streamed answer, with the framing of its events; the settings may
/// state less.
pub const MAX_TOKENS_BYTES: usize = 16 * 1024 * 1024;
/// The most pieces of one answer.
pub const MAX_PIECES: u64 = 65_536;
/// The most bytes of the host list.
pub const MAX_HOST_LIST_BYTES: usize = 4 * 1024 * 1024;
/// The most bytes of a page of the log; a page of one record is smaller.
pub const MAX_LOG_PAGE_BYTES: usize = 8 * 1024 * 1024;
/// The most bytes of one message between processes of the system, in either direction.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// The most bytes of a message with a host's table of idempotency keys and its answers.
pub const MAX_TABLE_BYTES: usize = 32 * 1024 * 1024;

/// The most bytes of the store's answer to a read of a log: a mebibyte of records, which is what a
/// read asks for, and the largest record in addition.
pub const MAX_LOG_BYTES: usize = 2 * 1024 * 1024;
/// The most records of the store's answer to a read of a log. A mebibyte of records with keys of
/// three bytes has fewer.
pub const MAX_LOG_RECORDS: usize = 256 * 1024;
/// The most bytes of one page of the newest records: a megabyte of values in base64, the largest
/// record in addition, and room for the names and keys.
pub const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;
/// The most records of one page of the newest records.
pub const MAX_PAGE_RECORDS: usize = 1_000;
/// The most bytes of all pages of one list of newest records.
pub const MAX_LIST_BYTES: usize = 32 * 1024 * 1024;
/// The most bytes of the store's answer to an append.
pub const MAX_APPEND_ANSWER_BYTES: usize = 16 * 1024;

/// The most bytes of the answer to a call for pieces, for each piece: the name of its result.
pub const MAX_PIECE_ANSWER_BYTES: usize = 512;
/// The most bytes of the answer to a call for pieces in addition to those for each piece, and the
/// most bytes of the answer to a call that frees results.
pub const MAX_CALL_ANSWER_BYTES: usize = 4 * 1024;

/// The most bytes of the head of a caller's request until a configuration sets it.
pub const DEFAULT_CALLER_HEAD_BYTES: usize = 16 * 1024;
/// The least limit on the head of a caller's request that the HTTP server supports, in bytes.
pub const MIN_CALLER_HEAD_BYTES: usize = 8 * 1024;
/// The least bytes of a header: a name of one byte, a colon and the end of the line.
pub const MIN_HEADER_BYTES: usize = 4;
/// The time for the head of a caller's request until a configuration sets it.
pub const DEFAULT_CALLER_HEAD_TIME: Duration = Duration::from_secs(5);
/// The longest idle time of a caller's connection until a configuration sets it.
pub const DEFAULT_CALLER_IDLE_TIME: Duration = Duration::from_secs(15);

/// The most bytes of the head of a readiness check or of a request for metrics.
pub const MAX_PROBE_HEAD_BYTES: usize = 8 * 1024;
/// The time for the head of a readiness check or of a request for metrics, and the longest idle time
/// before it.
pub const MAX_PROBE_TIME: Duration = Duration::from_secs(10);
/// The most connections of one listener for readiness checks or metrics.
pub const MAX_PROBE_CONNECTIONS: usize = 128;

/// The descriptors that are left to files and to connections that the process opens itself.
const OWN_DESCRIPTORS: usize = 200;
/// The part of a process's descriptors that one listener for readiness checks or metrics may use: one
/// of this number.
const PROBE_PART: usize = 15;

/// The time for the message of a call from another process.
pub const MAX_MESSAGE_TIME: Duration = Duration::from_secs(5);

/// The least number of connections of other processes that a process accepts.
pub const MIN_NODE_CONNECTIONS: usize = 64;
/// The most connections of other processes that a process accepts, whatever its descriptors.
pub const MAX_NODE_CONNECTIONS: usize = 65_536;
/// How long a connection of another process may have no call.
pub const NODE_IDLE_TIME: Duration = Duration::from_secs(300);
/// How long a caller keeps a connection to another process without using it.
pub const KEPT_IDLE_TIME: Duration = Duration::from_secs(100);

/// Returns the most connections of other processes, of the descriptors that callers leave to them.
///
/// The other half is for connections to other processes and to backend servers.
pub fn node_connections(descriptors: usize) -> usize {
    (descriptors / 2).clamp(MIN_NODE_CONNECTIONS, MAX_NODE_CONNECTIONS)
}

/// Returns the most connections of one listener for readiness checks or metrics.
pub fn probe_connections(descriptors: usize) -> usize {
    (descriptors / PROBE_PART).clamp(1, MAX_PROBE_CONNECTIONS)
}

/// Returns the most connections of other processes to one with few descriptors, `for_callers` of which
/// are for callers.
///
/// A quarter of what the listeners leave is for connections to backend servers and other processes.
pub fn entry_node_connections(descriptors: usize, for_callers: usize) -> usize {
    let left = descriptors.saturating_sub(for_callers);
    let probes = 2 * probe_connections(descriptors);
    let unused = left.saturating_sub(OWN_DESCRIPTORS + probes);
    node_connections(left).min(unused - unused / 4).max(MIN_NODE_CONNECTIONS)
}

/// What a process reads from.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr, VariantArray, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum Peer {
    /// A backend server that answers requests.
    BackendServer,
    /// A backend server that runs pieces of stages.
    StageServer,
    /// The platform's store.
    Store,
    /// The platform's log, host list or power service of the product's own interface.
    Platform,
    /// Another process of the system.
    Node,
    /// A caller.
    Caller,
    /// An operator.
    Operator,
}

/// What is bounded.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr, VariantArray, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum Bound {
    /// The bytes or the number of the headers.
    Head,
    /// The bytes of the body.
    Body,
    /// The bytes of one event of a stream.
    Event,
    /// The number of records, items or events.
    Count,
    /// The time for the head and the body together.
    Time,
}

/// Reading from a peer stopped at a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the {bound} of a {peer} exceeds {limit}")]
pub struct Exceeded {
    /// What was read from.
    pub peer: Peer,
    /// What was bounded.
    pub bound: Bound,
    /// The limit, in bytes, in pieces or in milliseconds, as the bound requires.
    pub limit: u64,
}

impl Exceeded {
    /// Creates a stop at a number of bytes or pieces.
    pub const fn count(peer: Peer, bound: Bound, limit: usize) -> Self {
        Self { peer, bound, limit: limit as u64 }
    }

    /// Creates a stop at a time.
    pub fn time(peer: Peer, limit: Duration) -> Self {
        let limit = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        Self { peer, bound: Bound::Time, limit }
    }
}
