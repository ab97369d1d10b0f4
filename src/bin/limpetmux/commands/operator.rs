//! What the operator commands share: the log's client, the submission, the report.

use limpetmux::adapters::log::LogClient;
use limpetmux::core::config::{ChangeId, Name};
use limpetmux::ops::config::{Plan, Submission};
use limpetmux::ops::config_client::{ConfigClient, Outcome};
use miette::IntoDiagnostic;
use std::time::{SystemTime, UNIX_EPOCH};

/// A change is not in force.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{outcome}")]
#[diagnostic(code(limpetmux::config::outcome))]
pub struct NotInForce {
    pub outcome: Outcome,
}

/// Folds the configuration log at a base URL and runs an action on it.
pub fn run<F>(url: &str, action: impl FnOnce(ConfigClient) -> F) -> miette::Result<()>
where
    F: Future<Output = miette::Result<()>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.into_diagnostic()?.block_on(async {
        let client = reqwest::Client::builder().no_proxy().build().into_diagnostic()?;
        action(ConfigClient::connect(LogClient::http(client, url)).await?).await
    })
}

/// Returns a submission under a fresh random id.
pub fn submission(author: Name, reason: String, force: bool) -> Submission {
    let id = ChangeId(uuid::Uuid::new_v4());
    Submission { id, author, reason, submitted_ms: unix_ms(), force }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Submits a plan and prints what became of it.
pub async fn finish(
    plan: Plan,
    client: &mut ConfigClient,
    submission: Submission,
) -> miette::Result<()> {
    if plan.edits.is_empty() {
        println!("nothing to change");
        return Ok(());
    }
    match plan.apply(client, submission).await? {
        outcome @ Outcome::Accepted { .. } => println!("{outcome}"),
        outcome => return Err(NotInForce { outcome }.into()),
    }
    Ok(())
}
