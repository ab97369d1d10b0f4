//! Choice of a backend server for one request, from the state of one entry.
//!
//! A request goes to the backend server that its shared prompt prefix hashes to, unless that one
//! has more than its share of the entry's requests in flight; so the prefix is read by one backend
//! server and not by all. Without a prefix the least loaded backend server is chosen, the entry's
//! own zone first. Backend servers that fail are ejected for a while. Cold ones get requests at a
//! low rate, which stays below their limit over all entries. See `docs/design/platform.md`.

use crate::core::listing::Server;
use crate::core::routing::Outlier;
use crate::core::time::Moment;
use crate::core::work::load::{LoadRecord, ServerLoad};
use crate::util::hash::hash_parts;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Requests of an entry that a backend server may always have in flight for its prefixes.
const MIN_AFFINE_LIMIT: u32 = 4;
/// Multiple of its equal share of an entry's requests that a backend server may have in flight for
/// its prefixes.
const AFFINE_FACTOR: f64 = 2.5;
/// Avoided backend servers are left out only if at least the number of all backend servers divided
/// by this remains.
const MIN_POOL_DIVISOR: usize = 2;
/// How long a backend server counts as cold after its connections broke without notice.
const SUSPECT_TIME: Duration = Duration::from_millis(1_500);
/// How long a backend server gets no requests after another one was found at its address; its
/// record in the list expires meanwhile.
const REPLACED_TIME: Duration = Duration::from_secs(10);
/// Expected ends are compared in steps of a usual time of a request divided by this; within a step
/// the requests in flight decide.
const END_STEPS: f64 = 4.0;
/// Weight of a new sample in the moving average of the time to the first byte.
const SAMPLE_WEIGHT: f64 = 0.2;
/// A backend server is slow if its time to the first byte exceeds this many times the median of
/// all backend servers.
const SLOW_FACTOR: f64 = 3.0;
/// How long a slow backend server gets no requests before it is tried again.
const SLOW_PAUSE: Duration = Duration::from_millis(1_000);

/// The properties of a request that decide its backend server.
#[derive(Clone, Copy, Debug)]
pub struct PlaceQuery<'a> {
    /// The hash of the shared part of the prompt.
    pub prefix: Option<u64>,
    /// The preferred zone.
    pub zone: &'a str,
    /// The server that the request was planned for; the results of earlier stages are near it.
    pub planned: Option<&'a str>,
    /// The server that the engine pool has chosen from the requests of all entries.
    pub chosen: Option<&'a str>,
    /// Backend servers that have refused or failed the request.
    pub exclude: &'a [Arc<str>],
    /// The name of this entry.
    pub entry: &'a str,
    /// The names of all entries, which share the request rate of a cold backend server.
    pub entries: &'a [Arc<str>],
    /// The requests per second that a cold backend server accepts.
    pub cold_rate: f64,
    /// How long a backend server of the pool is cold after its start.
    pub cold_time: Duration,
}

/// How a request at a backend server has ended, as evidence of the state of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceEnd {
    /// The backend server answered; holds the time to the first byte.
    Answered(Duration),
    /// The backend server answered a prompt: a success, but no sample of its speed, as the time
    /// depends on the length of the prompt.
    Streamed,
    /// The backend server refused the request because it is full.
    Full,
    /// Another backend server runs at the address.
    WrongServer,
    /// The backend server failed or broke off the answer.
    Failed,
    /// The connection broke or the backend server is unreachable.
    Broken,
    /// The end says nothing about the backend server, such as when the caller disconnected.
    Neutral,
}

#[derive(Clone, Debug, Default)]
struct Record {
    inflight: u32,
    outlier: Outlier,
    /// Until when it is avoided, because it was full or slow.
    avoided_until: Moment,
    /// Until when it gets no requests, because another backend server was found at its address.
    replaced_until: Moment,
    /// Until when it counts as cold, because its connections broke.
    cold_until: Moment,
    /// When the last request was sent; limits the rate of a cold backend server.
    sent_at: Moment,
    /// Moving average of the seconds to the first byte.
    first_byte: Option<f64>,
    /// When a request last started or ended.
    used_at: Moment,
    /// The load that it last stated.
    load: LoadRecord,
}

/// The state that an entry keeps of the backend servers that it sends requests to.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    records: BTreeMap<Arc<str>, Record>,
}

