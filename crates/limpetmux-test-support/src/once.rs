//! A home, its successor, a log and two keys, and a breadth-first search over their steps.

use limpetmux::core::once::{
    Action, Answer, Begin, Guards, Handover, HostId, Incarnation, KeyId, KeyTime, Node, Outcome,
    Record, Role, Rules, Time, Work,
};
use limpetmux::core::time::Moment;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

const MAX_SENDS: u8 = 2;
const MAX_CRASHES: u8 = 2;
const MAX_CUTS: u8 = 3;
const MAX_HANDOVERS: u8 = 1;
const MAX_RETURNS: u8 = 1;
const MAX_TAKEOVERS: u8 = 2;

const A: HostId = HostId(1);
const B: HostId = HostId(2);
const TICK: Duration = Duration::from_secs(1);
/// The clock stands here; a tick moves every stored moment back instead.
const NOW: Moment = Moment::from_millis(10_000);
const OLD: KeyId = KeyId::from_digest(0, Some(KeyTime(10)));
const NEW: KeyId = KeyId::from_digest(1, Some(KeyTime(20)));

/// What an exploration found.
#[derive(Debug)]
pub struct Exploration {
    /// The number of different states.
    pub states: usize,
    /// The steps to a double run, if there is one.
    pub path: Option<String>,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct World {
    a: Node,
    b: Node,
    log: Vec<Record>,
    read: [u8; 2],
    up: bool,
    link: bool,
    created: bool,
    /// A question for a promise on its way, with the asking process.
    ask: Option<(Incarnation, Moment)>,
    /// A home's table on its way.
    table: Option<Handover>,
    /// Accepted runs that are not dispatched yet.
    pending: BTreeSet<(HostId, KeyId)>,
    runs: [u8; 2],
    sends: u8,
    crashes: u8,
    cuts: u8,
    handovers: u8,
    returns: u8,
    takeovers: u8,
}

/// A step's name, interned to keep paths small.
type Step = &'static str;

fn rules() -> Rules {
    Rules {
        promise: TICK,
        slack: Duration::ZERO,
        margin: Duration::ZERO,
        window: Duration::MAX,
        hold: Duration::MAX,
        ..Rules::default()
    }
}

fn start(guards: Guards) -> World {
    let time = Time { now: NOW, wall: KeyTime(5) };
    let node = |id| {
        let mut node = Node::new(id, Incarnation(0), rules(), guards, time);
        node.log_reachable(true);
        node.read_to_end();
        node.rebase(TICK);
        node
    };
    World {
        a: node(A),
        b: node(B),
        log: Vec::new(),
        read: [0, 0],
        up: true,
        link: true,
        created: false,
        ask: None,
        table: None,
        pending: BTreeSet::new(),
        runs: [0, 0],
        sends: 0,
        crashes: 0,
        cuts: 0,
        handovers: 0,
        returns: 0,
        takeovers: 0,
    }
}

impl World {
    fn time(&self) -> Time {
        Time { now: NOW, wall: KeyTime(if self.created { 25 } else { 15 }) }
    }

    fn node(&mut self, id: HostId) -> &mut Node {
        if id == A { &mut self.a } else { &mut self.b }
    }

    fn reaches(&self, id: HostId) -> bool {
        self.up && (id == B || self.link)
    }

    fn note_links(&mut self) {
        let (a, b) = (self.reaches(A), self.reaches(B));
        self.a.log_reachable(a);
        self.b.log_reachable(b);
    }

    /// Returns whether some key can still have run twice at the end, so that it is worth going on.
    fn may_run_twice(&self) -> bool {
        let left = MAX_SENDS - self.sends;
        [OLD, NEW].iter().zip(self.runs).any(|(key, runs)| {
            let pending = self.pending.iter().filter(|(_, k)| k == key).count();
            let claiming = self.a.is_claiming(*key);
            usize::from(runs + left) + pending + usize::from(claiming) > 1
        })
    }

    fn keys(&self) -> &'static [KeyId] {
        if self.created { &[OLD, NEW] } else { &[OLD] }
    }

