//! Plots of latency, attainment and answer rate over time.

use super::zone::{Change, ZoneEvent};
use super::{Load, LoadError, Outcome, Sample};
use plotters::prelude::*;
use std::path::Path;
use std::time::Duration;

const SIZE: (u32, u32) = (960, 480);

/// Draws one point per request: its latency over its due time, coloured by outcome.
///
/// # Errors
/// Returns [`LoadError::Plot`] if the file cannot be drawn.
pub fn latency(path: &Path, samples: &[Sample]) -> Result<(), LoadError> {
    let seconds = samples.iter().map(|s| s.due.as_secs_f64()).fold(0.0, f64::max);
    let longest = samples.iter().map(millis).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..seconds.max(0.1), 0.0..longest * 1.05)?;
    chart.configure_mesh().x_desc("due (s)").y_desc("latency (ms)").draw()?;
    let points = samples.iter().map(|s| {
        let at = (s.due.as_secs_f64(), millis(s));
        Circle::new(at, 2, color(s.outcome).filled())
    });
    chart.draw_series(points)?;
    area.present()?;
    Ok(())
}

/// Draws two panels by second: above, the share of the requests due in that second that were
/// answered in time; below, the number of answers in time that arrived in that second. Vertical
/// lines show zone changes.
///
/// # Errors
/// Returns [`LoadError::Plot`] if the file cannot be drawn.
pub fn zone(
    path: &Path,
    load: &Load,
    samples: &[Sample],
    zone_events: &[ZoneEvent],
) -> Result<(), LoadError> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let halves = area.split_evenly((2, 1));
    let attainment = by_second(load, samples, |s| s.due, |due, answered| answered / due.max(1.0));
    let rate = by_second(load, samples, |s| s.due + s.latency, |_, answered| answered);
    let panels = [(attainment, 1.05, "attainment"), (rate, load.rate * 1.5, "answers/s")];
    for (half, (points, top, name)) in halves.iter().zip(panels) {
        let seconds = load.duration.as_secs_f64();
        let mut chart = ChartBuilder::on(half)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..seconds, 0.0..top)?;
        chart.configure_mesh().x_desc("s").y_desc(name).draw()?;
        for (at, change) in zone_events {
            let x = at.as_secs_f64();
            chart.draw_series(LineSeries::new([(x, 0.0), (x, top)], change_color(*change)))?;
        }
        chart.draw_series(LineSeries::new(points, BLUE.stroke_width(2)))?;
    }
    area.present()?;
    Ok(())
}

/// Returns one point per second: `value` of the number of requests that `when` assigns to that
/// second and of the number answered in time among them.
fn by_second(
    load: &Load,
    samples: &[Sample],
    when: impl Fn(&Sample) -> Duration,
    value: impl Fn(f64, f64) -> f64,
) -> Vec<(f64, f64)> {
    let point = |second: u64| {
        let selected: Vec<&Sample> =
            samples.iter().filter(|s| when(s).as_secs() == second).collect();
        let answered = selected.iter().filter(|s| s.outcome == Outcome::Answered).count();
        (second as f64 + 0.5, value(selected.len() as f64, answered as f64))
    };
    (0..load.duration.as_secs()).map(point).collect()
}

fn change_color(change: Change) -> RGBColor {
    match change {
        Change::Out => RED,
        Change::OutInForce => MAGENTA,
        Change::Back => GREEN,
        Change::BackInForce => CYAN,
    }
}

fn millis(sample: &Sample) -> f64 {
    sample.latency.as_secs_f64() * 1_000.0
}

fn color(outcome: Outcome) -> RGBColor {
    match outcome {
        Outcome::Answered => BLUE,
        Outcome::Late => MAGENTA,
        Outcome::NotRun => GREEN,
        Outcome::Refused => CYAN,
        Outcome::Broken => RED,
    }
}
