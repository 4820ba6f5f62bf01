//! Multiplicative hashing that gives the same result at every gateway.

/// 2^64 divided by the golden ratio. Its multiples are spread evenly over all 64-bit numbers.
pub(crate) const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns the Fibonacci hash of a number, which spreads consecutive numbers evenly. Callers use
/// the high bits, because the low bits are poorly mixed.
pub(crate) fn fibonacci_hash(number: u64) -> u64 {
    number.wrapping_mul(GOLDEN_RATIO)
}
