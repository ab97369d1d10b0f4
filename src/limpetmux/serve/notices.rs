//! What backend servers state about themselves in their answers, as the tasks of one node share it:
//! with log lines, and a signal for what other nodes have to learn.

use crate::core::listing::Server;
use crate::core::server_limits::StatedLimit;
use crate::core::server_notices::{
    Incarnation, LeavingServer, LimitChange, PoolClosed, ServerNotice, ServerNotices,
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
    /// Rises with each backend server that this node learns to be leaving.
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
            self.record_limit(metrics, server, stated, "answer");
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

    /// Records, logs and counts a limit that an answer or another node states.
    fn record_limit(
        &self,
        metrics: &Metrics,
        server: &Incarnation,
        stated: StatedLimit,
        source: &str,
    ) {
        let now = clock::boot();
        let change = self.lock().record_limit(now, server, stated);
        let Some(LimitChange { from, to }) = change else { return };
        metrics.count(Metric::ServerNotices, 1, &[("notice", "limit")]);
        event!(
            EventCode::ServerLimit,
            server = server.id,
            from = from.map_or_else(|| "none".to_owned(), |rate| rate.to_string()),
            to = to.map_or_else(|| "none".to_owned(), |rate| rate.to_string()),
            source = source,
            age_ms = now.since(stated.heard_at).as_millis()
        );
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

    /// Returns those of a pool's backend servers that may get a request now.
    ///
    /// # Errors
    /// Returns [`PoolClosed`] if the pool has backend servers and none of them may.
    pub fn available<'a>(
        &self,
        drain_time: Duration,
        servers: Vec<&'a Server>,
    ) -> Result<Vec<&'a Server>, PoolClosed> {
        self.lock().available(clock::boot(), drain_time, servers)
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
