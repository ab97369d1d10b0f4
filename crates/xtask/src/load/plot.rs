//! The plot of latency over time.

use super::{LoadError, Outcome, Sample};
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (960, 480);

/// Draws one point per request: when it was due against its latency, coloured by outcome.
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
