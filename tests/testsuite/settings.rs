//! Settings files are checked with line and column.

use limpetmux::settings::{Role, SettingsError, load, parse};
use miette::{Diagnostic, SourceSpan};
use std::path::{Path, PathBuf};

const ENTRY: &str = include_str!("../../examples/ph-luzon/entry.jsonc");

/// Returns the message and the text under each label of the error that an edit brings about.
fn error_of(from: &str, to: &str) -> (String, Vec<String>) {
    assert!(ENTRY.contains(from));
    let text = ENTRY.replace(from, to);
    let error = parse("entry.jsonc", &text).unwrap_err();
    let under = |span: &SourceSpan| text[span.offset()..span.offset() + span.len()].to_owned();
    let labels = error.labels().into_iter().flatten().map(|l| under(l.inner())).collect();
    (error.to_string(), labels)
}

fn examples() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let deployments = ["ph-luzon", "sierra-costa"];
    let files = deployments.iter().flat_map(|d| ["entry.jsonc", "sidecar.jsonc"].map(|f| (d, f)));
    files.map(|(deployment, file)| root.join(deployment).join(file)).collect()
}

#[test]
fn examples_can_be_used() {
    for path in examples() {
        let settings = load(&path).unwrap();
        let role = if path.ends_with("entry.jsonc") { Role::Entry } else { Role::Sidecar };

        assert!(settings.require(role, &path).is_ok());
    }
}

#[test]
fn unknown_field_is_pointed_at() {
    let (message, labels) = error_of("\"ordinal\"", "\"ordnal\"");

    assert!(message.starts_with("unknown field `ordnal`"), "{message}");
    assert_eq!(labels, ["\"ordnal\""]);
}

#[test]
fn duration_with_a_unit_is_pointed_at() {
    let (message, labels) = error_of("30000", "\"30s\"");

    assert!(message.starts_with("invalid type: string \"30s\""), "{message}");
    assert_eq!(labels, ["\"30s\""]);
}

#[test]
fn clashing_addresses_are_both_pointed_at() {
    let (message, labels) = error_of("127.0.0.1:8080", "127.0.0.1:7100");

    assert_eq!(message, "two addresses clash: 127.0.0.1:7100");
    assert_eq!(labels, ["\"127.0.0.1:7100\"", "\"127.0.0.1:7100\""]);
}

#[test]
fn missing_zone_is_named() {
    let (message, labels) = error_of("\"zone\": \"mnl-a\",", "");

    assert_eq!(message, "missing field `zone`");
    assert_eq!(labels, ["{"]);
}

#[test]
fn malformed_url_is_pointed_at() {
    let (message, labels) = error_of("http://127.0.0.1:9000", "127.0.0.1:9000");

    assert_eq!(message, "`127.0.0.1:9000` is not an http URL");
    assert_eq!(labels, ["\"127.0.0.1:9000\""]);
}

#[test]
fn role_without_its_part_is_refused() {
    let path = &examples()[0];

    let error = load(path).unwrap().require(Role::Sidecar, path).unwrap_err();

    assert!(matches!(error, SettingsError::Role { role: Role::Sidecar, .. }));
}
