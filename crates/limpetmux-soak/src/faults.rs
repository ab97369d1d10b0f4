//! The faults of a run, drawn from its seed as series that may overlap.

use crate::proxy::Link;
use limpetmux_standins::users::{BadBytes, FurtherAnswer, FurtherTime, UsersFault};
use rand::Rng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use std::time::Duration;

/// The faults that a run injects into backend servers.
const SERVER_FAULTS: [UsersFault; 4] =
    [UsersFault::Refused, UsersFault::Error, UsersFault::WrongId, UsersFault::Unsigned];
/// The ways in which a run lets backend servers end their answers, besides those faults.
const ANSWER_ENDS: [UsersFault; 4] =
    [UsersFault::Unframed, UsersFault::CutStream, UsersFault::CutChunks, UsersFault::CutHead];
/// The statuses of further answers: refusals, a failure and a success.
const FURTHER_STATUSES: [u16; 7] = [503, 429, 421, 409, 400, 500, 200];
/// When further answers are sent.
const FURTHER_TIMES: [FurtherTime; 3] =
    [FurtherTime::WithAnswer, FurtherTime::Late, FurtherTime::BeforeNext];
/// The fraction of further answers that carry the id of the request that they belong to.
const NAMED_RATIO: f64 = 0.8;
/// The fraction of faults of false answers that send further answers.
const FURTHER_RATIO: f64 = 0.5;
/// True refusals, and answers that may be taken for refusals or for answers to other requests.
const FALSE_ANSWERS: [UsersFault; 12] = [
    UsersFault::Refused,
    UsersFault::Refused,
    UsersFault::UnnamedRefusal,
    UsersFault::RefusedAsSuccess,
    UsersFault::Failed(503),
    UsersFault::Failed(429),
    UsersFault::Failed(408),
    UsersFault::WrongId,
    UsersFault::Unnamed,
    UsersFault::Unsigned,
    UsersFault::ResetRun,
    UsersFault::ResetHead,
];

/// The faults in a round of restores of the store and notices of backend servers, one of them a restore.
const NOTICE_KINDS: u32 = 6;
/// The limits that backend servers name, in tenths of a request per second.
const LIMITS: [u64; 5] = [0, 5, 10, 30, 80];
/// The fraction of faults of bad bytes that affect the store.
const STORE_RATIO: f64 = 0.2;
/// The number of bursts of requests whose answers do not end.
const BURSTS: u32 = 2;

/// The answers of the first burst of each run, which cost a process without bounds the most memory.
const ENDLESS_BODIES: [BadBytes; 3] =
    [BadBytes::EndlessBody, BadBytes::EndlessChunks, BadBytes::EndlessLength];

/// An external fault or operator action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed and started again after some milliseconds.
    Kill(usize, u64),
    /// A process is asked to stop, and started again once it has exited.
    Stop(usize),
    /// A process is suspended for some milliseconds.
    Pause(usize, u64),
    /// The settings file of a process changes, with or without a signal.
    Reload(usize, bool),
    /// The link between a process and the store is disturbed for some milliseconds.
    StoreLink(usize, Link, u64),
    /// The store refuses all calls for some milliseconds.
    StoreDown(u64),
    /// The link to a backend server is disturbed for some milliseconds.
    ServerLink(usize, Link, u64),
    /// A backend server has a fault for some milliseconds.
    ServerFault(usize, UsersFault, u64),
    /// The bytes of the store's answers break the protocol for some milliseconds.
    StoreBytes(BadBytes, u64),
    /// An entry gets many requests at once, and backend servers answer them without end.
    Burst(usize, BadBytes),
    /// A backend server drains, and is listed again under a new id.
    Drain(usize),
    /// The store is away and returns from a copy; its age, and the times until it is back and until its
    /// writers have written again what it lost, in milliseconds.
    Restore(u64, u64, u64),
    /// A backend server states in its answers that it leaves, while it is listed as ready; later it is
    /// listed again under a new id.
    Leave(usize),
    /// A backend server refuses requests with a `Retry-After` of some milliseconds.
    Hold(usize, u64),
    /// A backend server names a limit, in tenths of a request per second, for some milliseconds.
    Limit(usize, u64, u64),
    /// The operator writes a new configuration version, which moves a route.
    Declare,
    /// The operator revokes a key and replaces it by a new one.
    Revoke,
    /// The operator evacuates a zone for some milliseconds.
    Evacuate(usize, u64),
}

