//! Experiments on the gateway: what the command line in `main.rs` offers, a module each.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod hybrid;
pub mod scaling;
pub mod simulate;
pub mod world;

/// Why an experiment did not come to its end.
#[derive(Debug)]
pub enum Failure {
    /// The arguments, or the experiment they describe, make no sense: one plain line.
    Senseless(String),
    /// It was begun and failed, or a rule was broken.
    Failed(anyhow::Error),
}

impl<E: Into<anyhow::Error>> From<E> for Failure {
    fn from(error: E) -> Self {
        Failure::Failed(error.into())
    }
}
