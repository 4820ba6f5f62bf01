//! Multiplicative hashing, the same at every gateway.

/// 2^64 divided by the golden ratio: multiples of it are spread evenly over all 64-bit numbers.
pub(crate) const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;

/// Fibonacci hashing: spreads consecutive numbers evenly. The high bits are the well mixed ones.
pub(crate) fn fibonacci_hash(number: u64) -> u64 {
    number.wrapping_mul(GOLDEN_RATIO)
}
