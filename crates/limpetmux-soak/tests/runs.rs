//! What every run draws, and what it measures of processes.

use limpetmux_soak::faults::{Fault, Sizes, draw};
use limpetmux_soak::usage::measure;
use limpetmux_standins::users::{BadBytes, UsersFault};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::collections::BTreeSet;
use std::time::Duration;

/// The length of a run.
const LENGTH: Duration = Duration::from_secs(20);

#[test]
fn measured_memory_and_sockets_are_those_of_the_process() {
    let id = std::process::id();
    let before = measure(id).expect("a measurement");
    let memory = vec![1_u8; 64 * 1024 * 1024];
    let bind = || std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let sockets: Vec<_> = (0..20).map(|_| bind()).collect();

    let during = measure(id).expect("a measurement");

    let held = (memory.len() / 1024) as u64;
    assert!(during.memory_kb >= held, "{before:?} {during:?}");
    assert!(during.sockets >= before.sockets + sockets.len(), "{before:?} {during:?}");
    assert_eq!(measure(u32::MAX), None);
}

#[test]
fn every_run_draws_all_bad_bytes_at_backend_servers_stages_and_store() {
    let sizes = Sizes { nodes: 7, entries: 3, servers: 16, zones: 2 };
    // The servers of stages come last.
    let stages = 12..16;
    for seed in 1..=50 {
        let faults = draw(&mut Pcg64::seed_from_u64(seed), sizes, LENGTH);

        let mut bursts = faults.iter().filter_map(|(_, fault)| match fault {
            Fault::Burst(_, bytes) => Some(bytes),
            _ => None,
        });
        assert!(bursts.next().is_some_and(|bytes| bytes.breaks_body()), "seed {seed}");
        let (mut kinds, mut places) = (BTreeSet::new(), BTreeSet::new());
        for (_, fault) in faults {
            let (place, bytes) = match fault {
                Fault::StoreBytes(bytes, _) => ("store", bytes),
                Fault::Burst(_, bytes) => ("burst", bytes),
                Fault::ServerFault(server, UsersFault::Bytes(bytes), _) => {
                    (if stages.contains(&server) { "stage" } else { "server" }, bytes)
                }
                _ => continue,
            };
            kinds.insert(format!("{bytes:?}"));
            places.insert(place);
        }
        assert_eq!(kinds.len(), BadBytes::ALL.len(), "seed {seed}");
        assert_eq!(places.len(), 4, "seed {seed}: {places:?}");
    }
}
