//! Plots of experiments, as SVG.

use super::report::{Point, Report, Slope, Spread};
use anyhow::{anyhow, Result};
use plotters::prelude::*;
use std::path::Path;

/// Size of one panel, in pixels.
const PANEL: (u32, u32) = (560, 380);
/// Panels side by side.
const COLUMNS: usize = 2;

/// Draws a panel for each slope that has a processor time: medians as a line, each with its spread, both axes by powers
/// of ten.
///
/// # Errors
/// If nothing has a processor time, or the file can't be written.
pub fn slopes(report: &Report, file: &Path) -> Result<()> {
    let timed: Vec<_> = report.slopes.iter().filter_map(|slope| Some((slope, times(slope)?))).collect();
    if timed.is_empty() {
        return Err(anyhow!("no slope with a processor time to draw"));
    }
    let rows = timed.len().div_ceil(COLUMNS);
    let root = SVGBackend::new(file, (PANEL.0 * COLUMNS as u32, PANEL.1 * rows as u32)).into_drawing_area();
    let drawn = |error| anyhow!("drawing: {error}");
    root.fill(&WHITE).map_err(drawn)?;
    for (panel, (slope, times)) in root.split_evenly((rows, COLUMNS)).iter().zip(&timed) {
        let ends = |of: fn(&(f64, Spread)) -> f64| {
            let (least, most) =
                times.iter().map(of).fold((f64::MAX, 0.0f64), |(a, b), x| (a.min(x), b.max(x)));
            least * 0.8..most * 1.25
        };
        let sizes = ends(|(size, _)| *size);
        let (low, high) = (ends(|(_, time)| time.min).start, ends(|(_, time)| time.max).end);
        let mut chart = ChartBuilder::on(panel)
            .caption(format!("{} over {}", slope.name, slope.over), ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(sizes.log_scale(), (low..high).log_scale())
            .map_err(drawn)?;
        let axes = |axis: &f64| if *axis < 10.0 { format!("{axis:.1}") } else { format!("{axis:.0}") };
        let mut mesh = chart.configure_mesh();
        let mesh = mesh.x_desc(slope.over.to_string()).y_desc("processor time, µs");
        mesh.x_label_formatter(&axes).y_label_formatter(&axes).draw().map_err(drawn)?;
        let medians = times.iter().map(|(size, time)| (*size, time.median));
        chart.draw_series(LineSeries::new(medians.clone(), &BLUE)).map_err(drawn)?;
        chart.draw_series(medians.map(|place| Circle::new(place, 3, BLUE.filled()))).map_err(drawn)?;
        let spread =
            |(size, time): &(f64, Spread)| PathElement::new(vec![(*size, time.min), (*size, time.max)], BLUE);
        chart.draw_series(times.iter().map(spread)).map_err(drawn)?;
    }
    root.present().map_err(drawn)?;
    Ok(())
}

/// A slope's processor times by size; `None` where it has none above 0, which no logarithm shows.
fn times(slope: &Slope) -> Option<Vec<(f64, Spread)>> {
    let time = |point: &Point| Some((point.size as f64, *point.figures.get("time_us")?));
    let times: Vec<_> = slope.points.iter().filter_map(time).filter(|(_, time)| time.min > 0.0).collect();
    (!times.is_empty()).then_some(times)
}
