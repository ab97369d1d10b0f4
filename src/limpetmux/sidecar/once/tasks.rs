//! The tasks of the gate: reading the claims stream, claiming, promises and takeovers.

use super::{OnceGate, convert, moves};
use crate::adapters::log::{LogClient, LogError, LogPage, Stream};
use crate::claims::{self, Pace, Source};
use crate::core::once::{Action, Declared, HostId, KeyId, Node, Record, homes_in};
use crate::core::revision::Offset;
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::once;
use futures::FutureExt;
use std::sync::{Arc, Weak};
use std::time::Duration;

/// How long a read waits for the next record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// The time between two reads while the log cannot be reached.
const READ_RETRY: Duration = Duration::from_millis(100);
/// The time between two looks at what the gate has to do.
const ROUND: Duration = Duration::from_millis(250);
/// The time between two rounds of promises; a promise outlasts three of them.
const PROMISE_ROUND: Duration = Duration::from_millis(600);

/// Starts all tasks; each ends once the gate is dropped.
pub(super) fn spawn(gate: &Arc<OnceGate>, log: LogClient, pace: Pace) {
    tokio::spawn(read(Arc::downgrade(gate), log.clone()));
    tokio::spawn(promises(Arc::downgrade(gate)));
    tokio::spawn(moves::run(Arc::downgrade(gate), log.clone()));
    let source = source(gate);
    let weak = Arc::downgrade(gate);
    tokio::spawn(async move {
        tokio::select! {
            () = claims::run(log, source, pace) => {}
            () = dropped(weak) => {}
        }
    });
}

async fn dropped(gate: Weak<OnceGate>) {
    while gate.strong_count() > 0 {
        tokio::time::sleep(ROUND).await;
    }
}

fn source(gate: &Arc<OnceGate>) -> Source {
    let (taker, forwarder) = (Arc::downgrade(gate), Arc::downgrade(gate));
    Source {
        take: Arc::new(move |most| taker.upgrade()?.take_claims(most)),
        due: Arc::clone(&gate.due),
        forward: Arc::new(move |data| forward(forwarder.clone(), data).boxed()),
    }
}

/// Sends a record through the first successor that reaches the log.
async fn forward(gate: Weak<OnceGate>, record: Vec<u8>) -> bool {
    let Some(gate) = gate.upgrade() else { return false };
    gate.note_successors();
    let peers: Vec<HostId> = gate.lock().wanted.iter().copied().collect();
    for peer in peers {
        let Some(mut client) = gate.peers.client(&gate.view.load(), peer) else { continue };
        let request = once::ForwardClaimsRequest { record: record.clone() };
        if client.forward_claims(request).await.is_ok_and(|r| r.into_inner().appended) {
            return true;
        }
    }
    false
}

/// Follows the claims stream.
async fn read(gate: Weak<OnceGate>, log: LogClient) {
    let mut from = Offset::default();
    let mut wait = Duration::ZERO;
    while gate.strong_count() > 0 {
        if !gate.upgrade().is_some_and(|g| g.is_needed()) {
            tokio::time::sleep(ROUND).await;
            continue;
        }
        let page = (log.read)(Stream::Claims, from, wait).await;
        let Some(gate) = gate.upgrade() else { return };
        match gate.take_page(page, from) {
            Some(next) => {
                from = next;
                wait = READ_WAIT;
            }
            None => {
                wait = Duration::ZERO;
                drop(gate);
                tokio::time::sleep(READ_RETRY).await;
            }
        }
    }
}

impl OnceGate {
    /// Returns whether the host's service has stages that may run at most once.
    pub(super) fn is_needed(&self) -> bool {
        let view = self.view.load();
        let service = view.host(self.host.as_str()).map(|h| view.hosts[h].service);
        let is_declared = || self.lock().node.own().is_some_and(|d| !d.hosts.is_empty());
        service.is_some_and(|s| !view.services[s].spec.idempotent) || is_declared()
    }

    /// Returns the hosts to declare next, or `None` if the view never declared this one.
    fn to_declare(&self, node: &Node) -> Option<Arc<Declared>> {
        let view = self.view.load();
        match view.host(self.host.as_str()) {
            Some(host) => Some(Arc::new(Declared::of(&view, host))),
            None => node.own().map(|own| Arc::new(own.without_hosts(view.revision))),
        }
    }

