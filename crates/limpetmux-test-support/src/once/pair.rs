//! A home, its successor, a log and two keys.

use super::{Exploration, Step, search};
use limpetmux::core::once::{
    Action, Guards, Handover, HostId, Incarnation, KeyId, KeyTime, KeyedRequest, Node, Record,
    Role, Rules, RunDecision, Time,
};
use limpetmux::core::revision::Offset;
use limpetmux::core::time::Moment;
use std::time::Duration;

/// How often each rare step may happen in one exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Changes of the log's state and of the link between the home and the log.
    pub cuts: u8,
    /// Restarts of the home.
    pub home_restarts: u8,
    /// Restarts of the successor.
    pub successor_restarts: u8,
    /// Tables handed over by the home.
    pub handovers: u8,
    /// Keys given back by the successor.
    pub returns: u8,
    /// Takeover records.
    pub takeovers: u8,
    /// Whether the old key carries no time, and the log names the home's first process.
    pub untimed: bool,
}

impl Limits {
    /// Outages and cuts, and a restart of the home.
    pub const HOME_RESTARTS: Self = Self {
        cuts: 2,
        home_restarts: 1,
        successor_restarts: 0,
        handovers: 0,
        returns: 0,
        takeovers: 1,
        untimed: false,
    };
    /// Outages and cuts, and a restart of the successor.
    pub const SUCCESSOR_RESTARTS: Self =
        Self { home_restarts: 0, successor_restarts: 1, ..Self::HOME_RESTARTS };
    /// The home's table moving to the successor, with an outage and a restart of the home.
    pub const HANDOVER: Self = Self { cuts: 1, handovers: 1, ..Self::HOME_RESTARTS };
    /// Keys moving back to the home, with an outage and a restart of the home.
    pub const RETURN: Self = Self { cuts: 1, returns: 1, ..Self::HOME_RESTARTS };
    /// A key without a time, with outages, cuts and a restart of the home.
    pub const UNTIMED_HOME: Self = Self { untimed: true, ..Self::HOME_RESTARTS };
    /// A key without a time, with outages, cuts and a restart of the successor.
    pub const UNTIMED_SUCCESSOR: Self = Self { untimed: true, ..Self::SUCCESSOR_RESTARTS };
    /// A key without a time while the table moves to the successor.
    pub const UNTIMED_HANDOVER: Self = Self { untimed: true, ..Self::HANDOVER };
    /// A key without a time while keys move back to the home.
    pub const UNTIMED_RETURN: Self = Self { untimed: true, ..Self::RETURN };
    /// A key without a time in both moves, for `cargo run -p xtask -- explore`.
    pub const UNTIMED_MOVES: Self = Self { untimed: true, ..Self::MOVES };
    /// A handover and a return in one exploration, for `cargo run -p xtask -- explore`.
    pub const MOVES: Self = Self { returns: 1, ..Self::HANDOVER };
}

const A: HostId = HostId(1);
const B: HostId = HostId(2);
const TICK: Duration = Duration::from_secs(1);
/// The clock stands here; a tick moves every stored moment back instead.
///
/// One tick above zero, so that moments of the past soon become equal.
const NOW: Moment = Moment::from_millis(1_000);
const OLD: KeyId = KeyId::from_digest(0, Some(KeyTime(10)));
const UNTIMED: KeyId = KeyId::from_digest(0, None);
const NEW: KeyId = KeyId::from_digest(1, Some(KeyTime(20)));

#[derive(Clone, Hash)]
struct World {
    up: bool,
    link: bool,
    created: bool,
    /// How often each key was accepted. A dispatch may follow after any pause, so an accepted run
    /// counts as run.
    runs: [u8; 2],
    left: Limits,
    /// A question for a promise on its way, with the asking process.
    ask: Option<(Incarnation, Offset, Moment)>,
    /// A home's table on its way.
    table: Option<Handover>,
    log: Vec<Record>,
    a: Node,
    b: Node,
}

fn rules() -> Rules {
    Rules {
        promise_ttl: TICK,
        promise_margin: Duration::ZERO,
        clock_margin: Duration::ZERO,
        key_retention: Duration::MAX,
        takeover_ttl: Duration::MAX,
        ..Rules::default()
    }
}

fn start(guards: Guards, limits: Limits, link: bool) -> World {
    let time = Time { now: NOW, wall: KeyTime(5) };
    let node = |id| {
        let mut node = Node::new(id, Incarnation(0), rules(), guards, time);
        node.set_log_reachable(true);
        node.mark_caught_up();
        node.rebase(TICK);
        node
    };
    let mut world = World {
        a: node(A),
        b: node(B),
        log: Vec::new(),
        up: true,
        link,
        created: false,
        ask: None,
        table: None,
        runs: [0, 0],
        left: limits,
    };
    if limits.untimed {
        world.note_first_process();
    }
    world.note_links();
    world
}

impl World {
    /// Lets both hosts read the home's first record.
    fn note_first_process(&mut self) {
        let (hello, time) = (self.a.empty_claim(), self.time());
        for node in [&mut self.a, &mut self.b] {
            node.mark_read_from_start();
            node.observe(Offset(0), &hello, time);
        }
        self.log.push(hello);
    }

