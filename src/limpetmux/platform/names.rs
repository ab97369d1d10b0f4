//! The platform's names of headers.

use hyper::header::HeaderName;

/// The caller's id of one attempt at a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-limpetmux-request-id");
/// How many milliseconds the sender waits for an answer.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-limpetmux-deadline-ms");
/// The workspace of the caller's key.
pub const WORKSPACE: HeaderName = HeaderName::from_static("x-limpetmux-tenant-id");
/// The id of the backend server that a request is meant for.
pub const EXPECTED_SERVER: HeaderName = HeaderName::from_static("x-limpetmux-expected-instance");
/// Present if the backend server did not run the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-limpetmux-not-executed");
/// The signature of the backend server that created the answer.
pub const SIGNATURE: HeaderName = HeaderName::from_static("x-limpetmux-response-signature");
/// The parts of a prompt.
pub const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-limpetmux-prompt-prefix");
/// The number of tokens of a prompt and the largest number of tokens of its answer.
pub const TOKENS: HeaderName = HeaderName::from_static("x-limpetmux-token-usage");
/// The priority of a request at a model engine.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-limpetmux-request-priority");
/// The number of pieces of each stage.
pub const PIECES: HeaderName = HeaderName::from_static("x-limpetmux-pieces");
/// The key from which the first stages compute their pieces.
pub const PIECE_KEY: HeaderName = HeaderName::from_static("x-limpetmux-piece-key");
/// The address of the model engine from which cached parts of a prompt are fetched.
pub const FETCH_FROM: HeaderName = HeaderName::from_static("kv-fetch");
/// The results that a model engine needs.
pub const INPUTS: HeaderName = HeaderName::from_static("x-limpetmux-inputs");

/// How often the store was restored from a copy.
pub const STORE_ERA: HeaderName = HeaderName::from_static("store-era");
/// Present in all answers of a backend server that leaves.
pub const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// The requests per second that a backend server accepts from all hosts together.
pub const LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// The load of a backend server: the requests that run and wait, its slots, and its slowdown.
pub const LOAD: HeaderName = HeaderName::from_static("x-limpetmux-server-load");

/// Headers that only the system may set, in addition to those above.
const RESERVED: [&str; 6] = [
    "x-limpetmux-hold",
    "x-limpetmux-pin-ms",
    "x-limpetmux-kv-backup",
    "x-limpetmux-expected-version",
    "kv-from",
    "wait-ms",
];

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/// Returns whether a caller's header is not forwarded to a backend server.
pub fn is_withheld(name: &HeaderName) -> bool {
    let set_by_node =
        [&WORKSPACE, &EXPECTED_SERVER, &PRIORITY, &INPUTS, &FETCH_FROM, &DEADLINE, &NOT_RUN];
    set_by_node.contains(&name)
        || *name == hyper::header::AUTHORIZATION
        || RESERVED.contains(&name.as_str())
        || is_hop_by_hop(name)
}

/// Returns whether a header applies to one connection only.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
}
