//! Asks a sidecar for the load of its backend server.

use super::LoadFn;
use crate::core::planner::LoadSample;
use crate::wire::stage::ProbeRequest;
use crate::wire::stage::stage_client::StageClient;
use futures::FutureExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tonic::transport::Endpoint;

/// The time allowed to connect and to answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns a function that probes over a connection of its own, closed after the answer.
///
/// Only the holder of the planner's lease probes, so connections are not kept.
pub fn probe_load() -> Arc<LoadFn> {
    Arc::new(|sidecar| probe(sidecar).boxed())
}

async fn probe(sidecar: SocketAddr) -> Option<LoadSample> {
    let endpoint = Endpoint::from_shared(format!("http://{sidecar}")).ok()?;
    let endpoint = endpoint.connect_timeout(PROBE_TIMEOUT).timeout(PROBE_TIMEOUT);
    let channel = endpoint.connect().await.ok()?;
    let load = StageClient::new(channel).probe(ProbeRequest {}).await.ok()?.into_inner();
    Some(LoadSample { inflight: load.inflight, queued: load.queued })
}
