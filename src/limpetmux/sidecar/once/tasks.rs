//! The tasks of the gate that read the claims stream, append claims and renew promises.

use super::{OnceGate, convert, moves};
use crate::adapters::log::{LogClient, LogError, LogPage, Stream};
use crate::claims::{self, AppendOptions, ClaimSource};
use crate::core::once::{Action, Declared, HostId, KeyId, Node, Record, homes_in};
use crate::core::revision::Offset;
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::once;
use futures::FutureExt;
use std::sync::{Arc, Weak};
use std::time::Duration;

/// The time that a read waits for the next record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// The time between two reads while the log cannot be reached.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The time between two checks whether the gate is still needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two renewals of promises; a promise outlasts three intervals.
const PROMISE_INTERVAL: Duration = Duration::from_millis(600);

/// Starts all tasks; each ends after the gate is dropped.
pub(super) fn spawn(gate: &Arc<OnceGate>, log: LogClient, append_options: AppendOptions) {
    tokio::spawn(read_claims(Arc::downgrade(gate), log.clone()));
    tokio::spawn(renew_promises(Arc::downgrade(gate)));
    tokio::spawn(moves::run(Arc::downgrade(gate), log.clone()));
    let source = claims_source(gate);
    let weak = Arc::downgrade(gate);
    tokio::spawn(async move {
        tokio::select! {
            () = claims::run(log, source, append_options) => {}
            () = until_dropped(weak) => {}
        }
    });
}

