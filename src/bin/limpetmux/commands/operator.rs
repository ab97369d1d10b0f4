//! Code shared by the operator commands: channels, the log client, and the submission of plans.

use limpetmux::adapters::channel::Channels;
use limpetmux::adapters::log::LogClient;
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::config::{ChangeId, Name};
use limpetmux::ops::config::{Plan, Submission};
use limpetmux::ops::config_client::{ConfigClient, Outcome};
use limpetmux::settings::load_tls;
use miette::IntoDiagnostic;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// A submitted change that is not in force.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{outcome}")]
#[diagnostic(code(limpetmux::config::outcome))]
pub struct NotInForce {
    pub outcome: Outcome,
}

/// Returns channels to processes: TLS with the certificates that a file names, or plain text.
pub fn channels(tls: Option<&Path>) -> miette::Result<Channels> {
    let Some(path) = tls else { return Ok(Channels::plain()) };
    Ok(load_tls(path)?.channels()?)
}

/// Folds the configuration log at a base URL and runs an action on it.
pub fn run<F>(url: &str, action: impl FnOnce(ConfigClient) -> F) -> miette::Result<()>
where
    F: Future<Output = miette::Result<()>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.into_diagnostic()?.block_on(async {
        let client = OneCallClient::new().into_diagnostic()?;
        action(ConfigClient::connect(LogClient::http(client, url)).await?).await
    })
}

/// Returns a submission with a new random id.
pub fn submission(author: Name, reason: String, force: bool) -> Submission {
    let id = ChangeId(uuid::Uuid::new_v4());
    Submission { id, author, reason, submitted_ms: unix_ms(), force }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Submits a plan and prints the outcome.
pub async fn apply_plan(
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
