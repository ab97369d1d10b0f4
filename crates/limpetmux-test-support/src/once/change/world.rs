//! The state of the hosts and the log, and the steps that change it.

use super::{HOSTS, Limits, NAMES, NOW, Scene, TICK};
use crate::once::Step;
use limpetmux::core::once::{
    Action, Declared, HostId, Incarnation, KeyTime, KeyedRequest, Node, Record, Role, RunDecision,
    Time,
};
use limpetmux::core::revision::Offset;
use limpetmux::core::time::Moment;
use std::rc::Rc;
use std::sync::Arc;

/// A question for a promise on its way.
#[derive(Clone, Copy, Hash)]
pub(super) struct Ask {
    from: usize,
    to: usize,
    process: Incarnation,
    read: Offset,
    sent: Moment,
}

#[derive(Clone, Hash)]
pub(super) struct World {
    pub links: [bool; 3],
    /// Which hosts have seen the change.
    pub changed: [bool; 3],
    pub created: bool,
    /// How often the key was accepted, which counts as run.
    pub runs: u8,
    pub left: Limits,
    pub ask: Option<Ask>,
    pub log: Vec<Rc<Record>>,
    pub nodes: [Rc<Node>; 3],
}

impl World {
    fn time(&self) -> Time {
        Time { now: NOW, wall: KeyTime(if self.created { 25 } else { 15 }) }
    }

    pub fn node(&mut self, host: usize) -> &mut Node {
        Rc::make_mut(&mut self.nodes[host])
    }

    pub fn declare_change(mut self, scene: &Scene, host: usize, read: bool) -> Self {
        self.changed[host] = true;
        let record = self.node(host).declare(&scene.hosts[1], NOW).unwrap();
        let next = self.append(record);
        if read { next.observe(host).unwrap() } else { next }
    }

    pub fn note_links(&mut self) {
        for i in HOSTS {
            let link = self.links[i];
            self.node(i).set_log_reachable(link);
        }
    }

    /// A request reaches a host, by way of any entry.
    fn send(&self, scene: &Scene, host: usize) -> Option<Self> {
        let mut next = self.clone();
        let time = next.time();
        let role = next.nodes[host].role(scene.key)?;
        match next.node(host).begin(KeyedRequest { key: scene.key, body: 0, role }, time) {
            RunDecision::Run => next.runs += 1,
            RunDecision::Claim => {}
            RunDecision::Wait | RunDecision::Replay(_) | RunDecision::Refuse(_) => return None,
        }
        Some(next)
    }

    fn append(mut self, record: Record) -> Self {
        self.log.push(Rc::new(record));
        self
    }

    /// A host reads one record further.
    pub fn observe(&self, host: usize) -> Option<Self> {
        let at = self.nodes[host].position();
        let record = Rc::clone(self.log.get(usize::try_from(at.0).unwrap())?);
        let mut next = self.clone();
        let time = next.time();
        let mut actions = next.node(host).observe(at, &record, time);
        if usize::try_from(at.next().0).unwrap() == next.log.len() {
            next.node(host).mark_caught_up();
        }
        if let Record::Claims { home, keys, .. } = &*record
            && *home != HostId::of(NAMES[host])
        {
            let node = next.node(host);
            actions.extend(keys.iter().filter_map(|key| {
                let is_home = matches!(node.role(*key), Some(Role::Home { .. }));
                is_home.then(|| node.observe_foreign_claim(*key, time)).flatten()
            }));
        }
        let is_run = |action: &&Action| matches!(action, Action::Run(_));
        next.runs += u8::try_from(actions.iter().filter(is_run).count()).unwrap();
        Some(next)
    }

    fn restart(&self, scene: &Scene, host: usize, changed: bool) -> Self {
        let mut next = self.clone();
        next.left.restarts -= 1;
        next.changed[host] = changed;
        let incarnation = self.nodes[host].incarnation().0 + 1;
        next.nodes[host] = Rc::new(scene.node(host, incarnation, self.time()));
        next.ask = self.ask.filter(|ask| ask.from != host);
        next.note_links();
        next
    }

