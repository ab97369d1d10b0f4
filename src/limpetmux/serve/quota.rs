//! Asks for the requests that backend servers with limits accept from all hosts together.
//!
//! The node that queues the pieces of a service grants the requests to its limited backend servers. A
//! node that it does not answer sends at a low rate of its own. See `docs/design/limits.md`.

use super::node::Shared;
use crate::core::listing::Server;
use crate::core::quota::{EqualParts, Grant, Quotas, RatePart};
use crate::core::server_limits::RequestRate;
use crate::core::server_notices::{Incarnation, LimitedServer};
use crate::core::time::Moment;
use crate::event;
use crate::fleet::convert;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::metrics::Metric;
use crate::wire::fleet::{GrantOutcome, GrantReply, GrantRequest};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use strum::IntoStaticStr;
use tokio::time::{sleep, timeout};
use tonic::Code;

/// The time allowed for the answer of the node that grants.
const GRANT_TIMEOUT: Duration = Duration::from_millis(200);

/// A request may not be sent to a backend server now, as its limit is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaDenied;

/// Who decides on a request to a limited backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Granter {
    /// This node, for all nodes.
    Local,
    /// Another node.
    Node(SocketAddr),
    /// This node, for itself, as no node is known to grant.
    Part,
}

/// What this node grants to all nodes, and what it sends without grants.
#[derive(Debug, Default)]
pub struct NodeQuotas {
    granted: Mutex<Quotas>,
    parts: Mutex<EqualParts>,
}

impl NodeQuotas {
    /// Drops the state of backend servers that nobody asks about.
    pub fn remove_idle(&self) {
        let now = clock::boot();
        lock(&self.granted).remove_idle(now);
        lock(&self.parts).remove_idle(now);
    }
}

impl Shared {
    /// Waits until a request may be sent to a backend server, for at most `patience`.
    ///
    /// This has to be the last decision before the request is sent; a grant that is not used is lost.
    /// Returns the time that it took, in which the other decisions may have become wrong; zero for a
    /// backend server without a limit.
    ///
    /// # Errors
    /// Returns an error if the backend server has a limit and its turn is later; until then the backend
    /// server is not available.
    pub async fn take_quota(
        &self,
        request: &str,
        server: &Server,
        patience: Duration,
    ) -> Result<Duration, QuotaDenied> {
        let incarnation = Incarnation::of(server);
        let Some(rate) = self.notices.limit(&incarnation) else { return Ok(Duration::ZERO) };
        let began = clock::boot();
        let mut granter = self.granter(&server.service);
        let grant = match granter {
            Granter::Local => Some(self.grant_local(&incarnation, rate, patience)),
            Granter::Node(addr) => self.ask(addr, server, &incarnation, patience).await,
            Granter::Part => None,
        };
        let grant = grant.unwrap_or_else(|| {
            granter = Granter::Part;
            self.grant_part(&incarnation, rate, patience)
        });
        let outcome = if matches!(grant, Grant::Given(_)) { "given" } else { "denied" };
        let source: &'static str = granter.into();
        let tags = [("outcome", outcome), ("source", source)];
        self.metrics.count(Metric::QuotaRequests, 1, &tags);
        match grant {
            Grant::Given(wait) => {
                sleep(wait).await;
                Ok(clock::boot().since(began))
            }
            Grant::Denied(opens_in) => {
                self.notices.deny(&incarnation, opens_in);
                event!(
                    EventCode::QuotaDenied,
                    request = request,
                    server = server.id,
                    limit = rate,
                    source = source,
                    opens_ms = opens_in.as_millis()
                );
                Err(QuotaDenied)
            }
        }
    }

