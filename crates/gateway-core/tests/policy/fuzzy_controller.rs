//! The rule bases of the fuzzy controller.

use gateway_core::policy::fuzzy_controller::infer_change;

fn inferred_change(error: f64, error_change: f64) -> f64 {
    infer_change(error, error_change).change
}

fn inferred_alpha(error: f64, error_change: f64) -> f64 {
    infer_change(error, error_change).alpha
}

/// Returns evenly spaced levels of an input, from -1 to 1.
fn input_levels() -> impl Iterator<Item = f64> {
    (-12..=12).map(|step| f64::from(step) / 12.0)
}

#[test]
fn change_follows_published_rule_and_is_antisymmetric_and_monotonic() {
    assert!(
        (inferred_change(1.0 / 3.0, 2.0 / 3.0) + 1.0).abs() < 1e-9,
        "the published rule: (PS, PM) gives NL"
    );
    assert!(inferred_change(0.0, 0.0).abs() < 1e-9);
    for error in input_levels() {
        for error_change in input_levels() {
            let change = inferred_change(error, error_change);
            assert!(
                (change + inferred_change(-error, -error_change)).abs() < 1e-9,
                "not antisymmetric at error {error}, error change {error_change}"
            );
            assert!(inferred_change((error + 1.0 / 3.0).min(1.0), error_change) <= change + 1e-9);
            assert!(inferred_change(error, (error_change + 1.0 / 3.0).min(1.0)) <= change + 1e-9);
        }
    }
    assert_eq!(inferred_change(9.0, 9.0), inferred_change(1.0, 1.0));
}

#[test]
fn alpha_is_large_for_growing_error_small_for_shrinking_error_and_zero_at_rest() {
    assert!(inferred_alpha(0.0, 0.0).abs() < 1e-9);
    assert!(inferred_alpha(-1.0, -1.0) > 0.9 && inferred_alpha(-1.0, 1.0) < 0.3);
    assert!(inferred_alpha(0.0, -1.0) > 0.9, "a disturbance begins");
    assert!(
        inferred_alpha(1.0 / 3.0, -1.0 / 3.0) < 0.2,
        "the error is positive small, its change negative small"
    );
    for error in input_levels() {
        for error_change in input_levels() {
            let alpha = inferred_alpha(error, error_change);
            assert!((0.0..=1.0).contains(&alpha));
            assert!((alpha - inferred_alpha(-error, -error_change)).abs() < 1e-9);
        }
    }
}
