//! Fleet estimates: latency ratios by class, and reachability by zone.

use super::*;

#[test]
fn worst_latency_ratio_excludes_lowest_class_unless_it_is_only_class() {
    let mut fleet = FleetEstimates::new(3, 1.0);
    assert_eq!(
        fleet.worst_latency_ratio(ClassId(0)),
        None,
        "all ratios are unknown"
    );
    fleet.latency_ratios = vec![Some(9.0), Some(2.0), None];
    assert_eq!(fleet.worst_latency_ratio(ClassId(0)), Some(2.0));
    fleet.latency_ratios = vec![Some(9.0)];
    assert_eq!(
        fleet.worst_latency_ratio(ClassId(0)),
        Some(9.0),
        "the only class is included"
    );
}

#[test]
fn unreachable_fraction_is_estimated_per_zone() {
    let mut fleet = FleetEstimates::new(1, 1.0);
    fleet.observe_zone(ZoneId(1), true, 0.5);
    assert_eq!(
        [1, 2].map(|zone| fleet.unreachable_fraction(ZoneId(zone))),
        [0.5, 0.0]
    );
}
