//! Exchange of evidence about parts of prompts that crash backend servers.
//!
//! A pull tells the called node what it lacks of the caller's evidence, and the reply the opposite.
//! As all nodes pull from one, evidence reaches all of them within two pulls, and at once where the
//! called node holds a pull; a node that lacks much gets it with several pulls. Verdicts are also
//! preserved in the store, as all processes may stop at the same time.

use super::Follower;
use crate::core::log_position::LogPosition;
use crate::core::quarantine::{Evidence, HoldRecord};
use crate::event;
use crate::fleet::evidence;
use crate::platform::store::{NODES_TOPIC, Page, StoreError, is_verdict, verdict_key};
use crate::serve::quarantine::is_same_process;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::fleet::{PullReply, PullRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// The time between two checks for verdicts that the store lacks, besides those after a change.
const PRESERVE_INTERVAL: Duration = Duration::from_secs(5);
/// The time after which a verdict that the store did not accept is written again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The most nodes whose exchanges are remembered; all are forgotten when there is one more.
const MAX_EXCHANGES: usize = 1_024;

/// What the store has of a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Preserved {
    turn: u32,
    trials: u32,
    /// The number of parts; they are only ever taken out.
    parts: usize,
}

impl Preserved {
    fn of(hold: &HoldRecord) -> Self {
        Self { turn: hold.turn, trials: hold.trials, parts: hold.parts.len() }
    }

    /// Returns whether the store need not have a verdict yet: at most some parts were taken out, which
    /// each answer may do, and `narrowed` ones are not written now.
    fn suffices(self, hold: &HoldRecord, narrowed: bool) -> bool {
        let known = Self::of(hold);
        self == known || (!narrowed && (self.turn, self.trials) == (known.turn, known.trials))
    }
}

/// Up to which versions this node and another one know each other's evidence.
#[derive(Clone, Copy, Debug, Default)]
struct Exchange {
    /// The version of this node's evidence that the other one has.
    told: u64,
    /// The version of the other one's evidence that this node has.
    seen: u64,
}

/// The exchanges with all nodes that this one has pulled from.
#[derive(Debug, Default)]
pub(super) struct Exchanges(Mutex<BTreeMap<SocketAddr, Exchange>>);

impl Exchanges {
    fn get(&self, addr: SocketAddr) -> Exchange {
        let exchanges = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        exchanges.get(&addr).copied().unwrap_or_default()
    }

    /// Records up to which version a node has this one's evidence.
    fn set_told(&self, addr: SocketAddr, told: u64) {
        let mut exchanges = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(exchange) = exchanges.get_mut(&addr) {
            exchange.told = told;
        }
    }

    /// Records a pull that told evidence up to one version and got it up to another.
    pub(super) fn record(&self, addr: SocketAddr, told: u64, seen: u64) {
        let mut exchanges = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if exchanges.len() >= MAX_EXCHANGES && !exchanges.contains_key(&addr) {
            exchanges.clear();
        }
        let exchange = exchanges.entry(addr).or_default();
        // A process that has started since the last pull has lost what it was told before.
        let kept = exchange.seen == 0 || is_same_process(exchange.seen, seen);
        *exchange = Exchange { told: if kept { told } else { 0 }, seen };
    }
}

impl Follower {
    /// Adds the evidence that the called node lacks to a pull; returns also up to which version it has it
    /// then.
    pub(super) fn with_evidence(
        &self,
        addr: SocketAddr,
        request: PullRequest,
    ) -> (PullRequest, u64) {
        let Exchange { told, seen } = self.exchanged.get(addr);
        let (evidence, version) = self.shared.quarantine.evidence_page(told);
        let evidence = evidence::encode(evidence);
        (PullRequest { evidence_seen: seen, evidence, ..request }, version)
    }

    /// Adds the evidence in a reply to this node's.
    pub(super) fn merge_evidence(&self, addr: SocketAddr, reply: &PullReply) {
        let Some(evidence) = reply.evidence.clone() else { return };
        let told = self.exchanged.get(addr).told;
        let evidence = evidence::decode(evidence);
        let told = self.shared.quarantine.merge(&self.shared.metrics, evidence, told);
        self.exchanged.set_told(addr, told);
    }

