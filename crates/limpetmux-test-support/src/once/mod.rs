//! Explorations of the at-most-once protocol: small worlds and a breadth-first search over their
//! steps.

pub mod change;
pub mod pair;

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// What an exploration found.
#[derive(Debug)]
pub struct Exploration {
    /// The number of different states.
    pub states: usize,
    /// The steps to a double run, if there is one.
    pub path: Option<String>,
}

/// A step's name, interned to keep paths small.
type Step = &'static str;

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

/// Identifies a state; 64 bits leave a chance of about 1e-8 that two of a million states collide.
fn fingerprint(world: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

/// Visits every state that can be reached from the first ones, until one is a double run.
fn search<W: Hash>(
    firsts: impl IntoIterator<Item = W>,
    steps: impl Fn(&W, &mut Vec<(Step, W)>),
    is_double: impl Fn(&W) -> bool,
) -> Exploration {
    let root = Rc::new(Trace { step: "start", before: None });
    let mut queue: VecDeque<(W, Rc<Trace>)> =
        firsts.into_iter().map(|world| (world, Rc::clone(&root))).collect();
    let mut seen: BTreeSet<u64> = queue.iter().map(|(world, _)| fingerprint(world)).collect();
    let mut next = Vec::new();
    while let Some((world, trace)) = queue.pop_front() {
        steps(&world, &mut next);
        for (step, world) in next.drain(..) {
            if !seen.insert(fingerprint(&world)) {
                continue;
            }
            let trace = Rc::new(Trace { step, before: Some(Rc::clone(&trace)) });
            if is_double(&world) {
                return Exploration { states: seen.len(), path: Some(describe(&trace)) };
            }
            queue.push_back((world, trace));
        }
    }
    Exploration { states: seen.len(), path: None }
}
