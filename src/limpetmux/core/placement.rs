//! Choice of a backend server for one request, from the view of one entry.
//!
//! A request goes to the backend server that its shared prompt prefix hashes to, as long as that
//! one holds no more of the entry's requests than its share; then the prefix is read once and not
//! by every backend server. Without a prefix the least loaded one is taken, the entry's own zone
//! first. Backend servers that fail are left out for a while, cold ones get a trickle that adds up
//! below their bound over all entries. See `docs/design/platform.md`.

use crate::core::listing::Server;
use crate::core::routing::Outlier;
use crate::core::time::Moment;
use crate::util::hash::hash_parts;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The fewest requests of an entry that a backend server may hold for its prefixes.
const AFFINE_FLOOR: u32 = 4;
/// How many times its share of an entry's requests a backend server may hold for its prefixes.
const AFFINE_BALANCE: f64 = 2.5;
/// The part of a pool that may be left out for failures.
const EJECTED_PARTS: usize = 2;
/// How long a backend server counts as cold after its connections broke without notice.
const SUSPECT: Duration = Duration::from_millis(1_500);
/// How long a backend server gets nothing after another one was found at its address; its entry
/// lapses meanwhile.
const GONE_FOR: Duration = Duration::from_secs(10);
/// The weight of a new sample in the time to a first byte.
const PACE_WEIGHT: f64 = 0.2;
/// A backend server whose times are this many times the pool's is avoided.
const SLOW_FACTOR: f64 = 3.0;
/// How long a slow backend server is avoided before it is tried again.
const SLOW_PAUSE: Duration = Duration::from_millis(1_000);

/// What a request needs of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct PlaceQuery<'a> {
    /// The hash of the shared part of the prompt.
    pub prefix: Option<u64>,
    /// The zone that is preferred.
    pub zone: &'a str,
    /// The server that the request was planned for, near to which its results were made.
    pub planned: Option<&'a str>,
    /// The server that the board of the pool has chosen, with the work of all entries in view.
    pub chosen: Option<&'a str>,
    /// Backend servers that have refused or failed the request.
    pub exclude: &'a [Arc<str>],
    /// This entry's name, and how many entries there are.
    pub entry: &'a str,
    /// The names of all entries, to share out what a cold backend server bears.
    pub entries: &'a [Arc<str>],
    /// The requests a second that a cold backend server bears.
    pub cold_rate: f64,
    /// How long a backend server of the pool is cold after its start.
    pub cold_for: Duration,
}

/// How a request at a backend server has ended, as far as it speaks about the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceEnd {
    /// It answered, with its first byte after this time.
    Answered(Duration),
    /// It answered a prompt, whose length decides on the time: that speaks for the engine, but not
    /// about its speed.
    Streamed,
    /// It refused as full.
    Full,
    /// Another backend server has its address.
    Elsewhere,
    /// It failed, or broke off.
    Failed,
    /// Its connections broke or it cannot be reached.
    Broken,
    /// The caller went away: nothing about the backend server.
    Neutral,
}

#[derive(Clone, Debug, Default)]
struct Record {
    inflight: u32,
    outlier: Outlier,
    avoided: Moment,
    /// Until when it counts as gone, because another backend server was found at its address.
    gone: Moment,
    cold: Moment,
    /// When the last request was sent, for the trickle of a cold backend server.
    sent: Moment,
    /// Smoothed seconds to the first byte.
    pace: Option<f64>,
    touched: Moment,
}

/// What an entry knows of the backend servers that it sends to.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    records: BTreeMap<Arc<str>, Record>,
}

