//! The result of checking one invariant at the end of a run.

use serde::Serialize;
use std::fmt;

/// The result of checking one invariant. The simulation has
/// [`Violations`](crate::world::invariant::Violations) instead, with the times of violations: the
/// simulation checks at each event, whereas over sockets some violations are known only at the end
/// of the run.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct InvariantResult {
    /// Statement of the invariant, as the report prints it.
    #[serde(rename = "rule")]
    pub invariant: &'static str,
    /// Number of cases in which the invariant was checked.
    #[serde(rename = "looked_at")]
    pub checked: u64,
    /// Number of violations found; 0 if the invariant holds.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Further observations for the report; may be empty.
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
