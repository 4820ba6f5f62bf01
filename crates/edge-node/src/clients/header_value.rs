//! Strict parsers for header values and path segments of client requests: a value that two parsers
//! could interpret differently is rejected.

use gateway_core::CustomerId;
use std::time::Duration;

/// Number of hexadecimal digits of a customer in the path.
const CUSTOMER_DIGITS: usize = 16;
/// Exclusive upper bound of customer numbers.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Maximum duration that a header may give, in seconds.
const MAX_DURATION_SECONDS: f64 = 3600.0;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Parses a customer: exactly 16 hexadecimal digits without a sign, for a number below 2^33.
pub fn parse_customer(text: &str) -> Option<CustomerId> {
    if text.len() != CUSTOMER_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let number = u64::from_str_radix(text, 16).ok()?;
    (number < CUSTOMER_LIMIT).then_some(CustomerId(number))
}

/// Parses a plain decimal number without a sign or an exponent. Rejects `inf` and `nan`.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_plain {
        return None;
    }
    text.parse().ok()
}

/// Parses a whole number that consists of decimal digits only, without a sign.
pub fn parse_whole_number(text: &str) -> Option<u32> {
    // The standard parser also accepts a leading `+`.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// Parses a duration of more than zero and at most one hour: a decimal number and its unit, `m` for
/// milliseconds or `u` for microseconds.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let unit_start = text.len().checked_sub(1)?;
    let (digits, unit) = text.split_at_checked(unit_start)?;
    let number = parse_decimal(digits)?;
    let seconds = match unit {
        "m" => number / MILLISECONDS_PER_SECOND,
        "u" => number / MICROSECONDS_PER_SECOND,
        _ => return None,
    };
    let in_range = seconds > 0.0 && seconds <= MAX_DURATION_SECONDS;
    in_range.then(|| Duration::from_secs_f64(seconds))
}
