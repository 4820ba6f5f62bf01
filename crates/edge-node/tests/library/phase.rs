//! Phases: their order and the words that operators' tools read.

use edge_node::clients::Phase;

const ALL: [Phase; 4] = [
    Phase::Starting,
    Phase::Serving,
    Phase::Draining,
    Phase::Closing,
];

#[test]
fn phases_keep_their_words() {
    assert_eq!(
        ALL.map(Phase::as_str),
        ["starting", "serving", "leaving", "closing"]
    );
}

#[test]
fn phases_compare_in_the_order_in_which_they_follow() {
    assert!(ALL.is_sorted());
}
