//! Many nodes share the limits that backend servers name, without network.

use super::{arc, at, ms};
use arbtest::arbitrary::{Result, Unstructured};
use limpetmux::core::quota::{EqualParts, Grant, Quotas, RatePart};
use limpetmux::core::server_limits::RequestRate;
use limpetmux::core::server_notices::Incarnation;
use limpetmux::core::time::Moment;
use std::time::Duration;

/// The step of the simulation in milliseconds.
const STEP: u64 = 10;
/// The window in which requests are counted, in milliseconds.
const WINDOW: u64 = 4_000;
/// The longest time in which two nodes both find themselves to be the one that grants.
const MAX_OVERLAP: u64 = 1_500;

fn server() -> Incarnation {
    Incarnation { id: arc("i-1"), started_ms: 1 }
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

/// Which nodes have requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    Even,
    /// All requests arrive at one node.
    OneNode,
    /// All requests arrive at one node, which changes every second.
    Moving,
}

/// A small generator of numbers, so that a case is replayed by its seed.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.0 >> 33
    }

    fn below(&mut self, end: u64) -> u64 {
        self.next() % end.max(1)
    }

    fn chance(&mut self, part: f64) -> bool {
        (self.next() as f64) < part * (1_u64 << 31) as f64
    }
}

/// One deployment that sends to one limited server.
struct Fleet {
    limit: f64,
    nodes: usize,
    load: Load,
    /// Requests per second for the server, of all nodes together.
    demand: f64,
    /// The most milliseconds between a grant and the arrival of its request.
    delay: u64,
    /// When another node begins to grant, and how long both do.
    handover: Option<(u64, u64)>,
    /// From when to when a part of the nodes reaches no node that grants.
    outage: Option<(u64, u64, f64)>,
    /// Whether each node only uses its equal part of the whole limit.
    equal_parts: bool,
}

impl Fleet {
    fn new(limit: f64, nodes: usize, load: Load) -> Self {
        Self {
            limit,
            nodes,
            load,
            demand: limit * 3.0,
            delay: 20,
            handover: None,
            outage: None,
            equal_parts: false,
        }
    }

    /// Returns when requests arrive at the server, in milliseconds.
    fn arrivals(&self, seed: u64, time: u64) -> Vec<u64> {
        let mut draws = Draws(seed);
        let mut granters = [Quotas::default(), Quotas::default()];
        let mut parts: Vec<EqualParts> = vec![EqualParts::default(); self.nodes];
        let mut denied: Vec<Moment> = vec![Moment::ZERO; self.nodes];
        let mut arrivals = Vec::new();
        for now in (0..time).step_by(STEP as usize) {
            let expected = self.demand * STEP as f64 / 1_000.0;
            let wanted = expected as u64 + u64::from(draws.chance(expected.fract()));
            for _ in 0..wanted {
                let node = self.node(now, &mut draws);
                if denied[node] > at(now) {
                    continue;
                }
                match self.take(now, node, &mut draws, &mut granters, &mut parts[node]) {
                    Grant::Given(wait) => {
                        let wait = u64::try_from(wait.as_millis()).expect("a short wait");
                        arrivals.push(now + wait + draws.below(self.delay + 1));
                    }
                    Grant::Denied(opens_in) => denied[node] = at(now) + opens_in,
                }
            }
        }
        arrivals.sort_unstable();
        arrivals
    }

    fn node(&self, now: u64, draws: &mut Draws) -> usize {
        let nodes = self.nodes as u64;
        let node = match self.load {
            Load::Even => draws.below(nodes),
            Load::OneNode => 0,
            Load::Moving => now / 1_000 % nodes,
        };
        node as usize
    }

    fn take(
        &self,
        now: u64,
        node: usize,
        draws: &mut Draws,
        granters: &mut [Quotas; 2],
        parts: &mut EqualParts,
    ) -> Grant {
        let phase = draws.below(1_000) as f64 / 1_000.0;
        if self.equal_parts {
            // The fallback uses a quarter of the rate that it is given.
            let part = RatePart { rate: rate(self.limit * 4.0), nodes: self.nodes, phase };
            return parts.take(at(now), &server(), part, Duration::ZERO);
        }
        let limit = rate(self.limit);
        let is_cut = |(from, until, part): (u64, u64, f64)| {
            (from..until).contains(&now) && (node as f64) < part * self.nodes as f64
        };
        if self.outage.is_some_and(is_cut) {
            let part = RatePart { rate: limit, nodes: self.nodes, phase };
            return parts.take(at(now), &server(), part, Duration::ZERO);
        }
        let granter = match self.handover {
            Some((from, overlap)) if now >= from + overlap => 1,
            Some((from, _)) if now >= from => node % 2,
            _ => 0,
        };
        granters[granter].take(at(now), &server(), limit, ms(draws.below(300)))
    }
}

