//! Finds out whether a backend server has ended, when answers of it break off.
//!
//! A broken connection alone does not tell: the backend server may have cut one answer, or the
//! network all connections. An attempt to connect does, as the host of an ended process refuses it.

use super::connections::{Listener, find_listener};
use super::node::Shared;
use crate::core::prompt_part::{self, PartId};
use crate::core::quarantine::ServerRun;
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// The time in which the requests at one backend server break off after the first one of them.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// A request whose answer broke off.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// Its id.
    pub id: Arc<str>,
    /// The shared parts of its prompt.
    pub parts: Vec<PartId>,
    /// The whole events of its answer that had arrived.
    pub events: u64,
}

impl BrokenRequest {
    /// Returns its parts, each with whether no event of the answer had arrived.
    fn risks(&self) -> impl Iterator<Item = (PartId, bool)> {
        self.parts.iter().map(|part| (*part, self.events == 0))
    }
}

/// The requests that broke off at each backend server that is being examined.
#[derive(Debug, Default)]
pub struct Examined(Mutex<BTreeMap<ServerRun, Vec<BrokenRequest>>>);

impl Examined {
    /// Adds a request; returns whether it is the first at its backend server.
    fn add(&self, run: &ServerRun, request: BrokenRequest) -> bool {
        let mut servers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let requests = servers.entry(run.clone()).or_default();
        requests.push(request);
        requests.len() == 1
    }

    fn take(&self, run: &ServerRun) -> Vec<BrokenRequest> {
        let mut servers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        servers.remove(run).unwrap_or_default()
    }
}

/// Finds out whether a backend server has ended, once for all requests that break off together.
pub fn examine(shared: &Arc<Shared>, run: &ServerRun, addr: SocketAddr, request: BrokenRequest) {
    if !shared.examined.add(run, request) {
        return;
    }
    let (shared, run) = (Arc::clone(shared), run.clone());
    let broke_at = clock::boot();
    tokio::spawn(async move {
        sleep(GATHER_TIME).await;
        let listener = find_listener(addr).await;
        let requests = shared.examined.take(&run);
        record(&run.server, listener, &requests);
        if listener == Listener::Absent {
            let parts: Vec<(PartId, bool)> =
                requests.iter().flat_map(BrokenRequest::risks).collect();
            shared.quarantine.record_crash(&shared.metrics, broke_at, run, &parts);
        }
    });
}

/// Logs for each request what became of its backend server.
fn record(server: &str, listener: Listener, requests: &[BrokenRequest]) {
    let code = match listener {
        Listener::Absent => EventCode::ServerEnded,
        Listener::Present | Listener::Unknown => EventCode::AnswerBroken,
    };
    let listener: &'static str = listener.into();
    for request in requests {
        event!(
            code,
            request = request.id,
            server = server,
            listener = listener,
            events = request.events,
            parts = prompt_part::list(&request.parts),
            together = requests.len()
        );
    }
}
