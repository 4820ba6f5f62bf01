//! Plots of processor time over size as SVG.

use super::report::{CostCurve, Report, Statistics};
use anyhow::{anyhow, Result};
use plotters::coord::combinators::LogCoord;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::ops::Range;
use std::path::Path;

/// Width of one panel, in pixels.
const PANEL_WIDTH: u32 = 560;
/// Height of one panel, in pixels.
const PANEL_HEIGHT: u32 = 380;
/// Number of panels in a row.
const COLUMNS: usize = 2;

/// A chart with two logarithmic axes.
type LogarithmicChart<'a> =
    ChartContext<'a, SVGBackend<'a>, Cartesian2d<LogCoord<f64>, LogCoord<f64>>>;

/// Processor time at one size of the fleet.
struct TimePoint {
    size: f64,
    /// Processor time in µs.
    time: Statistics,
}

/// One curve without the points whose processor time is 0, which a logarithmic axis cannot show.
struct TimeCurve<'a> {
    curve: &'a CostCurve,
    /// Points of the curve; at least one.
    points: Vec<TimePoint>,
}

impl TimeCurve<'_> {
    fn new(curve: &CostCurve) -> Option<TimeCurve<'_>> {
        let mut points = Vec::new();
        for point in &curve.points {
            let time = point.figures.get("time_us").copied();
            if let Some(time) = time.filter(|time| time.min > 0.0) {
                points.push(TimePoint {
                    size: point.size as f64,
                    time,
                });
            }
        }
        (!points.is_empty()).then_some(TimeCurve { curve, points })
    }

    fn size_range(&self) -> Range<f64> {
        padded(self.points.iter().map(|point| point.size))
    }

    fn time_range(&self) -> Range<f64> {
        let minimums = padded(self.points.iter().map(|point| point.time.min));
        let maximums = padded(self.points.iter().map(|point| point.time.max));
        minimums.start..maximums.end
    }
}

/// Returns a range that contains all of the positive values, with some room at both ends.
fn padded(values: impl Iterator<Item = f64> + Clone) -> Range<f64> {
    let minimum = values.clone().fold(f64::MAX, f64::min);
    let maximum = values.fold(0.0, f64::max);
    minimum * 0.8..maximum * 1.25
}

/// Draws a panel with logarithmic axes for each curve that has a processor time: medians as a line,
/// and a range from minimum to maximum at each median.
///
/// # Errors
/// Returns an error if no curve has a processor time, or the file cannot be written.
pub(super) fn draw(report: &Report, path: &Path) -> Result<()> {
    let curves: Vec<TimeCurve> = report.curves.iter().filter_map(TimeCurve::new).collect();
    if curves.is_empty() {
        return Err(anyhow!("no curve with a processor time to draw"));
    }
    let rows = curves.len().div_ceil(COLUMNS);
    let size = (PANEL_WIDTH * COLUMNS as u32, PANEL_HEIGHT * rows as u32);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE).map_err(drawing_error)?;
    for (panel, curve) in root.split_evenly((rows, COLUMNS)).iter().zip(&curves) {
        draw_panel(panel, curve)?;
    }
    root.present().map_err(drawing_error)
}

fn drawing_error(error: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("drawing failed: {error}")
}

fn draw_panel(panel: &DrawingArea<SVGBackend, Shift>, time_curve: &TimeCurve) -> Result<()> {
    let CostCurve {
        name, dimension, ..
    } = time_curve.curve;
    let mut chart = ChartBuilder::on(panel)
        .caption(format!("{name} over {dimension}"), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(
            time_curve.size_range().log_scale(),
            time_curve.time_range().log_scale(),
        )
        .map_err(drawing_error)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(dimension.to_string())
        .y_desc("processor time, µs");
    mesh.x_label_formatter(&axis_label)
        .y_label_formatter(&axis_label)
        .draw()
        .map_err(drawing_error)?;
    draw_points(&mut chart, &time_curve.points)
}

/// Draws medians as a line with circles, and the range from minimum to maximum at each median as a
/// vertical line.
fn draw_points(chart: &mut LogarithmicChart, points: &[TimePoint]) -> Result<()> {
    let medians = points.iter().map(|point| (point.size, point.time.median));
    chart
        .draw_series(LineSeries::new(medians.clone(), &BLUE))
        .map_err(drawing_error)?;
    chart
        .draw_series(medians.map(|at| Circle::new(at, 3, BLUE.filled())))
        .map_err(drawing_error)?;
    let extents = points.iter().map(|TimePoint { size, time }| {
        PathElement::new(vec![(*size, time.min), (*size, time.max)], BLUE)
    });
    chart.draw_series(extents).map_err(drawing_error)?;
    Ok(())
}

fn axis_label(value: &f64) -> String {
    if *value < 10.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.0}")
    }
}
