//! How long stages wait for their turn, as an entry has heard of late.
//!
//! Every answer of a queue of pieces tells how long a new stage would wait there. A request is
//! refused before its first stage if the waits along its chain make it late for its objective:
//! the stages that it would take from others are then not thrown away, and the caller learns at
//! once when to come back.

use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The age at which a reported wait says nothing any more.
const FORGET_AFTER: Duration = Duration::from_secs(2);
/// Waits up to this sum are ordinary and refuse nothing.
const ORDINARY: Duration = Duration::from_millis(300);

/// The waits that an entry has heard of.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    waits: BTreeMap<Arc<str>, (Duration, Moment)>,
}

impl Pressure {
    /// Takes in how long a new stage waits at a service.
    pub fn note(&mut self, now: Moment, service: &Arc<str>, wait: Duration) {
        self.waits.insert(Arc::clone(service), (wait, now));
    }

    /// Returns how long a new stage waits at a service; a reported wait drains as time goes on.
    pub fn wait(&self, now: Moment, service: &str) -> Duration {
        let Some((wait, at)) = self.waits.get(service) else { return Duration::ZERO };
        let age = now.since(*at);
        if age > FORGET_AFTER { Duration::ZERO } else { wait.saturating_sub(age) }
    }
}

/// Returns after what time a request should come back that would be late, or `None` if it may
/// start: `needed` is its time with all waits, `aim` its objective, both from now on.
pub fn refuse(needed: Duration, aim: Duration, waits: Duration) -> Option<Duration> {
    let over = needed.checked_sub(aim)?;
    (waits > ORDINARY).then(|| over.max(waits / 2))
}
