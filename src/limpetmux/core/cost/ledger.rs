//! Sums of cost and attempts by workspace, pipeline and stage.

use crate::core::config::Name;
use crate::util::hash::hash_parts;
use std::collections::BTreeMap;
use std::time::Duration;

/// The cost of the attempts at one stage for one workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CostRow {
    /// The workspace.
    pub workspace: Name,
    /// The pipeline.
    pub pipeline: Name,
    /// The stage.
    pub stage: Name,
    /// Attempts, including retries and hedges.
    pub attempts: u64,
    /// Time in which backend servers ran the attempts.
    pub busy: Duration,
    /// Cost in millionths of the accounting unit.
    pub cost: u64,
    /// Requests whose deadline passed while they were in this stage.
    pub late: u64,
}

/// The sums since the process started.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    rows: BTreeMap<u64, CostRow>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one attempt.
    pub fn add(&mut self, names: [&Name; 3], busy: Duration, cost: u64) {
        let row = self.row(names);
        row.attempts += 1;
        row.busy += busy;
        row.cost = row.cost.saturating_add(cost);
    }

    /// Adds one request whose deadline passed in a stage.
    pub fn add_late(&mut self, names: [&Name; 3]) {
        self.row(names).late += 1;
    }

    fn row(&mut self, names: [&Name; 3]) -> &mut CostRow {
        let row = self.rows.entry(hash_parts(&names.map(|n| n.as_str().as_bytes())));
        row.or_insert_with(|| CostRow {
            workspace: names[0].clone(),
            pipeline: names[1].clone(),
            stage: names[2].clone(),
            attempts: 0,
            busy: Duration::ZERO,
            cost: 0,
            late: 0,
        })
    }

    /// Returns all rows, ordered by workspace, pipeline and stage.
    pub fn rows(&self) -> Vec<&CostRow> {
        let mut rows: Vec<&CostRow> = self.rows.values().collect();
        rows.sort_by_key(|r| (&r.workspace, &r.pipeline, &r.stage));
        rows
    }

    /// Returns the total cost in millionths of the accounting unit.
    pub fn total(&self) -> u64 {
        self.rows.values().fold(0, |sum, row| sum.saturating_add(row.cost))
    }
}