    /// Pulls from a node that may hold the pull; new evidence of this node ends the wait and is told
    /// at once. Returns whether the view in the reply was fresh.
    pub(super) async fn pull_or_tell(&self, addr: SocketAddr) -> bool {
        let told = self.exchanged.get(addr).told;
        let wait = self.times().pull_hold;
        let mut versions = self.shared.quarantine.versions();
        let has_news = async {
            let is_told = versions.wait_for(|version| *version > told).await.is_err();
            if is_told {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            fresh = self.pull(addr, wait) => return fresh,
            () = has_news => {}
        }
        self.pull(addr, Duration::ZERO).await
    }

    /// Adds the verdicts of a page of the product's own topic.
    pub(super) fn merge_verdicts(&self, page: &Page) {
        let records = page.records.iter().filter(|r| is_verdict(&r.key));
        let holds = records.filter_map(|r| evidence::decode_record(&r.value)).collect();
        let evidence = Evidence { crashes: Vec::new(), holds };
        self.shared.quarantine.merge(&self.shared.metrics, evidence, 0);
    }

    /// Writes verdicts into the store whenever they change, as long as this node reads it for all.
    pub(super) async fn preserve_verdicts(&self) {
        let mut preserved: BTreeMap<String, Preserved> = BTreeMap::new();
        let mut wrote_narrowed = Instant::now();
        let mut era = None;
        let mut versions = self.shared.quarantine.versions();
        let mut interval = PRESERVE_INTERVAL;
        loop {
            let changed = timeout(interval, versions.changed()).await;
            if matches!(changed, Ok(Err(_))) {
                return;
            }
            interval = PRESERVE_INTERVAL;
            if !self.is_reader_of_all() {
                continue;
            }
            // A store that was restored from a copy may have lost them.
            let current = self.era();
            if era.replace(current) != Some(current) && !preserved.is_empty() {
                event!(EventCode::RecordRewritten, record = "verdicts", era = current);
                preserved.clear();
            }
            let mut end = None;
            let narrowed = wrote_narrowed.elapsed() >= PRESERVE_INTERVAL;
            wrote_narrowed = if narrowed { Instant::now() } else { wrote_narrowed };
            for hold in self.shared.quarantine.holds() {
                let (key, state) = (verdict_key(hold.group), Preserved::of(&hold));
                if preserved.get(&key).is_some_and(|known| known.suffices(&hold, narrowed)) {
                    continue;
                }
                if let Err(error) = self.preserve(&key, hold, &mut end).await {
                    event!(EventCode::VerdictUnsaved, key = key, reason = error);
                    interval = RETRY_INTERVAL;
                    sleep(RETRY_INTERVAL).await;
                    break;
                }
                preserved.insert(key, state);
            }
        }
    }

    /// Writes a verdict if its topic ends at `end`, which is read first if it is not known, and moves that on.
    ///
    /// An earlier verdict whose write got no answer may be executed late, but not behind this one, as its
    /// own condition then no longer holds (`docs/design/late-writes.md`).
    async fn preserve(
        &self,
        key: &str,
        hold: HoldRecord,
        end: &mut Option<LogPosition>,
    ) -> Result<(), StoreError> {
        let result = async {
            let known = match *end {
                Some(end) => end,
                None => self.store.newest(NODES_TOPIC).await?.end,
            };
            self.store.put_at(NODES_TOPIC, key, &evidence::encode_record(hold), known).await?;
            let offset = known.offset.saturating_add(1);
            *end = Some(LogPosition { offset, ..known });
            Ok(())
        }
        .await;
        self.record_stop(NODES_TOPIC, &result);
        result
    }

    /// Returns whether this node reads the store for all, once it knows the others.
    pub(super) fn is_reader_of_all(&self) -> bool {
        let nodes = self.shared.nodes();
        let order = nodes.readers(clock::boot());
        self.shared.has_discovered() && order.first().is_some_and(|n| n.addr == nodes.local().addr)
    }
}
