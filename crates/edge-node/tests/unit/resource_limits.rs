//! Tests how the memory limit is divided.

use super::*;

const MIB: usize = 1024 * 1024;

/// Returns the memory for bodies of one direction in MiB, rounded down.
fn body_mib(memory_mib: usize, descriptors: usize) -> usize {
    body_bytes(memory_mib * MIB, descriptors - RESERVED_DESCRIPTORS) / MIB
}

#[test]
fn bodies_get_a_quarter_for_each_direction_if_connections_leave_it() {
    assert_eq!(body_mib(32, 256), 8);
    assert_eq!(body_mib(192, 1024), 48);
}

/// Guards against bodies, connections and heads that exceed the memory limit together.
#[test]
fn bodies_get_what_many_connections_and_heads_leave() {
    assert_eq!(body_mib(32, 1024), 5);
    let connections = (1024 - RESERVED_DESCRIPTORS) * CONNECTION_MEMORY_BYTES;
    let heads = CONNECTION_SIDES * (32 * MIB / HEAD_MEMORY_DIVISOR);
    let bodies = BODY_DIRECTIONS * body_bytes(32 * MIB, 1024 - RESERVED_DESCRIPTORS);
    let customers = 32 * MIB / CUSTOMER_MEMORY_DIVISOR;
    assert!(RESERVED_MEMORY_BYTES + customers + connections + heads + bodies <= 32 * MIB);
}

#[test]
fn bodies_get_an_eighth_at_least() {
    assert_eq!(body_mib(16, 4096), 2);
}
