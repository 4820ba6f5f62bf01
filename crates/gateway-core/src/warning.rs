//! Warnings: what a gateway's decisions tell operators.

use crate::types::ServerId;
use std::fmt;

/// Something that an operator may want to look after.
#[derive(Clone, Debug, PartialEq)]
pub enum Warning {
    /// The controlled classes miss their latency objectives, so the lowest class is limited from now on.
    ObjectiveMissed {
        /// The worst mean latency, relative to its objective.
        latency_ratio: f64,
        /// Attempts of the lowest class in flight.
        in_flight: f64,
    },
    /// A server takes requests and answers none.
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
