//! Warnings: what a gateway reports to operators.

use crate::types::ServerId;
use std::fmt;

/// A condition that an operator may want to investigate. Its `Display` form is the text of the log
/// line.
#[derive(Clone, Debug, PartialEq)]
pub enum Warning {
    /// A controlled class misses its latency objective, so attempts of the lowest class are limited
    /// from now on.
    ObjectiveMissed {
        /// The largest mean latency of a controlled class, relative to its latency objective.
        latency_ratio: f64,
        /// Attempts of the lowest class in flight, on average.
        in_flight: f64,
    },
    /// A server accepts requests and answers none of them, so it is ejected.
    ServerStalled {
        /// The server.
        server: ServerId,
    },
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Warning::ObjectiveMissed { latency_ratio, in_flight } => write!(
                f,
                "latency objective missed: worst ratio {latency_ratio:.2}; in-flight limit starts at {in_flight:.2}"
            ),
            Warning::ServerStalled { server } => {
                write!(f, "server {} stalled: ejected until a probe succeeds", server.0)
            }
        }
    }
}
