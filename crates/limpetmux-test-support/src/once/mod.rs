//! Exhaustive exploration of the at-most-once protocol: small models of hosts and a log, and a
//! breadth-first search over their states for a key that runs twice.

pub mod change;
pub mod pair;

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// The result of an exploration.
#[derive(Debug)]
pub struct Exploration {
    /// The number of distinct states visited.
    pub states: usize,
    /// The steps that lead to a double run, if there is one.
    pub path: Option<String>,
}

/// A step's name, static to keep traces small.
type Step = &'static str;

/// The step that led to a visited state, and the trace of the state before it.
struct Trace {
    step: Step,
    previous: Option<Rc<Trace>>,
}

fn describe(mut trace: &Rc<Trace>) -> String {
    let mut steps = Vec::new();
    loop {
        steps.push(trace.step);
        match &trace.previous {
            Some(previous) => trace = previous,
            None => break,
        }
    }
    steps.reverse();
    steps.join("; ")
}

/// Identifies a state. With 64 bits, two of a million states collide with a probability of about
/// 1e-8.
fn fingerprint(state: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Visits every state that is reachable from the initial ones, until one has a double run.
fn search<S: Hash>(
    initial: impl IntoIterator<Item = S>,
    steps: impl Fn(&S, &mut Vec<(Step, S)>),
    has_double_run: impl Fn(&S) -> bool,
) -> Exploration {
    let root = Rc::new(Trace { step: "start", previous: None });
    let mut queue: VecDeque<(S, Rc<Trace>)> =
        initial.into_iter().map(|state| (state, Rc::clone(&root))).collect();
    let mut seen: BTreeSet<u64> = queue.iter().map(|(state, _)| fingerprint(state)).collect();
    let mut next_states = Vec::new();
    while let Some((state, trace)) = queue.pop_front() {
        steps(&state, &mut next_states);
        for (step, state) in next_states.drain(..) {
            if !seen.insert(fingerprint(&state)) {
                continue;
            }
            let trace = Rc::new(Trace { step, previous: Some(Rc::clone(&trace)) });
            if has_double_run(&state) {
                return Exploration { states: seen.len(), path: Some(describe(&trace)) };
            }
            queue.push_back((state, trace));
        }
    }
    Exploration { states: seen.len(), path: None }
}
