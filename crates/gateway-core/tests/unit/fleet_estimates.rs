//! Estimates of the fleet: latency ratios by class, reachability by zone.

use super::*;

#[test]
fn the_worst_latency_ratio_leaves_out_the_lowest_class() {
    let mut fleet = FleetEstimates::new(3, 1.0);
    assert_eq!(
        fleet.worst_latency_ratio(ClassId(0)),
        None,
        "nothing is known"
    );
    fleet.latency_ratios = vec![Some(9.0), Some(2.0), None];
    assert_eq!(fleet.worst_latency_ratio(ClassId(0)), Some(2.0));
    fleet.latency_ratios = vec![Some(9.0)];
    assert_eq!(
        fleet.worst_latency_ratio(ClassId(0)),
        Some(9.0),
        "an only class counts"
    );
}

#[test]
fn zones_are_observed_apart() {
    let mut fleet = FleetEstimates::new(1, 1.0);
    fleet.observe_zone(ZoneId(1), true, 0.5);
    assert_eq!(
        [1, 2].map(|zone| fleet.unreachable_fraction(ZoneId(zone))),
        [0.5, 0.0]
    );
}
