//! `config plan`, `apply`, `show`, `history` and `settle`.

use super::config_client::{ClientError, ConfigClient, Outcome};
use crate::core::config::{
    Change, ChangeId, Config, ConfigError, Coverage, Danger, Edit, Fold, Name, Ownership, check,
    dangers, diff,
};
use crate::core::revision::{Offset, Revision};
use std::fmt::Write;
use thiserror::Error;

/// A set of edits against the configuration in force, with what is wrong or dangerous about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The revision that the edits were made against.
    pub base: Revision,
    /// The end of the log when they were made.
    pub seen: Offset,
    /// The edits, one per object that differs.
    pub edits: Vec<Edit>,
    /// The rules that the result breaks.
    pub errors: Vec<ConfigError>,
    /// The differences that have to be allowed.
    pub dangers: Vec<Danger>,
    /// Which edits add and which change or remove an object, in the order of the edits.
    actions: Vec<Action>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Add,
    Change,
    Remove,
}

/// Who submits a change, and how.
#[derive(Clone, Debug)]
pub struct Submission {
    /// A fresh random id.
    pub id: ChangeId,
    /// The operator.
    pub author: Name,
    /// Why the change is made.
    pub reason: String,
    /// The current Unix time in milliseconds, for the audit trail.
    pub submitted_ms: u64,
    /// Whether dangers are allowed.
    pub force: bool,
}

/// A plan is not submitted.
#[derive(Debug, Error, miette::Diagnostic)]
pub enum PlanError {
    /// The result breaks rules.
    #[error("the declarations break {} rule(s)", rules.len())]
    #[diagnostic(code(limpetmux::config::invalid), help("nothing was applied"))]
    Invalid {
        /// The rules.
        #[related]
        rules: Vec<RuleError>,
    },
    /// The difference is dangerous and was not allowed.
    #[error("the difference is dangerous")]
    #[diagnostic(
        code(limpetmux::config::dangerous),
        help("nothing was applied; pass --allow-dangerous if this is meant")
    )]
    Dangerous {
        /// The dangers.
        #[related]
        dangers: Vec<DangerError>,
    },
    /// The log cannot be worked on.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Client(#[from] ClientError),
}

/// A broken rule, for the report.
#[derive(Debug, Error, miette::Diagnostic)]
#[error(transparent)]
pub struct RuleError(#[from] pub ConfigError);

/// A danger, for the report.
#[derive(Debug, Error, miette::Diagnostic)]
#[error(transparent)]
pub struct DangerError(#[from] pub Danger);

impl Plan {
    /// Plans how to get from the state in force to a configuration.
    pub fn new(fold: &Fold, target: &Config, ownership: Ownership) -> Self {
        let edits = diff(fold.config(), target, ownership);
        let actions = edits.iter().map(|e| action(e, fold.config())).collect();
        let mut result = fold.config().clone();
        edits.iter().for_each(|e| drop(e.apply(&mut result)));
        let (before, after) = (Coverage::of(fold.config()), Coverage::of(&result));
        Self {
            base: fold.revision(),
            seen: fold.next(),
            edits,
            errors: check(&result),
            dangers: dangers(&before, &after),
            actions,
        }
    }

    /// Returns the difference as text, one line per object, then the errors and dangers.
    pub fn report(&self) -> String {
        let mut text = String::new();
        for (edit, action) in self.edits.iter().zip(&self.actions) {
            let sign = match action {
                Action::Add => '+',
                Action::Change => '~',
                Action::Remove => '-',
            };
            let _ = writeln!(text, "{sign} {}{}", edit.object(), state(edit));
        }
        for error in &self.errors {
            let _ = writeln!(text, "error: {error}");
        }
        for danger in &self.dangers {
            let _ = writeln!(text, "dangerous: {danger}");
        }
        let count = |action| self.actions.iter().filter(|a| **a == action).count();
        let (added, changed) = (count(Action::Add), count(Action::Change));
        let removed = count(Action::Remove);
        let _ = writeln!(
            text,
            "{added} to add, {changed} to change, {removed} to remove against {}",
            self.base
        );
        text
    }

    /// Submits the edits as one change.
    ///
    /// # Errors
    /// Returns [`PlanError`] if the result is not valid or dangerous without permission; nothing
    /// is appended then.
    pub async fn apply(
        self,
        client: &mut ConfigClient,
        submission: Submission,
    ) -> Result<Outcome, PlanError> {
        refuse_broken(self.errors)?;
        if !self.dangers.is_empty() && !submission.force {
            let dangers = self.dangers.into_iter().map(DangerError).collect();
            return Err(PlanError::Dangerous { dangers });
        }
        let change = Change {
            id: submission.id,
            base: self.base,
            seen: self.seen,
            author: submission.author,
            submitted_ms: submission.submitted_ms,
            reason: submission.reason,
            force: submission.force,
            edits: self.edits,
        };
        Ok(client.submit(change).await?)
    }
}

/// Checks declarations by themselves.
///
/// # Errors
/// Returns [`PlanError::Invalid`] with every rule that they break.
pub fn require_valid(config: &Config) -> Result<(), PlanError> {
    refuse_broken(check(config))
}

fn refuse_broken(errors: Vec<ConfigError>) -> Result<(), PlanError> {
    if errors.is_empty() {
        return Ok(());
    }
    Err(PlanError::Invalid { rules: errors.into_iter().map(RuleError).collect() })
}

fn action(edit: &Edit, config: &Config) -> Action {
    let is_there = match edit {
        Edit::Zone(name, _) => config.zones.contains_key(name),
        Edit::Host(name, _) => config.hosts.contains_key(name),
        Edit::Service(name, _) => config.services.contains_key(name),
        Edit::Pipeline(name, _) => config.pipelines.contains_key(name),
        Edit::Workspace(name, _) => config.workspaces.contains_key(name),
    };
    match (is_there, edit.is_removal()) {
        (_, true) => Action::Remove,
        (true, false) => Action::Change,
        (false, false) => Action::Add,
    }
}

/// Returns the operational state that an edit sets, for the report.
fn state(edit: &Edit) -> &'static str {
    match edit {
        Edit::Zone(_, Some(zone)) if zone.serving => ": in",
        Edit::Zone(_, Some(_)) => ": out",
        Edit::Host(_, Some(host)) if host.running => ": run",
        Edit::Host(_, Some(_)) => ": off",
        _ => "",
    }
}
