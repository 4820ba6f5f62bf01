//! Experiments on the gateway: one module for each subcommand of `fleet-lab`, and the simulated world that they use.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

pub mod hybrid;
pub mod scaling;
pub mod simulate;
pub mod time;
pub mod world;

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
