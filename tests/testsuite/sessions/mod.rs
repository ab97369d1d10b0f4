//! Golden sessions: whole sessions as readable transcripts, each also held against the promises.
//!
//! Renew the files with `UPDATE_EXPECT=1 cargo test --test testsuite sessions`.

mod configuration;
mod planners;

use expect_test::ExpectFile;
use limpetmux_test_support::invariants::{Journal, violations};

/// Compares a session with its file and checks that it breaks no promise.
fn check_session(journal: &Journal, notes: &str, file: ExpectFile) {
    assert_eq!(violations(journal), []);
    file.assert_eq(&format!("{notes}{}", journal.transcript()));
}
