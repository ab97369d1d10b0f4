//! Results that a request holds, and the way in which they are given up.

use super::engines::InputsAt;
use super::node::Shared;
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::fleet::FreeResults;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// The time allowed for giving results up.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);
/// The nodes that are told, one after the other.
const FREE_TRIES: usize = 3;

/// The results that a request needs, freed once they are not needed any more.
pub struct Inputs {
    shared: Arc<Shared>,
    /// The model engine near to which large results were made.
    pub planned: Option<Arc<str>>,
    /// The results of the stages that no other stage follows.
    pub results: Vec<Arc<str>>,
    /// Where they lie.
    pub at: InputsAt,
    pub(super) held: Vec<(Arc<str>, Vec<Arc<str>>)>,
}

impl Inputs {
    pub(super) fn new(shared: &Arc<Shared>) -> Self {
        let shared = Arc::clone(shared);
        Self {
            shared,
            planned: None,
            results: Vec::new(),
            at: InputsAt::default(),
            held: Vec::new(),
        }
    }

    /// Gives all results up.
    pub fn free(&mut self) {
        for (service, results) in self.held.drain(..) {
            free_results(&self.shared, service, results);
        }
    }

    /// Forgets results that the node which queued the next stage has given up.
    pub(super) fn forget(&mut self, results: &[Arc<str>]) {
        for (_, held) in &mut self.held {
            held.retain(|r| !results.contains(r));
        }
    }

    /// Gives up some results.
    pub(super) fn free_some(&mut self, results: &[Arc<str>]) {
        for (service, held) in &mut self.held {
            let gone: Vec<Arc<str>> = held.extract_if(.., |r| results.contains(r)).collect();
            if !gone.is_empty() {
                free_results(&self.shared, Arc::clone(service), gone);
            }
        }
    }
}

impl Drop for Inputs {
    fn drop(&mut self) {
        self.free();
    }
}

/// Tells the node that queues a service's pieces that results are not needed any more.
///
/// If it does not answer, the node that takes its place is told: room that is not given back would
/// be missing until the results lapse.
pub fn free_results(shared: &Arc<Shared>, service: Arc<str>, results: Vec<Arc<str>>) {
    if results.is_empty() {
        return;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let results = results.iter().map(ToString::to_string).collect();
        let message = FreeResults { service: service.to_string(), results };
        for _ in 0..FREE_TRIES {
            let gate = shared.nodes().gate(clock::boot(), &service, &[]).map(|n| n.addr);
            let Some(addr) = gate else { return };
            match free_at(&shared, addr, message.clone()).await {
                Ok(()) => return,
                Err(status) => event!(EventCode::FreeFailed, addr = addr, reason = status),
            }
            shared.peers.close(addr);
            shared.nodes().suspect(addr, clock::boot());
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
        Ok(freed) => freed.map(drop),
        Err(_) => Err(tonic::Status::deadline_exceeded("no answer in time")),
    }
}