    /// A request reaches a host, by way of any entry.
    fn send(&self, id: HostId, key: KeyId) -> Option<Self> {
        let mut next = self.clone();
        let time = next.time();
        let role = match id {
            A => Role::Home { successor: Some(B) },
            _ => Role::Successor { home: A },
        };
        next.sends += 1;
        match next.node(id).begin(Work { key, body: 0, role }, time) {
            Begin::Run => drop(next.pending.insert((id, key))),
            Begin::Claim => {}
            Begin::Wait | Begin::Replay(_) | Begin::Refuse(_) => return None,
        }
        Some(next)
    }

    fn dispatch(&self, id: HostId, key: KeyId) -> Self {
        let mut next = self.clone();
        next.pending.remove(&(id, key));
        next.runs[usize::from(key == NEW)] += 1;
        let answer = Answer { payload: [].into(), cost: 0 };
        next.node(id).finish(key, Outcome::Answered(answer));
        next
    }

    fn append(&self, record: Record) -> Self {
        let mut next = self.clone();
        next.log.push(record);
        next
    }

    /// A host reads one record further.
    fn observe(&self, id: HostId) -> Option<Self> {
        let host = usize::from(id == B);
        let record = self.log.get(usize::from(self.read[host]))?;
        let mut next = self.clone();
        let time = next.time();
        next.read[host] += 1;
        let end = usize::from(next.read[host]) == next.log.len();
        let actions = next.node(id).observe(record, time);
        if end {
            next.node(id).read_to_end();
        }
        for action in actions {
            if let Action::Run(key) = action {
                next.pending.insert((id, key));
            }
        }
        Some(next)
    }

    fn restart(&self, id: HostId, guards: Guards) -> Self {
        let mut next = self.clone();
        let incarnation = Incarnation(next.node(id).incarnation().0 + 1);
        let mut node = Node::new(id, incarnation, rules(), guards, next.time());
        if id == A {
            // A never takes over, so its quiet period makes no difference.
            node.rebase(TICK);
        }
        *next.node(id) = node;
        next.read[usize::from(id == B)] = 0;
        next.pending.retain(|(host, _)| *host != id);
        next.crashes += 1;
        if id == A {
            next.ask = None;
        }
        next.note_links();
        if next.log.is_empty() && next.reaches(id) {
            next.node(id).read_to_end();
        }
        next
    }

    fn tick(&self) -> Self {
        let mut next = self.clone();
        next.a.rebase(TICK);
        next.b.rebase(TICK);
        next.ask = next.ask.map(|(incarnation, sent)| (incarnation, sent - TICK));
        next
    }

    fn answer_ask(&self) -> Option<Self> {
        let (incarnation, sent) = self.ask?;
        let mut next = self.clone();
        next.ask = None;
        if next.b.promise(A, incarnation, NOW).is_ok() {
            next.a.promised(B, sent);
        }
        Some(next)
    }

    fn steps(&self, guards: Guards, out: &mut Vec<(Step, Self)>) {
        self.outer_steps(guards, out);
        self.key_steps(out);
        self.log_steps(out);
        self.promise_steps(out);
        self.move_steps(out);
    }

    fn outer_steps(&self, guards: Guards, out: &mut Vec<(Step, Self)>) {
        if self.cuts < MAX_CUTS {
            let cut = |up: bool, link: bool| {
                let mut next = Self { up, link, cuts: self.cuts + 1, ..self.clone() };
                next.note_links();
                next
            };
            out.push(("log toggles", cut(!self.up, self.link)));
            out.push(("link of A to the log toggles", cut(self.up, !self.link)));
        }
        if !self.created {
            out.push(("new key is created", Self { created: true, ..self.clone() }));
        }
        if self.crashes < MAX_CRASHES {
            out.push(("A restarts", self.restart(A, guards)));
            out.push(("B restarts", self.restart(B, guards)));
        }
        out.push(("time passes", self.tick()));
    }

