//! Room that results take up at the backend servers of a service.

use super::PieceQueue;
use super::worker::Worker;
use crate::core::time::Moment;
use std::sync::Arc;
use std::time::Duration;

/// Room is short once more than all room divided by this is reserved.
const SHORT_ROOM_DIVISOR: u64 = 2;

/// A result that takes up room at a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldResult {
    /// The id of the backend server.
    pub server: Arc<str>,
    /// The name of the result.
    pub name: Arc<str>,
    /// Its size in bytes.
    pub size: u64,
    /// The time until it expires.
    pub remaining: Duration,
}

impl PieceQueue {
    /// Returns whether so much room is reserved that further results may have to wait for it.
    ///
    /// Inputs are then freed early, although a failed piece may need them again.
    pub fn is_room_short(&self, now: Moment) -> bool {
        let available = || self.workers.values().filter(|w| w.is_available(now));
        let reserved = available().map(Worker::reserved).fold(0, u64::saturating_add);
        let room = available().map(|_| self.spec.result_room).fold(0, u64::saturating_add);
        reserved > room / SHORT_ROOM_DIVISOR
    }

    /// Returns the results that take up room, for the node that takes over the queue.
    pub fn held_results(&self, now: Moment) -> Vec<HeldResult> {
        let results = |w: &Worker| {
            let server = Arc::clone(&w.spec.id);
            let held = w.results.iter().map(move |(name, (size, until))| HeldResult {
                server: Arc::clone(&server),
                name: Arc::clone(name),
                size: *size,
                remaining: now.until(*until),
            });
            held.collect::<Vec<_>>()
        };
        self.workers.values().flat_map(results).collect()
    }

    /// Adds results recorded by the node that ran the queue before; those of unknown backend
    /// servers are left out. No result stays longer than one that was made just now.
    pub fn adopt_results(&mut self, now: Moment, held: Vec<HeldResult>) {
        let retention = self.retention();
        for result in held {
            if let Some(worker) = self.workers.get_mut(&result.server) {
                let until = now + result.remaining.min(retention);
                worker.results.insert(result.name, (result.size, until));
            }
        }
    }
}
