//! Moves keys between a home and its successor by takeover, handover and return.

use super::{OnceGate, convert};
use crate::adapters::log::{LogClient, Stream};
use crate::core::once::{Handover, HostId, Record};
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::once;
use std::collections::BTreeMap;
use std::sync::Weak;
use std::time::Duration;

/// The time between two rounds of moves.
const MOVE_INTERVAL: Duration = Duration::from_millis(250);
/// The number of rounds without an answer after which a home counts as unreachable.
const MAX_SILENT_ROUNDS: u32 = 4;

/// Moves keys when hosts drain, become unreachable or serve again.
pub(super) async fn run(gate: Weak<OnceGate>, log: LogClient) {
    let mut silent_rounds = BTreeMap::new();
    loop {
        tokio::time::sleep(MOVE_INTERVAL).await;
        let Some(gate) = gate.upgrade() else { return };
        if !gate.lock().node.is_log_reachable() {
            continue;
        }
        gate.claims_pending.notify_one();
        gate.return_or_renew(&log).await;
        if gate.is_out_of_service() {
            gate.hand_over_all().await;
        } else {
            // A successor that may have received a table has to take over and return the keys, as no
            // host runs them otherwise.
            let open = gate.lock().node.open_handovers();
            gate.hand_over_to(open).await;
            gate.take_over_silent(&mut silent_rounds, &log).await;
        }
    }
}

impl OnceGate {
    /// Takes over from homes that do not answer and whose requests arrived at this host.
    async fn take_over_silent(&self, silent_rounds: &mut BTreeMap<HostId, u32>, log: &LogClient) {
        let missing: Vec<HostId> = self.lock().missing_homes.iter().copied().collect();
        for home in missing {
            let rounds = silent_rounds.entry(home).or_default();
            *rounds = if self.is_alive(home).await { 0 } else { *rounds + 1 };
            if *rounds >= MAX_SILENT_ROUNDS {
                self.take_over(home, log).await;
            }
            if *rounds == 0 || self.lock().node.holds(home, clock::now()) {
                self.lock().missing_homes.remove(&home);
            }
        }
    }

    /// Returns keys to homes that serve again and renews the other takeovers, including those of an
    /// earlier process.
    async fn return_or_renew(&self, log: &LogClient) {
        let orphaned = self.lock().node.orphaned();
        for home in orphaned {
            self.take_over(home, log).await;
        }
        let held = self.lock().node.held(clock::now());
        for (home, is_renewal_due) in held {
            if self.is_serving(home) && self.is_alive(home).await {
                self.return_keys(home, log).await;
            } else if is_renewal_due {
                self.take_over(home, log).await;
            }
        }
    }

    fn is_serving(&self, id: HostId) -> bool {
        let view = self.view.load();
        let host = view.hosts.iter().find(|(_, h)| HostId::of(h.name.as_str()) == id);
        host.is_some_and(|(key, _)| view.is_serving(key))
    }

    async fn take_over(&self, home: HostId, log: &LogClient) {
        let record = self.lock().node.take_over(home, clock::now());
        let Some(data) = record.and_then(|r| r.encode().ok()) else { return };
        event!(EventCode::TakeoverAppended, home = home.0);
        if let Err(error) = (log.append)(Stream::Claims, data).await
            && !error.may_have_appended()
        {
            self.lock().node.takeover_failed(home);
        }
    }

    /// Hands all keys of this host over to their successors.
    async fn hand_over_all(&self) {
        self.update_successors();
        let successors = self.lock().successors.iter().copied().collect();
        self.hand_over_to(successors).await;
    }

    /// Stops running the keys shared with some successors and sends their tables.
    async fn hand_over_to(&self, successors: Vec<HostId>) {
        for successor in successors.into_iter().filter(|s| self.is_serving(*s)) {
            let table = self.lock().node.hand_over(successor);
            let Some(table) = table else { continue };
            self.wake();
            if self.send(successor, &table, false).await == Some(false) {
                self.lock().node.resume(successor);
            }
        }
    }

    /// Waits until all claims are in the log and every successor has taken over and received the
    /// final table.
    ///
    /// The first record of this host's next process voids a table that was not taken over before.
    /// Does not return while the log or a successor is unavailable; the caller sets a time limit.
    pub async fn flush(&self) -> bool {
        if !self.is_needed() {
            return true;
        }
        while !(self.has_appended_claims()
            && self.has_returned_keys()
            && self.send_final_tables().await)
        {
            tokio::time::sleep(MOVE_INTERVAL).await;
        }
        true
    }

    fn has_appended_claims(&self) -> bool {
        let inner = self.lock();
        inner.node.pending_claims() == 0 && !inner.appending
    }

    /// Returns whether this host holds no keys of a serving home.
    fn has_returned_keys(&self) -> bool {
        let held = self.lock().node.held(clock::now());
        !held.iter().any(|(home, _)| self.is_serving(*home))
    }

    async fn send_final_tables(&self) -> bool {
        self.update_successors();
        let successors: Vec<HostId> = self.lock().successors.iter().copied().collect();
        for successor in successors.into_iter().filter(|s| self.is_serving(*s)) {
            let (table, has_taken_over) = {
                let node = &mut self.lock().node;
                match node.hand_over(successor) {
                    Some(table) => (table, false),
                    None => (node.final_handover(successor), true),
                }
            };
            if self.send(successor, &table, false).await != Some(true) || !has_taken_over {
                return false;
            }
        }
        true
    }

    async fn return_keys(&self, home: HostId, log: &LogClient) {
        let handover = self.lock().node.return_keys(home);
        let Some((table, record)) = handover else { return };
        if self.send(home, &table, true).await != Some(true) {
            self.lock().node.return_failed(home);
            return;
        }
        self.append_return(home, &record, log).await;
    }

    async fn append_return(&self, home: HostId, record: &Record, log: &LogClient) {
        let Ok(data) = record.encode() else { return };
        event!(EventCode::ReturnAppended, home = home.0);
        if let Err(error) = (log.append)(Stream::Claims, data).await
            && !error.may_have_appended()
        {
            self.lock().node.return_failed(home);
        }
    }

    /// Sends a table; returns whether it was accepted, or `None` if there was no reply.
    async fn send(&self, to: HostId, table: &Handover, returns: bool) -> Option<bool> {
        let mut client = self.peers.client(&self.view.load(), to)?;
        let reply = client.hand_over(convert::hand_over(table, returns)).await;
        reply.ok().map(|r| r.into_inner().accepted)
    }

    /// Accepts a table that another host sent and moves its keys to this host.
    pub(super) async fn receive(&self, table: Handover, returns: bool, log: &LogClient) -> bool {
        let home = table.from;
        {
            let mut inner = self.lock();
            if self.is_out_of_service() || !inner.node.is_log_reachable() {
                return false;
            }
            if returns {
                inner.node.receive_return(table);
                return true;
            }
            if !inner.node.receive_handover(table) {
                return false;
            }
        }
        self.take_over(home, log).await;
        true
    }

    /// Returns whether a host's sidecar answers a call.
    async fn is_alive(&self, host: HostId) -> bool {
        let Some(mut client) = self.peers.client(&self.view.load(), host) else { return false };
        client.look_up(once::LookUpRequest::default()).await.is_ok()
    }
}
