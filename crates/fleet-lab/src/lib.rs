//! Experiments on the gateway: one module for each subcommand of `fleet-lab`, and [`world`], the
//! model of the gateways' environment that `simulate` and `hybrid` use.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod edge_node_process;
pub mod hybrid;
pub mod scaling;
pub mod simulate;
pub mod soak;
pub mod time;
pub mod world;

/// The reason why an experiment did not succeed.
#[derive(Debug)]
pub enum Failure {
    /// The arguments, or the experiment that they describe, are invalid. The message is one line.
    InvalidArguments(String),
    /// The experiment could not be completed, or an invariant was violated.
    Failed(anyhow::Error),
}

impl<E: Into<anyhow::Error>> From<E> for Failure {
    fn from(error: E) -> Self {
        Failure::Failed(error.into())
    }
}
