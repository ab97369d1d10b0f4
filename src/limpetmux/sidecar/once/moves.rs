//! Moves of keys between a home and its successor: takeover, handover and return.

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
const ROUND: Duration = Duration::from_millis(250);
/// The number of rounds without an answer after which a home counts as dead.
const DEAD_ROUNDS: u32 = 4;

/// Moves keys whenever hosts leave, die or come back.
pub(super) async fn run(gate: Weak<OnceGate>, log: LogClient) {
    let mut silent = BTreeMap::new();
    loop {
        tokio::time::sleep(ROUND).await;
        let Some(gate) = gate.upgrade() else { return };
        if !gate.lock().node.is_reachable() {
            continue;
        }
        gate.due.notify_one();
        gate.follow_held(&log).await;
        if gate.is_away() {
            gate.hand_over_all().await;
        } else {
            gate.follow_missing(&mut silent, &log).await;
        }
    }
}

impl OnceGate {
    /// Takes over from homes that do not answer and for which requests arrived here.
    async fn follow_missing(&self, silent: &mut BTreeMap<HostId, u32>, log: &LogClient) {
        let missing: Vec<HostId> = self.lock().missing.iter().copied().collect();
        for home in missing {
            let rounds = silent.entry(home).or_default();
            *rounds = if self.is_alive(home).await { 0 } else { *rounds + 1 };
            if *rounds >= DEAD_ROUNDS {
                self.take_over(home, log).await;
            }
            if *rounds == 0 || self.lock().node.holds(home, clock::now()) {
                self.lock().missing.remove(&home);
            }
        }
    }

    /// Returns keys to homes that serve again and renews the other takeovers, those of an earlier
    /// process included.
    async fn follow_held(&self, log: &LogClient) {
        let orphaned = self.lock().node.orphaned();
        for home in orphaned {
            self.take_over(home, log).await;
        }
        let held = self.lock().node.held(clock::now());
        for (home, is_old) in held {
            if self.is_serving(home) && self.is_alive(home).await {
                self.give_back(home, log).await;
            } else if is_old {
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

    /// Hands all keys of this home over to their successors.
    async fn hand_over_all(&self) {
        self.note_successors();
        let successors: Vec<HostId> = self.lock().wanted.iter().copied().collect();
        for successor in successors.into_iter().filter(|s| self.is_serving(*s)) {
            let table = self.lock().node.hand_over(successor);
            let Some(table) = table else { continue };
            self.wake();
            if self.send(successor, &table, false).await == Some(false) {
                self.lock().node.resume(successor);
            }
        }
    }

    /// Waits until all claims are in the log and every successor has taken over with the last
    /// table, which the next process's first record would void before.
    ///
    /// Does not end while that is impossible; the caller limits the time.
    pub async fn flush(&self) -> bool {
        if !self.is_needed() {
            return true;
        }
        while !(self.is_claimed() && self.is_returned() && self.send_last_tables().await) {
            tokio::time::sleep(ROUND).await;
        }
        true
    }

    fn is_claimed(&self) -> bool {
        let inner = self.lock();
        inner.node.due() == 0 && !inner.appending
    }

    /// Returns whether no home that serves waits for its keys.
    fn is_returned(&self) -> bool {
        let held = self.lock().node.held(clock::now());
        !held.iter().any(|(home, _)| self.is_serving(*home))
    }

    async fn send_last_tables(&self) -> bool {
        self.note_successors();
        let successors: Vec<HostId> = self.lock().wanted.iter().copied().collect();
        for successor in successors.into_iter().filter(|s| self.is_serving(*s)) {
            let (table, taken) = {
                let node = &mut self.lock().node;
                match node.hand_over(successor) {
                    Some(table) => (table, false),
                    None => (node.last_table(successor), true),
                }
            };
            if self.send(successor, &table, false).await != Some(true) || !taken {
                return false;
            }
        }
        true
    }

    async fn give_back(&self, home: HostId, log: &LogClient) {
        let given = self.lock().node.give_back(home);
        let Some((table, record)) = given else { return };
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

    /// Sends a table; returns whether it was accepted, or `None` if the answer was lost.
    async fn send(&self, to: HostId, table: &Handover, returns: bool) -> Option<bool> {
        let mut client = self.peers.client(&self.view.load(), to)?;
        let reply = client.hand_over(convert::hand_over(table, returns)).await;
        reply.ok().map(|r| r.into_inner().accepted)
    }

    /// Takes in a table that another host sent and moves its keys here.
    pub(super) async fn receive(&self, table: Handover, returns: bool, log: &LogClient) -> bool {
        let home = table.from;
        {
            let mut inner = self.lock();
            if self.is_away() || !inner.node.is_reachable() {
                return false;
            }
            if returns {
                inner.node.receive_return(table);
                return true;
            }
            if !inner.node.receive(table) {
                return false;
            }
        }
        self.take_over(home, log).await;
        true
    }

    /// Returns whether a host's sidecar answers.
    async fn is_alive(&self, host: HostId) -> bool {
        let Some(mut client) = self.peers.client(&self.view.load(), host) else { return false };
        client.look_up(once::LookUpRequest::default()).await.is_ok()
    }
}