impl Placement {
    /// Creates a placement that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses among the servers that may be sent to and counts the request as in flight there.
    pub fn pick<'a>(
        &mut self,
        now: Moment,
        servers: &[&'a Server],
        query: PlaceQuery<'_>,
    ) -> Option<&'a Server> {
        let chosen = self.choose(now, servers, query)?;
        let record = self.records.entry(Arc::clone(&chosen.id)).or_default();
        record.inflight += 1;
        record.sent = now;
        record.touched = now;
        Some(chosen)
    }

    /// Chooses without counting, to plan where a request will go later.
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
        let planned = planned.filter(|s| self.inflight(&s.id) < self.affine_bound(&pool) + 1);
        let affine = || query.prefix.and_then(|p| self.affine(&pool, p));
        planned.or_else(affine).or_else(|| self.least_loaded(&pool, query))
    }

    /// Returns the servers that must not be chosen for a request now.
    pub fn unfit(&self, now: Moment, servers: &[&Server], query: PlaceQuery<'_>) -> Vec<Arc<str>> {
        let pool = self.pool(now, servers, query);
        let unfit = servers.iter().filter(|s| !pool.iter().any(|p| p.id == s.id));
        unfit.map(|s| Arc::clone(&s.id)).collect()
    }

    /// Returns the servers that may be chosen: those that bear a request, without those that have
    /// failed of late unless too few are left.
    fn pool<'a>(
        &self,
        now: Moment,
        servers: &[&'a Server],
        query: PlaceQuery<'_>,
    ) -> Vec<&'a Server> {
        let allowed: Vec<&Server> = (servers.iter().copied())
            .filter(|s| !query.exclude.contains(&s.id) && self.bears(now, s, query))
            .collect();
        let good: Vec<&Server> =
            allowed.iter().copied().filter(|s| !self.is_avoided(now, s)).collect();
        let enough = good.len() * EJECTED_PARTS >= servers.len();
        if enough || (allowed.len() == good.len()) { good } else { allowed }
    }

    /// Records the end of a request that [`pick`](Self::pick) chose the server for.
    pub fn finished(&mut self, now: Moment, id: &str, end: PlaceEnd) {
        let usual = self.usual_pace();
        let Some(record) = self.records.get_mut(id) else { return };
        record.inflight = record.inflight.saturating_sub(1);
        record.touched = now;
        match end {
            PlaceEnd::Answered(took) => record.answered(now, took, usual),
            PlaceEnd::Streamed => record.outlier.succeeded(now),
            PlaceEnd::Full => record.avoided = now + Duration::from_millis(100),
            PlaceEnd::Elsewhere => record.gone = now + GONE_FOR,
            PlaceEnd::Failed => record.failed(now),
            PlaceEnd::Broken => {
                record.cold = now + SUSPECT;
                record.failed(now);
            }
            PlaceEnd::Neutral => {}
        }
    }

    /// Returns the entry's own requests in flight at a server.
    pub fn inflight(&self, id: &str) -> u32 {
        self.records.get(id).map_or(0, |r| r.inflight)
    }

    /// Forgets servers that nothing was sent to for a minute.
    pub fn forget(&mut self, now: Moment) {
        self.records
            .retain(|_, r| r.inflight > 0 || now.since(r.touched) < Duration::from_secs(60));
    }

    fn usual_pace(&self) -> Option<f64> {
        let mut paces: Vec<f64> = self.records.values().filter_map(|r| r.pace).collect();
        paces.sort_unstable_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied()
    }

    fn is_avoided(&self, now: Moment, server: &Server) -> bool {
        let record = self.records.get(&server.id);
        record.is_some_and(|r| now < r.avoided || r.outlier.is_ejected(now))
    }

    /// Returns whether a server bears one more request of this entry, which may be cold.
    fn bears(&self, now: Moment, server: &Server, query: PlaceQuery<'_>) -> bool {
        let record = self.records.get(&server.id);
        if record.is_some_and(|r| now < r.gone) {
            return false;
        }
        let suspect = record.is_some_and(|r| now < r.cold);
        if query.cold_for.is_zero() || (server.cold.is_zero() && !suspect) {
            return true;
        }
        let senders = (query.cold_rate as usize).max(1);
        let mine = hash_parts(&[server.id.as_bytes(), query.entry.as_bytes()]);
        let before = |e: &&Arc<str>| hash_parts(&[server.id.as_bytes(), e.as_bytes()]) > mine;
        if query.entries.iter().filter(before).count() >= senders {
            return false;
        }
        let gap = Duration::from_secs_f64(senders as f64 / query.cold_rate.max(0.1));
        record.is_none_or(|r| now.since(r.sent) >= gap)
    }

    /// Returns the first server in the prefix's rendezvous order that is not over its share.
    fn affine<'a>(&self, pool: &[&'a Server], prefix: u64) -> Option<&'a Server> {
        let bound = self.affine_bound(pool);
        let fits = pool.iter().copied().filter(|s| self.inflight(&s.id) < bound);
        fits.max_by_key(|s| hash_parts(&[&prefix.to_le_bytes(), s.id.as_bytes()]))
    }

    /// Returns the number of requests of this entry from which on a server gets no more for
    /// their prefixes.
    fn affine_bound(&self, pool: &[&Server]) -> u32 {
        let own: u32 = pool.iter().map(|s| self.inflight(&s.id)).sum();
        let share = f64::from(own + 1) / pool.len().max(1) as f64;
        AFFINE_FLOOR.max((share * AFFINE_BALANCE).ceil() as u32)
    }

    fn least_loaded<'a>(&self, pool: &[&'a Server], query: PlaceQuery<'_>) -> Option<&'a Server> {
        let tie = |s: &Server| hash_parts(&[query.entry.as_bytes(), s.id.as_bytes()]);
        let load = |s: &Server| {
            let far = u32::from(*s.zone != *query.zone);
            // One request less in another zone does not make up for the longer way.
            (self.inflight(&s.id) * 2 + far, tie(s))
        };
        pool.iter().copied().min_by_key(|s| load(s))
    }
}

impl Record {
    fn answered(&mut self, now: Moment, took: Duration, usual: Option<f64>) {
        self.outlier.succeeded(now);
        let sample = took.as_secs_f64();
        let pace = self.pace.map_or(sample, |p| p + (sample - p) * PACE_WEIGHT);
        self.pace = Some(pace);
        if usual.is_some_and(|u| pace > u * SLOW_FACTOR) {
            self.avoided = now + SLOW_PAUSE;
        }
    }

    fn failed(&mut self, now: Moment) {
        if self.outlier.failed(now) {
            self.outlier.eject(now);
        }
    }
}
