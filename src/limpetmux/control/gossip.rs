//! Gossip of configuration records with random peers.
//!
//! In each round the node sends its fold position to a few peers. A peer that is ahead answers with
//! the records that the node lacks; a peer that is behind receives those that it lacks. An accepted
//! change therefore reaches all nodes in a number of rounds logarithmic in the number of nodes,
//! even if the log is unavailable, at a cost per node that does not depend on that number.

use super::peer::{MESSAGE_BYTES, decode, encode};
use super::{Control, ControlMessage, PeerCounters, PeerUpdate};
use crate::adapters::channel::Channels;
use crate::core::config::Delta;
use crate::wire::peer::peer_client::PeerClient;
use prost::Message;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::MissedTickBehavior;
use tonic::transport::{Channel, Endpoint};

/// The options for the exchange of records with peers.
#[derive(Clone, Debug)]
pub struct GossipOptions {
    /// The gRPC address of this node, which is excluded from the peers.
    pub local_addr: Option<SocketAddr>,
    /// Peers from the settings, for a node that has no configuration yet.
    pub seeds: Vec<SocketAddr>,
    /// The time between two rounds.
    pub period: Duration,
    /// The number of peers contacted in a round.
    pub fanout: usize,
    /// The timeout of one exchange.
    pub timeout: Duration,
    /// Opens the connections; plain text by default.
    pub channels: Channels,
}

impl GossipOptions {
    /// Creates the default options for a node with the given address and seeds.
    pub fn new(local_addr: Option<SocketAddr>, seeds: Vec<SocketAddr>) -> Self {
        let (period, timeout) = (Duration::from_secs(1), Duration::from_secs(3));
        Self { local_addr, seeds, period, fanout: 2, timeout, channels: Channels::plain() }
    }
}

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error("cannot connect to the peer")]
    Connect(#[from] tonic::transport::Error),
    #[error("the peer refused the exchange")]
    Refused(#[from] Box<tonic::Status>),
    #[error("the control service has ended")]
    Ended(#[from] crate::kernel::KernelError),
    #[error("the peer's history diverges from this node's")]
    Fold(#[from] crate::core::config::FoldError),
}

/// Exchanges records with peers until the control service ends.
#[derive(Debug)]
pub struct Gossip {
    control: Control,
    options: GossipOptions,
    counters: Arc<PeerCounters>,
    rng: StdRng,
}

impl Gossip {
    /// Creates the service; `rng` chooses the peers.
    pub fn new(
        control: Control,
        options: GossipOptions,
        counters: Arc<PeerCounters>,
        rng: StdRng,
    ) -> Self {
        Self { control, options, counters, rng }
    }

    /// Starts one round per period, without waiting for the previous one to finish.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(self.options.period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut view = self.control.view.clone();
        loop {
            tokio::select! {
                _ = ticks.tick() => self.start_round(),
                is_open = view.changed() => if !is_open { return },
            }
        }
    }

    /// Spawns exchanges with a few random peers.
    fn start_round(&mut self) {
        for peer in self.choose_peers() {
            let (control, counters) = (self.control.clone(), Arc::clone(&self.counters));
            let (timeout, channels) = (self.options.timeout, self.options.channels.clone());
            tokio::spawn(async move {
                let endpoint = channels.endpoint(peer, timeout);
                let exchange = exchange(&control, &counters, endpoint);
                if !matches!(tokio::time::timeout(timeout, exchange).await, Ok(Ok(()))) {
                    counters.count_failure();
                }
            });
        }
    }

    fn choose_peers(&mut self) -> Vec<SocketAddr> {
        let view = self.control.view.load();
        let hosts = view.hosts.iter().filter(|(_, h)| h.running).map(|(_, h)| h.sidecar);
        let mut peers: BTreeSet<SocketAddr> = hosts.chain(self.options.seeds.clone()).collect();
        if let Some(addr) = self.options.local_addr {
            peers.remove(&addr);
        }
        peers.into_iter().choose_multiple(&mut self.rng, self.options.fanout)
    }
}

/// Exchanges records with one peer, in both directions.
async fn exchange(
    control: &Control,
    counters: &PeerCounters,
    endpoint: Result<Endpoint, tonic::transport::Error>,
) -> Result<(), ExchangeError> {
    let mut client = PeerClient::new(endpoint?.connect().await?)
        .max_decoding_message_size(MESSAGE_BYTES)
        .max_encoding_message_size(MESSAGE_BYTES);
    let position = control.status.load().position;
    let mut message = PeerUpdate { position, delta: Delta::Nothing };
    loop {
        let answer = call(&mut client, counters, &message).await?;
        message =
            control.port.ask(|reply| ControlMessage::Exchange { peer: answer, reply }).await??;
        if message.delta == Delta::Nothing {
            return Ok(());
        }
    }
}

async fn call(
    client: &mut PeerClient<Channel>,
    counters: &PeerCounters,
    update: &PeerUpdate,
) -> Result<PeerUpdate, ExchangeError> {
    let message = encode(update);
    counters.count(message.encoded_len());
    let answer = client.exchange(message).await.map_err(Box::new)?.into_inner();
    counters.count(answer.encoded_len());
    Ok(decode(answer))
}