    /// Returns the key that is older than every event.
    fn old(&self) -> KeyId {
        if self.left.untimed { UNTIMED } else { OLD }
    }

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
        self.a.set_log_reachable(a);
        self.b.set_log_reachable(b);
    }

    /// Returns the keys worth sending: after one was accepted, only that one can run twice, and
    /// rows of different keys do not touch each other.
    fn keys(&self) -> Vec<KeyId> {
        let old = self.old();
        let busy = |key: KeyId| self.runs[usize::from(key == NEW)] > 0 || self.a.is_claiming(key);
        match (self.created, busy(old), busy(NEW)) {
            (false, ..) | (_, true, _) => vec![old],
            (_, _, true) => vec![NEW],
            _ => vec![old, NEW],
        }
    }

    /// A request reaches a host, by way of any entry.
    fn send(&self, id: HostId, key: KeyId) -> Option<Self> {
        let mut next = self.clone();
        let time = next.time();
        let role = match id {
            A => Role::Home { successor: Some(B) },
            _ => Role::Successor { home: A },
        };
        match next.node(id).begin(KeyedRequest { key, body: 0, role }, time) {
            RunDecision::Run => next.runs[usize::from(key == NEW)] += 1,
            RunDecision::Claim => {}
            RunDecision::Wait | RunDecision::Replay(_) | RunDecision::Refuse(_) => return None,
        }
        Some(next)
    }

    fn append(&self, record: Record) -> Self {
        let mut next = self.clone();
        next.log.push(record);
        next
    }

    /// A host reads one record further.
    fn observe(&self, id: HostId) -> Option<Self> {
        let mut next = self.clone();
        let (at, time) = (next.node(id).position(), next.time());
        let record = self.log.get(at.0 as usize)?;
        let actions = next.node(id).observe(at, record, time);
        if at.next().0 as usize == next.log.len() {
            next.node(id).mark_caught_up();
        }
        for action in actions {
            if let Action::Run(key) = action {
                next.runs[usize::from(key == NEW)] += 1;
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
        if self.left.untimed {
            node.mark_read_from_start();
        }
        *next.node(id) = node;
        if id == A {
            next.ask = None;
        }
        next.note_links();
        if next.log.is_empty() && next.reaches(id) {
            next.node(id).mark_caught_up();
        }
        next
    }

    fn tick(&self) -> Self {
        let mut next = self.clone();
        next.a.rebase(TICK);
        next.b.rebase(TICK);
        next.ask = next.ask.map(|(process, read, sent)| (process, read, sent - TICK));
        next
    }

    fn answer_ask(&self) -> Option<Self> {
        let (incarnation, read, sent) = self.ask?;
        let mut next = self.clone();
        next.ask = None;
        if next.b.promise(A, incarnation, read, NOW).is_ok() {
            next.a.record_promise(B, sent);
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
        if self.left.cuts > 0 {
            let cut = |up: bool, link: bool| {
                let mut next = Self { up, link, ..self.clone() };
                next.left.cuts -= 1;
                next.note_links();
                next
            };
            out.push(("log toggles", cut(!self.up, self.link)));
            out.push(("link of A to the log toggles", cut(self.up, !self.link)));
        }
        if !self.created {
            out.push(("new key is created", Self { created: true, ..self.clone() }));
        }
        if self.left.home_restarts > 0 {
            let mut next = self.restart(A, guards);
            next.left.home_restarts -= 1;
            out.push(("A restarts", next));
        }
        if self.left.successor_restarts > 0 {
            let mut next = self.restart(B, guards);
            next.left.successor_restarts -= 1;
            out.push(("B restarts", next));
        }
        out.push(("time passes", self.tick()));
    }

    fn key_steps(&self, out: &mut Vec<(Step, Self)>) {
        for key in self.keys() {
            let names = if key == self.old() {
                ["A accepts old", "B accepts old"]
            } else {
                ["A accepts new", "B accepts new"]
            };
            for (host, name) in [A, B].into_iter().zip(names) {
                out.extend(self.send(host, key).map(|n| (name, n)));
            }
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
        if self.left.takeovers > 0 {
            let mut next = self.clone();
            next.left.takeovers -= 1;
            if let Some(record) = next.b.take_over(A, NOW) {
                out.push(("B appends takeover", next.append(record)));
            }
        }
    }

    fn promise_steps(&self, out: &mut Vec<(Step, Self)>) {
        if self.ask.is_none() && !self.a.is_log_reachable() && self.a.promised_until(B).is_none() {
            let ask = Some((self.a.incarnation(), self.a.position(), NOW));
            out.push(("A asks for a promise", Self { ask, ..self.clone() }));
        }
        out.extend(self.answer_ask().map(|n| ("B answers the question", n)));
    }

    fn move_steps(&self, out: &mut Vec<(Step, Self)>) {
        if self.left.handovers > 0 {
            let mut next = self.clone();
            next.left.handovers -= 1;
            if let Some(table) = next.a.hand_over(B) {
                next.table = Some(table);
                out.push(("A hands over", next));
            }
        }
        if let Some(table) = self.table.clone() {
            let mut next = Self { table: None, ..self.clone() };
            next.b.receive_handover(table);
            out.push(("B receives the table", next));
        }
        if self.left.returns > 0 && self.reaches(B) {
            let mut next = self.clone();
            next.left.returns -= 1;
            if let Some((table, record)) = next.b.return_keys(A) {
                next.a.receive_return(table);
                out.push(("B gives back", next.append(record)));
            }
        }
    }
}

/// Visits every reachable state within the limits, breadth first, until a key has run twice.
///
/// The home starts with or without its link to the log.
pub fn explore(guards: Guards, limits: Limits) -> Exploration {
    let firsts = [true, false].map(|link| start(guards, limits, link));
    let steps = |world: &World, out: &mut Vec<(Step, World)>| world.steps(guards, out);
    search(firsts, steps, |world| world.runs.iter().any(|n| *n > 1))
}
