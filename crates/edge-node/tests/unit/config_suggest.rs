//! Suggestions for misspelled keys.

use super::*;

#[test]
fn a_misspelled_key_or_table_suggests_the_one_that_is_meant() {
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
fn a_key_in_the_wrong_table_suggests_its_own_table() {
    assert_eq!(
        nearest_path("fleet.max_attempts"),
        Some("requests.max_attempts")
    );
}

#[test]
fn a_name_that_is_like_no_key_suggests_none() {
    assert_eq!(nearest_path("qqq"), None);
}