async fn until_dropped(gate: Weak<OnceGate>) {
    while gate.strong_count() > 0 {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn claims_source(gate: &Arc<OnceGate>) -> ClaimSource {
    let (claims_gate, forward_gate) = (Arc::downgrade(gate), Arc::downgrade(gate));
    ClaimSource {
        next_record: Arc::new(move |limit| claims_gate.upgrade()?.next_record(limit)),
        pending: Arc::clone(&gate.claims_pending),
        forward: Arc::new(move |data| forward(forward_gate.clone(), data).boxed()),
    }
}

/// Appends a record through the first successor that can reach the log.
async fn forward(gate: Weak<OnceGate>, record: Vec<u8>) -> bool {
    let Some(gate) = gate.upgrade() else { return false };
    gate.update_successors();
    let peers: Vec<HostId> = gate.lock().successors.iter().copied().collect();
    for peer in peers {
        let Some(mut client) = gate.peers.client(&gate.view.load(), peer) else { continue };
        let request = once::ForwardClaimsRequest { record: record.clone() };
        if client.forward_claims(request).await.is_ok_and(|r| r.into_inner().appended) {
            return true;
        }
    }
    false
}

/// Reads the claims stream continuously.
async fn read_claims(gate: Weak<OnceGate>, log: LogClient) {
    let mut from = Offset::default();
    let mut wait = Duration::ZERO;
    while gate.strong_count() > 0 {
        if !gate.upgrade().is_some_and(|g| g.is_needed()) {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let page = (log.read)(Stream::Claims, from, wait).await;
        let Some(gate) = gate.upgrade() else { return };
        match gate.apply_page(page, from) {
            Some(next) => {
                from = next;
                wait = READ_WAIT;
            }
            None => {
                wait = Duration::ZERO;
                drop(gate);
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

impl OnceGate {
    /// Returns whether the host's service has stages that may run at most once.
    pub(super) fn is_needed(&self) -> bool {
        let view = self.view.load();
        let service = view.host(self.host.as_str()).map(|h| view.hosts[h].service);
        let is_declared =
            || self.lock().node.own_declaration().is_some_and(|d| !d.hosts.is_empty());
        service.is_some_and(|s| !view.services[s].spec.idempotent) || is_declared()
    }

    /// Returns the hosts to declare, or `None` if no view has ever declared this host.
    fn hosts_to_declare(&self, node: &Node) -> Option<Arc<Declared>> {
        let view = self.view.load();
        match view.host(self.host.as_str()) {
            Some(host) => Some(Arc::new(Declared::of(&view, host))),
            None => node.own_declaration().map(|last| Arc::new(last.without_hosts(view.revision))),
        }
    }

    /// Returns the next record to append; the first one of a process may contain no keys.
    fn next_record(&self, limit: usize) -> Option<Record> {
        if !self.is_needed() {
            return None;
        }
        let mut inner = self.lock();
        let first = !std::mem::replace(&mut inner.announced, true);
        let hosts = self.hosts_to_declare(&inner.node);
        let node = &mut inner.node;
        // Claims precede a declaration, which may end a pair of home and successor: no key of the
        // pair may be claimed after its end.
        let record = node.claims(limit).or_else(|| first.then(|| node.empty_claim()));
        let record = record.or_else(|| node.declare(&hosts?, clock::now()));
        inner.appending = record.is_some();
        record
    }

    /// Returns the keys of a record that another host claimed although this host is their home.
    fn keys_claimed_elsewhere(&self, record: &Record) -> Vec<KeyId> {
        let Record::Claims { home, keys, .. } = record else { return Vec::new() };
        let view = self.view.load();
        let Some(host) = view.host(self.host.as_str()) else { return Vec::new() };
        let row = &view.hosts[host];
        let claimant = view.hosts.iter().find(|(_, h)| HostId::of(h.name.as_str()) == *home);
        if claimant.is_some_and(|(key, h)| key == host || h.service != row.service) {
            return Vec::new();
        }
        let region = view.zones[row.zone].region;
        let is_home = |key: &&KeyId| {
            homes_in(&view, region, row.service, **key).is_some_and(|h| h.home == host)
        };
        keys.iter().filter(is_home).copied().collect()
    }

    /// Applies a page of the claims stream; returns the next offset, or `None` if the read failed.
    fn apply_page(&self, page: Result<LogPage, LogError>, from: Offset) -> Option<Offset> {
        let mut inner = self.lock();
        let was_reachable = inner.node.is_log_reachable();
        inner.node.set_log_reachable(page.is_ok());
        if was_reachable != page.is_ok() {
            event!(EventCode::ClaimsLogChanged, reachable = page.is_ok());
        }
        let page = page.ok()?;
        let mut next = from.max(page.first);
        if from == Offset::default() && page.first == Offset::default() {
            inner.node.mark_read_from_start();
        }
        self.claims_pending.notify_one();
        for record in &page.records {
            next = record.offset.next();
            match Record::decode(&record.data) {
                Ok(decoded) => {
                    let actions = inner.node.observe(record.offset, &decoded, self.time());
                    self.apply(&mut inner, actions);
                    let claimed = self.keys_claimed_elsewhere(&decoded);
                    let time = self.time();
                    let refused = claimed
                        .into_iter()
                        .filter_map(|k| inner.node.observe_foreign_claim(k, time));
                    let refused: Vec<Action> = refused.collect();
                    self.apply(&mut inner, refused);
                }
                Err(error) => event!(EventCode::ClaimUnreadable, error = error),
            }
        }
        if next >= page.end {
            inner.node.mark_caught_up();
        }
        inner.node.sweep(self.time().wall);
        drop(inner);
        self.wake();
        Some(next)
    }
}

/// Renews the promises of successors while the log cannot be reached.
async fn renew_promises(gate: Weak<OnceGate>) {
    loop {
        tokio::time::sleep(PROMISE_INTERVAL).await;
        let Some(gate) = gate.upgrade() else { return };
        // A host with an idempotent service never reads the stream, which does not mean an outage.
        if !gate.is_needed() {
            continue;
        }
        gate.update_successors();
        let successors: Vec<HostId> = {
            let inner = gate.lock();
            let is_cut_off = !inner.node.is_log_reachable();
            inner.successors.iter().copied().filter(|_| is_cut_off).collect()
        };
        for successor in successors {
            gate.request_promise(successor).await;
        }
    }
}

impl OnceGate {
    /// Updates the possible successors: the hosts of the service in other zones.
    pub(super) fn update_successors(&self) {
        let view = self.view.load();
        let Some(host) = view.host(self.host.as_str()) else { return };
        let row = &view.hosts[host];
        let service_hosts = view.services[row.service].hosts.iter().map(|h| &view.hosts[*h]);
        let ids = service_hosts.filter(|h| h.zone != row.zone).map(|h| HostId::of(h.name.as_str()));
        self.lock().successors = ids.collect();
    }

    async fn request_promise(&self, successor: HostId) {
        let Some(mut client) = self.peers.client(&self.view.load(), successor) else { return };
        let sent = clock::now();
        let request = {
            let inner = &mut self.lock();
            inner.promise_requests += 1;
            let node = &inner.node;
            let home = convert::process(HostId::of(self.host.as_str()), node.incarnation());
            once::PromiseRequest { home: Some(home), read: node.position().0 }
        };
        let reply = client.promise(request).await;
        if reply.is_ok_and(|r| r.into_inner().granted) {
            self.lock().node.record_promise(successor, sent);
        }
    }
}
