//! What backend servers state about themselves in their answers: that they leave, for how long they
//! want no requests, and how many requests a second they accept.
//!
//! All hold for one incarnation, whatever its record in the platform's list says. A server that
//! leaves gets new requests only while no other one is left, and none once its drain time has passed
//! since this node first heard of it. A server that wants no requests gets none, and
//! one with a limit only what is granted. See `docs/design/leaving.md` and `docs/design/limits.md`.

use crate::core::listing::Server;
use crate::core::server_limits::{LimitNotice, RequestRate, StatedLimit};
use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The longest time for which a backend server can ask for no requests; longer ones are taken for it.
pub const MAX_HOLD: Duration = Duration::from_secs(600);
/// How long a notice is kept of a backend server that is not listed.
const UNLISTED_TIME: Duration = Duration::from_secs(60);
/// The most backend servers of which notices are kept.
const MAX_SERVERS: usize = 4_096;

/// What one answer states about the backend server that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Whether it leaves.
    pub leaving: bool,
    /// For how long it wants no requests, counted from the answer.
    pub hold: Option<Duration>,
    /// The requests that it accepts from all hosts together.
    pub limit: LimitNotice,
}

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// The id.
    pub id: Arc<str>,
    /// The Unix millisecond of its start.
    pub started_ms: u64,
}

impl Incarnation {
    /// Returns the incarnation that the list has of a backend server.
    pub fn of(server: &Server) -> Self {
        Self { id: Arc::clone(&server.id), started_ms: server.started_ms }
    }
}

/// An incarnation that leaves, as nodes tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingServer {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The time since a node first heard of it.
    pub age: Duration,
}

/// What a notice has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeChange {
    /// Whether it is new that the backend server leaves.
    pub leaves: bool,
    /// Whether it is new that the backend server wants no requests.
    pub holds: bool,
}

/// A limit that a backend server has named or ended, as nodes tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitedServer {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The rate; `None` if there is no limit any more.
    pub rate: Option<RequestRate>,
    /// The time since the request was sent whose answer states it.
    pub asked_age: Duration,
    /// The time since that answer arrived.
    pub heard_age: Duration,
}

/// A change of the limit that a backend server names; `None` stands for no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The former limit.
    pub from: Option<RequestRate>,
    /// The limit now.
    pub to: Option<RequestRate>,
}

/// No backend server of a pool may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolClosed {
    /// The time until one of them accepts requests again; `None` if all of them leave.
    pub opens_in: Option<Duration>,
    /// Whether a limit on requests closes the one that accepts requests first.
    pub is_limited: bool,
}

#[derive(Clone, Debug)]
struct Notices {
    started_ms: u64,
    /// When a node first heard that it leaves.
    leaving_since: Option<Moment>,
    /// Until when it wants no requests.
    held_until: Option<Moment>,
    /// Its limit, or that it has none any more.
    limit: Option<StatedLimit>,
    /// Until when this node gets no grant for it.
    denied_until: Option<Moment>,
    /// When the latest notice was recorded, or the server was last listed.
    used_at: Moment,
}

/// Whether a backend server may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Open,
    /// It leaves, and may get requests that no other one can serve.
    LastResort,
    /// Its limit is used up until a moment.
    Limited(Moment),
    /// It may get no requests until a moment, if that is known.
    Closed(Option<Moment>),
}

/// The notices of all backend servers that a node has heard of.
#[derive(Clone, Debug, Default)]
pub struct ServerNotices {
    servers: BTreeMap<Arc<str>, Notices>,
}

impl ServerNotices {
    /// Records what an answer that arrives at `now` states.
    pub fn record(
        &mut self,
        now: Moment,
        server: &Incarnation,
        notice: ServerNotice,
    ) -> NoticeChange {
        if !notice.leaving && notice.hold.is_none() {
            return NoticeChange::default();
        }
        let Some(notices) = self.entry(now, server) else { return NoticeChange::default() };
        notices.used_at = now;
        let was_held = notices.held_until.is_some_and(|until| until > now);
        let held_until = notice.hold.map(|hold| now + hold.min(MAX_HOLD));
        notices.held_until = notices.held_until.max(held_until);
        let leaves = notice.leaving && notices.leaving_since.is_none();
        if leaves {
            notices.leaving_since = Some(now);
        }
        NoticeChange { leaves, holds: notice.hold.is_some() && !was_held }
    }

