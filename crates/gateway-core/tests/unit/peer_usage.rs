//! Merging of a peer's running counts, and expiry of its usage.

use super::*;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Returns a peer of incarnation 5 whose first count, 10, was received at time 0.
fn known_peer() -> PeerUsage {
    let mut peer = PeerUsage::default();
    assert_eq!(
        peer.merge_count(at(0), 5, 10),
        0,
        "the first count adds no recent usage"
    );
    peer
}

/// Returns the increases that result from counts of incarnation 5, received at intervals of 1 ms.
fn increases(counts: &[u16]) -> Vec<u16> {
    let mut peer = known_peer();
    (1..)
        .zip(counts)
        .map(|(ms, count)| peer.merge_count(at(ms * 1000), 5, *count))
        .collect()
}

#[test]
fn lost_repeated_and_late_counts_add_each_increase_once() {
    assert_eq!(increases(&[11, 14]), [1, 3]);
    assert_eq!(increases(&[14]), [4], "earlier counts were lost");
    assert_eq!(increases(&[14, 14]), [4, 0], "repeated count");
    assert_eq!(increases(&[14, 11, 10, 15]), [4, 0, 0, 1], "late counts");
}

#[test]
fn count_starts_from_zero_after_peer_restart_or_account_eviction() {
    assert_eq!(
        known_peer().merge_count(at(1), 6, 3),
        3,
        "the peer restarted"
    );
    assert_eq!(
        known_peer().merge_count(at(0) + USAGE_WINDOW, 5, 3),
        0,
        "late count"
    );
    assert_eq!(
        known_peer().merge_count(at(1) + USAGE_WINDOW, 5, 3),
        3,
        "the peer evicted the account: it was silent for longer than the window"
    );
}

#[test]
fn usage_expires_after_usage_window() {
    let mut peer = PeerUsage::default();
    peer.add(at(0), Units::new(2.0));
    peer.add(at(1000), Units::new(3.0));
    assert_eq!(peer.recent_units(at(0) + USAGE_WINDOW), Units::new(5.0));
    assert_eq!(peer.recent_units(at(1) + USAGE_WINDOW), Units::new(3.0));
    assert_eq!(peer.recent_units(at(1001) + USAGE_WINDOW), Units::new(0.0));
}

/// Guards against unbounded memory: gateways of a large fleet receive usage that peers broadcast
/// before a change of the fleet size, and never call `recent_units`.
#[test]
fn adding_usage_drops_expired_usage() {
    let mut peer = PeerUsage::default();
    for seconds in 0..10 {
        peer.add(at(seconds * 1_000_000), Units::new(1.0));
    }
    assert_eq!(
        peer.recent.len(),
        3,
        "usage at both ends of the window is included"
    );
}
