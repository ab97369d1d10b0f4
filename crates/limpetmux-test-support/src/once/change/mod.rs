//! Exploration of a change of the declared hosts that reaches three hosts at different times: the
//! old home, its successor and a new host.

mod state;

use super::{Exploration, Step, search};
use limpetmux::core::once::{
    Declared, DeclaredHost, Guards, HostId, Incarnation, KeyId, KeyTime, Node, Pair, Rules, Time,
};
use limpetmux::core::revision::Revision;
use limpetmux::core::time::Moment;
use state::State;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A change of the declared hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// The new host becomes the home; the successor stays.
    NewHome,
    /// The new host becomes the home and the old home its successor.
    HomeBecomesSuccessor,
    /// The new host becomes the successor; the home stays.
    NewSuccessor,
    /// The old home is removed; its successor becomes the home and the new host the successor.
    HomeRemoved,
}

impl Change {
    /// All changes.
    pub const ALL: [Self; 4] =
        [Self::NewHome, Self::HomeBecomesSuccessor, Self::NewSuccessor, Self::HomeRemoved];
}

/// How often each rare step may happen in one exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Changes of a host's link to the log.
    pub link_changes: u8,
    /// Restarts, each with the view from before or after the change.
    pub restarts: u8,
    /// Takeover records.
    pub takeovers: u8,
}

impl Limits {
    /// No rare step, so that links keep their initial state; for the test suite.
    pub const STALE: Self = Self { link_changes: 0, restarts: 0, takeovers: 0 };
    /// One change of a link.
    pub const PARTITION: Self = Self { link_changes: 1, restarts: 0, takeovers: 0 };
    /// A restart and one change of a link.
    pub const RESTART_AND_CUT: Self = Self { link_changes: 1, restarts: 1, takeovers: 0 };
    /// A restart.
    pub const RESTART: Self = Self { link_changes: 0, restarts: 1, takeovers: 0 };
    /// A takeover.
    pub const TAKEOVER: Self = Self { link_changes: 0, restarts: 0, takeovers: 1 };
    /// Larger limits, for `cargo run -p xtask -- explore`.
    pub const LARGE: [Self; 3] = [
        Self { link_changes: 2, ..Self::PARTITION },
        Self::RESTART_AND_CUT,
        Self { link_changes: 1, ..Self::TAKEOVER },
    ];
}

/// The initial state of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InitialState {
    /// The host that has declared the change, if any, and whether it has read its own declaration
    /// from the log.
    pub declared: Option<(usize, bool)>,
    /// Hosts that cannot reach the log: 0 is the old home and 1 its successor.
    pub cut: &'static [usize],
}

impl InitialState {
    /// No host has declared the change; the old home, or it and its successor, may be unable to
    /// reach the log.
    pub const USUAL: [Self; 3] = [Self::cut(&[]), Self::cut(&[0]), Self::cut(&[0, 1])];
    /// The old home and its successor cannot reach the log; the successor has declared the change.
    pub const SUCCESSOR_DECLARED: [Self; 1] = [Self { declared: Some((1, true)), cut: &[0, 1] }];
    /// The old home and its successor cannot reach the log; the old home has appended a declaration
    /// that it has not read.
    pub const HOME_DECLARES: [Self; 1] = [Self { declared: Some((0, false)), cut: &[0, 1] }];
    /// The successor cannot reach the log, and the old home has declared the change.
    pub const HOME_DECLARED: [Self; 1] = [Self { declared: Some((0, true)), cut: &[1] }];

    const fn cut(cut: &'static [usize]) -> Self {
        Self { declared: None, cut }
    }
}

const TICK: Duration = Duration::from_secs(1);
/// The fixed time of the clock; a tick moves every stored moment back instead.
const NOW: Moment = Moment::from_millis(1_000);
/// The old home, its successor and the new host, as indices of the nodes.
const HOSTS: [usize; 3] = [0, 1, 2];
const NAMES: [&str; 3] = ["a", "b", "c"];

