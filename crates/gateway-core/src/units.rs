//! Quota units.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Mul, Neg, Sub, SubAssign};

/// An amount of quota units: what a request consumes, and what buckets and leases hold. Negative
/// amounts are debts.
///
/// Rates (units a second) and fractions are plain numbers; arithmetic is that of the numbers, in
/// the same order.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Units(f64);

impl Units {
    /// No units.
    pub const ZERO: Units = Units(0.0);

    /// So many units.
    #[must_use]
    pub const fn new(units: f64) -> Units {
        Units(units)
    }

    /// The number of units.
    #[must_use]
    pub const fn as_f64(self) -> f64 {
        self.0
    }

    /// The smaller of two amounts.
    #[must_use]
    pub fn min(self, other: Units) -> Units {
        Units(self.0.min(other.0))
    }

    /// The larger of two amounts.
    #[must_use]
    pub fn max(self, other: Units) -> Units {
        Units(self.0.max(other.0))
    }

    /// An even part of the units.
    pub(crate) fn divided_by(self, parts: f64) -> Units {
        Units(self.0 / parts)
    }

    /// Units that come in at a rate of so many units a second.
    pub(crate) fn refilled(units_per_second: f64, seconds: f64) -> Units {
        Units(units_per_second * seconds)
    }

    /// Seconds until this many units have come in at a rate of so many units a second.
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
