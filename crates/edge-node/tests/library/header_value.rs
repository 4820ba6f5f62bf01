//! Values of headers and path segments: what is one, and what is none.

use edge_node::clients::header_value::{parse_customer, parse_duration};
use gateway_core::CustomerId;
use std::time::Duration;

#[test]
fn durations_have_a_number_and_a_unit() {
    assert_eq!(parse_duration("480m"), Some(Duration::from_millis(480)));
    assert_eq!(parse_duration("1500u"), Some(Duration::from_micros(1500)));
    for bad in [
        "", "m", "480", "-1m", "+1m", "1e2m", "0m", "NaNm", "infm", "1s", "4µ",
    ] {
        assert_eq!(parse_duration(bad), None, "{bad:?}");
    }
}

#[test]
fn customers_have_16_digits_and_no_sign() {
    assert_eq!(
        parse_customer("00000000b4d65521"),
        Some(CustomerId(0xb4d6_5521))
    );
    for bad in [
        "",
        "b4d65521",
        "+0000000b4d65521",
        "-0000000b4d65521",
        "0000000200000000",
        "00000000b4d6552g",
    ] {
        assert_eq!(parse_customer(bad), None, "{bad:?}");
    }
}
