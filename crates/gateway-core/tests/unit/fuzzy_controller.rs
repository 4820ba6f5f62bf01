//! The in-flight limit over consecutive control ticks, compared with recorded limits.

use super::*;

/// Inputs of a control tick, and the limit after it.
struct Tick {
    latency_ratio: f64,
    lowest_class_in_flight: f64,
    total_in_flight: f64,
    limit: Option<f64>,
}

const fn tick(
    latency_ratio: f64,
    lowest_class_in_flight: f64,
    total_in_flight: f64,
    limit: Option<f64>,
) -> Tick {
    Tick {
        latency_ratio,
        lowest_class_in_flight,
        total_in_flight,
        limit,
    }
}

/// Control ticks without a missed objective, with a growing error, with a large error that corrects
/// itself, and with a steady ratio below the target.
const RECORDED: [Tick; 12] = [
    tick(0.6, 5.0, 12.0, None),
    tick(1.3, 9.0, 24.0, Some(9.0)),
    tick(1.6, 9.0, 26.0, Some(2.0)),
    tick(1.9, 8.0, 28.0, Some(2.0)),
    tick(1.5, 6.0, 22.0, Some(3.5006172839506164)),
    tick(1.2, 4.0, 18.0, Some(4.9700050390526584)),
    tick(1.02, 3.0, 14.0, Some(5.733397896195515)),
    tick(0.9, 3.0, 12.0, Some(6.348881130909519)),
    tick(0.5, 3.0, 9.0, Some(10.211381130909519)),
    tick(0.45, 4.0, 9.0, Some(11.872513943409519)),
    tick(0.44, 6.0, 11.0, Some(13.565395002082989)),
    tick(0.44, 8.0, 13.0, Some(15.399955002082988)),
];

#[test]
fn limit_follows_recorded_ticks() {
    let mut controller = FuzzyController::default();
    let mut limits = Vec::new();
    for tick in &RECORDED {
        let mut fleet = FleetEstimates::new(1, 1.0);
        fleet.observe_in_flight(tick.lowest_class_in_flight, tick.total_in_flight, 1.0);
        controller.tick(Some(tick.latency_ratio), &fleet, 1.0 / 3.0);
        limits.push(controller.limit().maximum());
    }
    let recorded: Vec<_> = RECORDED.iter().map(|tick| tick.limit).collect();
    assert_eq!(limits, recorded);
}
