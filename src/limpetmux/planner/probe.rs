//! Fetches the load of a backend server from its sidecar.

use super::LoadFn;
use crate::adapters::channel::Channels;
use crate::core::planner::LoadSample;
use crate::wire::stage::ProbeRequest;
use crate::wire::stage::stage_client::StageClient;
use futures::FutureExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The timeout for connecting, and for the answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns a function that probes over a new connection and closes it after the answer.
///
/// Connections are not kept, because only the holder of the planner's lease probes.
pub fn probe_load(channels: Channels) -> Arc<LoadFn> {
    Arc::new(move |sidecar| probe(channels.clone(), sidecar).boxed())
}

async fn probe(channels: Channels, sidecar: SocketAddr) -> Option<LoadSample> {
    let endpoint = channels.endpoint(sidecar, PROBE_TIMEOUT).ok()?;
    let channel = endpoint.timeout(PROBE_TIMEOUT).connect().await.ok()?;
    let load = StageClient::new(channel).probe(ProbeRequest {}).await.ok()?.into_inner();
    Some(LoadSample { inflight: load.inflight, queued: load.queued })
}
