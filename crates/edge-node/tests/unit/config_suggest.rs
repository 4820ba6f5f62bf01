//! Tests of suggestions for unknown keys.

use super::*;

#[test]
fn suggests_similar_key_or_table_for_misspelled_path() {
    let cases = [
        ("limits.memory_mb", Some("limits.memory_mib")),
        ("peers.messages", Some("peers.messages_per_s")),
        ("plans[].units_per_second", Some("plans[].units_per_s")),
        ("reqests", Some("requests")),
        ("clases", Some("classes")),
    ];
    for (unknown, expected) in cases {
        assert_eq!(nearest_path(unknown), expected, "{unknown}");
    }
}

#[test]
fn suggests_path_with_right_table_for_key_in_wrong_table() {
    assert_eq!(
        nearest_path("fleet.max_attempts"),
        Some("requests.max_attempts")
    );
}

#[test]
fn suggests_nothing_for_dissimilar_name() {
    assert_eq!(nearest_path("qqq"), None);
}