    /// Records a limit, or the end of one; returns what it changes.
    pub fn record_limit(
        &mut self,
        now: Moment,
        server: &Incarnation,
        stated: StatedLimit,
    ) -> Option<LimitChange> {
        // Most backend servers have no limit, and nothing is kept of them.
        if stated.rate.is_none() && !self.servers.contains_key(&server.id) {
            return None;
        }
        let notices = self.entry(now, server)?;
        notices.used_at = now;
        let from = notices.limit.and_then(|limit| limit.rate);
        let limit = notices.limit.map_or(stated, |known| known.or_newer(stated));
        notices.limit = Some(limit);
        if limit.rate.is_none() {
            notices.denied_until = None;
        }
        let change = LimitChange { from, to: limit.rate };
        (change.from != change.to).then_some(change)
    }

    /// Records a limit that another node states of a backend server that is listed or not; returns what
    /// it changes.
    pub fn learn_limit(
        &mut self,
        now: Moment,
        stated: &LimitedServer,
        is_listed: bool,
    ) -> Option<LimitChange> {
        if !is_listed && stated.heard_age >= UNLISTED_TIME {
            return None;
        }
        // What is told on grows younger by each transfer, so a limit that is known is not renewed.
        if self.limit(&stated.incarnation) == stated.rate {
            return None;
        }
        let (asked_at, heard_at) = (now - stated.asked_age, now - stated.heard_age);
        let limit = StatedLimit { rate: stated.rate, asked_at, heard_at };
        self.record_limit(now, &stated.incarnation, limit)
    }

    /// Returns the limits, and those that ended lately, for other nodes.
    pub fn limits(&self, now: Moment) -> Vec<LimitedServer> {
        let limited = |(id, notices): (&Arc<str>, &Notices)| {
            let limit = notices.limit?;
            let is_told = limit.rate.is_some() || now.since(limit.heard_at) < UNLISTED_TIME;
            let incarnation = Incarnation { id: Arc::clone(id), started_ms: notices.started_ms };
            is_told.then(|| LimitedServer {
                incarnation,
                rate: limit.rate,
                asked_age: now.since(limit.asked_at),
                heard_age: now.since(limit.heard_at),
            })
        };
        self.servers.iter().filter_map(limited).collect()
    }

    /// Records that this node gets no grant for a limited backend server until a moment.
    pub fn deny(&mut self, now: Moment, server: &Incarnation, until: Moment) {
        if let Some(notices) = self.entry(now, server) {
            notices.denied_until = Some(until);
        }
    }

    /// Returns until when this node gets no grant for a backend server.
    pub fn denied_until(&self, server: &Incarnation) -> Option<Moment> {
        let notices = self.servers.get(&server.id)?;
        notices.denied_until.filter(|_| notices.started_ms == server.started_ms)
    }

    /// Returns the limit of an incarnation.
    pub fn limit(&self, server: &Incarnation) -> Option<RequestRate> {
        let notices = self.servers.get(&server.id)?;
        let limit = notices.limit.filter(|_| notices.started_ms == server.started_ms)?;
        limit.rate
    }

    /// Records what another node has heard, of a backend server that is listed or not; returns whether
    /// it is new.
    pub fn learn(&mut self, now: Moment, server: &LeavingServer, is_listed: bool) -> bool {
        // Otherwise nodes would tell each other for good what each of them drops.
        if !is_listed && server.age >= UNLISTED_TIME {
            return false;
        }
        let Some(notices) = self.entry(now, &server.incarnation) else { return false };
        let since = now - server.age;
        let is_new = notices.leaving_since.is_none();
        notices.leaving_since = Some(notices.leaving_since.map_or(since, |own| own.min(since)));
        is_new
    }

