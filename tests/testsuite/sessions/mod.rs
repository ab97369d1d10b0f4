//! Golden sessions: transcripts of whole sessions, each also checked against the guarantees.
//!
//! Update the files with `UPDATE_EXPECT=1 cargo test --test testsuite sessions`.

mod cold_start;
mod configuration;
mod keys;
mod mutations;
mod planners;
mod requests;
mod shutdown;
mod zones;

use expect_test::ExpectFile;
use limpetmux_test_support::Deployment;
use limpetmux_test_support::config::summary_config;
use limpetmux_test_support::invariants::{
    Journal, RecordedCaller, Reply, outline, revisions, violations,
};
use std::fmt::Write;

/// Compares a session with its file and checks that it breaks no guarantee.
fn check_session(journal: &Journal, notes: &str, file: ExpectFile) {
    assert_eq!(violations(journal), []);
    file.assert_eq(&format!("{notes}{}", journal.transcript()));
}

/// Starts a deployment with two entries, and a caller of each.
async fn start() -> (Deployment, [RecordedCaller; 2]) {
    let deployment = Deployment::start(summary_config(), 2).await;
    let callers =
        [0, 1].map(|i| RecordedCaller::new(&deployment.entries[i].url, &deployment.recorder));
    (deployment, callers)
}

/// Ends a deployment, checks that it broke no guarantee and compares the part of the session that
/// is the same on every run: all facts of some requests, the notes and the revisions.
async fn check_outline(deployment: Deployment, notes: &str, requests: &[u64], file: ExpectFile) {
    let journal = deployment.stop_unchecked().await;
    assert_eq!(violations(&journal), []);
    let facts = outline(&journal, requests);
    file.assert_eq(&format!("{facts}{notes}{}", revisions(&journal)));
}

/// Writes how many requests of a phase were answered, and the replies to the others.
fn note_phase(notes: &mut String, phase: &str, replies: &[Reply]) {
    let (sent, answered) = (replies.len(), replies.iter().filter(|r| r.is_answer()).count());
    writeln!(notes, "{phase}: requests {sent}, answered {answered}").unwrap();
    for reply in replies.iter().filter(|r| !r.is_answer()) {
        writeln!(notes, "  {}", reply.body).unwrap();
    }
}
