//! The catalogues in docs/ match the code; `UPDATE_EXPECT=1` rewrites them.

use expect_test::expect_file;
use limpetmux::util::event::EventCode;
use limpetmux::util::metrics::Metric;
use std::collections::BTreeSet;
use std::fmt::Write;
use strum::VariantArray;

#[test]
fn event_catalogue_equals_code() {
    let mut codes = EventCode::VARIANTS.to_vec();
    codes.sort();

    let mut page = String::from(
        "# Catalogue of log events\n\n\
         Every log line is one of these events, with its number, name and fields. Numbers: 1xx \
         configuration,\n2xx requests, 3xx idempotency keys, 4xx hosts and shutdown, 5xx power, \
         6xx platform and backend\nservers, 7xx the process.\n\n\
         | number | name | level | meaning |\n|---|---|---|---|\n",
    );
    for code in codes {
        let level = code.level().as_str().to_lowercase();
        let (number, name, summary) = (code.number(), code.name(), code.summary());
        writeln!(page, "| {number} | `{name}` | {level} | {summary} |").unwrap();
    }

    expect_file!["../../docs/EVENTS.md"].assert_eq(&page);
}

#[test]
fn event_numbers_are_unique_and_described() {
    let numbers: BTreeSet<u16> = EventCode::VARIANTS.iter().map(|c| c.number()).collect();

    assert_eq!(numbers.len(), EventCode::VARIANTS.len());
    assert!(EventCode::VARIANTS.iter().all(|c| !c.summary().is_empty()));
}

#[test]
fn metric_list_equals_code() {
    let mut page = String::from(
        "# Metrics\n\n\
         All names have the prefix `limpetmux.`. They are sent to the statsd server that the \
         settings name under\n`metrics.statsd`, and dropped without one.\n\n\
         | name | kind | tags | meaning |\n|---|---|---|---|\n",
    );
    for metric in Metric::VARIANTS {
        let (name, kind) = (metric.name(), metric.kind());
        let (tags, summary) = (metric.tags(), metric.summary());
        writeln!(page, "| `{name}` | {kind} | {tags} | {summary} |").unwrap();
    }

    expect_file!["../../docs/METRICS.md"].assert_eq(&page);
}
