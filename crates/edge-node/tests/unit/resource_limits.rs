//! Tests how the memory limit is divided.

use super::*;

const MIB: usize = 1024 * 1024;

/// Returns the memory for bodies of one direction in MiB, rounded down.
fn body_mib(memory_mib: usize, descriptors: usize) -> usize {
    let max_memory = memory_mib * MIB;
    body_bytes(max_memory, connections(max_memory, descriptors)) / MIB
}

#[test]
fn bodies_get_a_quarter_for_each_direction_if_connections_leave_it() {
    assert_eq!(body_mib(32, 256), 8);
    assert_eq!(body_mib(192, 1024), 48);
}

#[test]
fn connections_are_limited_by_descriptors_and_memory() {
    assert_eq!(connections(192 * MIB, 1024), 992);
    assert_eq!(connections(32 * MIB, 256), 224);
    assert_eq!(connections(32 * MIB, 1024), 585);
}

/// Guards against bodies, connections, customers and heads that exceed the memory limit together.
#[test]
fn all_shares_together_stay_in_memory_limit() {
    for (memory_mib, descriptors) in [(32, 256), (32, 1024), (48, 1024), (64, 1024), (192, 1024)] {
        let max_memory = memory_mib * MIB;
        let connections = connections(max_memory, descriptors);
        let heads = CONNECTION_SIDES * (max_memory / HEAD_MEMORY_DIVISOR);
        let customers = max_memory / CUSTOMER_MEMORY_DIVISOR;
        let bodies = BODY_DIRECTIONS * body_bytes(max_memory, connections);
        let total = RESERVED_MEMORY_BYTES
            + connections * CONNECTION_MEMORY_BYTES
            + heads
            + customers
            + bodies;
        assert!(total <= max_memory, "{memory_mib} MiB, {descriptors}");
    }
}

#[test]
fn bodies_get_what_many_connections_and_heads_leave() {
    assert_eq!(body_mib(32, 1024), 4);
    assert_eq!(body_mib(32, 512), 5);
}

#[test]
fn bodies_get_an_eighth_at_least() {
    assert_eq!(body_mib(16, 4096), 2);
}
