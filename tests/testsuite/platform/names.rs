//! Only the adapter, `src/limpetmux/platform`, spells the names of the users' platform.

use std::path::{Path, PathBuf};

/// The names that the platform's documentation defines, without those that limpetmux uses itself.
const SPELLINGS: [&str; 30] = [
    "x-limpetmux-expected",
    "x-limpetmux-tenant",
    "x-limpetmux-not-executed",
    "x-limpetmux-response-signature",
    "x-limpetmux-prompt-prefix",
    "x-limpetmux-token-usage",
    "x-limpetmux-request-priority",
    "x-limpetmux-pieces",
    "x-limpetmux-piece-key",
    "x-limpetmux-inputs",
    "x-limpetmux-deadline-ms",
    "keyed.",
    "log-append",
    "log-newest",
    "log-read",
    "log-join",
    "stage-run",
    "stage-free",
    "limpetmux_boot",
    "api-keys",
    "path-prefix",
    "weighted-clusters",
    "target-latency",
    "max-attempts",
    "cold-remaining",
    "cold-per-s",
    "internal-ports",
    "evacuate/",
    "non_idempotent",
    "retry-budget",
];

fn sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() && !path.ends_with("platform") {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs" || e == "proto") {
            found.push(path);
        }
    }
}

#[test]
fn platform_is_spelled_in_its_folder_only() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    sources(&root.join("proto"), &mut files);

    let mut violations = Vec::new();
    for file in &files {
        let text = std::fs::read_to_string(file).unwrap().to_lowercase();
        let found = SPELLINGS.iter().filter(|s| text.contains(**s));
        violations.extend(found.map(|s| format!("{}: {s}", file.display())));
    }

    assert!(files.len() > 100, "the tree is searched");
    assert_eq!(violations, Vec::<String>::new());
}

#[test]
fn spellings_are_those_that_the_adapter_uses() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/limpetmux/platform");
    let texts: String = std::fs::read_dir(folder)
        .unwrap()
        .map(|f| std::fs::read_to_string(f.unwrap().path()).unwrap().to_lowercase())
        .collect();

    // The adapter's serde fields spell names with underscores.
    let known = |s: &&str| texts.contains(*s) || texts.contains(&s.replace('-', "_"));
    let unknown: Vec<_> = SPELLINGS.iter().filter(|s| !known(s)).collect();

    assert!(unknown.len() <= 3, "the adapter no longer uses {unknown:?}");
}
