//! Experiments on the gateway: one module for each subcommand of `fleet-lab`, and the simulated world that they use.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

pub mod hybrid;
pub mod scaling;
pub mod simulate;
pub mod world;

/// A point in time or a duration of the simulated world, in microseconds. Gateways take
/// [`gateway_core::Timestamp`] and [`std::time::Duration`]: times are converted where events go in and actions
/// come out.
pub type Micros = u64;

/// A duration in whole microseconds.
pub(crate) fn whole_micros(duration: std::time::Duration) -> Micros {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Why an experiment did not succeed.
#[derive(Debug)]
pub enum Failure {
    /// The arguments, or the experiment that they describe, are invalid: one line.
    InvalidArguments(String),
    /// The experiment failed, or an invariant was violated.
    Failed(anyhow::Error),
}

impl<E: Into<anyhow::Error>> From<E> for Failure {
    fn from(error: E) -> Self {
        Failure::Failed(error.into())
    }
}
