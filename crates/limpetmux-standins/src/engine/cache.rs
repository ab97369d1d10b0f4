//! The prompt prefix cache and its late events.

use serde::Serialize;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

const EVENTS_KEPT: usize = 4_096;

/// One change of the cache, as published.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Event {
    sequence: u64,
    prefix: u64,
    stored: bool,
}

/// The least recently used prefix goes first.
#[derive(Debug)]
pub(crate) struct Cache {
    size: usize,
    lag: Duration,
    held: VecDeque<u64>,
    events: VecDeque<(Instant, Event)>,
    next: u64,
    pub(crate) gaps: u64,
    pub(crate) hits: u64,
    pub(crate) misses: u64,
}

impl Cache {
    pub(crate) fn new(size: usize, lag: Duration) -> Self {
        let (held, events) = (VecDeque::new(), VecDeque::new());
        Self { size, lag, held, events, next: 0, gaps: 0, hits: 0, misses: 0 }
    }

    /// Uses a prefix and returns whether it was held.
    pub(crate) fn touch(&mut self, prefix: u64) -> bool {
        let at = self.held.iter().position(|p| *p == prefix);
        if let Some(i) = at {
            self.held.remove(i);
            self.hits += 1;
        } else {
            self.misses += 1;
            self.emit(prefix, true);
        }
        self.held.push_back(prefix);
        if self.held.len() > self.size
            && let Some(old) = self.held.pop_front()
        {
            self.emit(old, false);
        }
        at.is_some()
    }

    fn emit(&mut self, prefix: u64, stored: bool) {
        let sequence = self.next;
        self.next += 1;
        if self.gaps > 0 && sequence.is_multiple_of(self.gaps) {
            return;
        }
        self.events.push_back((Instant::now(), Event { sequence, prefix, stored }));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// Returns the next sequence to ask for and the events from `from` on that are old enough.
    pub(crate) fn events(&self, from: u64) -> (u64, Vec<Event>) {
        let now = Instant::now();
        let seen = self.events.iter().filter(|(at, e)| e.sequence >= from && *at + self.lag <= now);
        let events: Vec<Event> = seen.map(|(_, e)| *e).collect();
        let next = events.last().map_or(from, |e| e.sequence + 1);
        (next, events)
    }
}