impl Placement {
    /// Creates a placement without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses among the usable servers and counts the request as in flight there.
    pub fn pick<'a>(
        &mut self,
        now: Moment,
        servers: &[&'a Server],
        query: PlaceQuery<'_>,
    ) -> Option<&'a Server> {
        let chosen = self.choose(now, servers, query)?;
        let record = self.records.entry(Arc::clone(&chosen.id)).or_default();
        record.inflight += 1;
        record.sent_at = now;
        record.used_at = now;
        Some(chosen)
    }

    /// Chooses without counting the request, to plan where it will be sent later.
    pub fn choose<'a>(
        &self,
        now: Moment,
        servers: &[&'a Server],
        query: PlaceQuery<'_>,
    ) -> Option<&'a Server> {
        let pool = self.pool(now, servers, query);
        let named = |id: Option<&str>| pool.iter().copied().find(|s| Some(&*s.id) == id);
        if let Some(chosen) = named(query.chosen) {
            return Some(chosen);
        }
        let planned = named(query.planned);
        let planned = planned.filter(|s| self.inflight(&s.id) < self.affine_limit(&pool) + 1);
        let affine = || query.prefix.and_then(|p| self.affine(&pool, p));
        planned.or_else(affine).or_else(|| self.least_loaded(now, &pool, query))
    }

    /// Returns the servers that cannot be chosen for a request now.
    pub fn unusable(
        &self,
        now: Moment,
        servers: &[&Server],
        query: PlaceQuery<'_>,
    ) -> Vec<Arc<str>> {
        let pool = self.pool(now, servers, query);
        let unusable = servers.iter().filter(|s| !pool.iter().any(|p| p.id == s.id));
        unusable.map(|s| Arc::clone(&s.id)).collect()
    }

    /// Returns the servers that may be chosen: those that accept the request, without those that
    /// are avoided or ejected unless too few are left.
    fn pool<'a>(
        &self,
        now: Moment,
        servers: &[&'a Server],
        query: PlaceQuery<'_>,
    ) -> Vec<&'a Server> {
        let allowed: Vec<&Server> = (servers.iter().copied())
            .filter(|s| !query.exclude.contains(&s.id) && self.accepts(now, s, query))
            .collect();
        let preferred: Vec<&Server> =
            allowed.iter().copied().filter(|s| !self.is_avoided(now, s)).collect();
        let enough = preferred.len() * MIN_POOL_DIVISOR >= servers.len();
        if enough || (allowed.len() == preferred.len()) { preferred } else { allowed }
    }

    /// Records the end of a request that [`pick`](Self::pick) chose the server for.
    pub fn finished(&mut self, now: Moment, id: &str, end: PlaceEnd) {
        let median = self.median_first_byte();
        let Some(record) = self.records.get_mut(id) else { return };
        record.inflight = record.inflight.saturating_sub(1);
        record.used_at = now;
        match end {
            PlaceEnd::Answered(took) => record.add_answer(now, took, median),
            PlaceEnd::Streamed => record.outlier.succeeded(now),
            PlaceEnd::Full => record.avoided_until = now + Duration::from_millis(100),
            PlaceEnd::WrongServer => record.replaced_until = now + REPLACED_TIME,
            PlaceEnd::Failed => record.add_failure(now),
            PlaceEnd::Broken => {
                record.cold_until = now + SUSPECT_TIME;
                record.add_failure(now);
            }
            PlaceEnd::Neutral => {}
        }
    }

    /// Records the load that a server states in the answer to a request in flight there.
    pub fn record_load(&mut self, now: Moment, id: &str, load: ServerLoad) {
        if let Some(record) = self.records.get_mut(id) {
            record.load.record(now, load, record.inflight);
        }
    }

    /// Returns the number of this entry's requests in flight at a server.
    pub fn inflight(&self, id: &str) -> u32 {
        self.records.get(id).map_or(0, |r| r.inflight)
    }

    /// Removes the records of servers that were not used for a minute.
    pub fn remove_unused(&mut self, now: Moment) {
        self.records
            .retain(|_, r| r.inflight > 0 || now.since(r.used_at) < Duration::from_secs(60));
    }

    fn median_first_byte(&self) -> Option<f64> {
        let mut times: Vec<f64> = self.records.values().filter_map(|r| r.first_byte).collect();
        times.sort_unstable_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }

    fn is_avoided(&self, now: Moment, server: &Server) -> bool {
        let record = self.records.get(&server.id);
        record.is_some_and(|r| now < r.avoided_until || r.outlier.is_ejected(now))
    }

    /// Returns whether a server accepts one more request of this entry.
    ///
    /// A cold server accepts requests of as many entries as its rate per second, at least one, and
    /// with a gap between the requests of each entry.
    fn accepts(&self, now: Moment, server: &Server, query: PlaceQuery<'_>) -> bool {
        let record = self.records.get(&server.id);
        if record.is_some_and(|r| now < r.replaced_until) {
            return false;
        }
        let suspect = record.is_some_and(|r| now < r.cold_until);
        if query.cold_time.is_zero() || (server.cold.is_zero() && !suspect) {
            return true;
        }
        let senders = (query.cold_rate as usize).max(1);
        let own_rank = hash_parts(&[server.id.as_bytes(), query.entry.as_bytes()]);
        let is_before =
            |e: &&Arc<str>| hash_parts(&[server.id.as_bytes(), e.as_bytes()]) > own_rank;
        if query.entries.iter().filter(is_before).count() >= senders {
            return false;
        }
        let gap = Duration::from_secs_f64(senders as f64 / query.cold_rate.max(0.1));
        record.is_none_or(|r| now.since(r.sent_at) >= gap)
    }

    /// Returns the first server in the prefix's rendezvous order that is below its limit.
    fn affine<'a>(&self, pool: &[&'a Server], prefix: u64) -> Option<&'a Server> {
        let limit = self.affine_limit(pool);
        let fits = pool.iter().copied().filter(|s| self.inflight(&s.id) < limit);
        fits.max_by_key(|s| hash_parts(&[&prefix.to_le_bytes(), s.id.as_bytes()]))
    }

    /// Returns the number of this entry's requests in flight at which a server gets no more for
    /// their prefixes.
    fn affine_limit(&self, pool: &[&Server]) -> u32 {
        let inflight: u32 = pool.iter().map(|s| self.inflight(&s.id)).sum();
        let share = f64::from(inflight + 1) / pool.len().max(1) as f64;
        MIN_AFFINE_LIMIT.max((share * AFFINE_FACTOR).ceil() as u32)
    }

    fn least_loaded<'a>(
        &self,
        now: Moment,
        pool: &[&'a Server],
        query: PlaceQuery<'_>,
    ) -> Option<&'a Server> {
        let tie = |s: &Server| hash_parts(&[query.entry.as_bytes(), s.id.as_bytes()]);
        let load = |s: &Server| {
            let other_zone = u32::from(*s.zone != *query.zone);
            // Another zone counts as half a request, so a server there is chosen only if it has at
            // least one request fewer in flight.
            (self.inflight(&s.id) * 2 + other_zone, tie(s))
        };
        // A server that states no load is taken for a small one that only this entry uses.
        let slots = pool.iter().filter_map(|s| self.records.get(&s.id)?.load.slots()).min();
        let unstated = |s: &Server| {
            slots.map(|slots| (f64::from(self.inflight(&s.id) + 1) / f64::from(slots)).max(1.0))
        };
        let rank = |s: &Server| {
            let end = self.expected_end(now, s).or_else(|| unstated(s));
            (end.map_or(0, |end| (end * END_STEPS) as u64), load(s))
        };
        pool.iter().copied().min_by_key(|s| rank(s))
    }

    /// Returns the expected end of one more request at a server, in usual times of a request; `None` if
    /// the server has not stated its load.
    fn expected_end(&self, now: Moment, server: &Server) -> Option<f64> {
        let record = self.records.get(&server.id)?;
        record.load.expected_end(now, record.inflight)
    }
}

impl Record {
    fn add_answer(&mut self, now: Moment, took: Duration, median: Option<f64>) {
        self.outlier.succeeded(now);
        let sample = took.as_secs_f64();
        let average = self.first_byte.map_or(sample, |a| a + (sample - a) * SAMPLE_WEIGHT);
        self.first_byte = Some(average);
        if median.is_some_and(|m| average > m * SLOW_FACTOR) {
            self.avoided_until = now + SLOW_PAUSE;
        }
    }

    fn add_failure(&mut self, now: Moment) {
        if self.outlier.failed(now) {
            self.outlier.eject(now);
        }
    }
}
