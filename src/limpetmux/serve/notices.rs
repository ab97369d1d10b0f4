//! What backend servers state about themselves in their answers, as the tasks of one node share it:
//! with log lines, and a signal for what other nodes have to learn.

use crate::core::listing::Server;
use crate::core::server_limits::{RequestRate, StatedLimit};
use crate::core::server_notices::{
    Incarnation, LeavingServer, LimitChange, LimitedServer, PoolClosed, ServerNotice, ServerNotices,
};
use crate::core::time::Moment;
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::metrics::{Metric, Metrics};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// The bits of a version that count the changes of one process; those above hold the Unix millisecond
/// of its start.
const COUNTER_BITS: u32 = 20;

/// The notices of one node.
#[derive(Debug)]
pub struct NodeNotices {
    state: Mutex<ServerNotices>,
    /// Rises with each backend server that this node learns to be leaving, and with each change of a
    /// limit.
    version: watch::Sender<u64>,
}

impl NodeNotices {
    /// Creates the empty notices of a process that started at a Unix millisecond.
    pub fn new(started_ms: u64) -> Self {
        let version = watch::Sender::new(started_ms << COUNTER_BITS);
        Self { state: Mutex::default(), version }
    }

    /// Returns a receiver of the version of the backend servers that leave.
    pub fn versions(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Records, logs and counts what an answer states about the backend server that sent it, to a
    /// request that was sent at `asked_at`.
    pub fn record(
        &self,
        metrics: &Metrics,
        server: &Incarnation,
        asked_at: Moment,
        notice: ServerNotice,
    ) {
        let heard_at = clock::boot();
        if let Some(rate) = notice.limit.stated() {
            let stated = StatedLimit { rate, asked_at, heard_at };
            let change = self.lock().record_limit(heard_at, server, stated);
            self.announce_limit(metrics, server, change, "answer", Duration::ZERO);
        }
        let change = self.lock().record(clock::boot(), server, notice);
        if change.leaves {
            self.announce(metrics, server, "answer", Duration::ZERO);
        }
        if let Some(hold) = notice.hold.filter(|_| change.holds) {
            metrics.count(Metric::ServerNotices, 1, &[("notice", "held")]);
            event!(EventCode::ServerHeld, server = server.id, hold_ms = hold.as_millis());
        }
    }

    /// Records and logs the limits that another node knows.
    pub fn learn_limits(
        &self,
        metrics: &Metrics,
        limits: &[LimitedServer],
        is_listed: impl Fn(&str) -> bool,
    ) {
        for limit in limits {
            let listed = is_listed(&limit.incarnation.id);
            let change = self.lock().learn_limit(clock::boot(), limit, listed);
            self.announce_limit(metrics, &limit.incarnation, change, "node", limit.heard_age);
        }
    }

    /// Logs and counts a change of a limit, and tells other tasks.
    fn announce_limit(
        &self,
        metrics: &Metrics,
        server: &Incarnation,
        change: Option<LimitChange>,
        source: &str,
        age: Duration,
    ) {
        let Some(LimitChange { from, to }) = change else { return };
        let text = |rate: Option<RequestRate>| rate.map_or("none".to_owned(), |r| r.to_string());
        metrics.count(Metric::ServerNotices, 1, &[("notice", "limit")]);
        event!(
            EventCode::ServerLimit,
            server = server.id,
            from = text(from),
            to = text(to),
            source = source,
            age_ms = age.as_millis()
        );
        self.version.send_modify(|version| *version += 1);
    }

    /// Returns the limits that this node knows, for other nodes.
    pub fn limits(&self) -> Vec<LimitedServer> {
        self.lock().limits(clock::boot())
    }

    /// Returns the limit of an incarnation.
    pub fn limit(&self, server: &Incarnation) -> Option<RequestRate> {
        self.lock().limit(server)
    }

    /// Records that this node gets no grant for a backend server for some time.
    pub fn deny(&self, server: &Incarnation, time: Duration) {
        let now = clock::boot();
        self.lock().deny(now, server, now + time);
    }

    /// Returns until when this node gets no grant for a backend server.
    pub fn denied_until(&self, server: &Incarnation) -> Option<Moment> {
        self.lock().denied_until(server)
    }

    /// Records and logs what another node has heard.
    pub fn learn(
        &self,
        metrics: &Metrics,
        leaving: &[LeavingServer],
        is_listed: impl Fn(&str) -> bool,
    ) {
        for server in leaving {
            let listed = is_listed(&server.incarnation.id);
            if self.lock().learn(clock::boot(), server, listed) {
                self.announce(metrics, &server.incarnation, "node", server.age);
            }
        }
    }

    /// Returns those of a pool's backend servers that may get a request now; without one, those whose
    /// limit may grant it one within `patience`.
    ///
    /// # Errors
    /// Returns [`PoolClosed`] if the pool has backend servers and none of them may.
    pub fn available<'a>(
        &self,
        drain_time: Duration,
        servers: Vec<&'a Server>,
        patience: Duration,
    ) -> Result<Vec<&'a Server>, PoolClosed> {
        self.lock().available(clock::boot(), drain_time, servers, patience)
    }

    /// Returns those of a pool's backend servers that may get requests, also if their limits are used up
    /// now.
    ///
    /// # Errors
    /// Returns [`PoolClosed`] if the pool has backend servers and none of them may.
    pub fn open_or_limited<'a>(
        &self,
        drain_time: Duration,
        servers: Vec<&'a Server>,
    ) -> Result<Vec<&'a Server>, PoolClosed> {
        self.lock().open_or_limited(clock::boot(), drain_time, servers)
    }

    /// Returns whether a backend server wants no requests now.
    pub fn is_held(&self, server: &Server) -> bool {
        self.lock().is_held(clock::boot(), server)
    }

    /// Returns the backend servers that leave, and the version of that.
    pub fn leaving(&self) -> (Vec<LeavingServer>, u64) {
        let version = *self.version.borrow();
        (self.lock().leaving(clock::boot()), version)
    }

    /// Drops the notices of backend servers that have not been listed for a while.
    pub fn remove_unlisted(&self, is_listed: impl Fn(&str) -> bool) {
        self.lock().remove_unlisted(clock::boot(), is_listed);
    }

    /// Logs and counts that a backend server leaves, and tells other tasks.
    fn announce(&self, metrics: &Metrics, server: &Incarnation, source: &str, age: Duration) {
        metrics.count(Metric::ServerNotices, 1, &[("notice", "leaving")]);
        event!(
            EventCode::ServerLeaving,
            server = server.id,
            source = source,
            age_ms = age.as_millis()
        );
        self.version.send_modify(|version| *version += 1);
    }

    fn lock(&self) -> MutexGuard<'_, ServerNotices> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