    fn tick(&self) -> Self {
        let mut next = self.clone();
        for host in HOSTS {
            next.node(host).rebase(TICK);
        }
        next.ask = next.ask.map(|ask| Ask { sent: ask.sent - TICK, ..ask });
        next
    }

    pub fn steps(&self, scene: &Scene, out: &mut Vec<(Step, Self)>) {
        if !self.created {
            out.push(("new key is created", Self { created: true, ..self.clone() }));
        }
        out.push(("time passes", self.tick()));
        for host in HOSTS {
            self.outer_steps(scene, host, out);
            if self.created {
                let sent = self.send(scene, host);
                out.extend(sent.map(|n| (["A accepts", "B accepts", "C accepts"][host], n)));
            }
            if self.links[host] {
                self.log_steps(scene, host, out);
            }
        }
        self.promise_steps(scene, out);
    }

    fn outer_steps(&self, scene: &Scene, host: usize, out: &mut Vec<(Step, Self)>) {
        if !self.changed[host] {
            let mut next = self.clone();
            next.changed[host] = true;
            out.push((["A sees the change", "B sees the change", "C sees the change"][host], next));
        }
        if self.left.cuts > 0 {
            let mut next = self.clone();
            next.left.cuts -= 1;
            next.links[host] = !next.links[host];
            next.note_links();
            out.push((["A's link toggles", "B's link toggles", "C's link toggles"][host], next));
        }
        if self.left.restarts > 0 {
            for changed in [false, true] {
                let next = self.restart(scene, host, changed);
                out.push((["A restarts", "B restarts", "C restarts"][host], next));
            }
        }
    }

    fn log_steps(&self, scene: &Scene, host: usize, out: &mut Vec<(Step, Self)>) {
        let read = self.observe(host);
        out.extend(read.map(|n| (["A reads", "B reads", "C reads"][host], n)));
        let mut next = self.clone();
        if let Some(record) = next.node(host).claims(2) {
            out.push((["A claims", "B claims", "C claims"][host], next.append(record)));
        } else if let Some(declared) = self.to_declare(scene, host)
            && let Some(record) = next.node(host).declare(&declared, NOW)
        {
            out.push((["A declares", "B declares", "C declares"][host], next.append(record)));
        }
        let home = match self.nodes[host].role(scene.key) {
            Some(Role::Successor { home }) => Some(home),
            _ => None,
        };
        let mut next = self.clone();
        if let Some(home) = home.filter(|_| self.left.takeovers > 0)
            && let Some(record) = next.node(host).take_over(home, NOW)
        {
            next.left.takeovers -= 1;
            out.push((["A takes over", "B takes over", "C takes over"][host], next.append(record)));
        }
    }

    /// Returns what a host would declare by its view.
    fn to_declare(&self, scene: &Scene, host: usize) -> Option<Arc<Declared>> {
        let hosts = &scene.hosts[usize::from(self.changed[host])];
        if hosts.hosts.iter().any(|h| h.name == NAMES[host]) {
            return Some(Arc::clone(hosts));
        }
        let own = self.nodes[host].own_declaration()?;
        Some(Arc::new(own.without_hosts(hosts.revision)))
    }

    fn promise_steps(&self, scene: &Scene, out: &mut Vec<(Step, Self)>) {
        if let Some(ask) = self.ask {
            let mut next = Self { ask: None, ..self.clone() };
            let home = HostId::of(NAMES[ask.from]);
            if next.node(ask.to).promise(home, ask.process, ask.read, NOW).is_ok() {
                next.node(ask.from).record_promise(HostId::of(NAMES[ask.to]), ask.sent);
            }
            out.push(("a promise is answered", next));
            return;
        }
        for from in HOSTS {
            let node = &self.nodes[from];
            let Some(Role::Home { successor: Some(successor) }) = node.role(scene.key) else {
                continue;
            };
            if !node.is_log_reachable() && node.promised_until(successor).is_none() {
                let to = HOSTS.into_iter().find(|i| HostId::of(NAMES[*i]) == successor).unwrap();
                let (process, read) = (node.incarnation(), node.position());
                let ask = Some(Ask { from, to, process, read, sent: NOW });
                out.push(("a promise is asked for", Self { ask, ..self.clone() }));
            }
        }
    }
}
