//! Plot of a simulation over time, as SVG.

use super::report::Report;
use crate::world::request_counts::SecondCounts;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Width and height of the image, in pixels.
const SIZE: (u32, u32) = (960, 720);
/// Height of the upper chart, in pixels.
const UPPER_HEIGHT: i32 = 400;
/// Upper end of the vertical axis, as a multiple of the maximum value.
const HEADROOM_RATIO: f64 = 1.1;

/// One line of a chart.
struct Curve {
    label: &'static str,
    color: RGBColor,
    value: fn(&SecondCounts) -> f64,
}

const REQUEST_CURVES: [Curve; 5] = [
    Curve {
        label: "came",
        color: BLACK,
        value: |second| second.requests.arrived as f64,
    },
    Curve {
        label: "served within the aim",
        color: GREEN,
        value: |second| second.requests.served as f64,
    },
    Curve {
        label: "served late",
        color: BLUE,
        value: |second| second.requests.late as f64,
    },
    Curve {
        label: "refused",
        color: MAGENTA,
        value: |second| second.requests.rejected as f64,
    },
    Curve {
        label: "failed, died or unreached",
        color: RED,
        value: failed_requests,
    },
];
const UNIT_CURVES: [Curve; 2] = [
    Curve {
        label: "units sent on",
        color: BLACK,
        value: |second| second.sent_units,
    },
    Curve {
        label: "of these, beyond quotas",
        color: RED,
        value: |second| second.over_quota_units,
    },
];

fn failed_requests(second: &SecondCounts) -> f64 {
    let requests = &second.requests;
    (requests.failed + requests.gateway_killed + requests.unreachable) as f64
}

/// Draws the counts of requests and the units sent, by second. Returns the SVG text.
///
/// # Errors
/// An error if the plot cannot be drawn.
pub(super) fn draw(report: &Report) -> anyhow::Result<String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let (upper, lower) = area.split_vertically(UPPER_HEIGHT);
        draw_curves(&upper, "tries a second", report, &REQUEST_CURVES)?;
        draw_curves(&lower, "units a second", report, &UNIT_CURVES)?;
        area.present()?;
    }
    Ok(text)
}

/// Returns the maximum value of all curves, but at least 1.
fn maximum(report: &Report, curves: &[Curve]) -> f64 {
    let values = curves
        .iter()
        .flat_map(|curve| report.seconds.iter().map(curve.value));
    values.fold(1.0, f64::max)
}

fn draw_curves(
    area: &DrawingArea<SVGBackend, Shift>,
    title: &str,
    report: &Report,
    curves: &[Curve],
) -> anyhow::Result<()> {
    let max = maximum(report, curves) * HEADROOM_RATIO;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..report.seconds.len() as f64, 0.0..max)?;
    chart.configure_mesh().x_desc("simulated seconds").draw()?;
    for Curve {
        label,
        color,
        value,
    } in curves
    {
        let seconds = report.seconds.iter().enumerate();
        let points = seconds.map(|(index, second)| (index as f64 + 0.5, value(second)));
        let series = chart.draw_series(LineSeries::new(points, *color))?;
        series
            .label(*label)
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], *color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
