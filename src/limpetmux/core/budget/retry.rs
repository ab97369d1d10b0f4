//! The bound on attempts beyond the first.

use super::super::admission::FlowId;
use crate::core::config::Name;
use crate::util::hash::hash_bytes;
use std::collections::BTreeMap;

/// Thousandths of an attempt that each fresh request earns.
const EARNED: u32 = 80;
/// The cost of one further attempt, in thousandths.
const ATTEMPT: u32 = 1_000;
/// The most that a budget holds, in thousandths of an attempt.
const CAP: u32 = 20_000;
/// What a budget holds at first, so that a quiet workspace can retry at all.
const INITIAL: u32 = 2_000;
/// The number of budgets from which on full ones are forgotten.
const BUDGETS_KEPT: usize = 4_096;

/// Whether a further attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The attempt is paid for.
    Allowed,
    /// The workspace or the pool has spent its budget.
    Spent,
}

/// Pays for retries and hedges out of a share of fresh requests, per workspace and per pool.
///
/// An attempt needs both budgets. The pool's budget bounds what all workspaces together add to a
/// pool that fails; the workspace's budget keeps one of them from spending it all.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    flows: BTreeMap<(FlowId, u64), u32>,
    pools: BTreeMap<u64, u32>,
}

impl RetryBudget {
    /// Creates a budget for an entry that has seen no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the first attempt at a stage of a fresh request.
    pub fn fresh(&mut self, workspace: FlowId, service: &Name) {
        let pool = pool_id(service);
        earn(self.flows.entry((workspace, pool)).or_insert(INITIAL));
        earn(self.pools.entry(pool).or_insert(INITIAL));
        if self.flows.len() > BUDGETS_KEPT {
            self.flows.retain(|_, left| *left < CAP);
        }
    }

    /// Pays for one further attempt, a retry or a hedge, if both budgets allow it.
    pub fn spend(&mut self, workspace: FlowId, service: &Name) -> Retry {
        let pool = pool_id(service);
        let flow = self.flows.entry((workspace, pool)).or_insert(INITIAL);
        let pool = self.pools.entry(pool).or_insert(INITIAL);
        if *flow < ATTEMPT || *pool < ATTEMPT {
            return Retry::Spent;
        }
        *flow -= ATTEMPT;
        *pool -= ATTEMPT;
        Retry::Allowed
    }
}

fn pool_id(service: &Name) -> u64 {
    hash_bytes(service.as_str().as_bytes())
}

fn earn(left: &mut u32) {
    *left = (*left + EARNED).min(CAP);
}
