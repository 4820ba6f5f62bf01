//! Validation: rejects settings that are incomplete, contradictory, or hold invalid numbers.

use super::Settings;
use thiserror::Error;

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// [`Settings::classes`] is empty.
    #[error("at least one class is required")]
    NoClasses,
    /// [`Settings::plans`] is empty.
    #[error("at least one plan is required")]
    NoPlans,
    /// [`Settings::gateway_id`] is not below [`Settings::gateway_count`].
    #[error("the number of this gateway must be less than the number of gateways")]
    UnknownGateway,
    /// A number is negative or not finite.
    #[error("numbers must be finite and not negative")]
    InvalidNumber,
}

impl Settings {
    /// Checks that there are classes and plans, that this gateway is one of the gateways, and that
    /// all numbers are valid.
    ///
    /// # Errors
    /// Returns the error of the first check that fails.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.plans.is_empty() {
            return Err(SettingsError::NoPlans);
        }
        if self.gateway_id.0 >= self.gateway_count {
            return Err(SettingsError::UnknownGateway);
        }
        if !self.numbers().into_iter().all(is_finite_and_not_negative) {
            return Err(SettingsError::InvalidNumber);
        }
        Ok(())
    }

    /// Returns every number that must be finite and not negative.
    fn numbers(&self) -> Vec<f64> {
        let mut numbers = vec![
            self.rules.warm_up_from,
            self.rules.overload_multiple,
            self.cross_zone_cost,
            self.peer_messages_per_second,
            self.max_request_units.as_f64(),
        ];
        for plan in &self.plans {
            numbers.extend([
                plan.rate,
                plan.burst.as_f64(),
                plan.weight,
                plan.over_quota_weight,
                plan.over_quota_cost,
            ]);
            numbers.extend(
                plan.hard_limit
                    .iter()
                    .flat_map(|limit| [limit.rate, limit.capacity.as_f64()]),
            );
        }
        numbers.extend(
            self.classes
                .iter()
                .flat_map(|class| [class.priority_weight, class.late_weight]),
        );
        numbers
    }
}

fn is_finite_and_not_negative(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}
