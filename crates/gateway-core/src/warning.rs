//! Warnings: conditions that a gateway reports to operators.

use crate::types::ServerId;
use std::fmt;

/// A condition that an operator may want to investigate. Its `Display` text is the log message.
#[derive(Clone, Debug, PartialEq)]
pub enum Warning {
    /// A controlled class misses its latency objective. From then on, attempts of the lowest class
    /// are subject to the in-flight limit.
    ObjectiveMissed {
        /// The largest latency ratio of the controlled classes: mean latency relative to the
        /// latency objective.
        latency_ratio: f64,
        /// Mean number of attempts of the lowest class in flight, where the limit starts.
        in_flight: f64,
    },
    /// A server accepts requests but answers none of them, so it is ejected.
    ServerStalled {
        /// The server, which stays ejected until a probe succeeds.
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
