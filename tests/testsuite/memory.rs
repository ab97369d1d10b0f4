//! The memory that a process holds for its callers: who gets it when it is short.

use limpetmux::core::memory::{
    CallerBytesError, ClaimKey, MIN_CALLER_BYTES, MemoryFull, MemoryLedger, PROGRESS_BYTES,
    SMALL_BYTES, STALL_TIME, caller_bytes, head_bytes,
};
use limpetmux::core::read_limits::{
    MAX_PROBE_CONNECTIONS, entry_node_connections, probe_connections,
};
use limpetmux::core::time::Moment;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const MEBIBYTE: usize = 1 << 20;
const LIMIT: usize = 20 * MEBIBYTE;

fn at(ms: u64) -> Moment {
    Moment::default() + Duration::from_millis(ms)
}

/// Begins an upload of a mebibyte; returns its claim and the uploads that were ended for it.
fn upload(ledger: &mut MemoryLedger, ms: u64) -> (Result<ClaimKey, MemoryFull>, Vec<ClaimKey>) {
    let mut ended = Vec::new();
    let key = ledger.begin_upload(MEBIBYTE, at(ms), &mut ended);
    (key, ended.iter().map(|e| e.key).collect())
}

#[test]
fn crowd_of_large_bodies_gets_half_of_the_bound_and_one_more() {
    // Load: many bodies of the largest size at once.
    let mut ledger = MemoryLedger::new(LIMIT);

    let granted = (0..60).filter(|_| upload(&mut ledger, 0).0.is_ok()).count();

    assert_eq!(granted, 11);
    assert!(ledger.held() <= LIMIT);
}

#[test]
fn small_bodies_are_granted_beside_large_ones() {
    // Load: ordinary callers beside a crowd of large bodies.
    let mut ledger = MemoryLedger::new(LIMIT);
    (0..60).for_each(|_| drop(upload(&mut ledger, 0)));

    let head = ledger.claim(head_bytes(20, 1_000), at(0), &mut Vec::new());
    let small = ledger.begin_upload(SMALL_BYTES, at(0), &mut Vec::new());

    assert!(head.is_ok() && small.is_ok());
}

#[test]
fn upload_that_stopped_longest_makes_room() {
    // Load: bodies that stop just short of their end and stay open.
    let mut ledger = MemoryLedger::new(LIMIT);
    let keys: Vec<ClaimKey> = (0..11).map(|n| upload(&mut ledger, n).0.unwrap()).collect();
    ledger.progress(keys[0], PROGRESS_BYTES, at(500));
    ledger.progress(keys[1], 1, at(500));

    let early = upload(&mut ledger, 900);
    let later = upload(&mut ledger, 100 + STALL_TIME.as_millis() as u64);

    assert!(early.0.is_err() && early.1.is_empty());
    assert_eq!(later.1.first(), Some(&keys[1]));
    assert!(later.0.is_ok() && !later.1.contains(&keys[0]));
}

#[test]
fn head_makes_small_uploads_that_stopped_end() {
    // Load: very many small bodies that stop short, which fill the whole bound.
    let mut ledger = MemoryLedger::new(LIMIT);
    while ledger.held() + SMALL_BYTES <= LIMIT {
        ledger.begin_upload(SMALL_BYTES, at(0), &mut Vec::new()).unwrap();
    }
    let mut ended = Vec::new();

    let early = ledger.claim(SMALL_BYTES, at(500), &mut ended);
    let later = ledger.claim(SMALL_BYTES, at(5_000), &mut ended);

    assert!(early.is_err() && later.is_ok());
    assert_eq!(ended.len(), 1);
}

#[test]
fn whole_bodies_are_not_ended() {
    // Load: bodies that are whole and wait for a backend server.
    let mut ledger = MemoryLedger::new(LIMIT);
    for _ in 0..11 {
        let key = upload(&mut ledger, 0).0.unwrap();
        ledger.end_upload(key, MEBIBYTE);
    }

    let (refused, ended) = upload(&mut ledger, 60_000);

    assert!(refused.is_err() && ended.is_empty());
}

#[test]
fn body_larger_than_the_bound_has_room_in_calm() {
    // Load: one request of the largest legal size, on a host with little memory.
    let mut ledger = MemoryLedger::new(MIN_CALLER_BYTES);

    let (first, _) = upload(&mut ledger, 0);
    let (second, _) = upload(&mut ledger, 0);
    ledger.release(first.unwrap());
    let (third, _) = upload(&mut ledger, 0);

    assert!(second.is_err() && third.is_ok());
}

#[test]
fn chunked_body_larger_than_the_bound_has_room_in_calm() {
    // Load: one request of the largest legal size in chunks, on a host with little memory.
    let mut ledger = MemoryLedger::new(MIN_CALLER_BYTES);
    let key = ledger.begin_upload(SMALL_BYTES, at(0), &mut Vec::new()).unwrap();

    let mut claimed = SMALL_BYTES;
    while claimed < MEBIBYTE {
        ledger.grow(key, claimed, at(0), &mut Vec::new()).unwrap();
        claimed *= 2;
    }

    assert_eq!(ledger.held(), MEBIBYTE);
}