    /// Returns those of a pool's backend servers that may get a request now; without one, those whose
    /// limit may grant it one within `patience`.
    ///
    /// # Errors
    /// Returns [`PoolClosed`] if the pool has backend servers and none of them may.
    pub fn available<'a>(
        &self,
        now: Moment,
        drain_time: Duration,
        servers: Vec<&'a Server>,
        patience: Duration,
    ) -> Result<Vec<&'a Server>, PoolClosed> {
        let is_soon = |s| matches!(s, Standing::Limited(until) if until <= now + patience);
        let tiers: [&dyn Fn(Standing) -> bool; 3] =
            [&|s| s == Standing::Open, &|s| s == Standing::LastResort, &is_soon];
        self.first_of(&tiers, now, drain_time, servers)
    }

    /// Returns those of a pool's backend servers that may get requests, also if their limits are used up
    /// now.
    ///
    /// # Errors
    /// Returns [`PoolClosed`] if the pool has backend servers and none of them may.
    pub fn open_or_limited<'a>(
        &self,
        now: Moment,
        drain_time: Duration,
        servers: Vec<&'a Server>,
    ) -> Result<Vec<&'a Server>, PoolClosed> {
        let is_open = |s| matches!(s, Standing::Open | Standing::Limited(_));
        let tiers: [&dyn Fn(Standing) -> bool; 2] = [&is_open, &|s| s == Standing::LastResort];
        self.first_of(&tiers, now, drain_time, servers)
    }

    /// Returns the backend servers of the first tier that has any.
    fn first_of<'a>(
        &self,
        tiers: &[&dyn Fn(Standing) -> bool],
        now: Moment,
        drain_time: Duration,
        servers: Vec<&'a Server>,
    ) -> Result<Vec<&'a Server>, PoolClosed> {
        if self.servers.is_empty() || servers.is_empty() {
            return Ok(servers);
        }
        let standings: Vec<(&Server, Standing)> =
            servers.into_iter().map(|s| (s, self.standing(now, drain_time, s))).collect();
        for tier in tiers {
            let found: Vec<&Server> =
                standings.iter().filter(|(_, standing)| tier(*standing)).map(|(s, _)| *s).collect();
            if !found.is_empty() {
                return Ok(found);
            }
        }
        let opens_at = standings.iter().filter_map(|(_, standing)| match standing {
            Standing::Limited(until) => Some((*until, true)),
            Standing::Closed(until) => until.map(|until| (until, false)),
            Standing::Open | Standing::LastResort => None,
        });
        let first = opens_at.min();
        Err(PoolClosed {
            opens_in: first.map(|(at, _)| now.until(at)),
            is_limited: first.is_some_and(|(_, is_limited)| is_limited),
        })
    }

    /// Returns whether a backend server wants no requests now.
    pub fn is_held(&self, now: Moment, server: &Server) -> bool {
        matches!(self.standing(now, Duration::MAX, server), Standing::Closed(_))
    }

    /// Returns the incarnations that leave, for other nodes.
    pub fn leaving(&self, now: Moment) -> Vec<LeavingServer> {
        let leaving = |(id, notices): (&Arc<str>, &Notices)| {
            let since = notices.leaving_since?;
            let incarnation = Incarnation { id: Arc::clone(id), started_ms: notices.started_ms };
            Some(LeavingServer { incarnation, age: now.since(since) })
        };
        self.servers.iter().filter_map(leaving).collect()
    }

    /// Drops the notices of backend servers that have not been listed for a while.
    pub fn remove_unlisted(&mut self, now: Moment, is_listed: impl Fn(&str) -> bool) {
        for (_, notices) in self.servers.iter_mut().filter(|(id, _)| is_listed(id)) {
            notices.used_at = now;
        }
        self.servers.retain(|_, notices| now.since(notices.used_at) < UNLISTED_TIME);
    }

    /// Returns the notices of an incarnation; `None` if a later one of the id is known.
    fn entry(&mut self, now: Moment, server: &Incarnation) -> Option<&mut Notices> {
        let known = self.servers.get(&server.id).map(|n| n.started_ms);
        if known.is_none() && self.servers.len() >= MAX_SERVERS {
            return None;
        }
        if known.is_none_or(|known| known < server.started_ms) {
            let notices = Notices {
                started_ms: server.started_ms,
                leaving_since: None,
                held_until: None,
                limit: None,
                denied_until: None,
                used_at: now,
            };
            self.servers.insert(Arc::clone(&server.id), notices);
        }
        let notices = self.servers.get_mut(&server.id)?;
        (notices.started_ms == server.started_ms).then_some(notices)
    }

    fn standing(&self, now: Moment, drain_time: Duration, server: &Server) -> Standing {
        let Some(notices) = self.servers.get(&server.id) else { return Standing::Open };
        if notices.started_ms < server.started_ms {
            return Standing::Open;
        }
        if let Some(until) = notices.held_until.filter(|until| *until > now) {
            return Standing::Closed(Some(until).filter(|_| notices.leaving_since.is_none()));
        }
        let has_left = notices.leaving_since.is_some_and(|since| now.since(since) >= drain_time);
        match notices.denied_until.filter(|until| *until > now) {
            _ if has_left => Standing::Closed(None),
            Some(until) => Standing::Limited(until),
            None if notices.leaving_since.is_some() => Standing::LastResort,
            None => Standing::Open,
        }
    }
}
