//! Tests of the parser of load reports.

use super::*;

#[test]
fn parses_in_flight_field_and_ignores_malformed_report() {
    assert_eq!(
        parse_in_flight("concurrent=7.5,depth=2,load_share=0.61", '='),
        Some(7.5)
    );
    assert_eq!(parse_in_flight("depth:2, concurrent : 0", ':'), Some(0.0));
    for malformed in [
        "",
        "concurrent",
        "concurrent=",
        "concurrent=-1",
        "concurrent=NaN",
        "concurrent=1e99",
        "depth=3",
    ] {
        assert_eq!(parse_in_flight(malformed, '='), None, "{malformed:?}");
    }
}