    /// Decides on a request of another node.
    pub fn grant_for(&self, message: &GrantRequest) -> GrantReply {
        let elsewhere = GrantReply::default();
        let Some(limit) = message.server.as_ref().map(convert::decode_limit) else {
            return elsewhere;
        };
        self.learn_limits(std::slice::from_ref(&limit));
        if self.granter(&message.service) != Granter::Local {
            return elsewhere;
        }
        let patience = Duration::from_millis(message.patience_ms);
        let grant = match self.notices.limit(&limit.incarnation) {
            Some(rate) => self.grant_local(&limit.incarnation, rate, patience),
            None => Grant::Given(Duration::ZERO),
        };
        let (outcome, wait) = match grant {
            Grant::Given(wait) => (GrantOutcome::Given, wait),
            Grant::Denied(opens_in) => {
                self.notices.deny(&limit.incarnation, opens_in);
                (GrantOutcome::Denied, opens_in)
            }
        };
        GrantReply { outcome: outcome.into(), wait_ms: millis_up(wait) }
    }

    /// Returns the time from `now` until a backend server accepts a request, as far as this node knows.
    pub fn opens_in(&self, now: Moment, server: &Server) -> Duration {
        let incarnation = Incarnation::of(server);
        let Some(rate) = self.notices.limit(&incarnation) else { return Duration::ZERO };
        let denied =
            self.notices.denied_until(&incarnation).map_or(Duration::ZERO, |d| now.until(d));
        if self.granter(&server.service) != Granter::Local {
            return denied;
        }
        denied.max(lock(&self.quotas.granted).opens_in(now, &incarnation, rate))
    }

    fn grant_local(&self, server: &Incarnation, rate: RequestRate, patience: Duration) -> Grant {
        lock(&self.quotas.granted).take(clock::boot(), server, rate, patience)
    }

    fn grant_part(&self, server: &Incarnation, rate: RequestRate, patience: Duration) -> Grant {
        let now = clock::boot();
        // Nodes that this one has not met may send as well.
        let nodes = self.nodes().entries(now).len().max(self.settings().seeds.len()) + 1;
        let part = RatePart { rate, nodes, phase: rand::random() };
        lock(&self.quotas.parts).take(now, server, part, patience)
    }

    /// Returns who decides on requests to the limited backend servers of a service.
    fn granter(&self, service: &str) -> Granter {
        if !self.has_discovered() {
            return Granter::Part;
        }
        let nodes = self.nodes();
        let local = nodes.local().addr;
        let stopping = [local];
        let except = if self.is_stopping() { &stopping[..] } else { &[] };
        match nodes.queue_node(clock::boot(), service, except).map(|node| node.addr) {
            Some(addr) if addr == local => Granter::Local,
            Some(addr) => Granter::Node(addr),
            None => Granter::Part,
        }
    }

    /// Asks another node for a grant; `None` if it does not decide.
    async fn ask(
        &self,
        addr: SocketAddr,
        server: &Server,
        incarnation: &Incarnation,
        patience: Duration,
    ) -> Option<Grant> {
        let limit = self.notices.limits().into_iter().find(|l| l.incarnation == *incarnation);
        let message = GrantRequest {
            service: server.service.to_string(),
            server: limit.as_ref().map(convert::encode_limit),
            patience_ms: u64::try_from(patience.as_millis()).unwrap_or(u64::MAX),
        };
        let call = async { self.peers.client(addr)?.grant(message).await };
        let reason = match timeout(GRANT_TIMEOUT, call).await {
            Ok(Ok(reply)) => return grant(&reply.into_inner()),
            // A node of an earlier version, which does everything else.
            Ok(Err(status)) if status.code() == Code::Unimplemented => return None,
            Ok(Err(status)) => status.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        event!(EventCode::NodeSilent, node = addr, reason = reason);
        self.peers.close(addr);
        self.nodes().record_failure(addr, clock::boot());
        None
    }

    /// Records limits that another node knows.
    pub fn learn_limits(&self, limits: &[LimitedServer]) {
        let view = self.view.load();
        self.notices.learn_limits(&self.metrics, limits, |id| view.listing.is_listed(id));
    }
}

fn grant(reply: &GrantReply) -> Option<Grant> {
    let wait = Duration::from_millis(reply.wait_ms);
    match reply.outcome() {
        GrantOutcome::Elsewhere => None,
        GrantOutcome::Given => Some(Grant::Given(wait)),
        GrantOutcome::Denied => Some(Grant::Denied(wait)),
    }
}

/// Returns a time in milliseconds, rounded up so that nobody comes too early.
fn millis_up(time: Duration) -> u64 {
    u64::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
