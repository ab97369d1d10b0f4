//! Exploration of a home, its successor, a log and two keys.

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
    /// Changes of the log's availability and of the link between the home and the log.
    pub reachability_changes: u8,
    /// Restarts of the home.
    pub home_restarts: u8,
    /// Restarts of the successor.
    pub successor_restarts: u8,
    /// Handovers of the home's table.
    pub handovers: u8,
    /// Returns of keys by the successor.
    pub returns: u8,
    /// Takeover records.
    pub takeovers: u8,
    /// Whether the old key has no time and the log holds a record of the home's first process.
    pub untimed: bool,
}

impl Limits {
    /// Log outages, broken links and a restart of the home.
    pub const HOME_RESTARTS: Self = Self {
        reachability_changes: 2,
        home_restarts: 1,
        successor_restarts: 0,
        handovers: 0,
        returns: 0,
        takeovers: 1,
        untimed: false,
    };
    /// Log outages, broken links and a restart of the successor.
    pub const SUCCESSOR_RESTARTS: Self =
        Self { home_restarts: 0, successor_restarts: 1, ..Self::HOME_RESTARTS };
    /// A handover of the home's table, with an outage or a broken link and a restart of the home.
    pub const HANDOVER: Self =
        Self { reachability_changes: 1, handovers: 1, ..Self::HOME_RESTARTS };
    /// A return of keys to the home, with an outage or a broken link and a restart of the home.
    pub const RETURN: Self = Self { reachability_changes: 1, returns: 1, ..Self::HOME_RESTARTS };
    /// A key without a time, with outages, broken links and a restart of the home.
    pub const UNTIMED_HOME: Self = Self { untimed: true, ..Self::HOME_RESTARTS };
    /// A key without a time, with outages, broken links and a restart of the successor.
    pub const UNTIMED_SUCCESSOR: Self = Self { untimed: true, ..Self::SUCCESSOR_RESTARTS };
    /// A key without a time during a handover.
    pub const UNTIMED_HANDOVER: Self = Self { untimed: true, ..Self::HANDOVER };
    /// A key without a time during a return of keys.
    pub const UNTIMED_RETURN: Self = Self { untimed: true, ..Self::RETURN };
    /// A key without a time, a handover and a return, for `cargo run -p xtask -- explore`.
    pub const UNTIMED_MOVES: Self = Self { untimed: true, ..Self::MOVES };
    /// A handover whose table may arrive after a return of the keys, and a second takeover.
    pub const LATE_TABLE: Self = Self {
        reachability_changes: 0,
        home_restarts: 0,
        handovers: 1,
        returns: 1,
        takeovers: 2,
        ..Self::HOME_RESTARTS
    };
    /// A handover and a return in one exploration, for `cargo run -p xtask -- explore`.
    pub const MOVES: Self = Self { returns: 1, ..Self::HANDOVER };
}

const A: HostId = HostId(1);
const B: HostId = HostId(2);
const TICK: Duration = Duration::from_secs(1);
/// The fixed time of the clock; a tick moves every stored moment back instead.
///
/// One tick above zero, so that past moments soon saturate at zero and become equal.
const NOW: Moment = Moment::from_millis(1_000);
const OLD: KeyId = KeyId::from_digest(0, Some(KeyTime(10)));
const UNTIMED: KeyId = KeyId::from_digest(0, None);
const NEW: KeyId = KeyId::from_digest(1, Some(KeyTime(20)));

#[derive(Clone, Hash)]
struct State {
    log_up: bool,
    /// Whether the home reaches the log while it is up.
    home_link: bool,
    /// Whether the new key exists.
    created: bool,
    /// How often each key was accepted. An accepted run counts as run, since its dispatch may
    /// follow after any delay.
    runs: [u8; 2],
    /// The rare steps that may still happen.
    remaining: Limits,
    /// A request for a promise in transit: the home's process, its log position and the time sent.
    promise_request: Option<(Incarnation, Offset, Moment)>,
    /// A handover of the home's table in transit.
    handover: Option<Handover>,
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

fn start(guards: Guards, limits: Limits, home_link: bool) -> State {
    let time = Time { now: NOW, wall: KeyTime(5) };
    let node = |id| {
        let mut node = Node::new(id, Incarnation(0), rules(), guards, time);
        node.set_log_reachable(true);
        node.mark_caught_up();
        node.rebase(TICK);
        node
    };
    let mut state = State {
        a: node(A),
        b: node(B),
        log: Vec::new(),
        log_up: true,
        home_link,
        created: false,
        promise_request: None,
        handover: None,
        runs: [0, 0],
        remaining: limits,
    };
    if limits.untimed {
        state.observe_first_process();
    }
    state.update_links();
    state
}

impl State {
    /// Lets both hosts read a record of the home's first process.
    fn observe_first_process(&mut self) {
        let (claim, time) = (self.a.empty_claim(), self.time());
        for node in [&mut self.a, &mut self.b] {
            node.mark_read_from_start();
            node.observe(Offset(0), &claim, time);
        }
        self.log.push(claim);
    }

    /// Returns the key that was created before the first step.
    fn old_key(&self) -> KeyId {
        if self.remaining.untimed { UNTIMED } else { OLD }
    }

    fn time(&self) -> Time {
        Time { now: NOW, wall: KeyTime(if self.created { 25 } else { 15 }) }
    }

    fn node(&mut self, id: HostId) -> &mut Node {
        if id == A { &mut self.a } else { &mut self.b }
    }

