//! The result of checking one invariant at the end of a run.

use serde::Serialize;
use std::fmt;

/// The result of checking one invariant. The simulation's [`Violations`](crate::world::invariant::Violations) give
/// times instead: it checks at each event, whereas here some violations are known only at the end of the run.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct InvariantResult {
    /// The invariant.
    #[serde(rename = "rule")]
    pub invariant: &'static str,
    /// In how many cases it was checked.
    #[serde(rename = "looked_at")]
    pub checked: u64,
    /// In how many it was violated.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Further observations.
    #[serde(rename = "seen")]
    pub details: String,
}

impl fmt::Display for InvariantResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let result = match self.violations {
            0 => "kept".to_owned(),
            count => format!("BROKEN {count} times"),
        };
        let InvariantResult {
            invariant,
            checked,
            details,
            ..
        } = self;
        let separator = if details.is_empty() { "" } else { "; " };
        write!(
            f,
            "{invariant}: {result}, looked at {checked}{separator}{details}"
        )
    }
}