/// The number of targets of each sort that faults may affect.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Processes.
    pub nodes: usize,
    /// Entries, which are the first processes.
    pub entries: usize,
    /// Backend servers.
    pub servers: usize,
    /// Zones.
    pub zones: usize,
}

/// Draws the faults of a run, each with the time at which it starts.
pub fn draw(rng: &mut Pcg64, sizes: Sizes, length: Duration) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let fault = draw_one(rng, sizes);
        // A series repeats the same fault at consecutive processes or servers.
        let repeats = if rng.random_bool(0.25) { rng.random_range(2..4) } else { 1 };
        for step in 0..repeats {
            let gap = Duration::from_millis(rng.random_range(50..700));
            faults.push((at + gap * step, at_next_target(fault, step as usize, sizes)));
        }
        at += Duration::from_millis(rng.random_range(150..1_800));
    }
    faults.extend(draw_answer_ends(rng, sizes, length));
    faults.extend(draw_false_answers(rng, sizes, length));
    faults.extend(draw_bad_bytes(rng, sizes, length));
    faults.extend(draw_notices(rng, sizes, length));
    faults.extend(draw_limits(rng, sizes, length));
    faults.sort_by_key(|(at, _)| *at);
    faults.retain(|(at, _)| *at < length);
    faults
}

/// Draws a series of its own, so that answers end in unusual ways throughout a run.
fn draw_answer_ends(rng: &mut Pcg64, sizes: Sizes, length: Duration) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let (server, end) = (rng.random_range(0..sizes.servers), pick(rng, &ANSWER_ENDS));
        faults.push((at, Fault::ServerFault(server, end, rng.random_range(300..3_000))));
        at += Duration::from_millis(rng.random_range(100..1_000));
    }
    faults
}

/// Draws a series of its own, so that throughout a run some backend servers refuse requests, fail
/// with the status of a refusal, or send answers that belong to other requests.
fn draw_false_answers(rng: &mut Pcg64, sizes: Sizes, length: Duration) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let server = rng.random_range(0..sizes.servers);
        let fault = match rng.random_bool(FURTHER_RATIO) {
            true => UsersFault::Further(FurtherAnswer {
                status: pick(rng, &FURTHER_STATUSES),
                named: rng.random_bool(NAMED_RATIO),
                time: pick(rng, &FURTHER_TIMES),
            }),
            false => pick(rng, &FALSE_ANSWERS),
        };
        faults.push((at, Fault::ServerFault(server, fault, rng.random_range(300..2_000))));
        at += Duration::from_millis(rng.random_range(50..400));
    }
    faults
}

/// Draws a series of its own, so that answers without end, byte by byte or with other bytes occur
/// throughout a run, all kinds of them equally often.
fn draw_bad_bytes(rng: &mut Pcg64, sizes: Sizes, length: Duration) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let mut kinds = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        if kinds.is_empty() {
            kinds = BadBytes::ALL.to_vec();
            kinds.shuffle(rng);
        }
        let Some(bytes) = kinds.pop() else { break };
        let fault = match rng.random_bool(STORE_RATIO) {
            true => Fault::StoreBytes(bytes, rng.random_range(100..800)),
            false => {
                let server = rng.random_range(0..sizes.servers);
                Fault::ServerFault(server, UsersFault::Bytes(bytes), rng.random_range(300..2_000))
            }
        };
        faults.push((at, fault));
        at += Duration::from_millis(rng.random_range(50..500));
    }
    let endless: Vec<BadBytes> = BadBytes::ALL.into_iter().filter(|b| !b.is_junk()).collect();
    for number in 1..=BURSTS {
        let bytes = pick(rng, if number == 1 { &ENDLESS_BODIES } else { &endless });
        let entry = rng.random_range(0..sizes.entries);
        faults.push((length * number / (BURSTS + 1), Fault::Burst(entry, bytes)));
    }
    faults
}

