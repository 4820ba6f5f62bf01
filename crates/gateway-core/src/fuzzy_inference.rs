//! Fuzzy inference over a rule base of seven levels for each of two inputs. The rules are the caller's.

/// Levels from -3 (negative large) to 3 (positive large).
const LEVELS: usize = 7;
/// The outermost level.
const OUTERMOST: f64 = 3.0;

/// Gives the level of the output, for a level of the error and one of its change.
pub(crate) type Rule = fn(i32, i32) -> i32;

/// Membership of an input in each level, by triangles that cross at one half; the input is 1 at the outermost
/// level.
fn fuzzify(input: f64) -> [f64; LEVELS] {
    let place = input.clamp(-1.0, 1.0) * OUTERMOST;
    std::array::from_fn(|level| (1.0 - (place - (level as f64 - OUTERMOST)).abs()).max(0.0))
}

/// Centre-average defuzzification over all rules that fire, each as certain as the lesser of its premises.
/// The result is scaled so that `largest` becomes 1.
pub(crate) fn infer(rule: Rule, error: f64, change: f64, largest: f64) -> f64 {
    let errors = fuzzify(error);
    let changes = fuzzify(change);
    let mut sum = 0.0;
    let mut weight = 0.0;
    for (row, error_membership) in (-3..).zip(errors) {
        for (column, change_membership) in (-3..).zip(changes) {
            let certainty = error_membership.min(change_membership);
            sum += certainty * f64::from(rule(row, column)) / largest;
            weight += certainty;
        }
    }
    sum / weight
}
