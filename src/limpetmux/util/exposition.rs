//! Counters and histograms of the process in the Prometheus text format.
//!
//! [`Exposition`] is a sink of the metrics client: it aggregates the values and renders them when a
//! scraper asks. The number of series is bounded; values of further series are added to the
//! metric's series without labels.

use crate::util::metrics::{Metric, Metrics};
use cadence::MetricSink;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};
use strum::VariantArray;

/// The maximum number of series of one process.
const MAX_SERIES: usize = 2_000;
/// The upper bounds of the histogram buckets, in milliseconds.
const BUCKETS_MS: [u64; 12] = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_000, 4_000, 8_000, 16_000];

/// One counter, gauge or histogram; the first two use only `sum`.
#[derive(Clone, Debug, Default)]
struct Series {
    sum: u64,
    count: u64,
    buckets: [u64; BUCKETS_MS.len()],
}

/// The series of a process since its start; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Exposition {
    series: Arc<Mutex<BTreeMap<(Metric, String), Series>>>,
}

impl Exposition {
    /// Returns a metrics client that writes to this sink.
    pub fn metrics(&self) -> Metrics {
        Metrics::sink(self.clone())
    }

    /// Renders all series as text.
    pub fn render(&self) -> String {
        let series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for metric in Metric::VARIANTS {
            let rows: Vec<_> = series.iter().filter(|((m, _), _)| m == metric).collect();
            if rows.is_empty() {
                continue;
            }
            let is_timer = metric.kind() == "timer";
            let kind = if is_timer { "histogram" } else { metric.kind() };
            // Writing to a string cannot fail.
            let _ = writeln!(text, "# TYPE limpetmux_{} {kind}", metric.name());
            for ((_, labels), series) in rows {
                render_series(&mut text, metric.name(), labels, series, is_timer);
            }
        }
        text
    }

    /// Adds one value in the client's format: `name:value|type|#label:value,label:value`.
    fn add(&self, line: &str) -> Option<()> {
        let mut parts = line.split('|');
        let (name, value) = parts.next()?.rsplit_once(':')?;
        let metric = find_metric(name)?;
        let value: u64 = value.parse().ok()?;
        let labels = parts.find_map(|p| p.strip_prefix('#')).map(format_labels).unwrap_or_default();
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let is_full = series.len() >= MAX_SERIES && !series.contains_key(&(metric, labels.clone()));
        let key = (metric, if is_full { String::new() } else { labels });
        let entry = series.entry(key).or_default();
        entry.sum = if metric.kind() == "gauge" { value } else { entry.sum + value };
        entry.count += 1;
        for (bucket, _) in entry.buckets.iter_mut().zip(BUCKETS_MS).filter(|(_, b)| value <= *b) {
            *bucket += 1;
        }
        Some(())
    }
}

impl MetricSink for Exposition {
    fn emit(&self, line: &str) -> std::io::Result<usize> {
        match self.add(line) {
            Some(()) => Ok(line.len()),
            None => Err(std::io::ErrorKind::InvalidData.into()),
        }
    }
}

fn find_metric(name: &str) -> Option<Metric> {
    let name = name.rsplit('.').next()?;
    Metric::VARIANTS.iter().copied().find(|m| m.name() == name)
}

/// Formats labels for scrapers; quotes, backslashes and line breaks are dropped.
fn format_labels(text: &str) -> String {
    let label = |pair: &str| {
        let (key, value) = pair.split_once(':').unwrap_or((pair, ""));
        let value = value.replace(['"', '\\', '\n'], "");
        format!("{key}=\"{value}\"")
    };
    text.split(',').map(label).collect::<Vec<_>>().join(",")
}

fn render_series(text: &mut String, name: &str, labels: &str, series: &Series, is_timer: bool) {
    let braces = if labels.is_empty() { String::new() } else { format!("{{{labels}}}") };
    if !is_timer {
        let _ = writeln!(text, "limpetmux_{name}{braces} {}", series.sum);
        return;
    }
    let comma = if labels.is_empty() { "" } else { "," };
    for (bound, count) in BUCKETS_MS.iter().zip(series.buckets) {
        let _ = writeln!(text, "limpetmux_{name}_bucket{{{labels}{comma}le=\"{bound}\"}} {count}");
    }
    let count = series.count;
    let _ = writeln!(text, "limpetmux_{name}_bucket{{{labels}{comma}le=\"+Inf\"}} {count}");
    let _ = writeln!(text, "limpetmux_{name}_sum{braces} {}", series.sum);
    let _ = writeln!(text, "limpetmux_{name}_count{braces} {count}");
}
