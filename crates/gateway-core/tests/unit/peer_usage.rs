//! Running counts of a peer, and how they age out.

use super::*;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// A peer of incarnation 5, first observed at time 0 with a count of 10.
fn known_peer() -> PeerUsage {
    let mut peer = PeerUsage::default();
    assert_eq!(
        peer.delta(at(0), 5, 10),
        0,
        "what it forwarded before is over"
    );
    peer
}

/// The increases that counts of incarnation 5 give, one ms after the other.
fn deltas(counts: &[u16]) -> Vec<u16> {
    let mut peer = known_peer();
    (1..)
        .zip(counts)
        .map(|(ms, count)| peer.delta(at(ms * 1000), 5, *count))
        .collect()
}

#[test]
fn lost_repeated_and_reordered_counts_are_taken_in_once() {
    assert_eq!(deltas(&[11, 14]), [1, 3]);
    assert_eq!(deltas(&[14]), [4], "lost");
    assert_eq!(deltas(&[14, 14]), [4, 0], "repeated");
    assert_eq!(deltas(&[14, 11, 10, 15]), [4, 0, 0, 1], "late");
}

#[test]
fn a_peer_that_restarted_or_evicted_the_customer_counts_from_zero() {
    assert_eq!(known_peer().delta(at(1), 6, 3), 3, "restarted");
    assert_eq!(known_peer().delta(at(0) + USAGE_WINDOW, 5, 3), 0, "late");
    assert_eq!(
        known_peer().delta(at(1) + USAGE_WINDOW, 5, 3),
        3,
        "evicted: it was silent for a window"
    );
}

#[test]
fn usage_ages_out_after_a_window() {
    let mut peer = PeerUsage::default();
    peer.add(at(0), Units::new(2.0));
    peer.add(at(1000), Units::new(3.0));
    assert_eq!(peer.recent_units(at(0) + USAGE_WINDOW), Units::new(5.0));
    assert_eq!(peer.recent_units(at(1) + USAGE_WINDOW), Units::new(3.0));
    assert_eq!(peer.recent_units(at(1001) + USAGE_WINDOW), Units::new(0.0));
}

/// Gateways of a large fleet take in usage that peers broadcast before a change of the fleet's size,
/// and never ask for the recent units.
#[test]
fn expired_usage_is_dropped_where_nobody_asks_for_it() {
    let mut peer = PeerUsage::default();
    for seconds in 0..10 {
        peer.add(at(seconds * 1_000_000), Units::new(1.0));
    }
    assert_eq!(
        peer.recent.len(),
        3,
        "the last window's, with both its ends"
    );
}
