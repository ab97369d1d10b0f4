//! The gRPC service through which peers exchange configuration records.

use super::{ControlMessage, PeerCounters, PeerUpdate};
use crate::core::config::{Delta, Position};
use crate::core::revision::Offset;
use crate::kernel::Port;
use crate::wire::peer::Sync as SyncMessage;
use crate::wire::peer::peer_server::{Peer, PeerServer};
use prost::Message;
use std::sync::Arc;
use tonic::{Request, Response, Status};

/// The maximum size of a message between peers; fits a snapshot of the target size.
pub(super) const MESSAGE_BYTES: usize = 8 << 20;

/// The gRPC service that answers the exchanges of peers.
#[derive(Debug)]
pub struct PeerService {
    port: Port<ControlMessage>,
    counters: Arc<PeerCounters>,
}

/// Creates the peer service of a node for its gRPC listener.
pub fn peer_server(
    port: Port<ControlMessage>,
    counters: Arc<PeerCounters>,
) -> PeerServer<PeerService> {
    PeerServer::new(PeerService { port, counters })
        .max_decoding_message_size(MESSAGE_BYTES)
        .max_encoding_message_size(MESSAGE_BYTES)
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn exchange(
        &self,
        request: Request<SyncMessage>,
    ) -> Result<Response<SyncMessage>, Status> {
        let message = request.into_inner();
        self.counters.count(message.encoded_len());
        let peer = decode(message);
        let answer = self.port.ask(|reply| ControlMessage::Exchange { peer, reply }).await;
        let answer = answer.map_err(|e| Status::unavailable(e.to_string()))?;
        let answer = answer.map_err(|e| Status::failed_precondition(e.to_string()))?;
        let message = encode(&answer);
        self.counters.count(message.encoded_len());
        Ok(Response::new(message))
    }
}

/// Encodes an exchange message.
pub fn encode(update: &PeerUpdate) -> SyncMessage {
    let Position { next, digest } = update.position;
    let mut message = SyncMessage { next: next.0, digest, ..SyncMessage::default() };
    match &update.delta {
        Delta::Nothing => {}
        Delta::Records { first, records } => {
            message.first = first.0;
            message.records = records.iter().map(|r| r.to_vec()).collect();
        }
        Delta::Snapshot(data) => message.snapshot = data.to_vec(),
    }
    message
}

/// Decodes an exchange message.
pub fn decode(message: SyncMessage) -> PeerUpdate {
    let position = Position { next: Offset(message.next), digest: message.digest };
    let delta = if !message.snapshot.is_empty() {
        Delta::Snapshot(message.snapshot.into())
    } else if message.records.is_empty() {
        Delta::Nothing
    } else {
        let records = message.records.into_iter().map(Arc::from).collect();
        Delta::Records { first: Offset(message.first), records }
    };
    PeerUpdate { position, delta }
}
