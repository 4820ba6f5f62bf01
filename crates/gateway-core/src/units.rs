//! Amounts of quota units.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Mul, Neg, Sub, SubAssign};

/// An amount of quota units, which requests consume and token buckets and leases hold. A negative
/// amount is a debt.
///
/// Rates (units a second) and fractions are plain `f64` values. Each operator performs the same
/// single operation on the underlying `f64` values.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Units(f64);

impl Units {
    /// An amount of no units.
    pub const ZERO: Units = Units(0.0);

    /// Returns an amount of this many units.
    #[must_use]
    pub const fn new(units: f64) -> Units {
        Units(units)
    }

    /// Returns the number of units, which is negative for a debt.
    #[must_use]
    pub const fn as_f64(self) -> f64 {
        self.0
    }

    /// Returns the smaller of two amounts.
    #[must_use]
    pub fn min(self, other: Units) -> Units {
        Units(self.0.min(other.0))
    }

    /// Returns the larger of two amounts.
    #[must_use]
    pub fn max(self, other: Units) -> Units {
        Units(self.0.max(other.0))
    }

    /// Returns one of `parts` equal parts of the units.
    pub(crate) fn divided_by(self, parts: f64) -> Units {
        Units(self.0 / parts)
    }

    /// Returns the units that are refilled in this many seconds at a constant rate.
    pub(crate) fn refilled(units_per_second: f64, seconds: f64) -> Units {
        Units(units_per_second * seconds)
    }

    /// Returns the seconds in which this many units are refilled at a constant rate.
    pub(crate) fn seconds_to_refill(self, units_per_second: f64) -> f64 {
        self.0 / units_per_second
    }
}

impl Add for Units {
    type Output = Units;

    fn add(self, other: Units) -> Units {
        Units(self.0 + other.0)
    }
}

impl AddAssign for Units {
    fn add_assign(&mut self, other: Units) {
        self.0 += other.0;
    }
}

impl Sub for Units {
    type Output = Units;

    fn sub(self, other: Units) -> Units {
        Units(self.0 - other.0)
    }
}

impl SubAssign for Units {
    fn sub_assign(&mut self, other: Units) {
        self.0 -= other.0;
    }
}

impl Neg for Units {
    type Output = Units;

    fn neg(self) -> Units {
        Units(-self.0)
    }
}

impl Mul<f64> for Units {
    type Output = Units;

    fn mul(self, factor: f64) -> Units {
        Units(self.0 * factor)
    }
}

impl Sum for Units {
    fn sum<I: Iterator<Item = Units>>(units: I) -> Units {
        Units(units.map(Units::as_f64).sum())
    }
}
