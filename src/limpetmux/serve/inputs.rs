//! Stage results that a request holds, and how they are freed.

use super::engines::InputLocation;
use super::node::Shared;
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::fleet::FreeResults;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// The time allowed for one call that frees results.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);
/// How many nodes are called, one after the other, until one frees the results.
const FREE_TRIES: usize = 3;

/// The results that a request needs; they are freed when this is dropped.
pub struct Inputs {
    shared: Arc<Shared>,
    /// The model engine near which large results were computed.
    pub planned: Option<Arc<str>>,
    /// The results of the stages that no other stage depends on.
    pub results: Vec<Arc<str>>,
    /// Where the results are stored.
    pub location: InputLocation,
    pub(super) held: Vec<(Arc<str>, Vec<Arc<str>>)>,
}

impl Inputs {
    pub(super) fn new(shared: &Arc<Shared>) -> Self {
        let shared = Arc::clone(shared);
        Self {
            shared,
            planned: None,
            results: Vec::new(),
            location: InputLocation::default(),
            held: Vec::new(),
        }
    }

    /// Frees all results.
    pub fn free(&mut self) {
        for (service, results) in self.held.drain(..) {
            free_results(&self.shared, service, results);
        }
    }

    /// Removes results that the queue node of the next stage has freed.
    pub(super) fn remove(&mut self, results: &[Arc<str>]) {
        for (_, held) in &mut self.held {
            held.retain(|r| !results.contains(r));
        }
    }

    /// Frees some of the results.
    pub(super) fn free_some(&mut self, results: &[Arc<str>]) {
        for (service, held) in &mut self.held {
            let freed: Vec<Arc<str>> = held.extract_if(.., |r| results.contains(r)).collect();
            if !freed.is_empty() {
                free_results(&self.shared, Arc::clone(service), freed);
            }
        }
    }
}

impl Drop for Inputs {
    fn drop(&mut self) {
        self.free();
    }
}

/// Asks the queue node of a service to free results that are not needed any more.
///
/// If it does not answer, the node that replaces it is called, because results that are not freed
/// occupy memory until they expire.
pub fn free_results(shared: &Arc<Shared>, service: Arc<str>, results: Vec<Arc<str>>) {
    if results.is_empty() {
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let results = results.iter().map(ToString::to_string).collect();
        let message = FreeResults { service: service.to_string(), results };
        for _ in 0..FREE_TRIES {
            let node = shared.nodes().queue_node(clock::boot(), &service, &[]).map(|n| n.addr);
            let Some(addr) = node else { return };
            match free_at(&shared, addr, message.clone()).await {
                Ok(()) => return,
                Err(status) => event!(EventCode::FreeFailed, addr = addr, reason = status),
            }
            shared.peers.close(addr);
            shared.nodes().record_failure(addr, clock::boot());
        }
    });
}

async fn free_at(
    shared: &Shared,
    addr: SocketAddr,
    message: FreeResults,
) -> Result<(), tonic::Status> {
    let call = async { shared.peers.client(addr)?.free(message).await };
    match timeout(FREE_TIMEOUT, call).await {
        Ok(reply) => reply.map(drop),
        Err(_) => Err(tonic::Status::deadline_exceeded("no answer in time")),
    }
}
