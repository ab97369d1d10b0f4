//! The state of the hosts and the log, and the steps that change it.

use super::{HOSTS, Limits, NAMES, NOW, Scenario, TICK};
use crate::once::Step;
use limpetmux::core::once::{
    Action, Declared, HostId, Incarnation, KeyTime, KeyedRequest, Node, Record, Role, RunDecision,
    Time,
};
use limpetmux::core::revision::Offset;
use limpetmux::core::time::Moment;
use std::rc::Rc;
use std::sync::Arc;

/// A request for a promise in transit.
#[derive(Clone, Copy, Hash)]
pub(super) struct PromiseRequest {
    from: usize,
    to: usize,
    process: Incarnation,
    read: Offset,
    sent: Moment,
}

#[derive(Clone, Hash)]
pub(super) struct State {
    /// Whether each host reaches the log.
    pub links: [bool; 3],
    /// Which hosts have seen the change.
    pub changed: [bool; 3],
    /// Whether the key exists.
    pub created: bool,
    /// How often the key was accepted, which counts as a run.
    pub runs: u8,
    /// The rare steps that may still happen.
    pub remaining: Limits,
    pub promise_request: Option<PromiseRequest>,
    pub log: Vec<Rc<Record>>,
    pub nodes: [Rc<Node>; 3],
}

impl State {
    fn time(&self) -> Time {
        Time { now: NOW, wall: KeyTime(if self.created { 25 } else { 15 }) }
    }

    pub fn node(&mut self, host: usize) -> &mut Node {
        Rc::make_mut(&mut self.nodes[host])
    }

    /// Lets a host declare the change, and read its declaration if `read` is set.
    pub fn declare_change(mut self, scenario: &Scenario, host: usize, read: bool) -> Self {
        self.changed[host] = true;
        let record = self.node(host).declare(&scenario.hosts[1], NOW).unwrap();
        let next = self.append(record);
        if read { next.observe(host).unwrap() } else { next }
    }

    pub fn update_links(&mut self) {
        for i in HOSTS {
            let link = self.links[i];
            self.node(i).set_log_reachable(link);
        }
    }

    /// Delivers a request to a host, through any entry.
    fn send(&self, scenario: &Scenario, host: usize) -> Option<Self> {
        let mut next = self.clone();
        let time = next.time();
        let role = next.nodes[host].role(scenario.key)?;
        match next.node(host).begin(KeyedRequest { key: scenario.key, body: 0, role }, time) {
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

    /// Lets a host read its next log record.
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
        let is_run_action = |action: &&Action| matches!(action, Action::Run(_));
        next.runs += u8::try_from(actions.iter().filter(is_run_action).count()).unwrap();
        Some(next)
    }

    fn restart(&self, scenario: &Scenario, host: usize, changed: bool) -> Self {
        let mut next = self.clone();
        next.remaining.restarts -= 1;
        next.changed[host] = changed;
        let incarnation = self.nodes[host].incarnation().0 + 1;
        next.nodes[host] = Rc::new(scenario.node(host, incarnation, self.time()));
        next.promise_request = self.promise_request.filter(|request| request.from != host);
        next.update_links();
        next
    }

    fn advance_clock(&self) -> Self {
        let mut next = self.clone();
        for host in HOSTS {
            next.node(host).rebase(TICK);
        }
        next.promise_request = next
            .promise_request
            .map(|request| PromiseRequest { sent: request.sent - TICK, ..request });
        next
    }

    pub fn steps(&self, scenario: &Scenario, out: &mut Vec<(Step, Self)>) {
        if !self.created {
            out.push(("new key is created", Self { created: true, ..self.clone() }));
        }
        out.push(("time passes", self.advance_clock()));
        for host in HOSTS {
            self.environment_steps(scenario, host, out);
            if self.created {
                let sent = self.send(scenario, host);
                out.extend(sent.map(|n| (["A accepts", "B accepts", "C accepts"][host], n)));
            }
            if self.links[host] {
                self.log_steps(scenario, host, out);
            }
        }
        self.promise_steps(scenario, out);
    }

    fn environment_steps(&self, scenario: &Scenario, host: usize, out: &mut Vec<(Step, Self)>) {
        if !self.changed[host] {
            let mut next = self.clone();
            next.changed[host] = true;
            out.push((["A sees the change", "B sees the change", "C sees the change"][host], next));
        }
        if self.remaining.link_changes > 0 {
            let mut next = self.clone();
            next.remaining.link_changes -= 1;
            next.links[host] = !next.links[host];
            next.update_links();
            out.push((["A's link changes", "B's link changes", "C's link changes"][host], next));
        }
        if self.remaining.restarts > 0 {
            for changed in [false, true] {
                let next = self.restart(scenario, host, changed);
                out.push((["A restarts", "B restarts", "C restarts"][host], next));
            }
        }
    }

    fn log_steps(&self, scenario: &Scenario, host: usize, out: &mut Vec<(Step, Self)>) {
        let read = self.observe(host);
        out.extend(read.map(|n| (["A reads", "B reads", "C reads"][host], n)));
        let mut next = self.clone();
        if let Some(record) = next.node(host).claims(2) {
            out.push((["A claims", "B claims", "C claims"][host], next.append(record)));
        } else if let Some(declared) = self.next_declaration(scenario, host)
            && let Some(record) = next.node(host).declare(&declared, NOW)
        {
            out.push((["A declares", "B declares", "C declares"][host], next.append(record)));
        }
        let home = match self.nodes[host].role(scenario.key) {
            Some(Role::Successor { home }) => Some(home),
            _ => None,
        };
        let mut next = self.clone();
        if let Some(home) = home.filter(|_| self.remaining.takeovers > 0)
            && let Some(record) = next.node(host).take_over(home, NOW)
        {
            next.remaining.takeovers -= 1;
            out.push((["A takes over", "B takes over", "C takes over"][host], next.append(record)));
        }
    }

    /// Returns the declaration that matches a host's view, if it has any to make.
    fn next_declaration(&self, scenario: &Scenario, host: usize) -> Option<Arc<Declared>> {
        let hosts = &scenario.hosts[usize::from(self.changed[host])];
        if hosts.hosts.iter().any(|h| h.name == NAMES[host]) {
            return Some(Arc::clone(hosts));
        }
        let declared = self.nodes[host].own_declaration()?;
        Some(Arc::new(declared.without_hosts(hosts.revision)))
    }

    fn promise_steps(&self, scenario: &Scenario, out: &mut Vec<(Step, Self)>) {
        if let Some(request) = self.promise_request {
            let mut next = Self { promise_request: None, ..self.clone() };
            let home = HostId::of(NAMES[request.from]);
            if next.node(request.to).promise(home, request.process, request.read, NOW).is_ok() {
                next.node(request.from).record_promise(HostId::of(NAMES[request.to]), request.sent);
            }
            out.push(("a promise request is answered", next));
            return;
        }
        for from in HOSTS {
            let node = &self.nodes[from];
            let Some(Role::Home { successor: Some(successor) }) = node.role(scenario.key) else {
                continue;
            };
            if !node.is_log_reachable() && node.promised_until(successor).is_none() {
                let to = HOSTS.into_iter().find(|i| HostId::of(NAMES[*i]) == successor).unwrap();
                let (process, read) = (node.incarnation(), node.position());
                let promise_request = Some(PromiseRequest { from, to, process, read, sent: NOW });
                out.push(("a promise is requested", Self { promise_request, ..self.clone() }));
            }
        }
    }
}