    /// Takes the keys that are due, the process's first record even without any.
    fn take_claims(&self, most: usize) -> Option<Record> {
        if !self.is_needed() {
            return None;
        }
        let mut inner = self.lock();
        let first = !std::mem::replace(&mut inner.announced, true);
        let hosts = self.to_declare(&inner.node);
        let node = &mut inner.node;
        // Claims go first, so that no key of a pair is claimed behind the pair's end.
        let record = node.claims(most).or_else(|| first.then(|| node.hello()));
        let record = record.or_else(|| node.declare(&hosts?, clock::now()));
        inner.appending = record.is_some();
        record
    }

    /// Returns the keys that another host claimed although this host is their home.
    fn claimed_here(&self, record: &Record) -> Vec<KeyId> {
        let Record::Claims { home, keys, .. } = record else { return Vec::new() };
        let view = self.view.load();
        let Some(host) = view.host(self.host.as_str()) else { return Vec::new() };
        let row = &view.hosts[host];
        let claimant = view.hosts.iter().find(|(_, h)| HostId::of(h.name.as_str()) == *home);
        if claimant.is_some_and(|(key, h)| key == host || h.service != row.service) {
            return Vec::new();
        }
        let region = view.zones[row.zone].region;
        let is_mine = |key: &&KeyId| {
            homes_in(&view, region, row.service, **key).is_some_and(|h| h.home == host)
        };
        keys.iter().filter(is_mine).copied().collect()
    }

    /// Takes in a page of the claims stream; returns where to read on, or `None` after a failure.
    fn take_page(&self, page: Result<LogPage, LogError>, from: Offset) -> Option<Offset> {
        let mut inner = self.lock();
        let was_reachable = inner.node.is_reachable();
        inner.node.log_reachable(page.is_ok());
        if was_reachable != page.is_ok() {
            event!(EventCode::ClaimsLogChanged, reachable = page.is_ok());
        }
        let page = page.ok()?;
        let mut next = from.max(page.first);
        if from == Offset::default() && page.first == Offset::default() {
            inner.node.read_from_start();
        }
        self.due.notify_one();
        for record in &page.records {
            next = record.offset.next();
            match Record::decode(&record.data) {
                Ok(decoded) => {
                    let actions = inner.node.observe(record.offset, &decoded, self.time());
                    self.apply(&mut inner, actions);
                    let claimed = self.claimed_here(&decoded);
                    let time = self.time();
                    let lost = claimed.into_iter().filter_map(|k| inner.node.remember(k, time));
                    let lost: Vec<Action> = lost.collect();
                    self.apply(&mut inner, lost);
                }
                Err(error) => event!(EventCode::ClaimUnreadable, error = error),
            }
        }
        if next >= page.end {
            inner.node.read_to_end();
        }
        inner.node.sweep(self.time().wall);
        drop(inner);
        self.wake();
        Some(next)
    }
}

/// Keeps the promises of successors alive while the log cannot be reached.
async fn promises(gate: Weak<OnceGate>) {
    loop {
        tokio::time::sleep(PROMISE_ROUND).await;
        let Some(gate) = gate.upgrade() else { return };
        // A host whose service is idempotent never reads the stream, which is no outage.
        if !gate.is_needed() {
            continue;
        }
        gate.note_successors();
        let wanted: Vec<HostId> = {
            let inner = gate.lock();
            let needed = !inner.node.is_reachable();
            inner.wanted.iter().copied().filter(|_| needed).collect()
        };
        for successor in wanted {
            gate.ask(successor).await;
        }
    }
}

impl OnceGate {
    /// Counts all other hosts of the service in other zones as successors of some key.
    pub(super) fn note_successors(&self) {
        let view = self.view.load();
        let Some(host) = view.host(self.host.as_str()) else { return };
        let row = &view.hosts[host];
        let others = view.services[row.service].hosts.iter().map(|h| &view.hosts[*h]);
        let ids = others.filter(|h| h.zone != row.zone).map(|h| HostId::of(h.name.as_str()));
        self.lock().wanted = ids.collect();
    }

    async fn ask(&self, successor: HostId) {
        let Some(mut client) = self.peers.client(&self.view.load(), successor) else { return };
        let sent = clock::now();
        let request = {
            let inner = &mut self.lock();
            inner.asked += 1;
            let node = &inner.node;
            let home = convert::process(HostId::of(self.host.as_str()), node.incarnation());
            once::PromiseRequest { home: Some(home), read: node.position().0 }
        };
        let reply = client.promise(request).await;
        if reply.is_ok_and(|r| r.into_inner().granted) {
            self.lock().node.promised(successor, sent);
        }
    }
}
