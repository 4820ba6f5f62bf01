//! Tests the order of the phases and the names that operators' tools read.

use edge_node::clients::Phase;

const PHASES: [Phase; 4] = [
    Phase::Starting,
    Phase::Serving,
    Phase::Draining,
    Phase::Closing,
];

#[test]
fn phases_have_stable_names() {
    assert_eq!(
        PHASES.map(Phase::as_str),
        ["starting", "serving", "leaving", "closing"]
    );
}

#[test]
fn phases_compare_in_life_cycle_order() {
    assert!(PHASES.is_sorted());
}
