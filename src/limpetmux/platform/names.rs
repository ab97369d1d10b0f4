//! The platform's spelling of headers and calls.

use hyper::header::HeaderName;

/// The caller's id of one attempt at a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-limpetmux-request-id");
/// The milliseconds that the sender will wait.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-limpetmux-deadline-ms");
/// The workspace of the caller's key.
pub const WORKSPACE: HeaderName = HeaderName::from_static("x-limpetmux-tenant-id");
/// The id of the backend server that a request is meant for.
pub const EXPECTED: HeaderName = HeaderName::from_static("x-limpetmux-expected-instance");
/// States that a backend server did not run the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-limpetmux-not-executed");
/// The backend server's proof that an answer is its own.
pub const SIGNATURE: HeaderName = HeaderName::from_static("x-limpetmux-response-signature");
/// The parts of a prompt.
pub const PREFIX: HeaderName = HeaderName::from_static("x-limpetmux-prompt-prefix");
/// The tokens of a prompt and the most tokens of its answer.
pub const TOKENS: HeaderName = HeaderName::from_static("x-limpetmux-token-usage");
/// The rank of a request at a model engine.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-limpetmux-request-priority");
/// The number of pieces of each stage.
pub const PIECES: HeaderName = HeaderName::from_static("x-limpetmux-pieces");
/// What the first stages make their pieces from.
pub const PIECE_KEY: HeaderName = HeaderName::from_static("x-limpetmux-piece-key");
/// The address of the model engine to fetch read parts of a prompt from.
pub const FETCH: HeaderName = HeaderName::from_static("kv-fetch");
/// The results that a model engine needs.
pub const INPUTS: HeaderName = HeaderName::from_static("x-limpetmux-inputs");

/// Headers that only the system may set, besides those above that it sets itself.
const RESERVED: [&str; 6] = [
    "x-limpetmux-hold",
    "x-limpetmux-pin-ms",
    "x-limpetmux-kv-backup",
    "x-limpetmux-expected-version",
    "kv-from",
    "wait-ms",
];

/// Headers that concern one connection only.
const HOP: [&str; 9] = [
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

/// Returns whether a caller's header is not passed on to a backend server.
pub fn is_withheld(name: &HeaderName) -> bool {
    let own = [&WORKSPACE, &EXPECTED, &PRIORITY, &INPUTS, &FETCH, &DEADLINE, &NOT_RUN];
    own.contains(&name)
        || *name == hyper::header::AUTHORIZATION
        || RESERVED.contains(&name.as_str())
        || is_hop(name)
}

/// Returns whether a header concerns one connection only.
pub fn is_hop(name: &HeaderName) -> bool {
    HOP.contains(&name.as_str())
}
