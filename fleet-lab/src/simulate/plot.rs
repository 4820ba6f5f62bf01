//! A play over time, as an SVG picture.

use super::report::Report;
use crate::world::invariant_checker::Second;
use plotters::prelude::*;

/// A line of the plot: its name, its colour, and its value of a second.
type Curve = (&'static str, RGBColor, fn(&Second) -> f64);

const TRIES: [Curve; 5] = [
    ("came", BLACK, |second| second.tries.came as f64),
    ("served within the aim", GREEN, |second| second.tries.served as f64),
    ("served late", BLUE, |second| second.tries.late as f64),
    ("refused", MAGENTA, |second| second.tries.refused as f64),
    ("failed, died or unreached", RED, |second| {
        (second.tries.failed + second.tries.died + second.tries.unreached) as f64
    }),
];
const UNITS: [Curve; 2] = [
    ("units sent on", BLACK, |second| second.sent_units),
    ("of these, beyond quotas", RED, |second| second.over_units),
];

/// Draws it: what became of tries, and what was sent on, a second.
///
/// # Errors
/// If the picture cannot be drawn.
pub fn draw(report: &Report) -> anyhow::Result<String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (960, 720)).into_drawing_area();
        area.fill(&WHITE)?;
        let (upper, lower) = area.split_vertically(400);
        curves(&upper, "tries a second", report, &TRIES)?;
        curves(&lower, "units a second", report, &UNITS)?;
        area.present()?;
    }
    Ok(text)
}

fn curves(
    area: &DrawingArea<SVGBackend, plotters::coord::Shift>, title: &str, report: &Report, all: &[Curve],
) -> anyhow::Result<()> {
    let values = all.iter().flat_map(|(_, _, of)| report.seconds.iter().map(of));
    let most = values.fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..report.seconds.len() as f64, 0.0..most)?;
    chart.configure_mesh().x_desc("simulated seconds").draw()?;
    for (name, colour, of) in all {
        let points = report.seconds.iter().enumerate().map(|(at, second)| (at as f64 + 0.5, of(second)));
        let series = chart.draw_series(LineSeries::new(points, *colour))?;
        series.label(*name).legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], *colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}
