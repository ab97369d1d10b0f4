//! Deterministic subsets: which hosts an entry considers.
//!
//! Entries of one zone are numbered by their settings. The hosts of a zone are put into a sequence
//! of rounds, each a permutation of all of them, and entry `i` takes the `i`th run of `size`
//! hosts. Consecutive entries thus use up each round before the next begins, so any two hosts are
//! in nearly equally many subsets. Different rounds and different zones of origin use different
//! permutations, so entries that share one host share few others.

use crate::core::config::Name;
use crate::util::hash::hash_parts;

/// Where an entry stands among all entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPlace {
    /// The entry's availability zone.
    pub zone: Name,
    /// The entry's number among the entries of its zone, counted from zero.
    pub ordinal: u32,
}

/// Returns the positions in `hosts` that an entry considers, sorted.
///
/// All entries must be given the hosts of `zone` in the same order.
pub fn subset(place: &EntryPlace, zone: &Name, hosts: &[&Name], size: usize) -> Vec<usize> {
    if size >= hosts.len() {
        return (0..hosts.len()).collect();
    }
    let first = place.ordinal as usize * size;
    let mut round = first / hosts.len();
    let mut order = permutation(place, zone, hosts, round);
    let mut at = first % hosts.len();
    let mut chosen = Vec::with_capacity(size);
    while chosen.len() < size {
        if at == order.len() {
            round += 1;
            order = permutation(place, zone, hosts, round);
            // Hosts that the entry already has come last, so the round is still used up evenly.
            order.sort_by_key(|i| chosen.contains(i));
            at = 0;
        }
        chosen.push(order[at]);
        at += 1;
    }
    chosen.sort_unstable();
    chosen
}

fn permutation(place: &EntryPlace, zone: &Name, hosts: &[&Name], round: usize) -> Vec<usize> {
    let rank = |index: usize| {
        let origin = place.zone.as_str().as_bytes();
        let round = (round as u64).to_le_bytes();
        let host = hosts[index].as_str().as_bytes();
        (hash_parts(&[origin, zone.as_str().as_bytes(), &round, host]), index)
    };
    let mut order: Vec<usize> = (0..hosts.len()).collect();
    order.sort_by_cached_key(|i| rank(*i));
    order
}
