//! The limit on attempts beyond the first.

use super::super::admission::FlowId;
use crate::core::config::Name;
use crate::util::hash::hash_bytes;
use std::collections::BTreeMap;

/// Thousandths of an attempt that each first attempt adds to a budget.
const EARNED_MILLIS: u32 = 80;
/// Cost of one further attempt, in thousandths of an attempt.
const ATTEMPT_MILLIS: u32 = 1_000;
/// Largest balance of a budget, in thousandths of an attempt.
const MAX_MILLIS: u32 = 20_000;
/// Initial balance of a budget, in thousandths of an attempt, so that a workspace with few requests
/// can retry at all.
const INITIAL_MILLIS: u32 = 2_000;
/// Number of workspace budgets above which full ones are removed.
const MAX_BUDGETS: usize = 4_096;

/// Whether a further attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The attempt is allowed and was charged to both budgets.
    Allowed,
    /// The budget of the workspace or the pool is used up.
    Spent,
}

/// Limits retries and hedges to a share of first attempts, per workspace and per pool.
///
/// An attempt is charged to both budgets. The pool's budget limits the load that all workspaces
/// together add to a failing pool; the workspace's budget keeps one workspace from using it up.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    flows: BTreeMap<(FlowId, u64), u32>,
    pools: BTreeMap<u64, u32>,
}

impl RetryBudget {
    /// Creates budgets without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the first attempt of a request at a stage.
    pub fn count_first(&mut self, workspace: FlowId, service: &Name) {
        let pool = pool_id(service);
        earn(self.flows.entry((workspace, pool)).or_insert(INITIAL_MILLIS));
        earn(self.pools.entry(pool).or_insert(INITIAL_MILLIS));
        if self.flows.len() > MAX_BUDGETS {
            self.flows.retain(|_, balance| *balance < MAX_MILLIS);
        }
    }

    /// Charges one further attempt, a retry or a hedge, if both budgets allow it.
    pub fn spend(&mut self, workspace: FlowId, service: &Name) -> Retry {
        let pool = pool_id(service);
        let flow = self.flows.entry((workspace, pool)).or_insert(INITIAL_MILLIS);
        let pool = self.pools.entry(pool).or_insert(INITIAL_MILLIS);
        if *flow < ATTEMPT_MILLIS || *pool < ATTEMPT_MILLIS {
            return Retry::Spent;
        }
        *flow -= ATTEMPT_MILLIS;
        *pool -= ATTEMPT_MILLIS;
        Retry::Allowed
    }
}

fn pool_id(service: &Name) -> u64 {
    hash_bytes(service.as_str().as_bytes())
}

fn earn(balance: &mut u32) {
    *balance = (*balance + EARNED_MILLIS).min(MAX_MILLIS);
}