/// Draws a series of its own, so that restores of the store, and backend servers that leave or want no
/// requests, occur throughout a run.
fn draw_notices(rng: &mut Pcg64, sizes: Sizes, length: Duration) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    let mut kind = rng.random_range(0..NOTICE_KINDS);
    while at < length {
        let server = rng.random_range(0..sizes.servers);
        let fault = match kind {
            0 => Fault::Restore(
                rng.random_range(200..6_000),
                rng.random_range(0..1_500),
                rng.random_range(0..1_500),
            ),
            1 | 3 => Fault::Leave(server),
            _ => Fault::Hold(server, rng.random_range(700..3_000)),
        };
        faults.push((at, fault));
        kind = (kind + 1) % NOTICE_KINDS;
        at += Duration::from_millis(rng.random_range(700..2_500));
    }
    faults
}

/// Draws a series of its own, so that throughout a run a few backend servers name limits.
fn draw_limits(rng: &mut Pcg64, sizes: Sizes, length: Duration) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let server = rng.random_range(0..sizes.servers);
        let limit = pick(rng, &LIMITS);
        faults.push((at, Fault::Limit(server, limit, rng.random_range(4_000..12_000))));
        at += Duration::from_millis(rng.random_range(1_000..4_000));
    }
    faults
}

fn pick<T: Copy>(rng: &mut Pcg64, choices: &[T]) -> T {
    choices[rng.random_range(0..choices.len())]
}

fn draw_one(rng: &mut Pcg64, sizes: Sizes) -> Fault {
    let node = rng.random_range(0..sizes.nodes);
    let server = rng.random_range(0..sizes.servers);
    let time = rng.random_range(300..3_000);
    match rng.random_range(0..16) {
        0 | 1 => Fault::Kill(node, time / 3),
        2 | 3 => Fault::Stop(node),
        4 | 5 => Fault::Pause(node, time),
        6 => Fault::Reload(node, rng.random_bool(0.5)),
        7 | 8 => Fault::StoreLink(node, draw_link(rng), time * 2),
        9 => Fault::StoreDown(time),
        10 => Fault::ServerLink(server, draw_link(rng), time),
        11 => Fault::ServerFault(server, pick(rng, &SERVER_FAULTS), time),
        12 => Fault::Drain(server),
        13 => Fault::Declare,
        14 => Fault::Revoke,
        _ => Fault::Evacuate(rng.random_range(0..sizes.zones), time * 2),
    }
}

fn draw_link(rng: &mut Pcg64) -> Link {
    match rng.random_range(0..4) {
        0 => Link::Delayed(rng.random_range(20..400)),
        1 => Link::Silent,
        2 => Link::OneWay,
        _ => Link::Reset,
    }
}

/// Returns the same fault at the process or backend server `step` positions further on.
fn at_next_target(fault: Fault, step: usize, sizes: Sizes) -> Fault {
    let node = |n: usize| (n + step) % sizes.nodes;
    let server = |n: usize| (n + step) % sizes.servers;
    match fault {
        Fault::Kill(n, ms) => Fault::Kill(node(n), ms),
        Fault::Stop(n) => Fault::Stop(node(n)),
        Fault::Pause(n, ms) => Fault::Pause(node(n), ms),
        Fault::Reload(n, signal) => Fault::Reload(node(n), signal),
        Fault::StoreLink(n, link, ms) => Fault::StoreLink(node(n), link, ms),
        Fault::ServerLink(n, link, ms) => Fault::ServerLink(server(n), link, ms),
        Fault::ServerFault(n, kind, ms) => Fault::ServerFault(server(n), kind, ms),
        Fault::Drain(n) => Fault::Drain(server(n)),
        Fault::Leave(n) => Fault::Leave(server(n)),
        Fault::Hold(n, ms) => Fault::Hold(server(n), ms),
        Fault::Limit(n, limit, ms) => Fault::Limit(server(n), limit, ms),
        other => other,
    }
}
