//! Tests which header values and path segments are valid.

use edge_node::clients::header_value::{parse_customer, parse_duration};
use gateway_core::CustomerId;
use std::time::Duration;

#[test]
fn duration_requires_number_and_unit() {
    assert_eq!(parse_duration("480m"), Some(Duration::from_millis(480)));
    assert_eq!(parse_duration("1500u"), Some(Duration::from_micros(1500)));
    for invalid in [
        "", "m", "480", "-1m", "+1m", "1e2m", "0m", "NaNm", "infm", "1s", "4µ",
    ] {
        assert_eq!(parse_duration(invalid), None, "{invalid:?}");
    }
}

#[test]
fn customer_requires_16_hex_digits_without_sign() {
    assert_eq!(
        parse_customer("00000000b4d65521"),
        Some(CustomerId(0xb4d6_5521))
    );
    for invalid in [
        "",
        "b4d65521",
        "+0000000b4d65521",
        "-0000000b4d65521",
        "0000000200000000",
        "00000000b4d6552g",
    ] {
        assert_eq!(parse_customer(invalid), None, "{invalid:?}");
    }
}