/// The constants of one exploration.
struct Scenario {
    guards: Guards,
    /// The key, which is created before the first step or in a step.
    key: KeyId,
    /// The hosts declared before and after the change.
    hosts: [Arc<Declared>; 2],
}

impl Scenario {
    fn new(guards: Guards, change: Change, untimed: bool) -> Self {
        let (a, b) = (("a", "x"), ("b", "y"));
        let (after, pair): (&[(&str, &str)], _) = match change {
            Change::NewHome => (&[a, b, ("c", "x")], ("c", "b")),
            Change::HomeBecomesSuccessor => (&[a, b, ("c", "y")], ("c", "a")),
            Change::NewSuccessor => (&[a, b, ("c", "y")], ("a", "c")),
            Change::HomeRemoved => (&[b, ("c", "x")], ("b", "c")),
        };
        let hosts = [declared(1, &[a, b]), declared(2, after)];
        let pairs = [("a", "b"), pair].map(|(home, successor)| {
            Some(Pair { home: HostId::of(home), successor: Some(HostId::of(successor)) })
        });
        let has_pairs = |key: &KeyId| [0, 1].map(|i: usize| hosts[i].pair(*key)) == pairs;
        let time = (!untimed).then_some(KeyTime(20));
        let mut keys = (0..).map(|digest| KeyId::from_digest(digest, time));
        let key = keys.find(has_pairs).unwrap();
        Self { guards, key, hosts: hosts.map(Arc::new) }
    }

    fn start(&self, start: InitialState) -> State {
        let time = Time { now: NOW, wall: KeyTime(5) };
        let nodes = HOSTS.map(|i| {
            let mut node = self.node(i, 0, time);
            node.rebase(TICK);
            Rc::new(node)
        });
        let mut state = State {
            links: HOSTS.map(|i| !start.cut.contains(&i)),
            changed: [false; 3],
            created: false,
            runs: 0,
            remaining: Limits { link_changes: 0, restarts: 0, takeovers: 0 },
            promise_request: None,
            log: Vec::new(),
            nodes,
        };
        for i in [0, 1] {
            let node = state.node(i);
            node.set_log_reachable(true);
            node.mark_caught_up();
            let record = node.declare(&self.hosts[0], NOW).unwrap();
            state.log.push(Rc::new(record));
        }
        for i in HOSTS {
            while let Some(next) = state.observe(i) {
                state = next;
            }
        }
        if let Some((host, read)) = start.declared {
            state = state.declare_change(self, host, read);
        }
        state.update_links();
        state
    }

    fn node(&self, host: usize, incarnation: u64, time: Time) -> Node {
        let id = HostId::of(NAMES[host]);
        let mut node = Node::new(id, Incarnation(incarnation), rules(), self.guards, time);
        node.mark_read_from_start();
        node
    }
}

fn declared(revision: u64, hosts: &[(&str, &str)]) -> Declared {
    let host = |(n, z): &(&str, &str)| DeclaredHost { name: (*n).into(), zone: (*z).into() };
    let hosts = hosts.iter().map(host).collect();
    Declared { group: 1, revision: Revision(revision), hosts }
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

/// Visits every reachable state within the limits, breadth first, until the key has run twice.
///
/// The key is created before the first step or at any later one.
pub fn explore(
    guards: Guards,
    change: Change,
    starts: &[InitialState],
    limits: Limits,
    untimed: bool,
) -> Exploration {
    let scenario = Scenario::new(guards, change, untimed);
    let initial = starts.iter().flat_map(|start| {
        let state = State { remaining: limits, ..scenario.start(*start) };
        [State { created: true, ..state.clone() }, state]
    });
    let steps = |state: &State, out: &mut Vec<(Step, State)>| state.steps(&scenario, out);
    search(initial, steps, |state| state.runs > 1)
}