/// Returns the most arrivals in a window.
fn most_in_window(arrivals: &[u64]) -> usize {
    let in_window = |end: usize| {
        arrivals[..=end].iter().rev().take_while(|a| *a + WINDOW > arrivals[end]).count()
    };
    (0..arrivals.len()).map(in_window).max().unwrap_or_default()
}

fn allowed(limit: f64) -> usize {
    (limit * WINDOW as f64 / 1_000.0 * 1.5 + 5.0) as usize
}

fn draw_fleet(u: &mut Unstructured<'_>) -> Result<Fleet> {
    let limits = [0.05, 0.3, 1.0, 2.5, 7.0, 20.0, 60.0, 200.0];
    let limit = *u.choose(&limits)?;
    let load = *u.choose(&[Load::Even, Load::OneNode, Load::Moving])?;
    let mut fleet = Fleet::new(limit, u.int_in_range(1..=300)?, load);
    fleet.demand = limit * f64::from(u.int_in_range(1..=50_u32)?) / 5.0;
    fleet.delay = u.int_in_range(0..=250)?;
    let from = u.int_in_range(0..=20_000)?;
    match u.int_in_range(0..=2)? {
        0 => fleet.handover = Some((from, u.int_in_range(0..=MAX_OVERLAP)?)),
        1 => fleet.outage = Some((from, from + u.int_in_range(0..=15_000)?, 1.0)),
        _ => {}
    }
    Ok(fleet)
}

#[test]
fn limit_holds_in_every_window_whatever_the_nodes_do() {
    // Guards against more requests than a limit allows, summed over 1 to 300 nodes, while the node that
    // grants changes or cannot be reached (rule LIMIT).
    arbtest::arbtest(|u| {
        let fleet = draw_fleet(u)?;
        let seed = u.arbitrary()?;
        let most = most_in_window(&fleet.arrivals(seed, 30_000));
        let allowed = allowed(fleet.limit);
        assert!(most <= allowed, "{most} of {allowed} at {} by {}", fleet.limit, fleet.nodes);
        Ok(())
    })
    .budget_ms(4_000);
}

/// Returns the part of a limit that is used.
fn utilisation(fleet: &Fleet) -> f64 {
    let time = 60_000;
    fleet.arrivals(7, time).len() as f64 / (fleet.limit * time as f64 / 1_000.0)
}

#[test]
fn nine_tenths_of_a_limit_are_used_wherever_the_load_arrives() {
    // Guards against parts of nodes without load that are lost to those with load.
    for load in [Load::Even, Load::OneNode, Load::Moving] {
        for (limit, nodes) in [(1.0, 5), (1.0, 30), (20.0, 30), (200.0, 300)] {
            let fleet = Fleet::new(limit, nodes, load);
            let used = utilisation(&fleet);
            assert!(used >= 0.9, "{used} of {limit} by {nodes} nodes, {load:?}");
        }
    }
}

#[test]
fn equal_parts_alone_would_waste_the_limit_of_a_load_at_one_node() {
    // Shows what the grants are for: the same load by equal parts alone.
    let fleet = Fleet { equal_parts: true, ..Fleet::new(20.0, 30, Load::OneNode) };

    let used = utilisation(&fleet);

    assert!(used < 0.1, "{used}");
}

#[test]
fn fallen_limit_holds_at_once() {
    // Guards against a full bucket of the former limit that is spent under the new one.
    let mut quotas = Quotas::default();
    while quotas.take(at(0), &server(), rate(20.0), ms(0)) != Grant::Denied(ms(50)) {}
    quotas.opens_in(at(10_000), &server(), rate(20.0));

    let given = (0..100).filter(|n| {
        let grant = quotas.take(at(10_000 + n * STEP), &server(), rate(2.0), ms(0));
        matches!(grant, Grant::Given(_))
    });

    // What the smaller bucket holds, and what a second brings.
    assert_eq!(given.count(), 4);
}