#[test]
fn whole_body_in_chunks_holds_no_more_than_its_bytes() {
    // Load: very many small bodies in chunks, of requests that run for long.
    let mut ledger = MemoryLedger::new(LIMIT);
    let key = ledger.begin_upload(SMALL_BYTES, at(0), &mut Vec::new()).unwrap();

    ledger.end_upload(key, 100);

    assert_eq!(ledger.held(), 100);
}

#[test]
fn uploads_are_not_ended_for_a_claim_that_is_refused_all_the_same() {
    // Load: large bodies that are whole and wait, beside small ones that stop short.
    let mut ledger = MemoryLedger::new(LIMIT);
    while let (Ok(key), _) = upload(&mut ledger, 0) {
        ledger.end_upload(key, MEBIBYTE);
    }
    ledger.begin_upload(SMALL_BYTES, at(0), &mut Vec::new()).unwrap();

    let (refused, ended) = upload(&mut ledger, 60_000);

    assert!(refused.is_err() && ended.is_empty());
}

#[test]
fn chunks_are_claimed_as_they_arrive() {
    // Load: bodies in chunks, whose length nobody knows.
    let mut ledger = MemoryLedger::new(LIMIT);
    let mut grown = 0;
    for _ in 0..60 {
        let key = ledger.begin_upload(SMALL_BYTES, at(0), &mut Vec::new()).unwrap();
        let more = MEBIBYTE - SMALL_BYTES;
        grown += usize::from(ledger.grow(key, more, at(0), &mut Vec::new()).is_ok());
    }

    assert!((5..=11).contains(&grown), "{grown}");
    assert!(ledger.held() <= LIMIT);
}

#[test]
fn held_bytes_equal_the_claims_whatever_happens() {
    // Load: uploads of all sizes that begin, grow, stop, end and are released in any order.
    for seed in 0..50 {
        let mut draw = Pcg64Mcg::seed_from_u64(seed);
        let mut ledger = MemoryLedger::new(LIMIT);
        let (mut keys, mut ended) = (Vec::new(), Vec::new());
        for step in 0..2_000 {
            let now = at(step * 20);
            let bytes = 1 << draw.random_range(8..=20);
            match draw.random_range(0..5) {
                0 => keys.extend(ledger.begin_upload(bytes, now, &mut ended)),
                1 => keys.extend(ledger.claim(bytes, now, &mut ended)),
                2 if !keys.is_empty() => {
                    let key = keys[draw.random_range(0..keys.len())];
                    let _ = ledger.grow(key, bytes, now, &mut ended);
                    ledger.progress(key, bytes, now);
                }
                3 if !keys.is_empty() => ledger.end_upload(keys[0], bytes),
                _ if !keys.is_empty() => {
                    let key = keys.swap_remove(draw.random_range(0..keys.len()));
                    ledger.release(key);
                }
                _ => {}
            }
            assert!(ledger.held() <= LIMIT + MEBIBYTE, "seed {seed}: {}", ledger.held());
        }
        keys.into_iter().for_each(|key| ledger.release(key));
        assert_eq!(ledger.held(), 0, "seed {seed}");
    }
}

#[test]
fn stated_bound_is_checked() {
    // Guards against a number of another unit.
    let memory = 100_000_000;

    assert_eq!(caller_bytes(memory, None), Ok(25_000_000));
    assert_eq!(caller_bytes(memory, Some(memory)), Ok(memory));
    for bytes in [0, MIN_CALLER_BYTES - 1, memory + 1] {
        let error = CallerBytesError { bytes, least: MIN_CALLER_BYTES, memory };
        assert_eq!(caller_bytes(memory, Some(bytes)), Err(error));
    }
}

#[test]
fn head_of_many_short_fields_counts_for_more_than_its_text() {
    // Load: requests that are legal in size but consist of very many short fields.
    assert!(head_bytes(3_000, 16_000) > 32 * 16_000);
    assert!(head_bytes(20, 1_000) < SMALL_BYTES);
}

#[test]
fn connections_of_all_listeners_fit_the_descriptors() {
    // Load: more connections than the process has descriptors, at all its listeners together.
    for (descriptors, for_callers) in [(400, 64), (1_100, 100), (2_000, 1_000), (4_100, 3_100)] {
        let probes = 2 * probe_connections(descriptors);
        let nodes = entry_node_connections(descriptors, for_callers);
        assert!(for_callers + nodes + probes < descriptors - 200, "{descriptors}");
    }
    assert_eq!(probe_connections(2_000), MAX_PROBE_CONNECTIONS);
}
