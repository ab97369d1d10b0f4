//! The prompt prefix cache and its delayed change events.

use serde::Serialize;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

const MAX_EVENTS: usize = 4_096;

/// A change of the cache, as published.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Event {
    sequence: u64,
    prefix: u64,
    stored: bool,
}

/// An LRU cache of prompt prefixes that publishes its changes `lag` later.
#[derive(Debug)]
pub(crate) struct Cache {
    size: usize,
    lag: Duration,
    prefixes: VecDeque<u64>,
    events: VecDeque<(Instant, Event)>,
    next_sequence: u64,
    /// Every event whose sequence number is a multiple of this is dropped; 0 drops none.
    pub(crate) gap_interval: u64,
    pub(crate) hits: u64,
    pub(crate) misses: u64,
}

impl Cache {
    pub(crate) fn new(size: usize, lag: Duration) -> Self {
        let (prefixes, events) = (VecDeque::new(), VecDeque::new());
        Self { size, lag, prefixes, events, next_sequence: 0, gap_interval: 0, hits: 0, misses: 0 }
    }

    /// Marks a prefix as most recently used, caching it if needed; returns whether it was cached.
    pub(crate) fn touch(&mut self, prefix: u64) -> bool {
        let at = self.prefixes.iter().position(|p| *p == prefix);
        if let Some(i) = at {
            self.prefixes.remove(i);
            self.hits += 1;
        } else {
            self.misses += 1;
            self.emit(prefix, true);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > self.size
            && let Some(old) = self.prefixes.pop_front()
        {
            self.emit(old, false);
        }
        at.is_some()
    }

    fn emit(&mut self, prefix: u64, stored: bool) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.gap_interval > 0 && sequence.is_multiple_of(self.gap_interval) {
            return;
        }
        self.events.push_back((Instant::now(), Event { sequence, prefix, stored }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the next sequence number to ask for and the published events from `from` on.
    pub(crate) fn events(&self, from: u64) -> (u64, Vec<Event>) {
        let now = Instant::now();
        let published =
            self.events.iter().filter(|(at, e)| e.sequence >= from && *at + self.lag <= now);
        let events: Vec<Event> = published.map(|(_, e)| *e).collect();
        let next = events.last().map_or(from, |e| e.sequence + 1);
        (next, events)
    }
}