    fn key_steps(&self, out: &mut Vec<(Step, Self)>) {
        if self.sends < MAX_SENDS {
            for key in self.keys() {
                let names = if *key == OLD {
                    ["A accepts old", "B accepts old"]
                } else {
                    ["A accepts new", "B accepts new"]
                };
                for (host, name) in [A, B].into_iter().zip(names) {
                    out.extend(self.send(host, *key).map(|n| (name, n)));
                }
            }
        }
        for (host, key) in &self.pending {
            let name = match (*host, *key) {
                (A, OLD) => "A runs old",
                (A, _) => "A runs new",
                (_, OLD) => "B runs old",
                _ => "B runs new",
            };
            out.push((name, self.dispatch(*host, *key)));
        }
    }

    fn log_steps(&self, out: &mut Vec<(Step, Self)>) {
        if self.reaches(A) {
            let mut next = self.clone();
            if let Some(record) = next.a.claims(2) {
                out.push(("A appends claims", next.append(record)));
            }
            out.extend(self.observe(A).map(|n| ("A reads a record", n)));
        }
        if self.reaches(B) {
            out.extend(self.observe(B).map(|n| ("B reads a record", n)));
        }
        if self.takeovers < MAX_TAKEOVERS {
            let mut next = self.clone();
            next.takeovers += 1;
            if let Some(record) = next.b.take_over(A, NOW) {
                out.push(("B appends takeover", next.append(record)));
            }
        }
    }

    fn promise_steps(&self, out: &mut Vec<(Step, Self)>) {
        if self.ask.is_none() && !self.a.is_reachable() {
            let ask = Some((self.a.incarnation(), NOW));
            out.push(("A asks for a promise", Self { ask, ..self.clone() }));
        }
        out.extend(self.answer_ask().map(|n| ("B answers the question", n)));
    }

    fn move_steps(&self, out: &mut Vec<(Step, Self)>) {
        if self.handovers < MAX_HANDOVERS {
            let mut next = self.clone();
            next.handovers += 1;
            if let Some(table) = next.a.hand_over(B) {
                next.table = Some(table);
                out.push(("A hands over", next));
            }
        }
        if let Some(table) = self.table.clone() {
            let mut next = Self { table: None, ..self.clone() };
            next.b.receive(table);
            out.push(("B receives the table", next));
        }
        if self.returns < MAX_RETURNS && self.reaches(B) {
            let mut next = self.clone();
            next.returns += 1;
            if let Some((table, record)) = next.b.give_back(A) {
                next.a.receive_return(table);
                out.push(("B gives back", next.append(record)));
            }
        }
    }
}

/// One visited state's step and the state it came from.
struct Trace {
    step: Step,
    before: Option<Rc<Trace>>,
}

fn describe(mut trace: &Rc<Trace>) -> String {
    let mut steps = Vec::new();
    loop {
        steps.push(trace.step);
        match &trace.before {
            Some(before) => trace = before,
            None => break,
        }
    }
    steps.reverse();
    steps.join("; ")
}

/// Visits every reachable state, breadth first, until a key has run twice.
pub fn explore(guards: Guards) -> Exploration {
    let first = start(guards);
    let root = Rc::new(Trace { step: "start", before: None });
    let mut seen = BTreeSet::from([first.clone()]);
    let mut queue = VecDeque::from([(first, root)]);
    let mut next = Vec::new();
    while let Some((world, trace)) = queue.pop_front() {
        world.steps(guards, &mut next);
        for (step, world) in next.drain(..) {
            if !world.may_run_twice() || seen.contains(&world) {
                continue;
            }
            let trace = Rc::new(Trace { step, before: Some(Rc::clone(&trace)) });
            if world.runs.iter().any(|n| *n > 1) {
                return Exploration { states: seen.len(), path: Some(describe(&trace)) };
            }
            seen.insert(world.clone());
            queue.push_back((world, trace));
        }
        if seen.len() > 3_000_000 {
            break;
        }
    }
    Exploration { states: seen.len(), path: None }
}
