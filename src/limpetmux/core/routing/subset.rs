//! Deterministic subsets of hosts, one per entry.
//!
//! The settings number the entries of one zone. The hosts of a zone form a sequence of rounds, each
//! a permutation of all of them, and entry `i` uses the `i`th block of `size` consecutive hosts in
//! the sequence. Consecutive entries thus use every host of a round before the next round begins,
//! so all hosts are in nearly the same number of subsets. Each round and each zone of the entry has
//! its own permutation, so entries that share one host share few others.

use crate::core::config::Name;
use crate::util::hash::hash_parts;

/// The position of an entry among all entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPlace {
    /// The entry's availability zone.
    pub zone: Name,
    /// The entry's number among the entries of its zone, counted from zero.
    pub ordinal: u32,
}

/// Returns the sorted indices in `hosts` of the hosts that an entry considers.
///
/// All entries must pass the hosts of `zone` in the same order.
pub fn subset(place: &EntryPlace, zone: &Name, hosts: &[&Name], size: usize) -> Vec<usize> {
    if size >= hosts.len() {
        return (0..hosts.len()).collect();
    }
    let first = place.ordinal as usize * size;
    let mut round = first / hosts.len();
    let mut order = permutation(place, zone, hosts, round);
    let mut next = first % hosts.len();
    let mut chosen = Vec::with_capacity(size);
    while chosen.len() < size {
        if next == order.len() {
            round += 1;
            order = permutation(place, zone, hosts, round);
            // Hosts already in this subset move to the end, so that the round is still used evenly.
            order.sort_by_key(|i| chosen.contains(i));
            next = 0;
        }
        chosen.push(order[next]);
        next += 1;
    }
    chosen.sort_unstable();
    chosen
}

/// Returns the permutation of the hosts in one round, ordered by a hash.
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