    fn reaches(&self, id: HostId) -> bool {
        self.log_up && (id == B || self.home_link)
    }

    fn update_links(&mut self) {
        let (a, b) = (self.reaches(A), self.reaches(B));
        self.a.set_log_reachable(a);
        self.b.set_log_reachable(b);
    }

    /// Returns the keys to send. After one was accepted, only that one can run twice, since rows of
    /// different keys are independent.
    fn keys(&self) -> Vec<KeyId> {
        let old = self.old_key();
        let is_active =
            |key: KeyId| self.runs[usize::from(key == NEW)] > 0 || self.a.is_claiming(key);
        match (self.created, is_active(old), is_active(NEW)) {
            (false, ..) | (_, true, _) => vec![old],
            (_, _, true) => vec![NEW],
            _ => vec![old, NEW],
        }
    }

    /// Delivers a request to a host, through any entry.
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

    /// Lets a host read its next log record.
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
            // A never takes over, so its quiet period has no effect.
            node.rebase(TICK);
        }
        if self.remaining.untimed {
            node.mark_read_from_start();
        }
        *next.node(id) = node;
        if id == A {
            next.promise_request = None;
        }
        next.update_links();
        if next.log.is_empty() && next.reaches(id) {
            next.node(id).mark_caught_up();
        }
        next
    }

    fn advance_clock(&self) -> Self {
        let mut next = self.clone();
        next.a.rebase(TICK);
        next.b.rebase(TICK);
        next.promise_request =
            next.promise_request.map(|(process, read, sent)| (process, read, sent - TICK));
        next
    }

    fn answer_promise_request(&self) -> Option<Self> {
        let (incarnation, read, sent) = self.promise_request?;
        let mut next = self.clone();
        next.promise_request = None;
        if next.b.promise(A, incarnation, read, NOW).is_ok() {
            next.a.record_promise(B, sent);
        }
        Some(next)
    }

    fn steps(&self, guards: Guards, out: &mut Vec<(Step, Self)>) {
        self.environment_steps(guards, out);
        self.key_steps(out);
        self.log_steps(out);
        self.promise_steps(out);
        self.move_steps(out);
    }

    fn environment_steps(&self, guards: Guards, out: &mut Vec<(Step, Self)>) {
        if self.remaining.reachability_changes > 0 {
            let set_links = |log_up: bool, home_link: bool| {
                let mut next = Self { log_up, home_link, ..self.clone() };
                next.remaining.reachability_changes -= 1;
                next.update_links();
                next
            };
            out.push(("log goes down or up", set_links(!self.log_up, self.home_link)));
            out.push((
                "link of A to the log breaks or recovers",
                set_links(self.log_up, !self.home_link),
            ));
        }
        if !self.created {
            out.push(("new key is created", Self { created: true, ..self.clone() }));
        }
        if self.remaining.home_restarts > 0 {
            let mut next = self.restart(A, guards);
            next.remaining.home_restarts -= 1;
            out.push(("A restarts", next));
        }
        if self.remaining.successor_restarts > 0 {
            let mut next = self.restart(B, guards);
            next.remaining.successor_restarts -= 1;
            out.push(("B restarts", next));
        }
        out.push(("time passes", self.advance_clock()));
    }

    fn key_steps(&self, out: &mut Vec<(Step, Self)>) {
        for key in self.keys() {
            let names = if key == self.old_key() {
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
        if self.remaining.takeovers > 0 {
            let mut next = self.clone();
            next.remaining.takeovers -= 1;
            if let Some(record) = next.b.take_over(A, NOW) {
                out.push(("B appends takeover", next.append(record)));
            }
        }
    }

    fn promise_steps(&self, out: &mut Vec<(Step, Self)>) {
        if self.promise_request.is_none()
            && !self.a.is_log_reachable()
            && self.a.promised_until(B).is_none()
        {
            let promise_request = Some((self.a.incarnation(), self.a.position(), NOW));
            out.push(("A requests a promise", Self { promise_request, ..self.clone() }));
        }
        out.extend(self.answer_promise_request().map(|n| ("B answers the promise request", n)));
    }

    fn move_steps(&self, out: &mut Vec<(Step, Self)>) {
        if self.remaining.handovers > 0 {
            let mut next = self.clone();
            next.remaining.handovers -= 1;
            if let Some(handover) = next.a.hand_over(B) {
                next.handover = Some(handover);
                out.push(("A hands over", next));
            }
        }
        if let Some(handover) = self.handover.clone() {
            let mut next = Self { handover: None, ..self.clone() };
            next.b.receive_handover(handover);
            out.push(("B receives the handover", next));
        }
        if self.remaining.returns > 0 && self.reaches(B) {
            let mut next = self.clone();
            next.remaining.returns -= 1;
            if let Some((handover, record)) = next.b.return_keys(A) {
                next.a.receive_return(handover);
                out.push(("B returns keys", next.append(record)));
            }
        }
    }
}

/// Visits every reachable state within the limits, breadth first, until a key has run twice.
///
/// Explores starts with and without the home's link to the log.
pub fn explore(guards: Guards, limits: Limits) -> Exploration {
    let initial = [true, false].map(|home_link| start(guards, limits, home_link));
    let steps = |state: &State, out: &mut Vec<(Step, State)>| state.steps(guards, out);
    search(initial, steps, |state| state.runs.iter().any(|n| *n > 1))
}
