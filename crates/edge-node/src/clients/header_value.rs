//! Values of the headers and path segments of a client's request. Each is parsed strictly: what two
//! readers could take in two ways is no value.

use gateway_core::CustomerId;
use std::time::Duration;

/// Digits of a customer in the path.
const CUSTOMER_DIGITS: usize = 16;
/// Customers are numbers below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// The longest duration, in seconds.
const MAX_DURATION_SECONDS: f64 = 3600.0;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// A customer: exactly 16 hex digits without a sign, a number below 2^33.
pub fn parse_customer(text: &str) -> Option<CustomerId> {
    if text.len() != CUSTOMER_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let number = u64::from_str_radix(text, 16).ok()?;
    (number < CUSTOMER_LIMIT).then_some(CustomerId(number))
}

/// A plain decimal number: no sign, no exponent, and neither `inf` nor `nan`.
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

/// A whole number of decimal digits without a sign.
pub fn parse_whole_number(text: &str) -> Option<u32> {
    // The standard parser takes a leading `+` too.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// A duration above zero and of an hour at most: a decimal number and its unit, `m` for
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
