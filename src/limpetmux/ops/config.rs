//! `config plan` and `config apply`: computes and submits the edits that turn the configuration in
//! force into another one.

use super::config_client::{ClientError, ConfigClient, Outcome};
use crate::core::config::{
    Change, ChangeId, Config, ConfigError, Coverage, Danger, Edit, Fold, Name, Ownership, check,
    dangers, diff,
};
use crate::core::revision::{Offset, Revision};
use std::fmt::Write;
use thiserror::Error;

/// A set of edits against the configuration in force, with the errors and dangers of the result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The revision that the edits were computed against.
    pub base: Revision,
    /// The end of the log when the edits were computed.
    pub seen: Offset,
    /// The edits, one per object that differs.
    pub edits: Vec<Edit>,
    /// The rules that the result breaks.
    pub errors: Vec<ConfigError>,
    /// The differences that need explicit permission.
    pub dangers: Vec<Danger>,
    /// The action of each edit, in the order of the edits.
    actions: Vec<Action>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Add,
    Change,
    Remove,
}

/// The metadata under which a change is submitted.
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

/// The reason why a plan cannot be applied.
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
        help("nothing was applied; pass --allow-dangerous if this is intended")
    )]
    Dangerous {
        /// The dangers.
        #[related]
        dangers: Vec<DangerError>,
    },
    /// The configuration log cannot be read or extended.
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
    /// Computes the edits that lead from the configuration in force to `target`.
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
    /// Returns [`PlanError`] if the result is invalid, or dangerous without permission; nothing is
    /// appended then. Also returns it if the configuration log cannot be read or extended.
    pub async fn apply(
        self,
        client: &mut ConfigClient,
        submission: Submission,
    ) -> Result<Outcome, PlanError> {
        require_no_errors(self.errors)?;
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

/// Checks declarations without the configuration in force.
///
/// # Errors
/// Returns [`PlanError::Invalid`] with every rule that they break.
pub fn require_valid(config: &Config) -> Result<(), PlanError> {
    require_no_errors(check(config))
}

fn require_no_errors(errors: Vec<ConfigError>) -> Result<(), PlanError> {
    if errors.is_empty() {
        return Ok(());
    }
    Err(PlanError::Invalid { rules: errors.into_iter().map(RuleError).collect() })
}

fn action(edit: &Edit, config: &Config) -> Action {
    let exists = match edit {
        Edit::Zone(name, _) => config.zones.contains_key(name),
        Edit::Host(name, _) => config.hosts.contains_key(name),
        Edit::Service(name, _) => config.services.contains_key(name),
        Edit::Pipeline(name, _) => config.pipelines.contains_key(name),
        Edit::Workspace(name, _) => config.workspaces.contains_key(name),
    };
    match (exists, edit.is_removal()) {
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
