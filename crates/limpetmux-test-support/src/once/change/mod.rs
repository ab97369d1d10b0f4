//! A change of the declared hosts that reaches three hosts at different times: an old home, its
//! successor, and a host that comes.

mod world;

use super::{Exploration, Step, search};
use limpetmux::core::once::{
    Declared, DeclaredHost, Guards, HostId, Incarnation, KeyId, KeyTime, Node, Pair, Rules, Time,
};
use limpetmux::core::revision::Revision;
use limpetmux::core::time::Moment;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use world::World;

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
    /// Every change.
    pub const ALL: [Self; 4] =
        [Self::NewHome, Self::HomeBecomesSuccessor, Self::NewSuccessor, Self::HomeRemoved];
}

/// What happens in one exploration, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// How often a host's link to the log changes.
    pub cuts: u8,
    /// Restarts, each with the view before or after the change.
    pub restarts: u8,
    /// Takeover records.
    pub takeovers: u8,
}

impl Limits {
    /// Hosts that are cut off from the start, for the test suite.
    pub const STALE: Self = Self { cuts: 0, restarts: 0, takeovers: 0 };
    /// Hosts that are cut off from the start, one of which may come back or be cut off later.
    pub const PARTITION: Self = Self { cuts: 1, restarts: 0, takeovers: 0 };
    /// A restart, and a link that goes or comes back.
    pub const RESTART_AND_CUT: Self = Self { cuts: 1, restarts: 1, takeovers: 0 };
    /// Hosts that are cut off from the start, and a restart.
    pub const RESTART: Self = Self { cuts: 0, restarts: 1, takeovers: 0 };
    /// Hosts that are cut off from the start, and a takeover.
    pub const TAKEOVER: Self = Self { cuts: 0, restarts: 0, takeovers: 1 };
    /// More of each, for `cargo run -p xtask -- explore`.
    pub const LARGE: [Self; 3] = [
        Self { cuts: 2, ..Self::PARTITION },
        Self::RESTART_AND_CUT,
        Self { cuts: 1, ..Self::TAKEOVER },
    ];
}

/// What happened before an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// A host that has declared the change, and whether it has read that back.
    pub declared: Option<(usize, bool)>,
    /// Hosts that are cut off from the log, the old home being 0 and its successor 1.
    pub cut: &'static [usize],
}

impl Start {
    /// Nobody has declared the change; every link is up, or some hosts are cut off.
    pub const USUAL: [Self; 3] = [Self::cut(&[]), Self::cut(&[0]), Self::cut(&[0, 1])];
    /// The old home and its successor are cut off after the successor declared the change.
    pub const SUCCESSOR_DECLARED: [Self; 1] = [Self { declared: Some((1, true)), cut: &[0, 1] }];
    /// The same, after the old home sent a declaration that it has not read back.
    pub const HOME_DECLARES: [Self; 1] = [Self { declared: Some((0, false)), cut: &[0, 1] }];
    /// The successor is cut off, and the old home has declared the change.
    pub const HOME_DECLARED: [Self; 1] = [Self { declared: Some((0, true)), cut: &[1] }];

    const fn cut(cut: &'static [usize]) -> Self {
        Self { declared: None, cut }
    }
}

const TICK: Duration = Duration::from_secs(1);
/// The clock stands here; a tick moves every stored moment back instead.
const NOW: Moment = Moment::from_millis(1_000);
/// The old home, its successor and the new host, as positions among the nodes.
const HOSTS: [usize; 3] = [0, 1, 2];
const NAMES: [&str; 3] = ["a", "b", "c"];

/// What does not change within one exploration.
struct Scene {
    guards: Guards,
    /// The key, whose creation is a step or lies before the first one.
    key: KeyId,
    /// The hosts declared before and after the change.
    hosts: [Arc<Declared>; 2],
}

impl Scene {
    fn new(guards: Guards, change: Change, untimed: bool) -> Self {
        let (a, b) = (("a", "x"), ("b", "y"));
        let (after, pair): (&[(&str, &str)], _) = match change {
            Change::NewHome => (&[a, b, ("c", "x")], ("c", "b")),
            Change::HomeBecomesSuccessor => (&[a, b, ("c", "y")], ("c", "a")),
            Change::NewSuccessor => (&[a, b, ("c", "y")], ("a", "c")),
            Change::HomeRemoved => (&[b, ("c", "x")], ("b", "c")),
        };
        let hosts = [declared(1, &[a, b]), declared(2, after)];
        let wanted = [("a", "b"), pair].map(|(home, successor)| {
            Some(Pair { home: HostId::of(home), successor: Some(HostId::of(successor)) })
        });
        let fits = |key: &KeyId| [0, 1].map(|i: usize| hosts[i].pair(*key)) == wanted;
        let time = (!untimed).then_some(KeyTime(20));
        let mut keys = (0..).map(|digest| KeyId::from_digest(digest, time));
        let key = keys.find(fits).unwrap();
        Self { guards, key, hosts: hosts.map(Arc::new) }
    }

    fn start(&self, start: Start) -> World {
        let time = Time { now: NOW, wall: KeyTime(5) };
        let nodes = HOSTS.map(|i| {
            let mut node = self.node(i, 0, time);
            node.rebase(TICK);
            Rc::new(node)
        });
        let mut world = World {
            links: HOSTS.map(|i| !start.cut.contains(&i)),
            changed: [false; 3],
            created: false,
            runs: 0,
            left: Limits { cuts: 0, restarts: 0, takeovers: 0 },
            ask: None,
            log: Vec::new(),
            nodes,
        };
        for i in [0, 1] {
            let node = world.node(i);
            node.set_log_reachable(true);
            node.mark_caught_up();
            let record = node.declare(&self.hosts[0], NOW).unwrap();
            world.log.push(Rc::new(record));
        }
        for i in HOSTS {
            while let Some(next) = world.observe(i) {
                world = next;
            }
        }
        if let Some((host, read)) = start.declared {
            world = world.declare_change(self, host, read);
        }
        world.note_links();
        world
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
    starts: &[Start],
    limits: Limits,
    untimed: bool,
) -> Exploration {
    let scene = Scene::new(guards, change, untimed);
    let firsts = starts.iter().flat_map(|start| {
        let first = World { left: limits, ..scene.start(*start) };
        [World { created: true, ..first.clone() }, first]
    });
    let steps = |world: &World, out: &mut Vec<(Step, World)>| world.steps(&scene, out);
    search(firsts, steps, |world| world.runs > 1)
}
