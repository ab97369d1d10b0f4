//! The exchange of configuration records with random peers.
//!
//! Each round the node tells a few peers how far it has folded. A peer that is ahead answers with
//! what the node lacks; a peer that is behind is sent what it lacks. An accepted change so reaches
//! all nodes in a number of rounds that grows with the logarithm of their count, with the log up
//! or down, at a cost per node that does not depend on their count.

use super::peer::{MESSAGE_BYTES, decode, encode};
use super::{Control, ControlMessage, Exchanged, PeerCounters};
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

/// How peers are found and how often they are asked.
#[derive(Clone, Debug)]
pub struct SpreadOptions {
    /// The gRPC address of this node, which is left out.
    pub own: Option<SocketAddr>,
    /// Peers known from the settings, for a node that knows no configuration yet.
    pub seeds: Vec<SocketAddr>,
    /// The time between two rounds.
    pub period: Duration,
    /// The number of peers asked in a round.
    pub fanout: usize,
    /// How long one exchange may take.
    pub timeout: Duration,
    /// Makes the connections; plain text unless it is replaced.
    pub channels: Channels,
}

impl SpreadOptions {
    /// Creates the usual options for a node with the given address and seeds.
    pub fn new(own: Option<SocketAddr>, seeds: Vec<SocketAddr>) -> Self {
        let (period, timeout) = (Duration::from_secs(1), Duration::from_secs(3));
        Self { own, seeds, period, fanout: 2, timeout, channels: Channels::plain() }
    }
}

/// An exchange that gave nothing.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error("the peer cannot be reached")]
    Connect(#[from] tonic::transport::Error),
    #[error("the peer refused")]
    Refused(#[from] Box<tonic::Status>),
    #[error("the control service has ended")]
    Ended(#[from] crate::kernel::KernelError),
    #[error("the peer holds another history")]
    Fold(#[from] crate::core::config::FoldError),
}

/// Exchanges records with peers until the control service ends.
#[derive(Debug)]
pub struct Spread {
    control: Control,
    options: SpreadOptions,
    counters: Arc<PeerCounters>,
    rng: StdRng,
}

impl Spread {
    /// Creates the service; the generator picks the peers.
    pub fn new(
        control: Control,
        options: SpreadOptions,
        counters: Arc<PeerCounters>,
        rng: StdRng,
    ) -> Self {
        Self { control, options, counters, rng }
    }

    /// Runs one round a period, each without waiting for the one before.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(self.options.period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut view = self.control.view.clone();
        loop {
            tokio::select! {
                _ = ticks.tick() => self.round(),
                is_open = view.changed() => if !is_open { return },
            }
        }
    }

    /// Asks a few random peers.
    fn round(&mut self) {
        for peer in self.peers() {
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

    fn peers(&mut self) -> Vec<SocketAddr> {
        let view = self.control.view.load();
        let hosts = view.hosts.iter().filter(|(_, h)| h.running).map(|(_, h)| h.sidecar);
        let mut known: BTreeSet<SocketAddr> = hosts.chain(self.options.seeds.clone()).collect();
        if let Some(own) = self.options.own {
            known.remove(&own);
        }
        known.into_iter().choose_multiple(&mut self.rng, self.options.fanout)
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
    let mut own = Exchanged { position, delta: Delta::Nothing };
    loop {
        let answer = call(&mut client, counters, &own).await?;
        own = control.port.ask(|reply| ControlMessage::Exchange { peer: answer, reply }).await??;
        if own.delta == Delta::Nothing {
            return Ok(());
        }
    }
}

async fn call(
    client: &mut PeerClient<Channel>,
    counters: &PeerCounters,
    own: &Exchanged,
) -> Result<Exchanged, ExchangeError> {
    let message = encode(own);
    counters.count(message.encoded_len());
    let answer = client.exchange(message).await.map_err(Box::new)?.into_inner();
    counters.count(answer.encoded_len());
    Ok(decode(answer))
}
