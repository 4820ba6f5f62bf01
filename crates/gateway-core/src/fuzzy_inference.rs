//! Fuzzy inference over a rule base of the caller, with two inputs of seven levels each.

/// The largest level (positive large). Levels run from -3 (negative large) to 3.
const OUTERMOST_LEVEL: i32 = 3;
/// Number of levels of an input.
const LEVEL_COUNT: usize = 7;

/// A rule base: returns the output level for an error level and an error-change level.
pub(crate) type RuleBase = fn(i32, i32) -> i32;

/// Returns the degree of membership of an input in each level, from 0 to 1, by triangular
/// functions that intersect at one half. An input of 1 belongs to the largest level; inputs are
/// clamped to the range from -1 to 1.
fn fuzzify(input: f64) -> [f64; LEVEL_COUNT] {
    let outermost = f64::from(OUTERMOST_LEVEL);
    let position = input.clamp(-1.0, 1.0) * outermost;
    std::array::from_fn(|index| (1.0 - (position - (index as f64 - outermost)).abs()).max(0.0))
}

/// Returns the output of a rule base by centre-average defuzzification: the mean of the output
/// levels of all rules, each weighted by the smaller degree of membership of its two premises. The
/// result is scaled so that `largest_level` becomes 1.
pub(crate) fn infer(rules: RuleBase, error: f64, error_change: f64, largest_level: i32) -> f64 {
    let error_degrees = fuzzify(error);
    let change_degrees = fuzzify(error_change);
    let mut weighted_sum = 0.0;
    let mut weight_sum = 0.0;
    for (error_level, error_degree) in (-OUTERMOST_LEVEL..).zip(error_degrees) {
        for (change_level, change_degree) in (-OUTERMOST_LEVEL..).zip(change_degrees) {
            let weight = error_degree.min(change_degree);
            let output_level = f64::from(rules(error_level, change_level));
            weighted_sum += weight * output_level / f64::from(largest_level);
            weight_sum += weight;
        }
    }
    weighted_sum / weight_sum
}
